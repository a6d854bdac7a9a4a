#include "startup/relay_selector.h"

#include <algorithm>

namespace trailcourse::startup {
namespace {

constexpr int kMostDoublings = 10;
constexpr double kMicros = 1e6;

}  // namespace

Upstream::Upstream(const UpstreamRules& rules, std::vector<std::string> ancestors, std::uint64_t seed)
    : rules_(rules), ancestors_(std::move(ancestors)), random_(seed) {}

bool Upstream::passed_over(Micros now, const std::string& relay) const {
  const auto found = relays_.find(relay);
  return found != relays_.end() && now < found->second.until;
}

std::optional<std::string> Upstream::choose(Micros now) const {
  if (now < board_until_) {
    return std::nullopt;
  }
  for (const std::string& relay : ancestors_) {
    if (!passed_over(now, relay)) {
      return relay;
    }
  }
  return std::nullopt;
}

// Drawn between half and whole, so that the children of one relay do not come back together.
void Upstream::pass_over(Micros now, const std::string& relay, Micros least) {
  Relay& known = relays_[relay];
  const int doublings = std::min(known.failures++, kMostDoublings);
  const Micros longest =
      std::max(least, std::min(rules_.most_pass_over, rules_.first_pass_over * (1 << doublings)));
  std::uniform_int_distribution<Micros::rep> even(longest.count() / 2, longest.count());
  known.until = now + Micros(even(random_));
  if (++in_a_row_ >= rules_.failures_to_board) {
    board_until_ = std::max(board_until_, known.until);
  }
}

Upstream::Belief Upstream::answered(Micros now, const std::string& relay, const std::string& self,
                                    const Said& said) {
  if (std::find(said.path.begin(), said.path.end(), self) != said.path.end()) {
    pass_over(now, relay, rules_.first_pass_over);
    return Belief::kCircle;
  }
  if (said.age < Micros(0) || said.age > rules_.most_age) {
    pass_over(now, relay, Micros(0));
    return Belief::kTooOld;
  }
  relays_[relay].failures = 0;
  in_a_row_ = 0;
  return Belief::kGood;
}

void Upstream::failed(Micros now, const std::string& relay) { pass_over(now, relay, Micros(0)); }

// Even over twice the mean, from the last one on: the sum over all routers is the stated rate.
std::optional<Micros> Upstream::audit_due(Micros now) {
  if (ancestors_.empty() || rules_.audits_per_s <= 0.0) {
    return std::nullopt;
  }
  if (!audit_at_) {
    const auto longest = static_cast<Micros::rep>(2.0 * routers_ / rules_.audits_per_s * kMicros);
    std::uniform_int_distribution<Micros::rep> even(0, longest);
    audit_at_ = now + Micros(even(random_));
  }
  return audit_at_;
}

void Upstream::audited(Micros now, std::uint64_t board_last, std::uint64_t own_last) {
  audit_at_.reset();
  if (open_audit_ && own_last >= open_audit_->number) {
    open_audit_.reset();
  }
  // A later audit does not give the relay more time for what it should have told by an earlier one.
  if (!open_audit_ && board_last > own_last) {
    open_audit_ = Audit{board_last, now};
  }
}

bool Upstream::withholds(Micros now, const std::string& relay, std::uint64_t own_last) {
  if (!open_audit_) {
    return false;
  }
  if (own_last >= open_audit_->number) {
    open_audit_.reset();
    return false;
  }
  if (now - open_audit_->at <= rules_.most_age) {
    return false;
  }
  open_audit_.reset();
  relays_[relay].until = now + rules_.distrust;
  return true;
}

}  // namespace trailcourse::startup
