// Publishes an event of owned work exactly once, and only under a fencing token that is not superseded. The
// highest term of each shard is part of the page of the service, so that a term and its first event are
// stored together or not at all.
//
// Library `discovery`: no I/O and no clock.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

namespace trailcourse::discovery {

// Why an event is rejected.
enum class FencedEventError {
  kInvalidToken,  // the fencing token is malformed
  kInvalidEvent,  // the call has no identifier, or no event that can be published
  kOtherStore,    // the token is from another coordination store than earlier tokens
  kSuperseded     // a later owner has already published
};

// Returns the name of the error in the answer to the caller.
const char* to_string(FencedEventError error);

// The effect of a call on the page.
struct FencedEventResult {
  std::uint64_t sequence = 0;  // of the event
  bool duplicate = false;      // the event had already been published with that sequence number
  bool page_changed = false;   // the page has to be stored before the call is answered
};

// Publishes the event of `call`, {"fence": "STORE:WORK/SHARD:TERM", "id": "...", "event": {...}}, in `page`.
// The identifier detects an event that is sent again because the answer was lost. `page` has to have passed
// validate_page(); its members "terms" and "store" hold the highest term of each shard and the store of the
// tokens. On an error the page is unchanged.
tl::expected<FencedEventResult, FencedEventError> publish_fenced_event(nlohmann::json& page,
                                                                       const nlohmann::json& call);

}  // namespace trailcourse::discovery
