// An aggregator's own lease at the store, and the summaries that stand there under it.
//
// All summaries end with the lease, and each start of an aggregator has a lease of its own. What an
// aggregator writes after a pause that outlived its lease is rejected by the store.
//
// Package `aggregation`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "aggregation/upstream_calls.h"

namespace trailcourse::aggregation {

class UpstreamLease {
 public:
  UpstreamLease(const ownership::LeaseOptions& options, std::vector<std::string> zones)
      : options_(options), lease_(options), zones_(std::move(zones)) {}

  // Returns the calls to make now. `connected`: whether the store answers; the lease is neither acquired
  // nor renewed while it does not. `observed` and `summaries` are the current ones.
  std::vector<UpstreamAction> step(Micros now, bool connected, const ObservedByZone& observed,
                                   const SummariesByZone& summaries);
  // Returns when step() may return something by time alone.
  std::optional<Micros> next_step_at(Micros now, bool connected) const;

  // The answers to the calls. An answer to a call that is no longer awaited is ignored.
  void on_join_result(Micros now, std::uint64_t call_id, const JoinResult& result);
  void on_renew_result(Micros now, std::uint64_t call_id, RenewResult result);
  void on_release_result(Micros now, std::uint64_t call_id);
  // A call for the lease was not answered in time: it may have been done or not.
  void on_no_response(Micros now, std::uint64_t call_id);
  void on_write_result(Micros now, std::uint64_t call_id, const SummaryWriteResult& result);

  // Returns the time by which every lease granted to a router has to end, or nothing while not joined. It may
  // be in the past.
  std::optional<Micros> valid_until() const;
  bool is_active(Micros now) const { return joined_ && lease_.may_act(now); }
  // Returns the revision of the acknowledgement record that the aggregator has to observe before it grants a
  // lease to any router. The coordinator of the rounds did not wait for this aggregator before that revision.
  coordination::Revision required_acknowledgement_revision() const {
    return required_acknowledgement_revision_;
  }
  // Releases the lease. May be called only once no router has a lease any more.
  void stop(Micros now) { lease_.stop(now); }
  bool stopped() const { return lease_.released(); }

 private:
  // A summary as it stands in the store.
  struct StoredSummary {
    std::optional<policy::ParticipantReport> report;  // nothing: unknown
    coordination::Revision revision = 0;
    std::optional<Micros> awaits_differs_since;  // since when another router is awaited than the stored one
  };

  void forget_summaries();
  bool may_call(Micros now, bool connected) const;
  bool may_write(Micros now) const { return joined_ && !write_in_flight_ && lease_.may_act(now); }
  std::optional<UpstreamAction> lease_step(Micros now, bool connected, const ObservedByZone& observed,
                                           const SummariesByZone& summaries);
  std::optional<UpstreamAction> summaries_step(Micros now, const SummariesByZone& summaries);
  SummariesByZone without_idle_counts(const ObservedByZone& observed, SummariesByZone summaries) const;
  static bool needs_write(Micros now, StoredSummary& stored, const policy::ParticipantReport& report);

  ownership::LeaseOptions options_;
  ownership::Lease lease_;
  std::vector<std::string> zones_;
  bool joined_ = false;
  coordination::Revision required_acknowledgement_revision_ = 0;
  std::map<std::string, StoredSummary> stored_;  // by zone
  std::vector<ZoneSummary> in_flight_;           // the summaries of the call that is not answered yet
  std::uint64_t last_write_id_ = 0;
  bool write_in_flight_ = false;
  Micros next_write_at_{0};
};

}  // namespace trailcourse::aggregation
