// Tests the parser of RESP arrays with bytes in any split, and the router's side of the cache protocol.
#include "protocol/resp.h"

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "protocol/cache_answer.h"

namespace trailcourse::protocol {
namespace {

using std::chrono::milliseconds;

struct Array {
  std::vector<std::string> strings;
  std::string last;
  bool complete = false;
};
struct ParseResult {
  std::vector<Array> arrays;
  std::string error;
};

ParseResult feed(std::string_view bytes, std::size_t step, const resp::Bounds& bounds = resp::Bounds()) {
  resp::Parser parser(bounds);
  ParseResult out;
  const auto sink = [&out](const resp::Event& event) {
    if (const auto* head = std::get_if<resp::ArrayHead>(&event)) {
      out.arrays.push_back(Array{head->strings, "", false});
    } else if (const auto* piece = std::get_if<resp::ArrayPiece>(&event)) {
      out.arrays.back().last += piece->bytes;
    } else if (std::holds_alternative<resp::ArrayEnd>(event)) {
      out.arrays.back().complete = true;
    } else {
      EXPECT_TRUE(out.error.empty()) << "reported twice";
      out.error = std::get<resp::ParseError>(event).reason;
    }
  };
  for (std::size_t at = 0; at < bytes.size(); at += step) {
    parser.feed(bytes.substr(at, step), sink);
  }
  return out;
}

TEST(RespParser, ReadsAnswersInAnySplit) {
  const std::string body("x\r\n$5\0y", 7);
  const std::string bytes =
      resp::write_array({"id1", "OK", "sum=1", body}) + resp::write_array({"id2", "MISS", "-", ""});
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    const ParseResult read = feed(bytes, step);
    ASSERT_EQ(read.arrays.size(), 2U) << "step " << step;
    EXPECT_EQ(read.arrays[0].strings, (std::vector<std::string>{"id1", "OK", "sum=1"}));
    EXPECT_EQ(read.arrays[0].last, body);
    EXPECT_TRUE(read.arrays[0].complete);
    EXPECT_EQ(read.arrays[1].strings[1], "MISS");
    EXPECT_TRUE(read.arrays[1].complete);
    EXPECT_TRUE(read.error.empty());
  }
}

TEST(RespParser, DoesNotCompleteAnArrayWithATruncatedBody) {
  const std::string bytes = resp::write_array({"id1", "OK", "-", "0123456789"});
  const ParseResult read = feed(bytes.substr(0, bytes.size() - 5), 3);
  ASSERT_EQ(read.arrays.size(), 1U);
  EXPECT_FALSE(read.arrays[0].complete);
}

TEST(RespParser, ReportsAnErrorForMalformedBytesAndStops) {
  const std::vector<std::string> malformed{"+OK\r\n",
                                           "*4\r\n:1\r\n",
                                           "*x\r\n",
                                           "*-1\r\n",
                                           "*0\r\n",
                                           "*99\r\n",
                                           "*1\n$1\r\n",
                                           "*1\r\n$-1\r\n",
                                           "*1\r\n$\r\n",
                                           "*2\r\n$3\r\nabcdef",
                                           "*1\r\n$3\r\nabcdef\r\n",
                                           "*1\r\n$99999999999999999999\r\n",
                                           "*1\r\n$600000\r\n",
                                           "*2\r\n$5000\r\n",
                                           std::string(100, '*')};
  for (const std::string& bytes : malformed) {
    for (const std::size_t step : {std::size_t{1}, bytes.size()}) {
      const ParseResult read = feed(bytes + resp::write_array({"id", "OK", "-", ""}), step);
      EXPECT_FALSE(read.error.empty()) << bytes;
      for (const Array& array : read.arrays) {
        EXPECT_FALSE(array.complete) << bytes;
      }
    }
  }
}

TEST(CacheAnswer, ReadsNoteWaitAndLoadReport) {
  const AnswerFields fields = read_answer_fields(
      "sum=abc,t0=5,tell=deep_fill,slow=12.5,meter=inflight:7;util:0.61;x1:0.25", {"concurrent", "x1"});
  EXPECT_EQ(fields.note, Note::kFilledFromOrigin);
  EXPECT_EQ(fields.waited, Micros(12'500));
  EXPECT_DOUBLE_EQ(fields.load.concurrent, 7.0);
  EXPECT_DOUBLE_EQ(fields.load.link_or_fetches, 0.25);
  EXPECT_LT(fields.load.utilisation, 0.0) << "not named by the settings";
}

TEST(CacheAnswer, ParsesTheNameOfEachNote) {
  const std::vector<std::string> names{"warm",    "fill",    "deep_fill", "piggy",  "aged",
                                       "bounced", "dropped", "lacking",   "jammed", "backfire"};
  for (std::size_t i = 0; i < names.size(); ++i) {
    EXPECT_EQ(read_answer_fields("tell=" + names[i], {}).note, static_cast<Note>(i + 1)) << names[i];
  }
}

// A malformed load report must not make an answer unusable.
TEST(CacheAnswer, SkipsInvalidFields) {
  const std::string texts[] = {"-",          "",
                               "tell=other", "slow=x",
                               "slow=-5",    "slow=nan",
                               "slow=1e300", "meter=inflight",
                               "meter=:;::", "meter=inflight:many",
                               "====,,,,",   "meter=inflight:inf"};
  for (const std::string& text : texts) {
    const AnswerFields fields = read_answer_fields(text, {"concurrent"});
    EXPECT_EQ(fields.note, Note::kNone) << text;
    EXPECT_EQ(fields.waited, Micros(0)) << text;
    EXPECT_LT(fields.load.concurrent, 0.0) << text;
  }
}

TEST(CacheAnswer, ParsesOnlyKnownAnswerCodes) {
  EXPECT_EQ(parse_answer_code("OK"), AnswerCode::kOk);
  EXPECT_EQ(parse_answer_code("SAME"), AnswerCode::kSame);
  EXPECT_EQ(parse_answer_code("VOID"), AnswerCode::kVoid);
  EXPECT_FALSE(parse_answer_code("ok").has_value());
  EXPECT_FALSE(parse_answer_code("").has_value());
}

ForwardedRequest plain_request() {
  return ForwardedRequest{"9b1f03aa5c7e2d41", "media", "7f3a9c21e0b4d655", "3", "",
                          "4be0c1927d55a6f3", "body"};
}

std::string fields_of(const std::string& command) {
  resp::Parser parser{resp::Bounds()};
  std::string fields;
  parser.feed(command, [&fields](const resp::Event& event) {
    if (const auto* head = std::get_if<resp::ArrayHead>(&event)) {
      fields = head->strings.at(2);
    }
  });
  return fields;
}

TEST(CacheAnswer, WritesAFillWithAllItsFields) {
  SendAttempt attempt;
  attempt.cache = "c1";
  attempt.source = "p1";
  attempt.timeout = milliseconds(900);
  attempt.keep_rank = 2;
  attempt.max_age = milliseconds(1500);
  attempt.join_fill = true;
  attempt.only_if_cached = true;
  EXPECT_EQ(fields_of(write_serve(plain_request(), attempt)),
            "cls=media,item=7f3a9c21e0b4d655,chunk=3,limit=900,next=p1,admit=2,agelim=1500,ways=join+held,"
            "cached=4be0c1927d55a6f3");
}

TEST(CacheAnswer, WritesNoSourceWhenTheCacheMustNotFill) {
  SendAttempt attempt;
  attempt.cache = "c1";
  attempt.source = "c1";
  attempt.timeout = milliseconds(900);
  ForwardedRequest request = plain_request();
  request.client_tag.clear();
  request.dedupe_key = "k1";
  EXPECT_EQ(fields_of(write_serve(request, attempt)),
            "cls=media,item=7f3a9c21e0b4d655,chunk=3,limit=900,nonce=k1");
}

// 0 would mean that there is no limit, so that a copy from just before a purge would be served.
TEST(CacheAnswer, RoundsTimesDownToAtLeastOneMillisecond) {
  SendAttempt attempt;
  attempt.cache = "c1";
  attempt.source = "c1";
  attempt.timeout = Micros(1);
  attempt.max_age = Micros(999);
  std::string fields = fields_of(write_serve(plain_request(), attempt));
  EXPECT_NE(fields.find(",limit=1,"), std::string::npos) << fields;
  EXPECT_NE(fields.find(",agelim=1,"), std::string::npos) << fields;
  attempt.max_age = Micros(2'999);
  fields = fields_of(write_serve(plain_request(), attempt));
  EXPECT_NE(fields.find(",agelim=2,"), std::string::npos) << fields;
}

TEST(CacheAnswer, WritesTheBodyUnchanged) {
  ForwardedRequest request = plain_request();
  request.body = std::string("\0\r\n*3\r\n", 8);
  SendAttempt attempt;
  attempt.timeout = milliseconds(5);
  const std::string command = write_serve(request, attempt);
  EXPECT_TRUE(command.ends_with("$8\r\n" + request.body + "\r\n"));
  EXPECT_EQ(write_cancel("id"), "*2\r\n$6\r\ncancel\r\n$2\r\nid\r\n");
}

}  // namespace
}  // namespace trailcourse::protocol
