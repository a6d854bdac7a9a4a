#include "ownership/lease.h"

#include <algorithm>
#include <utility>

namespace trailcourse::ownership {

const char* to_string(Phase phase) {
  switch (phase) {
    case Phase::kCandidate:
      return "candidate";
    case Phase::kOwner:
      return "owner";
    case Phase::kRenewing:
      return "renewing";
    case Phase::kDoubtful:
      return "doubtful";
    case Phase::kStopped:
      break;
  }
  return "stopped";
}

Micros surely_held(const LeaseRules& rules) {
  const double ttl = static_cast<double>(rules.ttl.count());
  return Micros(static_cast<Micros::rep>(ttl * (1.0 - rules.drift))) - rules.margin;
}

std::optional<Order> Lease::due(Micros now) {
  if (out_ || released_ || now < not_before_) {
    return std::nullopt;
  }
  Order order;
  if (stopping_) {
    if (term_ == 0) {
      released_ = true;
      return std::nullopt;
    }
    order.ask = Ask::kRelease;
  } else if (term_ != 0) {
    if (now < last_sent_ + rules_.renew_after) {
      return std::nullopt;
    }
    order.ask = Ask::kRenew;
  }
  order.number = ++last_number_;
  order.term = term_;
  out_ = Out{order, now};
  return order;
}

std::optional<Micros> Lease::next(Micros now) const {
  if (out_ || released_) {
    return std::nullopt;
  }
  const bool renews = term_ != 0 && !stopping_;
  return std::max({now, not_before_, renews ? last_sent_ + rules_.renew_after : now});
}

void Lease::granted(Micros, std::uint64_t number, Term term) {
  if (!out_ || out_->order.number != number) {
    return;  // of a call that was given up: what it gave is found out by asking again
  }
  const Out out = *out_;
  out_.reset();
  if (out.order.ask == Ask::kRelease) {
    forget();
    released_ = true;
    return;
  }
  term_ = out.order.ask == Ask::kRenew ? out.order.term : term;
  // Timed from its sending: the store began to count then at the earliest.
  until_ = std::max(until_, out.sent + surely_held(rules_));
  last_sent_ = out.sent;
}

void Lease::refused(Micros now, std::uint64_t number) {
  if (!out_ || out_->order.number != number) {
    return;
  }
  const bool released = out_->order.ask == Ask::kRelease;
  out_.reset();
  forget();
  released_ = released_ || released;
  not_before_ = now + rules_.retry;
}

void Lease::lost(Micros now, std::uint64_t number) {
  if (!out_ || out_->order.number != number) {
    return;
  }
  out_.reset();
  not_before_ = now + rules_.retry;
}

void Lease::forget() {
  term_ = 0;
  until_ = Micros(-1);
}

bool Lease::may_act(Micros now) const { return !stopping_ && term_ != 0 && now < until_; }

Phase Lease::phase(Micros now) const {
  if (stopping_ || released_) {
    return Phase::kStopped;
  }
  if (term_ == 0) {
    return Phase::kCandidate;
  }
  if (now >= until_) {
    return Phase::kDoubtful;
  }
  return out_ ? Phase::kRenewing : Phase::kOwner;
}

std::string Lease::describe() const {
  std::string out = std::to_string(term_) + " until " + std::to_string(until_.count()) + " sent " +
                    std::to_string(last_sent_.count()) + " not before " +
                    std::to_string(not_before_.count()) + " number " + std::to_string(last_number_);
  if (out_) {
    out += " out " + std::to_string(static_cast<int>(out_->order.ask)) + "/" +
           std::to_string(out_->order.number) + "/" + std::to_string(out_->order.term) + "@" +
           std::to_string(out_->sent.count());
  }
  return out + (stopping_ ? " stopping" : "") + (released_ ? " released" : "");
}

void Lease::start_again() {
  forget();
  last_sent_ = Micros(-1);
  stopping_ = false;
  released_ = false;
}

void Lease::stop(Micros now) {
  if (std::exchange(stopping_, true)) {
    return;  // a release that was lost is tried again in its time
  }
  until_ = Micros(-1);
  not_before_ = std::min(not_before_, now);
}

}  // namespace trailcourse::ownership
