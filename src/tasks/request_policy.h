// Applies the effective policy to requests: registers the request classes of each version at the decision
// module, and returns the rule for each request that arrives.
//
// Library `tasks`, over `policy` and `routing`. Not thread-safe.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "policy/participant.h"
#include "protocol/settings.h"
#include "routing/router.h"
#include "tasks/policy_documents.h"

namespace trailcourse::tasks {

// All arguments of the constructor have to outlive this object.
class RequestPolicy {
 public:
  RequestPolicy(const protocol::DeploymentSettings& deployment, routing::Router& router,
                const PolicyDocuments& documents);

  // Returns the rule for a request of one of the settings' classes. The first call for a policy adds its
  // classes to the decision module.
  routing::PolicyDecision rule(const policy::EffectivePolicy& effective, int request_class);

  // Returns the content of a version: the settings, overridden by its document.
  policy::PolicyContent content_of(std::uint64_t version) const;

  // Returns the names of the settings' classes, by index.
  const std::vector<std::string>& class_names() const { return class_names_; }

 private:
  // The versions of the effective policy. `other` differs from `version` only for an intersection.
  struct Key {
    std::uint64_t version = 0;
    std::uint64_t other = 0;

    friend auto operator<=>(const Key&, const Key&) = default;
  };
  // The classes of one effective policy at the decision module.
  struct ClassSet {
    std::size_t first_class = 0;  // index at the decision module
    policy::PolicyContent content;
  };

  const ClassSet& class_set(const policy::EffectivePolicy& effective);
  void add_classes(const ClassSet& set);

  const protocol::DeploymentSettings& deployment_;
  routing::Router& router_;
  const PolicyDocuments& documents_;
  std::vector<std::string> class_names_;
  std::map<Key, ClassSet> class_sets_;
  std::uint64_t next_set_ = 1;
};

}  // namespace trailcourse::tasks
