// One TCP connection: reads what comes and hands it on, writes what it is given, and ends exactly once.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "transport/connection_end.h"
#include "transport/scheduler.h"
#include "transport/socket.h"

namespace trailcourse::transport {

// How many connections linger after their end, each with its descriptor, and how many may.
struct Lingering {
  int open = 0;
  int most = 16;
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // What happens on a connection. It owns its handler until the end has been told, which is always from the
  // scheduler, never from within a call of the handler's owner.
  class Handler {
   public:
    Handler() = default;
    Handler(const Handler&) = delete;
    Handler& operator=(const Handler&) = delete;
    virtual ~Handler() = default;
    virtual void on_bytes(std::string_view bytes) = 0;
    virtual void on_drained() {}  // what waited to be written fell below the low mark
    // The gate of these bytes was shut: they were taken back, and not one of them has left.
    virtual void on_send_refused(std::uint64_t) {}
    virtual void on_end(ConnectionEnd end) = 0;
  };

  struct Bounds {
    Clock::duration connect_timeout = std::chrono::seconds(1);
    Clock::duration stall_timeout = std::chrono::seconds(10);  // the peer takes nothing for so long
    std::size_t most_waiting = 4U << 20U;                      // bytes to be written; beyond, it ends
    std::size_t low_mark = 32U << 10U;
    int send_buffer = 0;          // bytes that the system may hold; 0: as it likes
    bool end_on_hang_up = false;  // with the other side gone, what it still said is not handed on
    // After a close from here, what still comes is read and thrown away for so long, or till the other side
    // has closed too: a close over unread bytes would reset the connection, and with it what was written
    // last.
    Clock::duration linger = Clock::duration::zero();
    std::shared_ptr<Lingering> lingering;  // of all connections that share it
  };

  static std::shared_ptr<Connection> connect(Scheduler& scheduler, const Address& to, const Bounds& bounds);
  static std::shared_ptr<Connection> adopt(Scheduler& scheduler, Descriptor socket, const Bounds& bounds);

  Connection(Scheduler& scheduler, Opened opened, const Bounds& bounds, bool connecting);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { let_go(); }

  void start(std::shared_ptr<Handler> handler);

  // Asked just before the first of the bytes that it guards goes out, each time that this is tried. It must
  // not call the connection.
  using Gate = std::function<bool()>;
  // Queues bytes; the token names them. Nothing is written once it has ended.
  std::uint64_t write(std::string bytes, Gate gate = {});
  // Whether any byte of these may have left; what has not can be taken back.
  bool begun(std::uint64_t token) const;
  bool withdraw(std::uint64_t token);

  void close(ConnectionEnd end) { finish(end); }
  void close_when_written();
  // Closes it unless something has come that was not read yet; whether it is closed.
  bool close_if_read(ConnectionEnd end);
  // Whether something has come that was not read yet.
  bool unread() const;
  // Whether the other side has ended it, heard of or not, and nothing that it sent before is left to be read:
  // a request that went out now could not be answered.
  bool ended_by_peer() const { return up_ && (ended_ || gone()); }

  bool up() const { return up_; }
  bool ended() const { return ended_; }
  std::size_t waiting() const { return waiting_; }
  Clock::time_point last_received() const { return last_received_; }
  const Address& peer() const { return peer_; }

 private:
  struct Piece {
    std::uint64_t token;
    std::string bytes;
    std::size_t written;
    Gate gate;
  };

  static Task<void> read_loop(std::shared_ptr<Connection> self);
  static Task<void> write_loop(std::shared_ptr<Connection> self);
  Task<bool> come_up();
  void hand_on(std::string_view bytes);
  void end_reading(ConnectionEnd end);
  std::deque<Piece>::const_iterator find_piece(std::uint64_t token) const;
  void flush();
  void hold_back();
  ssize_t peek() const;
  bool gone() const;
  void finish(ConnectionEnd end);
  bool lingers(ConnectionEnd end) const;
  void let_go();

  Scheduler& scheduler_;
  Descriptor socket_;
  Bounds bounds_;
  Address peer_;
  std::unique_ptr<Watch> watch_;
  Signal work_;
  std::shared_ptr<Handler> handler_;
  int open_error_;
  bool up_;
  bool ended_ = false;
  bool lingering_ = false;  // ended, and what still comes is read
  bool blocked_ = false;    // the writer waits for the socket
  bool closing_ = false;
  std::uint64_t last_token_ = 0;
  std::deque<Piece> pieces_;
  std::set<std::uint64_t> withheld_;  // taken back, and not told yet
  std::size_t waiting_ = 0;
  Clock::time_point last_received_ = Clock::now();
};

// A handler's way to its own connection. The connection keeps its handler, so that the handler must not keep
// the connection, or neither ever goes. Once that is gone it counts as ended, and what is written goes
// nowhere.
class ConnectionHandle {
 public:
  ConnectionHandle() = default;
  explicit ConnectionHandle(const std::shared_ptr<Connection>& connection) : connection_(connection) {}

  bool ended() const {
    const auto connection = connection_.lock();
    return !connection || connection->ended();
  }
  void write(std::string bytes) const {
    if (const auto connection = connection_.lock()) {
      connection->write(std::move(bytes));
    }
  }
  void close(ConnectionEnd end) const {
    if (const auto connection = connection_.lock()) {
      connection->close(end);
    }
  }
  void close_when_written() const {
    if (const auto connection = connection_.lock()) {
      connection->close_when_written();
    }
  }
  std::size_t waiting() const {
    const auto connection = connection_.lock();
    return connection ? connection->waiting() : 0;
  }
  Clock::time_point last_received() const {
    const auto connection = connection_.lock();
    return connection ? connection->last_received() : Clock::time_point::min();
  }

 private:
  std::weak_ptr<Connection> connection_;
};

}  // namespace trailcourse::transport
