// Fixtures for tests of the decision module without the rest of the router.
#pragma once

#include <gtest/gtest.h>
#include <trailcourse/decider.h>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace trailcourse::decision_testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The request classes of default_settings().
inline constexpr int kVideo = 0;  // cached until purged
inline constexpr int kImage = 1;  // lifetime 20 s, grace 20 s
inline constexpr int kWrite = 2;  // uncacheable, never retried
inline constexpr int kKeyed = 3;  // uncacheable, with an idempotency key

inline Settings default_settings() {
  Settings settings;
  settings.zone = "here";
  settings.routers = 4;
  settings.routers_in_zone = 2;
  settings.weights_are_sizes = true;
  settings.notes = NoteLevel::kAll;
  settings.stream_kb_per_s = 1000.0;
  settings.max_attempts = 6;
  settings.may_cancel = true;
  settings.parallel_attempts = true;
  settings.max_retry_after = seconds(1);
  settings.can_join_fills = true;
  settings.drain_grace = milliseconds(500);
  settings.purge_grace = milliseconds(300);
  settings.purge_done = seconds(6);
  settings.slow_start_from = 0.2;
  settings.slow_start_span = seconds(14);
  settings.overload_factor = 2.5;
  settings.overload_span = seconds(3);
  settings.parent_slow_start_from = 0.1;
  settings.parent_slow_start_span = seconds(20);
  settings.parent_overload_factor = 2.0;
  ClassSettings video;
  video.latency_objective = milliseconds(600);
  video.latency_objective_stretch = 1.6;
  video.give_up_after = seconds(6);
  ClassSettings image = video;
  image.lifetime = seconds(20);
  image.grace = seconds(20);
  ClassSettings write = video;
  write.idempotency = Idempotency::kUnsafe;
  write.uncached = true;
  ClassSettings keyed = write;
  keyed.idempotency = Idempotency::kKeyed;
  keyed.idempotency_window = seconds(3);
  settings.classes = {video, image, write, keyed};
  return settings;
}

inline Endpoint endpoint(const std::string& address, Role role = Role::kCache, double weight = 8.0) {
  Endpoint out;
  out.address = address;
  out.role = role;
  out.zone = role == Role::kCache ? "here" : "hub";
  out.weight = weight;
  return out;
}

// Returns four caches, two parents and an origin, all ready and started long ago.
inline std::vector<Endpoint> default_endpoints() {
  return {endpoint("c1"),
          endpoint("c2"),
          endpoint("c3"),
          endpoint("c4"),
          endpoint("p1", Role::kParent),
          endpoint("p2", Role::kParent),
          endpoint("o", Role::kOrigin)};
}

// A decider with its own clock, which records the attempts that it sends.
class TestRouter {
 public:
  explicit TestRouter(Settings settings = default_settings(), std::uint64_t seed = 1)
      : decider_(settings, seed) {}

  // Handles the event now and returns the actions.
  std::vector<Action> handle(const Event& event) {
    std::vector<Action> out;
    decider_.handle(now, event, out);
    for (const Action& action : out) {
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        sends[send->id].push_back(*send);
      }
    }
    return out;
  }
  void receive_list(std::vector<Endpoint> entries, ListKind kind = ListKind::kFull) {
    handle(EndpointListReceived{kind, std::move(entries)});
  }
  std::vector<Action> request(RequestId id, int type = kVideo, ObjectId object = 7, double size_kb = 100.0) {
    RequestArrived arrival;
    arrival.id = id;
    arrival.request_class = type;
    arrival.object = object;
    arrival.purge_group = object % 4;
    arrival.size_kb = size_kb;
    arrival.deadline = now + seconds(5);
    arrival.write = type >= kWrite;
    return handle(arrival);
  }
  std::vector<Action> end_attempt(RequestId id, int attempt, Status status, Note note = Note::kNone,
                                  const LoadReport& load = {}) {
    AttemptEnded ended;
    ended.id = id;
    ended.attempt = attempt;
    ended.status = status;
    ended.finished = status == Status::kOk;
    ended.note = note;
    ended.load = load;
    return handle(ended);
  }
  // Makes a request whose first attempt is answered immediately, and returns that attempt.
  SendAttempt serve(RequestId id, int type = kVideo, ObjectId object = 7, double size_kb = 100.0,
                    Note note = Note::kHit) {
    request(id, type, object, size_kb);
    if (sends[id].empty()) {
      ADD_FAILURE() << "no attempt was sent for request " << id;
      return {};
    }
    end_attempt(id, 0, Status::kOk, note);
    return sends[id].front();
  }

  // Returns whether an attempt may send its first byte now.
  bool may_begin(RequestId id, int attempt = 0) { return decider_.may_begin(now, id, attempt); }

  Micros now{seconds(100)};
  std::map<RequestId, std::vector<SendAttempt>> sends;  // attempts of each request in their order

 private:
  Decider decider_;
};

// Returns the number of actions of the kind.
template <typename Kind>
int count(const std::vector<Action>& actions) {
  return static_cast<int>(std::count_if(actions.begin(), actions.end(), [](const Action& action) {
    return std::holds_alternative<Kind>(action);
  }));
}

// Returns the number of final answers that the decider gave itself.
inline int final_answers(const std::vector<Action>& actions) {
  return count<Reject>(actions) + count<Fail>(actions);
}

// Returns the actions of the kind in their order.
template <typename Kind>
std::vector<Kind> actions_of(const std::vector<Action>& actions) {
  std::vector<Kind> found;
  for (const Action& action : actions) {
    if (const auto* match = std::get_if<Kind>(&action)) {
      found.push_back(*match);
    }
  }
  return found;
}

}  // namespace trailcourse::decision_testing
