// Fencing token: the term under which an owner sends an effect, with the work and the store that granted it.
//
// Library `ownership`: no I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ownership/lease.h"

namespace trailcourse::ownership {

// The text form is "STORE:NAME/SHARD:TERM".
struct FencingToken {
  std::uint64_t store = 0;  // identity of the coordination store; terms of two stores cannot be compared
  std::string work;         // "NAME/SHARD"
  Term term = 0;

  friend bool operator==(const FencingToken&, const FencingToken&) = default;
};

// Parses the text form. Returns nothing if the text is malformed.
std::optional<FencingToken> parse_fencing_token(std::string_view text);

// Returns the text form.
std::string to_string(const FencingToken& token);

}  // namespace trailcourse::ownership
