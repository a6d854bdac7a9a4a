// Data types of a coordination store: entries with revisions that only grow, conditional transactions, and
// leases. The terms are those of etcd's v3 interface (https://etcd.io/docs/v3.5/learning/api/).
//
// Library `coordination`: no I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace trailcourse::coordination {

// Version of the entire store. Each transaction that changes anything increments it.
using Revision = std::uint64_t;
// Identifies a lease; 0: none.
using LeaseId = std::uint64_t;

// A key with its value and history.
struct Entry {
  std::string key;
  std::string value;
  Revision created = 0;       // of its creation; a key that is deleted and written again is created anew
  Revision modified = 0;      // of its last write
  std::uint64_t version = 0;  // number of writes since its creation
  LeaseId lease = 0;          // the key is deleted when this lease ends; 0: no lease

  friend bool operator==(const Entry&, const Entry&) = default;
};

// A single key, or all keys with a prefix.
struct Range {
  std::string key;
  bool prefix = false;

  bool contains(const std::string& other) const { return prefix ? other.starts_with(key) : other == key; }
  friend bool operator==(const Range&, const Range&) = default;
};

// A condition on one key. The numbers of a key that does not exist are 0, and a condition on its value is
// never satisfied.
struct Compare {
  enum class Target { kCreated, kModified, kVersion, kLease, kValue };
  enum class Relation { kEqual, kNotEqual, kGreater, kLess };

  std::string key;
  Target target = Target::kCreated;
  Relation relation = Relation::kEqual;
  std::uint64_t number = 0;  // operand of all targets but kValue
  std::string value;         // operand of kValue

  friend bool operator==(const Compare&, const Compare&) = default;
};

struct Put {
  std::string key;
  std::string value;
  LeaseId lease = 0;

  friend bool operator==(const Put&, const Put&) = default;
};
struct Delete {
  Range range;

  friend bool operator==(const Delete&, const Delete&) = default;
};
struct Get {
  Range range;

  friend bool operator==(const Get&, const Get&) = default;
};
using Operation = std::variant<Put, Delete, Get>;

// Executes `then` if all conditions of `when` are satisfied, and `otherwise` if not, atomically in either
// case.
struct Transaction {
  std::vector<Compare> when;
  std::vector<Operation> then;
  std::vector<Operation> otherwise;

  friend bool operator==(const Transaction&, const Transaction&) = default;
};

struct OperationResult {
  std::vector<Entry> found;   // entries that a Get read, sorted by key
  std::uint64_t deleted = 0;  // number of keys that a Delete deleted

  friend bool operator==(const OperationResult&, const OperationResult&) = default;
};
struct TransactionResult {
  bool succeeded = false;                // whether `then` was executed
  Revision revision = 0;                 // of the store after the transaction
  std::vector<OperationResult> results;  // one for each executed operation, in order

  friend bool operator==(const TransactionResult&, const TransactionResult&) = default;
};

// A write or deletion of a key. A deletion sets only the entry's key and `modified`.
struct KeyChange {
  bool deleted = false;
  Entry entry;  // its `modified` is the revision of the change

  friend bool operator==(const KeyChange&, const KeyChange&) = default;
};

// Returns whether the text is valid as one part of a key: 1 to 64 letters, digits, '.', '-' or '_'.
inline bool is_name(std::string_view text) {
  constexpr std::size_t kMaxNameLength = 64;
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '-' || c == '_';
  };
  return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

// Returns the condition that the key does not exist.
inline Compare absent(std::string key) {
  return {std::move(key), Compare::Target::kCreated, Compare::Relation::kEqual, 0, {}};
}
// Returns the condition that the key was created at this revision and not deleted since.
inline Compare created_at(std::string key, Revision revision) {
  return {std::move(key), Compare::Target::kCreated, Compare::Relation::kEqual, revision, {}};
}
// Returns the condition that the last write of the key was at this revision; 0: the key does not exist.
inline Compare unchanged(std::string key, Revision modified) {
  return {std::move(key), Compare::Target::kModified, Compare::Relation::kEqual, modified, {}};
}

}  // namespace trailcourse::coordination
