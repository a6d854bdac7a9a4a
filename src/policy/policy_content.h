// What a policy allows: typed records of request classes and limits, and their algebra.
//
// A key of these records belongs to the fleet; all other keys of the operator's file belong to one machine.
//
// Package `policy`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/record.h"

namespace trailcourse::policy {

// The policy of one class of requests.
struct ClassPolicy {
  bool serve = true;
  std::int64_t objective_ms = 1'000;
  std::int64_t give_up_ms = 3'000;
  double priority_weight = 1.0;
  std::int64_t fresh_ms = 0;
  std::int64_t grace_ms = 0;

  friend bool operator==(const ClassPolicy&, const ClassPolicy&) = default;
};
// Returns the declaration of its keys; it lives as long as the program.
const config::Record<ClassPolicy>& class_policy_record();

// The limits of each router.
struct LimitPolicy {
  std::int64_t open_requests = 0;
  std::int64_t retry_after_ms = 60'000;
  std::vector<std::string> work{"probe", "fill", "report"};

  friend bool operator==(const LimitPolicy&, const LimitPolicy&) = default;
};
// Returns the declaration of its keys; it lives as long as the program.
const config::Record<LimitPolicy>& limit_policy_record();

struct PolicyContent {
  std::map<std::string, ClassPolicy> classes;  // by name; a class that is not named stays as configured
  LimitPolicy limits;

  friend bool operator==(const PolicyContent&, const PolicyContent&) = default;
};

// Returns what both allow. The operation is commutative, associative and idempotent, and its result is a
// subset of either. A class that one of them does not serve is not served.
PolicyContent intersection(const PolicyContent& one, const PolicyContent& other);
// Returns whether all that `narrow` allows is allowed by `wide`.
bool is_subset(const PolicyContent& narrow, const PolicyContent& wide);

// Describes the difference for operators, one line for each key.
std::vector<std::string> describe_difference(const PolicyContent& before, const PolicyContent& after);

}  // namespace trailcourse::policy
