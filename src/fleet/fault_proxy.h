// A TCP proxy on one link between two processes that injects faults: it forwards, blocks, delays, throttles
// or truncates the bytes that pass, and resets connections. It counts the traffic for tests.
//
// Library `fleet`, over `transport`. Single-threaded.
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
  struct Traffic {
    std::vector<transport::Clock::time_point> connections;  // accept times
    std::vector<transport::Clock::time_point> requests;     // times of the reads from the client
    std::uint64_t bytes_out = 0;                            // to the server
    std::uint64_t bytes_in = 0;                             // to the client
  };

  // Starts to listen on `listen`; throws std::system_error. `name` is the name of the link, "FROM>TO". The
  // scheduler has to outlive this object.
  FaultProxy(transport::Scheduler& scheduler, std::string name, const transport::Address& listen,
             const transport::Address& target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  const std::string& name() const { return name_; }
  // Starts a link fault, or ends all of them where it is FaultKind::kHeal. Ignores faults of processes.
  void apply(const Fault& fault);
  const Traffic& traffic() const { return traffic_; }
  // Returns the number of open client connections.
  std::size_t open() const { return pairs_.size(); }

 private:
  class Pair;
  class End;

  transport::Task<void> pump_loop();
  void pump_all();
  void accept(transport::Descriptor socket);

  // The faults of the link that are active.
  struct State {
    bool cut_in = false;   // towards the client
    bool cut_out = false;  // towards the server
    bool refuse = false;
    std::chrono::milliseconds delay{0};
    std::int64_t bytes_per_s = 0;  // 0: not throttled
    std::int64_t truncate = -1;    // bytes of each answer; -1: not truncated
  };

  transport::Scheduler& scheduler_;
  std::string name_;
  transport::Address target_;
  State state_;
  Traffic traffic_;
  std::set<std::shared_ptr<Pair>> pairs_;
  transport::AcceptLoop listener_;  // is destroyed first
};

}  // namespace trailcourse::fleet
