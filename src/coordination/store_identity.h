// A check that all responses come from one store whose revisions only grow.
//
// Library `coordination`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <tl/expected.hpp>

#include "coordination/etcd_responses.h"

namespace trailcourse::coordination {

// The reason why a response must not be used.
struct IdentityMismatch {
  enum class Kind {
    kOtherStore,         // the cluster id differs
    kRevisionRegressed,  // the store was restored from a backup
  };
  Kind kind = Kind::kOtherStore;
  std::uint64_t expected = 0;  // cluster id, or lowest accepted revision
  std::uint64_t received = 0;

  // Returns one line for logs.
  std::string message() const;
};

// Accepts the store that the operator configured, or else the first store that responds. Fencing terms of two
// stores cannot be compared, so responses of any other store are rejected.
class StoreIdentity {
 public:
  // `expected` is the configured cluster id; 0 accepts the first store that responds.
  explicit StoreIdentity(std::uint64_t expected) : id_(expected) {}

  // Returns the lowest revision that is accepted in the response to a call that is sent now.
  Revision min_revision() const { return highest_; }

  // Checks the header of a response, and stores its identity and revision if it is accepted. `min_revision`
  // is the result of min_revision() when the call was sent, or 0 for a watch response.
  tl::expected<void, IdentityMismatch> check(const etcd::ResponseHeader& header, Revision min_revision);

  // Returns the cluster id; 0 if none is configured and there was no response yet.
  std::uint64_t id() const { return id_; }
  // Returns whether the store's revision went back while this process ran.
  bool has_regressed() const { return regressed_; }

 private:
  std::uint64_t id_;
  Revision highest_ = 0;
  bool regressed_ = false;
};

}  // namespace trailcourse::coordination
