// Measures the costs of the fleet's policy for a router: of policy documents, and of its policy lease. In the
// names and texts of the measured points, a holder is a participant, the permission is its policy lease, and
// a ruling is an evaluation of the effective policy.
#include <array>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "ownership/lease.h"
#include "planned_fleet.h"
#include "policy/document.h"
#include "policy/options.h"
#include "policy/participant.h"
#include "role_costs.h"

namespace trailcourse::scale {
namespace {

constexpr std::array<int, 4> kClassCounts{3, 10, 30, 60};
constexpr std::array<int, 4> kParticipantCounts{100, 300, 1'000, 3'000};

policy::PolicyDocument document_of(int classes) {
  policy::PolicyDocument out;
  out.version = 7;
  out.parent = 6;
  out.author = "operator";
  out.reason = "evening peak";
  for (int i = 0; i < classes; ++i) {
    out.content.classes["class" + std::to_string(i)] = policy::ClassPolicy{};
  }
  return out;
}

// Measures a policy document with `classes` request classes: its text, its parsing and its memory.
void measure_documents(const CostSink& sink) {
  CostSeries bytes{"router.bytes.policy.document",
                   "a version of the policy as it stands in the store",
                   "bytes",
                   "classes",
                   "in process",
                   {}};
  CostSeries cpu{"router.cpu.policy.document",
                 "that text read and checked, digest included",
                 "us",
                 "classes",
                 "in process",
                 {}};
  CostSeries memory{
      "router.memory.policy.document", "that version held", "bytes", "classes", "in process", {}};
  for (const int classes : kClassCounts) {
    const std::string text = policy::write_document_text(document_of(classes));
    bytes.points.emplace_back(classes, text.size());
    cpu.points.emplace_back(classes, cpu_us_per_call(200, [&] { keep_result(policy::read_document(text)); }));
    memory.points.emplace_back(classes, bytes_held_by([&] {
                                 return std::make_unique<policy::PolicyDocument>(policy::read_document(text));
                               }));
  }
  for (const CostSeries& series : {bytes, cpu, memory}) {
    sink(series);
  }
}

std::string zone_of(int index) { return "zone" + std::to_string(index % kPlannedZones); }

// Returns a participant that holds its policy lease, with policy version 7 in force.
std::unique_ptr<policy::Participant> joined_participant(int index, Micros now) {
  auto participant = std::make_unique<policy::Participant>(
      "0123456789abcdef", zone_of(index), policy::participant_options(policy::PolicyOptions()),
      [](std::uint64_t) { return policy::PreparationResult(); });
  policy::ObservedState state;
  state.version = 7;
  state.current_revision = 40;
  participant->set_connected(now, true);
  participant->on_observed_state(now, state);
  participant->on_document(now, 7);
  participant->on_persist_result(now, 7, {});
  for (const policy::ParticipantAction& action : participant->step(now)) {
    if (const auto* lease = std::get_if<policy::LeaseAction>(&action)) {
      participant->on_join_result(now, lease->call.call_id, true);
    }
  }
  return participant;
}

// Renews the policy lease once and evaluates the effective policy, as a router does each second while its
// policy does not change.
void renew(policy::Participant& participant, Micros now) {
  for (const policy::ParticipantAction& action : participant.step(now)) {
    if (const auto* lease = std::get_if<policy::LeaseAction>(&action)) {
      participant.on_renew_result(now, lease->call.call_id, true);
    }
  }
  keep_result(participant.effective_policy(now));
}

// Measures the participants of `count` routers: their memory, and one renewal of each.
void measure_participants(const CostSink& sink) {
  CostSeries memory{"router.memory.policy.holder",
                    "routers' sides of the policy, with permission",
                    "bytes",
                    "holders",
                    "in process",
                    {}};
  CostSeries cpu{"router.cpu.policy.renewal",
                 "a renewal of each one's permission decided and taken in, and one ruling",
                 "us",
                 "holders",
                 "in process",
                 {}};
  for (const int count : kParticipantCounts) {
    Micros now(1'000'000);
    std::vector<std::unique_ptr<policy::Participant>> participants(static_cast<std::size_t>(count));
    const double before = allocated_bytes();
    for (int i = 0; i < count; ++i) {
      participants[static_cast<std::size_t>(i)] = joined_participant(i, now);
    }
    memory.points.emplace_back(count, allocated_bytes() - before);
    cpu.points.emplace_back(count, cpu_us_per_call(5, [&] {
                              now += Micros(1'000'000);
                              for (const auto& participant : participants) {
                                renew(*participant, now);
                              }
                            }));
  }
  sink(memory);
  sink(cpu);
}

}  // namespace

void measure_router_policy(const CostContext&, const CostSink& sink) {
  measure_documents(sink);
  measure_participants(sink);
}

}  // namespace trailcourse::scale
