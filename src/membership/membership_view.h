// Who is in the fleet, as one member sees it: from the sessions in the store, less those that flap, that are
// about to leave, or that their peers cannot reach though the store can. Members may see different
// things for a while; nothing that must not be wrong stands on them agreeing (that is what leases and terms
// are for), only who asks first for work.
//
// | standing | is                                                            | may be given work |
// | -------- | ------------------------------------------------------------- | ----------------- |
// | in       | a session in the store                                        | yes               |
// | damped   | came and went too often of late                               | no                |
// | doubted  | the store hears it, its peers do not                     | no                |
// | draining | says that it ends                                             | no                |
// | shadowed | a later start has the same name: two routers, or an old one   | no                |
//
// Package `membership`: no I/O, no clock; time is Micros of the caller's steady clock. Not thread-safe.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "membership/records.h"

namespace trailcourse::membership {

// Damping after RFC 2439: each return adds a penalty that halves with time; beyond `suppress` a member counts
// as damped until its penalty is below `reuse`.
struct ViewRules {
  double suppress = 3.0;
  double reuse = 1.0;
  Micros half_life{60'000'000};
  int doubters = 2;  // that it takes; fewer where there are fewer others
};

enum class Standing { kIn, kDamped, kDoubted, kDraining, kShadowed };
const char* to_string(Standing standing);

struct Seen {
  Member member;
  std::uint64_t since = 0;  // the store's revision of its coming
  Standing standing = Standing::kIn;
  double penalty = 0.0;
  int doubters = 0;
};

class View {
 public:
  explicit View(const ViewRules& rules) : rules_(rules) {}

  // All sessions and doubts as they stand at a revision: at the start, and after a gap.
  void begin_whole();
  void end_whole(Micros now, std::uint64_t revision);
  // One key of either kind; an empty value: it is gone. Others are passed over.
  void take(Micros now, const std::string& key, const std::string& value, std::uint64_t created,
            std::uint64_t revision);

  // Changes with what is seen; the store's revision of the last change.
  std::uint64_t number() const { return number_; }
  std::vector<Seen> all(Micros now) const;
  // Names of those that may be given work; in a zone, or in all with an empty one. Sorted.
  std::vector<std::string> eligible(Micros now, const std::string& zone) const;
  // Whether a later start has this one's name.
  bool shadowed(const std::string& name, const std::string& incarnation) const;
  // When a damped one may be given work again: eligible() changes then by time alone.
  std::optional<Micros> next(Micros now) const;

 private:
  struct Start {
    Member member;
    std::uint64_t created = 0;
  };
  struct Flap {
    double penalty = 0.0;
    Micros at{0};
    bool gone = false;  // it was here and is not
    bool damped = false;
  };

  void came(Micros now, const Member& member, std::uint64_t created);
  void went(Micros now, const std::string& name, const std::string& incarnation);
  const Start* latest(const std::string& name) const;
  double penalty(const Flap& flap, Micros now) const;
  bool damped(const Flap& flap, Micros now) const;
  int doubters(const std::string& name) const;
  Standing standing(const Start& start, Micros now) const;

  ViewRules rules_;
  std::uint64_t number_ = 0;
  std::map<std::string, std::map<std::string, Start>> starts_;  // by name, by incarnation
  std::map<std::string, Flap> flaps_;
  std::map<std::string, std::map<std::string, Doubt>> doubts_;  // by whom is doubted, by doubter
  bool whole_ = false;
  std::set<std::string> named_;  // keys told since begin_whole()
};

}  // namespace trailcourse::membership
