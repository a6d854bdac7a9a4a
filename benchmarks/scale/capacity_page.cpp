#include "scale/capacity_page.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <limits>
#include <sstream>
#include <utility>
#include <vector>

#include "config/record.h"

namespace trailcourse::scale {

namespace {

// A table is between a marker with its name and an end marker, a figure between a marker with its formula and
// an end marker.
constexpr std::string_view kTableMarkerBegin = "<!-- table: ";
constexpr std::string_view kTableMarkerEnd = " -->";
constexpr std::string_view kTableEndMarker = "<!-- end -->";
constexpr std::string_view kFigureMarkerBegin = "<!--=";
constexpr std::string_view kFigureMarkerEnd = "-->";
constexpr std::string_view kFigureEndMarker = "<!--.-->";
constexpr const char* kNoSlope = "no slope";
constexpr double kMinShownExtrapolation = 1.05;  // smaller factors of extrapolation are not shown
constexpr double kPoorFitBelow = 0.9;            // R squared below which a figure is marked as a poor fit
constexpr int kSignificantDigits = 3;
constexpr double kMillionFrom = 999'500.0;  // rounds to a million with kSignificantDigits

int decimal_exponent(double value) { return static_cast<int>(std::floor(std::log10(std::abs(value)))); }

// Rounds to kSignificantDigits.
double round_to_significant_digits(double value) {
  if (value == 0.0) {
    return 0.0;
  }
  const double step = std::pow(10.0, decimal_exponent(value) - kSignificantDigits + 1);
  return std::round(value / step) * step;
}

// Formats with kSignificantDigits, without an exponent and with grouped thousands; whole numbers below
// kMillionFrom are not rounded.
std::string format_plain(double value) {
  if (value == 0.0) {
    return "0";
  }
  const bool whole = value == std::floor(value) && std::abs(value) < kMillionFrom;
  const int magnitude = decimal_exponent(value);
  const double rounded = whole ? value : round_to_significant_digits(value);
  if (std::abs(rounded) >= 1000.0 || whole) {
    return config::grouped(std::llround(rounded));
  }
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.*f", std::max(0, kSignificantDigits - 1 - magnitude), rounded);
  std::string out = text.data();
  if (out.find('.') != std::string::npos) {
    out.erase(out.find_last_not_of('0') + 1);
    out.erase(out.find_last_not_of('.') + 1);
  }
  return out;
}

// Formats with the word "million" or "billion" if the rounded number is at least that large.
std::string format_with_magnitude_word(double value) {
  if (std::abs(value) >= 999.5e6) {
    return format_plain(value / 1e9) + " billion";
  }
  if (std::abs(value) >= 999.5e3) {
    return format_plain(value / 1e6) + " million";
  }
  return format_plain(value);
}

// Formats with an SI prefix from K to P before the unit, if the rounded number is at least 1000.
std::string format_with_prefix(double value, const std::string& unit) {
  constexpr std::array<const char*, 6> kPrefixes = {"", "K", "M", "G", "T", "P"};
  std::size_t prefix = 0;
  while (std::abs(value) >= 999.5 && prefix + 1 < kPrefixes.size()) {
    value /= 1000.0;
    ++prefix;
  }
  return format_plain(value) + " " + kPrefixes[prefix] + unit;
}

std::string format_seconds(double seconds) {
  if (std::abs(seconds) < 1.0) {
    return format_plain(seconds * 1e3) + " ms";
  }
  return format_plain(seconds) + " s";
}

std::string table_row(const std::vector<std::string>& cells) {
  std::string out = "|";
  for (const std::string& cell : cells) {
    out += " " + cell + " |";
  }
  return out + "\n";
}

std::string table_header(const std::vector<std::string>& titles) {
  return table_row(titles) + table_row(std::vector<std::string>(titles.size(), "---"));
}

std::string trim_spaces(const std::string& text) {
  const std::size_t begin = text.find_first_not_of(' ');
  return begin == std::string::npos ? "" : text.substr(begin, text.find_last_not_of(' ') - begin + 1);
}

std::string join_quoted(const std::set<std::string>& words) {
  std::string out;
  for (const std::string& word : words) {
    out += (out.empty() ? "`" : ", `") + word + "`";
  }
  return out;
}

// A requirement with its computed values.
struct RequirementAssessment {
  const Requirement* requirement = nullptr;
  Figure wanted;
  Figure reached;
  double ratio = 0.0;  // above 1: the requirement is missed by this factor

  bool known() const { return wanted.known() && reached.known(); }
};

RequirementAssessment assess(const Requirement& requirement, const FormulaNames& names) {
  RequirementAssessment out{&requirement, evaluate(requirement.wanted, names), Figure{}, 0.0};
  if (requirement.reached.empty()) {
    out.ratio = std::numeric_limits<double>::infinity();
    return out;
  }
  out.reached = evaluate(requirement.reached, names);
  if (!out.known()) {
    return out;
  }
  const bool at_least = requirement.sense == Requirement::Sense::kAtLeast;
  const double numerator = at_least ? out.wanted.value : out.reached.value;
  const double denominator = at_least ? out.reached.value : out.wanted.value;
  out.ratio = denominator == 0.0 ? std::numeric_limits<double>::infinity() : numerator / denominator;
  return out;
}

std::string format_ratio(double ratio) { return std::isinf(ratio) ? "nothing does it" : format_plain(ratio); }

// Formats the fitted form as a formula of the size n.
std::string format_fit(const Slope& slope) {
  const Fit& fit = slope.fit;
  const std::string offset = format_plain(fit.offset);
  const std::string factor = format_plain(fit.slope);
  switch (fit.form) {
    case FitForm::kConstant:
      return offset + " " + slope.unit;
    case FitForm::kLinear:
      return offset + " + " + factor + "·n " + slope.unit;
    case FitForm::kLinearithmic:
      return offset + " + " + factor + "·n·ln n " + slope.unit;
    case FitForm::kQuadratic:
      return offset + " + " + factor + "·n² " + slope.unit;
  }
  return "";
}

std::string format_sizes(const Slope& slope) {
  const std::string count = std::to_string(slope.points.size()) + " sizes, ";
  return count + format_with_magnitude_word(slope.points.front().first) + " to " +
         format_with_magnitude_word(slope.bound);
}

std::vector<std::string> split_lines(const std::string& text) {
  std::vector<std::string> out;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    out.push_back(line);
  }
  return out;
}

}  // namespace

std::string format_number(double value, const std::string& unit) {
  if (unit == "B" || unit == "B/s" || unit == "bit/s") {
    return format_with_prefix(value, unit);
  }
  if (unit == "s") {
    return format_seconds(value);
  }
  if (unit == "%") {
    return format_plain(value * 100.0) + "%";
  }
  if (unit == "core" || unit == "cores") {
    return value < 1.0 ? format_plain(value * 100.0) + "% of a core"
                       : format_with_magnitude_word(value) + " cores";
  }
  return format_with_magnitude_word(value) + (unit.empty() ? "" : " " + unit);
}

std::string format_figure(const Figure& figure, const std::string& unit) {
  if (!figure.known()) {
    return kNoSlope;
  }
  // Results of measurements are rounded, because more digits would not be significant.
  const double value = figure.slopes.empty() ? figure.value : round_to_significant_digits(figure.value);
  std::string out = format_number(value, unit);
  if (figure.extrapolation > kMinShownExtrapolation) {
    out += " (extrapolated ×" + format_plain(figure.extrapolation) + ")";
  }
  if (figure.r_squared < kPoorFitBelow) {
    out += " (poor fit, R² " + format_plain(figure.r_squared) + ")";
  }
  return out;
}

CapacityPage::CapacityPage(CapacityData data) : data_(std::move(data)), names_(names_of(data_)) {}

std::string CapacityPage::evaluate_and_format(const std::string& formula_and_unit) const {
  const std::size_t bar = formula_and_unit.find('|');
  const std::string formula = formula_and_unit.substr(0, bar);
  const std::string unit = bar == std::string::npos ? "" : trim_spaces(formula_and_unit.substr(bar + 1));
  return format_figure(evaluate(formula, names_), unit);
}

std::string CapacityPage::fill_cell(const std::string& cell) const {
  std::string out;
  std::size_t position = 0;
  while (true) {
    const std::size_t open = cell.find('{', position);
    out += cell.substr(position, open - position);
    if (open == std::string::npos) {
      return out;
    }
    const std::size_t close = cell.find('}', open);
    if (close == std::string::npos) {
      throw InvalidCapacityData("`" + cell + "`: a brace is not closed");
    }
    out += evaluate_and_format(cell.substr(open + 1, close - open - 1));
    position = close + 1;
  }
}

std::string CapacityPage::fill_figures(const std::string& line, std::size_t line_number) const {
  std::string out;
  std::size_t position = 0;
  while (true) {
    const std::size_t begin = line.find(kFigureMarkerBegin, position);
    out += line.substr(position, begin - position);
    if (begin == std::string::npos) {
      return out;
    }
    const std::size_t formula_end = line.find(kFigureMarkerEnd, begin);
    const std::size_t figure_end =
        formula_end == std::string::npos ? formula_end : line.find(kFigureEndMarker, formula_end);
    if (figure_end == std::string::npos) {
      throw InvalidPage("line " + std::to_string(line_number) + ": the marker of a figure is not closed");
    }
    const std::string marker = line.substr(begin, formula_end + kFigureMarkerEnd.size() - begin);
    const std::size_t formula_begin = begin + kFigureMarkerBegin.size();
    out += marker + evaluate_and_format(line.substr(formula_begin, formula_end - formula_begin)) +
           std::string(kFigureEndMarker);
    position = figure_end + kFigureEndMarker.size();
  }
}

std::string CapacityPage::fill(const std::string& page) const {
  std::string out;
  std::string table_name;  // the table whose old text is skipped; empty outside a table
  std::size_t line_number = 0;
  for (const std::string& line : split_lines(page)) {
    ++line_number;
    if (!table_name.empty()) {
      if (line == kTableEndMarker) {
        table_name.clear();
        out += line + "\n";
      }
      continue;
    }
    if (line.rfind(kTableMarkerBegin, 0) != 0) {
      out += fill_figures(line, line_number) + "\n";
      continue;
    }
    const std::size_t end = line.find(kTableMarkerEnd);
    if (end == std::string::npos) {
      throw InvalidPage("line " + std::to_string(line_number) + ": the marker of a table is not closed");
    }
    table_name = line.substr(kTableMarkerBegin.size(), end - kTableMarkerBegin.size());
    out += line + "\n" + table(table_name);
  }
  if (!table_name.empty()) {
    throw InvalidPage("the table " + table_name + " has no end marker");
  }
  return out;
}

std::string CapacityPage::table(const std::string& name) const {
  constexpr std::string_view kRole = "role ";
  if (name.rfind(kRole, 0) == 0) {
    return role_table(name.substr(kRole.size()));
  }
  if (name == "target") {
    return targets_table();
  }
  if (name == "meaning") {
    return meaning_table();
  }
  if (name == "situations") {
    return situations_table();
  }
  if (name == "plan" || name == "met") {
    return plan_table(name == "met");
  }
  if (name == "unknown") {
    return unknown_list();
  }
  if (name == "slopes") {
    return slopes_table();
  }
  throw InvalidPage("unknown table " + name);
}

std::string CapacityPage::targets_table() const {
  std::string out = table_header({"name", "value", "what", "where it is from"});
  for (const TargetGroup& group : data_.targets) {
    for (const Target& target : group.targets) {
      const std::string from = target.key.empty() ? group.name : group.name + ", `" + target.key + "`";
      out +=
          table_row({"`" + target.name + "`", format_number(target.value, target.unit), target.what, from});
    }
  }
  return out;
}

std::string CapacityPage::meaning_table() const {
  std::string out = table_header({"what", "figure", "formula"});
  for (const DerivedNumber& derived : data_.derived) {
    if (derived.shown) {
      const Figure& figure = names_.figures.at(derived.name);
      out += table_row({derived.what, format_figure(figure, derived.unit), "`" + derived.formula + "`"});
    }
  }
  return out;
}

std::string CapacityPage::situations_table() const {
  std::string out = table_header({"situation", "what it is"});
  for (const auto& [name, what] : data_.situations) {
    out += table_row({name, fill_cell(what)});
  }
  return out;
}

std::string CapacityPage::role_table(const std::string& name) const {
  const auto found = std::find_if(data_.roles.begin(), data_.roles.end(),
                                  [&name](const Role& role) { return role.name == name; });
  if (found == data_.roles.end()) {
    throw InvalidPage("unknown role " + name);
  }
  std::vector<std::string> titles = {"situation"};
  titles.insert(titles.end(), std::begin(kRoleColumns), std::end(kRoleColumns));
  std::string out = fill_cell(found->mechanism) + "\n\n" + table_header(titles);
  for (const auto& [situation, what] : data_.situations) {
    const auto role_row = std::find_if(found->rows.begin(), found->rows.end(),
                                       [&](const RoleRow& row) { return row.situation == situation; });
    if (role_row == found->rows.end()) {
      throw InvalidCapacityData("role " + name + " has no row for situation " + situation);
    }
    std::vector<std::string> cells = {situation};
    for (const std::string& cell : role_row->cells) {
      cells.push_back(fill_cell(cell));
    }
    out += table_row(cells);
  }
  return out;
}

std::string CapacityPage::plan_table(bool met) const {
  std::vector<RequirementAssessment> assessments;
  for (const Requirement& requirement : data_.plan) {
    const RequirementAssessment assessment = assess(requirement, names_);
    if (assessment.known() && (assessment.ratio <= 1.0) == met) {
      assessments.push_back(assessment);
    }
  }
  std::stable_sort(assessments.begin(), assessments.end(),
                   [](const RequirementAssessment& left, const RequirementAssessment& right) {
                     return left.ratio > right.ratio;
                   });
  std::string out = table_header(
      {"ratio", "role, situation", "what", "has to reach", "reaches today", "mechanism", "exists"});
  for (const RequirementAssessment& assessment : assessments) {
    const Requirement& requirement = *assessment.requirement;
    const std::string sense = requirement.sense == Requirement::Sense::kAtLeast ? "at least " : "at most ";
    const std::string note = requirement.note.empty() ? "" : ". " + fill_cell(requirement.note);
    out += table_row(
        {format_ratio(assessment.ratio), requirement.role + ", " + requirement.situation,
         requirement.what + note, sense + format_figure(assessment.wanted, requirement.unit),
         requirement.reached.empty() ? "nothing" : format_figure(assessment.reached, requirement.unit),
         fill_cell(requirement.mechanism),
         requirement.exists + (requirement.file.empty() ? "" : ": " + requirement.file)});
  }
  return out;
}

std::string CapacityPage::unknown_list() const {
  std::string out;
  for (const Requirement& requirement : data_.plan) {
    const RequirementAssessment assessment = assess(requirement, names_);
    std::set<std::string> missing = assessment.wanted.missing;
    missing.insert(assessment.reached.missing.begin(), assessment.reached.missing.end());
    if (!missing.empty()) {
      out += "- " + requirement.role + ", " + requirement.situation + ": " + requirement.what +
             ". No slope: " + join_quoted(missing) + "\n";
    }
  }
  for (const DerivedNumber& derived : data_.derived) {
    const Figure& figure = names_.figures.at(derived.name);
    if (!figure.known()) {
      out += "- " + derived.what + ". No slope: " + join_quoted(figure.missing) + "\n";
    }
  }
  for (const std::string& text : data_.unknowable) {
    out += "- " + text + "\n";
  }
  return out;
}

std::string CapacityPage::slopes_table() const {
  std::string out = table_header({"slope", "what", "fitted form", "of", "R squared", "measured at", "setting",
                                  "command", "when, commit"});
  for (const auto& [name, slope] : data_.slopes) {
    out += table_row({"`" + name + "`", slope.what, format_fit(slope), slope.per,
                      format_plain(slope.fit.r_squared), format_sizes(slope), slope.setting,
                      "`" + slope.command + "`", slope.date + ", " + slope.commit});
  }
  return out;
}

std::optional<LineDifference> first_difference(const std::string& found, const std::string& expected) {
  const std::vector<std::string> left = split_lines(found);
  const std::vector<std::string> right = split_lines(expected);
  for (std::size_t i = 0; i < std::max(left.size(), right.size()); ++i) {
    const std::string left_line = i < left.size() ? left[i] : "";
    const std::string right_line = i < right.size() ? right[i] : "";
    if (left_line != right_line || i >= left.size() || i >= right.size()) {
      return LineDifference{i + 1, left_line, right_line};
    }
  }
  return std::nullopt;
}

}  // namespace trailcourse::scale
