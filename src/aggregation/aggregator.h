// The decisions of an aggregator. To the routers of its region it is the store of the fleet's policy; to the
// store it is one router for each zone. It replicates the policy's records under the store's own revisions,
// grants routers leases that end before its own, and reports upward the summary of all their reports
// (report_summary.h).
//
// docs/aggregation.md shows why no two requests are decided under two versions, and what an aggregator that
// resumes after a long pause can do.
//
// Package `aggregation`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "aggregation/router_leases.h"
#include "aggregation/upstream_lease.h"
#include "coordination/key_value_state.h"

namespace trailcourse::aggregation {

struct AggregatorSettings {
  ownership::LeaseOptions lease;  // the aggregator's own
  RouterLeaseOptions routers;
  std::size_t max_report_bytes = 4'096;
  std::size_t history = 1'000;  // changes of the policy's records that watches can resume from
};

struct AggregatorIdentity {
  std::string name;
  std::string incarnation;         // differs from start to start
  std::vector<std::string> zones;  // whose routers the aggregator serves
  std::string prefix;              // of all keys in the store
};

// Calls of routers since the start.
struct AggregatorCounts {
  std::uint64_t granted = 0;
  std::uint64_t renewed = 0;
  std::uint64_t revoked = 0;
  std::uint64_t reports = 0;  // accepted
  std::uint64_t reads = 0;
  std::array<std::uint64_t, RequestRejected::kReasons> rejected{};  // by RequestRejected::Reason

  std::uint64_t total_rejected() const;
};

class Aggregator {
 public:
  // `seed` determines the ids of routers' leases and has to differ from start to start.
  Aggregator(const AggregatorSettings& settings, AggregatorIdentity identity, std::uint64_t seed);

  // ---- From the store ----

  // Replaces the replicated records. `entries` are all records of the policy.
  void on_snapshot(const std::vector<coordination::Entry>& entries);
  void on_changes(const std::vector<coordination::KeyChange>& changes);
  // Whether the store answers. While it does not, the aggregator's own lease is not renewed.
  void set_connected(bool connected) { connected_ = connected; }

  // ---- From routers. Each call throws RequestRejected, and then has changed nothing. ----

  coordination::LeaseId grant(Micros now, Micros ttl);
  // Renews a lease and returns its time from now, or nothing if there is no such lease.
  std::optional<Micros> keep_alive(Micros now, coordination::LeaseId id);
  void revoke(Micros now, coordination::LeaseId id);
  // Takes one report under its lease, or a read of the policy's records; nothing else.
  coordination::TransactionResult commit(Micros now, const coordination::Transaction& transaction);
  // The replicated records of the policy, for watches. Empty before the first snapshot.
  const coordination::KeyValueState& records() const { return records_; }
  bool has_snapshot() const { return has_snapshot_; }

  // ---- Upward ----

  // Receives the answers to the calls that step() returns.
  UpstreamLease& upstream() { return upstream_; }
  const UpstreamLease& upstream() const { return upstream_; }
  // Returns the calls to the store to make now.
  std::vector<UpstreamAction> step(Micros now);
  // Returns when step() may return something by time alone.
  std::optional<Micros> next_step_at(Micros now) const;

  // Stops granting and renewing. The aggregator's own lease is released once the last router's has ended.
  void drain() { draining_ = true; }
  bool drained() const { return draining_ && upstream_.stopped(); }

  const AggregatorIdentity& identity() const { return identity_; }
  const AggregatorCounts& counts() const { return counts_; }
  std::size_t router_count() const { return router_leases_.size(); }
  SummariesByZone summaries() const;

 private:
  template <typename Call>
  auto count_rejections(Call call);
  void check_conditions(const coordination::Transaction& transaction) const;
  void check_reads(const std::vector<coordination::Operation>& operations) const;
  coordination::TransactionResult commit_report(Micros now, const coordination::Transaction& transaction);
  coordination::TransactionResult read_records(const coordination::Transaction& transaction);
  RouterReport checked_report(const coordination::Put& put) const;
  std::string checked_router(const coordination::Put& put) const;
  // The time by which routers' leases have to end; nothing: none may be granted or renewed.
  std::optional<Micros> grant_limit(Micros now) const;
  bool has_required_acknowledgement() const;
  void update_observed();

  AggregatorSettings settings_;
  AggregatorIdentity identity_;
  coordination::KeyValueState records_;
  ObservedByZone observed_;
  RouterLeases router_leases_;
  UpstreamLease upstream_;
  AggregatorCounts counts_;
  bool has_snapshot_ = false;
  bool connected_ = false;
  bool draining_ = false;
};

}  // namespace trailcourse::aggregation
