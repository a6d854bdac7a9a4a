// The cache's side of the protocol between routers and caches: reads commands and writes answers. The
// router's side is cache_answer.h.
//
// Library `protocol`: no I/O and no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "protocol/cache_answer.h"

namespace trailcourse::protocol {

// A range of a value's bytes. An extension of the protocol: a cache that has stored some parts of a copy
// requests only the missing ones from its source. A source without this extension answers with the complete
// value, which is accepted as such.
struct ByteRange {
  std::uint64_t from = 0;
  std::uint64_t length = 0;

  friend bool operator==(const ByteRange&, const ByteRange&) = default;
};

// The fields of the command `serve`.
struct ServeFields {
  std::string request_class;
  std::string item;
  std::string chunk;
  std::string idempotency_key;    // of a write
  std::string source;             // from which a miss is filled; empty: no fill
  std::string client_tag;         // tag of the copy that the client has, without quotes; empty: it has none
  std::int64_t limit_ms = 0;      // time limit for the answer
  std::int64_t age_limit_ms = 0;  // 0: `fresh_ms` of the class
  int keep_rank = 0;              // 0: the copy is not stored
  bool join_fill = false;         // may share a fill that is in progress
  bool only_if_cached = false;    // the source must not fill
  bool no_copy = false;           // the source must not store a copy
  bool renew = false;             // a stale copy that is served is also refreshed
  std::optional<ByteRange> range;
  std::string expected_tag;  // with `range`: the tag that the copy must have
  std::string fence;         // an extension: the fencing token of owned work, "STORE:WORK/SHARD:TERM"
};

// Returns the fields, or an error message that names the invalid field.
std::variant<ServeFields, std::string> read_serve_fields(std::string_view text);
// Returns the fields as read_serve_fields() reads them.
std::string write_serve_fields(const ServeFields& fields);
// Returns the `serve` command.
std::string write_serve(std::string_view id, const ServeFields& fields, std::string_view body);

// The fields of an answer, as a cache writes them.
struct CacheAnswer {
  std::string tag;
  std::int64_t origin_time_ms = 0;  // Unix time at which the origin sent the copy; 0: unknown
  Note note = Note::kNone;
  std::int64_t waited_ms = 0;  // time that the request waited for a fill
  int group = -1;              // an extension: the purge group; -1: unknown
  std::optional<ByteRange> range;
  std::uint64_t total_length = 0;  // with `range`: of the complete value, in bytes
  std::string error_reason;        // an extension: why a request was rejected
  std::string load_report;         // as in "inflight:7;util:0.61"
};

// Returns the code as it is sent.
std::string_view answer_code_name(AnswerCode code);
// Returns the answer to the request with this id.
std::string write_answer(std::string_view id, AnswerCode code, const CacheAnswer& answer,
                         std::string_view body);

// Reads the fields that a cache uses of its source's answer; invalid fields are skipped.
CacheAnswer read_cache_answer(std::string_view text);

// Replaces each character that is not allowed in a field's value by '_'.
std::string plain_value(std::string_view text);

}  // namespace trailcourse::protocol
