#include "coordination/endpoint_selector.h"

#include <algorithm>

#include "decision/hashing.h"

namespace trailcourse::coordination {

EndpointSelector::EndpointSelector(std::size_t count, Micros first_backoff, Micros max_backoff,
                                   std::uint64_t seed)
    : count_(std::max<std::size_t>(1, count)),
      first_backoff_(first_backoff),
      max_backoff_(max_backoff),
      random_(seed),
      current_(seed % count_) {}

std::optional<std::size_t> EndpointSelector::select(Micros now) const {
  return now < backoff_until_ ? std::nullopt : std::optional<std::size_t>(current_);
}

void EndpointSelector::on_success(std::size_t endpoint) {
  current_ = endpoint;
  consecutive_failures_ = 0;
  failed_rounds_ = 0;
  backoff_until_ = Micros(0);
}

void EndpointSelector::on_failure(std::size_t endpoint, Micros now) {
  if (endpoint != current_) {
    return;  // the call was sent before the selector switched endpoints
  }
  current_ = (current_ + 1) % count_;
  if (++consecutive_failures_ % count_ == 0) {
    backoff_until_ = now + next_backoff();
  }
}

// Returns the exponential backoff times a random factor from 0.5 to 1.5, so that clients that lost the store
// at the same time do not reconnect at the same time.
Micros EndpointSelector::next_backoff() {
  Micros backoff = first_backoff_;
  for (int round = 0; round < failed_rounds_ && backoff < max_backoff_; ++round) {
    backoff *= 2;
  }
  backoff = std::min(backoff, max_backoff_);
  ++failed_rounds_;
  random_ = mix(random_ + 1);
  const double jitter = 0.5 + static_cast<double>(random_ >> 11U) / static_cast<double>(1ULL << 53U);
  return Micros(static_cast<Micros::rep>(static_cast<double>(backoff.count()) * jitter));
}

}  // namespace trailcourse::coordination
