// Dispatches events to the parts of the decision module. A request passes them in this order: first the
// constraints that must always hold (drains, slow start, purges, idempotency), then normal operation (keep
// rank, cache and source selection), then overload and failures (fill window, load shedding, outliers,
// retries).
#include <trailcourse/decider.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "attempt_planner.h"
#include "cache_selection.h"
#include "decision_context.h"
#include "failure_attribution.h"
#include "fill_window.h"
#include "hashing.h"
#include "idempotency.h"
#include "keep_rank.h"
#include "latency_model.h"
#include "load_estimate.h"
#include "load_shedding.h"
#include "object_table.h"
#include "outlier_detection.h"
#include "purge_floors.h"
#include "request_table.h"
#include "request_timers.h"
#include "retry_budget.h"
#include "sending_times.h"
#include "slow_start.h"
#include "source_selection.h"

namespace trailcourse {
namespace {

constexpr double kDefaultTransferCapacity = 8.0;  // transfers; for weights that do not state a capacity
constexpr Micros kRejectionRetryAfter = std::chrono::milliseconds(400);  // limited by `max_retry_after`

}  // namespace

class Decider::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : context_(std::move(settings), seed),
        sending_times_(context_.settings.classes.size()),
        slow_start_(context_, sending_times_, seed),
        shedding_(idempotency_, latency_, loads_, sending_times_, context_.settings.classes.size()) {}

  void handle(Micros now, const Event& event, std::vector<Action>& out) {
    context_.now = std::max(context_.now, now);
    actions_ = &out;
    std::visit([this](const auto& alternative) { on(alternative); }, event);
  }

  bool may_begin(Micros now, RequestId id, int index);
  std::size_t table_bytes() const { return objects_.memory_bytes(); }

 private:
  void on(const EndpointListReceived& list);
  void on(const RequestArrived& arrival);
  void on(const ClientLeft& left);
  void on(const AttemptEnded& ended);
  void on(const StreamStarted& started);
  void on(const Purged& purged) { purges_.on_purged(purged); }
  void on(const TimerFired& timer);
  void on(const HealthCheckResult& result) { outliers_.on_health_check(result); }
  void on(const ClassesUpdated& update);

  void apply_endpoint(const Endpoint& endpoint);
  void determine_size(Request& request);
  void attempt_or_answer(Request& request);
  void send(Request& request, Attempt attempt);
  void retry(Request& request, const Attempt& last, Status status);
  void record_outcome(const Request& request, Attempt& attempt, const AttemptEnded& ended);
  void record_location(const Request& request, const Attempt& attempt, Note note);
  void on_overdue(Request& request);
  void answer_failure(Request& request);
  void close(Request& request);

  Node& at(int index) { return context_.nodes.at(index); }

  std::vector<Action>* actions_ = nullptr;  // of the event that is being handled
  RequestTable requests_;
  DecisionContext context_;
  SendingTimes sending_times_;
  // Constraints that must always hold.
  SlowStart slow_start_;
  PurgeFloors purges_{context_};
  IdempotencyRules idempotency_{context_};
  // Normal operation.
  ObjectTable objects_{kMaxObjects};
  KeepRank keep_rank_{context_, objects_};
  // Load, failures and retries.
  OutlierDetection outliers_{context_};
  LoadEstimate loads_{context_, slow_start_};
  LatencyModel latency_{context_, loads_};
  LoadShedding shedding_;
  FillWindow fills_{context_, idempotency_, latency_, shedding_, purges_, objects_};
  CacheSelection caches_{context_, slow_start_, idempotency_, outliers_, loads_};
  SourceSelection sources_{context_, slow_start_, outliers_};
  FailureAttribution failures_{context_, loads_, latency_, fills_, outliers_, sources_};
  AttemptPlanner planner_{context_, idempotency_, outliers_, loads_, purges_, caches_, sources_, fills_};
  RetryBudget retries_{context_};
};

// ---- Endpoint lists: drains and removals apply immediately to targets and sources. ----

void Decider::Impl::on(const EndpointListReceived& list) {
  const bool unsubscribed = list.kind == ListKind::kRestored || list.kind == ListKind::kLost;
  if (context_.settings.must_subscribe && unsubscribed) {
    actions_->push_back(Subscribe{});
  }
  const bool complete = list.kind != ListKind::kChanges && list.kind != ListKind::kLost;
  for (Node& node : context_.nodes.all()) {
    node.listed = node.listed && !complete;
  }
  for (const Endpoint& endpoint : list.entries) {
    apply_endpoint(endpoint);
  }
  context_.nodes.update_members();
}

void Decider::Impl::apply_endpoint(const Endpoint& endpoint) {
  const auto [node, added] = context_.nodes.find_or_add(endpoint.address);
  if (added || endpoint.started != node.endpoint.started) {
    // A new process at this address: it is in slow start, and failures of the previous process do not count.
    Node fresh;
    fresh.hash = node.hash;
    fresh.in_flight = node.in_flight;
    fresh.slow_start = slow_start_.initial_slot();
    node = fresh;
  }
  node.endpoint = endpoint;
  node.in_own_zone = endpoint.role == Role::kCache && endpoint.zone == context_.settings.zone;
  node.listed = endpoint.state == NodeState::kReady;
  const bool has_size =
      context_.settings.weights_are_sizes && std::isfinite(endpoint.weight) && endpoint.weight > 0.0;
  node.transfer_capacity = has_size ? endpoint.weight : kDefaultTransferCapacity;
}

void Decider::Impl::on(const ClassesUpdated& update) {
  const std::size_t size = std::max(context_.settings.classes.size(), update.first + update.classes.size());
  context_.settings.classes.resize(size);
  sending_times_.resize(size);
  shedding_.resize(size);
  for (std::size_t i = 0; i < update.classes.size(); ++i) {
    context_.settings.classes[update.first + i] = update.classes[i];
    sending_times_.copy_class(update.based_on + i, update.first + i);
  }
}

// ---- Requests ----

void Decider::Impl::on(const RequestArrived& arrival) {
  const auto classes = static_cast<int>(context_.settings.classes.size());
  if (arrival.request_class < 0 || arrival.request_class >= classes) {
    actions_->push_back(Fail{arrival.id});
    return;
  }
  Request& request = requests_.add(arrival);
  request.object_key = mix(arrival.object ^ mix(arrival.part));
  request.arrived_at = context_.now;
  retries_.on_request();
  determine_size(request);
  if (context_.cacheable(request)) {
    request.keep_rank = keep_rank_.rank(request);
  }
  const Micros until_answer = arrival.deadline - kDeadlineLead - context_.now;
  actions_->push_back(make_timer(arrival.id, TimerKind::kDeadline, until_answer));
  attempt_or_answer(request);
}

// Sets the size and the sending time of the request. A size that cannot be sent before the deadline counts as
// unknown: such a value would distort the statistics of the class.
void Decider::Impl::determine_size(Request& request) {
  const double stream_kb_per_s = context_.settings.stream_kb_per_s;
  const double size_kb = request.arrival.size_kb;
  const double time_left = to_seconds(request.arrival.deadline - context_.now);
  const bool plausible = size_kb > 0.0 && size_kb <= stream_kb_per_s * time_left;
  request.work = plausible ? size_kb / stream_kb_per_s : sending_times_.mean(request);
  request.arrival.size_kb = plausible ? size_kb : 0.0;
  if (plausible) {
    sending_times_.add(request, request.work);
  }
  fills_.on_request(request);
}

void Decider::Impl::attempt_or_answer(Request& request) {
  const int target = retries_.attempts_left(request) ? planner_.select_target(request) : -1;
  if (target < 0 || shedding_.sheds(request, at(target))) {
    answer_failure(request);
    return;
  }
  const Attempt attempt = planner_.plan(request, target);
  if (attempt.only_if_cached && !request.attempts.empty()) {
    answer_failure(request);  // only a first attempt may be limited to cached copies
  } else {
    send(request, attempt);
  }
}

void Decider::Impl::send(Request& request, Attempt attempt) {
  attempt.sent = context_.now;
  Node& node = at(attempt.node);
  Node& source = at(attempt.source);
  const double cost = slow_start_.cost(request);
  slow_start_.charge(node, cost);
  attempt.source_slow_start_cost = attempt.fills() ? slow_start_.charge(source, cost) : 0.0;
  attempt.node_trial = OutlierDetection::start_trial(node);
  attempt.source_trial = attempt.fills() && OutlierDetection::start_trial(source);
  ++node.in_flight;
  fills_.reserve(attempt);
  attempt.overdue_at = overdue_time(context_.now, latency_.expected(request, node));
  const SendAttempt action = planner_.action(request, attempt);
  attempt.max_age = action.max_age;
  actions_->push_back(action);
  request.attempts.push_back(attempt);
  if (context_.class_of(request).idempotency == Idempotency::kSafe) {
    const Micros until_overdue = attempt.overdue_at - context_.now;
    actions_->push_back(make_timer(request.arrival.id, TimerKind::kOverdue, until_overdue));
  }
}

// Checks the client, the deadline, draining, purges, idempotency and slow start again just before the first
// byte. No other function repeats these checks.
bool Decider::Impl::may_begin(Micros now, RequestId id, int index) {
  context_.now = std::max(context_.now, now);
  Request* request = requests_.find_open(id);
  if (request == nullptr || request->streaming) {
    return false;
  }
  Attempt& attempt = request->attempts.at(static_cast<std::size_t>(index));
  const auto accepts = [&](const Node& node) { return node.listed && slow_start_.may_begin(node, attempt); };
  attempt.revoked = attempt.done || purges_.invalidates(*request, attempt) ||
                    past_deadline(context_, *request) || !accepts(at(attempt.node)) ||
                    (attempt.fills() && !accepts(at(attempt.source))) ||
                    !idempotency_.may_send(*request, at(attempt.node), &attempt);
  return !attempt.revoked;
}

void Decider::Impl::on(const StreamStarted& started) {
  if (Request* request = requests_.find_open(started.id)) {
    request->streaming = true;
  }
}

// ---- Outcomes ----

void Decider::Impl::on(const AttemptEnded& ended) {
  Request* request = requests_.find(ended.id);
  const auto index = static_cast<std::size_t>(ended.attempt);
  if (request == nullptr || index >= request->attempts.size() || request->attempts[index].done) {
    return;
  }
  Attempt& attempt = request->attempts[index];
  attempt.done = true;
  attempt.proved_not_executed = proves_not_executed(ended.status);
  record_outcome(*request, attempt, ended);
  if (!request->open) {
    requests_.remove_if_finished(*request);
  } else if (ended.finished || ended.status == Status::kOk) {
    shedding_.record(*request, ended.status == Status::kOk);
    close(*request);
  } else if (!request->in_flight()) {
    retry(*request, attempt, ended.status);
  }
}

void Decider::Impl::record_outcome(const Request& request, Attempt& attempt, const AttemptEnded& ended) {
  Node& node = at(attempt.node);
  Node& source = at(attempt.source);
  node.in_flight = std::max(0, node.in_flight - 1);
  OutlierDetection::on_attempt_ended(node, source, attempt, ended);
  if (indicates_hit(ended.note)) {
    SlowStart::refund(source, attempt, attempt.source_slow_start_cost);  // a hit does not contact the source
  }
  loads_.observe(node, ended.load);
  fills_.on_attempt_ended(request, attempt, ended);
  if (ended.status == Status::kOk) {
    failures_.on_success(request, attempt, ended);
    record_location(request, attempt, ended.note);
  } else {
    failures_.on_failure(attempt, ended);
  }
}

void Decider::Impl::record_location(const Request& request, const Attempt& attempt, Note note) {
  ObjectEntry* entry = objects_.find(request.object_key);
  if (entry == nullptr) {
    return;
  }
  if (at(attempt.node).in_own_zone) {
    entry->cached_at = attempt.node;
    entry->cached_since = context_.now;
  }
  if (shows_holder(context_.settings, note) && at(attempt.source).endpoint.role == Role::kParent) {
    entry->add_holder(attempt.source, context_.now);
  }
}

// While fills fail in general, a rejected fill is not retried with the next source, since that only adds load
// to the origin. A retry is not charged to the retry budget if the last attempt accepted only cached copies
// and was rejected, or if it was never sent.
void Decider::Impl::retry(Request& request, const Attempt& last, Status status) {
  const bool not_cached = last.only_if_cached && (status == Status::kNotCached || status == Status::kFull);
  const bool rejected_fill = last.fills() && status == Status::kFull && context_.cacheable(request);
  const bool exempt = not_cached || status == Status::kNotSent;
  if (!idempotency_.may_retry(request) || (rejected_fill && fills_.fills_failing()) ||
      (!exempt && !retries_.try_consume())) {
    answer_failure(request);
  } else {
    attempt_or_answer(request);
  }
}

// ---- Time ----

void Decider::Impl::on(const TimerFired& timer) {
  Request* request = requests_.find_open(request_of(timer.token));
  if (request == nullptr || request->streaming) {
    return;
  }
  if (kind_of(timer.token) == TimerKind::kDeadline) {
    answer_failure(*request);
  } else {
    on_overdue(*request);
  }
}

void Decider::Impl::on_overdue(Request& request) {
  Attempt& attempt = request.attempts.back();
  if (attempt.done || context_.now < attempt.overdue_at) {
    return;
  }
  if (attempt.fill_work > 0.0 && fills_.fills_failing() && !latency_.on_time(request) &&
      idempotency_.may_reject(request)) {
    answer_failure(request);  // the answer would be late; its reservation can serve another request in time
    return;
  }
  if (!failures_.on_overdue(attempt)) {
    return;
  }
  if (!context_.settings.parallel_attempts && context_.settings.may_cancel) {
    actions_->push_back(Cancel{request.arrival.id, static_cast<int>(request.attempts.size()) - 1});
  }
  const int target = retries_.attempts_left(request) ? caches_.select(request) : -1;
  if (target >= 0 && retries_.try_consume()) {
    send(request, planner_.plan(request, target));
  }
}

// ---- Final answers ----

// Rejects the request, or fails it if an attempt may have had an effect.
void Decider::Impl::answer_failure(Request& request) {
  if (idempotency_.may_reject(request)) {
    const Micros retry_after = std::min(kRejectionRetryAfter, context_.settings.max_retry_after);
    actions_->push_back(Reject{request.arrival.id, retry_after});
  } else {
    actions_->push_back(Fail{request.arrival.id});
  }
  shedding_.record(request, false);
  close(request);
}

// Marks the request as answered and cancels its attempts in flight. It is removed when the last of them ends.
void Decider::Impl::close(Request& request) {
  request.open = false;
  const bool cancels = context_.settings.may_cancel && !request.streaming;
  for (std::size_t i = 0; cancels && i < request.attempts.size(); ++i) {
    if (!request.attempts[i].done) {
      actions_->push_back(Cancel{request.arrival.id, static_cast<int>(i)});
    }
  }
  requests_.remove_if_finished(request);
}

void Decider::Impl::on(const ClientLeft& left) {
  if (Request* request = requests_.find_open(left.id)) {
    close(*request);
  }
}

Decider::Decider(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Decider::~Decider() = default;

void Decider::handle(Micros now, const Event& event, std::vector<Action>& out) {
  impl_->handle(now, event, out);
}
bool Decider::may_begin(Micros now, RequestId id, int attempt) { return impl_->may_begin(now, id, attempt); }

std::size_t Decider::table_bytes() const { return impl_->table_bytes(); }

}  // namespace trailcourse
