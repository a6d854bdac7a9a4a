// Measures the costs of the coordination store for a transaction, a renewal, a lease and a watch: in the
// key-value state alone, in the database file, and in the server. In the names and texts of the measured
// points, the ledger is the key-value state, and a permit is a participant report.
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
#include "http_clients.h"
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

constexpr std::array<int, 6> kLeaseCounts{100, 300, 1'000, 3'000, 10'000, 19'000};
constexpr std::array<int, 5> kWatchCounts{1, 30, 100, 300, 1'000};
constexpr std::chrono::milliseconds kTtl{60'000'000};  // no lease expires during a measurement
constexpr const char* kPrefix = "trailcourse/";
constexpr std::size_t kLeaseStride = 7'919;  // prime, so that steps of this size visit every lease

// Returns the default limits of a coordination server, except that every router of the fleet can get a lease.
coordination::KeyValueLimits raised_limits() {
  coordination::KeyValueLimits limits;
  limits.leases = 100'000;
  return limits;
}

std::string router_name(int index) { return "router-" + std::to_string(10'000 + index); }

policy::ParticipantReport sample_report(std::uint64_t sequence) {
  policy::ParticipantReport out;
  out.incarnation = "0123456789abcdef";
  out.zone = "zone117";
  out.version = 1'234;
  out.sequence = sequence;
  return out;
}

// Returns a transaction that writes the participant report of a router under its lease.
Transaction put_report(int router, LeaseId lease, std::uint64_t sequence) {
  Transaction out;
  out.then = {Put{kPrefix + policy::report_key(router_name(router), lease),
                  policy::write_report(sample_report(sequence)), lease}};
  return out;
}

// Grants a lease to each router and writes its participant report. Returns the leases.
std::vector<LeaseId> grant_leases(KeyValueState& state, int routers) {
  std::vector<LeaseId> out;
  for (int i = 0; i < routers; ++i) {
    out.push_back(state.grant(std::chrono::milliseconds(0), kTtl, 0));
    state.commit(put_report(i, out.back(), 1));
  }
  return out;
}

// ---- Key-value state alone ----

// Measures the memory of leases without reports, and of leases with one report each.
void measure_state_memory(const CostSink& sink) {
  CostSeries without_report{
      "store.memory.lease", "leases, in the ledger", "bytes", "leases", "in process", {}};
  CostSeries with_report{"store.memory.permit",
                         "leases with a permit each, in the ledger; its history of changes is full",
                         "bytes",
                         "routers",
                         "in process",
                         {}};
  for (const int leases : {1'000, 3'000, 10'000, 19'000}) {
    without_report.points.emplace_back(leases, bytes_held_by([&] {
                                         auto state = std::make_unique<KeyValueState>(raised_limits());
                                         for (int i = 0; i < leases; ++i) {
                                           state->grant(std::chrono::milliseconds(0), kTtl, 0);
                                         }
                                         return state;
                                       }));
    with_report.points.emplace_back(leases, bytes_held_by([&] {
                                      auto state = std::make_unique<KeyValueState>(raised_limits());
                                      const auto held = grant_leases(*state, leases);
                                      for (int i = 0; i < 10'000; ++i) {  // fill the history of changes
                                        state->commit(put_report(0, held.front(), 2));
                                      }
                                      state->take_changes();
                                      return state;
                                    }));
  }
  sink(without_report);
  sink(with_report);
}

// Measures the CPU time of a transaction, a renewal and a search for expired leases.
void measure_state(const CostSink& sink) {
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
  for (const int leases : kLeaseCounts) {
    KeyValueState state(raised_limits());
    const std::vector<LeaseId> held = grant_leases(state, leases);
    std::size_t index = 0;
    const auto next_index = [&] { return index = (index + kLeaseStride) % held.size(); };
    commit.points.emplace_back(leases, cpu_us_per_call(500, [&] {
                                 const std::size_t position = next_index();
                                 state.commit(put_report(static_cast<int>(position), held[position], 2));
                                 state.take_changes();
                               }));
    renew.points.emplace_back(leases, cpu_us_per_call(2'000, [&] {
                                state.keep_alive(std::chrono::milliseconds(1), held[next_index()]);
                              }));
    expire.points.emplace_back(leases,
                               cpu_us_per_call(20, [&] { state.expire(std::chrono::milliseconds(1)); }));
  }
  for (const CostSeries& series : {commit, renew, expire}) {
    sink(series);
  }
}

// ---- Database file ----

// Returns a series for the database file, without points.
CostSeries database_series(const std::string& name, const std::string& what) {
  return {name, what, "us", "leases", "in process", {}};
}

// Measures a transaction and a renewal in the database file.
void measure_database(const CostContext& context, const CostSink& sink) {
  CostSeries commit =
      database_series("store.cpu.file.transaction", "a permit written durably, processor time");
  CostSeries wall =
      database_series("store.time.file.transaction", "a permit written durably, until it is on disk");
  CostSeries renew =
      database_series("store.cpu.file.renewal", "a lease renewed through the file, processor time");
  const std::string folder = context.folder + "/ledger";
  for (const int leases : kLeaseCounts) {
    std::filesystem::remove_all(folder);
    KeyValueDatabase database(folder, raised_limits(), KeyValueDatabase::Sharing::kExclusive);
    const std::chrono::milliseconds now = KeyValueDatabase::boot_time();
    std::vector<LeaseId> held;
    database.transact(now, KeyValueDatabase::Durability::kSynced,
                      [&](KeyValueState& state) { held = grant_leases(state, leases); });
    std::size_t index = 0;
    const auto next_index = [&] { return index = (index + kLeaseStride) % held.size(); };
    constexpr int kCalls = 30;
    double minimum_wall_us = 0.0;
    const double cpu = cpu_us_per_call(
        1,
        [&] {
          const double start_us = wall_us();
          for (int i = 0; i < kCalls; ++i) {
            const std::size_t position = next_index();
            database.transact(now, KeyValueDatabase::Durability::kSynced, [&](KeyValueState& state) {
              state.commit(put_report(static_cast<int>(position), held[position], 2));
            });
          }
          const double elapsed_us = (wall_us() - start_us) / kCalls;
          minimum_wall_us = minimum_wall_us == 0.0 ? elapsed_us : std::min(minimum_wall_us, elapsed_us);
        },
        3);
    commit.points.emplace_back(leases, cpu / kCalls);
    wall.points.emplace_back(leases, minimum_wall_us);
    renew.points.emplace_back(leases, cpu_us_per_call(
                                          kCalls,
                                          [&] {
                                            const LeaseId id = held[next_index()];
                                            database.transact(
                                                now, KeyValueDatabase::Durability::kUnsynced,
                                                [&](KeyValueState& state) { state.keep_alive(now, id); });
                                          },
                                          3));
  }
  std::filesystem::remove_all(folder);
  for (const CostSeries& series : {commit, wall, renew}) {
    sink(series);
  }
}

// ---- JSON ----

// Measures the messages of a renewal and of a written report: the bytes of their bodies, and the CPU time in
// which the store parses the request and writes the response. The values for several messages are multiples
// of those for one.
void measure_messages(const CostSink& sink) {
  namespace etcd = coordination::etcd;
  CostSeries renewal{"store.cpu.json.renewal",
                     "messages of so many renewals, read and written at the store",
                     "us",
                     "renewals",
                     "in process",
                     {}};
  CostSeries report{"store.cpu.json.transaction",
                    "messages of so many permits written, the same",
                    "us",
                    "permits",
                    "in process",
                    {}};
  CostSeries renewal_bytes{
      "store.bytes.renewal", "bodies of so many renewals, both ways", "bytes", "renewals", "in process", {}};
  CostSeries report_bytes{"store.bytes.permit",
                          "bodies of so many permits written, both ways",
                          "bytes",
                          "permits",
                          "in process",
                          {}};
  const etcd::ResponseHeader header{0xabcd'ef01'2345, 123'456'789};
  const LeaseId lease = (123'456'789ULL << 20U) + 77;
  const std::string renewal_request = etcd::write_lease_request(lease).dump();
  const std::string report_request = etcd::write_transaction(put_report(17, lease, 4'321)).dump();
  std::size_t renewal_answer_bytes = 0;
  std::size_t report_answer_bytes = 0;
  const auto serve_renewal = [&] {
    const LeaseId id = etcd::read_lease_request(etcd::parse_object(renewal_request));
    const nlohmann::json answer{{"result", etcd::write_lease_grant_response(header, {id, 3'000})}};
    renewal_answer_bytes = answer.dump().size();
  };
  const auto serve_report = [&] {
    const Transaction transaction = etcd::read_transaction(etcd::parse_object(report_request));
    coordination::TransactionResult result;
    result.succeeded = true;
    result.revision = header.revision;
    result.results.resize(1);
    report_answer_bytes = etcd::write_transaction_result(header, transaction, result).dump().size();
  };
  for (const int count : {1, 10, 100}) {
    renewal.points.emplace_back(count, count * cpu_us_per_call(2'000, serve_renewal));
    report.points.emplace_back(count, count * cpu_us_per_call(2'000, serve_report));
    renewal_bytes.points.emplace_back(
        count, count * static_cast<double>(renewal_request.size() + renewal_answer_bytes));
    report_bytes.points.emplace_back(
        count, count * static_cast<double>(report_request.size() + report_answer_bytes));
  }
  for (const CostSeries& series : {renewal, report, renewal_bytes, report_bytes}) {
    sink(series);
  }
}

// ---- Server on a loopback socket ----

// Runs a coordination server on a loopback socket, in the calling thread.
class LocalCoordinationServer {
 public:
  explicit LocalCoordinationServer(const std::string& folder) : server_(scheduler_, options(folder)) {
    address_ = ports_.allocate();
    server_.listen(address_);
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
  coordination::CoordinationServer server_;
  transport::Address address_;
};

std::string post_request(const transport::Address& address, std::string_view path,
                         const nlohmann::json& body) {
  return protocol::http::write_post(path, transport::to_string(address), body.dump());
}

// CPU time of the server thread for one call, in microseconds: the minimum of several means, each over
// `calls` equal calls.
double cpu_us_per_served_call(LocalCoordinationServer& server, const std::string& request, int calls) {
  constexpr int kRounds = 3;
  double minimum = 0.0;
  for (int round = 0; round < kRounds; ++round) {
    const double before = thread_cpu_us();
    CallingClient client(server.address(), request, calls);
    server.run_until([&] { return client.done(); });
    const double mean = (thread_cpu_us() - before) / static_cast<double>(client.counts().answers);
    minimum = round == 0 ? mean : std::min(minimum, mean);
  }
  return minimum;
}

// Measures the server while `watches` connections watch the records of the policy: the memory of the watches,
// and the CPU time of a write that notifies them, of a write that does not, and of a renewal.
void measure_watches(const CostContext& context, const CostSink& sink) {
  namespace etcd = coordination::etcd;
  const std::string setting = "hollow, loopback sockets";
  CostSeries memory{
      "store.memory.watch", "connections that watch the policy's records", "bytes", "watches", setting, {}};
  CostSeries notified{
      "store.cpu.call.told", "a record written and told to all that watch it", "us", "watches", setting, {}};
  CostSeries unwatched{
      "store.cpu.call.unseen", "a permit written that no watch is told of", "us", "watches", setting, {}};
  CostSeries renewal{"store.cpu.call.renewal", "a lease renewed", "us", "watches", setting, {}};
  const std::string folder = context.folder + "/registry";
  for (const int watches : kWatchCounts) {
    std::filesystem::remove_all(folder);
    LocalCoordinationServer server(folder);
    const double before = allocated_bytes();
    const coordination::Range watched_range{std::string(kPrefix) + "policy/", true};
    WatchingClients clients(
        server.address(), watches,
        post_request(server.address(), etcd::kWatchPath, etcd::write_watch_request({watched_range, 0})));
    server.run_until([&] { return clients.counts().answers >= static_cast<std::uint64_t>(watches); });
    memory.points.emplace_back(watches, allocated_bytes() - before);
    Transaction change;
    change.then = {Put{std::string(kPrefix) + policy::kRolloutKey, std::string(200, 'x'), 0}};
    Transaction report;
    report.then = {
        Put{std::string(kPrefix) + policy::report_key(router_name(1), 0), std::string(200, 'x'), 0}};
    constexpr int kCalls = 50;
    const transport::Address& address = server.address();
    notified.points.emplace_back(
        watches, cpu_us_per_served_call(
                     server, post_request(address, etcd::kTxnPath, etcd::write_transaction(change)), kCalls));
    unwatched.points.emplace_back(
        watches, cpu_us_per_served_call(
                     server, post_request(address, etcd::kTxnPath, etcd::write_transaction(report)), kCalls));
    // The lease does not exist. The store processes the request in the same way as for an existing one.
    renewal.points.emplace_back(
        watches,
        cpu_us_per_served_call(
            server, post_request(address, etcd::kKeepAlivePath, etcd::write_lease_request(77)), 2 * kCalls));
  }
  std::filesystem::remove_all(folder);
  for (const CostSeries& series : {memory, notified, unwatched, renewal}) {
    sink(series);
  }
}

}  // namespace

void measure_coordination_store(const CostContext& context, const CostSink& sink) {
  measure_state_memory(sink);
  measure_state(sink);
  measure_database(context, sink);
  measure_messages(sink);
  measure_watches(context, sink);
}

}  // namespace trailcourse::scale
