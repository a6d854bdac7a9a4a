// Fencing token: the term of owned work that is sent with an effect, together with the store that granted
// it.
//
// Library `ownership`: no I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ownership/lease.h"

namespace trailcourse::ownership {

struct FencingToken {
  std::uint64_t store = 0;  // identity of the store; terms of two stores cannot be compared
  std::string work;         // "NAME/SHARD"
  Term term = 0;

  friend bool operator==(const FencingToken&, const FencingToken&) = default;
};

// Parses "STORE:WORK/SHARD:TERM". Returns nothing where the text is malformed.
std::optional<FencingToken> parse_fencing_token(std::string_view text);

// Returns the form that parse_fencing_token() reads.
std::string to_string(const FencingToken& token);

}  // namespace trailcourse::ownership
