#include "startup/endpoint_view.h"

#include <algorithm>
#include <utility>

namespace trailcourse::startup {
namespace {

constexpr std::uint64_t kGroups = 256;  // purge groups of the protocol
constexpr int kFloorParts = 3;          // an age limit is told anew so often within its length

bool same(const NodeEntry& one, const NodeEntry& other) {
  return one.zone == other.zone && one.role == other.role && one.cell == other.cell &&
         one.state == other.state && one.weight == other.weight && one.started == other.started;
}

}  // namespace

void Gate::starts_with(Micros now, Micros known_at, bool surely_started) {
  readiness_.starts_with(now, known_at, surely_started);
  cold_since_ = std::max(now, Micros(1));
  changed_ = true;
}

void Gate::confirmed(Micros now, Micros known_at) {
  readiness_.confirmed(now, known_at);
  changed_ = changed_ || !acted_on_ || *acted_on_ != readiness_.allowance(now);
}

void Gate::anew(Micros now) {
  readiness_.anew();
  for (const auto& [name, entry] : known_) {
    opening_.leaves(now, name);
  }
  known_.clear();
  cold_since_ = std::max(now, Micros(1));
  changed_ = true;
}

void Gate::list(Micros now, const ListReceived& list) {
  if (list.kind == ListKind::kFull) {
    std::map<std::string, NodeEntry> named;
    for (const NodeEntry& entry : list.entries) {
      named[entry.address] = entry;
    }
    for (const auto& [name, entry] : known_) {
      if (!named.contains(name)) {
        opening_.leaves(now, name);
      }
    }
    known_ = std::move(named);
  }
  for (const NodeEntry& entry : list.entries) {
    if (entry.state == NodeState::kReady) {
      opening_.appears(now, entry.address, entry.started.count());
    } else {
      opening_.leaves(now, entry.address);
    }
    if (entry.state == NodeState::kGone) {
      known_.erase(entry.address);
    } else {
      known_[entry.address] = entry;
    }
  }
  listed_ = true;
  changed_ = true;
}

// Held back is told as draining: nothing new goes there. An unknown start is taken for this router's own.
NodeEntry Gate::shown(const NodeEntry& entry, const Allowance& allowed) const {
  NodeEntry out = entry;
  if (out.state == NodeState::kReady && !opening_.open(out.address)) {
    out.state = NodeState::kDraining;
  }
  if (allowed.starts_unknown && out.started.count() == 0) {
    out.started = cold_since_;
  }
  return out;
}

void Gate::tell_list(const Allowance& allowed, std::vector<Event>& out) {
  std::map<std::string, NodeEntry> wanted;
  if (allowed.serves) {
    for (const auto& [name, entry] : known_) {
      wanted[name] = shown(entry, allowed);
    }
  }
  ListReceived list;
  const bool whole = told_.empty() != wanted.empty() || (told_.empty() && !acted_on_);
  list.kind = whole ? ListKind::kFull : ListKind::kChanges;
  for (const auto& [name, entry] : wanted) {
    const auto before = told_.find(name);
    if (whole || before == told_.end() || !same(before->second, entry)) {
      list.entries.push_back(entry);
    }
  }
  for (const auto& [name, entry] : told_) {
    if (!whole && !wanted.contains(name)) {
      NodeEntry gone = entry;
      gone.state = NodeState::kGone;
      list.entries.push_back(std::move(gone));
    }
  }
  told_ = std::move(wanted);
  if (whole || !list.entries.empty()) {
    out.emplace_back(std::move(list));
  }
}

void Gate::tell_floor(Micros now, const Allowance& allowed, std::vector<Event>& out) {
  const Micros oldest = *allowed.oldest_copy;
  const Micros part = std::max(Micros(1), oldest / kFloorParts);
  floor_at_ = now + part;
  for (std::uint64_t group = 0; group < kGroups; ++group) {
    Purged purged;
    purged.whole_group = true;
    purged.group = group;
    purged.age = oldest - part;  // until it is told anew no copy older than `oldest` passes
    out.emplace_back(purged);
  }
}

void Gate::due(Micros now, std::vector<Event>& out) {
  if (!listed_) {
    return;
  }
  const Allowance allowed = readiness_.allowance(now);
  const bool opened = !opening_.opened(now).empty();
  if (changed_ || opened || !acted_on_ || *acted_on_ != allowed) {
    const bool floor_begins = allowed.oldest_copy && (!acted_on_ || !acted_on_->oldest_copy);
    floor_at_ = floor_begins ? now : floor_at_;
    tell_list(allowed, out);
    acted_on_ = allowed;
    changed_ = false;
  }
  if (allowed.oldest_copy && now >= floor_at_) {
    tell_floor(now, allowed, out);
  }
}

std::optional<Micros> Gate::next_due(Micros now) const {
  std::optional<Micros> first = readiness_.changes(now);
  const auto sooner = [&first](Micros at) { first = first ? std::min(*first, at) : at; };
  if (const auto opens = opening_.due()) {
    sooner(*opens);
  }
  if (acted_on_ && acted_on_->oldest_copy) {
    sooner(floor_at_);
  }
  return first;
}

bool Gate::ready(Micros now) const {
  return readiness_.allowance(now).ready &&
         std::any_of(known_.begin(), known_.end(), [this](const auto& one) {
           return one.second.state == NodeState::kReady && opening_.open(one.first);
         });
}

}  // namespace trailcourse::startup
