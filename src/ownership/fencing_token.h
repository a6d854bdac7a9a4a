// The term of owned work as it goes with an effect: which store gave it, for what, and the term itself.
//
// Package `ownership`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ownership/lease.h"

namespace trailcourse::ownership {

struct Token {
  std::uint64_t store = 0;
  std::string work;  // with its shard
  Term term = 0;

  friend bool operator==(const Token&, const Token&) = default;
};

// "STORE:WORK/SHARD:TERM"; nothing where it is not of that form.
std::optional<Token> read_token(std::string_view text);
std::string to_string(const Token& token);

}  // namespace trailcourse::ownership
