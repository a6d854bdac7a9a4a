#include "ownership/lease.h"

#include <algorithm>
#include <utility>

namespace trailcourse::ownership {

const char* to_string(LeasePhase phase) {
  switch (phase) {
    case LeasePhase::kCandidate:
      return "candidate";
    case LeasePhase::kOwner:
      return "owner";
    case LeasePhase::kRenewing:
      return "renewing";
    case LeasePhase::kUncertain:
      return "uncertain";
    case LeasePhase::kStopped:
      break;
  }
  return "stopped";
}

Micros guaranteed_duration(const LeaseOptions& options) {
  const double ttl = static_cast<double>(options.ttl.count());
  return Micros(static_cast<Micros::rep>(ttl * (1.0 - options.drift))) - options.margin;
}

std::optional<LeaseCall> Lease::step(Micros now) {
  if (in_flight_ || released_ || now < not_before_) {
    return std::nullopt;
  }
  LeaseCall call;
  if (stopping_) {
    if (term_ == 0) {
      released_ = true;
      return std::nullopt;
    }
    call.kind = LeaseCallKind::kRelease;
  } else if (term_ != 0) {
    if (now < last_granted_sent_ + options_.renew_after) {
      return std::nullopt;
    }
    call.kind = LeaseCallKind::kRenew;
  }
  call.call_id = ++last_call_id_;
  call.term = term_;
  in_flight_ = CallInFlight{call, now};
  return call;
}

std::optional<Micros> Lease::next_step_at(Micros now) const {
  if (in_flight_ || released_) {
    return std::nullopt;
  }
  const bool renews = term_ != 0 && !stopping_;
  return std::max({now, not_before_, renews ? last_granted_sent_ + options_.renew_after : now});
}

std::optional<Lease::CallInFlight> Lease::complete_call(std::uint64_t call_id) {
  if (!in_flight_ || in_flight_->call.call_id != call_id) {
    // The response belongs to an earlier call, which timed out. The next response shows what that call did.
    return std::nullopt;
  }
  return std::exchange(in_flight_, std::nullopt);
}

void Lease::on_granted(Micros, std::uint64_t call_id, Term term) {
  const std::optional<CallInFlight> completed = complete_call(call_id);
  if (!completed) {
    return;
  }
  if (completed->call.kind == LeaseCallKind::kRelease) {
    clear_grant();
    released_ = true;
    return;
  }
  term_ = completed->call.kind == LeaseCallKind::kRenew ? completed->call.term : term;
  // Measured from the sending of the call, since the store cannot have granted it earlier.
  valid_until_ = std::max(valid_until_, completed->sent + guaranteed_duration(options_));
  last_granted_sent_ = completed->sent;
}

void Lease::on_rejected(Micros now, std::uint64_t call_id) {
  const std::optional<CallInFlight> completed = complete_call(call_id);
  if (!completed) {
    return;
  }
  clear_grant();
  released_ = released_ || completed->call.kind == LeaseCallKind::kRelease;
  not_before_ = now + options_.retry_backoff;
}

void Lease::on_no_response(Micros now, std::uint64_t call_id) {
  if (complete_call(call_id)) {
    not_before_ = now + options_.retry_backoff;
  }
}

void Lease::clear_grant() {
  term_ = 0;
  valid_until_ = Micros(-1);
}

bool Lease::may_act(Micros now) const { return !stopping_ && term_ != 0 && now < valid_until_; }

LeasePhase Lease::phase(Micros now) const {
  if (stopping_ || released_) {
    return LeasePhase::kStopped;
  }
  if (term_ == 0) {
    return LeasePhase::kCandidate;
  }
  if (now >= valid_until_) {
    return LeasePhase::kUncertain;
  }
  return in_flight_ ? LeasePhase::kRenewing : LeasePhase::kOwner;
}

std::string Lease::describe() const {
  std::string out = std::to_string(term_) + " until " + std::to_string(valid_until_.count()) + " sent " +
                    std::to_string(last_granted_sent_.count()) + " not before " +
                    std::to_string(not_before_.count()) + " call " + std::to_string(last_call_id_);
  if (in_flight_) {
    const LeaseCall& call = in_flight_->call;
    out += " in flight " + std::to_string(static_cast<int>(call.kind)) + "/" + std::to_string(call.call_id) +
           "/" + std::to_string(call.term) + "@" + std::to_string(in_flight_->sent.count());
  }
  return out + (stopping_ ? " stopping" : "") + (released_ ? " released" : "");
}

void Lease::restart() {
  clear_grant();
  last_granted_sent_ = Micros(-1);
  stopping_ = false;
  released_ = false;
}

void Lease::stop(Micros now) {
  if (std::exchange(stopping_, true)) {
    return;  // a release without a response is retried after its backoff
  }
  valid_until_ = Micros(-1);
  not_before_ = std::min(not_before_, now);
}

}  // namespace trailcourse::ownership
