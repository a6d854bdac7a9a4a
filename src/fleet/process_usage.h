// What a process uses now, read from /proc.
//
// Library `fleet`.
#pragma once

#include <sys/types.h>

#include <cstddef>

namespace trailcourse::fleet {

// All zero where the process does not exist.
struct ProcessUsage {
  std::size_t resident_bytes = 0;
  std::size_t peak_resident_bytes = 0;  // since the start of the process
  std::size_t anonymous_bytes = 0;      // resident pages that belong to no file
  std::size_t descriptors = 0;          // open
};

ProcessUsage read_process_usage(pid_t process);

}  // namespace trailcourse::fleet
