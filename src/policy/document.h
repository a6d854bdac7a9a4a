// The operators' policy as one versioned document. (Not the decision module's files, which
// deploy/balancer.toml names under a key of that name.) One version is in force at a time in a zone;
// rollout.h describes how it is replaced.
//
// Package `policy`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "policy/policy_content.h"

namespace trailcourse::policy {

// The schema of documents that this program reads and writes.
constexpr std::int64_t kSchema = 1;

struct PolicyDocument {
  std::int64_t schema = kSchema;
  std::uint64_t version = 0;
  std::uint64_t parent = 0;  // the version that it replaces
  std::string author;
  std::string reason;
  PolicyContent content;

  friend bool operator==(const PolicyDocument&, const PolicyDocument&) = default;
};

// A document that cannot be read. Its text names the first field at fault and what is allowed.
class InvalidDocument : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the SHA-256 of a document's contents, as 64 hex digits. It does not depend on the order of keys
// or on spaces.
std::string digest_of(const PolicyDocument& document);
// Returns the document with its digest.
nlohmann::json write_document(const PolicyDocument& document);
std::string write_document_text(const PolicyDocument& document);

// Reads a stored document. Throws InvalidDocument if the text is not JSON, the schema or a field is unknown,
// a value is out of range, or the digest is not the document's.
PolicyDocument read_document(const std::string& text);
// Reads what an operator writes: version, parent and digest are set later. Throws InvalidDocument.
PolicyDocument read_draft(const std::string& text);

// What a router can do, as far as a policy depends on it.
struct RouterCapabilities {
  std::vector<std::string> classes;    // that its settings know
  std::int64_t max_open_requests = 0;  // by its memory and sockets
};

// The first demand of a document that a router cannot meet.
struct UnsupportedDemand {
  enum class Kind { kUnknownClass, kTooManyOpenRequests };
  Kind kind = Kind::kUnknownClass;
  std::string class_name;              // of kUnknownClass
  std::int64_t open_requests = 0;      // of kTooManyOpenRequests: what the document demands
  std::int64_t max_open_requests = 0;  // and what the router can serve
};
// Describes it for operators, with the document's field.
std::string describe(const UnsupportedDemand& demand);

// Checks whether a router with these capabilities can apply the document.
tl::expected<void, UnsupportedDemand> check_capabilities(const PolicyDocument& document,
                                                         const RouterCapabilities& capabilities);

}  // namespace trailcourse::policy
