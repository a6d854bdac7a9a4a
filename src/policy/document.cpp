#include "policy/document.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <set>

#include "coordination/types.h"

namespace trailcourse::policy {

using config::RealRange;
using config::WholeRange;
using nlohmann::json;

namespace {

constexpr std::size_t kMostText = 1'000;
constexpr std::size_t kMostClasses = 64;

json content_json(const PolicyContent& content) {
  json out = json::object();
  out["classes"] = json::object();
  for (const auto& [name, one] : content.classes) {
    json& into = out["classes"][name] = json::object();
    class_policy_record().each(
        one, [&into](const config::Key& key, const json& value) { into[key.name] = value; });
  }
  json& limits = out["limits"] = json::object();
  limit_policy_record().each(
      content.limits, [&limits](const config::Key& key, const json& value) { limits[key.name] = value; });
  return out;
}

// The text that the digest is of: keys sorted, no spaces, no digest.
json plain_json(const PolicyDocument& document) {
  return {{"schema", document.schema}, {"version", document.version},
          {"parent", document.parent}, {"author", document.author},
          {"reason", document.reason}, {"content", content_json(document.content)}};
}

PolicyContent read_content(const json& from) {
  if (!from.is_object()) {
    throw InvalidDocument("content: not an object");
  }
  PolicyContent out;
  for (const auto& [name, value] : from.items()) {
    if (name == "limits") {
      out.limits = limit_policy_record().read(value, "content.limits");
    } else if (name == "classes") {
      if (!value.is_object() || value.size() > kMostClasses) {
        throw InvalidDocument("content.classes: not an object of 64 classes at most");
      }
      for (const auto& [kind, one] : value.items()) {
        if (!coordination::is_name(kind)) {
          throw InvalidDocument("content.classes: '" + kind + "' is no name of a class");
        }
        out.classes[kind] = class_policy_record().read(one, "content.classes." + kind);
      }
    } else {
      throw InvalidDocument("content." + name + ": no such section");
    }
  }
  return out;
}

void check(const PolicyDocument& document) {
  for (const auto& [name, one] : document.content.classes) {
    if (one.give_up_ms < one.objective_ms) {
      throw InvalidDocument("content.classes." + name + ".give_up_ms: " + std::to_string(one.give_up_ms) +
                            " is below objective_ms, " + std::to_string(one.objective_ms));
    }
    if (one.fresh_ms == 0 && one.grace_ms > 0) {
      throw InvalidDocument("content.classes." + name +
                            ".grace_ms: a copy that is good until purged has none");
    }
  }
  std::set<std::string> seen;
  for (const std::string& kind : document.content.limits.work) {
    if (!coordination::is_name(kind) || !seen.insert(kind).second) {
      throw InvalidDocument("content.limits.work: '" + kind + "' is no kind of work, or stands twice");
    }
  }
}

PolicyDocument read(const std::string& text, bool draft) {
  const json from = json::parse(text, nullptr, false, true);
  if (!from.is_object()) {
    throw InvalidDocument("not a JSON object");
  }
  PolicyDocument out;
  std::string digest;
  const auto number = [](const std::string& name, const json& value) {
    if (!value.is_number_unsigned()) {
      throw InvalidDocument(name + ": not a whole number");
    }
    return value.get<std::uint64_t>();
  };
  const auto words = [](const std::string& name, const json& value) {
    if (!value.is_string() || value.get_ref<const std::string&>().size() > kMostText) {
      throw InvalidDocument(name + ": not a text of 1,000 bytes at most");
    }
    return value.get<std::string>();
  };
  // The schema first: of a later one nothing else can be judged.
  const auto schema = from.find("schema");
  if (schema == from.end() || !schema->is_number_integer()) {
    throw InvalidDocument("schema: missing");
  }
  out.schema = schema->get<std::int64_t>();
  if (out.schema != kSchema) {
    throw InvalidDocument("schema: " + std::to_string(out.schema) +
                          " is not known to this program, which knows " + std::to_string(kSchema));
  }
  try {
    for (const auto& [name, value] : from.items()) {
      if (name == "schema") {
        continue;
      }
      if (name == "version" && !draft) {
        out.version = number(name, value);
      } else if (name == "parent" && !draft) {
        out.parent = number(name, value);
      } else if (name == "author") {
        out.author = words(name, value);
      } else if (name == "reason") {
        out.reason = words(name, value);
      } else if (name == "digest" && !draft) {
        digest = words(name, value);
      } else if (name == "content") {
        out.content = read_content(value);
      } else {
        throw InvalidDocument(name + ": no such field" + (draft ? " of a draft" : ""));
      }
    }
    check(out);
  } catch (const config::KeyError& error) {
    throw InvalidDocument(error.what());
  }
  if (!from.contains("content")) {
    throw InvalidDocument("content: missing");
  }
  if (!draft && (out.version == 0 || out.parent >= out.version)) {
    throw InvalidDocument("version: not later than its parent");
  }
  if (!draft && digest != digest_of(out)) {
    throw InvalidDocument("digest: is not of this document");
  }
  return out;
}

// 0 stands for without end.
std::int64_t shorter(std::int64_t one, std::int64_t other) {
  return one == 0 ? other : other == 0 ? one : std::min(one, other);
}
bool no_longer(std::int64_t one, std::int64_t other) { return other == 0 || (one != 0 && one <= other); }

}  // namespace

const config::Record<ClassPolicy>& class_policy_record() {
  static const config::Record<ClassPolicy> kRecord = [] {
    config::Record<ClassPolicy> record("classes", "Of one class of requests; by the names of the settings.");
    record.flag("serve", &ClassPolicy::serve, "false: requests of it are refused at once")
        .whole("objective_ms", &ClassPolicy::objective_ms, "ms", WholeRange{1, 3'600'000},
               "within which an answer earns its worth")
        .whole("give_up_ms", &ClassPolicy::give_up_ms, "ms", WholeRange{1, 3'600'000},
               "after which clients do not wait any more")
        .real("worth", &ClassPolicy::priority_weight, "-", RealRange{0.0, 1e6},
              "of one answer in time, beside the others'")
        .whole("fresh_ms", &ClassPolicy::fresh_ms, "ms", WholeRange{0, 31'536'000'000},
               "for which a copy is good; 0: until purged")
        .whole("grace_ms", &ClassPolicy::grace_ms, "ms", WholeRange{0, 31'536'000'000},
               "beyond that, where nothing fresher is to be had");
    return record;
  }();
  return kRecord;
}

const config::Record<LimitPolicy>& limit_policy_record() {
  static const config::Record<LimitPolicy> kRecord = [] {
    config::Record<LimitPolicy> record("limits", "Of each router.");
    record
        .whole("open_requests", &LimitPolicy::open_requests, "requests", WholeRange{0, 10'000'000},
               "open at once; a router that cannot bear so many says no; 0: as its memory and sockets bear")
        .whole("retry_after_ms", &LimitPolicy::retry_after_ms, "ms", WholeRange{0, 600'000},
               "the longest wait that refused clients are told")
        .texts("work", &LimitPolicy::work, "-", "kinds of the fleet's work that may be owned");
    return record;
  }();
  return kRecord;
}

std::string digest_of(const PolicyDocument& document) {
  const std::string text = plain_json(document).dump();
  std::array<unsigned char, crypto_hash_sha256_BYTES> sum{};
  crypto_hash_sha256(sum.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size());
  std::array<char, 2 * crypto_hash_sha256_BYTES + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), sum.data(), sum.size());
  return hex.data();
}

json write_document(const PolicyDocument& document) {
  json out = plain_json(document);
  out["digest"] = digest_of(document);
  return out;
}

std::string write_document_text(const PolicyDocument& document) { return write_document(document).dump(); }

PolicyDocument read_document(const std::string& text) { return read(text, false); }
PolicyDocument read_draft(const std::string& text) { return read(text, true); }

std::string check_capabilities(const PolicyDocument& document, const RouterCapabilities& capabilities) {
  for (const auto& [name, one] : document.content.classes) {
    if (std::find(capabilities.classes.begin(), capabilities.classes.end(), name) ==
        capabilities.classes.end()) {
      return "content.classes." + name + ": not a class of this router's settings";
    }
  }
  if (document.content.limits.open_requests > capabilities.max_open_requests) {
    return "content.limits.open_requests: " + std::to_string(document.content.limits.open_requests) +
           " is over what this router's memory and sockets bear, " +
           std::to_string(capabilities.max_open_requests);
  }
  return {};
}

PolicyContent intersection(const PolicyContent& one, const PolicyContent& other) {
  PolicyContent out;
  const auto class_of = [](const PolicyContent& content, const std::string& name) -> const ClassPolicy* {
    const auto found = content.classes.find(name);
    return found == content.classes.end() ? nullptr : &found->second;
  };
  std::set<std::string> names;
  for (const PolicyContent* content : {&one, &other}) {
    for (const auto& [name, ignored] : content->classes) {
      names.insert(name);
    }
  }
  for (const std::string& name : names) {
    const ClassPolicy* const left = class_of(one, name);
    const ClassPolicy* const right = class_of(other, name);
    if (left == nullptr || right == nullptr) {
      // What a document does not name it does not change: the settings' values stand, which the other
      // narrows.
      out.classes[name] = left != nullptr ? *left : *right;
      continue;
    }
    ClassPolicy& into = out.classes[name];
    into.serve = left->serve && right->serve;
    into.objective_ms = std::min(left->objective_ms, right->objective_ms);
    into.give_up_ms = std::min(left->give_up_ms, right->give_up_ms);
    into.priority_weight = std::min(left->priority_weight, right->priority_weight);
    into.fresh_ms = shorter(left->fresh_ms, right->fresh_ms);
    // Stale copies: as old as both allow, counted from the start.
    into.grace_ms = 0;
    if (into.fresh_ms > 0) {
      const auto oldest = [](const ClassPolicy& rule) {
        return rule.fresh_ms == 0 ? std::int64_t{0} : rule.fresh_ms + rule.grace_ms;
      };
      into.grace_ms = std::max<std::int64_t>(0, shorter(oldest(*left), oldest(*right)) - into.fresh_ms);
    }
  }
  out.limits.open_requests = shorter(one.limits.open_requests, other.limits.open_requests);
  out.limits.retry_after_ms = std::min(one.limits.retry_after_ms, other.limits.retry_after_ms);
  out.limits.work.clear();
  for (const std::string& kind : one.limits.work) {
    const auto& allowed = other.limits.work;
    if (std::find(allowed.begin(), allowed.end(), kind) != allowed.end()) {
      out.limits.work.push_back(kind);
    }
  }
  std::sort(out.limits.work.begin(), out.limits.work.end());
  return out;
}

bool is_subset(const PolicyContent& narrow, const PolicyContent& wide) {
  for (const auto& [name, allowed] : wide.classes) {
    const auto found = narrow.classes.find(name);
    if (found == narrow.classes.end()) {
      return false;
    }
    const ClassPolicy& rule = found->second;
    const auto oldest = [](const ClassPolicy& one) {
      return one.fresh_ms == 0 ? std::int64_t{0} : one.fresh_ms + one.grace_ms;
    };
    const bool fits = (!rule.serve || allowed.serve) && rule.objective_ms <= allowed.objective_ms &&
                      rule.give_up_ms <= allowed.give_up_ms &&
                      rule.priority_weight <= allowed.priority_weight &&
                      no_longer(rule.fresh_ms, allowed.fresh_ms) && no_longer(oldest(rule), oldest(allowed));
    if (!fits) {
      return false;
    }
  }
  const LimitPolicy& limits = narrow.limits;
  return no_longer(limits.open_requests, wide.limits.open_requests) &&
         limits.retry_after_ms <= wide.limits.retry_after_ms &&
         std::all_of(limits.work.begin(), limits.work.end(), [&wide](const std::string& kind) {
           const auto& allowed = wide.limits.work;
           return std::find(allowed.begin(), allowed.end(), kind) != allowed.end();
         });
}

std::vector<std::string> describe_difference(const PolicyContent& before, const PolicyContent& after) {
  std::vector<std::string> out;
  const auto values = [](const auto& record, const auto& from) {
    std::map<std::string, std::string> all;
    record.each(from, [&all](const config::Key& key, const json& value) {
      all[key.name] = config::shown(value) + (key.unit == "-" ? "" : " " + key.unit);
    });
    return all;
  };
  const auto compare = [&out](const std::string& where, const std::map<std::string, std::string>& old,
                              const std::map<std::string, std::string>& now) {
    for (const auto& [key, value] : now) {
      const auto found = old.find(key);
      if (found == old.end()) {
        out.push_back(where + "." + key + " is " + value + ", was not named");
      } else if (found->second != value) {
        out.push_back(where + "." + key + " is " + value + ", was " + found->second);
      }
    }
    for (const auto& [key, value] : old) {
      if (!now.contains(key)) {
        out.push_back(where + "." + key + " is not named any more, was " + value);
      }
    }
  };
  std::set<std::string> names;
  for (const PolicyContent* content : {&before, &after}) {
    for (const auto& [name, ignored] : content->classes) {
      names.insert(name);
    }
  }
  for (const std::string& name : names) {
    const auto of = [&](const PolicyContent& content) {
      const auto found = content.classes.find(name);
      return found == content.classes.end() ? std::map<std::string, std::string>{}
                                            : values(class_policy_record(), found->second);
    };
    compare("classes." + name, of(before), of(after));
  }
  compare("limits", values(limit_policy_record(), before.limits),
          values(limit_policy_record(), after.limits));
  return out;
}

}  // namespace trailcourse::policy
