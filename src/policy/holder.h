// A router's side of a change of policy: under which version it decides now, or why under none; what it has
// to say to the store; and its permission, without which it decides under no version alone.
//
// | standing  | is                                                              | decides under | | ---------
// | --------------------------------------------------------------- | ----------------------------- | |
// outside   | no permission yet, or none any more                             | none: refuses, or what both
// allow | | current   | permission, nothing is being held                               | the version in
// force          | | prepared  | the same, and it has said that it can live by the next          | the
// version in force          | | in doubt  | it has said that it holds; the outcome is not known             |
// none: refuses, or what both allow | | switching | the outcome is known, its own permit not yet written |
// the version in force          |
//
// The permission is a lease, timed as in ownership/lease.h: the store has not ended it before this router
// stops. A permit that is gone from the store is that of a router that does not decide; so the driver need
// not wait for the dead.
//
// A version is decided under only once this router has read in the store that it is in force, holds its text,
// and has kept it on disk where there is one. What was prepared is a text and no more: after a restart the
// store is asked.
//
// Package `policy`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ownership/lease.h"
#include "policy/acknowledgement.h"
#include "policy/change.h"
#include "policy/document.h"

namespace trailcourse::policy {

enum class Standing { kOutside, kCurrent, kPrepared, kInDoubt, kSwitching };
const char* to_string(Standing standing);

// What a request that arrives now is decided under.
struct Ruling {
  enum class Kind {
    kVersion,  // `version` alone
    kBoth,     // what `version` and `other` both allow
    kRefuse    // none: 503 at once
  };
  Kind kind = Kind::kRefuse;
  std::uint64_t version = 0;
  std::uint64_t other = 0;

  friend bool operator==(const Ruling&, const Ruling&) = default;
};

struct HolderRules {
  ownership::LeaseOptions lease;
  bool both = true;  // without a version alone: serve what both allow; false: refuse
};

// What is in the store, as this router has read or been told of it, at one revision.
struct Known {
  std::optional<Change> change;
  Revision change_modified = 0;
  std::uint64_t version = 0;  // in force in this router's zone
  Revision current_modified = 0;
  Revision zone_modified = 0;  // of the zone's own version; 0: it has none
  Acknowledgement acknowledgement;
  Revision acknowledgement_modified = 0;
};

// An entry of the store; an empty one where there is none of that key.
using EntryOf = std::function<coordination::Entry(const std::string& key)>;
// As it stands for zones that have no version of their own.
Known read_known(const EntryOf& entry_of);
// The same for a zone that may have one.
Known known_in_zone(Known known, const EntryOf& entry_of, const std::string& zone);
// What must still stand for whoever joins: all that is known, so that nobody joins behind what was decided.
std::vector<coordination::Compare> join_conditions(const std::string& prefix, const Known& known,
                                                   const std::string& zone);

// What is to be done.
struct AskPermission {  // acquire: join, with this permit where all is as `known` says; renew; release
  ownership::LeaseCall order;
  Permit permit;
  Known known;
};
struct SayPermit {  // the permit as it is to stand, under the lease
  std::uint64_t number = 0;
  Permit permit;
};
struct KeepDocument {  // on disk, before it is said to be ready or decided under
  std::uint64_t version = 0;
};
using HolderOrder = std::variant<AskPermission, SayPermit, KeepDocument>;

class Holder {
 public:
  // Whether this router can live by a version: empty, or why not. Asked once its text is here.
  using Judge = std::function<std::string(std::uint64_t version)>;

  Holder(std::string incarnation, std::string zone, const HolderRules& rules, Judge judge);

  // ---- What the store tells ----
  void told(Micros now, const Known& known);
  // Whether the store is heard: permission is not renewed where it is not, so that news that does not arrive
  // ends it.
  void heard(Micros now, bool heard);
  // The text of a version is here. Version 0, what routers do without a document, always is.
  void document(Micros now, std::uint64_t version);

  // ---- Answers ----
  // `joined`: the store had all as it was known; else what is to be known is told first.
  void joined(Micros now, std::uint64_t number, bool joined);
  void renewed(Micros now, std::uint64_t number, bool alive);
  void released(Micros now, std::uint64_t number);
  void lost(Micros now, std::uint64_t number);
  void said(Micros now, std::uint64_t number, bool done);
  // The disk's: empty, or why it could not be kept.
  void kept(Micros now, std::uint64_t version, const std::string& why);

  // Requests and refusals since the start, for whoever watches a stage.
  void count(std::uint64_t requests, std::uint64_t refused);
  // All events of the notice board up to here are taken in: what is decided from now on goes by them.
  void took_in(Micros now, const BoardPosition& position);

  // ---- What it decides ----
  Ruling ruling(Micros now) const;
  Standing standing(Micros now) const;
  std::vector<HolderOrder> due(Micros now);
  std::optional<Micros> next(Micros now) const;
  Micros until() const { return lease_.valid_until(); }
  // Whether requests are to be taken: it has permission, whatever is being held. /healthz says so.
  bool ready(Micros now) const;
  void stop(Micros now);
  bool stopped() const { return lease_.released(); }
  const Known& known() const { return known_; }

 private:
  // What the permit should say.
  Permit wanted() const;
  bool has(std::uint64_t version) const;
  bool holds() const;
  // Whether permission may be asked for, renewed or given back now, as far as the store and the board go.
  bool may_ask(Micros now) const;
  void consider(Micros now);

  std::string incarnation_;
  std::string zone_;
  HolderRules rules_;
  Judge judge_;
  ownership::Lease lease_;
  Known known_;
  bool is_told_ = false;
  bool heard_ = false;
  bool joined_ = false;  // the permit of this lease stands in the store
  Permit said_;          // as it stands there, as far as is known
  std::optional<Permit> saying_;
  bool say_out_ = false;
  std::uint64_t say_number_ = 0;
  Micros say_after_{0};
  std::map<std::uint64_t, std::string> documents_;  // here; with why it cannot be lived by
  std::map<std::uint64_t, bool> kept_;              // false: being kept
  std::map<std::uint64_t, std::string> unkept_;     // why
  std::uint64_t requests_ = 0, refused_ = 0;
  std::uint64_t last_version_ = 0;  // that was decided under
  BoardPosition position_;          // of the notice board
  std::uint64_t acknowledged_ = 0;  // the last round whose events are taken in
};

}  // namespace trailcourse::policy
