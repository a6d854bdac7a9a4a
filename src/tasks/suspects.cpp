#include "tasks/suspects.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace trailcourse::tasks {

using nlohmann::json;

// ---- SuspectBook ----

void SuspectBook::ended(const std::string& cache, bool sound) {
  if (sound) {
    failures_.erase(cache);
    suspects_.erase(cache);
  } else if (++failures_[cache] >= after_) {
    suspects_.insert(cache);
  }
}

void SuspectBook::forget(const std::string& cache) {
  failures_.erase(cache);
  suspects_.erase(cache);
}

void SuspectBook::cleared(const std::string& cache) { forget(cache); }

std::map<std::string, bool> SuspectBook::changes() {
  std::map<std::string, bool> out;
  for (const std::string& cache : suspects_) {
    if (!told_.contains(cache)) {
      out[cache] = true;
    }
  }
  for (const std::string& cache : told_) {
    if (!suspects_.contains(cache)) {
      out[cache] = false;
    }
  }
  told_ = suspects_;
  return out;
}

// ---- Verdicts ----

std::string write_verdict(const Verdict& verdict) {
  return json{{"sound", verdict.sound},
              {"probes", verdict.probes},
              {"term", verdict.term},
              {"number", verdict.number},
              {"at_ms", verdict.at_ms}}
      .dump();
}

std::optional<Verdict> read_verdict(const std::string& cache, const std::string& value) {
  const json from = json::parse(value, nullptr, false);
  if (!from.is_object() || cache.empty()) {
    return std::nullopt;
  }
  const auto number = [&from](const char* name) -> std::optional<std::uint64_t> {
    const auto found = from.find(name);
    return found != from.end() && found->is_number_unsigned()
               ? std::optional<std::uint64_t>(found->get<std::uint64_t>())
               : std::nullopt;
  };
  const auto sound = from.find("sound");
  const auto term = number("term");
  const auto count = number("number");
  if (sound == from.end() || !sound->is_boolean() || !term || !count || *term == 0) {
    return std::nullopt;
  }
  Verdict out;
  out.cache = cache;
  out.sound = sound->get<bool>();
  out.probes = number("probes").value_or(0);
  out.term = *term;
  out.number = *count;
  out.at_ms = static_cast<std::int64_t>(number("at_ms").value_or(0));
  return out;
}

// ---- ProbePlan ----

void ProbePlan::named(Micros now, const std::string& cache, const std::string& router, bool suspect) {
  if (!suspect) {
    const auto found = suspects_.find(cache);
    if (found != suspects_.end()) {
      found->second.routers.erase(router);
    }
    return;
  }
  const auto [found, added] = suspects_.try_emplace(cache);
  if (added || found->second.over) {
    found->second.probe_at = now;
  }
  found->second.over = false;
  found->second.routers.insert(router);
}

void ProbePlan::inherited(const Verdict& verdict) {
  Suspect& suspect = suspects_[verdict.cache];
  suspect.said = verdict.sound;
  suspect.last = verdict.sound;
}

std::vector<std::string> ProbePlan::due(Micros now) {
  std::vector<std::string> out;
  std::size_t busy = static_cast<std::size_t>(
      std::count_if(suspects_.begin(), suspects_.end(), [](const auto& one) { return one.second.out; }));
  for (auto& [cache, suspect] : suspects_) {
    if (!suspect.out && !suspect.over && suspect.probe_at <= now && busy < rules_.most_out) {
      suspect.out = true;
      ++busy;
      ++probes_;
      out.push_back(cache);
    }
  }
  return out;
}

void ProbePlan::probed(Micros now, const std::string& cache, bool sound) {
  const auto found = suspects_.find(cache);
  if (found == suspects_.end() || !found->second.out) {
    return;
  }
  Suspect& suspect = found->second;
  suspect.out = false;
  suspect.probe_at = now + rules_.pause;
  suspect.in_row = suspect.last == sound ? suspect.in_row + 1 : 1;
  suspect.last = sound;
  // One that nobody names and that is sound for as long as it takes is no suspect.
  suspect.over = suspect.routers.empty() && sound && suspect.in_row >= rules_.sure;
}

std::vector<Verdict> ProbePlan::news(Micros now) {
  std::vector<Verdict> out;
  for (auto one = suspects_.begin(); one != suspects_.end();) {
    Suspect& suspect = one->second;
    Verdict verdict;
    verdict.cache = one->first;
    verdict.term = term_;
    if (suspect.over) {
      if (suspect.said) {
        out.push_back(verdict);  // without probes: taken back
      }
      one = suspects_.erase(one);
      continue;
    }
    const bool sure = suspect.last && suspect.in_row >= rules_.sure;
    if (sure && (suspect.said != suspect.last || now >= suspect.said_at + rules_.repeat)) {
      suspect.said = suspect.last;
      suspect.said_at = now;
      verdict.sound = *suspect.last;
      verdict.probes = suspect.in_row;
      verdict.number = ++number_;
      out.push_back(verdict);
    }
    ++one;
  }
  return out;
}

std::optional<Micros> ProbePlan::next(Micros now) const {
  std::optional<Micros> out;
  for (const auto& [cache, suspect] : suspects_) {
    if (!suspect.out) {
      out = std::min(out.value_or(Micros::max()), std::max(now, suspect.probe_at));
    }
  }
  return out;
}

std::size_t ProbePlan::suspects() const { return suspects_.size(); }

// ---- VerdictBook ----

std::optional<HealthCheckResult> VerdictBook::heard(Micros now, const Verdict& verdict) {
  Last& last = last_[verdict.cache];
  if (std::pair(verdict.term, verdict.number) <= std::pair(last.term, last.number)) {
    return std::nullopt;
  }
  last = Last{verdict.term, verdict.number, verdict.sound, now};
  return HealthCheckResult{verdict.cache, verdict.sound, holds_};
}

void VerdictBook::withdrawn(const std::string& cache) {
  // The term stays known: a late verdict of an earlier prober counts for nothing.
  const auto found = last_.find(cache);
  if (found != last_.end()) {
    found->second.at = Micros(INT64_MIN / 2);
  }
}

std::optional<bool> VerdictBook::stands(Micros now, const std::string& cache) const {
  const auto found = last_.find(cache);
  const bool known = found != last_.end() && now - found->second.at < holds_;
  return known ? std::optional<bool>(found->second.sound) : std::nullopt;
}

}  // namespace trailcourse::tasks
