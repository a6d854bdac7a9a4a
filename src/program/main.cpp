#include <iostream>

#include "program/command_line.h"

int main(int count, char** arguments) {
  return trailcourse::program::run_command(count, arguments, std::cout, std::cerr);
}
