#include "tasks/prefetch_task.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "protocol/cache_answer.h"
#include "protocol/numbers.h"
#include "tasks/clock.h"
#include "transport/log.h"

namespace trailcourse::tasks {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

constexpr milliseconds kListRetryInterval{1'000};  // until the store answers
constexpr milliseconds kMaxStartWait{1'000};       // between two readings of the wall clock
constexpr milliseconds kMayActRetryInterval{50};   // while the lease is uncertain
constexpr milliseconds kMinStepInterval{1};

std::string format_request_id(std::uint64_t id) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(id));
  return text;
}

}  // namespace

// Reports the result of one request, and ignores the body.
class PrefetchTask::ReplyHandler : public routing::Reply {
 public:
  ReplyHandler(PrefetchTask& task, std::size_t index) : task_(task), index_(index), alive_(task.alive_) {}

  void served(std::string, bool, const routing::ServedBy& by) override {
    report(indicates_hit(by.note) ? PrefetchResult::kAlreadyCached : PrefetchResult::kFilled, Micros(0));
  }
  void rejected(Micros retry_after) override { report(PrefetchResult::kRejected, retry_after); }
  void failed() override { report(PrefetchResult::kFailed, Micros(0)); }
  void begin(bool) override {}
  void piece(std::string_view) override {}
  void finish(bool complete) override {
    report(complete ? PrefetchResult::kFilled : PrefetchResult::kFailed, Micros(0));
  }

 private:
  // Posts the result, since the router makes this call within its own step.
  void report(PrefetchResult result, Micros retry_after) {
    if (!*alive_) {
      return;
    }
    task_.scheduler_.post([&task = task_, index = index_, alive = alive_, result, retry_after] {
      if (*alive) {
        task.on_request_result(index, result, retry_after);
      }
    });
  }

  PrefetchTask& task_;
  std::size_t index_;
  std::shared_ptr<bool> alive_;
};

PrefetchTask::PrefetchTask(transport::Scheduler& scheduler, routing::Router& router,
                           const protocol::DeploymentSettings& deployment, const OwnershipOptions& options,
                           std::uint64_t seed, TaskContext context)
    : scheduler_(scheduler),
      router_(router),
      deployment_(deployment),
      options_(options),
      context_(std::move(context)),
      last_request_id_(seed ^ context_.term),
      timer_(scheduler, [this] { run_step(); }) {}

PrefetchTask::~PrefetchTask() {
  *alive_ = false;
  abandon_requests();
}

void PrefetchTask::abandon_requests() {
  for (const auto& [index, id] : std::exchange(open_requests_, {})) {
    router_.client_left(id);
  }
}

// ---- Start and stop ----

void PrefetchTask::start() {
  try {
    read_parameters();
  } catch (const InvalidPrefetchParameters& error) {
    fail(error.what());
    return;
  }
  if (parameters_->objects.empty()) {
    load_list();
  } else {
    make_plan(context_.id.shard, context_.work.shards);
  }
}

void PrefetchTask::read_parameters() {
  parameters_ = read_prefetch_parameters(context_.work.params);
  const std::string& name = parameters_->request_class;
  const auto found = deployment_.class_index.find(name);
  if (found == deployment_.class_index.end()) {
    throw InvalidPrefetchParameters("class", "'" + name + "' is not served here");
  }
  const ClassSettings& settings = deployment_.settings.classes[static_cast<std::size_t>(found->second)];
  if (settings.idempotency != Idempotency::kSafe || settings.uncached) {
    throw InvalidPrefetchParameters("class", "'" + name + "' is not one that caches keep");
  }
  request_class_ = found->second;
}

// Records the work as completed, since no other router could do it either.
void PrefetchTask::fail(const std::string& reason) {
  log_line(Level::kError) << to_string(context_.id) << " cannot be done: " << reason;
  context_.save_completion("cannot be done: " + reason);
  completed_ = true;
}

void PrefetchTask::load_list() {
  const auto on_list = [this, alive = alive_](const std::optional<std::string>& text) {
    if (!*alive || plan_ || completed_ || stopping_) {
      return;
    }
    parameters_->objects = read_prefetch_list(text.value_or(""));
    if (parameters_->objects.empty()) {
      fail("objects: none are listed for this shard");
    } else {
      make_plan(0, 1);  // the list contains the objects of this shard alone
    }
  };
  context_.read_key(prefetch_list_key(context_.id.work, context_.id.shard), on_list);
  wake_up_in(kListRetryInterval);
}

void PrefetchTask::make_plan(std::uint64_t shard, std::uint64_t shards) {
  PrefetchOptions options;
  options.max_in_flight = static_cast<std::size_t>(options_.fill_open);
  options.max_attempts = static_cast<int>(options_.fill_tries);
  options.retry_backoff = milliseconds(options_.fill_retry_ms);
  plan_.emplace(*parameters_, shard, shards, options, context_.checkpoint);
  run_step();
}

void PrefetchTask::stop() {
  stopping_ = true;
  abandon_requests();
  if (plan_ && !completed_) {
    save_progress();
  }
  context_.on_stopped();
}

void PrefetchTask::save_progress() {
  if (!plan_->done()) {
    context_.save_checkpoint(plan_->checkpoint());
    return;
  }
  if (!std::exchange(completed_, true)) {
    const PrefetchProgress& progress = plan_->progress();
    log_line(Level::kInfo) << "completes " << to_string(context_.id) << ": filled " << progress.filled << " ("
                           << progress.already_cached << " already cached), failed " << progress.failed
                           << " of " << progress.total;
  }
  context_.save_completion(plan_->checkpoint());
}

// ---- Steps ----

void PrefetchTask::wake_up_in(Micros time) { timer_.set(Clock::now() + time); }

void PrefetchTask::run_step() {
  if (stopping_ || completed_) {
    return;
  }
  if (!plan_) {
    load_list();
  } else if (!is_start_time_reached()) {
    return;
  } else if (plan_->done()) {
    save_progress();
  } else if (!context_.may_act()) {
    wake_up_in(kMayActRetryInterval);
  } else {
    start_requests();
  }
}

bool PrefetchTask::is_start_time_reached() {
  const milliseconds wait(parameters_->at_ms - unix_now_ms());
  if (wait <= milliseconds(0)) {
    return true;
  }
  if (!std::exchange(waits_for_start_, true)) {
    // A saved checkpoint confirms the start, so that an owner that leaves before the start time does not
    // count as crashed.
    context_.save_checkpoint(plan_->checkpoint());
  }
  wake_up_in(std::min(wait, kMaxStartWait));
  return false;
}

void PrefetchTask::start_requests() {
  for (const std::size_t index : plan_->start_requests(steady_now())) {
    request_object(index);
  }
  std::optional<Clock::time_point> wake_up;
  if (const auto next = plan_->next_step_at(steady_now())) {
    wake_up = std::max(Clock::now() + kMinStepInterval, steady_time_point(*next));
  }
  timer_.set(wake_up);
}

void PrefetchTask::request_object(std::size_t index) {
  const std::string& object = plan_->object(index);
  const std::size_t slash = object.find('/');
  auto forwarded = std::make_shared<protocol::ForwardedRequest>();
  forwarded->id = format_request_id(++last_request_id_);
  forwarded->request_class = parameters_->request_class;
  forwarded->object = object.substr(0, slash);
  forwarded->part = slash == std::string::npos ? "" : object.substr(slash + 1);
  forwarded->fence = context_.fencing_token;
  routing::ClientRequest request;
  request.arrival.request_class = request_class_;
  request.arrival.object = protocol::read_hex<ObjectId>(forwarded->object).value_or(0);
  request.arrival.part = protocol::read_number<std::uint32_t>(forwarded->part).value_or(0);
  request.patience = milliseconds(options_.fill_patience_ms);
  request.forwarded = std::move(forwarded);
  const RequestId id = router_.accept(std::move(request), std::make_shared<ReplyHandler>(*this, index));
  if (id != 0) {
    open_requests_[index] = id;
  }
}

void PrefetchTask::on_request_result(std::size_t index, PrefetchResult result, Micros retry_after) {
  open_requests_.erase(index);
  if (stopping_ || !plan_) {
    return;
  }
  const std::uint64_t finished_before = plan_->progress().finished();
  plan_->on_result(steady_now(), index, result, retry_after);
  if (plan_->progress().finished() != finished_before) {
    save_progress();
  }
  run_step();
}

}  // namespace trailcourse::tasks
