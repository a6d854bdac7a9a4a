// The X-Call-Ids of open requests, and of those that may have been executed for a client that has left.
// Neither may begin again: a cache could not tell two requests with one id apart, and an effect would occur
// twice.
//
// Library `routing`: no I/O; the caller passes the time.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_set>
#include <utility>

#include "memory/memory_account.h"

namespace trailcourse::routing {

class CallIdRegistry {
 public:
  using Clock = std::chrono::steady_clock;

  // Whether a request with an id may begin.
  enum class Admission { kAdmitted, kOpen, kReturned };

  explicit CallIdRegistry(const std::shared_ptr<memory::MemoryAccount>& memory)
      : charge_(memory, memory::MemoryUse::kCallIds) {}

  // Opens an id if it may begin.
  Admission open(std::uint64_t id) {
    if (recent_.contains(id) || earlier_.contains(id)) {
      return Admission::kReturned;
    }
    return open_.insert(id).second ? Admission::kAdmitted : Admission::kOpen;
  }

  // Closes an open id. It may begin again.
  void close(std::uint64_t id) { open_.erase(id); }

  // Closes an open id that must not begin again for a while: at least `kRetention`, less only where more than
  // `kMaxIds` are closed so within that time.
  void retire(std::uint64_t id, Clock::time_point now) {
    open_.erase(id);
    if (now - rotated_at_ >= kRetention || recent_.size() >= kMaxIds) {
      earlier_ = std::exchange(recent_, {});
      rotated_at_ = now;
    }
    recent_.insert(id);
    charge_.set((recent_.size() + earlier_.size()) * kEntryBytes);
  }

 private:
  static constexpr std::chrono::seconds kRetention{10};
  static constexpr std::size_t kMaxIds = 8'192;
  static constexpr std::size_t kEntryBytes = 64;  // of a hash table, with its bucket

  std::unordered_set<std::uint64_t> open_;
  std::unordered_set<std::uint64_t> recent_;
  std::unordered_set<std::uint64_t> earlier_;
  Clock::time_point rotated_at_{};
  memory::MemoryCharge charge_;
};

}  // namespace trailcourse::routing
