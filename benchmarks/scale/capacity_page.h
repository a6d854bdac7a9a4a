// The capacity page: tables and figures worked out from its data and put between markers of a Markdown file,
// whose other text is left as it is.
//
//     <!-- table: plan -->             a table, up to the line <!-- end -->
//     <!--= routers * 2 | calls/s -->38,000 calls/s<!--.-->    one figure within a line
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>

#include "scale/capacity_page_data.h"

namespace trailcourse::scale {

// Names the line of the page and what is wrong with its marker.
class BadPage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A number with its unit as people read it: "3.42 million", "217 MB/s", "1.8%". Three digits count.
std::string show_number(double value, const std::string& unit);
// The same of a figure; one that is not known says "no slope", one beyond what was measured by which factor.
std::string show_figure(const Figure& figure, const std::string& unit);

class CapacityPage {
 public:
  // Throws FormulaError, BadCapacityData.
  explicit CapacityPage(CapacityData data);

  // The page with its tables and figures as they follow from the data. Throws BadPage, FormulaError.
  std::string fill(const std::string& page) const;
  // One table by the name of its marker: target, meaning, situations, plan, met, unknown, slopes, or role
  // NAME. Throws BadPage.
  std::string table(const std::string& name) const;

 private:
  std::string targets() const;
  std::string meaning() const;
  std::string situations() const;
  std::string role(const std::string& name) const;
  std::string plan(bool met) const;
  std::string unknown() const;
  std::string slopes() const;
  std::string fill_figures(const std::string& line, std::size_t number) const;
  std::string fill_cell(const std::string& cell) const;
  std::string show_formula(const std::string& formula_and_unit) const;

  CapacityData data_;
  FormulaNames names_;
};

// Where two texts differ first.
struct LineDifference {
  std::size_t line = 0;  // from 1
  std::string found;
  std::string expected;
};
std::optional<LineDifference> first_difference(const std::string& found, const std::string& expected);

}  // namespace trailcourse::scale
