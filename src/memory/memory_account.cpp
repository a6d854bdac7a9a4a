#include "memory/memory_account.h"

#include <algorithm>

namespace trailcourse::memory {
namespace {

constexpr std::array<std::string_view, kMemoryUses> kNames{
    "connections", "partial requests", "open requests", "partial responses",
    "answers",     "call ids",         "objects"};

std::string kilobytes(std::size_t bytes) {
  constexpr std::size_t kKilobyte = 1024;
  return std::to_string(bytes / kKilobyte);
}

std::string used_of(std::size_t used, std::size_t limit) {
  return limit == MemoryAccount::kUnlimited ? kilobytes(used) + " KB"
                                            : kilobytes(used) + " of " + kilobytes(limit) + " KB";
}

}  // namespace

std::string_view to_string(MemoryUse use) { return kNames[static_cast<std::size_t>(use)]; }

bool MemoryAccount::fits(MemoryUse use, std::size_t bytes) const {
  const std::size_t limit = limits_[use];
  return used(use) <= limit && bytes <= limit - used(use) && total_ <= limits_.total &&
         bytes <= limits_.total - total_;
}

std::string MemoryAccount::describe(MemoryUse use) const {
  return std::string(to_string(use)) + " " + used_of(used(use), limits_[use]) + ", all " +
         used_of(total_, limits_.total);
}

void MemoryAccount::change(MemoryUse use, std::size_t before, std::size_t after) {
  used_[static_cast<std::size_t>(use)] += after - before;
  total_ += after - before;
  peak_ = std::max(peak_, total_);
}

}  // namespace trailcourse::memory
