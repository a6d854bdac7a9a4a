// What a store of shared truth knows: entries under revisions that only grow, transactions that compare
// first, leases. The terms are those of etcd's published v3 interface
// (https://etcd.io/docs/v3.5/learning/api/).
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

using Revision = std::uint64_t;  // of the whole store: one more for each transaction that changes anything
using LeaseId = std::uint64_t;   // 0: none

struct Entry {
  std::string key;
  std::string value;
  Revision created = 0;       // when the key came into being; a key that was deleted begins anew
  Revision modified = 0;      // when it was written last
  std::uint64_t version = 0;  // writes since it came into being
  LeaseId lease = 0;          // with which it ends

  friend bool operator==(const Entry&, const Entry&) = default;
};

// A range: one key, or all that begin with it.
struct Range {
  std::string key;
  bool prefix = false;

  bool holds(const std::string& other) const { return prefix ? other.starts_with(key) : other == key; }
  friend bool operator==(const Range&, const Range&) = default;
};

// A condition on one key. A key that is not there has 0 in every number and an empty value.
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

// Where all conditions hold `then` is done, else `otherwise`: at once, and whole or not at all.
struct Transaction {
  std::vector<Compare> when;
  std::vector<Operation> then;
  std::vector<Operation> otherwise;

  friend bool operator==(const Transaction&, const Transaction&) = default;
};

struct OperationResult {
  std::vector<Entry> found;   // of a Get, in the order of keys
  std::uint64_t deleted = 0;  // of a Delete

  friend bool operator==(const OperationResult&, const OperationResult&) = default;
};
struct TransactionResult {
  bool succeeded = false;
  Revision revision = 0;  // of the store behind it
  std::vector<OperationResult> results;

  friend bool operator==(const TransactionResult&, const TransactionResult&) = default;
};

// One change, as a watch tells it; of a deletion the key alone is told.
struct KeyChange {
  bool deleted = false;
  Entry entry;  // `modified` is the revision of the change, also of a deletion

  friend bool operator==(const KeyChange&, const KeyChange&) = default;
};

// Whether it can stand in a key as one part: letters, digits, '.', '-', '_', up to 64.
inline bool is_name(std::string_view text) {
  const auto fits = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' ||
           c == '-' || c == '_';
  };
  return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), fits);
}

// Conditions that are asked for most.
inline Compare absent(std::string key) {
  return {std::move(key), Compare::What::kCreated, Compare::How::kEqual, 0, {}};
}
inline Compare created_at(std::string key, Revision revision) {
  return {std::move(key), Compare::What::kCreated, Compare::How::kEqual, revision, {}};
}
inline Compare unchanged(std::string key, Revision modified) {
  return {std::move(key), Compare::What::kModified, Compare::How::kEqual, modified, {}};
}

}  // namespace trailcourse::coordination
