#include "scale/capacity_page_formula.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <vector>

namespace trailcourse::scale {

namespace {

bool is_name_start(char letter) { return letter >= 'a' && letter <= 'z'; }
bool is_digit(char letter) { return letter >= '0' && letter <= '9'; }
bool is_name_part(char letter) {
  return is_name_start(letter) || is_digit(letter) || letter == '_' || letter == '.';
}

// The value of `operation` over two figures; what either lacks or was worked out from belongs to both.
template <typename Operation>
Figure combine(const Figure& left, const Figure& right, Operation operation) {
  Figure out = left;
  out.missing.insert(right.missing.begin(), right.missing.end());
  out.slopes.insert(right.slopes.begin(), right.slopes.end());
  out.beyond = std::max(left.beyond, right.beyond);
  out.r_squared = std::min(left.r_squared, right.r_squared);
  out.value = out.known() ? operation(left.value, right.value) : 0.0;
  return out;
}

class Parser {
 public:
  Parser(std::string_view text, const FormulaNames& names) : text_(text), names_(names) {}

  Figure whole() {
    const Figure out = formula();
    skip_spaces();
    if (place_ != text_.size()) {
      fail("something is left over");
    }
    return out;
  }

 private:
  [[noreturn]] void fail(const std::string& why) const {
    throw FormulaError("`" + std::string(text_) + "` at " + std::to_string(place_) + ": " + why);
  }

  void skip_spaces() {
    while (place_ < text_.size() && text_[place_] == ' ') {
      ++place_;
    }
  }
  bool next_is(char letter) {
    skip_spaces();
    return place_ < text_.size() && text_[place_] == letter;
  }
  bool take(char letter) {
    const bool taken = next_is(letter);
    place_ += taken ? 1 : 0;
    return taken;
  }
  void expect(char letter) {
    if (!take(letter)) {
      fail(std::string("expected ") + letter);
    }
  }

  Figure formula() {
    Figure out = term();
    while (true) {
      if (take('+')) {
        out = combine(out, term(), std::plus<>());
      } else if (take('-')) {
        out = combine(out, term(), std::minus<>());
      } else {
        return out;
      }
    }
  }

  Figure term() {
    Figure out = factor();
    while (true) {
      if (take('*')) {
        out = combine(out, factor(), std::multiplies<>());
      } else if (take('/')) {
        out = divide(out, factor());
      } else {
        return out;
      }
    }
  }

  Figure divide(const Figure& left, const Figure& right) const {
    if (right.known() && right.value == 0.0) {
      fail("a division by nought");
    }
    return combine(left, right, std::divides<>());
  }

  Figure factor() {
    if (take('-')) {
      return combine(Figure{}, factor(), std::minus<>());
    }
    if (take('(')) {
      const Figure out = formula();
      expect(')');
      return out;
    }
    skip_spaces();
    if (place_ < text_.size() && is_digit(text_[place_])) {
      return number();
    }
    if (next_is_name()) {
      return named();
    }
    fail("expected a number, a name or (");
  }

  Figure number() {
    Figure out;
    const char* begin = text_.data() + place_;
    const auto [end, error] = std::from_chars(begin, text_.data() + text_.size(), out.value);
    if (error != std::errc()) {
      fail("not a number");
    }
    place_ += static_cast<std::size_t>(end - begin);
    return out;
  }

  bool next_is_name() const { return place_ < text_.size() && is_name_start(text_[place_]); }

  // Empty where none stands here.
  std::string name() {
    skip_spaces();
    const std::size_t begin = place_;
    if (!next_is_name()) {
      return "";
    }
    while (place_ < text_.size() && is_name_part(text_[place_])) {
      ++place_;
    }
    return std::string(text_.substr(begin, place_ - begin));
  }

  Figure named() {
    const std::string word = name();
    if (next_is('(')) {
      return call(word);
    }
    const auto found = names_.figures.find(word);
    if (found == names_.figures.end()) {
      fail("there is no target or figure " + word);
    }
    return found->second;
  }

  Figure call(const std::string& function) {
    expect('(');
    const Figure out = function == "fit"        ? fitted()
                       : function == "measured" ? measured()
                                                : over_arguments(function);
    expect(')');
    return out;
  }

  std::string slope_name() {
    if (!take('"')) {
      return name();
    }
    const std::size_t begin = place_;
    while (place_ < text_.size() && text_[place_] != '"') {
      ++place_;
    }
    const std::string out(text_.substr(begin, place_ - begin));
    expect('"');
    return out;
  }

  // Nothing where it was not measured; `out` says so then.
  const Slope* find_slope(Figure& out) {
    const std::string word = slope_name();
    if (word.empty()) {
      fail("expected the name of a slope");
    }
    const auto found = names_.slopes.find(word);
    if (found == names_.slopes.end()) {
      out.missing.insert(word);
      return nullptr;
    }
    out.slopes.insert(word);
    return &found->second;
  }

  Figure fitted() {
    Figure out;
    const Slope* slope = find_slope(out);
    expect(',');
    const Figure size = formula();
    out = combine(out, size, [&](double, double x) { return slope ? value_at(slope->fit, x) : 0.0; });
    const bool grows = slope != nullptr && slope->fit.form != Form::kConstant;
    if (grows && slope->bound > 0.0 && out.known()) {
      out.beyond = std::max(out.beyond, size.value / slope->bound);
      out.r_squared = std::min(out.r_squared, slope->fit.r_squared);
    }
    return out;
  }

  Figure measured() {
    Figure out;
    const Slope* slope = find_slope(out);
    expect(',');
    const Figure size = formula();
    out = combine(out, size, [](double, double x) { return x; });
    if (!out.known()) {
      return out;
    }
    const auto found = std::find_if(slope->points.begin(), slope->points.end(),
                                    [&](const auto& point) { return point.first == size.value; });
    if (found == slope->points.end()) {
      out.missing.insert(slope->name + " at another size");
      return out;
    }
    out.value = found->second;
    return out;
  }

  Figure over_arguments(const std::string& function) {
    Figure out = formula();
    if (function == "ceil") {
      out.value = std::ceil(out.value);
      return out;
    }
    if (function != "min" && function != "max") {
      fail("there is no function " + function);
    }
    while (take(',')) {
      out = combine(out, formula(), [&](double left, double right) {
        return function == "min" ? std::min(left, right) : std::max(left, right);
      });
    }
    return out;
  }

  std::string_view text_;
  const FormulaNames& names_;
  std::size_t place_ = 0;
};

}  // namespace

Figure evaluate(std::string_view formula, const FormulaNames& names) {
  return Parser(formula, names).whole();
}

}  // namespace trailcourse::scale
