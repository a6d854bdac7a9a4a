#include "protocol/cache_command.h"

#include <algorithm>
#include <array>

#include "protocol/numbers.h"
#include "protocol/resp.h"

namespace trailcourse::protocol {
namespace {

constexpr std::size_t kMaxClassBytes = 64;
constexpr std::size_t kMaxItemBytes = 256;
constexpr std::size_t kMaxValueBytes = 128;
constexpr std::size_t kMaxFenceBytes = 192;
constexpr std::int64_t kMaxLimitMs = 3'600'000;
constexpr std::int64_t kMaxAgeMs = std::int64_t{100} * 365 * 86'400'000;
constexpr int kMaxKeepRank = 3;
constexpr std::uint64_t kMaxRangeBytes = std::uint64_t{1} << 40U;

bool is_plain_value(std::string_view text, std::size_t max) {
  return !text.empty() && text.size() <= max && std::all_of(text.begin(), text.end(), is_plain);
}

std::optional<ByteRange> parse_range(std::string_view text) {
  const std::size_t dash = text.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto from = read_number<std::uint64_t>(text.substr(0, dash));
  const auto length = read_number<std::uint64_t>(text.substr(dash + 1));
  const bool good = from && length && *from <= kMaxRangeBytes && *length <= kMaxRangeBytes && *length > 0;
  return good ? std::optional<ByteRange>(ByteRange{*from, *length}) : std::nullopt;
}

std::string to_text(const ByteRange& span) {
  return std::to_string(span.from) + '-' + std::to_string(span.length);
}

// Sets one text field. Returns false if its value is invalid, and nothing if the name is unknown.
std::optional<bool> set_text(ServeFields& out, std::string_view name, std::string_view value) {
  struct Text {
    std::string_view name;
    std::string ServeFields::* member;
    std::size_t max;
  };
  constexpr std::array<Text, 8> kTextFields{{{"cls", &ServeFields::request_class, kMaxClassBytes},
                                             {"item", &ServeFields::item, kMaxItemBytes},
                                             {"chunk", &ServeFields::chunk, kMaxValueBytes},
                                             {"nonce", &ServeFields::idempotency_key, kMaxValueBytes},
                                             {"next", &ServeFields::source, kMaxValueBytes},
                                             {"cached", &ServeFields::client_tag, kMaxValueBytes},
                                             {"match", &ServeFields::expected_tag, kMaxValueBytes},
                                             {"fence", &ServeFields::fence, kMaxFenceBytes}}};
  for (const Text& text : kTextFields) {
    if (text.name == name) {
      out.*text.member = value;
      return is_plain_value(value, text.max);
    }
  }
  return std::nullopt;
}

bool set_flags(ServeFields& out, std::string_view value) {
  while (!value.empty()) {
    const std::string_view flag = value.substr(0, value.find('+'));
    value.remove_prefix(std::min(value.size(), flag.size() + 1));
    if (flag == "join") {
      out.join_fill = true;
    } else if (flag == "held") {
      out.only_if_cached = true;
    } else if (flag == "nocopy") {
      out.no_copy = true;
    } else if (flag == "renew") {
      out.renew = true;
    } else {
      return false;
    }
  }
  return true;
}

template <typename Number>
bool set_number(Number& out, std::string_view value, Number min, Number max) {
  const std::optional<Number> number = read_number<Number>(value);
  if (!number || *number < min || *number > max) {
    return false;
  }
  out = *number;
  return true;
}

// Sets one field. Returns the same as set_text().
std::optional<bool> set_field(ServeFields& out, std::string_view name, std::string_view value) {
  if (const std::optional<bool> text = set_text(out, name, value)) {
    return text;
  }
  if (name == "limit") {
    return set_number<std::int64_t>(out.limit_ms, value, 1, kMaxLimitMs);
  }
  if (name == "agelim") {
    return set_number<std::int64_t>(out.age_limit_ms, value, 0, kMaxAgeMs);
  }
  if (name == "admit") {
    return set_number(out.keep_rank, value, 0, kMaxKeepRank);
  }
  if (name == "ways") {
    return set_flags(out, value);
  }
  if (name == "span") {
    out.range = parse_range(value);
    return out.range.has_value();
  }
  return std::nullopt;
}

// Calls `on_field(name, value, is_field)` for each entry of the list until it returns false. `is_field` is
// false for an entry without "=". Returns whether all entries were accepted.
template <typename OnField>
bool each_field(std::string_view list, OnField on_field) {
  while (!list.empty()) {
    const std::string_view field = list.substr(0, list.find(','));
    const bool more = field.size() < list.size();
    list.remove_prefix(field.size() + (more ? 1 : 0));
    const std::size_t middle = field.find('=');
    const bool is_field = middle != std::string_view::npos;
    if (!on_field(field.substr(0, middle), is_field ? field.substr(middle + 1) : std::string_view(),
                  is_field)) {
      return false;
    }
  }
  return true;
}

// Builds "name=value,name=value"; fields without a value are left out.
class FieldList {
 public:
  FieldList& add(std::string_view name, std::string_view value) {
    if (!value.empty()) {
      text_.append(text_.empty() ? "" : ",").append(name).append("=").append(value);
    }
    return *this;
  }
  FieldList& add(std::string_view name, std::int64_t value, bool present) {
    return present ? add(name, std::to_string(value)) : *this;
  }
  std::string build() { return text_.empty() ? "-" : std::move(text_); }

 private:
  std::string text_;
};

}  // namespace

std::variant<ServeFields, std::string> read_serve_fields(std::string_view text) {
  ServeFields out;
  std::string error;
  if (text != "-") {
    std::vector<std::string_view> seen;
    each_field(text, [&](std::string_view name, std::string_view value, bool is_field) {
      if (!is_field) {
        error = "no field: " + std::string(name.substr(0, kMaxClassBytes));
        return false;
      }
      if (std::find(seen.begin(), seen.end(), name) != seen.end()) {
        error = "twice: " + std::string(name);
        return false;
      }
      seen.push_back(name);
      const std::optional<bool> good = set_field(out, name, value);
      if (!good) {
        error = "unknown field: " + std::string(name.substr(0, kMaxClassBytes));
      } else if (!*good) {
        error = "bad value: " + std::string(name);
      }
      return error.empty();
    });
  }
  if (error.empty() && out.request_class.empty()) {
    error = "missing: cls";
  }
  if (error.empty() && out.limit_ms == 0) {
    error = "missing: limit";
  }
  if (error.empty() && !out.expected_tag.empty() != out.range.has_value()) {
    error = "span and match go together";
  }
  if (!error.empty()) {
    return error;
  }
  return out;
}

std::string write_serve_fields(const ServeFields& fields) {
  std::string ways;
  const auto add_flag = [&ways](bool set, const char* flag) {
    if (set) {
      ways += (ways.empty() ? "" : "+") + std::string(flag);
    }
  };
  add_flag(fields.join_fill, "join");
  add_flag(fields.only_if_cached, "held");
  add_flag(fields.no_copy, "nocopy");
  add_flag(fields.renew, "renew");
  FieldList list;
  list.add("cls", fields.request_class)
      .add("item", fields.item)
      .add("chunk", fields.chunk)
      .add("limit", fields.limit_ms, true)
      .add("nonce", fields.idempotency_key)
      .add("next", fields.source)
      .add("admit", fields.keep_rank, fields.keep_rank > 0)
      .add("agelim", fields.age_limit_ms, fields.age_limit_ms > 0)
      .add("ways", ways)
      .add("cached", fields.client_tag)
      .add("span", fields.range ? to_text(*fields.range) : "")
      .add("match", fields.expected_tag)
      .add("fence", fields.fence);
  return list.build();
}

std::string write_serve(std::string_view id, const ServeFields& fields, std::string_view body) {
  return resp::write_array({"serve", id, write_serve_fields(fields), body});
}

std::string_view answer_code_name(AnswerCode code) {
  switch (code) {
    case AnswerCode::kOk:
      return "OK";
    case AnswerCode::kSame:
      return "SAME";
    case AnswerCode::kMiss:
      return "MISS";
    case AnswerCode::kBusy:
      return "BUSY";
    case AnswerCode::kError:
      return "ERR";
    case AnswerCode::kVoid:
      break;
  }
  return "VOID";
}

std::string write_answer(std::string_view id, AnswerCode code, const CacheAnswer& answer,
                         std::string_view body) {
  FieldList list;
  list.add("sum", answer.tag)
      .add("t0", answer.origin_time_ms, answer.origin_time_ms != 0)
      .add("tell", note_name(answer.note))
      .add("slow", answer.waited_ms, answer.waited_ms > 0)
      .add("group", answer.group, answer.group >= 0)
      .add("span", answer.range ? to_text(*answer.range) : "")
      .add("whole", static_cast<std::int64_t>(answer.total_length), answer.range.has_value())
      .add("why", plain_value(answer.error_reason))
      .add("meter", answer.load_report);
  return resp::write_array({id, answer_code_name(code), list.build(), body});
}

CacheAnswer read_cache_answer(std::string_view text) {
  CacheAnswer out;
  each_field(text, [&out](std::string_view name, std::string_view value, bool) {
    if (name == "sum" && is_plain_value(value, kMaxValueBytes)) {
      out.tag = value;
    } else if (name == "t0") {
      set_number<std::int64_t>(out.origin_time_ms, value, 0, INT64_MAX / 4);
    } else if (name == "tell") {
      out.note = parse_note(value).value_or(out.note);
    } else if (name == "group") {
      set_number(out.group, value, 0, 65'534);
    } else if (name == "span") {
      out.range = parse_range(value);
    } else if (name == "whole") {
      set_number<std::uint64_t>(out.total_length, value, 0, kMaxRangeBytes);
    } else if (name == "why") {
      out.error_reason = value.substr(0, kMaxValueBytes);
    }
    return true;
  });
  return out;
}

std::string plain_value(std::string_view text) {
  std::string out(text);
  std::replace_if(out.begin(), out.end(), [](char c) { return !is_plain(c); }, '_');
  return out;
}

}  // namespace trailcourse::protocol
