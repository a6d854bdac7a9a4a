// Tests SourceClient against a scripted source on loopback.
#include "cache_node/source_client.h"

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <functional>
#include <map>
#include <string>

#include "fleet/port_allocator.h"
#include "protocol/cache_command.h"
#include "transport/accept_loop.h"
#include "transport/scheduler.h"
#include "transport/socket.h"

namespace trailcourse::cache_node {
namespace {

using std::chrono::milliseconds;
using transport::Clock;

constexpr FillNumber kFirstFill = 1;
constexpr FillNumber kSecondFill = 2;
constexpr FillNumber kThirdFill = 3;

// The client and a source whose bytes the test sends, on one connection.
class SourceClientTest : public testing::Test {
 protected:
  SourceClientTest()
      : address_(ports_.allocate()),
        accept_loop_(scheduler_, address_, 1, milliseconds(20),
                     [this](transport::Descriptor socket) { source_ = std::move(socket); }),
        client_(scheduler_, bounds(),
                [this](FillNumber fill, const FetchResult& result) { results_[fill] = result; }) {}

  static SourceClient::Bounds bounds() {
    SourceClient::Bounds out;
    out.pool.connections_per_peer = 1;
    return out;
  }

  void fetch(FillNumber fill) {
    protocol::ServeFields fields;
    fields.request_class = "media";
    fields.item = "0000000000001000";
    fields.limit_ms = 5'000;
    client_.fetch(fill, "origin", address_, fields, "");
  }
  [[nodiscard]] bool until(const std::function<bool()>& done) {
    const Clock::time_point end = Clock::now() + std::chrono::seconds(20);
    while (!done() && Clock::now() < end) {
      scheduler_.run_iteration(milliseconds(5));
    }
    return done();
  }
  // Waits until the source has received this text.
  [[nodiscard]] bool await_at_source(const std::string& text) {
    return until([this, &text] {
      char buffer[4'096];
      const ssize_t count = source_.valid() ? ::recv(source_.get(), buffer, sizeof buffer, MSG_DONTWAIT) : -1;
      received_.append(buffer, count > 0 ? static_cast<std::size_t>(count) : 0);
      return received_.find(text) != std::string::npos;
    });
  }
  void send_from_source(const std::string& bytes) const {
    ASSERT_EQ(::send(source_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  static std::string answer(const std::string& id, const std::string& body) {
    protocol::CacheAnswer fields;
    fields.origin_time_ms = 1;
    return protocol::write_answer(id, protocol::AnswerCode::kOk, fields, body);
  }
  bool answered(FillNumber fill, const std::string& body) const {
    const auto found = results_.find(fill);
    return found != results_.end() && found->second.end == FetchResult::End::kAnswered &&
           *found->second.body == body;
  }

  fleet::PortAllocator ports_;
  transport::Scheduler scheduler_;
  transport::Address address_;
  transport::Descriptor source_;
  std::string received_;
  transport::AcceptLoop accept_loop_;
  SourceClient client_;
  std::map<FillNumber, FetchResult> results_;
};

// The first answer and the start of the second are sent together: once the first is complete, the second has
// begun to arrive when its fetch is stopped.
TEST_F(SourceClientTest, IgnoresTheRestOfAnAnswerWhoseFetchIsStopped) {
  fetch(kFirstFill);
  fetch(kSecondFill);
  ASSERT_TRUE(await_at_source("f2"));
  const std::string second = answer("f2", "of the second");
  const std::size_t half = second.size() - 4;
  send_from_source(answer("f1", "of the first") + second.substr(0, half));
  ASSERT_TRUE(until([this] { return answered(kFirstFill, "of the first"); }));
  client_.stop(kSecondFill);
  ASSERT_TRUE(await_at_source("cancel"));
  fetch(kThirdFill);
  send_from_source(second.substr(half) + answer("f3", "of the third"));
  ASSERT_TRUE(until([this] { return answered(kThirdFill, "of the third"); }));
  EXPECT_FALSE(results_.contains(kSecondFill));
}

}  // namespace
}  // namespace trailcourse::cache_node
