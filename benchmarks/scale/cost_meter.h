// What a piece of code costs the process that runs it: processor time of one thread, and memory that it
// holds.
//
// Benchmarks only.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace trailcourse::scale {

// Measured figures of one cost: y against x.
struct CostSeries {
  std::string name;     // "ROLE.RESOURCE.WHAT"
  std::string what;     // in plain words
  std::string unit;     // of y
  std::string per;      // what x counts
  std::string setting;  // "in process" or "real processes"
  std::vector<std::pair<double, double>> points;
};

// Takes in series as they are measured.
using CostSink = std::function<void(CostSeries)>;

// Processor time of this thread, in microseconds.
double thread_cpu_us();
// Wall time, in microseconds.
double wall_us();
// Bytes that the process has allocated and not freed, the allocator's own part included.
double allocated_bytes();

// Processor time of one call of `work`, in microseconds: the least of `rounds` means over `calls` each, since
// whatever else the machine does only adds to it.
template <typename Work>
double cpu_us_per_call(int calls, Work work, int rounds = 7) {
  double least = 0.0;
  for (int round = 0; round < rounds; ++round) {
    const double before = thread_cpu_us();
    for (int i = 0; i < calls; ++i) {
      work();
    }
    const double mean = (thread_cpu_us() - before) / calls;
    least = round == 0 ? mean : std::min(least, mean);
  }
  return least;
}

// Bytes held by what `make` returns, beside what was held before.
template <typename Make>
double bytes_held_by(Make make) {
  const double before = allocated_bytes();
  const auto made = make();
  return allocated_bytes() - before;
}

// Keeps the compiler from leaving out work whose result nobody reads.
template <typename Value>
void keep_result(const Value& value) {
  asm volatile("" : : "r"(&value) : "memory");
}

}  // namespace trailcourse::scale
