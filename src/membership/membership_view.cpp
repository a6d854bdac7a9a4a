#include "membership/view.h"

#include <algorithm>
#include <cmath>

namespace trailcourse::membership {

const char* to_string(Standing standing) {
  switch (standing) {
    case Standing::kIn:
      return "in";
    case Standing::kDamped:
      return "damped";
    case Standing::kDoubted:
      return "doubted";
    case Standing::kDraining:
      return "draining";
    case Standing::kShadowed:
      break;
  }
  return "shadowed";
}

void View::begin_whole() {
  whole_ = true;
  named_.clear();
}

void View::end_whole(Micros now, std::uint64_t revision) {
  whole_ = false;
  std::vector<std::pair<std::string, std::string>> gone;
  for (const auto& [name, starts] : starts_) {
    for (const auto& [incarnation, start] : starts) {
      if (!named_.contains(member_key(name, incarnation))) {
        gone.emplace_back(name, incarnation);
      }
    }
  }
  for (const auto& [name, incarnation] : gone) {
    went(now, name, incarnation);
  }
  for (auto& [name, by] : doubts_) {
    std::erase_if(
        by, [&, &whom = name](const auto& one) { return !named_.contains(doubt_key(whom, one.first)); });
  }
  number_ = std::max(number_, revision);
}

void View::take(Micros now, const std::string& key, const std::string& value, std::uint64_t created,
                std::uint64_t revision) {
  if (whole_) {
    named_.insert(key);
  }
  number_ = std::max(number_, revision);
  // Of what is gone the key alone tells.
  const std::string& readable = value.empty() ? "{}" : value;
  if (const auto member = read_member(key, readable)) {
    if (value.empty()) {
      went(now, member->name, member->incarnation);
    } else {
      came(now, *member, created);
    }
  } else if (const auto doubt = read_doubt(key, readable)) {
    if (value.empty()) {
      doubts_[doubt->name].erase(doubt->by);
    } else {
      doubts_[doubt->name][doubt->by] = *doubt;
    }
  }
}

void View::came(Micros now, const Member& member, std::uint64_t created) {
  Flap& flap = flaps_[member.name];
  // What returns within the sight of this one flaps; what was there when it began to look does not.
  if (flap.gone) {
    flap.penalty = penalty(flap, now) + 1.0;
    flap.at = now;
    flap.gone = false;
    flap.damped = flap.damped || flap.penalty >= rules_.suppress;
  }
  starts_[member.name][member.incarnation] = Start{member, created};
}

void View::went(Micros, const std::string& name, const std::string& incarnation) {
  const auto found = starts_.find(name);
  if (found == starts_.end() || found->second.erase(incarnation) == 0) {
    return;
  }
  // An old start that ends behind a newer one is the rest of a restart that was counted when it came.
  if (found->second.empty()) {
    starts_.erase(found);
    flaps_[name].gone = true;
  }
}

const View::Start* View::latest(const std::string& name) const {
  const auto found = starts_.find(name);
  if (found == starts_.end()) {
    return nullptr;
  }
  const auto last = std::max_element(
      found->second.begin(), found->second.end(),
      [](const auto& one, const auto& other) { return one.second.created < other.second.created; });
  return &last->second;
}

double View::penalty(const Flap& flap, Micros now) const {
  return flap.penalty * std::exp2(-static_cast<double>((now - flap.at).count()) /
                                  static_cast<double>(rules_.half_life.count()));
}

bool View::damped(const Flap& flap, Micros now) const {
  return flap.damped && penalty(flap, now) >= rules_.reuse;
}

// One that cannot reach any of those that it checks is the one that is cut off: its word does not count.
int View::doubters(const std::string& name) const {
  const auto found = doubts_.find(name);
  if (found == doubts_.end()) {
    return 0;
  }
  return static_cast<int>(
      std::count_if(found->second.begin(), found->second.end(), [this, &name](const auto& one) {
        const Doubt& doubt = one.second;
        return doubt.by != name && starts_.contains(doubt.by) &&
               (doubt.checks < 2 || doubt.fails < doubt.checks);
      }));
}

Standing View::standing(const Start& start, Micros now) const {
  const std::string& name = start.member.name;
  const Start* const last = latest(name);
  if (last != nullptr && last->member.incarnation != start.member.incarnation) {
    return Standing::kShadowed;
  }
  if (start.member.draining) {
    return Standing::kDraining;
  }
  const int others = static_cast<int>(starts_.size()) - 1;
  if (others > 0 && doubters(name) >= std::min(rules_.doubters, others)) {
    return Standing::kDoubted;
  }
  const auto flap = flaps_.find(name);
  return flap != flaps_.end() && damped(flap->second, now) ? Standing::kDamped : Standing::kIn;
}

std::vector<Seen> View::all(Micros now) const {
  std::vector<Seen> out;
  for (const auto& [name, starts] : starts_) {
    const auto flap = flaps_.find(name);
    for (const auto& [incarnation, start] : starts) {
      out.push_back(Seen{start.member, start.created, standing(start, now),
                         flap == flaps_.end() ? 0.0 : penalty(flap->second, now), doubters(name)});
    }
  }
  return out;
}

std::vector<std::string> View::eligible(Micros now, const std::string& zone) const {
  std::vector<std::string> out;
  for (const auto& [name, starts] : starts_) {
    const Start& start = *latest(name);
    if ((zone.empty() || start.member.zone == zone) && standing(start, now) == Standing::kIn) {
      out.push_back(name);
    }
  }
  return out;
}

bool View::shadowed(const std::string& name, const std::string& incarnation) const {
  const auto found = starts_.find(name);
  if (found == starts_.end() || !found->second.contains(incarnation)) {
    return false;
  }
  return latest(name)->member.incarnation != incarnation;
}

std::optional<Micros> View::next(Micros now) const {
  std::optional<Micros> out;
  for (const auto& [name, flap] : flaps_) {
    if (starts_.contains(name) && damped(flap, now)) {
      const double halvings = std::log2(penalty(flap, now) / rules_.reuse);
      const Micros until =
          now + Micros(static_cast<Micros::rep>(halvings * static_cast<double>(rules_.half_life.count()))) +
          Micros(1'000);
      out = std::min(out.value_or(until), until);
    }
  }
  return out;
}

}  // namespace trailcourse::membership
