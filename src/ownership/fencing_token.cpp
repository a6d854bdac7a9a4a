#include "ownership/fencing_token.h"

#include <algorithm>

#include "protocol/numbers.h"

namespace trailcourse::ownership {

namespace {

constexpr std::size_t kMaxWorkLength = 80;

bool is_printable_word(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

}  // namespace

std::optional<FencingToken> parse_fencing_token(std::string_view text) {
  const std::size_t first = text.find(':');
  const std::size_t last = text.rfind(':');
  if (first == std::string_view::npos || last == first) {
    return std::nullopt;
  }
  const auto store = protocol::read_number<std::uint64_t>(text.substr(0, first));
  const auto term = protocol::read_number<Term>(text.substr(last + 1));
  const std::string_view work = text.substr(first + 1, last - first - 1);
  if (!store || *store == 0 || !term || *term == 0) {
    return std::nullopt;
  }
  if (work.size() > kMaxWorkLength || !is_printable_word(work)) {
    return std::nullopt;
  }
  return FencingToken{*store, std::string(work), *term};
}

std::string to_string(const FencingToken& token) {
  return std::to_string(token.store) + ":" + token.work + ":" + std::to_string(token.term);
}

}  // namespace trailcourse::ownership
