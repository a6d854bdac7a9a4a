#include "fill_window.h"

#include <algorithm>

namespace trailcourse {
namespace {

// The window is in seconds. Multiplied by the offered rate, it limits the sending work that waits for fills
// at the same time.
constexpr double kMinWindow = 0.03;
constexpr double kMaxWindow = 5.0;
constexpr double kGrowth = 0.04;  // seconds added per full window of successful fills
constexpr double kShrinkFactor = 0.8;
constexpr Micros kShrinkPause = std::chrono::milliseconds(300);  // between two reductions

constexpr double kMinOfferSpan = 1.0;       // seconds; minimum span over which the offered rate is averaged
constexpr double kOfferDecay = 0.998;       // per request; the rate covers the last few hundred requests
constexpr double kFailureSmoothing = 0.05;  // weight of the latest fill in the average failure rate
constexpr double kFailingThreshold = 0.2;   // failure rate above which the window shrinks

}  // namespace

void FillWindow::on_request(const Request& request) { offered_.add(request.work, context_.now, kOfferDecay); }

// Returns the offered rate: seconds of sending that clients have requested from this router per second.
double FillWindow::offered() const { return offered_.per_second(kMinOfferSpan); }

bool FillWindow::fills_failing() const { return failure_rate_ > kFailingThreshold; }

bool FillWindow::probable_miss(const Request& request, int cache) const {
  const ObjectEntry* entry = objects_.find(request.object_key);
  const Micros age = purges_.max_age_at_connected_caches(request);
  return context_.cacheable(request) && (entry == nullptr || entry->cached_at != cache ||
                                         (age.count() > 0 && context_.now - entry->cached_since > age));
}

bool FillWindow::exceeded_by(const Request& request) {
  const double cost = shedding_.fill_window_work(request) + LatencyModel::kOverhead;
  const double available = window_ * offered() - reserved_;
  return idempotency_.may_reject(request) && available < cost &&
         (reserved_ > 0.0 || available < cost * context_.draw(0.0, 1.0));
}

void FillWindow::on_attempt_ended(const Request& request, const Attempt& attempt, const AttemptEnded& ended) {
  reserved_ = std::max(0.0, reserved_ - attempt.fill_work);
  if (!concerns_fill(request, attempt, ended)) {
    return;
  }
  const bool good = ended.status == Status::kOk && latency_.on_time(request);
  if (good && shows_holder(context_.settings, ended.note)) {
    return;  // a parent had the object cached, which gives no evidence about the origin
  }
  failure_rate_ += kFailureSmoothing * ((good ? 0.0 : 1.0) - failure_rate_);
  adapt(attempt, good);
}

bool FillWindow::concerns_fill(const Request& request, const Attempt& attempt,
                               const AttemptEnded& ended) const {
  if (attempt.fill_work <= 0.0 || indicates_hit(ended.note)) {
    return false;
  }
  // If another attempt replaced this one, only the outcome of the other attempt counts.
  const bool replaced = attempt.avoid_node || attempt.avoid_source;
  switch (ended.status) {
    case Status::kCancelled:
      return !replaced && !latency_.on_time(request);
    case Status::kReset:
    case Status::kConnectFailed:
    case Status::kNotSent:
      return false;
    default:
      return true;
  }
}

void FillWindow::adapt(const Attempt& attempt, bool good) {
  if (good) {
    const double window = std::max(attempt.fill_work, window_ * offered());
    window_ = std::min(kMaxWindow, window_ + kGrowth * attempt.fill_work / window);
  } else if (fills_failing() && context_.now >= shrunk_at_ + kShrinkPause) {
    const double used = (reserved_ + attempt.fill_work) / std::max(attempt.fill_work, offered());
    window_ = std::max(kMinWindow, kShrinkFactor * std::min(window_, used));
    shrunk_at_ = context_.now;
  }
}

}  // namespace trailcourse
