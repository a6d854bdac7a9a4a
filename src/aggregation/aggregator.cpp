#include "aggregation/aggregator.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <variant>

namespace trailcourse::aggregation {

using coordination::Entry;
using coordination::Get;
using coordination::KeyChange;
using coordination::LeaseId;
using coordination::Put;
using coordination::Revision;
using coordination::Transaction;
using coordination::TransactionResult;
using policy::Permit;

namespace {

coordination::KeyValueLimits limits_of(const AggregatorRules& rules) {
  coordination::KeyValueLimits limits;
  limits.history = rules.history;
  return limits;
}

[[noreturn]] void refuse(Refused::Why why, const std::string& text) { throw Refused(why, text); }

}  // namespace

std::uint64_t AggregatorCounts::refused_in_all() const {
  return std::accumulate(refused.begin(), refused.end(), std::uint64_t{0});
}

Aggregator::Aggregator(const AggregatorRules& rules, AggregatorIdentity identity, std::uint64_t seed)
    : rules_(rules),
      identity_(std::move(identity)),
      records_(limits_of(rules)),
      leases_(rules.routers, seed),
      uplink_(rules.lease, identity_.zones) {}

// ---- From the store above ----

// The revision is that of the records alone, so that it is the same at every aggregator that is up to date.
void Aggregator::mirror(const std::vector<Entry>& entries) {
  Revision revision = records_.revision();
  for (const Entry& entry : entries) {
    revision = std::max(revision, entry.modified);
  }
  records_.restore(entries, revision);
  mirrored_ = true;
  read_known();
}

void Aggregator::follow(const std::vector<KeyChange>& changes) {
  for (const KeyChange& change : changes) {
    records_.apply(change);
  }
  read_known();
}

void Aggregator::read_known() {
  const auto& entries = records_.entries();
  const auto entry = [&](const std::string& key) {
    const auto found = entries.find(identity_.prefix + key);
    return found == entries.end() ? Entry{} : found->second;
  };
  const policy::Known known = policy::read_known(entry);
  for (const std::string& zone : identity_.zones) {
    known_[zone] = policy::known_in_zone(known, entry, zone);
  }
}

// ---- From routers ----

template <typename Call>
auto Aggregator::counted(Call call) {
  try {
    return call();
  } catch (const Refused& error) {
    ++counts_.refused.at(static_cast<std::size_t>(error.why()));
    throw;
  } catch (const coordination::OperationRejected& error) {
    ++counts_.refused.at(static_cast<std::size_t>(Refused::Why::kMalformed));
    throw Refused(Refused::Why::kMalformed, error.what());
  }
}

Micros Aggregator::covered_until(Micros now) const {
  return !draining_ && uplink_.permitted(now) && knows_record() ? uplink_.until() : Micros(-1);
}

bool Aggregator::knows_record() const {
  const auto any = known_.begin();
  return any == known_.end() || any->second.acknowledgement_modified >= uplink_.record_to_know();
}

LeaseId Aggregator::grant(Micros now, Micros ttl) {
  return counted([&] {
    leases_.expire(now);
    const LeaseId id = leases_.grant(now, ttl, covered_until(now));
    ++counts_.granted;
    return id;
  });
}

Micros Aggregator::keep_alive(Micros now, LeaseId id) {
  return counted([&] {
    leases_.expire(now);
    const Micros left = leases_.keep_alive(now, id, covered_until(now));
    ++counts_.renewed;
    return left;
  });
}

void Aggregator::revoke(Micros now, LeaseId id) {
  counted([&] {
    leases_.expire(now);
    leases_.revoke(id);
    ++counts_.revoked;
    return true;
  });
}

TransactionResult Aggregator::commit(Micros now, const Transaction& transaction) {
  return counted([&] {
    leases_.expire(now);
    check_conditions(transaction);
    const bool writes = std::any_of(transaction.then.begin(), transaction.then.end(),
                                    [](const auto& step) { return !std::holds_alternative<Get>(step); });
    return writes ? take_permit(now, transaction) : read_records(transaction);
  });
}

// A key that is not mirrored would look as if it were absent.
void Aggregator::check_conditions(const Transaction& transaction) const {
  const std::string stem = identity_.prefix + policy::kRecords;
  const bool all_mirrored = std::all_of(transaction.when.begin(), transaction.when.end(),
                                        [&](const auto& one) { return one.key.starts_with(stem); });
  if (!all_mirrored) {
    refuse(Refused::Why::kNotServed, "an aggregator compares the policy's records, and nothing else");
  }
}

TransactionResult Aggregator::take_permit(Micros now, const Transaction& transaction) {
  const bool one_put = transaction.then.size() == 1 && transaction.otherwise.empty() &&
                       std::holds_alternative<Put>(transaction.then.front());
  if (!one_put) {
    refuse(Refused::Why::kNotServed, "an aggregator takes one permit at a time, and nothing else");
  }
  const Put& put = std::get<Put>(transaction.then.front());
  std::string router;
  const Permit permit = checked_permit(put, router);
  // Also while draining: what a router says under the lease that it has must be heard.
  if (!uplink_.permitted(now)) {
    refuse(Refused::Why::kNoPermission, "the aggregator has no permission itself");
  }
  TransactionResult out = records_.commit(Transaction{transaction.when, {}, {}});
  if (out.succeeded) {
    leases_.say(router, put.lease, permit);
    ++counts_.permits;
    out.results.emplace_back();
  }
  return out;
}

Permit Aggregator::checked_permit(const Put& put, std::string& router) const {
  const std::string stem = identity_.prefix + policy::kPermits;
  if (!put.key.starts_with(stem)) {
    refuse(Refused::Why::kNotServed, "an aggregator takes permits, and nothing else");
  }
  router = put.key.substr(stem.size(), put.key.find('/', stem.size()) - stem.size());
  if (put.lease == 0 || !coordination::is_name(router) ||
      put.key != identity_.prefix + policy::permit_key(router, put.lease)) {
    refuse(Refused::Why::kMalformed, "key: not of a router and its lease");
  }
  if (put.value.size() > rules_.permit_bytes) {
    refuse(Refused::Why::kTooLarge, "a permit of " + std::to_string(put.value.size()) + " bytes");
  }
  const std::optional<Permit> permit = policy::read_permit(put.value);
  if (!permit || permit->incarnation.empty()) {
    refuse(Refused::Why::kMalformed, "value: no permit");
  }
  if (!known_.contains(permit->zone)) {
    refuse(Refused::Why::kUnknownZone, "zone: " + permit->zone.substr(0, 64) + " is not served here");
  }
  return *permit;
}

TransactionResult Aggregator::read_records(const Transaction& transaction) {
  const std::string stem = identity_.prefix + policy::kRecords;
  if (!mirrored_) {
    refuse(Refused::Why::kNoPermission, "the store's records are not here yet");
  }
  for (const std::vector<coordination::Operation>* steps : {&transaction.then, &transaction.otherwise}) {
    for (const coordination::Operation& step : *steps) {
      const Get* get = std::get_if<Get>(&step);
      if (get == nullptr || !get->range.key.starts_with(stem)) {
        refuse(Refused::Why::kNotServed, "an aggregator has the policy's records, and nothing else");
      }
    }
  }
  ++counts_.reads;
  return records_.commit(transaction);
}

// ---- Upward ----

std::map<std::string, Permit> Aggregator::summaries() const {
  std::map<std::string, Permit> out;
  for (const auto& [zone, known] : known_) {
    Permit permit = summarize(known, zone, leases_.permits(zone));
    permit.incarnation = identity_.incarnation;
    const RequestCounts counts = leases_.requests(zone);
    permit.requests = counts.requests;
    permit.refused = counts.refused;
    out[zone] = std::move(permit);
  }
  return out;
}

std::vector<UplinkOrder> Aggregator::due(Micros now) {
  leases_.expire(now);
  if (draining_ && leases_.size() == 0 && !uplink_.stopped()) {
    uplink_.stop(now);
  }
  if (!mirrored_) {
    return {};
  }
  const std::map<std::string, Permit> said = summaries();
  for (const auto& [zone, summary] : said) {
    leases_.claim(zone, summary.acknowledged);
  }
  return uplink_.due(now, heard_, known_, said);
}

std::optional<Micros> Aggregator::next(Micros now) const {
  std::optional<Micros> out = uplink_.next(now, heard_);
  if (const auto expiry = leases_.next_expiry()) {
    out = std::min(out.value_or(*expiry), *expiry);
  }
  return out;
}

}  // namespace trailcourse::aggregation
