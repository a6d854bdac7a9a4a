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

constexpr milliseconds kPumpInterval{5};
constexpr int kBacklog = 1'024;

// Makes the close of the socket reset its connection.
void reset_on_close(int descriptor) {
  linger no_wait{1, 0};
  ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &no_wait, sizeof no_wait);
}

// Returns bounds that are high enough that only injected faults end connections.
Connection::Bounds bounds() {
  Connection::Bounds out;
  out.max_unsent_bytes = 256U << 20U;
  out.stall_timeout = std::chrono::hours(1);
  return out;
}

}  // namespace

// A client connection, its server connection, and the bytes that wait between them.
class FaultProxy::Pair : public std::enable_shared_from_this<Pair> {
 public:
  explicit Pair(FaultProxy& proxy) : proxy_(&proxy) {}

  void start(transport::Descriptor socket);
  void on_received(bool from_client, std::string_view bytes) {
    if (proxy_ == nullptr) {
      return;
    }
    if (from_client) {
      proxy_->traffic_.requests.push_back(Clock::now());
      answer_bytes_ = 0;
    }
    queue(from_client).push_back({Clock::now() + proxy_->state_.delay, std::string(bytes)});
    pump();
  }
  void on_ended(bool from_client) {
    (from_client ? client_ended_ : server_ended_) = true;
    if (proxy_ == nullptr) {
      return;
    }
    pump();  // closes the other connection too, unless the link is cut
  }
  // Forwards what is due in both directions, and closes the pair when one side has ended and its bytes were
  // forwarded, unless the link is cut.
  void pump();
  // Closes the pair and resets the client connection.
  void reset() {
    reset_on_close(client_socket_.get());
    close();
  }
  // Closes both connections and removes the pair from the proxy.
  void close() {
    if (proxy_ == nullptr) {
      return;
    }
    client_socket_.reset();
    FaultProxy* proxy = std::exchange(proxy_, nullptr);
    const auto self = shared_from_this();
    client_.close(ConnectionEnd::kDropped);
    server_.close(ConnectionEnd::kDropped);
    proxy->pairs_.erase(self);
  }

 private:
  struct Chunk {
    Clock::time_point due;
    std::string bytes;
  };
  std::deque<Chunk>& queue(bool to_server) { return to_server ? to_server_ : to_client_; }
  // Forwards the chunks of one direction that are due, as far as the faults allow.
  void forward(bool to_server);

  FaultProxy* proxy_;
  transport::Descriptor client_socket_;  // a duplicate, to set SO_LINGER on
  transport::ConnectionHandle client_;
  transport::ConnectionHandle server_;
  std::deque<Chunk> to_server_;
  std::deque<Chunk> to_client_;
  bool client_ended_ = false;
  bool server_ended_ = false;
  std::int64_t answer_bytes_ = 0;  // of the current answer, forwarded under a truncate fault
  double allowance_ = 0.0;         // bytes that a throttled link may forward now
  Clock::time_point refilled_at_ = Clock::now();
};

// Passes the events of one connection of a pair to the pair.
class FaultProxy::End : public Connection::Handler {
 public:
  End(std::shared_ptr<Pair> pair, bool client) : pair_(std::move(pair)), client_(client) {}
  void on_bytes(std::string_view bytes) override { pair_->on_received(client_, bytes); }
  void on_end(ConnectionEnd) override { pair_->on_ended(client_); }

 private:
  std::shared_ptr<Pair> pair_;
  bool client_;
};

void FaultProxy::Pair::start(transport::Descriptor socket) {
  client_socket_ = transport::Descriptor(::fcntl(socket.get(), F_DUPFD_CLOEXEC, 0));
  const auto client = Connection::adopt(proxy_->scheduler_, std::move(socket), bounds());
  const auto server = Connection::connect(proxy_->scheduler_, proxy_->target_, bounds());
  client_ = transport::ConnectionHandle(client);
  server_ = transport::ConnectionHandle(server);
  client->start(std::make_shared<End>(shared_from_this(), true));
  server->start(std::make_shared<End>(shared_from_this(), false));
}

void FaultProxy::Pair::forward(bool to_server) {
  const State& state = proxy_->state_;
  const bool cut = to_server ? state.cut_out : state.cut_in;
  std::deque<Chunk>& chunks = queue(to_server);
  const transport::ConnectionHandle& to = to_server ? server_ : client_;
  while (!chunks.empty() && !cut && chunks.front().due <= Clock::now() && !to.ended()) {
    std::string& bytes = chunks.front().bytes;
    std::size_t size = bytes.size();
    if (state.bytes_per_s > 0) {
      size = std::min(size, static_cast<std::size_t>(std::max(0.0, allowance_)));
    }
    if (!to_server && state.truncate >= 0) {
      const auto remaining = std::max<std::int64_t>(0, state.truncate - answer_bytes_);
      size = std::min(size, static_cast<std::size_t>(remaining));
      answer_bytes_ += static_cast<std::int64_t>(size);
      if (size > 0) {
        to.write(bytes.substr(0, size));
      }
      if (answer_bytes_ >= state.truncate) {
        to.close_when_written();
        server_.close(ConnectionEnd::kDropped);
        chunks.clear();
      } else {
        chunks.pop_front();
      }
      continue;
    }
    if (size == 0) {
      break;
    }
    allowance_ -= static_cast<double>(size);
    (to_server ? proxy_->traffic_.bytes_out : proxy_->traffic_.bytes_in) += size;
    to.write(bytes.substr(0, size));
    bytes.erase(0, size);
    if (bytes.empty()) {
      chunks.pop_front();
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
    const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
    const auto rate = static_cast<double>(state.bytes_per_s);
    allowance_ = std::min(rate, allowance_ + seconds * rate);
  }
  refilled_at_ = now;
  forward(true);
  forward(false);
  const bool cut = state.cut_in || state.cut_out;
  const bool all_sent_to_client = server_ended_ && to_client_.empty() && !cut;
  const bool all_sent_to_server = client_ended_ && to_server_.empty() && !cut;
  if (all_sent_to_client || all_sent_to_server) {
    close();
  }
}

FaultProxy::FaultProxy(transport::Scheduler& scheduler, std::string name, const transport::Address& listen,
                       const transport::Address& target)
    : scheduler_(scheduler),
      name_(std::move(name)),
      target_(target),
      listener_(scheduler, listen, kBacklog, kPumpInterval,
                [this](transport::Descriptor socket) { accept(std::move(socket)); }) {
  scheduler_.spawn(pump_loop());
}

FaultProxy::~FaultProxy() {
  decltype(pairs_) pairs;
  pairs.swap(pairs_);  // each pair removes itself from the set when it closes
  for (const std::shared_ptr<Pair>& pair : pairs) {
    pair->close();
  }
}

// Forwards delayed and throttled bytes when they are due.
transport::Task<void> FaultProxy::pump_loop() {
  for (;;) {
    co_await scheduler_.sleep(kPumpInterval);
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

void FaultProxy::accept(transport::Descriptor socket) {
  traffic_.connections.push_back(Clock::now());
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
