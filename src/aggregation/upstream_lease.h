// An aggregator's own lease at the store, and the summaries that are stored under it.
//
// All summaries are deleted when the lease ends, and each start of an aggregator acquires a new lease. The
// store rejects the writes of an aggregator whose lease has expired during a pause.
//
// Library `aggregation`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
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

  // Returns the calls to make now. The lease is neither acquired nor renewed unless the store is `connected`.
  // `observed` and `summaries` are the current ones.
  std::vector<UpstreamAction> step(Micros now, bool connected, const ObservedByZone& observed,
                                   const SummariesByZone& summaries);
  // Returns when step() has to be called next if no event occurs earlier, or nothing if only an event can
  // cause a call.
  std::optional<Micros> next_step_at(Micros now, bool connected) const;

  // Process the results of the calls. Results of earlier calls than the current one are ignored.
  void on_join_result(Micros now, std::uint64_t call_id, const JoinResult& result);
  void on_renew_result(Micros now, std::uint64_t call_id, RenewResult result);
  void on_release_result(Micros now, std::uint64_t call_id);
  // A lease call was not answered in time. It may or may not have been executed.
  void on_no_response(Micros now, std::uint64_t call_id);
  void on_write_result(Micros now, std::uint64_t call_id, const SummaryWriteResult& result);

  // Returns the time by which every lease granted to a router has to end, or nothing if the aggregator has
  // not joined. The time may be in the past.
  std::optional<Micros> valid_until() const;
  // Returns whether the aggregator has joined and its own lease is valid.
  bool is_active(Micros now) const { return joined_ && lease_.may_act(now); }
  // Returns the revision of the acknowledgement record that the aggregator has to observe before it grants a
  // lease to a router. The coordinator of the rounds did not wait for this aggregator before that revision.
  coordination::Revision required_acknowledgement_revision() const {
    return required_acknowledgement_revision_;
  }
  // Starts to release the lease. Must not be called while a router has a lease.
  void stop(Micros now) { lease_.stop(now); }
  // Returns whether the lease is released.
  bool stopped() const { return lease_.released(); }

 private:
  // A summary in the store.
  struct StoredSummary {
    std::optional<policy::ParticipantReport> report;  // nothing: unknown
    coordination::Revision revision = 0;
    std::optional<Micros> waiting_for_changed_at;  // when `waiting_for` began to differ from the stored one
  };

  void reset_joined_state();
  bool may_call(Micros now, bool connected) const;
  bool may_write(Micros now) const { return joined_ && !write_in_flight_ && lease_.may_act(now); }
  std::optional<UpstreamAction> lease_step(Micros now, bool connected, const ObservedByZone& observed,
                                           const SummariesByZone& summaries);
  std::optional<UpstreamAction> summaries_step(Micros now, const SummariesByZone& summaries);
  SummariesByZone without_unwatched_counts(const ObservedByZone& observed, SummariesByZone summaries) const;
  static bool needs_write(Micros now, StoredSummary& stored, const policy::ParticipantReport& report);

  ownership::LeaseOptions options_;
  ownership::Lease lease_;
  std::vector<std::string> zones_;
  bool joined_ = false;
  coordination::Revision required_acknowledgement_revision_ = 0;
  std::map<std::string, StoredSummary> stored_;  // by zone
  std::vector<ZoneSummary> in_flight_;           // the summaries of the call in flight
  std::uint64_t last_write_id_ = 0;
  bool write_in_flight_ = false;
  Micros next_write_at_{0};
};

}  // namespace trailcourse::aggregation
