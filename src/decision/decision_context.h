// The state that all parts of the decision module share: the settings, the time of the current event, the
// nodes and the random number generator. It makes no decisions.
#pragma once

#include <trailcourse/decider.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>

#include "node_table.h"
#include "request.h"

namespace trailcourse {

// Not thread-safe; has to outlive the parts that refer to it.
struct DecisionContext {
  // Maximum number of addresses; further ones reuse the slots of idle nodes that are not listed.
  static constexpr std::size_t kMaxNodes = 4096;

  DecisionContext(Settings initial_settings, std::uint64_t seed)
      : settings(std::move(initial_settings)), random(seed) {}
  DecisionContext(const DecisionContext&) = delete;
  DecisionContext& operator=(const DecisionContext&) = delete;

  // Returns the rules of the request's class.
  const ClassSettings& class_of(const Request& request) const {
    return settings.classes[static_cast<std::size_t>(request.arrival.request_class)];
  }
  // Returns whether caches may store the answer.
  bool cacheable(const Request& request) const {
    return !class_of(request).uncached && !request.arrival.write;
  }

  // Returns a random number, uniformly distributed over [`from`, `to`).
  double draw(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random); }

  Settings settings;
  Micros now{0};
  std::mt19937_64 random;
  NodeTable nodes{kMaxNodes};
};

}  // namespace trailcourse
