// Parses texts that consist of one number.
#pragma once

#include <charconv>
#include <cmath>
#include <concepts>
#include <optional>
#include <string_view>
#include <system_error>

namespace trailcourse::protocol {

// Returns nothing if the text has other bytes, or if the number is out of range or not finite.
template <typename Number>
std::optional<Number> read_number(std::string_view text) {
  Number value{};
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  bool good = error == std::errc() && stop == end;
  if constexpr (std::floating_point<Number>) {
    good = good && std::isfinite(value);
  }
  return good ? std::optional<Number>(value) : std::nullopt;
}

// As read_number(), for hexadecimal digits without a prefix.
template <std::integral Number>
std::optional<Number> read_hex(std::string_view text) {
  Number value{};
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value, 16);
  return error == std::errc() && stop == end ? std::optional<Number>(value) : std::nullopt;
}

}  // namespace trailcourse::protocol
