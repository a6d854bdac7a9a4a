// Hashes the actions of a decision trace.
#pragma once

#include <trailcourse/decider.h>
#include <xxhash.h>

#include <cstdint>
#include <string>

namespace trailcourse::decision_trace {

// A hash of the actions of the decision module with all their fields, in their order.
class TraceHash {
 public:
  TraceHash() : state_(XXH64_createState()) { XXH64_reset(state_, 0); }
  ~TraceHash() { XXH64_freeState(state_); }
  TraceHash(const TraceHash&) = delete;
  TraceHash& operator=(const TraceHash&) = delete;

  void add(std::uint64_t value) { XXH64_update(state_, &value, sizeof value); }
  void add(const std::string& text) {
    add(text.size());
    XXH64_update(state_, text.data(), text.size());
  }
  void add(Micros time) { add(static_cast<std::uint64_t>(time.count())); }

  // The overloads of operator() add the fields of one action.
  void operator()(const SendAttempt& send) {
    add(send.id);
    add(send.cache);
    add(send.source);
    add(send.timeout);
    add(static_cast<std::uint64_t>(send.keep_rank));
    add(send.max_age);
    add((send.join_fill ? 1U : 0U) + (send.only_if_cached ? 2U : 0U));
  }
  void operator()(const Cancel& cancel) {
    add(cancel.id);
    add(static_cast<std::uint64_t>(cancel.attempt));
  }
  void operator()(const Reject& reject) {
    add(reject.id);
    add(reject.retry_after);
  }
  void operator()(const Fail& fail) { add(fail.id); }
  void operator()(const SetTimer& timer) {
    add(timer.token);
    add(timer.delay);
  }
  void operator()(const Subscribe&) {}

  std::uint64_t digest() const { return XXH64_digest(state_); }

 private:
  XXH64_state_t* state_;
};

}  // namespace trailcourse::decision_trace
