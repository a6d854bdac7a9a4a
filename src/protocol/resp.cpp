#include "protocol/resp.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "protocol/numbers.h"

namespace trailcourse::protocol::resp {
namespace {

constexpr std::string_view kLineBreak = "\r\n";

}  // namespace

// Appends to the current line. Returns true once the line is complete; its line break is removed.
bool Parser::read_line(std::string_view& bytes) {
  const std::size_t end = bytes.find('\n');
  const std::size_t line_bytes = end == std::string_view::npos ? bytes.size() : end + 1;
  if (line_.size() + line_bytes > bounds_.line_bytes) {
    return fail("length line too long");
  }
  line_ += bytes.substr(0, line_bytes);
  bytes.remove_prefix(line_bytes);
  if (end == std::string_view::npos) {
    return false;
  }
  if (!line_.ends_with(kLineBreak)) {
    return fail("length line without a line break");
  }
  line_.resize(line_.size() - kLineBreak.size());
  return true;
}

bool Parser::parse_length() {
  const std::string line = std::exchange(line_, {});
  const char prefix = stage_ == Stage::kArray ? '*' : '$';
  if (line.empty() || line[0] != prefix) {
    return fail(prefix == '*' ? "not an array" : "not a bulk string");
  }
  const std::optional<std::size_t> value = read_number<std::size_t>(std::string_view(line).substr(1));
  if (!value) {
    return fail("invalid length");
  }
  const std::size_t length = *value;
  if (stage_ == Stage::kArray) {
    if (length == 0 || length > bounds_.strings) {
      return fail("invalid number of strings in an array: " + std::to_string(length));
    }
    remaining_strings_ = length;
    strings_.clear();
    stage_ = Stage::kBulk;
    return true;
  }
  const bool last = remaining_strings_ == 1;
  if (length > (last ? bounds_.last_bytes : bounds_.string_bytes)) {
    return fail("string too long: " + std::to_string(length) + " bytes");
  }
  remaining_bytes_ = length;
  line_break_bytes_ = 0;
  if (last) {
    stage_ = Stage::kLast;
  } else {
    strings_.emplace_back();
    stage_ = Stage::kString;
  }
  return true;
}

void Parser::read_string(std::string_view& bytes) {
  const std::string_view piece = bytes.substr(0, remaining_bytes_);
  strings_.back() += piece;
  bytes.remove_prefix(piece.size());
  remaining_bytes_ -= piece.size();
  if (remaining_bytes_ == 0) {
    --remaining_strings_;
    stage_ = Stage::kStringEnd;
  }
}

bool Parser::read_break(std::string_view& bytes, Stage after) {
  while (!bytes.empty() && line_break_bytes_ < kLineBreak.size()) {
    if (bytes[0] != kLineBreak[line_break_bytes_]) {
      return fail("string longer than its length");
    }
    ++line_break_bytes_;
    bytes.remove_prefix(1);
  }
  if (line_break_bytes_ < kLineBreak.size()) {
    return false;
  }
  line_break_bytes_ = 0;
  stage_ = after;
  return true;
}

bool Parser::fail(std::string reason) {
  stage_ = Stage::kFailed;
  error_ = std::move(reason);
  return false;
}

std::string write_array(const std::vector<std::string_view>& strings) {
  std::size_t bytes = 16;
  for (const std::string_view string : strings) {
    bytes += string.size() + 16;
  }
  std::string out;
  out.reserve(bytes);
  out += '*';
  out += std::to_string(strings.size());
  out += kLineBreak;
  for (const std::string_view string : strings) {
    out += '$';
    out += std::to_string(string.size());
    out += kLineBreak;
    out += string;
    out += kLineBreak;
  }
  return out;
}

}  // namespace trailcourse::protocol::resp
