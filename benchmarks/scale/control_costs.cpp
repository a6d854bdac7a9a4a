// Measures the costs of coordinating a policy rollout, of the view of the fleet's members, and of competing
// for ownership of shared work. In the names and texts of the measured points, the driver of a change is the
// rollout coordinator, its look is its read of the store, and a permit is a participant report.
#include <array>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/etcd_fields.h"
#include "coordination/etcd_responses.h"
#include "coordination/key_value_state.h"
#include "membership/membership_view.h"
#include "ownership/lease_manager.h"
#include "planned_fleet.h"
#include "policy/options.h"
#include "policy/rollout_coordinator.h"
#include "role_costs.h"

namespace trailcourse::scale {
namespace {

constexpr std::array<int, 7> kReportCounts{30, 100, 203, 1'000, 3'000, 10'000, 19'000};
constexpr std::array<int, 5> kMemberCounts{100, 300, 1'000, 3'000, 19'000};
constexpr const char* kPrefix = "trailcourse/";

std::string router_name(int index) { return "router-" + std::to_string(10'000 + index); }
std::string zone_name(int index) { return "zone" + std::to_string(index % kPlannedZones); }

// ---- Coordinator of a policy rollout ----

policy::Rollout sample_rollout() {
  policy::Rollout out;
  out.id = 812;
  out.target_version = 813;
  out.previous_version = 812;
  return out;
}

// Returns the state of a coordination store in which all routers have reported that they are ready for a
// rollout.
coordination::KeyValueState state_with_reports(int reports) {
  coordination::KeyValueState state{coordination::KeyValueLimits()};
  const policy::Rollout rollout = sample_rollout();
  coordination::Transaction write;
  write.then = {
      coordination::Put{std::string(kPrefix) + policy::kRolloutKey, policy::write_rollout(rollout), 0},
      coordination::Put{std::string(kPrefix) + policy::kCurrentKey, "812", 0}};
  state.commit(write);
  for (int i = 0; i < reports; ++i) {
    policy::ParticipantReport report;
    report.incarnation = "0123456789abcdef";
    report.zone = zone_name(i);
    report.version = rollout.previous_version;
    report.ready_stage = policy::stage_id(rollout);
    report.sequence = 2;
    const auto lease = static_cast<coordination::LeaseId>((123'456ULL << 20U) + static_cast<unsigned>(i));
    const std::string key = kPrefix + policy::report_key(router_name(i), lease);
    state.commit({{}, {coordination::Put{key, policy::write_report(report), 0}}, {}});
  }
  return state;
}

// Measures one read of all records that the rollout coordinator needs: its size, and its CPU time at the
// store and at the coordinator.
void measure_rollout_reads(const CostSink& sink) {
  namespace etcd = coordination::etcd;
  CostSeries bytes{"driver.bytes.look",
                   "all that the driver of a change goes by, read once",
                   "bytes",
                   "permits",
                   "in process",
                   {}};
  CostSeries store_cpu{
      "store.cpu.look", "that read served: found, and written as JSON", "us", "permits", "in process", {}};
  CostSeries coordinator_cpu{
      "driver.cpu.look", "that read taken in, and the next step found", "us", "permits", "in process", {}};
  const etcd::ResponseHeader header{0xabcd'ef01'2345, 123'456'789};
  for (const int reports : kReportCounts) {
    coordination::KeyValueState state = state_with_reports(reports);
    const coordination::Transaction snapshot_read = policy::snapshot_transaction(kPrefix);
    std::string answer;
    const int calls = std::max(1, 3'000 / reports);
    store_cpu.points.emplace_back(
        reports, cpu_us_per_call(calls, [&] {
          answer = etcd::write_transaction_result(header, snapshot_read, state.commit(snapshot_read)).dump();
        }));
    bytes.points.emplace_back(reports, answer.size());
    policy::RolloutCoordinator coordinator(policy::rollout_timeouts(policy::PolicyOptions()));
    coordinator_cpu.points.emplace_back(
        reports, cpu_us_per_call(calls, [&] {
          etcd::ResponseHeader received_header;
          const auto outcome =
              etcd::read_transaction_result(etcd::parse_object(answer), snapshot_read, received_header);
          keep_result(coordinator.step(Micros(1), policy::read_snapshot(kPrefix, outcome)));
        }));
  }
  for (const CostSeries& series : {bytes, store_cpu, coordinator_cpu}) {
    sink(series);
  }
}

// ---- Membership ----

membership::Member member_of(int index) {
  membership::Member out;
  out.name = router_name(index);
  out.incarnation = "0123456789abcdef";
  out.zone = zone_name(index);
  out.address = "10.20.30.40:4100";
  out.started_ms = 1'764'000'000'000;
  out.version = "0.2.0";
  return out;
}

// Adds the member to the view, or removes it if it is not `present`.
void apply_member(membership::MembershipView& view, const membership::Member& member, bool present,
                  std::uint64_t revision) {
  view.apply(Micros(static_cast<std::int64_t>(revision)),
             membership::member_key(member.name, member.incarnation),
             present ? membership::write_member(member) : "", revision, revision);
}

// Measures a membership view: its memory, the removal and return of single members, and the list of eligible
// members.
void measure_membership_view(const CostSink& sink) {
  CostSeries memory{
      "membership.memory.view", "one router's view of the members", "bytes", "members", "in process", {}};
  CostSeries change{
      "membership.cpu.change", "a member that goes or comes taken in", "us", "members", "in process", {}};
  CostSeries eligible{"membership.cpu.eligible",
                      "the members that may be given work, asked for after a change",
                      "us",
                      "members",
                      "in process",
                      {}};
  for (const int members : kMemberCounts) {
    const auto filled_view = [&] {
      auto view = std::make_unique<membership::MembershipView>(membership::MembershipOptions());
      for (int i = 0; i < members; ++i) {
        apply_member(*view, member_of(i), true, static_cast<std::uint64_t>(i) + 1);
      }
      return view;
    };
    memory.points.emplace_back(members, bytes_held_by(filled_view));
    const auto view = filled_view();
    std::uint64_t revision = 100'000;
    change.points.emplace_back(members, cpu_us_per_call(500, [&] {
                                 // An even revision removes a member, the next one adds it again.
                                 ++revision;
                                 const int member_index =
                                     static_cast<int>(revision / 2 % static_cast<unsigned>(members));
                                 apply_member(*view, member_of(member_index), revision % 2 == 1, revision);
                               }));
    eligible.points.emplace_back(members, cpu_us_per_call(std::max(1, 20'000 / members), [&] {
                                   keep_result(view->eligible(Micros(200'000), ""));
                                 }));
  }
  for (const CostSeries& series : {memory, change, eligible}) {
    sink(series);
  }
}

// ---- Ownership of shared work ----

ownership::MemberZones member_zones(int members) {
  std::map<std::string, std::string> out;
  for (int i = 0; i < members; ++i) {
    out[router_name(i)] = zone_name(i);
  }
  return out;
}

// Returns the lease manager of router 0, with work of four shards that router 1 owns.
std::unique_ptr<ownership::LeaseManager> make_lease_manager(int members) {
  auto manager = std::make_unique<ownership::LeaseManager>(router_name(0), "0123456789abcdef", zone_name(0),
                                                           std::set<std::string>{"fill"},
                                                           ownership::LeaseManagerOptions());
  manager->set_connected(Micros(1), true);
  ownership::Work work;
  work.name = "w";
  work.kind = "fill";
  work.shards = 4;
  manager->set_work(Micros(1), "w", work);
  ownership::Owner owner{router_name(1), "0123456789abcdef", 7};
  for (std::uint64_t shard = 0; shard < work.shards; ++shard) {
    manager->on_owner(Micros(1), {"w", shard}, owner, 7);
  }
  manager->set_members(Micros(1), member_zones(members));
  return manager;
}

// Measures a lease manager: its memory, a new list of members, and a shard that loses and regains its owner.
void measure_lease_managers(const CostSink& sink) {
  CostSeries memory{"ownership.memory.candidate",
                    "one router's lease manager, for work of four shards",
                    "bytes",
                    "members",
                    "in process",
                    {}};
  CostSeries change{"ownership.cpu.members",
                    "new members told to it, and what is due then",
                    "us",
                    "members",
                    "in process",
                    {}};
  CostSeries owner{"ownership.cpu.owner.gone",
                   "an owner gone: whose turn it is, and what is due then",
                   "us",
                   "members",
                   "in process",
                   {}};
  for (const int members : kMemberCounts) {
    memory.points.emplace_back(members, bytes_held_by([&] { return make_lease_manager(members); }));
    const auto manager = make_lease_manager(members);
    const auto zones_by_member = member_zones(members);
    Micros now(1'000'000);
    const int calls = std::max(1, 5'000 / members);
    change.points.emplace_back(members, cpu_us_per_call(calls, [&] {
                                 now += Micros(1'000);
                                 manager->set_members(now, zones_by_member);
                                 keep_result(manager->step(now));
                               }));
    std::uint64_t revision = 8;
    owner.points.emplace_back(members, cpu_us_per_call(calls, [&] {
                                now += Micros(1'000);
                                manager->on_owner(now, {"w", 0}, std::nullopt, ++revision);
                                keep_result(manager->next_step_at(now));
                                manager->on_owner(now, {"w", 0},
                                                  ownership::Owner{router_name(1), "0123456789abcdef", 7},
                                                  ++revision);
                              }));
  }
  for (const CostSeries& series : {memory, change, owner}) {
    sink(series);
  }
}

}  // namespace

void measure_rollout_coordinator(const CostContext&, const CostSink& sink) { measure_rollout_reads(sink); }

void measure_membership(const CostContext&, const CostSink& sink) {
  measure_membership_view(sink);
  measure_lease_managers(sink);
}

}  // namespace trailcourse::scale
