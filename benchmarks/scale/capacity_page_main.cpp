// Works out the tables of docs/CAPACITY.md from docs/capacity/*.json.
//
//     capacity_page --write [--root FOLDER]     puts them into the page
//     capacity_page --check [--root FOLDER]     fails where the page does not agree, naming the first line
//
// Exit status: 0; 1: the page or its data cannot be used; 2: the page does not agree with its data.
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

constexpr int kUnusable = 1;
constexpr int kDiffers = 2;

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
      "%s:%zu: does not agree with docs/capacity; run capacity_page --write\n found: %s\n data:  %s\n",
      path.c_str(), difference->line, difference->found.c_str(), difference->expected.c_str());
  return kDiffers;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("capacity_page", "The tables of docs/CAPACITY.md, from docs/capacity/*.json");
  options.add_options()("write", "put them into the page")("check", "fail where the page does not agree")(
      "root", "of the repository", cxxopts::value<std::string>()->default_value("."))("help", "this text");
  try {
    const auto given = options.parse(argc, argv);
    const bool write = given.count("write") > 0;
    if (given.count("help") > 0 || write == (given.count("check") > 0)) {
      std::printf("%s", options.help().c_str());
      return given.count("help") > 0 ? 0 : kUnusable;
    }
    return run(given["root"].as<std::string>(), write);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "capacity_page: %s\n", error.what());
    return kUnusable;
  }
}
