// Slopes: costs measured at several sizes, each with the growth that was fitted to them. The benchmarks write
// all slopes to one file, from which the capacity page is computed. A benchmark replaces its own slopes in
// the file, by name, and keeps the others.
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

// Forms of growth: y = offset + slope * f(x), where f(x) is 0, x, x * ln(x) or x^2.
enum class FitForm { kConstant, kLinear, kLinearithmic, kQuadratic };
const char* to_string(FitForm form);

// Points (x, y): x is the size, y the value measured at that size.
using Points = std::vector<std::pair<double, double>>;

// The growth fitted to a set of points.
struct Fit {
  FitForm form = FitForm::kConstant;
  double offset = 0.0;
  double slope = 0.0;
  double r_squared = 0.0;  // coefficient of determination; 1 is an exact fit
};

// Points are constant if no y deviates from the mean of all y by more than this fraction of the mean.
constexpr double kConstantTolerance = 0.05;
// A simpler form is preferred if its R squared is at most this much below that of the best form.
constexpr double kSimplerFormTolerance = 0.01;

// Fits each form by least squares and returns the simplest one whose R squared is within
// kSimplerFormTolerance of the best. Throws std::invalid_argument if `points` is empty.
Fit fit(const Points& points);
// Returns the value of the fitted form at `x`.
double value_at(const Fit& fit, double x);

// A cost with its measured points, its fitted growth and the conditions of the measurement.
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

// Ways to run a measurement: the allowed values of Slope::setting. In the "hollow" ones, simplified
// implementations replace the real clients or routers.
constexpr std::string_view kSettings[] = {"real processes", "hollow, loopback sockets",
                                          "hollow, virtual time", "in process"};

// Thrown for an invalid list of slopes; the message names the entry and the field.
class InvalidSlopes : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Completes a slope that was measured on this machine: sorts its points and sets its fit, bound, date, commit
// and machine. The caller sets the other fields. Throws std::invalid_argument if there are no points.
Slope complete_slope(Slope slope);

// Converts slopes to a JSON array.
nlohmann::json write_slopes(const std::vector<Slope>& slopes);
// Converts a JSON array to slopes. Throws InvalidSlopes if it is invalid.
std::vector<Slope> read_slopes(const nlohmann::json& list);
// Reads the slopes from a file. Returns no slopes if the file does not exist or cannot be opened. Throws
// InvalidSlopes for invalid content.
std::vector<Slope> load_slopes(const std::string& path);
// Returns all slopes of both lists, sorted by name. A slope in `fresh` replaces one of the same name in
// `old`.
std::vector<Slope> merge_slopes(const std::vector<Slope>& old, const std::vector<Slope>& fresh);
// Merges `fresh` into the file, which is replaced atomically. Throws InvalidSlopes if the existing file is
// invalid, std::runtime_error if the new one cannot be written.
void save_slopes(const std::string& path, const std::vector<Slope>& fresh);

}  // namespace trailcourse::scale
