// A proxy on one link between two processes, that does to its bytes what it is told: pass them on, hold them
// back, delay them, let them trickle, break them off.
//
// Package `fleet`, over `transport`. One thread. What passed is counted, for checkers.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet/fault_script.h"
#include "transport/accept_loop.h"
#include "transport/connection.h"

namespace trailcourse::fleet {

class FaultProxy {
 public:
  struct Seen {
    std::vector<transport::Clock::time_point> connections;  // when each was taken in
    std::vector<transport::Clock::time_point> requests;     // when bytes came from who asks, by reads
    std::uint64_t bytes_out = 0;                            // towards who is asked
    std::uint64_t bytes_in = 0;
  };

  // Listens at once; throws std::system_error. `name` is the link's, "FROM>TO".
  FaultProxy(transport::Scheduler& scheduler, std::string name, const transport::Address& listen,
             const transport::Address& target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const std::string& name() const { return name_; }
  // A fault of a link.
  void apply(const Fault& fault);
  const Seen& seen() const { return seen_; }
  std::size_t open() const { return pairs_.size(); }

 private:
  class Pair;
  class End;

  transport::Task<void> pump_loop();
  void pump_all();
  void take_in(transport::Descriptor socket);

  struct State {
    bool cut_in = false;
    bool cut_out = false;
    bool refuse = false;
    std::chrono::milliseconds delay{0};
    std::int64_t bytes_per_s = 0;
    std::int64_t truncate = -1;
  };

  transport::Scheduler& scheduler_;
  std::string name_;
  transport::Address target_;
  State state_;
  Seen seen_;
  std::set<std::shared_ptr<Pair>> pairs_;
  transport::AcceptLoop listener_;  // goes first
};

}  // namespace trailcourse::fleet
