// A simulation of routers, aggregators and a store in virtual time: the real participants, aggregators,
// coordinators of rollouts and of acknowledgement rounds, and store state.
//
// A seed determines the faults: late and lost calls on both hops; watches that lag behind; drifting clocks;
// aggregators that crash, pause, drain, or are disconnected from the store or from routers; routers that
// move; a region that is disconnected for long; half of all processes restarted; the store restored from an
// old backup.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "aggregation/aggregator.h"
#include "aggregation/version_order_check.h"
#include "coordination/key_value_state.h"
#include "policy/acknowledgement_coordinator.h"
#include "policy/participant.h"
#include "policy/rollout_coordinator.h"
#include "policy/rollout_transactions.h"
#include "virtual_world.h"

namespace trailcourse::aggregation {

// A defect seeded into the simulation, which its checks have to find.
enum class Defect {
  kNone,
  kRouterMissingFromSummary,
  kLeaseOfMovedRouterDropped,   // as soon as the router calls another aggregator
  kRenewedBeyondUpstreamLease,  // although the aggregator's own lease ends sooner
  kUnfencedSummary,             // its key does not name the lease, and nothing is compared
  kLeaseIdsRepeated,            // a restarted aggregator grants the same ids again
  kAcknowledgesUnseenEvents,    // routers acknowledge all requested events
  kJoinsWithEarlierRound        // an aggregator accepts a router that has observed only an earlier round
};

// The result of a run, with its counts.
struct WorldResult {
  std::string failure;  // the first one; empty: none
  std::uint64_t decided = 0;
  std::uint64_t decided_by_intersection = 0;
  std::uint64_t rejected = 0;
  std::uint64_t rollouts = 0;
  std::uint64_t commits = 0;
  std::uint64_t aborts = 0;
  std::uint64_t rollbacks = 0;
  std::uint64_t moves = 0;  // of routers to another aggregator
  std::uint64_t joins = 0;  // of aggregators at the store
  std::uint64_t summaries = 0;
  std::uint64_t store_restores = 0;
  std::uint64_t acknowledgement_rounds = 0;

  // Adds the counts of another run.
  void add(const WorldResult& other);
};

class RegionWorld : private testing_support::VirtualWorld {
 public:
  RegionWorld(std::uint64_t seed, Defect defect);

  // Runs the simulation to its end.
  WorldResult run();

 private:
  struct AggregatorProcess : testing_support::VirtualProcess {
    int index = 0;
    std::string name;
    std::optional<Aggregator> core;
    coordination::LeaseId lease = 0;          // its own
    coordination::Revision min_revision = 0;  // the highest observed; lower responses are ignored
    int watch_id = 0;                         // messages with another id are of an earlier watch
    bool watching = false;
    bool has_snapshot = false;                                        // on this watch
    std::vector<std::vector<coordination::KeyChange>> early_changes;  // before the snapshot
    bool cut_below = false;                                           // disconnected from its routers
    Micros last_delivery{0};  // of its watch; later messages do not overtake it
  };
  struct RouterProcess : testing_support::VirtualProcess {
    int index = 0;
    std::string zone;
    std::optional<policy::Participant> participant;
    coordination::LeaseId lease = 0;
    coordination::Revision min_revision = 0;
    int endpoint = 0;            // the aggregator that its calls go to
    int watched = kNotWatching;  // the aggregator of its watch, which follows `endpoint` later
    int watched_incarnation = 0;
    int watch_id = 0;
    Micros last_heartbeat{0};  // in true time
    Micros last_delivery{0};
    bool disk_fails = false;
    policy::DiscoveryPosition position;
    std::uint64_t requests = 0;
    std::uint64_t failed_requests = 0;
  };
  struct StoreBackup {
    std::vector<coordination::Entry> entries;
    std::map<coordination::LeaseId, coordination::Lease> leases;
    coordination::Revision revision = 1;
  };
  struct PolicyRecords {
    std::vector<coordination::Entry> entries;
    coordination::Revision revision = 0;
  };
  using Changes = std::vector<coordination::KeyChange>;
  using Job = std::function<void()>;
  template <typename Value>
  using Handler = std::function<void(const Value&)>;
  static constexpr int kNotWatching = -1;

  // ---- The store (region_world_store.cpp) ----
  policy::RolloutSnapshot rollout_snapshot();
  void record_versions_in_force();
  void expire_leases_periodically();
  void publish_changes();
  bool revoke_at_store(coordination::LeaseId lease);
  std::optional<coordination::TransactionResult> commit_at_store(
      const coordination::Transaction& transaction);
  Micros delivery_time(Micros& last_delivery, Micros max_lag);
  Micros coordinator_delay();
  template <typename Value>
  void call_store(AggregatorProcess& aggregator, const std::function<std::optional<Value>()>& operation,
                  const Handler<Value>& on_answer, const Job& on_no_response);
  void back_up_store();
  void restore_store();
  void restart_all_after_restore();

  // ---- Coordinators and operators (region_world_coordinators.cpp) ----
  void run_rollout_coordinator();
  void advance_rollout(const policy::RolloutSnapshot& snapshot);
  void propose_rollouts();
  void propose_rollout(const policy::RolloutSnapshot& snapshot);
  void run_acknowledgement_coordinator();
  void write_acknowledgement(const coordination::Transaction& write, const policy::Acknowledgement& next);
  void publish_events();
  void deliver_event(RouterProcess& router);

  // ---- Aggregators (region_world_aggregators.cpp) ----
  void start(AggregatorProcess& aggregator);
  void start_watch(AggregatorProcess& aggregator);
  void retry_watch(AggregatorProcess& aggregator, int watch_id);
  void on_records(AggregatorProcess& aggregator, int watch_id, const PolicyRecords& records);
  void on_changes(AggregatorProcess& aggregator, int watch_id, const Changes& changes);
  void run_step(AggregatorProcess& aggregator);
  void execute(AggregatorProcess& aggregator, const LeaseAction& action);
  void execute(AggregatorProcess& aggregator, const ReportSummariesAction& action);
  void acquire(AggregatorProcess& aggregator, const LeaseAction& action);
  void join(AggregatorProcess& aggregator, const LeaseAction& action);
  void renew(AggregatorProcess& aggregator, std::uint64_t call_id);
  void release(AggregatorProcess& aggregator, std::uint64_t call_id);
  Job no_response_to(AggregatorProcess& aggregator, std::uint64_t call_id);
  void remove_fence(const AggregatorProcess& aggregator, coordination::Transaction& transaction) const;
  AggregatorProcess& aggregator_at(int index) { return aggregators_[static_cast<std::size_t>(index)]; }

  // ---- Routers (region_world_routers.cpp) ----
  void start(RouterProcess& router);
  void on_endpoint_failure(RouterProcess& router, int endpoint);
  policy::ObservedState observed_by(const AggregatorProcess& aggregator, const std::string& zone) const;
  void start_watch(RouterProcess& router);
  void retry_watch(RouterProcess& router, int watch_id);
  void on_observed(RouterProcess& router, const policy::ObservedState& observed);
  void publish_to_routers(const AggregatorProcess& aggregator);
  void publish_to(RouterProcess& router, const AggregatorProcess& aggregator);
  bool is_watching(const RouterProcess& router, const AggregatorProcess& aggregator) const;
  void send_heartbeats(RouterProcess& router);
  void check_watch(RouterProcess& router);
  template <typename Value>
  void call_aggregator(RouterProcess& router, const std::function<Value(Aggregator&)>& operation,
                       const Handler<Value>& on_answer, const Job& on_no_response);
  void run_step(RouterProcess& router);
  void execute(RouterProcess& router, const policy::PersistDocumentAction& action);
  void execute(RouterProcess& router, const policy::ReportAction& action);
  void execute(RouterProcess& router, const policy::LeaseAction& action);
  void acquire(RouterProcess& router, const policy::LeaseAction& action);
  void join(RouterProcess& router, const policy::LeaseAction& action);
  Job no_response_to(RouterProcess& router, std::uint64_t call_id);
  coordination::Transaction report_transaction(const RouterProcess& router, policy::ParticipantReport report,
                                               coordination::LeaseId lease) const;
  coordination::TransactionResult commit_report(const RouterProcess& router, Aggregator& aggregator,
                                                Micros now, coordination::Transaction transaction);
  static void acknowledge_latest_round(const Aggregator& aggregator, coordination::Put& put);
  bool renew(Aggregator& aggregator, int endpoint, coordination::LeaseId lease);
  void drop_lease(AggregatorProcess& aggregator, coordination::LeaseId lease);
  Micros clock_of(int endpoint) { return clock(aggregator_at(endpoint)); }

  // ---- Requests (region_world_routers.cpp) ----
  void generate_requests();
  void handle_request(RouterProcess& router);
  void check_events(const RouterProcess& router);

  // ---- Faults (region_world_faults.cpp) ----
  void draw_faults();
  void draw_fault_of(AggregatorProcess& aggregator);
  void draw_fault_of(RouterProcess& router);
  void draw_rare_faults();
  void cut_off_region();
  void restart_half();
  // Runs the job unless the process has another incarnation by then.
  void after(testing_support::VirtualProcess& process, Micros time, Job job);
  template <typename Process>
  void pause(Process& process, Micros time);
  template <typename Process>
  void restart(Process& process, Micros time);
  void resume(AggregatorProcess& aggregator) { wake(aggregator); }
  void resume(RouterProcess& router);
  void cut_off_from_store(AggregatorProcess& aggregator, Micros time);
  void end_faults();

  // ---- The end (region_world.cpp) ----
  void check_end();
  void check_decides_in_force(const RouterProcess& router, const policy::RolloutSnapshot& snapshot);
  static std::string describe(const policy::RolloutSnapshot& snapshot);

  Defect defect_;
  coordination::KeyValueState store_{coordination::KeyValueLimits{}};
  StoreBackup backup_;
  bool store_is_restored_ = false;  // true until all processes are restarted
  bool same_name_ = false;          // whether all aggregators have the same name
  std::deque<AggregatorProcess> aggregators_;
  std::deque<RouterProcess> routers_;
  std::optional<policy::RolloutCoordinator> rollout_coordinator_;
  policy::AcknowledgementCoordinator acknowledgement_coordinator_{std::chrono::milliseconds(200)};
  policy::DiscoveryPosition published_{"board", 0};
  std::uint64_t completed_event_ = 0;  // recorded as applied by every router
  coordination::Revision coordinator_min_revision_ = 0;
  std::uint64_t last_version_ = 0;
  std::uint64_t commit_count_ = 0;
  VersionOrderCheck version_order_;
  WorldResult result_;
};

// ---- Templates ----

// Ignores responses of a store that was restored from an old backup.
template <typename Value>
void RegionWorld::call_store(AggregatorProcess& aggregator,
                             const std::function<std::optional<Value>()>& operation,
                             const Handler<Value>& on_answer, const Job& on_no_response) {
  struct Answer {
    Value value{};
    coordination::Revision revision = 0;
  };
  const coordination::Revision min_revision = aggregator.min_revision;
  call<Answer>(
      aggregator, nullptr, aggregator.cut,
      [this, operation]() -> std::optional<Answer> {
        store_.expire(store_clock());
        const std::optional<Value> value = operation();
        publish_changes();
        return value ? std::optional(Answer{*value, store_.revision()}) : std::nullopt;
      },
      [&aggregator, min_revision, on_answer, on_no_response](const Answer& answer) {
        if (answer.revision < min_revision) {
          on_no_response();
          return;
        }
        aggregator.min_revision = std::max(aggregator.min_revision, answer.revision);
        on_answer(answer.value);
      },
      on_no_response);
}

// A call that fails, or that an aggregator with an older revision answers, counts as lost, and the router
// switches to the next aggregator.
template <typename Value>
void RegionWorld::call_aggregator(RouterProcess& router, const std::function<Value(Aggregator&)>& operation,
                                  const Handler<Value>& on_answer, const Job& on_no_response) {
  enum class Status { kOk, kRejected, kUnavailable };
  struct Answer {
    Status status = Status::kOk;
    Value value{};
    coordination::Revision revision = 0;
  };
  const int endpoint = router.endpoint;
  AggregatorProcess& aggregator = aggregator_at(endpoint);
  const coordination::Revision min_revision = router.min_revision;
  const auto on_failure = [this, &router, endpoint, on_no_response] {
    on_endpoint_failure(router, endpoint);
    on_no_response();
  };
  call<Answer>(
      router, &aggregator, router.cut || aggregator.cut_below,
      [&aggregator, operation]() -> std::optional<Answer> {
        Answer answer;
        try {
          answer.value = operation(*aggregator.core);
        } catch (const RequestRejected& error) {
          answer.status = is_retryable_elsewhere(error.reason()) ? Status::kUnavailable : Status::kRejected;
        }
        answer.revision = aggregator.core->records().revision();
        return aggregator.cut_below ? std::nullopt : std::optional(answer);
      },
      [&router, min_revision, on_answer, on_no_response, on_failure](const Answer& answer) {
        if (answer.status == Status::kUnavailable || answer.revision < min_revision) {
          on_failure();
        } else if (answer.status == Status::kRejected) {
          on_no_response();
        } else {
          router.min_revision = std::max(router.min_revision, answer.revision);
          on_answer(answer.value);
        }
      },
      on_failure);
}

}  // namespace trailcourse::aggregation
