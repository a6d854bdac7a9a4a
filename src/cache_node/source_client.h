// Client of a cache node's sources. It uses the same protocol as routers do for cache nodes.
//
// Each fetch has a new id, so that a late answer is never mistaken for the answer to another fetch.
//
// Library `cache_node`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cache_node/node_core.h"
#include "protocol/resp.h"
#include "transport/connection_pool.h"

namespace trailcourse::cache_node {

class SourceClient;

// One connection to a source, with the fetches that are open on it.
class SourceConnection : public transport::Connection::Handler {
 public:
  using Pool = transport::ConnectionPool<SourceConnection>;

  SourceConnection(SourceClient& client, const std::weak_ptr<Pool::Slot>& slot);

  void on_bytes(std::string_view bytes) override;
  void on_end(transport::ConnectionEnd end) override;

 private:
  friend class SourceClient;
  struct Call {
    FillNumber fill = 0;
    std::uint64_t token = 0;  // of the write, for Connection::withdraw()
    transport::Clock::time_point sent;
  };

  void on_event(const protocol::resp::ArrayHead& head);
  void on_event(const protocol::resp::ArrayPiece& piece);
  void on_event(const protocol::resp::ArrayEnd&);
  void on_event(const protocol::resp::ParseError& error);
  void close_malformed(std::string_view reason);
  void finish(const std::string& id, const FetchResult& result);

  SourceClient& client_;
  std::weak_ptr<Pool::Slot> slot_;
  protocol::resp::Parser parser_;
  std::map<std::string, Call> calls_;
  std::vector<std::string> strings_;
  std::string body_;
  bool is_pending_ = false;  // the answer that is being received belongs to an open fetch
};

// Sends fetches to sources over a pool of connections.
class SourceClient {
 public:
  struct Bounds {
    SourceConnection::Pool::Bounds pool;
    std::size_t answer_bytes = 64U << 20U;  // of one body; a longer one ends the connection
    // When a fetch is stopped at least this long after it was sent, and nothing has been received from its
    // source since then, the connections to the source are retired: they get no new fetches.
    transport::Clock::duration silent_after = std::chrono::milliseconds(400);
  };
  using ResultCallback = std::function<void(FillNumber, const FetchResult&)>;

  SourceClient(transport::Scheduler& scheduler, const Bounds& bounds, ResultCallback on_result);

  // Sends a request to a source. Unless stop() is called first, the callback is called once with the result,
  // after this call has returned. `address` is that of `source`.
  void fetch(FillNumber fill, const std::string& source, const transport::Address& address,
             const protocol::ServeFields& fields, std::string_view body);
  // Cancels a fetch; its result is not reported. Does nothing if the fetch has ended.
  void stop(FillNumber fill);
  // Retires all connections to a source: they get no new fetches and are closed after their last one.
  void drop(const std::string& source) { pool_.retire_all(source, transport::ConnectionEnd::kDropped); }

 private:
  friend class SourceConnection;
  struct PendingFetch {
    std::weak_ptr<SourceConnection> link;
    std::string id;
  };

  transport::Scheduler& scheduler_;
  Bounds bounds_;
  ResultCallback on_result_;
  SourceConnection::Pool pool_;
  std::map<FillNumber, PendingFetch> pending_fetches_;
  std::uint64_t last_id_ = 0;
};

}  // namespace trailcourse::cache_node
