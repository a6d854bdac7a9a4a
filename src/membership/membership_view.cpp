#include "membership/membership_view.h"

#include <algorithm>
#include <cmath>

namespace trailcourse::membership {

namespace {

// Added to a computed time, which rounding might otherwise place before the change.
constexpr Micros kRoundingMargin{1'000};

}  // namespace

const char* to_string(MemberStatus status) {
  switch (status) {
    case MemberStatus::kActive:
      return "in";
    case MemberStatus::kDamped:
      return "damped";
    case MemberStatus::kSuspected:
      return "doubted";
    case MemberStatus::kDraining:
      return "draining";
    case MemberStatus::kSuperseded:
      break;
  }
  return "shadowed";
}

void MembershipView::begin_snapshot() {
  in_snapshot_ = true;
  snapshot_keys_.clear();
}

void MembershipView::end_snapshot(Micros, std::uint64_t revision) {
  in_snapshot_ = false;
  remove_missing_sessions();
  remove_missing_suspicions();
  revision_ = std::max(revision_, revision);
}

void MembershipView::remove_missing_sessions() {
  std::vector<Member> missing;
  for (const auto& [name, sessions] : sessions_) {
    for (const auto& [incarnation, session] : sessions) {
      if (!snapshot_keys_.contains(member_key(name, incarnation))) {
        missing.push_back(session.member);
      }
    }
  }
  for (const Member& member : missing) {
    remove_session(member.name, member.incarnation);
  }
}

void MembershipView::remove_missing_suspicions() {
  for (auto& [member, by_reporter] : suspicions_) {
    std::erase_if(by_reporter, [this, &suspected = member](const auto& entry) {
      return !snapshot_keys_.contains(suspicion_key(suspected, entry.first));
    });
  }
}

void MembershipView::apply(Micros now, const std::string& key, const std::string& value,
                           std::uint64_t created, std::uint64_t revision) {
  if (in_snapshot_) {
    snapshot_keys_.insert(key);
  }
  revision_ = std::max(revision_, revision);
  const bool deleted = value.empty();
  // A deletion has no value. Parsing an empty record yields the names in the key.
  const std::string& record = deleted ? "{}" : value;
  if (const auto member = read_member(key, record)) {
    if (deleted) {
      remove_session(member->name, member->incarnation);
    } else {
      add_session(now, *member, created);
    }
  } else if (const auto suspicion = read_suspicion(key, record)) {
    if (deleted) {
      suspicions_[suspicion->member].erase(suspicion->reporter);
    } else {
      suspicions_[suspicion->member][suspicion->reporter] = *suspicion;
    }
  }
}

void MembershipView::add_session(Micros now, const Member& member, std::uint64_t created) {
  FlapState& flap = flaps_[member.name];
  // Only the return of a member that has left counts as a flap; its first appearance does not.
  if (flap.has_left) {
    flap.penalty = flap_penalty(flap, now) + 1.0;
    flap.updated_at = now;
    flap.has_left = false;
    flap.damped = flap.damped || flap.penalty >= options_.suppress;
  }
  sessions_[member.name][member.incarnation] = Session{member, created};
}

void MembershipView::remove_session(const std::string& name, const std::string& incarnation) {
  const auto found = sessions_.find(name);
  if (found == sessions_.end() || found->second.erase(incarnation) == 0) {
    return;
  }
  // If a newer session exists, the process was restarted and the member has not left.
  if (found->second.empty()) {
    sessions_.erase(found);
    flaps_[name].has_left = true;
  }
}

const MembershipView::Session* MembershipView::latest_session(const std::string& name) const {
  const auto found = sessions_.find(name);
  if (found == sessions_.end()) {
    return nullptr;
  }
  const auto latest = std::max_element(
      found->second.begin(), found->second.end(),
      [](const auto& left, const auto& right) { return left.second.created < right.second.created; });
  return &latest->second;
}

double MembershipView::flap_penalty(const FlapState& flap, Micros now) const {
  return flap.penalty * std::exp2(-static_cast<double>((now - flap.updated_at).count()) /
                                  static_cast<double>(options_.half_life.count()));
}

bool MembershipView::is_damped(const FlapState& flap, Micros now) const {
  return flap.damped && flap_penalty(flap, now) >= options_.reuse;
}

// The report of a member that cannot reach any of its peers does not count: that member is itself
// disconnected.
bool MembershipView::is_credible(const Suspicion& suspicion) const {
  if (suspicion.reporter == suspicion.member || !sessions_.contains(suspicion.reporter)) {
    return false;
  }
  return suspicion.probed < 2 || suspicion.failed < suspicion.probed;
}

int MembershipView::suspecting_peers(const std::string& name) const {
  const auto found = suspicions_.find(name);
  if (found == suspicions_.end()) {
    return 0;
  }
  return static_cast<int>(std::count_if(found->second.begin(), found->second.end(),
                                        [this](const auto& entry) { return is_credible(entry.second); }));
}

MemberStatus MembershipView::status(const Session& session, Micros now) const {
  const std::string& name = session.member.name;
  if (superseded(name, session.member.incarnation)) {
    return MemberStatus::kSuperseded;
  }
  if (session.member.draining) {
    return MemberStatus::kDraining;
  }
  const int others = static_cast<int>(sessions_.size()) - 1;
  if (others > 0 && suspecting_peers(name) >= std::min(options_.min_suspecting_peers, others)) {
    return MemberStatus::kSuspected;
  }
  const auto flap = flaps_.find(name);
  return flap != flaps_.end() && is_damped(flap->second, now) ? MemberStatus::kDamped : MemberStatus::kActive;
}

std::vector<MemberEntry> MembershipView::members(Micros now) const {
  std::vector<MemberEntry> out;
  for (const auto& [name, sessions] : sessions_) {
    const auto flap = flaps_.find(name);
    for (const auto& [incarnation, session] : sessions) {
      MemberEntry entry;
      entry.member = session.member;
      entry.joined_revision = session.created;
      entry.status = status(session, now);
      entry.flap_penalty = flap == flaps_.end() ? 0.0 : flap_penalty(flap->second, now);
      entry.suspecting_peers = suspecting_peers(name);
      out.push_back(std::move(entry));
    }
  }
  return out;
}

std::vector<std::string> MembershipView::eligible(Micros now, const std::string& zone) const {
  std::vector<std::string> out;
  for (const auto& [name, sessions] : sessions_) {
    const Session& session = *latest_session(name);
    const bool in_zone = zone.empty() || session.member.zone == zone;
    if (in_zone && status(session, now) == MemberStatus::kActive) {
      out.push_back(name);
    }
  }
  return out;
}

bool MembershipView::superseded(const std::string& name, const std::string& incarnation) const {
  const auto found = sessions_.find(name);
  if (found == sessions_.end() || !found->second.contains(incarnation)) {
    return false;
  }
  return latest_session(name)->member.incarnation != incarnation;
}

std::optional<Micros> MembershipView::next_change_at(Micros now) const {
  std::optional<Micros> earliest;
  for (const auto& [name, flap] : flaps_) {
    if (!sessions_.contains(name) || !is_damped(flap, now)) {
      continue;
    }
    const double half_lives = std::log2(flap_penalty(flap, now) / options_.reuse);
    const double wait = half_lives * static_cast<double>(options_.half_life.count());
    const Micros at = now + Micros(static_cast<Micros::rep>(wait)) + kRoundingMargin;
    earliest = std::min(earliest.value_or(at), at);
  }
  return earliest;
}

}  // namespace trailcourse::membership
