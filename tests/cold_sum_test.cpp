// The load that all routers together put on a cache or parent in slow start. Each scenario simulates many
// deciders with uneven load, long-tailed sizes, router restarts, failed attempts and fills, and checks every
// overload span.
#include <gtest/gtest.h>
#include <trailcourse/decider.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace trailcourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

double to_seconds(Micros time) { return static_cast<double>(time.count()) * 1e-6; }
Micros from_seconds(double time) { return Micros(static_cast<std::int64_t>(time * 1e6)); }

// One deployment and the load on it.
struct Scenario {
  std::string name;
  int routers = 30;
  int cold_caches = 2;  // caches in slow start
  int warm_caches = 4;
  double transfers = 12.0;        // capacity of each cache and parent
  double slow_start_from = 0.31;  // share of the capacity
  double slow_start_s = 12.0;
  double overload_factor = 4.0;
  double overload_span_s = 2.0;
  double requests_per_s = 6.0;    // mean per router
  double rate_sigma = 0.9;        // of the log-normal distribution of the request rates of routers
  double failure_share = 0.1;     // of the attempts: rejected as full, so that another attempt follows
  double restarts_per_s = 0.0;    // of all routers together
  double low_load_until_s = 0.0;  // a tenth of the load until then: unused budget must not accumulate
  bool all_restart_at_3 = false;  // all routers restart 3 s after the start of the caches
  int index_stride = 1;           // between the router indices, e.g. 3 if every third router is in this zone
  std::vector<double> work = {0.37, 0.06};         // mean seconds of sending by class
  std::vector<double> class_share = {0.55, 0.45};  // share of the requests by class
  double size_sigma = 1.0;                         // of the log-normal distribution of the sizes
  double length_s = 14.0;
};

// Prints the name in GoogleTest's lists of tests and in failures.
void PrintTo(const Scenario& scenario, std::ostream* out) { *out << scenario.name; }

// An attempt or fill that reached a node.
struct Arrival {
  Micros at{0};
  double work = 0.0;  // seconds of sending
};

// The load on a node in slow start. All amounts are in requests of mean work. N is the overload budget of a
// window, and N + 2 sqrt(N) + 2 the limit that is checked.
struct Outcome {
  double max_ratio = 0.0;  // work of the fullest window, divided by its limit
  double work = 0.0;       // work that arrived in this window
  double budget = 0.0;     // N of this window
  double used = 0.0;       // share of the total budget of the slow start that was used
};

class Simulation {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed) : scenario_(scenario), random_(seed) {
    settings_.zone = "here";
    settings_.routers = scenario.routers;
    settings_.routers_in_zone = scenario.routers;
    settings_.weights_are_sizes = true;
    settings_.notes = NoteLevel::kAll;
    settings_.stream_kb_per_s = 1000.0;
    settings_.max_attempts = 8;
    settings_.may_cancel = true;
    settings_.parallel_attempts = true;
    settings_.slow_start_from = scenario.slow_start_from;
    settings_.slow_start_span = from_seconds(scenario.slow_start_s);
    settings_.overload_factor = scenario.overload_factor;
    settings_.overload_span = from_seconds(scenario.overload_span_s);
    settings_.parent_slow_start_from = scenario.slow_start_from;
    settings_.parent_slow_start_span = from_seconds(scenario.slow_start_s);
    settings_.parent_overload_factor = scenario.overload_factor;
    for (std::size_t i = 0; i < scenario.work.size(); ++i) {
      ClassSettings type;
      type.latency_objective = seconds(3);
      type.latency_objective_stretch = 2.0;
      type.give_up_after = seconds(6);
      settings_.classes.push_back(type);
    }
    for (int i = 0; i < scenario.warm_caches + scenario.cold_caches; ++i) {
      Endpoint entry;
      entry.address = "cache-" + std::to_string(seed) + "-" + std::to_string(i);
      entry.zone = "here";
      entry.weight = scenario.transfers;
      entry.started = i < scenario.cold_caches ? kStart : Micros(0);
      list_.push_back(entry);
    }
    for (int i = 0; i < 3; ++i) {
      Endpoint entry;
      entry.address = "parent-" + std::to_string(seed) + "-" + std::to_string(i);
      entry.zone = "hub";
      entry.role = Role::kParent;
      entry.weight = scenario.transfers;
      entry.started = i == 0 ? kStart : Micros(0);
      list_.push_back(entry);
    }
    Endpoint origin;
    origin.address = "origin";
    origin.role = Role::kOrigin;
    origin.zone = "hub";
    list_.push_back(origin);
    std::normal_distribution<double> normal;
    for (int i = 0; i < scenario.routers; ++i) {
      rates_.push_back(scenario.requests_per_s * std::exp(scenario.rate_sigma * normal(random_) -
                                                          scenario.rate_sigma * scenario.rate_sigma / 2));
    }
  }

  // Runs the simulation and returns the load on each node in slow start, the fullest first.
  std::vector<Outcome> run() {
    routers_.resize(static_cast<std::size_t>(scenario_.routers));
    const Micros end = kStart + from_seconds(scenario_.length_s);
    for (int i = 0; i < scenario_.routers; ++i) {
      // Each router gets its endpoint list at a different time after the start of the caches.
      at(kStart + from_seconds(uniform(0.02, 0.33)), [this, i] { start_router(i); });
      next_request(i, kStart);
    }
    if (scenario_.all_restart_at_3) {
      for (int i = 0; i < scenario_.routers; ++i) {
        at(kStart + seconds(3) + from_seconds(uniform(0.0, 0.4)), [this, i] { start_router(i); });
      }
    }
    for (double t = 0.5; scenario_.restarts_per_s > 0.0 && t < scenario_.length_s;
         t += std::exponential_distribution<double>(scenario_.restarts_per_s)(random_)) {
      const int router = static_cast<int>(uniform(0.0, scenario_.routers));
      at(kStart + from_seconds(t), [this, router] { start_router(router); });
    }
    while (!jobs_.empty() && jobs_.top().when < end) {
      const Job job = jobs_.top();
      jobs_.pop();
      now_ = job.when;
      job.run();
    }
    std::vector<Outcome> out;
    for (const Endpoint& entry : list_) {
      if (entry.started > Micros(0)) {
        out.push_back(measure(entry));
      }
    }
    std::sort(out.begin(), out.end(),
              [](const Outcome& a, const Outcome& b) { return a.max_ratio > b.max_ratio; });
    return out;
  }

 private:
  static constexpr Micros kStart = seconds(1000);
  struct Job {
    Micros when;
    std::uint64_t order;  // breaks ties in the order of scheduling
    std::function<void()> run;
    friend bool operator<(const Job& a, const Job& b) {
      return std::tie(a.when, a.order) > std::tie(b.when, b.order);
    }
  };
  struct Router {
    std::unique_ptr<Decider> decider;
    int generation = 0;  // incremented by each start
    std::map<RequestId, int> classes;
    std::map<RequestId, int> attempts;
  };

  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }
  void at(Micros when, std::function<void()> run) { jobs_.push(Job{when, ++order_, std::move(run)}); }

  void start_router(int i) {
    Router& router = routers_[static_cast<std::size_t>(i)];
    Settings settings = settings_;
    settings.self_index = scenario_.index_stride * i;
    router.decider = std::make_unique<Decider>(settings, random_());
    ++router.generation;
    router.classes.clear();
    router.attempts.clear();
    handle(i, EndpointListReceived{ListKind::kFull, list_});
  }

  void next_request(int i, Micros from) {
    const double busy = to_seconds(from - kStart) < scenario_.low_load_until_s ? 0.1 : 1.0;
    const double rate = rates_[static_cast<std::size_t>(i)] * busy;
    const Micros when = from + from_seconds(std::exponential_distribution<double>(rate)(random_));
    at(std::max(when, from + Micros(1)), [this, i, when] {
      if (routers_[static_cast<std::size_t>(i)].decider) {
        request(i);
      }
      next_request(i, when);
    });
  }

  void request(int i) {
    Router& router = routers_[static_cast<std::size_t>(i)];
    RequestArrived arrival;
    arrival.id = ++last_id_;
    const auto type =
        std::discrete_distribution<int>(scenario_.class_share.begin(), scenario_.class_share.end())(random_);
    arrival.request_class = type;
    arrival.object = random_();
    arrival.purge_group = arrival.object % 256;
    const double size = std::lognormal_distribution<double>(-scenario_.size_sigma * scenario_.size_sigma / 2,
                                                            scenario_.size_sigma)(random_);
    arrival.size_kb = 1000.0 * size * scenario_.work[static_cast<std::size_t>(type)];
    arrival.deadline = now_ + seconds(6);
    router.classes[arrival.id] = type;
    handle(i, arrival);
  }

  void handle(int i, const Event& event) {
    Router& router = routers_[static_cast<std::size_t>(i)];
    std::vector<Action> actions;
    router.decider->handle(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        record_attempt(i, *send);
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        at(now_ + std::max(Micros(1), timer->delay),
           [this, i, generation = router.generation, token = timer->token] {
             if (routers_[static_cast<std::size_t>(i)].generation == generation) {
               handle(i, TimerFired{token});
             }
           });
      }
    }
  }

  void record_attempt(int i, const SendAttempt& send) {
    Router& router = routers_[static_cast<std::size_t>(i)];
    const double work = scenario_.work[static_cast<std::size_t>(router.classes[send.id])];
    const int attempt = router.attempts[send.id]++;
    const bool fails = uniform(0.0, 1.0) < scenario_.failure_share;
    arrivals_[send.cache].push_back(Arrival{now_, work});
    if (send.source != send.cache && !fails) {
      arrivals_[send.source].push_back(Arrival{now_, work});
    }
    AttemptEnded ended;
    ended.id = send.id;
    ended.attempt = attempt;
    ended.status = fails ? Status::kFull : Status::kOk;
    ended.finished = !fails;
    ended.note = fails ? Note::kNoFillCapacity : Note::kFilled;
    ended.latency = from_seconds(fails ? 0.004 : 0.06);
    at(now_ + ended.latency, [this, i, generation = router.generation, ended] {
      if (routers_[static_cast<std::size_t>(i)].generation == generation) {
        handle(i, ended);
      }
    });
  }

  Outcome measure(const Endpoint& entry) const {
    double mean = 0.0;
    for (std::size_t i = 0; i < scenario_.work.size(); ++i) {
      mean += scenario_.work[i] * scenario_.class_share[i];
    }
    // Returns the overload budget at `when`, in requests of mean work per span.
    const auto budget_at = [&](Micros when) {
      const double age = std::max(0.0, to_seconds(when - entry.started));
      const double share = std::min(
          1.0, scenario_.slow_start_from + (1.0 - scenario_.slow_start_from) * age / scenario_.slow_start_s);
      return scenario_.overload_factor * share * scenario_.transfers * scenario_.overload_span_s / mean;
    };
    Outcome out;
    const Micros warm = entry.started + from_seconds(scenario_.slow_start_s);
    const auto found = arrivals_.find(entry.address);
    const std::vector<Arrival> none;
    const std::vector<Arrival>& all = found == arrivals_.end() ? none : found->second;
    double in_window = 0.0;
    double total = 0.0;
    for (std::size_t i = 0, j = 0; i < all.size(); ++i) {
      in_window += all[i].work / mean;
      total += all[i].at < warm ? all[i].work / mean : 0.0;
      while (all[i].at - all[j].at > from_seconds(scenario_.overload_span_s)) {
        in_window -= all[j++].work / mean;
      }
      // The capacity rises, so the budget is lowest at the beginning of the window.
      const double budget = budget_at(all[j].at);
      const double ratio = in_window / (budget + 2.0 * std::sqrt(budget) + 2.0);
      if (all[i].at < warm && ratio > out.max_ratio) {
        out.max_ratio = ratio;
        out.work = in_window;
        out.budget = budget;
      }
    }
    const double total_budget = (budget_at(entry.started) + budget_at(warm)) / 2.0 *
                                std::min(scenario_.slow_start_s, scenario_.length_s) /
                                scenario_.overload_span_s;
    out.used = total / total_budget;
    return out;
  }

  Scenario scenario_;
  std::mt19937_64 random_;
  Settings settings_;
  std::vector<Endpoint> list_;
  std::vector<double> rates_;
  std::vector<Router> routers_;
  std::priority_queue<Job> jobs_;
  std::uint64_t order_ = 0;
  Micros now_{0};
  RequestId last_id_ = 0;
  std::map<std::string, std::vector<Arrival>> arrivals_;
};

// Returns a copy of the scenario with a new name and the changes that `change` makes.
Scenario variant_of(Scenario scenario, const std::string& name,
                    const std::function<void(Scenario&)>& change) {
  scenario.name = name;
  change(scenario);
  return scenario;
}

// Returns the scenarios with caches of the default capacity.
std::vector<Scenario> default_scenarios() {
  Scenario plain;
  plain.name = "plain";
  return {plain,
          variant_of(plain, "uneven_and_busy",
                     [](Scenario& s) {
                       s.rate_sigma = 1.5;
                       s.requests_per_s = 30.0;
                     }),
          variant_of(plain, "routers_restart",
                     [](Scenario& s) {
                       s.restarts_per_s = 10.0;
                       s.requests_per_s = 20.0;
                     }),
          variant_of(plain, "all_routers_restart_at_once",
                     [](Scenario& s) {
                       s.all_restart_at_3 = true;
                       s.requests_per_s = 20.0;
                     }),
          variant_of(plain, "low_then_high_load",
                     [](Scenario& s) {
                       s.low_load_until_s = 4.0;
                       s.requests_per_s = 40.0;
                     }),
          variant_of(plain, "half_of_the_attempts_fail",
                     [](Scenario& s) {
                       s.failure_share = 0.5;
                       s.requests_per_s = 20.0;
                     }),
          variant_of(plain, "sizes_of_a_long_tail",
                     [](Scenario& s) {
                       s.size_sigma = 1.6;
                       s.requests_per_s = 4.0;
                       s.all_restart_at_3 = true;
                     }),
          variant_of(plain, "large_caches",
                     [](Scenario& s) {
                       s.transfers = 60.0;
                       s.requests_per_s = 40.0;
                     }),
          variant_of(plain, "three_routers",
                     [](Scenario& s) {
                       s.routers = 3;
                       s.requests_per_s = 100.0;
                     }),
          variant_of(plain, "twenty_routers",
                     [](Scenario& s) {
                       s.routers = 20;
                       s.restarts_per_s = 4.0;
                       s.requests_per_s = 20.0;
                     }),
          variant_of(plain, "three_hundred_routers", [](Scenario& s) {
            s.routers = 300;
            s.requests_per_s = 3.0;
            s.all_restart_at_3 = true;
            s.length_s = 10.0;
          })};
}

// Returns the scenarios with caches of small capacity and a small overload factor.
std::vector<Scenario> small_cache_scenarios() {
  const Scenario small = variant_of(Scenario{}, "small_caches", [](Scenario& s) {
    s.transfers = 3.0;
    s.overload_factor = 1.5;
    s.overload_span_s = 1.0;
    s.requests_per_s = 20.0;
  });
  return {small,
          variant_of(small, "small_caches_with_restarts",
                     [](Scenario& s) {
                       s.restarts_per_s = 10.0;
                       s.failure_share = 0.3;
                     }),
          variant_of(small, "tiny_caches",
                     [](Scenario& s) {
                       s.transfers = 2.0;
                       s.overload_factor = 1.2;
                     }),
          variant_of(small, "small_caches_low_then_high_load",
                     [](Scenario& s) {
                       s.low_load_until_s = 4.0;
                       s.requests_per_s = 40.0;
                     }),
          variant_of(small, "three_hundred_routers_small_caches",
                     [](Scenario& s) {
                       s.routers = 300;
                       s.requests_per_s = 5.0;
                       s.length_s = 10.0;
                     }),
          variant_of(small, "three_routers_small_caches",
                     [](Scenario& s) {
                       s.routers = 3;
                       s.requests_per_s = 100.0;
                     }),
          variant_of(small, "twenty_routers_middle_caches",
                     [](Scenario& s) {
                       s.routers = 20;
                       s.transfers = 8.0;
                       s.overload_factor = 2.0;
                       s.overload_span_s = 1.0;
                     }),
          variant_of(small, "every_third_router_is_here", [](Scenario& s) { s.index_stride = 3; }),
          variant_of(small, "every_eighth_router_is_here", [](Scenario& s) { s.index_stride = 8; })};
}

std::vector<Scenario> scenarios() {
  std::vector<Scenario> all = default_scenarios();
  const std::vector<Scenario> small = small_cache_scenarios();
  all.insert(all.end(), small.begin(), small.end());
  return all;
}

class CombinedSlowStart : public testing::TestWithParam<Scenario> {};

TEST_P(CombinedSlowStart, NoOverloadSpanExceedsTheBudgetOfAllRoutersTogether) {
  double max_ratio = 0.0;
  double used = 0.0;
  int nodes = 0;
  Outcome fullest;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    for (const Outcome& outcome : Simulation(GetParam(), seed).run()) {
      fullest = outcome.max_ratio > max_ratio ? outcome : fullest;
      max_ratio = std::max(max_ratio, outcome.max_ratio);
      used += outcome.used;
      ++nodes;
    }
  }
  std::cout << GetParam().name << ": fullest window " << max_ratio << " of its limit N + 2 sqrt(N) + 2, "
            << fullest.work << " requests of mean work with N " << fullest.budget << "; used " << used / nodes
            << " of the budget\n";
  EXPECT_LE(max_ratio, 1.0);
  EXPECT_GT(used / nodes, 0.1) << "the node takes a part of the load";
}

INSTANTIATE_TEST_SUITE_P(Scenarios, CombinedSlowStart, testing::ValuesIn(scenarios()),
                         [](const auto& scenario) { return scenario.param.name; });

}  // namespace
}  // namespace trailcourse
