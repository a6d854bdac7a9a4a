// Measures the costs of purges for a router: bytes, CPU time and memory, and the number of active purges
// above which the router folds them into one purge of all objects. In the names and texts of the measured
// points, a purge binds while it is active.
#include <trailcourse/decider.h>

#include <array>
#include <memory>
#include <variant>

#include "decision/purge_history.h"
#include "discovery/event_log.h"
#include "protocol/discovery_page.h"
#include "role_costs.h"
#include "sample_fleet.h"

namespace trailcourse::scale {
namespace {

constexpr std::array<int, 4> kPageSizes{1, 10, 100, 1'000};
constexpr std::array<int, 5> kActivePurges{500, 1'000, 3'000, 6'000, 9'900};
constexpr std::array<int, 6> kPurgesPerSecond{30, 60, 90, 180, 360, 720};
constexpr std::size_t kPurgeCapacity = 20'000;  // purges that the decision module can hold
constexpr Micros kSecond{1'000'000};

Purged purge_of(ObjectId object) {
  Purged out;
  out.object = object;
  return out;
}

// Measures a page of the discovery service with `purges` purges, and its parsing.
void measure_pages(const CostSink& sink) {
  CostSeries bytes{
      "router.bytes.purge", "a page that tells so many purges", "bytes", "purges", "in process", {}};
  CostSeries cpu{"router.cpu.purge.parse", "that page parsed", "us", "purges", "in process", {}};
  const protocol::DeploymentSettings profile = protocol::read_deployment_settings(router_settings(1, 1));
  for (const int purges : kPageSizes) {
    // The service ID and the sequence numbers are as long as after a few weeks of operation.
    discovery::EventLog log("0123456789abcdef");
    log.replace(purge_page(200'000'000, purges, unix_ms_now()));
    const std::string text = *log.page_after(0);
    bytes.points.emplace_back(purges, text.size());
    cpu.points.emplace_back(purges, cpu_us_per_call(20 + 2'000 / purges, [&] {
                              keep_result(protocol::parse_discovery_page(text, profile));
                            }));
  }
  sink(bytes);
  sink(cpu);
}

// Sends purges to a decision module, at a constant rate that keeps `active` purges active.
class PurgeStream {
 public:
  PurgeStream(const protocol::DeploymentSettings& profile, std::uint64_t seed, int active)
      : decider_(profile.settings, seed), interval_((profile.settings.purge_done + kSecond) / active) {}

  void send(int purges) {
    for (int i = 0; i < purges; ++i) {
      now_ += interval_;
      decider_.handle(now_, purge_of(++last_object_), actions_);
    }
  }

 private:
  Decider decider_;
  Micros interval_;
  Micros now_ = kSecond;
  ObjectId last_object_ = 0;
  std::vector<Action> actions_;
};

// Measures the CPU time and memory of the decision module for purges.
void measure_decision_module(const CostContext& context, const CostSink& sink) {
  CostSeries cpu{"router.cpu.purge",
                 "so many purges taken in by the module while 6,000 bind",
                 "us",
                 "purges",
                 "in process",
                 {}};
  CostSeries memory{"router.memory.purge",
                    "the module while so many purges bind",
                    "bytes",
                    "purges that bind",
                    "in process",
                    {}};
  const protocol::DeploymentSettings profile = protocol::read_deployment_settings(router_settings(1, 1));
  for (const int active : kActivePurges) {
    memory.points.emplace_back(active, bytes_held_by([&] {
                                 auto stream = std::make_unique<PurgeStream>(profile, context.seed, active);
                                 stream->send(active);
                                 return stream;
                               }));
  }
  // More purges than the module can hold, so that each value includes the removal of expired purges.
  for (const int purges : {25'000, 50'000, 100'000, 200'000}) {
    PurgeStream stream(profile, context.seed, 6'000);
    stream.send(static_cast<int>(kPurgeCapacity));
    cpu.points.emplace_back(purges, cpu_us_per_call(1, [&] { stream.send(purges); }));
  }
  sink(cpu);
  sink(memory);
}

// Returns whether purges at `rate` purges a second, each active for `active_time`, are folded into one purge
// of all objects.
bool is_folded(int rate, Micros active_time) {
  PurgeHistory history(kPurgeCapacity, active_time);
  const Micros interval = kSecond / rate;
  Micros now = kSecond;
  constexpr std::uint64_t kUnpurgedKey = 0;
  const auto events = static_cast<std::uint64_t>(4 * kPurgeCapacity);
  for (std::uint64_t event = 1; event <= events; ++event) {
    now += interval;
    history.add(event, now, now);
    if (history.latest(kUnpurgedKey, now) >= Micros(0)) {
      return true;
    }
  }
  return false;
}

// Returns the longest active time in seconds, to within 0.01 s, for which purges at `rate` purges a second
// are not folded.
double longest_active_time_s(int rate) {
  double lower = 0.0;
  double upper = 4.0 * kPurgeCapacity / rate;
  while (upper - lower > 0.01) {
    const double middle = (lower + upper) / 2.0;
    (is_folded(rate, Micros(static_cast<std::int64_t>(middle * 1e6))) ? upper : lower) = middle;
  }
  return lower;
}

// Measures the largest number of active purges, and their longest active time, at which no purges are folded.
void measure_fold(const CostSink& sink) {
  CostSeries active{"router.purges.before.fold",
                    "purges that bind at once before they fold into one for all objects",
                    "purges",
                    "purges a second",
                    "in process",
                    {}};
  CostSeries inverse_active_time{"router.purges.binding.before.fold",
                                 "reciprocal of the longest binding time that never folds",
                                 "1/s",
                                 "purges a second",
                                 "in process",
                                 {}};
  for (const int rate : kPurgesPerSecond) {
    const double longest = longest_active_time_s(rate);
    active.points.emplace_back(rate, longest * rate);
    inverse_active_time.points.emplace_back(rate, 1.0 / longest);
  }
  sink(active);
  sink(inverse_active_time);
}

// Returns the share of the attempts that carry an age limit, for requests of objects that were not purged.
// `purges` purges of other objects come first. If they are folded into one purge of all objects, caches must
// fetch every older copy again.
double limited_share(const protocol::DeploymentSettings& profile, std::uint64_t seed, int purges) {
  Decider decider(profile.settings, seed);
  std::vector<Action> actions;
  EndpointListReceived list;
  Endpoint cache;
  cache.address = "cache";
  cache.zone = profile.settings.zone;
  list.entries.push_back(cache);
  Micros now = kSecond;
  decider.handle(now, list, actions);
  for (int i = 0; i < purges; ++i) {
    decider.handle(++now, purge_of(static_cast<ObjectId>(1'000'000 + i)), actions);
  }
  constexpr int kRequests = 200;
  int sent = 0;
  int limited = 0;
  for (int i = 1; i <= kRequests; ++i) {
    now += Micros(10'000);
    RequestArrived arrived;
    arrived.id = static_cast<RequestId>(i);
    arrived.object = static_cast<ObjectId>(i);
    arrived.deadline = now + 2 * kSecond;
    actions.clear();
    decider.handle(now, arrived, actions);
    for (const Action& action : actions) {
      if (const SendAttempt* send = std::get_if<SendAttempt>(&action)) {
        ++sent;
        limited += send->max_age > Micros(0) ? 1 : 0;
      }
    }
    AttemptEnded ended;
    ended.id = arrived.id;
    ended.latency = Micros(5'000);
    ended.finished = true;
    decider.handle(now, ended, actions);
  }
  return sent > 0 ? static_cast<double>(limited) / sent : 0.0;
}

void measure_limited_requests(const CostContext& context, const CostSink& sink) {
  CostSeries share{
      "router.purges.limited.after.fold",
      "share of requests for objects never purged that bear an age limit once purges have folded",
      "share",
      "purges at once",
      "in process",
      {}};
  const protocol::DeploymentSettings profile = protocol::read_deployment_settings(router_settings(1, 1));
  for (const int purges : {20'001, 25'000, 30'000}) {
    share.points.emplace_back(purges, limited_share(profile, context.seed, purges));
  }
  sink(share);
}

}  // namespace

void measure_router_purges(const CostContext& context, const CostSink& sink) {
  measure_pages(sink);
  measure_decision_module(context, sink);
  measure_fold(sink);
  measure_limited_requests(context, sink);
}

}  // namespace trailcourse::scale
