#include "startup/endpoint_view.h"

#include <algorithm>
#include <utility>

namespace trailcourse::startup {
namespace {

constexpr std::uint64_t kPurgeGroups = 256;  // number of groups in the protocol
constexpr int kRenewalsPerAgeLimit = 3;      // purges are repeated this often within each age limit

bool same_attributes(const Endpoint& left, const Endpoint& right) {
  return left.zone == right.zone && left.role == right.role && left.cell == right.cell &&
         left.state == right.state && left.weight == right.weight && left.started == right.started;
}

}  // namespace

void EndpointView::restore(Micros now, Micros current_at, bool start_times_known) {
  readiness_.restore(now, current_at, start_times_known);
  default_start_ = std::max(now, Micros(1));
  changed_ = true;
}

void EndpointView::on_confirmed(Micros now, Micros current_at) {
  readiness_.on_confirmed(now, current_at);
  changed_ = changed_ || published_permissions_ != readiness_.permissions(now);
}

void EndpointView::reset(Micros now) {
  readiness_.reset();
  for (const auto& [address, entry] : listed_) {
    admission_.on_unlisted(now, address);
  }
  listed_.clear();
  default_start_ = std::max(now, Micros(1));
  changed_ = true;
}

// Replaces the list by a full one. Endpoints that are missing from it lose their admission.
void EndpointView::replace_listed(Micros now, const std::vector<Endpoint>& entries) {
  Entries replacement;
  for (const Endpoint& entry : entries) {
    replacement[entry.address] = entry;
  }
  for (const auto& [address, entry] : listed_) {
    if (!replacement.contains(address)) {
      admission_.on_unlisted(now, address);
    }
  }
  listed_ = std::move(replacement);
}

void EndpointView::on_list(Micros now, const EndpointListReceived& list) {
  if (list.kind == ListKind::kFull) {
    replace_listed(now, list.entries);
  }
  for (const Endpoint& entry : list.entries) {
    if (entry.state == NodeState::kReady) {
      admission_.on_listed(now, entry.address, entry.started.count());
    } else {
      admission_.on_unlisted(now, entry.address);
    }
    if (entry.state == NodeState::kGone) {
      listed_.erase(entry.address);
    } else {
      listed_[entry.address] = entry;
    }
  }
  has_list_ = true;
  changed_ = true;
}

// Returns the entry for the module. An endpoint whose admission is pending appears as draining, so that it
// gets no new requests. An unknown start time is replaced by the time at which the list was restored or
// reset.
Endpoint EndpointView::visible(const Endpoint& entry, const ServingPermissions& permissions) const {
  Endpoint out = entry;
  if (out.state == NodeState::kReady && !admission_.is_admitted(out.address)) {
    out.state = NodeState::kDraining;
  }
  if (permissions.start_times_unknown && out.started.count() == 0) {
    out.started = default_start_;
  }
  return out;
}

EndpointView::Entries EndpointView::visible_entries(const ServingPermissions& permissions) const {
  Entries out;
  if (permissions.may_serve) {
    for (const auto& [address, entry] : listed_) {
      out[address] = visible(entry, permissions);
    }
  }
  return out;
}

// Appends the changes since the last published list. The first list is full, as is each list that follows an
// empty one or becomes empty.
void EndpointView::append_list(const ServingPermissions& permissions, std::vector<Event>& events) {
  Entries entries = visible_entries(permissions);
  const bool first = published_.empty() && !published_permissions_;
  const bool full = published_.empty() != entries.empty() || first;
  EndpointListReceived list;
  list.kind = full ? ListKind::kFull : ListKind::kChanges;
  for (const auto& [address, entry] : entries) {
    const auto before = published_.find(address);
    if (full || before == published_.end() || !same_attributes(before->second, entry)) {
      list.entries.push_back(entry);
    }
  }
  for (const auto& [address, entry] : published_) {
    if (!full && !entries.contains(address)) {
      Endpoint removed = entry;
      removed.state = NodeState::kGone;
      list.entries.push_back(std::move(removed));
    }
  }
  published_ = std::move(entries);
  if (full || !list.entries.empty()) {
    events.emplace_back(std::move(list));
  }
}

// Enforces the age limit of copies with a purge of every group. The age of the purges is the limit minus the
// time until they are renewed, since copies grow older by that time meanwhile.
void EndpointView::append_age_limit(Micros now, Micros max_copy_age, std::vector<Event>& events) {
  const Micros renewal = std::max(Micros(1), max_copy_age / kRenewalsPerAgeLimit);
  next_age_limit_ = now + renewal;
  for (std::uint64_t group = 0; group < kPurgeGroups; ++group) {
    Purged purged;
    purged.whole_group = true;
    purged.group = group;
    purged.age = max_copy_age - renewal;
    purged.reported = false;
    events.emplace_back(purged);
  }
}

void EndpointView::step(Micros now, std::vector<Event>& events) {
  if (!has_list_) {
    return;
  }
  const ServingPermissions permissions = readiness_.permissions(now);
  const bool admitted = !admission_.admit_due(now).empty();
  if (changed_ || admitted || published_permissions_ != permissions) {
    const bool limited_before = published_permissions_ && published_permissions_->max_copy_age;
    if (permissions.max_copy_age && !limited_before) {
      next_age_limit_ = now;
    }
    append_list(permissions, events);
    published_permissions_ = permissions;
    changed_ = false;
  }
  if (permissions.max_copy_age && now >= next_age_limit_) {
    append_age_limit(now, *permissions.max_copy_age, events);
  }
}

std::optional<Micros> EndpointView::next_step_at(Micros now) const {
  std::optional<Micros> next = readiness_.next_change(now);
  const auto include = [&next](Micros at) { next = next ? std::min(*next, at) : at; };
  if (const std::optional<Micros> admission = admission_.next_admission()) {
    include(*admission);
  }
  if (published_permissions_ && published_permissions_->max_copy_age) {
    include(next_age_limit_);
  }
  return next;
}

bool EndpointView::is_ready(Micros now) const {
  if (!readiness_.permissions(now).ready) {
    return false;
  }
  return std::any_of(listed_.begin(), listed_.end(), [this](const auto& item) {
    return item.second.state == NodeState::kReady && admission_.is_admitted(item.first);
  });
}

}  // namespace trailcourse::startup
