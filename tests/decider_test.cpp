#include <gtest/gtest.h>
#include <trailcourse/decider.h>
