// Which caches this router names to the prober of its zone: those that failed it a few times in a row. And
// what the prober makes of what it is told and of its probes; and what a router makes of the prober's
// verdicts.
//
// Package `tasks`: no I/O, no clock; time is Micros of the caller's steady clock.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ownership/lease.h"

namespace trailcourse::tasks {

// ---- At each router: whom it suspects ----

class SuspectBook {
 public:
  explicit SuspectBook(int after) : after_(after) {}

  // An attempt at a cache ended. Outcomes that say nothing of the cache are not told.
  void ended(const std::string& cache, bool sound);
  // It is not listed any more.
  void forget(const std::string& cache);
  // A verdict that it is sound ends a suspicion: what fails here may be this router's own path, and is
  // suspected again after as many failures.
  void cleared(const std::string& cache);

  // What changed since the last call: named now, or not any more.
  std::map<std::string, bool> changes();
  const std::set<std::string>& suspects() const { return suspects_; }

 private:
  int after_;
  std::map<std::string, int> failures_;  // in a row
  std::set<std::string> suspects_;
  std::set<std::string> told_;
};

// ---- At the prober ----

struct Verdict {
  std::string cache;
  bool sound = false;
  std::uint64_t probes = 0;  // in a row that said so
  ownership::Term term = 0;  // of the prober
  std::uint64_t number = 0;  // of the verdict under that term
  std::int64_t at_ms = 0;    // Unix time, for staff alone

  friend bool operator==(const Verdict&, const Verdict&) = default;
};
std::string write_verdict(const Verdict& verdict);
std::optional<Verdict> read_verdict(const std::string& cache, const std::string& value);

struct ProbeRules {
  Micros pause{1'000'000};    // between two probes of one cache
  Micros repeat{2'500'000};   // a verdict is said again, while the cache is suspected
  std::uint64_t sure = 2;     // probes in a row that change a verdict
  std::size_t most_out = 16;  // probes at once
};

class ProbePlan {
 public:
  ProbePlan(const ProbeRules& rules, ownership::Term term) : rules_(rules), term_(term) {}

  // A router names a cache, or takes it back.
  void named(Micros now, const std::string& cache, const std::string& router, bool suspect);
  // Verdicts of probers before that still stand.
  void inherited(const Verdict& verdict);
  // The caches to probe now; each counts as out until probed().
  std::vector<std::string> due(Micros now);
  void probed(Micros now, const std::string& cache, bool sound);
  // The verdicts to be said now, and those to be taken back (without probes).
  std::vector<Verdict> news(Micros now);
  std::optional<Micros> next(Micros now) const;

  std::size_t suspects() const;
  std::uint64_t probes() const { return probes_; }

 private:
  struct Suspect {
    std::set<std::string> routers;
    bool out = false;
    Micros probe_at{0};
    std::optional<bool> last;
    std::uint64_t in_row = 0;
    std::optional<bool> said;
    Micros said_at{0};
    bool over = false;  // nobody suspects it any more: its verdict is to be taken back
  };

  ProbeRules rules_;
  ownership::Term term_;
  std::map<std::string, Suspect> suspects_;
  std::uint64_t number_ = 0;
  std::uint64_t probes_ = 0;
};

// ---- At each router again: what it makes of verdicts ----

// A verdict counts once, for the time it was made: one that is older in term or number than the last one
// heard of that cache is passed over. It is an observation among the router's own, and never replaces one.
class VerdictBook {
 public:
  explicit VerdictBook(Micros holds) : holds_(holds) {}

  // What the decision module is to be told now.
  std::optional<HealthCheckResult> heard(Micros now, const Verdict& verdict);
  void withdrawn(const std::string& cache);
  // The verdict that stands, if any.
  std::optional<bool> stands(Micros now, const std::string& cache) const;

 private:
  struct Last {
    ownership::Term term = 0;
    std::uint64_t number = 0;
    bool sound = false;
    Micros at{0};
  };
  Micros holds_;
  std::map<std::string, Last> last_;
};

}  // namespace trailcourse::tasks
