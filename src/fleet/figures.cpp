#include "fleet/figures.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

namespace trailcourse::fleet {

double quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0.0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
  return values[std::min(values.size() - 1, rank > 0 ? rank - 1 : 0)];
}

Footprint footprint_of(pid_t pid) {
  Footprint out;
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  long pages = 0;
  long resident = 0;
  if (file >> pages >> resident) {
    out.resident_mb =
        static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1'048'576.0;
  }
  std::error_code error;
  const std::filesystem::directory_iterator open("/proc/" + std::to_string(pid) + "/fd", error);
  if (!error) {
    out.descriptors = static_cast<int>(std::distance(begin(open), end(open)));
  }
  return out;
}

}  // namespace trailcourse::fleet
