#include "startup/readiness.h"

#include <algorithm>

namespace trailcourse::startup {

const char* to_string(State state) {
  switch (state) {
    case State::kFresh:
      return "fresh";
    case State::kProvisional:
      return "provisional";
    case State::kCurrent:
      return "current";
    case State::kDoubtful:
      return "doubtful";
    case State::kLapsed:
      break;
  }
  return "lapsed";
}

void Readiness::starts_with(Micros now, Micros known_at, bool surely_started) {
  known_at_ = std::min(now, known_at);
  heard_ = false;
  starts_unknown_ = !surely_started;
}

void Readiness::confirmed(Micros now, Micros known_at) {
  const Micros at = std::min(now, known_at);
  known_at_ = known_at_ && heard_ ? std::max(*known_at_, at) : at;
  heard_ = true;
  starts_unknown_ = false;
}

void Readiness::anew() {
  known_at_.reset();
  heard_ = false;
  starts_unknown_ = true;
}

State Readiness::state(Micros now) const {
  if (!known_at_) {
    return State::kFresh;
  }
  const Micros old = age(now);
  if (rules_.lapse.count() > 0 && old > rules_.lapse) {
    return State::kLapsed;
  }
  if (old <= rules_.told_within) {
    return heard_ ? State::kCurrent : State::kProvisional;
  }
  return heard_ ? State::kDoubtful : State::kProvisional;
}

bool Readiness::purges_may_miss(Micros now) const {
  // Caches drop what was purged by themselves after purge_done: only purges between that and told_within ago
  // can be missing and bind.
  return age(now) > rules_.told_within && rules_.told_within < rules_.purge_done;
}

Allowance Readiness::allowance(Micros now) const {
  Allowance out;
  out.state = state(now);
  out.starts_unknown = starts_unknown_;
  if (out.state == State::kFresh || out.state == State::kLapsed) {
    return out;
  }
  const bool unsure = age(now) > rules_.told_within;
  out.serves = !unsure || rules_.unsure != ReadinessRules::Unsure::kRefuse;
  out.ready = out.serves;
  if (rules_.unsure == ReadinessRules::Unsure::kGuard && purges_may_miss(now)) {
    out.oldest_copy = rules_.told_within;
  }
  return out;
}

std::optional<Micros> Readiness::changes(Micros now) const {
  if (!known_at_) {
    return std::nullopt;
  }
  // The allowance changes just behind these moments.
  const Micros doubt = *known_at_ + rules_.told_within + Micros(1);
  const Micros lapse = *known_at_ + rules_.lapse + Micros(1);
  std::optional<Micros> first;
  if (doubt > now) {
    first = doubt;
  }
  if (rules_.lapse.count() > 0 && lapse > now) {
    first = first ? std::min(*first, lapse) : lapse;
  }
  return first;
}

}  // namespace trailcourse::startup
