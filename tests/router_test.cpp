// The router with a scripted decision module: the events that the module receives and the effects of its
// actions.
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

// The calls of a Reply.
struct ReplyLog {
  std::vector<std::string> calls;
};

class RecordingReply : public Reply {
 public:
  explicit RecordingReply(std::shared_ptr<ReplyLog> log) : log_(std::move(log)) {}
  void served(std::string body, bool not_modified, const ServedBy&) override {
    record(not_modified ? "not modified" : "served " + body);
  }
  void rejected(Micros retry_after) override { record("rejected " + std::to_string(retry_after.count())); }
  void failed() override { record("failed"); }
  void begin(bool) override { record("begin"); }
  void piece(std::string_view bytes) override { record("piece " + std::string(bytes)); }
  void finish(bool complete) override { record(complete ? "complete" : "incomplete"); }

 private:
  void record(std::string text) { log_->calls.push_back(std::move(text)); }
  std::shared_ptr<ReplyLog> log_;
};

class RecordingUpstream : public Upstream {
 public:
  void send(const AttemptKey& key, const SendAttempt& order, const std::shared_ptr<const void>&,
            bool streams) override {
    sent.push_back(key);
    orders.push_back(order);
    streaming = streams;
  }
  void cancel(const AttemptKey& key) override { cancelled.push_back(key); }

  std::vector<AttemptKey> sent;
  std::vector<SendAttempt> orders;
  std::vector<AttemptKey> cancelled;
  bool streaming = false;
};

class RouterTest : public testing::Test {
 protected:
  using Script = std::function<void(const Event&, std::vector<Action>&)>;

  RouterTest() : router_(scheduler_, clock_, settings(), handler(), bounds()) {
    router_.set_upstream(upstream_);
  }

  static Router::Bounds bounds() {
    Router::Bounds out;
    out.open = 3;
    out.request_bytes = 100;
    memory::MemoryAccount::Limits limits;
    limits[memory::MemoryUse::kOpenRequests] = 10'000;
    out.memory = std::make_shared<memory::MemoryAccount>(limits);
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
  // Sends one attempt when a request arrives.
  static void send_once(const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      out.push_back(order(arrived->id));
    }
  }
  static SendAttempt order(RequestId id, Micros timeout = milliseconds(1000)) {
    SendAttempt send;
    send.id = id;
    send.cache = "c1";
    send.source = "c1";
    send.timeout = timeout;
    return send;
  }
  RequestId accept(int request_class = 0, std::size_t forwarded_bytes = 0) {
    ClientRequest request;
    request.forwarded_bytes = forwarded_bytes;
    request.arrival.request_class = request_class;
    request.patience = milliseconds(2000);
    return router_.accept(std::move(request), std::make_shared<RecordingReply>(replies_));
  }
  static AttemptResult result(Status status, std::string body = "") {
    AttemptResult out;
    out.status = status;
    out.body = std::move(body);
    return out;
  }
  template <typename EventType>
  std::vector<EventType> events() const {
    std::vector<EventType> out;
    for (const Event& event : events_) {
      if (const auto* one = std::get_if<EventType>(&event)) {
        out.push_back(*one);
      }
    }
    return out;
  }

  transport::Scheduler scheduler_;
  DeciderClock clock_;
  std::vector<Event> events_;
  Script script_ = send_once;
  std::shared_ptr<ReplyLog> replies_ = std::make_shared<ReplyLog>();
  RecordingUpstream upstream_;
  Router router_;
};

// The bound counts what is forwarded: a few large requests must not block many small ones beyond their own
// end.
TEST_F(RouterTest, RejectsRequestsWhenOpenBodiesReachTheByteBound) {
  const RequestId large = accept(0, 9'850 / 2);  // counted twice: the request and the command of its attempt
  ASSERT_NE(large, 0U);
  EXPECT_EQ(accept(), 0U) << "50 bytes are left";
  EXPECT_EQ(replies_->calls, std::vector<std::string>{"rejected 0"});
  router_.attempt_ended(upstream_.sent.at(0), result(Status::kOk));
  EXPECT_NE(accept(), 0U) << "the bytes are free again after the end of the large request";
}

TEST_F(RouterTest, PassesTheDeadlineToTheModuleAndServesARequestOnce) {
  const Micros before = router_.now();
  const RequestId id = accept();
  ASSERT_EQ(events<RequestArrived>().size(), 1U);
  EXPECT_EQ(events<RequestArrived>()[0].deadline, before + milliseconds(2000));
  ASSERT_EQ(upstream_.sent.size(), 1U);
  AttemptResult success = result(Status::kOk, "bytes");
  success.note = Note::kFilled;
  success.source_first_byte_time = milliseconds(7);
  success.load.concurrent = 4.0;
  router_.attempt_ended({id, 0}, success);
  router_.attempt_ended({id, 0}, result(Status::kOk, "again"));
  EXPECT_EQ(replies_->calls, std::vector<std::string>{"served bytes"});
  const auto ended = events<AttemptEnded>();
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_TRUE(ended[0].finished);
  EXPECT_EQ(ended[0].note, Note::kFilled);
  EXPECT_EQ(ended[0].source_first_byte_time, milliseconds(7));
  EXPECT_DOUBLE_EQ(ended[0].load.concurrent, 4.0);
  EXPECT_EQ(router_.open_requests(), 0U);
}

TEST_F(RouterTest, ReportsNotModifiedWhenTheCopyOfTheClientIsValid) {
  const RequestId id = accept();
  AttemptResult not_modified = result(Status::kOk);
  not_modified.not_modified = true;
  router_.attempt_ended({id, 0}, not_modified);
  EXPECT_EQ(replies_->calls, std::vector<std::string>{"not modified"});
}

TEST_F(RouterTest, LetsTheModuleAnswerAfterAFailedAttempt) {
  const RequestId id = accept();
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* ended = std::get_if<AttemptEnded>(&event); ended != nullptr && !ended->finished) {
      out.push_back(Reject{ended->id, milliseconds(400)});
    }
  };
  router_.attempt_ended({id, 0}, result(Status::kFull));
  EXPECT_FALSE(events<AttemptEnded>().at(0).finished);
  EXPECT_EQ(replies_->calls, std::vector<std::string>{"rejected 400000"});
  EXPECT_EQ(router_.open_requests(), 0U);
}

// Each attempt has one result: an answer of the cache after the time-out is ignored.
TEST_F(RouterTest, IgnoresTheAnswerToAnAttemptThatHasTimedOut) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      out.push_back(order(arrived->id, milliseconds(1)));
    }
  };
  const RequestId id = accept();
  while (events<AttemptEnded>().empty()) {
    scheduler_.run_iteration(milliseconds(50));
  }
  EXPECT_EQ(events<AttemptEnded>().at(0).status, Status::kTimeout);
  EXPECT_EQ(upstream_.cancelled, std::vector<AttemptKey>{(AttemptKey{id, 0})});
  router_.attempt_ended({id, 0}, result(Status::kOk, "late"));
  EXPECT_EQ(events<AttemptEnded>().size(), 1U);
  EXPECT_TRUE(replies_->calls.empty());
  EXPECT_EQ(router_.open_requests(), 1U);
}

TEST_F(RouterTest, IgnoresTheAnswerToACancelledAttempt) {
  const RequestId id = accept();
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* left = std::get_if<ClientLeft>(&event)) {
      out.push_back(Cancel{left->id, 0});
      out.push_back(Cancel{left->id, 0});
      out.push_back(Cancel{left->id, 5});
    }
  };
  router_.client_left(id);
  router_.client_left(id);
  EXPECT_EQ(events<ClientLeft>().size(), 1U);
  EXPECT_EQ(upstream_.cancelled.size(), 1U);
  ASSERT_EQ(events<AttemptEnded>().size(), 1U);
  EXPECT_EQ(events<AttemptEnded>()[0].status, Status::kCancelled);
  EXPECT_TRUE(events<AttemptEnded>()[0].finished);
  router_.attempt_ended({id, 0}, result(Status::kOk, "late"));
  EXPECT_TRUE(replies_->calls.empty()) << "nothing is sent to a client that has left";
}

TEST_F(RouterTest, ServesTheFirstSuccessfulOfTwoAttempts) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      out.push_back(order(arrived->id));
      out.push_back(order(arrived->id));
    }
  };
  const RequestId id = accept();
  router_.attempt_ended({id, 1}, result(Status::kOk, "second"));
  router_.attempt_ended({id, 0}, result(Status::kOk, "first"));
  EXPECT_EQ(replies_->calls, std::vector<std::string>{"served second"});
  ASSERT_EQ(events<AttemptEnded>().size(), 2U);
  EXPECT_TRUE(events<AttemptEnded>()[1].finished);
}

TEST_F(RouterTest, DoesNotSendAttemptsForAFinishedRequestOrBeyondTheCap) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      for (int i = 0; i < 4; ++i) {
        out.push_back(order(arrived->id));
      }
      out.push_back(Fail{arrived->id});
      out.push_back(order(arrived->id));
    }
  };
  const RequestId id = accept();
  EXPECT_EQ(upstream_.sent.size(), 3U);
  ASSERT_EQ(events<AttemptEnded>().size(), 2U);
  EXPECT_EQ(events<AttemptEnded>()[0].attempt, 3);
  EXPECT_EQ(events<AttemptEnded>()[0].status, Status::kNotSent);
  EXPECT_EQ(events<AttemptEnded>()[1].attempt, 4);
  EXPECT_EQ(replies_->calls, std::vector<std::string>{"failed"});
  router_.attempt_ended({id, 2}, result(Status::kOk, "late"));
  EXPECT_EQ(replies_->calls.size(), 1U);
}

TEST_F(RouterTest, AnswersARequestOnce) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      out.push_back(Reject{arrived->id, Micros(0)});
      out.push_back(Fail{arrived->id});
      out.push_back(Reject{arrived->id, Micros(0)});
    }
  };
  accept();
  EXPECT_EQ(replies_->calls, std::vector<std::string>{"rejected 0"});
}

// Each open request may hold a body: requests beyond the bound are rejected without an event for the module.
TEST_F(RouterTest, RejectsRequestsBeyondTheBoundOnOpenRequests) {
  accept();
  accept();
  const RequestId third = accept();
  EXPECT_NE(third, 0U);
  EXPECT_EQ(accept(), 0U);
  EXPECT_EQ(replies_->calls, std::vector<std::string>{"rejected 0"});
  EXPECT_EQ(events<RequestArrived>().size(), 3U);
  router_.attempt_ended({third, 0}, result(Status::kOk, "x"));
  EXPECT_NE(accept(), 0U) << "a request has ended";
}

TEST_F(RouterTest, ForwardsAStreamInPartsAndReportsAnIncompleteEnd) {
  const RequestId id = accept(1);
  EXPECT_TRUE(upstream_.streaming);
  router_.stream_started({id, 0}, false);
  router_.stream_piece({id, 0}, "ab");
  router_.attempt_ended({id, 0}, result(Status::kReset));
  EXPECT_EQ(replies_->calls, (std::vector<std::string>{"begin", "piece ab", "incomplete"}));
  EXPECT_EQ(events<StreamStarted>().size(), 1U);
  EXPECT_TRUE(events<AttemptEnded>().at(0).finished);
}

TEST_F(RouterTest, NeitherTimesOutNorCancelsAStreamThatHasStarted) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      out.push_back(order(arrived->id, milliseconds(5)));
      out.push_back(SetTimer{7, milliseconds(20)});
    } else if (std::holds_alternative<StreamStarted>(event)) {
      out.push_back(Cancel{std::get<StreamStarted>(event).id, 0});
    }
  };
  const RequestId id = accept(1);
  router_.stream_started({id, 0}, false);
  while (events<TimerFired>().empty()) {
    scheduler_.run_iteration(milliseconds(50));
  }
  EXPECT_TRUE(events<AttemptEnded>().empty());
  router_.attempt_ended({id, 0}, result(Status::kOk));
  EXPECT_EQ(replies_->calls, (std::vector<std::string>{"begin", "complete"}));
}

// A stream has no time-out: without this it would continue after its client has left.
TEST_F(RouterTest, CancelsAStreamWhenItsClientLeaves) {
  const RequestId id = accept(1);
  router_.stream_started({id, 0}, false);
  router_.client_left(id);
  EXPECT_EQ(upstream_.cancelled, std::vector<AttemptKey>{(AttemptKey{id, 0})});
  ASSERT_EQ(events<AttemptEnded>().size(), 1U);
  EXPECT_EQ(events<AttemptEnded>()[0].status, Status::kCancelled);
  router_.stream_piece({id, 0}, "late");
  EXPECT_EQ(replies_->calls, std::vector<std::string>{"begin"});
}

TEST_F(RouterTest, EndsAStreamAsIncompleteWhenOpenRequestsFail) {
  const RequestId id = accept(1);
  router_.stream_started({id, 0}, false);
  router_.fail_open_requests();
  EXPECT_EQ(replies_->calls, (std::vector<std::string>{"begin", "incomplete"}));
  EXPECT_EQ(upstream_.cancelled, std::vector<AttemptKey>{(AttemptKey{id, 0})});
}

// An exception of the module must not affect other requests.
TEST_F(RouterTest, FailsOnlyTheRequestWhoseEventMakesTheModuleThrow) {
  const RequestId first = accept();
  script_ = [](const Event& event, std::vector<Action>&) {
    if (std::holds_alternative<RequestArrived>(event)) {
      throw std::runtime_error("scripted");
    }
  };
  accept();
  EXPECT_EQ(replies_->calls, std::vector<std::string>{"failed"});
  EXPECT_EQ(router_.open_requests(), 1U);
  script_ = nullptr;
  router_.attempt_ended({first, 0}, result(Status::kOk, "bytes"));
  EXPECT_EQ(replies_->calls.back(), "served bytes");
}

TEST_F(RouterTest, FailsEachOpenRequestOnce) {
  const RequestId id = accept();
  accept();
  router_.fail_open_requests();
  router_.fail_open_requests();
  EXPECT_EQ(replies_->calls, (std::vector<std::string>{"failed", "failed"}));
  EXPECT_EQ(events<ClientLeft>().size(), 2U);
  EXPECT_EQ(router_.open_requests(), 0U);
  router_.attempt_ended({id, 0}, result(Status::kOk, "late"));
  EXPECT_EQ(replies_->calls.size(), 2U);
}

TEST_F(RouterTest, ReturnsTimersWithTheirToken) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (std::holds_alternative<RequestArrived>(event)) {
      out.push_back(SetTimer{77, milliseconds(1)});
      out.push_back(SetTimer{78, milliseconds(0)});
    }
  };
  accept();
  while (events<TimerFired>().size() < 2) {
    scheduler_.run_iteration(milliseconds(50));
  }
  EXPECT_EQ(events<TimerFired>()[0].token, 78U);
  EXPECT_EQ(events<TimerFired>()[1].token, 77U);
}

// Guards against timers that outlive their request: with a client that names a long patience and retries at
// once, they would grow in number until that deadline.
TEST_F(RouterTest, CancelsTheTimersOfARequestAtItsEnd) {
  script_ = [](const Event& event, std::vector<Action>& out) {
    if (const auto* arrived = std::get_if<RequestArrived>(&event)) {
      out.push_back(order(arrived->id));
      out.push_back(SetTimer{1, std::chrono::minutes(2), arrived->id});
      out.push_back(SetTimer{2, std::chrono::minutes(2), arrived->id});
    } else if (const auto* ended = std::get_if<AttemptEnded>(&event); ended != nullptr && !ended->finished) {
      if (ended->status == Status::kFull) {
        out.push_back(Reject{ended->id, Micros(0)});
      } else {
        out.push_back(Fail{ended->id});
      }
      out.push_back(SetTimer{3, std::chrono::minutes(2), ended->id});
    }
  };
  const std::size_t before = scheduler_.pending_timers();
  for (const Status status : {Status::kOk, Status::kFull, Status::kError}) {
    router_.attempt_ended({accept(), 0}, result(status));
    EXPECT_EQ(scheduler_.pending_timers(), before);
  }
  const RequestId streamed = accept(1);
  router_.stream_started({streamed, 0}, false);
  router_.attempt_ended({streamed, 0}, result(Status::kOk));
  EXPECT_EQ(scheduler_.pending_timers(), before);
  const RequestId left = accept();
  EXPECT_GT(scheduler_.pending_timers(), before);
  router_.client_left(left);
  router_.attempt_ended({left, 0}, result(Status::kCancelled));
  EXPECT_EQ(scheduler_.pending_timers(), before);
  EXPECT_EQ(replies_->calls,
            (std::vector<std::string>{"served ", "rejected 0", "failed", "begin", "complete"}));
}

// The module counts failures of the same time once, so all events of one iteration of the scheduler have one
// time.
TEST_F(RouterTest, KeepsTheTimeWithinAnIterationOfTheScheduler) {
  const Micros first = router_.now();
  const auto until = transport::Clock::now() + milliseconds(3);
  while (transport::Clock::now() < until) {
  }
  EXPECT_EQ(router_.now(), first);
  scheduler_.run_iteration(milliseconds(0));
  EXPECT_GT(router_.now(), first);
}

constexpr ConnectionEnd kAllConnectionEnds[] = {
    ConnectionEnd::kRefused,      ConnectionEnd::kConnectTimeout, ConnectionEnd::kUnreachable,
    ConnectionEnd::kNoDescriptor, ConnectionEnd::kPeerClosed,     ConnectionEnd::kPeerReset,
    ConnectionEnd::kBroken,       ConnectionEnd::kMalformed,      ConnectionEnd::kOverflow,
    ConnectionEnd::kIdle,         ConnectionEnd::kSilent,         ConnectionEnd::kStalled,
    ConnectionEnd::kDropped,      ConnectionEnd::kShutdown};

TEST(StatusOfConnectionEnd, ProvesNoExecutionWhenNothingWasWritten) {
  for (const ConnectionEnd end : kAllConnectionEnds) {
    EXPECT_TRUE(proves_not_executed(status_of(end, false))) << to_string(end);
  }
}

// A cache may have executed a request of which a part was written, so a write must not be sent again.
TEST(StatusOfConnectionEnd, DoesNotProveNoExecutionWhenAPartWasWritten) {
  for (const ConnectionEnd end : kAllConnectionEnds) {
    const bool never_connected = end == ConnectionEnd::kRefused || end == ConnectionEnd::kConnectTimeout ||
                                 end == ConnectionEnd::kUnreachable || end == ConnectionEnd::kNoDescriptor;
    EXPECT_EQ(proves_not_executed(status_of(end, true)), never_connected) << to_string(end);
  }
}

// A lack of descriptors in this process must not count as a fault of the cache.
TEST(StatusOfConnectionEnd, IsNoConnectFailureWhenThisProcessLacksDescriptors) {
  EXPECT_EQ(status_of(ConnectionEnd::kNoDescriptor, false), Status::kNotSent);
  EXPECT_EQ(status_of(ConnectionEnd::kRefused, false), Status::kConnectFailed);
  EXPECT_EQ(status_of(ConnectionEnd::kPeerReset, true), Status::kReset);
}

// The end of an established connection before anything was written must not count as a fault of the cache.
TEST(StatusOfConnectionEnd, IsNoConnectFailureWhenAnEstablishedConnectionEnds) {
  for (const ConnectionEnd end : {ConnectionEnd::kPeerReset, ConnectionEnd::kPeerClosed, ConnectionEnd::kIdle,
                                  ConnectionEnd::kDropped, ConnectionEnd::kBroken}) {
    EXPECT_EQ(status_of(end, false), Status::kNotSent) << to_string(end);
  }
  for (const ConnectionEnd end :
       {ConnectionEnd::kRefused, ConnectionEnd::kConnectTimeout, ConnectionEnd::kUnreachable}) {
    EXPECT_EQ(status_of(end, false), Status::kConnectFailed) << to_string(end);
  }
}

// A limit of this process must not count as a fault of the cache; but a written request may have been
// executed.
TEST(StatusOfConnectionEnd, IsNoResetByTheCacheWhenALimitOfThisProcessIsReached) {
  EXPECT_EQ(status_of(ConnectionEnd::kOverflow, true), Status::kCancelled);
  EXPECT_FALSE(proves_not_executed(status_of(ConnectionEnd::kOverflow, true)));
  EXPECT_EQ(status_of(ConnectionEnd::kOverflow, false), Status::kNotSent);
}

}  // namespace
}  // namespace trailcourse::routing
