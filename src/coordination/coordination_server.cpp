#include "coordination/registry.h"

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

Limits limits_of(const RegistryOptions& options) {
  Limits limits;
  limits.entries = static_cast<std::size_t>(options.entries);
  limits.history = static_cast<std::size_t>(options.history);
  return limits;
}

EtcdService::Answer rejection(const Rejected& error) {
  const std::string text = std::string("etcdserver: ") + error.what();
  switch (error.why()) {
    case Rejected::Why::kNoLease:
      return {404, etcd::write_error(etcd::Code::kNotFound, text)};
    case Rejected::Why::kCompacted:
      return {400, etcd::write_error(etcd::Code::kOutOfRange, text)};
    default:
      return {400, etcd::write_error(etcd::Code::kInvalidArgument, text)};
  }
}

}  // namespace

Registry::Registry(transport::Scheduler& scheduler, const RegistryOptions& options)
    : file_(options.folder, limits_of(options), LedgerFile::Sharing::kAlone),
      server_(scheduler, *this, static_cast<std::size_t>(options.connections)),
      timer_(scheduler, [this] { end_leases(); }) {}

void Registry::listen(const transport::Address& address) {
  server_.listen(address);
  end_leases();
}

Registry::Answer Registry::answer(const std::string& path, const json& body) {
  Answer out;
  const bool renewal = path == etcd::kKeepAlivePath;
  ++(renewal ? renewals_ : writes_);
  try {
    file_.use(LedgerFile::machine_ms(), !renewal,
              [&](Ledger& ledger) { out = carry_out(ledger, path, body); });
    tell();
  } catch (const Rejected& error) {
    ++rejected_;
    out = rejection(error);
    tell();
  } catch (const SqliteError& error) {
    log_line(Level::kError) << "nothing was kept: " << error.what();
    out = {503, etcd::write_error(etcd::Code::kUnavailable, "the registry cannot write")};
    timer_.set(Clock::now() + kRetry);
  }
  return out;
}

Registry::Answer Registry::carry_out(Ledger& ledger, const std::string& path, const json& body) {
  const std::int64_t now = LedgerFile::machine_ms();
  if (path == etcd::kTxnPath) {
    const Transaction asked = etcd::read_transaction(body);
    const Outcome outcome = ledger.commit(asked);
    return {200, etcd::write_outcome(header(ledger), asked, outcome)};
  }
  if (path == etcd::kRangePath) {
    return {200, etcd::write_entries(header(ledger), ledger.get(etcd::read_range(body)))};
  }
  if (path == etcd::kPutPath) {
    ledger.commit(Transaction{{}, {etcd::read_put(body)}, {}});
    return {200, json{{"header", etcd::write_header(header(ledger))}}};
  }
  if (path == etcd::kDeletePath) {
    const Outcome outcome = ledger.commit(Transaction{{}, {Delete{etcd::read_range(body)}}, {}});
    return {200, json{{"header", etcd::write_header(header(ledger))},
                      {"deleted", std::to_string(outcome.steps.at(0).deleted)}}};
  }
  if (path == etcd::kGrantPath) {
    const etcd::GrantCall call = etcd::read_grant(body);
    const std::int64_t ttl_ms = call.ttl_ms > 0 ? call.ttl_ms : call.ttl_s * 1'000;
    const LeaseId id = ledger.grant(now, ttl_ms, call.id);
    return {200, etcd::write_granted(header(ledger), {id, ttl_ms})};
  }
  if (path == etcd::kKeepAlivePath) {
    const LeaseId id = etcd::read_lease(body);
    return {200, json{{"result", etcd::write_granted(header(ledger), {id, ledger.keep_alive(now, id)})}}};
  }
  if (path == etcd::kRevokePath) {
    ledger.revoke(etcd::read_lease(body));
    return {200, json{{"header", etcd::write_header(header(ledger))}}};
  }
  if (path == etcd::kCompactPath) {
    const auto text = body.value("revision", std::string());
    ledger.compact(text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10) + 1);
    return {200, json{{"header", etcd::write_header(header(ledger))}}};
  }
  return {404, etcd::write_error(etcd::Code::kNotFound, "no such call: " + path)};
}

void Registry::read(const Look& look) {
  try {
    file_.use(LedgerFile::machine_ms(), true, [&](Ledger& ledger) { look(ledger, header(ledger)); });
  } catch (const SqliteError& error) {
    throw Unavailable(std::string("the ledger cannot be read: ") + error.what());
  }
}

// After a use that succeeded: what stands in memory stands on the disk.
void Registry::tell() {
  const Ledger& ledger = file_.ledger();
  server_.tell(ledger, header(ledger));
  std::optional<Clock::time_point> when;
  if (const auto next = ledger.next_expiry()) {
    when.emplace(Clock::now() + milliseconds(std::max<std::int64_t>(1, *next - LedgerFile::machine_ms())));
  }
  timer_.set(when);
}

void Registry::end_leases() {
  try {
    file_.use(LedgerFile::machine_ms(), true, [](Ledger&) {});
    tell();
  } catch (const std::exception& error) {
    log_line(Level::kError) << "leases that are over stay for now: " << error.what();
    timer_.set(Clock::now() + kRetry);
  }
}

std::string Registry::report() {
  std::string out;
  const EtcdServerCounts& counts = server_.counts();
  read([&](const Ledger& ledger, const etcd::Header&) {
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
