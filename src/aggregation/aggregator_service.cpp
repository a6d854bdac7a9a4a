#include "aggregation/aggregator_service.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>
#include <variant>

#include "transport/log.h"

namespace trailcourse::aggregation {

using coordination::LeaseId;
using coordination::StoreResponse;
using coordination::TransactionResult;
using nlohmann::json;
using ownership::LeaseCallKind;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;
using Reason = RequestRejected::Reason;
namespace etcd = coordination::etcd;

namespace {

constexpr const char* kHealthPage = "/healthz";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;

// Shortest time between two timed steps, so that leases that expire shortly after each other are handled in
// one step.
constexpr Micros kMinStepInterval{5'000};

std::string incarnation_of(std::uint64_t seed) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(seed));
  return text;
}

// A router's client tries the next aggregator after "unavailable", and fails the call after any other error.
coordination::EtcdService::Response error_response(const RequestRejected& error) {
  const std::string text = std::string("etcdserver: ") + error.what();
  if (is_retryable_elsewhere(error.reason())) {
    return {kServiceUnavailable, etcd::write_error(etcd::ErrorCode::kUnavailable, text)};
  }
  if (error.reason() == Reason::kLeaseNotFound) {
    return {kNotFound, etcd::write_error(etcd::ErrorCode::kNotFound, text)};
  }
  return {kBadRequest, etcd::write_error(etcd::ErrorCode::kInvalidArgument, text)};
}

std::string format_count(const std::string& name, std::uint64_t value) {
  return " " + name + "=" + std::to_string(value);
}

std::string format_counts(const AggregatorCounts& counts) {
  std::string out = format_count("granted", counts.granted) + format_count("renewed", counts.renewed) +
                    format_count("revoked", counts.revoked) + format_count("permits", counts.reports) +
                    format_count("reads", counts.reads) + format_count("refused", counts.total_rejected());
  for (std::size_t i = 0; i < counts.rejected.size(); ++i) {
    out += format_count(std::string("refused_") + to_string(static_cast<Reason>(i)), counts.rejected.at(i));
  }
  return out;
}

}  // namespace

AggregatorService::AggregatorService(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                                     const AggregatorOptions& options, const std::string& prefix,
                                     std::uint64_t seed)
    : scheduler_(scheduler),
      store_(store),
      options_(options),
      prefix_(prefix),
      aggregator_(aggregator_settings(options),
                  AggregatorIdentity{options.name, incarnation_of(seed), options.zones, prefix}, seed),
      server_(scheduler, *this, static_cast<std::size_t>(options.connections)),
      timer_(scheduler, [this] { run_step(); }),
      next_step_(scheduler, [this] { run_step(); }) {}

AggregatorService::~AggregatorService() {
  *alive_ = false;
  if (watch_ != 0) {
    store_.unwatch(watch_);
  }
}

Micros AggregatorService::now() { return duration_cast<Micros>(Clock::now().time_since_epoch()); }

void AggregatorService::start() {
  server_.listen(*transport::parse_address(options_.listen));
  watch_ = store_.watch(coordination::Range{prefix_ + policy::kPolicyPrefix, true}, *this);
  schedule_step();
}

void AggregatorService::drain() {
  aggregator_.drain();
  schedule_step();
}

// ---- The store's records ----

void AggregatorService::on_snapshot(coordination::Revision, const std::vector<coordination::Entry>& entries) {
  aggregator_.on_snapshot(entries);
  publish_records();
}

void AggregatorService::on_changes(coordination::Revision,
                                   const std::vector<coordination::KeyChange>& changes) {
  aggregator_.on_changes(changes);
  publish_records();
}

void AggregatorService::publish_records() {
  server_.publish(aggregator_.records(), header());
  on_heartbeat();
  schedule_step();
}

void AggregatorService::on_disconnected(const std::string& reason) {
  aggregator_.set_connected(false);
  if (std::exchange(connected_, false)) {
    log_line(Level::kWarning) << "disconnected from the coordination store: " << reason;
  }
}

void AggregatorService::on_heartbeat() {
  aggregator_.set_connected(true);
  if (!std::exchange(connected_, true)) {
    log_line(Level::kInfo) << "connected to coordination store " << store_.id();
    schedule_step();
  }
}

// ---- Calls to the store ----

void AggregatorService::run_step() {
  if (std::exchange(in_step_, true)) {
    return;
  }
  const Micros step_time = now();
  for (const UpstreamAction& action : aggregator_.step(step_time)) {
    std::visit([this](const auto& call) { execute(call); }, action);
  }
  in_step_ = false;
  if (const auto next = aggregator_.next_step_at(step_time)) {
    schedule_step_at(std::max(*next, step_time + kMinStepInterval));
  } else {
    timer_.set(std::nullopt);
  }
}

void AggregatorService::schedule_step_at(Micros when) {
  timer_.set(Clock::time_point(duration_cast<Clock::duration>(when)));
}

template <typename Handler>
auto AggregatorService::while_alive(Handler handler) {
  return [this, alive = alive_, handler = std::move(handler)](const auto& response) {
    if (*alive) {
      handler(response);
      schedule_step();
    }
  };
}

void AggregatorService::execute(const LeaseAction& action) {
  switch (action.call.kind) {
    case LeaseCallKind::kAcquire:
      acquire(action);
      return;
    case LeaseCallKind::kRenew:
      renew(action.call.call_id);
      return;
    case LeaseCallKind::kRelease:
      release(action.call.call_id);
      return;
  }
}

void AggregatorService::acquire(const LeaseAction& action) {
  store_.grant(milliseconds(options_.ttl_ms), while_alive([this, action](const auto& response) {
                 if (response.ok()) {
                   join(action, response.value.id);
                 } else {
                   aggregator_.upstream().on_no_response(now(), action.call.call_id);
                 }
               }));
}

// The summaries are written only if the records are unchanged since this aggregator observed them. Otherwise
// routers could get leases under a policy that is no longer in force.
void AggregatorService::join(const LeaseAction& action, LeaseId lease) {
  lease_ = lease;
  const auto on_response = [this, call_id = action.call.call_id,
                            lease](const StoreResponse<TransactionResult>& response) {
    if (response.ok()) {
      aggregator_.upstream().on_join_result(now(), call_id, read_join_result(response.value));
    } else {
      aggregator_.upstream().on_no_response(now(), call_id);
    }
    if (response.ok() && response.value.succeeded) {
      log_line(Level::kInfo) << "acquired its lease at revision " << response.value.revision;
    } else {
      store_.revoke(lease, [](const auto&) {});
    }
  };
  store_.commit(join_transaction(prefix_, options_.name, lease, action), while_alive(on_response));
}

void AggregatorService::renew(std::uint64_t call_id) {
  store_.keep_alive(lease_, while_alive([this, call_id](const auto& response) {
                      if (!response.ok()) {
                        aggregator_.upstream().on_no_response(now(), call_id);
                        return;
                      }
                      const bool renewed = response.value.ttl > Micros(0);
                      aggregator_.upstream().on_renew_result(
                          now(), call_id, renewed ? RenewResult::kRenewed : RenewResult::kLeaseNotFound);
                    }));
}

void AggregatorService::release(std::uint64_t call_id) {
  store_.revoke(lease_, while_alive([this, call_id](const auto& response) {
                  if (response.ok()) {
                    aggregator_.upstream().on_release_result(now(), call_id);
                  } else {
                    aggregator_.upstream().on_no_response(now(), call_id);
                  }
                }));
}

void AggregatorService::execute(const ReportSummariesAction& action) {
  const auto on_response = [this, action](const StoreResponse<TransactionResult>& response) {
    const SummaryWriteResult result =
        response.ok() ? read_write_result(response.value, action) : SummaryWriteResult{};
    aggregator_.upstream().on_write_result(now(), action.call_id, result);
  };
  store_.commit(summary_transaction(prefix_, options_.name, lease_, action), while_alive(on_response));
}

// ---- Calls of routers ----

etcd::ResponseHeader AggregatorService::header() const {
  return {store_.id(), aggregator_.records().revision()};
}

AggregatorService::Response AggregatorService::handle(const std::string& path, const json& body) {
  if (store_.id() == 0) {
    throw coordination::ServiceUnavailable("the store above was not heard yet");
  }
  try {
    return Response{kOk, handle_call(path, body)};
  } catch (const RequestRejected& error) {
    return error_response(error);
  }
}

json AggregatorService::handle_call(const std::string& path, const json& body) {
  if (path == etcd::kTxnPath) {
    return handle_transaction(body);
  }
  if (path == etcd::kGrantPath) {
    return handle_grant(body);
  }
  if (path == etcd::kKeepAlivePath) {
    return handle_keep_alive(body);
  }
  if (path == etcd::kRevokePath) {
    return handle_revoke(body);
  }
  throw RequestRejected(Reason::kUnsupported, "no such call here: " + path);
}

json AggregatorService::handle_transaction(const json& body) {
  const coordination::Transaction transaction = etcd::read_transaction(body);
  const TransactionResult outcome = aggregator_.commit(now(), transaction);
  schedule_step();
  return etcd::write_transaction_result(header(), transaction, outcome);
}

json AggregatorService::handle_grant(const json& body) {
  const etcd::LeaseGrantRequest call = etcd::read_lease_grant_request(body);
  if (call.id != 0) {
    throw RequestRejected(Reason::kUnsupported, "an aggregator numbers leases itself");
  }
  const milliseconds ttl(call.ttl_ms > 0 ? call.ttl_ms : call.ttl_s * 1'000);
  const LeaseId id = aggregator_.grant(now(), ttl);
  longest_ttl_ = std::max<Micros>(longest_ttl_, ttl);
  return etcd::write_lease_grant_response(header(), {id, ttl.count()});
}

// In the protocol a remaining time of 0 means that there is no such lease.
json AggregatorService::handle_keep_alive(const json& body) {
  const LeaseId id = etcd::read_lease_request(body);
  const auto left = duration_cast<milliseconds>(aggregator_.keep_alive(now(), id).value_or(Micros(0)));
  return {{"result", etcd::write_lease_grant_response(header(), {id, left.count()})}};
}

json AggregatorService::handle_revoke(const json& body) {
  aggregator_.revoke(now(), etcd::read_lease_request(body));
  schedule_step();
  return {{"header", etcd::write_header(header())}};
}

void AggregatorService::read_state(const StateReader& reader) {
  if (!aggregator_.has_snapshot() || store_.id() == 0) {
    throw coordination::ServiceUnavailable("the store's records are not here yet");
  }
  reader(aggregator_.records(), header());
}

std::optional<AggregatorService::Response> AggregatorService::handle_get(const std::string& path) {
  if (path != kHealthPage) {
    return std::nullopt;
  }
  const bool active = aggregator_.upstream().is_active(now());
  return Response{active ? kOk : kServiceUnavailable, json{{"name", options_.name},
                                                           {"permission", active},
                                                           {"store", connected_ ? "heard" : "silent"},
                                                           {"routers", aggregator_.router_count()},
                                                           {"revision", aggregator_.records().revision()}}};
}

std::string AggregatorService::status_line() const {
  const coordination::EtcdServerCounts& server = server_.counts();
  const coordination::StoreCounts& store = store_.counts();
  return "routers=" + std::to_string(aggregator_.router_count()) +
         " permission=" + (aggregator_.upstream().is_active(now()) ? "yes" : "no") +
         format_count("revision", aggregator_.records().revision()) + format_counts(aggregator_.counts()) +
         format_count("calls", server.calls) + format_count("unreadable", server.invalid_calls) +
         format_count("connections", server_.connections()) +
         format_count("connections_refused", server.refused) + format_count("bytes_read", server.bytes_read) +
         format_count("bytes_written", server.bytes_written) + format_count("store_calls", store.calls) +
         format_count("store_failed", store.failed);
}

}  // namespace trailcourse::aggregation
