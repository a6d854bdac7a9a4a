#include "tasks/peer_health_checks.h"

#include <chrono>
#include <string_view>

#include "membership/member_records.h"
#include "tasks/clock.h"

namespace trailcourse::tasks {

using std::chrono::milliseconds;
using transport::Connection;
using transport::ConnectionEnd;

namespace {

// A check succeeds when the connection is established. Nothing is sent on it.
class CheckHandler : public Connection::Handler {
 public:
  void on_bytes(std::string_view) override {}
  void on_end(ConnectionEnd) override {}
};

}  // namespace

PeerHealthChecks::PeerHealthChecks(transport::Scheduler& scheduler, const membership::MembershipView& view,
                                   FleetSession& session, const OwnershipOptions& options)
    : scheduler_(scheduler),
      view_(view),
      session_(session),
      prober_(session.identity().name, static_cast<std::size_t>(options.neighbours),
              static_cast<int>(options.neighbour_misses)),
      peer_count_(static_cast<std::size_t>(options.neighbours)),
      interval_(milliseconds(options.neighbour_ms)),
      timeout_(milliseconds(options.probe_timeout_ms)) {}

void PeerHealthChecks::start() {
  if (peer_count_ > 0) {
    scheduler_.spawn(run());
  }
}

transport::Task<void> PeerHealthChecks::run() {
  // Copies, since this object may be destroyed while the coroutine waits.
  const std::shared_ptr<bool> alive = alive_;
  transport::Scheduler& scheduler = scheduler_;
  const Micros interval = interval_;
  const Micros timeout = timeout_;
  for (;;) {
    co_await scheduler.sleep(interval);
    if (!*alive || stopped_) {
      co_return;
    }
    const Connections connections = connect_to_peers();
    co_await scheduler.sleep(timeout);
    if (*alive) {
      record_results(connections);
    }
    for (const auto& [name, connection] : connections) {
      connection->close(ConnectionEnd::kIdle);
    }
    if (!*alive) {
      co_return;
    }
    report_suspicions();
  }
}

PeerHealthChecks::Connections PeerHealthChecks::connect_to_peers() {
  std::vector<std::string> names;
  std::map<std::string, transport::Address> addresses;
  for (const membership::MemberEntry& entry : view_.members(steady_now())) {
    const membership::Member& member = entry.member;
    const auto address = transport::parse_address(member.address);
    const bool is_peer = member.zone == session_.identity().zone;
    if (address && is_peer && entry.status != membership::MemberStatus::kSuperseded) {
      names.push_back(member.name);
      addresses[member.name] = *address;
    }
  }
  names = prober_.select_targets(names);
  prober_.set_targets(names);
  Connections connections;
  for (const std::string& name : names) {
    Connection::Bounds bounds;
    bounds.connect_timeout = timeout_;
    const auto connection = Connection::connect(scheduler_, addresses.at(name), bounds);
    connection->start(std::make_shared<CheckHandler>());
    connections[name] = connection;
  }
  return connections;
}

void PeerHealthChecks::record_results(const Connections& connections) {
  for (const auto& [name, connection] : connections) {
    prober_.on_probe_result(name, connection->connected());
  }
}

void PeerHealthChecks::report_suspicions() {
  const std::string& self = session_.identity().name;
  const auto suspicions = prober_.suspicions();
  for (const auto& [name, suspicion] : suspicions) {
    session_.set_key(membership::suspicion_key(name, self), membership::write_suspicion(suspicion));
    reported_.insert(name);
  }
  for (auto name = reported_.begin(); name != reported_.end();) {
    if (suspicions.contains(*name)) {
      ++name;
      continue;
    }
    session_.set_key(membership::suspicion_key(*name, self), "");
    name = reported_.erase(name);
  }
}

}  // namespace trailcourse::tasks
