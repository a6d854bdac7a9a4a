// Tests NodeCore event by event: which copy is served, which requests share a fill, and which are rejected.
#include "cache_node/node_core.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "store/format.h"

namespace trailcourse::cache_node {
namespace {

using protocol::AnswerCode;
using protocol::ServeFields;
using store::Copy;

constexpr std::int64_t kStartUnixMs = 1'764'000'000'000;

std::shared_ptr<const std::string> bytes(const std::string& text) {
  return std::make_shared<const std::string>(text);
}

class NodeCoreTest : public testing::Test {
 protected:
  NodeCoreTest()
      : core_(
            core_options(), [this](const store::Name&, int group) { return purged_until(group); },
            [this](const std::string& name) { return sources_.contains(name); }) {}

  static NodeCoreOptions core_options() {
    NodeCoreOptions out;
    out.classes["media"] = ClassRule{0, true};
    out.classes["menu"] = ClassRule{10'000, true};
    out.classes["entry"] = ClassRule{0, false};
    out.origin = "origin";
    out.max_open_requests = 50;
    out.max_fills = 4;
    out.max_in_flight_bytes = 1U << 20U;
    return out;
  }
  std::int64_t purged_until(int group) const {
    const auto found = group_purged_until_.find(group);
    return std::max(purged_until_, found == group_purged_until_.end() ? INT64_MIN : found->second);
  }

  static ServeFields fields(const std::string& item, const std::string& next = "parent") {
    ServeFields out;
    out.request_class = "media";
    out.item = item;
    out.chunk = "0";
    out.source = next;
    out.limit_ms = 1'000;
    out.keep_rank = 2;
    return out;
  }
  EventContext now() const { return EventContext{steady_ms_, kStartUnixMs + steady_ms_, waiting_bytes_}; }

  // Sends a request whose lookup finds nothing.
  void request_missing(RequestNumber number, const ServeFields& request) {
    core_.on_request(now(), number, request, "", out_);
    core_.on_lookup_result(now(), number, store::ReadResult{}, out_);
  }
  // Sends a request whose lookup finds `copy`.
  void request_stored(RequestNumber number, const ServeFields& request, const Copy& copy) {
    core_.on_request(now(), number, request, "", out_);
    store::ReadResult result;
    result.status = store::ReadStatus::kComplete;
    result.copy = copy;
    core_.on_lookup_result(now(), number, result, out_);
  }
  static FetchResult answer(AnswerCode code, const std::string& body = "", std::int64_t t0 = kStartUnixMs,
                            Note note = Note::kHit) {
    FetchResult out;
    out.code = code;
    out.fields.tag = "tag-" + body;
    out.fields.origin_time_ms = t0;
    out.fields.group = 1;
    out.fields.note = note;
    out.body = bytes(body);
    return out;
  }
  void on_fetch_result(FillNumber fill, const FetchResult& result) {
    core_.on_fetch_result(now(), fill, result, out_);
  }

  template <typename Kind>
  std::vector<Kind> all() const {
    std::vector<Kind> found;
    for (const Action& action : out_) {
      if (const auto* one = std::get_if<Kind>(&action)) {
        found.push_back(*one);
      }
    }
    return found;
  }
  Answer answer_to(RequestNumber number) const {
    std::vector<Answer> found;
    for (const Answer& one : all<Answer>()) {
      if (one.request == number) {
        found.push_back(one);
      }
    }
    EXPECT_EQ(found.size(), 1U) << "request " << number;
    return found.empty() ? Answer{} : found.front();
  }

  std::set<std::string> sources_{"parent", "origin"};
  std::int64_t purged_until_ = INT64_MIN;
  std::map<int, std::int64_t> group_purged_until_;
  std::int64_t steady_ms_ = 5'000;
  std::size_t waiting_bytes_ = 0;
  NodeCore core_;
  std::vector<Action> out_;
};

TEST_F(NodeCoreTest, ServesAStoredCopyWithItsTagAndOriginTime) {
  request_stored(1, fields("a"), Copy{"t", kStartUnixMs, 4, bytes("body")});
  const Answer answered = answer_to(1);
  EXPECT_EQ(answered.code, AnswerCode::kOk);
  EXPECT_EQ(*answered.body, "body");
  EXPECT_EQ(answered.fields.tag, "t");
  EXPECT_EQ(answered.fields.origin_time_ms, kStartUnixMs);
  EXPECT_EQ(answered.fields.note, Note::kHit);
  EXPECT_TRUE(all<Fetch>().empty());
}

TEST_F(NodeCoreTest, AnswersSameWhenTheClientHasTheCurrentCopy) {
  ServeFields request = fields("a");
  request.client_tag = "t";
  request_stored(1, request, Copy{"t", kStartUnixMs, 4, bytes("body")});
  EXPECT_EQ(answer_to(1).code, AnswerCode::kSame);
  EXPECT_EQ(answer_to(1).body, nullptr);
  request.client_tag = "other";
  request_stored(2, request, Copy{"t", kStartUnixMs, 4, bytes("body")});
  EXPECT_EQ(answer_to(2).code, AnswerCode::kOk);
}

TEST_F(NodeCoreTest, FillsStoresAndServesAMiss) {
  request_missing(1, fields("a"));
  ASSERT_EQ(all<Fetch>().size(), 1U);
  const Fetch fetch = all<Fetch>()[0];
  EXPECT_EQ(fetch.source, "parent");
  EXPECT_TRUE(fetch.fields.source.empty()) << "the parent fills by itself";
  EXPECT_EQ(fetch.fields.keep_rank, 2);
  steady_ms_ += 30;
  on_fetch_result(fetch.fill, answer(AnswerCode::kOk, "body", kStartUnixMs, Note::kFilled));
  EXPECT_EQ(*answer_to(1).body, "body");
  EXPECT_EQ(answer_to(1).fields.note, Note::kFilledFromOrigin);
  EXPECT_EQ(answer_to(1).fields.waited_ms, 30);
  ASSERT_EQ(all<StoreCopy>().size(), 1U);
  EXPECT_EQ(all<StoreCopy>()[0].rank, 2);
  EXPECT_EQ(core_.open_requests(), 0U);
  EXPECT_EQ(core_.fills(), 0U);
}

TEST_F(NodeCoreTest, StoresNothingWithoutAKeepRankAndForwardsNoCopyToTheSource) {
  ServeFields request = fields("a");
  request.keep_rank = 0;
  request_missing(1, request);
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body"));
  EXPECT_TRUE(all<StoreCopy>().empty());
  out_.clear();
  request = fields("b");
  request.no_copy = true;
  request_missing(2, request);
  EXPECT_TRUE(all<Fetch>()[0].fields.no_copy) << "the flag is forwarded to the source";
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body"));
  EXPECT_EQ(all<StoreCopy>().size(), 1U) << "a cache stores its own copy";
}

// An object that is larger than an answer may be comes from a source, for an uncacheable class, and as a copy
// that was stored under a higher limit. Without the limit routers receive answers that they cannot read.
TEST_F(NodeCoreTest, AnswersAnErrorAndStoresNothingWhenAnObjectIsTooLarge) {
  const std::string large(protocol::kMaxObjectBytes + 1, 'x');
  ServeFields request = fields("a");
  request.join_fill = true;
  request_missing(1, request);
  request_missing(2, request);
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, large));
  for (const RequestNumber number : {RequestNumber{1}, RequestNumber{2}}) {
    EXPECT_EQ(answer_to(number).code, AnswerCode::kError);
    EXPECT_EQ(answer_to(number).fields.note, Note::kOriginFailed);
    EXPECT_EQ(answer_to(number).fields.error_reason, "too_large");
    EXPECT_EQ(answer_to(number).body, nullptr);
  }
  EXPECT_TRUE(all<StoreCopy>().empty());
  ASSERT_EQ(all<ObjectTooLarge>().size(), 1U);
  EXPECT_EQ(all<ObjectTooLarge>()[0].item, "a");
  EXPECT_EQ(all<ObjectTooLarge>()[0].bytes, large.size());
  EXPECT_EQ(all<ObjectTooLarge>()[0].max_bytes, protocol::kMaxObjectBytes);
  request_missing(3, fields("a"));
  on_fetch_result(all<Fetch>()[1].fill, answer(AnswerCode::kOk, large));
  EXPECT_EQ(all<ObjectTooLarge>().size(), 1U) << "reported once for each object";

  ServeFields entry = fields("b", "origin");
  entry.request_class = "entry";
  core_.on_request(now(), 4, entry, "write", out_);
  on_fetch_result(all<Fetch>()[2].fill, answer(AnswerCode::kOk, large));
  EXPECT_EQ(answer_to(4).code, AnswerCode::kError);
  EXPECT_EQ(answer_to(4).body, nullptr);

  request_stored(5, fields("c"), Copy{"t", kStartUnixMs, 4, bytes(large)});
  EXPECT_EQ(all<DropCopy>().size(), 1U);
  on_fetch_result(all<Fetch>()[3].fill, answer(AnswerCode::kOk, "small by now"));
  EXPECT_EQ(*answer_to(5).body, "small by now");
  EXPECT_EQ(core_.counts().too_large, 3U);
}

// The limit is inclusive.
TEST_F(NodeCoreTest, ServesAndStoresAnObjectOfExactlyTheMaximumSize) {
  request_missing(1, fields("a"));
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, std::string(protocol::kMaxObjectBytes, 'x')));
  EXPECT_EQ(answer_to(1).body->size(), protocol::kMaxObjectBytes);
  EXPECT_EQ(all<StoreCopy>().size(), 1U);
}

TEST_F(NodeCoreTest, AnswersMissWithoutASource) {
  request_missing(1, fields("a", ""));
  EXPECT_EQ(answer_to(1).code, AnswerCode::kMiss);
  EXPECT_TRUE(all<Fetch>().empty());
}

// Many requests for one missing object start one fill, which serves all of them.
TEST_F(NodeCoreTest, SharesOneFillBetweenManyRequestsForOneMissingObject) {
  ServeFields request = fields("a");
  request.join_fill = true;
  for (RequestNumber number = 1; number <= 40; ++number) {
    request_missing(number, request);
  }
  ASSERT_EQ(all<Fetch>().size(), 1U);
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body"));
  for (RequestNumber number = 1; number <= 40; ++number) {
    EXPECT_EQ(*answer_to(number).body, "body");
    EXPECT_EQ(answer_to(number).fields.note, number == 1 ? Note::kFilled : Note::kJoined);
  }
  EXPECT_EQ(all<StoreCopy>().size(), 1U);
}

TEST_F(NodeCoreTest, DoesNotJoinAFillWithoutTheJoinFlag) {
  request_missing(1, fields("a"));
  request_missing(2, fields("a"));
  EXPECT_EQ(all<Fetch>().size(), 2U);
}

TEST_F(NodeCoreTest, ServesTheOtherWaitersWhenTheFirstRequestOfAFillIsCancelled) {
  ServeFields request = fields("a");
  request.join_fill = true;
  request_missing(1, request);
  request_missing(2, request);
  core_.cancel(now(), 1, out_);
  EXPECT_TRUE(all<StopFetch>().empty());
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body"));
  EXPECT_EQ(*answer_to(2).body, "body");
  for (const Answer& one : all<Answer>()) {
    EXPECT_NE(one.request, 1U) << "a cancelled request gets no answer";
  }
}

TEST_F(NodeCoreTest, StopsTheFillWhenItsLastWaiterIsCancelled) {
  ServeFields request = fields("a");
  request.join_fill = true;
  request_missing(1, request);
  request_missing(2, request);
  core_.cancel(now(), 1, out_);
  core_.cancel(now(), 2, out_);
  ASSERT_EQ(all<StopFetch>().size(), 1U);
  EXPECT_EQ(core_.fills(), 0U);
  const std::size_t before = out_.size();
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body"));
  EXPECT_EQ(out_.size(), before) << "a later result is ignored";
}

TEST_F(NodeCoreTest, AnAgeLimitExcludesOlderCopies) {
  ServeFields request = fields("a");
  request.age_limit_ms = 1'000;
  request_stored(1, request, Copy{"t", kStartUnixMs + steady_ms_ - 1'000, 1, bytes("young enough")});
  EXPECT_EQ(answer_to(1).code, AnswerCode::kOk);
  request_stored(2, request, Copy{"t", kStartUnixMs + steady_ms_ - 1'001, 1, bytes("too old")});
  ASSERT_EQ(all<Fetch>().size(), 1U);
  EXPECT_EQ(all<Fetch>()[0].fields.age_limit_ms, 1'000);
  EXPECT_EQ(all<Fetch>()[0].fields.client_tag, "t") << "the source may answer that this copy is current";
}

TEST_F(NodeCoreTest, AppliesTheFreshTimeOfTheClassWithoutAnAgeLimit) {
  ServeFields request = fields("a");
  request.request_class = "menu";
  request_stored(1, request, Copy{"t", kStartUnixMs + steady_ms_ - 10'000, 1, bytes("x")});
  EXPECT_EQ(answer_to(1).code, AnswerCode::kOk);
  request_stored(2, request, Copy{"t", kStartUnixMs + steady_ms_ - 10'001, 1, bytes("x")});
  EXPECT_EQ(all<Fetch>().size(), 1U);
}

TEST_F(NodeCoreTest, ServesAStaleCopyWithItsNoteAndRefreshesItOnce) {
  ServeFields request = fields("a");
  request.request_class = "menu";
  request.age_limit_ms = 60'000;
  request.renew = true;
  const Copy copy{"t", kStartUnixMs + steady_ms_ - 20'000, 1, bytes("x")};
  request_stored(1, request, copy);
  request_stored(2, request, copy);
  EXPECT_EQ(answer_to(1).fields.note, Note::kStale);
  EXPECT_EQ(answer_to(2).fields.note, Note::kStale);
  ASSERT_EQ(all<Fetch>().size(), 1U);
  FetchResult same = answer(AnswerCode::kSame, "", kStartUnixMs + steady_ms_);
  on_fetch_result(all<Fetch>()[0].fill, same);
  ASSERT_EQ(all<StoreCopy>().size(), 1U);
  EXPECT_EQ(all<StoreCopy>()[0].copy.origin_time_ms, kStartUnixMs + steady_ms_);
  EXPECT_EQ(*all<StoreCopy>()[0].copy.bytes, "x");
}

// A copy from a fill that began before a purge is neither served nor stored; one more fill excludes it.
TEST_F(NodeCoreTest, RepeatsAFillWithAnAgeLimitWhenAPurgeArrivesMeanwhile) {
  request_missing(1, fields("a"));
  purged_until_ = kStartUnixMs + steady_ms_ + 5;
  steady_ms_ += 20;
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "old", kStartUnixMs + steady_ms_ - 20));
  EXPECT_TRUE(all<Answer>().empty());
  EXPECT_TRUE(all<StoreCopy>().empty());
  ASSERT_EQ(all<Fetch>().size(), 2U);
  EXPECT_EQ(all<Fetch>()[1].fields.age_limit_ms, 14);
  // The parent sends the old copy again: the request is a miss, with the note "not at source".
  on_fetch_result(all<Fetch>()[1].fill, answer(AnswerCode::kOk, "old", kStartUnixMs + steady_ms_ - 20));
  EXPECT_EQ(answer_to(1).code, AnswerCode::kMiss);
  EXPECT_EQ(answer_to(1).fields.note, Note::kNotAtSource);
  EXPECT_TRUE(all<StoreCopy>().empty());
}

TEST_F(NodeCoreTest, RejectsACopyThatWasPurgedDuringItsDiskRead) {
  core_.on_request(now(), 1, fields("a"), "", out_);
  group_purged_until_[4] = kStartUnixMs + 10;
  store::ReadResult result;
  result.status = store::ReadStatus::kComplete;
  result.copy = Copy{"t", kStartUnixMs, 4, bytes("old")};
  core_.on_lookup_result(now(), 1, result, out_);
  EXPECT_TRUE(all<Answer>().empty());
  EXPECT_EQ(all<Fetch>().size(), 1U);
}

TEST_F(NodeCoreTest, AppliesToEachWaiterOfAFillItsOwnAgeLimit) {
  ServeFields request = fields("a");
  request.join_fill = true;
  request_missing(1, request);
  request.age_limit_ms = 50;
  request_missing(2, request);
  steady_ms_ += 100;
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body", kStartUnixMs + steady_ms_ - 100));
  EXPECT_EQ(answer_to(1).code, AnswerCode::kOk);
  ASSERT_EQ(all<Fetch>().size(), 2U) << "a second fill for the request with the age limit";
  on_fetch_result(all<Fetch>()[1].fill, answer(AnswerCode::kOk, "body", kStartUnixMs + steady_ms_));
  EXPECT_EQ(answer_to(2).code, AnswerCode::kOk);
}

TEST_F(NodeCoreTest, ServesOldCopiesOnlyWithAnAgeLimitUntilDiscoveryEventsArrive) {
  core_.distrust_copies_before(kStartUnixMs + steady_ms_);
  request_stored(1, fields("a"), Copy{"t", kStartUnixMs, 1, bytes("from before the start")});
  EXPECT_TRUE(all<Answer>().empty());
  EXPECT_EQ(all<Fetch>().size(), 1U);
  ServeFields request = fields("a");
  request.age_limit_ms = 7'000;
  request_stored(2, request, Copy{"t", kStartUnixMs, 1, bytes("from before the start")});
  EXPECT_EQ(answer_to(2).code, AnswerCode::kOk);
  core_.trust_all_copies();
  request_stored(3, fields("a"), Copy{"t", kStartUnixMs, 1, bytes("from before the start")});
  EXPECT_EQ(answer_to(3).code, AnswerCode::kOk);
}

// Guards against copies from before a missed purge that a restarted node serves in a class with a lifetime:
// routers send that lifetime as the age limit, whether they know of a purge or not.
TEST_F(NodeCoreTest, TakesOnlyALimitBelowTheLifetimeForKnowledgeOfAPurge) {
  core_.distrust_copies_before(kStartUnixMs + steady_ms_);
  const Copy copy{"t", kStartUnixMs, 1, bytes("from before the start")};
  ServeFields request = fields("a");
  request.request_class = "menu";
  RequestNumber number = 0;
  for (const std::int64_t limit_ms : {0, 10'000, 15'000}) {
    request.age_limit_ms = limit_ms;
    request_stored(++number, request, copy);
    EXPECT_TRUE(all<Answer>().empty()) << limit_ms;
    EXPECT_EQ(all<Fetch>().size(), number) << limit_ms;
  }
  request.age_limit_ms = 7'000;
  request_stored(++number, request, copy);
  EXPECT_EQ(answer_to(number).code, AnswerCode::kOk);
  core_.trust_all_copies();
  request.age_limit_ms = 10'000;
  request_stored(++number, request, copy);
  EXPECT_EQ(answer_to(number).code, AnswerCode::kOk);
}

// Guards against copies from before a purge that a restarted node and the router have both missed: the limit
// of an earlier purge, which routers go on sending, does not exclude them.
TEST_F(NodeCoreTest, DoesNotTakeTheLimitOfAnEarlierPurgeForKnowledgeOfALaterOne) {
  core_.distrust_copies_before(kStartUnixMs + steady_ms_);
  const Copy copy{"t", kStartUnixMs, 1, bytes("from before the start")};
  RequestNumber number = 0;
  for (const char* request_class : {"media", "menu"}) {
    ServeFields request = fields("a");
    request.request_class = request_class;
    for (const std::int64_t limit_ms : {7'001, 9'999}) {
      request.age_limit_ms = limit_ms;
      request_stored(++number, request, copy);
      EXPECT_TRUE(all<Answer>().empty()) << request_class << ' ' << limit_ms;
    }
  }
}

TEST_F(NodeCoreTest, MapsEachOutcomeOfTheSourceToItsAnswerAndNote) {
  struct Case {
    FetchResult result;
    AnswerCode code;
    Note note;
  };
  FetchResult unreachable;
  unreachable.end = FetchResult::End::kUnreachable;
  FetchResult broken;
  broken.end = FetchResult::End::kBroken;
  FetchResult malformed;
  malformed.end = FetchResult::End::kMalformed;
  const std::vector<Case> cases{{answer(AnswerCode::kMiss), AnswerCode::kMiss, Note::kNotAtSource},
                                {answer(AnswerCode::kBusy), AnswerCode::kMiss, Note::kSourceRejected},
                                {answer(AnswerCode::kError), AnswerCode::kError, Note::kSourceRejected},
                                {unreachable, AnswerCode::kMiss, Note::kSourceUnreachable},
                                {broken, AnswerCode::kMiss, Note::kSourceUnreachable},
                                {malformed, AnswerCode::kMiss, Note::kSourceRejected}};
  RequestNumber number = 0;
  for (const Case& one : cases) {
    out_.clear();
    request_missing(++number, fields("a"));
    on_fetch_result(all<Fetch>()[0].fill, one.result);
    EXPECT_EQ(answer_to(number).code, one.code) << number;
    EXPECT_EQ(answer_to(number).fields.note, one.note) << number;
    EXPECT_EQ(all<Fetch>().size(), 1U) << "the router chooses whether to try another source";
  }
  out_.clear();
  request_missing(100, fields("a", "origin"));
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kError));
  EXPECT_EQ(answer_to(100).fields.note, Note::kOriginFailed);
}

// Writes are forwarded once, never shared and never stored. They are a miss only if they were certainly not
// executed.
TEST_F(NodeCoreTest, ForwardsAnUncacheableClassOnceWithItsKeyAndBody) {
  ServeFields request;
  request.request_class = "entry";
  request.limit_ms = 500;
  request.source = "origin";
  request.idempotency_key = "key";
  request.join_fill = true;
  for (RequestNumber number = 1; number <= 2; ++number) {
    core_.on_request(now(), number, request, "payload", out_);
  }
  ASSERT_EQ(all<Fetch>().size(), 2U);
  EXPECT_EQ(all<Fetch>()[0].body, "payload");
  EXPECT_EQ(all<Fetch>()[0].fields.idempotency_key, "key");
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "done"));
  EXPECT_EQ(*answer_to(1).body, "done");
  EXPECT_TRUE(all<StoreCopy>().empty());
  FetchResult broken;
  broken.end = FetchResult::End::kBroken;
  on_fetch_result(all<Fetch>()[1].fill, broken);
  EXPECT_EQ(answer_to(2).code, AnswerCode::kError) << "it may have been executed";
  core_.on_request(now(), 3, request, "payload", out_);
  FetchResult unreachable;
  unreachable.end = FetchResult::End::kUnreachable;
  on_fetch_result(all<Fetch>()[2].fill, unreachable);
  EXPECT_EQ(answer_to(3).code, AnswerCode::kMiss) << "it was not executed";
  core_.on_request(now(), 4, request, "payload", out_);
  steady_ms_ += 600;
  core_.tick(now(), out_);
  EXPECT_EQ(answer_to(4).code, AnswerCode::kError) << "its deadline passed, and it may have been executed";
  EXPECT_EQ(all<Fetch>().size(), 4U) << "no request was sent twice";
}

TEST_F(NodeCoreTest, RejectsRequestsAtOnceAtEachLimit) {
  for (RequestNumber number = 1; number <= 4; ++number) {
    request_missing(number, fields("item" + std::to_string(number)));
  }
  request_missing(5, fields("item5"));
  EXPECT_EQ(answer_to(5).code, AnswerCode::kBusy);
  EXPECT_EQ(answer_to(5).fields.note, Note::kNoFillCapacity);
  request_stored(6, fields("held"), Copy{"t", kStartUnixMs, 1, bytes("x")});
  EXPECT_EQ(answer_to(6).code, AnswerCode::kOk) << "a stored copy needs no fill";
  for (RequestNumber number = 10; number < 56; ++number) {
    core_.on_request(now(), number, fields("x"), "", out_);
  }
  core_.on_request(now(), 60, fields("x"), "", out_);
  EXPECT_EQ(answer_to(60).code, AnswerCode::kBusy);
  EXPECT_GE(core_.utilisation(0), 1.0);
}

TEST_F(NodeCoreTest, CountsUnsentAnswersAgainstTheByteLimit) {
  waiting_bytes_ = 1U << 20U;
  core_.on_request(now(), 1, fields("a"), "", out_);
  EXPECT_EQ(answer_to(1).code, AnswerCode::kBusy);
}

TEST_F(NodeCoreTest, AnswersAnInvalidRequestWithItsErrorReason) {
  ServeFields request = fields("a");
  request.request_class = "odd";
  core_.on_request(now(), 1, request, "", out_);
  EXPECT_EQ(answer_to(1).fields.error_reason, "unknown_class");
  core_.on_request(now(), 2, fields("a", "nobody"), "", out_);
  EXPECT_EQ(answer_to(2).fields.error_reason, "unknown_source");
  core_.on_request(now(), 3, fields(""), "", out_);
  EXPECT_EQ(answer_to(3).fields.error_reason, "no_item");
  core_.on_request(now(), 4, fields("a"), "a body", out_);
  EXPECT_EQ(answer_to(4).fields.error_reason, "a_body_for_a_kept_class");
  for (RequestNumber number = 1; number <= 4; ++number) {
    EXPECT_EQ(answer_to(number).code, AnswerCode::kError);
  }
  EXPECT_EQ(core_.open_requests(), 0U);
}

TEST_F(NodeCoreTest, TreatsALateLookupAsAMissAndIgnoresItsResult) {
  core_.on_request(now(), 1, fields("a"), "", out_);
  EXPECT_EQ(core_.next_deadline_ms(), steady_ms_ + 150);
  steady_ms_ += 150;
  core_.tick(now(), out_);
  ASSERT_EQ(all<AbandonLookup>().size(), 1U);
  EXPECT_TRUE(all<AbandonLookup>()[0].timed_out);
  ASSERT_EQ(all<Fetch>().size(), 1U);
  store::ReadResult result;
  result.status = store::ReadStatus::kComplete;
  result.copy = Copy{"t", kStartUnixMs, 1, bytes("late")};
  core_.on_lookup_result(now(), 1, result, out_);
  EXPECT_TRUE(all<Answer>().empty());
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body"));
  EXPECT_EQ(*answer_to(1).body, "body");
}

TEST_F(NodeCoreTest, AnswersEachRequestOnceAtItsDeadlineAndEndsItsFill) {
  ServeFields request = fields("a");
  request.join_fill = true;
  request_missing(1, request);
  request.limit_ms = 3'000;
  request_missing(2, request);
  steady_ms_ += 1'000;
  core_.tick(now(), out_);
  EXPECT_EQ(answer_to(1).code, AnswerCode::kVoid);
  EXPECT_EQ(all<Fetch>().size(), 2U)
      << "the fill had the deadline of the first request; the other one has time for a second fill";
  steady_ms_ += 2'000;
  core_.tick(now(), out_);
  EXPECT_EQ(answer_to(2).code, AnswerCode::kVoid);
  EXPECT_EQ(core_.fills(), 0U);
  EXPECT_EQ(core_.open_requests(), 0U);
  EXPECT_FALSE(core_.next_deadline_ms().has_value());
}

TEST_F(NodeCoreTest, ForwardsOnlyIfCachedToTheSource) {
  ServeFields request = fields("a");
  request.only_if_cached = true;
  request_missing(1, request);
  EXPECT_TRUE(all<Fetch>()[0].fields.only_if_cached);
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kMiss));
  EXPECT_EQ(answer_to(1).fields.note, Note::kNotAtSource);
}

// A parent fills from its default source what a cache requests, unless the request is only-if-cached.
TEST(NodeCoreParent, FillsFromItsDefaultSource) {
  NodeCoreOptions options;
  options.classes["media"] = ClassRule{0, true};
  options.fill_from = "origin";
  options.origin = "origin";
  NodeCore core(
      options, [](const store::Name&, int) { return INT64_MIN; }, [](const std::string&) { return true; });
  std::vector<Action> out;
  ServeFields request;
  request.request_class = "media";
  request.item = "a";
  request.limit_ms = 100;
  core.on_request(EventContext{}, 1, request, "", out);
  core.on_lookup_result(EventContext{}, 1, {}, out);
  ASSERT_EQ(out.size(), 2U);
  EXPECT_EQ(std::get<Fetch>(out[1]).source, "origin");
  out.clear();
  request.only_if_cached = true;
  core.on_request(EventContext{}, 2, request, "", out);
  core.on_lookup_result(EventContext{}, 2, {}, out);
  EXPECT_EQ(std::get<Answer>(out[1]).code, AnswerCode::kMiss);
}

class PartialFill : public NodeCoreTest {
 protected:
  // A copy of twelve bytes in parts of four, of which the middle one is missing.
  std::shared_ptr<store::PartialCopy> partial() {
    auto out = std::make_shared<store::PartialCopy>();
    out->tag = "tag-whole";
    out->origin_time_ms = kStartUnixMs;
    out->part_bytes = 4;
    out->value_sum = store::checksum_of("aaaabbbbcccc");
    out->bytes = std::string("aaaa\0\0\0\0cccc", 12);
    out->have = {true, false, true};
    return out;
  }
  Fetch begin() {
    core_.on_request(now(), 1, fields("a"), "", out_);
    store::ReadResult result;
    result.status = store::ReadStatus::kPartial;
    result.partial = partial();
    core_.on_lookup_result(now(), 1, result, out_);
    EXPECT_EQ(all<Fetch>().size(), 1U);
    return all<Fetch>().at(0);
  }
  static FetchResult part(const std::string& body) {
    FetchResult out = answer(AnswerCode::kOk, body);
    out.fields.tag = "tag-whole";
    out.fields.range = protocol::ByteRange{4, 4};
    out.fields.total_length = 12;
    return out;
  }
};

TEST_F(PartialFill, FetchesOnlyTheMissingRange) {
  const Fetch fetch = begin();
  EXPECT_EQ(fetch.fields.range, (protocol::ByteRange{4, 4}));
  EXPECT_EQ(fetch.fields.expected_tag, "tag-whole");
  on_fetch_result(fetch.fill, part("bbbb"));
  EXPECT_EQ(*answer_to(1).body, "aaaabbbbcccc");
  ASSERT_EQ(all<CompletePartialCopy>().size(), 1U);
  EXPECT_EQ(all<CompletePartialCopy>()[0].initial_parts, (std::vector<bool>{true, false, true}));
}

TEST_F(PartialFill, DropsPartsWhoseChecksumDoesNotMatch) {
  const Fetch fetch = begin();
  on_fetch_result(fetch.fill, part("xxxx"));
  EXPECT_TRUE(all<Answer>().empty());
  EXPECT_EQ(all<DropCopy>().size(), 1U);
  ASSERT_EQ(all<Fetch>().size(), 2U);
  EXPECT_FALSE(all<Fetch>()[1].fields.range.has_value()) << "the complete copy is fetched";
  on_fetch_result(fetch.fill, answer(AnswerCode::kOk, "another whole"));
  EXPECT_EQ(*answer_to(1).body, "another whole");
}

TEST_F(PartialFill, FetchesTheCompleteCopyWhenTheSourceHasAnotherOne) {
  const Fetch fetch = begin();
  on_fetch_result(fetch.fill, answer(AnswerCode::kMiss));
  ASSERT_EQ(all<Fetch>().size(), 2U);
  on_fetch_result(fetch.fill, answer(AnswerCode::kOk, "new"));
  EXPECT_EQ(*answer_to(1).body, "new");
  EXPECT_TRUE(all<CompletePartialCopy>().empty());
  EXPECT_EQ(all<StoreCopy>().size(), 1U);
}

TEST_F(PartialFill, AcceptsACompleteAnswerFromASourceWithoutRanges) {
  const Fetch fetch = begin();
  on_fetch_result(fetch.fill, answer(AnswerCode::kOk, "aaaabbbbcccc"));
  EXPECT_EQ(*answer_to(1).body, "aaaabbbbcccc");
}

TEST_F(PartialFill, RejectsARangeWithAWrongOffsetLengthTagOrTotalLength) {
  for (int wrong = 0; wrong < 4; ++wrong) {
    out_.clear();
    const Fetch fetch = begin();
    FetchResult result = part("bbbb");
    wrong == 0   ? void(result.fields.range->from = 0)
    : wrong == 1 ? void(result.body = bytes("bbbbb"))
    : wrong == 2 ? void(result.fields.tag = "other")
                 : void(result.fields.total_length = 13);
    on_fetch_result(fetch.fill, result);
    EXPECT_TRUE(all<Answer>().empty()) << wrong;
    on_fetch_result(fetch.fill, answer(AnswerCode::kBusy));
    EXPECT_EQ(answer_to(1).code, AnswerCode::kMiss);
  }
}

TEST_F(NodeCoreTest, ServesARangeOnlyOfTheExpectedCopy) {
  ServeFields request = fields("a");
  request.range = protocol::ByteRange{2, 3};
  request.expected_tag = "t";
  request_stored(1, request, Copy{"t", kStartUnixMs, 1, bytes("0123456789")});
  EXPECT_EQ(answer_to(1).range, (protocol::ByteRange{2, 3}));
  EXPECT_EQ(answer_to(1).fields.total_length, 10U);
  request_stored(2, request, Copy{"u", kStartUnixMs, 1, bytes("0123456789")});
  EXPECT_EQ(answer_to(2).code, AnswerCode::kMiss);
  request.range = protocol::ByteRange{8, 3};
  request_stored(3, request, Copy{"t", kStartUnixMs, 1, bytes("0123456789")});
  EXPECT_EQ(answer_to(3).code, AnswerCode::kMiss);
}

// Events in random order from fixed seeds: each request gets exactly one answer unless it is cancelled, no
// request or fill remains open, and no copy is served that is older than a purge or the age limit.
TEST_F(NodeCoreTest, AnswersEachRequestOnceUnderRandomEvents) {
  for (const std::uint32_t seed : {1U, 2U, 3U, 4U, 5U}) {
    std::mt19937 random(seed);
    NodeCore core(
        core_options(), [this](const store::Name&, int group) { return purged_until(group); },
        [](const std::string&) { return true; });
    purged_until_ = INT64_MIN;
    std::vector<Action> out;
    std::map<RequestNumber, ServeFields> sent;
    std::map<RequestNumber, int> answers;
    std::set<RequestNumber> cancelled;
    std::set<FillNumber> open_fills;
    std::set<RequestNumber> open_lookups;
    std::int64_t steady = 0;
    RequestNumber last = 0;
    const auto random_copy = [&] {
      return Copy{"t" + std::to_string(random() % 3),
                  kStartUnixMs + steady - static_cast<std::int64_t>(random() % 3'000),
                  static_cast<int>(random() % 4) - 1, bytes("b" + std::to_string(random() % 100))};
    };
    const auto check_actions = [&] {
      for (const Action& action : std::exchange(out, {})) {
        if (const auto* one = std::get_if<Answer>(&action)) {
          ASSERT_EQ(++answers[one->request], 1) << one->request;
          ASSERT_FALSE(cancelled.contains(one->request));
          const ServeFields& of = sent.at(one->request);
          if (one->code == AnswerCode::kOk && of.request_class == "media") {
            ASSERT_GT(one->fields.origin_time_ms, purged_until(one->fields.group));
            ASSERT_TRUE(of.age_limit_ms == 0 ||
                        kStartUnixMs + steady - one->fields.origin_time_ms <= of.age_limit_ms);
          }
          open_lookups.erase(one->request);
        } else if (const auto* lookup = std::get_if<Lookup>(&action)) {
          open_lookups.insert(lookup->request);
        } else if (const auto* fetch = std::get_if<Fetch>(&action)) {
          open_fills.insert(fetch->fill);
        } else if (const auto* stop = std::get_if<StopFetch>(&action)) {
          open_fills.erase(stop->fill);
        }
      }
    };
    for (int i = 0; i < 4'000; ++i) {
      steady += static_cast<std::int64_t>(random() % 20);
      const EventContext at{steady, kStartUnixMs + steady, 0};
      switch (random() % 8) {
        case 0:
        case 1: {
          ServeFields request = fields("i" + std::to_string(random() % 5), random() % 5 == 0 ? "" : "parent");
          request.request_class = random() % 6 == 0 ? "entry" : "media";
          request.join_fill = random() % 2 == 0;
          request.renew = random() % 3 == 0;
          request.limit_ms = 1 + static_cast<std::int64_t>(random() % 800);
          request.age_limit_ms = random() % 2 == 0 ? 0 : 1 + static_cast<std::int64_t>(random() % 4'000);
          sent[++last] = request;
          core.on_request(at, last, request, "", out);
          break;
        }
        case 2:
        case 3:
          if (!open_lookups.empty()) {
            const RequestNumber number =
                *std::next(open_lookups.begin(), static_cast<long>(random() % open_lookups.size()));
            open_lookups.erase(number);
            store::ReadResult result;
            if (random() % 2 == 0) {
              result.status = store::ReadStatus::kComplete;
              result.copy = random_copy();
            }
            core.on_lookup_result(at, number, result, out);
          }
          break;
        case 4:
          if (!open_fills.empty()) {
            const FillNumber fill =
                *std::next(open_fills.begin(), static_cast<long>(random() % open_fills.size()));
            open_fills.erase(fill);
            FetchResult result;
            result.end = static_cast<FetchResult::End>(random() % 4);
            result.code = static_cast<AnswerCode>(random() % 6);
            const Copy copy = random_copy();
            result.fields.tag = copy.tag;
            result.fields.origin_time_ms = copy.origin_time_ms;
            result.fields.group = copy.group;
            result.body = copy.bytes;
            core.on_fetch_result(at, fill, result, out);
          }
          break;
        case 5:
          if (last > 0) {
            const RequestNumber number = 1 + random() % last;
            if (answers[number] == 0) {
              cancelled.insert(number);
              open_lookups.erase(number);
              core.cancel(at, number, out);
            }
          }
          break;
        case 6:
          purged_until_ = random() % 10 == 0
                              ? kStartUnixMs + steady - static_cast<std::int64_t>(random() % 2'000)
                              : purged_until_;
          break;
        default:
          core.tick(at, out);
      }
      check_actions();
    }
    steady += 10'000;
    core.tick(EventContext{steady, kStartUnixMs + steady, 0}, out);
    check_actions();
    EXPECT_EQ(core.open_requests(), 0U);
    EXPECT_EQ(core.fills(), 0U);
    for (RequestNumber number = 1; number <= last; ++number) {
      EXPECT_EQ(answers[number], cancelled.contains(number) ? 0 : 1)
          << "seed " << seed << " request " << number;
    }
  }
}

}  // namespace
}  // namespace trailcourse::cache_node
