// Checks that all responses come from one store whose revisions only grow.
//
// Package `coordination`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

#include "coordination/etcd_responses.h"

namespace trailcourse::coordination {

// Why a response must not be used.
struct IdentityMismatch {
  enum class Kind {
    kOtherStore,         // the cluster id is another one
    kRevisionRegressed,  // the store was restored from an older copy
  };
  Kind kind = Kind::kOtherStore;
  std::uint64_t expected = 0;  // cluster id, or the lowest revision that is accepted
  std::uint64_t received = 0;

  // Returns one line for logs.
  std::string message() const;
};

// The first store that answers is the one that is used, unless the operator named it. Lease terms of two
// stores cannot be compared, so the responses of any other store are rejected.
class StoreIdentity {
 public:
  // `expected`: the cluster id that the operator named; 0 accepts the store that answers first.
  explicit StoreIdentity(std::uint64_t expected) : id_(expected) {}

  // Returns the lowest revision that the response to a call sent now may have.
  Revision min_revision() const { return highest_; }

  // Checks the header of a response, and remembers its store and revision if it is accepted. `min_revision`
  // is what min_revision() returned when the call was sent, and 0 for a watch response.
  tl::expected<void, IdentityMismatch> check(const etcd::ResponseHeader& header, Revision min_revision);

  // Returns the cluster id; 0 before the first response, if the operator named none.
  std::uint64_t id() const { return id_; }
  // Returns whether the store was restored to an older revision while this process ran.
  bool has_regressed() const { return regressed_; }

 private:
  std::uint64_t id_;
  Revision highest_ = 0;
  bool regressed_ = false;
};

}  // namespace trailcourse::coordination
