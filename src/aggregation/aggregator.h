// The decisions of an aggregator. The routers of its region use it as the store of the fleet's policy; at the
// store it acts as one router for each zone. It replicates the policy's records under the store's own
// revisions, grants routers leases that end before its own, and writes summaries of their reports to the
// store (report_summary.h).
//
// docs/aggregation.md explains why no request is decided under an old version after another one was decided
// under the new version, and what an aggregator can do that resumes after a long pause.
//
// Library `aggregation`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
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
  ownership::LeaseOptions lease;  // of the aggregator's own lease
  RouterLeaseOptions routers;
  std::size_t max_report_bytes = 4'096;
  std::size_t history = 1'000;  // number of changes of the policy's records from which watches can resume
};

struct AggregatorIdentity {
  std::string name;
  std::string incarnation;         // unique for each start
  std::vector<std::string> zones;  // whose routers the aggregator serves
  std::string prefix;              // of all keys in the store
};

// Numbers of calls of routers since the start.
struct AggregatorCounts {
  std::uint64_t granted = 0;
  std::uint64_t renewed = 0;
  std::uint64_t revoked = 0;
  std::uint64_t reports = 0;  // accepted
  std::uint64_t reads = 0;
  std::array<std::uint64_t, RequestRejected::kReasonCount> rejected{};  // by RequestRejected::Reason

  std::uint64_t total_rejected() const;
};

class Aggregator {
 public:
  // `seed` determines the ids of routers' leases. It has to be different for each start.
  Aggregator(const AggregatorSettings& settings, AggregatorIdentity identity, std::uint64_t seed);

  // ---- Events from the store ----

  // Replaces the replicated records. `entries` are all records of the policy.
  void on_snapshot(const std::vector<coordination::Entry>& entries);
  // Applies changes of the replicated records.
  void on_changes(const std::vector<coordination::KeyChange>& changes);
  // Sets whether the store is connected. While it is not, the aggregator's own lease is not renewed.
  void set_connected(bool connected) { connected_ = connected; }

  // ---- Calls of routers. Each may throw RequestRejected, and then has changed nothing but the counts. ----

  // Grants a lease of `ttl`.
  coordination::LeaseId grant(Micros now, Micros ttl);
  // Renews a lease and returns its remaining time, or nothing if there is no such lease.
  std::optional<Micros> keep_alive(Micros now, coordination::LeaseId id);
  // Ends a lease.
  void revoke(Micros now, coordination::LeaseId id);
  // Executes a transaction that writes one report under its lease, or that reads the policy's records.
  // Rejects all others.
  coordination::TransactionResult commit(Micros now, const coordination::Transaction& transaction);
  // Returns the replicated records of the policy, for watches. They are empty before the first snapshot.
  const coordination::KeyValueState& records() const { return records_; }
  bool has_snapshot() const { return has_snapshot_; }

  // ---- Calls to the store ----

  // Returns the object that processes the responses to the calls that step() returns.
  UpstreamLease& upstream() { return upstream_; }
  const UpstreamLease& upstream() const { return upstream_; }
  // Returns the calls to the store to make now.
  std::vector<UpstreamAction> step(Micros now);
  // Returns when step() has to be called next if no event occurs earlier, or nothing if only an event can
  // cause a call.
  std::optional<Micros> next_step_at(Micros now) const;

  // Stops granting and renewing leases. The aggregator releases its own lease once all routers' leases have
  // ended.
  void drain() { draining_ = true; }
  // Returns whether the aggregator drains and has released its own lease.
  bool drained() const { return draining_ && upstream_.stopped(); }

  const AggregatorIdentity& identity() const { return identity_; }
  const AggregatorCounts& counts() const { return counts_; }
  std::size_t router_count() const { return router_leases_.size(); }
  // Returns the current summaries, whether or not they are written.
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
  // Returns the time by which routers' leases have to end, or nothing if no lease may be granted or renewed.
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
