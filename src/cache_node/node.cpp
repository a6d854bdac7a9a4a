#include "cache_node/node.h"

#include <algorithm>
#include <cstdio>
#include <utility>
#include <variant>

#include "transport/log.h"

namespace trailcourse::cache_node {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

NodeCoreOptions core_options(const NodeOptions& options, const ClassMap& classes,
                             std::int64_t lookup_timeout_ms) {
  NodeCoreOptions out;
  for (const auto& [name, one] : classes) {
    out.classes[name] = ClassRule{one.fresh_ms, one.use == "kept"};
  }
  out.fill_from = options.fill_from;
  out.origin = options.origin;
  out.max_open_requests = static_cast<std::size_t>(options.open_requests);
  out.max_in_flight_bytes = static_cast<std::size_t>(options.in_flight_mb) << 20U;
  out.max_fills = static_cast<std::size_t>(options.fills);
  out.max_answer_bytes = static_cast<std::size_t>(options.answer_bytes);
  out.lookup_timeout_ms = lookup_timeout_ms;
  return out;
}

CommandServer::Bounds server_bounds(const NodeOptions& options) {
  CommandServer::Bounds bounds;
  bounds.connections = static_cast<std::size_t>(options.connections);
  bounds.idle = milliseconds(options.idle_ms);
  bounds.connection.max_unsent_bytes = static_cast<std::size_t>(options.in_flight_mb) << 20U;
  return bounds;
}

SourceClient::Bounds source_bounds(const NodeOptions& options) {
  SourceClient::Bounds bounds;
  bounds.pool.connections_per_peer = static_cast<int>(options.source_connections);
  bounds.pool.idle = milliseconds(options.idle_ms) / 2;
  bounds.pool.connection.connect_timeout = milliseconds(options.connect_ms);
  bounds.answer_bytes = static_cast<std::size_t>(options.value_kb) << 10U;
  return bounds;
}

}  // namespace

Node::Node(transport::Scheduler& scheduler, const NodeOptions& options, const ClassMap& classes,
           std::int64_t lookup_timeout_ms, store::Store& store, std::uint64_t seed)
    : scheduler_(scheduler),
      options_(options),
      store_(store),
      core_(
          core_options(options, classes, lookup_timeout_ms),
          [&store](const store::Name& name, int group) { return store.purged_until(name, group); },
          [this](const std::string& name) { return directory_.find(name).has_value(); }),
      server_(scheduler, *this, server_bounds(options)),
      sources_(scheduler, source_bounds(options),
               [this](FillNumber fill, const FetchResult& result) { on_fetch_result(fill, result); }),
      timer_(scheduler, [this] {
        core_.tick(now(), actions_);
        run_actions(actions_);
      }) {
  for (const std::string& source : options.sources) {
    const std::size_t equals = source.find('=');
    const auto address = transport::parse_address(std::string_view(source).substr(equals + 1));
    if (equals != std::string::npos && address) {
      configured_sources_[source.substr(0, equals)] = *address;
      directory_.set(source.substr(0, equals), *address);
    }
  }
  if (const auto address = transport::parse_address(options.board)) {
    routing::DiscoveryClient::Options bounds;
    bounds.polling.max_backoff = milliseconds(400);
    bounds.reset_detection_delay = Micros(0);  // receiving all events again changes no state
    bounds.response_bounds.body_bytes = 64U << 20U;
    routing::DiscoveryClient::Hooks hooks;
    hooks.on_page = [this](const nlohmann::json&, Micros known_at, const std::string&) {
      events_known_at_ = std::max(events_known_at_.value_or(known_at), known_at);
    };
    discovery_.emplace(scheduler, *address, *this, deployment_, seed, bounds, std::move(hooks),
                       routing::DiscoveryClient::Relays());
  }
}

EventContext Node::now() const {
  EventContext out;
  out.steady_ms = std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
  out.unix_ms = store_.unix_ms();
  out.waiting_bytes = server_.waiting_bytes();
  return out;
}

void Node::start() {
  server_.listen(*transport::parse_address(options_.listen));
  if (discovery_) {
    core_.distrust_copies_before(store_.unix_ms());
    core_.set_awaiting_sources(true);
  }
  store_.open([this] { on_store_opened(); });
  scheduler_.spawn(report_periodically());
}

// Polls the discovery service from its first event on: the endpoint list is not stored across restarts, and
// the node may have missed purge events while it was down. Receiving a purge event again changes nothing. No
// time without a response makes the copies from before the start safe to serve: routers stop limiting the age
// of a purged object once all caches should have dropped it.
void Node::on_store_opened() {
  if (discovery_) {
    discovery_->start();
    scheduler_.at(Clock::now() + milliseconds(options_.board_wait_ms), [this] { on_board_wait_over(); });
  }
}

void Node::on_board_wait_over() {
  core_.set_awaiting_sources(false);
  if (!discovery_received_) {
    log_line(Level::kWarning) << "the discovery service has not responded since the start: copies from "
                                 "before it count as missing";
  }
}

void Node::stop() {
  stopping_ = true;
  server_.close_all();
}

void Node::apply(const protocol::DiscoveryPage& page) {
  std::vector<store::PurgeRecord> purges;
  for (const protocol::DiscoveryUpdate& update : page.updates) {
    if (const auto* endpoints = std::get_if<protocol::EndpointsChanged>(&update.change)) {
      apply_endpoints(*endpoints);
    } else if (const auto* received = std::get_if<protocol::PurgeReceived>(&update.change)) {
      store::PurgeRecord purge;
      purge.kind =
          received->whole_group ? store::PurgeRecord::Kind::kGroup : store::PurgeRecord::Kind::kObject;
      purge.id = received->whole_group ? received->group : received->object;
      purge.purged_unix_ms = received->purged_unix_ms;
      purges.push_back(purge);
    }
  }
  for (const auto& [name, address] : configured_sources_) {
    directory_.set(name, address);
  }
  last_sequence_ = std::max(page.last_sequence, page.highest_sequence);
  store_.purge(purges, static_cast<std::int64_t>(last_sequence_));
  if (!std::exchange(discovery_received_, true)) {
    log_line(Level::kInfo) << "received discovery events up to " << last_sequence_;
  }
  core_.trust_all_copies();
  core_.set_awaiting_sources(false);
}

// Updates the addresses of sources and drops the connections to those that are gone or have moved.
void Node::apply_endpoints(const protocol::EndpointsChanged& change) {
  for (const protocol::ListedEndpoint& listed : change.endpoints) {
    const std::string& name = listed.endpoint.address;
    const auto address = transport::parse_address(listed.network_address);
    if (listed.endpoint.state == NodeState::kGone || !address) {
      sources_.drop(name);
      directory_.remove(name);
      continue;
    }
    if (directory_.find(name) != address) {
      sources_.drop(name);
    }
    directory_.set(name, *address);
  }
}

// Executes a command whose fencing token was admitted and is durable. Otherwise, for example if the sender is
// a former lease holder, answers VOID: nothing was executed.
void Node::on_admitted(Ticket ticket, fencing::AdmitResult result) {
  const auto found = awaiting_admission_.find(ticket);
  if (found == awaiting_admission_.end()) {
    return;  // cancelled, or its connection has ended
  }
  auto [fields, body] = std::move(found->second);
  awaiting_admission_.erase(found);
  if (result == fencing::AdmitResult::kAdmitted) {
    if (fields.fence != std::exchange(last_logged_token_, fields.fence)) {
      log_line(Level::kInfo) << "executes commands under fencing token " << last_logged_token_;
    }
    core_.on_request(now(), ticket, std::move(fields), std::move(body), actions_);
    run_actions(actions_);
    return;
  }
  const std::string reason = fencing::error_code(result);
  log_line(Level::kWarning) << "rejected a command under fencing token "
                            << protocol::plain_value(fields.fence) << ": " << reason;
  protocol::CacheAnswer out;
  out.error_reason = reason;
  server_.answer(ticket, protocol::AnswerCode::kVoid, out, nullptr);
}

void Node::serve(Ticket ticket, protocol::ServeFields fields, std::string body) {
  if (!fields.fence.empty()) {
    const std::string fence = fields.fence;
    awaiting_admission_.emplace(ticket, std::pair(std::move(fields), std::move(body)));
    if (token_store_ != nullptr) {
      token_store_->admit(fence,
                          [this, ticket](fencing::AdmitResult result) { on_admitted(ticket, result); });
    } else {
      on_admitted(ticket, fencing::AdmitResult::kNoStorage);
    }
    return;
  }
  core_.on_request(now(), ticket, std::move(fields), std::move(body), actions_);
  run_actions(actions_);
}

void Node::cancel(Ticket ticket) {
  if (awaiting_admission_.erase(ticket) > 0) {
    return;
  }
  core_.cancel(now(), ticket, actions_);
  run_actions(actions_);
}

void Node::on_fetch_result(FillNumber fill, const FetchResult& result) {
  // With an implausible origin time the age of the copy is unknown, so it is not served.
  const bool implausible =
      result.fields.origin_time_ms > 0 && !store_.observe_origin_time(result.fields.origin_time_ms);
  if (implausible) {
    log_line(Level::kWarning) << "a source sent a copy with an origin time in the future: "
                              << result.fields.origin_time_ms << " ms";
    FetchResult malformed;
    malformed.end = FetchResult::End::kMalformed;
    core_.on_fetch_result(now(), fill, malformed, actions_);
  } else {
    core_.on_fetch_result(now(), fill, result, actions_);
  }
  run_actions(actions_);
}

// Executes the actions in order. An action may cause an event at once, whose actions are appended and
// executed by the same loop.
void Node::run_actions(std::vector<Action>& actions) {
  if (std::exchange(running_actions_, true)) {
    return;
  }
  for (std::size_t i = 0; i < actions.size(); ++i) {
    const Action action = std::move(actions[i]);
    std::visit([this](const auto& one) { perform(one); }, action);
  }
  actions.clear();
  running_actions_ = false;
  set_timer();
}

void Node::perform(const Answer& answer) {
  server_.answer(answer.request, answer.code, answer.fields, answer.body, answer.range);
}

void Node::perform(const Lookup& lookup) {
  store::Store::LookupResult found = store_.find(lookup.name, lookup.rank);
  if (found.tier != store::Store::Tier::kDisk) {
    store::ReadResult result;
    if (found.tier == store::Store::Tier::kMemory) {
      result.status = store::ReadStatus::kComplete;
      result.copy = std::move(found.copy);
    }
    core_.on_lookup_result(now(), lookup.request, result, actions_);
    return;
  }
  const RequestNumber request = lookup.request;
  disk_reads_[request] = store_.read(lookup.name, [this, lookup](const store::ReadResult& result) {
    disk_reads_.erase(lookup.request);
    if (result.status == store::ReadStatus::kComplete) {
      store_.promote(lookup.name, result.copy, lookup.rank);
    }
    core_.on_lookup_result(now(), lookup.request, result, actions_);
    run_actions(actions_);
  });
}

void Node::perform(const AbandonLookup& abandoned) {
  const auto found = disk_reads_.find(abandoned.request);
  if (found != disk_reads_.end()) {
    store_.abandon_read(found->second, abandoned.timed_out);
    disk_reads_.erase(found);
  }
}

void Node::perform(const Fetch& fetch) {
  const std::optional<transport::Address> address = directory_.find(fetch.source);
  if (!address) {
    scheduler_.post([this, fill = fetch.fill] {
      FetchResult result;
      result.end = FetchResult::End::kUnreachable;
      on_fetch_result(fill, result);
    });
    return;
  }
  sources_.fetch(fetch.fill, fetch.source, *address, fetch.fields, fetch.body);
}

void Node::perform(const ObjectTooLarge& object) {
  log_line(Level::kWarning) << "object " << object.item << '/' << object.chunk << " has " << object.bytes
                            << " bytes, more than the limit of " << object.max_bytes
                            << " (answer_bytes): answered ERR, not stored";
}

void Node::perform(const CompletePartialCopy& complete) {
  store_.complete(complete.name, *complete.partial, complete.initial_parts, complete.rank);
}

void Node::set_timer() {
  const std::optional<std::int64_t> due = core_.next_deadline_ms();
  std::optional<Clock::time_point> when;
  if (due) {
    when.emplace(std::chrono::duration_cast<Clock::duration>(milliseconds(*due)));
  }
  timer_.set(when);
}

std::string Node::load_report() const {
  char text[96];
  const NodeCounts& counts = core_.counts();
  const double lookups = static_cast<double>(std::max<std::uint64_t>(1, counts.hits + counts.fills));
  std::snprintf(text, sizeof text, "inflight:%zu;util:%.3f;x0:%.3f;x1:%zu", core_.open_requests(),
                core_.utilisation(server_.waiting_bytes()), static_cast<double>(counts.hits) / lookups,
                core_.fills());
  return text;
}

std::string Node::report() const {
  const NodeCounts& counts = core_.counts();
  const store::Stats stats = store_.stats();
  std::string out;
  const auto add = [&out](const char* name, std::uint64_t value) {
    out += (out.empty() ? "" : " ") + std::string(name) + "=" + std::to_string(value);
  };
  add("requests", counts.requests);
  add("hits", counts.hits);
  add("hits_memory", stats.hits_memory);
  add("hits_disk", stats.hits_disk);
  add("fills", counts.fills);
  add("joined", counts.joined);
  add("fill_bytes", counts.fill_bytes);
  add("misses", counts.misses);
  add("busy", counts.busy);
  add("errors", counts.errors);
  add("refused", counts.rejected);
  add("too_old", counts.too_old);
  add("too_large", counts.too_large);
  add("late_lookups", counts.late_lookups);
  add("memory_copies", stats.memory_copies);
  add("disk_records", stats.disk_copies);
  add("disk_bytes", stats.disk_bytes);
  add("file_bytes", stats.file_bytes);
  add("written_bytes", stats.written_bytes);
  add("writes_shed", stats.writes_shed);
  add("read_failures", stats.read_failures);
  if (events_known_at_) {
    const Micros now = std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch());
    const auto age = std::chrono::duration_cast<milliseconds>(std::max(Micros(0), now - *events_known_at_));
    add("event", last_sequence_);
    add("event_age_ms", static_cast<std::uint64_t>(age.count()));
  }
  if (token_store_ != nullptr) {
    add("fenced_admitted", token_store_->counts().admitted);
    add("fenced_refused", token_store_->counts().rejected + token_store_->counts().other_store);
  }
  return out + " disk=" + store::to_string(store_.disk_state());
}

transport::Task<void> Node::report_periodically() {
  for (;;) {
    co_await scheduler_.sleep(std::chrono::seconds(options_.report_s));
    log_line(Level::kInfo) << report();
  }
}

}  // namespace trailcourse::cache_node
