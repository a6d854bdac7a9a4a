// Puts the parts together and runs them until a signal asks for the end.
#pragma once

#include "program/configuration.h"

namespace trailcourse::program {

// Gives the exit status. Throws std::system_error where it cannot start.
int serve(const Configuration& configuration);

}  // namespace trailcourse::program
