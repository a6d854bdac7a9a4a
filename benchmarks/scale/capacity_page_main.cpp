// Computes the tables and figures of docs/CAPACITY.md from docs/capacity/*.json.
//
//     capacity_page --write [--root FOLDER]     updates the page
//     capacity_page --check [--root FOLDER]     fails if the page is out of date, prints the first difference
//
// Exit status: 0 on success; 1 for invalid arguments, page or data, or a file error; 2 if the page is out of
// date.
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>

#include "scale/capacity_page.h"

namespace {

using trailcourse::scale::CapacityPage;
using trailcourse::scale::first_difference;
using trailcourse::scale::load_capacity_data;

constexpr int kInvalid = 1;
constexpr int kOutOfDate = 2;

std::string read_file(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw std::runtime_error(path + ": cannot be read");
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

void write_file(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  if (!file) {
    throw std::runtime_error(path + ": cannot be written");
  }
}

int run(const std::string& root, bool write) {
  const std::string path = root + "/docs/CAPACITY.md";
  const std::string found = read_file(path);
  const std::string expected = CapacityPage(load_capacity_data(root + "/docs/capacity")).fill(found);
  if (write) {
    write_file(path, expected);
    return 0;
  }
  const auto difference = first_difference(found, expected);
  if (!difference) {
    return 0;
  }
  std::fprintf(
      stderr,
      "%s:%zu: does not match docs/capacity; run capacity_page --write\n found:    %s\n expected: %s\n",
      path.c_str(), difference->line, difference->found.c_str(), difference->expected.c_str());
  return kOutOfDate;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("capacity_page",
                           "Computes the tables and figures of docs/CAPACITY.md from docs/capacity/*.json.");
  options.add_options()("write", "update the page")("check", "fail if the page is out of date")(
      "root", "root folder of the repository", cxxopts::value<std::string>()->default_value("."))(
      "help", "print this help");
  try {
    const auto parsed = options.parse(argc, argv);
    const bool write = parsed.count("write") > 0;
    if (parsed.count("help") > 0 || write == (parsed.count("check") > 0)) {
      std::printf("%s", options.help().c_str());
      return parsed.count("help") > 0 ? 0 : kInvalid;
    }
    return run(parsed["root"].as<std::string>(), write);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "capacity_page: %s\n", error.what());
    return kInvalid;
  }
}
