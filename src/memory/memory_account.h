// The account of the memory that clients can make a process hold: bytes by use, with a limit for each use and
// one for all together. Whoever allocates such memory charges it at its real size (capacity and structure)
// and releases the charge when the memory is freed.
//
// Library `memory`: no I/O and no clock. Not thread-safe.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace trailcourse::memory {

// What memory is used for.
enum class MemoryUse : std::uint8_t {
  kConnections,       // state of each client connection
  kPartialRequests,   // received bytes that are not a complete request yet
  kOpenRequests,      // requests that wait for their answer, and their commands to caches
  kPartialResponses,  // responses of caches that were received in part
  kAnswers,           // answers that clients have not taken
  kCallIds,           // ids of requests that were open before
  kObjects,           // the decision module's table of objects
};
inline constexpr std::size_t kMemoryUses = 7;

// Returns the name of a use as in "partial requests".
std::string_view to_string(MemoryUse use);

class MemoryAccount {
 public:
  static constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();

  struct Limits {
    Limits() { uses.fill(kUnlimited); }
    std::size_t& operator[](MemoryUse use) { return uses[static_cast<std::size_t>(use)]; }
    std::size_t operator[](MemoryUse use) const { return uses[static_cast<std::size_t>(use)]; }

    std::size_t total = kUnlimited;  // bytes
    std::array<std::size_t, kMemoryUses> uses;
  };

  explicit MemoryAccount(const Limits& limits = Limits()) : limits_(limits) {}

  // Returns whether `bytes` more for this use keep both limits.
  bool fits(MemoryUse use, std::size_t bytes) const;
  // Returns whether the use, or all together, are over their limit.
  bool exceeded(MemoryUse use) const { return !fits(use, 0); }

  std::size_t used(MemoryUse use) const { return used_[static_cast<std::size_t>(use)]; }
  std::size_t total() const { return total_; }
  // Returns the largest total so far.
  std::size_t peak() const { return peak_; }
  const Limits& limits() const { return limits_; }
  // Describes the use for a log line, as in "partial requests 120 of 100 KB, all 300 of 900 KB".
  std::string describe(MemoryUse use) const;

 private:
  friend class MemoryCharge;
  void change(MemoryUse use, std::size_t before, std::size_t after);

  Limits limits_;
  std::array<std::size_t, kMemoryUses> used_{};
  std::size_t total_ = 0;
  std::size_t peak_ = 0;
};

// A number of bytes that are charged to an account until this object is destroyed.
class MemoryCharge {
 public:
  // Shares the account, since what is charged may be freed after all else that uses it.
  MemoryCharge(std::shared_ptr<MemoryAccount> account, MemoryUse use, std::size_t bytes = 0)
      : account_(std::move(account)), use_(use) {
    set(bytes);
  }
  MemoryCharge(MemoryCharge&& other) noexcept
      : account_(std::move(other.account_)), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryCharge& operator=(MemoryCharge&&) = delete;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;
  ~MemoryCharge() {
    if (account_) {
      set(0);
    }
  }

  // Charges this many bytes in place of those before.
  void set(std::size_t bytes) {
    account_->change(use_, bytes_, bytes);
    bytes_ = bytes;
  }
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryAccount> account_;
  MemoryUse use_;
  std::size_t bytes_ = 0;
};

}  // namespace trailcourse::memory
