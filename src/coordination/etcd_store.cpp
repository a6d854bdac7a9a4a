#include "coordination/etcd_store.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "coordination/etcd_requests.h"

namespace trailcourse::coordination {

using nlohmann::json;
using std::chrono::milliseconds;

EtcdStore::EtcdStore(transport::Scheduler& scheduler, const CoordinationOptions& options, std::uint64_t seed,
                     FirstEndpoint first)
    : client_(std::make_shared<EtcdClient>(scheduler, options, seed, first)) {
  client_->set_endpoint_listener([this](std::size_t endpoint) {
    for (const auto& [id, watch] : watches_) {
      watch->move_to(endpoint);
    }
  });
}

EtcdStore::~EtcdStore() {
  for (const auto& [id, watch] : watches_) {
    watch->cancel();
  }
  client_->close();
}

void EtcdStore::grant(Micros ttl, Callback<GrantedLease> callback) {
  etcd::LeaseGrantRequest request;
  request.ttl_ms = std::chrono::duration_cast<milliseconds>(ttl).count();
  request.ttl_s = std::max<std::int64_t>(1, (request.ttl_ms + 999) / 1'000);
  client_->call<GrantedLease>(
      etcd::kGrantPath, etcd::write_lease_grant_request(request),
      [ttl](const json& body, etcd::ResponseHeader& header) {
        const etcd::LeaseGrantResponse granted = etcd::read_lease_grant_response(body, header);
        if (granted.id == 0 || milliseconds(granted.ttl_ms) < ttl) {
          throw etcd::BadMessage("TTL: shorter than requested");
        }
        return GrantedLease{granted.id, milliseconds(granted.ttl_ms)};
      },
      std::move(callback));
}

void EtcdStore::keep_alive(LeaseId lease, Callback<GrantedLease> callback) {
  client_->call<GrantedLease>(
      etcd::kKeepAlivePath, etcd::write_lease_request(lease),
      [lease](const json& body, etcd::ResponseHeader& header) {
        const etcd::LeaseGrantResponse granted = etcd::read_lease_grant_response(body, header);
        if (granted.id != lease) {
          throw etcd::BadMessage("ID: not the lease that was renewed");
        }
        return GrantedLease{granted.id, milliseconds(granted.ttl_ms)};
      },
      std::move(callback));
}

void EtcdStore::revoke(LeaseId lease, Callback<Empty> callback) {
  client_->call<Empty>(
      etcd::kRevokePath, etcd::write_lease_request(lease),
      [](const json& body, etcd::ResponseHeader& header) {
        header = etcd::read_header(body);
        return Empty{};
      },
      rejected_as_ok(std::move(callback)));
}

void EtcdStore::commit(Transaction transaction, Callback<TransactionResult> callback) {
  client_->commit(std::move(transaction), std::move(callback));
}

CoordinationStore::WatchId EtcdStore::watch(const Range& range, WatchObserver& observer) {
  const WatchId id = ++last_watch_;
  const auto watch = std::make_shared<EtcdWatch>(client_, range, observer);
  watches_[id] = watch;
  client_->scheduler().spawn(EtcdWatch::run(watch));
  return id;
}

void EtcdStore::unwatch(WatchId watch) {
  const auto found = watches_.find(watch);
  if (found == watches_.end()) {
    return;
  }
  found->second->cancel();
  watches_.erase(found);
}

}  // namespace trailcourse::coordination
