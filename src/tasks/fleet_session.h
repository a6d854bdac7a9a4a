// A process's membership of the fleet: its session lease at the store, and the keys under this lease.
//
// Library `tasks`, over `coordination`, `membership` and `ownership`. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "coordination/coordination_store.h"
#include "ownership/lease.h"
#include "tasks/options.h"
#include "tasks/step_loop.h"

namespace trailcourse::tasks {

// The identity of a member of the fleet.
struct MemberIdentity {
  std::string name;
  std::string incarnation;  // of this start: 16 hex digits
  std::string zone;         // empty: none
  std::string address;      // of the health checks by its peers
  std::string version;
};

// Keeps the session lease, and acquires a new one after it was lost. Store and loop have to outlive this
// object.
class FleetSession {
 public:
  FleetSession(coordination::CoordinationStore& store, StepLoop& loop, const OwnershipOptions& options,
               std::string prefix, MemberIdentity identity);

  // Makes the lease call that is due now, if any.
  void step(Micros now);

  // Returns when step() has to be called next if no event occurs earlier, or nothing if only an event can
  // cause a step.
  std::optional<Micros> next_step_at(Micros now) const { return lease_.next_step_at(now); }

  // Writes to the member record that this process is draining, so that it is assigned no more work.
  void announce_draining();

  // Ends the session: releases its lease, which deletes all keys under it.
  void end(Micros now);
  // Returns whether the lease is released after end().
  bool ended() const { return lease_.released(); }

  // Sets a key that is deleted when the session ends, and written again in a new session. An empty value
  // deletes the key.
  void set_key(const std::string& key, const std::string& value);

  const MemberIdentity& identity() const { return identity_; }

 private:
  std::string member_record() const;
  coordination::Transaction join_transaction() const;
  void write_key(const std::string& key);
  void on_key_written(const std::string& key);

  coordination::CoordinationStore& store_;
  StepLoop& loop_;
  Micros ttl_;
  std::string prefix_;
  MemberIdentity identity_;
  ownership::Lease lease_;
  coordination::LeaseId lease_id_ = 0;
  bool draining_ = false;
  std::map<std::string, std::string> keys_;       // without the store's prefix
  std::map<std::string, bool> writes_in_flight_;  // by key; true: the value has changed since the write
};

}  // namespace trailcourse::tasks
