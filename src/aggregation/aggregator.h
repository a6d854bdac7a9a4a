// What an aggregator decides: to the routers below it is the store of the fleet's policy, to the store above
// it is one router for each zone. It mirrors the policy's records under the store's own revisions, gives
// routers permission out of its own, and says upward what all of them say together (permit_summary.h).
//
// Why nothing is decided under two versions, and what a late or woken aggregator can do: docs/aggregation.md.
//
// Package `aggregation`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "aggregation/router_leases.h"
#include "aggregation/uplink.h"
#include "coordination/key_value_state.h"

namespace trailcourse::aggregation {

struct AggregatorRules {
  ownership::LeaseRules lease;  // of its own permission
  RouterLeaseRules routers;
  std::size_t permit_bytes = 4'096;
  std::size_t history = 1'000;  // changes of the policy's records kept for watches
};

struct AggregatorIdentity {
  std::string name;
  std::string incarnation;         // of this start
  std::vector<std::string> zones;  // whose routers it takes
  std::string prefix;              // of all keys in the store
};

struct AggregatorCounts {
  std::uint64_t granted = 0;
  std::uint64_t renewed = 0;
  std::uint64_t revoked = 0;
  std::uint64_t permits = 0;  // taken in
  std::uint64_t reads = 0;
  static constexpr std::size_t kReasons = 8;
  std::array<std::uint64_t, kReasons> refused{};  // by Refused::Why
  std::uint64_t refused_in_all() const;
};

class Aggregator {
 public:
  // `seed`: of the numbers of leases; differs from start to start.
  Aggregator(const AggregatorRules& rules, AggregatorIdentity identity, std::uint64_t seed);

  // ---- From the store above ----
  // All records of the policy, at the start and whenever changes between were missed.
  void mirror(const std::vector<coordination::Entry>& entries);
  void follow(const std::vector<coordination::KeyChange>& changes);
  // Whether the store is heard; where it is not, its own permission is not renewed.
  void heard(bool heard) { heard_ = heard; }

  // ---- From routers; each throws Refused, having changed nothing ----
  coordination::LeaseId grant(Micros now, Micros ttl);
  Micros keep_alive(Micros now, coordination::LeaseId id);
  void revoke(Micros now, coordination::LeaseId id);
  // A permit under its lease, or a reading of the policy's records; nothing else.
  coordination::TransactionResult commit(Micros now, const coordination::Transaction& transaction);
  // The policy's records, for watches; empty before the first mirror().
  const coordination::KeyValueState& records() const { return records_; }
  bool mirrored() const { return mirrored_; }

  // ---- Upward ----
  Uplink& uplink() { return uplink_; }
  const Uplink& uplink() const { return uplink_; }
  std::vector<UplinkOrder> due(Micros now);
  std::optional<Micros> next(Micros now) const;

  // Takes no router any more and renews none; its own permission goes back once the last of them is over.
  void drain() { draining_ = true; }
  bool drained() const { return draining_ && uplink_.stopped(); }

  const AggregatorIdentity& identity() const { return identity_; }
  const AggregatorCounts& counts() const { return counts_; }
  std::size_t routers() const { return leases_.size(); }
  std::map<std::string, policy::Permit> summaries() const;

 private:
  void check_conditions(const coordination::Transaction& transaction) const;
  coordination::TransactionResult take_permit(Micros now, const coordination::Transaction& transaction);
  coordination::TransactionResult read_records(const coordination::Transaction& transaction);
  policy::Permit checked_permit(const coordination::Put& put, std::string& router) const;
  Micros covered_until(Micros now) const;
  bool knows_record() const;
  void read_known();
  template <typename Call>
  auto counted(Call call);

  AggregatorRules rules_;
  AggregatorIdentity identity_;
  coordination::KeyValueState records_;
  std::map<std::string, policy::Known> known_;  // by zone
  RouterLeases leases_;
  Uplink uplink_;
  AggregatorCounts counts_;
  bool mirrored_ = false;
  bool heard_ = false;
  bool draining_ = false;
};

}  // namespace trailcourse::aggregation
