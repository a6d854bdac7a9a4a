#include "coordination/key_value_state.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace trailcourse::coordination {
namespace {

[[noreturn]] void reject(OperationRejected::Reason why, const std::string& text) { throw OperationRejected(why, text); }

template <typename Value>
bool compares(Compare::How how, const Value& is, const Value& wanted) {
  switch (how) {
    case Compare::How::kEqual:
      return is == wanted;
    case Compare::How::kNotEqual:
      return is != wanted;
    case Compare::How::kGreater:
      return is > wanted;
    case Compare::How::kLess:
      break;
  }
  return is < wanted;
}

}  // namespace

LeaseId KeyValueState::grant(std::int64_t now_ms, std::int64_t ttl_ms, LeaseId id) {
  if (ttl_ms < limits_.least_ttl_ms || ttl_ms > limits_.most_ttl_ms) {
    reject(OperationRejected::Reason::kInvalidRequest, "a lease of " + std::to_string(ttl_ms) + " ms");
  }
  if (leases_.size() >= limits_.leases) {
    reject(OperationRejected::Reason::kInvalidRequest, "too many leases");
  }
  if (id != 0 && leases_.contains(id)) {
    reject(OperationRejected::Reason::kLeaseExists, "lease already exists");
  }
  // A number that was given once must not come back, also after a restart: the revision has grown by then, or
  // no key ever stood under it.
  for (; id == 0 || leases_.contains(id);) {
    id = (revision_ << 20U) + (++last_grant_ & 0xfffffU);
  }
  leases_[id] = Lease{ttl_ms, now_ms + ttl_ms};
  ends_.emplace(now_ms + ttl_ms, id);
  lease_changes_[id] = LeaseChange::kGranted;
  return id;
}

std::int64_t KeyValueState::keep_alive(std::int64_t now_ms, LeaseId id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return 0;
  }
  Lease& lease = found->second;
  ends_.erase({lease.ends_ms, id});
  lease.ends_ms = now_ms + lease.ttl_ms;
  ends_.emplace(lease.ends_ms, id);
  lease_changes_.try_emplace(id, LeaseChange::kRenewed);
  return lease.ttl_ms;
}

void KeyValueState::revoke(LeaseId id) {
  if (!leases_.contains(id)) {
    reject(OperationRejected::Reason::kLeaseNotFound, "requested lease not found");
  }
  end(id);
}

void KeyValueState::expire(std::int64_t now_ms) {
  while (!ends_.empty() && ends_.begin()->first <= now_ms) {
    end(ends_.begin()->second);
  }
}

std::optional<std::int64_t> KeyValueState::next_expiry() const {
  return ends_.empty() ? std::nullopt : std::optional<std::int64_t>(ends_.begin()->first);
}

void KeyValueState::end(LeaseId id) {
  const auto lease = leases_.find(id);
  ends_.erase({lease->second.ends_ms, id});
  leases_.erase(lease);
  lease_changes_[id] = LeaseChange::kEnded;
  const auto held = held_.find(id);
  if (held == held_.end()) {
    return;
  }
  const std::set<std::string> keys = held->second;
  const Revision at = revision_ + 1;
  for (const std::string& key : keys) {
    remove(Range{key, false}, at);
  }
  held_.erase(id);
  revision_ = keys.empty() ? revision_ : at;
}

bool KeyValueState::holds(const Compare& compare) const {
  const auto found = entries_.find(compare.key);
  const Entry entry = found == entries_.end() ? Entry{} : found->second;
  switch (compare.what) {
    case Compare::What::kCreated:
      return compares(compare.how, entry.created, compare.number);
    case Compare::What::kModified:
      return compares(compare.how, entry.modified, compare.number);
    case Compare::What::kVersion:
      return compares(compare.how, entry.version, compare.number);
    case Compare::What::kLease:
      return compares(compare.how, entry.lease, compare.number);
    case Compare::What::kValue:
      break;
  }
  // A key that is not there has no value that could be compared.
  return found != entries_.end() && compares(compare.how, entry.value, compare.value);
}

// Of both sides: whether a request can be used must not depend on how its conditions turn out.
void KeyValueState::check(const Transaction& transaction) const {
  const auto check_key = [this](const std::string& key, bool may_be_empty) {
    if ((key.empty() && !may_be_empty) || key.size() > limits_.key_bytes) {
      reject(OperationRejected::Reason::kInvalidRequest, "a key of " + std::to_string(key.size()) + " bytes");
    }
  };
  const auto check_steps = [&](const std::vector<Operation>& steps) {
    std::set<std::string> written;
    if (steps.size() > limits_.steps) {
      reject(OperationRejected::Reason::kInvalidRequest, "too many operations in a transaction");
    }
    for (const Operation& step : steps) {
      if (const auto* put = std::get_if<Put>(&step)) {
        check_key(put->key, false);
        if (put->value.size() > limits_.value_bytes) {
          reject(OperationRejected::Reason::kInvalidRequest, "a value of " + std::to_string(put->value.size()) + " bytes");
        }
        if (!written.insert(put->key).second) {
          reject(OperationRejected::Reason::kInvalidRequest, "duplicate key given in a transaction");
        }
        if (put->lease != 0 && !leases_.contains(put->lease)) {
          reject(OperationRejected::Reason::kLeaseNotFound, "requested lease not found");
        }
      } else if (const auto* remove = std::get_if<Delete>(&step)) {
        check_key(remove->range.key, remove->range.prefix);
      } else {
        const Range& range = std::get<Get>(step).range;
        check_key(range.key, range.prefix);
      }
    }
    if (entries_.size() + written.size() > limits_.entries) {
      reject(OperationRejected::Reason::kInvalidRequest, "the store is full");
    }
  };
  if (transaction.when.size() > limits_.steps) {
    reject(OperationRejected::Reason::kInvalidRequest, "too many conditions in a transaction");
  }
  check_steps(transaction.then);
  check_steps(transaction.otherwise);
}

TransactionResult KeyValueState::commit(const Transaction& transaction) {
  check(transaction);
  TransactionResult out;
  out.succeeded = std::all_of(transaction.when.begin(), transaction.when.end(),
                              [this](const Compare& one) { return holds(one); });
  const Revision at = revision_ + 1;
  bool changed = false;
  for (const Operation& step : out.succeeded ? transaction.then : transaction.otherwise) {
    OperationResult result;
    if (const auto* one = std::get_if<Put>(&step)) {
      put(*one, at);
      changed = true;
    } else if (const auto* gone = std::get_if<Delete>(&step)) {
      result.deleted = remove(gone->range, at);
      changed = changed || result.deleted > 0;
    } else {
      result.found = get(std::get<Get>(step).range);
    }
    out.results.push_back(std::move(result));
  }
  revision_ = changed ? at : revision_;
  out.revision = revision_;
  return out;
}

std::vector<Entry> KeyValueState::get(const Range& range) const {
  std::vector<Entry> out;
  for (auto at = entries_.lower_bound(range.key); at != entries_.end() && range.holds(at->first); ++at) {
    out.push_back(at->second);
  }
  return out;
}

void KeyValueState::put(const Put& put, Revision at) {
  Entry entry;
  const auto found = entries_.find(put.key);
  if (found != entries_.end()) {
    entry = found->second;
  }
  entry.key = put.key;
  entry.value = put.value;
  entry.created = entry.created == 0 ? at : entry.created;
  entry.modified = at;
  ++entry.version;
  entry.lease = put.lease;
  note(KeyChange{false, std::move(entry)});
}

std::uint64_t KeyValueState::remove(const Range& range, Revision at) {
  const std::vector<Entry> gone = get(range);
  for (const Entry& entry : gone) {
    KeyChange change{true, Entry{}};
    change.entry.key = entry.key;
    change.entry.modified = at;
    note(change);
  }
  return gone.size();
}

void KeyValueState::note(const KeyChange& change) {
  fresh_.push_back(change);
  const Revision before = revision_;
  follow(change);
  revision_ = before;  // the caller says when the transaction is whole
}

void KeyValueState::apply(const KeyChange& change) {
  const std::string& key = change.entry.key;
  const auto found = entries_.find(key);
  if (found != entries_.end() && found->second.lease != 0) {
    const auto held = held_.find(found->second.lease);
    if (held != held_.end()) {
      held->second.erase(key);
    }
  }
  if (change.deleted) {
    entries_.erase(key);
  } else {
    entries_[key] = change.entry;
    if (change.entry.lease != 0) {
      held_[change.entry.lease].insert(key);
    }
  }
  revision_ = std::max(revision_, change.entry.modified);
  history_.push_back(change);
  if (history_.size() > limits_.history) {
    compact(history_[history_.size() - limits_.history].entry.modified);
  }
}

std::vector<KeyChange> KeyValueState::changes_since(Revision from, const Range& range) const {
  if (from < compacted_) {
    reject(OperationRejected::Reason::kCompacted, "required revision has been compacted");
  }
  const auto first = std::lower_bound(
      history_.begin(), history_.end(), from,
      [](const KeyChange& change, Revision revision) { return change.entry.modified < revision; });
  std::vector<KeyChange> out;
  std::copy_if(first, history_.end(), std::back_inserter(out),
               [&range](const KeyChange& change) { return range.holds(change.entry.key); });
  return out;
}

void KeyValueState::compact(Revision before) {
  while (!history_.empty() && history_.front().entry.modified < before) {
    history_.pop_front();
  }
  compacted_ = std::max(compacted_, std::min(before, revision_ + 1));
}

std::vector<KeyChange> KeyValueState::take_changes() { return std::exchange(fresh_, {}); }

std::map<LeaseId, LeaseChange> KeyValueState::take_lease_changes() { return std::exchange(lease_changes_, {}); }

void KeyValueState::restore(std::vector<Entry> entries, Revision revision) {
  entries_.clear();
  held_.clear();
  history_.clear();
  for (Entry& entry : entries) {
    if (entry.lease != 0) {
      held_[entry.lease].insert(entry.key);
    }
    const std::string key = entry.key;
    entries_[key] = std::move(entry);
  }
  revision_ = std::max<Revision>(1, revision);
  compacted_ = revision_ + 1;
}

void KeyValueState::set_leases(std::map<LeaseId, Lease> leases) {
  leases_ = std::move(leases);
  order_leases();
}

void KeyValueState::renew_all(std::int64_t now_ms) {
  for (auto& [id, lease] : leases_) {
    lease.ends_ms = now_ms + lease.ttl_ms;
  }
  order_leases();
}

void KeyValueState::order_leases() {
  ends_.clear();
  lease_changes_.clear();
  for (const auto& [id, lease] : leases_) {
    ends_.emplace(lease.ends_ms, id);
  }
}

}  // namespace trailcourse::coordination
