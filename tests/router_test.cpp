// The glue with a scripted module: which events it is told, and what becomes of its actions.
#include "routing/router.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "routing/outcome.h"
#include "transport/scheduler.h"

namespace trailcourse::routing {
namespace {

using std::chrono::milliseconds;
using transport::ConnectionEnd;

// What a client saw.
struct Answers {
  std::vector<std::string> said;
};

class NotedReply : public Reply {
 public:
  explicit NotedReply(std::shared_ptr<Answers> answers) : answers_(std::move(answers)) {}
  void served(std::string body, bool same, const ServedBy&) override {
    say(same ? "same" : "served " + body);
  }
  void refused(Micros retry_after) override { say("refused " + std::to_string(retry_after.count())); }
  void failed() override { say("failed"); }
  void begin(bool) override { say("begin"); }
  void piece(std::string_view bytes) override { say("piece " + std::string(bytes)); }
  void finish(bool whole) override { say(whole ? "whole" : "cut"); }

 private:
  void say(std::string text) { answers_->said.push_back(std::move(text)); }
  std::shared_ptr<Answers> answers_;
};

class NotedUpstream : public Upstream {
 public:
  void send(const AttemptKey& key, const SendAttempt& order, const std::shared_ptr<const void>&,
            bool streaming) override {
    sent.push_back(key);
    orders.push_back(order);
    streams = streaming;
  }
  void cancel(const AttemptKey& key) override { cancelled.push_back(key); }

  std::vector<AttemptKey> sent;
  std::vector<SendAttempt> orders;
  std::vector<AttemptKey> cancelled;
  bool streams = false;
};

class RouterTest : public testing::Test {
 protected:
  using Script = std::function<void(const Event&, std::vector<Action>&)>;

  RouterTest() : router_(scheduler_, clock_, settings(), handler(), bounds()) { router_.use(upstream_); }

  static Router::Bounds bounds() {
    Router::Bounds out;
    out.open = 3;
    out.bytes = 10'000;
    out.request_bytes = 100;
    return out;
  }
  static Settings settings() {
    Settings out;
    out.classes.resize(2);
    out.classes[1].streaming = true;
    out.max_attempts = 3;
    return out;
  }
  Router::Handler handler() {
    return [this](Micros, const Event& event, std::vector<Action>& out) {
      events_.push_back(event);
      if (script_) {
        script_(event, out);
      }
    };
  }
  // On arrival sends once; otherwise nothing.
  static void send_once(const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      out.push_back(order(arrived->id));
    }
  }
  static SendAttempt order(RequestId id, Micros limit = milliseconds(1000)) {
    SendAttempt send;
    send.id = id;
    send.cache = "c1";
    send.source = "c1";
    send.timeout = limit;
    return send;
  }
  RequestId arrive(int request_class = 0, std::size_t body_bytes = 0) {
    ClientRequest request;
    request.body_bytes = body_bytes;
    request.told.request_class = request_class;
    request.patience = milliseconds(2000);
    return router_.arrive(std::move(request), std::make_shared<NotedReply>(answers_));
  }
  static AttemptResult result(Status status, std::string body = "") {
    AttemptResult out;
    out.status = status;
    out.body = std::move(body);
    return out;
  }
  template <typename Wanted>
  std::vector<Wanted> told() const {
    std::vector<Wanted> out;
    for (const Event& event : events_) {
      if (const auto* one = std::get_if<Wanted>(&event)) {
        out.push_back(*one);
      }
    }
    return out;
  }

  transport::Scheduler scheduler_;
  ModuleClock clock_;
  std::vector<Event> events_;
  Script script_ = send_once;
  std::shared_ptr<Answers> answers_ = std::make_shared<Answers>();
  NotedUpstream upstream_;
  Router router_;
};

// A body counts for what it holds: few large ones must not shut out many small requests for good.
TEST_F(RouterTest, OpenRequestsAreBoundedByWhatTheyHold) {
  const RequestId large = arrive(0, 9'850);
  ASSERT_NE(large, 0U);
  EXPECT_EQ(arrive(), 0U) << "50 bytes are left";
  EXPECT_EQ(answers_->said, std::vector<std::string>{"refused 0"});
  router_.attempt_ended(upstream_.sent.at(0), result(Status::kOk));
  EXPECT_NE(arrive(), 0U) << "and free again once it is over";
}

TEST_F(RouterTest, ARequestIsToldWithItsDueTimeAndServedOnce) {
  const Micros before = router_.now();
  const RequestId id = arrive();
  ASSERT_EQ(told<RequestArrived>().size(), 1U);
  EXPECT_EQ(told<RequestArrived>()[0].deadline, before + milliseconds(2000));
  ASSERT_EQ(upstream_.sent.size(), 1U);
  AttemptResult good = result(Status::kOk, "bytes");
  good.note = Note::kFilled;
  good.waited = milliseconds(7);
  good.load.concurrent = 4.0;
  router_.attempt_ended({id, 0}, good);
  router_.attempt_ended({id, 0}, result(Status::kOk, "again"));
  EXPECT_EQ(answers_->said, std::vector<std::string>{"served bytes"});
  const auto ended = told<AttemptEnded>();
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_TRUE(ended[0].finished);
  EXPECT_EQ(ended[0].note, Note::kFilled);
  EXPECT_EQ(ended[0].source_first_byte_time, milliseconds(7));
  EXPECT_DOUBLE_EQ(ended[0].load.concurrent, 4.0);
  EXPECT_EQ(router_.open_requests(), 0U);
}

TEST_F(RouterTest, TheClientsOwnCopyIsToldAsSuch) {
  const RequestId id = arrive();
  AttemptResult same = result(Status::kOk);
  same.same = true;
  router_.attempt_ended({id, 0}, same);
  EXPECT_EQ(answers_->said, std::vector<std::string>{"same"});
}

TEST_F(RouterTest, AFailedAttemptLeavesTheAnswerToTheModule) {
  const RequestId id = arrive();
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* ended = std::get_if<AttemptEnded>(&event); ended != nullptr && !ended->finished) {
      out.push_back(Reject{ended->id, milliseconds(400)});
    }
  };
  router_.attempt_ended({id, 0}, result(Status::kFull));
  EXPECT_FALSE(told<AttemptEnded>().at(0).finished);
  EXPECT_EQ(answers_->said, std::vector<std::string>{"refused 400000"});
  EXPECT_EQ(router_.open_requests(), 0U);
}

// One outcome an attempt: whatever the cache answers after its time is not heard.
TEST_F(RouterTest, ATimeOutIsTheOneOutcome) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      out.push_back(order(arrived->id, milliseconds(1)));
    }
  };
  const RequestId id = arrive();
  while (told<AttemptEnded>().empty()) {
    scheduler_.turn(milliseconds(50));
  }
  EXPECT_EQ(told<AttemptEnded>().at(0).status, Status::kTimeout);
  EXPECT_EQ(upstream_.cancelled, std::vector<AttemptKey>{(AttemptKey{id, 0})});
  router_.attempt_ended({id, 0}, result(Status::kOk, "late"));
  EXPECT_EQ(told<AttemptEnded>().size(), 1U);
  EXPECT_TRUE(answers_->said.empty());
  EXPECT_EQ(router_.open_requests(), 1U);
}

TEST_F(RouterTest, ACancelIsTheOneOutcome) {
  const RequestId id = arrive();
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* left = std::get_if<ClientLeft>(&event)) {
      out.push_back(Cancel{left->id, 0});
      out.push_back(Cancel{left->id, 0});
      out.push_back(Cancel{left->id, 5});
    }
  };
  router_.leave(id);
  router_.leave(id);
  EXPECT_EQ(told<ClientLeft>().size(), 1U);
  EXPECT_EQ(upstream_.cancelled.size(), 1U);
  ASSERT_EQ(told<AttemptEnded>().size(), 1U);
  EXPECT_EQ(told<AttemptEnded>()[0].status, Status::kCancelled);
  EXPECT_TRUE(told<AttemptEnded>()[0].finished);
  router_.attempt_ended({id, 0}, result(Status::kOk, "late"));
  EXPECT_TRUE(answers_->said.empty()) << "nothing is sent to a client that has left";
}

TEST_F(RouterTest, OfTwoAttemptsTheFirstGoodOneAnswers) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      out.push_back(order(arrived->id));
      out.push_back(order(arrived->id));
    }
  };
  const RequestId id = arrive();
  router_.attempt_ended({id, 1}, result(Status::kOk, "second"));
  router_.attempt_ended({id, 0}, result(Status::kOk, "first"));
  EXPECT_EQ(answers_->said, std::vector<std::string>{"served second"});
  ASSERT_EQ(told<AttemptEnded>().size(), 2U);
  EXPECT_TRUE(told<AttemptEnded>()[1].finished);
}

TEST_F(RouterTest, ASendForAFinishedRequestOrBeyondTheCapIsMoot) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      for (int i = 0; i < 4; ++i) {
        out.push_back(order(arrived->id));
      }
      out.push_back(Fail{arrived->id});
      out.push_back(order(arrived->id));
    }
  };
  const RequestId id = arrive();
  EXPECT_EQ(upstream_.sent.size(), 3U);
  ASSERT_EQ(told<AttemptEnded>().size(), 2U);
  EXPECT_EQ(told<AttemptEnded>()[0].attempt, 3);
  EXPECT_EQ(told<AttemptEnded>()[0].status, Status::kNotSent);
  EXPECT_EQ(told<AttemptEnded>()[1].attempt, 4);
  EXPECT_EQ(answers_->said, std::vector<std::string>{"failed"});
  router_.attempt_ended({id, 2}, result(Status::kOk, "late"));
  EXPECT_EQ(answers_->said.size(), 1U);
}

TEST_F(RouterTest, AFinalAnswerIsGivenOnce) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      out.push_back(Reject{arrived->id, Micros(0)});
      out.push_back(Fail{arrived->id});
      out.push_back(Reject{arrived->id, Micros(0)});
    }
  };
  arrive();
  EXPECT_EQ(answers_->said, std::vector<std::string>{"refused 0"});
}

// Each open request may hold a body: beyond the bound they are shed, untold to the module.
TEST_F(RouterTest, BeyondTheBoundRequestsAreRefusedAtOnce) {
  arrive();
  arrive();
  const RequestId third = arrive();
  EXPECT_NE(third, 0U);
  EXPECT_EQ(arrive(), 0U);
  EXPECT_EQ(answers_->said, std::vector<std::string>{"refused 0"});
  EXPECT_EQ(told<RequestArrived>().size(), 3U);
  router_.attempt_ended({third, 0}, result(Status::kOk, "x"));
  EXPECT_NE(arrive(), 0U) << "there is room again";
}

TEST_F(RouterTest, AStreamIsPassedOnAsItComesAndItsBreakIsSeen) {
  const RequestId id = arrive(1);
  EXPECT_TRUE(upstream_.streams);
  router_.stream_started({id, 0}, false);
  router_.stream_piece({id, 0}, "ab");
  router_.attempt_ended({id, 0}, result(Status::kReset));
  EXPECT_EQ(answers_->said, (std::vector<std::string>{"begin", "piece ab", "cut"}));
  EXPECT_EQ(told<StreamStarted>().size(), 1U);
  EXPECT_TRUE(told<AttemptEnded>().at(0).finished);
}

TEST_F(RouterTest, ABegunStreamHasNoTimeOutAndIsNotCancelled) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      out.push_back(order(arrived->id, milliseconds(5)));
      out.push_back(SetTimer{7, milliseconds(20)});
    } else if (std::holds_alternative<StreamStarted>(event)) {
      out.push_back(Cancel{std::get<StreamStarted>(event).id, 0});
    }
  };
  const RequestId id = arrive(1);
  router_.stream_started({id, 0}, false);
  while (told<TimerFired>().empty()) {
    scheduler_.turn(milliseconds(50));
  }
  EXPECT_TRUE(told<AttemptEnded>().empty());
  router_.attempt_ended({id, 0}, result(Status::kOk));
  EXPECT_EQ(answers_->said, (std::vector<std::string>{"begin", "whole"}));
}

// A stream has no time-out: left alone by its client it would be read for ever.
TEST_F(RouterTest, AStreamEndsWithItsClient) {
  const RequestId id = arrive(1);
  router_.stream_started({id, 0}, false);
  router_.leave(id);
  EXPECT_EQ(upstream_.cancelled, std::vector<AttemptKey>{(AttemptKey{id, 0})});
  ASSERT_EQ(told<AttemptEnded>().size(), 1U);
  EXPECT_EQ(told<AttemptEnded>()[0].status, Status::kCancelled);
  router_.stream_piece({id, 0}, "late");
  EXPECT_EQ(answers_->said, std::vector<std::string>{"begin"});
}

TEST_F(RouterTest, AtTheEndAStreamIsCutVisibly) {
  const RequestId id = arrive(1);
  router_.stream_started({id, 0}, false);
  router_.fail_open();
  EXPECT_EQ(answers_->said, (std::vector<std::string>{"begin", "cut"}));
  EXPECT_EQ(upstream_.cancelled, std::vector<AttemptKey>{(AttemptKey{id, 0})});
}

// A module that throws must not cost more than the request at hand.
TEST_F(RouterTest, AnExceptionOfTheModuleFailsThatRequestAlone) {
  const RequestId first = arrive();
  script_ = [](const Event& event, std::vector<Action>&) {
    if (std::holds_alternative<RequestArrived>(event)) {
      throw std::runtime_error("scripted");
    }
  };
  arrive();
  EXPECT_EQ(answers_->said, std::vector<std::string>{"failed"});
  EXPECT_EQ(router_.open_requests(), 1U);
  script_ = nullptr;
  router_.attempt_ended({first, 0}, result(Status::kOk, "bytes"));
  EXPECT_EQ(answers_->said.back(), "served bytes");
}

TEST_F(RouterTest, AtTheEndWhatIsOpenIsFailedOnce) {
  const RequestId id = arrive();
  arrive();
  router_.fail_open();
  router_.fail_open();
  EXPECT_EQ(answers_->said, (std::vector<std::string>{"failed", "failed"}));
  EXPECT_EQ(told<ClientLeft>().size(), 2U);
  EXPECT_EQ(router_.open_requests(), 0U);
  router_.attempt_ended({id, 0}, result(Status::kOk, "late"));
  EXPECT_EQ(answers_->said.size(), 2U);
}

TEST_F(RouterTest, TimersComeBackWithTheirToken) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (std::holds_alternative<RequestArrived>(event)) {
      out.push_back(SetTimer{77, milliseconds(1)});
      out.push_back(SetTimer{78, milliseconds(0)});
    }
  };
  arrive();
  while (told<TimerFired>().size() < 2) {
    scheduler_.turn(milliseconds(50));
  }
  EXPECT_EQ(told<TimerFired>()[0].token, 78U);
  EXPECT_EQ(told<TimerFired>()[1].token, 77U);
}

// The module counts what ends at one time once: all that one turn of the scheduler sees has one time.
TEST_F(RouterTest, WhatOneTurnSeesHappensAtOneTime) {
  const Micros first = router_.now();
  const auto until = transport::Clock::now() + milliseconds(3);
  while (transport::Clock::now() < until) {
  }
  EXPECT_EQ(router_.now(), first);
  scheduler_.turn(milliseconds(0));
  EXPECT_GT(router_.now(), first);
}

constexpr ConnectionEnd kAllEnds[] = {
    ConnectionEnd::kRefused,      ConnectionEnd::kConnectTimeout, ConnectionEnd::kUnreachable,
    ConnectionEnd::kNoDescriptor, ConnectionEnd::kPeerClosed,     ConnectionEnd::kPeerReset,
    ConnectionEnd::kBroken,       ConnectionEnd::kMalformed,      ConnectionEnd::kOverflow,
    ConnectionEnd::kIdle,         ConnectionEnd::kSilent,         ConnectionEnd::kStalled,
    ConnectionEnd::kDropped,      ConnectionEnd::kShutdown};

TEST(Outcome, NothingWrittenProvesThatNothingRan) {
  for (const ConnectionEnd end : kAllEnds) {
    EXPECT_TRUE(proves_not_executed(status_of(end, false))) << to_string(end);
  }
}

// A part may have been the whole for the cache: a write must not be sent again on the strength of it.
TEST(Outcome, APartWrittenProvesNothing) {
  for (const ConnectionEnd end : kAllEnds) {
    const bool never_up = end == ConnectionEnd::kRefused || end == ConnectionEnd::kConnectTimeout ||
                          end == ConnectionEnd::kUnreachable || end == ConnectionEnd::kNoDescriptor;
    EXPECT_EQ(proves_not_executed(status_of(end, true)), never_up) << to_string(end);
  }
}

// A want of our own must not count against the cache.
TEST(Outcome, OurOwnWantOfDescriptorsIsNoConnectFailure) {
  EXPECT_EQ(status_of(ConnectionEnd::kNoDescriptor, false), Status::kNotSent);
  EXPECT_EQ(status_of(ConnectionEnd::kRefused, false), Status::kConnectFailed);
  EXPECT_EQ(status_of(ConnectionEnd::kPeerReset, true), Status::kReset);
}

// Nor must it count that a connection ended which had come up, before anything was written to it.
TEST(Outcome, AnEndBeforeAnythingWasWrittenIsNoConnectFailure) {
  for (const ConnectionEnd end : {ConnectionEnd::kPeerReset, ConnectionEnd::kPeerClosed, ConnectionEnd::kIdle,
                                  ConnectionEnd::kDropped, ConnectionEnd::kBroken}) {
    EXPECT_EQ(status_of(end, false), Status::kNotSent) << to_string(end);
  }
  for (const ConnectionEnd end :
       {ConnectionEnd::kRefused, ConnectionEnd::kConnectTimeout, ConnectionEnd::kUnreachable}) {
    EXPECT_EQ(status_of(end, false), Status::kConnectFailed) << to_string(end);
  }
}

// Nor must a bound of our own; but what was written may have run.
TEST(Outcome, OurOwnBoundsAreNoBreakOfTheCaches) {
  EXPECT_EQ(status_of(ConnectionEnd::kOverflow, true), Status::kCancelled);
  EXPECT_FALSE(proves_not_executed(status_of(ConnectionEnd::kOverflow, true)));
  EXPECT_EQ(status_of(ConnectionEnd::kOverflow, false), Status::kNotSent);
}

}  // namespace
}  // namespace trailcourse::routing
