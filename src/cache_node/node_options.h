// The sections `cache`, `classes` and `origin` of the operator's file. The field descriptions are in
// node_options.cpp.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/record.h"
#include "protocol/cache_answer.h"

namespace trailcourse::cache_node {

// Section `cache`: the options of a cache node.
struct NodeOptions {
  std::string name;
  std::string listen;
  std::string board;
  std::vector<std::string> sources;
  std::string fill_from;
  std::string origin;
  std::int64_t open_requests = 1'024;
  std::int64_t in_flight_mb = 64;
  std::int64_t fills = 64;
  std::int64_t value_kb = 65'536;
  std::int64_t answer_bytes = protocol::kMaxObjectBytes;
  std::int64_t connections = 256;
  std::int64_t source_connections = 8;
  std::int64_t connect_ms = 400;
  std::int64_t idle_ms = 15'000;
  std::int64_t board_wait_ms = 2'000;
  std::int64_t report_s = 60;
  std::string fence_folder;
};
const config::Record<NodeOptions>& node_record();

// Section `classes`: how requests of one class are treated.
struct ClassOptions {
  std::int64_t fresh_ms = 0;
  std::string use = "kept";
};
const config::Record<ClassOptions>& class_record();
using ClassMap = std::map<std::string, ClassOptions>;

// Section `origin`: the options of an Origin.
struct OriginOptions {
  std::string listen;
  std::string name = "origin";
  std::string folder;
  std::int64_t size_kb = 64;
  std::int64_t delay_ms = 0;
  std::int64_t kb_per_s = 0;
  std::int64_t transfers = 64;
};
const config::Record<OriginOptions>& origin_record();

}  // namespace trailcourse::cache_node
