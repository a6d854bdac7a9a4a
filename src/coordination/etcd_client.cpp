#include "coordination/etcd_client.h"

#include <algorithm>
#include <chrono>

#include "coordination/etcd_requests.h"
#include "protocol/numbers.h"

namespace trailcourse::coordination {

using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;

namespace {

constexpr std::size_t kMaxCallsInFlight = 2;
constexpr std::size_t kMaxQueuedCalls = 256;
constexpr std::size_t kMaxResponseBytes = 64U << 20U;
constexpr int kStatusOk = 200;
constexpr std::string_view kLeasePaths = "/v3/lease/";

// Returns whether a connection that ended in this way was never established, so that nothing was sent.
bool never_connected(ConnectionEnd end) {
  return end == ConnectionEnd::kRefused || end == ConnectionEnd::kConnectTimeout ||
         end == ConnectionEnd::kUnreachable || end == ConnectionEnd::kNoDescriptor;
}

// Returns whether the error proves that the store did not execute the call.
bool is_rejection(const etcd::ErrorResponse& error) {
  return error.code == static_cast<int>(etcd::ErrorCode::kInvalidArgument) ||
         error.code == static_cast<int>(etcd::ErrorCode::kNotFound) ||
         error.code == static_cast<int>(etcd::ErrorCode::kOutOfRange);
}

Micros now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

}  // namespace

EtcdClient::EtcdClient(transport::Scheduler& scheduler, const CoordinationOptions& options,
                       std::uint64_t seed, FirstEndpoint first)
    : scheduler_(scheduler),
      options_(options),
      identity_(protocol::read_number<std::uint64_t>(options.store_id).value_or(0)),
      endpoints_(options.endpoints.size(), milliseconds(options.rest_ms),
                 milliseconds(options.longest_rest_ms), seed) {
  if (first == FirstEndpoint::kFirstListed) {
    endpoints_.start_with(0);
  }
  for (const std::string& endpoint : options.endpoints) {
    addresses_.push_back(transport::parse_address(endpoint).value_or(transport::Address{}));
  }
}

// ---- Connections ----

std::shared_ptr<EtcdClient::EndpointConnection> EtcdClient::connect(std::size_t endpoint) {
  Connection::Bounds connection_bounds;
  connection_bounds.connect_timeout = milliseconds(options_.connect_ms);
  protocol::http::Bounds response_bounds;
  response_bounds.body_bytes = kMaxResponseBytes;
  const auto connection = std::make_shared<EndpointConnection>();
  connection->channel =
      http::ClientConnection::open(scheduler_, addresses_[endpoint], connection_bounds, response_bounds);
  connection->endpoint = endpoint;
  open_.insert(connection);
  return connection;
}

void EtcdClient::disconnect(const std::shared_ptr<EndpointConnection>& connection) {
  open_.erase(connection);
  connection->channel->close(ConnectionEnd::kSilent);
}

// Connections to other endpoints are not used again; they stay open until close().
std::shared_ptr<EtcdClient::EndpointConnection> EtcdClient::idle_connection(std::size_t endpoint) {
  while (!idle_.empty()) {
    const std::shared_ptr<EndpointConnection> connection = idle_.back();
    idle_.pop_back();
    if (connection->channel->usable() && connection->endpoint == endpoint) {
      return connection;
    }
  }
  return nullptr;
}

void EtcdClient::close() {
  closed_ = true;
  endpoint_listener_ = nullptr;
  queue_.clear();
  idle_.clear();
  for (const std::shared_ptr<EndpointConnection>& connection : std::exchange(open_, {})) {
    connection->channel->close(ConnectionEnd::kShutdown);
  }
}

// ---- Endpoints ----

std::optional<std::size_t> EtcdClient::select_endpoint() const { return endpoints_.select(now()); }

Micros EtcdClient::retry_delay() const {
  return std::max(endpoints_.backoff_until() - now(), Micros(milliseconds(options_.rest_ms)) / 4);
}

void EtcdClient::on_endpoint_failure(std::size_t endpoint) {
  endpoints_.on_failure(endpoint, now());
  notify_endpoint_listener();
}

void EtcdClient::note_endpoint_result(std::size_t endpoint, CallStatus status) {
  if (status == CallStatus::kOk) {
    endpoints_.on_success(endpoint);
    notify_endpoint_listener();
  } else if (status != CallStatus::kRejected) {
    on_endpoint_failure(endpoint);
  }
}

void EtcdClient::notify_endpoint_listener() {
  const std::optional<std::size_t> endpoint = select_endpoint();
  if (endpoint && endpoint_listener_) {
    endpoint_listener_(*endpoint);
  }
}

std::string EtcdClient::post_request(std::string_view path, const std::string& body,
                                     std::size_t endpoint) const {
  return protocol::http::write_post(path, to_string(addresses_[endpoint]), body);
}

// ---- Calls ----

void EtcdClient::commit(Transaction transaction, CoordinationStore::Callback<TransactionResult> callback) {
  const json body = etcd::write_transaction(transaction);
  call<TransactionResult>(
      etcd::kTxnPath, body,
      [requested = std::move(transaction)](const json& response, etcd::ResponseHeader& header) {
        return etcd::read_transaction_result(response, requested, header);
      },
      std::move(callback));
}

void EtcdClient::enqueue(std::string_view path, const json& body, RawCallback callback) {
  ++counts_.calls;
  auto call = std::make_shared<PendingCall>();
  call->path = path;
  call->body = body.dump();
  call->deadline = Clock::now() + milliseconds(options_.call_ms);
  call->urgent = path.starts_with(kLeasePaths);
  call->callback = std::move(callback);
  if (queue_.size() >= kMaxQueuedCalls) {
    scheduler_.post(
        [call] { call->callback(RawResponse{CallStatus::kNotSent, "the call queue is full", {}, 0}); });
    return;
  }
  const auto position = std::find_if(queue_.begin(), queue_.end(), [&call](const auto& waiting) {
    return call->urgent && !waiting->urgent;
  });
  queue_.insert(position, std::move(call));
  scheduler_.post([self = shared_from_this()] { self->start_queued_calls(); });
}

void EtcdClient::start_queued_calls() {
  while (!closed_ && calls_in_flight_ < kMaxCallsInFlight && !queue_.empty()) {
    const std::shared_ptr<PendingCall> call = queue_.front();
    queue_.pop_front();
    ++calls_in_flight_;
    scheduler_.spawn(run(shared_from_this(), call));
  }
}

transport::Task<void> EtcdClient::run(std::shared_ptr<EtcdClient> self, std::shared_ptr<PendingCall> call) {
  RawResponse response{CallStatus::kNotSent, {}, {}, 0};
  const std::optional<std::size_t> endpoint = self->select_endpoint();
  if (!endpoint) {
    response.error = "all endpoints of the store are in backoff";
  } else if (Clock::now() >= call->deadline) {
    response.error = "the call timed out in the queue";
  } else {
    transport::Task<RawResponse> exchanging = self->exchange(*call, *endpoint);
    response = co_await exchanging;
  }
  if (self->closed_) {
    co_return;
  }
  --self->calls_in_flight_;
  self->counts_.failed += response.status == CallStatus::kOk ? 0 : 1;
  self->counts_.unknown += response.status == CallStatus::kUnknown ? 1 : 0;
  call->callback(response);
  self->start_queued_calls();
}

transport::Task<EtcdClient::RawResponse> EtcdClient::exchange(const PendingCall& call, std::size_t endpoint) {
  std::shared_ptr<EndpointConnection> connection = idle_connection(endpoint);
  if (connection == nullptr) {
    connection = connect(endpoint);
  }
  // The connection may not be established yet. It queues the request and sends it once it is connected.
  const http::ClientConnection::WriteToken request =
      connection->channel->write(post_request(call.path, call.body, endpoint));
  const Revision min_revision = identity_.min_revision();
  auto receiving = http::ClientConnection::receive(connection->channel, call.deadline);
  const std::optional<protocol::http::Response> received = co_await receiving;
  if (closed_) {
    co_return RawResponse{};
  }
  RawResponse response = received ? interpret(*received) : no_response(*connection->channel, request);
  response.min_revision = min_revision;
  note_endpoint_result(endpoint, response.status);
  if (received && received->keep_open && connection->channel->usable()) {
    idle_.push_back(connection);
  } else {
    disconnect(connection);
  }
  co_return response;
}

EtcdClient::RawResponse EtcdClient::interpret(const protocol::http::Response& response) {
  RawResponse out;
  out.body = json::parse(response.body, nullptr, false);
  if (!out.body.is_object()) {
    out.error = "the response is not a JSON object, status " + std::to_string(response.status);
    return out;
  }
  if (const auto error = etcd::read_error(out.body)) {
    // Other errors come from a proxy or from a store that is starting: the call may have been executed.
    out.status = is_rejection(*error) ? CallStatus::kRejected : CallStatus::kUnknown;
    out.error = error->text;
    return out;
  }
  if (response.status != kStatusOk) {
    out.error = "status " + std::to_string(response.status);
    return out;
  }
  out.status = CallStatus::kOk;
  return out;
}

EtcdClient::RawResponse EtcdClient::no_response(const http::ClientConnection& connection,
                                                http::ClientConnection::WriteToken request) {
  const auto& end = connection.end();
  const bool may_have_sent = end ? !never_connected(*end) : connection.may_have_sent(request);
  RawResponse out;
  out.status = may_have_sent ? CallStatus::kUnknown : CallStatus::kNotSent;
  if (end) {
    out.error = "the connection failed or was closed";
  } else if (connection.malformed()) {
    out.error = "malformed response: " + connection.parse_error();
  } else {
    out.error = "no response before the deadline";
  }
  return out;
}

}  // namespace trailcourse::coordination
