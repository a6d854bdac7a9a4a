// Tests the FastCGI parser with bytes in any split, and the queue of answers.
#include "protocol/fastcgi.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fastcgi_peer.h"

namespace trailcourse::protocol::fastcgi {
namespace {

using testing_support::begin_record;
using testing_support::pair;
using testing_support::record;
using testing_support::request_bytes;

constexpr std::uint8_t kAbort = 2;
constexpr std::uint8_t kParams = 4;
constexpr std::uint8_t kStdin = 5;

std::vector<Event> feed(Parser& parser, std::string_view bytes, std::size_t step) {
  std::vector<Event> events;
  for (std::size_t at = 0; at < bytes.size(); at += step) {
    parser.feed(bytes.substr(at, step), events);
  }
  return events;
}

template <typename EventType>
const EventType& only(const std::vector<Event>& events) {
  EXPECT_EQ(events.size(), 1U);
  return std::get<EventType>(events.at(0));
}

TEST(FastCgiParser, ReadsARequestInAnySplit) {
  const std::string body("a\0b\r\n", 5);
  const std::string bytes =
      request_bytes(7, {{"SCRIPT_NAME", "/v1/media"}, {"LONG", std::string(300, 'x')}}, body);
  for (std::size_t step = 1; step <= bytes.size(); ++step) {
    Parser parser{Bounds()};
    const std::vector<Event> events = feed(parser, bytes, step);
    ASSERT_EQ(events.size(), 1U) << "step " << step;
    const auto& read = std::get<RequestReceived>(events[0]);
    EXPECT_EQ(read.request_id, 7);
    EXPECT_EQ(*read.parameters.find("SCRIPT_NAME"), "/v1/media");
    EXPECT_EQ(read.parameters.find("LONG")->size(), 300U);
    EXPECT_EQ(read.parameters.find("ABSENT"), std::nullopt);
    EXPECT_EQ(read.body, body);
    EXPECT_TRUE(read.keep_connection);
    EXPECT_EQ(parser.held(), 0U);
  }
}

TEST(FastCgiParser, ReadsInterleavedRequests) {
  Parser parser{Bounds()};
  std::string bytes = begin_record(1) + begin_record(2);
  bytes += record(kParams, 2, pair("A", "two")) + record(kParams, 1, pair("A", "one"));
  bytes += record(kParams, 1, "") + record(kParams, 2, "");
  bytes += record(kStdin, 2, "second") + record(kStdin, 1, "fi") + record(kStdin, 1, "rst");
  bytes += record(kStdin, 1, "") + record(kStdin, 2, "");
  const std::vector<Event> events = feed(parser, bytes, bytes.size());
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(std::get<RequestReceived>(events[0]).body, "first");
  EXPECT_EQ(std::get<RequestReceived>(events[1]).body, "second");
  EXPECT_EQ(*std::get<RequestReceived>(events[1]).parameters.find("A"), "two");
}

TEST(FastCgiParser, SkipsPadding) {
  Parser parser{Bounds()};
  std::string bytes = begin_record(1) + record(kParams, 1, pair("A", "b"), 5);
  bytes += record(kParams, 1, "", 8) + record(kStdin, 1, "", 255);
  const std::vector<Event> events = feed(parser, bytes, 3);
  EXPECT_EQ(*only<RequestReceived>(events).parameters.find("A"), "b");
}

TEST(FastCgiParser, ReportsAnErrorForAWrongVersionAndIgnoresFurtherBytes) {
  Parser parser{Bounds()};
  std::string bytes = begin_record(1);
  bytes[0] = 2;
  std::vector<Event> events = feed(parser, bytes, bytes.size());
  only<ParseError>(events);
  events = feed(parser, request_bytes(2, {}, ""), 4);
  EXPECT_TRUE(events.empty());
}

TEST(FastCgiParser, ReportsAnErrorWhenAnOpenIdIsReused) {
  Parser parser{Bounds()};
  const std::vector<Event> events = feed(parser, begin_record(3) + begin_record(3), 64);
  only<ParseError>(events);
}

TEST(FastCgiParser, AcceptsAnIdAgainAfterItsRelease) {
  Parser parser{Bounds()};
  only<RequestReceived>(feed(parser, request_bytes(3, {}, ""), 64));
  parser.release(3);
  only<RequestReceived>(feed(parser, request_bytes(3, {}, ""), 64));
}

TEST(FastCgiParser, ReportsAnErrorForAShortBeginRequest) {
  Parser parser{Bounds()};
  only<ParseError>(feed(parser, record(1, 1, "abc"), 64));
}

TEST(FastCgiParser, RejectsAnUnknownRoleAndSkipsItsRecords) {
  Parser parser{Bounds()};
  std::string bytes = begin_record(4, 2);
  bytes += record(kParams, 4, pair("A", "b")) + record(kStdin, 4, "");
  const std::vector<Event> events = feed(parser, bytes, 64);
  EXPECT_EQ(only<RequestRejected>(events).status, ProtocolStatus::kUnknownRole);
  EXPECT_FALSE(only<RequestRejected>(events).answered);
}

TEST(FastCgiParser, AnswersAnUnknownRecordType) {
  Parser parser{Bounds()};
  const std::vector<Event> events = feed(parser, record(77, 0, "?"), 64);
  const std::string& bytes = only<ManagementReply>(events).bytes;
  ASSERT_EQ(bytes.size(), 16U);
  EXPECT_EQ(bytes[1], 11);  // UNKNOWN_TYPE
  EXPECT_EQ(bytes[8], 77);
}

TEST(FastCgiParser, AnswersOnlyKnownValues) {
  Parser parser{Bounds()};
  const std::vector<Event> events =
      feed(parser, record(9, 0, pair("FCGI_MPXS_CONNS", "") + pair("OTHER", "")), 64);
  const std::string& bytes = only<ManagementReply>(events).bytes;
  std::vector<std::pair<std::string, std::string>> values;
  ASSERT_TRUE(read_pairs(std::string_view(bytes).substr(8), values));
  ASSERT_EQ(values.size(), 1U);
  EXPECT_EQ(values[0], (std::pair<std::string, std::string>("FCGI_MPXS_CONNS", "1")));
}

TEST(FastCgiParser, SkipsRecordsOfIdsThatAreNotOpen) {
  Parser parser{Bounds()};
  std::string bytes = record(kParams, 9, pair("A", "b")) + record(kStdin, 9, "x") + record(kAbort, 9, "");
  EXPECT_TRUE(feed(parser, bytes, 64).empty());
  only<RequestReceived>(feed(parser, request_bytes(1, {}, ""), 64));
}

TEST(FastCgiParser, AbortsARequestAtEachStage) {
  for (const std::string& before : {begin_record(5), begin_record(5) + record(kParams, 5, pair("A", "b")),
                                    begin_record(5) + record(kParams, 5, "") + record(kStdin, 5, "x")}) {
    Parser parser{Bounds()};
    const std::vector<Event> events = feed(parser, before + record(kAbort, 5, ""), 64);
    EXPECT_EQ(only<RequestAborted>(events).request_id, 5);
    EXPECT_EQ(parser.held(), 0U);
  }
}

TEST(FastCgiParser, RejectsTruncatedParameters) {
  const std::string complete = pair("NAME", "value") + pair("OTHER", std::string(200, 'y'));
  for (std::size_t cut = 1; cut < complete.size(); ++cut) {
    if (cut == pair("NAME", "value").size()) {
      continue;  // cut between two pairs
    }
    Parser parser{Bounds()};
    const std::string bytes = begin_record(1) + record(kParams, 1, complete.substr(0, cut)) +
                              record(kParams, 1, "") + record(kStdin, 1, "");
    EXPECT_TRUE(only<RequestRejected>(feed(parser, bytes, 64)).answered) << "cut at " << cut;
  }
}

TEST(FastCgiParser, RejectsABodyBeforeTheEndOfTheParametersOnce) {
  Parser parser{Bounds()};
  const std::string bytes =
      begin_record(1) + record(kStdin, 1, "x") + record(kStdin, 1, "y") + record(kParams, 1, "");
  only<RequestRejected>(feed(parser, bytes, 64));
}

TEST(FastCgiParser, AppliesItsBoundsToBodyParametersRequestsAndConnection) {
  Bounds bounds;
  bounds.body_bytes = 8;
  bounds.parameter_bytes = 16;
  bounds.open_requests = 2;
  Parser body(bounds);
  EXPECT_EQ(only<RequestReceived>(feed(body, request_bytes(1, {}, "12345678"), 64)).body.size(), 8U);
  only<RequestRejected>(feed(body, request_bytes(2, {}, "123456789"), 64));
  Parser parameters(bounds);
  only<RequestRejected>(feed(parameters, request_bytes(1, {{"NAME", std::string(20, 'v')}}, ""), 64));
  EXPECT_EQ(parameters.held(), 0U);
  Parser requests(bounds);
  const std::vector<Event> events = feed(requests, begin_record(1) + begin_record(2) + begin_record(3), 64);
  EXPECT_EQ(only<RequestRejected>(events).status, ProtocolStatus::kOverloaded);
  bounds.body_bytes = 100;
  bounds.connection_bytes = 10;
  Parser complete(bounds);
  std::string bytes;
  for (const RequestId request_id : {1, 2}) {
    bytes +=
        begin_record(request_id) + record(kParams, request_id, "") + record(kStdin, request_id, "123456");
  }
  EXPECT_EQ(only<RequestRejected>(feed(complete, bytes, 64)).request_id, 2);
}

// Guards against parameters that take many times their bytes once they are read.
TEST(FastCgiParser, KeepsManyShortParametersInTheirEncodedSize) {
  constexpr std::size_t kFields = 8'190;
  const std::string empty_fields(2 * kFields, '\0');
  Parser parser{Bounds()};
  const std::string bytes = begin_record(1) + record(kParams, 1, empty_fields) + record(kParams, 1, "");
  EXPECT_TRUE(feed(parser, bytes, 1'000).empty());
  EXPECT_LE(parser.held(), 2 * empty_fields.size() + 100);
  const std::vector<Event> events = feed(parser, record(kStdin, 1, ""), 64);
  EXPECT_EQ(only<RequestReceived>(events).parameters.encoded_bytes(), empty_fields.size());
  EXPECT_EQ(parser.held(), 0U);
}

// Guards against records that are kept as a whole although their request is rejected or unknown.
TEST(FastCgiParser, HoldsNothingOfRecordsThatItSkips) {
  Parser parser{Bounds()};
  const std::string part = record(kStdin, 9, std::string(60'000, 'x')).substr(0, 50'000);
  EXPECT_TRUE(feed(parser, part, 7'000).empty());
  EXPECT_EQ(parser.held(), 0U);
  EXPECT_TRUE(parser.has_partial_message());
}

TEST(FastCgiParser, FreesTheContentOfARejectedRequestAtOnce) {
  Parser parser{Bounds()};
  const std::string head = begin_record(1) + record(kParams, 1, "");
  EXPECT_TRUE(feed(parser, head + record(kStdin, 1, std::string(40'000, 'x')), 4'000).empty());
  EXPECT_GE(parser.held(), 40'000U);
  only<RequestRejected>(feed(parser, record(kStdin, 1, std::string(40'000, 'x')), 4'000));
  EXPECT_EQ(parser.held(), 0U);
}

TEST(FastCgiParser, RejectsTheLargestIncompleteRequestAndSkipsItsRest) {
  Parser parser{Bounds()};
  std::string bytes = begin_record(1) + begin_record(2) + begin_record(3);
  bytes += record(kParams, 1, "") + record(kStdin, 1, std::string(1'000, 'a'));
  bytes += record(kParams, 2, "") + record(kStdin, 2, std::string(5'000, 'b'));
  EXPECT_TRUE(feed(parser, bytes, 64).empty());
  const std::optional<RequestRejected> rejected = parser.reject_largest("full");
  ASSERT_TRUE(rejected.has_value());
  EXPECT_EQ(rejected->request_id, 2);
  EXPECT_EQ(rejected->status, ProtocolStatus::kOverloaded);
  EXPECT_LE(parser.held(), 2'100U);
  EXPECT_TRUE(feed(parser, record(kStdin, 2, std::string(5'000, 'b')) + record(kStdin, 2, ""), 64).empty());
  EXPECT_EQ(only<RequestReceived>(feed(parser, record(kStdin, 1, ""), 64)).body.size(), 1'000U);
  EXPECT_FALSE(parser.reject_largest("full").has_value()) << "no request is left that holds any bytes";
}

TEST(FastCgiParser, ReturnsTheEventsOfOneRecordAtATime) {
  Parser parser{Bounds()};
  const std::string bytes = record(77, 0, "") + record(78, 0, "") + begin_record(1);
  std::string_view rest = bytes;
  std::vector<Event> events;
  for (int i = 0; i < 2; ++i) {
    std::optional<Event> event = parser.next(rest);
    ASSERT_TRUE(event.has_value());
    EXPECT_TRUE(std::holds_alternative<ManagementReply>(*event));
  }
  EXPECT_EQ(rest, begin_record(1));
}

TEST(FastCgiParser, AcceptsRandomBytesWithinItsBounds) {
  std::uint32_t state = 12345;
  for (int round = 0; round < 300; ++round) {
    Parser parser{Bounds()};
    std::string bytes;
    for (int i = 0; i < 200; ++i) {
      state = state * 1664525U + 1013904223U;
      bytes += static_cast<char>(i % 8 == 0 ? 1 : (state >> 24U) % 12U);
    }
    const std::vector<Event> events = feed(parser, bytes, 1 + static_cast<std::size_t>(round) % 17);
    EXPECT_LE(events.size(), bytes.size());
    EXPECT_LE(parser.held(), bytes.size());
  }
}

// The output of a request, as a client reads it, and the number of its END_REQUEST records.
struct ReceivedAnswer {
  std::string output;
  int ends = 0;
};
std::map<RequestId, ReceivedAnswer> drain(AnswerQueue& queue, std::vector<RequestId>& order) {
  std::map<RequestId, ReceivedAnswer> answers;
  std::string bytes;
  while (!queue.empty()) {
    RequestId ended_id = 0;
    bool ended = false;
    bytes += queue.next(ended_id, ended);
    order.push_back(ended ? ended_id : 0);
  }
  for (const testing_support::Record& one : testing_support::take_records(bytes)) {
    ReceivedAnswer& answer = answers[one.request_id];
    EXPECT_EQ(answer.ends, 0) << "a record after the end";
    answer.output += one.type == 6 ? one.content : "";
    answer.ends += one.type == 3 ? 1 : 0;
  }
  EXPECT_TRUE(bytes.empty());
  return answers;
}

// A large answer must not hold up small ones on the same connection.
TEST(AnswerQueue, ASmallAnswerOvertakesALargeOne) {
  AnswerQueue queue(1000);
  const std::string large(200'000, 'L');
  queue.append(1, large);
  queue.end(1, ProtocolStatus::kRequestComplete, 0);
  queue.append(2, "small");
  queue.end(2, ProtocolStatus::kRequestComplete, 0);
  std::vector<RequestId> order;
  auto answers = drain(queue, order);
  EXPECT_EQ(answers[1].output, large);
  EXPECT_EQ(answers[2].output, "small");
  EXPECT_EQ(answers[1].ends, 1);
  EXPECT_EQ(answers[2].ends, 1);
  EXPECT_EQ(order.at(1), 2);
  EXPECT_EQ(order.back(), 1);
  EXPECT_EQ(queue.waiting(), 0U);
}

TEST(AnswerQueue, DroppingAnAnswerLeavesTheOthers) {
  AnswerQueue queue(10);
  queue.append(1, std::string(25, 'a'));
  queue.append(2, "b");
  queue.end(2, ProtocolStatus::kRequestComplete, 0);
  RequestId request_id = 0;
  bool ended = false;
  queue.next(request_id, ended);
  EXPECT_TRUE(queue.drop(1));
  EXPECT_FALSE(queue.drop(1));
  EXPECT_EQ(queue.waiting(), 1U);
  std::vector<RequestId> order;
  auto answers = drain(queue, order);
  EXPECT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[2].output, "b");
}

TEST(AnswerQueue, CountsTheMemoryOfItsAnswersUntilTheyAreWritten) {
  AnswerQueue queue(100);
  EXPECT_EQ(queue.held(), 0U);
  for (RequestId id = 1; id <= 20; ++id) {
    queue.append(id, std::string(1'000, 'a'));
    queue.end(id, ProtocolStatus::kRequestComplete, 0);
  }
  EXPECT_GE(queue.held(), 20'000U);
  EXPECT_TRUE(queue.drop(3));
  std::vector<RequestId> order;
  EXPECT_EQ(drain(queue, order).size(), 19U);
  EXPECT_EQ(queue.held(), 0U);
  EXPECT_EQ(queue.waiting(), 0U);
}

TEST(AnswerQueue, ReplacesTheLargestAnswerOfWhichNothingIsWritten) {
  AnswerQueue queue(100);
  const std::string failure = "Status: 502 Bad Gateway\r\n\r\n";
  queue.append(1, std::string(9'000, 'a'));
  queue.end(1, ProtocolStatus::kRequestComplete, 0);
  RequestId ended_id = 0;
  bool ended = false;
  const std::string begun = queue.next(ended_id, ended);
  queue.append(2, std::string(5'000, 'b'));
  queue.end(2, ProtocolStatus::kRequestComplete, 0);
  queue.append(3, std::string(1'000, 'c'));
  queue.end(3, ProtocolStatus::kRequestComplete, 0);
  EXPECT_TRUE(queue.replace_largest(failure));
  EXPECT_TRUE(queue.replace_largest(failure));
  EXPECT_FALSE(queue.replace_largest(failure)) << "the first has begun, the others are short";
  std::vector<RequestId> order;
  const auto answers = drain(queue, order);
  EXPECT_EQ(answers.at(1).output.size() + 100, 9'000U);
  EXPECT_EQ(answers.at(2).output, failure);
  EXPECT_EQ(answers.at(3).output, failure);
  EXPECT_EQ(queue.held(), 0U);
}

TEST(AnswerQueue, WritesNoOutputWhenARequestEndsAsOverloaded) {
  AnswerQueue queue(10);
  queue.end(6, ProtocolStatus::kOverloaded, 0);
  RequestId request_id = 0;
  bool ended = false;
  const std::string bytes = queue.next(request_id, ended);
  ASSERT_EQ(bytes.size(), 16U);
  EXPECT_EQ(bytes[1], 3);
  EXPECT_EQ(bytes[12], 2);
  EXPECT_TRUE(ended);
  EXPECT_EQ(request_id, 6);
}

}  // namespace
}  // namespace trailcourse::protocol::fastcgi
