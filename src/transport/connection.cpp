#include "transport/connection.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>
#include <utility>

#include "transport/log.h"

namespace trailcourse::transport {
namespace {

constexpr std::size_t kReadBytes = 64U << 10U;  // per system call
constexpr std::size_t kMaxWritesPerCall = 16;   // per sendmsg()

// Shared by all connections: only one thread reads, and each handler processes its bytes before the next
// read.
std::array<char, kReadBytes> read_buffer;

ConnectionEnd end_of(int error) {
  switch (error) {
    case ECONNREFUSED:
      return ConnectionEnd::kRefused;
    case ECONNRESET:
    case EPIPE:
      return ConnectionEnd::kPeerReset;
    case EMFILE:
    case ENFILE:
      return ConnectionEnd::kNoDescriptor;
    default:
      return ConnectionEnd::kBroken;
  }
}

// Returns the end for a failed connect: kUnreachable for all errors that have no enumerator of their own.
ConnectionEnd connect_end_of(int error) {
  const ConnectionEnd end = end_of(error);
  return end == ConnectionEnd::kBroken ? ConnectionEnd::kUnreachable : end;
}

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

}  // namespace

std::shared_ptr<Connection> Connection::connect(Scheduler& scheduler, const Address& to,
                                                const Bounds& bounds) {
  auto connection = std::make_shared<Connection>(scheduler, start_connect(to), bounds, true);
  connection->peer_ = to;
  return connection;
}

std::shared_ptr<Connection> Connection::adopt(Scheduler& scheduler, Descriptor socket, const Bounds& bounds) {
  auto connection = std::make_shared<Connection>(scheduler, Opened{std::move(socket), 0}, bounds, false);
  connection->peer_ = peer_of(connection->socket_.get());
  return connection;
}

Connection::Connection(Scheduler& scheduler, Opened opened, const Bounds& bounds, bool connecting)
    : scheduler_(scheduler),
      socket_(std::move(opened.descriptor)),
      bounds_(bounds),
      write_signal_(scheduler),
      open_error_(opened.error),
      connected_(!connecting) {}

void Connection::start(std::shared_ptr<Handler> handler) {
  handler_ = std::move(handler);
  if (!socket_.valid()) {
    finish(connect_end_of(open_error_));
    return;
  }
  if (bounds_.send_buffer > 0) {
    set_send_buffer(socket_.get(), bounds_.send_buffer);
  }
  watch_ = std::make_unique<Watch>(scheduler_, socket_.get());
  scheduler_.spawn(read_loop(shared_from_this()));
}

Task<bool> Connection::finish_connect() {
  const Scheduler::TimerKey timer = scheduler_.at(Clock::now() + bounds_.connect_timeout, [this] {
    if (!connected_) {
      finish(ConnectionEnd::kConnectTimeout);
    }
  });
  watch_->blocked_writing();  // epoll reports the end of a connect as writable
  const bool open = co_await watch_->writable();
  scheduler_.cancel(timer);
  if (!open || ended_) {
    co_return false;
  }
  const int error = pending_error(socket_.get());
  if (error != 0) {
    finish(connect_end_of(error));
    co_return false;
  }
  connected_ = true;
  last_received_ = Clock::now();
  co_return true;
}

Task<void> Connection::read_loop(std::shared_ptr<Connection> self) {
  if (!self->connected_) {
    const bool connected = co_await self->finish_connect();
    if (!connected) {
      co_return;
    }
  }
  self->scheduler_.spawn(write_loop(self));
  const std::size_t read_bytes = std::min(self->bounds_.read_bytes, read_buffer.size());
  bool busy = false;  // the last turn used all that a turn may
  while (!self->ended_ || self->lingering_) {
    if (busy && self->bounds_.background) {
      co_await self->scheduler_.yield_background();
    } else if (busy) {
      co_await self->scheduler_.yield();
    }
    // Since epoll was asked, other turns have passed.
    if (busy && self->bounds_.end_on_hang_up && !self->ended_ && self->peer_has_left()) {
      self->finish(ConnectionEnd::kPeerClosed);
      continue;
    }
    if (self->has_backlog()) {
      self->deliver({});
      busy = true;
      continue;
    }
    const ssize_t count = ::recv(self->socket_.get(), read_buffer.data(), read_bytes, 0);
    if (count > 0) {
      self->deliver(std::string_view(read_buffer.data(), static_cast<std::size_t>(count)));
      busy = self->lingering_ || self->has_backlog() || static_cast<std::size_t>(count) == read_bytes;
    } else if (count == 0) {
      self->on_read_end(ConnectionEnd::kPeerClosed);
    } else if (would_block(errno)) {
      self->watch_->blocked_reading();
      co_await self->watch_->readable();
    } else if (errno != EINTR) {
      self->on_read_end(end_of(errno));
    }
  }
}

// Handles the end of the received bytes: ends the connection, or releases the socket of a lingering one.
void Connection::on_read_end(ConnectionEnd end) {
  if (ended_) {
    release_socket();
  } else {
    finish(end);
  }
}

// Passes received bytes to the handler, or lets it process its backlog where there are none.
void Connection::deliver(std::string_view bytes) {
  if (ended_) {
    return;  // lingering: read and discarded so that closing does not reset the connection
  }
  if (bounds_.end_on_hang_up && watch_->hung_up()) {
    finish(ConnectionEnd::kPeerClosed);
    return;
  }
  if (bytes.empty()) {
    call_handler([](Handler& handler) { handler.on_turn(); });
    return;
  }
  last_received_ = Clock::now();
  call_handler([bytes](Handler& handler) { handler.on_bytes(bytes); });
}

// If the handler throws, its parser has lost its position in the bytes, so the connection ends.
void Connection::call_handler(const std::function<void(Handler&)>& call) {
  const std::shared_ptr<Handler> handler = handler_;
  try {
    call(*handler);
  } catch (const std::exception& error) {
    log_line(Level::kError) << "closed the connection to " << to_string(peer_) << ": " << error.what();
    finish(ConnectionEnd::kMalformed);
  }
}

bool Connection::peer_has_left() const {
  pollfd state{socket_.get(), POLLRDHUP, 0};
  return connected_ && socket_.valid() && ::poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

Task<void> Connection::write_loop(std::shared_ptr<Connection> self) {
  while (!self->ended_) {
    self->flush();
    if (self->ended_) {
      break;
    }
    if (self->unsent_bytes_ < self->bounds_.low_mark) {
      const std::shared_ptr<Handler> handler = self->handler_;
      handler->on_drained();
    }
    if (self->queue_.empty()) {
      if (self->closing_) {
        self->finish(ConnectionEnd::kShutdown);
        break;
      }
      co_await self->write_signal_.wait();
      continue;
    }
    if (!self->write_blocked_) {
      continue;
    }
    const Scheduler::TimerKey timer =
        self->scheduler_.at(Clock::now() + self->bounds_.stall_timeout,
                            [connection = self.get()] { connection->finish(ConnectionEnd::kStalled); });
    co_await self->watch_->writable();
    self->scheduler_.cancel(timer);
    self->write_blocked_ = false;
  }
}

std::uint64_t Connection::write(std::string bytes, SendCheck send_check) {
  const std::uint64_t token = ++last_token_;
  if (ended_ || bytes.empty()) {
    return token;
  }
  unsent_bytes_ += bytes.size();
  queue_.push_back(QueuedWrite{token, std::move(bytes), 0, std::move(send_check)});
  if (unsent_bytes_ > bounds_.max_unsent_bytes) {
    finish(ConnectionEnd::kOverflow);
    return token;
  }
  if (connected_ && watch_ && !write_blocked_) {
    flush();
  }
  if (connected_ && !queue_.empty()) {
    write_signal_.notify();
  }
  return token;
}

// Removes the queued writes whose send check returns false.
void Connection::remove_refused_writes() {
  for (auto entry = queue_.begin(); entry != queue_.end();) {
    if (entry->written > 0 || !entry->send_check || entry->send_check()) {
      ++entry;
      continue;
    }
    refused_.insert(entry->token);
    scheduler_.post([self = shared_from_this(), token = entry->token] {
      const std::shared_ptr<Handler> handler = self->handler_;
      if (self->refused_.erase(token) > 0 && handler) {
        handler->on_send_refused(token);
      }
    });
    unsent_bytes_ -= entry->bytes.size();
    entry = queue_.erase(entry);
  }
}

// Returns whether the peer has closed the connection and all bytes that it sent before were read. Bytes
// written then would be lost, and it would be unknown whether a request in them was executed.
bool Connection::peer_closed() const {
  const ssize_t count = peek();
  return count == 0 || (count < 0 && !would_block(errno) && errno != EINTR);
}

void Connection::flush() {
  while (!queue_.empty() && !ended_) {
    remove_refused_writes();
    if (queue_.empty()) {
      return;
    }
    if (queue_.front().send_check && queue_.front().written == 0 && peer_closed()) {
      finish(ConnectionEnd::kPeerClosed);
      return;
    }
    std::array<iovec, kMaxWritesPerCall> parts{};
    std::size_t used = 0;
    for (auto entry = queue_.begin(); entry != queue_.end() && used < parts.size(); ++entry, ++used) {
      parts[used] = iovec{entry->bytes.data() + entry->written, entry->bytes.size() - entry->written};
    }
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = used;
    const ssize_t count = ::sendmsg(socket_.get(), &message, MSG_NOSIGNAL);
    if (count < 0) {
      if (would_block(errno)) {
        watch_->blocked_writing();
        write_blocked_ = true;
        return;
      }
      if (errno != EINTR) {
        finish(end_of(errno));
      }
      continue;
    }
    auto left = static_cast<std::size_t>(count);
    unsent_bytes_ -= left;
    while (left > 0) {
      QueuedWrite& entry = queue_.front();
      const std::size_t taken = std::min(left, entry.bytes.size() - entry.written);
      entry.written += taken;
      left -= taken;
      if (entry.written == entry.bytes.size()) {
        queue_.pop_front();
      }
    }
  }
}

std::deque<Connection::QueuedWrite>::const_iterator Connection::find_write(std::uint64_t token) const {
  return std::find_if(queue_.begin(), queue_.end(),
                      [token](const QueuedWrite& one) { return one.token == token; });
}

bool Connection::may_have_sent(std::uint64_t token) const {
  const auto entry = find_write(token);
  return entry == queue_.end() ? token <= last_token_ && !refused_.contains(token) : entry->written > 0;
}

bool Connection::cancel_write(std::uint64_t token) {
  const auto entry = find_write(token);
  if (entry == queue_.end() || entry->written > 0) {
    return refused_.erase(token) > 0;
  }
  unsent_bytes_ -= entry->bytes.size();
  queue_.erase(entry);
  return true;
}

void Connection::close_when_written() {
  closing_ = true;
  write_signal_.notify();
}

// Returns the result of the next read of one byte, and sets errno, without consuming the byte.
ssize_t Connection::peek() const {
  char next = 0;
  return ::recv(socket_.get(), &next, 1, MSG_PEEK);
}

bool Connection::has_unread_data() const { return !ended_ && connected_ && peek() > 0; }

bool Connection::close_if_nothing_unread(ConnectionEnd end) {
  if (has_unread_data()) {
    return false;
  }
  finish(end);
  return true;
}

// Returns whether to linger after `end`: only where this side closed the connection, except for a peer that
// does not read.
bool Connection::should_linger(ConnectionEnd end) const {
  const bool closed_here = end == ConnectionEnd::kIdle || end == ConnectionEnd::kShutdown ||
                           end == ConnectionEnd::kMalformed || end == ConnectionEnd::kOverflow ||
                           end == ConnectionEnd::kDropped;
  const bool room = bounds_.lingering && bounds_.lingering->count < bounds_.lingering->max;
  return closed_here && room && connected_ && watch_ && bounds_.linger > Clock::duration::zero();
}

// Closes the descriptor in any state of the connection.
void Connection::release_socket() {
  if (std::exchange(lingering_, false)) {
    --bounds_.lingering->count;
  }
  if (watch_) {
    watch_->close();
  }
  socket_.reset();
}

void Connection::finish(ConnectionEnd end) {
  if (ended_) {
    return;
  }
  ended_ = true;
  lingering_ = should_linger(end);
  if (lingering_) {
    ++bounds_.lingering->count;
    ::shutdown(socket_.get(), SHUT_WR);
    scheduler_.at(Clock::now() + bounds_.linger, [weak = weak_from_this()] {
      if (const auto self = weak.lock(); self && self->lingering_) {
        self->release_socket();
      }
    });
  } else {
    release_socket();
  }
  write_signal_.notify();
  // The queue is kept until on_end() returns, since the handler can query there which bytes were sent.
  scheduler_.post([self = shared_from_this(), end] {
    if (const std::shared_ptr<Handler> handler = std::exchange(self->handler_, nullptr)) {
      handler->on_end(end);
    }
    self->queue_.clear();
    self->unsent_bytes_ = 0;
  });
}

}  // namespace trailcourse::transport
