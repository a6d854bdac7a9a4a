// The operator's file: all configuration that the platform does not provide, as JSON with comments, in
// sections of typed records.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "aggregation/options.h"
#include "cache_node/node_options.h"
#include "coordination/options.h"
#include "discovery/long_poll_scheduler.h"
#include "policy/options.h"
#include "program/configuration.h"
#include "store/options.h"
#include "tasks/options.h"

namespace trailcourse::program {

struct OperatorFile {
  store::Options store;
  cache_node::NodeOptions cache;
  cache_node::ClassMap classes;
  cache_node::OriginOptions origin;
  discovery::DiscoveryOptions board;
  startup::StartOptions startup;
  snapshot::SnapshotOptions snapshot;
  RelayOptions relay;
  coordination::CoordinationOptions coordination;
  coordination::RegistryOptions registry;
  aggregation::AggregatorOptions aggregator;
  aggregation::AggregationOptions aggregation;
  tasks::OwnershipOptions ownership;
  policy::PolicyOptions policy;
  Tuning router;
  std::vector<std::string> sections;  // names of the sections that are present in the file
};

// Reads and checks the file. Throws ConfigurationError, whose text is one line that names section and key,
// also if one of the required sections is missing. parse_operator_file() uses `path` in errors only.
OperatorFile read_operator_file(const std::string& path, const std::vector<std::string>& required_sections);
OperatorFile parse_operator_file(const std::string& text, const std::string& path,
                                 const std::vector<std::string>& required_sections);

// Returns the JSON Schema of the whole file.
nlohmann::json operator_schema();
// Returns the tables of docs/configuration.md, one for each section.
std::string operator_documentation();
// Prints each key with the value in force, its unit and its description.
void print_operator_file(const OperatorFile& file, std::ostream& out);

}  // namespace trailcourse::program
