#include "transport/connection.h"

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

constexpr std::size_t kReadBytes = 64U << 10U;  // read at once
constexpr int kReadsInTurn = 2;                 // before the others go on
constexpr std::size_t kPiecesAtOnce = 16;       // handed to the system in one call

// One thread reads, and what is read is taken in before the next read.
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

// Of a connect: what has no end of its own did not get there.
ConnectionEnd connect_end_of(int error) {
  const ConnectionEnd end = end_of(error);
  return end == ConnectionEnd::kBroken ? ConnectionEnd::kUnreachable : end;
}

bool would_block(int error) { return error == EAGAIN || error == EWOULDBLOCK; }

}  // namespace

std::shared_ptr<Connection> Connection::connect(Scheduler& scheduler, const Address& to,
                                                const Bounds& bounds) {
  auto made = std::make_shared<Connection>(scheduler, start_connect(to), bounds, true);
  made->peer_ = to;
  return made;
}

std::shared_ptr<Connection> Connection::adopt(Scheduler& scheduler, Descriptor socket, const Bounds& bounds) {
  auto made = std::make_shared<Connection>(scheduler, Opened{std::move(socket), 0}, bounds, false);
  made->peer_ = peer_of(made->socket_.get());
  return made;
}

Connection::Connection(Scheduler& scheduler, Opened opened, const Bounds& bounds, bool connecting)
    : scheduler_(scheduler),
      socket_(std::move(opened.descriptor)),
      bounds_(bounds),
      work_(scheduler),
      open_error_(opened.error),
      up_(!connecting) {}

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

Task<bool> Connection::come_up() {
  const Scheduler::TimerKey timer = scheduler_.at(Clock::now() + bounds_.connect_timeout, [this] {
    if (!up_) {
      finish(ConnectionEnd::kConnectTimeout);
    }
  });
  watch_->blocked_writing();  // a connect in progress is told as writable
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
  up_ = true;
  last_received_ = Clock::now();
  co_return true;
}

Task<void> Connection::read_loop(std::shared_ptr<Connection> self) {
  if (!self->up_) {
    const bool up = co_await self->come_up();
    if (!up) {
      co_return;
    }
  }
  self->scheduler_.spawn(write_loop(self));
  int reads = 0;
  while (!self->ended_ || self->lingering_) {
    const ssize_t count = ::recv(self->socket_.get(), read_buffer.data(), read_buffer.size(), 0);
    if (count > 0) {
      self->hand_on(std::string_view(read_buffer.data(), static_cast<std::size_t>(count)));
      if (++reads % kReadsInTurn == 0) {
        co_await self->scheduler_.yield();
      }
    } else if (count == 0) {
      self->end_reading(ConnectionEnd::kPeerClosed);
    } else if (would_block(errno)) {
      self->watch_->blocked_reading();
      co_await self->watch_->readable();
    } else if (errno != EINTR) {
      self->end_reading(end_of(errno));
    }
  }
}

// Nothing more will come: the end, or that of a connection which ended before and was read on.
void Connection::end_reading(ConnectionEnd end) {
  if (ended_) {
    let_go();
  } else {
    finish(end);
  }
}

// A handler that fails has lost its place in the bytes: its connection ends, and so is heard of.
void Connection::hand_on(std::string_view bytes) {
  if (ended_) {
    return;  // read on so that the close resets nothing
  }
  if (bounds_.end_on_hang_up && watch_->hung_up()) {
    finish(ConnectionEnd::kPeerClosed);
    return;
  }
  last_received_ = Clock::now();
  const std::shared_ptr<Handler> handler = handler_;
  try {
    handler->on_bytes(bytes);
  } catch (const std::exception& error) {
    log_line(Level::kError) << "connection with " << to_string(peer_) << ": " << error.what();
    finish(ConnectionEnd::kMalformed);
  }
}

Task<void> Connection::write_loop(std::shared_ptr<Connection> self) {
  while (!self->ended_) {
    self->flush();
    if (self->ended_) {
      break;
    }
    if (self->waiting_ < self->bounds_.low_mark) {
      const std::shared_ptr<Handler> handler = self->handler_;
      handler->on_drained();
    }
    if (self->pieces_.empty()) {
      if (self->closing_) {
        self->finish(ConnectionEnd::kShutdown);
        break;
      }
      co_await self->work_.wait();
      continue;
    }
    if (!self->blocked_) {
      continue;
    }
    const Scheduler::TimerKey timer =
        self->scheduler_.at(Clock::now() + self->bounds_.stall_timeout,
                            [connection = self.get()] { connection->finish(ConnectionEnd::kStalled); });
    co_await self->watch_->writable();
    self->scheduler_.cancel(timer);
    self->blocked_ = false;
  }
}

std::uint64_t Connection::write(std::string bytes, Gate gate) {
  const std::uint64_t token = ++last_token_;
  if (ended_ || bytes.empty()) {
    return token;
  }
  waiting_ += bytes.size();
  pieces_.push_back(Piece{token, std::move(bytes), 0, std::move(gate)});
  if (waiting_ > bounds_.most_waiting) {
    finish(ConnectionEnd::kOverflow);
    return token;
  }
  if (up_ && watch_ && !blocked_) {
    flush();
  }
  if (up_ && !pieces_.empty()) {
    work_.notify();
  }
  return token;
}

// Takes back what may not begin any more.
void Connection::hold_back() {
  for (auto piece = pieces_.begin(); piece != pieces_.end();) {
    if (piece->written > 0 || !piece->gate || piece->gate()) {
      ++piece;
      continue;
    }
    withheld_.insert(piece->token);
    scheduler_.post([self = shared_from_this(), token = piece->token] {
      const std::shared_ptr<Handler> handler = self->handler_;
      if (self->withheld_.erase(token) > 0 && handler) {
        handler->on_send_refused(token);
      }
    });
    waiting_ -= piece->bytes.size();
    piece = pieces_.erase(piece);
  }
}

// Whether the other side has ended it, and what it sent before has been read. What is written now would
// vanish, and nobody could tell whether it was carried out.
bool Connection::gone() const {
  const ssize_t count = peek();
  return count == 0 || (count < 0 && !would_block(errno) && errno != EINTR);
}

void Connection::flush() {
  while (!pieces_.empty() && !ended_) {
    hold_back();
    if (pieces_.empty()) {
      return;
    }
    if (pieces_.front().gate && pieces_.front().written == 0 && gone()) {
      finish(ConnectionEnd::kPeerClosed);
      return;
    }
    std::array<iovec, kPiecesAtOnce> parts{};
    std::size_t used = 0;
    for (auto piece = pieces_.begin(); piece != pieces_.end() && used < parts.size(); ++piece, ++used) {
      parts[used] = iovec{piece->bytes.data() + piece->written, piece->bytes.size() - piece->written};
    }
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = used;
    const ssize_t count = ::sendmsg(socket_.get(), &message, MSG_NOSIGNAL);
    if (count < 0) {
      if (would_block(errno)) {
        watch_->blocked_writing();
        blocked_ = true;
        return;
      }
      if (errno != EINTR) {
        finish(end_of(errno));
      }
      continue;
    }
    auto left = static_cast<std::size_t>(count);
    waiting_ -= left;
    while (left > 0) {
      Piece& piece = pieces_.front();
      const std::size_t taken = std::min(left, piece.bytes.size() - piece.written);
      piece.written += taken;
      left -= taken;
      if (piece.written == piece.bytes.size()) {
        pieces_.pop_front();
      }
    }
  }
}

std::deque<Connection::Piece>::const_iterator Connection::find_piece(std::uint64_t token) const {
  return std::find_if(pieces_.begin(), pieces_.end(),
                      [token](const Piece& one) { return one.token == token; });
}

bool Connection::begun(std::uint64_t token) const {
  const auto piece = find_piece(token);
  return piece == pieces_.end() ? token <= last_token_ && !withheld_.contains(token) : piece->written > 0;
}

bool Connection::withdraw(std::uint64_t token) {
  const auto piece = find_piece(token);
  if (piece == pieces_.end() || piece->written > 0) {
    return withheld_.erase(token) > 0;
  }
  waiting_ -= piece->bytes.size();
  pieces_.erase(piece);
  return true;
}

void Connection::close_when_written() {
  closing_ = true;
  work_.notify();
}

// What the next read would say, and with it errno; nothing is taken.
ssize_t Connection::peek() const {
  char next = 0;
  return ::recv(socket_.get(), &next, 1, MSG_PEEK);
}

bool Connection::unread() const { return !ended_ && up_ && peek() > 0; }

bool Connection::close_if_read(ConnectionEnd end) {
  if (unread()) {
    return false;
  }
  finish(end);
  return true;
}

// Only what is closed from here, and not for want of a reader on the other side.
bool Connection::lingers(ConnectionEnd end) const {
  const bool ours = end == ConnectionEnd::kIdle || end == ConnectionEnd::kShutdown ||
                    end == ConnectionEnd::kMalformed || end == ConnectionEnd::kOverflow ||
                    end == ConnectionEnd::kDropped;
  const bool room = bounds_.lingering && bounds_.lingering->open < bounds_.lingering->most;
  return ours && room && up_ && watch_ && bounds_.linger > Clock::duration::zero();
}

// The descriptor goes, whatever state the connection is in.
void Connection::let_go() {
  if (std::exchange(lingering_, false)) {
    --bounds_.lingering->open;
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
  lingering_ = lingers(end);
  if (lingering_) {
    ++bounds_.lingering->open;
    ::shutdown(socket_.get(), SHUT_WR);
    scheduler_.at(Clock::now() + bounds_.linger, [weak = weak_from_this()] {
      if (const auto self = weak.lock(); self && self->lingering_) {
        self->let_go();
      }
    });
  } else {
    let_go();
  }
  work_.notify();
  // The pieces stay as they are: what was begun is asked for when the end is told.
  scheduler_.post([self = shared_from_this(), end] {
    if (const std::shared_ptr<Handler> handler = std::exchange(self->handler_, nullptr)) {
      handler->on_end(end);
    }
    self->pieces_.clear();
    self->waiting_ = 0;
  });
}

}  // namespace trailcourse::transport
