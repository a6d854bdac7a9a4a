// Sizes of the store's calls on the wire in bytes: HTTP headers and JSON bodies, without the headers of TCP
// and IP. Computed by writing each call with the production code.
#pragma once

#include <cstddef>
#include <string_view>

#include "coordination/etcd_requests.h"
#include "coordination/etcd_responses.h"

namespace trailcourse::scale {

std::size_t request_size(std::string_view path, const nlohmann::json& body);
std::size_t response_size(const nlohmann::json& body);
std::size_t watch_event_size(const coordination::etcd::WatchResponse& response);
// Returns the size of the request that sends this transaction.
std::size_t transaction_size(const coordination::Transaction& transaction);

// Sizes of the calls whose size varies only by a few digits.
struct CallSizes {
  std::size_t grant_request = 0;
  std::size_t grant_response = 0;
  std::size_t lease_request = 0;   // of a renewal or a revocation
  std::size_t lease_response = 0;  // to a renewal or a revocation
  std::size_t write_response = 0;  // to a transaction that reads nothing
  std::size_t watch_request = 0;
  std::size_t watch_response = 0;
  std::size_t heartbeat = 0;
};
const CallSizes& call_sizes();

}  // namespace trailcourse::scale
