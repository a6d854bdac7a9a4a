// What was measured of how a cost grows, in one file that the measuring tools write and the page of capacity
// is worked out from. Each slope has a name; a tool replaces its own by name and leaves the others alone.
//
// The form of growth is chosen by the points themselves, not assumed: see fit().
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

// (x, y): the size, and what was measured at it.
using Points = std::vector<std::pair<double, double>>;

struct Fit {
  Form form = Form::kConstant;
  double offset = 0.0;
  double slope = 0.0;
  double r_squared = 0.0;  // 1: exact
};

// Points that all lie within this share of their mean are constant.
constexpr double kConstantWithin = 0.05;
// A simpler form is preferred where its R squared is within this of the best.
constexpr double kSimplerWithin = 0.01;

// Least squares; the simplest form whose R squared is within kSimplerWithin of the best one's. Throws
// std::invalid_argument without any point.
Fit fit(const Points& points);
// What the fitted form says at `x`.
double value_at(const Fit& fit, double x);

struct Slope {
  std::string name;  // "store.calls.change.flat": unique in the file
  std::string what;  // in plain words
  std::string unit;  // of y
  std::string per;   // what x counts
  Fit fit;
  Points points;        // by x
  std::string setting;  // one of kSettings
  double bound = 0.0;   // the largest x measured
  std::string command;  // that measured it
  std::string date;     // "2026-12-02", UTC
  std::string commit;   // abbreviated
  std::string machine;  // "8 cores, 24 GiB"
};

constexpr std::string_view kSettings[] = {"real processes", "hollow, loopback sockets",
                                          "hollow, virtual time", "in process"};

// Names the entry and the field that cannot be used.
class BadSlopes : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A slope whose fit, bound, date, commit and machine are filled in from its points and from this machine.
// The rest is the caller's. Throws std::invalid_argument without any point.
Slope measured_here(Slope slope);

nlohmann::json write_slopes(const std::vector<Slope>& slopes);
// Throws BadSlopes.
std::vector<Slope> read_slopes(const nlohmann::json& list);
// Throws BadSlopes; without a file there are none.
std::vector<Slope> load_slopes(const std::string& path);
// `fresh` in the place of those of the same names, sorted by name.
std::vector<Slope> merge_slopes(const std::vector<Slope>& old, const std::vector<Slope>& fresh);
// Merges `fresh` into the file, whole or not at all. Throws BadSlopes, std::runtime_error.
void save_slopes(const std::string& path, const std::vector<Slope>& fresh);

}  // namespace trailcourse::scale
