#include "fleet/bad_clients.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <random>
#include <utility>
#include <vector>

#include "fleet/load_generator.h"
#include "protocol/fastcgi_peer.h"

namespace trailcourse::fleet {

namespace peer = protocol::fastcgi_peer;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

constexpr std::uint8_t kEndRequest = 3;
constexpr std::uint8_t kAbortRequest = 2;
constexpr std::uint8_t kParams = 4;
constexpr std::uint8_t kStdin = 5;
constexpr std::uint8_t kGetValuesType = 9;
constexpr std::uint8_t kUnknownManagementType = 77;
constexpr std::size_t kHeaderBytes = 8;

constexpr std::uint16_t kOpenRequests = 32;  // of a client that keeps the protocol's limit
constexpr std::uint16_t kManyRequests = 64;  // twice that
constexpr std::size_t kEmptyFieldCount = 8'190;
constexpr std::size_t kShortFieldCount = 5'000;
constexpr std::size_t kFullParameters = 16'380;  // bytes, just within the limit of a head
constexpr std::size_t kBodyBytes = 48'000;
constexpr std::size_t kSentBodyBytes = 40'000;  // of a body that is never completed
constexpr std::size_t kBatchBytes = 64'000;     // written at once by a flooding client
constexpr std::size_t kTrickleBytes = 600;      // written at once by a slow client
constexpr milliseconds kTricklePause{20};
constexpr milliseconds kHalfRequestTime{1'000};  // for which a half request stays on its connection
constexpr milliseconds kAnswerTimeout{3'000};
constexpr milliseconds kReconnectPause{5};
constexpr int kPollTimeoutMs = 5;
// Objects that usual clients ask for, so that caches answer at once.
constexpr std::uint64_t kFirstKnownObject = 1'000;
constexpr std::uint64_t kKnownObjects = 30;

constexpr std::array<std::pair<Misuse, std::string_view>, 12> kNames{{
    {Misuse::kEmptyFields, "empty-fields"},
    {Misuse::kShortFields, "short-fields"},
    {Misuse::kStoppedBodies, "stopped-bodies"},
    {Misuse::kSlowWriters, "slow-writers"},
    {Misuse::kLongHeads, "long-heads"},
    {Misuse::kManagement, "management"},
    {Misuse::kGetValues, "get-values"},
    {Misuse::kAbortedRequests, "aborted-requests"},
    {Misuse::kNewObjects, "new-objects"},
    {Misuse::kUnreadAnswers, "unread-answers"},
    {Misuse::kCloseUnread, "close-unread"},
    {Misuse::kSilent, "silent"},
}};

// Returns parameters of short fields that no router knows.
std::string short_fields(std::size_t count) {
  std::string out;
  for (std::size_t i = 0; i < count; ++i) {
    out += peer::pair("a", "");
  }
  return out;
}

std::string repeated(const std::string& text, std::size_t bytes) {
  std::string out;
  while (out.size() + text.size() <= bytes) {
    out += text;
  }
  return out;
}

std::string hex_number(std::mt19937_64& random) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random()));
  return text.data();
}

}  // namespace

std::string_view to_string(Misuse misuse) {
  return std::find_if(kNames.begin(), kNames.end(), [misuse](const auto& one) { return one.first == misuse; })
      ->second;
}

std::optional<Misuse> parse_misuse(std::string_view name) {
  const auto found =
      std::find_if(kNames.begin(), kNames.end(), [name](const auto& one) { return one.second == name; });
  return found == kNames.end() ? std::nullopt : std::optional(found->first);
}

// One client with its connection.
class BadClients::Client {
 public:
  Client(const transport::Address& router, const Options& options, std::uint64_t seed, Progress& progress)
      : router_(router), options_(options), random_(seed), progress_(progress) {}

  int descriptor() const { return socket_.get(); }
  bool wants_write() const { return sent_ < out_.size(); }
  bool reads() const { return options_.misuse != Misuse::kUnreadAnswers; }

  // Connects where there is no connection, and continues where the client has something to do.
  void step(Clock::time_point now) {
    if (now < resume_at_) {
      return;
    }
    if (!socket_.valid()) {
      connect(now);
    } else if (!wants_write()) {
      sent_ = 0;
      out_.clear();
      continue_misuse(now);
    }
  }

  void write(Clock::time_point now) {
    if (now < resume_at_) {
      return;
    }
    const std::size_t left = out_.size() - sent_;
    const bool slow = options_.misuse == Misuse::kSlowWriters;
    const std::size_t bytes = slow ? std::min(left, kTrickleBytes) : left;
    const ssize_t count = ::send(socket_.get(), out_.data() + sent_, bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count > 0) {
      sent_ += static_cast<std::size_t>(count);
      progress_.bytes_sent += static_cast<std::uint64_t>(count);
      resume_at_ = slow ? now + kTricklePause : now;
    } else if (count < 0 && errno != EAGAIN && errno != EINTR) {
      closed_by_router(now);
    }
  }

  void read(Clock::time_point now) {
    static thread_local std::array<char, 1U << 18U> buffer;
    const ssize_t count = ::recv(socket_.get(), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count > 0) {
      progress_.bytes_received += static_cast<std::uint64_t>(count);
      count_answers(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
    } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
      closed_by_router(now);
    }
  }

 private:
  void connect(Clock::time_point now) {
    transport::Opened opened = transport::start_connect(router_);
    socket_ = std::move(opened.descriptor);
    ++progress_.connects;
    half_sent_ = false;
    open_ = 0;
    in_.clear();
    out_.clear();
    sent_ = 0;
    if (options_.misuse == Misuse::kUnreadAnswers && socket_.valid()) {
      constexpr int kSmallBuffer = 4096;
      ::setsockopt(socket_.get(), SOL_SOCKET, SO_RCVBUF, &kSmallBuffer, sizeof kSmallBuffer);
    }
    resume_at_ = now;
  }

  void closed_by_router(Clock::time_point now) {
    ++progress_.closes;
    socket_.reset();
    resume_at_ = now + kReconnectPause;
  }

  void reset_connection(Clock::time_point now) {
    const linger at_once{1, 0};
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    socket_.reset();
    resume_at_ = now + kReconnectPause;
  }

  // Counts the ends of answers. The content of other records is skipped.
  void count_answers(std::string_view bytes) {
    in_ += bytes;
    std::size_t at = 0;
    while (in_.size() - at >= kHeaderBytes) {
      const auto byte = [&](std::size_t i) { return static_cast<std::uint8_t>(in_[at + i]); };
      const std::size_t record = kHeaderBytes + ((std::size_t{byte(4)} << 8U) | byte(5)) + byte(6);
      if (in_.size() - at < record) {
        break;
      }
      if (byte(1) == kEndRequest) {
        ++progress_.answers;
        open_ -= open_ > 0 ? 1 : 0;
      }
      at += record;
    }
    in_.erase(0, at);
  }

  peer::Fields request_fields() {
    return {{"SCRIPT_NAME", "/v1/" + options_.request_class},
            {"HTTP_X_CALL_ID", hex_number(random_)},
            {"HTTP_X_PATIENCE_MS", "3000"},
            {"HTTP_X_ENTITY",
             reads() ? hex_number(random_) : object_name(kFirstKnownObject + random_() % kKnownObjects)},
            {"HTTP_X_NTH", "0"},
            {"HTTP_X_BATCH", "17"},
            {"HTTP_X_HEAP_KB", "20"}};
  }

  std::uint16_t next_id() {
    last_id_ = last_id_ >= kManyRequests ? std::uint16_t{1} : static_cast<std::uint16_t>(last_id_ + 1);
    return last_id_;
  }

  void continue_misuse(Clock::time_point now) {
    switch (options_.misuse) {
      case Misuse::kEmptyFields:
        continue_heads(now, kManyRequests, std::string(2 * kEmptyFieldCount, '\0'), milliseconds(0));
        break;
      case Misuse::kShortFields: {
        static const std::string kHead = short_fields(kShortFieldCount);
        continue_heads(now, kOpenRequests, kHead, milliseconds(random_() % 2'000));
        break;
      }
      case Misuse::kStoppedBodies:
        stop_half_way(now);
        break;
      case Misuse::kSlowWriters:
        out_ = peer::request_bytes(next_id(), request_fields(), std::string(kBodyBytes, 'b'));
        break;
      case Misuse::kLongHeads:
        add_long_heads();
        break;
      case Misuse::kManagement:
        out_ = repeated(peer::record(kUnknownManagementType, 0, ""), kBatchBytes);
        break;
      case Misuse::kGetValues:
        out_ = repeated(peer::record(kGetValuesType, 0, peer::pair("FCGI_MAX_REQS", "")), kBatchBytes);
        break;
      case Misuse::kAbortedRequests:
        add_aborted_requests();
        break;
      case Misuse::kNewObjects:
      case Misuse::kUnreadAnswers:
        add_requests();
        break;
      case Misuse::kCloseUnread:
        half_sent_ ? reset_connection(now) : add_requests();
        half_sent_ = true;
        break;
      case Misuse::kSilent:
        break;
    }
  }

  // Sends heads without their ends, waits, and completes all of them in one write.
  void continue_heads(Clock::time_point now, std::uint16_t count, const std::string& head,
                      milliseconds pause) {
    if (open_ > 0 && now < give_up_at_) {
      return;
    }
    for (std::uint16_t id = 1; id <= count; ++id) {
      out_ += half_sent_ ? peer::record(kParams, id, "") + peer::record(kStdin, id, "")
                         : peer::begin_record(id) + peer::record(kParams, id, head);
    }
    open_ = half_sent_ ? count : 0;
    half_sent_ = !half_sent_;
    resume_at_ = half_sent_ ? now : now + pause;
    give_up_at_ = now + kAnswerTimeout;
  }

  void stop_half_way(Clock::time_point now) {
    if (half_sent_ && now >= give_up_at_) {
      reset_connection(now);
    }
    if (half_sent_) {
      return;
    }
    for (std::uint16_t id = 1; id <= kOpenRequests; ++id) {
      out_ += peer::begin_record(id) + peer::record(kParams, id, std::string(kFullParameters, '\0')) +
              peer::record(kParams, id, "") + peer::record(kStdin, id, std::string(kSentBodyBytes, 'b'));
    }
    half_sent_ = true;
    give_up_at_ = now + kHalfRequestTime;
  }

  void add_long_heads() {
    while (out_.size() < kBatchBytes) {
      const std::uint16_t id = next_id();
      out_ += peer::begin_record(id) + peer::record(kParams, id, std::string(2 * kFullParameters, '\0')) +
              peer::record(kAbortRequest, id, "");
    }
  }

  void add_aborted_requests() {
    while (out_.size() < kBatchBytes) {
      const std::uint16_t id = next_id();
      out_ += peer::request_bytes(id, request_fields(), "") + peer::record(kAbortRequest, id, "");
    }
  }

  // Keeps the protocol's limit of open requests.
  void add_requests() {
    while (open_ < kOpenRequests) {
      out_ += peer::request_bytes(next_id(), request_fields(), "");
      ++open_;
    }
  }

  transport::Address router_;
  Options options_;
  std::mt19937_64 random_;
  Progress& progress_;
  transport::Descriptor socket_;
  std::string out_;
  std::size_t sent_ = 0;
  std::string in_;
  std::uint16_t last_id_ = 0;
  std::uint64_t open_ = 0;
  bool half_sent_ = false;
  Clock::time_point resume_at_;
  Clock::time_point give_up_at_;
};

BadClients::BadClients(const transport::Address& router, const Options& options)
    : thread_([this, router, options] { run(router, options); }) {}

BadClients::~BadClients() {
  stopping_ = true;
  thread_.join();
}

BadClients::Counts BadClients::counts() const {
  return {progress_.connects, progress_.closes, progress_.bytes_sent, progress_.bytes_received,
          progress_.answers};
}

void BadClients::run(const transport::Address& router, const Options& options) {
  std::vector<std::unique_ptr<Client>> clients;
  clients.reserve(options.connections);
  for (std::size_t i = 0; i < options.connections; ++i) {
    clients.push_back(std::make_unique<Client>(router, options, options.seed * 1'000'003 + i, progress_));
  }
  std::vector<pollfd> waiting;
  while (!stopping_) {
    waiting.clear();
    const Clock::time_point now = Clock::now();
    for (const auto& client : clients) {
      if (stopping_) {
        return;
      }
      client->step(now);
      const int events = (client->reads() ? POLLIN : 0) | (client->wants_write() ? POLLOUT : 0);
      waiting.push_back({client->descriptor(), static_cast<short>(events), 0});
    }
    ::poll(waiting.data(), waiting.size(), kPollTimeoutMs);
    for (std::size_t i = 0; i < clients.size(); ++i) {
      if ((waiting[i].revents & POLLOUT) != 0) {
        clients[i]->write(now);
      }
      if ((waiting[i].revents & (POLLIN | POLLERR | POLLHUP)) != 0 && clients[i]->descriptor() >= 0) {
        clients[i]->read(now);
      }
    }
  }
}

}  // namespace trailcourse::fleet
