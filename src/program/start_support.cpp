#include "program/start_support.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>
#include <variant>

#include "startup/relay_tree.h"
#include "transport/log.h"

namespace trailcourse::program {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

constexpr milliseconds kLook{20};
constexpr Micros kAnewAfter =
    std::chrono::seconds(5);  // a stale copy of the board is not the board for so long
constexpr std::int64_t kPurgeMarginMs = 2'000;
// Seeds of the parts, so that none draws what another does.
constexpr std::uint64_t kGateSeed = 0x9e3779b97f4a7c15ULL;
constexpr std::uint64_t kUpstreamSeed = 0xc2b2ae3d27d4eb4fULL;
constexpr std::uint64_t kRelaySeed = 0x165667b19e3779f9ULL;
constexpr std::uint64_t kWriterSeed = 0x27d4eb2f165667c5ULL;

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}
std::int64_t steady_ms() {
  return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
}
Micros steady() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

// The longest that a call to the board takes while all is well.
Micros held(const Tuning& tuning) { return milliseconds(tuning.board_linger_ms + tuning.board_grace_ms); }

std::string name_of(const std::string& peer) { return peer.substr(0, peer.find('=')); }

routing::Relay::Bounds relay_bounds(const Configuration& configuration) {
  const RelayOptions& options = configuration.start.relay;
  routing::Relay::Bounds bounds;
  bounds.most_age = milliseconds(options.most_age_ms);
  bounds.core.most_waiting = static_cast<std::size_t>(options.connections);
  bounds.core.release_ms = 0;
  bounds.server.connections = static_cast<std::size_t>(options.connections);
  bounds.purge_binds_ms =
      std::chrono::duration_cast<milliseconds>(configuration.profile.settings.purge_done).count() +
      kPurgeMarginMs;
  return bounds;
}

}  // namespace

StartSupport::StartSupport(transport::Scheduler& scheduler, const Configuration& configuration)
    : scheduler_(scheduler),
      configuration_(configuration),
      size_(configuration.start.startup.routers, configuration.profile.settings.routers),
      timer_(scheduler, [this] { poke(); }) {
  const StartSections& start = configuration.start;
  if (start.has_startup) {
    gate_.emplace(
        startup::opening_rules(start.startup, static_cast<int>(configuration.tuning.cache_connections)),
        startup::readiness_rules(start.startup, configuration.profile.settings, held(configuration.tuning)),
        configuration.seed ^ kGateSeed);
    gate_->fleet_size(size_.routers());
  }
  if (start.has_relay && !start.relay.peers.empty()) {
    std::vector<std::string> names;
    for (const std::string& peer : start.relay.peers) {
      names.push_back(name_of(peer));
    }
    const startup::RelayTree tree(configuration.name, names, static_cast<int>(start.relay.degree));
    upstream_.emplace(upstream_rules(start.relay), tree.ancestors(), configuration.seed ^ kUpstreamSeed);
    tree_size_ = static_cast<int>(tree.size());
    root_ = tree.place() == 0;
    depth_ = tree.depth();
  }
  if (start.has_relay && !start.relay.listen.empty()) {
    relay_.emplace(scheduler, configuration.name, log_, relay_bounds(configuration),
                   configuration.seed ^ kRelaySeed);
  }
}

StartSupport::~StartSupport() = default;

void StartSupport::before(Micros now, std::vector<Event>& out) {
  if (gate_) {
    gate_->due(now, out);
  }
}

int StartSupport::connections(int per_peer) const { return gate_ ? gate_->connections() : per_peer; }

// An event that changes nothing: what the gate has due goes before it.
void StartSupport::poke() {
  router_->list_received(EndpointListReceived{ListKind::kChanges, {}});
  set_timer();
}

void StartSupport::set_timer() {
  const std::optional<Micros> due = gate_ ? gate_->next_due(router_->now()) : std::nullopt;
  std::optional<Clock::time_point> when;
  if (due) {
    when = scheduler_.turn_time() + (*due - router_->now());
  }
  timer_.set(when);
}

void StartSupport::begin(routing::Router& router, routing::NoticeTaker& taker) {
  router_ = &router;
  taker_ = &taker;
  if (gate_) {
    taker.lists_to([this](const EndpointListReceived& list) {
      gate_->list(router_->now(), list);
      poke();
    });
    if (!configuration_.known.notices.empty()) {
      gate_->starts_with(router.now(), router.now(), true);
    }
  }
  taker.take(configuration_.known);
  try {
    log_.replace(nlohmann::json::parse(configuration_.known_text));
  } catch (const std::exception&) {
    // what the reader of notices could use it has used; a relay begins with the board's first page
  }
  if (configuration_.start.has_snapshot && !configuration_.start.snapshot.folder.empty()) {
    load_snapshot(taker);
  }
}

// Whatever is wrong with it costs one line, and the start goes on without.
void StartSupport::load_snapshot(routing::NoticeTaker& taker) {
  const snapshot::SnapshotOptions& options = configuration_.start.snapshot;
  try {
    folder_.emplace(options.folder);
  } catch (const std::system_error& error) {
    log_line(Level::kWarning) << "snapshot: " << error.what() << ": going on without one";
    return;
  }
  writer_.emplace(options, configuration_.seed ^ kWriterSeed);
  mailbox_ = std::make_unique<transport::Mailbox>(scheduler_);
  pool_ = std::make_unique<store::IoPool>(
      1, [this](std::function<void()> job) { mailbox_->post(std::move(job)); });
  scheduler_.spawn(keep_snapshot());
  std::optional<std::string> bytes;
  try {
    bytes = folder_->load();
  } catch (const std::system_error& error) {
    log_line(Level::kWarning) << "snapshot: " << error.what() << ": not used";
  }
  if (!bytes) {
    return;
  }
  const auto read = snapshot::read_snapshot(
      *bytes, {options.fleet, configuration_.name, unix_ms(), options.most_age_s * 1'000});
  if (const auto* refusal = std::get_if<snapshot::Refusal>(&read)) {
    log_line(Level::kWarning) << "snapshot: not used: " << snapshot::to_string(*refusal);
    return;
  }
  const snapshot::Snapshot& found = std::get<snapshot::Snapshot>(read);
  if (found.board_address != transport::to_string(configuration_.board) && found.board_id.empty()) {
    log_line(Level::kWarning) << "snapshot: not used: it is of the board at " << found.board_address;
    return;
  }
  if (found.last() <= taker.last()) {
    log_line(Level::kInfo) << "snapshot: not used: the configuration knows event " << taker.last();
    return;
  }
  const Micros age = milliseconds(std::max<std::int64_t>(0, unix_ms() - found.confirmed_ms));
  try {
    const protocol::NoticePage page = protocol::read_notices(found.page, configuration_.profile);
    if (gate_) {
      gate_->starts_with(router_->now(), router_->now() - age, false);
    }
    taker.take(page);
    log_.append(found.page);
    log_.rename(found.board_id);
    snapshot_board_id_ = found.board_id;
    snapshot_used_ = true;
    log_line(Level::kInfo) << "snapshot: taken in, event " << found.last() << ", surely current "
                           << std::chrono::duration_cast<milliseconds>(age).count() << " ms ago";
  } catch (const std::exception& error) {
    log_line(Level::kWarning) << "snapshot: not used: " << error.what();
  }
}

void StartSupport::listen() {
  if (relay_) {
    const transport::Address address = *transport::parse_address(configuration_.start.relay.listen);
    relay_->listen(address);
    scheduler_.spawn(look_after_relay());
    log_line(Level::kInfo) << "relay: pages are passed on at " << transport::to_string(address);
  }
}

routing::BoardWatcher::Bounds StartSupport::watcher_bounds() const {
  const Tuning& tuning = configuration_.tuning;
  routing::BoardWatcher::Bounds bounds;
  bounds.first_at_once = configuration_.start.policy.follow;
  bounds.asking =
      startup::asking_rules(configuration_.start.startup, milliseconds(tuning.board_pause_ms),
                            milliseconds(tuning.board_most_pause_ms), milliseconds(tuning.board_linger_ms));
  if (gate_) {
    // In doubt nothing is served as before, so the board has to be heard well within the time that begins it.
    const startup::ReadinessRules rules =
        startup::readiness_rules(configuration_.start.startup, configuration_.profile.settings, held(tuning));
    if (rules.unsure != startup::ReadinessRules::Unsure::kServe) {
      bounds.asking.linger = std::min(bounds.asking.linger, rules.told_within / 2);
      bounds.asking.longest_linger = bounds.asking.linger;
    }
    bounds.anew_after = kAnewAfter;
  }
  if (relay_ && depth_ <= 2) {
    // What it passes on must not be old when it comes. Only the first of a tree, and those that ask it, may
    // be the ones that the tree hangs on; were it all, a lost relay would put the calls of all on the board.
    bounds.asking.linger =
        std::min(bounds.asking.linger, Micros(milliseconds(configuration_.start.relay.most_age_ms)) / 4);
    bounds.asking.longest_linger = bounds.asking.linger;
  }
  bounds.grace = milliseconds(tuning.board_grace_ms);
  bounds.relay_linger = milliseconds(configuration_.start.relay.linger_ms);
  bounds.relay_grace = milliseconds(configuration_.start.relay.grace_ms);
  return bounds;
}

routing::BoardWatcher::Hooks StartSupport::hooks() {
  routing::BoardWatcher::Hooks hooks;
  hooks.page = [this](const nlohmann::json& page, Micros known_at, const std::string& path) {
    confirmed_steady_ = std::max(confirmed_steady_, known_at);
    const std::uint64_t before = log_.last();
    if (relay_) {
      relay_->take(page, known_at, path);
    } else if (writer_) {
      log_.append(page);
      log_.rename(page.value("board", ""));
    }
    if (writer_) {
      if (log_.last() != before) {
        writer_->changed(steady_ms());
      }
      writer_->confirmed(steady_ms());
    }
    if (gate_) {
      const Micros age = std::max(Micros(0), steady() - known_at);
      gate_->confirmed(router_->now(), router_->now() - age);
      poke();
    }
  };
  hooks.anew = [this] {
    confirmed_steady_ = Micros(-1);
    log_.replace({{"rev", 0U}, {"notices", nlohmann::json::array()}});
    if (relay_) {
      relay_->anew();
    }
    if (writer_) {
      writer_->changed(steady_ms());
    }
    if (gate_) {
      gate_->anew(router_->now());
      poke();
    }
  };
  hooks.askers = [this](std::int64_t askers) {
    size_.heard(askers);
    note_size();
  };
  return hooks;
}

void StartSupport::note_size() {
  if (gate_) {
    gate_->fleet_size(size_.routers());
  }
  if (upstream_) {
    upstream_->fleet_size(size_.routers());
  }
  if (watcher_ != nullptr) {
    // Of the trees only the first ask the board; a router that has lost its relays is one of all that may
    // have.
    watcher_->fleet_size(root_ ? std::max(1, size_.routers() / std::max(1, tree_size_)) : size_.routers());
  }
}

routing::BoardWatcher::Relays StartSupport::relays() {
  routing::BoardWatcher::Relays out;
  out.self = configuration_.name;
  if (upstream_) {
    for (const std::string& peer : configuration_.start.relay.peers) {
      if (const auto address = transport::parse_address(peer.substr(peer.find('=') + 1))) {
        out.addresses[name_of(peer)] = *address;
      }
    }
    out.choice = &*upstream_;
  }
  return out;
}

void StartSupport::use(routing::BoardWatcher& watcher) {
  watcher_ = &watcher;
  note_size();
  if (snapshot_used_) {
    watcher.starts_with(snapshot_board_id_);
  }
}

transport::Task<void> StartSupport::look_after_relay() {
  for (;;) {
    co_await scheduler_.sleep(kLook);
    relay_->look();
  }
}

transport::Task<void> StartSupport::keep_snapshot() {
  for (;;) {
    co_await scheduler_.sleep(kLook);
    const std::optional<std::int64_t> due = writer_->due();
    if (due && *due <= steady_ms() && confirmed_steady_ >= Micros(0)) {
      write_snapshot();
    }
  }
}

// Made here, written on a thread of its own.
void StartSupport::write_snapshot() {
  const std::int64_t purges_from =
      unix_ms() -
      std::chrono::duration_cast<milliseconds>(configuration_.profile.settings.purge_done).count() -
      kPurgeMarginMs;
  snapshot::Snapshot made;
  made.fleet = configuration_.start.snapshot.fleet;
  made.router = configuration_.name;
  made.board_address = transport::to_string(watcher_ != nullptr ? watcher_->board() : configuration_.board);
  made.board_id = log_.id();
  made.saved_ms = unix_ms();
  made.confirmed_ms =
      made.saved_ms - std::chrono::duration_cast<milliseconds>(steady() - confirmed_steady_).count();
  made.page = log_.whole(purges_from);
  writer_->begun(steady_ms());
  const auto error = std::make_shared<std::string>();
  const auto bytes = std::make_shared<const std::string>(snapshot::write_snapshot(made));
  pool_->run(
      store::Executor::Lane::kWrite,
      [this, bytes, error] {
        try {
          folder_->store(*bytes);
        } catch (const std::exception& thrown) {
          *error = thrown.what();
        }
      },
      [this, error] {
        const bool good = error->empty();
        if (writer_->ended(steady_ms(), good)) {
          log_line(good ? Level::kInfo : Level::kWarning)
              << "snapshot: " << (good ? "written again" : "cannot be written: " + *error);
        }
      });
}

bool StartSupport::ready() const { return !gate_ || gate_->ready(router_->now()); }

std::string StartSupport::status() const {
  if (!gate_ && !relay_ && !upstream_ && !writer_) {
    return {};
  }
  nlohmann::json out;
  if (gate_) {
    out["state"] = startup::to_string(gate_->state(router_->now()));
    out["held_back"] = gate_->held_back();
  }
  out["routers"] = size_.routers();
  out["event"] = taker_ != nullptr ? taker_->last() : 0;
  if (watcher_ != nullptr) {
    const routing::BoardWatcher::Counts& counts = watcher_->counts();
    out["calls"] = counts.calls;
    out["to_relays"] = counts.to_relays;
    out["audits"] = counts.audits;
    out["failed"] = counts.failed;
    out["refused"] = counts.refused;
  }
  if (relay_) {
    out["relayed"] = relay_->core().counts().calls;
  }
  if (confirmed_steady_ >= Micros(0)) {
    out["age_ms"] = std::chrono::duration_cast<milliseconds>(steady() - confirmed_steady_).count();
  }
  return out.dump();
}

}  // namespace trailcourse::program
