#include "fencing/token_store.h"

#include <xxhash.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace trailcourse::fencing {

using ownership::read_token;
using ownership::Term;
using ownership::to_string;
using ownership::Verdict;

namespace {

constexpr const char* kFile = "terms";
constexpr const char* kNext = "terms.next";
constexpr std::size_t kMostWorks = 20'000;

std::string sum_of(const std::string& text) { return std::to_string(XXH3_64bits(text.data(), text.size())); }

}  // namespace

TokenStore::TokenStore(std::shared_ptr<store::Files> files, store::Executor& executor)
    : files_(std::move(files)), executor_(executor) {
  if (!files_) {
    return;
  }
  const std::vector<std::string> names = files_->list();
  if (std::find(names.begin(), names.end(), kFile) == names.end()) {
    return;
  }
  const auto file = files_->open(kFile);
  const std::string whole = file->read(0, file->size());
  const std::size_t end = whole.find('\n');
  const std::string body = end == std::string::npos ? "" : whole.substr(end + 1);
  if (end == std::string::npos || whole.substr(0, end) != sum_of(body)) {
    throw std::runtime_error(
        "the terms of fenced work cannot be read: remove the file `terms` only where no "
        "owner of before can still act");
  }
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    if (const auto token = read_token(line)) {
      store_ = token->store;
      fence_.kept(token->work, token->term);
    }
  }
}

TokenStore::~TokenStore() { *alive_ = false; }

std::string TokenStore::text(const Token& next) const {
  std::string body;
  std::map<std::string, Term> terms = fence_.all();
  // What other works' commands wait for goes along: the last write is the one that stands.
  for (const auto& [work, waiting] : waiting_) {
    terms[work] = std::max(terms[work], waiting.term);
  }
  terms[next.work] = std::max(terms[next.work], next.term);
  for (const auto& [work, term] : terms) {
    body += to_string(Token{next.store, work, term}) + "\n";
  }
  return sum_of(body) + "\n" + body;
}

void TokenStore::admit(const std::string& token, Then then) {
  const auto refuse = [&](std::uint64_t& count, const char* why) {
    ++count;
    then(why);
  };
  const std::optional<Token> read = read_token(token);
  if (!read) {
    refuse(counts_.unreadable, "fence_unreadable");
    return;
  }
  if (!files_) {
    refuse(counts_.refused, "fence_no_memory");
    return;
  }
  if (store_ != 0 && read->store != store_) {
    refuse(counts_.foreign, "fence_other_store");
    return;
  }
  const auto waiting = waiting_.find(read->work);
  const Term coming = waiting == waiting_.end() ? 0 : waiting->second.term;
  const Verdict verdict = read->term < coming ? Verdict::kRefuse : fence_.admit(read->work, read->term);
  if (verdict == Verdict::kRefuse) {
    refuse(counts_.refused, "fenced");
    return;
  }
  if (verdict == Verdict::kCarryOut) {
    ++counts_.admitted;
    then("");
    return;
  }
  if (fence_.all().size() + waiting_.size() >= kMostWorks && fence_.kept_term(read->work) == 0) {
    refuse(counts_.refused, "fence_full");
    return;
  }
  Waiting& entry = waiting_[read->work];
  const bool begun = entry.term == read->term;
  entry.term = read->term;
  entry.then.emplace_back(read->term, std::move(then));
  if (!begun) {
    keep(*read);
  }
}

void TokenStore::keep(const Token& token) {
  store_ = token.store;  // from now on: a second store's token must not slip in behind this one
  const auto good = std::make_shared<bool>(false);
  executor_.run(
      store::Executor::Lane::kWrite,
      [files = files_, text = text(token), good] {
        try {
          const auto file = files->create(kNext);
          file->write(0, text);
          file->sync();
          files->rename(kNext, kFile);
          files->sync_names();
          *good = true;
        } catch (const std::exception&) {
          // Told below: nothing is carried out under a term that is not kept.
        }
      },
      [this, alive = alive_, token, good] {
        if (*alive) {
          kept(token, *good);
        }
      });
}

void TokenStore::kept(const Token& token, bool good) {
  if (good) {
    ++counts_.kept;
    fence_.kept(token.work, token.term);
  }
  const auto found = waiting_.find(token.work);
  if (found == waiting_.end()) {
    return;
  }
  std::vector<std::pair<Term, Then>> answered;
  std::vector<std::pair<Term, Then>> rest;
  for (auto& one : found->second.then) {
    (one.first <= token.term ? answered : rest).push_back(std::move(one));
  }
  if (rest.empty()) {
    waiting_.erase(found);
  } else {
    found->second.then = std::move(rest);
  }
  for (const auto& [term, then] : answered) {
    const bool admitted = good && term == fence_.kept_term(token.work);
    ++(admitted ? counts_.admitted : counts_.refused);
    then(admitted ? "" : good ? "fenced" : "fence_not_kept");
  }
}

}  // namespace trailcourse::fencing
