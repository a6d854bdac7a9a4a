// Bytes of the store's calls on the wire, by the writers of the real program: HTTP headers and JSON bodies,
// without those of TCP and IP.
#pragma once

#include <cstddef>
#include <string_view>

#include "coordination/etcd_requests.h"
#include "coordination/etcd_responses.h"

namespace trailcourse::scale {

std::size_t call_bytes(std::string_view path, const nlohmann::json& body);
std::size_t answer_bytes(const nlohmann::json& body);
std::size_t line_bytes(const coordination::etcd::WatchResponse& line);
std::size_t transaction_bytes(const coordination::Transaction& transaction);

// Of calls whose size does not depend on what they are about but for some digits.
struct CallSizes {
  std::size_t grant = 0;
  std::size_t granted = 0;
  std::size_t renewal = 0;  // and of a revocation
  std::size_t renewed = 0;
  std::size_t written = 0;  // the answer to a transaction without a reading
  std::size_t watch = 0;
  std::size_t watch_created = 0;
  std::size_t heartbeat = 0;
};
const CallSizes& call_sizes();

}  // namespace trailcourse::scale
