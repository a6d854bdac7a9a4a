#include "policy/document_preparation.h"

#include <utility>

namespace trailcourse::policy {

PreparationResult preparation_failed(PreparationError::Kind kind, std::string message) {
  return tl::unexpected(PreparationError{kind, std::move(message)});
}

DocumentPreparation::DocumentPreparation() {
  VersionState& state = versions_[0];
  state.check.emplace();
  state.storage = Storage::kStored;
}

void DocumentPreparation::set_checked(std::uint64_t version, PreparationResult result) {
  versions_[version].check = std::move(result);
}

bool DocumentPreparation::start_storing(std::uint64_t version) {
  if (!is_applicable(version) || versions_[version].storage != Storage::kNotRequested) {
    return false;
  }
  versions_[version].storage = Storage::kInProgress;
  return true;
}

void DocumentPreparation::set_stored(std::uint64_t version, PreparationResult result) {
  VersionState& state = versions_[version];
  if (result) {
    state.storage = Storage::kStored;
  } else {
    state.storage = Storage::kFailed;
    state.storage_error = std::move(result.error());
  }
}

bool DocumentPreparation::is_received(std::uint64_t version) const {
  const VersionState* const state = find(version);
  return state != nullptr && state->check.has_value();
}

bool DocumentPreparation::is_applicable(std::uint64_t version) const {
  const VersionState* const state = find(version);
  return state != nullptr && state->check && state->check->has_value();
}

bool DocumentPreparation::is_prepared(std::uint64_t version) const {
  const VersionState* const state = find(version);
  return state != nullptr && state->check && state->storage == Storage::kStored;
}

const PreparationError* DocumentPreparation::error(std::uint64_t version) const {
  const VersionState* const state = find(version);
  if (state == nullptr) {
    return nullptr;
  }
  if (state->check && !state->check->has_value()) {
    return &state->check->error();
  }
  return state->storage == Storage::kFailed ? &state->storage_error : nullptr;
}

void DocumentPreparation::forget_before(std::uint64_t version,
                                        const std::function<bool(std::uint64_t)>& is_needed) {
  std::erase_if(versions_,
                [&](const auto& entry) { return entry.first < version && !is_needed(entry.first); });
  for (auto& [remaining, state] : versions_) {
    if (state.storage == Storage::kFailed && !is_needed(remaining)) {
      state.storage = Storage::kNotRequested;
      state.storage_error = {};
    }
  }
}

const DocumentPreparation::VersionState* DocumentPreparation::find(std::uint64_t version) const {
  const auto found = versions_.find(version);
  return found == versions_.end() ? nullptr : &found->second;
}

}  // namespace trailcourse::policy
