#include "protocol/cache_command.h"

#include <algorithm>
#include <array>

#include "protocol/numbers.h"
#include "protocol/resp.h"

namespace trailcourse::protocol {
namespace {

constexpr std::size_t kMostClass = 64;
constexpr std::size_t kMostItem = 256;
constexpr std::size_t kMostWord = 128;
constexpr std::size_t kMostFence = 192;
constexpr std::int64_t kMostLimitMs = 3'600'000;
constexpr std::int64_t kMostAgeMs = std::int64_t{100} * 365 * 86'400'000;
constexpr int kMostRank = 3;
constexpr std::uint64_t kMostSpan = std::uint64_t{1} << 40U;

bool plain_word(std::string_view text, std::size_t most) {
  return !text.empty() && text.size() <= most && std::all_of(text.begin(), text.end(), is_plain);
}

std::optional<Span> read_span(std::string_view text) {
  const std::size_t dash = text.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto from = read_number<std::uint64_t>(text.substr(0, dash));
  const auto length = read_number<std::uint64_t>(text.substr(dash + 1));
  const bool good = from && length && *from <= kMostSpan && *length <= kMostSpan && *length > 0;
  return good ? std::optional<Span>(Span{*from, *length}) : std::nullopt;
}

std::string to_text(const Span& span) {
  return std::to_string(span.from) + '-' + std::to_string(span.length);
}

// Sets one field; false where its value cannot be used, nothing where the name is unknown.
std::optional<bool> set_text(ServeFields& out, std::string_view name, std::string_view value) {
  struct Text {
    std::string_view name;
    std::string ServeFields::* member;
    std::size_t most;
  };
  constexpr std::array<Text, 8> kTexts{{{"cls", &ServeFields::request_class, kMostClass},
                                        {"item", &ServeFields::item, kMostItem},
                                        {"chunk", &ServeFields::chunk, kMostWord},
                                        {"nonce", &ServeFields::nonce, kMostWord},
                                        {"next", &ServeFields::next, kMostWord},
                                        {"cached", &ServeFields::cached, kMostWord},
                                        {"match", &ServeFields::match, kMostWord},
                                        {"fence", &ServeFields::fence, kMostFence}}};
  for (const Text& text : kTexts) {
    if (text.name == name) {
      out.*text.member = value;
      return plain_word(value, text.most);
    }
  }
  return std::nullopt;
}

bool set_ways(ServeFields& out, std::string_view value) {
  while (!value.empty()) {
    const std::string_view way = value.substr(0, value.find('+'));
    value.remove_prefix(std::min(value.size(), way.size() + 1));
    if (way == "join") {
      out.join = true;
    } else if (way == "held") {
      out.held = true;
    } else if (way == "nocopy") {
      out.no_copy = true;
    } else if (way == "renew") {
      out.renew = true;
    } else {
      return false;
    }
  }
  return true;
}

template <typename Number>
bool set_number(Number& out, std::string_view value, Number least, Number most) {
  const std::optional<Number> number = read_number<Number>(value);
  if (!number || *number < least || *number > most) {
    return false;
  }
  out = *number;
  return true;
}

std::optional<bool> set_field(ServeFields& out, std::string_view name, std::string_view value) {
  if (const std::optional<bool> text = set_text(out, name, value)) {
    return text;
  }
  if (name == "limit") {
    return set_number<std::int64_t>(out.limit_ms, value, 1, kMostLimitMs);
  }
  if (name == "agelim") {
    return set_number<std::int64_t>(out.age_limit_ms, value, 0, kMostAgeMs);
  }
  if (name == "admit") {
    return set_number(out.admit, value, 0, kMostRank);
  }
  if (name == "ways") {
    return set_ways(out, value);
  }
  if (name == "span") {
    out.span = read_span(value);
    return out.span.has_value();
  }
  return std::nullopt;
}

// Calls `take(name, value)` for each field; false at the first that it refuses, or that is none.
template <typename Take>
bool each_field(std::string_view list, Take take) {
  while (!list.empty()) {
    const std::string_view field = list.substr(0, list.find(','));
    const bool more = field.size() < list.size();
    list.remove_prefix(field.size() + (more ? 1 : 0));
    const std::size_t middle = field.find('=');
    const bool is_field = middle != std::string_view::npos;
    if (!take(field.substr(0, middle), is_field ? field.substr(middle + 1) : std::string_view(), is_field)) {
      return false;
    }
  }
  return true;
}

class FieldList {
 public:
  FieldList& add(std::string_view name, std::string_view value) {
    if (!value.empty()) {
      text_.append(text_.empty() ? "" : ",").append(name).append("=").append(value);
    }
    return *this;
  }
  FieldList& add(std::string_view name, std::int64_t value, bool wanted) {
    return wanted ? add(name, std::to_string(value)) : *this;
  }
  std::string take() { return text_.empty() ? "-" : std::move(text_); }

 private:
  std::string text_;
};

}  // namespace

std::variant<ServeFields, std::string> read_serve_fields(std::string_view text) {
  ServeFields out;
  std::string fault;
  if (text != "-") {
    std::vector<std::string_view> seen;
    each_field(text, [&](std::string_view name, std::string_view value, bool is_field) {
      if (!is_field) {
        fault = "no field: " + std::string(name.substr(0, kMostClass));
        return false;
      }
      if (std::find(seen.begin(), seen.end(), name) != seen.end()) {
        fault = "twice: " + std::string(name);
        return false;
      }
      seen.push_back(name);
      const std::optional<bool> good = set_field(out, name, value);
      if (!good) {
        fault = "unknown field: " + std::string(name.substr(0, kMostClass));
      } else if (!*good) {
        fault = "bad value: " + std::string(name);
      }
      return fault.empty();
    });
  }
  if (fault.empty() && out.request_class.empty()) {
    fault = "missing: cls";
  }
  if (fault.empty() && out.limit_ms == 0) {
    fault = "missing: limit";
  }
  if (fault.empty() && !out.match.empty() != out.span.has_value()) {
    fault = "span and match go together";
  }
  if (!fault.empty()) {
    return fault;
  }
  return out;
}

std::string write_serve_fields(const ServeFields& fields) {
  std::string ways;
  const auto way = [&ways](bool wanted, const char* word) {
    if (wanted) {
      ways += (ways.empty() ? "" : "+") + std::string(word);
    }
  };
  way(fields.join, "join");
  way(fields.held, "held");
  way(fields.no_copy, "nocopy");
  way(fields.renew, "renew");
  FieldList list;
  list.add("cls", fields.request_class)
      .add("item", fields.item)
      .add("chunk", fields.chunk)
      .add("limit", fields.limit_ms, true)
      .add("nonce", fields.nonce)
      .add("next", fields.next)
      .add("admit", fields.admit, fields.admit > 0)
      .add("agelim", fields.age_limit_ms, fields.age_limit_ms > 0)
      .add("ways", ways)
      .add("cached", fields.cached)
      .add("span", fields.span ? to_text(*fields.span) : "")
      .add("match", fields.match)
      .add("fence", fields.fence);
  return list.take();
}

std::string write_serve(std::string_view id, const ServeFields& fields, std::string_view body) {
  return resp::write_array({"serve", id, write_serve_fields(fields), body});
}

std::string_view answer_code_name(AnswerCode word) {
  switch (word) {
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

std::string write_answer(std::string_view id, AnswerCode word, const CacheAnswer& out,
                         std::string_view body) {
  FieldList list;
  list.add("sum", out.tag)
      .add("t0", out.t0_ms, out.t0_ms != 0)
      .add("tell", note_name(out.note))
      .add("slow", out.waited_ms, out.waited_ms > 0)
      .add("group", out.group, out.group >= 0)
      .add("span", out.span ? to_text(*out.span) : "")
      .add("whole", static_cast<std::int64_t>(out.whole), out.span.has_value())
      .add("why", plain_value(out.why))
      .add("meter", out.meter);
  return resp::write_array({id, answer_code_name(word), list.take(), body});
}

CacheAnswer read_cache_answer(std::string_view text) {
  CacheAnswer out;
  each_field(text, [&out](std::string_view name, std::string_view value, bool) {
    if (name == "sum" && plain_word(value, kMostWord)) {
      out.tag = value;
    } else if (name == "t0") {
      set_number<std::int64_t>(out.t0_ms, value, 0, INT64_MAX / 4);
    } else if (name == "tell") {
      out.note = parse_note(value).value_or(out.note);
    } else if (name == "group") {
      set_number(out.group, value, 0, 65'534);
    } else if (name == "span") {
      out.span = read_span(value);
    } else if (name == "whole") {
      set_number<std::uint64_t>(out.whole, value, 0, kMostSpan);
    } else if (name == "why") {
      out.why = value.substr(0, kMostWord);
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
