// What a coordination store holds: entries under revisions that only grow, transactions that compare first,
// and leases. The terms are those of etcd's v3 interface (https://etcd.io/docs/v3.5/learning/api/).
//
// Package `coordination`: no I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace trailcourse::coordination {

// Counts the transactions that changed anything, in the whole store.
using Revision = std::uint64_t;
// Names a lease; 0: none.
using LeaseId = std::uint64_t;

struct Entry {
  std::string key;
  std::string value;
  Revision created = 0;       // when the key was created; a key that is deleted and written again starts anew
  Revision modified = 0;      // when it was written last
  std::uint64_t version = 0;  // writes since it was created
  LeaseId lease = 0;          // with whose end the key is deleted

  friend bool operator==(const Entry&, const Entry&) = default;
};

// One key, or all keys that begin with it.
struct Range {
  std::string key;
  bool prefix = false;

  bool holds(const std::string& other) const { return prefix ? other.starts_with(key) : other == key; }
  friend bool operator==(const Range&, const Range&) = default;
};

// A condition on one key. Of a key that does not exist every number is 0, and no condition on the value
// holds.
struct Compare {
  enum class What { kCreated, kModified, kVersion, kLease, kValue };
  enum class How { kEqual, kNotEqual, kGreater, kLess };

  std::string key;
  What what = What::kCreated;
  How how = How::kEqual;
  std::uint64_t number = 0;
  std::string value;  // for kValue

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

// If all conditions of `when` hold, `then` is executed, else `otherwise`; atomically in either case.
struct Transaction {
  std::vector<Compare> when;
  std::vector<Operation> then;
  std::vector<Operation> otherwise;

  friend bool operator==(const Transaction&, const Transaction&) = default;
};

struct OperationResult {
  std::vector<Entry> found;   // of a Get, sorted by key
  std::uint64_t deleted = 0;  // keys, of a Delete

  friend bool operator==(const OperationResult&, const OperationResult&) = default;
};
struct TransactionResult {
  bool succeeded = false;                // whether `then` was executed
  Revision revision = 0;                 // of the store after the transaction
  std::vector<OperationResult> results;  // one for each operation that was executed

  friend bool operator==(const TransactionResult&, const TransactionResult&) = default;
};

// One change of a key. Of a deletion, only the entry's key and `modified` are set.
struct KeyChange {
  bool deleted = false;
  Entry entry;  // its `modified` is the revision of the change

  friend bool operator==(const KeyChange&, const KeyChange&) = default;
};

// Returns whether the text can be one part of a key: 1 to 64 letters, digits, '.', '-' or '_'.
inline bool is_name(std::string_view text) {
  constexpr std::size_t kMaxNameLength = 64;
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '-' || c == '_';
  };
  return !text.empty() && text.size() <= kMaxNameLength && std::all_of(text.begin(), text.end(), allowed);
}

// The key does not exist.
inline Compare absent(std::string key) {
  return {std::move(key), Compare::What::kCreated, Compare::How::kEqual, 0, {}};
}
// The key was created at this revision, and not deleted since.
inline Compare created_at(std::string key, Revision revision) {
  return {std::move(key), Compare::What::kCreated, Compare::How::kEqual, revision, {}};
}
// The key was written last at this revision.
inline Compare unchanged(std::string key, Revision modified) {
  return {std::move(key), Compare::What::kModified, Compare::How::kEqual, modified, {}};
}

}  // namespace trailcourse::coordination
