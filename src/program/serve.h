// Puts the parts together and runs them until a signal asks for the end.
#pragma once

#include <functional>

#include "program/configuration.h"

namespace trailcourse::program {

// Reads the configuration again, from where it was read first. Throws as read_configuration does.
using Reread = std::function<Configuration()>;

// Gives the exit status. Throws std::system_error where it cannot start.
int serve(const Configuration& configuration, const Reread& reread);

}  // namespace trailcourse::program
