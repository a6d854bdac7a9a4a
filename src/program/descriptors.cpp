#include "program/descriptors.h"

#include <sys/resource.h>

#include <algorithm>

namespace trailcourse::program {

void limit_descriptors(std::int64_t max) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = std::min(limit.rlim_max, static_cast<rlim_t>(max));
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
}

}  // namespace trailcourse::program
