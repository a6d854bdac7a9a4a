// Whether a page of the board goes on from what is known, is an old one, or comes from a board that began
// anew with its numbers. A page of an older number may come from a stale copy of the board: it changes
// nothing. A board that names itself by an id and has another one now has begun anew. One without an id is
// taken for anew only when it has said nothing but lower numbers for a stated time.
//
// Package `startup`.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "startup/options.h"

namespace trailcourse::startup {

enum class PageVerdict { kTake, kStale, kAnew };

class Numbering {
 public:
  explicit Numbering(Micros anew_after) : anew_after_(anew_after) {}

  // What a snapshot or the configuration knew.
  void starts_with(const std::string& id) { id_ = id; }
  // `last`: the last number taken in. `page_last`, `page_id`: what the page says; no id: it names none.
  PageVerdict judge(Micros now, std::uint64_t last, std::uint64_t page_last, const std::string& page_id);
  const std::string& id() const { return id_; }

 private:
  Micros anew_after_;
  std::string id_;
  std::optional<Micros> lower_since_;
};

}  // namespace trailcourse::startup
