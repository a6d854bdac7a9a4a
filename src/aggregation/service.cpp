#include "aggregation/service.h"

#include <algorithm>
#include <cstdio>
#include <optional>
#include <utility>
#include <variant>

#include "transport/log.h"

namespace trailcourse::aggregation {

using coordination::LeaseId;
using coordination::StoreResponse;
using coordination::TransactionResult;
using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;
namespace etcd = coordination::etcd;

namespace {

constexpr const char* kHealthPage = "/healthz";
// Between two looks that time alone calls for: permissions that end one after the other are taken together.
constexpr Micros kLeastPause{5'000};
constexpr std::array<const char*, AggregatorCounts::kReasons> kReasons{
    "no_permission", "full",      "unknown_lease", "backwards",
    "malformed",     "too_large", "unknown_zone",  "not_served"};

std::string incarnation_of(std::uint64_t seed) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(seed));
  return text;
}

// As the driver below understands it: what another aggregator may do is unavailable here.
coordination::EtcdService::Response refusal(const Refused& error) {
  const std::string text = std::string("etcdserver: ") + error.what();
  switch (error.why()) {
    case Refused::Why::kNoPermission:
    case Refused::Why::kFull:
      return {503, etcd::write_error(etcd::ErrorCode::kUnavailable, text)};
    case Refused::Why::kUnknownLease:
      return {404, etcd::write_error(etcd::ErrorCode::kNotFound, text)};
    default:
      return {400, etcd::write_error(etcd::ErrorCode::kInvalidArgument, text)};
  }
}

}  // namespace

Service::Service(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                 const AggregatorOptions& options, const std::string& prefix, std::uint64_t seed)
    : scheduler_(scheduler),
      store_(store),
      options_(options),
      prefix_(prefix),
      core_(aggregator_rules(options),
            AggregatorIdentity{options.name, incarnation_of(seed), options.zones, prefix}, seed),
      server_(scheduler, *this, static_cast<std::size_t>(options.connections)),
      timer_(scheduler, [this] { turn(); }),
      next_turn_(scheduler, [this] { turn(); }) {}

Service::~Service() {
  *alive_ = false;
  if (watch_ != 0) {
    store_.unwatch(watch_);
  }
}

Micros Service::now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

void Service::start() {
  server_.listen(*transport::parse_address(options_.listen));
  watch_ = store_.watch(coordination::Range{prefix_ + policy::kRecords, true}, *this);
  turn_soon();
}

void Service::drain() {
  core_.drain();
  turn_soon();
}

// ---- From the store above ----

void Service::on_snapshot(coordination::Revision, const std::vector<coordination::Entry>& entries) {
  core_.mirror(entries);
  records_changed();
}

void Service::on_changes(coordination::Revision, const std::vector<coordination::KeyChange>& changes) {
  core_.follow(changes);
  records_changed();
}

void Service::records_changed() {
  server_.publish(core_.records(), header());
  on_heartbeat();
  turn_soon();
}

void Service::on_disconnected(const std::string& why) {
  core_.heard(false);
  if (std::exchange(heard_, false)) {
    log_line(Level::kWarning) << "the store is not heard: " << why;
  }
}

void Service::on_heartbeat() {
  core_.heard(true);
  if (!std::exchange(heard_, true)) {
    log_line(Level::kInfo) << "the store " << store_.id() << " is heard";
    turn_soon();
  }
}

// ---- Upward ----

void Service::turn() {
  if (std::exchange(turning_, true)) {
    return;
  }
  const Micros at = now();
  for (const UplinkOrder& order : core_.due(at)) {
    std::visit([this](const auto& one) { carry_out(one); }, order);
  }
  turning_ = false;
  std::optional<Clock::time_point> when;
  if (const auto next = core_.next(at)) {
    when.emplace(std::chrono::duration_cast<Clock::duration>(std::max(*next, at + kLeastPause)));
  }
  timer_.set(when);
}

void Service::carry_out(const AskPermission& ask) {
  const std::uint64_t number = ask.order.number;
  if (ask.order.ask == ownership::Ask::kAcquire) {
    acquire(ask);
  } else if (ask.order.ask == ownership::Ask::kRenew) {
    store_.keep_alive(lease_, [this, alive = alive_, number](const auto& reply) {
      if (!*alive) {
        return;
      }
      if (reply.ok()) {
        core_.uplink().renewed(now(), number, reply.value.ttl > Micros(0));
      } else {
        core_.uplink().lost(now(), number);
      }
      turn_soon();
    });
  } else {
    store_.revoke(lease_, [this, alive = alive_, number](const auto& reply) {
      if (!*alive) {
        return;
      }
      if (reply.ok()) {
        core_.uplink().released(now(), number);
      } else {
        core_.uplink().lost(now(), number);
      }
      turn_soon();
    });
  }
}

void Service::acquire(const AskPermission& ask) {
  store_.grant(milliseconds(options_.ttl_ms), [this, alive = alive_, ask](const auto& reply) {
    if (!*alive) {
      return;
    }
    if (reply.ok()) {
      join(ask, reply.value.id);
    } else {
      core_.uplink().lost(now(), ask.order.number);
      turn_soon();
    }
  });
}

// The summaries stand only where all is as this aggregator knew it: else routers below might be given
// permission under what is not in force.
void Service::join(const AskPermission& ask, LeaseId lease) {
  lease_ = lease;
  store_.commit(join_transaction(prefix_, options_.name, lease, ask),
                [this, alive = alive_, number = ask.order.number,
                 lease](const StoreResponse<TransactionResult>& reply) {
                  if (!*alive) {
                    return;
                  }
                  const bool joined = reply.ok() && reply.value.succeeded;
                  if (reply.ok()) {
                    core_.uplink().joined(now(), number, read_joined(reply.value));
                  } else {
                    core_.uplink().lost(now(), number);
                  }
                  if (joined) {
                    log_line(Level::kInfo) << "has permission at revision " << reply.value.revision;
                  } else {
                    store_.revoke(lease, [](const auto&) {});
                  }
                  turn_soon();
                });
}

void Service::carry_out(const SaySummaries& say) {
  store_.commit(say_transaction(prefix_, options_.name, lease_, say),
                [this, alive = alive_, say](const StoreResponse<TransactionResult>& reply) {
                  if (!*alive) {
                    return;
                  }
                  const SaidReply said = reply.ok() ? read_said(reply.value, say) : SaidReply{};
                  core_.uplink().said(now(), say.number, said);
                  turn_soon();
                });
}

// ---- From routers ----

etcd::ResponseHeader Service::header() const { return {store_.id(), core_.records().revision()}; }

Service::Response Service::handle(const std::string& path, const json& body) {
  if (store_.id() == 0) {
    throw coordination::ServiceUnavailable("the store above was not heard yet");
  }
  try {
    return Response{200, carry_out(path, body)};
  } catch (const Refused& error) {
    return refusal(error);
  }
}

json Service::carry_out(const std::string& path, const json& body) {
  if (path == etcd::kTxnPath) {
    const coordination::Transaction asked = etcd::read_transaction(body);
    const TransactionResult outcome = core_.commit(now(), asked);
    turn_soon();
    return etcd::write_transaction_result(header(), asked, outcome);
  }
  if (path == etcd::kGrantPath) {
    return grant(body);
  }
  if (path == etcd::kKeepAlivePath) {
    const LeaseId id = etcd::read_lease_request(body);
    const auto left = std::chrono::duration_cast<milliseconds>(core_.keep_alive(now(), id));
    return {{"result", etcd::write_lease_grant_response(header(), {id, left.count()})}};
  }
  if (path == etcd::kRevokePath) {
    core_.revoke(now(), etcd::read_lease_request(body));
    turn_soon();
    return {{"header", etcd::write_header(header())}};
  }
  throw Refused(Refused::Why::kNotServed, "no such call here: " + path);
}

json Service::grant(const json& body) {
  const etcd::LeaseGrantRequest call = etcd::read_lease_grant_request(body);
  if (call.id != 0) {
    throw Refused(Refused::Why::kNotServed, "an aggregator numbers leases itself");
  }
  const milliseconds ttl(call.ttl_ms > 0 ? call.ttl_ms : call.ttl_s * 1'000);
  const LeaseId id = core_.grant(now(), ttl);
  longest_ttl_ = std::max<Micros>(longest_ttl_, ttl);
  return etcd::write_lease_grant_response(header(), {id, ttl.count()});
}

void Service::read_state(const StateReader& reader) {
  if (!core_.mirrored() || store_.id() == 0) {
    throw coordination::ServiceUnavailable("the store's records are not here yet");
  }
  reader(core_.records(), header());
}

std::optional<Service::Response> Service::handle_get(const std::string& path) {
  if (path != kHealthPage) {
    return std::nullopt;
  }
  const bool permitted = core_.uplink().permitted(now());
  return Response{permitted ? 200 : 503, json{{"name", options_.name},
                                              {"permission", permitted},
                                              {"store", heard_ ? "heard" : "silent"},
                                              {"routers", core_.routers()},
                                              {"revision", core_.records().revision()}}};
}

std::string Service::report() const {
  const AggregatorCounts& counts = core_.counts();
  const coordination::EtcdServerCounts& server = server_.counts();
  std::string out =
      "routers=" + std::to_string(core_.routers()) +
      " permission=" + (core_.uplink().permitted(now()) ? "yes" : "no") +
      " revision=" + std::to_string(core_.records().revision()) +
      " granted=" + std::to_string(counts.granted) + " renewed=" + std::to_string(counts.renewed) +
      " revoked=" + std::to_string(counts.revoked) + " permits=" + std::to_string(counts.permits) +
      " reads=" + std::to_string(counts.reads) + " refused=" + std::to_string(counts.refused_in_all());
  for (std::size_t i = 0; i < kReasons.size(); ++i) {
    out += std::string(" refused_") + kReasons[i] + "=" + std::to_string(counts.refused[i]);
  }
  return out + " calls=" + std::to_string(server.calls) + " unreadable=" + std::to_string(server.unreadable) +
         " connections=" + std::to_string(server_.connections()) +
         " connections_refused=" + std::to_string(server.refused) +
         " bytes_read=" + std::to_string(server.bytes_read) +
         " bytes_written=" + std::to_string(server.bytes_written) +
         " store_calls=" + std::to_string(store_.counts().calls) +
         " store_failed=" + std::to_string(store_.counts().failed);
}

}  // namespace trailcourse::aggregation
