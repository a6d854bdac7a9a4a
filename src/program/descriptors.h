// The system's limit on the descriptors of this process.
#pragma once

#include <cstdint>

namespace trailcourse::program {

// The limit told is kept by the system: beyond it calls fail, and are handled as such. It is raised too, as
// far as the system lets it be.
void limit_descriptors(std::int64_t most);

}  // namespace trailcourse::program
