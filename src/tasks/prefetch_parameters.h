// The parameters of prefetching, which is owned work of kind `fill`, and the lists of objects per shard.
//
// Library `tasks`: knows JSON; no I/O, no clock.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace trailcourse::tasks {

// The parameters of one prefetch, given by the operator.
struct PrefetchParameters {
  std::string request_class;
  std::int64_t at_ms = 0;      // Unix time of the first request; 0: now
  double objects_per_s = 0.0;  // of each shard; 0: no limit
  // "ITEM" or "ITEM/PART", distributed round-robin over the shards. If it is empty, each shard has its own
  // list in the store, so that a long list is not sent to every router.
  std::vector<std::string> objects;

  friend bool operator==(const PrefetchParameters&, const PrefetchParameters&) = default;
};

// Thrown for parameters that cannot be executed. what() is "FIELD: REASON".
class InvalidPrefetchParameters : public std::invalid_argument {
 public:
  InvalidPrefetchParameters(const std::string& field, const std::string& reason)
      : std::invalid_argument(field + ": " + reason), field_(field) {}

  const std::string& field() const { return field_; }

 private:
  std::string field_;
};

// Reads the JSON parameters of the work. Throws InvalidPrefetchParameters.
PrefetchParameters read_prefetch_parameters(const std::string& params);

// Writes the parameters as JSON.
std::string write_prefetch_parameters(const PrefetchParameters& parameters);

// Returns the key of the list of one shard's objects, without the store's prefix.
std::string prefetch_list_key(const std::string& work, std::uint64_t shard);

// Reads a list with one object per line. Skips malformed lines.
std::vector<std::string> read_prefetch_list(const std::string& text);

}  // namespace trailcourse::tasks
