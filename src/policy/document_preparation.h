// How far a participant has prepared each version of the policy: its document has been received, checked
// against the router's capabilities, and stored on disk.
//
// Package `policy`: no I/O, no clock. Not thread-safe.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>

namespace trailcourse::policy {

// Why a participant cannot apply a version.
struct PreparationError {
  enum class Kind {
    kUnreadable,   // the document cannot be read by this program
    kMissing,      // the document is not here
    kUnsupported,  // the router lacks a capability
    kNotStored     // the document could not be written to disk
  };
  Kind kind = Kind::kUnreadable;
  std::string message;  // for operators
};
using PreparationResult = tl::expected<void, PreparationError>;
// Returns a result that is an error.
PreparationResult preparation_failed(PreparationError::Kind kind, std::string message);

class DocumentPreparation {
 public:
  // Version 0, what routers do without a document, is always prepared.
  DocumentPreparation();

  // The document of a version was received and checked, anew where it was before.
  void set_checked(std::uint64_t version, PreparationResult result);
  // Returns whether the version is to be stored now; if so, it counts as being stored.
  bool start_storing(std::uint64_t version);
  void set_stored(std::uint64_t version, PreparationResult result);

  bool is_received(std::uint64_t version) const;
  // Returns whether the document was received and the router can apply it, stored or not.
  bool is_applicable(std::uint64_t version) const;
  // Returns whether the document was received and stored.
  bool is_prepared(std::uint64_t version) const;
  // Returns why the version cannot be applied, or null if no error was found. The pointer is valid until the
  // next change.
  const PreparationError* error(std::uint64_t version) const;

  // Forgets versions below `version` that are not needed, and errors of storing of any that are not.
  void forget_before(std::uint64_t version, const std::function<bool(std::uint64_t)>& is_needed);

 private:
  enum class Storage { kNotRequested, kInProgress, kStored, kFailed };
  struct VersionState {
    std::optional<PreparationResult> check;  // none: the document was not received
    Storage storage = Storage::kNotRequested;
    PreparationError storage_error;  // of kFailed
  };

  const VersionState* find(std::uint64_t version) const;

  std::map<std::uint64_t, VersionState> versions_;
};

}  // namespace trailcourse::policy
