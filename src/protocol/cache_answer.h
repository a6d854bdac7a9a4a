// The words and fields that routers and caches exchange inside RESP arrays.
#pragma once

#include <trailcourse/decider.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trailcourse::protocol {

// Whether a character can stand in a value of "name=value,name=value".
constexpr bool is_plain(char c) { return c > ' ' && c < 0x7f && c != ',' && c != '='; }

enum class AnswerCode { kOk, kSame, kMiss, kBusy, kError, kVoid };

// The most that an object may hold, by the protocol of routers and caches; nothing larger can be answered.
constexpr std::size_t kMaxObjectBytes = 240'000;

// What an answer tells beside its bytes.
struct AnswerFields {
  Note note = Note::kNone;
  Micros waited{0};
  LoadReport load;
};

std::optional<AnswerCode> parse_answer_code(std::string_view word);
// The word for a note; empty for none.
std::string_view note_name(Note note);
std::optional<Note> parse_note(std::string_view word);

// Reads "name=value,name=value" or "-"; what cannot be used is passed over, so that a bad report never costs
// an answer. `report_fields` are the names of the settings that a load report may hold.
AnswerFields read_answer_fields(std::string_view text, const std::vector<std::string>& report_fields);

// What of a client's request goes on as the bytes that came.
struct Passed {
  std::string id;
  std::string request_class;
  std::string object;
  std::string part;
  std::string dedupe_key;
  std::string held_tag;
  std::string body;
  std::string fence{};  // an addition: of owned work, the term that the cache checks
};

// The command that asks a cache.
std::string write_serve(const Passed& passed, const SendAttempt& order);
std::string write_cancel(std::string_view id);

}  // namespace trailcourse::protocol
