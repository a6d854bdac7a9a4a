#include "config/record.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace trailcourse::config {
namespace {

using nlohmann::json;

std::string given(const json& value) {
  constexpr std::size_t kMost = 60;
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kMost) {
    text = text.substr(0, kMost) + "...";
  }
  return text;
}

std::string short_real(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", value);
  return text;
}

}  // namespace

std::string grouped(std::int64_t value) {
  const std::string digits = std::to_string(value);
  std::string out;
  for (std::size_t i = 0; i < digits.size(); ++i) {
    const std::size_t left = digits.size() - i;
    if (i > 0 && left % 3 == 0 && digits[i - 1] != '-') {
      out += ',';
    }
    out += digits[i];
  }
  return out;
}

std::string Key::range() const {
  if (type == Type::kFlag) {
    return "true or false";
  }
  if (const auto* whole = std::get_if<WholeRange>(&allowed)) {
    return grouped(whole->least) + " to " + grouped(whole->most);
  }
  if (const auto* real = std::get_if<RealRange>(&allowed)) {
    return short_real(real->least) + " to " + short_real(real->most);
  }
  const Words& words = std::get<Words>(allowed);
  std::string out;
  for (const std::string& word : words.allowed) {
    out += (out.empty() ? "one of " : ", ") + word;
  }
  return !out.empty() ? out : type == Type::kTexts ? "a list of texts" : words.needed ? "a text" : "any text";
}

std::string Key::type_name() const {
  switch (type) {
    case Type::kWhole:
      return "integer";
    case Type::kReal:
      return "number";
    case Type::kFlag:
      return "boolean";
    case Type::kText:
      return "string";
    case Type::kTexts:
      break;
  }
  return "array";
}

std::int64_t read_whole(const Key& key, const std::string& path, const json& value) {
  const WholeRange& range = std::get<WholeRange>(key.allowed);
  const bool fits = value.is_number_integer() &&
                    !(value.is_number_unsigned() && value.get<std::uint64_t>() > std::uint64_t{INT64_MAX});
  if (!fits) {
    throw KeyError(path, given(value) + " is not a whole number, " + key.range() + " allowed");
  }
  const auto number = value.get<std::int64_t>();
  if (number < range.least || number > range.most) {
    throw KeyError(path, std::to_string(number) + " is not between " + std::to_string(range.least) + " and " +
                             std::to_string(range.most));
  }
  return number;
}

double read_real(const Key& key, const std::string& path, const json& value) {
  const RealRange& range = std::get<RealRange>(key.allowed);
  if (!value.is_number()) {
    throw KeyError(path, given(value) + " is not a number, " + key.range() + " allowed");
  }
  const double number = value.get<double>();
  if (!std::isfinite(number) || number < range.least || number > range.most) {
    throw KeyError(path, given(value) + " is not between " + key.range());
  }
  return number;
}

bool read_flag(const std::string& path, const json& value) {
  if (!value.is_boolean()) {
    throw KeyError(path, given(value) + " is neither true nor false");
  }
  return value.get<bool>();
}

std::string read_text(const Key& key, const std::string& path, const json& value) {
  if (!value.is_string()) {
    throw KeyError(path, given(value) + " is not a text");
  }
  auto text = value.get<std::string>();
  const Words& words = std::get<Words>(key.allowed);
  const bool known = words.allowed.empty() ||
                     std::find(words.allowed.begin(), words.allowed.end(), text) != words.allowed.end();
  if (!known) {
    throw KeyError(path, given(value) + " is not " + key.range());
  }
  if (words.needed && text.empty()) {
    throw KeyError(path, "is empty");
  }
  return text;
}

std::vector<std::string> read_texts(const Key&, const std::string& path, const json& value) {
  const bool good = value.is_array() &&
                    std::all_of(value.begin(), value.end(), [](const json& one) { return one.is_string(); });
  if (!good) {
    throw KeyError(path, given(value) + " is not a list of texts");
  }
  return value.get<std::vector<std::string>>();
}

json key_schema(const Key& key, const json& value_by_default) {
  json out{{"type", key.type_name()}, {"description", key.reason}, {"default", value_by_default}};
  if (key.unit != "-") {
    out["$comment"] = "unit: " + key.unit;
  }
  if (const auto* whole = std::get_if<WholeRange>(&key.allowed)) {
    out["minimum"] = whole->least;
    out["maximum"] = whole->most;
  } else if (const auto* real = std::get_if<RealRange>(&key.allowed)) {
    out["minimum"] = real->least;
    out["maximum"] = real->most;
  } else if (const Words& words = std::get<Words>(key.allowed); !words.allowed.empty()) {
    out["enum"] = words.allowed;
  } else if (words.needed) {
    out["minLength"] = 1;
    out.erase("default");
  }
  if (key.type == Key::Type::kTexts) {
    out["items"] = {{"type", "string"}};
  }
  return out;
}

std::string shown(const json& value) {
  if (value.is_number_integer()) {
    return grouped(value.get<std::int64_t>());
  }
  if (value.is_string()) {
    return value.get<std::string>().empty() ? "none" : value.get<std::string>();
  }
  if (value.is_number()) {
    return short_real(value.get<double>());
  }
  return value.is_array() && value.empty() ? "none" : value.dump();
}

std::string documented(const Key& key, const json& value_by_default) {
  return "| `" + key.name + "` | " + key.unit + " | " + shown(value_by_default) + " | " + key.range() +
         " | " + key.reason + " |";
}

}  // namespace trailcourse::config
