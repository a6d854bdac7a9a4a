#include "ownership/token.h"

#include <algorithm>

#include "protocol/numbers.h"

namespace trailcourse::ownership {

namespace {

constexpr std::size_t kMostWorkName = 80;

}  // namespace

std::optional<Token> read_token(std::string_view text) {
  const std::size_t first = text.find(':');
  const std::size_t last = text.rfind(':');
  if (first == std::string_view::npos || last == first) {
    return std::nullopt;
  }
  const auto store = protocol::read_number<std::uint64_t>(text.substr(0, first));
  const auto term = protocol::read_number<Term>(text.substr(last + 1));
  const std::string_view work = text.substr(first + 1, last - first - 1);
  const bool plain = !work.empty() && work.size() <= kMostWorkName &&
                     std::all_of(work.begin(), work.end(), [](char c) { return c > ' ' && c < 0x7f; });
  if (!store || *store == 0 || !term || *term == 0 || !plain) {
    return std::nullopt;
  }
  return Token{*store, std::string(work), *term};
}

std::string to_string(const Token& token) {
  return std::to_string(token.store) + ":" + token.work + ":" + std::to_string(token.term);
}

}  // namespace trailcourse::ownership
