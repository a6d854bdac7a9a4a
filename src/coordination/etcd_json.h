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
struct Header {
  std::uint64_t cluster = 0;
  Revision revision = 0;

  friend bool operator==(const Header&, const Header&) = default;
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

struct GrantCall {
  LeaseId id = 0;
  std::int64_t ttl_s = 0;
  std::int64_t ttl_ms = 0;  // an addition: 0: as ttl_s says. A real etcd passes over it.
};
nlohmann::json write_grant(const GrantCall& call);
GrantCall read_grant(const nlohmann::json& body);
// Of keep-alive and revoke.
nlohmann::json write_lease(LeaseId id);
LeaseId read_lease(const nlohmann::json& body);

struct WatchCall {
  Range range;
  Revision from = 0;  // 0: from now on
};
nlohmann::json write_watch(const WatchCall& call);
WatchCall read_watch(const nlohmann::json& body);

// Answers.
nlohmann::json write_outcome(const Header& header, const Transaction& asked, const Outcome& outcome);
// `asked` tells which steps were to be done.
Outcome read_outcome(const nlohmann::json& body, const Transaction& asked, Header& header);
nlohmann::json write_entries(const Header& header, const std::vector<Entry>& entries);

struct Granted {
  LeaseId id = 0;
  std::int64_t ttl_ms = 0;  // 0: there is no such lease
};
nlohmann::json write_granted(const Header& header, const Granted& granted);
Granted read_granted(const nlohmann::json& body, Header& header);
nlohmann::json write_header(const Header& header);
Header read_header(const nlohmann::json& body);

// One line of a watch.
struct WatchLine {
  Header header;
  bool created = false;
  bool canceled = false;
  Revision compacted = 0;  // of a canceled one: what is earlier is not known any more
  std::vector<Change> changes;
};
nlohmann::json write_watch_line(const WatchLine& line);
WatchLine read_watch_line(const nlohmann::json& body);

// gRPC's numbers of errors (https://grpc.io/docs/guides/status-codes/), as the gateway tells them.
enum class Code { kInvalidArgument = 3, kNotFound = 5, kOutOfRange = 11, kUnavailable = 14 };
nlohmann::json write_error(Code code, const std::string& text);
struct Error {
  int code = 0;
  std::string text;
};
std::optional<Error> read_error(const nlohmann::json& body);

}  // namespace trailcourse::coordination::etcd
