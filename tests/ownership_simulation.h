// Randomised simulation of owned work with the real lease managers and the real key-value state of the store,
// in virtual time. Calls and responses are late or lost; routers are suspended and resumed, crash and
// restart; their clocks drift; watches are disconnected; effects wait in sockets for seconds; receivers
// restart.
#pragma once

#include <cstdint>
#include <string>

namespace trailcourse::ownership {

// A defect that is added to the code under test, to show that the simulation finds it.
enum class SeededDefect { kNone, kNoFence, kFenceLosesTerms, kNoDriftBound, kUncheckedProgress };

// Result and counters of one run.
struct SimulationReport {
  std::string failure;         // the first violated invariant; empty: none
  std::uint64_t effects = 0;   // executed
  std::uint64_t rejected = 0;  // by the fence
  std::uint64_t acquire_responses = 0;
  std::uint64_t steps = 0;
};

// Runs the simulation that the seed determines, until its end or the first violation.
SimulationReport run_ownership_simulation(std::uint64_t seed, SeededDefect defect);

}  // namespace trailcourse::ownership
