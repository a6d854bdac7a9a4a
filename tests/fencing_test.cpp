// Receivers that check fencing terms: lower terms, terms of another store, receivers without storage,
// restarts and failing disks; and fenced events at the discovery service.
#include <gtest/gtest.h>
#include <unistd.h>

#include <deque>
#include <filesystem>
#include <fstream>
#include <random>

#include "discovery/fenced_event.h"
#include "fencing/token_store.h"
#include "store/files.h"

namespace trailcourse::fencing {
namespace {

using nlohmann::json;

// Executes a job when the test calls step().
class SteppedExecutor : public store::Executor {
 public:
  void run(Lane, std::function<void()> work, std::function<void()> done) override {
    jobs_.emplace_back(std::move(work), std::move(done));
  }
  bool step() {
    if (jobs_.empty()) {
      return false;
    }
    auto [work, done] = std::move(jobs_.front());
    jobs_.pop_front();
    work();
    done();
    return true;
  }
  // Drops the jobs, as if the process ended before they were executed.
  void discard() { jobs_.clear(); }
  std::size_t size() const { return jobs_.size(); }

 private:
  std::deque<std::pair<std::function<void()>, std::function<void()>>> jobs_;
};

class TokenStoreTest : public testing::Test {
 protected:
  TokenStoreTest() {
    folder_ = testing::TempDir() + "trailcourse-terms-" + std::to_string(::getpid());
    std::filesystem::remove_all(folder_);
    start();
  }
  ~TokenStoreTest() override {
    tokens.reset();
    std::filesystem::remove_all(folder_);
  }
  void start() {
    tokens.reset();
    executor.discard();
    tokens = std::make_unique<TokenStore>(std::shared_ptr<store::Directory>(store::open_folder(folder_)),
                                          executor);
  }
  // Returns the error code of admit(); "waits" if it has not decided yet.
  std::string admit(const std::string& token) {
    const auto code = std::make_shared<std::string>("waits");
    tokens->admit(token, [code](AdmitResult result) { *code = error_code(result); });
    last_code = code;
    return *code;
  }
  // Returns the error code of admit() after all writes are executed.
  std::string admit_and_write(const std::string& token) {
    admit(token);
    while (executor.step()) {
    }
    return *last_code;
  }

  std::string folder_;
  SteppedExecutor executor;
  std::unique_ptr<TokenStore> tokens;
  std::shared_ptr<std::string> last_code;
};

TEST_F(TokenStoreTest, HigherTermIsPersistedBeforeItsFirstEffect) {
  EXPECT_EQ(admit("9:w/0:5"), "waits");
  const auto first = last_code;
  EXPECT_EQ(admit("9:w/0:5"), "waits") << "the second command of the same term waits for the same write";
  EXPECT_EQ(executor.size(), 1U);
  executor.step();
  EXPECT_EQ(*first, "");
  EXPECT_EQ(*last_code, "");
  EXPECT_EQ(admit("9:w/0:5"), "") << "a durable term is admitted at once";
  EXPECT_EQ(admit("9:w/0:4"), "fenced");
  EXPECT_EQ(tokens->counts().rejected, 1U);
}

TEST_F(TokenStoreTest, TermThatIsBeingWrittenRejectsLowerTerms) {
  ASSERT_EQ(admit_and_write("9:w/0:5"), "");
  EXPECT_EQ(admit("9:w/0:7"), "waits");
  EXPECT_EQ(admit("9:w/0:6"), "fenced");
  EXPECT_EQ(admit("9:w/0:5"), "fenced");
}

TEST_F(TokenStoreTest, AdmittedTermsSurviveARestart) {
  ASSERT_EQ(admit_and_write("9:w/0:5"), "");
  ASSERT_EQ(admit_and_write("9:v/3:8"), "");
  EXPECT_EQ(admit("9:w/0:7"), "waits");
  start();  // the receiver crashes before 7 is durable, so no effect of 7 was executed
  EXPECT_EQ(admit("9:w/0:4"), "fenced");
  EXPECT_EQ(admit("9:v/3:7"), "fenced");
  EXPECT_EQ(admit("9:w/0:5"), "");
}

TEST_F(TokenStoreTest, TermsOfAnotherStoreAreRejected) {
  ASSERT_EQ(admit_and_write("9:w/0:5"), "");
  EXPECT_EQ(admit("8:w/0:500"), "fence_other_store");
  EXPECT_EQ(admit("8:other/0:500"), "fence_other_store");
  start();
  EXPECT_EQ(admit("8:w/0:500"), "fence_other_store");
  EXPECT_EQ(tokens->counts().other_store, 1U);
}

TEST_F(TokenStoreTest, NothingIsAdmittedWithoutStorage) {
  TokenStore none(nullptr, executor);
  std::string code;
  none.admit("9:w/0:5", [&](AdmitResult result) { code = error_code(result); });
  EXPECT_EQ(code, "fence_no_memory");
}

TEST_F(TokenStoreTest, TermThatCannotBePersistedAdmitsNothing) {
  ASSERT_EQ(admit_and_write("9:w/0:5"), "");
  std::filesystem::remove_all(folder_);
  EXPECT_EQ(admit_and_write("9:w/0:7"), "fence_not_kept");
  EXPECT_EQ(admit("9:w/0:5"), "") << "no effect of term 7 was executed, so the owner of term 5 may continue";
}

TEST_F(TokenStoreTest, DamagedFileStopsTheReceiver) {
  ASSERT_EQ(admit_and_write("9:w/0:5"), "");
  std::fstream file(folder_ + "/terms", std::ios::in | std::ios::out);
  file.seekp(-2, std::ios::end);
  file << "6\n";
  file.close();
  EXPECT_THROW(start(), std::runtime_error);
}

TEST_F(TokenStoreTest, AdmittedTermsNeverDecreaseInRandomOrderWithRestarts) {
  std::mt19937_64 random(11);
  std::map<std::string, std::uint64_t> highest;
  for (int round = 0; round < 3'000; ++round) {
    const std::string work = "w/" + std::to_string(random() % 3);
    const std::uint64_t term = 1 + random() % 200;
    tokens->admit("9:" + work + ":" + std::to_string(term), [&highest, work, term](AdmitResult result) {
      if (result == AdmitResult::kAdmitted) {
        EXPECT_GE(term, highest[work]) << "an effect of a lower term after one of a higher term";
        highest[work] = std::max(highest[work], term);
      }
    });
    while (random() % 2 == 0 && executor.step()) {
    }
    if (random() % 100 == 0) {
      start();
    }
  }
}

TEST(TokenTest, OnlyWellFormedTokensAreParsed) {
  using ownership::parse_fencing_token;
  EXPECT_EQ(parse_fencing_token("9:w/0:5"), (FencingToken{9, "w/0", 5}));
  EXPECT_EQ(to_string(FencingToken{9, "w/0", 5}), "9:w/0:5");
  for (const char* bad : {"", "9", "9:5", "9::5", ":w:5", "9:w:", "0:w:5", "9:w:0", "9:w:x", "x:w:5",
                          "9:w w:5", "9:w:-1", "9:w:99999999999999999999"}) {
    EXPECT_FALSE(parse_fencing_token(bad)) << bad;
  }
}

// ---- Discovery service ----

json fenced_call(const std::string& fence, const std::string& id) {
  return {{"fence", fence}, {"id", id}, {"event", {{"flush", {{"asset", "0000000000000001"}, {"ms", 5}}}}}};
}

// Returns the error code of a rejected call; empty if the call was accepted.
std::string publish_error(json& page, const json& call) {
  const auto result = discovery::publish_fenced_event(page, call);
  return result ? std::string() : discovery::to_string(result.error());
}

TEST(FencedEventTest, AnEventIsPublishedOnceAndOnlyUnderTheLatestTerm) {
  json page = json::parse(R"({"rev": 1, "notices": [{"rev": 1, "pool": {}}]})");
  const auto first = discovery::publish_fenced_event(page, fenced_call("9:purge/0:5", "p1")).value();
  EXPECT_TRUE(first.page_changed);
  EXPECT_EQ(first.sequence, 2U);
  // The owner sends the event again because the response was lost, and then its successor sends it.
  const auto repeated = discovery::publish_fenced_event(page, fenced_call("9:purge/0:5", "p1")).value();
  EXPECT_TRUE(repeated.duplicate);
  EXPECT_FALSE(repeated.page_changed);
  const auto successor = discovery::publish_fenced_event(page, fenced_call("9:purge/0:8", "p1")).value();
  EXPECT_TRUE(successor.duplicate);
  EXPECT_TRUE(successor.page_changed) << "the higher term has to be stored";
  EXPECT_EQ(successor.sequence, 2U);
  // The former owner sends another event.
  EXPECT_EQ(publish_error(page, fenced_call("9:purge/0:5", "p2")), "fenced");
  EXPECT_EQ(page["notices"].size(), 2U);
  EXPECT_EQ(publish_error(page, fenced_call("8:purge/0:50", "p3")), "fence_other_store");
  EXPECT_EQ(publish_error(page, fenced_call("x", "p3")), "fence_unreadable");
  EXPECT_EQ(publish_error(page, {{"fence", "9:purge/0:9"}, {"id", "p"}, {"event", {{"rev", 1}}}}),
            "not_a_notice");
  EXPECT_EQ(publish_error(page, json::array()), "fence_unreadable");
  EXPECT_EQ(page["rev"], 2);
}

}  // namespace
}  // namespace trailcourse::fencing
