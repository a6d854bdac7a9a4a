// Reads the requests of clients: what a request asks for, from its FastCGI parameters.
//
// Library `routing`: no I/O and no clock.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "protocol/fastcgi.h"
#include "routing/router.h"

namespace trailcourse::routing {

// The parameters that requests use; empty where absent. They refer to the parameters that they were read
// from.
struct RequestFields {
  std::string_view path;  // SCRIPT_NAME
  std::string_view content_length;
  std::string_view call_id;
  std::string_view patience_ms;
  std::string_view is_repeat;
  std::string_view dedupe_key;
  std::string_view object;
  std::string_view part;
  std::string_view purge_group;
  std::string_view size_kb;
  std::string_view client_tag;
  std::string_view is_traced;
};

// Reads the known parameters in one pass. Of parameters with the same name the first one counts.
RequestFields read_request_fields(const protocol::fastcgi::Parameters& parameters);

// A request as its parameters describe it, or the reason why it is invalid.
struct ParsedRequest {
  ClientRequest request;
  std::uint64_t call_id = 0;  // X-Call-Id
  std::string error;          // the invalid field; empty: the request is valid
};

// Parses a request. `class_index` maps the names of request classes to their indices in `settings`.
ParsedRequest parse_request(const RequestFields& fields, std::string body,
                            const std::unordered_map<std::string, int>& class_index,
                            const Settings& settings);

}  // namespace trailcourse::routing
