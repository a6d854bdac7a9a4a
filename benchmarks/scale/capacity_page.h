// The capacity page: computes tables and figures from the capacity data and writes them between markers of a
// Markdown file. The rest of the file is unchanged.
//
//     <!-- table: plan -->             a table, which ends at the line <!-- end -->
//     <!--= routers * 2 | calls/s -->38,000 calls/s<!--.-->    one figure in a line
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>

#include "scale/capacity_page_data.h"

namespace trailcourse::scale {

// Thrown for an invalid marker; the message names the line or the table.
class InvalidPage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Formats a number with its unit: "3.42 million", "217 MB/s", "1.8%". Numbers are rounded to three
// significant digits, except whole numbers that need neither an SI prefix nor a word such as "million".
std::string format_number(double value, const std::string& unit);
// Formats a figure in the same way, rounded also if it is whole and depends on a slope. Appends the factor of
// extrapolation if the figure goes beyond the measured sizes, and the R squared if a fit is poor. Returns
// "no slope" if a slope is missing.
std::string format_figure(const Figure& figure, const std::string& unit);

// Fills in the capacity page from one set of data.
class CapacityPage {
 public:
  // Throws FormulaError, InvalidCapacityData.
  explicit CapacityPage(CapacityData data);

  // Returns `page` with its tables and figures computed from the data. Throws InvalidPage, FormulaError,
  // InvalidCapacityData.
  std::string fill(const std::string& page) const;
  // Returns the table with the name given in a marker: target, meaning, situations, plan, met, unknown,
  // slopes, or role NAME. Throws InvalidPage for an unknown name, InvalidCapacityData for invalid data, and
  // FormulaError.
  std::string table(const std::string& name) const;

 private:
  std::string targets_table() const;
  std::string meaning_table() const;
  std::string situations_table() const;
  std::string role_table(const std::string& name) const;
  // Lists the requirements that are met, or those that are not, sorted by descending ratio.
  std::string plan_table(bool met) const;
  // Lists the requirements and derived numbers whose slopes are missing, and the unknowable facts.
  std::string unknown_list() const;
  std::string slopes_table() const;
  // Returns the line with the text after each figure marker recomputed.
  std::string fill_figures(const std::string& line, std::size_t line_number) const;
  // Returns the cell with each "{FORMULA | UNIT}" replaced by its figure.
  std::string fill_cell(const std::string& cell) const;
  // Evaluates "FORMULA | UNIT" and formats the result. The unit may be omitted.
  std::string evaluate_and_format(const std::string& formula_and_unit) const;

  CapacityData data_;
  FormulaNames names_;
};

// The first line in which two texts differ.
struct LineDifference {
  std::size_t line = 0;  // counted from 1
  std::string found;
  std::string expected;
};
// Returns std::nullopt if the texts have the same lines.
std::optional<LineDifference> first_difference(const std::string& found, const std::string& expected);

}  // namespace trailcourse::scale
