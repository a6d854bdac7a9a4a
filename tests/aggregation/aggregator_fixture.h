// A fixture with an aggregator and the real state of a store, both on one clock that the test advances.
#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "aggregation/aggregator.h"
#include "aggregation/rollout_states.h"
#include "coordination/key_value_state.h"

namespace trailcourse::aggregation {

class AggregatorFixture : public testing::Test {
 protected:
  AggregatorFixture() : aggregator_(settings(), {kName, "1", {"edge", "west"}, ""}, kSeed) {
    put(policy::kCurrentKey, std::to_string(kOldVersion));
  }

  static constexpr std::size_t kMaxRouters = 3;

  // ---- The store ----

  void put(const std::string& key, const std::string& value) {
    store_.commit(coordination::Transaction{{}, {coordination::Put{key, value, 0}}, {}});
    publish_changes();
  }
  void put_rollout(policy::RolloutState state) {
    put(policy::kRolloutKey, policy::write_rollout(rollout_in(state)));
  }
  // Passes the changes since the last call to the aggregator. Drops them before its first snapshot.
  void publish_changes() {
    std::vector<coordination::KeyChange> changes;
    for (const coordination::KeyChange& change : store_.take_changes()) {
      if (change.entry.key.starts_with(policy::kPolicyPrefix)) {
        changes.push_back(change);
      }
    }
    if (aggregator_.has_snapshot()) {
      aggregator_.on_changes(changes);
    }
  }
  void load_snapshot() {
    aggregator_.on_snapshot(store_.get(coordination::Range{policy::kPolicyPrefix, true}));
    aggregator_.set_connected(true);
  }
  std::chrono::milliseconds store_clock() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now_);
  }
  std::optional<policy::ParticipantReport> stored_summary(const std::string& zone) {
    const auto found = store_.get(coordination::Range{summary_key("", kName, zone, lease_), false});
    return found.empty() ? std::nullopt : policy::read_report(found.front().value);
  }

  // ---- The aggregator's calls ----

  // Executes the calls that the aggregator makes now, each with an immediate response.
  void execute_steps() {
    constexpr int kMaxSteps = 8;
    for (int step = 0; step < kMaxSteps; ++step) {
      for (const UpstreamAction& action : aggregator_.step(now_)) {
        std::visit([this](const auto& call) { execute(call); }, action);
      }
    }
  }
  void execute(const LeaseAction& action) {
    store_.expire(store_clock());
    UpstreamLease& upstream = aggregator_.upstream();
    const std::uint64_t call_id = action.call.call_id;
    switch (action.call.kind) {
      case ownership::LeaseCallKind::kAcquire:
        lease_ = store_.grant(store_clock(), kTtl, 0);
        upstream.on_join_result(now_, call_id,
                                read_join_result(store_.commit(join_transaction("", kName, lease_, action))));
        return;
      case ownership::LeaseCallKind::kRenew: {
        const bool renewed = store_.keep_alive(store_clock(), lease_) > std::chrono::milliseconds(0);
        upstream.on_renew_result(now_, call_id,
                                 renewed ? RenewResult::kRenewed : RenewResult::kLeaseNotFound);
        return;
      }
      case ownership::LeaseCallKind::kRelease:
        store_.revoke(lease_);
        upstream.on_release_result(now_, call_id);
        return;
    }
  }
  void execute(const ReportSummariesAction& action) {
    const auto outcome = store_.commit(summary_transaction("", kName, lease_, action));
    aggregator_.upstream().on_write_result(now_, action.call_id, read_write_result(outcome, action));
  }
  // Returns the write of summaries that is due now, without executing it.
  std::optional<ReportSummariesAction> due_write() {
    const std::vector<UpstreamAction> actions = aggregator_.step(now_);
    if (actions.size() != 1 || !std::holds_alternative<ReportSummariesAction>(actions.front())) {
      return std::nullopt;
    }
    return std::get<ReportSummariesAction>(actions.front());
  }

  // ---- Routers ----

  static policy::ParticipantReport report_of(const std::string& zone, std::uint64_t version = kOldVersion) {
    policy::ParticipantReport out;
    out.incarnation = "1";
    out.zone = zone;
    out.version = version;
    return out;
  }
  static policy::ParticipantReport suspended_report(const std::string& zone) {
    policy::ParticipantReport out = report_of(zone);
    out.suspended_stage = stage_in(policy::RolloutState::kSuspending);
    return out;
  }
  // Returns the transaction by which the router writes its next report.
  coordination::Transaction report_from(const std::string& router, coordination::LeaseId lease,
                                        policy::ParticipantReport report) {
    report.sequence = ++report_number_;
    return {
        {}, {coordination::Put{policy::report_key(router, lease), policy::write_report(report), lease}}, {}};
  }
  coordination::LeaseId join(const std::string& router, const std::string& zone) {
    const coordination::LeaseId lease = aggregator_.grant(now_, kRouterTtl);
    EXPECT_TRUE(aggregator_.commit(now_, report_from(router, lease, report_of(zone))).succeeded);
    return lease;
  }

  // Expects that `call` is rejected for `reason` and counted, and that it changes nothing else.
  template <typename Call>
  void expect_rejected(RequestRejected::Reason reason, Call call) {
    const std::uint64_t rejected_before = aggregator_.counts().total_rejected();
    const SummariesByZone summaries = aggregator_.summaries();
    const std::size_t routers = aggregator_.router_count();
    try {
      call();
      ADD_FAILURE() << "not rejected";
    } catch (const RequestRejected& error) {
      EXPECT_STREQ(to_string(error.reason()), to_string(reason)) << error.what();
      EXPECT_STRNE(error.what(), "");
    }
    EXPECT_EQ(aggregator_.counts().total_rejected(), rejected_before + 1);
    EXPECT_EQ(aggregator_.summaries(), summaries);
    EXPECT_EQ(aggregator_.router_count(), routers);
  }

  static constexpr Micros kRouterTtl{3'000'000};

  coordination::KeyValueState store_{coordination::KeyValueLimits{}};
  Aggregator aggregator_;
  Micros now_{1'000'000};
  coordination::LeaseId lease_ = 0;  // the aggregator's own
  std::uint64_t report_number_ = 0;  // of the last report of any router

 private:
  static constexpr const char* kName = "agg";
  static constexpr std::uint64_t kSeed = 5;  // of the ids of routers' leases
  static constexpr std::chrono::milliseconds kTtl{4'000};

  static AggregatorSettings settings() {
    AggregatorSettings out;
    out.lease.ttl = kTtl;
    out.lease.margin = std::chrono::milliseconds(20);
    out.lease.renew_after = std::chrono::milliseconds(500);
    out.lease.retry_backoff = std::chrono::milliseconds(200);
    out.routers.max_routers = kMaxRouters;
    return out;
  }
};

}  // namespace trailcourse::aggregation
