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

NodeRules rules_of(const NodeOptions& options, const ClassMap& classes, std::int64_t lookup_ms) {
  NodeRules rules;
  for (const auto& [name, one] : classes) {
    rules.classes[name] = ClassRule{one.fresh_ms, one.use == "kept"};
  }
  rules.fill_from = options.fill_from;
  rules.origin = options.origin;
  rules.most_open = static_cast<std::size_t>(options.open_requests);
  rules.most_bytes = static_cast<std::size_t>(options.in_flight_mb) << 20U;
  rules.most_fills = static_cast<std::size_t>(options.fills);
  rules.most_answer_bytes = static_cast<std::size_t>(options.answer_bytes);
  rules.lookup_ms = lookup_ms;
  return rules;
}

CommandServer::Bounds server_bounds(const NodeOptions& options) {
  CommandServer::Bounds bounds;
  bounds.connections = static_cast<std::size_t>(options.connections);
  bounds.idle = milliseconds(options.idle_ms);
  bounds.connection.most_waiting = static_cast<std::size_t>(options.in_flight_mb) << 20U;
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
           std::int64_t lookup_ms, store::Store& store, std::uint64_t seed)
    : scheduler_(scheduler),
      options_(options),
      store_(store),
      core_(
          rules_of(options, classes, lookup_ms),
          [&store](const store::Name& name, int group) { return store.purged_until(name, group); },
          [this](const std::string& name) { return directory_.find(name).has_value(); }),
      server_(scheduler, *this, server_bounds(options)),
      sources_(scheduler, source_bounds(options),
               [this](FillNumber fill, const FetchResult& result) { fetched(fill, result); }),
      timer_(scheduler, [this] {
        core_.tick(now(), actions_);
        carry_out(actions_);
      }) {
  for (const std::string& source : options.sources) {
    const std::size_t equals = source.find('=');
    const auto address = transport::parse_address(std::string_view(source).substr(equals + 1));
    if (equals != std::string::npos && address) {
      fixed_[source.substr(0, equals)] = *address;
      directory_.set(source.substr(0, equals), *address);
    }
  }
  if (const auto address = transport::parse_address(options.board)) {
    routing::DiscoveryClient::Options bounds;
    bounds.polling.max_backoff = milliseconds(400);
    bounds.reset_detection_delay = Micros(0);  // taking all again changes nothing that is known
    bounds.response_bounds.body_bytes = 64U << 20U;
    board_.emplace(scheduler, *address, *this, profile_, seed, bounds);
  }
}

Moment Node::now() const {
  Moment out;
  out.steady_ms = std::chrono::duration_cast<milliseconds>(Clock::now().time_since_epoch()).count();
  out.unix_ms = store_.unix_ms();
  out.waiting_bytes = server_.waiting_bytes();
  return out;
}

void Node::start() {
  server_.listen(*transport::parse_address(options_.listen));
  if (board_) {
    core_.unheard_before(store_.unix_ms());
  }
  store_.open([this] { opened(); });
  scheduler_.spawn(report_now_and_then());
}

// The board is asked from its first event on: the list of sources is not kept over a restart, purges told
// again change nothing, and those that came while this node was down are among them.
void Node::opened() {
  if (board_) {
    board_->start();
    scheduler_.at(Clock::now() + milliseconds(options_.board_wait_ms), [this] { core_.caught_up(); });
  }
}

void Node::stop() {
  stopping_ = true;
  server_.close_all();
}

void Node::apply(const protocol::DiscoveryPage& page) {
  std::vector<store::PurgeRecord> purges;
  for (const protocol::Notice& notice : page.notices) {
    if (const auto* pool = std::get_if<protocol::EndpointsChanged>(&notice.what)) {
      take(*pool);
    } else if (const auto* flush = std::get_if<protocol::PurgeReceived>(&notice.what)) {
      store::PurgeRecord purge;
      purge.kind = flush->whole_group ? store::PurgeRecord::Kind::kGroup : store::PurgeRecord::Kind::kObject;
      purge.id = flush->whole_group ? flush->group : flush->object;
      purge.purged_unix_ms = flush->at_ms;
      purges.push_back(purge);
    }
  }
  for (const auto& [name, address] : fixed_) {
    directory_.set(name, address);
  }
  heard_ = std::max(page.last, page.highest);
  store_.purge(purges, static_cast<std::int64_t>(heard_));
  if (!std::exchange(board_heard_, true)) {
    log_line(Level::kInfo) << "the notice board was heard, up to event " << heard_;
  }
  core_.caught_up();
}

// Where sources are reached from now on; connections to one that is gone or has moved are dropped.
void Node::take(const protocol::EndpointsChanged& pool) {
  for (const protocol::ListedEndpoint& cache : pool.caches) {
    const std::string& name = cache.entry.address;
    const auto address = transport::parse_address(cache.address);
    if (cache.entry.state == NodeState::kGone || !address) {
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

// A command of owned work is executed only once its term is durable; a former owner is answered that nothing
// was done.
void Node::on_admitted(Ticket ticket, fencing::AdmitResult result) {
  const auto found = fenced_.find(ticket);
  if (found == fenced_.end()) {
    return;  // its connection ended, or it was taken back
  }
  auto [fields, body] = std::move(found->second);
  fenced_.erase(found);
  if (result == fencing::AdmitResult::kAdmitted) {
    if (fields.fence != std::exchange(last_fence_, fields.fence)) {
      log_line(Level::kInfo) << "carries out commands under " << last_fence_;
    }
    core_.arrive(now(), ticket, std::move(fields), std::move(body), actions_);
    carry_out(actions_);
    return;
  }
  const std::string reason = fencing::error_code(result);
  log_line(Level::kWarning) << "refused a command under " << protocol::plain_value(fields.fence) << ": "
                            << reason;
  protocol::CacheAnswer out;
  out.why = reason;
  server_.answer(ticket, protocol::AnswerCode::kVoid, out, nullptr);
}

void Node::serve(Ticket ticket, protocol::ServeFields fields, std::string body) {
  if (!fields.fence.empty()) {
    const std::string fence = fields.fence;
    fenced_.emplace(ticket, std::pair(std::move(fields), std::move(body)));
    if (terms_ != nullptr) {
      terms_->admit(fence, [this, ticket](fencing::AdmitResult result) { on_admitted(ticket, result); });
    } else {
      on_admitted(ticket, fencing::AdmitResult::kNoStorage);
    }
    return;
  }
  core_.arrive(now(), ticket, std::move(fields), std::move(body), actions_);
  carry_out(actions_);
}

void Node::cancel(Ticket ticket) {
  if (fenced_.erase(ticket) > 0) {
    return;
  }
  core_.cancel(now(), ticket, actions_);
  carry_out(actions_);
}

void Node::fetched(FillNumber fill, const FetchResult& result) {
  // A time that cannot be is no time: how old the copy is cannot be told, so it is not given out.
  const bool absurd = result.fields.t0_ms > 0 && !store_.observe_origin_time(result.fields.t0_ms);
  if (absurd) {
    log_line(Level::kWarning) << "a source gave a copy from the future, " << result.fields.t0_ms << " ms";
    FetchResult spoilt;
    spoilt.end = FetchResult::End::kSpoilt;
    core_.fetched(now(), fill, spoilt, actions_);
  } else {
    core_.fetched(now(), fill, result, actions_);
  }
  carry_out(actions_);
}

// Actions may bring about events at once, whose actions are appended and carried out in their turn.
void Node::carry_out(std::vector<Action>& actions) {
  if (std::exchange(carrying_out_, true)) {
    return;
  }
  for (std::size_t i = 0; i < actions.size(); ++i) {
    const Action action = std::move(actions[i]);
    std::visit([this](const auto& one) { perform(one); }, action);
  }
  actions.clear();
  carrying_out_ = false;
  set_timer();
}

void Node::perform(const Answer& answer) {
  server_.answer(answer.request, answer.word, answer.fields, answer.body, answer.part);
}

void Node::perform(const LookUp& look_up) {
  store::Store::LookupResult found = store_.find(look_up.name, look_up.rank);
  if (found.tier != store::Store::Tier::kDisk) {
    store::ReadResult result;
    if (found.tier == store::Store::Tier::kMemory) {
      result.status = store::ReadStatus::kComplete;
      result.copy = std::move(found.copy);
    }
    core_.looked_up(now(), look_up.request, result, actions_);
    return;
  }
  const RequestNumber request = look_up.request;
  readings_[request] = store_.read(look_up.name, [this, look_up](const store::ReadResult& result) {
    readings_.erase(look_up.request);
    if (result.status == store::ReadStatus::kComplete) {
      store_.promote(look_up.name, result.copy, look_up.rank);
    }
    core_.looked_up(now(), look_up.request, result, actions_);
    carry_out(actions_);
  });
}

void Node::perform(const GiveUpLookUp& give_up) {
  const auto found = readings_.find(give_up.request);
  if (found != readings_.end()) {
    store_.abandon_read(found->second, give_up.late);
    readings_.erase(found);
  }
}

void Node::perform(const Fetch& fetch) {
  const std::optional<transport::Address> address = directory_.find(fetch.source);
  if (!address) {
    scheduler_.post([this, fill = fetch.fill] {
      FetchResult result;
      result.end = FetchResult::End::kUnreachable;
      fetched(fill, result);
    });
    return;
  }
  sources_.fetch(fetch.fill, fetch.source, *address, fetch.fields, fetch.body);
}

void Node::perform(const TooLarge& object) {
  log_line(Level::kWarning) << "object " << object.item << '/' << object.chunk << " holds " << object.bytes
                            << " bytes, an answer " << object.most
                            << " at most (answer_bytes): answered ERR, not kept";
}

void Node::perform(const Complete& complete) {
  store_.complete(complete.name, *complete.partial, complete.had, complete.rank);
}

void Node::set_timer() {
  const std::optional<std::int64_t> due = core_.next_due();
  std::optional<Clock::time_point> when;
  if (due) {
    when.emplace(std::chrono::duration_cast<Clock::duration>(milliseconds(*due)));
  }
  timer_.set(when);
}

std::string Node::meter() const {
  char text[96];
  const NodeCounts& counts = core_.counts();
  const double looked = static_cast<double>(std::max<std::uint64_t>(1, counts.hits + counts.fills));
  std::snprintf(text, sizeof text, "inflight:%zu;util:%.3f;x0:%.3f;x1:%zu", core_.open(),
                core_.utilisation(server_.waiting_bytes()), static_cast<double>(counts.hits) / looked,
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
  add("refused", counts.refused);
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
  if (terms_ != nullptr) {
    add("fenced_admitted", terms_->counts().admitted);
    add("fenced_refused", terms_->counts().rejected + terms_->counts().other_store);
  }
  return out + " disk=" + store::to_string(store_.disk_state());
}

transport::Task<void> Node::report_now_and_then() {
  for (;;) {
    co_await scheduler_.sleep(std::chrono::seconds(options_.report_s));
    log_line(Level::kInfo) << report();
  }
}

}  // namespace trailcourse::cache_node
