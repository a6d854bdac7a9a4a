#include "slow_start.h"

#include <cmath>

#include "hashing.h"

namespace trailcourse {
namespace {

constexpr double kBudgetShare = 0.7;  // share of the overload budget that the slots of all routers use
constexpr double kSlotLength = 1.0;   // time that a slot stays open, in overload spans
constexpr double kMinPeriod = 0.25;   // minimum time between a router's slot starts, in overload spans
constexpr double kMinPause = 0.999;   // in periods; less than 1, so that rounding skips no slot
constexpr double kPeriodStep = 0.5;   // octaves, so that routers with similar means have the same period
constexpr double kMinCapacityShare = 0.01;
constexpr double kGoldenRatio = 0.6180339887498949;  // its multiples modulo 1 are spaced almost evenly

}  // namespace

SlowStart::SlowStart(const DecisionContext& context, const SendingTimes& sending_times, std::uint64_t seed)
    : context_(context),
      sending_times_(sending_times),
      phase_(context.settings.self_index >= 0 ? context.settings.self_index * kGoldenRatio
                                              : to_unit_interval(seed)) {}

double SlowStart::rising_share(const Node& node) const {
  const Settings& settings = context_.settings;
  const bool parent = node.endpoint.role == Role::kParent;
  const double from = parent ? settings.parent_slow_start_from : settings.slow_start_from;
  const double span = to_seconds(parent ? settings.parent_slow_start_span : settings.slow_start_span);
  if (node.endpoint.role == Role::kOrigin || span <= 0.0) {
    return 1.0;
  }
  return std::min(1.0, std::max(from, kMinCapacityShare) + (1.0 - from) * age(node) / span);
}

double SlowStart::age(const Node& node) const {
  return std::max(0.0, to_seconds(context_.now - node.endpoint.started));
}

bool SlowStart::slot_open(const Node& node) const {
  return context_.now <
         node.slow_start.begin + from_seconds(kSlotLength * to_seconds(context_.settings.overload_span));
}

bool SlowStart::fits_slot(Node& node, double cost) const {
  const Settings& settings = context_.settings;
  const bool parent = node.endpoint.role == Role::kParent;
  const int routers = std::max(1, parent ? settings.routers : settings.routers_in_zone);
  const double rate =
      kBudgetShare * overload_factor(node) * capacity_share(node) * node.transfer_capacity / routers;
  const double period = slot_period(rate);
  const double phase = phase_ + to_unit_interval(node.hash);
  const double periods = age(node) / period + phase;
  const double elapsed = period * (periods - std::floor(periods));
  const Micros begin = context_.now - from_seconds(elapsed);
  SlowStartSlot& slot = node.slow_start;
  if (begin >= slot.next_begin) {
    slot.begin = begin;
    slot.next_begin = begin + from_seconds(kMinPause * period);
    slot.tokens = rate * period;
  }
  return slot.tokens >= cost && slot_open(node);
}

// Returns the seconds from the start of one slot to the next: at least kMinPeriod overload spans, and long
// enough that the budget accrued at `rate` in one period covers the most expensive request.
double SlowStart::slot_period(double rate) const {
  const double span = to_seconds(context_.settings.overload_span);
  const double octaves = std::log2(sending_times_.largest_upper_mean() / (rate * kMinPeriod * span));
  return kMinPeriod * span * std::exp2(kPeriodStep * std::ceil(std::max(0.0, octaves) / kPeriodStep));
}

double SlowStart::charge(Node& node, double cost) const {
  const double charged = limits(node) ? cost : 0.0;
  node.slow_start.tokens -= charged;
  return charged;
}

void SlowStart::refund(Node& node, const Attempt& attempt, double cost) {
  node.slow_start.tokens += attempt.sent >= node.slow_start.begin ? cost : 0.0;
}

bool SlowStart::may_begin(const Node& node, const Attempt& attempt) const {
  const bool charged_to_open_slot =
      attempt.sent >= node.slow_start.begin && node.slow_start.begin > Micros(0) && slot_open(node);
  return charged_to_open_slot || !limits(node);
}

}  // namespace trailcourse
