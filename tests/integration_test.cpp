// Tests of the router process, started as in production, over sockets.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins.h"

namespace trailcourse::testing_support {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

std::optional<std::string> close_connection(const CacheRequest&) { return CacheStandIn::kThenClose; }

class IntegrationTest : public testing::Test {
 protected:
  // Lists two caches and the origin.
  void list_all() {
    board_.post(pool({listed("cache-a", a_.address(), "std"), listed("cache-b", b_.address(), "std"),
                      listed("origin-o", origin_.address(), "origin")},
                     true));
  }
  void start(const json& changes = json::object(), const std::vector<std::string>& flags = {}) {
    json config = plain_config(board_);
    config.merge_patch(changes);
    program_ = std::make_unique<Program>(config, flags);
    ASSERT_TRUE(program_->await_health(200)) << program_->log();
  }
  Client connect() const { return Client(program_->port()); }
  void set_all_scripts(const CacheStandIn::Script& script) {
    a_.set_script(script);
    b_.set_script(script);
    origin_.set_script(script);
  }
  // Closes all connections at the caches.
  void close_all_connections() {
    a_.close_connections();
    b_.close_connections();
    origin_.close_connections();
  }
  std::size_t serve_count() const { return a_.count("serve") + b_.count("serve") + origin_.count("serve"); }
  // Waits until any cache has received a request.
  void await_serve() const { await_serves(1); }
  void await_serves(std::size_t wanted) const {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (serve_count() < wanted && std::chrono::steady_clock::now() < until) {
      std::this_thread::yield();
    }
    ASSERT_GE(serve_count(), wanted);
  }
  // Returns the one of the two caches that has received a request.
  CacheStandIn& cache_with_request() { return a_.count("serve") > 0 ? a_ : b_; }
  std::vector<CacheRequest> all_requests() const {
    std::vector<CacheRequest> out;
    for (const CacheStandIn* cache : {&a_, &b_, &origin_}) {
      const std::vector<CacheRequest> requests = cache->seen();
      out.insert(out.end(), requests.begin(), requests.end());
    }
    return out;
  }

  CacheStandIn a_{CacheStandIn::serving("from a")};
  CacheStandIn b_{CacheStandIn::serving("from b")};
  CacheStandIn origin_{CacheStandIn::serving("from origin")};
  DiscoveryStandIn board_;
  std::unique_ptr<Program> program_;
};

TEST_F(IntegrationTest, ServesTheBytesOfACacheUnchanged) {
  std::string bytes;
  for (int i = 0; i < 240'000; ++i) {
    bytes += static_cast<char>(i * 31 % 256);
  }
  set_all_scripts(CacheStandIn::serving(bytes));
  list_all();
  start();
  Client client = connect();
  const auto answer = client.ask(1, read_fields(id_of(1), {{"HTTP_X_GOT", "4be0c1927d55a6f3"}}));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body, bytes);
  EXPECT_FALSE(answer->headers.contains("X-Ok304"));
  ASSERT_EQ(all_requests().size(), 1U);
  const CacheRequest request = all_requests()[0];
  EXPECT_EQ(request.id, id_of(1));
  EXPECT_EQ(request.fields.at("cls"), "media");
  EXPECT_EQ(request.fields.at("item"), "7f3a9c21e0b4d655");
  EXPECT_EQ(request.fields.at("chunk"), "3");
  EXPECT_EQ(request.fields.at("cached"), "4be0c1927d55a6f3");
  EXPECT_EQ(request.fields.at("next"), "origin-o") << "sources have the names of the endpoint list";
  EXPECT_LE(std::stoi(request.fields.at("limit")), 5000);
  EXPECT_GT(std::stoi(request.fields.at("limit")), 4000);
}

TEST_F(IntegrationTest, AnswersWithoutABodyWhenTheCopyOfTheClientIsValid) {
  set_all_scripts([](const CacheRequest& request) {
    return CacheStandIn::answer(request, "SAME", "sum=4be0c1927d55a6f3,t0=1,tell=warm");
  });
  list_all();
  start();
  const auto answer = connect().ask(1, read_fields(id_of(1), {{"HTTP_X_GOT", "4be0c1927d55a6f3"}}));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->headers.at("X-Ok304"), "1");
  EXPECT_TRUE(answer->body.empty());
}

TEST_F(IntegrationTest, AnswersRequestsOfOneConnectionInTheOrderOfTheAnswers) {
  std::atomic<bool> blocked{true};
  set_all_scripts([&blocked](const CacheRequest& request) -> std::optional<std::string> {
    return request.id == id_of(1) && blocked
               ? std::nullopt
               : std::optional(CacheStandIn::answer(request, "OK", "-", request.id));
  });
  list_all();
  start();
  Client client = connect();
  std::string bytes;
  for (int i = 1; i <= 32; ++i) {
    bytes += request_bytes(static_cast<std::uint16_t>(i),
                           read_fields(id_of(i), {{"HTTP_X_ENTITY", id_of(i)}}), "");
  }
  client.send(bytes);
  for (int i = 32; i >= 2; --i) {
    const auto answer = client.read(static_cast<std::uint16_t>(i));
    ASSERT_TRUE(answer.has_value()) << i;
    EXPECT_EQ(answer->body, id_of(i));
  }
  EXPECT_FALSE(client.read(1, milliseconds(0)).has_value());
}

TEST_F(IntegrationTest, SendsAWriteToTheOriginWithItsIdempotencyKeyAndBody) {
  std::string body(48'000, '\0');
  for (std::size_t i = 0; i < body.size(); ++i) {
    body[i] = static_cast<char>(i % 251);
  }
  list_all();
  start();
  const auto answer = connect().ask(
      1, read_fields(id_of(1), {{"SCRIPT_NAME", "/v1/entry"}, {"HTTP_X_DEDUPE_KEY", "5c0f6e1a2b3d4c59"}}),
      body);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "from origin");
  ASSERT_EQ(origin_.seen().size(), 1U);
  EXPECT_EQ(origin_.seen()[0].body, body);
  EXPECT_EQ(origin_.seen()[0].fields.at("nonce"), "5c0f6e1a2b3d4c59");
  EXPECT_FALSE(origin_.seen()[0].fields.contains("next"));
  EXPECT_EQ(a_.count("serve") + b_.count("serve"), 0U);
}

TEST_F(IntegrationTest, RejectsWithARetryTimeWhenAllCachesAreBusy) {
  set_all_scripts(
      [](const CacheRequest& request) { return CacheStandIn::answer(request, "BUSY", "tell=jammed"); });
  list_all();
  start();
  const auto answer = connect().ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 503);
  EXPECT_GT(std::stoi(answer->headers.at("X-Come-Back-Ms")), 0);
  EXPECT_TRUE(answer->body.empty());
}

TEST_F(IntegrationTest, RejectsWithoutARetryTimeWhenRetryAfterIsDisabled) {
  set_all_scripts(
      [](const CacheRequest& request) { return CacheStandIn::answer(request, "BUSY", "tell=jammed"); });
  list_all();
  start({{"settings", {{"Limits", {{"RetryAfter", false}}}}}});
  const auto answer = connect().ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 503);
  EXPECT_FALSE(answer->headers.contains("X-Come-Back-Ms"));
}

// Rule 2: an unsafe request that may have been executed gets no second attempt, and its answer does not say
// that a retry is safe.
TEST_F(IntegrationTest, FailsAnUnsafeRequestThatMayHaveBeenExecutedAfterOneAttempt) {
  origin_.set_script(close_connection);
  list_all();
  start();
  const auto answer = connect().ask(1, read_fields(id_of(1), {{"SCRIPT_NAME", "/v1/once"}}), "body");
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 502);
  EXPECT_EQ(origin_.count("serve"), 1U);
}

TEST_F(IntegrationTest, RetriesARequestWhoseAnswerIsIncomplete) {
  std::atomic<int> tries{0};
  set_all_scripts([&tries](const CacheRequest& request) -> std::optional<std::string> {
    const std::string complete = CacheStandIn::answer(request, "OK", "tell=warm", std::string(100'000, 'x'));
    return ++tries == 1 ? std::optional<std::string>(complete.substr(0, 50'000) + CacheStandIn::kThenClose)
                        : complete;
  });
  list_all();
  start();
  Client client = connect();
  const auto answer = client.ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body.size(), 100'000U);
  EXPECT_EQ(serve_count(), 2U);
}

TEST_F(IntegrationTest, UsesOtherCachesWhenACacheDies) {
  list_all();
  start();
  a_.stop();
  b_.set_script(CacheStandIn::serving("alive"));
  origin_.set_script(CacheStandIn::serving("alive"));
  Client client = connect();
  for (int i = 1; i <= 8; ++i) {
    const auto answer =
        client.ask(static_cast<std::uint16_t>(i), read_fields(id_of(i), {{"HTTP_X_ENTITY", id_of(i)}}));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->status, 200) << "request " << i;
    EXPECT_EQ(answer->body, "alive");
  }
}

TEST_F(IntegrationTest, ForwardsAStreamAndReportsItsIncompleteEnd) {
  set_all_scripts([](const CacheRequest& request) {
    return "*4\r\n$16\r\n" + request.id + "\r\n$2\r\nOK\r\n$1\r\n-\r\n$10\r\nhalf" + CacheStandIn::kThenClose;
  });
  list_all();
  start();
  const auto answer = connect().ask(1, read_fields(id_of(1), {{"SCRIPT_NAME", "/v1/live"}}));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "half");
  EXPECT_NE(answer->application_status, 0U) << "the client is told that the answer is incomplete";
  EXPECT_EQ(serve_count(), 1U) << "a stream that has begun is not retried";
}

TEST_F(IntegrationTest, AppliesAPurgeToLaterRequests) {
  list_all();
  start();
  Client client = connect();
  ASSERT_TRUE(client.ask(1, read_fields(id_of(1))).has_value());
  const auto unix_now = [] {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  };
  const milliseconds purge = unix_now() - milliseconds(500);
  board_.post({{"flush", {{"asset", "7f3a9c21e0b4d655"}, {"ms", purge.count()}}}});
  ASSERT_TRUE(board_.await_caught_up());
  ASSERT_TRUE(client.ask(2, read_fields(id_of(2))).has_value());
  ASSERT_TRUE(client.ask(3, read_fields(id_of(3), {{"HTTP_X_ENTITY", id_of(9)}})).has_value());
  const milliseconds after = unix_now() - purge;
  for (const CacheRequest& request : all_requests()) {
    if (request.id == id_of(2)) {
      ASSERT_TRUE(request.fields.contains("agelim"));
      EXPECT_GE(std::stoll(request.fields.at("agelim")), 1);
      EXPECT_LE(std::stoll(request.fields.at("agelim")), after.count());
    } else {
      EXPECT_FALSE(request.fields.contains("agelim")) << request.id;
    }
  }
  board_.post({{"flush", {{"collection", 17}, {"ms", purge.count()}}}});
  ASSERT_TRUE(board_.await_caught_up());
  ASSERT_TRUE(client.ask(4, read_fields(id_of(4), {{"HTTP_X_ENTITY", id_of(9)}})).has_value());
  for (const CacheRequest& request : all_requests()) {
    EXPECT_TRUE(request.id != id_of(4) || request.fields.contains("agelim")) << "its group was purged";
  }
}

// Guards against purged copies of a cache that is cut off from the discovery service (review/8): the router
// has to limit their age also once connected caches have dropped theirs, and after a restart.
TEST_F(IntegrationTest, AppliesAPurgeThatCachesShouldHaveAppliedLongAgo) {
  constexpr milliseconds kSincePurge{60'000};
  list_all();
  start();
  const auto unix_now = [] {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch());
  };
  const milliseconds purge = unix_now() - kSincePurge;
  board_.post({{"flush", {{"asset", "7f3a9c21e0b4d655"}, {"ms", purge.count()}}}});
  ASSERT_TRUE(board_.await_caught_up());
  ASSERT_TRUE(connect().ask(1, read_fields(id_of(1))).has_value());
  start();
  ASSERT_TRUE(connect().ask(1, read_fields(id_of(2))).has_value());
  const milliseconds after = unix_now() - purge;
  const std::vector<CacheRequest> requests = all_requests();
  EXPECT_EQ(requests.size(), 2U);
  for (const CacheRequest& request : requests) {
    ASSERT_TRUE(request.fields.contains("agelim")) << request.id;
    EXPECT_GE(std::stoll(request.fields.at("agelim")), kSincePurge.count() - 2);
    EXPECT_LE(std::stoll(request.fields.at("agelim")), after.count());
  }
}

TEST_F(IntegrationTest, SendsNoNewRequestsToADrainingCache) {
  list_all();
  start();
  board_.post(pool({listed("cache-a", a_.address(), "std", "draining")}, false));
  ASSERT_TRUE(board_.await_caught_up());
  Client client = connect();
  for (int i = 1; i <= 24; ++i) {
    const auto answer =
        client.ask(static_cast<std::uint16_t>(i), read_fields(id_of(i), {{"HTTP_X_ENTITY", id_of(i)}}));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->body, "from b");
  }
  EXPECT_EQ(a_.count("serve"), 0U);
}

TEST_F(IntegrationTest, UsesANewCacheAtTheAddressOfARemovedOne) {
  list_all();
  start();
  board_.post(pool({listed("cache-a", a_.address(), "std", "removed"),
                    listed("cache-b", "", "std", "removed"), listed("cache-n", a_.address(), "std")},
                   false));
  ASSERT_TRUE(board_.await_caught_up());
  const auto answer = connect().ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "from a");
}

TEST_F(IntegrationTest, IsNotReadyBeforeACacheIsListed) {
  json config = plain_config(board_);
  program_ = std::make_unique<Program>(config);
  ASSERT_TRUE(program_->await_health(503)) << program_->log();
  list_all();
  EXPECT_TRUE(program_->await_health(200));
}

// No request waits for the discovery service. Its events are applied when it is reachable again.
TEST_F(IntegrationTest, ServesWhileTheDiscoveryServiceIsUnreachable) {
  list_all();
  start();
  const std::uint16_t port = board_.port();
  board_.stop();
  Client client = connect();
  for (int i = 1; i <= 5; ++i) {
    ASSERT_TRUE(client.ask(static_cast<std::uint16_t>(i), read_fields(id_of(i))).has_value());
  }
  board_.post(pool({listed("cache-a", "", "std", "removed")}, false));
  board_.start(port);
  ASSERT_TRUE(board_.await_caught_up());
  for (int i = 11; i <= 20; ++i) {
    const auto answer =
        client.ask(static_cast<std::uint16_t>(i), read_fields(id_of(i), {{"HTTP_X_ENTITY", id_of(i)}}));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->body, "from b");
  }
}

TEST_F(IntegrationTest, PollsAgainAfterMalformedResponsesOfTheDiscoveryService) {
  list_all();
  start({{"router", {{"board_linger_ms", 200}, {"board_grace_ms", 100}}}});
  for (const char* malformed : {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnonsense!", "what?\r\n\r\n",
                                "HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n{\"rev\":0,\"notices\":[]}"}) {
    board_.respond_with(malformed);
    ASSERT_TRUE(board_.await_calls(board_.calls() + 2)) << malformed;
    ASSERT_TRUE(connect().ask(1, read_fields(id_of(1))).has_value()) << malformed;
  }
  board_.respond_with(
      "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\ncut");  // and no more, beyond the time-out
  ASSERT_TRUE(board_.await_calls(board_.calls() + 1));
  board_.respond_with("");
  board_.post(pool({listed("cache-a", "", "std", "removed")}, false));
  EXPECT_TRUE(board_.await_caught_up());
}

TEST_F(IntegrationTest, CancelsTheAttemptAndSendsNoAnswerWhenTheClientAborts) {
  set_all_scripts(no_answer);
  list_all();
  start();
  Client client = connect();
  client.send(request_bytes(1, read_fields(id_of(1)), ""));
  await_serve();
  client.send(record(2, 1, ""));
  ASSERT_TRUE(cache_with_request().await("cancel", 1));
  set_all_scripts(CacheStandIn::serving("next"));
  const auto next = client.ask(2, read_fields(id_of(2)));
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->body, "next");
  EXPECT_FALSE(client.read(1, milliseconds(0)).has_value());
}

TEST_F(IntegrationTest, CancelsOpenAttemptsWhenTheClientClosesItsConnection) {
  set_all_scripts(no_answer);
  list_all();
  start();
  {
    Client client = connect();
    client.send(request_bytes(1, read_fields(id_of(1)), ""));
    await_serve();
  }
  EXPECT_TRUE(cache_with_request().await("cancel", 1));
}

TEST_F(IntegrationTest, AnswersBeforeThePatienceOfTheClientEnds) {
  set_all_scripts(no_answer);
  list_all();
  start({{"router", {{"client_lead_ms", 500}}}});
  Client client = connect();
  const auto before = std::chrono::steady_clock::now();
  const auto answer = client.ask(1, read_fields(id_of(1), {{"HTTP_X_PATIENCE_MS", "1500"}}));
  ASSERT_TRUE(answer.has_value());
  EXPECT_NE(answer->status, 200);
  EXPECT_LT(std::chrono::steady_clock::now() - before, milliseconds(1500));
}

TEST_F(IntegrationTest, RejectsInvalidRequestsWithoutSendingThemToACache) {
  list_all();
  start();
  Client client = connect();
  const std::vector<Fields> faults{{{"SCRIPT_NAME", "/v1/unknown"}},
                                   {{"SCRIPT_NAME", "/other"}},
                                   {{"SCRIPT_NAME", "/v1/"}},
                                   {{"HTTP_X_CALL_ID", "short"}},
                                   {{"HTTP_X_CALL_ID", "zzzzzzzzzzzzzzzz"}},
                                   {{"HTTP_X_CALL_ID", ""}},
                                   {{"HTTP_X_PATIENCE_MS", ""}},
                                   {{"HTTP_X_PATIENCE_MS", "0"}},
                                   {{"HTTP_X_PATIENCE_MS", "-5"}},
                                   {{"HTTP_X_PATIENCE_MS", "soon"}},
                                   {{"HTTP_X_ENTITY", ""}},
                                   {{"HTTP_X_ENTITY", "xyz"}},
                                   {{"HTTP_X_NTH", "-1"}},
                                   {{"HTTP_X_BATCH", "256"}},
                                   {{"HTTP_X_HEAP_KB", "nan"}},
                                   {{"HTTP_X_HEAP_KB", "-1"}},
                                   {{"HTTP_X_GOT", "a,next=evil"}},
                                   {{"CONTENT_LENGTH", "5"}},
                                   {{"CONTENT_LENGTH", "-1"}},
                                   {{"CONTENT_LENGTH", "99999999999999999999"}},
                                   {{"HTTP_X_DEDUPE_KEY", "a=b"}},
                                   {{"SCRIPT_NAME", "/v1/entry"}}};
  std::uint16_t key = 0;
  for (const Fields& fault : faults) {
    ++key;
    const auto answer = client.ask(key, read_fields(id_of(key), fault));
    ASSERT_TRUE(answer.has_value()) << fault[0].first << "=" << fault[0].second;
    EXPECT_EQ(answer->status, 400) << fault[0].first << "=" << fault[0].second;
  }
  ++key;
  const auto body = client.ask(key, read_fields(id_of(key)), std::string(70'000, 'x'));
  ASSERT_TRUE(body.has_value());
  EXPECT_EQ(body->status, 400) << "the body is over the limit";
  EXPECT_EQ(serve_count(), 0U);
  ++key;
  EXPECT_TRUE(client.ask(key, read_fields(id_of(key))).has_value()) << "the connection is still usable";
}

TEST_F(IntegrationTest, ClosesOnlyTheConnectionThatSendsMalformedData) {
  list_all();
  start();
  Client healthy = connect();
  ASSERT_TRUE(healthy.ask(1, read_fields(id_of(1))).has_value());
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(100, '\xff'), begin_record(1) + begin_record(1)}) {
    Client malformed = connect();
    malformed.send(bytes);
    EXPECT_TRUE(malformed.await_close());
  }
  const std::string complete = request_bytes(1, read_fields(id_of(2)), "body");
  for (std::size_t cut = 1; cut < complete.size(); cut += 37) {
    connect().send(complete.substr(0, cut));  // a connection that ends within a message
  }
  ASSERT_TRUE(healthy.ask(2, read_fields(id_of(3))).has_value());
  EXPECT_NE(program_->log().find("sent malformed data"), std::string::npos);
}

TEST_F(IntegrationTest, ServesRequestsAgainAfterACacheSendsMalformedAnswers) {
  const std::vector<std::string> malformed{
      "+OK\r\n", "*4\r\n$99999999\r\n", "*1\r\n$2\r\nhi\r\n",
      "*4\r\n$16\r\n" + id_of(99) + "\r\n$2\r\nOK\r\n$1\r\n-\r\n$0\r\n\r\n", std::string(5000, '*')};
  list_all();
  start();
  Client client = connect();
  std::uint16_t key = 0;
  for (const std::string& bytes : malformed) {
    set_all_scripts(
        [&bytes](const CacheRequest& request) { return bytes + CacheStandIn::answer(request, "ODD", "x"); });
    ++key;
    const auto invalid = client.ask(key, read_fields(id_of(key), {{"HTTP_X_PATIENCE_MS", "1000"}}));
    ASSERT_TRUE(invalid.has_value()) << bytes.substr(0, 20);
    EXPECT_NE(invalid->status, 200);
  }
  set_all_scripts([](const CacheRequest& request) {
    const std::string answer = CacheStandIn::answer(request, "OK", "tell=odd,meter=:;x,slow=y", "good");
    return answer + answer;  // a repeated answer
  });
  for (int i = 0; i < 30; ++i) {  // ejected caches are not used for some time
    ++key;
    const auto valid = client.ask(key, read_fields(id_of(key), {{"HTTP_X_ENTITY", id_of(key)}}));
    ASSERT_TRUE(valid.has_value());
    if (valid->status == 200) {
      EXPECT_EQ(valid->body, "good");
      return;
    }
  }
  FAIL() << "no cache was used again";
}

// A client that reads no answers must delay only its own answers.
TEST_F(IntegrationTest, ServesOtherClientsWhileOneClientReadsNoAnswers) {
  set_all_scripts(CacheStandIn::serving(std::string(240'000, 'z')));
  list_all();
  start();
  Client stalled(program_->port(), true);
  for (std::uint16_t key = 1; key <= 30; ++key) {
    stalled.send(request_bytes(key, read_fields(id_of(key), {{"HTTP_X_ENTITY", id_of(key)}}), ""));
  }
  Client other = connect();
  for (std::uint16_t key = 1; key <= 10; ++key) {
    const auto answer = other.ask(key, read_fields(id_of(100 + key)));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->body.size(), 240'000U);
  }
  for (std::uint16_t key = 1; key <= 30; ++key) {
    const auto late = stalled.read(key);
    ASSERT_TRUE(late.has_value()) << "its answers are complete when it reads again";
    EXPECT_EQ(late->body.size(), 240'000U);
  }
}

TEST_F(IntegrationTest, RejectsRequestsBeyondTheBoundOnOpenRequests) {
  set_all_scripts(no_answer);
  list_all();
  start({{"settings", {{"Limits", {{"MaxOpen", 4}}}}}});
  Client client = connect();
  std::string bytes;
  for (std::uint16_t key = 1; key <= 6; ++key) {
    bytes += request_bytes(key, read_fields(id_of(key), {{"HTTP_X_ENTITY", id_of(key)}}), "");
  }
  client.send(bytes);
  for (const std::uint16_t key : {5, 6}) {
    const auto answer = client.read(key);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->status, 503);
  }
}

// Answers that clients do not read fill the memory: further requests are rejected until the answers are read.
TEST_F(IntegrationTest, RejectsRequestsBeyondTheBoundOnUnreadAnswers) {
  set_all_scripts(CacheStandIn::serving(std::string(240'000, 'z')));
  list_all();
  start({{"limits", {{"memory_mb", 36}}},
         {"router", {{"base_memory_mb", 32}}}});  // a quarter of the 4 MB over its base
  Client stalled(program_->port(), true);
  // One request at a time, each followed by a complete answer to the other client: many at once would reach
  // the bound on incomplete answers, and the connections to the caches would be closed instead.
  constexpr std::uint16_t kMaxStalledRequests = 60;
  Client other = connect();
  int rejected = 0;
  std::uint16_t stalled_requests = 0;
  while (rejected == 0 && stalled_requests < kMaxStalledRequests) {
    const std::uint16_t key = ++stalled_requests;
    stalled.send(request_bytes(key, read_fields(id_of(key), {{"HTTP_X_ENTITY", id_of(key)}}), ""));
    const auto answer = other.ask(key, read_fields(id_of(100 + key)));
    ASSERT_TRUE(answer.has_value());
    rejected += answer->status == 503 && !answer->headers.contains("X-Come-Back-Ms") ? 1 : 0;
  }
  EXPECT_EQ(rejected, 1) << "rejected by the bound, not by the module, which sends a retry time\n"
                         << program_->log();
  int served = 0;
  for (std::uint16_t key = 1; key <= stalled_requests; ++key) {
    const auto late = stalled.read(key);
    ASSERT_TRUE(late.has_value()) << key;
    served += late->status == 200 ? 1 : 0;
  }
  EXPECT_GT(served, 0);
  const auto next = other.ask(3000, read_fields(id_of(5000)));
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->status, 200);
}

// Caches that begin large answers and do not complete them must not fill the memory.
TEST_F(IntegrationTest, ClosesCacheConnectionsBeyondTheBoundOnIncompleteAnswers) {
  set_all_scripts([](const CacheRequest& request) {
    return "*4\r\n$16\r\n" + request.id + "\r\n$2\r\nOK\r\n$1\r\n-\r\n$500000\r\npart";
  });
  list_all();
  start(
      {{"limits", {{"memory_mb", 36}}},
       {"router", {{"base_memory_mb", 32}}}});  // a quarter of the 4 MB over its base holds two such answers
  Client client = connect();
  const Fields patient{{"HTTP_X_PATIENCE_MS", "60000"}, {"HTTP_X_HEAP_KB", "5000"}};
  std::string bytes;
  for (std::uint16_t key = 1; key <= 6; ++key) {
    Fields fields = patient;
    fields.emplace_back("HTTP_X_ENTITY", id_of(key));
    bytes += request_bytes(key, read_fields(id_of(key), fields), "");
  }
  client.send(bytes);
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (program_->log().find("incomplete answers exceed the memory limit") == std::string::npos) {
    ASSERT_LT(std::chrono::steady_clock::now(), until) << program_->log();
    std::this_thread::yield();
  }
  set_all_scripts(CacheStandIn::serving("well"));
  EXPECT_TRUE(connect().ask(1, read_fields(id_of(20), {{"HTTP_X_ENTITY", id_of(20)}})).has_value());
}

TEST_F(IntegrationTest, ClosesClientConnectionsBeyondTheBoundOnIncompleteRequests) {
  list_all();
  start({{"limits", {{"memory_mb", 36}}},
         {"router", {{"base_memory_mb", 32}}}});  // an eighth of the 4 MB over its base
  const std::string part = begin_record(1) + record(4, 1, "") + record(5, 1, std::string(60'000, 'x'));
  std::vector<std::unique_ptr<Client>> partial;
  for (int i = 0; i < 16; ++i) {
    partial.push_back(std::make_unique<Client>(program_->port()));
    partial.back()->send(part);
  }
  EXPECT_TRUE(partial.back()->await_close());
  const auto answer = connect().ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 200);
}

// Idle connections are closed for new clients: the router has to answer a client that the system has
// accepted.
TEST_F(IntegrationTest, ServesNewClientsWhenAllDescriptorsAreInUse) {
  list_all();
  start({{"limits", {{"sockets", 64}}}});
  std::vector<std::unique_ptr<Client>> idle;
  idle.reserve(80);
  for (int i = 0; i < 80; ++i) {
    idle.push_back(std::make_unique<Client>(program_->port()));
  }
  for (int round = 0; round < 3; ++round) {
    Client client = connect();
    const auto answer = client.ask(1, read_fields(id_of(round + 1), {{"HTTP_X_ENTITY", id_of(round)}}));
    ASSERT_TRUE(answer.has_value()) << program_->log();
    EXPECT_EQ(answer->status, 200);
  }
}

TEST_F(IntegrationTest, ServesAfterSigtermUntilNoRequestsArriveAndAllAreAnswered) {
  std::atomic<bool> blocked{true};
  set_all_scripts([&blocked](const CacheRequest& request) -> std::optional<std::string> {
    return request.id == id_of(1) && blocked
               ? std::nullopt
               : std::optional(CacheStandIn::answer(request, "OK", "-", "served"));
  });
  list_all();
  start();
  Client open = connect();
  open.send(request_bytes(1, read_fields(id_of(1), {{"HTTP_X_PATIENCE_MS", "1500"}}), ""));
  await_serve();
  program_->signal(SIGTERM);
  ASSERT_TRUE(program_->await_health(503)) << "it accepts new connections while its health checks fail";
  const auto fresh = connect().ask(1, read_fields(id_of(2), {{"HTTP_X_ENTITY", id_of(2)}}));
  ASSERT_TRUE(fresh.has_value());
  EXPECT_EQ(fresh->body, "served");
  const auto late = open.ask(2, read_fields(id_of(3), {{"HTTP_X_ENTITY", id_of(3)}}));
  ASSERT_TRUE(late.has_value());
  EXPECT_EQ(late->body, "served");
  const auto first = open.read(1);
  ASSERT_TRUE(first.has_value()) << "a request that was open before is answered, too";
  EXPECT_EQ(program_->await_exit(), 0);
}

// Requests that are still in flight are accepted: an exit between two of them would lose the second.
TEST_F(IntegrationTest, ServesAfterSigtermWhileRequestsArrive) {
  list_all();
  start({{"router", {{"drain_linger_ms", 0}, {"drain_quiet_ms", 1500}}}});
  Client client = connect();
  ASSERT_TRUE(client.ask(1, read_fields(id_of(1))).has_value());
  program_->signal(SIGTERM);
  ASSERT_TRUE(program_->await_health(503));
  for (std::uint16_t key = 2; key <= 20; ++key) {
    ASSERT_TRUE(client.ask(key, read_fields(id_of(key))).has_value()) << key;
  }
  EXPECT_EQ(program_->await_exit(), 0);
}

// SIGKILL follows after 3.7 s at the earliest. Requests that no cache has answered before are answered as
// failed.
TEST_F(IntegrationTest, FailsOpenRequestsBeforeTheEndOfADrain) {
  set_all_scripts(no_answer);
  list_all();
  start({{"router", {{"drain_answer_ms", 300}, {"drain_linger_ms", 200}}}});
  Client client = connect();
  client.send(request_bytes(
      1, read_fields(id_of(1), {{"HTTP_X_PATIENCE_MS", "60000"}, {"HTTP_X_HEAP_KB", "900000"}}), ""));
  await_serve();
  program_->signal(SIGTERM);
  const auto answer = client.read(1, milliseconds(3000));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 502);
  EXPECT_EQ(program_->await_exit(), 0);
}

// A client that sends nothing or only a part of a request is closed soon; one that has sent a request may
// stay.
TEST_F(IntegrationTest, ClosesClientsThatSendNothingOrAnIncompleteRequest) {
  list_all();
  start({{"router", {{"client_request_ms", 300}}}});
  Client active = connect();
  ASSERT_TRUE(active.ask(1, read_fields(id_of(1))).has_value());
  Client silent = connect();
  Client half = connect();
  half.send(request_bytes(1, read_fields(id_of(2)), "").substr(0, 60));
  Client endless = connect();  // it gets the answer to its complete request before the close
  endless.send(request_bytes(1, {{"SCRIPT_NAME", "/v1/nowhere"}}, "") + begin_record(2));
  EXPECT_TRUE(silent.await_close());
  EXPECT_TRUE(half.await_close());
  EXPECT_TRUE(endless.await_close());
  const auto next = active.ask(2, read_fields(id_of(3)));
  ASSERT_TRUE(next.has_value()) << "a client that has sent a request may stay idle";
  EXPECT_EQ(next->status, 200);
}

// A body without end is answered early, and its data is discarded.
TEST_F(IntegrationTest, RejectsABodyWithoutEndAndClosesTheConnection) {
  list_all();
  start({{"router", {{"client_request_ms", 1000}}}});
  Client client = connect();
  client.send(begin_record(1) + record(4, 1, pair("SCRIPT_NAME", "/v1/entry")) + record(4, 1, ""));
  for (int i = 0; i < 4; ++i) {
    client.send(record(5, 1, std::string(60'000, 'x')));
  }
  const auto answer = client.read(1, milliseconds(800));
  ASSERT_TRUE(answer.has_value()) << "the answer does not wait for the end of the body";
  EXPECT_EQ(answer->status, 400);
  EXPECT_TRUE(client.await_close());
}

// A second request has the id of an open one and another object. It is rejected, and the first continues.
TEST_F(IntegrationTest, RejectsARequestWithTheIdOfAnOpenOne) {
  std::atomic<bool> blocked{true};
  set_all_scripts([&blocked](const CacheRequest& request) -> std::optional<std::string> {
    if (blocked) {
      return std::nullopt;
    }
    return CacheStandIn::answer(request, "OK", "-", request.fields.at("item"));
  });
  list_all();
  start({{"settings", {{"Limits", {{"ParallelTries", true}}}}}});
  Client first = connect();
  first.send(request_bytes(1, read_fields(id_of(1)), ""));
  await_serve();
  const auto second = connect().ask(1, read_fields(id_of(1), {{"HTTP_X_ENTITY", id_of(77)}}));
  ASSERT_TRUE(second.has_value());
  EXPECT_EQ(second->status, 400);
  for (const CacheRequest& request : all_requests()) {
    EXPECT_NE(request.fields.at("item"), id_of(77)) << "it reached a cache";
  }
  blocked = false;
  first.send(record(2, 1, ""));  // aborted: the id is free again
  const auto freed = first.ask(2, read_fields(id_of(1), {{"HTTP_X_ENTITY", id_of(78)}}));
  ASSERT_TRUE(freed.has_value());
  EXPECT_EQ(freed->body, id_of(78)) << "a late answer to the first request is not used for this one";
}

// An answer that stalls blocks its connection: the attempts in flight on it are retried elsewhere.
TEST_F(IntegrationTest, ClosesACacheConnectionWhenAnAnswerStalls) {
  std::atomic<int> request_count{0};
  set_all_scripts([&request_count](const CacheRequest& request) -> std::optional<std::string> {
    const std::string complete = CacheStandIn::answer(request, "OK", "-", "complete");
    return ++request_count == 1 ? complete.substr(0, complete.size() - 3) : complete;
  });
  list_all();
  start(json::object(), {"--log-level", "debug"});
  const auto answer = connect().ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(answer->body, "complete");
  EXPECT_TRUE(program_->await_log("stalled within an answer, "));
}

// An OK in another format may be a part of damaged data.
TEST_F(IntegrationTest, DoesNotServeAnAnswerInAnotherFormat) {
  for (const std::string& format : {std::string("*3\r\n$16\r\nID\r\n$2\r\nOK\r\n$1\r\n-\r\n"),
                                    std::string("*2\r\n$16\r\nID\r\n$2\r\nOK\r\n"),
                                    std::string("*4\r\n$16\r\nID\r\n$4\r\nSAME\r\n$1\r\n-\r\n$1\r\nx\r\n"),
                                    std::string("*4\r\n$16\r\nID\r\n$2\r\nUP\r\n$1\r\n-\r\n$1\r\nx\r\n")}) {
    set_all_scripts([format](const CacheRequest& request) {
      std::string text = format;
      return text.replace(text.find("ID"), 2, request.id);
    });
    list_all();
    start();
    const auto answer = connect().ask(1, read_fields(id_of(1)));
    ASSERT_TRUE(answer.has_value());
    EXPECT_NE(answer->status, 200) << format;
  }
}

// A repeated miss must not end the next attempt of the same request on that connection.
TEST_F(IntegrationTest, DoesNotUseARepeatedAnswerForALaterAttempt) {
  std::atomic<int> request_count{0};
  b_.stop();
  a_.set_script([&request_count](const CacheRequest& request) -> std::optional<std::string> {
    const std::string miss = CacheStandIn::answer(request, "MISS", "tell=bounced");
    return ++request_count == 1 ? miss + miss : CacheStandIn::answer(request, "OK", "-", "filled");
  });
  CacheStandIn parent(CacheStandIn::serving("from parent"));
  board_.post(pool({listed("cache-a", a_.address(), "std"), listed("parent-p", parent.address(), "parent"),
                    listed("origin-o", origin_.address(), "origin")},
                   true));
  start();
  const auto answer = connect().ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "filled");
  EXPECT_EQ(request_count, 2);
}

// Clients have a fixed share of the descriptors: hundreds of idle clients leave enough for caches.
TEST_F(IntegrationTest, KeepsDescriptorsForCachesWhenClientsStayConnected) {
  list_all();
  start({{"limits", {{"sockets", 64}}}});
  std::vector<std::unique_ptr<Client>> holding;
  for (int i = 0; i < 40; ++i) {
    holding.push_back(std::make_unique<Client>(program_->port()));
    const auto answer = holding.back()->ask(1, read_fields(id_of(i + 1), {{"HTTP_X_ENTITY", id_of(i + 1)}}));
    ASSERT_TRUE(answer.has_value()) << i;
    ASSERT_EQ(answer->status, 200) << i;
  }
  EXPECT_TRUE(holding.front()->await_close()) << "the client that was idle for longest is closed first";
  EXPECT_EQ(program_->log().find("no connection available"), std::string::npos);
}

// Answers to management records must not fill the memory when the client does not read them.
TEST_F(IntegrationTest, ClosesAClientThatSendsManyRecordsAndReadsNoAnswers) {
  list_all();
  start();
  Client client(program_->port(), true);
  std::string flood;
  for (int i = 0; i < 2000; ++i) {
    flood += record(9, 0, pair("FCGI_MAX_REQS", "") + pair("FCGI_MPXS_CONNS", ""));
  }
  for (int i = 0; i < 400; ++i) {
    client.send(flood);
  }
  EXPECT_TRUE(client.await_close());
  EXPECT_TRUE(connect().ask(1, read_fields(id_of(1))).has_value());
}

// Caches that close idle connections are healthy: every request is sent once, to the same cache. Here the
// router sees each close before the next request arrives.
TEST_F(IntegrationTest, SendsEachRequestOnceWhenCachesCloseIdleConnections) {
  list_all();
  start();
  Client client = connect();
  for (std::uint16_t key = 1; key <= 30; ++key) {
    const auto answer = client.ask(key, read_fields(id_of(key)));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->status, 200) << key;
    close_all_connections();
  }
  EXPECT_EQ(serve_count(), 30U) << "each request is sent once";
  EXPECT_EQ(std::max(a_.count("serve"), b_.count("serve")), serve_count())
      << "all requests are sent to the same cache";
}

// The router finds a request and a close of the cache connection that it has not seen yet. It checks the
// connection before using it, and sends the request to the same cache over a new one.
TEST_F(IntegrationTest, SendsEachRequestOnceWhenAnUnreadCloseIsPending) {
  list_all();
  start({{"router", {{"cache_connections", 1}}}});  // the closed connection must not count
  Client client = connect();
  ASSERT_TRUE(client.ask(1, read_fields(id_of(1))).has_value());
  for (std::uint16_t key = 2; key <= 30; ++key) {
    program_->suspend();
    client.send(request_bytes(key, read_fields(id_of(key)), ""));
    close_all_connections();
    program_->signal(SIGCONT);
    const auto answer = client.read(key);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->status, 200) << key;
  }
  EXPECT_EQ(serve_count(), 30U) << "each request is sent once";
  EXPECT_EQ(std::max(a_.count("serve"), b_.count("serve")), serve_count())
      << "all requests are sent to the same cache";
}

// The cache closes the connection after the request was sent: the request may have been executed, and a safe
// one is retried once, at the same cache.
TEST_F(IntegrationTest, RetriesAtTheSameCacheWhenACloseCrossesARequest) {
  constexpr std::size_t kRequests = 5;  // fewer than the consecutive failures that eject a cache
  std::atomic<int> tries = 0;
  set_all_scripts([&tries](const CacheRequest& request) {
    return ++tries % 2 == 1 ? std::string(CacheStandIn::kThenClose)
                            : CacheStandIn::answer(request, "OK", "-", "well");
  });
  list_all();
  start();
  Client client = connect();
  for (std::uint16_t key = 1; key <= kRequests; ++key) {
    const auto answer = client.ask(key, read_fields(id_of(key)));
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->status, 200) << key;
  }
  EXPECT_EQ(serve_count(), 2 * kRequests) << "each request is sent twice";
  EXPECT_EQ(std::max(a_.count("serve"), b_.count("serve")), serve_count())
      << "all requests are sent to the same cache";
}

// Clients send hundreds of requests at once on one connection and abort all of them, or close the connection
// within a request. Other clients are not affected, no request stays open, and requests beyond the bound of a
// connection are rejected.
TEST_F(IntegrationTest, ServesOtherClientsDuringFloodsAbortsAndIncompleteRequests) {
  set_all_scripts(no_answer);
  list_all();
  start();
  for (int round = 0; round < 5; ++round) {
    Client flood = connect();
    std::string bytes;
    for (std::uint16_t key = 1; key <= 300; ++key) {
      const int number = round * 1000 + key;
      bytes += request_bytes(key, read_fields(id_of(number), {{"HTTP_X_ENTITY", id_of(number)}}), "");
    }
    flood.send(bytes);
    const auto over = flood.read(300);
    ASSERT_TRUE(over.has_value());
    EXPECT_EQ(over->protocol_status, 2) << "OVERLOADED";
    std::string aborts;
    for (std::uint16_t key = 1; key <= 300; ++key) {
      aborts += record(2, key, "");
    }
    flood.send(aborts);
    Client half = connect();
    half.send(request_bytes(1, read_fields(id_of(90'000 + round)), "").substr(0, 100));
  }
  set_all_scripts(CacheStandIn::serving("well"));
  Client usual = connect();
  int served = 0;
  for (std::uint16_t key = 1; key <= 20; ++key) {
    const auto answer = usual.ask(key, read_fields(id_of(80'000 + key), {{"HTTP_X_ENTITY", id_of(key)}}));
    ASSERT_TRUE(answer.has_value());
    served += answer->status == 200 ? 1 : 0;
  }
  EXPECT_GT(served, 15);
}

// Operators replace the file and send SIGHUP: the discovery service has another address and the same
// sequence.
TEST_F(IntegrationTest, PollsTheDiscoveryServiceAtItsNewAddressAfterSighup) {
  list_all();
  start();
  DiscoveryStandIn moved;
  moved.post(pool({listed("cache-a", a_.address(), "std"), listed("cache-b", b_.address(), "std"),
                   listed("origin-o", origin_.address(), "origin")},
                  true));
  json config = plain_config(board_);
  config["board"] = moved.address();
  program_->reconfigure(config);
  program_->signal(SIGHUP);
  ASSERT_TRUE(moved.await_calls(1)) << program_->log();
  moved.post(pool({listed("cache-a", a_.address(), "std", "draining"),
                   listed("cache-b", b_.address(), "std", "draining")},
                  false));
  ASSERT_TRUE(moved.await_caught_up());
  const auto answer = connect().ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value()) << "it still serves requests";
  EXPECT_EQ(a_.count("serve") + b_.count("serve"), 0U) << "the update of the new service is in force";
}

// A file that is missing, invalid or unchanged must have no effect; the next valid one is applied.
TEST_F(IntegrationTest, KeepsTheConfigurationWhenTheFileIsInvalidAtSighup) {
  list_all();
  start();
  json faulty = plain_config(board_);
  faulty["board"] = "nowhere";
  program_->reconfigure(faulty);
  program_->signal(SIGHUP);
  ASSERT_TRUE(program_->await_log("the configuration is unchanged: board: 'nowhere'"));
  program_->reconfigure("{ half");
  program_->signal(SIGHUP);
  ASSERT_TRUE(program_->await_log("is not a JSON object"));
  program_->remove_configuration();
  program_->signal(SIGHUP);
  ASSERT_TRUE(program_->await_log("cannot read"));
  program_->reconfigure(plain_config(board_));
  program_->signal(SIGHUP);
  ASSERT_TRUE(program_->await_log(" (unchanged)"));
  json other = plain_config(board_);
  other["name"] = "another";
  other["router"]["client_stall_ms"] = 5000;
  program_->reconfigure(other);
  program_->signal(SIGHUP);
  ASSERT_TRUE(program_->await_log("need a restart"));
  const auto answer = connect().ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 200);
}

// Later events in `known` are applied at once, even if the discovery service does not answer.
TEST_F(IntegrationTest, AppliesLaterEventsOfTheFileAtSighup) {
  list_all();
  start();
  board_.respond_with("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  DiscoveryStandIn ahead;
  ahead.post(pool({}, true));
  ahead.post(pool(
      {listed("cache-a", a_.address(), "std", "removed"), listed("cache-b", b_.address(), "std", "removed"),
       listed("origin-o", origin_.address(), "origin", "removed")},
      false));
  json config = plain_config(board_);
  config["known"] = ahead.known();
  program_->reconfigure(config);
  program_->signal(SIGHUP);
  EXPECT_TRUE(program_->await_health(503))
      << "the first event was applied before, the second one removes all caches";
}

TEST_F(IntegrationTest, EndsADrainAfterSighup) {
  set_all_scripts(no_answer);
  list_all();
  start({{"router", {{"drain_answer_ms", 600}, {"drain_linger_ms", 200}}}});
  Client client = connect();
  client.send(request_bytes(1, read_fields(id_of(1)), ""));
  await_serve();
  program_->signal(SIGTERM);
  ASSERT_TRUE(program_->await_health(503));
  program_->signal(SIGHUP);
  program_->signal(SIGTERM);
  EXPECT_TRUE(client.read(1, milliseconds(4000)).has_value());
  EXPECT_EQ(program_->await_exit(), 0);
}

TEST_F(IntegrationTest, ExitsWithAnErrorMessageWhenTheConfigurationIsInvalid) {
  json config = plain_config(board_);
  config["board"] = "nowhere";
  program_ = std::make_unique<Program>(config);
  EXPECT_EQ(program_->await_exit(), 1);
  EXPECT_NE(program_->log().find("board: 'nowhere'"), std::string::npos) << program_->log();
}

TEST_F(IntegrationTest, ExitsWithAnErrorMessageWhenTheAddressIsInUse) {
  list_all();
  json config = plain_config(board_);
  program_ = std::make_unique<Program>(config, std::vector<std::string>{"--listen", a_.address()});
  EXPECT_EQ(program_->await_exit(), 1);
  EXPECT_NE(program_->log().find("listen on " + a_.address()), std::string::npos) << program_->log();
}

}  // namespace
}  // namespace trailcourse::testing_support
