// The preparation of policy versions at a participant: whether the document of each version was received,
// checked against the router's capabilities, and stored on disk.
//
// Library `policy`: no I/O, no clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace trailcourse::policy {

// The reason why a participant cannot apply a version.
struct PreparationError {
  enum class Kind {
    kUnreadable,   // this program cannot read the document
    kMissing,      // the document was not received
    kUnsupported,  // the router lacks a capability
    kNotStored     // the document could not be written to disk
  };
  Kind kind = Kind::kUnreadable;
  std::string message;  // for operators
};
using PreparationResult = tl::expected<void, PreparationError>;
// Returns a failed result.
PreparationResult preparation_failed(PreparationError::Kind kind, std::string message);

// Tracks the preparation of each version.
class DocumentPreparation {
 public:
  // Version 0, under which routers decide without a document, is always prepared.
  DocumentPreparation();

  // Records that the document of a version was received and checked. Replaces an earlier result.
  void set_checked(std::uint64_t version, PreparationResult result);
  // Returns whether the version has to be stored now. If so, storing counts as started.
  bool start_storing(std::uint64_t version);
  // Records the result of storing the version.
  void set_stored(std::uint64_t version, PreparationResult result);

  bool is_received(std::uint64_t version) const;
  // Returns whether the document was received and the router can apply it, whether or not it is stored.
  bool is_applicable(std::uint64_t version) const;
  // Returns whether the document was received and stored.
  bool is_prepared(std::uint64_t version) const;
  // Returns the reason why the version cannot be applied, or null if there is none. The pointer is valid
  // until the next change.
  const PreparationError* error(std::uint64_t version) const;

  // Forgets the versions below `version` that are not needed, and the storage errors of all versions that are
  // not needed, so that they can be stored again.
  void forget_before(std::uint64_t version, const std::function<bool(std::uint64_t)>& is_needed);

 private:
  enum class Storage { kNotRequested, kInProgress, kStored, kFailed };
  struct VersionState {
    std::optional<PreparationResult> check;  // nothing: the document was not received
    Storage storage = Storage::kNotRequested;
    PreparationError storage_error;  // of kFailed
  };

  const VersionState* find(std::uint64_t version) const;

  std::map<std::uint64_t, VersionState> versions_;
};

}  // namespace trailcourse::policy
