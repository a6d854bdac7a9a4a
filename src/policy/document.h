// The operators' policy as one versioned document. One version is in force at a time in each zone; rollout.h
// describes how it is replaced. (The key `policy` of deploy/balancer.toml names files of the decision module,
// which are unrelated.)
//
// Library `policy`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "policy/policy_content.h"

namespace trailcourse::policy {

// The version of the document schema that this program reads and writes.
constexpr std::int64_t kSchema = 1;

struct PolicyDocument {
  std::int64_t schema = kSchema;
  std::uint64_t version = 0;
  std::uint64_t parent = 0;  // the version that this one replaces
  std::string author;
  std::string reason;
  PolicyContent content;

  friend bool operator==(const PolicyDocument&, const PolicyDocument&) = default;
};

// Thrown for a document that cannot be read. what() names the first invalid field and the allowed values.
class InvalidDocument : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns the SHA-256 of a document's contents as 64 hex digits. The digest does not depend on the order of
// keys or on spaces.
std::string digest_of(const PolicyDocument& document);
// Returns the document as JSON, with its digest.
nlohmann::json write_document(const PolicyDocument& document);
// Returns the document as the text that is stored.
std::string write_document_text(const PolicyDocument& document);

// Reads a stored document. Throws InvalidDocument if the text is not JSON, if the schema or a field is
// unknown, if a value is out of range, or if the digest does not match.
PolicyDocument read_document(const std::string& text);
// Reads a document as an operator writes it, without version, parent and digest, which are set later. Throws
// InvalidDocument.
PolicyDocument read_draft(const std::string& text);

// The capabilities of a router that a policy may require.
struct RouterCapabilities {
  std::vector<std::string> classes;    // names of the request classes in its settings
  std::int64_t max_open_requests = 0;  // limited by its memory and sockets
};

// The first demand of a document that a router cannot meet.
struct UnsupportedDemand {
  enum class Kind { kUnknownClass, kTooManyOpenRequests };
  Kind kind = Kind::kUnknownClass;
  std::string class_name;              // of kUnknownClass
  std::int64_t open_requests = 0;      // of kTooManyOpenRequests: what the document demands
  std::int64_t max_open_requests = 0;  // of kTooManyOpenRequests: what the router can serve
};
// Describes the demand for operators, with the document's field.
std::string describe(const UnsupportedDemand& demand);

// Checks whether a router with these capabilities can apply the document. Returns the first demand that it
// cannot meet as the error.
tl::expected<void, UnsupportedDemand> check_capabilities(const PolicyDocument& document,
                                                         const RouterCapabilities& capabilities);

}  // namespace trailcourse::policy
