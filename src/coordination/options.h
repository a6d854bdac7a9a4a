// The section `coordination` of the operator's file, and that of the registry.
//
// Package `coordination`.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/record.h"

namespace trailcourse::coordination {

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
const config::Record<CoordinationOptions>& coordination_record();

struct RegistryOptions {
  std::string listen;
  std::string folder;
  std::int64_t connections = 4'096;
  std::int64_t entries = 100'000;
  std::int64_t history = 10'000;
};
const config::Record<RegistryOptions>& registry_record();

}  // namespace trailcourse::coordination
