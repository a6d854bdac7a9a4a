// What the store of shared truth pays: for a transaction, a renewal, a lease, a watch; on the ledger alone,
// on its file, and as the process that serves it.
#include <array>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "coordination/coordination_server.h"
#include "coordination/etcd_requests.h"
#include "coordination/etcd_responses.h"
#include "coordination/key_value_database.h"
#include "fleet/port_allocator.h"
#include "http_peers.h"
#include "policy/participant_report.h"
#include "role_costs.h"
#include "transport/scheduler.h"

namespace trailcourse::scale {
namespace {

using coordination::KeyValueDatabase;
using coordination::KeyValueState;
using coordination::LeaseId;
using coordination::Put;
using coordination::Transaction;
using std::chrono::milliseconds;

constexpr std::array<int, 6> kLeases{100, 300, 1'000, 3'000, 10'000, 19'000};
constexpr std::array<int, 5> kWatches{1, 30, 100, 300, 1'000};
constexpr std::chrono::milliseconds kTtl{60'000'000};  // nothing ends while it is measured
constexpr const char* kPrefix = "trailcourse/";

// As the registry's, but with room for every router of the fleet.
coordination::KeyValueLimits wide_limits() {
  coordination::KeyValueLimits limits;
  limits.leases = 100'000;
  return limits;
}

std::string router_name(int index) { return "router-" + std::to_string(10'000 + index); }

policy::ParticipantReport permit_of(std::uint64_t number) {
  policy::ParticipantReport out;
  out.incarnation = "0123456789abcdef";
  out.zone = "zone117";
  out.version = 1'234;
  out.sequence = number;
  return out;
}

Transaction say_permit(int index, LeaseId lease, std::uint64_t number) {
  Transaction out;
  out.then = {Put{kPrefix + policy::report_key(router_name(index), lease),
                  policy::write_report(permit_of(number)), lease}};
  return out;
}

// Routers' leases, each with its permit.
std::vector<LeaseId> fill(KeyValueState& ledger, int routers) {
  std::vector<LeaseId> out;
  for (int i = 0; i < routers; ++i) {
    out.push_back(ledger.grant(std::chrono::milliseconds(0), kTtl, 0));
    ledger.commit(say_permit(i, out.back(), 1));
  }
  return out;
}

// ---- The ledger alone ----

void measure_ledger_memory(const CostSink& sink) {
  CostSeries lease{"store.memory.lease", "leases, in the ledger", "bytes", "leases", "in process", {}};
  CostSeries entry{"store.memory.permit",
                   "leases with a permit each, in the ledger; its history of changes is full",
                   "bytes",
                   "routers",
                   "in process",
                   {}};
  for (const int leases : {1'000, 3'000, 10'000, 19'000}) {
    lease.points.emplace_back(leases, bytes_held_by([&] {
                                auto ledger = std::make_unique<KeyValueState>(wide_limits());
                                for (int i = 0; i < leases; ++i) {
                                  ledger->grant(std::chrono::milliseconds(0), kTtl, 0);
                                }
                                return ledger;
                              }));
    entry.points.emplace_back(leases, bytes_held_by([&] {
                                auto ledger = std::make_unique<KeyValueState>(wide_limits());
                                const auto held = fill(*ledger, leases);
                                for (int i = 0; i < 10'000; ++i) {
                                  ledger->commit(say_permit(0, held.front(), 2));
                                }
                                ledger->take_changes();
                                return ledger;
                              }));
  }
  sink(lease);
  sink(entry);
}

void measure_ledger(const CostSink& sink) {
  CostSeries commit{"store.cpu.ledger.transaction",
                    "a permit written, in the ledger alone",
                    "us",
                    "leases",
                    "in process",
                    {}};
  CostSeries renew{
      "store.cpu.ledger.renewal", "a lease renewed, in the ledger alone", "us", "leases", "in process", {}};
  CostSeries expire{"store.cpu.ledger.expire",
                    "a look for leases that are over, in the ledger alone",
                    "us",
                    "leases",
                    "in process",
                    {}};
  for (const int leases : kLeases) {
    KeyValueState ledger(wide_limits());
    const std::vector<LeaseId> held = fill(ledger, leases);
    std::size_t at = 0;
    const auto next = [&] { return at = (at + 7'919) % held.size(); };
    commit.points.emplace_back(leases, cpu_us_per_call(500, [&] {
                                 const std::size_t place = next();
                                 ledger.commit(say_permit(static_cast<int>(place), held[place], 2));
                                 ledger.take_changes();
                               }));
    renew.points.emplace_back(leases, cpu_us_per_call(2'000, [&] {
                                ledger.keep_alive(std::chrono::milliseconds(1), held[next()]);
                              }));
    expire.points.emplace_back(leases,
                               cpu_us_per_call(20, [&] { ledger.expire(std::chrono::milliseconds(1)); }));
  }
  for (const CostSeries& series : {commit, renew, expire}) {
    sink(series);
  }
}

// ---- The ledger on its file ----

// A series of the ledger on its file, without points.
CostSeries file_series(const std::string& name, const std::string& what) {
  return {name, what, "us", "leases", "in process", {}};
}

void measure_file(const CostContext& context, const CostSink& sink) {
  CostSeries commit = file_series("store.cpu.file.transaction", "a permit written durably, processor time");
  CostSeries wall =
      file_series("store.time.file.transaction", "a permit written durably, until it is on disk");
  CostSeries renew =
      file_series("store.cpu.file.renewal", "a lease renewed through the file, processor time");
  const std::string folder = context.folder + "/ledger";
  for (const int leases : kLeases) {
    std::filesystem::remove_all(folder);
    KeyValueDatabase file(folder, wide_limits(), KeyValueDatabase::Sharing::kExclusive);
    const std::chrono::milliseconds now = KeyValueDatabase::boot_time();
    std::vector<LeaseId> held;
    file.transact(now, KeyValueDatabase::Durability::kSynced,
                  [&](KeyValueState& ledger) { held = fill(ledger, leases); });
    std::size_t at = 0;
    const auto next = [&] { return at = (at + 7'919) % held.size(); };
    constexpr int kCalls = 30;
    double least_wall = 0.0;
    const double cpu = cpu_us_per_call(
        1,
        [&] {
          const double begun = wall_us();
          for (int i = 0; i < kCalls; ++i) {
            const std::size_t place = next();
            file.transact(now, KeyValueDatabase::Durability::kSynced, [&](KeyValueState& ledger) {
              ledger.commit(say_permit(static_cast<int>(place), held[place], 2));
            });
          }
          const double took = (wall_us() - begun) / kCalls;
          least_wall = least_wall == 0.0 ? took : std::min(least_wall, took);
        },
        3);
    commit.points.emplace_back(leases, cpu / kCalls);
    wall.points.emplace_back(leases, least_wall);
    renew.points.emplace_back(leases, cpu_us_per_call(
                                          kCalls,
                                          [&] {
                                            const LeaseId id = held[next()];
                                            file.transact(
                                                now, KeyValueDatabase::Durability::kUnsynced,
                                                [&](KeyValueState& ledger) { ledger.keep_alive(now, id); });
                                          },
                                          3));
  }
  std::filesystem::remove_all(folder);
  for (const CostSeries& series : {commit, wall, renew}) {
    sink(series);
  }
}

// ---- JSON ----

// The messages of one renewal and of one permit written, as bytes of their bodies and time to read and write
// them at the store.
void measure_messages(const CostSink& sink) {
  namespace etcd = coordination::etcd;
  CostSeries renewal{"store.cpu.json.renewal",
                     "messages of so many renewals, read and written at the store",
                     "us",
                     "renewals",
                     "in process",
                     {}};
  CostSeries permit{"store.cpu.json.transaction",
                    "messages of so many permits written, the same",
                    "us",
                    "permits",
                    "in process",
                    {}};
  CostSeries renewal_bytes{
      "store.bytes.renewal", "bodies of so many renewals, both ways", "bytes", "renewals", "in process", {}};
  CostSeries permit_bytes{"store.bytes.permit",
                          "bodies of so many permits written, both ways",
                          "bytes",
                          "permits",
                          "in process",
                          {}};
  const etcd::ResponseHeader header{0xabcd'ef01'2345, 123'456'789};
  const LeaseId lease = (123'456'789ULL << 20U) + 77;
  const std::string ask_renewal = etcd::write_lease_request(lease).dump();
  const std::string ask_permit = etcd::write_transaction(say_permit(17, lease, 4'321)).dump();
  std::size_t told_renewal = 0;
  std::size_t told_permit = 0;
  const auto serve_renewal = [&] {
    const LeaseId id = etcd::read_lease_request(etcd::parse_object(ask_renewal));
    const nlohmann::json answer{{"result", etcd::write_lease_grant_response(header, {id, 3'000})}};
    told_renewal = answer.dump().size();
  };
  const auto serve_permit = [&] {
    const Transaction asked = etcd::read_transaction(etcd::parse_object(ask_permit));
    coordination::TransactionResult outcome;
    outcome.succeeded = true;
    outcome.revision = header.revision;
    outcome.results.resize(1);
    told_permit = etcd::write_transaction_result(header, asked, outcome).dump().size();
  };
  for (const int count : {1, 10, 100}) {
    renewal.points.emplace_back(count, count * cpu_us_per_call(2'000, serve_renewal));
    permit.points.emplace_back(count, count * cpu_us_per_call(2'000, serve_permit));
    renewal_bytes.points.emplace_back(count, count * static_cast<double>(ask_renewal.size() + told_renewal));
    permit_bytes.points.emplace_back(count, count * static_cast<double>(ask_permit.size() + told_permit));
  }
  for (const CostSeries& series : {renewal, permit, renewal_bytes, permit_bytes}) {
    sink(series);
  }
}

// ---- As a process serves it ----

// A registry in this thread.
class ServedRegistry {
 public:
  explicit ServedRegistry(const std::string& folder) : registry_(scheduler_, options(folder)) {
    address_ = ports_.allocate();
    registry_.listen(address_);
  }

  const transport::Address& address() const { return address_; }
  template <typename Done>
  void run_until(Done done) {
    while (!done()) {
      scheduler_.run_iteration(milliseconds(1));
    }
  }

 private:
  static coordination::RegistryOptions options(const std::string& folder) {
    coordination::RegistryOptions out;
    out.folder = folder;
    return out;
  }

  transport::Scheduler scheduler_;
  fleet::PortAllocator ports_;
  coordination::CoordinationServer registry_;
  transport::Address address_;
};

std::string call_of(const transport::Address& address, std::string_view path, const nlohmann::json& body) {
  return protocol::http::write_post(path, transport::to_string(address), body.dump());
}

// Processor time of this thread for one of `calls` the same: the least of a few means.
double served_us(ServedRegistry& served, const std::string& request, int calls) {
  constexpr int kRounds = 3;
  double least = 0.0;
  for (int round = 0; round < kRounds; ++round) {
    const double before = thread_cpu_us();
    CallingPeer peer(served.address(), request, calls);
    served.run_until([&] { return peer.done(); });
    const double mean = (thread_cpu_us() - before) / static_cast<double>(peer.counts().answers);
    least = round == 0 ? mean : std::min(least, mean);
  }
  return least;
}

void measure_watches(const CostContext& context, const CostSink& sink) {
  namespace etcd = coordination::etcd;
  const std::string setting = "hollow, loopback sockets";
  CostSeries memory{
      "store.memory.watch", "connections that watch the policy's records", "bytes", "watches", setting, {}};
  CostSeries news{
      "store.cpu.call.told", "a record written and told to all that watch it", "us", "watches", setting, {}};
  CostSeries quiet{
      "store.cpu.call.unseen", "a permit written that no watch is told of", "us", "watches", setting, {}};
  CostSeries renewal{"store.cpu.call.renewal", "a lease renewed", "us", "watches", setting, {}};
  const std::string folder = context.folder + "/registry";
  for (const int watches : kWatches) {
    std::filesystem::remove_all(folder);
    ServedRegistry served(folder);
    const double before = allocated_bytes();
    const coordination::Range records{std::string(kPrefix) + "policy/", true};
    ListeningPeers peers(
        served.address(), watches,
        call_of(served.address(), etcd::kWatchPath, etcd::write_watch_request({records, 0})));
    served.run_until([&] { return peers.counts().answers >= static_cast<std::uint64_t>(watches); });
    memory.points.emplace_back(watches, allocated_bytes() - before);
    Transaction change;
    change.then = {Put{std::string(kPrefix) + policy::kRolloutKey, std::string(200, 'x'), 0}};
    Transaction permit;
    permit.then = {
        Put{std::string(kPrefix) + policy::report_key(router_name(1), 0), std::string(200, 'x'), 0}};
    constexpr int kCalls = 50;
    const transport::Address& at = served.address();
    news.points.emplace_back(
        watches, served_us(served, call_of(at, etcd::kTxnPath, etcd::write_transaction(change)), kCalls));
    quiet.points.emplace_back(
        watches, served_us(served, call_of(at, etcd::kTxnPath, etcd::write_transaction(permit)), kCalls));
    // Of a lease that is gone: the same way through the store.
    renewal.points.emplace_back(
        watches,
        served_us(served, call_of(at, etcd::kKeepAlivePath, etcd::write_lease_request(77)), 2 * kCalls));
  }
  std::filesystem::remove_all(folder);
  for (const CostSeries& series : {memory, news, quiet, renewal}) {
    sink(series);
  }
}

}  // namespace

void measure_store(const CostContext& context, const CostSink& sink) {
  measure_ledger_memory(sink);
  measure_ledger(sink);
  measure_file(context, sink);
  measure_messages(sink);
  measure_watches(context, sink);
}

}  // namespace trailcourse::scale
