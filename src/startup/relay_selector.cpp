#include "startup/relay_selector.h"

#include <algorithm>
#include <utility>

namespace trailcourse::startup {
namespace {

constexpr int kMaxDoublings = 10;
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

RelaySelector::RelaySelector(const RelaySelectorOptions& options, std::vector<std::string> ancestors,
                             std::uint64_t seed)
    : options_(options), ancestors_(std::move(ancestors)), random_(seed) {}

bool RelaySelector::is_quarantined(Micros now, const std::string& relay) const {
  const auto found = relays_.find(relay);
  return found != relays_.end() && now < found->second.quarantined_until;
}

std::optional<std::string> RelaySelector::select(Micros now) const {
  if (now < fallback_until_) {
    return std::nullopt;
  }
  for (const std::string& relay : ancestors_) {
    if (!is_quarantined(now, relay)) {
      return relay;
    }
  }
  return std::nullopt;
}

// Draws the duration between half and all of its upper bound, so that the children of one relay do not return
// together. The upper bound is at least `min_upper_bound`.
void RelaySelector::quarantine(Micros now, const std::string& name, Micros min_upper_bound) {
  Relay& relay = relays_[name];
  const int doublings = std::min(relay.failures++, kMaxDoublings);
  const Micros doubled = std::min(options_.max_quarantine, options_.initial_quarantine * (1 << doublings));
  const Micros upper_bound = std::max(min_upper_bound, doubled);
  std::uniform_int_distribution<Micros::rep> duration(upper_bound.count() / 2, upper_bound.count());
  relay.quarantined_until = now + Micros(duration(random_));
  ++failures_in_a_row_;
  if (failures_in_a_row_ >= options_.failures_before_fallback) {
    fallback_until_ = std::max(fallback_until_, relay.quarantined_until);
  }
}

RelayValidity RelaySelector::on_response(Micros now, const std::string& relay, const std::string& self,
                                         const RelayStatus& status) {
  if (std::find(status.path.begin(), status.path.end(), self) != status.path.end()) {
    quarantine(now, relay, options_.initial_quarantine);
    return RelayValidity::kLoop;
  }
  if (status.age < Micros(0) || status.age > options_.max_age) {
    quarantine(now, relay, Micros(0));
    return RelayValidity::kStale;
  }
  relays_[relay].failures = 0;
  failures_in_a_row_ = 0;
  return RelayValidity::kValid;
}

void RelaySelector::on_failure(Micros now, const std::string& relay) { quarantine(now, relay, Micros(0)); }

// Draws the interval uniformly from 0 to twice its mean, so that the audits of all routers come at the
// configured rate.
std::optional<Micros> RelaySelector::next_audit_at(Micros now) {
  if (ancestors_.empty() || options_.audits_per_s <= 0.0) {
    return std::nullopt;
  }
  if (!audit_at_) {
    const double longest = 2.0 * routers_ / options_.audits_per_s * kMicrosPerSecond;
    std::uniform_int_distribution<Micros::rep> interval(0, static_cast<Micros::rep>(longest));
    audit_at_ = now + Micros(interval(random_));
  }
  return audit_at_;
}

void RelaySelector::on_audit(Micros now, std::uint64_t service_sequence, std::uint64_t own_sequence) {
  audit_at_.reset();
  if (open_audit_ && own_sequence >= open_audit_->service_sequence) {
    open_audit_.reset();
  }
  // A later audit does not extend the time that the relay has to deliver the events found by an earlier one.
  if (!open_audit_ && service_sequence > own_sequence) {
    open_audit_ = OpenAudit{service_sequence, now};
  }
}

bool RelaySelector::detect_withholding(Micros now, const std::string& relay, std::uint64_t own_sequence) {
  if (!open_audit_) {
    return false;
  }
  if (own_sequence >= open_audit_->service_sequence) {
    open_audit_.reset();
    return false;
  }
  if (now - open_audit_->at <= options_.max_age) {
    return false;
  }
  open_audit_.reset();
  relays_[relay].quarantined_until = now + options_.withholding_quarantine;
  return true;
}

}  // namespace trailcourse::startup
