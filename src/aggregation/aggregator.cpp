#include "aggregation/aggregator.h"

#include <algorithm>
#include <numeric>
#include <utility>
#include <variant>

namespace trailcourse::aggregation {

using coordination::Compare;
using coordination::Entry;
using coordination::Get;
using coordination::KeyChange;
using coordination::LeaseId;
using coordination::Operation;
using coordination::Put;
using coordination::Revision;
using coordination::Transaction;
using coordination::TransactionResult;
using policy::ObservedState;
using policy::ParticipantReport;
using Reason = RequestRejected::Reason;

namespace {

constexpr std::size_t kMaxQuotedZoneBytes = 64;  // of a zone's name in an error

coordination::KeyValueLimits limits_of(const AggregatorSettings& settings) {
  coordination::KeyValueLimits limits;
  limits.history = settings.history;
  return limits;
}

bool is_write(const Operation& operation) { return !std::holds_alternative<Get>(operation); }

}  // namespace

std::uint64_t AggregatorCounts::total_rejected() const {
  return std::accumulate(rejected.begin(), rejected.end(), std::uint64_t{0});
}

Aggregator::Aggregator(const AggregatorSettings& settings, AggregatorIdentity identity, std::uint64_t seed)
    : settings_(settings),
      identity_(std::move(identity)),
      records_(limits_of(settings)),
      router_leases_(settings.routers, seed),
      upstream_(settings.lease, identity_.zones) {}

// ---- Events from the store ----

// The revision is that of the policy's records alone, so that it is the same at all aggregators that are up
// to date.
void Aggregator::on_snapshot(const std::vector<Entry>& entries) {
  Revision revision = records_.revision();
  for (const Entry& entry : entries) {
    revision = std::max(revision, entry.modified);
  }
  records_.restore(entries, revision);
  has_snapshot_ = true;
  update_observed();
}

void Aggregator::on_changes(const std::vector<KeyChange>& changes) {
  for (const KeyChange& change : changes) {
    records_.apply(change);
  }
  update_observed();
}

void Aggregator::update_observed() {
  const auto& entries = records_.entries();
  const auto entry_of = [&](const std::string& key) {
    const auto found = entries.find(identity_.prefix + key);
    return found == entries.end() ? Entry{} : found->second;
  };
  const ObservedState observed = policy::read_observed_state(entry_of);
  for (const std::string& zone : identity_.zones) {
    observed_[zone] = policy::observed_in_zone(observed, entry_of, zone);
  }
}

// ---- Calls of routers ----

template <typename Call>
auto Aggregator::count_rejections(Call call) {
  const auto count = [this](Reason reason) { ++counts_.rejected.at(static_cast<std::size_t>(reason)); };
  try {
    return call();
  } catch (const RequestRejected& error) {
    count(error.reason());
    throw;
  } catch (const coordination::OperationRejected& error) {
    count(Reason::kMalformed);
    throw RequestRejected(Reason::kMalformed, error.what());
  }
}

std::optional<Micros> Aggregator::grant_limit(Micros now) const {
  const bool may_grant = !draining_ && upstream_.is_active(now) && has_required_acknowledgement();
  return may_grant ? upstream_.valid_until() : std::nullopt;
}

// The acknowledgement record applies to the whole fleet, so its observed revision is the same in every zone.
bool Aggregator::has_required_acknowledgement() const {
  const auto any_zone = observed_.begin();
  return any_zone == observed_.end() ||
         any_zone->second.acknowledgement_revision >= upstream_.required_acknowledgement_revision();
}

LeaseId Aggregator::grant(Micros now, Micros ttl) {
  return count_rejections([&] {
    router_leases_.expire(now);
    const LeaseId id = router_leases_.grant(now, ttl, grant_limit(now));
    ++counts_.granted;
    return id;
  });
}

std::optional<Micros> Aggregator::keep_alive(Micros now, LeaseId id) {
  return count_rejections([&] {
    router_leases_.expire(now);
    const std::optional<Micros> left = router_leases_.keep_alive(now, id, grant_limit(now));
    ++counts_.renewed;
    return left;
  });
}

void Aggregator::revoke(Micros now, LeaseId id) {
  count_rejections([&] {
    router_leases_.expire(now);
    router_leases_.revoke(id);
    ++counts_.revoked;
  });
}

TransactionResult Aggregator::commit(Micros now, const Transaction& transaction) {
  return count_rejections([&] {
    router_leases_.expire(now);
    check_conditions(transaction);
    const bool writes = std::any_of(transaction.then.begin(), transaction.then.end(), is_write);
    return writes ? commit_report(now, transaction) : read_records(transaction);
  });
}

// Rejects conditions on other keys: they are not replicated, so they would appear to be absent.
void Aggregator::check_conditions(const Transaction& transaction) const {
  const std::string records_prefix = identity_.prefix + policy::kPolicyPrefix;
  const auto is_replicated = [&](const Compare& compare) { return compare.key.starts_with(records_prefix); };
  if (!std::all_of(transaction.when.begin(), transaction.when.end(), is_replicated)) {
    throw RequestRejected(Reason::kUnsupported,
                          "an aggregator compares the policy's records, and nothing else");
  }
}

TransactionResult Aggregator::commit_report(Micros now, const Transaction& transaction) {
  const bool is_one_put = transaction.then.size() == 1 && transaction.otherwise.empty() &&
                          std::holds_alternative<Put>(transaction.then.front());
  if (!is_one_put) {
    throw RequestRejected(Reason::kUnsupported, "an aggregator takes one permit at a time, and nothing else");
  }
  const Put& put = std::get<Put>(transaction.then.front());
  const RouterReport report = checked_report(put);
  // Reports are accepted while draining, too, since a router that still has a lease has to report.
  if (!upstream_.is_active(now)) {
    throw RequestRejected(Reason::kNoUpstreamLease, "the aggregator has no permission itself");
  }
  TransactionResult out = records_.commit(Transaction{transaction.when, {}, {}});
  if (out.succeeded) {
    router_leases_.record_report(put.lease, report);
    ++counts_.reports;
    out.results.emplace_back();
  }
  return out;
}

RouterReport Aggregator::checked_report(const Put& put) const {
  const std::string router = checked_router(put);
  if (put.value.size() > settings_.max_report_bytes) {
    throw RequestRejected(Reason::kTooLarge, "a permit of " + std::to_string(put.value.size()) + " bytes");
  }
  const std::optional<ParticipantReport> report = policy::read_report(put.value);
  if (!report || report->incarnation.empty()) {
    throw RequestRejected(Reason::kMalformed, "value: no permit");
  }
  if (!observed_.contains(report->zone)) {
    throw RequestRejected(Reason::kUnknownZone,
                          "zone: " + report->zone.substr(0, kMaxQuotedZoneBytes) + " is not served here");
  }
  return {router, *report};
}

std::string Aggregator::checked_router(const Put& put) const {
  const std::string reports_prefix = identity_.prefix + policy::kReportPrefix;
  if (!put.key.starts_with(reports_prefix)) {
    throw RequestRejected(Reason::kUnsupported, "an aggregator takes permits, and nothing else");
  }
  const std::size_t name_end = put.key.find('/', reports_prefix.size());
  const std::string router = put.key.substr(reports_prefix.size(), name_end - reports_prefix.size());
  const bool is_report_key = put.lease != 0 && coordination::is_name(router) &&
                             put.key == identity_.prefix + policy::report_key(router, put.lease);
  if (!is_report_key) {
    throw RequestRejected(Reason::kMalformed, "key: not of a router and its lease");
  }
  return router;
}

TransactionResult Aggregator::read_records(const Transaction& transaction) {
  if (!has_snapshot_) {
    throw RequestRejected(Reason::kNoUpstreamLease, "the store's records are not here yet");
  }
  check_reads(transaction.then);
  check_reads(transaction.otherwise);
  ++counts_.reads;
  return records_.commit(transaction);
}

void Aggregator::check_reads(const std::vector<Operation>& operations) const {
  const std::string records_prefix = identity_.prefix + policy::kPolicyPrefix;
  for (const Operation& operation : operations) {
    const Get* const get = std::get_if<Get>(&operation);
    if (get == nullptr || !get->range.key.starts_with(records_prefix)) {
      throw RequestRejected(Reason::kUnsupported, "an aggregator has the policy's records, and nothing else");
    }
  }
}

// ---- Calls to the store ----

SummariesByZone Aggregator::summaries() const {
  SummariesByZone out;
  for (const auto& [zone, observed] : observed_) {
    ParticipantReport summary = summarize(observed, zone, router_leases_.reports(zone));
    summary.incarnation = identity_.incarnation;
    const RequestCounts counts = router_leases_.request_counts(zone);
    summary.requests = counts.requests;
    summary.failed_requests = counts.failed;
    out[zone] = std::move(summary);
  }
  return out;
}

std::vector<UpstreamAction> Aggregator::step(Micros now) {
  router_leases_.expire(now);
  if (draining_ && router_leases_.size() == 0 && !upstream_.stopped()) {
    upstream_.stop(now);
  }
  if (!has_snapshot_) {
    return {};
  }
  const SummariesByZone current = summaries();
  for (const auto& [zone, summary] : current) {
    router_leases_.set_min_acknowledged(zone, summary.acknowledged_round);
  }
  return upstream_.step(now, connected_, observed_, current);
}

std::optional<Micros> Aggregator::next_step_at(Micros now) const {
  std::optional<Micros> out = upstream_.next_step_at(now, connected_);
  if (const auto expiry = router_leases_.next_expiry()) {
    out = std::min(out.value_or(*expiry), *expiry);
  }
  return out;
}

}  // namespace trailcourse::aggregation
