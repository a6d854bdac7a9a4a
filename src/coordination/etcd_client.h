// The calls of an EtcdStore: the queue, the connections to the store's endpoints, and the status of each
// call.
//
// Library `coordination`, over `http`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/coordination_store.h"
#include "coordination/endpoint_selector.h"
#include "coordination/etcd_responses.h"
#include "coordination/options.h"
#include "coordination/store_identity.h"
#include "http/client_connection.h"

namespace trailcourse::coordination {

// Which endpoint is called first. A random one spreads the clients over a cluster.
enum class FirstEndpoint { kRandom, kFirstListed };

// Sends the calls of one EtcdStore. Has to be owned by a shared_ptr: suspended coroutines keep it alive after
// close().
class EtcdClient : public std::enable_shared_from_this<EtcdClient> {
 public:
  // A connection to one endpoint.
  struct EndpointConnection {
    std::shared_ptr<http::ClientConnection> channel;
    std::size_t endpoint = 0;
  };
  // Reads the body of a response and its header. Throws etcd::BadMessage.
  template <typename Value>
  using Reader = std::function<Value(const nlohmann::json& body, etcd::ResponseHeader& header)>;

  // The endpoints and the store_id of `options` must have been checked.
  EtcdClient(transport::Scheduler& scheduler, const CoordinationOptions& options, std::uint64_t seed,
             FirstEndpoint first);

  // Queues a call. At most two are in flight. Lease calls precede all others, since a lease expires if its
  // renewal waits too long. The callback runs from the scheduler, never from within this function.
  template <typename Value>
  void call(std::string_view path, const nlohmann::json& body, Reader<Value> read,
            CoordinationStore::Callback<Value> callback);
  void commit(Transaction transaction, CoordinationStore::Callback<TransactionResult> callback);

  // Opens a connection for a watch. The caller has to close it with disconnect().
  std::shared_ptr<EndpointConnection> connect(std::size_t endpoint);
  void disconnect(const std::shared_ptr<EndpointConnection>& connection);
  // Returns the endpoint to call now, or nothing while all endpoints are in backoff.
  std::optional<std::size_t> select_endpoint() const;
  // Returns how long a watch waits before it reconnects.
  Micros retry_delay() const;
  void on_endpoint_failure(std::size_t endpoint);
  // Sets a function that is called with the selected endpoint after each call. It must be callable until
  // close().
  void set_endpoint_listener(std::function<void(std::size_t endpoint)> listener) {
    endpoint_listener_ = std::move(listener);
  }
  // Returns a complete HTTP request to the endpoint.
  std::string post_request(std::string_view path, const std::string& body, std::size_t endpoint) const;

  // Closes all connections and drops the queued calls; their callbacks are not called.
  void close();

  transport::Scheduler& scheduler() const { return scheduler_; }
  const CoordinationOptions& options() const { return options_; }
  StoreIdentity& identity() { return identity_; }
  StoreCounts& counts() { return counts_; }

 private:
  // The response to a call before its body is read, or the reason why there is none.
  struct RawResponse {
    CallStatus status = CallStatus::kUnknown;
    std::string error;
    nlohmann::json body;
    Revision min_revision = 0;
  };
  using RawCallback = std::function<void(const RawResponse&)>;
  struct PendingCall {
    std::string path;
    std::string body;
    transport::Clock::time_point deadline;
    bool urgent = false;
    RawCallback callback;
  };

  void enqueue(std::string_view path, const nlohmann::json& body, RawCallback callback);
  void start_queued_calls();
  static transport::Task<void> run(std::shared_ptr<EtcdClient> self, std::shared_ptr<PendingCall> call);
  transport::Task<RawResponse> exchange(const PendingCall& call, std::size_t endpoint);
  std::shared_ptr<EndpointConnection> idle_connection(std::size_t endpoint);
  static RawResponse interpret(const protocol::http::Response& response);
  static RawResponse no_response(const http::ClientConnection& connection,
                                 http::ClientConnection::WriteToken request);
  void note_endpoint_result(std::size_t endpoint, CallStatus status);
  void notify_endpoint_listener();
  template <typename Value>
  StoreResponse<Value> read_response(const RawResponse& raw, const Reader<Value>& read);

  transport::Scheduler& scheduler_;
  CoordinationOptions options_;
  StoreIdentity identity_;
  EndpointSelector endpoints_;
  std::vector<transport::Address> addresses_;
  StoreCounts counts_;
  bool closed_ = false;
  std::deque<std::shared_ptr<PendingCall>> queue_;
  std::size_t calls_in_flight_ = 0;
  std::vector<std::shared_ptr<EndpointConnection>> idle_;
  std::set<std::shared_ptr<EndpointConnection>> open_;
  std::function<void(std::size_t)> endpoint_listener_;
};

template <typename Value>
void EtcdClient::call(std::string_view path, const nlohmann::json& body, Reader<Value> read,
                      CoordinationStore::Callback<Value> callback) {
  enqueue(path, body,
          [self = shared_from_this(), read = std::move(read), callback = std::move(callback)](
              const RawResponse& raw) { callback(self->read_response<Value>(raw, read)); });
}

template <typename Value>
StoreResponse<Value> EtcdClient::read_response(const RawResponse& raw, const Reader<Value>& read) {
  StoreResponse<Value> response;
  response.status = raw.status;
  response.error = raw.error;
  if (raw.status != CallStatus::kOk) {
    return response;
  }
  try {
    etcd::ResponseHeader header;
    response.value = read(raw.body, header);
    if (const auto checked = identity_.check(header, raw.min_revision); !checked) {
      response.status = CallStatus::kUnknown;
      response.error = checked.error().message();
    }
  } catch (const etcd::BadMessage& error) {
    response.status = CallStatus::kUnknown;
    response.error = std::string("invalid response: ") + error.what();
  }
  return response;
}

}  // namespace trailcourse::coordination
