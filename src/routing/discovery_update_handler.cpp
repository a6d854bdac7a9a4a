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

void DiscoveryUpdateHandler::apply(const protocol::DiscoveryPage& page) {
  for (const std::string& reason : page.skipped) {
    log_line(Level::kWarning) << "discovery service: skipped " << reason;
  }
  for (const protocol::DiscoveryUpdate& update : page.updates) {
    if (update.sequence <= last_sequence_) {
      continue;  // applied before
    }
    if (update.sequence != last_sequence_ + 1 && last_sequence_ > 0) {
      log_line(Level::kWarning) << "discovery service: event " << update.sequence
                                << " does not follow the applied event " << last_sequence_;
    }
    last_sequence_ = update.sequence;
    std::visit([this](const auto& change) { apply(change); }, update.change);
  }
  // The last events of a page may be of an unknown kind or invalid.
  last_sequence_ = std::max(last_sequence_, page.highest_sequence);
  if (page.last_sequence < last_sequence_) {
    log_line(Level::kWarning) << "discovery service: its last event " << page.last_sequence
                              << " is before the applied event " << last_sequence_;
  }
}

void DiscoveryUpdateHandler::apply(const protocol::EndpointsChanged& update) {
  EndpointListReceived list;
  const bool first = !std::exchange(list_received_, true);
  const bool complete = update.complete || first;
  list.kind = complete ? ListKind::kFull : ListKind::kChanges;
  const auto before = complete ? listed_endpoints_ : decltype(listed_endpoints_)();
  std::set<std::string> names;
  for (const protocol::ListedEndpoint& cache : update.endpoints) {
    names.insert(cache.endpoint.address);
    for (const std::string& replaced : replaced_by(cache)) {
      remove_replaced(replaced, list);
    }
    if (is_replaced(cache)) {
      remove_replaced(cache.endpoint.address, list);
      continue;
    }
    if (!set_endpoint(cache)) {
      continue;
    }
    Endpoint endpoint = cache.endpoint;
    endpoint.started =
        cache.started_unix_ms > 0 ? DeciderClock::end_of_unix_ms(cache.started_unix_ms) : Micros(0);
    list.entries.push_back(std::move(endpoint));
  }
  for (const auto& [name, state] : before) {
    if (!names.contains(name)) {
      log_line(Level::kInfo) << "cache " << name << " is not listed any more";
      remove_endpoint(name);
    }
  }
  if (list_receiver_) {
    list_receiver_(std::move(list));
  } else {
    router_.list_received(std::move(list));
  }
}

bool DiscoveryUpdateHandler::set_endpoint(const protocol::ListedEndpoint& cache) {
  const std::string& name = cache.endpoint.address;
  const std::optional<transport::Address> old = directory_.find(name);
  const std::optional<transport::Address> address = transport::parse_address(cache.network_address);
  if (!address && cache.endpoint.state == NodeState::kReady && !old) {
    log_line(Level::kWarning) << "discovery service: cache " << name << " has no valid address";
    return false;
  }
  const std::pair<NodeState, std::int64_t> state(cache.endpoint.state, cache.started_unix_ms);
  const auto found = listed_endpoints_.find(name);
  if (found == listed_endpoints_.end() || found->second != state) {
    log_line(Level::kInfo) << "cache " << name << " is " << state_name(cache.endpoint.state)
                           << (cache.started_unix_ms > 0 ? ", started recently" : "");
  }
  if (cache.endpoint.state == NodeState::kGone) {
    remove_endpoint(name);
    return true;
  }
  if (address) {
    // The old connections are useless if the cache has another address or its process has restarted.
    const bool restarted = found != listed_endpoints_.end() && found->second.second != cache.started_unix_ms;
    if (old && (*old != *address || restarted)) {
      on_removed_(name);
    }
    directory_.set(name, *address);
  }
  listed_endpoints_[name] = state;
  if (cache.endpoint.state == NodeState::kReady) {
    ready_.insert(name);
  } else {
    ready_.erase(name);
  }
  return true;
}

// An address belongs to one process. The list may tell of a new process before it tells that the old one has
// gone, and attempts for the old one would reach the new one.
std::vector<std::string> DiscoveryUpdateHandler::replaced_by(const protocol::ListedEndpoint& cache) const {
  std::vector<std::string> out;
  const std::optional<transport::Address> address = transport::parse_address(cache.network_address);
  if (!address || cache.started_unix_ms <= 0 || cache.endpoint.state == NodeState::kGone) {
    return out;
  }
  for (const auto& [name, state] : listed_endpoints_) {
    const bool earlier = state.second < cache.started_unix_ms;
    if (earlier && name != cache.endpoint.address && directory_.find(name) == address) {
      out.push_back(name);
    }
  }
  return out;
}

// An old entry may also be told once more after that of the new process.
bool DiscoveryUpdateHandler::is_replaced(const protocol::ListedEndpoint& cache) const {
  const std::optional<transport::Address> address = transport::parse_address(cache.network_address);
  return address && cache.endpoint.state != NodeState::kGone &&
         std::any_of(listed_endpoints_.begin(), listed_endpoints_.end(), [&](const auto& listed) {
           const auto& [name, state] = listed;
           return name != cache.endpoint.address && state.second > cache.started_unix_ms &&
                  directory_.find(name) == address;
         });
}

void DiscoveryUpdateHandler::remove_replaced(const std::string& name, EndpointListReceived& list) {
  log_line(Level::kInfo) << "cache " << name << " is gone: another process has its address";
  remove_endpoint(name);
  Endpoint gone;
  gone.address = name;
  gone.state = NodeState::kGone;
  list.entries.push_back(std::move(gone));
}

void DiscoveryUpdateHandler::remove_endpoint(const std::string& name) {
  listed_endpoints_.erase(name);
  ready_.erase(name);
  directory_.remove(name);
  on_removed_(name);
}

// The event contains the time of the purge in whole milliseconds. The end of that millisecond counts as the
// time of the purge, so that no copy from before the purge is served.
void DiscoveryUpdateHandler::apply(const protocol::PurgeReceived& purge) {
  Purged purged;
  purged.whole_group = purge.whole_group;
  purged.object = purge.object;
  purged.group = purge.group;
  log_line(Level::kDebug) << "purge of " << (purge.whole_group ? "group " : "object ")
                          << (purge.whole_group ? purge.group : purge.object);
  router_.purged(purged, DeciderClock::end_of_unix_ms(purge.purged_unix_ms));
}

}  // namespace trailcourse::routing
