// The cache's side of the protocol between routers and caches: commands read, answers written. The router's
// side is cache_answer.h.
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

// A stretch of a value's bytes. An addition of this project's: a cache that holds parts of a copy asks its
// source for the missing ones alone. A source that does not know it answers with the whole, which is taken as
// such.
struct Span {
  std::uint64_t from = 0;
  std::uint64_t length = 0;

  friend bool operator==(const Span&, const Span&) = default;
};

// The fields of `serve`, as they came where they go on, and read where they decide.
struct ServeFields {
  std::string request_class;
  std::string item;
  std::string chunk;
  std::string nonce;
  std::string next;    // the source; empty: no fill
  std::string cached;  // the bare tag of the client's copy
  std::int64_t limit_ms = 0;
  std::int64_t age_limit_ms = 0;  // 0: the fresh time of the class
  int admit = 0;
  bool join = false;
  bool held = false;
  bool no_copy = false;
  bool renew = false;
  std::optional<Span> span;
  std::string match;  // with `span`: only of the copy of this tag
  std::string fence;  // an addition: of owned work, "STORE:WORK/SHARD:TERM"
};

// The fields, or what is wrong with them, in words that name the field.
std::variant<ServeFields, std::string> read_serve_fields(std::string_view text);
std::string write_serve_fields(const ServeFields& fields);
std::string write_serve(std::string_view id, const ServeFields& fields, std::string_view body);

// What an answer tells beside its bytes, as a cache writes it.
struct CacheAnswer {
  std::string tag;
  std::int64_t t0_ms = 0;
  Note note = Note::kNone;
  std::int64_t waited_ms = 0;
  int group = -1;  // an addition: the purge group, where the source knows it
  std::optional<Span> span;
  std::uint64_t whole = 0;  // with `span`: the length of the whole value
  std::string why;          // an addition: what was wrong with a request, in one word of plain characters
  std::string meter;        // the load report
};

std::string_view answer_code_name(AnswerCode word);
std::string write_answer(std::string_view id, AnswerCode word, const CacheAnswer& out, std::string_view body);

// What a cache reads of its source's answer; fields that cannot be used are passed over.
CacheAnswer read_cache_answer(std::string_view text);

// Characters that cannot stand in a field's value become '_'.
std::string plain_value(std::string_view text);

}  // namespace trailcourse::protocol
