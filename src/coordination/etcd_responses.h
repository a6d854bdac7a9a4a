// The responses of etcd's v3 interface as JSON, as its gateway writes them (messages in
// api/etcdserverpb/rpc.proto). Both directions are here, so that the client and the server are tested against
// each other.
//
// Package `coordination`: no I/O, no clock. Every read function checks the whole message and throws
// BadMessage.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "coordination/etcd_fields.h"
#include "coordination/types.h"

namespace trailcourse::coordination::etcd {

// Which store answered, and the revision it had.
struct ResponseHeader {
  std::uint64_t cluster = 0;
  Revision revision = 0;

  friend bool operator==(const ResponseHeader&, const ResponseHeader&) = default;
};
nlohmann::json write_header(const ResponseHeader& header);
ResponseHeader read_header(const nlohmann::json& body);

nlohmann::json write_transaction_result(const ResponseHeader& header, const Transaction& requested,
                                        const TransactionResult& result);
// `requested` is the transaction that the response belongs to.
TransactionResult read_transaction_result(const nlohmann::json& body, const Transaction& requested,
                                          ResponseHeader& header);

nlohmann::json write_range_response(const ResponseHeader& header, const std::vector<Entry>& entries);

// The response of both grant and keep-alive.
struct LeaseGrantResponse {
  LeaseId id = 0;
  std::int64_t ttl_ms = 0;  // 0: there is no such lease
};
nlohmann::json write_lease_grant_response(const ResponseHeader& header, const LeaseGrantResponse& granted);
LeaseGrantResponse read_lease_grant_response(const nlohmann::json& body, ResponseHeader& header);

// One line of a watch's stream.
struct WatchResponse {
  ResponseHeader header;
  bool created = false;
  bool canceled = false;
  Revision compacted = 0;  // of a canceled watch: earlier revisions are not available any more
  std::vector<KeyChange> changes;
};
nlohmann::json write_watch_response(const WatchResponse& response);
WatchResponse read_watch_response(const nlohmann::json& body);

// The gRPC status codes that are used (https://grpc.io/docs/guides/status-codes/).
enum class ErrorCode { kInvalidArgument = 3, kNotFound = 5, kOutOfRange = 11, kUnavailable = 14 };
struct ErrorResponse {
  int code = 0;  // a gRPC status code, also one that ErrorCode does not name; 0: none was given
  std::string text;
};
nlohmann::json write_error(ErrorCode code, const std::string& text);
// Returns nothing if the body is no error.
std::optional<ErrorResponse> read_error(const nlohmann::json& body);

}  // namespace trailcourse::coordination::etcd
