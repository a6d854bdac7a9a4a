#include "coordination/key_value_state.h"

#include <algorithm>
#include <iterator>
#include <variant>

namespace trailcourse::coordination {
namespace {

// A lease id consists of the revision, shifted by this number of bits, and the count of grants.
constexpr unsigned kGrantCountBits = 20;
constexpr std::uint64_t kGrantCountMask = (1U << kGrantCountBits) - 1;

[[noreturn]] void reject_invalid(const std::string& text) {
  throw OperationRejected(OperationRejected::Reason::kInvalidRequest, text);
}
[[noreturn]] void reject_unknown_lease() {
  throw OperationRejected(OperationRejected::Reason::kLeaseNotFound, "requested lease not found");
}

template <typename Value>
bool compare_values(Compare::Relation relation, const Value& actual, const Value& operand) {
  switch (relation) {
    case Compare::Relation::kEqual:
      return actual == operand;
    case Compare::Relation::kNotEqual:
      return actual != operand;
    case Compare::Relation::kGreater:
      return actual > operand;
    case Compare::Relation::kLess:
      break;
  }
  return actual < operand;
}

}  // namespace

// ---- Leases ----

LeaseId KeyValueState::grant(Milliseconds now, Milliseconds ttl, LeaseId id) {
  if (ttl < limits_.min_ttl || ttl > limits_.max_ttl) {
    reject_invalid("a time to live of " + std::to_string(ttl.count()) + " ms is out of range");
  }
  if (leases_.size() >= limits_.leases) {
    reject_invalid("too many leases");
  }
  if (id != 0 && leases_.contains(id)) {
    throw OperationRejected(OperationRejected::Reason::kLeaseExists, "lease already exists");
  }
  // An id must not be granted twice. The count restarts with the process, but an earlier lease with keys has
  // increased the revision.
  while (id == 0 || leases_.contains(id)) {
    id = (revision_ << kGrantCountBits) + (++last_grant_ & kGrantCountMask);
  }
  leases_[id] = Lease{ttl, now + ttl};
  expiry_queue_.emplace(now + ttl, id);
  lease_changes_[id] = LeaseChange::kGranted;
  return id;
}

Milliseconds KeyValueState::keep_alive(Milliseconds now, LeaseId id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return Milliseconds(0);
  }
  Lease& lease = found->second;
  expiry_queue_.erase({lease.expires_at, id});
  lease.expires_at = now + lease.ttl;
  expiry_queue_.emplace(lease.expires_at, id);
  lease_changes_.try_emplace(id, LeaseChange::kRenewed);
  return lease.ttl;
}

void KeyValueState::revoke(LeaseId id) {
  if (!leases_.contains(id)) {
    reject_unknown_lease();
  }
  end_lease(id);
}

void KeyValueState::expire(Milliseconds now) {
  while (!expiry_queue_.empty() && expiry_queue_.begin()->first <= now) {
    end_lease(expiry_queue_.begin()->second);
  }
}

std::optional<Milliseconds> KeyValueState::next_expiry() const {
  return expiry_queue_.empty() ? std::nullopt : std::optional<Milliseconds>(expiry_queue_.begin()->first);
}

void KeyValueState::end_lease(LeaseId id) {
  const auto lease = leases_.find(id);
  expiry_queue_.erase({lease->second.expires_at, id});
  leases_.erase(lease);
  lease_changes_[id] = LeaseChange::kEnded;
  const auto attached = lease_keys_.find(id);
  if (attached == lease_keys_.end()) {
    return;
  }
  const std::set<std::string> keys = attached->second;
  const Revision next = revision_ + 1;
  for (const std::string& key : keys) {
    remove(Range{key, false}, next);
  }
  lease_keys_.erase(id);
  revision_ = keys.empty() ? revision_ : next;
}

void KeyValueState::set_leases(std::map<LeaseId, Lease> leases) {
  leases_ = std::move(leases);
  rebuild_expiry_queue();
}

void KeyValueState::renew_all(Milliseconds now) {
  for (auto& [id, lease] : leases_) {
    lease.expires_at = now + lease.ttl;
  }
  rebuild_expiry_queue();
}

void KeyValueState::rebuild_expiry_queue() {
  expiry_queue_.clear();
  lease_changes_.clear();
  for (const auto& [id, lease] : leases_) {
    expiry_queue_.emplace(lease.expires_at, id);
  }
}

// ---- Transactions ----

bool KeyValueState::holds(const Compare& compare) const {
  const auto found = entries_.find(compare.key);
  const Entry entry = found == entries_.end() ? Entry{} : found->second;
  switch (compare.target) {
    case Compare::Target::kCreated:
      return compare_values(compare.relation, entry.created, compare.number);
    case Compare::Target::kModified:
      return compare_values(compare.relation, entry.modified, compare.number);
    case Compare::Target::kVersion:
      return compare_values(compare.relation, entry.version, compare.number);
    case Compare::Target::kLease:
      return compare_values(compare.relation, entry.lease, compare.number);
    case Compare::Target::kValue:
      break;
  }
  // A key that does not exist has no value to compare.
  return found != entries_.end() && compare_values(compare.relation, entry.value, compare.value);
}

// Checks both branches, since the validity of a request must not depend on its conditions.
void KeyValueState::check(const Transaction& transaction) const {
  if (transaction.when.size() > limits_.operations) {
    reject_invalid("too many conditions in a transaction");
  }
  check_operations(transaction.then);
  check_operations(transaction.otherwise);
}

void KeyValueState::check_operations(const std::vector<Operation>& operations) const {
  if (operations.size() > limits_.operations) {
    reject_invalid("too many operations in a transaction");
  }
  std::set<std::string> written;
  for (const Operation& operation : operations) {
    if (const auto* put = std::get_if<Put>(&operation)) {
      check_put(*put, written);
    } else if (const auto* deletion = std::get_if<Delete>(&operation)) {
      check_key(deletion->range.key, deletion->range.prefix);
    } else {
      const Range& range = std::get<Get>(operation).range;
      check_key(range.key, range.prefix);
    }
  }
  if (entries_.size() + written.size() > limits_.entries) {
    reject_invalid("the store has its maximum of " + std::to_string(limits_.entries) + " entries");
  }
}

void KeyValueState::check_put(const Put& put, std::set<std::string>& written) const {
  check_key(put.key, false);
  if (put.value.size() > limits_.value_bytes) {
    reject_invalid("a value of " + std::to_string(put.value.size()) + " bytes is over the limit");
  }
  if (!written.insert(put.key).second) {
    reject_invalid("duplicate key given in a transaction");
  }
  if (put.lease != 0 && !leases_.contains(put.lease)) {
    reject_unknown_lease();
  }
}

void KeyValueState::check_key(const std::string& key, bool may_be_empty) const {
  if ((key.empty() && !may_be_empty) || key.size() > limits_.key_bytes) {
    reject_invalid("a key of " + std::to_string(key.size()) + " bytes is empty or over the limit");
  }
}

TransactionResult KeyValueState::commit(const Transaction& transaction) {
  check(transaction);
  TransactionResult out;
  out.succeeded = std::all_of(transaction.when.begin(), transaction.when.end(),
                              [this](const Compare& compare) { return holds(compare); });
  const Revision next = revision_ + 1;
  bool changed = false;
  for (const Operation& operation : out.succeeded ? transaction.then : transaction.otherwise) {
    OperationResult result;
    if (const auto* put_operation = std::get_if<Put>(&operation)) {
      put(*put_operation, next);
      changed = true;
    } else if (const auto* deletion = std::get_if<Delete>(&operation)) {
      result.deleted = remove(deletion->range, next);
      changed = changed || result.deleted > 0;
    } else {
      result.found = get(std::get<Get>(operation).range);
    }
    out.results.push_back(std::move(result));
  }
  revision_ = changed ? next : revision_;
  out.revision = revision_;
  return out;
}

std::vector<Entry> KeyValueState::get(const Range& range) const {
  std::vector<Entry> out;
  for (auto entry = entries_.lower_bound(range.key); entry != entries_.end() && range.contains(entry->first);
       ++entry) {
    out.push_back(entry->second);
  }
  return out;
}

void KeyValueState::put(const Put& put, Revision revision) {
  Entry entry;
  const auto found = entries_.find(put.key);
  if (found != entries_.end()) {
    entry = found->second;
  }
  entry.key = put.key;
  entry.value = put.value;
  entry.created = entry.created == 0 ? revision : entry.created;
  entry.modified = revision;
  ++entry.version;
  entry.lease = put.lease;
  record(KeyChange{false, std::move(entry)});
}

std::uint64_t KeyValueState::remove(const Range& range, Revision revision) {
  const std::vector<Entry> removed = get(range);
  for (const Entry& entry : removed) {
    KeyChange change{true, Entry{}};
    change.entry.key = entry.key;
    change.entry.modified = revision;
    record(change);
  }
  return removed.size();
}

// Applies a change that this state made, and records it for take_changes(). The caller advances the revision
// when the transaction is complete.
void KeyValueState::record(const KeyChange& change) {
  pending_changes_.push_back(change);
  const Revision before = revision_;
  apply(change);
  revision_ = before;
}

// ---- History and persistence ----

void KeyValueState::apply(const KeyChange& change) {
  const std::string& key = change.entry.key;
  detach_from_lease(key);
  if (change.deleted) {
    entries_.erase(key);
  } else {
    entries_[key] = change.entry;
    if (change.entry.lease != 0) {
      lease_keys_[change.entry.lease].insert(key);
    }
  }
  revision_ = std::max(revision_, change.entry.modified);
  history_.push_back(change);
  if (history_.size() > limits_.history) {
    compact(history_[history_.size() - limits_.history].entry.modified);
  }
}

void KeyValueState::detach_from_lease(const std::string& key) {
  const auto entry = entries_.find(key);
  if (entry == entries_.end() || entry->second.lease == 0) {
    return;
  }
  const auto attached = lease_keys_.find(entry->second.lease);
  if (attached != lease_keys_.end()) {
    attached->second.erase(key);
  }
}

std::vector<KeyChange> KeyValueState::changes_since(Revision from, const Range& range) const {
  if (from < compacted_) {
    throw OperationRejected(OperationRejected::Reason::kCompacted, "required revision has been compacted");
  }
  const auto first = std::lower_bound(
      history_.begin(), history_.end(), from,
      [](const KeyChange& change, Revision revision) { return change.entry.modified < revision; });
  std::vector<KeyChange> out;
  std::copy_if(first, history_.end(), std::back_inserter(out),
               [&range](const KeyChange& change) { return range.contains(change.entry.key); });
  return out;
}

void KeyValueState::compact(Revision before) {
  while (!history_.empty() && history_.front().entry.modified < before) {
    history_.pop_front();
  }
  compacted_ = std::max(compacted_, std::min(before, revision_ + 1));
}

std::vector<KeyChange> KeyValueState::take_changes() { return std::exchange(pending_changes_, {}); }

std::map<LeaseId, LeaseChange> KeyValueState::take_lease_changes() {
  return std::exchange(lease_changes_, {});
}

void KeyValueState::restore(std::vector<Entry> entries, Revision revision) {
  entries_.clear();
  lease_keys_.clear();
  history_.clear();
  for (Entry& entry : entries) {
    if (entry.lease != 0) {
      lease_keys_[entry.lease].insert(entry.key);
    }
    const std::string key = entry.key;
    entries_[key] = std::move(entry);
  }
  revision_ = std::max<Revision>(1, revision);
  compacted_ = revision_ + 1;
}

}  // namespace trailcourse::coordination
