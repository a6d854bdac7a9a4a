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

constexpr std::string_view kTableBegin = "<!-- table: ";
constexpr std::string_view kTableEnd = "<!-- end -->";
constexpr std::string_view kMarkerEnd = " -->";
constexpr std::string_view kFigureBegin = "<!--=";
constexpr std::string_view kFigureOpen = "-->";
constexpr std::string_view kFigureEnd = "<!--.-->";
constexpr const char* kNoSlope = "no slope";
constexpr double kBeyondShown = 1.05;  // a little beyond what was measured is not worth saying
constexpr double kPoorFit = 0.9;       // of R squared, below which the figure says so
constexpr int kDigits = 3;
constexpr double kWholeBelow = 999'500.0;  // beyond, "million" is said

int magnitude_of(double value) { return static_cast<int>(std::floor(std::log10(std::abs(value)))); }

// To three digits that count.
double round_off(double value) {
  if (value == 0.0) {
    return 0.0;
  }
  const double step = std::pow(10.0, magnitude_of(value) - kDigits + 1);
  return std::round(value / step) * step;
}

// Three digits that count, without an exponent, and thousands set apart; whole numbers in full.
std::string show_plain(double value) {
  if (value == 0.0) {
    return "0";
  }
  const bool whole = value == std::floor(value) && std::abs(value) < kWholeBelow;
  const int magnitude = magnitude_of(value);
  const double rounded = whole ? value : round_off(value);
  if (std::abs(rounded) >= 1000.0 || whole) {
    return config::grouped(std::llround(rounded));
  }
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.*f", std::max(0, kDigits - 1 - magnitude), rounded);
  std::string out = text.data();
  if (out.find('.') != std::string::npos) {
    out.erase(out.find_last_not_of('0') + 1);
    out.erase(out.find_last_not_of('.') + 1);
  }
  return out;
}

std::string show_with_words(double value) {
  if (std::abs(value) >= 999.5e6) {
    return show_plain(value / 1e9) + " billion";
  }
  if (std::abs(value) >= 999.5e3) {
    return show_plain(value / 1e6) + " million";
  }
  return show_plain(value);
}

// With K, M, G, T before the unit.
std::string show_with_prefix(double value, const std::string& unit) {
  constexpr std::array<const char*, 6> kPrefixes = {"", "K", "M", "G", "T", "P"};
  std::size_t place = 0;
  while (std::abs(value) >= 999.5 && place + 1 < kPrefixes.size()) {
    value /= 1000.0;
    ++place;
  }
  return show_plain(value) + " " + kPrefixes[place] + unit;
}

std::string show_seconds(double seconds) {
  if (std::abs(seconds) < 1.0) {
    return show_plain(seconds * 1e3) + " ms";
  }
  return show_plain(seconds) + " s";
}

std::string row(const std::vector<std::string>& cells) {
  std::string out = "|";
  for (const std::string& cell : cells) {
    out += " " + cell + " |";
  }
  return out + "\n";
}

std::string head(const std::vector<std::string>& titles) {
  return row(titles) + row(std::vector<std::string>(titles.size(), "---"));
}

std::string trimmed(const std::string& text) {
  const std::size_t begin = text.find_first_not_of(' ');
  return begin == std::string::npos ? "" : text.substr(begin, text.find_last_not_of(' ') - begin + 1);
}

std::string joined(const std::set<std::string>& words) {
  std::string out;
  for (const std::string& word : words) {
    out += (out.empty() ? "`" : ", `") + word + "`";
  }
  return out;
}

// What is wanted, what is reached, and how far one is from the other.
struct Judged {
  const PlanLine* line = nullptr;
  Figure wanted;
  Figure reached;
  double ratio = 0.0;  // over 1: missing by that factor

  bool known() const { return wanted.known() && reached.known(); }
};

Judged judge(const PlanLine& line, const FormulaNames& names) {
  Judged out{&line, evaluate(line.wanted, names), Figure{}, 0.0};
  if (line.reached.empty()) {
    out.ratio = std::numeric_limits<double>::infinity();
    return out;
  }
  out.reached = evaluate(line.reached, names);
  if (!out.known()) {
    return out;
  }
  const bool at_least = line.sense == PlanLine::Sense::kAtLeast;
  const double above = at_least ? out.wanted.value : out.reached.value;
  const double below = at_least ? out.reached.value : out.wanted.value;
  out.ratio = below == 0.0 ? std::numeric_limits<double>::infinity() : above / below;
  return out;
}

std::string show_ratio(double ratio) { return std::isinf(ratio) ? "nothing does it" : show_plain(ratio); }

// The fitted form as a formula of its size n.
std::string show_form(const Slope& slope) {
  const Fit& fit = slope.fit;
  const std::string offset = show_plain(fit.offset);
  const std::string factor = show_plain(fit.slope);
  switch (fit.form) {
    case Form::kConstant:
      return offset + " " + slope.unit;
    case Form::kLinear:
      return offset + " + " + factor + "·n " + slope.unit;
    case Form::kLinearithmic:
      return offset + " + " + factor + "·n·ln n " + slope.unit;
    case Form::kQuadratic:
      return offset + " + " + factor + "·n² " + slope.unit;
  }
  return "";
}

std::string show_sizes(const Slope& slope) {
  const std::string count = std::to_string(slope.points.size()) + " sizes, ";
  return count + show_with_words(slope.points.front().first) + " to " + show_with_words(slope.bound);
}

std::vector<std::string> lines_of(const std::string& text) {
  std::vector<std::string> out;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    out.push_back(line);
  }
  return out;
}

}  // namespace

std::string show_number(double value, const std::string& unit) {
  if (unit == "B" || unit == "B/s" || unit == "bit/s") {
    return show_with_prefix(value, unit);
  }
  if (unit == "s") {
    return show_seconds(value);
  }
  if (unit == "%") {
    return show_plain(value * 100.0) + "%";
  }
  if (unit == "core" || unit == "cores") {
    return value < 1.0 ? show_plain(value * 100.0) + "% of a core" : show_with_words(value) + " cores";
  }
  return show_with_words(value) + (unit.empty() ? "" : " " + unit);
}

std::string show_figure(const Figure& figure, const std::string& unit) {
  if (!figure.known()) {
    return kNoSlope;
  }
  // What is worked out from measurements has no more digits than they.
  const double value = figure.slopes.empty() ? figure.value : round_off(figure.value);
  std::string out = show_number(value, unit);
  if (figure.beyond > kBeyondShown) {
    out += " (extrapolated ×" + show_plain(figure.beyond) + ")";
  }
  if (figure.r_squared < kPoorFit) {
    out += " (poor fit, R² " + show_plain(figure.r_squared) + ")";
  }
  return out;
}

CapacityPage::CapacityPage(CapacityData data) : data_(std::move(data)), names_(names_of(data_)) {}

std::string CapacityPage::show_formula(const std::string& formula_and_unit) const {
  const std::size_t bar = formula_and_unit.find('|');
  const std::string formula = formula_and_unit.substr(0, bar);
  const std::string unit = bar == std::string::npos ? "" : trimmed(formula_and_unit.substr(bar + 1));
  return show_figure(evaluate(formula, names_), unit);
}

std::string CapacityPage::fill_cell(const std::string& cell) const {
  std::string out;
  std::size_t place = 0;
  while (true) {
    const std::size_t open = cell.find('{', place);
    out += cell.substr(place, open - place);
    if (open == std::string::npos) {
      return out;
    }
    const std::size_t close = cell.find('}', open);
    if (close == std::string::npos) {
      throw BadCapacityData("`" + cell + "`: a brace is not closed");
    }
    out += show_formula(cell.substr(open + 1, close - open - 1));
    place = close + 1;
  }
}

std::string CapacityPage::fill_figures(const std::string& line, std::size_t number) const {
  std::string out;
  std::size_t place = 0;
  while (true) {
    const std::size_t begin = line.find(kFigureBegin, place);
    out += line.substr(place, begin - place);
    if (begin == std::string::npos) {
      return out;
    }
    const std::size_t open = line.find(kFigureOpen, begin);
    const std::size_t end = open == std::string::npos ? open : line.find(kFigureEnd, open);
    if (end == std::string::npos) {
      throw BadPage("line " + std::to_string(number) + ": a figure's marker is not closed");
    }
    const std::string marker = line.substr(begin, open + kFigureOpen.size() - begin);
    const std::size_t inner = begin + kFigureBegin.size();
    out += marker + show_formula(line.substr(inner, open - inner)) + std::string(kFigureEnd);
    place = end + kFigureEnd.size();
  }
}

std::string CapacityPage::fill(const std::string& page) const {
  std::string out;
  std::string inside;  // the name of the table whose old text is passed over
  std::size_t number = 0;
  for (const std::string& line : lines_of(page)) {
    ++number;
    if (!inside.empty()) {
      if (line == kTableEnd) {
        inside.clear();
        out += line + "\n";
      }
      continue;
    }
    if (line.rfind(kTableBegin, 0) != 0) {
      out += fill_figures(line, number) + "\n";
      continue;
    }
    const std::size_t end = line.find(kMarkerEnd);
    if (end == std::string::npos) {
      throw BadPage("line " + std::to_string(number) + ": a table's marker is not closed");
    }
    inside = line.substr(kTableBegin.size(), end - kTableBegin.size());
    out += line + "\n" + table(inside);
  }
  if (!inside.empty()) {
    throw BadPage("the table " + inside + " has no end");
  }
  return out;
}

std::string CapacityPage::table(const std::string& name) const {
  constexpr std::string_view kRole = "role ";
  if (name.rfind(kRole, 0) == 0) {
    return role(name.substr(kRole.size()));
  }
  if (name == "target") {
    return targets();
  }
  if (name == "meaning") {
    return meaning();
  }
  if (name == "situations") {
    return situations();
  }
  if (name == "plan" || name == "met") {
    return plan(name == "met");
  }
  if (name == "unknown") {
    return unknown();
  }
  if (name == "slopes") {
    return slopes();
  }
  throw BadPage("there is no table " + name);
}

std::string CapacityPage::targets() const {
  std::string out = head({"name", "value", "what", "where it is from"});
  for (const TargetGroup& group : data_.targets) {
    for (const Target& target : group.targets) {
      const std::string from = target.key.empty() ? group.name : group.name + ", `" + target.key + "`";
      out += row({"`" + target.name + "`", show_number(target.value, target.unit), target.what, from});
    }
  }
  return out;
}

std::string CapacityPage::meaning() const {
  std::string out = head({"what", "figure", "formula"});
  for (const Derived& derived : data_.derived) {
    if (derived.shown) {
      const Figure& figure = names_.figures.at(derived.name);
      out += row({derived.what, show_figure(figure, derived.unit), "`" + derived.formula + "`"});
    }
  }
  return out;
}

std::string CapacityPage::situations() const {
  std::string out = head({"situation", "what it is"});
  for (const auto& [name, what] : data_.situations) {
    out += row({name, fill_cell(what)});
  }
  return out;
}

std::string CapacityPage::role(const std::string& name) const {
  const auto found = std::find_if(data_.roles.begin(), data_.roles.end(),
                                  [&name](const Role& role) { return role.name == name; });
  if (found == data_.roles.end()) {
    throw BadPage("there is no role " + name);
  }
  std::vector<std::string> titles = {"situation"};
  titles.insert(titles.end(), std::begin(kRoleColumns), std::end(kRoleColumns));
  std::string out = fill_cell(found->mechanism) + "\n\n" + head(titles);
  for (const auto& [situation, what] : data_.situations) {
    const auto line = std::find_if(found->rows.begin(), found->rows.end(),
                                   [&](const RoleRow& each) { return each.situation == situation; });
    if (line == found->rows.end()) {
      throw BadCapacityData("role " + name + " says nothing of " + situation);
    }
    std::vector<std::string> cells = {situation};
    for (const std::string& cell : line->cells) {
      cells.push_back(fill_cell(cell));
    }
    out += row(cells);
  }
  return out;
}

std::string CapacityPage::plan(bool met) const {
  std::vector<Judged> judged;
  for (const PlanLine& line : data_.plan) {
    const Judged one = judge(line, names_);
    if (one.known() && (one.ratio <= 1.0) == met) {
      judged.push_back(one);
    }
  }
  std::stable_sort(judged.begin(), judged.end(),
                   [](const Judged& left, const Judged& right) { return left.ratio > right.ratio; });
  std::string out =
      head({"ratio", "role, situation", "what", "has to reach", "reaches today", "mechanism", "exists"});
  for (const Judged& one : judged) {
    const PlanLine& line = *one.line;
    const std::string sense = line.sense == PlanLine::Sense::kAtLeast ? "at least " : "at most ";
    const std::string note = line.note.empty() ? "" : ". " + fill_cell(line.note);
    out += row({show_ratio(one.ratio), line.role + ", " + line.situation, line.what + note,
                sense + show_figure(one.wanted, line.unit),
                line.reached.empty() ? "nothing" : show_figure(one.reached, line.unit),
                fill_cell(line.mechanism), line.exists + (line.file.empty() ? "" : ": " + line.file)});
  }
  return out;
}

std::string CapacityPage::unknown() const {
  std::string out;
  for (const PlanLine& line : data_.plan) {
    const Judged one = judge(line, names_);
    std::set<std::string> missing = one.wanted.missing;
    missing.insert(one.reached.missing.begin(), one.reached.missing.end());
    if (!missing.empty()) {
      out += "- " + line.role + ", " + line.situation + ": " + line.what + ". No slope: " + joined(missing) +
             "\n";
    }
  }
  for (const Derived& derived : data_.derived) {
    const Figure& figure = names_.figures.at(derived.name);
    if (!figure.known()) {
      out += "- " + derived.what + ". No slope: " + joined(figure.missing) + "\n";
    }
  }
  for (const std::string& text : data_.unknowable) {
    out += "- " + text + "\n";
  }
  return out;
}

std::string CapacityPage::slopes() const {
  std::string out = head({"slope", "what", "fitted form", "of", "R squared", "measured at", "setting",
                          "command", "when, commit"});
  for (const auto& [name, slope] : data_.slopes) {
    out +=
        row({"`" + name + "`", slope.what, show_form(slope), slope.per, show_plain(slope.fit.r_squared),
             show_sizes(slope), slope.setting, "`" + slope.command + "`", slope.date + ", " + slope.commit});
  }
  return out;
}

std::optional<LineDifference> first_difference(const std::string& found, const std::string& expected) {
  const std::vector<std::string> left = lines_of(found);
  const std::vector<std::string> right = lines_of(expected);
  for (std::size_t i = 0; i < std::max(left.size(), right.size()); ++i) {
    const std::string here = i < left.size() ? left[i] : "";
    const std::string there = i < right.size() ? right[i] : "";
    if (here != there || i >= left.size() || i >= right.size()) {
      return LineDifference{i + 1, here, there};
    }
  }
  return std::nullopt;
}

}  // namespace trailcourse::scale
