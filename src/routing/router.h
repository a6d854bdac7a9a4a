// Connects a protocol to the decision module: turns what happens to requests and attempts into events of the
// module, and performs its actions in order. The router itself decides nothing.
#pragma once

#include <trailcourse/decider.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "memory/memory_account.h"
#include "routing/decider_clock.h"
#include "transport/scheduler.h"

namespace trailcourse::routing {

// A request of a client.
struct ClientRequest {
  RequestArrived arrival;  // id and deadline are set by Router::accept()
  Micros patience{0};      // how long the client still waits
  // What is forwarded to caches unchanged. The server that accepts requests and the upstream agree on the
  // type.
  std::shared_ptr<const void> forwarded;
  std::size_t forwarded_bytes = 0;  // of the body and of fields without a small limit in `forwarded`
};

// The cache that served a request, the attempt, and what the cache reported about the copy.
struct ServedBy {
  std::string cache;
  int attempt = 0;
  Note note = Note::kNone;
};

// Receives the final answer of a request: one call of served(), rejected() or failed(), or else begin(), any
// number of piece(), and finish().
class Reply {
 public:
  Reply() = default;
  Reply(const Reply&) = delete;
  Reply& operator=(const Reply&) = delete;
  virtual ~Reply() = default;

  // `not_modified`: the copy that the client has is valid, and there is no body.
  virtual void served(std::string body, bool not_modified, const ServedBy& by) = 0;
  // `retry_after` is zero if the answer carries no Retry-After.
  virtual void rejected(Micros retry_after) = 0;
  virtual void failed() = 0;
  // A streamed answer: its begin, its parts in order, and its end.
  virtual void begin(bool not_modified) = 0;
  virtual void piece(std::string_view bytes) = 0;
  virtual void finish(bool complete) = 0;
  // Returns whether the client still waits. False at the latest when the router is told that it has left.
  virtual bool client_waits() const { return true; }
  // Called just before the first byte of an attempt is sent: from then on the request may be executed.
  virtual void attempt_begins() {}
  // Called before any other method if there is a policy lookup, with the version of the policy and the time
  // of the lookup by the steady clock.
  virtual void policy_applied(const std::string&, Micros) {}
};

// What the effective policy decides about a request that arrives now (policy/participant.h).
struct PolicyDecision {
  bool reject = false;            // no policy is in force, or it does not serve the request class
  int request_class = 0;          // index in the decision module, for the version in force
  std::size_t open_requests = 0;  // maximum; 0: the bound of the router
  Micros max_retry_after{-1};     // maximum of the Retry-After for the client; negative: none
  std::string policy_version;     // "A+B" for what both versions allow, "-" for none
};

// Identifies an attempt.
struct AttemptKey {
  RequestId request = 0;
  int attempt = 0;  // number within the request, from 0

  friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;
};

// How an attempt ended.
struct AttemptResult {
  Status status = Status::kError;
  bool not_modified = false;  // the copy that the client has is valid
  std::string body;
  Note note = Note::kNone;
  Micros source_first_byte_time{0};  // time that the cache waited for its source
  LoadReport load;
};

// Sends attempts to caches. It reports the result of each to Router::attempt_ended(), at most once and never
// within send().
class Upstream {
 public:
  Upstream() = default;
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;
  virtual ~Upstream() = default;
  virtual void send(const AttemptKey& key, const SendAttempt& action,
                    const std::shared_ptr<const void>& forwarded, bool streaming) = 0;
  // Cancels an attempt, whose result is not reported any more.
  virtual void cancel(const AttemptKey& key) = 0;
};

// Counts since the start of the process. A request counts as abandoned after client_left() or
// fail_open_requests().
struct RouterCounts {
  std::uint64_t requests = 0, served = 0, rejected = 0, failed = 0, abandoned = 0, attempts = 0,
                attempts_failed = 0;
};

class Router {
 public:
  // The decision module: handles an event at a time of its clock and appends actions.
  using Handler = std::function<void(Micros, const Event&, std::vector<Action>&)>;

  // Bounds of all open requests.
  struct Bounds {
    std::size_t open = 4096;           // requests
    std::size_t request_bytes = 4096;  // memory of a request in addition to what is forwarded
    // Charged for each request, from its acceptance on, with its commands to caches.
    std::shared_ptr<memory::MemoryAccount> memory = std::make_shared<memory::MemoryAccount>();
  };

  // `scheduler` has to outlive this object.
  Router(transport::Scheduler& scheduler, const DeciderClock& clock, const Settings& settings,
         Handler handler, const Bounds& bounds)
      : scheduler_(scheduler),
        clock_(clock),
        classes_(settings.classes),
        attempts_cap_(static_cast<std::size_t>(settings.max_attempts)),
        forwarded_copies_(settings.parallel_attempts ? 3 : 2),
        handler_(std::move(handler)),
        bounds_(bounds) {}

  // To be called before the first request. `upstream` has to outlive the last request.
  void set_upstream(Upstream& upstream) { upstream_ = &upstream; }

  // Called once for each request as it arrives. The decision stays in force for the request until its end.
  using PolicyLookup = std::function<PolicyDecision(int request_class)>;
  void set_policy_lookup(PolicyLookup lookup) { policy_lookup_ = std::move(lookup); }

  // Adds or replaces request classes of the module (ClassesUpdated in decider.h).
  void set_classes(const ClassesUpdated& set);

  // Accepts a request and returns its id, or rejects it at once and returns 0 where the policy rejects it or
  // a bound on open requests is reached.
  RequestId accept(ClientRequest request, std::shared_ptr<Reply> reply);

  // The client does not wait for the answer any more. Has no effect on a request that was answered.
  void client_left(RequestId id);

  // Answers all open requests as failed, which tells clients that the requests may have been executed. To be
  // called when the process stops.
  void fail_open_requests();

  // Returns whether an attempt may still begin.
  using SendCheck = std::function<bool(Micros now, RequestId request, int attempt)>;
  void set_send_check(SendCheck check) { send_check_ = std::move(check); }

  // Returns whether an attempt may be sent. The upstream calls it just before it writes the first byte; if
  // the result is false, it sends nothing and reports the attempt as kNotSent.
  bool may_begin(const AttemptKey& key);

  // Reports the end of an attempt. Has no effect if the attempt has timed out or was cancelled before.
  void attempt_ended(const AttemptKey& key, AttemptResult result);

  // For request classes that stream: the answer to an attempt has begun. Its parts follow as stream_piece(),
  // its end as attempt_ended().
  void stream_started(const AttemptKey& key, bool not_modified);
  void stream_piece(const AttemptKey& key, std::string_view bytes);

  void list_received(EndpointListReceived list) { dispatch(std::move(list)); }

  // `at` is the time of the purge by the clock of the module.
  void purged(Purged purge, Micros at);
  void health_check_received(const HealthCheckResult& result) { dispatch(result); }

  // Called with the result of each attempt.
  using AttemptObserver = std::function<void(const std::string& cache, Status status, Note note)>;
  void set_attempt_observer(AttemptObserver observer) { attempt_observer_ = std::move(observer); }
  const RouterCounts& counts() const { return counts_; }

  std::size_t open_requests() const { return open_; }

  // Returns the time of the module for the current iteration of the scheduler.
  Micros now() const { return clock_.at(scheduler_.iteration_time()); }

 private:
  struct Attempt {
    std::string cache;
    Micros sent{0};
    transport::Scheduler::TimerKey timer;
    bool ended = false;
  };
  struct OpenRequest {
    std::shared_ptr<const void> forwarded;
    std::shared_ptr<Reply> reply;  // null once the final answer is given or the client has left
    std::vector<Attempt> attempts;
    std::vector<transport::Scheduler::TimerKey> timers;  // of the module, until take_reply()
    std::size_t open_attempts = 0;
    int streaming = -1;  // the attempt whose answer is being forwarded; -1: none
    int request_class = 0;
    std::optional<memory::MemoryCharge> charge;
    Micros max_retry_after{-1};
  };

  void dispatch(Event event);
  void handle_event(const Event& event);
  void perform(const SendAttempt& send);
  void perform(const Cancel& cancel);
  void perform(const Reject& reject);
  void perform(const Fail& fail);
  void perform(const SetTimer& timer);
  void perform(const Subscribe&) {}  // the discovery service is always polled

  OpenRequest* find(RequestId id);
  // Returns an attempt that has not ended; null if there is none of this number.
  Attempt* find_open_attempt(OpenRequest& request, int attempt);
  void end_attempt(const AttemptKey& key, OpenRequest& request, Attempt& attempt,
                   const AttemptResult& result);
  // Removes and returns the reply of a request, so that the request gets only one final answer. Cancels its
  // timers.
  std::shared_ptr<Reply> take_reply(OpenRequest& request);
  void abandon(RequestId id, OpenRequest& request);
  void erase_if_finished(RequestId id);
  void fail_after_error(const Event& event);

  transport::Scheduler& scheduler_;
  DeciderClock clock_;
  std::vector<ClassSettings> classes_;
  std::size_t attempts_cap_;
  std::size_t forwarded_copies_;  // of the request itself, and of the commands of its attempts
  Handler handler_;
  SendCheck send_check_;
  Bounds bounds_;
  Upstream* upstream_ = nullptr;
  RequestId last_id_ = 0;
  std::size_t open_ = 0;  // requests that are not answered yet
  std::unordered_map<RequestId, OpenRequest> requests_;
  std::deque<Event> events_;
  bool dispatching_ = false;
  RouterCounts counts_;
  AttemptObserver attempt_observer_;
  PolicyLookup policy_lookup_;
};

}  // namespace trailcourse::routing
