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

// The time is drawn between half and all of its length, so that the children of one relay do not return
// together. The length is `min_longest` at least.
void RelaySelector::quarantine(Micros now, const std::string& name, Micros min_longest) {
  Relay& relay = relays_[name];
  const int doublings = std::min(relay.failures++, kMaxDoublings);
  const Micros doubled = std::min(options_.max_quarantine, options_.initial_quarantine * (1 << doublings));
  const Micros longest = std::max(min_longest, doubled);
  std::uniform_int_distribution<Micros::rep> even(longest.count() / 2, longest.count());
  relay.quarantined_until = now + Micros(even(random_));
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

// Evenly drawn over twice the mean, from the last audit on: the sum over all routers is the stated rate.
std::optional<Micros> RelaySelector::next_audit_at(Micros now) {
  if (ancestors_.empty() || options_.audits_per_s <= 0.0) {
    return std::nullopt;
  }
  if (!audit_at_) {
    const double longest = 2.0 * routers_ / options_.audits_per_s * kMicrosPerSecond;
    std::uniform_int_distribution<Micros::rep> even(0, static_cast<Micros::rep>(longest));
    audit_at_ = now + Micros(even(random_));
  }
  return audit_at_;
}

void RelaySelector::on_audit(Micros now, std::uint64_t service_sequence, std::uint64_t own_sequence) {
  audit_at_.reset();
  if (open_audit_ && own_sequence >= open_audit_->service_sequence) {
    open_audit_.reset();
  }
  // A later audit does not give the relay more time for what an earlier one has shown.
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
