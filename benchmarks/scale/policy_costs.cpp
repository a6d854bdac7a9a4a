// What the fleet's policy costs a router: documents, and the permission that it renews.
#include <array>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "ownership/lease.h"
#include "policy/document.h"
#include "policy/holder.h"
#include "policy/options.h"
#include "role_costs.h"

namespace trailcourse::scale {
namespace {

constexpr std::array<int, 4> kClasses{3, 10, 30, 60};
constexpr std::array<int, 4> kHolders{100, 300, 1'000, 3'000};

policy::Document document_of(int classes) {
  policy::Document out;
  out.version = 7;
  out.parent = 6;
  out.author = "operator";
  out.reason = "evening peak";
  for (int i = 0; i < classes; ++i) {
    out.content.classes["class" + std::to_string(i)] = policy::ClassPolicy{};
  }
  return out;
}

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
  for (const int classes : kClasses) {
    const std::string text = policy::write_text(document_of(classes));
    bytes.points.emplace_back(classes, text.size());
    cpu.points.emplace_back(classes, cpu_us_per_call(200, [&] { keep_result(policy::read_document(text)); }));
    memory.points.emplace_back(classes, bytes_held_by([&] {
                                 return std::make_unique<policy::Document>(policy::read_document(text));
                               }));
  }
  for (const CostSeries& series : {bytes, cpu, memory}) {
    sink(series);
  }
}

std::string zone_of(int index) { return "zone" + std::to_string(index % 203); }

std::unique_ptr<policy::Holder> joined_holder(int index, Micros now) {
  auto holder = std::make_unique<policy::Holder>("0123456789abcdef", zone_of(index),
                                                 policy::holder_rules(policy::PolicyOptions()),
                                                 [](std::uint64_t) { return std::string(); });
  policy::Known known;
  known.version = 7;
  known.current_modified = 40;
  holder->heard(now, true);
  holder->told(now, known);
  holder->document(now, 7);
  holder->kept(now, 7, "");
  for (const policy::HolderOrder& order : holder->due(now)) {
    if (const auto* ask = std::get_if<policy::AskPermission>(&order)) {
      holder->joined(now, ask->order.call_id, true);
    }
  }
  return holder;
}

// A second in the life of a router whose policy does not change: one renewal, answered.
void renew(policy::Holder& holder, Micros now) {
  for (const policy::HolderOrder& order : holder.due(now)) {
    if (const auto* ask = std::get_if<policy::AskPermission>(&order)) {
      holder.renewed(now, ask->order.call_id, true);
    }
  }
  keep_result(holder.ruling(now));
}

void measure_holders(const CostSink& sink) {
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
  for (const int count : kHolders) {
    Micros now(1'000'000);
    std::vector<std::unique_ptr<policy::Holder>> holders(static_cast<std::size_t>(count));
    const double before = allocated_bytes();
    for (int i = 0; i < count; ++i) {
      holders[static_cast<std::size_t>(i)] = joined_holder(i, now);
    }
    memory.points.emplace_back(count, allocated_bytes() - before);
    cpu.points.emplace_back(count, cpu_us_per_call(5, [&] {
                              now += Micros(1'000'000);
                              for (const auto& holder : holders) {
                                renew(*holder, now);
                              }
                            }));
  }
  sink(memory);
  sink(cpu);
}

}  // namespace

void measure_policy(const CostContext&, const CostSink& sink) {
  measure_documents(sink);
  measure_holders(sink);
}

}  // namespace trailcourse::scale
