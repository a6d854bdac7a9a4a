// The system's limit on the descriptors of this process.
#pragma once

#include <cstdint>

namespace trailcourse::program {

// Sets the soft limit of open descriptors to `max`, or to the hard limit if that is lower. Calls that exceed
// the limit fail, and their callers handle that.
void limit_descriptors(std::int64_t max);

}  // namespace trailcourse::program
