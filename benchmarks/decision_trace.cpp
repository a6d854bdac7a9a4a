// Runs the decision module on seeded random event sequences under several settings profiles, and prints a
// hash of all actions with all their fields after each profile. Two builds of the module that print the same
// hashes made the same decisions. The program also prints its CPU time, to compare the cost of two builds on
// the same machine.
//
// Usage: decision_trace [EVENTS_PER_PROFILE]
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <iostream>

#include "decision_trace_hash.h"
#include "decision_trace_profiles.h"
#include "decision_trace_simulation.h"

namespace trailcourse::decision_trace {
namespace {

int print_trace(std::uint64_t events_per_profile) {
  TraceHash hash;
  std::uint64_t events = 0;
  std::uint64_t seed = 1;
  for (const Profile& profile : profiles()) {
    const double profile_events = profile.event_share * static_cast<double>(events_per_profile);
    events += SimulatedDeployment(profile, seed++, hash).run(static_cast<std::uint64_t>(profile_events));
    std::cout << std::hex << std::setw(16) << std::setfill('0') << hash.digest() << std::dec << "  after "
              << profile.name << '\n';
  }
  const double cpu_s = static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
  std::cout << "hash " << std::hex << std::setw(16) << hash.digest() << std::dec << " events " << events
            << " cpu_s " << cpu_s << '\n';
  return 0;
}

}  // namespace
}  // namespace trailcourse::decision_trace

int main(int argc, char** argv) {
  const std::uint64_t events_per_profile = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 200'000;
  return trailcourse::decision_trace::print_trace(events_per_profile);
}
