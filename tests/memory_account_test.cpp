// Tests the account of the memory that clients can make a process hold.
#include "memory/memory_account.h"

#include <gtest/gtest.h>

#include <memory>
#include <utility>

namespace trailcourse::memory {
namespace {

MemoryAccount::Limits limits() {
  MemoryAccount::Limits out;
  out.total = 100;
  out[MemoryUse::kPartialRequests] = 40;
  return out;
}

TEST(MemoryAccount, KeepsTheLimitOfAUseAndThatOfAll) {
  const auto shared = std::make_shared<MemoryAccount>(limits());
  MemoryAccount& account = *shared;
  EXPECT_TRUE(account.fits(MemoryUse::kPartialRequests, 40));
  EXPECT_FALSE(account.fits(MemoryUse::kPartialRequests, 41));
  const MemoryCharge answers(shared, MemoryUse::kAnswers, 70);
  EXPECT_FALSE(account.fits(MemoryUse::kPartialRequests, 31)) << "the total";
  MemoryCharge partial(shared, MemoryUse::kPartialRequests, 30);
  EXPECT_FALSE(account.exceeded(MemoryUse::kPartialRequests));
  partial.set(31);
  EXPECT_TRUE(account.exceeded(MemoryUse::kPartialRequests));
  EXPECT_TRUE(account.exceeded(MemoryUse::kOpenRequests)) << "all together are over their limit";
  EXPECT_EQ(account.total(), 101U);
}

TEST(MemoryAccount, ReleasesAChargeOnceAndWithItsLastOwner) {
  const auto shared = std::make_shared<MemoryAccount>(limits());
  MemoryAccount& account = *shared;
  {
    MemoryCharge first(shared, MemoryUse::kAnswers, 10);
    const MemoryCharge second(std::move(first));
    EXPECT_EQ(account.used(MemoryUse::kAnswers), 10U);
  }
  EXPECT_EQ(account.total(), 0U);
  EXPECT_EQ(account.peak(), 10U);
}

// Guards against a connection that is freed by the scheduler after the server that charged it.
TEST(MemoryAccount, LivesAsLongAsItsLastCharge) {
  auto account = std::make_shared<MemoryAccount>(limits());
  const std::weak_ptr<MemoryAccount> observed = account;
  {
    const MemoryCharge charge(account, MemoryUse::kAnswers, 10);
    account.reset();
    EXPECT_FALSE(observed.expired());
  }
  EXPECT_TRUE(observed.expired());
}

TEST(MemoryAccount, DescribesAUseForTheLog) {
  const auto shared = std::make_shared<MemoryAccount>(limits());
  MemoryAccount& account = *shared;
  const MemoryCharge charge(shared, MemoryUse::kPartialRequests, 20);
  EXPECT_EQ(account.describe(MemoryUse::kPartialRequests), "partial requests 0 of 0 KB, all 0 of 0 KB");
  EXPECT_EQ(account.describe(MemoryUse::kAnswers), "answers 0 KB, all 0 of 0 KB");
}

}  // namespace
}  // namespace trailcourse::memory
