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

constexpr milliseconds kCheckInterval{20};
// A sequence number that stays lower than before for less than this may come from a stale replica of the
// discovery service.
constexpr Micros kResetDetectionDelay = std::chrono::seconds(5);
constexpr milliseconds kPurgeMargin{2'000};
// Of the purges that connected caches have applied, how many a snapshot keeps for caches that are cut off.
constexpr std::size_t kSnapshotPurges = 512;
// XORed with the seed of the router, so that each part has independent random numbers.
constexpr std::uint64_t kEndpointViewSeed = 0x9e3779b97f4a7c15ULL;
constexpr std::uint64_t kRelaySelectorSeed = 0xc2b2ae3d27d4eb4fULL;
constexpr std::uint64_t kRelaySeed = 0x165667b19e3779f9ULL;
constexpr std::uint64_t kWriteSchedulerSeed = 0x27d4eb2f165667c5ULL;

discovery::UnixTime unix_now() { return std::chrono::floor<milliseconds>(std::chrono::system_clock::now()); }
milliseconds steady_now_ms() {
  return std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch());
}
Micros steady_now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

// Returns the maximum duration of a successful poll of the discovery service.
Micros max_poll_duration(const Tuning& tuning) {
  return milliseconds(tuning.board_linger_ms + tuning.board_grace_ms);
}

std::string peer_name(const std::string& peer) { return peer.substr(0, peer.find('=')); }

// Returns how long a purge is always relayed and stored: until connected caches have applied it, and a
// margin.
milliseconds purge_retention(const Configuration& configuration) {
  return std::chrono::duration_cast<milliseconds>(configuration.deployment.settings.purge_done) +
         kPurgeMargin;
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
      fleet_size_(configuration.start.startup.routers, configuration.deployment.settings.routers),
      timer_(scheduler, [this] { step_router(); }) {
  const StartSections& start = configuration.start;
  if (start.has_startup) {
    endpoint_view_.emplace(
        startup::admission_options(start.startup, static_cast<int>(configuration.tuning.cache_connections)),
        startup::readiness_options(start.startup, configuration.deployment.settings,
                                   max_poll_duration(configuration.tuning)),
        configuration.seed ^ kEndpointViewSeed);
    endpoint_view_->set_fleet_size(fleet_size_.routers());
  }
  if (start.has_relay && !start.relay.peers.empty()) {
    std::vector<std::string> names;
    names.reserve(start.relay.peers.size());
    for (const std::string& peer : start.relay.peers) {
      names.push_back(peer_name(peer));
    }
    const startup::RelayTree tree(configuration.name, names, static_cast<int>(start.relay.degree));
    relay_selector_.emplace(relay_selector_options(start.relay), tree.ancestors(),
                            configuration.seed ^ kRelaySelectorSeed);
    tree_size_ = static_cast<int>(tree.size());
    is_tree_root_ = tree.position() == 0;
    tree_depth_ = tree.depth();
  }
  if (start.has_relay && !start.relay.listen.empty()) {
    relay_.emplace(scheduler, configuration.name, log_, relay_options(configuration),
                   configuration.seed ^ kRelaySeed);
  }
}

StartSupport::~StartSupport() = default;

void StartSupport::collect_due_events(Micros now, std::vector<Event>& out) {
  if (endpoint_view_) {
    endpoint_view_->step(now, out);
  }
}

int StartSupport::max_connections_per_peer(int default_max) const {
  return endpoint_view_ ? endpoint_view_->max_connections() : default_max;
}

// Sends the decision module an event without changes, before which it handles the events that are due.
void StartSupport::step_router() {
  router_->list_received(EndpointListReceived{ListKind::kChanges, {}});
  set_timer();
}

void StartSupport::set_timer() {
  const std::optional<Micros> due =
      endpoint_view_ ? endpoint_view_->next_step_at(router_->now()) : std::nullopt;
  std::optional<Clock::time_point> time;
  if (due) {
    time = scheduler_.iteration_time() + (*due - router_->now());
  }
  timer_.set(time);
}

void StartSupport::initialize(routing::Router& router, routing::DiscoveryUpdateHandler& update_handler) {
  router_ = &router;
  update_handler_ = &update_handler;
  if (endpoint_view_) {
    update_handler.set_list_receiver([this](const EndpointListReceived& list) {
      endpoint_view_->on_list(router_->now(), list);
      step_router();
    });
    if (!configuration_.known.updates.empty()) {
      endpoint_view_->restore(router.now(), router.now(), true);
    }
  }
  update_handler.apply(configuration_.known);
  try {
    log_.replace(nlohmann::json::parse(configuration_.known_text));
  } catch (const std::exception& error) {
    // The valid part of it was applied above; the relay starts with the first page of the discovery service.
    log_line(Level::kDebug) << "relay: the configuration's key known is not relayed: " << error.what();
  }
  if (configuration_.start.has_snapshot && !configuration_.start.snapshot.folder.empty()) {
    load_snapshot(update_handler);
  }
}

// An invalid snapshot is logged and the router starts without it.
void StartSupport::load_snapshot(routing::DiscoveryUpdateHandler& update_handler) {
  const snapshot::SnapshotOptions& options = configuration_.start.snapshot;
  try {
    snapshot_directory_.emplace(options.folder);
  } catch (const std::system_error& error) {
    log_line(Level::kWarning) << "snapshot: " << error.what() << ": starting without snapshots";
    return;
  }
  write_scheduler_.emplace(options, configuration_.seed ^ kWriteSchedulerSeed);
  mailbox_ = std::make_unique<transport::Mailbox>(scheduler_);
  pool_ = std::make_unique<store::IoPool>(
      1, [this](std::function<void()> job) { mailbox_->post(std::move(job)); });
  scheduler_.spawn(write_snapshots());
  std::optional<std::string> bytes;
  try {
    bytes = snapshot_directory_->load();
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
  const snapshot::Snapshot& loaded = *decoded;
  if (loaded.source_address != transport::to_string(configuration_.discovery_address) &&
      loaded.source_id.empty()) {
    log_line(Level::kWarning) << "snapshot: not used: it is of the discovery service at "
                              << loaded.source_address;
    return;
  }
  if (loaded.last_sequence() <= update_handler.last_sequence()) {
    log_line(Level::kInfo) << "snapshot: not used: the configuration already has event "
                           << update_handler.last_sequence();
    return;
  }
  const Micros age = std::max(milliseconds(0), unix_now() - loaded.confirmed_at);
  try {
    const protocol::DiscoveryPage page =
        protocol::read_discovery_page(loaded.page, configuration_.deployment);
    if (endpoint_view_) {
      endpoint_view_->restore(router_->now(), router_->now() - age, false);
    }
    update_handler.apply(page);
    log_.append(loaded.page);
    log_.set_source_id(loaded.source_id);
    snapshot_source_id_ = loaded.source_id;
    snapshot_used_ = true;
    log_line(Level::kInfo) << "snapshot: loaded, event " << loaded.last_sequence() << ", last confirmed "
                           << std::chrono::duration_cast<milliseconds>(age).count() << " ms ago";
  } catch (const std::exception& error) {
    log_line(Level::kWarning) << "snapshot: not used: " << error.what();
  }
}

void StartSupport::listen() {
  if (relay_) {
    const transport::Address address = *transport::parse_address(configuration_.start.relay.listen);
    relay_->listen(address);
    scheduler_.spawn(reject_stale_polls_periodically());
    log_line(Level::kInfo) << "relay: serves pages at " << transport::to_string(address);
  }
}

routing::DiscoveryClient::Options StartSupport::discovery_options() const {
  const Tuning& tuning = configuration_.tuning;
  routing::DiscoveryClient::Options options;
  options.first_poll_immediate = configuration_.start.policy.follow;
  options.polling =
      startup::poll_options(configuration_.start.startup, milliseconds(tuning.board_pause_ms),
                            milliseconds(tuning.board_most_pause_ms), milliseconds(tuning.board_linger_ms));
  if (endpoint_view_) {
    // A stale list limits what is served, so a response has to arrive well before the list becomes stale.
    const startup::ReadinessOptions readiness = startup::readiness_options(
        configuration_.start.startup, configuration_.deployment.settings, max_poll_duration(tuning));
    if (readiness.stale_policy != startup::StalePolicy::kServe) {
      options.polling.long_poll_timeout =
          std::min(options.polling.long_poll_timeout, readiness.notification_bound / 2);
      options.polling.max_long_poll_timeout = options.polling.long_poll_timeout;
    }
    options.reset_detection_delay = kResetDetectionDelay;
  }
  if (relay_ && tree_depth_ <= 2) {
    // A relay's pages must not be old on arrival. The shorter timeout is limited to the root of the tree and
    // the routers that poll it: with it on all levels, a lost relay would move the polls of all routers to
    // the discovery service.
    options.polling.long_poll_timeout = std::min(
        options.polling.long_poll_timeout, Micros(milliseconds(configuration_.start.relay.most_age_ms)) / 4);
    options.polling.max_long_poll_timeout = options.polling.long_poll_timeout;
  }
  options.response_grace = milliseconds(tuning.board_grace_ms);
  options.relay_long_poll_timeout = milliseconds(configuration_.start.relay.linger_ms);
  options.relay_grace = milliseconds(configuration_.start.relay.grace_ms);
  return options;
}

routing::DiscoveryClient::Hooks StartSupport::discovery_hooks() {
  routing::DiscoveryClient::Hooks hooks;
  hooks.on_page = [this](const nlohmann::json& page, Micros known_at, const std::string& path) {
    confirmed_at_ = std::max(confirmed_at_, known_at);
    const std::uint64_t previous = log_.last_sequence();
    if (relay_) {
      relay_->on_page(page, known_at, path);
    } else if (write_scheduler_) {
      log_.append(page);
      log_.set_source_id(page.value("board", ""));
    }
    if (write_scheduler_) {
      if (log_.last_sequence() != previous) {
        write_scheduler_->on_changed(steady_now_ms());
      }
      write_scheduler_->on_confirmed();
    }
    if (endpoint_view_) {
      const Micros age = std::max(Micros(0), steady_now() - known_at);
      endpoint_view_->on_confirmed(router_->now(), router_->now() - age);
      step_router();
    }
  };
  hooks.on_sequence_reset = [this] {
    confirmed_at_ = Micros(-1);
    log_.replace({{"rev", 0U}, {"notices", nlohmann::json::array()}});
    if (relay_) {
      relay_->reset();
    }
    if (write_scheduler_) {
      write_scheduler_->on_changed(steady_now_ms());
    }
    if (endpoint_view_) {
      endpoint_view_->reset(router_->now());
      step_router();
    }
  };
  hooks.on_poller_count = [this](std::int64_t pollers) {
    fleet_size_.observe(pollers);
    update_fleet_size();
  };
  return hooks;
}

void StartSupport::update_fleet_size() {
  if (endpoint_view_) {
    endpoint_view_->set_fleet_size(fleet_size_.routers());
  }
  if (relay_selector_) {
    relay_selector_->set_fleet_size(fleet_size_.routers());
  }
  if (discovery_client_ != nullptr) {
    // Only the roots of the relay trees poll the discovery service. Any router may poll it after it lost its
    // relays.
    discovery_client_->set_fleet_size(
        is_tree_root_ ? std::max(1, fleet_size_.routers() / std::max(1, tree_size_)) : fleet_size_.routers());
  }
}

routing::DiscoveryClient::Relays StartSupport::discovery_relays() {
  routing::DiscoveryClient::Relays out;
  out.self = configuration_.name;
  if (relay_selector_) {
    for (const std::string& peer : configuration_.start.relay.peers) {
      if (const auto address = transport::parse_address(peer.substr(peer.find('=') + 1))) {
        out.addresses[peer_name(peer)] = *address;
      }
    }
    out.selector = &*relay_selector_;
  }
  return out;
}

void StartSupport::set_discovery_client(routing::DiscoveryClient& client) {
  discovery_client_ = &client;
  update_fleet_size();
  if (snapshot_used_) {
    client.restore_server_id(snapshot_source_id_);
  }
}

transport::Task<void> StartSupport::reject_stale_polls_periodically() {
  for (;;) {
    co_await scheduler_.sleep(kCheckInterval);
    relay_->reject_polls_if_stale();
  }
}

transport::Task<void> StartSupport::write_snapshots() {
  for (;;) {
    co_await scheduler_.sleep(kCheckInterval);
    const std::optional<milliseconds> due = write_scheduler_->next_write_at();
    if (due && *due <= steady_now_ms() && confirmed_at_ >= Micros(0)) {
      write_snapshot();
    }
  }
}

// Encodes the snapshot on this thread and writes it on the pool's.
void StartSupport::write_snapshot() {
  const discovery::UnixTime purges_from = unix_now() - purge_retention(configuration_);
  snapshot::Snapshot snapshot;
  snapshot.fleet = configuration_.start.snapshot.fleet;
  snapshot.router = configuration_.name;
  snapshot.source_address = transport::to_string(
      discovery_client_ != nullptr ? discovery_client_->server() : configuration_.discovery_address);
  snapshot.source_id = log_.source_id();
  snapshot.saved_at = unix_now();
  snapshot.confirmed_at =
      snapshot.saved_at - std::chrono::duration_cast<milliseconds>(steady_now() - confirmed_at_);
  snapshot.page = log_.compacted_page(purges_from, kSnapshotPurges);
  write_scheduler_->on_write_started();
  const auto error = std::make_shared<std::string>();
  const auto bytes = std::make_shared<const std::string>(snapshot::encode_snapshot(snapshot));
  pool_->run(
      store::Executor::Lane::kWrite,
      [this, bytes, error] {
        try {
          snapshot_directory_->store(*bytes);
        } catch (const std::exception& thrown) {
          *error = thrown.what();
        }
      },
      [this, error] {
        const bool succeeded = error->empty();
        if (write_scheduler_->on_write_finished(steady_now_ms(), succeeded)) {
          log_line(succeeded ? Level::kInfo : Level::kWarning)
              << "snapshot: "
              << (succeeded ? "written again after a failure" : "cannot be written: " + *error);
        }
      });
}

bool StartSupport::ready() const { return !endpoint_view_ || endpoint_view_->is_ready(router_->now()); }

std::string StartSupport::status() const {
  if (!endpoint_view_ && !relay_ && !relay_selector_ && !write_scheduler_) {
    return {};
  }
  nlohmann::json out;
  if (endpoint_view_) {
    out["state"] = startup::to_string(endpoint_view_->staleness(router_->now()));
    out["held_back"] = endpoint_view_->pending_admissions();
  }
  out["routers"] = fleet_size_.routers();
  out["event"] = update_handler_ != nullptr ? update_handler_->last_sequence() : 0;
  if (discovery_client_ != nullptr) {
    const routing::DiscoveryClient::Counts& counts = discovery_client_->counts();
    out["calls"] = counts.calls;
    out["to_relays"] = counts.to_relays;
    out["audits"] = counts.audits;
    out["failed"] = counts.failed;
    out["late"] = counts.late;
    out["refused"] = counts.rejected;
  }
  if (relay_) {
    out["relayed"] = relay_->long_polls().counts().calls;
  }
  if (confirmed_at_ >= Micros(0)) {
    out["age_ms"] = std::chrono::duration_cast<milliseconds>(steady_now() - confirmed_at_).count();
  }
  return out.dump();
}

}  // namespace trailcourse::program
