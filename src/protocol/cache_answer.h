// The router's side of the protocol between routers and caches: writes commands and reads the fields of
// answers, which are exchanged as RESP arrays. The cache's side is cache_command.h.
//
// Library `protocol`: no I/O and no clock.
#pragma once

#include <trailcourse/decider.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trailcourse::protocol {

// Returns whether a value of "name=value,name=value" may contain the character.
constexpr bool is_plain(char c) { return c > ' ' && c < 0x7f && c != ',' && c != '='; }

// The second string of an answer: OK, SAME (the client's copy is current), MISS, BUSY, ERR or VOID (nothing
// was executed).
enum class AnswerCode { kOk, kSame, kMiss, kBusy, kError, kVoid };

// The largest object of the protocol; a larger one cannot be answered.
constexpr std::size_t kMaxObjectBytes = 240'000;

// The fields of an answer that routers use.
struct AnswerFields {
  Note note = Note::kNone;
  Micros waited{0};
  LoadReport load;
};

// Returns nothing for an unknown code.
std::optional<AnswerCode> parse_answer_code(std::string_view name);
// Returns the name of a note in the protocol; empty for Note::kNone.
std::string_view note_name(Note note);
// Returns nothing for an unknown name.
std::optional<Note> parse_note(std::string_view name);

// Reads "name=value,name=value" or "-". Invalid fields are skipped, so that a malformed load report never
// makes an answer unusable. `report_fields` are the fields of a load report that the settings name; others
// are skipped.
AnswerFields read_answer_fields(std::string_view text, const std::vector<std::string>& report_fields);

// The fields of a client's request that are forwarded to a cache unchanged.
struct ForwardedRequest {
  std::string id;
  std::string request_class;
  std::string object;
  std::string part;
  std::string dedupe_key;
  std::string client_tag;  // tag, as in an HTTP ETag, of the copy that the client has; empty: it has none
  std::string body;
  std::string fence{};  // an extension: the fencing token of owned work, which the cache checks
};

// Returns the `serve` command that sends a request to a cache.
std::string write_serve(const ForwardedRequest& request, const SendAttempt& attempt);
// Returns the command that cancels the request with this id.
std::string write_cancel(std::string_view id);

}  // namespace trailcourse::protocol
