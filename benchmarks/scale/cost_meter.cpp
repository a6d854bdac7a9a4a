#include "cost_meter.h"

#include <malloc.h>
#include <time.h>

namespace trailcourse::scale {
namespace {

double clock_us(clockid_t clock) {
  timespec now{};
  ::clock_gettime(clock, &now);
  return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

}  // namespace

double thread_cpu_us() { return clock_us(CLOCK_THREAD_CPUTIME_ID); }

double wall_us() { return clock_us(CLOCK_MONOTONIC); }

double allocated_bytes() {
  const struct mallinfo2 info = ::mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace trailcourse::scale
