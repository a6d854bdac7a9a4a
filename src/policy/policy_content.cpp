#include "policy/policy_content.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

namespace trailcourse::policy {

using config::IntegerRange;
using config::NumberRange;
using nlohmann::json;

namespace {

constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
constexpr std::int64_t kMaxAgeMs = 31'536'000'000;  // a year

// Formatted values of a record, by key.
using FormattedValues = std::map<std::string, std::string>;

// Returns the stricter of two limits; 0 means no limit.
std::int64_t stricter_limit(std::int64_t one, std::int64_t other) {
  if (one == 0) {
    return other;
  }
  return other == 0 ? one : std::min(one, other);
}
// Returns whether `value` is at least as strict as `limit`; 0 means no limit.
bool is_within_limit(std::int64_t value, std::int64_t limit) {
  return limit == 0 || (value != 0 && value <= limit);
}

// Returns the maximum age of a copy that may be served; 0 means no limit.
std::int64_t max_age_ms(const ClassPolicy& rule) {
  return rule.fresh_ms == 0 ? 0 : rule.fresh_ms + rule.grace_ms;
}

const ClassPolicy* find_class(const PolicyContent& content, const std::string& name) {
  const auto found = content.classes.find(name);
  return found == content.classes.end() ? nullptr : &found->second;
}

std::set<std::string> class_names(const PolicyContent& one, const PolicyContent& other) {
  std::set<std::string> out;
  for (const PolicyContent* content : {&one, &other}) {
    for (const auto& [name, ignored] : content->classes) {
      out.insert(name);
    }
  }
  return out;
}

bool contains(const std::vector<std::string>& texts, const std::string& text) {
  return std::find(texts.begin(), texts.end(), text) != texts.end();
}

ClassPolicy class_intersection(const ClassPolicy& one, const ClassPolicy& other) {
  ClassPolicy out;
  out.serve = one.serve && other.serve;
  out.objective_ms = std::min(one.objective_ms, other.objective_ms);
  out.give_up_ms = std::min(one.give_up_ms, other.give_up_ms);
  out.priority_weight = std::min(one.priority_weight, other.priority_weight);
  out.fresh_ms = stricter_limit(one.fresh_ms, other.fresh_ms);
  out.grace_ms = 0;
  if (out.fresh_ms > 0) {
    const std::int64_t max_age = stricter_limit(max_age_ms(one), max_age_ms(other));
    out.grace_ms = std::max<std::int64_t>(0, max_age - out.fresh_ms);
  }
  return out;
}

LimitPolicy limit_intersection(const LimitPolicy& one, const LimitPolicy& other) {
  LimitPolicy out;
  out.open_requests = stricter_limit(one.open_requests, other.open_requests);
  out.retry_after_ms = std::min(one.retry_after_ms, other.retry_after_ms);
  out.work.clear();
  for (const std::string& kind : one.work) {
    if (contains(other.work, kind)) {
      out.work.push_back(kind);
    }
  }
  std::sort(out.work.begin(), out.work.end());
  return out;
}

bool is_class_subset(const ClassPolicy& narrow, const ClassPolicy& wide) {
  return (!narrow.serve || wide.serve) && narrow.objective_ms <= wide.objective_ms &&
         narrow.give_up_ms <= wide.give_up_ms && narrow.priority_weight <= wide.priority_weight &&
         is_within_limit(narrow.fresh_ms, wide.fresh_ms) &&
         is_within_limit(max_age_ms(narrow), max_age_ms(wide));
}

template <typename Record, typename Values>
FormattedValues format_values(const Record& record, const Values& values) {
  FormattedValues out;
  record.each(values, [&out](const config::Key& key, const json& value) {
    out[key.name] = config::format_value(value) + (key.unit == "-" ? "" : " " + key.unit);
  });
  return out;
}

FormattedValues format_class(const PolicyContent& content, const std::string& name) {
  const ClassPolicy* const rule = find_class(content, name);
  return rule == nullptr ? FormattedValues{} : format_values(class_policy_record(), *rule);
}

void append_differences(std::vector<std::string>& lines, const std::string& section,
                        const FormattedValues& before, const FormattedValues& after) {
  for (const auto& [key, value] : after) {
    const auto found = before.find(key);
    if (found == before.end()) {
      lines.push_back(section + "." + key + " is " + value + ", was not set");
    } else if (found->second != value) {
      lines.push_back(section + "." + key + " is " + value + ", was " + found->second);
    }
  }
  for (const auto& [key, value] : before) {
    if (!after.contains(key)) {
      lines.push_back(section + "." + key + " is no longer set, was " + value);
    }
  }
}

}  // namespace

const config::Record<ClassPolicy>& class_policy_record() {
  static const config::Record<ClassPolicy> kRecord = [] {
    config::Record<ClassPolicy> record(
        "classes", "Policy of one request class; the keys have the names of the settings.");
    record.boolean("serve", &ClassPolicy::serve, "serve requests of this class; false: reject them at once")
        .integer("objective_ms", &ClassPolicy::objective_ms, "ms", IntegerRange{1, kMaxTimeoutMs},
                 "latency objective; a response within it is in time")
        .integer("give_up_ms", &ClassPolicy::give_up_ms, "ms", IntegerRange{1, kMaxTimeoutMs},
                 "deadline after which clients no longer wait")
        .number("worth", &ClassPolicy::priority_weight, "-", NumberRange{0.0, 1e6},
                "priority weight of a response in time, relative to other classes")
        .integer("fresh_ms", &ClassPolicy::fresh_ms, "ms", IntegerRange{0, kMaxAgeMs},
                 "maximum age of a copy; 0: valid until it is purged")
        .integer("grace_ms", &ClassPolicy::grace_ms, "ms", IntegerRange{0, kMaxAgeMs},
                 "extra age that is allowed where no fresher copy is available");
    return record;
  }();
  return kRecord;
}

const config::Record<LimitPolicy>& limit_policy_record() {
  static const config::Record<LimitPolicy> kRecord = [] {
    config::Record<LimitPolicy> record("limits", "Limits of each router.");
    record
        .integer("open_requests", &LimitPolicy::open_requests, "requests", IntegerRange{0, 10'000'000},
                 "maximum open requests; a router that cannot hold that many rejects the version; 0: as its "
                 "memory and sockets allow")
        .integer("retry_after_ms", &LimitPolicy::retry_after_ms, "ms", IntegerRange{0, 600'000},
                 "maximum Retry-After of rejected requests")
        .strings("work", &LimitPolicy::work, "-", "kinds of the fleet's work that a router may own");
    return record;
  }();
  return kRecord;
}

PolicyContent intersection(const PolicyContent& one, const PolicyContent& other) {
  PolicyContent out;
  for (const std::string& name : class_names(one, other)) {
    const ClassPolicy* const left = find_class(one, name);
    const ClassPolicy* const right = find_class(other, name);
    if (left != nullptr && right != nullptr) {
      out.classes[name] = class_intersection(*left, *right);
    } else {
      // A class that one document does not name stays as configured, so the other document alone restricts
      // it.
      out.classes[name] = left != nullptr ? *left : *right;
    }
  }
  out.limits = limit_intersection(one.limits, other.limits);
  return out;
}

bool is_subset(const PolicyContent& narrow, const PolicyContent& wide) {
  for (const auto& [name, rule] : wide.classes) {
    const ClassPolicy* const found = find_class(narrow, name);
    if (found == nullptr || !is_class_subset(*found, rule)) {
      return false;
    }
  }
  const LimitPolicy& limits = narrow.limits;
  return is_within_limit(limits.open_requests, wide.limits.open_requests) &&
         limits.retry_after_ms <= wide.limits.retry_after_ms &&
         std::all_of(limits.work.begin(), limits.work.end(),
                     [&wide](const std::string& kind) { return contains(wide.limits.work, kind); });
}

std::vector<std::string> describe_difference(const PolicyContent& before, const PolicyContent& after) {
  std::vector<std::string> out;
  for (const std::string& name : class_names(before, after)) {
    append_differences(out, "classes." + name, format_class(before, name), format_class(after, name));
  }
  append_differences(out, "limits", format_values(limit_policy_record(), before.limits),
                     format_values(limit_policy_record(), after.limits));
  return out;
}

}  // namespace trailcourse::policy
