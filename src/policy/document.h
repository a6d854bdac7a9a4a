// The operators' policy: what routers may do, as one versioned document of typed records. (Not the decision
// module's files, which deploy/balancer.toml names under a key of that name.)
//
// A key is the fleet's where its record stands here; all others of the operator's file are a machine's own.
// One document is in force at a time, everywhere or nowhere (rollout.h, participant.h).
//
// Package `policy`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/record.h"

namespace trailcourse::policy {

constexpr std::int64_t kSchema = 1;

// Of one class of requests.
struct ClassPolicy {
  bool serve = true;
  std::int64_t objective_ms = 1'000;
  std::int64_t give_up_ms = 3'000;
  double priority_weight = 1.0;
  std::int64_t fresh_ms = 0;
  std::int64_t grace_ms = 0;

  friend bool operator==(const ClassPolicy&, const ClassPolicy&) = default;
};
const config::Record<ClassPolicy>& class_policy_record();

struct LimitPolicy {
  std::int64_t open_requests = 0;
  std::int64_t retry_after_ms = 60'000;
  std::vector<std::string> work{"probe", "fill", "report"};

  friend bool operator==(const LimitPolicy&, const LimitPolicy&) = default;
};
const config::Record<LimitPolicy>& limit_policy_record();

// What a document allows.
struct PolicyContent {
  std::map<std::string, ClassPolicy> classes;
  LimitPolicy limits;

  friend bool operator==(const PolicyContent&, const PolicyContent&) = default;
};

struct PolicyDocument {
  std::int64_t schema = kSchema;
  std::uint64_t version = 0;
  std::uint64_t parent = 0;  // the version that it replaces
  std::string author;
  std::string reason;
  PolicyContent content;

  friend bool operator==(const PolicyDocument&, const PolicyDocument&) = default;
};

// What is wrong with a document: the first field at fault and what is allowed.
class InvalidDocument : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// SHA-256 over all that a document says, in a form that does not depend on order or spaces. 64 hex digits.
std::string digest_of(const PolicyDocument& document);
// With its digest.
nlohmann::json write_document(const PolicyDocument& document);
std::string write_document_text(const PolicyDocument& document);
// Throws InvalidDocument: no JSON, a schema that is not known here, a field that is none, a value out of range, a
// digest that is another's.
PolicyDocument read_document(const std::string& text);
// The same of what an operator writes: version, parent and digest are set later.
PolicyDocument read_draft(const std::string& text);

// What a router can do, as far as a policy depends on it.
struct RouterCapabilities {
  std::vector<std::string> classes;    // that its settings know
  std::int64_t max_open_requests = 0;  // that its memory and sockets bear
};
// Why this router cannot live by it; empty where it can.
std::string check_capabilities(const PolicyDocument& document, const RouterCapabilities& capabilities);

// What both allow. It is commutative, associative and idempotent; whatever it allows each of the two does. A
// class that one of them does not serve is not served.
PolicyContent intersection(const PolicyContent& one, const PolicyContent& other);
// Whether all that `narrow` allows is allowed by `wide`.
bool is_subset(const PolicyContent& narrow, const PolicyContent& wide);

// The difference in words, a line for each key.
std::vector<std::string> describe_difference(const PolicyContent& before, const PolicyContent& after);

}  // namespace trailcourse::policy
