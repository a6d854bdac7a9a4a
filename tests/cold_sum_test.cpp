// What all routers together send a cold cache or parent: many instances of the decision module in one world,
// uneven load, sizes of a long tail, restarted routers, failed attempts, fills; every window is counted.
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

double seconds_of(Micros time) { return static_cast<double>(time.count()) * 1e-6; }
Micros micros_of(double time) { return Micros(static_cast<std::int64_t>(time * 1e6)); }

// One deployment and its load, by the settings' names and figures.
struct World {
  std::string name;
  int routers = 30;
  int cold_caches = 2;
  int warm_caches = 4;
  double transfers = 12.0;  // of each cache
  double cold_from = 0.31;
  double cold_s = 12.0;
  double factor = 4.0;
  double span_s = 2.0;
  double requests_per_s = 6.0;  // a router, in the mean
  double unevenness = 0.9;      // sigma of the routers' parts
  double fails = 0.1;           // of the attempts: full, which brings a further one
  double restarts_per_s = 0.0;  // of routers, over all
  double quiet_until_s = 0.0;   // hardly any load before: unused budget must not accumulate
  bool all_restart_at_3 = false;
  int stride = 1;  // of the routers' indices, as where every third stands in this zone
  std::vector<double> work = {0.37, 0.06};  // seconds of sending by class, and its part of the requests
  std::vector<double> part = {0.55, 0.45};
  double sigma = 1.0;  // of the sizes
  double length_s = 14.0;
};

// Prints the name, which GoogleTest shows in lists of tests and in failures.
void PrintTo(const World& world, std::ostream* out) { *out << world.name; }

struct Arrival {
  Micros at{0};
  double work = 0.0;
};

struct Outcome {
  double worst = 0.0;   // the fullest window over N + 2 sqrt(N) + 2, in requests of mean work
  double work = 0.0;    // that arrived in it
  double budget = 0.0;  // its N
  double used = 0.0;    // of all that the settings allow while cold
};

class Fleet {
 public:
  Fleet(const World& world, std::uint64_t seed) : world_(world), random_(seed) {
    settings_.zone = "here";
    settings_.routers = world.routers;
    settings_.routers_in_zone = world.routers;
    settings_.weights_are_sizes = true;
    settings_.notes = NoteLevel::kAll;
    settings_.stream_kb_per_s = 1000.0;
    settings_.max_attempts = 8;
    settings_.may_cancel = true;
    settings_.parallel_attempts = true;
    settings_.slow_start_from = world.cold_from;
    settings_.slow_start_span = micros_of(world.cold_s);
    settings_.overload_factor = world.factor;
    settings_.overload_span = micros_of(world.span_s);
    settings_.parent_slow_start_from = world.cold_from;
    settings_.parent_slow_start_span = micros_of(world.cold_s);
    settings_.parent_overload_factor = world.factor;
    for (std::size_t i = 0; i < world.work.size(); ++i) {
      ClassSettings type;
      type.latency_objective = seconds(3);
      type.latency_objective_stretch = 2.0;
      type.give_up_after = seconds(6);
      settings_.classes.push_back(type);
    }
    for (int i = 0; i < world.warm_caches + world.cold_caches; ++i) {
      Endpoint entry;
      entry.address = "cache-" + std::to_string(seed) + "-" + std::to_string(i);
      entry.zone = "here";
      entry.weight = world.transfers;
      entry.started = i < world.cold_caches ? kStart : Micros(0);
      list_.push_back(entry);
    }
    for (int i = 0; i < 3; ++i) {
      Endpoint entry;
      entry.address = "parent-" + std::to_string(seed) + "-" + std::to_string(i);
      entry.zone = "hub";
      entry.role = Role::kParent;
      entry.weight = world.transfers;
      entry.started = i == 0 ? kStart : Micros(0);
      list_.push_back(entry);
    }
    Endpoint origin;
    origin.address = "origin";
    origin.role = Role::kOrigin;
    origin.zone = "hub";
    list_.push_back(origin);
    std::normal_distribution<double> normal;
    for (int i = 0; i < world.routers; ++i) {
      rates_.push_back(world.requests_per_s * std::exp(world.unevenness * normal(random_) -
                                                       world.unevenness * world.unevenness / 2));
    }
  }

  // Runs the simulation and returns what reached each cold node, worst first.
  std::vector<Outcome> run() {
    routers_.resize(static_cast<std::size_t>(world_.routers));
    const Micros end = kStart + micros_of(world_.length_s);
    for (int i = 0; i < world_.routers; ++i) {
      // Each learns of the start a little later than the last.
      at(kStart + micros_of(uniform(0.02, 0.33)), [this, i] { start_router(i); });
      next_request(i, kStart);
    }
    if (world_.all_restart_at_3) {
      for (int i = 0; i < world_.routers; ++i) {
        at(kStart + seconds(3) + micros_of(uniform(0.0, 0.4)), [this, i] { start_router(i); });
      }
    }
    for (double t = 0.5; world_.restarts_per_s > 0.0 && t < world_.length_s;
         t += std::exponential_distribution<double>(world_.restarts_per_s)(random_)) {
      const int which = static_cast<int>(uniform(0.0, world_.routers));
      at(kStart + micros_of(t), [this, which] { start_router(which); });
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
    std::sort(out.begin(), out.end(), [](const Outcome& a, const Outcome& b) { return a.worst > b.worst; });
    return out;
  }

 private:
  static constexpr Micros kStart = seconds(1000);
  struct Job {
    Micros when;
    std::uint64_t order;
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
    settings.self_index = world_.stride * i;
    router.decider = std::make_unique<Decider>(settings, random_());
    ++router.generation;
    router.classes.clear();
    router.attempts.clear();
    handle(i, EndpointListReceived{ListKind::kFull, list_});
  }

  void next_request(int i, Micros from) {
    const double busy = seconds_of(from - kStart) < world_.quiet_until_s ? 0.1 : 1.0;
    const double rate = rates_[static_cast<std::size_t>(i)] * busy;
    const Micros when = from + micros_of(std::exponential_distribution<double>(rate)(random_));
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
    const auto type = std::discrete_distribution<int>(world_.part.begin(), world_.part.end())(random_);
    arrival.request_class = type;
    arrival.object = random_();
    arrival.purge_group = arrival.object % 256;
    const double size =
        std::lognormal_distribution<double>(-world_.sigma * world_.sigma / 2, world_.sigma)(random_);
    arrival.size_kb = 1000.0 * size * world_.work[static_cast<std::size_t>(type)];
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
    const double work = world_.work[static_cast<std::size_t>(router.classes[send.id])];
    const int attempt = router.attempts[send.id]++;
    const bool fails = uniform(0.0, 1.0) < world_.fails;
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
    ended.latency = micros_of(fails ? 0.004 : 0.06);
    at(now_ + ended.latency, [this, i, generation = router.generation, ended] {
      if (routers_[static_cast<std::size_t>(i)].generation == generation) {
        handle(i, ended);
      }
    });
  }

  Outcome measure(const Endpoint& entry) const {
    double mean = 0.0;
    for (std::size_t i = 0; i < world_.work.size(); ++i) {
      mean += world_.work[i] * world_.part[i];
    }
    const auto allowed = [&](Micros when) {  // requests of mean work in one span, as at `when`
      const double age = std::max(0.0, seconds_of(when - entry.started));
      const double share = std::min(1.0, world_.cold_from + (1.0 - world_.cold_from) * age / world_.cold_s);
      return world_.factor * share * world_.transfers * world_.span_s / mean;
    };
    Outcome out;
    const Micros warm = entry.started + micros_of(world_.cold_s);
    const auto found = arrivals_.find(entry.address);
    const std::vector<Arrival> none;
    const std::vector<Arrival>& all = found == arrivals_.end() ? none : found->second;
    double in_window = 0.0;
    double total = 0.0;
    for (std::size_t i = 0, j = 0; i < all.size(); ++i) {
      in_window += all[i].work / mean;
      total += all[i].at < warm ? all[i].work / mean : 0.0;
      while (all[i].at - all[j].at > micros_of(world_.span_s)) {
        in_window -= all[j++].work / mean;
      }
      const double budget = allowed(all[j].at);  // as at the window's begin, the least of it
      const double ratio = in_window / (budget + 2.0 * std::sqrt(budget) + 2.0);
      if (all[i].at < warm && ratio > out.worst) {
        out.worst = ratio;
        out.work = in_window;
        out.budget = budget;
      }
    }
    const double total_budget = (allowed(entry.started) + allowed(warm)) / 2.0 *
                                std::min(world_.cold_s, world_.length_s) / world_.span_s;
    out.used = total / total_budget;
    return out;
  }

  World world_;
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

// Returns a copy of the world with the name and the changes that `change` makes.
World variant_of(World world, const std::string& name, const std::function<void(World&)>& change) {
  world.name = name;
  change(world);
  return world;
}

// Returns the worlds with caches of the default size.
std::vector<World> default_worlds() {
  World plain;
  plain.name = "plain";
  return {plain,
          variant_of(plain, "uneven_and_busy",
                     [](World& w) {
                       w.unevenness = 1.5;
                       w.requests_per_s = 30.0;
                     }),
          variant_of(plain, "routers_restart",
                     [](World& w) {
                       w.restarts_per_s = 10.0;
                       w.requests_per_s = 20.0;
                     }),
          variant_of(plain, "all_routers_restart_at_once",
                     [](World& w) {
                       w.all_restart_at_3 = true;
                       w.requests_per_s = 20.0;
                     }),
          variant_of(plain, "quiet_then_busy",
                     [](World& w) {
                       w.quiet_until_s = 4.0;
                       w.requests_per_s = 40.0;
                     }),
          variant_of(plain, "half_of_the_attempts_fail",
                     [](World& w) {
                       w.fails = 0.5;
                       w.requests_per_s = 20.0;
                     }),
          variant_of(plain, "sizes_of_a_long_tail",
                     [](World& w) {
                       w.sigma = 1.6;
                       w.requests_per_s = 4.0;
                       w.all_restart_at_3 = true;
                     }),
          variant_of(plain, "large_caches",
                     [](World& w) {
                       w.transfers = 60.0;
                       w.requests_per_s = 40.0;
                     }),
          variant_of(plain, "three_routers",
                     [](World& w) {
                       w.routers = 3;
                       w.requests_per_s = 100.0;
                     }),
          variant_of(plain, "twenty_routers",
                     [](World& w) {
                       w.routers = 20;
                       w.restarts_per_s = 4.0;
                       w.requests_per_s = 20.0;
                     }),
          variant_of(plain, "three_hundred_routers", [](World& w) {
            w.routers = 300;
            w.requests_per_s = 3.0;
            w.all_restart_at_3 = true;
            w.length_s = 10.0;
          })};
}

// Returns the worlds with caches of few transfers and a tight budget.
std::vector<World> small_cache_worlds() {
  const World small = variant_of(World{}, "small_caches", [](World& w) {
    w.transfers = 3.0;
    w.factor = 1.5;
    w.span_s = 1.0;
    w.requests_per_s = 20.0;
  });
  return {small,
          variant_of(small, "small_caches_with_restarts",
                     [](World& w) {
                       w.restarts_per_s = 10.0;
                       w.fails = 0.3;
                     }),
          variant_of(small, "tiny_caches",
                     [](World& w) {
                       w.transfers = 2.0;
                       w.factor = 1.2;
                     }),
          variant_of(small, "small_caches_quiet_then_busy",
                     [](World& w) {
                       w.quiet_until_s = 4.0;
                       w.requests_per_s = 40.0;
                     }),
          variant_of(small, "three_hundred_routers_small_caches",
                     [](World& w) {
                       w.routers = 300;
                       w.requests_per_s = 5.0;
                       w.length_s = 10.0;
                     }),
          variant_of(small, "three_routers_small_caches",
                     [](World& w) {
                       w.routers = 3;
                       w.requests_per_s = 100.0;
                     }),
          variant_of(small, "twenty_routers_middle_caches",
                     [](World& w) {
                       w.routers = 20;
                       w.transfers = 8.0;
                       w.factor = 2.0;
                       w.span_s = 1.0;
                     }),
          variant_of(small, "every_third_router_is_here", [](World& w) { w.stride = 3; }),
          variant_of(small, "every_eighth_router_is_here", [](World& w) { w.stride = 8; })};
}

std::vector<World> worlds() {
  std::vector<World> all = default_worlds();
  const std::vector<World> small = small_cache_worlds();
  all.insert(all.end(), small.begin(), small.end());
  return all;
}

class ColdSum : public testing::TestWithParam<World> {};

TEST_P(ColdSum, NoWindowOfAllRoutersTogetherIsOverTheBudget) {
  double worst = 0.0;
  double used = 0.0;
  int nodes = 0;
  Outcome fullest;
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    for (const Outcome& outcome : Fleet(GetParam(), seed).run()) {
      fullest = outcome.worst > worst ? outcome : fullest;
      worst = std::max(worst, outcome.worst);
      used += outcome.used;
      ++nodes;
    }
  }
  std::cout << GetParam().name << ": worst " << worst << " of N + 2 sqrt(N) + 2, " << fullest.work
            << " requests of mean work with N " << fullest.budget << "; used " << used / nodes
            << " of the budget\n";
  EXPECT_LE(worst, 1.0);
  EXPECT_GT(used / nodes, 0.1) << "the node takes part of the load";
}

INSTANTIATE_TEST_SUITE_P(Worlds, ColdSum, testing::ValuesIn(worlds()),
                         [](const auto& one) { return one.param.name; });

}  // namespace
}  // namespace trailcourse
