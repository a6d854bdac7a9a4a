// A process's membership of the fleet: its session lease at the store, and the keys that stand under it.
//
// Package `tasks`, over `coordination`, `membership` and `ownership`. One thread.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/shared_store.h"
#include "ownership/lease.h"
#include "tasks/options.h"
#include "tasks/step_loop.h"

namespace trailcourse::tasks {

// Who a member of the fleet is.
struct MemberIdentity {
  std::string name;
  std::string incarnation;  // of this start: 16 hex digits
  std::string zone;         // empty: none
  std::string address;      // at which its peers check that it is there
  std::string version;
};

// Store and loop outlive it.
class FleetSession {
 public:
  FleetSession(coordination::SharedStore& store, StepLoop& loop, const OwnershipOptions& options,
               std::string prefix, MemberIdentity identity);

  // Makes the call of the lease that is due now, if any.
  void step(Micros now);

  // Returns when step() has to be called again by time alone, or nothing.
  std::optional<Micros> next_step_at(Micros now) const { return lease_.next_step_at(now); }

  // Writes into the member record that this process is draining: it is given no more work.
  void announce_draining();

  // Ends the session: its lease is released, and all keys under it go.
  void end(Micros now);
  bool ended() const { return lease_.released(); }

  // Keeps a key that ends with the session, across new sessions. An empty value deletes it.
  void set_key(const std::string& key, const std::string& value);

  const MemberIdentity& identity() const { return identity_; }

 private:
  std::string member_record() const;
  coordination::Transaction join_transaction() const;
  void write_key(const std::string& key);
  void on_key_written(const std::string& key);

  coordination::SharedStore& store_;
  StepLoop& loop_;
  Micros ttl_;
  std::string prefix_;
  MemberIdentity identity_;
  ownership::Lease lease_;
  coordination::LeaseId lease_id_ = 0;
  bool draining_ = false;
  std::map<std::string, std::string> keys_;       // without the store's prefix
  std::map<std::string, bool> writes_in_flight_;  // by key; true: the value changed since
};

}  // namespace trailcourse::tasks
