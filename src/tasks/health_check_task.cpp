#include "tasks/health_check_task.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "protocol/resp.h"
#include "transport/log.h"

namespace trailcourse::tasks {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

namespace {

HealthCheckOptions rules_of(const OwnershipOptions& options) {
  HealthCheckOptions rules;
  rules.pause = milliseconds(options.probe_ms);
  rules.repeat = milliseconds(options.verdict_ms) / 2;
  return rules;
}

}  // namespace

std::string suspect_key(const std::string& zone, const std::string& cache, const std::string& router) {
  return kSuspectPrefix + zone + "/" + cache + "/" + router;
}
std::string verdict_key(const std::string& zone, const std::string& cache) {
  return kVerdictPrefix + zone + "/" + cache;
}

// One probe: `health`, and four words back, of which the second is UP or DOWN.
class HealthCheckTask::Probe : public Connection::Handler {
 public:
  using Told = std::function<void(bool sound)>;
  explicit Probe(Told told) : told_(std::move(told)), parser_(bounds()) {}

  void on_bytes(std::string_view bytes) override {
    parser_.feed(bytes, [this](const protocol::resp::Event& event) {
      if (const auto* head = std::get_if<protocol::resp::ArrayHead>(&event)) {
        up_ = head->words.size() >= 2 && head->words[0] == "probe" && head->words[1] == "UP";
      } else if (std::holds_alternative<protocol::resp::ArrayEnd>(event)) {
        tell(up_);
      } else if (std::holds_alternative<protocol::resp::Unreadable>(event)) {
        tell(false);
      }
    });
  }
  void on_end(ConnectionEnd) override { tell(false); }
  void tell(bool sound) {
    if (const Told told = std::exchange(told_, nullptr)) {
      told(sound);
    }
  }

 private:
  static protocol::resp::Bounds bounds() {
    protocol::resp::Bounds out;
    out.words = 4;
    return out;
  }

  Told told_;
  protocol::resp::Parser parser_;
  bool up_ = false;
};

HealthCheckTask::HealthCheckTask(transport::Scheduler& scheduler, coordination::SharedStore& store,
                                 std::string prefix, const routing::Directory& directory,
                                 const OwnershipOptions& options, TaskContext context)
    : scheduler_(scheduler),
      store_(store),
      prefix_(std::move(prefix)),
      directory_(directory),
      options_(options),
      context_(std::move(context)),
      plan_(rules_of(options), context_.term),
      timer_(scheduler, [this] { turn(); }) {}

HealthCheckTask::~HealthCheckTask() {
  *alive_ = false;
  if (watch_ != 0) {
    store_.unwatch(watch_);
  }
  for (const auto& [cache, connection] : std::exchange(out_, {})) {
    connection->close(ConnectionEnd::kShutdown);
  }
}

Micros HealthCheckTask::now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

void HealthCheckTask::begin() {
  watch_ =
      store_.watch(coordination::Range{prefix_ + kSuspectPrefix + context_.work.zone + "/", true}, *this);
}

void HealthCheckTask::finish() {
  context_.checkpoint_at("let go after " + std::to_string(plan_.probes()) + " probes", false);
  context_.finished();
}

void HealthCheckTask::take(const std::string& key, bool gone) {
  const std::string stem = prefix_ + kSuspectPrefix + context_.work.zone + "/";
  const std::string rest = key.substr(std::min(stem.size(), key.size()));
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos || slash == 0 || slash + 1 == rest.size()) {
    return;
  }
  if (gone) {
    named_.erase(key);
  } else {
    named_.insert(key);
  }
  plan_.named(now(), rest.substr(0, slash), rest.substr(slash + 1), !gone);
}

void HealthCheckTask::current(coordination::Revision, const std::vector<coordination::Entry>& entries) {
  std::set<std::string> there;
  for (const coordination::Entry& entry : entries) {
    there.insert(entry.key);
    take(entry.key, false);
  }
  for (const std::string& key : std::set<std::string>(named_)) {
    if (!there.contains(key)) {
      take(key, true);
    }
  }
  turn();
}

void HealthCheckTask::changed(coordination::Revision, const std::vector<coordination::Change>& changes) {
  for (const coordination::Change& change : changes) {
    take(change.entry.key, change.deleted);
  }
  turn();
}

void HealthCheckTask::turn() {
  const Micros at = now();
  if (!context_.may_act()) {
    // Nothing is begun; the runner ends this one, or it may go on soon.
    timer_.set(Clock::now() + milliseconds(options_.probe_ms));
    return;
  }
  for (const std::string& cache : plan_.due(at)) {
    probe(cache);
  }
  for (const Verdict& told : plan_.news(at)) {
    Verdict verdict = told;
    verdict.at_ms =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    const bool back = verdict.probes == 0;
    log_line(Level::kInfo) << "verdict on cache " << verdict.cache << ": "
                           << (back            ? "none any more"
                               : verdict.sound ? "sound"
                                               : "not to be had")
                           << ", term " << context_.term;
    context_.put(verdict_key(context_.work.zone, verdict.cache), back ? "" : write_verdict(verdict));
  }
  if (!std::exchange(checkpointed_, true)) {
    context_.checkpoint_at("probing", false);  // it stands: nobody died of it
  }
  const std::optional<Micros> next = plan_.next(at);
  std::optional<Clock::time_point> when;
  if (next) {
    when.emplace(std::chrono::duration_cast<Clock::duration>(*next));
  }
  timer_.set(when);
}

void HealthCheckTask::probe(const std::string& cache) {
  const std::optional<transport::Address> address = directory_.find(cache);
  const auto told = [this, alive = alive_, cache](bool sound) {
    if (*alive) {
      probed(cache, sound);
    }
  };
  if (!address) {
    // Not listed here (any more): nobody is to be sent there, and nobody asks.
    scheduler_.post([told] { told(false); });
    return;
  }
  Connection::Bounds bounds;
  bounds.connect_timeout = milliseconds(options_.probe_timeout_ms);
  const auto connection = Connection::connect(scheduler_, *address, bounds);
  const auto handler = std::make_shared<Probe>(told);
  connection->start(handler);
  connection->write(protocol::resp::write_array({"health", "probe"}));
  out_[cache] = connection;
  scheduler_.at(Clock::now() + 2 * milliseconds(options_.probe_timeout_ms),
                [weak = std::weak_ptr<Probe>(handler), connection] {
                  if (const auto late = weak.lock()) {
                    late->tell(false);
                  }
                  connection->close(ConnectionEnd::kIdle);
                });
}

void HealthCheckTask::probed(const std::string& cache, bool sound) {
  const auto found = out_.find(cache);
  if (found != out_.end()) {
    found->second->close(ConnectionEnd::kIdle);
    out_.erase(found);
  }
  plan_.probed(now(), cache, sound);
  turn();
}

}  // namespace trailcourse::tasks
