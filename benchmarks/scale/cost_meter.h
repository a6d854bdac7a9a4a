// Measures the cost of a piece of code: CPU time of the calling thread, and allocated memory of the process.
//
// Used by benchmarks only.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace trailcourse::scale {

// Measured values of one cost at several sizes: points (x, y), where x is the size and y the cost.
struct CostSeries {
  std::string name;     // ROLE.RESOURCE.DETAIL, such as "store.memory.lease"
  std::string what;     // description in plain words
  std::string unit;     // unit of y
  std::string per;      // the quantity that x counts
  std::string setting;  // one of kSettings in slopes.h
  std::vector<std::pair<double, double>> points;
};

// Receives each series when its measurement is complete.
using CostSink = std::function<void(CostSeries)>;

// CPU time of the calling thread, in microseconds.
double thread_cpu_us();
// Reading of the monotonic clock, in microseconds.
double wall_us();
// Bytes that the process has allocated and not freed, including the allocator's overhead.
double allocated_bytes();

// CPU time of one call of `work`, in microseconds: the minimum of `rounds` means, each over `calls` calls.
// The minimum is used because other load on the machine can only increase the measured time.
template <typename Work>
double cpu_us_per_call(int calls, Work work, int rounds = 7) {
  double minimum = 0.0;
  for (int round = 0; round < rounds; ++round) {
    const double before = thread_cpu_us();
    for (int i = 0; i < calls; ++i) {
      work();
    }
    const double mean = (thread_cpu_us() - before) / calls;
    minimum = round == 0 ? mean : std::min(minimum, mean);
  }
  return minimum;
}

// Bytes that the object returned by `make` keeps allocated.
template <typename Make>
double bytes_held_by(Make make) {
  const double before = allocated_bytes();
  const auto object = make();
  return allocated_bytes() - before;
}

// Prevents the compiler from removing a computation whose result is otherwise unused.
template <typename Value>
void keep_result(const Value& value) {
  asm volatile("" : : "r"(&value) : "memory");
}

}  // namespace trailcourse::scale
