// The content of a policy: typed records of request classes and limits, their intersection and their order.
//
// The keys of these records apply to the whole fleet; all other keys of the operator's file apply to one
// machine.
//
// Library `policy`: knows JSON; no I/O, no clock.
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
// Returns the declaration of the keys. It has static lifetime.
const config::Record<ClassPolicy>& class_policy_record();

// The limits that each router applies.
struct LimitPolicy {
  std::int64_t open_requests = 0;
  std::int64_t retry_after_ms = 60'000;
  std::vector<std::string> work{"probe", "fill", "report"};

  friend bool operator==(const LimitPolicy&, const LimitPolicy&) = default;
};
// Returns the declaration of the keys. It has static lifetime.
const config::Record<LimitPolicy>& limit_policy_record();

// What one version of the policy allows.
struct PolicyContent {
  std::map<std::string, ClassPolicy> classes;  // by name; other classes stay as configured
  LimitPolicy limits;

  friend bool operator==(const PolicyContent&, const PolicyContent&) = default;
};

// Returns the content that allows what both contents allow. The operation is commutative, associative and
// idempotent, and its result is a subset of both. A class that one of them does not serve is not served.
PolicyContent intersection(const PolicyContent& one, const PolicyContent& other);
// Returns whether `wide` allows everything that `narrow` allows.
bool is_subset(const PolicyContent& narrow, const PolicyContent& wide);

// Describes the difference for operators, one line for each changed key.
std::vector<std::string> describe_difference(const PolicyContent& before, const PolicyContent& after);

}  // namespace trailcourse::policy
