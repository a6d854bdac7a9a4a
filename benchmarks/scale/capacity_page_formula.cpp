#include "scale/capacity_page_formula.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <vector>

namespace trailcourse::scale {

namespace {

bool is_name_start(char character) { return character >= 'a' && character <= 'z'; }
bool is_digit(char character) { return character >= '0' && character <= '9'; }
bool is_name_part(char character) {
  return is_name_start(character) || is_digit(character) || character == '_' || character == '.';
}

// Applies `operation` to the values of two figures. The result depends on the slopes of both figures, and has
// no value if one of them has no value.
template <typename Operation>
Figure combine(const Figure& left, const Figure& right, Operation operation) {
  Figure out = left;
  out.missing.insert(right.missing.begin(), right.missing.end());
  out.slopes.insert(right.slopes.begin(), right.slopes.end());
  out.extrapolation = std::max(left.extrapolation, right.extrapolation);
  out.r_squared = std::min(left.r_squared, right.r_squared);
  out.value = out.known() ? operation(left.value, right.value) : 0.0;
  return out;
}

// Parses a formula and evaluates it at the same time.
class Evaluator {
 public:
  Evaluator(std::string_view text, const FormulaNames& names) : text_(text), names_(names) {}

  Figure evaluate_all() {
    const Figure out = parse_formula();
    skip_spaces();
    if (position_ != text_.size()) {
      fail("unexpected text after the formula");
    }
    return out;
  }

 private:
  [[noreturn]] void fail(const std::string& reason) const {
    throw FormulaError("`" + std::string(text_) + "` at " + std::to_string(position_) + ": " + reason);
  }

  void skip_spaces() {
    while (position_ < text_.size() && text_[position_] == ' ') {
      ++position_;
    }
  }
  // Skips spaces and returns whether `character` is next.
  bool next_is(char character) {
    skip_spaces();
    return position_ < text_.size() && text_[position_] == character;
  }
  // Skips spaces. If `character` is next, skips it too and returns true.
  bool consume(char character) {
    const bool found = next_is(character);
    position_ += found ? 1 : 0;
    return found;
  }
  void expect(char character) {
    if (!consume(character)) {
      fail(std::string("expected ") + character);
    }
  }

  Figure parse_formula() {
    Figure out = parse_term();
    while (true) {
      if (consume('+')) {
        out = combine(out, parse_term(), std::plus<>());
      } else if (consume('-')) {
        out = combine(out, parse_term(), std::minus<>());
      } else {
        return out;
      }
    }
  }

  Figure parse_term() {
    Figure out = parse_factor();
    while (true) {
      if (consume('*')) {
        out = combine(out, parse_factor(), std::multiplies<>());
      } else if (consume('/')) {
        out = divide(out, parse_factor());
      } else {
        return out;
      }
    }
  }

  Figure divide(const Figure& left, const Figure& right) const {
    if (right.known() && right.value == 0.0) {
      fail("division by zero");
    }
    return combine(left, right, std::divides<>());
  }

  Figure parse_factor() {
    if (consume('-')) {
      return combine(Figure{}, parse_factor(), std::minus<>());
    }
    if (consume('(')) {
      const Figure out = parse_formula();
      expect(')');
      return out;
    }
    skip_spaces();
    if (position_ < text_.size() && is_digit(text_[position_])) {
      return parse_number();
    }
    if (next_is_name()) {
      return parse_name_or_call();
    }
    fail("expected a number, a name or (");
  }

  Figure parse_number() {
    Figure out;
    const char* begin = text_.data() + position_;
    const auto [end, error] = std::from_chars(begin, text_.data() + text_.size(), out.value);
    if (error != std::errc()) {
      fail("not a number");
    }
    position_ += static_cast<std::size_t>(end - begin);
    return out;
  }

  bool next_is_name() const { return position_ < text_.size() && is_name_start(text_[position_]); }

  // Skips spaces and returns the name that follows, or an empty string if none does.
  std::string parse_name() {
    skip_spaces();
    const std::size_t begin = position_;
    if (!next_is_name()) {
      return "";
    }
    while (position_ < text_.size() && is_name_part(text_[position_])) {
      ++position_;
    }
    return std::string(text_.substr(begin, position_ - begin));
  }

  Figure parse_name_or_call() {
    const std::string name = parse_name();
    if (next_is('(')) {
      return parse_call(name);
    }
    const auto found = names_.figures.find(name);
    if (found == names_.figures.end()) {
      fail("unknown target or figure " + name);
    }
    return found->second;
  }

  Figure parse_call(const std::string& function) {
    expect('(');
    const Figure out = function == "fit"        ? parse_fit_arguments()
                       : function == "measured" ? parse_measured_arguments()
                                                : parse_min_max_ceil_arguments(function);
    expect(')');
    return out;
  }

  std::string parse_slope_name() {
    if (!consume('"')) {
      return parse_name();
    }
    const std::size_t begin = position_;
    while (position_ < text_.size() && text_[position_] != '"') {
      ++position_;
    }
    const std::string out(text_.substr(begin, position_ - begin));
    expect('"');
    return out;
  }

  // Parses the name of a slope, adds it to `out.slopes` and returns the slope. If the slope was not measured,
  // adds the name to `out.missing` instead and returns nullptr.
  const Slope* parse_slope(Figure& out) {
    const std::string name = parse_slope_name();
    if (name.empty()) {
      fail("expected the name of a slope");
    }
    const auto found = names_.slopes.find(name);
    if (found == names_.slopes.end()) {
      out.missing.insert(name);
      return nullptr;
    }
    out.slopes.insert(name);
    return &found->second;
  }

  Figure parse_fit_arguments() {
    Figure out;
    const Slope* slope = parse_slope(out);
    expect(',');
    const Figure size = parse_formula();
    out = combine(out, size, [&](double, double x) { return slope ? value_at(slope->fit, x) : 0.0; });
    const bool grows = slope != nullptr && slope->fit.form != FitForm::kConstant;
    if (grows && slope->bound > 0.0 && out.known()) {
      out.extrapolation = std::max(out.extrapolation, size.value / slope->bound);
      out.r_squared = std::min(out.r_squared, slope->fit.r_squared);
    }
    return out;
  }

  Figure parse_measured_arguments() {
    Figure out;
    const Slope* slope = parse_slope(out);
    expect(',');
    const Figure size = parse_formula();
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

  Figure parse_min_max_ceil_arguments(const std::string& function) {
    Figure out = parse_formula();
    if (function == "ceil") {
      out.value = std::ceil(out.value);
      return out;
    }
    if (function != "min" && function != "max") {
      fail("unknown function " + function);
    }
    while (consume(',')) {
      out = combine(out, parse_formula(), [&](double left, double right) {
        return function == "min" ? std::min(left, right) : std::max(left, right);
      });
    }
    return out;
  }

  std::string_view text_;
  const FormulaNames& names_;
  std::size_t position_ = 0;
};

}  // namespace

Figure evaluate(std::string_view formula, const FormulaNames& names) {
  return Evaluator(formula, names).evaluate_all();
}

}  // namespace trailcourse::scale
