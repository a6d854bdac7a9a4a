// The state of a coordination store, and its database: transactions, leases, history, persistence.
#include <gtest/gtest.h>
#include <unistd.h>

#include <barrier>
#include <filesystem>
#include <random>
#include <thread>

#include "coordination/key_value_database.h"
#include "store_transactions.h"

namespace trailcourse::coordination {
namespace {

using Durability = KeyValueDatabase::Durability;

TEST(KeyValueStateTest, TransactionWithSeveralWritesTakesOneRevision) {
  KeyValueState state{KeyValueLimits{}};
  const Revision before = state.revision();
  const TransactionResult first =
      state.commit(Transaction{{absent("a")}, {Put{"a", "1", 0}, Put{"b", "2", 0}}, {}});
  EXPECT_TRUE(first.succeeded);
  EXPECT_EQ(first.revision, before + 1);
  EXPECT_EQ(state.get(Range{"", true}).size(), 2U);
  const TransactionResult second = state.commit(put_if_absent("a", "3"));
  EXPECT_FALSE(second.succeeded);
  EXPECT_EQ(second.revision, before + 1) << "a transaction that only reads takes no revision";
  ASSERT_EQ(second.results.at(0).found.size(), 1U);
  EXPECT_EQ(second.results[0].found[0].value, "1");
}

TEST(KeyValueStateTest, RecreatedKeyHasAHigherCreateRevision) {
  KeyValueState state{KeyValueLimits{}};
  const LeaseId lease = state.grant(Milliseconds(0), Milliseconds(1'000), 0);
  const Revision first = state.commit(put_if_absent("own", "x", lease)).revision;
  state.expire(Milliseconds(999));
  EXPECT_EQ(state.get(Range{"own", false}).size(), 1U);
  state.expire(Milliseconds(1'000));
  EXPECT_TRUE(state.get(Range{"own", false}).empty());
  const TransactionResult second = state.commit(put_if_absent("own", "y"));
  EXPECT_TRUE(second.succeeded);
  EXPECT_GT(second.revision, first + 1) << "the end of the lease takes a revision, too";
}

TEST(KeyValueStateTest, RejectedCallsChangeNothing) {
  KeyValueLimits limits;
  limits.entries = 2;
  KeyValueState state(limits);
  state.commit(put("a", "1"));
  const auto rejected = [&](const Transaction& transaction) {
    const Revision before = state.revision();
    EXPECT_THROW(state.commit(transaction), OperationRejected);
    EXPECT_EQ(state.revision(), before);
    EXPECT_EQ(state.get(Range{"", true}).size(), 1U);
  };
  rejected(Transaction{{}, {Put{"a", "2", 0}, Put{"a", "3", 0}}, {}});
  rejected(put("b", "2", 77));
  rejected(put("", "2"));
  rejected(put(std::string(1'000, 'k'), "2"));
  rejected(Transaction{{}, {Put{"b", "2", 0}, Put{"c", "3", 0}}, {}});
  // A transaction is also rejected if only the branch that would not be executed is invalid.
  rejected(Transaction{{absent("a")}, {Put{"b", "2", 77}}, {}});
  EXPECT_THROW(state.revoke(5), OperationRejected);
  EXPECT_THROW(state.grant(Milliseconds(0), Milliseconds(0), 0), OperationRejected);
}

TEST(KeyValueStateTest, CompactedHistoryIsRejected) {
  KeyValueLimits limits;
  limits.history = 4;
  KeyValueState state(limits);
  for (int i = 0; i < 10; ++i) {
    state.commit(put("k", std::to_string(i)));
  }
  EXPECT_THROW(state.changes_since(2, Range{"k", false}), OperationRejected);
  const std::vector<KeyChange> last = state.changes_since(state.revision() - 2, Range{"k", false});
  ASSERT_EQ(last.size(), 3U);
  EXPECT_EQ(last.back().entry.value, "9");
  EXPECT_EQ(last.back().entry.version, 10U);
}

// A second state applies random changes of a first one. Both have the same entries, also of keys with leases.
TEST(KeyValueStateTest, ReplicaThatAppliesTheChangesHasTheSameEntries) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    KeyValueState original{KeyValueLimits{}};
    KeyValueState replica{KeyValueLimits{}};
    Milliseconds now{0};
    std::vector<LeaseId> leases;
    for (int i = 0; i < 300; ++i) {
      now += Milliseconds(static_cast<std::int64_t>(random() % 50));
      const std::string key = "k" + std::to_string(random() % 8);
      original.expire(now);
      try {
        switch (random() % 5) {
          case 0:
            leases.push_back(
                original.grant(now, Milliseconds(100 + static_cast<std::int64_t>(random() % 400)), 0));
            break;
          case 1:
            original.commit(Transaction{{}, {Delete{Range{key, random() % 2 == 0}}}, {}});
            break;
          case 2:
            original.revoke(leases.empty() ? 1 : leases[random() % leases.size()]);
            break;
          default:
            original.commit(
                put_if_absent(key, std::to_string(i), leases.empty() ? 0 : leases[random() % leases.size()]));
        }
      } catch (const OperationRejected&) {
      }
      for (const KeyChange& change : original.take_changes()) {
        replica.apply(change);
      }
      ASSERT_EQ(original.entries(), replica.entries()) << "seed " << seed << " step " << i;
    }
    for (const auto& [key, entry] : original.entries()) {
      ASSERT_TRUE(entry.lease == 0 || original.leases().contains(entry.lease)) << "a key outlived its lease";
    }
  }
}

// While one connection creates the file, SQLite returns SQLITE_BUSY to others without waiting.
TEST(KeyValueDatabaseTest, ConcurrentOpenersOfANewDatabaseAllSucceed) {
  constexpr int kRounds = 20;
  constexpr int kOpeners = 6;
  const std::string stem = testing::TempDir() + "trailcourse-opened-" + std::to_string(::getpid()) + "-";
  for (int round = 0; round < kRounds; ++round) {
    const std::string folder = stem + std::to_string(round);
    std::filesystem::remove_all(folder);
    std::vector<std::string> errors(kOpeners);
    std::vector<std::uint64_t> ids(kOpeners);
    std::barrier start(kOpeners);
    std::vector<std::thread> openers;
    for (int i = 0; i < kOpeners; ++i) {
      openers.emplace_back([&, index = static_cast<std::size_t>(i)] {
        start.arrive_and_wait();
        try {
          ids[index] = KeyValueDatabase(folder, KeyValueLimits{}, KeyValueDatabase::Sharing::kShared).id();
        } catch (const std::exception& error) {
          errors[index] = error.what();
        }
      });
    }
    for (std::thread& opener : openers) {
      opener.join();
    }
    EXPECT_EQ(errors, std::vector<std::string>(kOpeners)) << "round " << round;
    EXPECT_EQ(ids, std::vector<std::uint64_t>(kOpeners, ids[0])) << "all openers use the same store";
    std::filesystem::remove_all(folder);
  }
}

TEST(KeyValueDatabaseTest, FailedTransactionChangesNothingAndCommittedDataIsReadBack) {
  const std::string folder = testing::TempDir() + "trailcourse-ledger-" + std::to_string(::getpid());
  std::filesystem::remove_all(folder);
  {
    KeyValueDatabase database(folder, KeyValueLimits{}, KeyValueDatabase::Sharing::kShared);
    database.transact(Milliseconds(0), Durability::kSynced,
                      [](KeyValueState& state) { state.commit(put("a", "1")); });
    EXPECT_THROW(database.transact(Milliseconds(0), Durability::kSynced,
                                   [](KeyValueState& state) {
                                     state.commit(put("a", "2"));
                                     throw SqliteError("injected", nullptr);
                                   }),
                 SqliteError);
    database.transact(Milliseconds(0), Durability::kSynced, [](KeyValueState& state) {
      EXPECT_EQ(state.get(Range{"a", false}).at(0).value, "1")
          << "a change of a failed transaction is not visible";
    });
  }
  KeyValueDatabase reopened(folder, KeyValueLimits{}, KeyValueDatabase::Sharing::kShared);
  reopened.transact(Milliseconds(0), Durability::kSynced,
                    [](KeyValueState& state) { EXPECT_EQ(state.get(Range{"a", false}).at(0).value, "1"); });
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace trailcourse::coordination
