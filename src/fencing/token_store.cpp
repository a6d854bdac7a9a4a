#include "fencing/token_store.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace trailcourse::fencing {

using ownership::FenceDecision;
using ownership::parse_fencing_token;
using ownership::Term;

namespace {

constexpr const char* kFile = "terms";
constexpr const char* kTemporaryFile = "terms.next";
constexpr std::size_t kMaxStoredTerms = 20'000;

std::string checksum(const std::string& text) {
  return std::to_string(XXH3_64bits(text.data(), text.size()));
}

// Replaces the file atomically: the new content is synced under another name and then renamed. Returns
// whether it succeeded.
bool write_file(store::Directory& directory, const std::string& content) {
  try {
    const auto file = directory.create(kTemporaryFile);
    file->write(0, content);
    file->sync();
    directory.rename(kTemporaryFile, kFile);
    directory.sync_names();
    return true;
  } catch (const std::exception&) {
    return false;  // on_persisted() rejects the waiting commands
  }
}

}  // namespace

const char* error_code(AdmitResult result) {
  switch (result) {
    case AdmitResult::kAdmitted:
      return "";
    case AdmitResult::kMalformedToken:
      return "fence_unreadable";
    case AdmitResult::kNoStorage:
      return "fence_no_memory";
    case AdmitResult::kOtherStore:
      return "fence_other_store";
    case AdmitResult::kStaleTerm:
      return "fenced";
    case AdmitResult::kStorageFull:
      return "fence_full";
    case AdmitResult::kNotPersisted:
      break;
  }
  return "fence_not_kept";
}

TokenStore::TokenStore(std::shared_ptr<store::Directory> directory, store::Executor& executor)
    : directory_(std::move(directory)), executor_(executor) {
  if (directory_) {
    load();
  }
}

TokenStore::~TokenStore() { *alive_ = false; }

// Reads the file. The first line is the checksum of the rest, each further line is a token.
void TokenStore::load() {
  const std::vector<std::string> names = directory_->list();
  if (std::find(names.begin(), names.end(), kFile) == names.end()) {
    return;
  }
  const auto file = directory_->open(kFile);
  const std::string content = file->read(0, file->size());
  const std::size_t end = content.find('\n');
  const std::string body = end == std::string::npos ? "" : content.substr(end + 1);
  if (end == std::string::npos || content.substr(0, end) != checksum(body)) {
    throw std::runtime_error(
        "the file of fencing terms is damaged: remove `terms` only if no former owner can still send "
        "commands");
  }
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    if (const auto token = parse_fencing_token(line)) {
      store_ = token->store;
      fence_.on_persisted(token->work, token->term);
    }
  }
}

std::string TokenStore::file_content(const FencingToken& next) const {
  std::map<std::string, Term> terms = fence_.terms();
  // Includes the terms of other pending commands, since the last write replaces all earlier ones.
  for (const auto& [work, pending] : pending_) {
    terms[work] = std::max(terms[work], pending.term);
  }
  terms[next.work] = std::max(terms[next.work], next.term);
  std::string body;
  for (const auto& [work, term] : terms) {
    body += to_string(FencingToken{next.store, work, term}) + "\n";
  }
  return checksum(body) + "\n" + body;
}

AdmitResult TokenStore::reject(AdmitResult reason) {
  std::uint64_t& count = reason == AdmitResult::kMalformedToken ? counts_.malformed
                         : reason == AdmitResult::kOtherStore   ? counts_.other_store
                                                                : counts_.rejected;
  ++count;
  return reason;
}

std::optional<AdmitResult> TokenStore::decide(const std::optional<FencingToken>& token) {
  if (!token) {
    return reject(AdmitResult::kMalformedToken);
  }
  if (!directory_) {
    return reject(AdmitResult::kNoStorage);
  }
  if (store_ != 0 && token->store != store_) {
    return reject(AdmitResult::kOtherStore);
  }
  const auto pending = pending_.find(token->work);
  const Term pending_term = pending == pending_.end() ? 0 : pending->second.term;
  if (token->term < pending_term) {
    return reject(AdmitResult::kStaleTerm);
  }
  switch (fence_.admit(token->work, token->term)) {
    case FenceDecision::kReject:
      return reject(AdmitResult::kStaleTerm);
    case FenceDecision::kAccept:
      ++counts_.admitted;
      return AdmitResult::kAdmitted;
    case FenceDecision::kPersistFirst:
      break;
  }
  const bool is_new_work = fence_.persisted_term(token->work) == 0;
  if (is_new_work && fence_.terms().size() + pending_.size() >= kMaxStoredTerms) {
    return reject(AdmitResult::kStorageFull);
  }
  return std::nullopt;
}

void TokenStore::admit(const std::string& text, Callback done) {
  const std::optional<FencingToken> token = parse_fencing_token(text);
  if (const std::optional<AdmitResult> result = decide(token)) {
    done(*result);
    return;
  }
  PendingWork& pending = pending_[token->work];
  const bool is_being_written = pending.term == token->term;
  pending.term = token->term;
  pending.commands.push_back(PendingCommand{token->term, std::move(done)});
  if (!is_being_written) {
    persist(*token);
  }
}

void TokenStore::persist(const FencingToken& token) {
  store_ = token.store;  // set before the write, so that no token of another store is admitted meanwhile
  const auto succeeded = std::make_shared<bool>(false);
  executor_.run(
      store::Executor::Lane::kWrite,
      [directory = directory_, content = file_content(token), succeeded] {
        *succeeded = write_file(*directory, content);
      },
      [this, alive = alive_, token, succeeded] {
        if (*alive) {
          on_persisted(token, *succeeded);
        }
      });
}

void TokenStore::on_persisted(const FencingToken& token, bool succeeded) {
  if (succeeded) {
    ++counts_.persisted;
    fence_.on_persisted(token.work, token.term);
  }
  const auto found = pending_.find(token.work);
  if (found == pending_.end()) {
    return;
  }
  std::vector<PendingCommand>& commands = found->second.commands;
  const auto first_later =
      std::stable_partition(commands.begin(), commands.end(),
                            [&token](const PendingCommand& command) { return command.term <= token.term; });
  std::vector<PendingCommand> decided(std::make_move_iterator(commands.begin()),
                                      std::make_move_iterator(first_later));
  commands.erase(commands.begin(), first_later);
  if (commands.empty()) {
    pending_.erase(found);
  }
  for (const PendingCommand& command : decided) {
    if (!succeeded) {
      command.done(reject(AdmitResult::kNotPersisted));
    } else if (command.term != fence_.persisted_term(token.work)) {
      command.done(reject(AdmitResult::kStaleTerm));
    } else {
      ++counts_.admitted;
      command.done(AdmitResult::kAdmitted);
    }
  }
}

}  // namespace trailcourse::fencing
