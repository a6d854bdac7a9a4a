// The sections `coordination` and `registry` of the operator's file. The fields have the names of the keys;
// times are in milliseconds.
//
// Library `coordination`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/record.h"

namespace trailcourse::coordination {

// How a process reaches the coordination store. coordination_record() describes each key.
struct CoordinationOptions {
  std::string store = "none";
  std::vector<std::string> endpoints;
  std::string folder;
  std::string store_id;
  std::string prefix = "trailcourse/";
  std::int64_t call_ms = 1'000;
  std::int64_t connect_ms = 400;
  std::int64_t rest_ms = 200;
  std::int64_t longest_rest_ms = 5'000;
  std::int64_t watch_silent_ms = 15'000;
  std::int64_t look_ms = 50;
};
// Returns the keys of the section `coordination`, with descriptions, units and bounds.
const config::Record<CoordinationOptions>& coordination_record();

// Options of the coordination server that `trailcourse registry` runs. registry_record() describes each key.
struct RegistryOptions {
  std::string listen;
  std::string folder;
  std::int64_t connections = 4'096;
  std::int64_t entries = 100'000;
  std::int64_t history = 10'000;
};
// Returns the keys of the section `registry`, with descriptions, units and bounds.
const config::Record<RegistryOptions>& registry_record();

}  // namespace trailcourse::coordination
