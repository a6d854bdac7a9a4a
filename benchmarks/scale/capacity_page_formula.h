// The formulas of the capacity page: arithmetic over the names of targets and of figures worked out before,
// and over measured slopes. A formula that needs a slope which was not measured has no value and says which.
//
//     formula = term { ("+" | "-") term }
//     term    = factor { ("*" | "/") factor }
//     factor  = number | name | call | "-" factor | "(" formula ")"
//     call    = "fit" "(" slope "," formula ")"    the cost at a size, by the form that was fitted
//             | "measured" "(" slope "," formula ")"    what was measured at just that size, if anything was
//             | "min" | "max" | "ceil"  "(" formula { "," formula } ")"
//
// Names are made of lower-case letters, digits, `_` and `.`; those of slopes may stand in quotes.
#pragma once

#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>

#include "scale/slopes.h"

namespace trailcourse::scale {

// Names the formula and what is wrong with it.
class FormulaError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Figure {
  double value = 0.0;             // of no meaning where a slope is missing
  std::set<std::string> missing;  // slopes that were not measured
  std::set<std::string> slopes;   // that it was worked out from
  double beyond = 1.0;            // the largest size asked of a slope over the largest measured; 1 at least
  double r_squared = 1.0;         // of the worst fit that it was worked out from

  bool known() const { return missing.empty(); }
};

// What a formula may name.
struct FormulaNames {
  std::map<std::string, Figure> figures;
  std::map<std::string, Slope> slopes;
};

// Throws FormulaError: what cannot be parsed, a name that is none, a division by nought.
Figure evaluate(std::string_view formula, const FormulaNames& names);

}  // namespace trailcourse::scale
