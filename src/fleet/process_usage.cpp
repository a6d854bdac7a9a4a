#include "fleet/process_usage.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

namespace trailcourse::fleet {

ProcessUsage read_process_usage(pid_t process) {
  constexpr std::size_t kKilobyte = 1024;
  const std::string folder = "/proc/" + std::to_string(process);
  ProcessUsage usage;
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    std::istringstream fields(line);
    std::string name;
    std::size_t kilobytes = 0;
    fields >> name >> kilobytes;
    if (name == "VmRSS:") {
      usage.resident_bytes = kilobytes * kKilobyte;
    } else if (name == "VmHWM:") {
      usage.peak_resident_bytes = kilobytes * kKilobyte;
    } else if (name == "RssAnon:") {
      usage.anonymous_bytes = kilobytes * kKilobyte;
    }
  }
  std::error_code error;
  std::filesystem::directory_iterator entries(folder + "/fd", error);
  for (; !error && entries != std::filesystem::directory_iterator(); entries.increment(error)) {
    ++usage.descriptors;
  }
  return usage;
}

}  // namespace trailcourse::fleet
