// Receivers that check the term: what a lower one, another store's, or none that can be remembered is told;
// terms over restarts and failing disks; notices of owned work on the board.
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

// Work is done when the test says so.
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
  // The process ends before the work is done.
  void lose() { jobs_.clear(); }
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
    book.reset();
    std::filesystem::remove_all(folder_);
  }
  void start() {
    book.reset();
    executor.lose();
    book = std::make_unique<TokenStore>(std::shared_ptr<store::Files>(store::open_folder(folder_)), executor);
  }
  // What admit() says; "waits" while it says nothing.
  std::string admit(const std::string& token) {
    const auto said = std::make_shared<std::string>("waits");
    book->admit(token, [said](const std::string& why) { *said = why; });
    last = said;
    return *said;
  }
  // The same with all that is to be written being written.
  std::string admit_whole(const std::string& token) {
    admit(token);
    while (executor.step()) {
    }
    return *last;
  }

  std::string folder_;
  SteppedExecutor executor;
  std::unique_ptr<TokenStore> book;
  std::shared_ptr<std::string> last;
};

TEST_F(TokenStoreTest, AHigherTermIsKeptBeforeItsFirstEffect) {
  EXPECT_EQ(admit("9:w/0:5"), "waits");
  const auto first = last;
  EXPECT_EQ(admit("9:w/0:5"), "waits") << "the second command of the same term waits for the same write";
  EXPECT_EQ(executor.size(), 1U);
  executor.step();
  EXPECT_EQ(*first, "");
  EXPECT_EQ(*last, "");
  EXPECT_EQ(admit("9:w/0:5"), "") << "from now on at once";
  EXPECT_EQ(admit("9:w/0:4"), "fenced");
  EXPECT_EQ(book->counts().refused, 1U);
}

TEST_F(TokenStoreTest, ATermThatIsBeingKeptFencesThoseBeforeItAlready) {
  ASSERT_EQ(admit_whole("9:w/0:5"), "");
  EXPECT_EQ(admit("9:w/0:7"), "waits");
  EXPECT_EQ(admit("9:w/0:6"), "fenced");
  EXPECT_EQ(admit("9:w/0:5"), "fenced");
}

TEST_F(TokenStoreTest, ARestartForgetsNothingThatWasAnswered) {
  ASSERT_EQ(admit_whole("9:w/0:5"), "");
  ASSERT_EQ(admit_whole("9:v/3:8"), "");
  EXPECT_EQ(admit("9:w/0:7"), "waits");
  start();  // it dies before 7 is kept: no effect of 7 was carried out
  EXPECT_EQ(admit("9:w/0:4"), "fenced");
  EXPECT_EQ(admit("9:v/3:7"), "fenced");
  EXPECT_EQ(admit("9:w/0:5"), "");
}

TEST_F(TokenStoreTest, AnotherStoresTermsAreNeverCompared) {
  ASSERT_EQ(admit_whole("9:w/0:5"), "");
  EXPECT_EQ(admit("8:w/0:500"), "fence_other_store");
  EXPECT_EQ(admit("8:other/0:500"), "fence_other_store");
  start();
  EXPECT_EQ(admit("8:w/0:500"), "fence_other_store");
  EXPECT_EQ(book->counts().foreign, 1U);
}

TEST_F(TokenStoreTest, WithoutMemoryNothingIsAdmitted) {
  TokenStore none(nullptr, executor);
  std::string said;
  none.admit("9:w/0:5", [&](const std::string& why) { said = why; });
  EXPECT_EQ(said, "fence_no_memory");
}

TEST_F(TokenStoreTest, ATermThatCannotBeKeptAdmitsNothing) {
  ASSERT_EQ(admit_whole("9:w/0:5"), "");
  std::filesystem::remove_all(folder_);
  EXPECT_EQ(admit_whole("9:w/0:7"), "fence_not_kept");
  EXPECT_EQ(admit("9:w/0:5"), "") << "the owner before goes on: nothing happened under the new term";
}

TEST_F(TokenStoreTest, ASpoiltFileStopsTheReceiver) {
  ASSERT_EQ(admit_whole("9:w/0:5"), "");
  std::fstream file(folder_ + "/terms", std::ios::in | std::ios::out);
  file.seekp(-2, std::ios::end);
  file << "6\n";
  file.close();
  EXPECT_THROW(start(), std::runtime_error);
}

TEST_F(TokenStoreTest, TermsOfDrawnOrderWithDeathsNeverGoBack) {
  std::mt19937_64 random(11);
  std::map<std::string, std::uint64_t> highest;
  for (int round = 0; round < 3'000; ++round) {
    const std::string work = "w/" + std::to_string(random() % 3);
    const std::uint64_t term = 1 + random() % 200;
    const auto said = std::make_shared<std::string>();
    book->admit("9:" + work + ":" + std::to_string(term), [&highest, work, term](const std::string& why) {
      if (why.empty()) {
        EXPECT_GE(term, highest[work]) << "an effect of a lower term after one of a higher";
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

TEST(TokenTest, OnlyWholeTokensAreRead) {
  using ownership::read_token;
  EXPECT_EQ(read_token("9:w/0:5"), (Token{9, "w/0", 5}));
  EXPECT_EQ(to_string(Token{9, "w/0", 5}), "9:w/0:5");
  for (const char* bad : {"", "9", "9:5", "9::5", ":w:5", "9:w:", "0:w:5", "9:w:0", "9:w:x", "x:w:5",
                          "9:w w:5", "9:w:-1", "9:w:99999999999999999999"}) {
    EXPECT_FALSE(read_token(bad)) << bad;
  }
}

// ---- The board ----

json call_of(const std::string& fence, const std::string& id) {
  return {{"fence", fence}, {"id", id}, {"event", {{"flush", {{"asset", "0000000000000001"}, {"ms", 5}}}}}};
}

// The word that the answer to a rejected call bears; empty where the call was accepted.
std::string error_word(json& page, const json& call) {
  const auto result = discovery::publish_fenced_event(page, call);
  return result ? std::string() : discovery::to_string(result.error());
}

TEST(FencedEventTest, AnEventIsPublishedOnceAndOnlyUnderTheLatestTerm) {
  json page = json::parse(R"({"rev": 1, "notices": [{"rev": 1, "pool": {}}]})");
  const auto first = discovery::publish_fenced_event(page, call_of("9:purge/0:5", "p1")).value();
  EXPECT_TRUE(first.page_changed);
  EXPECT_EQ(first.sequence, 2U);
  // Sent again, as its answer was lost; and by the successor, who cannot know.
  const auto again = discovery::publish_fenced_event(page, call_of("9:purge/0:5", "p1")).value();
  EXPECT_TRUE(again.duplicate);
  EXPECT_FALSE(again.page_changed);
  const auto successor = discovery::publish_fenced_event(page, call_of("9:purge/0:8", "p1")).value();
  EXPECT_TRUE(successor.duplicate);
  EXPECT_TRUE(successor.page_changed) << "the higher term has to be kept";
  EXPECT_EQ(successor.sequence, 2U);
  // The owner of before wakes.
  EXPECT_EQ(error_word(page, call_of("9:purge/0:5", "p2")), "fenced");
  EXPECT_EQ(page["notices"].size(), 2U);
  EXPECT_EQ(error_word(page, call_of("8:purge/0:50", "p3")), "fence_other_store");
  EXPECT_EQ(error_word(page, call_of("x", "p3")), "fence_unreadable");
  EXPECT_EQ(error_word(page, {{"fence", "9:purge/0:9"}, {"id", "p"}, {"event", {{"rev", 1}}}}),
            "not_a_notice");
  EXPECT_EQ(error_word(page, json::array()), "fence_unreadable");
  EXPECT_EQ(page["rev"], 2);
}

}  // namespace
}  // namespace trailcourse::fencing
