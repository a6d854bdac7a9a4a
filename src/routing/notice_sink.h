// Whoever takes in what the notice board tells.
#pragma once

#include <cstdint>

#include "protocol/notice_board.h"

namespace trailcourse::routing {

class NoticeSink {
 public:
  NoticeSink() = default;
  NoticeSink(const NoticeSink&) = delete;
  NoticeSink& operator=(const NoticeSink&) = delete;
  virtual ~NoticeSink() = default;

  virtual void take(const protocol::NoticePage& page) = 0;
  // The number of the last event taken in: the board is asked for what is later.
  virtual std::uint64_t last() const = 0;
  // The board began anew: its next events are numbered from its start, and the list among them is whole.
  virtual void forget_numbers() {}
};

}  // namespace trailcourse::routing
