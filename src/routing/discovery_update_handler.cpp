#include "routing/discovery_update_handler.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "transport/log.h"

namespace trailcourse::routing {

using transport::Level;
using transport::log_line;

namespace {

constexpr const char* state_name(NodeState state) {
  return state == NodeState::kReady ? "up" : state == NodeState::kDraining ? "draining" : "removed";
}

}  // namespace

void DiscoveryUpdateHandler::take(const protocol::DiscoveryPage& page) {
  for (const std::string& why : page.skipped) {
    log_line(Level::kWarning) << "notice board: skipped " << why;
  }
  for (const protocol::DiscoveryUpdate& notice : page.updates) {
    if (notice.sequence <= last_) {
      continue;  // taken in before
    }
    if (notice.sequence != last_ + 1 && last_ > 0) {
      log_line(Level::kWarning) << "notice board: event " << notice.sequence << " follows " << last_;
    }
    last_ = notice.sequence;
    std::visit([this](const auto& one) { take(one); }, notice.change);
  }
  // A page may end in events that are not known here or cannot be used.
  last_ = std::max(last_, page.highest_sequence);
  if (page.last_sequence < last_) {
    log_line(Level::kWarning) << "notice board: its last event is " << page.last_sequence << ", ours " << last_;
  }
}

void DiscoveryUpdateHandler::take(const protocol::EndpointsChanged& pool) {
  EndpointListReceived list;
  const bool first = !std::exchange(listed_, true);
  const bool whole = pool.complete || first;
  list.kind = whole ? ListKind::kFull : ListKind::kChanges;
  const auto before = whole ? known_ : decltype(known_)();
  std::set<std::string> named;
  for (const protocol::ListedEndpoint& cache : pool.endpoints) {
    named.insert(cache.endpoint.address);
    if (!place(cache)) {
      continue;
    }
    Endpoint entry = cache.endpoint;
    entry.started = cache.started_unix_ms > 0 ? ModuleClock::after_unix_ms(cache.started_unix_ms) : Micros(0);
    list.entries.push_back(std::move(entry));
  }
  for (const auto& [name, state] : before) {
    if (!named.contains(name)) {
      log_line(Level::kInfo) << "cache " << name << " is not listed any more";
      leave_out(name);
    }
  }
  if (list_to_) {
    list_to_(std::move(list));
  } else {
    router_.list_received(std::move(list));
  }
}

// Keeps the address; false where the entry cannot be used.
bool DiscoveryUpdateHandler::place(const protocol::ListedEndpoint& cache) {
  const std::string& name = cache.endpoint.address;
  const std::optional<transport::Address> old = directory_.find(name);
  const std::optional<transport::Address> address = transport::parse_address(cache.address);
  if (!address && cache.endpoint.state == NodeState::kReady && !old) {
    log_line(Level::kWarning) << "notice board: cache " << name << " has no usable address";
    return false;
  }
  const std::pair<NodeState, std::int64_t> state(cache.endpoint.state, cache.started_unix_ms);
  const auto found = known_.find(name);
  if (found == known_.end() || found->second != state) {
    log_line(Level::kInfo) << "cache " << name << " is " << state_name(cache.endpoint.state)
                           << (cache.started_unix_ms > 0 ? ", started late" : "");
  }
  if (cache.endpoint.state == NodeState::kGone) {
    leave_out(name);
    return true;
  }
  if (address) {
    // Another address, or another process at the same one: the old connections lead nowhere.
    const bool restarted = found != known_.end() && found->second.second != cache.started_unix_ms;
    if (old && (*old != *address || restarted)) {
      unwanted_(name);
    }
    directory_.set(name, *address);
  }
  known_[name] = state;
  if (cache.endpoint.state == NodeState::kReady) {
    up_.insert(name);
  } else {
    up_.erase(name);
  }
  return true;
}

void DiscoveryUpdateHandler::leave_out(const std::string& name) {
  known_.erase(name);
  up_.erase(name);
  directory_.remove(name);
  unwanted_(name);
}

// The purge may have been at any time of its millisecond: the end of that is the safe reading.
void DiscoveryUpdateHandler::take(const protocol::PurgeReceived& flush) {
  Purged purged;
  purged.whole_group = flush.whole_group;
  purged.object = flush.object;
  purged.group = flush.group;
  log_line(Level::kDebug) << "purge of " << (flush.whole_group ? "group " : "object ")
                          << (flush.whole_group ? flush.group : flush.object);
  router_.purged(purged, ModuleClock::after_unix_ms(flush.purged_unix_ms));
}

}  // namespace trailcourse::routing
