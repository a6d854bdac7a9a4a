// The requests and attempts of the simulated deployment.
#include "decision_trace_simulation.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace trailcourse::decision_trace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

AttemptEnded ended_with(RequestId id, int attempt, Status status) {
  AttemptEnded ended;
  ended.id = id;
  ended.attempt = attempt;
  ended.status = status;
  return ended;
}

SimulatedDeployment::SimulatedDeployment(const Profile& profile, std::uint64_t seed, TraceHash& hash)
    : profile_(profile), random_(seed), hash_(hash), decider_(profile.settings, random_.next()) {
  for (int i = 0; i < profile.caches; ++i) {
    endpoints_.push_back(make_endpoint(Role::kCache));
  }
  for (int i = 0; i < profile.parents; ++i) {
    endpoints_.push_back(make_endpoint(Role::kParent));
  }
  for (int i = 0; i < profile.origins; ++i) {
    endpoints_.push_back(make_endpoint(Role::kOrigin));
  }
}

std::uint64_t SimulatedDeployment::run(std::uint64_t events) {
  handle(EndpointListReceived{ListKind::kRestored, endpoints_});
  handle(EndpointListReceived{ListKind::kFull, endpoints_});
  schedule(now_, Arrival{});
  schedule(now_, Disturbance{});
  while (handled_ < events && !schedule_.empty()) {
    ScheduledEvent scheduled = schedule_.top();
    schedule_.pop();
    now_ = std::max(now_, scheduled.when);
    std::visit([this](const auto& event) { perform(event); }, scheduled.event);
  }
  return handled_;
}

void SimulatedDeployment::handle(const Event& event) {
  ++handled_;
  std::vector<Action> actions;
  decider_.handle(now_, event, actions);
  hash_.add(actions.size());
  for (const Action& action : actions) {
    hash_.add(action.index());
    std::visit(hash_, action);
    std::visit([this](const auto& typed_action) { execute(typed_action); }, action);
  }
}

void SimulatedDeployment::perform(const Arrival&) {
  schedule(now_ + random_.exponential(profile_.mean_request_interval / arrival_factor_), Arrival{});
  RequestArrived request;
  request.id = ++last_id_;
  const std::uint64_t classes = class_count_;
  request.request_class = random_.chance(0.0005) ? 99 : static_cast<int>(random_.below(classes));
  const double skewed_position = random_.uniform() * random_.uniform() * random_.uniform();
  request.object = static_cast<std::uint64_t>(skewed_position * static_cast<double>(profile_.objects));
  request.part = random_.chance(0.3) ? static_cast<std::uint32_t>(random_.below(4)) : 0;
  request.purge_group = request.object % 16;
  request.size_kb = draw_size();
  const bool short_deadline = random_.chance(0.1);
  request.deadline = now_ + (short_deadline ? random_.exponential(milliseconds(60)) : Micros(seconds(5)));
  request.is_retry = random_.chance(0.08);
  request.write = random_.chance(0.03);
  RequestState& state = requests_[request.id];
  state.size_kb = request.size_kb;
  state.deadline = request.deadline;
  state.streaming = random_.chance(0.1);
  schedule(request.deadline + profile_.settings.answer_slack, ClientLeft{request.id});
  if (random_.chance(0.02)) {
    schedule(now_ + random_.exponential(milliseconds(80)), ClientLeft{request.id});
  }
  handle(request);
}

double SimulatedDeployment::draw_size() {
  if (random_.chance(0.05)) {
    return 0.0;
  }
  if (random_.chance(0.002)) {
    return 1e12;  // an implausible size
  }
  return profile_.mean_size_kb * std::exp(2.0 * (random_.uniform() + random_.uniform() - 1.0));
}

void SimulatedDeployment::perform(const ClientLeft& left) {
  const auto found = requests_.find(left.id);
  if (found == requests_.end() || found->second.finished) {
    return;
  }
  if (std::any_of(found->second.attempts.begin(), found->second.attempts.end(),
                  [](const AttemptState& attempt) { return attempt.stream_started && !attempt.ended; })) {
    return;  // a stream has no deadline
  }
  finish(left.id);
  handle(left);
}

void SimulatedDeployment::perform(const StreamStarted& started) {
  if (AttemptState* attempt = find_open_attempt(started.id, started.attempt)) {
    attempt->stream_started = true;
    handle(started);
  }
}

void SimulatedDeployment::execute(const SendAttempt& send) {
  RequestState& request = requests_[send.id];
  const int attempt = static_cast<int>(request.attempts.size());
  request.attempts.emplace_back();
  FirstByte first{send.id, attempt, {}, Micros(0), false};
  first.outcome = draw_outcome(send, request);
  first.outcome.id = send.id;
  first.outcome.attempt = attempt;
  first.answer_time = first.outcome.latency;
  first.streamed = request.streaming && first.outcome.status == Status::kOk;
  const bool is_delayed = random_.chance(0.15);
  schedule(now_ + (is_delayed ? random_.exponential(milliseconds(60)) : Micros(0)), first);
}

void SimulatedDeployment::perform(const FirstByte& first) {
  if (find_open_attempt(first.id, first.attempt) == nullptr) {
    return;
  }
  const bool may_begin = decider_.may_begin(now_, first.id, first.attempt);
  hash_.add(may_begin ? 1U : 0U);
  AttemptEnded outcome = first.outcome;
  if (!may_begin) {
    outcome = ended_with(first.id, first.attempt, Status::kNotSent);
    schedule(now_, outcome);
    return;
  }
  if (first.streamed) {
    schedule(now_ + first.answer_time / 2, StreamStarted{first.id, first.attempt});
  }
  schedule(now_ + first.answer_time, outcome);
}

void SimulatedDeployment::perform(AttemptEnded ended) {
  AttemptState* attempt = find_open_attempt(ended.id, ended.attempt);
  if (attempt == nullptr) {
    return;
  }
  attempt->ended = true;
  RequestState& request = requests_[ended.id];
  const bool answered = ended.status == Status::kOk || attempt->stream_started;
  ended.finished = request.finished || answered;
  if (ended.finished) {
    finish(ended.id);
  }
  handle(ended);
  remove_if_finished(ended.id);
}

void SimulatedDeployment::execute(const Cancel& cancel) {
  const AttemptState* attempt = find_open_attempt(cancel.id, cancel.attempt);
  if (attempt != nullptr && !attempt->stream_started && !random_.chance(0.1)) {
    AttemptEnded ended = ended_with(cancel.id, cancel.attempt, Status::kCancelled);
    ended.latency = milliseconds(1);
    schedule(now_ + milliseconds(1), ended);
  }
}

SimulatedDeployment::AttemptState* SimulatedDeployment::find_open_attempt(RequestId id, int attempt) {
  const auto found = requests_.find(id);
  const auto index = static_cast<std::size_t>(attempt);
  const bool exists = found != requests_.end() && index < found->second.attempts.size();
  return exists && !found->second.attempts[index].ended ? &found->second.attempts[index] : nullptr;
}

void SimulatedDeployment::finish(RequestId id) {
  requests_[id].finished = true;
  remove_if_finished(id);
}

void SimulatedDeployment::remove_if_finished(RequestId id) {
  const auto found = requests_.find(id);
  if (found != requests_.end() && found->second.finished &&
      std::all_of(found->second.attempts.begin(), found->second.attempts.end(),
                  [](const AttemptState& attempt) { return attempt.ended; })) {
    requests_.erase(found);
  }
}

AttemptEnded SimulatedDeployment::draw_outcome(const SendAttempt& send, const RequestState& request) {
  AttemptEnded ended;
  const double sending_s = (request.size_kb < 1e9 ? request.size_kb : 100.0) / 1000.0;
  const double slowdown =
      faults_[send.cache] == NodeFault::kSlow || faults_[send.source] == NodeFault::kSlow ? 12 : 1;
  ended.latency = milliseconds(2) + random_.exponential(milliseconds(12)) +
                  Micros(static_cast<std::int64_t>(sending_s * load_factor_ * slowdown * 1e6));
  ended.source_first_byte_time = ended.latency / static_cast<std::int64_t>(1 + random_.below(6));
  ended.load = draw_report();
  ended.status = draw_status(send, ended);
  const bool timed_out = send.timeout > Micros(0) && ended.latency > send.timeout;
  if (timed_out) {
    ended.status = Status::kTimeout;
    ended.latency = send.timeout;
  }
  ended.note = draw_note(send, ended.status);
  return ended;
}

Status SimulatedDeployment::draw_status(const SendAttempt& send, AttemptEnded& ended) {
  switch (faults_[send.cache]) {
    case NodeFault::kDead:
      ended.latency = Micros(static_cast<std::int64_t>(300 + random_.below(500)));
      return Status::kConnectFailed;
    case NodeFault::kUnreachable:
      ended.latency = milliseconds(400);
      return Status::kConnectFailed;
    case NodeFault::kSilent:
      ended.latency = seconds(30);
      return Status::kTimeout;
    case NodeFault::kResets:
      return random_.chance(0.6) ? Status::kReset : Status::kOk;
    case NodeFault::kErrors:
      return random_.chance(0.6) ? Status::kError : Status::kOk;
    case NodeFault::kFull:
      return random_.chance(0.6) ? Status::kFull : Status::kOk;
    default:
      break;
  }
  if (send.only_if_cached || send.source == send.cache) {
    return random_.chance(0.5) ? Status::kNotCached : Status::kOk;
  }
  const NodeFault source = faults_[send.source];
  if (source != NodeFault::kNone && source != NodeFault::kSlow && random_.chance(0.7)) {
    return Status::kFull;
  }
  const double draw = random_.uniform();
  const std::vector<Status> failures{Status::kError,     Status::kReset,        Status::kFull,
                                     Status::kNotCached, Status::kNotSent,      Status::kError,
                                     Status::kCancelled, Status::kConnectFailed};
  return draw < failure_rate_ ? random_.pick(failures) : Status::kOk;
}

Note SimulatedDeployment::draw_note(const SendAttempt& send, Status status) {
  const NoteLevel level = profile_.settings.notes;
  if (level == NoteLevel::kNone) {
    return Note::kNone;
  }
  if (status == Status::kOk) {
    const std::vector<Note> success_notes{
        Note::kHit,    Note::kHit,    Note::kFilled, Note::kFilledFromOrigin,
        Note::kFilled, Note::kJoined, Note::kStale,  Note::kFilledFromOrigin};
    const Note note = random_.pick(success_notes);
    return level == NoteLevel::kHit && note == Note::kFilledFromOrigin ? Note::kFilled : note;
  }
  if (level == NoteLevel::kHit || random_.chance(0.3)) {
    return Note::kNone;
  }
  if (status == Status::kNotCached && !random_.chance(0.3)) {
    return Note::kNotAtSource;
  }
  const bool fill = send.source != send.cache;
  const std::vector<Note> failure_notes{Note::kSourceRejected, Note::kSourceUnreachable,
                                        Note::kNoFillCapacity, Note::kOriginFailed};
  return fill && status == Status::kFull ? random_.pick(failure_notes) : Note::kNone;
}

LoadReport SimulatedDeployment::draw_report() {
  LoadReport report;
  if (random_.chance(0.3)) {
    return report;
  }
  const std::vector<double> implausible{-5.0, 1e300, std::numeric_limits<double>::infinity(),
                                        std::numeric_limits<double>::quiet_NaN()};
  report.utilisation = random_.chance(0.01) ? random_.pick(implausible) : random_.uniform();
  report.concurrent = random_.chance(0.5) ? -1.0 : 3.0 * load_factor_ * random_.uniform();
  report.hit_share = random_.uniform();
  report.link_or_fetches =
      random_.chance(0.3) ? -1.0 : std::min(1.2, 0.2 * load_factor_ + random_.uniform() / 2);
  return report;
}

}  // namespace trailcourse::decision_trace
