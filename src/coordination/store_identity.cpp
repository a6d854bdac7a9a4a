#include "coordination/store_identity.h"

#include <algorithm>

namespace trailcourse::coordination {

std::string IdentityMismatch::message() const {
  if (kind == Kind::kOtherStore) {
    return "response from another store: " + std::to_string(received) + ", not " + std::to_string(expected);
  }
  return "the revision of the store has gone back from " + std::to_string(expected) + " to " +
         std::to_string(received);
}

tl::expected<void, IdentityMismatch> StoreIdentity::check(const etcd::ResponseHeader& header,
                                                          Revision min_revision) {
  using Kind = IdentityMismatch::Kind;
  if (id_ != 0 && header.cluster != id_) {
    return tl::unexpected(IdentityMismatch{Kind::kOtherStore, id_, header.cluster});
  }
  // A store that was restored from a backup assigns the same revisions twice: fencing terms would not grow.
  if (header.revision < min_revision) {
    regressed_ = true;
    return tl::unexpected(IdentityMismatch{Kind::kRevisionRegressed, min_revision, header.revision});
  }
  id_ = header.cluster;
  highest_ = std::max(highest_, header.revision);
  return {};
}

}  // namespace trailcourse::coordination
