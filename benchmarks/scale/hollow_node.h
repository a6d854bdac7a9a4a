// Processes of a simulated fleet and the network between them: calls that take time on their way and wait
// their turn at a server, processes that are killed, stopped and woken, links that are cut.
//
// What is sent over a cut link is lost; its sender finds out at the call's timeout.
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
#include "scale/hollow_clock.h"

namespace trailcourse::scale {

// One way of a message: `least`, and beyond it drawn from an exponential distribution; a small share comes
// later still, as after a retransmission.
struct DelayRules {
  Micros least{0};
  Micros mean_beyond{0};
  double late_share = 0.0;
  Micros late_by{200'000};
};

struct NetworkRules {
  DelayRules within;                  // a region
  DelayRules between;                 // a region and the store; beside the region's distance
  Micros most_distance{0};            // each region's is drawn up to this, one way
  Micros call_timeout{1'000'000};     // CoordinationOptions::call_ms
  Micros watch_silence{15'000'000};   // CoordinationOptions::watch_silent_ms
  Micros watch_heartbeat{3'000'000};  // of a server, on each watch
  // Whether a client leaves a watch at a server that its calls have left for another one; else it waits for
  // the silence to be over.
  bool watch_follows_calls = true;
};
// All processes on one machine, as the rigs of real processes are.
NetworkRules loopback();
// Regions all over the world.
NetworkRules wide_area();

// Processor time of a server or of the driver, in microseconds.
struct CostRules {
  double call = 60.0;         // any call: read, carried out, answered
  double line = 12.0;         // one watch told of one change
  double per_session = 0.0;   // of each call at the store, for each lease and watch that it has
  double entry_read = 4.0;    // each entry of a range that is read, at the store
  double entry_parsed = 6.0;  // the same at the driver
};
inline Micros micros(double count) { return Micros(static_cast<Micros::rep>(count)); }

// What went through one process.
struct Traffic {
  std::uint64_t calls = 0;  // as a server; lines of watches are no calls
  std::uint64_t lines = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t bytes_out = 0;
  Micros busy{0};
  Micros longest_wait{0};  // of a call, before it was served

  friend Traffic operator-(Traffic one, const Traffic& other);
};

class Node;

struct Simulation {
  Simulation(std::uint64_t seed, const NetworkRules& network_rules, const CostRules& cost_rules)
      : random(seed), network(network_rules), costs(cost_rules) {}

  Micros drawn(Micros most);
  bool chance(double share);
  Micros delay(const Node& from, const Node& to);
  bool passes(const Node& from, const Node& to) const;

  EventQueue events;
  std::mt19937_64 random;
  NetworkRules network;
  CostRules costs;
  std::vector<Micros> distances;  // by region
  std::set<int> cut_regions;      // from all that is not theirs
  std::uint64_t processes = 0;    // that were made
};

// What a server says to a call.
struct Reply {
  bool done = false;
  bool unavailable = false;  // not done, and another server may do it
  bool succeeded = false;    // of a transaction: its conditions held; of a renewal: there is such a lease
  coordination::LeaseId lease = 0;
  coordination::TransactionResult outcome;
  std::shared_ptr<const struct News> news;  // of a watch's beginning
  Micros spent{0};                          // processor time of the server
};

struct Call {
  std::size_t bytes_asked = 0;
  std::size_t bytes_answered = 0;
  std::function<Reply()> work;                 // at the server
  std::function<void(const Reply&)> answered;  // at the client; this or the next one, once
  std::function<void()> lost;                  // done or not: nobody knows
};

constexpr int kNoRegion = -1;

class Node {
 public:
  Node(Simulation& simulation, std::string name, int region);
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;
  virtual ~Node() = default;

  const std::string& name() const { return name_; }
  // In the order in which the simulation's processes were made.
  std::uint64_t serial() const { return serial_; }
  int region() const { return region_; }
  int incarnation() const { return incarnation_; }
  bool alive() const { return alive_; }
  bool runs() const { return alive_ && !paused_; }
  Micros clock() const { return clock_.read(simulation_.events.now()); }
  const Traffic& traffic() const { return traffic_; }
  std::size_t waiting() const { return queue_.size(); }

  // Links of this process alone that are cut.
  bool cut_above = false;  // to what is not of its region
  bool cut_below = false;  // to what is

  void begin();  // a new process of this name
  void kill();
  void pause();
  void wake();

  // A message is here; what comes while it is stopped is taken once it is woken.
  void deliver(int incarnation, Job job);
  void call(Node& server, Call call);

 protected:
  // What a new process does first.
  virtual void started() = 0;
  // It is woken; before anything that was held is taken.
  virtual void woken() {}
  // After each message.
  virtual void turn() = 0;
  // Asks for turn() at a reading of its own clock.
  void turn_at(Micros reading);
  void set_clock(const DriftingClock& clock) { clock_ = clock; }
  Simulation& simulation() { return simulation_; }
  const Simulation& simulation() const { return simulation_; }
  Traffic& counted() { return traffic_; }

 private:
  struct Pending;

  void arrive(const std::shared_ptr<Pending>& pending);
  void serve_next();
  void finish(const std::shared_ptr<Pending>& pending, const Reply& reply);
  static void give_up(const std::shared_ptr<Pending>& pending, Micros when);

  Simulation& simulation_;
  std::string name_;
  std::uint64_t serial_;
  int region_;
  int incarnation_ = 0;
  bool alive_ = false;
  bool paused_ = false;
  DriftingClock clock_;
  std::vector<Job> held_;
  std::deque<std::shared_ptr<Pending>> queue_;
  bool serving_ = false;
  Micros timer_at_{-1};  // true time of the earliest turn that was asked for; -1: none
  Traffic traffic_;
};

}  // namespace trailcourse::scale
