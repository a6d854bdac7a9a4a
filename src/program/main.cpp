#include <iostream>

#include "program/command_line.h"

int main(int count, char** words) {
  return trailcourse::program::run_command(count, words, std::cout, std::cerr);
}
