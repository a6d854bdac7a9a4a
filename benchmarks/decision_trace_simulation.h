// The simulated deployment of the decision trace: clients, nodes and disturbances. The seed determines all of
// its random numbers.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <queue>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "decision_trace_hash.h"
#include "decision_trace_profiles.h"
#include "decision_trace_random.h"

namespace trailcourse::decision_trace {

// Returns an AttemptEnded event with the status; its other fields have their defaults.
AttemptEnded ended_with(RequestId id, int attempt, Status status);

// The fault of a simulated node.
enum class NodeFault {
  kNone,
  kDead,         // connections fail within 1 ms
  kUnreachable,  // connections fail after 400 ms
  kSilent,       // accepts requests, but never responds
  kResets,       // resets most connections
  kErrors,       // most responses are errors
  kFull,         // rejects most requests for lack of capacity
  kSlow,         // sends its responses slowly
  kCount,        // the number of enumerators before it
};

// Runs the decision module in a deployment of one profile and adds all of its actions to the hash. The
// profile and the hash have to outlive this object.
class SimulatedDeployment {
 public:
  SimulatedDeployment(const Profile& profile, std::uint64_t seed, TraceHash& hash);

  // Runs the simulation until it has handled at least `events` events. Returns the number of handled events.
  std::uint64_t run(std::uint64_t events);

 private:
  struct Arrival {};      // a request arrives
  struct Disturbance {};  // a disturbance of the deployment begins
  // An attempt is about to send its first byte. It ends with `outcome` if the decision module allows it to
  // begin.
  struct FirstByte {
    RequestId id;
    int attempt;
    AttemptEnded outcome;
    Micros answer_time;  // from the first byte to the end of the attempt
    bool streamed;
  };
  using SimulatedEvent =
      std::variant<Arrival, Disturbance, FirstByte, AttemptEnded, StreamStarted, ClientLeft, TimerFired>;
  struct ScheduledEvent {
    Micros when;
    std::uint64_t order;  // breaks ties in the order of scheduling
    SimulatedEvent event;
    // Orders later events first, so that the top of the priority queue is the earliest one.
    friend bool operator<(const ScheduledEvent& a, const ScheduledEvent& b) {
      return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
  };
  struct AttemptState {
    bool ended = false;
    bool stream_started = false;
  };
  struct RequestState {
    bool finished = false;
    bool streaming = false;
    double size_kb = 0.0;
    Micros deadline{0};
    std::vector<AttemptState> attempts;
  };

  void schedule(Micros when, const SimulatedEvent& event) {
    schedule_.push(ScheduledEvent{when, ++order_, event});
  }

  // Passes the event to the decision module, adds the resulting actions to the hash and executes them.
  void handle(const Event& event);

  // perform() simulates an event; execute() carries out an action of the decision module.

  // ---- Requests ----
  void perform(const Arrival&);
  double draw_size();  // in KB
  void perform(const ClientLeft& left);
  void perform(const TimerFired& timer) { handle(timer); }

  // ---- Attempts ----
  void perform(const StreamStarted& started);
  void execute(const SendAttempt& send);
  void perform(const FirstByte& first);
  void perform(AttemptEnded ended);
  void execute(const Cancel& cancel);
  void execute(const Reject& reject) { finish(reject.id); }
  void execute(const Fail& fail) { finish(fail.id); }
  void execute(const SetTimer& timer) { schedule(now_ + timer.delay, TimerFired{timer.token}); }
  void execute(const Subscribe&) { subscribed_ = true; }

  // Returns the attempt if it has been sent and has not ended, otherwise null.
  AttemptState* find_open_attempt(RequestId id, int attempt);
  // Marks the request as finished, and removes it if all of its attempts have ended.
  void finish(RequestId id);
  // Removes a finished request if all of its attempts have ended.
  void remove_if_finished(RequestId id);
  AttemptEnded draw_outcome(const SendAttempt& send, const RequestState& request);
  // Returns a random status of the attempt. Sets the latency in `ended` if a fault of the cache determines
  // the latency.
  Status draw_status(const SendAttempt& send, AttemptEnded& ended);
  Note draw_note(const SendAttempt& send, Status status);
  LoadReport draw_report();

  // ---- Disturbances of the deployment ----
  // Causes a random disturbance and schedules the next one.
  void perform(const Disturbance&);
  void send_purge();
  // Purges an object that no request names, with a probability of 1 %, and repeats this after each purge.
  void maybe_purge_unknown_objects();
  void send_health_check();
  void change_fault();
  void change_load();
  void change_endpoints();
  void restart_endpoint();
  void send_full_list();
  void send_lost_or_restored_list();
  void send_stray_events();  // events of unknown requests and timers
  void change_classes();
  void maybe_skip_time();  // rarely advances the clock by 70 s
  Endpoint make_endpoint(Role role);

  const Profile& profile_;
  Random random_;
  TraceHash& hash_;
  Decider decider_;
  Micros now_{std::chrono::seconds(1'000)};
  std::uint64_t handled_ = 0;
  std::uint64_t order_ = 0;
  RequestId last_id_ = 0;
  int last_endpoint_ = 0;
  std::size_t class_count_ = profile_.settings.classes.size();
  std::vector<Endpoint> endpoints_;
  std::unordered_map<std::string, NodeFault> faults_;
  std::unordered_map<RequestId, RequestState> requests_;
  std::priority_queue<ScheduledEvent> schedule_;
  double load_factor_ = 1.0;    // multiplies sending times and reported loads
  double failure_rate_ = 0.01;  // share of attempts at healthy nodes that fail
  int arrival_factor_ = 1;      // multiplies the rate of requests
  bool subscribed_ = false;
};

}  // namespace trailcourse::decision_trace
