#include "program/start_support.h"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

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
constexpr milliseconds kPurgeMargin{2'000};
// Seeds of the parts, so that none draws what another does.
constexpr std::uint64_t kGateSeed = 0x9e3779b97f4a7c15ULL;
constexpr std::uint64_t kUpstreamSeed = 0xc2b2ae3d27d4eb4fULL;
constexpr std::uint64_t kRelaySeed = 0x165667b19e3779f9ULL;
constexpr std::uint64_t kWriterSeed = 0x27d4eb2f165667c5ULL;

discovery::UnixTime unix_now() { return std::chrono::floor<milliseconds>(std::chrono::system_clock::now()); }
milliseconds steady_ms() { return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()); }
Micros steady() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

// The longest that a call to the board takes while all is well.
Micros held(const Tuning& tuning) { return milliseconds(tuning.board_linger_ms + tuning.board_grace_ms); }

std::string name_of(const std::string& peer) { return peer.substr(0, peer.find('=')); }

// How long a purge is passed on and stored: until caches have dropped what it named, and a margin.
milliseconds purge_retention(const Configuration& configuration) {
  return std::chrono::duration_cast<milliseconds>(configuration.profile.settings.purge_done) + kPurgeMargin;
}

routing::Relay::Options relay_options(const Configuration& configuration) {
  const RelayOptions& options = configuration.start.relay;
  routing::Relay::Options relay;
  relay.max_age = milliseconds(options.most_age_ms);
  relay.long_poll.max_held = static_cast<std::size_t>(options.connections);
  relay.long_poll.release_window = milliseconds(0);
  relay.server.connections = static_cast<std::size_t>(options.connections);
  relay.purge_retention = purge_retention(configuration);
  return relay;
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
        startup::admission_options(start.startup, static_cast<int>(configuration.tuning.cache_connections)),
        startup::readiness_options(start.startup, configuration.profile.settings, held(configuration.tuning)),
        configuration.seed ^ kGateSeed);
    gate_->set_fleet_size(size_.routers());
  }
  if (start.has_relay && !start.relay.peers.empty()) {
    std::vector<std::string> names;
    names.reserve(start.relay.peers.size());
    for (const std::string& peer : start.relay.peers) {
      names.push_back(name_of(peer));
    }
    const startup::RelayTree tree(configuration.name, names, static_cast<int>(start.relay.degree));
    upstream_.emplace(relay_selector_options(start.relay), tree.ancestors(),
                      configuration.seed ^ kUpstreamSeed);
    tree_size_ = static_cast<int>(tree.size());
    root_ = tree.position() == 0;
    depth_ = tree.depth();
  }
  if (start.has_relay && !start.relay.listen.empty()) {
    relay_.emplace(scheduler, configuration.name, log_, relay_options(configuration),
                   configuration.seed ^ kRelaySeed);
  }
}

StartSupport::~StartSupport() = default;

void StartSupport::before(Micros now, std::vector<Event>& out) {
  if (gate_) {
    gate_->step(now, out);
  }
}

int StartSupport::connections(int per_peer) const { return gate_ ? gate_->max_connections() : per_peer; }

// An event that changes nothing: what the gate has due goes before it.
void StartSupport::poke() {
  router_->list_received(EndpointListReceived{ListKind::kChanges, {}});
  set_timer();
}

void StartSupport::set_timer() {
  const std::optional<Micros> due = gate_ ? gate_->next_step_at(router_->now()) : std::nullopt;
  std::optional<Clock::time_point> when;
  if (due) {
    when = scheduler_.turn_time() + (*due - router_->now());
  }
  timer_.set(when);
}

void StartSupport::begin(routing::Router& router, routing::DiscoveryUpdateHandler& taker) {
  router_ = &router;
  taker_ = &taker;
  if (gate_) {
    taker.set_list_receiver([this](const EndpointListReceived& list) {
      gate_->on_list(router_->now(), list);
      poke();
    });
    if (!configuration_.known.updates.empty()) {
      gate_->restore(router.now(), router.now(), true);
    }
  }
  taker.take(configuration_.known);
  try {
    log_.replace(nlohmann::json::parse(configuration_.known_text));
  } catch (const std::exception& error) {
    // What could be used of it was used above; a relay begins with the discovery service's first page.
    log_line(Level::kDebug) << "known is not passed on to relays: " << error.what();
  }
  if (configuration_.start.has_snapshot && !configuration_.start.snapshot.folder.empty()) {
    load_snapshot(taker);
  }
}

// Whatever is wrong with it costs one line, and the start goes on without.
void StartSupport::load_snapshot(routing::DiscoveryUpdateHandler& taker) {
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
  const auto decoded = snapshot::decode_snapshot(
      *bytes, {options.fleet, configuration_.name, unix_now(), std::chrono::seconds(options.most_age_s)});
  if (!decoded) {
    log_line(Level::kWarning) << "snapshot: not used: " << snapshot::to_string(decoded.error());
    return;
  }
  const snapshot::Snapshot& found = *decoded;
  if (found.source_address != transport::to_string(configuration_.board) && found.source_id.empty()) {
    log_line(Level::kWarning) << "snapshot: not used: it is of the board at " << found.source_address;
    return;
  }
  if (found.last_sequence() <= taker.last()) {
    log_line(Level::kInfo) << "snapshot: not used: the configuration knows event " << taker.last();
    return;
  }
  const Micros age = std::max(milliseconds(0), unix_now() - found.confirmed_at);
  try {
    const protocol::DiscoveryPage page = protocol::read_discovery_page(found.page, configuration_.profile);
    if (gate_) {
      gate_->restore(router_->now(), router_->now() - age, false);
    }
    taker.take(page);
    log_.append(found.page);
    log_.set_source_id(found.source_id);
    snapshot_board_id_ = found.source_id;
    snapshot_used_ = true;
    log_line(Level::kInfo) << "snapshot: taken in, event " << found.last_sequence() << ", surely current "
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

routing::DiscoveryClient::Bounds StartSupport::watcher_bounds() const {
  const Tuning& tuning = configuration_.tuning;
  routing::DiscoveryClient::Bounds bounds;
  bounds.first_poll_immediate = configuration_.start.policy.follow;
  bounds.asking =
      startup::poll_options(configuration_.start.startup, milliseconds(tuning.board_pause_ms),
                            milliseconds(tuning.board_most_pause_ms), milliseconds(tuning.board_linger_ms));
  if (gate_) {
    // In doubt nothing is served as before, so the board has to be heard well within the time that begins it.
    const startup::ReadinessOptions rules = startup::readiness_options(
        configuration_.start.startup, configuration_.profile.settings, held(tuning));
    if (rules.stale_policy != startup::StalePolicy::kServe) {
      bounds.asking.long_poll_timeout =
          std::min(bounds.asking.long_poll_timeout, rules.notification_bound / 2);
      bounds.asking.max_long_poll_timeout = bounds.asking.long_poll_timeout;
    }
    bounds.reset_detection_delay = kAnewAfter;
  }
  if (relay_ && depth_ <= 2) {
    // What it passes on must not be old when it comes. Only the first of a tree, and those that ask it, may
    // be the ones that the tree hangs on; were it all, a lost relay would put the calls of all on the board.
    bounds.asking.long_poll_timeout = std::min(
        bounds.asking.long_poll_timeout, Micros(milliseconds(configuration_.start.relay.most_age_ms)) / 4);
    bounds.asking.max_long_poll_timeout = bounds.asking.long_poll_timeout;
  }
  bounds.grace = milliseconds(tuning.board_grace_ms);
  bounds.relay_linger = milliseconds(configuration_.start.relay.linger_ms);
  bounds.relay_grace = milliseconds(configuration_.start.relay.grace_ms);
  return bounds;
}

routing::DiscoveryClient::Hooks StartSupport::hooks() {
  routing::DiscoveryClient::Hooks hooks;
  hooks.page = [this](const nlohmann::json& page, Micros known_at, const std::string& path) {
    confirmed_steady_ = std::max(confirmed_steady_, known_at);
    const std::uint64_t before = log_.last_sequence();
    if (relay_) {
      relay_->on_page(page, known_at, path);
    } else if (writer_) {
      log_.append(page);
      log_.set_source_id(page.value("board", ""));
    }
    if (writer_) {
      if (log_.last_sequence() != before) {
        writer_->on_changed(steady_ms());
      }
      writer_->on_confirmed();
    }
    if (gate_) {
      const Micros age = std::max(Micros(0), steady() - known_at);
      gate_->on_confirmed(router_->now(), router_->now() - age);
      poke();
    }
  };
  hooks.anew = [this] {
    confirmed_steady_ = Micros(-1);
    log_.replace({{"rev", 0U}, {"notices", nlohmann::json::array()}});
    if (relay_) {
      relay_->reset();
    }
    if (writer_) {
      writer_->on_changed(steady_ms());
    }
    if (gate_) {
      gate_->reset(router_->now());
      poke();
    }
  };
  hooks.askers = [this](std::int64_t askers) {
    size_.observe(askers);
    note_size();
  };
  return hooks;
}

void StartSupport::note_size() {
  if (gate_) {
    gate_->set_fleet_size(size_.routers());
  }
  if (upstream_) {
    upstream_->set_fleet_size(size_.routers());
  }
  if (watcher_ != nullptr) {
    // Of the trees only the first ask the board; a router that has lost its relays is one of all that may
    // have.
    watcher_->fleet_size(root_ ? std::max(1, size_.routers() / std::max(1, tree_size_)) : size_.routers());
  }
}

routing::DiscoveryClient::Relays StartSupport::relays() {
  routing::DiscoveryClient::Relays out;
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

void StartSupport::use(routing::DiscoveryClient& watcher) {
  watcher_ = &watcher;
  note_size();
  if (snapshot_used_) {
    watcher.starts_with(snapshot_board_id_);
  }
}

transport::Task<void> StartSupport::look_after_relay() {
  for (;;) {
    co_await scheduler_.sleep(kLook);
    relay_->drop_stale_polls();
  }
}

transport::Task<void> StartSupport::keep_snapshot() {
  for (;;) {
    co_await scheduler_.sleep(kLook);
    const std::optional<milliseconds> due = writer_->next_write_at();
    if (due && *due <= steady_ms() && confirmed_steady_ >= Micros(0)) {
      write_snapshot();
    }
  }
}

// Made here, written on a thread of its own.
void StartSupport::write_snapshot() {
  const discovery::UnixTime purges_from = unix_now() - purge_retention(configuration_);
  snapshot::Snapshot made;
  made.fleet = configuration_.start.snapshot.fleet;
  made.router = configuration_.name;
  made.source_address = transport::to_string(watcher_ != nullptr ? watcher_->board() : configuration_.board);
  made.source_id = log_.source_id();
  made.saved_at = unix_now();
  made.confirmed_at = made.saved_at - std::chrono::duration_cast<milliseconds>(steady() - confirmed_steady_);
  made.page = log_.compacted_page(purges_from);
  writer_->on_write_started();
  const auto error = std::make_shared<std::string>();
  const auto bytes = std::make_shared<const std::string>(snapshot::encode_snapshot(made));
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
        if (writer_->on_write_finished(steady_ms(), good)) {
          log_line(good ? Level::kInfo : Level::kWarning)
              << "snapshot: " << (good ? "written again" : "cannot be written: " + *error);
        }
      });
}

bool StartSupport::ready() const { return !gate_ || gate_->is_ready(router_->now()); }

std::string StartSupport::status() const {
  if (!gate_ && !relay_ && !upstream_ && !writer_) {
    return {};
  }
  nlohmann::json out;
  if (gate_) {
    out["state"] = startup::to_string(gate_->staleness(router_->now()));
    out["held_back"] = gate_->pending_admissions();
  }
  out["routers"] = size_.routers();
  out["event"] = taker_ != nullptr ? taker_->last() : 0;
  if (watcher_ != nullptr) {
    const routing::DiscoveryClient::Counts& counts = watcher_->counts();
    out["calls"] = counts.calls;
    out["to_relays"] = counts.to_relays;
    out["audits"] = counts.audits;
    out["failed"] = counts.failed;
    out["refused"] = counts.refused;
  }
  if (relay_) {
    out["relayed"] = relay_->long_polls().counts().calls;
  }
  if (confirmed_steady_ >= Micros(0)) {
    out["age_ms"] = std::chrono::duration_cast<milliseconds>(steady() - confirmed_steady_).count();
  }
  return out.dump();
}

}  // namespace trailcourse::program
