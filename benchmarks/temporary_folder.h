// A temporary folder of a benchmark.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <string>
#include <system_error>

namespace trailcourse::bench {

// A new folder that is removed with its content when the object is destroyed. Its name consists of `prefix`,
// the process id and a number.
class TemporaryFolder {
 public:
  explicit TemporaryFolder(const std::string& prefix) {
    static int count = 0;
    path_ = std::filesystem::temp_directory_path() /
            (prefix + "-" + std::to_string(::getpid()) + "-" + std::to_string(++count));
    std::filesystem::remove_all(path_);
    std::filesystem::create_directories(path_);
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace trailcourse::bench
