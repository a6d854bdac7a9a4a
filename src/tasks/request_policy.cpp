#include "tasks/request_policy.h"

#include <algorithm>
#include <utility>

namespace trailcourse::tasks {

using policy::EffectivePolicy;
using std::chrono::milliseconds;

namespace {

// The maximum number of class sets at the decision module. The first is that of the settings; the others are
// reused in turn.
constexpr std::uint64_t kMaxClassSets = 32;

std::int64_t to_ms(Micros time) { return std::chrono::duration_cast<milliseconds>(time).count(); }

policy::ClassPolicy policy_of(const ClassSettings& settings) {
  policy::ClassPolicy out;
  out.objective_ms = std::max<std::int64_t>(1, to_ms(settings.latency_objective));
  out.give_up_ms = std::max(out.objective_ms, to_ms(settings.give_up_after));
  out.priority_weight = settings.priority_weight;
  out.fresh_ms = to_ms(settings.lifetime);
  out.grace_ms = to_ms(settings.grace);
  return out;
}

void apply_policy(const policy::ClassPolicy& policy, ClassSettings& settings) {
  settings.latency_objective = milliseconds(policy.objective_ms);
  settings.give_up_after = milliseconds(policy.give_up_ms);
  settings.priority_weight = policy.priority_weight;
  settings.lifetime = milliseconds(policy.fresh_ms);
  settings.grace = milliseconds(policy.grace_ms);
}

// Returns the version, "A+B" for an intersection, or "-" for no version.
std::string describe(const EffectivePolicy& effective) {
  switch (effective.kind) {
    case EffectivePolicy::Kind::kSingle:
      return std::to_string(effective.version);
    case EffectivePolicy::Kind::kIntersection:
      return std::to_string(effective.version) + "+" + std::to_string(effective.other_version);
    case EffectivePolicy::Kind::kReject:
      break;
  }
  return "-";
}

}  // namespace

RequestPolicy::RequestPolicy(const protocol::DeploymentSettings& deployment, routing::Router& router,
                             const PolicyDocuments& documents)
    : deployment_(deployment),
      router_(router),
      documents_(documents),
      class_names_(deployment.settings.classes.size()) {
  for (const auto& [name, index] : deployment.class_index) {
    class_names_.at(static_cast<std::size_t>(index)) = name;
  }
  // Version 0 is the settings, whose classes the decision module has from the start.
  class_sets_[Key{0, 0}] = ClassSet{0, content_of(0)};
}

policy::PolicyContent RequestPolicy::content_of(std::uint64_t version) const {
  policy::PolicyContent content;
  for (std::size_t i = 0; i < class_names_.size(); ++i) {
    content.classes[class_names_[i]] = policy_of(deployment_.settings.classes[i]);
  }
  const policy::PolicyDocument* document = documents_.find(version);
  if (document == nullptr) {
    return content;
  }
  for (const auto& [name, class_policy] : document->content.classes) {
    content.classes[name] = class_policy;
  }
  content.limits = document->content.limits;
  return content;
}

const RequestPolicy::ClassSet& RequestPolicy::class_set(const EffectivePolicy& effective) {
  const Key key{effective.version, effective.other_version};
  const auto found = class_sets_.find(key);
  if (found != class_sets_.end()) {
    return found->second;
  }
  const std::size_t slot = 1 + static_cast<std::size_t>(next_set_++ % (kMaxClassSets - 1));
  const std::size_t first_class = slot * class_names_.size();
  std::erase_if(class_sets_, [&](const auto& entry) { return entry.second.first_class == first_class; });
  ClassSet& set = class_sets_[key];
  set.first_class = first_class;
  set.content = effective.kind == EffectivePolicy::Kind::kIntersection
                    ? policy::intersection(content_of(effective.version), content_of(effective.other_version))
                    : content_of(effective.version);
  add_classes(set);
  return set;
}

void RequestPolicy::add_classes(const ClassSet& set) {
  ClassesUpdated update;
  update.first = set.first_class;
  update.classes = deployment_.settings.classes;
  for (std::size_t i = 0; i < class_names_.size(); ++i) {
    apply_policy(set.content.classes.at(class_names_[i]), update.classes[i]);
  }
  router_.set_classes(update);
}

routing::PolicyDecision RequestPolicy::rule(const EffectivePolicy& effective, int request_class) {
  routing::PolicyDecision rule;
  rule.policy_version = describe(effective);
  if (effective.kind == EffectivePolicy::Kind::kReject) {
    rule.reject = true;
    return rule;
  }
  const ClassSet& set = class_set(effective);
  const auto index = static_cast<std::size_t>(request_class);
  rule.reject = !set.content.classes.at(class_names_[index]).serve;
  rule.request_class = static_cast<int>(set.first_class + index);
  const bool settings_alone = effective.kind == EffectivePolicy::Kind::kSingle && effective.version == 0;
  if (!settings_alone) {
    rule.open_requests = static_cast<std::size_t>(set.content.limits.open_requests);
    rule.max_retry_after = milliseconds(set.content.limits.retry_after_ms);
  }
  return rule;
}

}  // namespace trailcourse::tasks
