// Whom a member tries to reach now and then, and what it makes of that: a member that the store hears and its
// peers do not is of little use to them. Each tries a few by a ring of hashes, so that each is tried by
// as many.
//
// Package `membership`: no I/O, no clock.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "membership/records.h"

namespace trailcourse::membership {

class Peers {
 public:
  // `misses` in a row make a doubt.
  Peers(std::string self, std::size_t count, int misses)
      : self_(std::move(self)), count_(count), misses_(misses) {}

  // Of these members the ones to try, by the ring.
  std::vector<std::string> to_try(const std::vector<std::string>& members) const;
  // Those that are tried from now on; what was known of others is forgotten.
  void watch(const std::vector<std::string>& names);
  void tried(const std::string& name, bool reached);

  // The doubts that should stand in the store, by name.
  std::map<std::string, Doubt> doubts() const;

 private:
  std::string self_;
  std::size_t count_;
  int misses_;
  std::map<std::string, int> missed_;  // in a row
};

}  // namespace trailcourse::membership
