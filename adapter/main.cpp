// The adapter process: reads lines of the bench protocol from standard input and replies on standard output.
#include <exception>
#include <iostream>
#include <string>

#include "wire.h"

int main() {
  std::ios::sync_with_stdio(false);
  trailcourse::wire::Adapter adapter(std::cout);
  std::string line;
  try {
    while (std::getline(std::cin, line)) {
      if (!line.empty()) {
        adapter.handle_line(line);
      }
    }
  } catch (const std::exception& error) {
    std::cerr << "trailcourse_adapter: " << error.what() << '\n';
    return 2;
  }
  return 0;
}
