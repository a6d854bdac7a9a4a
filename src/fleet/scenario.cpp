#include "fleet/scenario.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include "protocol/fastcgi_peer.h"
#include "protocol/numbers.h"

namespace trailcourse::fleet {

using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;

namespace {

bool matches_any(const std::vector<std::string>& patterns, const std::string& name) {
  return std::any_of(patterns.begin(), patterns.end(),
                     [&name](const std::string& pattern) { return matches_pattern(pattern, name); });
}

}  // namespace

Scenario::Scenario(transport::Scheduler& scheduler, Layout& layout, PortAllocator& ports, std::string program,
                   const std::vector<std::string>& proxied)
    : scheduler_(scheduler), layout_(layout), supervisor_(scheduler, layout, std::move(program)) {
  const std::string board = layout.member(layout.names(Kind::kDiscoveryServer).front()).address;
  for (Member& member : layout.members()) {
    const std::string to_board = member.name + ">board";
    const std::string to_node = "*>" + member.name;
    const auto add = [&](const std::string& name, const std::string& target) {
      const transport::Address at = ports.allocate();
      proxies_.push_back(
          std::make_unique<FaultProxy>(scheduler, name, at, *transport::parse_address(target)));
      return transport::to_string(at);
    };
    const std::string to_registry = member.name + ">registry";
    const bool polls_discovery =
        member.kind == Kind::kRouter || member.kind == Kind::kCache || member.kind == Kind::kParent;
    if (polls_discovery && matches_any(proxied, to_board)) {
      member.discovery_address = add(to_board, board);
    }
    if (!member.coordination_address.empty() && matches_any(proxied, to_registry)) {
      member.coordination_address = add(to_registry, member.coordination_address);
    }
    for (Endpoint& endpoint : member.aggregators) {
      if (const std::string to_aggregator = member.name + ">" + endpoint.name;
          matches_any(proxied, to_aggregator)) {
        endpoint.address = add(to_aggregator, endpoint.address);
      }
    }
    if (is_listed(member.kind) && matches_any(proxied, to_node)) {
      member.advertised_address = add(to_node, member.address);
    }
  }
  layout_.write();
}

Scenario::~Scenario() = default;

FaultProxy* Scenario::link(const std::string& name) {
  const auto found = std::find_if(proxies_.begin(), proxies_.end(),
                                  [&name](const auto& proxy) { return proxy->name() == name; });
  return found == proxies_.end() ? nullptr : found->get();
}

std::vector<FaultProxy*> Scenario::links() {
  std::vector<FaultProxy*> out;
  out.reserve(proxies_.size());
  for (const auto& proxy : proxies_) {
    out.push_back(proxy.get());
  }
  return out;
}

void Scenario::apply(const Fault& fault) {
  if (is_link_fault(fault.kind)) {
    for (const auto& proxy : proxies_) {
      if (matches_pattern(fault.target, proxy->name())) {
        proxy->apply(fault);
      }
    }
    return;
  }
  std::vector<std::string> names;
  for (const Member& member : layout_.members()) {
    if (matches_pattern(fault.target, member.name)) {
      names.push_back(member.name);
    }
  }
  for (const std::string& name : names) {
    switch (fault.kind) {
      case FaultKind::kStart:
        supervisor_.start(name);
        break;
      case FaultKind::kKill:
        supervisor_.kill(name);
        break;
      case FaultKind::kEnd:
        supervisor_.signal(name, SIGTERM);
        break;
      case FaultKind::kStop:
        supervisor_.signal(name, SIGSTOP);
        break;
      case FaultKind::kCont:
        supervisor_.signal(name, SIGCONT);
        break;
      case FaultKind::kHup:
        supervisor_.signal(name, SIGHUP);
        break;
      default:
        break;
    }
  }
}

void Scenario::start_script(std::vector<Fault> script) {
  script_ = std::move(script);
  next_ = 0;
  started_at_ = Clock::now();
}

void Scenario::apply_due_faults() {
  const auto elapsed_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - started_at_).count();
  while (next_ < script_.size() && script_[next_].at_ms <= elapsed_ms) {
    apply(script_[next_++]);
  }
}

// A connection to one router.
class StatusPoller::Link : public Connection::Handler {
 public:
  Link(RouterStatus& status, const std::shared_ptr<Connection>& connection)
      : status_(&status), connection_(connection) {}

  bool ended() const { return connection_.ended(); }
  void send_check() {
    if (!in_flight_) {
      in_flight_ = true;
      connection_.write(protocol::fastcgi_peer::request_bytes(1, {{"SCRIPT_NAME", "/healthz"}}, ""));
    }
  }
  void detach() {
    status_ = nullptr;
    connection_.close(ConnectionEnd::kDropped);
  }
  void on_bytes(std::string_view bytes) override {
    constexpr std::uint8_t kStdout = 6;
    constexpr std::uint8_t kEndRequest = 3;
    bytes_ += bytes;
    for (const protocol::fastcgi_peer::Record& record : protocol::fastcgi_peer::take_records(bytes_)) {
      if (record.type == kStdout) {
        text_ += record.content;
      } else if (record.type == kEndRequest) {
        in_flight_ = false;
        apply(std::exchange(text_, {}));
      }
    }
  }
  void on_end(ConnectionEnd) override {
    if (status_ != nullptr) {
      status_->up = false;
      status_->ready = false;
      status_->state = "-";
    }
  }

 private:
  void apply(const std::string& text) {
    if (status_ == nullptr) {
      return;
    }
    status_->up = true;
    status_->ready = text.starts_with("Status: 200");
    const std::size_t end = text.find("\r\n\r\n");
    const nlohmann::json body =
        nlohmann::json::parse(end == std::string::npos ? "" : text.substr(end + 4), nullptr, false);
    if (body.is_object()) {
      status_->state = body.value("state", std::string("plain"));
      status_->event = body.value("event", std::uint64_t{0});
      status_->polls = body.value("calls", std::uint64_t{0});
      status_->failed_polls = body.value("failed", std::uint64_t{0});
      status_->age_ms = body.value("age_ms", std::int64_t{-1});
    } else {
      status_->state = "plain";
    }
  }

  RouterStatus* status_;
  transport::ConnectionHandle connection_;
  std::string bytes_;
  std::string text_;
  bool in_flight_ = false;
};

StatusPoller::StatusPoller(transport::Scheduler& scheduler, const Layout& layout)
    : scheduler_(scheduler), layout_(layout) {
  for (const std::string& router : layout.names(Kind::kRouter)) {
    statuses_[router].router = router;
  }
}

StatusPoller::~StatusPoller() {
  for (const auto& [router, link] : links_) {
    link->detach();
  }
}

void StatusPoller::refresh(const std::vector<std::string>& routers) {
  for (const std::string& router : routers) {
    std::shared_ptr<Link>& link = links_[router];
    if (!link || link->ended()) {
      const Connection::Bounds bounds;
      const auto connection =
          Connection::connect(scheduler_, *transport::parse_address(layout_.member(router).address), bounds);
      link = std::make_shared<Link>(statuses_[router], connection);
      connection->start(link);
    }
    link->send_check();
  }
}

}  // namespace trailcourse::fleet
