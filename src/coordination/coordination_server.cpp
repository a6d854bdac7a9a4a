#include "coordination/coordination_server.h"

#include <algorithm>
#include <cstdlib>
#include <optional>

#include "transport/log.h"

namespace trailcourse::coordination {

using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

constexpr milliseconds kRetry{200};  // after leases could not be ended

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
      return {404, etcd::write_error(etcd::ErrorCode::kNotFound, text)};
    case OperationRejected::Reason::kCompacted:
      return {400, etcd::write_error(etcd::ErrorCode::kOutOfRange, text)};
    default:
      return {400, etcd::write_error(etcd::ErrorCode::kInvalidArgument, text)};
  }
}

}  // namespace

CoordinationServer::CoordinationServer(transport::Scheduler& scheduler, const RegistryOptions& options)
    : file_(options.folder, limits_of(options), KeyValueDatabase::Sharing::kExclusive),
      server_(scheduler, *this, static_cast<std::size_t>(options.connections)),
      timer_(scheduler, [this] { end_leases(); }) {}

void CoordinationServer::listen(const transport::Address& address) {
  server_.listen(address);
  end_leases();
}

CoordinationServer::Response CoordinationServer::handle(const std::string& path, const json& body) {
  Response out;
  const bool renewal = path == etcd::kKeepAlivePath;
  ++(renewal ? renewals_ : writes_);
  try {
    file_.use(KeyValueDatabase::boot_time_ms(), !renewal,
              [&](KeyValueState& ledger) { out = carry_out(ledger, path, body); });
    tell();
  } catch (const OperationRejected& error) {
    ++rejected_;
    out = rejection(error);
    tell();
  } catch (const SqliteError& error) {
    log_line(Level::kError) << "nothing was kept: " << error.what();
    out = {503, etcd::write_error(etcd::ErrorCode::kUnavailable, "the registry cannot write")};
    timer_.set(Clock::now() + kRetry);
  }
  return out;
}

CoordinationServer::Response CoordinationServer::carry_out(KeyValueState& ledger, const std::string& path, const json& body) {
  const std::int64_t now = KeyValueDatabase::boot_time_ms();
  if (path == etcd::kTxnPath) {
    const Transaction asked = etcd::read_transaction(body);
    const TransactionResult outcome = ledger.commit(asked);
    return {200, etcd::write_transaction_result(header(ledger), asked, outcome)};
  }
  if (path == etcd::kRangePath) {
    return {200, etcd::write_range_response(header(ledger), ledger.get(etcd::read_range(body)))};
  }
  if (path == etcd::kPutPath) {
    ledger.commit(Transaction{{}, {etcd::read_put(body)}, {}});
    return {200, json{{"header", etcd::write_header(header(ledger))}}};
  }
  if (path == etcd::kDeletePath) {
    const TransactionResult outcome = ledger.commit(Transaction{{}, {Delete{etcd::read_range(body)}}, {}});
    return {200, json{{"header", etcd::write_header(header(ledger))},
                      {"deleted", std::to_string(outcome.results.at(0).deleted)}}};
  }
  if (path == etcd::kGrantPath) {
    const etcd::LeaseGrantRequest call = etcd::read_lease_grant_request(body);
    const std::int64_t ttl_ms = call.ttl_ms > 0 ? call.ttl_ms : call.ttl_s * 1'000;
    const LeaseId id = ledger.grant(now, ttl_ms, call.id);
    return {200, etcd::write_lease_grant_response(header(ledger), {id, ttl_ms})};
  }
  if (path == etcd::kKeepAlivePath) {
    const LeaseId id = etcd::read_lease_request(body);
    return {200, json{{"result", etcd::write_lease_grant_response(header(ledger), {id, ledger.keep_alive(now, id)})}}};
  }
  if (path == etcd::kRevokePath) {
    ledger.revoke(etcd::read_lease_request(body));
    return {200, json{{"header", etcd::write_header(header(ledger))}}};
  }
  if (path == etcd::kCompactPath) {
    const auto text = body.value("revision", std::string());
    ledger.compact(text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10) + 1);
    return {200, json{{"header", etcd::write_header(header(ledger))}}};
  }
  return {404, etcd::write_error(etcd::ErrorCode::kNotFound, "no such call: " + path)};
}

void CoordinationServer::read_state(const StateReader& reader) {
  try {
    file_.use(KeyValueDatabase::boot_time_ms(), true, [&](KeyValueState& ledger) { reader(ledger, header(ledger)); });
  } catch (const SqliteError& error) {
    throw ServiceUnavailable(std::string("the ledger cannot be read: ") + error.what());
  }
}

// After a use that succeeded: what stands in memory stands on the disk.
void CoordinationServer::tell() {
  const KeyValueState& ledger = file_.state();
  server_.publish(ledger, header(ledger));
  std::optional<Clock::time_point> when;
  if (const auto next = ledger.next_expiry()) {
    when.emplace(Clock::now() + milliseconds(std::max<std::int64_t>(1, *next - KeyValueDatabase::boot_time_ms())));
  }
  timer_.set(when);
}

void CoordinationServer::end_leases() {
  try {
    file_.use(KeyValueDatabase::boot_time_ms(), true, [](KeyValueState&) {});
    tell();
  } catch (const std::exception& error) {
    log_line(Level::kError) << "leases that are over stay for now: " << error.what();
    timer_.set(Clock::now() + kRetry);
  }
}

std::string CoordinationServer::report() {
  std::string out;
  const EtcdServerCounts& counts = server_.counts();
  read_state([&](const KeyValueState& ledger, const etcd::ResponseHeader&) {
    out = "revision=" + std::to_string(ledger.revision()) +
          " entries=" + std::to_string(ledger.entries().size()) +
          " leases=" + std::to_string(ledger.leases().size()) + " calls=" + std::to_string(counts.calls) +
          " renewals=" + std::to_string(renewals_) + " writes=" + std::to_string(writes_) +
          " rejected=" + std::to_string(rejected_ + counts.unreadable) +
          " refused=" + std::to_string(counts.refused) +
          " connections=" + std::to_string(server_.connections()) +
          " bytes_read=" + std::to_string(counts.bytes_read) +
          " bytes_written=" + std::to_string(counts.bytes_written);
  });
  return out;
}

}  // namespace trailcourse::coordination
