#include "scale/store_call_sizes.h"

#include <nlohmann/json.hpp>

#include "protocol/http_client.h"
#include "protocol/http_request.h"

namespace trailcourse::scale {

namespace etcd = coordination::etcd;

namespace {

constexpr std::string_view kHost = "10.0.0.1:2379";
constexpr std::size_t kChunkFraming = 7;  // bytes: a length of three digits and two line ends
constexpr coordination::LeaseId kLease = 1'234'567'890'123'456'789;
constexpr etcd::ResponseHeader kHeader{1'234'567'890'123'456'789, 1'234'567};
constexpr std::int64_t kTtlMs = 3'000;

CallSizes compute_call_sizes() {
  CallSizes out;
  out.grant_request =
      request_size(etcd::kGrantPath, etcd::write_lease_grant_request({0, kTtlMs / 1'000, kTtlMs}));
  out.grant_response = response_size(etcd::write_lease_grant_response(kHeader, {kLease, kTtlMs}));
  out.lease_request = request_size(etcd::kKeepAlivePath, etcd::write_lease_request(kLease));
  out.lease_response =
      response_size({{"result", etcd::write_lease_grant_response(kHeader, {kLease, kTtlMs})}});
  const coordination::Transaction write{{}, {coordination::Put{"key", "value", kLease}}, {}};
  out.write_response = response_size(etcd::write_transaction_result(
      kHeader, write,
      coordination::TransactionResult{true, kHeader.revision, {coordination::OperationResult{}}}));
  out.watch_request =
      request_size(etcd::kWatchPath,
                   etcd::write_watch_request({coordination::Range{"trailcourse/policy/", true}, 1'234'567}));
  etcd::WatchResponse response;
  response.header = kHeader;
  out.heartbeat = watch_event_size(response);
  response.created = true;
  out.watch_response = watch_event_size(response);
  return out;
}

}  // namespace

std::size_t request_size(std::string_view path, const nlohmann::json& body) {
  return protocol::http::write_post(path, kHost, body.dump()).size();
}

std::size_t response_size(const nlohmann::json& body) {
  return protocol::http::write_response(200, "OK", "", body.dump()).size();
}

std::size_t watch_event_size(const etcd::WatchResponse& response) {
  return etcd::write_watch_response(response).dump().size() + kChunkFraming;
}

std::size_t transaction_size(const coordination::Transaction& transaction) {
  return request_size(etcd::kTxnPath, etcd::write_transaction(transaction));
}

const CallSizes& call_sizes() {
  static const CallSizes sizes = compute_call_sizes();
  return sizes;
}

}  // namespace trailcourse::scale
