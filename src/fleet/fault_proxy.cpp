#include "fleet/fault_proxy.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <utility>

namespace trailcourse::fleet {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;

namespace {

constexpr milliseconds kPump{5};
constexpr int kBacklog = 1'024;

// Closing such a socket resets its connection.
void reset_on_close(int descriptor) {
  linger now{1, 0};
  ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

Connection::Bounds bounds() {
  Connection::Bounds out;
  out.most_waiting = 256U << 20U;
  out.stall_timeout = std::chrono::hours(1);
  return out;
}

}  // namespace

// Two connections and what is on its way between them.
class FaultProxy::Pair : public std::enable_shared_from_this<Pair> {
 public:
  explicit Pair(FaultProxy& proxy) : proxy_(&proxy) {}

  void start(transport::Descriptor socket);
  void came(bool from_asker, std::string_view bytes) {
    if (proxy_ == nullptr) {
      return;
    }
    if (from_asker) {
      proxy_->seen_.requests.push_back(Clock::now());
      truncated_ = 0;
    }
    way(from_asker).push_back({Clock::now() + proxy_->state_.delay, std::string(bytes)});
    pump();
  }
  void ended(bool from_asker) {
    (from_asker ? asker_ended_ : asked_ended_) = true;
    if (proxy_ == nullptr) {
      return;
    }
    // A cut link tells nobody that the other side has gone.
    pump();
  }
  void pump();
  void reset() {
    reset_on_close(asker_socket_.get());
    close();
  }
  void close() {
    if (proxy_ == nullptr) {
      return;
    }
    asker_socket_.reset();
    FaultProxy* proxy = std::exchange(proxy_, nullptr);
    const auto self = shared_from_this();
    asker_.close(ConnectionEnd::kDropped);
    asked_.close(ConnectionEnd::kDropped);
    proxy->pairs_.erase(self);
  }

 private:
  struct Piece {
    Clock::time_point due;
    std::string bytes;
  };
  std::deque<Piece>& way(bool out) { return out ? out_ : in_; }
  // Whether all that came has been passed on, or never will be.
  void move(bool out);

  FaultProxy* proxy_;
  transport::Descriptor asker_socket_;  // beside the connection's own, to reset it by
  transport::ConnectionHandle asker_;
  transport::ConnectionHandle asked_;
  std::deque<Piece> out_;
  std::deque<Piece> in_;
  bool asker_ended_ = false;
  bool asked_ended_ = false;
  std::int64_t truncated_ = 0;
  double allowance_ = 0.0;  // bytes of a slow link
  Clock::time_point allowed_at_ = Clock::now();
};

class FaultProxy::End : public Connection::Handler {
 public:
  End(std::shared_ptr<Pair> pair, bool asker) : pair_(std::move(pair)), asker_(asker) {}
  void on_bytes(std::string_view bytes) override { pair_->came(asker_, bytes); }
  void on_end(ConnectionEnd) override { pair_->ended(asker_); }

 private:
  std::shared_ptr<Pair> pair_;
  bool asker_;
};

void FaultProxy::Pair::start(transport::Descriptor socket) {
  asker_socket_ = transport::Descriptor(::fcntl(socket.get(), F_DUPFD_CLOEXEC, 0));
  const auto asker = Connection::adopt(proxy_->scheduler_, std::move(socket), bounds());
  const auto asked = Connection::connect(proxy_->scheduler_, proxy_->target_, bounds());
  asker_ = transport::ConnectionHandle(asker);
  asked_ = transport::ConnectionHandle(asked);
  asker->start(std::make_shared<End>(shared_from_this(), true));
  asked->start(std::make_shared<End>(shared_from_this(), false));
}

void FaultProxy::Pair::move(bool out) {
  const State& state = proxy_->state_;
  const bool cut = out ? state.cut_out : state.cut_in;
  std::deque<Piece>& pieces = way(out);
  const transport::ConnectionHandle& to = out ? asked_ : asker_;
  while (!pieces.empty() && !cut && pieces.front().due <= Clock::now() && !to.ended()) {
    std::string& bytes = pieces.front().bytes;
    std::size_t size = bytes.size();
    if (state.bytes_per_s > 0) {
      size = std::min(size, static_cast<std::size_t>(std::max(0.0, allowance_)));
    }
    if (!out && state.truncate >= 0) {
      const auto left = std::max<std::int64_t>(0, state.truncate - truncated_);
      size = std::min(size, static_cast<std::size_t>(left));
      truncated_ += static_cast<std::int64_t>(size);
      if (size > 0) {
        to.write(bytes.substr(0, size));
      }
      if (truncated_ >= state.truncate) {
        to.close_when_written();
        asked_.close(ConnectionEnd::kDropped);
        pieces.clear();
      } else {
        pieces.pop_front();
      }
      continue;
    }
    if (size == 0) {
      break;
    }
    allowance_ -= static_cast<double>(size);
    (out ? proxy_->seen_.bytes_out : proxy_->seen_.bytes_in) += size;
    to.write(bytes.substr(0, size));
    bytes.erase(0, size);
    if (bytes.empty()) {
      pieces.pop_front();
    }
  }
}

void FaultProxy::Pair::pump() {
  if (proxy_ == nullptr) {
    return;
  }
  const State& state = proxy_->state_;
  const Clock::time_point now = Clock::now();
  if (state.bytes_per_s > 0) {
    const double seconds = std::chrono::duration<double>(now - allowed_at_).count();
    const auto rate = static_cast<double>(state.bytes_per_s);
    allowance_ = std::min(rate, allowance_ + seconds * rate);
  }
  allowed_at_ = now;
  move(true);
  move(false);
  const bool cut = state.cut_in || state.cut_out;
  const bool told_asker = asked_ended_ && in_.empty() && !cut;
  const bool told_asked = asker_ended_ && out_.empty() && !cut;
  if (told_asker || told_asked) {
    close();
  }
}

FaultProxy::FaultProxy(transport::Scheduler& scheduler, std::string name, const transport::Address& listen,
                       const transport::Address& target)
    : scheduler_(scheduler),
      name_(std::move(name)),
      target_(target),
      listener_(scheduler, listen, kBacklog, kPump,
                [this](transport::Descriptor socket) { take_in(std::move(socket)); }) {
  scheduler_.spawn(pump_loop());
}

FaultProxy::~FaultProxy() {
  decltype(pairs_) pairs;
  pairs.swap(pairs_);  // each leaves the set as it closes
  for (const std::shared_ptr<Pair>& pair : pairs) {
    pair->close();
  }
}

// What is delayed or trickles goes on as its time comes.
transport::Task<void> FaultProxy::pump_loop() {
  for (;;) {
    co_await scheduler_.sleep(kPump);
    if (state_.delay.count() > 0 || state_.bytes_per_s > 0) {
      pump_all();
    }
  }
}

void FaultProxy::pump_all() {
  const auto pairs = pairs_;
  for (const std::shared_ptr<Pair>& pair : pairs) {
    pair->pump();
  }
}

void FaultProxy::take_in(transport::Descriptor socket) {
  seen_.connections.push_back(Clock::now());
  if (state_.refuse) {
    reset_on_close(socket.get());
    return;
  }
  const auto pair = std::make_shared<Pair>(*this);
  pairs_.insert(pair);
  pair->start(std::move(socket));
}

void FaultProxy::apply(const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kCut:
      state_.cut_in = state_.cut_in || fault.direction != "out";
      state_.cut_out = state_.cut_out || fault.direction != "in";
      break;
    case FaultKind::kDelay:
      state_.delay = milliseconds(fault.value);
      break;
    case FaultKind::kReset: {
      const auto pairs = pairs_;
      for (const std::shared_ptr<Pair>& pair : pairs) {
        pair->reset();
      }
      break;
    }
    case FaultKind::kRefuse:
      state_.refuse = true;
      break;
    case FaultKind::kSlow:
      state_.bytes_per_s = std::max<std::int64_t>(1, fault.value);
      break;
    case FaultKind::kTruncate:
      state_.truncate = fault.value;
      break;
    case FaultKind::kHeal:
      state_ = State{};
      break;
    default:
      break;
  }
  pump_all();
}

}  // namespace trailcourse::fleet
