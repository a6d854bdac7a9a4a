// Measured growth of costs. The benchmarks write the slopes to one file, from which the capacity page is
// computed. Each slope has a unique name; a benchmark replaces the slopes that it measured and keeps the
// others.
//
// The form of growth is fitted to the measured points, not assumed: see fit().
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trailcourse::scale {

// y = offset + slope * f(x), where f(x) is 0, x, x * ln(x) or x^2.
enum class Form { kConstant, kLinear, kLinearithmic, kQuadratic };
const char* to_string(Form form);

// Points (x, y): x is the size, y the value measured at that size.
using Points = std::vector<std::pair<double, double>>;

struct Fit {
  Form form = Form::kConstant;
  double offset = 0.0;
  double slope = 0.0;
  double r_squared = 0.0;  // coefficient of determination; 1 is an exact fit
};

// Points are constant if each deviates from their mean by at most this fraction of the mean.
constexpr double kConstantWithin = 0.05;
// A simpler form is preferred if its R squared is at most this much below the best one.
constexpr double kSimplerWithin = 0.01;

// Fits each form by least squares and returns the simplest one whose R squared is within kSimplerWithin of
// the best. Throws std::invalid_argument if `points` is empty.
Fit fit(const Points& points);
// Value of the fitted form at `x`.
double value_at(const Fit& fit, double x);

// A measured cost with its fitted growth and the conditions of the measurement.
struct Slope {
  std::string name;  // unique in the file, such as "store.calls.change.flat"
  std::string what;  // description in plain words
  std::string unit;  // unit of y
  std::string per;   // the quantity that x counts
  Fit fit;
  Points points;        // sorted by x
  std::string setting;  // one of kSettings
  double bound = 0.0;   // the largest measured x
  std::string command;  // the command that measured the points
  std::string date;     // UTC, such as "2026-12-02"
  std::string commit;   // abbreviated hash
  std::string machine;  // such as "8 cores, 24 GiB"
};

// Ways to run a measurement: the allowed values of Slope::setting.
constexpr std::string_view kSettings[] = {"real processes", "hollow, loopback sockets",
                                          "hollow, virtual time", "in process"};

// Thrown for an invalid list of slopes; the message names the entry and the field.
class BadSlopes : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Returns `slope` with its points sorted and its fit, bound, date, commit and machine filled in from the
// points and from this machine. The caller sets the other fields. Throws std::invalid_argument without
// points.
Slope measured_here(Slope slope);

nlohmann::json write_slopes(const std::vector<Slope>& slopes);
// Throws BadSlopes.
std::vector<Slope> read_slopes(const nlohmann::json& list);
// Returns no slopes if the file does not exist or cannot be opened. Throws BadSlopes for invalid content.
std::vector<Slope> load_slopes(const std::string& path);
// All slopes of both lists, sorted by name; one in `fresh` replaces one of the same name in `old`.
std::vector<Slope> merge_slopes(const std::vector<Slope>& old, const std::vector<Slope>& fresh);
// Merges `fresh` into the file, which is replaced atomically. Throws BadSlopes if the existing file is
// invalid, std::runtime_error if the new one cannot be written.
void save_slopes(const std::string& path, const std::vector<Slope>& fresh);

}  // namespace trailcourse::scale
