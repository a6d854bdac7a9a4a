#include "startup/endpoint_admission.h"

#include <algorithm>
#include <utility>

namespace trailcourse::startup {
namespace {

constexpr int kMaxFlaps = 10;
constexpr std::size_t kMaxTracked = 4'096;  // endpoints, listed or not
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

Micros EndpointAdmission::window(int flaps) const {
  if (options_.admissions_per_s <= 0.0) {
    return Micros(0);
  }
  const double first = 2.0 * routers_ / options_.admissions_per_s * kMicrosPerSecond;
  const double doubled = first * (1 << std::clamp(flaps, 0, kMaxFlaps));
  const auto longest = static_cast<double>(options_.max_window.count());
  return Micros(static_cast<Micros::rep>(std::min(doubled, longest)));
}

bool EndpointAdmission::on_listed(Micros now, const std::string& name, std::int64_t incarnation) {
  Endpoint& endpoint = endpoints_[name];
  if (endpoint.listed && endpoint.incarnation == incarnation) {
    return endpoint.admitted;
  }
  const bool listed_before = endpoint.listed_at.count() > 0;
  const bool flapped = listed_before && now - endpoint.listed_at < options_.flap_window;
  endpoint.flaps = flapped ? std::min(endpoint.flaps + 1, kMaxFlaps) : 0;
  endpoint.listed_at = std::max(now, Micros(1));
  endpoint.listed = true;
  endpoint.incarnation = incarnation;
  std::uniform_int_distribution<Micros::rep> delay(0, window(endpoint.flaps).count());
  // The time drawn before remains a lower bound: flapping never makes an admission earlier.
  endpoint.admit_at = std::max(endpoint.admit_at, now) + Micros(delay(random_));
  endpoint.admitted = endpoint.admit_at <= now;
  return endpoint.admitted;
}

void EndpointAdmission::on_unlisted(Micros now, const std::string& name) {
  const auto found = endpoints_.find(name);
  if (found != endpoints_.end()) {
    found->second.listed = false;
    found->second.admitted = false;
    erase_removed(now);
  }
}

// Erases the endpoints that are not listed and whose flap window has passed. Where more than kMaxTracked are
// tracked, erases all that are not listed.
void EndpointAdmission::erase_removed(Micros now) {
  const bool too_many = endpoints_.size() > kMaxTracked;
  std::erase_if(endpoints_, [&](const auto& item) {
    const Endpoint& endpoint = item.second;
    const bool expired = now - endpoint.listed_at >= options_.flap_window && endpoint.admit_at <= now;
    return !endpoint.listed && (too_many || expired);
  });
}

std::optional<Micros> EndpointAdmission::next_admission() const {
  std::optional<Micros> next;
  for (const auto& [name, endpoint] : endpoints_) {
    if (endpoint.listed && !endpoint.admitted && (!next || endpoint.admit_at < *next)) {
      next = endpoint.admit_at;
    }
  }
  return next;
}

std::vector<std::string> EndpointAdmission::admit_due(Micros now) {
  std::vector<std::pair<Micros, std::string>> due;
  for (auto& [name, endpoint] : endpoints_) {
    if (endpoint.listed && !endpoint.admitted && endpoint.admit_at <= now) {
      endpoint.admitted = true;
      due.emplace_back(endpoint.admit_at, name);
    }
  }
  std::sort(due.begin(), due.end());
  std::vector<std::string> names;
  names.reserve(due.size());
  for (auto& [admit_at, name] : due) {
    names.push_back(std::move(name));
  }
  return names;
}

bool EndpointAdmission::is_admitted(const std::string& name) const {
  const auto found = endpoints_.find(name);
  return found != endpoints_.end() && found->second.listed && found->second.admitted;
}

std::size_t EndpointAdmission::pending() const {
  const auto is_pending = [](const auto& item) { return item.second.listed && !item.second.admitted; };
  return static_cast<std::size_t>(std::count_if(endpoints_.begin(), endpoints_.end(), is_pending));
}

int EndpointAdmission::max_connections() const {
  if (options_.endpoint_connections <= 0) {
    return options_.max_connections_per_router;
  }
  return std::clamp(options_.endpoint_connections / routers_, 1, options_.max_connections_per_router);
}

}  // namespace trailcourse::startup
