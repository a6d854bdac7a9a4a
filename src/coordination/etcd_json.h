// The store's calls and answers as JSON over HTTP, in the form of etcd's published v3 gateway
// (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/; messages in api/etcdserverpb/rpc.proto): bytes in
// Base64, 64-bit numbers as strings, values by default left out. Both sides stand here, the driver's and the
// registry's, so that one is tested against the other; what is read is checked whole before it is used.
//
// Package `coordination`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/types.h"

namespace trailcourse::coordination::etcd {

// What cannot be used: names the field and what is wrong with it.
class BadMessage : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Which store answered, and where it stood.
struct ResponseHeader {
  std::uint64_t cluster = 0;
  Revision revision = 0;

  friend bool operator==(const ResponseHeader&, const ResponseHeader&) = default;
};

constexpr std::string_view kTxnPath = "/v3/kv/txn";
constexpr std::string_view kRangePath = "/v3/kv/range";
constexpr std::string_view kPutPath = "/v3/kv/put";
constexpr std::string_view kDeletePath = "/v3/kv/deleterange";
constexpr std::string_view kCompactPath = "/v3/kv/compaction";
constexpr std::string_view kGrantPath = "/v3/lease/grant";
constexpr std::string_view kKeepAlivePath = "/v3/lease/keepalive";
constexpr std::string_view kRevokePath = "/v3/lease/revoke";
constexpr std::string_view kWatchPath = "/v3/watch";

std::string to_base64(std::string_view bytes);
// Throws BadMessage that names `field`.
std::string from_base64(std::string_view text, const std::string& field);
// Parses a body that must be an object; throws BadMessage.
nlohmann::json parse_object(std::string_view body);

// Calls.
nlohmann::json write_transaction(const Transaction& transaction);
Transaction read_transaction(const nlohmann::json& body);
nlohmann::json write_range(const Range& range);
Range read_range(const nlohmann::json& body);
nlohmann::json write_put(const Put& put);
Put read_put(const nlohmann::json& body);

struct LeaseGrantRequest {
  LeaseId id = 0;
  std::int64_t ttl_s = 0;
  std::int64_t ttl_ms = 0;  // an addition: 0: as ttl_s says. A real etcd passes over it.
};
nlohmann::json write_lease_grant_request(const LeaseGrantRequest& call);
LeaseGrantRequest read_lease_grant_request(const nlohmann::json& body);
// Of keep-alive and revoke.
nlohmann::json write_lease_request(LeaseId id);
LeaseId read_lease_request(const nlohmann::json& body);

struct WatchRequest {
  Range range;
  Revision from = 0;  // 0: from now on
};
nlohmann::json write_watch_request(const WatchRequest& call);
WatchRequest read_watch_request(const nlohmann::json& body);

// Answers.
nlohmann::json write_transaction_result(const ResponseHeader& header, const Transaction& asked, const TransactionResult& outcome);
// `asked` tells which steps were to be done.
TransactionResult read_transaction_result(const nlohmann::json& body, const Transaction& asked, ResponseHeader& header);
nlohmann::json write_range_response(const ResponseHeader& header, const std::vector<Entry>& entries);

struct LeaseGrantResponse {
  LeaseId id = 0;
  std::int64_t ttl_ms = 0;  // 0: there is no such lease
};
nlohmann::json write_lease_grant_response(const ResponseHeader& header, const LeaseGrantResponse& granted);
LeaseGrantResponse read_lease_grant_response(const nlohmann::json& body, ResponseHeader& header);
nlohmann::json write_header(const ResponseHeader& header);
ResponseHeader read_header(const nlohmann::json& body);

// One line of a watch.
struct WatchResponse {
  ResponseHeader header;
  bool created = false;
  bool canceled = false;
  Revision compacted = 0;  // of a canceled one: what is earlier is not known any more
  std::vector<KeyChange> changes;
};
nlohmann::json write_watch_response(const WatchResponse& line);
WatchResponse read_watch_response(const nlohmann::json& body);

// gRPC's numbers of errors (https://grpc.io/docs/guides/status-codes/), as the gateway tells them.
enum class ErrorCode { kInvalidArgument = 3, kNotFound = 5, kOutOfRange = 11, kUnavailable = 14 };
nlohmann::json write_error(ErrorCode code, const std::string& text);
struct ErrorResponse {
  int code = 0;
  std::string text;
};
std::optional<ErrorResponse> read_error(const nlohmann::json& body);

}  // namespace trailcourse::coordination::etcd
