#include "tasks/policy_documents.h"

#include <exception>
#include <utility>

#include "store/files.h"
#include "transport/log.h"

namespace trailcourse::tasks {

using ErrorKind = policy::PreparationError::Kind;

namespace {

// Replaces the file atomically and durably.
policy::PreparationResult write_file(const std::string& folder, const std::string& name,
                                     const std::string& text) {
  const std::string new_name = name + ".next";
  try {
    const auto files = store::open_folder(folder);
    const auto file = files->create(new_name);
    file->write(0, text);
    file->sync();
    files->rename(new_name, name);
    files->sync_names();
  } catch (const std::exception& error) {
    return policy::preparation_failed(ErrorKind::kNotStored, std::string("cannot be kept: ") + error.what());
  }
  return {};
}

}  // namespace

PolicyDocuments::PolicyDocuments(transport::Scheduler& scheduler, std::string folder)
    : folder_(std::move(folder)), mailbox_(scheduler) {
  if (!folder_.empty()) {
    pool_ = std::make_unique<store::IoPool>(
        0, [this](std::function<void()> job) { mailbox_.post(std::move(job)); });
  }
}

void PolicyDocuments::add(std::uint64_t version, const std::string& text) {
  try {
    policy::PolicyDocument document = policy::read_document(text);
    if (document.version != version) {
      throw policy::InvalidDocument("version: of another");
    }
    documents_[version] = std::move(document);
  } catch (const policy::InvalidDocument& error) {
    invalid_[version] = error.what();
    transport::log_line(transport::Level::kError)
        << "policy version " << version << " has an invalid document: " << error.what();
  }
}

const policy::PolicyDocument* PolicyDocuments::find(std::uint64_t version) const {
  const auto found = documents_.find(version);
  return found == documents_.end() ? nullptr : &found->second;
}

policy::PreparationResult PolicyDocuments::check(std::uint64_t version,
                                                 const policy::RouterCapabilities& capabilities) const {
  if (const auto invalid = invalid_.find(version); invalid != invalid_.end()) {
    return policy::preparation_failed(ErrorKind::kUnreadable, invalid->second);
  }
  const policy::PolicyDocument* document = find(version);
  if (document == nullptr) {
    return version == 0 ? policy::PreparationResult()
                        : policy::preparation_failed(ErrorKind::kMissing, "its text is not here");
  }
  const auto supported = policy::check_capabilities(*document, capabilities);
  return supported ? policy::PreparationResult()
                   : policy::preparation_failed(ErrorKind::kUnsupported, policy::describe(supported.error()));
}

void PolicyDocuments::persist(std::uint64_t version,
                              std::function<void(const policy::PreparationResult&)> on_done) {
  const policy::PolicyDocument* document = find(version);
  if (!pool_ || document == nullptr) {
    on_done({});
    return;
  }
  const auto result = std::make_shared<policy::PreparationResult>();
  const auto write = [folder = folder_, name = "version-" + std::to_string(version),
                      text = policy::write_document_text(*document),
                      result] { *result = write_file(folder, name, text); };
  pool_->run(store::Executor::Lane::kWrite, write,
             [on_done = std::move(on_done), result] { on_done(*result); });
}

}  // namespace trailcourse::tasks
