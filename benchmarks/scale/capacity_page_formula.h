// Formulas of the capacity page: arithmetic over named targets, previously computed figures and measured
// slopes. A formula has no value if it needs a slope that was not measured. Its result then lists the missing
// slopes.
//
//     formula = term { ("+" | "-") term }
//     term    = factor { ("*" | "/") factor }
//     factor  = number | name | call | "-" factor | "(" formula ")"
//     call    = "fit" "(" slope "," formula ")"    value of the fitted form at a size
//             | "measured" "(" slope "," formula ")"    the value measured at exactly this size
//             | "min" | "max" | "ceil"  "(" formula { "," formula } ")"
//
// Names consist of lower-case letters, digits, `_` and `.`, and start with a letter. The name of a slope may
// be quoted.
#pragma once

#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>

#include "scale/slopes.h"

namespace trailcourse::scale {

// Thrown for an invalid formula; the message contains the formula, the position and the reason.
class FormulaError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Result of a formula, or a target, with the slopes that it was computed from.
struct Figure {
  double value = 0.0;             // not meaningful if a slope is missing
  std::set<std::string> missing;  // names of the slopes needed but not measured
  std::set<std::string> slopes;   // names of the slopes used
  // Largest ratio of the size at which a slope was evaluated to its largest measured size; at least 1.
  double extrapolation = 1.0;
  double r_squared = 1.0;  // of the worst fit used

  bool known() const { return missing.empty(); }
};

// Figures and slopes that a formula can refer to by name.
struct FormulaNames {
  std::map<std::string, Figure> figures;
  std::map<std::string, Slope> slopes;
};

// Evaluates a formula. Throws FormulaError for a syntax error, an unknown name or a division by zero.
Figure evaluate(std::string_view formula, const FormulaNames& names);

}  // namespace trailcourse::scale
