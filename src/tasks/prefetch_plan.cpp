#include "tasks/prefetch_plan.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "coordination/record_fields.h"

namespace trailcourse::tasks {

using coordination::unsigned_field;
using nlohmann::json;

namespace {

// Reads the array `name`, and returns its indices from `first` to `size` - 1.
std::set<std::size_t> read_indices(const json& object, const char* name, std::size_t first,
                                   std::size_t size) {
  std::set<std::size_t> indices;
  const auto found = object.find(name);
  if (found == object.end() || !found->is_array()) {
    return indices;
  }
  for (const json& value : *found) {
    if (!value.is_number_unsigned()) {
      continue;
    }
    const auto index = value.get<std::size_t>();
    if (index >= first && index < size) {
      indices.insert(index);
    }
  }
  return indices;
}

}  // namespace

PrefetchPlan::PrefetchPlan(const PrefetchParameters& parameters, std::uint64_t shard, std::uint64_t shards,
                           const PrefetchOptions& options, const std::string& checkpoint)
    : options_(options) {
  const std::uint64_t stride = std::max<std::uint64_t>(1, shards);
  for (std::size_t i = shard; i < parameters.objects.size(); i += stride) {
    objects_.push_back(parameters.objects[i]);
  }
  if (parameters.objects_per_s > 0.0) {
    pacing_interval_ = Micros(static_cast<Micros::rep>(1e6 / parameters.objects_per_s));
  }
  progress_.total = objects_.size();
  restore(checkpoint);
}

void PrefetchPlan::restore(const std::string& checkpoint) {
  const json saved = json::parse(checkpoint, nullptr, false);
  if (!saved.is_object()) {
    return;
  }
  PrefetchProgress progress;
  progress.filled = unsigned_field(saved, "filled");
  progress.already_cached = unsigned_field(saved, "held");
  progress.failed = unsigned_field(saved, "failed");
  progress.total = unsigned_field(saved, "of");
  const std::uint64_t prefix = unsigned_field(saved, "all_before");
  std::set<std::size_t> beyond = read_indices(saved, "beyond", prefix, objects_.size());
  // A checkpoint that was written under other parameters does not apply.
  const bool consistent = prefix <= objects_.size() && progress.total == objects_.size() &&
                          progress.finished() == prefix + beyond.size();
  if (!consistent) {
    return;
  }
  finished_prefix_ = prefix;
  finished_beyond_ = std::move(beyond);
  next_index_ = prefix;
  progress_ = progress;
}

std::vector<std::size_t> PrefetchPlan::start_requests(Micros now) {
  std::vector<std::size_t> indices;
  for (const auto& [index, retry] : retries_) {
    if (has_capacity() && !in_flight_.contains(index) && retry.not_before <= now) {
      in_flight_.insert(index);
      indices.push_back(index);
    }
  }
  while (has_capacity() && next_index_ < objects_.size() && next_paced_at_ <= now) {
    const std::size_t index = next_index_++;
    if (finished_beyond_.contains(index)) {
      continue;
    }
    in_flight_.insert(index);
    indices.push_back(index);
    // Prevents a burst of requests after a pause.
    next_paced_at_ = std::max(next_paced_at_, now - pacing_interval_) + pacing_interval_;
  }
  return indices;
}

void PrefetchPlan::on_result(Micros now, std::size_t index, PrefetchResult result, Micros retry_after) {
  if (in_flight_.erase(index) == 0) {
    return;
  }
  const bool already_cached = result == PrefetchResult::kAlreadyCached;
  const bool success = already_cached || result == PrefetchResult::kFilled;
  if (success || !schedule_retry(now, index, retry_after)) {
    finish(index, success, already_cached);
  }
}

bool PrefetchPlan::schedule_retry(Micros now, std::size_t index, Micros retry_after) {
  Retry& retry = retries_[index];
  ++retry.attempts;
  if (retry.attempts >= options_.max_attempts) {
    return false;
  }
  Micros backoff = options_.retry_backoff;
  for (int attempt = 1; attempt < retry.attempts; ++attempt) {
    backoff *= 2;
  }
  retry.not_before = now + std::max(backoff, retry_after);
  return true;
}

void PrefetchPlan::finish(std::size_t index, bool success, bool already_cached) {
  retries_.erase(index);
  progress_.filled += success ? 1 : 0;
  progress_.already_cached += already_cached ? 1 : 0;
  progress_.failed += success ? 0 : 1;
  finished_beyond_.insert(index);
  while (finished_beyond_.erase(finished_prefix_) > 0) {
    ++finished_prefix_;
  }
}

std::optional<Micros> PrefetchPlan::next_step_at(Micros now) const {
  if (!has_capacity()) {
    return std::nullopt;
  }
  std::optional<Micros> earliest;
  for (const auto& [index, retry] : retries_) {
    if (!in_flight_.contains(index)) {
      earliest = std::min(earliest.value_or(Micros::max()), std::max(now, retry.not_before));
    }
  }
  if (next_index_ < objects_.size()) {
    earliest = std::min(earliest.value_or(Micros::max()), std::max(now, next_paced_at_));
  }
  return earliest;
}

std::string PrefetchPlan::checkpoint() const {
  const json progress{{"all_before", finished_prefix_}, {"beyond", finished_beyond_},
                      {"filled", progress_.filled},     {"held", progress_.already_cached},
                      {"failed", progress_.failed},     {"of", progress_.total}};
  return progress.dump();
}

}  // namespace trailcourse::tasks
