#include "coordination/etcd_watch.h"

#include <chrono>
#include <optional>
#include <utility>

#include "coordination/etcd_requests.h"

namespace trailcourse::coordination {

using std::chrono::milliseconds;

namespace {

constexpr int kStatusOk = 200;

tl::unexpected<WatchFailure> failure(WatchFailure::Kind kind, std::string message) {
  return tl::unexpected(WatchFailure{kind, std::move(message)});
}

}  // namespace

EtcdWatch::EtcdWatch(std::shared_ptr<EtcdClient> client, Range range, WatchObserver& observer)
    : client_(std::move(client)),
      range_(std::move(range)),
      observer_(observer),
      wake_(client_->scheduler()) {}

void EtcdWatch::cancel() {
  canceled_ = true;
  wake_.notify();
  if (connection_) {
    connection_->channel->wake();
  }
}

void EtcdWatch::move_to(std::size_t endpoint) {
  if (connection_ && connection_->endpoint != endpoint) {
    moved_ = true;
    connection_->channel->wake();
  }
}

transport::Task<void> EtcdWatch::run(std::shared_ptr<EtcdWatch> self) {
  while (!self->canceled_) {
    transport::Task<void> once = self->run_once();
    co_await once;
    if (self->canceled_) {
      co_return;
    }
    if (std::exchange(self->moved_, false)) {
      continue;
    }
    co_await self->wake_.wait(self->client_->retry_delay());
  }
}

transport::Task<void> EtcdWatch::run_once() {
  if (progress_.next_step() == WatchProgress::NextStep::kReadSnapshot) {
    transport::Task<void> reading = read_snapshot();
    co_await reading;
    if (canceled_ || progress_.next_step() == WatchProgress::NextStep::kReadSnapshot) {
      co_return;
    }
  }
  const std::optional<std::size_t> endpoint = client_->select_endpoint();
  if (!endpoint) {
    observer_.on_disconnected("all endpoints of the store are in backoff");
    co_return;
  }
  transport::Task<void> following = follow_changes(*endpoint);
  co_await following;
}

transport::Task<void> EtcdWatch::read_snapshot() {
  // Shared with the callback, which may run after this coroutine has timed out.
  struct PendingRead {
    explicit PendingRead(transport::Scheduler& scheduler) : done(scheduler) {}
    transport::Signal done;
    StoreResponse<TransactionResult> response;
  };
  const auto pending = std::make_shared<PendingRead>(client_->scheduler());
  pending->response.error = "no response";
  client_->commit(Transaction{{}, {Get{range_}}, {}},
                  [pending](const StoreResponse<TransactionResult>& response) {
                    pending->response = response;
                    pending->done.notify();
                  });
  co_await pending->done.wait(milliseconds(2 * client_->options().call_ms));
  if (!canceled_) {
    on_snapshot_response(pending->response);
  }
}

void EtcdWatch::on_snapshot_response(const StoreResponse<TransactionResult>& response) {
  if (!response.ok()) {
    observer_.on_disconnected(response.error);
    return;
  }
  const TransactionResult& result = response.value;
  progress_.on_snapshot(result.revision);
  observer_.on_snapshot(result.revision, result.results.at(0).found);
}

transport::Task<void> EtcdWatch::follow_changes(std::size_t endpoint) {
  ++client_->counts().watches_opened;
  connection_ = client_->connect(endpoint);
  received_.clear();
  any_received_ = false;
  const etcd::WatchRequest request{range_, progress_.next_revision()};
  connection_->channel->write(
      client_->post_request(etcd::kWatchPath, etcd::write_watch_request(request).dump(), endpoint));
  auto receiving = receive_changes();
  const tl::expected<void, WatchFailure> result = co_await receiving;
  client_->disconnect(std::exchange(connection_, nullptr));
  if (result || stopped()) {
    co_return;
  }
  // An endpoint that sent a line is alive: the end of the watch does not count as a failure of the endpoint.
  if (!any_received_) {
    client_->on_endpoint_failure(endpoint);
  }
  observer_.on_disconnected(result.error().message);
}

transport::Task<tl::expected<void, WatchFailure>> EtcdWatch::receive_changes() {
  using Kind = WatchFailure::Kind;
  const std::shared_ptr<http::ClientConnection> channel = connection_->channel;
  while (!canceled_) {
    if (!channel->usable()) {
      co_return failure(Kind::kConnectionEnded, "the connection of the watch was closed");
    }
    const bool notified = co_await channel->wait(milliseconds(client_->options().watch_silent_ms));
    if (stopped()) {
      break;
    }
    if (!notified) {
      co_return failure(Kind::kTimeout, "the watch received nothing for watch_silent_ms");
    }
    tl::expected<void, WatchFailure> processed = process_received();
    if (!processed) {
      co_return processed;
    }
  }
  co_return tl::expected<void, WatchFailure>();
}

tl::expected<void, WatchFailure> EtcdWatch::process_received() {
  http::ClientConnection& channel = *connection_->channel;
  if (const std::optional<std::string> part = channel.take_body_part()) {
    received_ += *part;
  }
  if (channel.status() != 0 && channel.status() != kStatusOk) {
    return failure(WatchFailure::Kind::kRejected,
                   "the watch was rejected with status " + std::to_string(channel.status()));
  }
  for (std::size_t end = received_.find('\n'); end != std::string::npos && !canceled_;
       end = received_.find('\n')) {
    const std::string line = received_.substr(0, end);
    received_.erase(0, end + 1);
    any_received_ = true;
    if (line.empty()) {
      continue;
    }
    if (auto processed = process_line(line); !processed) {
      return processed;
    }
  }
  return {};
}

tl::expected<void, WatchFailure> EtcdWatch::process_line(std::string_view line) {
  using Kind = WatchFailure::Kind;
  try {
    const nlohmann::json body = etcd::parse_object(line);
    if (const auto error = etcd::read_error(body)) {
      return failure(Kind::kRejected, error->text);
    }
    return deliver(etcd::read_watch_response(body));
  } catch (const etcd::BadMessage& error) {
    return failure(Kind::kInvalidResponse, std::string("invalid watch response: ") + error.what());
  }
}

tl::expected<void, WatchFailure> EtcdWatch::deliver(const etcd::WatchResponse& response) {
  using Kind = WatchFailure::Kind;
  if (const auto checked = client_->identity().check(response.header, 0); !checked) {
    return failure(Kind::kOtherStore, checked.error().message());
  }
  for (const KeyChange& change : response.changes) {
    if (!range_.contains(change.entry.key)) {
      return failure(Kind::kInvalidResponse, "the watch received a key outside its range");
    }
  }
  const WatchProgress::Update update = progress_.on_response(response);
  if (update.snapshot_required) {
    return failure(Kind::kCompacted, "the changes since the last update were compacted");
  }
  if (update.ended) {
    return failure(Kind::kEndedByStore, "the store ended the watch");
  }
  client_->counts().changes += update.changes.size();
  observer_.on_heartbeat();
  if (!update.changes.empty()) {
    observer_.on_changes(update.revision, update.changes);
  }
  return {};
}

}  // namespace trailcourse::coordination
