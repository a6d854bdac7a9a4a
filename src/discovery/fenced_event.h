// Publishes an event on behalf of owned work: once, and only under a fencing token that is not superseded.
// The terms seen are part of the service's page, so that a term and its first event are on the disk together
// or not at all.
//
// Package `discovery`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

namespace trailcourse::discovery {

// Why an event is rejected.
enum class FencedEventError {
  kInvalidToken,  // the fencing token cannot be read
  kInvalidEvent,  // the call has no identifier, or no event that can be published
  kOtherStore,    // the token is of another coordination store than those before
  kSuperseded     // a later owner has published already
};

// Returns the word that the answer to the caller bears.
const char* to_string(FencedEventError error);

// The effect of a call on the page.
struct FencedEventResult {
  std::uint64_t sequence = 0;  // of the event
  bool duplicate = false;      // the event was published before, under that sequence number
  bool page_changed = false;   // the page has to be stored before the call is answered
};

// Publishes the event of `call`, {"fence": "STORE:WORK/SHARD:TERM", "id": "...", "event": {...}}, in `page`.
// The identifier recognises an event that is sent again because its answer was lost. `page` has passed
// validate_page(); its members "terms" and "store" hold the tokens seen. After an error it is unchanged.
tl::expected<FencedEventResult, FencedEventError> publish_fenced_event(nlohmann::json& page,
                                                                       const nlohmann::json& call);

}  // namespace trailcourse::discovery
