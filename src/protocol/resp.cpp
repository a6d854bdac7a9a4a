#include "protocol/resp.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "protocol/numbers.h"

namespace trailcourse::protocol::resp {
namespace {

constexpr std::string_view kBreak = "\r\n";

}  // namespace

// Gathers a line; true once it is whole, without its break.
bool Parser::read_line(std::string_view& bytes) {
  const std::size_t end = bytes.find('\n');
  const std::size_t taken = end == std::string_view::npos ? bytes.size() : end + 1;
  if (line_.size() + taken > bounds_.line_bytes) {
    return fail("a length line without end");
  }
  line_ += bytes.substr(0, taken);
  bytes.remove_prefix(taken);
  if (end == std::string_view::npos) {
    return false;
  }
  if (!line_.ends_with(kBreak)) {
    return fail("a length line without its break");
  }
  line_.resize(line_.size() - kBreak.size());
  return true;
}

bool Parser::take_length() {
  const std::string line = std::exchange(line_, {});
  const char prefix = stage_ == Stage::kArray ? '*' : '$';
  if (line.empty() || line[0] != prefix) {
    return fail(std::string("not a ") + (prefix == '*' ? "array" : "bulk string"));
  }
  const std::optional<std::size_t> told = read_number<std::size_t>(std::string_view(line).substr(1));
  if (!told) {
    return fail("a bad length");
  }
  const std::size_t length = *told;
  if (stage_ == Stage::kArray) {
    if (length == 0 || length > bounds_.words) {
      return fail("an array of " + std::to_string(length));
    }
    expected_ = length;
    words_.clear();
    stage_ = Stage::kBulk;
    return true;
  }
  const bool last = expected_ == 1;
  if (length > (last ? bounds_.last_bytes : bounds_.word_bytes)) {
    return fail("a string of " + std::to_string(length) + " bytes");
  }
  left_ = length;
  breaks_ = 0;
  if (last) {
    stage_ = Stage::kLast;
  } else {
    words_.emplace_back();
    stage_ = Stage::kWord;
  }
  return true;
}

void Parser::read_word(std::string_view& bytes) {
  const std::string_view piece = bytes.substr(0, left_);
  words_.back() += piece;
  bytes.remove_prefix(piece.size());
  left_ -= piece.size();
  if (left_ == 0) {
    --expected_;
    stage_ = Stage::kWordEnd;
  }
}

bool Parser::read_break(std::string_view& bytes, Stage after) {
  while (!bytes.empty() && breaks_ < kBreak.size()) {
    if (bytes[0] != kBreak[breaks_]) {
      return fail("a string longer than it said");
    }
    ++breaks_;
    bytes.remove_prefix(1);
  }
  if (breaks_ < kBreak.size()) {
    return false;
  }
  breaks_ = 0;
  stage_ = after;
  return true;
}

bool Parser::fail(std::string why) {
  stage_ = Stage::kFailed;
  why_ = std::move(why);
  return false;
}

std::string write_array(const std::vector<std::string_view>& words) {
  std::size_t bytes = 16;
  for (const std::string_view word : words) {
    bytes += word.size() + 16;
  }
  std::string out;
  out.reserve(bytes);
  out += '*';
  out += std::to_string(words.size());
  out += kBreak;
  for (const std::string_view word : words) {
    out += '$';
    out += std::to_string(word.size());
    out += kBreak;
    out += word;
    out += kBreak;
  }
  return out;
}

}  // namespace trailcourse::protocol::resp
