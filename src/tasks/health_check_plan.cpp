#include "tasks/health_check_plan.h"

#include <algorithm>

namespace trailcourse::tasks {

void HealthCheckPlan::on_suspected(Micros now, const std::string& cache, const std::string& router) {
  const auto [found, added] = suspects_.try_emplace(cache);
  Suspect& suspect = found->second;
  if (added || suspect.cleared) {
    suspect.next_check_at = now;
  }
  suspect.cleared = false;
  suspect.reporters.insert(router);
}

void HealthCheckPlan::on_suspicion_ended(const std::string& cache, const std::string& router) {
  const auto found = suspects_.find(cache);
  if (found != suspects_.end()) {
    found->second.reporters.erase(router);
  }
}

std::vector<std::string> HealthCheckPlan::start_checks(Micros now) {
  auto in_flight = static_cast<std::size_t>(std::count_if(
      suspects_.begin(), suspects_.end(), [](const auto& entry) { return entry.second.check_in_flight; }));
  std::vector<std::string> caches;
  for (auto& [cache, suspect] : suspects_) {
    const bool due = !suspect.check_in_flight && !suspect.cleared && suspect.next_check_at <= now;
    if (due && in_flight < options_.max_in_flight) {
      suspect.check_in_flight = true;
      ++in_flight;
      ++checks_started_;
      caches.push_back(cache);
    }
  }
  return caches;
}

void HealthCheckPlan::on_check_result(Micros now, const std::string& cache, bool healthy) {
  const auto found = suspects_.find(cache);
  if (found == suspects_.end() || !found->second.check_in_flight) {
    return;
  }
  Suspect& suspect = found->second;
  suspect.check_in_flight = false;
  suspect.next_check_at = now + options_.interval;
  suspect.consecutive_results = suspect.last_result == healthy ? suspect.consecutive_results + 1 : 1;
  suspect.last_result = healthy;
  const bool confirmed = suspect.consecutive_results >= options_.confirmations;
  suspect.cleared = suspect.reporters.empty() && healthy && confirmed;
}

bool HealthCheckPlan::is_verdict_due(Micros now, const Suspect& suspect) const {
  if (!suspect.last_result || suspect.consecutive_results < options_.confirmations) {
    return false;
  }
  return suspect.published != suspect.last_result ||
         now >= suspect.published_at + options_.republish_interval;
}

std::vector<VerdictUpdate> HealthCheckPlan::take_verdict_updates(Micros now) {
  std::vector<VerdictUpdate> updates;
  for (auto entry = suspects_.begin(); entry != suspects_.end();) {
    Suspect& suspect = entry->second;
    VerdictUpdate update;
    update.verdict.cache = entry->first;
    update.verdict.term = term_;
    if (suspect.cleared) {
      if (suspect.published) {
        update.kind = VerdictUpdate::Kind::kWithdraw;
        updates.push_back(update);
      }
      entry = suspects_.erase(entry);
      continue;
    }
    if (is_verdict_due(now, suspect)) {
      suspect.published = suspect.last_result;
      suspect.published_at = now;
      update.verdict.healthy = *suspect.last_result;
      update.verdict.consecutive_checks = suspect.consecutive_results;
      update.verdict.sequence = ++last_sequence_;
      updates.push_back(update);
    }
    ++entry;
  }
  return updates;
}

std::optional<Micros> HealthCheckPlan::next_step_at(Micros now) const {
  std::optional<Micros> earliest;
  for (const auto& [cache, suspect] : suspects_) {
    if (!suspect.check_in_flight) {
      earliest = std::min(earliest.value_or(Micros::max()), std::max(now, suspect.next_check_at));
    }
  }
  return earliest;
}

}  // namespace trailcourse::tasks
