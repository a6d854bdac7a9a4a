#include "scale/hollow_wire.h"

#include <nlohmann/json.hpp>

#include "protocol/http_client.h"
#include "protocol/http_request.h"

namespace trailcourse::scale {

namespace etcd = coordination::etcd;

namespace {

constexpr std::string_view kHost = "10.0.0.1:2379";
constexpr std::size_t kChunkFrame = 7;  // length in three digits, two ends of line
constexpr coordination::LeaseId kLease = 1'234'567'890'123'456'789;
constexpr etcd::ResponseHeader kHeader{1'234'567'890'123'456'789, 1'234'567};
constexpr std::int64_t kTtlMs = 3'000;

CallSizes measured_sizes() {
  CallSizes out;
  out.grant = call_bytes(etcd::kGrantPath, etcd::write_lease_grant_request({0, kTtlMs / 1'000, kTtlMs}));
  out.granted = answer_bytes(etcd::write_lease_grant_response(kHeader, {kLease, kTtlMs}));
  out.renewal = call_bytes(etcd::kKeepAlivePath, etcd::write_lease_request(kLease));
  out.renewed = answer_bytes({{"result", etcd::write_lease_grant_response(kHeader, {kLease, kTtlMs})}});
  const coordination::Transaction write{{}, {coordination::Put{"key", "value", kLease}}, {}};
  out.written = answer_bytes(etcd::write_transaction_result(
      kHeader, write,
      coordination::TransactionResult{true, kHeader.revision, {coordination::OperationResult{}}}));
  out.watch =
      call_bytes(etcd::kWatchPath,
                 etcd::write_watch_request({coordination::Range{"trailcourse/policy/", true}, 1'234'567}));
  etcd::WatchResponse line;
  line.header = kHeader;
  out.heartbeat = line_bytes(line);
  line.created = true;
  out.watch_created = line_bytes(line);
  return out;
}

}  // namespace

std::size_t call_bytes(std::string_view path, const nlohmann::json& body) {
  return protocol::http::write_post(path, kHost, body.dump()).size();
}

std::size_t answer_bytes(const nlohmann::json& body) {
  return protocol::http::write_response(200, "OK", "", body.dump()).size();
}

std::size_t line_bytes(const etcd::WatchResponse& line) {
  return etcd::write_watch_response(line).dump().size() + kChunkFrame;
}

std::size_t transaction_bytes(const coordination::Transaction& transaction) {
  return call_bytes(etcd::kTxnPath, etcd::write_transaction(transaction));
}

const CallSizes& call_sizes() {
  static const CallSizes sizes = measured_sizes();
  return sizes;
}

}  // namespace trailcourse::scale
