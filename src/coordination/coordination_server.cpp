#include "coordination/coordination_server.h"

#include <algorithm>
#include <cstdlib>
#include <optional>

#include "transport/log.h"

namespace trailcourse::coordination {

using nlohmann::json;
using transport::Clock;
using transport::Level;
using transport::log_line;
using Durability = KeyValueDatabase::Durability;

namespace {

constexpr Milliseconds kExpiryRetryInterval{200};  // after a failed write of the database
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;

KeyValueLimits limits_of(const RegistryOptions& options) {
  KeyValueLimits limits;
  limits.entries = static_cast<std::size_t>(options.entries);
  limits.history = static_cast<std::size_t>(options.history);
  return limits;
}

EtcdService::Response rejection(const OperationRejected& error) {
  const std::string text = std::string("etcdserver: ") + error.what();
  switch (error.reason()) {
    case OperationRejected::Reason::kLeaseNotFound:
      return {kStatusNotFound, etcd::write_error(etcd::ErrorCode::kNotFound, text)};
    case OperationRejected::Reason::kCompacted:
      return {kStatusBadRequest, etcd::write_error(etcd::ErrorCode::kOutOfRange, text)};
    case OperationRejected::Reason::kLeaseExists:
    case OperationRejected::Reason::kInvalidRequest:
      break;
  }
  return {kStatusBadRequest, etcd::write_error(etcd::ErrorCode::kInvalidArgument, text)};
}

EtcdService::Response header_only(const etcd::ResponseHeader& header) {
  return {kStatusOk, json{{"header", etcd::write_header(header)}}};
}

}  // namespace

CoordinationServer::CoordinationServer(transport::Scheduler& scheduler, const RegistryOptions& options)
    : database_(options.folder, limits_of(options), KeyValueDatabase::Sharing::kExclusive),
      server_(scheduler, *this, static_cast<std::size_t>(options.connections)),
      expiry_timer_(scheduler, [this] { expire_leases(); }) {}

void CoordinationServer::listen(const transport::Address& address) {
  server_.listen(address);
  expire_leases();
}

// ---- Calls ----

CoordinationServer::Response CoordinationServer::handle(const std::string& path, const json& body) {
  Response response;
  const bool renewal = path == etcd::kKeepAlivePath;
  ++(renewal ? renewals_ : writes_);
  try {
    database_.transact(KeyValueDatabase::boot_time(), renewal ? Durability::kUnsynced : Durability::kSynced,
                       [&](KeyValueState& state) { response = execute(state, path, body); });
    publish();
  } catch (const OperationRejected& error) {
    ++rejected_;
    response = rejection(error);
    publish();
  } catch (const SqliteError& error) {
    log_line(Level::kError) << "cannot write to the database: " << error.what();
    response = {kStatusUnavailable,
                etcd::write_error(etcd::ErrorCode::kUnavailable,
                                  "the database of the coordination store cannot be written")};
    expiry_timer_.set(Clock::now() + kExpiryRetryInterval);
  }
  return response;
}

CoordinationServer::Response CoordinationServer::execute(KeyValueState& state, const std::string& path,
                                                         const json& body) {
  if (path == etcd::kGrantPath || path == etcd::kKeepAlivePath || path == etcd::kRevokePath) {
    return execute_lease_call(state, path, body);
  }
  return execute_key_call(state, path, body);
}

CoordinationServer::Response CoordinationServer::execute_key_call(KeyValueState& state,
                                                                  const std::string& path, const json& body) {
  if (path == etcd::kTxnPath) {
    const Transaction transaction = etcd::read_transaction(body);
    const TransactionResult result = state.commit(transaction);
    return {kStatusOk, etcd::write_transaction_result(header(state), transaction, result)};
  }
  if (path == etcd::kRangePath) {
    return {kStatusOk, etcd::write_range_response(header(state), state.get(etcd::read_range(body)))};
  }
  if (path == etcd::kPutPath) {
    state.commit(Transaction{{}, {etcd::read_put(body)}, {}});
    return header_only(header(state));
  }
  if (path == etcd::kDeletePath) {
    const TransactionResult result = state.commit(Transaction{{}, {Delete{etcd::read_range(body)}}, {}});
    Response response = header_only(header(state));
    response.body["deleted"] = std::to_string(result.results.at(0).deleted);
    return response;
  }
  if (path == etcd::kCompactPath) {
    const auto revision = body.value("revision", std::string());
    state.compact(revision.empty() ? 0 : std::strtoull(revision.c_str(), nullptr, 10) + 1);
    return header_only(header(state));
  }
  return {kStatusNotFound, etcd::write_error(etcd::ErrorCode::kNotFound, "unknown path: " + path)};
}

CoordinationServer::Response CoordinationServer::execute_lease_call(KeyValueState& state,
                                                                    const std::string& path,
                                                                    const json& body) {
  const Milliseconds now = KeyValueDatabase::boot_time();
  if (path == etcd::kGrantPath) {
    const etcd::LeaseGrantRequest request = etcd::read_lease_grant_request(body);
    const Milliseconds ttl(request.ttl_ms > 0 ? request.ttl_ms : request.ttl_s * 1'000);
    const LeaseId id = state.grant(now, ttl, request.id);
    return {kStatusOk, etcd::write_lease_grant_response(header(state), {id, ttl.count()})};
  }
  const LeaseId id = etcd::read_lease_request(body);
  if (path == etcd::kKeepAlivePath) {
    const Milliseconds ttl = state.keep_alive(now, id);
    const json granted = etcd::write_lease_grant_response(header(state), {id, ttl.count()});
    return {kStatusOk, json{{"result", granted}}};
  }
  state.revoke(id);
  return header_only(header(state));
}

void CoordinationServer::read_state(const StateReader& reader) {
  try {
    database_.transact(KeyValueDatabase::boot_time(), Durability::kSynced,
                       [&](KeyValueState& state) { reader(state, header(state)); });
  } catch (const SqliteError& error) {
    throw ServiceUnavailable(std::string("the database of the coordination store cannot be read: ") +
                             error.what());
  }
}

// ---- Watches and leases ----

void CoordinationServer::publish() {
  const KeyValueState& state = database_.state();
  server_.publish(state, header(state));
  std::optional<Clock::time_point> expiry;
  if (const std::optional<Milliseconds> next = state.next_expiry()) {
    expiry.emplace(Clock::now() + std::max(Milliseconds(1), *next - KeyValueDatabase::boot_time()));
  }
  expiry_timer_.set(expiry);
}

void CoordinationServer::expire_leases() {
  try {
    database_.transact(KeyValueDatabase::boot_time(), Durability::kSynced, [](KeyValueState&) {});
    publish();
  } catch (const std::exception& error) {
    log_line(Level::kError) << "cannot expire leases: " << error.what();
    expiry_timer_.set(Clock::now() + kExpiryRetryInterval);
  }
}

std::string CoordinationServer::report() {
  std::string out;
  const EtcdServerCounts& counts = server_.counts();
  read_state([&](const KeyValueState& state, const etcd::ResponseHeader&) {
    out = "revision=" + std::to_string(state.revision()) +
          " entries=" + std::to_string(state.entries().size()) +
          " leases=" + std::to_string(state.leases().size()) + " calls=" + std::to_string(counts.calls) +
          " renewals=" + std::to_string(renewals_) + " writes=" + std::to_string(writes_) +
          " rejected=" + std::to_string(rejected_ + counts.invalid_calls) +
          " refused=" + std::to_string(counts.refused) +
          " connections=" + std::to_string(server_.connections()) +
          " bytes_read=" + std::to_string(counts.bytes_read) +
          " bytes_written=" + std::to_string(counts.bytes_written);
  });
  return out;
}

}  // namespace trailcourse::coordination
