// Measures the costs of a discovery service and a relay: of each held long poll, each page that they send,
// and each stored event. In the names and texts of the measured points, the discovery service is the board,
// its polling clients are askers, a poll is a call, and to fold a log is to compact it.
#include <array>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>

#include "discovery/discovery_server.h"
#include "discovery/event_log.h"
#include "discovery/long_poll_scheduler.h"
#include "fleet/port_allocator.h"
#include "http_clients.h"
#include "planned_fleet.h"
#include "program/discovery_file_server.h"
#include "role_costs.h"
#include "sample_fleet.h"
#include "transport/scheduler.h"

namespace trailcourse::scale {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::array<int, 5> kPollsPerSecond{100, 300, 1'000, 3'000, 9'500};
constexpr std::array<int, 5> kHeldPollCounts{100, 300, 1'000, 3'000, 19'000};
constexpr std::array<int, 4> kPollerCounts{50, 100, 300, 1'000};
constexpr std::array<int, 4> kEventCounts{100, 500, 2'000, 4'000};
constexpr std::array<int, 4> kFileEventCounts{100, 300, 1'000, 3'000};
constexpr std::array<int, 4> kCacheCounts{40, 500, 2'100, 8'400};
constexpr std::uint64_t kLastSequence = 7;  // sequence number of the last event, known to all clients

discovery::LongPollOptions long_poll_options() {
  discovery::LongPollOptions options;
  options.max_held = 100'000;
  options.max_long_poll_timeout = milliseconds(60'000);
  return options;
}

// ---- Long-poll scheduler alone ----

// Measures polls that are held and whose clients then disconnect, at a steady rate. The polls of the first
// second are not measured.
void measure_scheduler_polls(const CostContext& context, const CostSink& sink) {
  CostSeries cpu{"board.cpu.core.call",
                 "a call judged and held, by the core alone",
                 "us",
                 "calls a second",
                 "in process",
                 {}};
  for (const int rate : kPollsPerSecond) {
    discovery::LongPollScheduler scheduler(long_poll_options(), context.seed);
    std::int64_t polls = 0;
    const auto poll = [&] {
      ++polls;
      const auto poll_id = static_cast<discovery::PollId>(polls);
      scheduler.on_poll(milliseconds(polls * 1'000 / rate), poll_id, kLastSequence, milliseconds(2'000),
                        kLastSequence);
      scheduler.on_disconnected(poll_id);
    };
    for (int i = 0; i < rate; ++i) {
      poll();
    }
    cpu.points.emplace_back(rate, cpu_us_per_call(std::min(rate, 2'000), poll, 3));
  }
  sink(cpu);
}

// Measures the answering of all held polls after a published event, with one step per millisecond.
void measure_scheduler_release(const CostContext& context, const CostSink& sink) {
  CostSeries cpu{"board.cpu.core.release",
                 "news told to all held calls, by the core alone",
                 "us",
                 "calls held",
                 "in process",
                 {}};
  for (const int held : kHeldPollCounts) {
    double minimum = 0.0;
    for (int round = 0; round < 5; ++round) {
      discovery::LongPollScheduler scheduler(long_poll_options(), context.seed);
      for (int i = 0; i < held; ++i) {
        scheduler.on_poll(milliseconds(i), static_cast<discovery::PollId>(i) + 1, kLastSequence,
                          milliseconds(60'000), kLastSequence);
      }
      const double before = thread_cpu_us();
      scheduler.on_published(milliseconds(held));
      for (int ms = 0; ms <= 100; ++ms) {
        keep_result(scheduler.step(milliseconds(held + ms)));
      }
      const double cpu_time_us = thread_cpu_us() - before;
      minimum = round == 0 ? cpu_time_us : std::min(minimum, cpu_time_us);
    }
    cpu.points.emplace_back(held, minimum);
  }
  sink(cpu);
}

// ---- Stored events ----

// Measures an event log that holds `events` purges. Half of them are old enough to be dropped by compaction.
void measure_event_log(const CostSink& sink) {
  CostSeries append{"relay.cpu.append",
                    "one purge appended to a log, and its page made",
                    "us",
                    "events kept",
                    "in process",
                    {}};
  CostSeries compaction{
      "relay.cpu.fold", "a log folded, half of its purges being over", "us", "events kept", "in process", {}};
  CostSeries memory{"relay.memory.event", "a log of purges", "bytes", "events kept", "in process", {}};
  const std::int64_t now = unix_ms_now();
  for (const int events : kEventCounts) {
    const auto filled_log = [&] {
      auto log = std::make_unique<discovery::EventLog>("0123456789abcdef");
      log->replace(list_page(40, 4));
      log->append(purge_page(1, events / 2, now - 60'000));
      log->append(purge_page(log->last_sequence(), events - events / 2, now));
      return log;
    };
    memory.points.emplace_back(events, bytes_held_by(filled_log));
    const auto log = filled_log();
    append.points.emplace_back(events, cpu_us_per_call(100, [&] {
                                 const std::uint64_t before = log->last_sequence();
                                 log->append(purge_page(before, 1, now));
                                 keep_result(log->page_after(before));
                               }));
    double minimum = 0.0;
    for (int round = 0; round < 3; ++round) {
      const auto compacted = filled_log();
      const double before = thread_cpu_us();
      compacted->compact(1, discovery::UnixTime(milliseconds(now - 10'000)));
      const double cpu_time_us = thread_cpu_us() - before;
      minimum = round == 0 ? cpu_time_us : std::min(minimum, cpu_time_us);
    }
    compaction.points.emplace_back(events, minimum);
  }
  for (const CostSeries& series : {append, compaction, memory}) {
    sink(series);
  }
}

// Measures the rendering of a page with a complete endpoint list, and the size of a page that updates some
// caches.
void measure_list_rendering(const CostSink& sink) {
  CostSeries cpu{
      "board.cpu.render.list", "a page with one whole list made", "us", "caches", "in process", {}};
  CostSeries bytes{"board.bytes.list.change",
                   "a page with a change of so many caches",
                   "bytes",
                   "caches that change",
                   "in process",
                   {}};
  for (const int caches : kCacheCounts) {
    const json page = list_page(caches, kPlannedZones);
    discovery::EventLog log;
    cpu.points.emplace_back(caches, cpu_us_per_call(5, [&] {
                              log.replace(page);
                              keep_result(log.page_after(0));
                            }));
  }
  for (const int caches : {1, 10, 40, 100}) {
    json update = list_page(caches, kPlannedZones);
    json& pool = update["notices"][0]["pool"];
    pool["snapshot"] = false;
    pool["endpoints"].erase(0);  // remove the origin
    discovery::EventLog log("0123456789abcdef");
    log.replace(update);
    bytes.points.emplace_back(caches, log.page_after(0)->size());
  }
  sink(cpu);
  sink(bytes);
}

// Measures adding one purge to the file of a discovery service, and the server's rereading of the file.
void measure_file_update(const CostContext& context, const CostSink& sink) {
  CostSeries reread{"board.cpu.reread",
                    "a board reads its file again: what each purge costs it",
                    "us",
                    "purges in the file",
                    "in process",
                    {}};
  CostSeries add{"board.cpu.notice",
                 "one purge added to that file, by `trailcourse notice`",
                 "us",
                 "purges in the file",
                 "in process",
                 {}};
  CostSeries bytes{"board.bytes.file", "that file", "bytes", "purges in the file", "in process", {}};
  const std::string file = context.folder + "/board-page.json";
  for (const int events : kFileEventCounts) {
    json page = list_page(40, 4);
    const json purges = purge_page(1, events, unix_ms_now());
    page["rev"] = purges["rev"];
    for (const json& event : purges["notices"]) {
      page["notices"].push_back(event);
    }
    std::ofstream(file, std::ios::binary) << page.dump(1) << '\n';
    bytes.points.emplace_back(events, static_cast<double>(std::filesystem::file_size(file)));
    transport::Scheduler scheduler;
    discovery::DiscoveryOptions options;
    options.file = file;
    program::DiscoveryFileServer server(scheduler, options, context.seed);
    double add_us = 0.0;
    double reread_us = 0.0;
    constexpr int kRounds = 10;
    for (int round = 0; round < kRounds; ++round) {
      json event = purge_event(0, static_cast<std::uint64_t>(round), unix_ms_now());
      const double add_start = thread_cpu_us();
      program::append_event(file, std::move(event));
      const double reread_start = thread_cpu_us();
      server.reread();
      add_us += reread_start - add_start;
      reread_us += thread_cpu_us() - reread_start;
    }
    add.points.emplace_back(events, add_us / kRounds);
    reread.points.emplace_back(events, reread_us / kRounds);
  }
  for (const CostSeries& series : {reread, add, bytes}) {
    sink(series);
  }
}

// ---- Server on a loopback socket ----

// Serves an event log on a loopback socket, in the calling thread.
class LocalDiscoveryServer {
 public:
  explicit LocalDiscoveryServer(std::uint64_t seed)
      : log_("0123456789abcdef"),
        server_(scheduler_, log_, long_poll_options(), limits(), discovery::DiscoveryServer::Handlers(),
                seed) {
    log_.replace(list_page(40, 4));
    address_ = ports_.allocate();
    server_.listen(address_);
  }

  const transport::Address& address() const { return address_; }
  void run_until_held(std::size_t polls) {
    while (server_.long_polls().held() < polls) {
      scheduler_.run_iteration(milliseconds(5));
    }
  }
  void run_for(milliseconds duration) {
    const auto end = transport::Clock::now() + duration;
    while (transport::Clock::now() < end) {
      scheduler_.run_iteration(milliseconds(5));
    }
  }
  // Publishes a purge and runs until all pollers have received it and poll again.
  void publish_purge(std::size_t pollers) {
    const std::uint64_t released = counts().released;
    log_.append(purge_page(log_.last_sequence(), 1, unix_ms_now()));
    server_.on_published();
    while (counts().released < released + pollers) {
      scheduler_.run_iteration(milliseconds(5));
    }
    run_until_held(pollers);
  }
  const discovery::LongPollCounts& counts() const { return server_.long_polls().counts(); }

 private:
  static discovery::DiscoveryServer::Limits limits() {
    discovery::DiscoveryServer::Limits out;
    out.connections = 10'000;
    return out;
  }

  transport::Scheduler scheduler_;
  fleet::PortAllocator ports_;
  discovery::EventLog log_;
  discovery::DiscoveryServer server_;
  transport::Address address_;
};

// Measures the sending of a published purge to all pollers, and the memory of their connections.
void measure_published_pages(const CostContext& context, const CostSink& sink) {
  CostSeries memory{"board.memory.asker",
                    "connections with a call held, at the server",
                    "bytes",
                    "askers",
                    "hollow, loopback sockets",
                    {}};
  CostSeries cpu{"board.cpu.told",
                 "one purge told to all askers, their next calls held",
                 "us",
                 "askers",
                 "hollow, loopback sockets",
                 {}};
  CostSeries bytes{"board.bytes.told",
                   "that purge to all askers, their next calls with it, HTTP headers counted",
                   "bytes",
                   "askers",
                   "hollow, loopback sockets",
                   {}};
  for (const int pollers : kPollerCounts) {
    LocalDiscoveryServer server(context.seed);
    const double before = allocated_bytes();
    PollingClients clients(server.address(), pollers, 60'000);
    const auto poller_count = static_cast<std::size_t>(pollers);
    server.run_until_held(poller_count);
    memory.points.emplace_back(pollers, allocated_bytes() - before);
    constexpr int kRounds = 10;
    const double cpu_before = thread_cpu_us();
    const std::uint64_t bytes_before = clients.counts().bytes_in + clients.counts().bytes_out;
    for (int round = 0; round < kRounds; ++round) {
      server.publish_purge(poller_count);
    }
    cpu.points.emplace_back(pollers, (thread_cpu_us() - cpu_before) / kRounds);
    const std::uint64_t transferred = clients.counts().bytes_in + clients.counts().bytes_out - bytes_before;
    bytes.points.emplace_back(pollers, static_cast<double>(transferred) / kRounds);
  }
  for (const CostSeries& series : {memory, cpu, bytes}) {
    sink(series);
  }
}

// Measures long polls that time out after 100 ms without an event, like those of a relay's idle clients.
void measure_held_polls(const CostContext& context, const CostSink& sink) {
  CostSeries cpu{"relay.cpu.held.call",
                 "calls held for 100 ms and answered without news",
                 "us/s",
                 "calls a second",
                 "hollow, loopback sockets",
                 {}};
  CostSeries bytes{"relay.bytes.held.call",
                   "those calls and their answers, HTTP headers counted",
                   "bytes/s",
                   "calls a second",
                   "hollow, loopback sockets",
                   {}};
  for (const int pollers : kPollerCounts) {
    LocalDiscoveryServer server(context.seed);
    PollingClients clients(server.address(), pollers, 100);
    server.run_for(milliseconds(500));
    const double start_us = wall_us();
    const double cpu_before = thread_cpu_us();
    const std::uint64_t polls_before = server.counts().calls;
    const std::uint64_t bytes_before = clients.counts().bytes_in + clients.counts().bytes_out;
    server.run_for(milliseconds(1'500));
    const double seconds = (wall_us() - start_us) / 1e6;
    const double polls_per_second = static_cast<double>(server.counts().calls - polls_before) / seconds;
    cpu.points.emplace_back(polls_per_second, (thread_cpu_us() - cpu_before) / seconds);
    const std::uint64_t transferred = clients.counts().bytes_in + clients.counts().bytes_out - bytes_before;
    bytes.points.emplace_back(polls_per_second, static_cast<double>(transferred) / seconds);
  }
  sink(cpu);
  sink(bytes);
}

}  // namespace

void measure_discovery_service(const CostContext& context, const CostSink& sink) {
  measure_scheduler_polls(context, sink);
  measure_scheduler_release(context, sink);
  measure_event_log(sink);
  measure_list_rendering(sink);
  measure_file_update(context, sink);
  measure_published_pages(context, sink);
  measure_held_polls(context, sink);
}

}  // namespace trailcourse::scale
