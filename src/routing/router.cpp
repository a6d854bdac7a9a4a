#include "routing/router.h"

#include <algorithm>
#include <exception>
#include <utility>
#include <variant>

#include "transport/log.h"

namespace trailcourse::routing {

using transport::Level;
using transport::log_line;

RequestId Router::accept(ClientRequest request, std::shared_ptr<Reply> reply) {
  ++counts_.requests;
  PolicyDecision policy;
  policy.request_class = request.arrival.request_class;
  if (policy_lookup_) {
    policy = policy_lookup_(request.arrival.request_class);
    reply->policy_applied(policy.policy_version,
                          std::chrono::duration_cast<Micros>(transport::Clock::now().time_since_epoch()));
  }
  const std::size_t max_open =
      policy.open_requests > 0 ? std::min(policy.open_requests, bounds_.open) : bounds_.open;
  const std::size_t bytes = request.forwarded_bytes * forwarded_copies_ + bounds_.request_bytes;
  // More open requests could exhaust the memory. Nothing was sent for this one, so a retry is safe.
  if (policy.reject || open_ >= max_open || !bounds_.memory->fits(memory::MemoryUse::kOpenRequests, bytes)) {
    ++counts_.rejected;
    reply->rejected(Micros(0));
    return 0;
  }
  const RequestId id = ++last_id_;
  OpenRequest& open = requests_[id];
  open.forwarded = std::move(request.forwarded);
  open.reply = std::move(reply);
  request.arrival.request_class = policy.request_class;
  open.request_class = policy.request_class;
  open.max_retry_after = policy.max_retry_after;
  open.charge.emplace(bounds_.memory, memory::MemoryUse::kOpenRequests, bytes);
  ++open_;
  request.arrival.id = id;
  request.arrival.deadline = now() + request.patience;
  dispatch(request.arrival);
  return id;
}

void Router::set_classes(const ClassesUpdated& set) {
  classes_.resize(std::max(classes_.size(), set.first + set.classes.size()));
  std::copy(set.classes.begin(), set.classes.end(),
            classes_.begin() + static_cast<std::ptrdiff_t>(set.first));
  dispatch(set);
}

void Router::client_left(RequestId id) {
  OpenRequest* request = find(id);
  if (request == nullptr || !request->reply) {
    return;
  }
  abandon(id, *request);
}

// Ends a request without an answer. The module cancels its open attempts except a stream: that has no
// time-out and serves no other client, so it is cancelled here.
void Router::abandon(RequestId id, OpenRequest& request) {
  ++counts_.abandoned;
  take_reply(request);
  const int streaming = request.streaming;
  dispatch(ClientLeft{id});
  Attempt* attempt = streaming >= 0 ? find_open_attempt(request, streaming) : nullptr;
  if (attempt != nullptr) {
    const AttemptKey key{id, streaming};
    upstream_->cancel(key);
    AttemptResult result;
    result.status = Status::kCancelled;
    end_attempt(key, request, *attempt, result);
  } else {
    erase_if_finished(id);
  }
}

void Router::fail_open_requests() {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : requests_) {
    if (request.reply) {
      ids.push_back(id);
    }
  }
  for (const RequestId id : ids) {
    if (OpenRequest* request = find(id); request != nullptr && request->reply) {
      const std::shared_ptr<Reply> reply = request->reply;
      const bool streaming = request->streaming >= 0;
      abandon(id, *request);
      streaming ? reply->finish(false) : reply->failed();
    }
  }
}

bool Router::may_begin(const AttemptKey& key) {
  OpenRequest* request = find(key.request);
  const bool wanted = request != nullptr && request->reply && request->streaming < 0 &&
                      find_open_attempt(*request, key.attempt);
  const bool may_begin = wanted && request->reply->client_waits() &&
                         (!send_check_ || send_check_(now(), key.request, key.attempt));
  if (may_begin) {
    request->reply->attempt_begins();
  }
  return may_begin;
}

void Router::attempt_ended(const AttemptKey& key, AttemptResult result) {
  OpenRequest* request = find(key.request);
  Attempt* attempt = request != nullptr ? find_open_attempt(*request, key.attempt) : nullptr;
  if (attempt == nullptr) {
    return;  // it has timed out or was cancelled: each attempt has one result
  }
  const bool ok = result.status == Status::kOk;
  if (request->reply && request->streaming == key.attempt) {
    ++(ok ? counts_.served : counts_.failed);
    take_reply(*request)->finish(ok);
  } else if (request->reply && request->streaming < 0 && ok) {
    const ServedBy by{attempt->cache, key.attempt, result.note};
    ++counts_.served;
    take_reply(*request)->served(std::move(result.body), result.not_modified, by);
  }
  end_attempt(key, *request, *attempt, result);
}

void Router::stream_started(const AttemptKey& key, bool not_modified) {
  OpenRequest* request = find(key.request);
  Attempt* attempt = request != nullptr ? find_open_attempt(*request, key.attempt) : nullptr;
  if (attempt == nullptr || !request->reply || request->streaming >= 0) {
    return;
  }
  request->streaming = key.attempt;
  scheduler_.cancel(attempt->timer);
  request->reply->begin(not_modified);
  dispatch(StreamStarted{key.request, key.attempt});
}

void Router::stream_piece(const AttemptKey& key, std::string_view bytes) {
  OpenRequest* request = find(key.request);
  if (request != nullptr && request->reply && request->streaming == key.attempt) {
    request->reply->piece(bytes);
  }
}

void Router::purged(Purged purge, Micros at) {
  purge.age = std::max(Micros(0), now() - at);
  dispatch(purge);
}

// Handles events one after another, including those that an action causes.
void Router::dispatch(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(dispatching_, true)) {
    return;
  }
  struct DispatchingReset {
    bool& dispatching;
    ~DispatchingReset() { dispatching = false; }
  };
  const DispatchingReset reset{dispatching_};
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    handle_event(next);
  }
}

void Router::handle_event(const Event& event) {
  std::vector<Action> actions;
  try {
    handler_(now(), event, actions);
  } catch (const std::exception& error) {
    log_line(Level::kError) << "the decision module threw an exception while it handled an event: "
                            << error.what();
    fail_after_error(event);
    return;
  }
  for (const Action& action : actions) {
    std::visit([this](const auto& alternative) { perform(alternative); }, action);
  }
}

// Fails the request of the event only: an exception of the module must not affect other requests.
void Router::fail_after_error(const Event& event) {
  const auto answer = [this](RequestId id) {
    if (OpenRequest* request = find(id); request != nullptr && request->reply) {
      take_reply(*request)->failed();
      erase_if_finished(id);
    }
  };
  if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
    answer(arrived->id);
  } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
    answer(ended->id);
  }
}

void Router::perform(const SendAttempt& send) {
  OpenRequest* request = find(send.id);
  if (request == nullptr) {
    log_line(Level::kWarning) << "the decision module sent an attempt for an unknown request";
    return;
  }
  const AttemptKey key{send.id, static_cast<int>(request->attempts.size())};
  request->attempts.push_back(Attempt{send.cache, now(), {}, false});
  ++request->open_attempts;
  const bool not_needed =
      !request->reply || request->streaming >= 0 || request->attempts.size() > attempts_cap_;
  if (not_needed || send.timeout.count() <= 0) {
    AttemptResult result;
    result.status = not_needed ? Status::kNotSent : Status::kTimeout;
    end_attempt(key, *request, request->attempts.back(), result);
    return;
  }
  // The router itself enforces the timeout. A later answer of the cache is ignored.
  request->attempts.back().timer = scheduler_.at(scheduler_.iteration_time() + send.timeout, [this, key] {
    if (OpenRequest* late = find(key.request)) {
      if (Attempt* attempt = find_open_attempt(*late, key.attempt)) {
        upstream_->cancel(key);
        AttemptResult result;
        result.status = Status::kTimeout;
        end_attempt(key, *late, *attempt, result);
      }
    }
  });
  const bool streaming = classes_[static_cast<std::size_t>(request->request_class)].streaming;
  upstream_->send(key, send, request->forwarded, streaming);
}

void Router::perform(const Cancel& cancel) {
  OpenRequest* request = find(cancel.id);
  Attempt* attempt = request != nullptr ? find_open_attempt(*request, cancel.attempt) : nullptr;
  if (attempt == nullptr || request->streaming == cancel.attempt) {
    return;
  }
  const AttemptKey key{cancel.id, cancel.attempt};
  upstream_->cancel(key);
  AttemptResult result;
  result.status = Status::kCancelled;
  end_attempt(key, *request, *attempt, result);
}

void Router::perform(const Reject& reject) {
  if (OpenRequest* request = find(reject.id); request != nullptr && request->reply) {
    ++counts_.rejected;
    const bool capped = request->max_retry_after >= Micros(0);
    const Micros wait = capped ? std::min(reject.retry_after, request->max_retry_after) : reject.retry_after;
    take_reply(*request)->rejected(wait);
    erase_if_finished(reject.id);
  }
}

void Router::perform(const Fail& fail) {
  if (OpenRequest* request = find(fail.id); request != nullptr && request->reply) {
    ++counts_.failed;
    take_reply(*request)->failed();
    erase_if_finished(fail.id);
  }
}

// A timer of a request ends with it: the delay may be as long as the deadline that the client names.
void Router::perform(const SetTimer& timer) {
  OpenRequest* request = find(timer.request);
  if (timer.request != 0 && (request == nullptr || !request->reply)) {
    return;
  }
  const transport::Scheduler::TimerKey key =
      scheduler_.at(scheduler_.iteration_time() + timer.delay,
                    [this, token = timer.token] { dispatch(TimerFired{token}); });
  if (request != nullptr) {
    request->timers.push_back(key);
  }
}

Router::OpenRequest* Router::find(RequestId id) {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

Router::Attempt* Router::find_open_attempt(OpenRequest& request, int attempt) {
  const auto index = static_cast<std::size_t>(attempt);
  return attempt >= 0 && index < request.attempts.size() && !request.attempts[index].ended
             ? &request.attempts[index]
             : nullptr;
}

void Router::end_attempt(const AttemptKey& key, OpenRequest& request, Attempt& attempt,
                         const AttemptResult& result) {
  attempt.ended = true;
  scheduler_.cancel(attempt.timer);
  --request.open_attempts;
  ++counts_.attempts;
  counts_.attempts_failed += result.status == Status::kOk || result.status == Status::kCancelled ? 0 : 1;
  if (attempt_observer_) {
    attempt_observer_(attempt.cache, result.status, result.note);
  }
  AttemptEnded ended;
  ended.id = key.request;
  ended.attempt = key.attempt;
  ended.status = result.status;
  ended.latency = now() - attempt.sent;
  ended.finished = !request.reply;
  ended.note = result.note;
  ended.source_first_byte_time = result.source_first_byte_time;
  ended.load = result.load;
  dispatch(ended);
  erase_if_finished(key.request);
}

std::shared_ptr<Reply> Router::take_reply(OpenRequest& request) {
  --open_;
  for (const transport::Scheduler::TimerKey& timer : std::exchange(request.timers, {})) {
    scheduler_.cancel(timer);
  }
  return std::exchange(request.reply, nullptr);
}

// An event that is still queued may cause an action for an erased request; find() returns null then.
void Router::erase_if_finished(RequestId id) {
  const OpenRequest* request = find(id);
  if (request != nullptr && !request->reply && request->open_attempts == 0) {
    requests_.erase(id);
  }
}

}  // namespace trailcourse::routing
