// What a driver thinks of a store's answers, and what it does next: whether it is the store that was asked
// before and has not gone back in time, which of several addresses is asked, and where a watch goes on after
// a break.
//
// Package `coordination`: no I/O, no clock; time is Micros of the caller's steady clock.
#pragma once

#include <trailcourse/decider.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/etcd_json.h"

namespace trailcourse::coordination {

// Whether answers come from one store whose revisions only grow. The first store heard is the one, unless the
// operator named it: terms of two stores cannot be compared, so another one's answers are not used at all.
class Identity {
 public:
  // `expected` 0: whichever answers first.
  explicit Identity(std::uint64_t expected) : id_(expected) {}

  // What a call has to know when it leaves.
  Revision floor() const { return highest_; }
  // Why the answer cannot be used; empty where it can. `floor`: of its call's leaving. Of a watch: 0.
  std::string judge(const etcd::Header& header, Revision floor);

  std::uint64_t id() const { return id_; }
  Revision highest() const { return highest_; }
  bool went_back() const { return went_back_; }

 private:
  std::uint64_t id_;
  Revision highest_ = 0;
  bool went_back_ = false;
};

// Which of a store's addresses is asked: the one that answered last, else the next after one that failed; all
// of them rest for a growing time once each has failed.
class Endpoints {
 public:
  Endpoints(std::size_t count, Micros first_rest, Micros longest_rest, std::uint64_t seed);

  // Begins with this one, where their order is one of preference; before the first call.
  void begin_with(std::size_t endpoint) { current_ = endpoint; }

  // The one to ask now; nothing while all rest.
  std::optional<std::size_t> pick(Micros now) const;
  void worked(std::size_t endpoint);
  void failed(std::size_t endpoint, Micros now);
  Micros rests_until() const { return rests_until_; }

 private:
  std::size_t count_;
  Micros first_rest_;
  Micros longest_rest_;
  std::uint64_t random_;
  std::size_t current_;
  std::size_t in_row_ = 0;  // failures since one worked
  int rounds_ = 0;
  Micros rests_until_{0};
};

// Where a watch stands: it reads all there is, then follows the changes after it; after a break it goes on
// from the last one, and where that is compacted away it reads anew.
class WatchProgress {
 public:
  enum class Next { kRead, kFollow };

  Next next() const { return behind_ ? Next::kRead : Next::kFollow; }
  // Where to follow from.
  Revision from() const { return seen_ + 1; }

  // All entries as of a revision were read.
  void read(Revision revision);
  // The changes of a line that are news; throws etcd::BadMessage where it skips back. `restart` is set where
  // all has to be read again.
  struct Taken {
    std::vector<Change> news;
    Revision revision = 0;
    bool restart = false;
    bool ended = false;  // the store ends the watch
  };
  Taken take(const etcd::WatchLine& line);
  void read_again() { behind_ = true; }

 private:
  Revision seen_ = 0;
  bool behind_ = true;
};

}  // namespace trailcourse::coordination
