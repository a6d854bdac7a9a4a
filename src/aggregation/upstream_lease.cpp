#include "aggregation/upstream_lease.h"

#include <algorithm>

namespace trailcourse::aggregation {

using ownership::LeaseCall;
using ownership::LeaseCallKind;
using ownership::LeasePhase;
using policy::ParticipantReport;

namespace {

// The term of every upstream lease, and that of a released one. Upstream leases need no terms of their own,
// since the lease id in the summary's key fences the writes.
constexpr ownership::Term kTerm = 1;
constexpr ownership::Term kReleasedTerm = 0;

// The time after which a changed `waiting_for` is written if nothing else has changed. Rounds and rollouts
// usually end sooner.
constexpr Micros kWaitingForWriteDelay{1'000'000};

// Returns whether two reports are the same for the coordinator: they differ at most in the sequence number
// and in fields for operators.
bool is_equivalent(ParticipantReport left, const ParticipantReport& right) {
  left.sequence = right.sequence;
  left.waiting_for = right.waiting_for;
  left.represented_routers = right.represented_routers;
  return left == right;
}

// Returns whether the coordinator watches the requests of the zone.
bool is_watched(const ObservedByZone& observed, const std::string& zone) {
  const auto found = observed.find(zone);
  if (found == observed.end() || !found->second.rollout) {
    return false;
  }
  const policy::Rollout& rollout = *found->second.rollout;
  return rollout.state == policy::RolloutState::kWatching && rollout.applies_to(zone);
}

std::optional<Micros> earlier(std::optional<Micros> time, Micros other) {
  return std::min(time.value_or(other), other);
}

}  // namespace

// ---- Steps ----

std::vector<UpstreamAction> UpstreamLease::step(Micros now, bool connected, const ObservedByZone& observed,
                                                const SummariesByZone& summaries) {
  std::vector<UpstreamAction> out;
  if (auto action = lease_step(now, connected, observed, summaries)) {
    out.push_back(std::move(*action));
  }
  if (auto action = summaries_step(now, without_unwatched_counts(observed, summaries))) {
    out.push_back(std::move(*action));
  }
  return out;
}

// Restores the stored request counts unless the coordinator watches them, so that a change of the counts
// alone causes no write.
SummariesByZone UpstreamLease::without_unwatched_counts(const ObservedByZone& observed,
                                                        SummariesByZone summaries) const {
  for (auto& [zone, report] : summaries) {
    const auto stored = stored_.find(zone);
    if (stored != stored_.end() && stored->second.report && !is_watched(observed, zone)) {
      report.requests = stored->second.report->requests;
      report.failed_requests = stored->second.report->failed_requests;
    }
  }
  return summaries;
}

std::optional<UpstreamAction> UpstreamLease::lease_step(Micros now, bool connected,
                                                        const ObservedByZone& observed,
                                                        const SummariesByZone& summaries) {
  const bool candidate = lease_.phase(now) == LeasePhase::kCandidate;
  if (!may_call(now, connected) || (candidate && observed.size() < zones_.size())) {
    return std::nullopt;
  }
  const std::optional<LeaseCall> call = lease_.step(now);
  if (!call) {
    return std::nullopt;
  }
  LeaseAction action;
  action.call = *call;
  if (call->kind == LeaseCallKind::kAcquire) {
    reset_joined_state();
    for (const std::string& zone : zones_) {
      action.summaries.push_back(ZoneSummary{zone, summaries.at(zone), 0});
    }
    action.observed = observed;
    in_flight_ = action.summaries;
  }
  return action;
}

std::optional<UpstreamAction> UpstreamLease::summaries_step(Micros now, const SummariesByZone& summaries) {
  if (now < next_write_at_ || !may_write(now)) {
    return std::nullopt;
  }
  ReportSummariesAction action;
  for (const auto& [zone, report] : summaries) {
    const auto stored = stored_.find(zone);
    if (stored != stored_.end() && needs_write(now, stored->second, report)) {
      action.summaries.push_back(ZoneSummary{zone, report, stored->second.revision});
    }
  }
  if (action.summaries.empty()) {
    return std::nullopt;
  }
  action.call_id = ++last_write_id_;
  write_in_flight_ = true;
  in_flight_ = action.summaries;
  return action;
}

bool UpstreamLease::needs_write(Micros now, StoredSummary& stored, const ParticipantReport& report) {
  if (!stored.report || !is_equivalent(*stored.report, report)) {
    return true;
  }
  if (report.waiting_for == stored.report->waiting_for) {
    stored.waiting_for_changed_at.reset();
    return false;
  }
  stored.waiting_for_changed_at = stored.waiting_for_changed_at.value_or(now);
  return now - *stored.waiting_for_changed_at >= kWaitingForWriteDelay;
}

// The release of the lease does not require a connected store.
bool UpstreamLease::may_call(Micros now, bool connected) const {
  return connected || lease_.phase(now) == LeasePhase::kStopped;
}

// While no lease call may be made, the retry and renewal times of the lease are left out, since calls only
// become possible again after an event, such as a reconnect to the store. The expiry of the lease still
// counts.
std::optional<Micros> UpstreamLease::next_step_at(Micros now, bool connected) const {
  std::optional<Micros> out = may_call(now, connected) ? lease_.next_step_at(now) : std::nullopt;
  if (lease_.may_act(now)) {
    out = earlier(out, lease_.valid_until());
  }
  if (next_write_at_ > now) {
    out = earlier(out, next_write_at_);
  }
  for (const auto& [zone, stored] : stored_) {
    if (may_write(now) && stored.waiting_for_changed_at) {
      out = earlier(out, *stored.waiting_for_changed_at + kWaitingForWriteDelay);
    }
  }
  return out;
}

std::optional<Micros> UpstreamLease::valid_until() const {
  return joined_ ? std::optional<Micros>(lease_.valid_until()) : std::nullopt;
}

// ---- Results ----

void UpstreamLease::reset_joined_state() {
  joined_ = false;
  write_in_flight_ = false;
  stored_.clear();
  in_flight_.clear();
}

void UpstreamLease::on_join_result(Micros now, std::uint64_t call_id, const JoinResult& result) {
  if (result.status != JoinResult::Status::kJoined) {
    lease_.on_rejected(now, call_id);
    if (lease_.term() == 0) {
      reset_joined_state();
    }
    return;
  }
  lease_.on_granted(now, call_id, kTerm);
  if (lease_.term() == 0 || joined_) {
    return;  // the result of an earlier call
  }
  joined_ = true;
  required_acknowledgement_revision_ = result.acknowledgement_revision;
  for (const ZoneSummary& summary : std::exchange(in_flight_, {})) {
    stored_[summary.zone] = StoredSummary{summary.report, result.written_revision, std::nullopt};
  }
}

void UpstreamLease::on_renew_result(Micros now, std::uint64_t call_id, RenewResult result) {
  if (result == RenewResult::kRenewed) {
    lease_.on_granted(now, call_id, kTerm);
    return;
  }
  lease_.on_rejected(now, call_id);
  if (lease_.term() == 0) {
    reset_joined_state();
  }
}

void UpstreamLease::on_release_result(Micros now, std::uint64_t call_id) {
  lease_.on_granted(now, call_id, kReleasedTerm);
  if (lease_.released()) {
    reset_joined_state();
  }
}

void UpstreamLease::on_no_response(Micros now, std::uint64_t call_id) {
  lease_.on_no_response(now, call_id);
  if (!joined_) {
    in_flight_.clear();  // whether or not they were written, the next join has another lease and other keys
  }
}

void UpstreamLease::on_write_result(Micros now, std::uint64_t call_id, const SummaryWriteResult& result) {
  if (!write_in_flight_ || call_id != last_write_id_) {
    return;
  }
  write_in_flight_ = false;
  for (const ZoneSummary& summary : std::exchange(in_flight_, {})) {
    StoredSummary& stored = stored_[summary.zone];
    const auto revision = result.revisions.find(summary.zone);
    stored.revision = revision == result.revisions.end() ? stored.revision : revision->second;
    stored.waiting_for_changed_at.reset();
    if (result.status == SummaryWriteResult::Status::kWritten) {
      stored.report = summary.report;
    } else {
      stored.report.reset();  // unknown, so the summary is written again
    }
  }
  const bool retries_later = result.status == SummaryWriteResult::Status::kUnknown;
  next_write_at_ = retries_later ? now + options_.retry_backoff : now;
}

}  // namespace trailcourse::aggregation
