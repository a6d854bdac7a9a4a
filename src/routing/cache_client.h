// The client of the caches, over RESP: sends attempts over pooled connections and receives answers in any
// order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "memory/memory_account.h"
#include "protocol/cache_answer.h"
#include "protocol/resp.h"
#include "routing/endpoint_directory.h"
#include "routing/router.h"
#include "transport/connection_pool.h"

namespace trailcourse::routing {

class CacheClient;

// One connection to a cache, with the calls that are in flight on it.
class CacheConnection : public transport::Connection::Handler {
 public:
  using Pool = transport::ConnectionPool<CacheConnection>;

  // `client` has to outlive this object.
  CacheConnection(CacheClient& client, const std::weak_ptr<Pool::Slot>& slot);

  // Returns whether a call with this id is in flight on this connection, or a late or repeated answer to an
  // earlier call with it may still arrive here.
  bool knows_id(const std::string& id) const { return calls_.contains(id) || is_retired(id); }
  // Sends `command`, the serialized form of `request`, for an attempt.
  void send(const AttemptKey& key, const protocol::ForwardedRequest& request, std::string command,
            bool streaming);
  // Cancels a call: withdraws its command if it is not written yet, and sends a cancel command otherwise.
  void cancel(const std::string& id);

  void on_bytes(std::string_view bytes) override;
  void on_send_refused(std::uint64_t token) override;
  void on_end(transport::ConnectionEnd end) override;

 private:
  struct Call {
    AttemptKey key;
    std::uint64_t token = 0;
    transport::Clock::time_point sent;
    bool streaming = false;
    bool has_client_tag = false;  // the command contains the tag of the copy that the client has
  };

  AttemptKey end_call(std::map<std::string, Call>::iterator call);
  void retire_id(const std::string& id);
  bool is_retired(const std::string& id) const;
  void watch_progress();
  void close_malformed(std::string_view reason);
  void handle(const protocol::resp::ArrayHead& head);
  void handle(const protocol::resp::ArrayPiece& piece);
  void handle(const protocol::resp::ArrayEnd&);
  void handle(const protocol::resp::ParseError& error);
  void finish(const std::string& id, protocol::AnswerCode code, const protocol::AnswerFields& fields);

  CacheClient& client_;
  std::weak_ptr<Pool::Slot> slot_;
  protocol::resp::Parser parser_;
  std::map<std::string, Call> calls_;
  std::vector<std::size_t> retired_ids_;  // hashes, sorted
  memory::MemoryCharge retired_ids_charge_;
  std::optional<transport::Scheduler::TimerKey> stall_timer_;
  // The answer that is being received.
  std::vector<std::string> strings_;
  std::string body_;
  memory::MemoryCharge charge_;  // of its body
  bool has_call_ = false;        // a call on this connection waits for the answer
  bool streaming_ = false;
};

// Sends the attempts of the router to caches.
class CacheClient : public Upstream {
 public:
  struct Bounds {
    CacheConnection::Pool::Bounds pool;
    // When a call is cancelled at least this long after it was sent, and nothing has been received from its
    // cache since then, all connections to the cache are retired: they get no new calls.
    transport::Clock::duration silent_after = std::chrono::seconds(1);
    // Time without data within an answer after which the connection is closed.
    transport::Clock::duration stall_after = std::chrono::milliseconds(400);
    std::size_t max_retired_ids = 512;  // per connection; it is retired beyond that
    protocol::resp::Bounds answers;
    // Charged for incomplete answers on all connections.
    std::shared_ptr<memory::MemoryAccount> memory = std::make_shared<memory::MemoryAccount>();
  };

  // All references have to outlive this object. `report_fields` are the names of the fields of load reports.
  CacheClient(transport::Scheduler& scheduler, Router& router, const EndpointDirectory& directory,
              std::vector<std::string> report_fields, const Bounds& bounds);

  // `forwarded` is a protocol::ForwardedRequest.
  void send(const AttemptKey& key, const SendAttempt& action, const std::shared_ptr<const void>& forwarded,
            bool streaming) override;
  void cancel(const AttemptKey& key) override;

  // Retires all connections to a cache: they get no new attempts and are closed after their last one.
  void drop(const std::string& name) { pool_.retire_all(name, transport::ConnectionEnd::kDropped); }
  // Closes the connection that has been idle for longest. Returns false if all connections are in use.
  bool close_one_idle() { return pool_.close_one_idle(); }

 private:
  friend class CacheConnection;
  struct CallLocation {
    std::weak_ptr<CacheConnection> connection;
    std::string id;
  };

  void fail_later(const AttemptKey& key, transport::ConnectionEnd end);

  transport::Scheduler& scheduler_;
  Router& router_;
  const EndpointDirectory& directory_;
  std::vector<std::string> report_fields_;
  Bounds bounds_;
  CacheConnection::Pool pool_;
  std::map<AttemptKey, CallLocation> call_locations_;
};

}  // namespace trailcourse::routing
