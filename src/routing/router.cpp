#include "routing/router.h"

#include <algorithm>
#include <exception>
#include <utility>
#include <variant>

#include "transport/log.h"

namespace trailcourse::routing {

using transport::Level;
using transport::log_line;

RequestId Router::arrive(ClientRequest request, std::shared_ptr<Reply> reply) {
  // Beyond the bounds memory is not safe. Nothing was sent for this one, so trying again is harmless.
  ++counts_.requests;
  Rule rule;
  rule.request_class = request.told.request_class;
  if (ruler_) {
    rule = ruler_(request.told.request_class);
    reply->ruled(rule.words, std::chrono::duration_cast<Micros>(transport::Clock::now().time_since_epoch()));
  }
  const std::size_t most_open =
      rule.open_requests > 0 ? std::min(rule.open_requests, bounds_.open) : bounds_.open;
  const std::size_t bytes = request.body_bytes + bounds_.request_bytes;
  if (rule.refuse || open_ >= most_open || held_bytes_ + bytes > bounds_.bytes) {
    ++counts_.refused;
    reply->refused(Micros(0));
    return 0;
  }
  const RequestId id = ++last_id_;
  Held& held = held_[id];
  held.passed = std::move(request.passed);
  held.reply = std::move(reply);
  request.told.request_class = rule.request_class;
  held.request_class = rule.request_class;
  held.max_retry_after = rule.max_retry_after;
  held.bytes = bytes;
  held_bytes_ += bytes;
  ++open_;
  request.told.id = id;
  request.told.deadline = now() + request.patience;
  tell(request.told);
  return id;
}

void Router::set_classes(const ClassesUpdated& set) {
  classes_.resize(std::max(classes_.size(), set.first + set.classes.size()));
  std::copy(set.classes.begin(), set.classes.end(),
            classes_.begin() + static_cast<std::ptrdiff_t>(set.first));
  tell(set);
}

void Router::leave(RequestId id) {
  Held* held = find(id);
  if (held == nullptr || !held->reply) {
    return;
  }
  end_for_client(id, *held);
}

// The module cancels what it has out, but for a stream: that is the client's alone and has no time-out, so it
// ends with its client.
void Router::end_for_client(RequestId id, Held& held) {
  ++counts_.left;
  close(held);
  const int streaming = held.streaming;
  tell(ClientLeft{id});
  Attempt* attempt = streaming >= 0 ? find_out(held, streaming) : nullptr;
  if (attempt != nullptr) {
    const AttemptKey key{id, streaming};
    upstream_->cancel(key);
    AttemptResult result;
    result.status = Status::kCancelled;
    end_attempt(key, held, *attempt, result);
  } else {
    forget_if_over(id);
  }
}

void Router::fail_open() {
  std::vector<RequestId> ids;
  for (const auto& [id, held] : held_) {
    if (held.reply) {
      ids.push_back(id);
    }
  }
  for (const RequestId id : ids) {
    if (Held* held = find(id); held != nullptr && held->reply) {
      const std::shared_ptr<Reply> reply = held->reply;
      const bool begun = held->streaming >= 0;
      end_for_client(id, *held);
      begun ? reply->finish(false) : reply->failed();
    }
  }
}

bool Router::may_begin(const AttemptKey& key) {
  Held* held = find(key.request);
  const bool wanted = held != nullptr && held->reply && held->streaming < 0 && find_out(*held, key.attempt);
  return wanted && (!gate_ || gate_(now(), key.request, key.attempt));
}

void Router::attempt_ended(const AttemptKey& key, AttemptResult result) {
  Held* held = find(key.request);
  Attempt* attempt = held != nullptr ? find_out(*held, key.attempt) : nullptr;
  if (attempt == nullptr) {
    return;  // timed out or cancelled before: that was its one outcome
  }
  const bool ok = result.status == Status::kOk;
  if (held->reply && held->streaming == key.attempt) {
    ++(ok ? counts_.served : counts_.failed);
    close(*held)->finish(ok);
  } else if (held->reply && held->streaming < 0 && ok) {
    const ServedBy by{attempt->cache, key.attempt, result.note};
    ++counts_.served;
    close(*held)->served(std::move(result.body), result.same, by);
  }
  end_attempt(key, *held, *attempt, result);
}

void Router::stream_started(const AttemptKey& key, bool same) {
  Held* held = find(key.request);
  Attempt* attempt = held != nullptr ? find_out(*held, key.attempt) : nullptr;
  if (attempt == nullptr || !held->reply || held->streaming >= 0) {
    return;
  }
  held->streaming = key.attempt;
  scheduler_.cancel(attempt->timer);
  held->reply->begin(same);
  tell(StreamStarted{key.request, key.attempt});
}

void Router::stream_piece(const AttemptKey& key, std::string_view bytes) {
  Held* held = find(key.request);
  if (held != nullptr && held->reply && held->streaming == key.attempt) {
    held->reply->piece(bytes);
  }
}

void Router::purged(Purged purge, Micros at) {
  purge.age = std::max(Micros(0), now() - at);
  tell(purge);
}

// Events are told one after another, also those that an action brings about.
void Router::tell(Event event) {
  events_.push_back(std::move(event));
  if (std::exchange(telling_, true)) {
    return;
  }
  struct Told {
    bool& telling;
    ~Told() { telling = false; }
  };
  const Told told{telling_};
  while (!events_.empty()) {
    const Event next = std::move(events_.front());
    events_.pop_front();
    run(next);
  }
}

void Router::run(const Event& event) {
  std::vector<Action> actions;
  try {
    handler_(now(), event, actions);
  } catch (const std::exception& error) {
    log_line(Level::kError) << "the decision module failed on an event: " << error.what();
    fail_after_error(event);
    return;
  }
  for (const Action& action : actions) {
    std::visit([this](const auto& one) { perform(one); }, action);
  }
}

// A module that throws must not cost more than the request at hand.
void Router::fail_after_error(const Event& event) {
  const auto answer = [this](RequestId id) {
    if (Held* held = find(id); held != nullptr && held->reply) {
      close(*held)->failed();
      forget_if_over(id);
    }
  };
  if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
    answer(arrived->id);
  } else if (const auto* ended = std::get_if<AttemptEnded>(&event)) {
    answer(ended->id);
  }
}

void Router::perform(const SendAttempt& send) {
  Held* held = find(send.id);
  if (held == nullptr) {
    log_line(Level::kWarning) << "the decision module sent for a request that is not held";
    return;
  }
  const AttemptKey key{send.id, static_cast<int>(held->attempts.size())};
  held->attempts.push_back(Attempt{send.cache, now(), {}, false});
  ++held->out;
  const bool moot = !held->reply || held->streaming >= 0 || held->attempts.size() > attempts_cap_;
  if (moot || send.timeout.count() <= 0) {
    AttemptResult result;
    result.status = moot ? Status::kNotSent : Status::kTimeout;
    end_attempt(key, *held, held->attempts.back(), result);
    return;
  }
  // Time-outs are kept here: whatever the cache answers later is not heard.
  held->attempts.back().timer = scheduler_.at(scheduler_.turn_time() + send.timeout, [this, key] {
    if (Held* late = find(key.request)) {
      if (Attempt* attempt = find_out(*late, key.attempt)) {
        upstream_->cancel(key);
        AttemptResult result;
        result.status = Status::kTimeout;
        end_attempt(key, *late, *attempt, result);
      }
    }
  });
  const bool streaming = classes_[static_cast<std::size_t>(held->request_class)].streaming;
  upstream_->send(key, send, held->passed, streaming);
}

void Router::perform(const Cancel& cancel) {
  Held* held = find(cancel.id);
  Attempt* attempt = held != nullptr ? find_out(*held, cancel.attempt) : nullptr;
  if (attempt == nullptr || held->streaming == cancel.attempt) {
    return;
  }
  const AttemptKey key{cancel.id, cancel.attempt};
  upstream_->cancel(key);
  AttemptResult result;
  result.status = Status::kCancelled;
  end_attempt(key, *held, *attempt, result);
}

void Router::perform(const Reject& refuse) {
  if (Held* held = find(refuse.id); held != nullptr && held->reply) {
    ++counts_.refused;
    const bool cut = held->max_retry_after >= Micros(0);
    const Micros wait = cut ? std::min(refuse.retry_after, held->max_retry_after) : refuse.retry_after;
    close(*held)->refused(wait);
    forget_if_over(refuse.id);
  }
}

void Router::perform(const Fail& fail) {
  if (Held* held = find(fail.id); held != nullptr && held->reply) {
    ++counts_.failed;
    close(*held)->failed();
    forget_if_over(fail.id);
  }
}

void Router::perform(const SetTimer& timer) {
  scheduler_.at(scheduler_.turn_time() + timer.delay,
                [this, token = timer.token] { tell(TimerFired{token}); });
}

Router::Held* Router::find(RequestId id) {
  const auto found = held_.find(id);
  return found == held_.end() ? nullptr : &found->second;
}

Router::Attempt* Router::find_out(Held& held, int attempt) {
  const auto place = static_cast<std::size_t>(attempt);
  return attempt >= 0 && place < held.attempts.size() && !held.attempts[place].ended ? &held.attempts[place]
                                                                                     : nullptr;
}

void Router::end_attempt(const AttemptKey& key, Held& held, Attempt& attempt, const AttemptResult& result) {
  attempt.ended = true;
  scheduler_.cancel(attempt.timer);
  --held.out;
  ++counts_.attempts;
  counts_.attempts_failed += result.status == Status::kOk || result.status == Status::kCancelled ? 0 : 1;
  if (attempt_watch_) {
    attempt_watch_(attempt.cache, result.status, result.note);
  }
  AttemptEnded ended;
  ended.id = key.request;
  ended.attempt = key.attempt;
  ended.status = result.status;
  ended.latency = now() - attempt.sent;
  ended.finished = !held.reply;
  ended.note = result.note;
  ended.source_first_byte_time = result.waited;
  ended.load = result.load;
  tell(ended);
  forget_if_over(key.request);
}

std::shared_ptr<Reply> Router::close(Held& held) {
  --open_;
  return std::exchange(held.reply, nullptr);
}

// While events are told, one of them may still bring an action for it.
void Router::forget_if_over(RequestId id) {
  const Held* held = find(id);
  if (held != nullptr && !held->reply && held->out == 0) {
    held_bytes_ -= held->bytes;
    held_.erase(id);
  }
}

}  // namespace trailcourse::routing
