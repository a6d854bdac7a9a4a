// Transactions that tests of the coordination store commit.
#pragma once

#include <string>

#include "coordination/types.h"

namespace trailcourse::coordination {

// Writes the key if it does not exist, and otherwise reads it.
inline Transaction put_if_absent(const std::string& key, const std::string& value, LeaseId lease = 0) {
  return Transaction{{absent(key)}, {Put{key, value, lease}}, {Get{Range{key, false}}}};
}
inline Transaction put(const std::string& key, const std::string& value, LeaseId lease = 0) {
  return Transaction{{}, {Put{key, value, lease}}, {}};
}

}  // namespace trailcourse::coordination
