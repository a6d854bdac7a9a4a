// Responses of the discovery service that arrive after their call has timed out.
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "routing/discovery_client.h"
#include "stand_ins.h"
#include "transport/scheduler.h"

namespace trailcourse {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Holds each call until its response is given. Calls are numbered from 0 in the order of their arrival.
class HeldDiscoveryServer : public testing_support::Server {
 public:
  HeldDiscoveryServer() { start(); }
  ~HeldDiscoveryServer() override { stop(); }

  void respond(std::size_t call, std::uint64_t sequence) {
    {
      const std::lock_guard lock(mutex_);
      responses_[call] = json{{"rev", sequence}, {"notices", json::array()}}.dump();
    }
    changed_.notify_all();
  }
  std::size_t calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
  }
  // Returns whether the client has closed the connection of a call.
  bool closed(std::size_t call) const {
    const std::lock_guard lock(mutex_);
    return closed_.contains(call);
  }
  std::size_t closed_calls() const {
    const std::lock_guard lock(mutex_);
    return closed_.size();
  }

 protected:
  void serve(int socket) override {
    char buffer[4096];
    while (::recv(socket, buffer, sizeof buffer, 0) > 0) {  // a call is small enough for one segment
      std::unique_lock lock(mutex_);
      const std::size_t call = calls_++;
      while (!stopping() && !responses_.contains(call) && !has_hung_up(socket)) {
        changed_.wait_for(lock, milliseconds(2));
      }
      if (responses_.contains(call)) {
        const std::string& text = responses_.at(call);
        send_all(socket,
                 "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text);
        while (!stopping() && !has_hung_up(socket) && !has_data(socket)) {
          changed_.wait_for(lock, milliseconds(2));
        }
      }
      if (has_hung_up(socket)) {
        closed_.insert(call);
      }
    }
  }
  void wake() override { changed_.notify_all(); }

 private:
  static bool has_data(int socket) {
    char byte = 0;
    return ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }
  static bool has_hung_up(int socket) {
    char byte = 0;
    const ssize_t count = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::size_t, std::string> responses_;
  std::set<std::size_t> closed_;
  std::size_t calls_ = 0;
};

class SequenceListener : public routing::DiscoveryListener {
 public:
  void apply(const protocol::DiscoveryPage& page) override { last_ = std::max(last_, page.last_sequence); }
  std::uint64_t last_sequence() const override { return last_; }
  void reset_sequence() override {
    last_ = 0;
    ++resets;
  }
  int resets = 0;

 private:
  std::uint64_t last_ = 0;
};

class LateResponseTest : public testing::Test {
 protected:
  static routing::DiscoveryClient::Options options() {
    routing::DiscoveryClient::Options out;
    out.polling.long_poll_timeout = Micros(20'000);
    out.polling.min_backoff = Micros(1'000);
    out.polling.max_backoff = Micros(1'000);
    out.response_grace = milliseconds(20);
    out.late_response_grace = std::chrono::seconds(60);
    out.reset_detection_delay = Micros(0);
    return out;
  }
  void start(const routing::DiscoveryClient::Options& options) {
    client_ = std::make_unique<routing::DiscoveryClient>(
        scheduler_, *transport::parse_address(server_.address()), listener_, deployment_, 1, options);
    client_->start();
  }
  bool run_until(const std::function<bool()>& done) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done() && std::chrono::steady_clock::now() < until) {
      scheduler_.run_iteration(milliseconds(5));
    }
    return done();
  }

  HeldDiscoveryServer server_;
  transport::Scheduler scheduler_;
  protocol::DeploymentSettings deployment_;
  SequenceListener listener_;
  std::unique_ptr<routing::DiscoveryClient> client_;
};

// Guards against a response that is thrown away because it arrives after the next call has started.
TEST_F(LateResponseTest, AppliesTheResponseToACallThatHasTimedOut) {
  start(options());
  ASSERT_TRUE(run_until([this] { return server_.calls() >= 3; }));
  server_.respond(1, 4);
  ASSERT_TRUE(run_until([this] { return listener_.last_sequence() == 4; }));
  EXPECT_EQ(client_->counts().late, 1U);
  EXPECT_TRUE(run_until([this] { return server_.closed(1); })) << "the connection is not needed any more";
}

// Guards against the page of an earlier call that is taken for a sequence reset because it arrives last.
TEST_F(LateResponseTest, IgnoresTheResponseToACallBeforeTheLastAppliedOne) {
  start(options());
  ASSERT_TRUE(run_until([this] { return server_.calls() >= 3; }));
  server_.respond(1, 6);
  ASSERT_TRUE(run_until([this] { return listener_.last_sequence() == 6; }));
  server_.respond(0, 5);
  ASSERT_TRUE(run_until([this] { return server_.closed(0); }));
  EXPECT_EQ(listener_.last_sequence(), 6U);
  EXPECT_EQ(listener_.resets, 0);
  EXPECT_EQ(client_->counts().stale, 0U);
  const std::size_t calls = server_.calls();
  EXPECT_TRUE(run_until([&] { return server_.calls() > calls; })) << "it polls on";
}

TEST_F(LateResponseTest, ClosesTheOldestOfTooManyUnansweredCalls) {
  start(options());
  ASSERT_TRUE(run_until([this] { return server_.calls() >= 10; }));
  EXPECT_TRUE(run_until([this] { return server_.closed_calls() >= 4; })) << "five wait, and one is current";
  EXPECT_TRUE(server_.closed(0));
}

TEST_F(LateResponseTest, ClosesACallWhoseResponseIsOverdue) {
  routing::DiscoveryClient::Options overdue = options();
  overdue.late_response_grace = milliseconds(30);
  overdue.polling.min_backoff = std::chrono::hours(1);  // no other call that could take its place
  overdue.polling.max_backoff = std::chrono::hours(1);
  start(overdue);
  EXPECT_TRUE(run_until([this] { return server_.closed(0); }));
  EXPECT_EQ(server_.calls(), 1U);
}

TEST_F(LateResponseTest, GivesUpAllCallsToAServerThatIsReplaced) {
  HeldDiscoveryServer next;
  start(options());
  ASSERT_TRUE(run_until([this] { return server_.calls() >= 3; }));
  ASSERT_TRUE(client_->set_server(*transport::parse_address(next.address())));
  ASSERT_TRUE(run_until([&] { return next.calls() >= 1 && server_.closed_calls() == server_.calls(); }));
  next.respond(0, 2);
  EXPECT_TRUE(run_until([this] { return listener_.last_sequence() == 2; }));
}

}  // namespace
}  // namespace trailcourse
