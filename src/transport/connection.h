// A TCP connection that passes received bytes to a handler, writes queued bytes, and reports its end exactly
// once.
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

// Counts and limits the connections that linger after their end, each of which keeps its descriptor open.
struct LingerLimit {
  int count = 0;
  int max = 16;
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  // Receives the events of a connection. The connection owns its handler until on_end() returns. on_end() and
  // on_send_refused() are called from a later job of the scheduler, never from within a call to the
  // connection.
  class Handler {
   public:
    Handler() = default;
    Handler(const Handler&) = delete;
    Handler& operator=(const Handler&) = delete;
    virtual ~Handler() = default;
    // `bytes` is valid only during the call. If this throws, the connection ends with kMalformed.
    virtual void on_bytes(std::string_view bytes) = 0;
    // Returns whether the handler keeps bytes that it has not processed yet. While it does, nothing more is
    // read, and on_turn() is called once in each turn of the connection.
    virtual bool has_backlog() const { return false; }
    virtual void on_turn() {}
    // Fewer than `low_mark` bytes are unsent.
    virtual void on_drained() {}
    // The send check of these bytes returned false. They were removed from the queue, and none of them was
    // sent.
    virtual void on_send_refused(std::uint64_t) {}
    // The connection has ended. Which bytes were sent can still be queried during the call.
    virtual void on_end(ConnectionEnd end) = 0;
  };

  struct Bounds {
    Clock::duration connect_timeout = std::chrono::seconds(1);
    Clock::duration stall_timeout = std::chrono::seconds(10);  // longest wait of a write for the peer
    std::size_t max_unsent_bytes = 4U << 20U;  // a larger number ends the connection with kOverflow
    std::size_t low_mark = 32U << 10U;         // unsent bytes below which on_drained() is called
    int send_buffer = 0;          // size of the socket's send buffer in bytes; 0: the system's default
    bool end_on_hang_up = false;  // once the peer has closed, discard its remaining bytes
    std::size_t read_bytes = 64U << 10U;  // most that one turn reads
    // Turns that follow each other without a pause are taken in the scheduler's background queue, so that
    // they delay neither timers nor other connections.
    bool background = false;
    // After a close from this side, received bytes are read and discarded for this long, or until the peer
    // has closed too. Closing a socket with unread bytes would reset the connection and could lose the bytes
    // that were written last.
    Clock::duration linger = Clock::duration::zero();
    std::shared_ptr<LingerLimit> lingering;  // shared by all connections that count towards the limit
  };

  // Creates a connection that connects to `to`. Errors are reported to the handler.
  static std::shared_ptr<Connection> connect(Scheduler& scheduler, const Address& to, const Bounds& bounds);

  // Creates a connection from a connected socket.
  static std::shared_ptr<Connection> adopt(Scheduler& scheduler, Descriptor socket, const Bounds& bounds);

  // Called by connect() and adopt() only.
  Connection(Scheduler& scheduler, Opened opened, const Bounds& bounds, bool connecting);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { release_socket(); }

  // Sets the handler and starts reading and writing. Called once.
  void start(std::shared_ptr<Handler> handler);

  // Returns whether the bytes that it guards may still be sent. Called immediately before the first of these
  // bytes is sent, each time that this is attempted. Must not call the connection.
  using SendCheck = std::function<bool()>;

  // Queues bytes and returns a token that identifies them. Bytes written after the end are discarded. Ends
  // the connection with kOverflow if more bytes than the bound are then unsent.
  std::uint64_t write(std::string bytes, SendCheck send_check = {});

  // Returns whether the peer has closed its sending side or reset the connection, also while bytes that it
  // sent before are unread. Asks the system.
  bool peer_has_left() const;

  // Returns whether any of the bytes of `token` may have been sent.
  bool may_have_sent(std::uint64_t token) const;

  // Removes the bytes of `token` from the queue if none of them was sent. Returns whether it did; in that
  // case on_send_refused() is not called for them.
  bool cancel_write(std::uint64_t token);

  // Ends the connection. Unsent bytes are discarded.
  void close(ConnectionEnd end) { finish(end); }

  // Ends the connection with kShutdown once all queued bytes are written.
  void close_when_written();

  // Ends the connection unless the socket has received bytes that were not read yet. Returns whether it
  // ended the connection.
  bool close_if_nothing_unread(ConnectionEnd end);

  // Returns whether the socket has received bytes that were not read yet.
  bool has_unread_data() const;

  // Returns whether the peer has closed the connection, even if this was not reported yet, and all bytes that
  // it sent before were read. A request that is sent then cannot be answered.
  bool ended_by_peer() const { return connected_ && (ended_ || peer_closed()); }

  // Returns whether the connect has succeeded; stays true after the end.
  bool connected() const { return connected_; }
  bool ended() const { return ended_; }
  // Returns the number of bytes that were queued and neither sent nor removed.
  std::size_t unsent_bytes() const { return unsent_bytes_; }
  Clock::time_point last_received() const { return last_received_; }
  const Address& peer() const { return peer_; }

 private:
  struct QueuedWrite {
    std::uint64_t token;
    std::string bytes;
    std::size_t written;
    SendCheck send_check;
  };

  static Task<void> read_loop(std::shared_ptr<Connection> self);
  static Task<void> write_loop(std::shared_ptr<Connection> self);
  Task<bool> finish_connect();
  void deliver(std::string_view bytes);
  void call_handler(const std::function<void(Handler&)>& call);
  bool has_backlog() const { return !ended_ && handler_ && handler_->has_backlog(); }
  void on_read_end(ConnectionEnd end);
  std::deque<QueuedWrite>::const_iterator find_write(std::uint64_t token) const;
  void flush();
  void remove_refused_writes();
  ssize_t peek() const;
  bool peer_closed() const;
  void finish(ConnectionEnd end);
  bool should_linger(ConnectionEnd end) const;
  void release_socket();

  Scheduler& scheduler_;
  Descriptor socket_;
  Bounds bounds_;
  Address peer_;
  std::unique_ptr<Watch> watch_;
  Signal write_signal_;
  std::shared_ptr<Handler> handler_;
  int open_error_;
  bool connected_;
  bool ended_ = false;
  bool lingering_ = false;      // ended; received bytes are read and discarded
  bool write_blocked_ = false;  // the writer waits until the socket is writable
  bool closing_ = false;
  std::uint64_t last_token_ = 0;
  std::deque<QueuedWrite> queue_;
  std::set<std::uint64_t> refused_;  // removed from the queue and not reported yet
  std::size_t unsent_bytes_ = 0;
  Clock::time_point last_received_ = Clock::now();
};

// Refers to a connection from its handler. The reference is weak: the connection owns its handler, so a
// handler that owned the connection would keep both alive. Once the connection is destroyed, it counts as
// ended, and writes are discarded.
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
  std::size_t unsent_bytes() const {
    const auto connection = connection_.lock();
    return connection ? connection->unsent_bytes() : 0;
  }
  Clock::time_point last_received() const {
    const auto connection = connection_.lock();
    return connection ? connection->last_received() : Clock::time_point::min();
  }

 private:
  std::weak_ptr<Connection> connection_;
};

}  // namespace trailcourse::transport
