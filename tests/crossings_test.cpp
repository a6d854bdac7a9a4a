// Pairs of events that can cross, each forced in the bad order over real connections (docs/crossings.md).
#include <gtest/gtest.h>

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
using Steady = std::chrono::steady_clock;

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

class Crossings : public testing::Test {
 protected:
  void start(const json& changes = json::object()) {
    json config = plain_config(board_);
    config["settings"]["Limits"]["ConnectTimeoutS"] = 4;
    config["router"] = {{"cache_connections", 1}};
    config.merge_patch(changes);
    program_ = std::make_unique<Program>(config);
    ASSERT_TRUE(program_->await_health(200)) << program_->log();
  }
  void list(const CacheStandIn& cache) {
    board_.post(pool(
        {listed("cache-a", cache.address(), "std"), listed("origin-o", origin_.address(), "origin")}, true));
  }
  // Sends a request and waits until the router has taken it in.
  static void send_and_await(Client& client, const Fields& fields) {
    client.send(request_bytes(1, fields, ""));
    ASSERT_TRUE(client.ask(2, {{"SCRIPT_NAME", "/healthz"}}).has_value());
  }

  CacheStandIn late_{CacheStandIn::serving("from the late one"), true};
  CacheStandIn other_{CacheStandIn::serving("from the other")};
  CacheStandIn origin_{CacheStandIn::serving("from origin")};
  DiscoveryStandIn board_;
  std::unique_ptr<Program> program_;
};

// ---- A connection that comes up late ----

TEST_F(Crossings, AConnectionThatComesUpLateAndAClientThatLeft) {
  list(late_);
  start({{"settings", {{"Limits", {{"Cancel", false}}}}}});
  auto gone = std::make_unique<Client>(program_->port());
  send_and_await(*gone, read_fields(id_of(1)));
  gone.reset();
  Client stays(program_->port());
  send_and_await(stays, read_fields(id_of(2)));
  late_.start_accepting();
  const auto answer = stays.read(1);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 200);
  const auto seen = late_.seen();
  ASSERT_EQ(seen.size(), 1U) << "the same connection would have carried the first one before";
  EXPECT_EQ(seen[0].id, id_of(2));
}

TEST_F(Crossings, AConnectionThatComesUpLateAndAnAbort) {
  list(late_);
  start({{"settings", {{"Limits", {{"Cancel", false}}}}}});
  Client client(program_->port());
  send_and_await(client, read_fields(id_of(1)));
  client.send(record(2, 1, ""));
  Client stays(program_->port());
  send_and_await(stays, read_fields(id_of(2)));
  late_.start_accepting();
  ASSERT_TRUE(stays.read(1).has_value());
  const auto seen = late_.seen();
  ASSERT_EQ(seen.size(), 1U);
  EXPECT_EQ(seen[0].id, id_of(2));
}

TEST_F(Crossings, AConnectionThatComesUpLateAndADrain) {
  list(late_);
  start();
  Client client(program_->port());
  // So large that no second cache is asked before the first one is there.
  send_and_await(client, read_fields(id_of(1), {{"HTTP_X_HEAP_KB", "400"}}));
  board_.post(pool(
      {listed("cache-a", late_.address(), "std", "draining"), listed("cache-b", other_.address(), "std")},
      false));
  ASSERT_TRUE(board_.await_caught_up());
  late_.start_accepting();
  const auto answer = client.read(1);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "from the other");
  EXPECT_EQ(late_.count("serve"), 0U);
}

TEST_F(Crossings, AConnectionThatComesUpLateAndAPurge) {
  list(late_);
  start();
  Client client(program_->port());
  send_and_await(client, read_fields(id_of(1)));
  board_.post({{"flush", {{"asset", "7f3a9c21e0b4d655"}, {"ms", unix_ms()}}}});
  ASSERT_TRUE(board_.await_caught_up());
  late_.start_accepting();
  const auto answer = client.read(1);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, 200);
  const auto seen = late_.seen();
  ASSERT_EQ(seen.size(), 1U);
  ASSERT_TRUE(seen[0].fields.contains("agelim")) << "a copy from before the purge would do";
  EXPECT_LT(std::stoll(seen[0].fields.at("agelim")), 4000);
}

TEST_F(Crossings, AConnectionThatComesUpLateAndTheClientsTime) {
  list(late_);
  start({{"settings", {{"Limits", {{"Cancel", false}}}}}});
  Client client(program_->port());
  send_and_await(client, read_fields(id_of(1), {{"HTTP_X_PATIENCE_MS", "300"}}));
  const auto answer = client.read(1);
  ASSERT_TRUE(answer.has_value()) << "its time is over, and it is told so";
  EXPECT_NE(answer->status, 200);
  Client stays(program_->port());
  send_and_await(stays, read_fields(id_of(2)));
  late_.start_accepting();
  ASSERT_TRUE(stays.read(1).has_value());
  ASSERT_EQ(late_.seen().size(), 1U);
  EXPECT_EQ(late_.seen()[0].id, id_of(2));
}

// The request is read first, and the end of the connection that it would go over has come by then: what was
// not written cannot have run, and goes out again although it must not run twice.
TEST_F(Crossings, TheIdleCloseOfACacheAndAnUnsafeRequest) {
  list(other_);
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
  EXPECT_EQ(origin_.count("serve"), 2U) << "each of the two once";
}

// ---- Shutdown ----

TEST_F(Crossings, TheEndOfADrainAndHalfARequest) {
  list(other_);
  start();
  Client client(program_->port());
  ASSERT_TRUE(client.ask(1, read_fields(id_of(1))).has_value());
  const std::string bytes = request_bytes(2, read_fields(id_of(2)), "");
  client.send(bytes.substr(0, bytes.size() / 2));
  const auto told = Steady::now();
  program_->signal(SIGTERM);
  ASSERT_TRUE(program_->await_health(503));
  // Past the end of a drain with nothing on its way (650 ms), and well inside that of one with half a
  // request.
  std::this_thread::sleep_until(told + milliseconds(800));
  client.send(bytes.substr(bytes.size() / 2));
  const auto answer = client.read(2);
  ASSERT_TRUE(answer.has_value()) << program_->log();
  EXPECT_EQ(answer->body, "from the other");
  EXPECT_TRUE(client.await_close());
  EXPECT_EQ(program_->await_exit(), 0);
}

// The program sleeps over the end of its drain, and finds a request on a resting connection when it wakes.
TEST_F(Crossings, TheEndOfADrainAndARequestOnARestingConnection) {
  list(other_);
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
  EXPECT_EQ(answer->body, "from the other");
  EXPECT_TRUE(client.await_close());
  EXPECT_EQ(program_->await_exit(), 0);
}

// ---- Clients ----

// Both stand unread in the router's socket: what a client asked that has gone is not sent on.
TEST_F(Crossings, AClientThatGoesAndItsRequestsUnread) {
  list(other_);
  start();
  Client stays(program_->port());
  ASSERT_TRUE(stays.ask(1, read_fields(id_of(98))).has_value()) << "the way to the cache is open";
  auto gone = std::make_unique<Client>(program_->port());
  ASSERT_TRUE(gone->ask(1, {{"SCRIPT_NAME", "/healthz"}}).has_value());
  program_->suspend();
  for (std::uint16_t key = 1; key <= 8; ++key) {
    gone->send(request_bytes(key, read_fields(id_of(key)), ""));
  }
  gone.reset();
  stays.send(request_bytes(2, read_fields(id_of(99)), ""));
  program_->signal(SIGCONT);
  ASSERT_TRUE(stays.read(2).has_value());
  const auto seen = other_.seen();
  ASSERT_EQ(seen.size(), 2U);
  EXPECT_EQ(seen[1].id, id_of(99));
}

TEST_F(Crossings, IdleClientsThatHoldAllPlacesAndABoardThatComesBack) {
  list(other_);
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
      {listed("cache-b", origin_.address(), "std"), listed("cache-a", other_.address(), "std", "draining")},
      false));
  board_.start(port);
  ASSERT_TRUE(board_.await_caught_up()) << "the board gets its descriptor";
  const auto answer = Client(program_->port()).ask(1, read_fields(id_of(100)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "from origin") << "and a new cache gets its own";
}

// ---- The board ----

TEST_F(Crossings, AWatchThatFallsSilentAndADrain) {
  list(other_);
  start();
  board_.stop_answering(1);
  const std::size_t before = board_.calls();
  ASSERT_TRUE(board_.await_calls(before + 1)) << "the call that is never answered";
  const auto told = Steady::now();
  board_.post(pool(
      {listed("cache-b", origin_.address(), "std"), listed("cache-a", other_.address(), "std", "draining")},
      false));
  ASSERT_TRUE(program_->await_log("cache-a is draining"));
  EXPECT_LT(Steady::now() - told, milliseconds(6'000)) << "it counts as told 7 s later";
  const auto answer = Client(program_->port()).ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "from origin");
}

TEST_F(Crossings, AStartWhileTheBoardIsDownOrSilent) {
  list(other_);
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

// ---- Spoilt answers ----

TEST_F(Crossings, AnAnswerThatNamesACopyWhichTheClientDoesNotHold) {
  other_.set_script([](const CacheRequest& request) {
    return CacheStandIn::answer(request, "SAME", "sum=4be0c1927d55a6f3,t0=1,tell=warm");
  });
  list(other_);
  start();
  const auto answer = Client(program_->port()).ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(answer.has_value());
  EXPECT_FALSE(answer->headers.contains("X-Ok304"));
  EXPECT_NE(answer->status, 200);
}

TEST_F(Crossings, AnAnswerWithoutEndAndTheRequestsBehindIt) {
  other_.set_script([](const CacheRequest& request) -> std::optional<std::string> {
    if (request.id != id_of(1)) {
      return CacheStandIn::answer(request, "OK", "-", "good");
    }
    return "*4\r\n$16\r\n" + request.id + "\r\n$2\r\nOK\r\n$1\r\n-\r\n$900000000\r\n" +
           std::string(1'000'000, 'x');
  });
  list(other_);
  start({{"settings", {{"Limits", {{"AttemptsCap", 1}}}}}});
  Client client(program_->port());
  const auto spoilt = client.ask(1, read_fields(id_of(1)));
  ASSERT_TRUE(spoilt.has_value()) << "one final answer, and at once";
  EXPECT_NE(spoilt->status, 200);
  const auto good = client.ask(2, read_fields(id_of(2)));
  ASSERT_TRUE(good.has_value());
  EXPECT_EQ(good->body, "good");
}

}  // namespace
}  // namespace trailcourse::testing_support
