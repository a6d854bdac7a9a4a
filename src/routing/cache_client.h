// The side of the router that asks caches, over RESP: attempts go out over pooled connections, answers come
// back in any order.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/cache_answer.h"
#include "protocol/resp.h"
#include "routing/endpoint_directory.h"
#include "routing/router.h"
#include "transport/connection_pool.h"

namespace trailcourse::routing {

class CacheClient;

// One connection to a cache and what is out on it.
class CacheConnection : public transport::Connection::Handler {
 public:
  using Pool = transport::ConnectionPool<CacheConnection>;

  CacheConnection(CacheClient& client, const std::weak_ptr<Pool::Slot>& slot);

  // Whether the id is in use here, or may still be answered: it was given up, or an answer may come twice.
  bool knows(const std::string& id) const { return calls_.contains(id) || spent_.contains(id); }
  void send(const AttemptKey& key, const protocol::ForwardedRequest& passed, std::string command, bool streaming);
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
    bool tagged = false;  // the client's copy was named to the cache, so that it may be the one
  };

  void count(std::size_t bytes);
  AttemptKey end_call(std::map<std::string, Call>::iterator call);
  void spend(const std::string& id);
  void watch_progress();
  void end_unreadable(std::string_view why);
  void take(const protocol::resp::ArrayHead& head);
  void take(const protocol::resp::ArrayPiece& piece);
  void take(const protocol::resp::ArrayEnd&);
  void take(const protocol::resp::ParseError& unreadable);
  void finish(const std::string& id, protocol::AnswerCode word, const protocol::AnswerFields& fields);

  CacheClient& client_;
  std::weak_ptr<Pool::Slot> slot_;
  protocol::resp::Parser parser_;
  std::map<std::string, Call> calls_;
  std::set<std::string> spent_;
  std::optional<transport::Scheduler::TimerKey> stall_timer_;
  // The answer that is being read.
  std::vector<std::string> words_;
  std::string body_;
  std::size_t counted_ = 0;  // of it in the client's sum
  bool wanted_ = false;
  bool streaming_ = false;
};

class CacheClient : public Upstream {
 public:
  struct Bounds {
    CacheConnection::Pool::Bounds pool;
    transport::Clock::duration silent_after = std::chrono::seconds(1);
    transport::Clock::duration stall_after = std::chrono::milliseconds(400);  // within an answer
    std::size_t most_spent = 512;           // ids of one connection that may still be answered
    std::size_t most_partial = 64U << 20U;  // bytes of answers that have come in part, in all
    protocol::resp::Bounds answers;
  };

  CacheClient(transport::Scheduler& scheduler, Router& router, const Directory& directory,
              std::vector<std::string> report_fields, const Bounds& bounds);

  // `passed` is a protocol::ForwardedRequest.
  void send(const AttemptKey& key, const SendAttempt& order, const std::shared_ptr<const void>& passed,
            bool streaming) override;
  void cancel(const AttemptKey& key) override;

  void drop(const std::string& name) { pool_.drop(name, transport::ConnectionEnd::kDropped); }
  bool close_one_idle() { return pool_.close_one_idle(); }

 private:
  friend class CacheConnection;
  struct Place {
    std::weak_ptr<CacheConnection> link;
    std::string id;
  };

  void fail_later(const AttemptKey& key, transport::ConnectionEnd end);

  transport::Scheduler& scheduler_;
  Router& router_;
  const Directory& directory_;
  std::vector<std::string> report_fields_;
  Bounds bounds_;
  CacheConnection::Pool pool_;
  std::map<AttemptKey, Place> places_;
  std::size_t partial_ = 0;
};

}  // namespace trailcourse::routing
