#include "coordination/etcd_store.h"

#include <algorithm>
#include <utility>

#include "protocol/http_client.h"
#include "protocol/numbers.h"
#include "transport/log.h"

namespace trailcourse::coordination {

using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;

namespace {

constexpr std::size_t kCallConnections = 2;
constexpr std::size_t kMostQueued = 256;
constexpr int kOkay = 200;
constexpr std::string_view kLeasePaths = "/v3/lease/";

// The ends of a connection on which nothing can have been written.
bool never_up(ConnectionEnd end) {
  return end == ConnectionEnd::kRefused || end == ConnectionEnd::kConnectTimeout ||
         end == ConnectionEnd::kUnreachable || end == ConnectionEnd::kNoDescriptor;
}

Micros now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

}  // namespace

// One connection: keeps what was read until the coroutine that waits takes it.
class EtcdStore::Link : public Connection::Handler {
 public:
  Link(transport::Scheduler& scheduler, const protocol::http::Bounds& bounds)
      : changed(scheduler), parser(bounds) {}

  void on_bytes(std::string_view bytes) override {
    parser.feed(bytes);
    changed.notify();
  }
  void on_end(ConnectionEnd how) override {
    parser.feed_end();
    end = how;
    changed.notify();
  }
  bool usable() const { return !end && !parser.failed(); }

  transport::Signal changed;
  protocol::http::ResponseParser parser;
  std::optional<ConnectionEnd> end;
  std::shared_ptr<Connection> connection;
  std::size_t endpoint = 0;
};

struct EtcdStore::Call {
  std::string path;
  std::string body;
  Clock::time_point due;
  bool urgent = false;
  std::function<void(Raw)> then;
};

struct EtcdStore::Watching {
  explicit Watching(transport::Scheduler& scheduler) : wake(scheduler) {}

  Range range;
  WatchObserver* watcher = nullptr;
  WatchProgress progress;
  bool ended = false;
  bool moved = false;  // calls go to another endpoint: it goes on there, at once
  transport::Signal wake;
  std::shared_ptr<Link> link;
};

struct EtcdStore::State {
  State(transport::Scheduler& told, const CoordinationOptions& given, std::uint64_t seed)
      : scheduler(told),
        options(given),
        identity(protocol::read_number<std::uint64_t>(given.store_id).value_or(0)),
        endpoints(given.endpoints.size(), milliseconds(given.rest_ms), milliseconds(given.longest_rest_ms),
                  seed) {
    for (const std::string& one : given.endpoints) {
      addresses.push_back(transport::parse_address(one).value_or(transport::Address{}));
    }
  }

  std::shared_ptr<Link> open(std::size_t endpoint) {
    protocol::http::Bounds bounds;
    bounds.body_bytes = 64U << 20U;
    auto link = std::make_shared<Link>(scheduler, bounds);
    Connection::Bounds connection;
    connection.connect_timeout = milliseconds(options.connect_ms);
    link->endpoint = endpoint;
    link->connection = Connection::connect(scheduler, addresses[endpoint], connection);
    link->connection->start(link);
    return link;
  }
  void worked(std::size_t endpoint) {
    endpoints.on_success(endpoint);
    move_watches();
  }
  void failed(std::size_t endpoint) {
    endpoints.on_failure(endpoint, now());
    move_watches();
  }
  // A watch on an endpoint that calls have left may tell nothing for as long as it stands.
  void move_watches() {
    const auto endpoint = endpoints.select(now());
    for (const auto& [id, watching] : watches) {
      if (endpoint && watching->link && watching->link->endpoint != *endpoint) {
        watching->moved = true;
        watching->link->changed.notify();
      }
    }
  }
  std::string post(std::string_view path, const std::string& body, std::size_t endpoint) const {
    return protocol::http::write_post(path, to_string(addresses[endpoint]), body);
  }

  transport::Scheduler& scheduler;
  CoordinationOptions options;
  StoreIdentity identity;
  EndpointSelector endpoints;
  std::vector<transport::Address> addresses;
  StoreCounts counts;
  bool ended = false;
  std::deque<std::shared_ptr<Call>> queue;
  std::size_t running = 0;
  std::vector<std::shared_ptr<Link>> idle;
  std::map<WatchId, std::shared_ptr<Watching>> watches;
  std::set<std::shared_ptr<Link>> open_links;
  WatchId last_watch = 0;
};

EtcdStore::EtcdStore(transport::Scheduler& scheduler, const CoordinationOptions& options, std::uint64_t seed,
                     FirstEndpoint first)
    : state_(std::make_shared<State>(scheduler, options, seed)) {
  if (first == FirstEndpoint::kFirstListed) {
    state_->endpoints.begin_with(0);
  }
}

EtcdStore::~EtcdStore() {
  state_->ended = true;
  for (const auto& [id, watching] : state_->watches) {
    watching->ended = true;
    watching->wake.notify();
  }
  state_->watches.clear();
  state_->queue.clear();
  state_->idle.clear();
  for (const std::shared_ptr<Link>& link : std::exchange(state_->open_links, {})) {
    link->connection->close(ConnectionEnd::kShutdown);
    link->connection.reset();
  }
}

std::uint64_t EtcdStore::id() const { return state_->identity.id(); }
const StoreCounts& EtcdStore::counts() const { return state_->counts; }
bool EtcdStore::has_regressed() const { return state_->identity.has_regressed(); }

void EtcdStore::ask(const std::shared_ptr<State>& state, std::string_view path, const json& body,
                    std::function<void(Raw)> then) {
  ++state->counts.calls;
  auto call = std::make_shared<Call>();
  call->path = path;
  call->body = body.dump();
  call->due = Clock::now() + milliseconds(state->options.call_ms);
  call->then = std::move(then);
  if (state->queue.size() >= kMostQueued) {
    state->scheduler.post([call] {
      Raw raw;
      raw.status = CallStatus::kNotSent;
      raw.error = "too many calls wait";
      call->then(std::move(raw));
    });
    return;
  }
  call->urgent = path.starts_with(kLeasePaths);
  const auto place = std::find_if(state->queue.begin(), state->queue.end(),
                                  [&call](const auto& waiting) { return call->urgent && !waiting->urgent; });
  state->queue.insert(place, std::move(call));
  state->scheduler.post([state] { start_next(state); });
}

void EtcdStore::start_next(const std::shared_ptr<State>& state) {
  while (!state->ended && state->running < kCallConnections && !state->queue.empty()) {
    const std::shared_ptr<Call> call = state->queue.front();
    state->queue.pop_front();
    ++state->running;
    state->scheduler.spawn(run(state, call));
  }
}

transport::Task<void> EtcdStore::run(std::shared_ptr<State> state, std::shared_ptr<Call> call) {
  Raw raw;
  raw.status = CallStatus::kNotSent;
  const auto endpoint = state->endpoints.select(now());
  if (!endpoint) {
    raw.error = "the store has failed and is not asked yet";
  } else if (Clock::now() >= call->due) {
    raw.error = "no turn in time";
  } else {
    std::shared_ptr<Link> link;
    while (!state->idle.empty() && !link) {
      link = state->idle.back();
      state->idle.pop_back();
      link = link->usable() && link->endpoint == *endpoint ? link : nullptr;
    }
    const bool fresh = link == nullptr;
    if (fresh) {
      link = state->open(*endpoint);
      state->open_links.insert(link);
    }
    // What was written before the connection came up may leave as soon as it does.
    const std::uint64_t token = link->connection->write(state->post(call->path, call->body, link->endpoint));
    raw.floor = state->identity.min_revision();
    std::optional<protocol::http::Response> response;
    while (!state->ended && !response && link->usable() && Clock::now() < call->due) {
      co_await link->changed.wait(call->due - Clock::now());
      if (state->ended) {
        break;
      }
      response = link->parser.take();
    }
    if (state->ended) {
      co_return;
    }
    if (response) {
      raw.status = CallStatus::kUnknown;
      raw.body = json::parse(response->body, nullptr, false);
      if (!raw.body.is_object()) {
        raw.error = "an answer that is no JSON object, status " + std::to_string(response->status);
        state->failed(link->endpoint);
      } else if (const auto error = etcd::read_error(raw.body)) {
        // The store is not there behind its address, or was in between: it may have been done.
        const bool sure = error->code == static_cast<int>(etcd::ErrorCode::kInvalidArgument) ||
                          error->code == static_cast<int>(etcd::ErrorCode::kNotFound) ||
                          error->code == static_cast<int>(etcd::ErrorCode::kOutOfRange);
        raw.status = sure ? CallStatus::kRejected : CallStatus::kUnknown;
        raw.error = error->text;
        if (!sure) {
          state->failed(link->endpoint);
        }
      } else if (response->status != kOkay) {
        raw.error = "status " + std::to_string(response->status);
        state->failed(link->endpoint);
      } else {
        raw.status = CallStatus::kOk;
        state->worked(link->endpoint);
      }
    } else {
      const bool begun = link->end ? !never_up(*link->end) : link->connection->begun(token);
      raw.status = begun ? CallStatus::kUnknown : CallStatus::kNotSent;
      raw.error = link->parser.failed() && !link->end ? "an answer that cannot be read: " + link->parser.why()
                : link->end                         ? "the connection ended"
                                                    : "no answer in time";
      state->failed(link->endpoint);
    }
    if (response && response->keep_open && link->usable()) {
      state->idle.push_back(link);
    } else {
      state->open_links.erase(link);
      link->connection->close(ConnectionEnd::kSilent);
      link->connection.reset();
    }
  }
  --state->running;
  state->counts.failed += raw.status == CallStatus::kOk ? 0 : 1;
  state->counts.unknown += raw.status == CallStatus::kUnknown ? 1 : 0;
  call->then(std::move(raw));
  start_next(state);
}

template <typename Value, typename Read>
void EtcdStore::call(std::string_view path, const json& body, Then<Value> then, Read read) {
  ask(state_, path, body, [state = state_, then = std::move(then), read = std::move(read)](Raw raw) {
    StoreResponse<Value> reply;
    reply.status = raw.status;
    reply.error = raw.error;
    if (raw.status == CallStatus::kOk) {
      try {
        etcd::ResponseHeader header;
        reply.value = read(raw.body, header);
        if (const auto checked = state->identity.check(header, raw.floor); !checked) {
          reply.error = checked.error().message();
        }
      } catch (const etcd::BadMessage& error) {
        reply.error = std::string("an answer that cannot be used: ") + error.what();
      }
      reply.status = reply.error.empty() ? CallStatus::kOk : CallStatus::kUnknown;
    }
    then(reply);
  });
}

void EtcdStore::grant(Micros ttl, Then<GrantedLease> then) {
  etcd::LeaseGrantRequest grant;
  grant.ttl_ms = std::chrono::duration_cast<milliseconds>(ttl).count();
  grant.ttl_s = std::max<std::int64_t>(1, (grant.ttl_ms + 999) / 1'000);
  call<GrantedLease>(etcd::kGrantPath, etcd::write_lease_grant_request(grant), std::move(then),
                     [ttl](const json& body, etcd::ResponseHeader& header) {
                       const etcd::LeaseGrantResponse granted = etcd::read_lease_grant_response(body, header);
                       if (granted.id == 0 || milliseconds(granted.ttl_ms) < ttl) {
                         throw etcd::BadMessage("TTL: shorter than was asked for");
                       }
                       return GrantedLease{granted.id, milliseconds(granted.ttl_ms)};
                     });
}

void EtcdStore::keep_alive(LeaseId lease, Then<GrantedLease> then) {
  call<GrantedLease>(etcd::kKeepAlivePath, etcd::write_lease_request(lease), std::move(then),
                     [lease](const json& body, etcd::ResponseHeader& header) {
                       const etcd::LeaseGrantResponse granted = etcd::read_lease_grant_response(body, header);
                       if (granted.id != lease) {
                         throw etcd::BadMessage("ID: of another lease");
                       }
                       return GrantedLease{granted.id, milliseconds(granted.ttl_ms)};
                     });
}

void EtcdStore::revoke(LeaseId lease, Then<Empty> then) {
  call<Empty>(
      etcd::kRevokePath, etcd::write_lease_request(lease),
      [then = std::move(then)](StoreResponse<Empty> reply) {
        // There is none: that is what was asked for.
        reply.status = reply.status == CallStatus::kRejected ? CallStatus::kOk : reply.status;
        then(reply);
      },
      [](const json& body, etcd::ResponseHeader& header) {
        header = etcd::read_header(body);
        return Empty{};
      });
}

void EtcdStore::commit(Transaction transaction, Then<TransactionResult> then) {
  const json body = etcd::write_transaction(transaction);
  call<TransactionResult>(etcd::kTxnPath, body, std::move(then),
                [asked = std::move(transaction)](const json& answer, etcd::ResponseHeader& header) {
                  return etcd::read_transaction_result(answer, asked, header);
                });
}

CoordinationStore::WatchId EtcdStore::watch(const Range& range, WatchObserver& watcher) {
  auto watching = std::make_shared<Watching>(state_->scheduler);
  watching->range = range;
  watching->watcher = &watcher;
  const WatchId id = ++state_->last_watch;
  state_->watches[id] = watching;
  state_->scheduler.spawn(follow(state_, watching));
  return id;
}

void EtcdStore::unwatch(WatchId watch) {
  const auto found = state_->watches.find(watch);
  if (found == state_->watches.end()) {
    return;
  }
  found->second->ended = true;
  found->second->wake.notify();
  if (found->second->link) {
    found->second->link->changed.notify();
  }
  state_->watches.erase(found);
}

transport::Task<void> EtcdStore::follow(std::shared_ptr<State> state, std::shared_ptr<Watching> watching) {
  while (!watching->ended) {
    transport::Task<void> once = follow_once(state, watching);
    co_await once;
    if (watching->ended) {
      co_return;
    }
    if (std::exchange(watching->moved, false)) {
      continue;
    }
    const Micros rest =
        std::max(state->endpoints.backoff_until() - now(), Micros(milliseconds(state->options.rest_ms)) / 4);
    co_await watching->wake.wait(rest);
  }
}

// Reads where it has to, then follows until the connection ends.
transport::Task<void> EtcdStore::follow_once(std::shared_ptr<State> state,
                                             std::shared_ptr<Watching> watching) {
  if (watching->progress.next_step() == WatchProgress::NextStep::kReadSnapshot) {
    Transaction read;
    read.then.push_back(Get{watching->range});
    transport::Signal done(state->scheduler);
    const auto raw = std::make_shared<std::optional<Raw>>();
    const auto alive = std::make_shared<bool>(true);
    ask(state, etcd::kTxnPath, etcd::write_transaction(read), [raw, &done, alive](Raw answer) {
      if (*alive) {
        *raw = std::move(answer);
        done.notify();
      }
    });
    co_await done.wait(milliseconds(2 * state->options.call_ms));
    *alive = false;
    if (watching->ended) {
      co_return;
    }
    std::string why = *raw ? (*raw)->error : "no answer";
    if (*raw && (*raw)->status == CallStatus::kOk) {
      try {
        etcd::ResponseHeader header;
        TransactionResult outcome = etcd::read_transaction_result((*raw)->body, read, header);
        if (const auto checked = state->identity.check(header, (*raw)->floor); !checked) {
          why = checked.error().message();
        } else {
          watching->progress.on_snapshot(header.revision);
          watching->watcher->on_snapshot(header.revision, outcome.results.at(0).found);
        }
      } catch (const etcd::BadMessage& error) {
        why = error.what();
      }
    }
    if (watching->progress.next_step() == WatchProgress::NextStep::kReadSnapshot) {
      watching->watcher->on_disconnected(why);
      co_return;
    }
  }
  const auto endpoint = state->endpoints.select(now());
  if (!endpoint) {
    watching->watcher->on_disconnected("the store has failed and is not asked yet");
    co_return;
  }
  ++state->counts.watches_opened;
  const std::shared_ptr<Link> link = state->open(*endpoint);
  state->open_links.insert(link);
  watching->link = link;
  etcd::WatchRequest call;
  call.range = watching->range;
  call.from = watching->progress.next_revision();
  link->connection->write(state->post(etcd::kWatchPath, etcd::write_watch_request(call).dump(), *endpoint));
  std::string lines;
  std::string why;
  bool begun = false;  // a store that told anything is there, whatever ended the watch
  while (why.empty() && !watching->ended) {
    if (!link->usable()) {
      why = "the watch ended";
      break;
    }
    const bool told = co_await link->changed.wait(milliseconds(state->options.watch_silent_ms));
    if (watching->ended || watching->moved) {
      break;
    }
    if (!told) {
      why = "the watch is silent";
      break;
    }
    if (auto piece = link->parser.take_piece()) {
      lines += *piece;
    }
    if (link->parser.status() != 0 && link->parser.status() != kOkay) {
      why = "the watch was refused with status " + std::to_string(link->parser.status());
    }
    for (std::size_t end = lines.find('\n'); end != std::string::npos && why.empty() && !watching->ended;
         end = lines.find('\n')) {
      const std::string line = lines.substr(0, end);
      lines.erase(0, end + 1);
      begun = true;
      why = line.empty() ? std::string() : take_line(*state, *watching, line);
    }
  }
  watching->link.reset();
  state->open_links.erase(link);
  if (link->connection) {
    link->connection->close(ConnectionEnd::kSilent);
    link->connection.reset();
  }
  if (!watching->ended && !watching->moved) {
    if (!begun) {
      state->failed(*endpoint);
    }
    watching->watcher->on_disconnected(why);
  }
}

// Empty where the watch goes on.
std::string EtcdStore::take_line(State& state, Watching& watching, std::string_view line) {
  try {
    const json body = etcd::parse_object(line);
    if (const auto error = etcd::read_error(body)) {
      return error->text;
    }
    const etcd::WatchResponse read = etcd::read_watch_response(body);
    if (const auto checked = state.identity.check(read.header, 0); !checked) {
      return checked.error().message();
    }
    for (const KeyChange& change : read.changes) {
      if (!watching.range.holds(change.entry.key)) {
        return "a watch tells of a key that was not asked for";
      }
    }
    const WatchProgress::Update taken = watching.progress.on_response(read);
    if (taken.snapshot_required) {
      return "what came between is compacted away";
    }
    if (taken.ended) {
      return "the store ended the watch";
    }
    state.counts.changes += taken.changes.size();
    watching.watcher->on_heartbeat();
    if (!taken.changes.empty()) {
      watching.watcher->on_changes(taken.revision, taken.changes);
    }
    return {};
  } catch (const etcd::BadMessage& error) {
    return std::string("a line that cannot be used: ") + error.what();
  }
}

}  // namespace trailcourse::coordination
