// The responses of etcd's v3 interface as JSON, as its gateway writes them (messages in
// api/etcdserverpb/rpc.proto). This file has readers and writers, so that client and server are tested
// against each other.
//
// Library `coordination`: no I/O, no clock. Every read function checks the complete message and throws
// BadMessage if it is invalid.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "coordination/etcd_fields.h"
#include "coordination/types.h"

namespace trailcourse::coordination::etcd {

// The identity of the store that responded, and its revision.
struct ResponseHeader {
  std::uint64_t cluster = 0;
  Revision revision = 0;

  friend bool operator==(const ResponseHeader&, const ResponseHeader&) = default;
};
nlohmann::json write_header(const ResponseHeader& header);
ResponseHeader read_header(const nlohmann::json& body);

nlohmann::json write_transaction_result(const ResponseHeader& header, const Transaction& requested,
                                        const TransactionResult& result);
// `requested` is the transaction that was sent; `header` is set to the header of the response.
TransactionResult read_transaction_result(const nlohmann::json& body, const Transaction& requested,
                                          ResponseHeader& header);

nlohmann::json write_range_response(const ResponseHeader& header, const std::vector<Entry>& entries);

// The response of both grant and keep-alive.
struct LeaseGrantResponse {
  LeaseId id = 0;
  std::int64_t ttl_ms = 0;  // 0: the lease does not exist
};
nlohmann::json write_lease_grant_response(const ResponseHeader& header, const LeaseGrantResponse& granted);
// Sets `header` to the header of the response.
LeaseGrantResponse read_lease_grant_response(const nlohmann::json& body, ResponseHeader& header);

// One line of the response stream of a watch.
struct WatchResponse {
  ResponseHeader header;
  bool created = false;
  bool canceled = false;
  Revision compacted = 0;  // if the watch was canceled: changes before this revision were compacted; 0: none
  std::vector<KeyChange> changes;
};
nlohmann::json write_watch_response(const WatchResponse& response);
WatchResponse read_watch_response(const nlohmann::json& body);

// The gRPC status codes that are used (https://grpc.io/docs/guides/status-codes/).
enum class ErrorCode { kInvalidArgument = 3, kNotFound = 5, kOutOfRange = 11, kUnavailable = 14 };
struct ErrorResponse {
  int code = 0;  // a gRPC status code, which ErrorCode need not contain; 0: the response has no code
  std::string text;
};
nlohmann::json write_error(ErrorCode code, const std::string& text);
// Returns the error in the body, or nothing if there is none.
std::optional<ErrorResponse> read_error(const nlohmann::json& body);

}  // namespace trailcourse::coordination::etcd
