// The core of a cache node, driven event by event: who is served what, who shares a fill, what is turned
// away.
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

constexpr std::int64_t kNow = 1'764'000'000'000;

std::shared_ptr<const std::string> bytes(const std::string& text) {
  return std::make_shared<const std::string>(text);
}

class NodeCoreTest : public testing::Test {
 protected:
  NodeCoreTest()
      : core_(
            rules(), [this](const store::Name&, int group) { return floor(group); },
            [this](const std::string& name) { return sources_.contains(name); }) {}

  static NodeCoreOptions rules() {
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
  std::int64_t floor(int group) const {
    const auto found = group_floor_.find(group);
    return std::max(floor_, found == group_floor_.end() ? INT64_MIN : found->second);
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
  EventContext now() const { return EventContext{steady_, kNow + steady_, waiting_}; }

  // Arrives and is looked up: nothing is held.
  void miss(RequestNumber number, const ServeFields& asked) {
    core_.on_request(now(), number, asked, "", out_);
    core_.on_lookup_result(now(), number, store::ReadResult{}, out_);
  }
  void hold(RequestNumber number, const ServeFields& asked, const Copy& copy) {
    core_.on_request(now(), number, asked, "", out_);
    store::ReadResult result;
    result.status = store::ReadStatus::kWhole;
    result.copy = copy;
    core_.on_lookup_result(now(), number, result, out_);
  }
  static FetchResult answer(AnswerCode code, const std::string& body = "", std::int64_t t0 = kNow,
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
  std::int64_t floor_ = INT64_MIN;
  std::map<int, std::int64_t> group_floor_;
  std::int64_t steady_ = 5'000;
  std::size_t waiting_ = 0;
  NodeCore core_;
  std::vector<Action> out_;
};

TEST_F(NodeCoreTest, AHeldCopyIsServedWithItsTagAndTime) {
  hold(1, fields("a"), Copy{"t", kNow, 4, bytes("body")});
  const Answer got = answer_to(1);
  EXPECT_EQ(got.code, AnswerCode::kOk);
  EXPECT_EQ(*got.body, "body");
  EXPECT_EQ(got.fields.tag, "t");
  EXPECT_EQ(got.fields.origin_time_ms, kNow);
  EXPECT_EQ(got.fields.note, Note::kHit);
  EXPECT_TRUE(all<Fetch>().empty());
}

TEST_F(NodeCoreTest, TheClientsOwnCopyIsToldToHold) {
  ServeFields asked = fields("a");
  asked.client_tag = "t";
  hold(1, asked, Copy{"t", kNow, 4, bytes("body")});
  EXPECT_EQ(answer_to(1).code, AnswerCode::kSame);
  EXPECT_EQ(answer_to(1).body, nullptr);
  asked.client_tag = "other";
  hold(2, asked, Copy{"t", kNow, 4, bytes("body")});
  EXPECT_EQ(answer_to(2).code, AnswerCode::kOk);
}

TEST_F(NodeCoreTest, AMissIsFilledKeptAndServed) {
  miss(1, fields("a"));
  ASSERT_EQ(all<Fetch>().size(), 1U);
  const Fetch fetch = all<Fetch>()[0];
  EXPECT_EQ(fetch.source, "parent");
  EXPECT_TRUE(fetch.fields.source.empty()) << "the parent fills by itself";
  EXPECT_EQ(fetch.fields.keep_rank, 2);
  steady_ += 30;
  on_fetch_result(fetch.fill, answer(AnswerCode::kOk, "body", kNow, Note::kFilled));
  EXPECT_EQ(*answer_to(1).body, "body");
  EXPECT_EQ(answer_to(1).fields.note, Note::kFilledFromOrigin);
  EXPECT_EQ(answer_to(1).fields.waited_ms, 30);
  ASSERT_EQ(all<StoreCopy>().size(), 1U);
  EXPECT_EQ(all<StoreCopy>()[0].rank, 2);
  EXPECT_EQ(core_.open(), 0U);
  EXPECT_EQ(core_.fills(), 0U);
}

TEST_F(NodeCoreTest, WithoutARankNothingIsKeptAndASourceToldSoKeepsNoCopy) {
  ServeFields asked = fields("a");
  asked.keep_rank = 0;
  miss(1, asked);
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body"));
  EXPECT_TRUE(all<StoreCopy>().empty());
  out_.clear();
  asked = fields("b");
  asked.no_copy = true;
  miss(2, asked);
  EXPECT_TRUE(all<Fetch>()[0].fields.no_copy) << "the code goes on to the source";
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body"));
  EXPECT_EQ(all<StoreCopy>().size(), 1U) << "a cache store_result its own";
}

// Provokes: an object that no answer can hold, from a source, for a class that is passed on, and as a copy
// kept under another bound. Without the bound routers get what they cannot read.
TEST_F(NodeCoreTest, AnObjectLargerThanAnAnswerMayHoldIsAnErrorAndNotKept) {
  const std::string large(protocol::kMaxObjectBytes + 1, 'x');
  ServeFields asked = fields("a");
  asked.join_fill = true;
  miss(1, asked);
  miss(2, asked);
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
  miss(3, fields("a"));
  on_fetch_result(all<Fetch>()[1].fill, answer(AnswerCode::kOk, large));
  EXPECT_EQ(all<ObjectTooLarge>().size(), 1U) << "told once for each object";

  ServeFields entry = fields("b", "origin");
  entry.request_class = "entry";
  core_.on_request(now(), 4, entry, "write", out_);
  on_fetch_result(all<Fetch>()[2].fill, answer(AnswerCode::kOk, large));
  EXPECT_EQ(answer_to(4).code, AnswerCode::kError);
  EXPECT_EQ(answer_to(4).body, nullptr);

  hold(5, fields("c"), Copy{"t", kNow, 4, bytes(large)});
  EXPECT_EQ(all<DropCopy>().size(), 1U);
  on_fetch_result(all<Fetch>()[3].fill, answer(AnswerCode::kOk, "small by now"));
  EXPECT_EQ(*answer_to(5).body, "small by now");
  EXPECT_EQ(core_.counts().too_large, 3U);
}

// The bound itself still fits.
TEST_F(NodeCoreTest, AnObjectOfJustTheBoundIsServedAndKept) {
  miss(1, fields("a"));
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, std::string(protocol::kMaxObjectBytes, 'x')));
  EXPECT_EQ(answer_to(1).body->size(), protocol::kMaxObjectBytes);
  EXPECT_EQ(all<StoreCopy>().size(), 1U);
}

TEST_F(NodeCoreTest, WithoutASourceItIsAMiss) {
  miss(1, fields("a", ""));
  EXPECT_EQ(answer_to(1).code, AnswerCode::kMiss);
  EXPECT_TRUE(all<Fetch>().empty());
}

// Hundreds of requests for one missing object: one fill, and every one of them is served by it.
TEST_F(NodeCoreTest, ManyRequestsForOneMissingObjectShareOneFill) {
  ServeFields asked = fields("a");
  asked.join_fill = true;
  for (RequestNumber number = 1; number <= 40; ++number) {
    miss(number, asked);
  }
  ASSERT_EQ(all<Fetch>().size(), 1U);
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body"));
  for (RequestNumber number = 1; number <= 40; ++number) {
    EXPECT_EQ(*answer_to(number).body, "body");
    EXPECT_EQ(answer_to(number).fields.note, number == 1 ? Note::kFilled : Note::kJoined);
  }
  EXPECT_EQ(all<StoreCopy>().size(), 1U);
}

TEST_F(NodeCoreTest, WithoutTheWordAFillIsNotJoined) {
  miss(1, fields("a"));
  miss(2, fields("a"));
  EXPECT_EQ(all<Fetch>().size(), 2U);
}

TEST_F(NodeCoreTest, WhenTheFillersClientLeavesTheOthersAreServed) {
  ServeFields asked = fields("a");
  asked.join_fill = true;
  miss(1, asked);
  miss(2, asked);
  core_.cancel(now(), 1, out_);
  EXPECT_TRUE(all<StopFetch>().empty());
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body"));
  EXPECT_EQ(*answer_to(2).body, "body");
  for (const Answer& one : all<Answer>()) {
    EXPECT_NE(one.request, 1U) << "who has left gets no answer";
  }
}

TEST_F(NodeCoreTest, TheLastOneToLeaveEndsTheFill) {
  ServeFields asked = fields("a");
  asked.join_fill = true;
  miss(1, asked);
  miss(2, asked);
  core_.cancel(now(), 1, out_);
  core_.cancel(now(), 2, out_);
  ASSERT_EQ(all<StopFetch>().size(), 1U);
  EXPECT_EQ(core_.fills(), 0U);
  const std::size_t before = out_.size();
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body"));
  EXPECT_EQ(out_.size(), before) << "what comes later is not heard";
}

TEST_F(NodeCoreTest, AnAgeLimitExcludesOlderCopies) {
  ServeFields asked = fields("a");
  asked.age_limit_ms = 1'000;
  hold(1, asked, Copy{"t", kNow + steady_ - 1'000, 1, bytes("old enough")});
  EXPECT_EQ(answer_to(1).code, AnswerCode::kOk);
  hold(2, asked, Copy{"t", kNow + steady_ - 1'001, 1, bytes("too old")});
  ASSERT_EQ(all<Fetch>().size(), 1U);
  EXPECT_EQ(all<Fetch>()[0].fields.age_limit_ms, 1'000);
  EXPECT_EQ(all<Fetch>()[0].fields.client_tag, "t") << "its source may say that it is the one";
}

TEST_F(NodeCoreTest, WithoutAnAgeLimitTheFreshTimeOfTheClassBinds) {
  ServeFields asked = fields("a");
  asked.request_class = "menu";
  hold(1, asked, Copy{"t", kNow + steady_ - 10'000, 1, bytes("x")});
  EXPECT_EQ(answer_to(1).code, AnswerCode::kOk);
  hold(2, asked, Copy{"t", kNow + steady_ - 10'001, 1, bytes("x")});
  EXPECT_EQ(all<Fetch>().size(), 1U);
}

TEST_F(NodeCoreTest, ACopyPastItsFreshTimeIsToldAsAgedAndRenewedBehindOnce) {
  ServeFields asked = fields("a");
  asked.request_class = "menu";
  asked.age_limit_ms = 60'000;
  asked.renew = true;
  const Copy copy{"t", kNow + steady_ - 20'000, 1, bytes("x")};
  hold(1, asked, copy);
  hold(2, asked, copy);
  EXPECT_EQ(answer_to(1).fields.note, Note::kStale);
  EXPECT_EQ(answer_to(2).fields.note, Note::kStale);
  ASSERT_EQ(all<Fetch>().size(), 1U);
  FetchResult same = answer(AnswerCode::kSame, "", kNow + steady_);
  on_fetch_result(all<Fetch>()[0].fill, same);
  ASSERT_EQ(all<StoreCopy>().size(), 1U);
  EXPECT_EQ(all<StoreCopy>()[0].copy.t0_ms, kNow + steady_);
  EXPECT_EQ(*all<StoreCopy>()[0].copy.bytes, "x");
}

// A fill begun before a purge and ended after: what it brings is not served and not kept; one more try
// excludes it.
TEST_F(NodeCoreTest, AFillThatAPurgeOvertookIsDoneAgainWithAnAgeLimitThatExcludesIt) {
  miss(1, fields("a"));
  floor_ = kNow + steady_ + 5;
  steady_ += 20;
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "old", kNow + steady_ - 20));
  EXPECT_TRUE(all<Answer>().empty());
  EXPECT_TRUE(all<StoreCopy>().empty());
  ASSERT_EQ(all<Fetch>().size(), 2U);
  EXPECT_EQ(all<Fetch>()[1].fields.age_limit_ms, 14);
  // A parent that hands on the old copy all the same: a miss, and its source is told as lacking.
  on_fetch_result(all<Fetch>()[1].fill, answer(AnswerCode::kOk, "old", kNow + steady_ - 20));
  EXPECT_EQ(answer_to(1).code, AnswerCode::kMiss);
  EXPECT_EQ(answer_to(1).fields.note, Note::kNotAtSource);
  EXPECT_TRUE(all<StoreCopy>().empty());
}

TEST_F(NodeCoreTest, APurgeWhileTheDiskWasReadBindsAndSoDoesThatOfItsGroup) {
  core_.on_request(now(), 1, fields("a"), "", out_);
  group_floor_[4] = kNow + 10;
  store::ReadResult result;
  result.status = store::ReadStatus::kWhole;
  result.copy = Copy{"t", kNow, 4, bytes("old")};
  core_.on_lookup_result(now(), 1, result, out_);
  EXPECT_TRUE(all<Answer>().empty());
  EXPECT_EQ(all<Fetch>().size(), 1U);
}

TEST_F(NodeCoreTest, WaitersOfOneFillAreJudgedByTheirOwnAgeLimits) {
  ServeFields asked = fields("a");
  asked.join_fill = true;
  miss(1, asked);
  asked.age_limit_ms = 50;
  miss(2, asked);
  steady_ += 100;
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body", kNow + steady_ - 100));
  EXPECT_EQ(answer_to(1).code, AnswerCode::kOk);
  ASSERT_EQ(all<Fetch>().size(), 2U) << "a fill of its own for the one that may not have it";
  on_fetch_result(all<Fetch>()[1].fill, answer(AnswerCode::kOk, "body", kNow + steady_));
  EXPECT_EQ(answer_to(2).code, AnswerCode::kOk);
}

TEST_F(NodeCoreTest, BeforeTheBoardWasHeardOldCopiesGoOnlyToThoseThatSayHowOldTheyMayBe) {
  core_.distrust_copies_before(kNow + steady_);
  hold(1, fields("a"), Copy{"t", kNow, 1, bytes("from before the start")});
  EXPECT_TRUE(all<Answer>().empty());
  EXPECT_EQ(all<Fetch>().size(), 1U);
  ServeFields asked = fields("a");
  asked.age_limit_ms = 3'600'000;
  hold(2, asked, Copy{"t", kNow, 1, bytes("from before the start")});
  EXPECT_EQ(answer_to(2).code, AnswerCode::kOk);
  core_.trust_all_copies();
  hold(3, fields("a"), Copy{"t", kNow, 1, bytes("from before the start")});
  EXPECT_EQ(answer_to(3).code, AnswerCode::kOk);
}

TEST_F(NodeCoreTest, OutcomesOfTheSourceAreToldApart) {
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
    miss(++number, fields("a"));
    on_fetch_result(all<Fetch>()[0].fill, one.result);
    EXPECT_EQ(answer_to(number).code, one.code) << number;
    EXPECT_EQ(answer_to(number).fields.note, one.note) << number;
    EXPECT_EQ(all<Fetch>().size(), 1U) << "whether to go elsewhere is for the router to choose";
  }
  out_.clear();
  miss(100, fields("a", "origin"));
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kError));
  EXPECT_EQ(answer_to(100).fields.note, Note::kOriginFailed);
}

// Writes go through once: never shared, never kept, and only a proof that nothing ran is told as a miss.
TEST_F(NodeCoreTest, AClassThatIsNotKeptGoesOnOnceWithItsKeyAndBody) {
  ServeFields asked;
  asked.request_class = "entry";
  asked.limit_ms = 500;
  asked.source = "origin";
  asked.nonce = "key";
  asked.join_fill = true;
  for (RequestNumber number = 1; number <= 2; ++number) {
    core_.on_request(now(), number, asked, "payload", out_);
  }
  ASSERT_EQ(all<Fetch>().size(), 2U);
  EXPECT_EQ(all<Fetch>()[0].body, "payload");
  EXPECT_EQ(all<Fetch>()[0].fields.nonce, "key");
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "done"));
  EXPECT_EQ(*answer_to(1).body, "done");
  EXPECT_TRUE(all<StoreCopy>().empty());
  FetchResult broken;
  broken.end = FetchResult::End::kBroken;
  on_fetch_result(all<Fetch>()[1].fill, broken);
  EXPECT_EQ(answer_to(2).code, AnswerCode::kError) << "it may have run";
  core_.on_request(now(), 3, asked, "payload", out_);
  FetchResult unreachable;
  unreachable.end = FetchResult::End::kUnreachable;
  on_fetch_result(all<Fetch>()[2].fill, unreachable);
  EXPECT_EQ(answer_to(3).code, AnswerCode::kMiss) << "it never ran";
  core_.on_request(now(), 4, asked, "payload", out_);
  steady_ += 600;
  core_.tick(now(), out_);
  EXPECT_EQ(answer_to(4).code, AnswerCode::kError) << "out of time, and it may have run";
  EXPECT_EQ(all<Fetch>().size(), 4U) << "nothing was asked twice";
}

TEST_F(NodeCoreTest, AtEachBoundItShedsAtOnce) {
  for (RequestNumber number = 1; number <= 4; ++number) {
    miss(number, fields("item" + std::to_string(number)));
  }
  miss(5, fields("item5"));
  EXPECT_EQ(answer_to(5).code, AnswerCode::kBusy);
  EXPECT_EQ(answer_to(5).fields.note, Note::kNoFillCapacity);
  hold(6, fields("held"), Copy{"t", kNow, 1, bytes("x")});
  EXPECT_EQ(answer_to(6).code, AnswerCode::kOk) << "what is held needs no place";
  for (RequestNumber number = 10; number < 56; ++number) {
    core_.on_request(now(), number, fields("x"), "", out_);
  }
  core_.on_request(now(), 60, fields("x"), "", out_);
  EXPECT_EQ(answer_to(60).code, AnswerCode::kBusy);
  EXPECT_GE(core_.utilisation(0), 1.0);
}

TEST_F(NodeCoreTest, AnswersThatArePeersToTakeCountAgainstTheBound) {
  waiting_ = 1U << 20U;
  core_.on_request(now(), 1, fields("a"), "", out_);
  EXPECT_EQ(answer_to(1).code, AnswerCode::kBusy);
}

TEST_F(NodeCoreTest, WhatCannotBeUsedIsAnErrorInPlainWords) {
  ServeFields asked = fields("a");
  asked.request_class = "odd";
  core_.on_request(now(), 1, asked, "", out_);
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
  EXPECT_EQ(core_.open(), 0U);
}

TEST_F(NodeCoreTest, ALookUpThatIsLateIsAMissAndItsResultIsNotHeard) {
  core_.on_request(now(), 1, fields("a"), "", out_);
  EXPECT_EQ(core_.next_deadline_ms(), steady_ + 150);
  steady_ += 150;
  core_.tick(now(), out_);
  ASSERT_EQ(all<AbandonLookup>().size(), 1U);
  EXPECT_TRUE(all<AbandonLookup>()[0].timed_out);
  ASSERT_EQ(all<Fetch>().size(), 1U);
  store::ReadResult result;
  result.status = store::ReadStatus::kWhole;
  result.copy = Copy{"t", kNow, 1, bytes("late")};
  core_.on_lookup_result(now(), 1, result, out_);
  EXPECT_TRUE(all<Answer>().empty());
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kOk, "body"));
  EXPECT_EQ(*answer_to(1).body, "body");
}

TEST_F(NodeCoreTest, OutOfTimeEachRequestIsAnsweredOnceAndItsFillEnds) {
  ServeFields asked = fields("a");
  asked.join_fill = true;
  miss(1, asked);
  asked.limit_ms = 3'000;
  miss(2, asked);
  steady_ += 1'000;
  core_.tick(now(), out_);
  EXPECT_EQ(answer_to(1).code, AnswerCode::kVoid);
  EXPECT_EQ(all<Fetch>().size(), 2U)
      << "the fill had the first one's time; the other has more, and gets one more";
  steady_ += 2'000;
  core_.tick(now(), out_);
  EXPECT_EQ(answer_to(2).code, AnswerCode::kVoid);
  EXPECT_EQ(core_.fills(), 0U);
  EXPECT_EQ(core_.open(), 0U);
  EXPECT_FALSE(core_.next_deadline_ms().has_value());
}

TEST_F(NodeCoreTest, HeldOnlyAsksASourceForWhatItHoldsAndDoesNotFillByItself) {
  ServeFields asked = fields("a");
  asked.only_if_cached = true;
  miss(1, asked);
  EXPECT_TRUE(all<Fetch>()[0].fields.only_if_cached);
  on_fetch_result(all<Fetch>()[0].fill, answer(AnswerCode::kMiss));
  EXPECT_EQ(answer_to(1).fields.note, Note::kNotAtSource);
}

// A parent fills from its own source what a cache asks it for, unless it is to give only what it holds.
TEST(NodeCoreParent, FillsFromItsOwnSource) {
  NodeCoreOptions rules;
  rules.classes["media"] = ClassRule{0, true};
  rules.fill_from = "origin";
  rules.origin = "origin";
  NodeCore core(
      rules, [](const store::Name&, int) { return INT64_MIN; }, [](const std::string&) { return true; });
  std::vector<Action> out;
  ServeFields asked;
  asked.request_class = "media";
  asked.item = "a";
  asked.limit_ms = 100;
  core.on_request(EventContext{}, 1, asked, "", out);
  core.on_lookup_result(EventContext{}, 1, {}, out);
  ASSERT_EQ(out.size(), 2U);
  EXPECT_EQ(std::get<Fetch>(out[1]).source, "origin");
  out.clear();
  asked.only_if_cached = true;
  core.on_request(EventContext{}, 2, asked, "", out);
  core.on_lookup_result(EventContext{}, 2, {}, out);
  EXPECT_EQ(std::get<Answer>(out[1]).code, AnswerCode::kMiss);
}

class PartialFill : public NodeCoreTest {
 protected:
  // Twelve bytes in parts of four; the middle one is missing.
  std::shared_ptr<store::PartialCopy> partial() {
    auto out = std::make_shared<store::PartialCopy>();
    out->tag = "tag-whole";
    out->t0_ms = kNow;
    out->part_bytes = 4;
    out->whole_sum = store::sum_of("aaaabbbbcccc");
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

TEST_F(PartialFill, WhatIsMissingIsFetchedAlone) {
  const Fetch fetch = begin();
  EXPECT_EQ(fetch.fields.range, (protocol::ByteRange{4, 4}));
  EXPECT_EQ(fetch.fields.expected_tag, "tag-whole");
  on_fetch_result(fetch.fill, part("bbbb"));
  EXPECT_EQ(*answer_to(1).body, "aaaabbbbcccc");
  ASSERT_EQ(all<CompletePartialCopy>().size(), 1U);
  EXPECT_EQ(all<CompletePartialCopy>()[0].initial_parts, (std::vector<bool>{true, false, true}));
}

TEST_F(PartialFill, PartsThatDoNotMakeUpTheWholeAreNotServed) {
  const Fetch fetch = begin();
  on_fetch_result(fetch.fill, part("xxxx"));
  EXPECT_TRUE(all<Answer>().empty());
  EXPECT_EQ(all<DropCopy>().size(), 1U);
  ASSERT_EQ(all<Fetch>().size(), 2U);
  EXPECT_FALSE(all<Fetch>()[1].fields.range.has_value()) << "all of it is fetched";
  on_fetch_result(fetch.fill, answer(AnswerCode::kOk, "another whole"));
  EXPECT_EQ(*answer_to(1).body, "another whole");
}

TEST_F(PartialFill, ASourceWithAnotherCopyGivesTheWholeOfIt) {
  const Fetch fetch = begin();
  on_fetch_result(fetch.fill, answer(AnswerCode::kMiss));
  ASSERT_EQ(all<Fetch>().size(), 2U);
  on_fetch_result(fetch.fill, answer(AnswerCode::kOk, "new"));
  EXPECT_EQ(*answer_to(1).body, "new");
  EXPECT_TRUE(all<CompletePartialCopy>().empty());
  EXPECT_EQ(all<StoreCopy>().size(), 1U);
}

TEST_F(PartialFill, ASourceThatKnowsNoSpansGivesTheWholeAtOnce) {
  const Fetch fetch = begin();
  on_fetch_result(fetch.fill, answer(AnswerCode::kOk, "aaaabbbbcccc"));
  EXPECT_EQ(*answer_to(1).body, "aaaabbbbcccc");
}

TEST_F(PartialFill, SpansOfTheWrongPlaceLengthTagOrWholeAreNotTaken) {
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

TEST_F(NodeCoreTest, ASpanOfAHeldCopyIsServedOnlyOfThatCopy) {
  ServeFields asked = fields("a");
  asked.range = protocol::ByteRange{2, 3};
  asked.expected_tag = "t";
  hold(1, asked, Copy{"t", kNow, 1, bytes("0123456789")});
  EXPECT_EQ(answer_to(1).range, (protocol::ByteRange{2, 3}));
  EXPECT_EQ(answer_to(1).fields.total_length, 10U);
  hold(2, asked, Copy{"u", kNow, 1, bytes("0123456789")});
  EXPECT_EQ(answer_to(2).code, AnswerCode::kMiss);
  asked.range = protocol::ByteRange{8, 3};
  hold(3, asked, Copy{"t", kNow, 1, bytes("0123456789")});
  EXPECT_EQ(answer_to(3).code, AnswerCode::kMiss);
}

// Seeded storms of every event in any order: each request gets one answer at most, and exactly one unless it
// was cancelled; nothing is left over; nothing served is older than a purge or than its age limit.
TEST_F(NodeCoreTest, StormsOfEventsLeaveOneAnswerEach) {
  for (const std::uint32_t seed : {1U, 2U, 3U, 4U, 5U}) {
    std::mt19937 random(seed);
    NodeCore core(
        rules(), [this](const store::Name&, int group) { return floor(group); },
        [](const std::string&) { return true; });
    floor_ = INT64_MIN;
    std::vector<Action> out;
    std::map<RequestNumber, ServeFields> asked;
    std::map<RequestNumber, int> answers;
    std::set<RequestNumber> cancelled;
    std::set<FillNumber> out_fills;
    std::set<RequestNumber> looking;
    std::int64_t steady = 0;
    RequestNumber last = 0;
    const auto draw_copy = [&] {
      return Copy{"t" + std::to_string(random() % 3),
                  kNow + steady - static_cast<std::int64_t>(random() % 3'000),
                  static_cast<int>(random() % 4) - 1, bytes("b" + std::to_string(random() % 100))};
    };
    const auto run_actions = [&] {
      for (const Action& action : std::exchange(out, {})) {
        if (const auto* one = std::get_if<Answer>(&action)) {
          ASSERT_EQ(++answers[one->request], 1) << one->request;
          ASSERT_FALSE(cancelled.contains(one->request));
          const ServeFields& of = asked.at(one->request);
          if (one->code == AnswerCode::kOk && of.request_class == "media") {
            ASSERT_GT(one->fields.origin_time_ms, floor(one->fields.group));
            ASSERT_TRUE(of.age_limit_ms == 0 ||
                        kNow + steady - one->fields.origin_time_ms <= of.age_limit_ms);
          }
          looking.erase(one->request);
        } else if (const auto* look = std::get_if<Lookup>(&action)) {
          looking.insert(look->request);
        } else if (const auto* fetch = std::get_if<Fetch>(&action)) {
          out_fills.insert(fetch->fill);
        } else if (const auto* stop = std::get_if<StopFetch>(&action)) {
          out_fills.erase(stop->fill);
        }
      }
    };
    for (int i = 0; i < 4'000; ++i) {
      steady += static_cast<std::int64_t>(random() % 20);
      const EventContext at{steady, kNow + steady, 0};
      switch (random() % 8) {
        case 0:
        case 1: {
          ServeFields fields_of =
              fields("i" + std::to_string(random() % 5), random() % 5 == 0 ? "" : "parent");
          fields_of.request_class = random() % 6 == 0 ? "entry" : "media";
          fields_of.join_fill = random() % 2 == 0;
          fields_of.renew = random() % 3 == 0;
          fields_of.limit_ms = 1 + static_cast<std::int64_t>(random() % 800);
          fields_of.age_limit_ms = random() % 2 == 0 ? 0 : 1 + static_cast<std::int64_t>(random() % 4'000);
          asked[++last] = fields_of;
          core.on_request(at, last, fields_of, "", out);
          break;
        }
        case 2:
        case 3:
          if (!looking.empty()) {
            const RequestNumber number =
                *std::next(looking.begin(), static_cast<long>(random() % looking.size()));
            looking.erase(number);
            store::ReadResult result;
            if (random() % 2 == 0) {
              result.status = store::ReadStatus::kWhole;
              result.copy = draw_copy();
            }
            core.on_lookup_result(at, number, result, out);
          }
          break;
        case 4:
          if (!out_fills.empty()) {
            const FillNumber fill =
                *std::next(out_fills.begin(), static_cast<long>(random() % out_fills.size()));
            out_fills.erase(fill);
            FetchResult result;
            result.end = static_cast<FetchResult::End>(random() % 4);
            result.code = static_cast<AnswerCode>(random() % 6);
            const Copy copy = draw_copy();
            result.fields.tag = copy.tag;
            result.fields.origin_time_ms = copy.t0_ms;
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
              looking.erase(number);
              core.cancel(at, number, out);
            }
          }
          break;
        case 6:
          floor_ = random() % 10 == 0 ? kNow + steady - static_cast<std::int64_t>(random() % 2'000) : floor_;
          break;
        default:
          core.tick(at, out);
      }
      run_actions();
    }
    steady += 10'000;
    core.tick(EventContext{steady, kNow + steady, 0}, out);
    run_actions();
    EXPECT_EQ(core.open(), 0U);
    EXPECT_EQ(core.fills(), 0U);
    for (RequestNumber number = 1; number <= last; ++number) {
      EXPECT_EQ(answers[number], cancelled.contains(number) ? 0 : 1)
          << "seed " << seed << " request " << number;
    }
  }
}

}  // namespace
}  // namespace trailcourse::cache_node
