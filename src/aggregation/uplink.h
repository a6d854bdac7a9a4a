// An aggregator's own permission at the store above, and the summaries that stand there under it: one permit
// for each zone that it serves, all under one lease. To whoever drives a change it is a router like any
// other.
//
// A summary is written only over the one that this aggregator wrote last, by compare-and-set, so that a write
// that arrives late changes nothing. All of them end with the lease, and each start has a lease of its own:
// what an aggregator says after a pause that outlived its lease is refused by the store.
//
// Package `aggregation`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/types.h"
#include "ownership/lease.h"
#include "policy/change.h"
#include "policy/holder.h"

namespace trailcourse::aggregation {

// A zone's summary as it is to stand in the store.
struct ZoneSummary {
  std::string zone;
  policy::Permit permit;
  coordination::Revision expected = 0;  // at which its key was written last
};

// Acquire: join with these summaries where the change and the versions are as `known` says. Renew, release:
// the lease alone.
struct AskPermission {
  ownership::Order order;
  std::vector<ZoneSummary> summaries;
  std::map<std::string, policy::Known> known;  // by zone
};
struct SaySummaries {
  std::uint64_t number = 0;
  std::vector<ZoneSummary> summaries;
};
using UplinkOrder = std::variant<AskPermission, SaySummaries>;

// What became of a try to join.
struct JoinReply {
  bool joined = false;
  coordination::Revision modified = 0;      // at which the summaries were written
  coordination::Revision acknowledged = 0;  // of the record of acknowledged events, as it stood then
};

// What became of a write of summaries.
struct SaidReply {
  enum class Result {
    kWritten,
    kElsewise,  // not done: a key was not as expected; `modified` says how it is
    kUnknown    // no answer: done or not
  };
  Result result = Result::kUnknown;
  std::map<std::string, coordination::Revision> modified;  // by zone; 0: there is no such key
};

class Uplink {
 public:
  Uplink(const ownership::LeaseRules& rules, std::vector<std::string> zones)
      : rules_(rules), lease_(rules), zones_(std::move(zones)) {}

  // What is to be done now. `heard`: whether the store is; without it permission is neither asked for nor
  // renewed.
  std::vector<UplinkOrder> due(Micros now, bool heard, const std::map<std::string, policy::Known>& known,
                               const std::map<std::string, policy::Permit>& summaries);
  std::optional<Micros> next(Micros now, bool heard) const;

  void joined(Micros now, std::uint64_t number, const JoinReply& reply);
  void renewed(Micros now, std::uint64_t number, bool alive);
  void released(Micros now, std::uint64_t number);
  void lost(Micros now, std::uint64_t number);
  void said(Micros now, std::uint64_t number, const SaidReply& reply);

  // Until when routers below may be given permission; before the present: not at all.
  Micros until() const { return joined_ ? lease_.until() : Micros(-1); }
  bool permitted(Micros now) const { return joined_ && lease_.may_act(now); }
  // The revision of the record of acknowledged events that has to be known before any router is given
  // permission: whoever drives it has not awaited this aggregator for what the record asked then.
  coordination::Revision record_to_know() const { return record_to_know_; }
  // Gives the permission back. Only once no router below has any.
  void stop(Micros now) { lease_.stop(now); }
  bool stopped() const { return lease_.over(); }

 private:
  struct Said {
    std::optional<policy::Permit> permit;  // as it stands there; none: not known
    coordination::Revision modified = 0;
    std::optional<Micros> awaits_since;  // since when another router is awaited than it says there
  };

  void leave();
  bool may_ask(Micros now, bool heard) const;
  std::optional<UplinkOrder> permission_due(Micros now, bool heard,
                                            const std::map<std::string, policy::Known>& known,
                                            const std::map<std::string, policy::Permit>& summaries);
  std::optional<UplinkOrder> summaries_due(Micros now,
                                           const std::map<std::string, policy::Permit>& summaries);
  static bool worth_saying(Micros now, Said& said, const policy::Permit& permit);

  ownership::LeaseRules rules_;
  ownership::Lease lease_;
  std::vector<std::string> zones_;
  bool joined_ = false;
  coordination::Revision record_to_know_ = 0;
  std::map<std::string, Said> said_;  // by zone
  std::vector<ZoneSummary> saying_;   // by the call that is out
  std::uint64_t say_number_ = 0;
  bool say_out_ = false;
  Micros say_after_{0};
};

// The store's calls. `name`: the aggregator's.
std::string summary_key(const std::string& prefix, const std::string& name, const std::string& zone,
                        coordination::LeaseId lease);
coordination::Transaction join_transaction(const std::string& prefix, const std::string& name,
                                           coordination::LeaseId lease, const AskPermission& ask);
coordination::Transaction say_transaction(const std::string& prefix, const std::string& name,
                                          coordination::LeaseId lease, const SaySummaries& say);
// Of their outcomes.
JoinReply read_joined(const coordination::TransactionResult& outcome);
SaidReply read_said(const coordination::TransactionResult& outcome, const SaySummaries& say);

}  // namespace trailcourse::aggregation
