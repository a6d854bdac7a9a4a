// Policy documents: the laws of the intersection of two contents, the parsing and rejection of documents, and
// the check of a router's capabilities.
#include <gtest/gtest.h>

#include <random>

#include "policy/document.h"

namespace trailcourse::policy {
namespace {

PolicyContent random_content(std::mt19937_64& random) {
  PolicyContent out;
  for (const char* name : {"media", "page", "entry"}) {
    if (random() % 4 == 0) {
      continue;
    }
    ClassPolicy& rule = out.classes[name];
    rule.serve = random() % 4 != 0;
    rule.objective_ms = 1 + static_cast<std::int64_t>(random() % 50);
    rule.give_up_ms = rule.objective_ms + static_cast<std::int64_t>(random() % 50);
    rule.priority_weight = static_cast<double>(random() % 5);
    rule.fresh_ms = static_cast<std::int64_t>(random() % 4) * 10;
    rule.grace_ms = rule.fresh_ms > 0 ? static_cast<std::int64_t>(random() % 30) : 0;
  }
  out.limits.open_requests = static_cast<std::int64_t>(random() % 10);
  out.limits.retry_after_ms = static_cast<std::int64_t>(random() % 10);
  out.limits.work.clear();
  for (const char* kind : {"fill", "probe", "report"}) {
    if (random() % 2 == 0) {
      out.limits.work.emplace_back(kind);
    }
  }
  return out;
}

TEST(PolicyDocumentTest, IntersectionIsCommutativeAssociativeAndIdempotent) {
  std::mt19937_64 random(1);
  for (int i = 0; i < 20'000; ++i) {
    const PolicyContent a = random_content(random);
    const PolicyContent b = random_content(random);
    const PolicyContent c = random_content(random);
    const PolicyContent ab = intersection(a, b);
    EXPECT_EQ(ab, intersection(b, a)) << "commutative";
    EXPECT_EQ(intersection(ab, c), intersection(a, intersection(b, c))) << "associative";
    EXPECT_EQ(intersection(a, a), a) << "idempotent";
    EXPECT_TRUE(is_subset(ab, a)) << "a subset of the first";
    EXPECT_TRUE(is_subset(ab, b)) << "a subset of the second";
    // The intersection is the largest subset of both: each other subset of both is a subset of it.
    const PolicyContent narrow = intersection(ab, c);
    EXPECT_TRUE(is_subset(narrow, ab));
    if (is_subset(c, a) && is_subset(c, b)) {
      EXPECT_TRUE(is_subset(c, ab));
    }
    ASSERT_FALSE(testing::Test::HasFailure()) << "case " << i;
  }
}

PolicyDocument document_of(std::uint64_t version, std::uint64_t parent) {
  PolicyDocument out;
  out.version = version;
  out.parent = parent;
  out.author = "ops";
  out.reason = "evening";
  out.content.classes["media"].give_up_ms = 4'000;
  return out;
}

TEST(PolicyDocumentTest, ReadsACompleteDocumentOrRejectsItWithTheField) {
  const PolicyDocument document = document_of(7, 6);
  const std::string text = write_document_text(document);
  EXPECT_EQ(read_document(text), document);
  const auto error_of = [](const std::string& document_text, bool draft = false) -> std::string {
    try {
      draft ? read_draft(document_text) : read_document(document_text);
    } catch (const InvalidDocument& error) {
      return error.what();
    }
    return "";
  };
  nlohmann::json changed = nlohmann::json::parse(text);
  changed["reason"] = "another";
  EXPECT_NE(error_of(changed.dump()).find("digest"), std::string::npos);
  changed["schema"] = 2;
  EXPECT_NE(error_of(changed.dump()).find("schema: 2"), std::string::npos)
      << "before anything else is checked";
  const auto draft = [](const std::string& content) { return R"({"schema":1,"content":)" + content + "}"; };
  EXPECT_EQ(error_of(draft(R"({"classes":{"media":{"worth":2}}})"), true), "");
  EXPECT_NE(error_of(draft(R"({"classes":{"media":{"wort":2}}})"), true).find("content.classes.media.wort"),
            std::string::npos);
  EXPECT_NE(error_of(draft(R"({"classes":{"media":{"give_up_ms":5}}})"), true).find("give_up_ms"),
            std::string::npos);
  EXPECT_NE(error_of(draft(R"({"limits":{"open_requests":-1}})"), true).find("open_requests"),
            std::string::npos);
  EXPECT_NE(error_of(draft(R"({"limits":{"work":["fill","fill"]}})"), true).find("work"), std::string::npos);
  EXPECT_NE(error_of(R"({"schema":1})", true).find("content"), std::string::npos);
  EXPECT_NE(error_of(R"({"schema":1,"version":3,"content":{}})", true).find("version"), std::string::npos);
  std::mt19937_64 random(3);
  for (int round = 0; round < 3'000; ++round) {
    std::string mutated = text;
    mutated[random() % mutated.size()] = "0123456789\"{}[]:,-x"[random() % 19];
    if (mutated != text) {
      EXPECT_TRUE(!error_of(mutated).empty() || read_document(mutated) == document) << mutated;
    }
  }
}

TEST(PolicyDocumentTest, NamesTheDemandThatARouterCannotMeet) {
  PolicyDocument document = document_of(7, 6);
  document.content.limits.open_requests = 1'000;
  RouterCapabilities capabilities{{"media"}, 1'000'000};
  EXPECT_TRUE(check_capabilities(document, capabilities).has_value());

  capabilities.max_open_requests = 500;
  const auto too_many = check_capabilities(document, capabilities);
  ASSERT_FALSE(too_many.has_value());
  EXPECT_EQ(too_many.error().kind, UnsupportedDemand::Kind::kTooManyOpenRequests);
  EXPECT_EQ(describe(too_many.error()),
            "content.limits.open_requests: 1000 is over what this router's memory and sockets bear, 500");

  capabilities = {{"page"}, 1'000'000};
  const auto unknown = check_capabilities(document, capabilities);
  ASSERT_FALSE(unknown.has_value());
  EXPECT_EQ(unknown.error().kind, UnsupportedDemand::Kind::kUnknownClass);
  EXPECT_EQ(describe(unknown.error()), "content.classes.media: not a class of this router's settings");
}

TEST(PolicyDocumentTest, DescribesTheDifferenceOfTwoContents) {
  PolicyContent before = document_of(1, 0).content;
  PolicyContent after = before;
  EXPECT_TRUE(describe_difference(before, after).empty());
  after.classes["media"].give_up_ms = 5'000;
  after.limits.open_requests = 7;
  const auto lines = describe_difference(before, after);
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(lines[0], "classes.media.give_up_ms is 5,000 ms, was 4,000 ms");
}

// Earlier versions of the program have written this text.
TEST(PolicyDocumentTest, StoredFormIsCompatibleWithEarlierVersions) {
  const std::string text =
      R"({"author":"ops","content":{"classes":{"media":{"fresh_ms":0,"give_up_ms":4000,"grace_ms":0,)"
      R"("objective_ms":1000,"serve":true,"worth":1.0}},)"
      R"("limits":{"open_requests":0,"retry_after_ms":60000,"work":["probe","fill","report"]}},)"
      R"("digest":"9da779c079628e45f248087ac842580e2d9d8efaa68e6e18ac251c9f8e18c9a6","parent":6,)"
      R"("reason":"evening","schema":1,"version":7})";
  EXPECT_EQ(write_document_text(document_of(7, 6)), text);
  EXPECT_EQ(read_document(text), document_of(7, 6));
}

}  // namespace
}  // namespace trailcourse::policy
