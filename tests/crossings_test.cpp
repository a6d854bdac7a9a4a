// Pairs of concurrent events, each forced into the adverse order over real connections (docs/crossings.md).
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins.h"

namespace trailcourse::testing_support {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class CrossingsTest : public testing::Test {
 protected:
  void start(const json& changes = json::object()) {
    json config = plain_config(board_);
    config["settings"]["Limits"]["ConnectTimeoutS"] = 4;
    config["router"] = {{"cache_connections", 1}};
    config.merge_patch(changes);
    program_ = std::make_unique<Program>(config);
    ASSERT_TRUE(program_->await_health(200)) << program_->log();
  }
  void list_cache(const CacheStandIn& cache) {
    board_.post(pool(
        {listed("cache-a", cache.address(), "std"), listed("origin-o", origin_.address(), "origin")}, true));
  }
  // Sends a request and waits until the router has accepted it.
  static void send_and_await(Client& client, const Fields& fields) {
    client.send(request_bytes(1, fields, ""));
    ASSERT_TRUE(client.ask(2, {{"SCRIPT_NAME", "/healthz"}}).has_value());
  }

  CacheStandIn slow_cache_{CacheStandIn::serving("from the slow cache"), true};
  CacheStandIn cache_{CacheStandIn::serving("from the cache")};
  CacheStandIn origin_{CacheStandIn::serving("from origin")};
  DiscoveryStandIn board_;
  std::unique_ptr<Program> program_;
};

// ---- A cache connection that is established late ----

TEST_F(CrossingsTest, DropsTheRequestOfAClientThatLeftBeforeTheCacheConnected) {
  list_cache(slow_cache_);
  start({{"settings", {{"Limits", {{"Cancel", false}}}}}});
  auto leaving = std::make_unique<Client>(program_->port());
  send_and_await(*leaving, read_fields(id_of(1)));
  leaving.reset();
  Client remaining(program_->port());
  send_and_await(remaining, read_fields(id_of(2)));
  slow_cache_.start_accepting();
  const auto answer = remaining.read(1);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 200);
  const auto received = slow_cache_.seen();
  ASSERT_EQ(received.size(), 1U) << "the first request would have been sent before on the same connection";
  EXPECT_EQ(received[0].id, id_of(2));
}

TEST_F(CrossingsTest, DropsARequestThatWasAbortedBeforeTheCacheConnected) {
  list_cache(slow_cache_);
  start({{"settings", {{"Limits", {{"Cancel", false}}}}}});
  Client client(program_->port());
  send_and_await(client, read_fields(id_of(1)));
  client.send(record(2, 1, ""));
  Client remaining(program_->port());
  send_and_await(remaining, read_fields(id_of(2)));
  slow_cache_.start_accepting();
  ASSERT_TRUE(remaining.read(1).has_value());
  const auto received = slow_cache_.seen();
  ASSERT_EQ(received.size(), 1U);
  EXPECT_EQ(received[0].id, id_of(2));
}

TEST_F(CrossingsTest, UsesAnotherCacheWhenTheFirstDrainsBeforeItConnected) {
  list_cache(slow_cache_);
  start();
  Client client(program_->port());
  // The size is so large that no second attempt begins before the first cache has connected.
  send_and_await(client, read_fields(id_of(1), {{"HTTP_X_HEAP_KB", "400"}}));
  board_.post(pool({listed("cache-a", slow_cache_.address(), "std", "draining"),
                    listed("cache-b", cache_.address(), "std")},
                   false));
  ASSERT_TRUE(board_.await_caught_up());
  slow_cache_.start_accepting();
  const auto answer = client.read(1);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "from the cache");
  EXPECT_EQ(slow_cache_.count("serve"), 0U);
}

TEST_F(CrossingsTest, AppliesAPurgeThatArrivesBeforeTheCacheConnected) {
  list_cache(slow_cache_);
  start();
  Client client(program_->port());
  send_and_await(client, read_fields(id_of(1)));
  board_.post({{"flush", {{"asset", "7f3a9c21e0b4d655"}, {"ms", unix_ms()}}}});
  ASSERT_TRUE(board_.await_caught_up());
  slow_cache_.start_accepting();
  const auto answer = client.read(1);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 200);
  const auto received = slow_cache_.seen();
  ASSERT_EQ(received.size(), 1U);
  ASSERT_TRUE(received[0].fields.contains("agelim")) << "a copy from before the purge would be accepted";
  EXPECT_LT(std::stoll(received[0].fields.at("agelim")), 4000);
}

TEST_F(CrossingsTest, DropsARequestWhosePatienceEndsBeforeTheCacheConnected) {
  list_cache(slow_cache_);
  start({{"settings", {{"Limits", {{"Cancel", false}}}}}});
  Client client(program_->port());
  send_and_await(client, read_fields(id_of(1), {{"HTTP_X_PATIENCE_MS", "300"}}));
  const auto answer = client.read(1);
  ASSERT_TRUE(answer.has_value()) << "the client gets an answer at the end of its patience";
  EXPECT_NE(answer->status, 200);
  Client remaining(program_->port());
  send_and_await(remaining, read_fields(id_of(2)));
  slow_cache_.start_accepting();
  ASSERT_TRUE(remaining.read(1).has_value());
  ASSERT_EQ(slow_cache_.seen().size(), 1U);
  EXPECT_EQ(slow_cache_.seen()[0].id, id_of(2));
}

// The cache closes the connection before the router reads a request that would use it. A request that was not
// written was certainly not executed, so it is sent again although it is not idempotent.
TEST_F(CrossingsTest, SendsAnUnsafeRequestAgainAfterAnIdleCloseByTheCache) {
  list_cache(cache_);
  start();
  const auto once = [](int number) { return read_fields(id_of(number), {{"SCRIPT_NAME", "/v1/once"}}); };
  Client client(program_->port());
  ASSERT_EQ(client.ask(1, once(1))->status, 200);
  program_->suspend();
  client.send(request_bytes(2, once(2), ""));
  origin_.close_connections();
  program_->signal(SIGCONT);
  const auto answer = client.read(2);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 200);
  EXPECT_EQ(origin_.count("serve"), 2U) << "each of the two requests is sent once";
}

// ---- Shutdown ----

TEST_F(CrossingsTest, ServesARequestThatIsIncompleteAtTheEndOfADrain) {
  list_cache(cache_);
  start();
  Client client(program_->port());
  ASSERT_TRUE(client.ask(1, read_fields(id_of(1))).has_value());
  const std::string bytes = request_bytes(2, read_fields(id_of(2)), "");
  client.send(bytes.substr(0, bytes.size() / 2));
  const auto signalled = Steady::now();
  program_->signal(SIGTERM);
  ASSERT_TRUE(program_->await_health(503));
  // This is after the end of a drain without requests in flight (650 ms), and well before the end of one with
  // an incomplete request.
  std::this_thread::sleep_until(signalled + milliseconds(800));
  client.send(bytes.substr(bytes.size() / 2));
  const auto answer = client.read(2);
  ASSERT_TRUE(answer.has_value()) << program_->log();
  EXPECT_EQ(answer->body, "from the cache");
  EXPECT_TRUE(client.await_close());
  EXPECT_EQ(program_->await_exit(), 0);
}

// The process is suspended over the end of its drain. When it resumes, an idle connection has a new request.
TEST_F(CrossingsTest, ServesARequestOnAnIdleConnectionAtTheEndOfADrain) {
  list_cache(cache_);
  start();
  Client client(program_->port());
  ASSERT_TRUE(client.ask(1, read_fields(id_of(1))).has_value());
  program_->signal(SIGTERM);
  ASSERT_TRUE(program_->await_health(503));
  program_->suspend();
  client.send(request_bytes(2, read_fields(id_of(2)), ""));
  std::this_thread::sleep_for(milliseconds(1'000));
  program_->signal(SIGCONT);
  const auto answer = client.read(2);
  ASSERT_TRUE(answer.has_value()) << program_->log();
  EXPECT_EQ(answer->body, "from the cache");
  EXPECT_TRUE(client.await_close());
  EXPECT_EQ(program_->await_exit(), 0);
}

// Keeps `kOpen` requests open on the connection of a client until the router closes it. Returns the ids of
// those that got no answer. No two clients have the same `number`.
std::vector<std::string> send_until_closed(Client& client, int number) {
  constexpr int kOpen = 4;
  constexpr int kMaxRequests = 10'000;
  const auto id = [number](int request) { return id_of(number * kMaxRequests + request); };
  const auto send = [&](int request) {
    const Fields fields = read_fields(id(request), {{"HTTP_X_ENTITY", id(request)}});
    client.send(request_bytes(static_cast<std::uint16_t>(request), fields, ""));
  };
  int sent = 0;
  while (sent < kOpen) {
    send(++sent);
  }
  std::vector<std::string> unanswered;
  for (int request = 1; request <= sent; ++request) {
    if (!client.read(static_cast<std::uint16_t>(request))) {
      unanswered.push_back(id(request));
    } else if (sent < kMaxRequests) {
      send(++sent);
    }
  }
  return unanswered;
}

// Guards against requests that a draining router forwards and does not answer, where clients go on sending
// until it closes their connections.
TEST_F(CrossingsTest, AnswersWhatItForwardedWhileClientsSendUntilTheEndOfADrain) {
  cache_.set_script(no_answer);
  origin_.set_script(no_answer);
  list_cache(cache_);
  start({{"router", {{"drain_answer_ms", 400}, {"drain_linger_ms", 200}, {"cache_connections", 16}}}});
  constexpr int kClients = 8;
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Client>(program_->port()));
  }
  std::vector<std::future<std::vector<std::string>>> unanswered_by_client;
  for (int i = 0; i < kClients; ++i) {
    Client& client = *clients[static_cast<std::size_t>(i)];
    unanswered_by_client.push_back(
        std::async(std::launch::async, [&client, i] { return send_until_closed(client, i + 1); }));
  }
  ASSERT_TRUE(cache_.await("serve", kClients));
  program_->signal(SIGTERM);
  std::set<std::string> unanswered;
  for (auto& of_client : unanswered_by_client) {
    const std::vector<std::string> ids = of_client.get();
    unanswered.insert(ids.begin(), ids.end());
  }
  EXPECT_EQ(program_->await_exit(), 0);
  for (const CacheStandIn* cache : {&cache_, &origin_}) {
    for (const CacheRequest& request : cache->seen()) {
      EXPECT_FALSE(request.command == "serve" && unanswered.contains(request.id))
          << request.id << " was forwarded and not answered\n"
          << program_->log();
    }
  }
}

// Guards against answers that are discarded where the process stands still until its drain is overdue.
TEST_F(CrossingsTest, AnswersOpenRequestsWhenItResumesAfterItsDrainTimeout) {
  cache_.set_script(no_answer);
  origin_.set_script(no_answer);
  list_cache(cache_);
  start({{"router", {{"drain_answer_ms", 2'000}, {"drain_late_ms", 0}}}});
  Client client(program_->port());
  client.send(request_bytes(1, read_fields(id_of(1)), ""));
  ASSERT_TRUE(cache_.await("serve", 1));
  program_->signal(SIGTERM);
  ASSERT_TRUE(program_->await_health(503));
  program_->suspend();
  client.send(request_bytes(2, read_fields(id_of(2)), ""));
  std::this_thread::sleep_for(milliseconds(2'500));  // the drain timeout and the time for the last answers
  program_->signal(SIGCONT);
  for (const std::uint16_t request : {1, 2}) {
    const auto answer = client.read(request);
    ASSERT_TRUE(answer.has_value()) << "request " << request << "\n" << program_->log();
    EXPECT_NE(answer->status, 200) << request;
  }
  EXPECT_TRUE(client.await_close());
  EXPECT_EQ(program_->await_exit(), 0);
}

// Guards against a request that is discarded where the process stands still while it closes its connections.
// The incomplete request keeps its connection open for a moment; where that was too short for this test to
// suspend the process, it is played again.
TEST_F(CrossingsTest, AnswersARequestThatArrivesWhileItIsSuspendedInItsLastStep) {
  cache_.set_script(no_answer);
  origin_.set_script(no_answer);
  list_cache(cache_);
  constexpr int kPlays = 10;
  for (int play = 0; play < kPlays; ++play) {
    start({{"router", {{"drain_answer_ms", 700}, {"drain_late_ms", 0}}}});
    Client failing(program_->port());
    Client client(program_->port());
    ASSERT_TRUE(client.ask(1, {{"SCRIPT_NAME", "/healthz"}}).has_value());
    const std::string bytes = request_bytes(2, read_fields(id_of(2)), "");
    failing.send(request_bytes(1, read_fields(id_of(1)), ""));
    client.send(bytes.substr(0, bytes.size() / 2));
    program_->signal(SIGTERM);
    ASSERT_TRUE(failing.read(1).has_value()) << "open requests fail as the last step begins";
    program_->suspend();
    client.read(2, milliseconds(1));
    if (client.closed()) {
      continue;
    }
    client.send(bytes.substr(bytes.size() / 2));
    std::this_thread::sleep_for(milliseconds(500));  // longer than the last step waits
    program_->signal(SIGCONT);
    const auto answer = client.read(2);
    ASSERT_TRUE(answer.has_value()) << program_->log();
    EXPECT_EQ(answer->status, 503);
    return;
  }
  FAIL() << "the process was suspended too late in each play";
}

// ---- Clients ----

// The requests of a client and the close of its connection are both unread in the socket of the router. The
// requests are not forwarded.
TEST_F(CrossingsTest, DoesNotForwardUnreadRequestsOfAClientThatLeft) {
  list_cache(cache_);
  start();
  Client remaining(program_->port());
  ASSERT_TRUE(remaining.ask(1, read_fields(id_of(98))).has_value())
      << "the connection to the cache is established";
  auto leaving = std::make_unique<Client>(program_->port());
  ASSERT_TRUE(leaving->ask(1, {{"SCRIPT_NAME", "/healthz"}}).has_value());
  program_->suspend();
  for (std::uint16_t key = 1; key <= 8; ++key) {
    leaving->send(request_bytes(key, read_fields(id_of(key)), ""));
  }
  leaving.reset();
  remaining.send(request_bytes(2, read_fields(id_of(99)), ""));
  program_->signal(SIGCONT);
  ASSERT_TRUE(remaining.read(2).has_value());
  const auto received = cache_.seen();
  ASSERT_EQ(received.size(), 2U);
  EXPECT_EQ(received[1].id, id_of(99));
}

enum class Leaving { kClose, kReset, kHalfClose };

class LeavingClientTest : public CrossingsTest, public testing::WithParamInterface<Leaving> {
 protected:
  // A client that has received an answer, so that its connection is known to the router.
  std::unique_ptr<Client> connected_client() {
    auto client = std::make_unique<Client>(program_->port());
    EXPECT_TRUE(client->ask(1, {{"SCRIPT_NAME", "/healthz"}}).has_value());
    return client;
  }
  static void leave(Client& client) {
    switch (GetParam()) {
      case Leaving::kClose:
        client.close();
        break;
      case Leaving::kReset:
        client.reset();
        break;
      case Leaving::kHalfClose:
        client.shut_down_sending();
        break;
    }
  }
  // Returns the ids of the requests that the cache has received, once it has answered a request of another
  // client.
  std::vector<std::string> forwarded_ids(Client& other, int number) {
    EXPECT_TRUE(other.ask(100, read_fields(id_of(number))).has_value());
    std::vector<std::string> ids;
    for (const CacheRequest& request : cache_.seen()) {
      if (request.command == "serve") {
        ids.push_back(request.id);
      }
    }
    return ids;
  }
  static std::string many_requests(int first, int count) {
    std::string bytes;
    for (int i = 0; i < count; ++i) {
      bytes += request_bytes(static_cast<std::uint16_t>(1 + i % 60), read_fields(id_of(first + i)), "");
    }
    return bytes;
  }
};

// The client leaves before anything is read; what it sent takes many turns.
TEST_P(LeavingClientTest, ForwardsNoneOfTheRequestsThatAreUnreadWhenTheClientLeaves) {
  list_cache(cache_);
  start();
  Client other(program_->port());
  ASSERT_TRUE(other.ask(1, read_fields(id_of(98))).has_value());
  const auto leaving = connected_client();
  program_->suspend();
  leaving->send(many_requests(1'000, 60));
  leave(*leaving);
  program_->signal(SIGCONT);
  EXPECT_EQ(forwarded_ids(other, 99), (std::vector<std::string>{id_of(98), id_of(99)}));
}

// The client leaves between the reads: one of its requests waits for its answer, the others are unread.
TEST_P(LeavingClientTest, ForwardsNoRequestBehindOneThatWaitsWhenTheClientLeaves) {
  cache_.set_script([](const CacheRequest& request) -> std::optional<std::string> {
    return request.id == id_of(1) ? std::nullopt
                                  : std::optional(CacheStandIn::answer(request, "OK", "tell=warm", "body"));
  });
  list_cache(cache_);
  start();
  Client other(program_->port());
  ASSERT_TRUE(other.ask(1, read_fields(id_of(98))).has_value());
  const auto leaving = connected_client();
  leaving->send(request_bytes(61, read_fields(id_of(1)), ""));
  ASSERT_TRUE(cache_.await("serve", 2));
  program_->suspend();
  leaving->send(many_requests(1'000, 60));
  leave(*leaving);
  program_->signal(SIGCONT);
  EXPECT_EQ(forwarded_ids(other, 99), (std::vector<std::string>{id_of(98), id_of(1), id_of(99)}));
}

// An id comes again on a new connection after its client has left while the request was open.
TEST_P(LeavingClientTest, ExecutesAnIdOnceThatReturnsAfterItsClientHasLeft) {
  cache_.set_script(no_answer);
  origin_.set_script(no_answer);
  list_cache(cache_);
  start({{"router", {{"cache_connections", 16}}}});
  int number = 0;
  std::size_t serves = 0;
  for (const std::string& request_class : std::vector<std::string>{"media", "entry", "once"}) {
    const Fields fields = read_fields(id_of(++number), {{"SCRIPT_NAME", "/v1/" + request_class},
                                                        {"HTTP_X_DEDUPE_KEY", "5c0f6e1a2b3d4c59"}});
    CacheStandIn& executing = request_class == "media" ? cache_ : origin_;
    serves = executing.count("serve");
    const std::size_t cancels = executing.count("cancel");
    const auto leaving = connected_client();
    leaving->send(request_bytes(1, fields, ""));
    ASSERT_TRUE(executing.await("serve", serves + 1));
    leave(*leaving);
    ASSERT_TRUE(executing.await("cancel", cancels + 1)) << "the router knows that the client has left";
    const auto answer = Client(program_->port()).ask(1, fields);
    ASSERT_TRUE(answer.has_value()) << request_class;
    EXPECT_EQ(answer->status, 400) << request_class;
    EXPECT_EQ(executing.count("serve"), serves + 1) << request_class;
  }
}

INSTANTIATE_TEST_SUITE_P(Ends, LeavingClientTest,
                         testing::Values(Leaving::kClose, Leaving::kReset, Leaving::kHalfClose));

TEST_F(CrossingsTest, ServesTheSecondOfTwoRequestsWithOneNumberWhoseFirstIsAbortedInTheSameRead) {
  list_cache(cache_);
  start();
  Client client(program_->port());
  ASSERT_TRUE(client.ask(9, read_fields(id_of(90))).has_value());
  constexpr std::uint8_t kAbortRequest = 2;
  client.send(request_bytes(1, read_fields(id_of(1)), "") + record(kAbortRequest, 1, "") +
              request_bytes(1, read_fields(id_of(2)), ""));
  const auto answer = client.read(1);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "from the cache");
  ASSERT_TRUE(client.ask(3, read_fields(id_of(3))).has_value()) << "no second answer to request 1 came";
}

// A request that was refused before any attempt has not been executed: its id may return.
TEST_F(CrossingsTest, ServesAnIdThatReturnsAfterARefusal) {
  cache_.set_script(
      [](const CacheRequest& request) { return CacheStandIn::answer(request, "BUSY", "tell=jammed"); });
  origin_.set_script(
      [](const CacheRequest& request) { return CacheStandIn::answer(request, "BUSY", "tell=jammed"); });
  list_cache(cache_);
  start();
  Client client(program_->port());
  const auto refused = client.ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(refused.has_value());
  EXPECT_EQ(refused->status, 503);
  cache_.set_script(CacheStandIn::serving("from the cache"));
  origin_.set_script(CacheStandIn::serving("from origin"));
  const auto again = client.ask(2, read_fields(id_of(1)));
  ASSERT_TRUE(again.has_value());
  EXPECT_NE(again->status, 400);
}

TEST_F(CrossingsTest, ReachesTheDiscoveryServiceAgainWhenIdleClientsUseAllDescriptors) {
  list_cache(cache_);
  start({{"limits", {{"sockets", 64}}}});
  const std::uint16_t port = board_.port();
  board_.stop();
  std::vector<std::unique_ptr<Client>> idle;
  for (int i = 0; i < 60; ++i) {
    idle.push_back(std::make_unique<Client>(program_->port()));
    const auto answer = idle.back()->ask(1, read_fields(id_of(i + 1), {{"HTTP_X_ENTITY", id_of(i + 1)}}));
    ASSERT_TRUE(answer.has_value()) << i;
    ASSERT_EQ(answer->status, 200) << i;
  }
  EXPECT_TRUE(program_->await_health(200));
  board_.post(pool(
      {listed("cache-b", origin_.address(), "std"), listed("cache-a", cache_.address(), "std", "draining")},
      false));
  board_.start(port);
  ASSERT_TRUE(board_.await_caught_up()) << "the discovery service gets its descriptor";
  const auto answer = Client(program_->port()).ask(1, read_fields(id_of(100)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "from origin") << "a new cache gets its descriptor";
}

// ---- The discovery service ----

TEST_F(CrossingsTest, StopsUsingADrainingCacheWhenAPollIsNeverAnswered) {
  list_cache(cache_);
  start();
  board_.stop_answering(1);
  const std::size_t before = board_.calls();
  ASSERT_TRUE(board_.await_calls(before + 1)) << "the call that is never answered";
  const auto posted = Steady::now();
  board_.post(pool(
      {listed("cache-b", origin_.address(), "std"), listed("cache-a", cache_.address(), "std", "draining")},
      false));
  ASSERT_TRUE(program_->await_log("cache-a is draining"));
  EXPECT_LT(Steady::now() - posted, milliseconds(6'000)) << "the event counts as delivered 7 s later";
  const auto answer = Client(program_->port()).ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "from origin");
}

// Guards against calls that are given up before a slow discovery service has answered any of them: the router
// would learn of no drain as long as it stays slow.
TEST_F(CrossingsTest, StopsUsingDrainingCachesWhileEachResponseOfTheDiscoveryServiceIsLate) {
  constexpr milliseconds kCountsAsDelivered{7'000};  // after an event is published
  const std::vector<std::pair<std::string, milliseconds>> delays{
      {"cache-a", milliseconds(1'100)}, {"cache-b", milliseconds(3'500)}, {"cache-c", milliseconds(5'000)}};
  std::vector<json> entries{listed("origin-o", origin_.address(), "origin")};
  for (const auto& [name, delay] : delays) {
    entries.push_back(listed(name, cache_.address(), "std"));
  }
  board_.post(pool(entries, true));
  start();
  for (const auto& [name, delay] : delays) {
    board_.delay_responses(delay);
    const std::size_t before = board_.calls();
    ASSERT_TRUE(board_.await_calls(before + 2)) << "the service is slow by now";
    const auto posted = Steady::now();
    board_.post(pool({listed(name, cache_.address(), "std", "draining")}, false));
    ASSERT_TRUE(program_->await_log(name + " is draining")) << delay.count() << " ms";
    EXPECT_LT(Steady::now() - posted, kCountsAsDelivered) << delay.count() << " ms";
  }
  EXPECT_TRUE(program_->await_log("answers late"));
  board_.delay_responses(milliseconds(0));
  EXPECT_TRUE(program_->await_log("answers in time again"));
}

TEST_F(CrossingsTest, StartsWhileTheDiscoveryServiceIsDownOrDoesNotAnswer) {
  list_cache(cache_);
  board_.stop_answering(1'000);
  const auto begin = Steady::now();
  start();
  EXPECT_LT(Steady::now() - begin, milliseconds(10'000));
  program_.reset();
  json config = plain_config(board_);
  board_.stop();
  const auto again = Steady::now();
  program_ = std::make_unique<Program>(config);
  ASSERT_TRUE(program_->await_health(200)) << program_->log();
  EXPECT_LT(Steady::now() - again, milliseconds(10'000));
  EXPECT_EQ(Client(program_->port()).ask(1, read_fields(id_of(1)))->status, 200);
}

// ---- Malformed answers ----

TEST_F(CrossingsTest, DoesNotAnswerNotModifiedToAClientWithoutACopy) {
  cache_.set_script([](const CacheRequest& request) {
    return CacheStandIn::answer(request, "SAME", "sum=4be0c1927d55a6f3,t0=1,tell=warm");
  });
  list_cache(cache_);
  start();
  const auto answer = Client(program_->port()).ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_FALSE(answer->headers.contains("X-Ok304"));
  EXPECT_NE(answer->status, 200);
}

TEST_F(CrossingsTest, ServesTheRequestsBehindAnAnswerWithoutEnd) {
  cache_.set_script([](const CacheRequest& request) -> std::optional<std::string> {
    if (request.id != id_of(1)) {
      return CacheStandIn::answer(request, "OK", "-", "good");
    }
    return "*4\r\n$16\r\n" + request.id + "\r\n$2\r\nOK\r\n$1\r\n-\r\n$900000000\r\n" +
           std::string(1'000'000, 'x');
  });
  list_cache(cache_);
  start({{"settings", {{"Limits", {{"AttemptsCap", 1}}}}}});
  Client client(program_->port());
  const auto malformed = client.ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(malformed.has_value()) << "the request gets one final answer at once";
  EXPECT_NE(malformed->status, 200);
  const auto next = client.ask(2, read_fields(id_of(2)));
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->body, "good");
}

}  // namespace
}  // namespace trailcourse::testing_support
