// Randomised simulation of owned work: real lease managers, the real key-value state of the store, virtual
// time. Calls and answers are late, lost or both; routers are suspended and resumed, crash and restart;
// their clocks drift; watches break; effects wait in sockets for seconds; receivers restart.
#pragma once

#include <cstdint>
#include <string>

namespace trailcourse::ownership {

// A fault that is put into the code under test, to show that the simulation finds it.
enum class SeededDefect { kNone, kNoFence, kForgetfulFence, kNoDriftBound, kUncheckedProgress };

struct SimulationReport {
  std::string failure;  // the first invariant that was broken; empty: none
  std::uint64_t effects = 0;
  std::uint64_t rejected = 0;  // effects that the fence rejected
  std::uint64_t acquire_answers = 0;
  std::uint64_t steps = 0;
};

// Runs the simulation that the seed determines, until its end or the first failure.
SimulationReport run_ownership_simulation(std::uint64_t seed, SeededDefect defect);

}  // namespace trailcourse::ownership
