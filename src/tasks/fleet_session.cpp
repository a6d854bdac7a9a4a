#include "tasks/fleet_session.h"

#include <utility>

#include "membership/member_records.h"
#include "tasks/clock.h"
#include "tasks/lease_calls.h"
#include "transport/log.h"

namespace trailcourse::tasks {

using coordination::LeaseId;
using coordination::Put;
using coordination::Transaction;
using coordination::TransactionResult;

FleetSession::FleetSession(coordination::CoordinationStore& store, StepLoop& loop,
                           const OwnershipOptions& options, std::string prefix, MemberIdentity identity)
    : store_(store),
      loop_(loop),
      ttl_(std::chrono::milliseconds(options.member_ttl_ms)),
      prefix_(std::move(prefix)),
      identity_(std::move(identity)),
      lease_(session_lease_options(options)) {}

// ---- The lease ----

void FleetSession::step(Micros now) {
  const std::optional<ownership::LeaseCall> call = lease_.step(now);
  if (!call) {
    return;
  }
  const std::uint64_t call_id = call->call_id;
  LeaseCallHandlers handlers;
  handlers.make_transaction = [this](LeaseId lease) {
    lease_id_ = lease;
    return join_transaction();
  };
  handlers.on_acquire_result = [this, call_id](LeaseId, const TransactionResult& outcome) {
    lease_.on_granted(steady_now(), call_id, outcome.revision);
    transport::log_line(transport::Level::kInfo) << "joined the fleet at revision " << outcome.revision;
    return true;
  };
  handlers.on_renew_result = [this, call_id](bool valid) {
    if (valid) {
      lease_.on_granted(steady_now(), call_id, 0);
    } else {
      lease_.on_rejected(steady_now(), call_id);
    }
  };
  handlers.on_released = [this, call_id] { lease_.on_granted(steady_now(), call_id, 0); };
  handlers.on_no_response = [this, call_id] { lease_.on_no_response(steady_now(), call_id); };
  make_lease_call(store_, loop_, call->kind, ttl_, lease_id_, std::move(handlers));
}

void FleetSession::end(Micros now) {
  if (lease_.phase(now) != ownership::LeasePhase::kStopped) {
    lease_.stop(now);
  }
}

// ---- The member record ----

std::string FleetSession::member_record() const {
  membership::Member member;
  member.zone = identity_.zone;
  member.address = identity_.address;
  member.version = identity_.version;
  member.draining = draining_;
  member.started_ms = unix_now_ms();
  return membership::write_member(member);
}

Transaction FleetSession::join_transaction() const {
  Transaction join;
  join.then.push_back(Put{prefix_ + membership::member_key(identity_.name, identity_.incarnation),
                          member_record(), lease_id_});
  for (const auto& [key, value] : keys_) {
    join.then.push_back(Put{prefix_ + key, value, lease_id_});
  }
  return join;
}

void FleetSession::announce_draining() {
  draining_ = true;
  if (lease_.term() == 0) {
    return;  // the next session writes the record
  }
  Transaction announce;
  announce.then = {Put{prefix_ + membership::member_key(identity_.name, identity_.incarnation),
                       member_record(), lease_id_}};
  store_.commit(std::move(announce), [](const auto&) {});
}

// ---- Keys ----

void FleetSession::set_key(const std::string& key, const std::string& value) {
  const auto found = keys_.find(key);
  const std::string current = found == keys_.end() ? std::string() : found->second;
  if (value == current) {
    return;
  }
  if (value.empty()) {
    keys_.erase(found);
  } else {
    keys_[key] = value;
  }
  write_key(key);
}

void FleetSession::write_key(const std::string& key) {
  if (lease_.term() == 0) {
    return;  // the next session writes the key
  }
  // One write of a key is in flight at a time, so that a slow store receives only the latest value.
  if (const auto in_flight = writes_in_flight_.find(key); in_flight != writes_in_flight_.end()) {
    in_flight->second = true;
    return;
  }
  writes_in_flight_[key] = false;
  Transaction write;
  const auto found = keys_.find(key);
  if (found == keys_.end()) {
    write.then = {coordination::Delete{coordination::Range{prefix_ + key, false}}};
  } else {
    write.then = {Put{prefix_ + key, found->second, lease_id_}};
  }
  store_.commit(std::move(write), loop_.guard([this, key](const auto&) { on_key_written(key); }));
}

void FleetSession::on_key_written(const std::string& key) {
  const auto in_flight = writes_in_flight_.find(key);
  const bool changed = in_flight != writes_in_flight_.end() && in_flight->second;
  writes_in_flight_.erase(key);
  if (changed) {
    write_key(key);
  }
}

}  // namespace trailcourse::tasks
