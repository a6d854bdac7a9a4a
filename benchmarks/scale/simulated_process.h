// Processes of a simulated fleet and the network between them. Calls have network delays and wait in the
// queue of the server; processes can be killed, paused and resumed, and links can be cut.
//
// A message over a cut link is lost; the client learns of it when the call times out.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/types.h"
#include "scale/simulation_clock.h"

namespace trailcourse::scale {

// The one-way delay of a message: `min` plus an exponentially distributed part. A small share of the messages
// is delayed further, as by a TCP retransmission.
struct DelayOptions {
  Micros min{0};
  Micros mean_extra{0};
  double retransmission_share = 0.0;
  Micros retransmission_delay{200'000};
};

struct NetworkOptions {
  DelayOptions within_region;
  DelayOptions between_regions;                // plus the region's distance; also to and from the store
  Micros max_region_distance{0};               // each region has a random one-way distance from 0 to this
  Micros call_timeout{1'000'000};              // CoordinationOptions::call_ms
  Micros watch_timeout{15'000'000};            // CoordinationOptions::watch_silent_ms
  Micros watch_heartbeat_interval{3'000'000};  // between the heartbeats of a server on each watch
  // Whether a client closes its watch at a server as soon as its calls go to another server. Otherwise the
  // watch ends after `watch_timeout`.
  bool watch_follows_calls = true;
};
// All processes on one machine, as in the benchmarks that start real processes.
NetworkOptions loopback_network();
// Regions all over the world.
NetworkOptions wide_area_network();

// Processor time of a server or a coordinator, in microseconds.
struct CostOptions {
  double call = 60.0;         // to read, execute and answer any call
  double watch_event = 12.0;  // to send one change to one watch
  double per_session = 0.0;   // added to each call at the store for each lease and each watch
  double entry_read = 4.0;    // for each entry that a call reads at the store
  double entry_parsed = 6.0;  // for each entry that a coordinator parses
};
inline Micros to_micros(double count) { return Micros(static_cast<Micros::rep>(count)); }

// Totals of one process since its construction.
struct Traffic {
  std::uint64_t calls = 0;         // served; events of watches are not calls
  std::uint64_t watch_events = 0;  // sent
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  Micros cpu_time{0};
  Micros max_queue_time{0};  // longest time that a call waited before it was served

  // Subtracts the totals. `max_queue_time` is that of `after`.
  friend Traffic operator-(Traffic after, const Traffic& before);
};

class SimulatedProcess;

// The state that all processes of a simulation share.
struct Simulation {
  Simulation(std::uint64_t seed, const NetworkOptions& network_options, const CostOptions& cost_options)
      : random(seed), network(network_options), costs(cost_options) {}

  // Returns a uniformly distributed time between 0 and `max`.
  Micros random_duration(Micros max);
  // Returns true with this probability.
  bool random_chance(double probability);
  // Returns a random one-way delay of a message.
  Micros random_delay(const SimulatedProcess& from, const SimulatedProcess& to);
  bool is_reachable(const SimulatedProcess& from, const SimulatedProcess& to) const;

  EventQueue events;
  std::mt19937_64 random;
  NetworkOptions network;
  CostOptions costs;
  std::vector<Micros> region_distances;  // by region
  std::set<int> cut_regions;             // cut off from all other regions and from the store
  std::uint64_t process_count = 0;       // of processes constructed so far
};

// The answer of a server to a call.
struct Reply {
  bool ok = false;           // the call was executed
  bool unavailable = false;  // the call was not executed; another server may execute it
  bool succeeded = false;    // transaction: its conditions held; renewal: the lease exists
  coordination::LeaseId lease = 0;
  coordination::TransactionResult transaction_result;
  std::shared_ptr<const struct WatchUpdate> snapshot;  // first update of a new watch
  Micros cpu_time{0};                                  // used by the server
};

struct Call {
  std::size_t request_bytes = 0;
  std::size_t response_bytes = 0;
  std::function<Reply()> execute;  // at the server
  // The client calls one of these, once. If the client was killed, neither is called.
  std::function<void(const Reply&)> on_reply;
  std::function<void()> on_lost;  // no reply; the call may or may not have been executed
};

constexpr int kNoRegion = -1;

// A process of the simulated fleet. It can make calls, and it serves the calls of others one at a time.
class SimulatedProcess {
 public:
  SimulatedProcess(Simulation& simulation, std::string name, int region);
  SimulatedProcess(const SimulatedProcess&) = delete;
  SimulatedProcess& operator=(const SimulatedProcess&) = delete;
  virtual ~SimulatedProcess() = default;

  const std::string& name() const { return name_; }
  // Numbers the processes of the simulation in the order of their construction.
  std::uint64_t serial() const { return serial_; }
  int region() const { return region_; }
  // Increases with each start and each kill.
  int incarnation() const { return incarnation_; }
  bool alive() const { return alive_; }
  bool running() const { return alive_ && !paused_; }
  Micros clock() const { return clock_.read(simulation_.events.now()); }
  const Traffic& traffic() const { return traffic_; }
  std::size_t queued_calls() const { return queue_.size(); }

  // Whether the links of this process to other processes are cut. The links to the store are among
  // those to other regions.
  bool cut_from_other_regions = false;
  bool cut_within_region = false;

  // Starts a new incarnation of the process; kills the running one.
  void start();
  void kill();
  void pause();
  void resume();

  // Delivers a message to this incarnation. A paused process handles it when it is resumed.
  void deliver(int incarnation, Job job);
  // Sends a call to the server. The call times out after NetworkOptions::call_timeout.
  void call(SimulatedProcess& server, Call call);

 protected:
  // Called when a new incarnation starts.
  virtual void on_started() = 0;
  // Called when the process is resumed, before the messages that arrived meanwhile are handled.
  virtual void on_resumed() {}
  // Runs the state machine of the process. Called after each message, at a start and at the times set with
  // step_at().
  virtual void step() = 0;
  // Schedules a call of step() at a reading of the clock of this process.
  void step_at(Micros reading);
  void set_clock(const DriftingClock& clock) { clock_ = clock; }
  Simulation& simulation() { return simulation_; }
  const Simulation& simulation() const { return simulation_; }
  Traffic& mutable_traffic() { return traffic_; }

 private:
  struct PendingCall;

  void receive_call(const std::shared_ptr<PendingCall>& pending);
  void serve_next();
  void send_reply(const std::shared_ptr<PendingCall>& pending, const Reply& reply);
  // Calls on_lost of the call at this true time, unless its client has received a reply by then.
  static void lose_call_at(const std::shared_ptr<PendingCall>& pending, Micros when);

  Simulation& simulation_;
  std::string name_;
  std::uint64_t serial_;
  int region_;
  int incarnation_ = 0;
  bool alive_ = false;
  bool paused_ = false;
  DriftingClock clock_;
  std::vector<Job> held_messages_;  // arrived while the process was paused
  std::deque<std::shared_ptr<PendingCall>> queue_;
  bool serving_ = false;
  Micros timer_at_{-1};  // true time of the earliest scheduled step; -1: none
  Traffic traffic_;
};

}  // namespace trailcourse::scale
