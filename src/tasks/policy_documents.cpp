#include "tasks/policy_documents.h"

#include <exception>
#include <utility>

#include "store/files.h"
#include "transport/log.h"

namespace trailcourse::tasks {

namespace {

// Replaces the file at once and durably. Returns the error, or an empty string.
std::string write_file(const std::string& folder, const std::string& name, const std::string& text) {
  const std::string new_name = name + ".next";
  try {
    const auto files = store::open_folder(folder);
    const auto file = files->create(new_name);
    file->write(0, text);
    file->sync();
    files->rename(new_name, name);
    files->sync_names();
  } catch (const std::exception& error) {
    return std::string("cannot be kept: ") + error.what();
  }
  return "";
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
    policy::Document document = policy::read_document(text);
    if (document.version != version) {
      throw policy::BadDocument("version: of another");
    }
    documents_[version] = std::move(document);
  } catch (const policy::BadDocument& error) {
    invalid_[version] = error.what();
    transport::log_line(transport::Level::kError)
        << "policy version " << version << " cannot be used here: " << error.what();
  }
}

const policy::Document* PolicyDocuments::find(std::uint64_t version) const {
  const auto found = documents_.find(version);
  return found == documents_.end() ? nullptr : &found->second;
}

std::string PolicyDocuments::objection(std::uint64_t version, const policy::Ability& ability) const {
  if (const auto invalid = invalid_.find(version); invalid != invalid_.end()) {
    return invalid->second;
  }
  if (const policy::Document* document = find(version)) {
    return policy::objection(*document, ability);
  }
  return version == 0 ? "" : "its text is not here";
}

void PolicyDocuments::persist(std::uint64_t version, std::function<void(const std::string&)> on_done) {
  const policy::Document* document = find(version);
  if (!pool_ || document == nullptr) {
    on_done("");
    return;
  }
  const auto error = std::make_shared<std::string>();
  const auto write = [folder = folder_, name = "version-" + std::to_string(version),
                      text = policy::write_text(*document),
                      error] { *error = write_file(folder, name, text); };
  pool_->run(store::Executor::Lane::kWrite, write,
             [on_done = std::move(on_done), error] { on_done(*error); });
}

}  // namespace trailcourse::tasks
