// The requests of etcd's v3 interface as JSON, as its gateway accepts them
// (https://etcd.io/docs/v3.5/dev-guide/api_grpc_gateway/; messages in api/etcdserverpb/rpc.proto). This
// file has readers and writers, so that client and server are tested against each other.
//
// Library `coordination`: no I/O, no clock. Every read function checks the complete message and throws
// BadMessage if it is invalid.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

#include "coordination/etcd_fields.h"
#include "coordination/types.h"

namespace trailcourse::coordination::etcd {

constexpr std::string_view kTxnPath = "/v3/kv/txn";
constexpr std::string_view kRangePath = "/v3/kv/range";
constexpr std::string_view kPutPath = "/v3/kv/put";
constexpr std::string_view kDeletePath = "/v3/kv/deleterange";
constexpr std::string_view kCompactPath = "/v3/kv/compaction";
constexpr std::string_view kGrantPath = "/v3/lease/grant";
constexpr std::string_view kKeepAlivePath = "/v3/lease/keepalive";
constexpr std::string_view kRevokePath = "/v3/lease/revoke";
constexpr std::string_view kWatchPath = "/v3/watch";

nlohmann::json write_transaction(const Transaction& transaction);
Transaction read_transaction(const nlohmann::json& body);
nlohmann::json write_range(const Range& range);
Range read_range(const nlohmann::json& body);
nlohmann::json write_put(const Put& put);
Put read_put(const nlohmann::json& body);

struct LeaseGrantRequest {
  LeaseId id = 0;  // 0: the store chooses one
  std::int64_t ttl_s = 0;
  std::int64_t ttl_ms = 0;  // an extension that etcd ignores; 0: `ttl_s` applies
};
nlohmann::json write_lease_grant_request(const LeaseGrantRequest& request);
LeaseGrantRequest read_lease_grant_request(const nlohmann::json& body);

// The request of both keep-alive and revoke.
nlohmann::json write_lease_request(LeaseId id);
LeaseId read_lease_request(const nlohmann::json& body);

struct WatchRequest {
  Range range;
  Revision start_revision = 0;  // 0: only changes after the request
};
nlohmann::json write_watch_request(const WatchRequest& request);
WatchRequest read_watch_request(const nlohmann::json& body);

}  // namespace trailcourse::coordination::etcd
