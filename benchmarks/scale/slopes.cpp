#include "scale/slopes.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <thread>

namespace trailcourse::scale {

namespace {

using nlohmann::json;

constexpr std::array kForms = {FitForm::kConstant, FitForm::kLinear, FitForm::kLinearithmic,
                               FitForm::kQuadratic};

// The function f(x) of a form of growth.
double basis(FitForm form, double x) {
  switch (form) {
    case FitForm::kConstant:
      return 0.0;
    case FitForm::kLinear:
      return x;
    case FitForm::kLinearithmic:
      return x > 0.0 ? x * std::log(x) : 0.0;
    case FitForm::kQuadratic:
      return x * x;
  }
  return 0.0;
}

double mean_of_y(const Points& points) {
  double sum = 0.0;
  for (const auto& [x, y] : points) {
    sum += y;
  }
  return sum / static_cast<double>(points.size());
}

double sum_of_squared_errors(const Points& points, const Fit& fitted) {
  double sum = 0.0;
  for (const auto& [x, y] : points) {
    const double deviation = y - value_at(fitted, x);
    sum += deviation * deviation;
  }
  return sum;
}

bool is_constant(const Points& points, double mean) {
  return std::all_of(points.begin(), points.end(), [mean](const auto& point) {
    return std::abs(point.second - mean) <= kConstantTolerance * std::abs(mean);
  });
}

Fit least_squares(const Points& points, FitForm form) {
  const double mean_y = mean_of_y(points);
  double basis_mean = 0.0;
  for (const auto& [x, y] : points) {
    basis_mean += basis(form, x);
  }
  basis_mean /= static_cast<double>(points.size());
  double covariance_sum = 0.0;
  double variance_sum = 0.0;
  for (const auto& [x, y] : points) {
    const double difference = basis(form, x) - basis_mean;
    covariance_sum += difference * (y - mean_y);
    variance_sum += difference * difference;
  }
  Fit out;
  out.form = form;
  out.slope = variance_sum > 0.0 ? covariance_sum / variance_sum : 0.0;
  out.offset = mean_y - out.slope * basis_mean;
  const double total_squares = sum_of_squared_errors(points, Fit{FitForm::kConstant, mean_y, 0.0, 0.0});
  out.r_squared = total_squares > 0.0 ? 1.0 - sum_of_squared_errors(points, out) / total_squares : 1.0;
  return out;
}

FitForm read_form(const std::string& text, const std::string& name) {
  for (const FitForm form : kForms) {
    if (text == to_string(form)) {
      return form;
    }
  }
  throw InvalidSlopes(name + ": form: unknown value '" + text + "'");
}

// Reads the field `key` of an entry; `name` identifies the entry in error messages.
template <typename Value>
Value field(const json& entry, const std::string& name, const char* key) {
  const auto found = entry.find(key);
  if (found == entry.end()) {
    throw InvalidSlopes(name + ": " + key + " is missing");
  }
  try {
    return found->get<Value>();
  } catch (const json::exception&) {
    throw InvalidSlopes(name + ": " + key + " is of the wrong type");
  }
}

json write_slope(const Slope& slope) {
  json points = json::array();
  for (const auto& [x, y] : slope.points) {
    points.push_back(json::array({x, y}));
  }
  return {{"name", slope.name},
          {"what", slope.what},
          {"unit", slope.unit},
          {"per", slope.per},
          {"form", to_string(slope.fit.form)},
          {"offset", slope.fit.offset},
          {"slope", slope.fit.slope},
          {"fit", slope.fit.r_squared},
          {"points", points},
          {"setting", slope.setting},
          {"bound", slope.bound},
          {"command", slope.command},
          {"date", slope.date},
          {"commit", slope.commit},
          {"machine", slope.machine}};
}

Slope read_slope(const json& entry) {
  if (!entry.is_object()) {
    throw InvalidSlopes("an entry is not an object");
  }
  Slope out;
  out.name = field<std::string>(entry, "an entry", "name");
  out.what = field<std::string>(entry, out.name, "what");
  out.unit = field<std::string>(entry, out.name, "unit");
  out.per = field<std::string>(entry, out.name, "per");
  out.fit.form = read_form(field<std::string>(entry, out.name, "form"), out.name);
  out.fit.offset = field<double>(entry, out.name, "offset");
  out.fit.slope = field<double>(entry, out.name, "slope");
  out.fit.r_squared = field<double>(entry, out.name, "fit");
  out.points = field<Points>(entry, out.name, "points");
  out.setting = field<std::string>(entry, out.name, "setting");
  out.bound = field<double>(entry, out.name, "bound");
  out.command = field<std::string>(entry, out.name, "command");
  out.date = field<std::string>(entry, out.name, "date");
  out.commit = field<std::string>(entry, out.name, "commit");
  out.machine = field<std::string>(entry, out.name, "machine");
  if (out.points.empty()) {
    throw InvalidSlopes(out.name + ": points: empty");
  }
  if (std::find(std::begin(kSettings), std::end(kSettings), out.setting) == std::end(kSettings)) {
    throw InvalidSlopes(out.name + ": setting: unknown value '" + out.setting + "'");
  }
  return out;
}

std::string date_today() {
  const std::time_t now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 16> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%d", &parts);
  return text.data();
}

// Abbreviated commit of the repository in the working directory; "unknown" outside a repository.
std::string current_commit() {
  const std::unique_ptr<FILE, int (*)(FILE*)> pipe(popen("git rev-parse --short=7 HEAD 2>/dev/null", "r"),
                                                   pclose);
  std::array<char, 64> line{};
  if (!pipe || std::fgets(line.data(), line.size(), pipe.get()) == nullptr) {
    return "unknown";
  }
  std::string out = line.data();
  out.erase(out.find_last_not_of('\n') + 1);
  return out;
}

std::string machine_description() {
  constexpr double kGib = 1024.0 * 1024.0 * 1024.0;
  const double bytes =
      static_cast<double>(sysconf(_SC_PHYS_PAGES)) * static_cast<double>(sysconf(_SC_PAGESIZE));
  return std::to_string(std::thread::hardware_concurrency()) + " cores, " +
         std::to_string(std::lround(bytes / kGib)) + " GiB";
}

}  // namespace

const char* to_string(FitForm form) {
  switch (form) {
    case FitForm::kConstant:
      return "constant";
    case FitForm::kLinear:
      return "linear";
    case FitForm::kLinearithmic:
      return "n log n";
    case FitForm::kQuadratic:
      return "quadratic";
  }
  return "";
}

Fit fit(const Points& points) {
  if (points.empty()) {
    throw std::invalid_argument("no points to fit");
  }
  const double mean = mean_of_y(points);
  const Fit constant{FitForm::kConstant, mean, 0.0, 0.0};
  if (is_constant(points, mean)) {
    double squares = 0.0;
    for (const auto& [x, y] : points) {
      squares += y * y;
    }
    // R squared is taken relative to 0 here: relative to the mean, a constant fit of noise always gets 0.
    return {FitForm::kConstant, mean, 0.0,
            squares > 0.0 ? 1.0 - sum_of_squared_errors(points, constant) / squares : 1.0};
  }
  std::vector<Fit> fits = {constant};
  for (const FitForm form : {FitForm::kLinear, FitForm::kLinearithmic, FitForm::kQuadratic}) {
    fits.push_back(least_squares(points, form));
  }
  const auto less = [](const Fit& a, const Fit& b) { return a.r_squared < b.r_squared; };
  const double best = std::max_element(fits.begin(), fits.end(), less)->r_squared;
  return *std::find_if(fits.begin(), fits.end(), [best](const Fit& candidate) {
    return candidate.r_squared >= best - kSimplerFormTolerance;
  });
}

double value_at(const Fit& fit, double x) { return fit.offset + fit.slope * basis(fit.form, x); }

Slope complete_slope(Slope slope) {
  std::sort(slope.points.begin(), slope.points.end());
  slope.fit = fit(slope.points);
  slope.bound = slope.points.back().first;
  slope.date = date_today();
  slope.commit = current_commit();
  slope.machine = machine_description();
  return slope;
}

json write_slopes(const std::vector<Slope>& slopes) {
  json out = json::array();
  for (const Slope& slope : slopes) {
    out.push_back(write_slope(slope));
  }
  return out;
}

std::vector<Slope> read_slopes(const json& list) {
  if (!list.is_array()) {
    throw InvalidSlopes("the slopes are not an array");
  }
  std::vector<Slope> out;
  for (const json& entry : list) {
    out.push_back(read_slope(entry));
  }
  return out;
}

std::vector<Slope> load_slopes(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return {};
  }
  try {
    return read_slopes(json::parse(in));
  } catch (const json::exception& error) {
    throw InvalidSlopes(path + ": " + error.what());
  }
}

std::vector<Slope> merge_slopes(const std::vector<Slope>& old, const std::vector<Slope>& fresh) {
  std::map<std::string, Slope> by_name;
  for (const std::vector<Slope>* list : {&old, &fresh}) {
    for (const Slope& slope : *list) {
      by_name[slope.name] = slope;
    }
  }
  std::vector<Slope> out;
  for (const auto& [name, slope] : by_name) {
    out.push_back(slope);
  }
  return out;
}

void save_slopes(const std::string& path, const std::vector<Slope>& fresh) {
  const std::string text = write_slopes(merge_slopes(load_slopes(path), fresh)).dump(1) + "\n";
  const std::string temporary = path + ".new";
  {
    std::ofstream out(temporary);
    out << text;
    if (!out.flush()) {
      throw std::runtime_error(temporary + ": cannot be written");
    }
  }
  std::filesystem::rename(temporary, path);
}

}  // namespace trailcourse::scale
