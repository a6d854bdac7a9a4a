// The order to prefetch objects that operators announce: the parameters of work of kind `fill`, and the lists
// of objects per shard.
//
// Package `tasks`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace trailcourse::tasks {

struct PrefetchOrder {
  std::string request_class;
  std::int64_t at_ms = 0;      // Unix time before which nothing is requested; 0: now
  double objects_per_s = 0.0;  // of each shard; 0: no limit
  // "ITEM" or "ITEM/PART", distributed round-robin over the shards. If there are none, each shard has a list
  // of its own in the store, so that not every router is sent a long one.
  std::vector<std::string> objects;

  friend bool operator==(const PrefetchOrder&, const PrefetchOrder&) = default;
};

// Thrown for an order that cannot be carried out; what() is "FIELD: REASON".
class InvalidPrefetchOrder : public std::invalid_argument {
 public:
  InvalidPrefetchOrder(const std::string& field, const std::string& reason)
      : std::invalid_argument(field + ": " + reason), field_(field) {}

  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

// Reads the parameters of the work. Throws InvalidPrefetchOrder.
PrefetchOrder read_prefetch_order(const std::string& params);

std::string write_prefetch_order(const PrefetchOrder& order);

// Returns the key of the list of one shard's objects, without the store's prefix.
std::string prefetch_list_key(const std::string& work, std::uint64_t shard);

// Reads a list of objects, one a line. Malformed lines are skipped.
std::vector<std::string> read_prefetch_list(const std::string& text);

}  // namespace trailcourse::tasks
