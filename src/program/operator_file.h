// The operator's file: everything that the platform does not tell, in sections of typed records. JSON with
// comments.
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
  std::vector<std::string> sections;  // that the file has
};

// Throws ConfigurationError, one line that names section and key. `needed`: sections that must be there.
OperatorFile read_operator_file(const std::string& path, const std::vector<std::string>& needed);
OperatorFile parse_operator_file(const std::string& text, const std::string& path,
                                 const std::vector<std::string>& needed);

// The JSON Schema of the whole file.
nlohmann::json operator_schema();
// The rows of docs/configuration.md for each section, in the order of the page.
std::string operator_documentation();
// Every key with the value in force, unit and reason.
void print_operator_file(const OperatorFile& file, std::ostream& out);

}  // namespace trailcourse::program
