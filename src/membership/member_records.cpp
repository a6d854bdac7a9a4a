#include "membership/member_records.h"

#include <nlohmann/json.hpp>

#include "coordination/record_fields.h"
#include "coordination/types.h"

namespace trailcourse::membership {

using coordination::integer_field;
using coordination::is_name;
using coordination::text_field;
using nlohmann::json;

namespace {

struct KeyParts {
  std::string first;
  std::string second;
};

// Splits a key of the form PREFIX FIRST/SECOND. Returns nothing if it has another form.
std::optional<KeyParts> split_key(const std::string& key, const std::string& prefix) {
  if (!key.starts_with(prefix)) {
    return std::nullopt;
  }
  const std::string rest = key.substr(prefix.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  const KeyParts parts{rest.substr(0, slash), rest.substr(slash + 1)};
  return is_name(parts.first) && is_name(parts.second) ? std::optional<KeyParts>(parts) : std::nullopt;
}

}  // namespace

std::string member_key(const std::string& name, const std::string& incarnation) {
  return kMemberPrefix + name + "/" + incarnation;
}

std::string suspicion_key(const std::string& member, const std::string& reporter) {
  return kSuspicionPrefix + member + "/" + reporter;
}

std::string write_member(const Member& member) {
  return json{{"zone", member.zone},
              {"address", member.address},
              {"started_ms", member.started_ms},
              {"draining", member.draining},
              {"version", member.version}}
      .dump();
}

std::optional<Member> read_member(const std::string& key, const std::string& value) {
  const std::optional<KeyParts> parts = split_key(key, kMemberPrefix);
  const json from = json::parse(value, nullptr, false);
  if (!parts || !from.is_object()) {
    return std::nullopt;
  }
  Member out;
  out.name = parts->first;
  out.incarnation = parts->second;
  out.zone = text_field(from, "zone");
  out.address = text_field(from, "address");
  out.started_ms = integer_field<std::int64_t>(from, "started_ms");
  out.version = text_field(from, "version");
  const auto draining = from.find("draining");
  out.draining = draining != from.end() && draining->is_boolean() && draining->get<bool>();
  return out;
}

std::string write_suspicion(const Suspicion& suspicion) {
  return json{{"checks", suspicion.probed}, {"fails", suspicion.failed}}.dump();
}

std::optional<Suspicion> read_suspicion(const std::string& key, const std::string& value) {
  const std::optional<KeyParts> parts = split_key(key, kSuspicionPrefix);
  const json from = json::parse(value, nullptr, false);
  if (!parts || !from.is_object()) {
    return std::nullopt;
  }
  Suspicion out;
  out.member = parts->first;
  out.reporter = parts->second;
  out.probed = integer_field<int>(from, "checks");
  out.failed = integer_field<int>(from, "fails");
  return out;
}

}  // namespace trailcourse::membership
