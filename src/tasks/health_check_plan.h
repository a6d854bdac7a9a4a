// Plans the health checks of the caches that routers of a zone suspect, and derives the verdicts to publish.
//
// Library `tasks`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ownership/lease.h"
#include "tasks/verdict.h"

namespace trailcourse::tasks {

// Timing and limits of the checks.
struct HealthCheckOptions {
  Micros interval{1'000'000};            // between two checks of one cache
  Micros republish_interval{2'500'000};  // of an unchanged verdict
  std::uint64_t confirmations = 2;       // consecutive equal results that a verdict requires
  std::size_t max_in_flight = 16;        // concurrent checks
};

// A verdict to write to the store, or to delete there.
struct VerdictUpdate {
  enum class Kind { kPublish, kWithdraw };

  Kind kind = Kind::kPublish;
  Verdict verdict;  // only the cache and the term are set if it is withdrawn
};

// Checks each suspect, one check at a time regardless of the number of routers that suspect it, until no
// router suspects it and the checks find it healthy.
class HealthCheckPlan {
 public:
  // `term` is the one under which this router owns the work. Verdicts contain it.
  HealthCheckPlan(const HealthCheckOptions& options, ownership::Term term) : options_(options), term_(term) {}

  // A router reports that it suspects the cache.
  void on_suspected(Micros now, const std::string& cache, const std::string& router);

  // A router no longer suspects the cache.
  void on_suspicion_ended(const std::string& cache, const std::string& router);

  // Returns the caches to check now. Each check counts as in flight until on_check_result().
  std::vector<std::string> start_checks(Micros now);

  // Records the result of a check. Ignored unless a check of the cache is in flight.
  void on_check_result(Micros now, const std::string& cache, bool healthy);

  // Returns the verdicts to publish or to withdraw now, each update once.
  std::vector<VerdictUpdate> take_verdict_updates(Micros now);

  // Returns when start_checks() has to be called next if no event occurs earlier, or nothing if only an event
  // can make a check due.
  std::optional<Micros> next_step_at(Micros now) const;

  std::size_t suspect_count() const { return suspects_.size(); }
  std::uint64_t checks_started() const { return checks_started_; }

 private:
  struct Suspect {
    std::set<std::string> reporters;  // routers that suspect the cache
    bool check_in_flight = false;
    bool cleared = false;  // no longer suspected; its verdict has to be withdrawn
    Micros next_check_at{0};
    std::optional<bool> last_result;
    std::uint64_t consecutive_results = 0;  // number of latest results that are equal
    std::optional<bool> published;
    Micros published_at{0};
  };

  bool is_verdict_due(Micros now, const Suspect& suspect) const;

  HealthCheckOptions options_;
  ownership::Term term_;
  std::map<std::string, Suspect> suspects_;  // by cache
  std::uint64_t last_sequence_ = 0;
  std::uint64_t checks_started_ = 0;
};

}  // namespace trailcourse::tasks
