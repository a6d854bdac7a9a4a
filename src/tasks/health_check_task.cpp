#include "tasks/health_check_task.h"

#include <functional>
#include <utility>

#include "protocol/resp.h"
#include "tasks/clock.h"
#include "transport/log.h"

namespace trailcourse::tasks {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

namespace {

HealthCheckOptions plan_options(const OwnershipOptions& options) {
  HealthCheckOptions plan;
  plan.interval = milliseconds(options.probe_ms);
  plan.republish_interval = milliseconds(options.verdict_ms) / 2;
  return plan;
}

const char* describe(const VerdictUpdate& update) {
  if (update.kind == VerdictUpdate::Kind::kWithdraw) {
    return "withdrawn";
  }
  return update.verdict.healthy ? "healthy" : "unhealthy";
}

}  // namespace

// One check: sends `health`, and expects an array of up to four words, of which the second is UP or DOWN.
class HealthCheckTask::CheckHandler : public Connection::Handler {
 public:
  using ResultHandler = std::function<void(bool healthy)>;
  explicit CheckHandler(ResultHandler on_result) : on_result_(std::move(on_result)), parser_(bounds()) {}

  void on_bytes(std::string_view bytes) override {
    parser_.feed(bytes, [this](const protocol::resp::Event& event) {
      if (const auto* head = std::get_if<protocol::resp::ArrayHead>(&event)) {
        up_ = head->strings.size() >= 2 && head->strings[0] == "probe" && head->strings[1] == "UP";
      } else if (std::holds_alternative<protocol::resp::ArrayEnd>(event)) {
        report(up_);
      } else if (std::holds_alternative<protocol::resp::ParseError>(event)) {
        report(false);
      }
    });
  }
  void on_end(ConnectionEnd) override { report(false); }

  // Reports the first result; later ones are ignored.
  void report(bool healthy) {
    if (const ResultHandler on_result = std::exchange(on_result_, nullptr)) {
      on_result(healthy);
    }
  }

 private:
  static protocol::resp::Bounds bounds() {
    protocol::resp::Bounds bounds;
    bounds.strings = 4;
    return bounds;
  }

  ResultHandler on_result_;
  protocol::resp::Parser parser_;
  bool up_ = false;
};

HealthCheckTask::HealthCheckTask(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                                 std::string prefix, const routing::Directory& directory,
                                 const OwnershipOptions& options, TaskContext context)
    : scheduler_(scheduler),
      store_(store),
      prefix_(std::move(prefix)),
      directory_(directory),
      options_(options),
      context_(std::move(context)),
      plan_(plan_options(options), context_.term),
      timer_(scheduler, [this] { run_step(); }) {}

HealthCheckTask::~HealthCheckTask() {
  *alive_ = false;
  if (watch_ != 0) {
    store_.unwatch(watch_);
  }
  for (const auto& [cache, connection] : std::exchange(connections_, {})) {
    connection->close(ConnectionEnd::kShutdown);
  }
}

void HealthCheckTask::start() { watch_ = store_.watch(coordination::Range{suspects_prefix(), true}, *this); }

void HealthCheckTask::stop() {
  context_.save_checkpoint("let go after " + std::to_string(plan_.checks_started()) + " probes");
  context_.on_stopped();
}

// ---- Suspects ----

std::string HealthCheckTask::suspects_prefix() const {
  return prefix_ + kSuspectPrefix + context_.work.zone + "/";
}

void HealthCheckTask::apply_suspect_key(const std::string& key, bool deleted) {
  const std::string prefix = suspects_prefix();
  const std::string cache_and_router = key.substr(std::min(prefix.size(), key.size()));
  const std::size_t slash = cache_and_router.find('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == cache_and_router.size()) {
    return;
  }
  const std::string cache = cache_and_router.substr(0, slash);
  const std::string router = cache_and_router.substr(slash + 1);
  if (deleted) {
    suspect_keys_.erase(key);
    plan_.on_suspicion_ended(cache, router);
  } else {
    suspect_keys_.insert(key);
    plan_.on_suspected(steady_now(), cache, router);
  }
}

void HealthCheckTask::on_snapshot(coordination::Revision, const std::vector<coordination::Entry>& entries) {
  std::set<std::string> present;
  for (const coordination::Entry& entry : entries) {
    present.insert(entry.key);
    apply_suspect_key(entry.key, false);
  }
  for (const std::string& key : std::set<std::string>(suspect_keys_)) {
    if (!present.contains(key)) {
      apply_suspect_key(key, true);
    }
  }
  run_step();
}

void HealthCheckTask::on_changes(coordination::Revision,
                                 const std::vector<coordination::KeyChange>& changes) {
  for (const coordination::KeyChange& change : changes) {
    apply_suspect_key(change.entry.key, change.deleted);
  }
  run_step();
}

// ---- Checks and verdicts ----

void HealthCheckTask::run_step() {
  const Micros now = steady_now();
  if (!context_.may_act()) {
    // Either the runner ends this task, or it may act again soon.
    timer_.set(Clock::now() + milliseconds(options_.probe_ms));
    return;
  }
  for (const std::string& cache : plan_.start_checks(now)) {
    start_check(cache);
  }
  for (const VerdictUpdate& update : plan_.take_verdict_updates(now)) {
    publish(update);
  }
  if (!std::exchange(start_recorded_, true)) {
    context_.save_checkpoint("probing");  // so that this start does not count as a crash
  }
  std::optional<Clock::time_point> wake_up;
  if (const auto next = plan_.next_step_at(now)) {
    wake_up = steady_time_point(*next);
  }
  timer_.set(wake_up);
}

void HealthCheckTask::publish(const VerdictUpdate& update) {
  Verdict verdict = update.verdict;
  log_line(Level::kInfo) << "verdict on cache " << verdict.cache << ": " << describe(update) << ", term "
                         << context_.term;
  const std::string key = verdict_key(context_.work.zone, verdict.cache);
  if (update.kind == VerdictUpdate::Kind::kWithdraw) {
    context_.delete_key(key);
    return;
  }
  verdict.at_ms = unix_now_ms();
  context_.write_key(key, write_verdict(verdict));
}

void HealthCheckTask::start_check(const std::string& cache) {
  const auto on_result = [this, alive = alive_, cache](bool healthy) {
    if (*alive) {
      on_check_result(cache, healthy);
    }
  };
  const std::optional<transport::Address> address = directory_.find(cache);
  if (!address) {
    // The cache is not in the endpoint list (any more), so no router sends requests there.
    scheduler_.post([on_result] { on_result(false); });
    return;
  }
  const milliseconds timeout(options_.probe_timeout_ms);
  Connection::Bounds bounds;
  bounds.connect_timeout = timeout;
  const auto connection = Connection::connect(scheduler_, *address, bounds);
  const auto handler = std::make_shared<CheckHandler>(on_result);
  connection->start(handler);
  connection->write(protocol::resp::write_array({"health", "probe"}));
  connections_[cache] = connection;
  scheduler_.at(Clock::now() + 2 * timeout, [weak = std::weak_ptr<CheckHandler>(handler), connection] {
    if (const auto unanswered = weak.lock()) {
      unanswered->report(false);
    }
    connection->close(ConnectionEnd::kIdle);
  });
}

void HealthCheckTask::on_check_result(const std::string& cache, bool healthy) {
  const auto found = connections_.find(cache);
  if (found != connections_.end()) {
    found->second->close(ConnectionEnd::kIdle);
    connections_.erase(found);
  }
  plan_.on_check_result(steady_now(), cache, healthy);
  run_step();
}

}  // namespace trailcourse::tasks
