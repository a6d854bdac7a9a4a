#include "membership/records.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "coordination/types.h"

namespace trailcourse::membership {

using coordination::is_name;
using nlohmann::json;

namespace {

// The two parts of "STEM a/b".
std::optional<std::pair<std::string, std::string>> parts_of(const std::string& key, const std::string& stem) {
  if (!key.starts_with(stem)) {
    return std::nullopt;
  }
  const std::string rest = key.substr(stem.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos || !is_name(rest.substr(0, slash)) || !is_name(rest.substr(slash + 1))) {
    return std::nullopt;
  }
  return std::pair(rest.substr(0, slash), rest.substr(slash + 1));
}

std::string text_of(const json& from, const char* name) {
  const auto found = from.find(name);
  return found != from.end() && found->is_string() ? found->get<std::string>() : std::string();
}

template <typename Number>
Number number_of(const json& from, const char* name) {
  const auto found = from.find(name);
  return found != from.end() && found->is_number_integer() ? found->get<Number>() : Number{};
}

}  // namespace

std::string member_key(const std::string& name, const std::string& incarnation) {
  return kMembers + name + "/" + incarnation;
}
std::string doubt_key(const std::string& name, const std::string& by) { return kDoubts + name + "/" + by; }

std::string write_member(const Member& member) {
  return json{{"zone", member.zone},
              {"address", member.address},
              {"started_ms", member.started_ms},
              {"draining", member.draining},
              {"version", member.version}}
      .dump();
}

std::string write_doubt(const Doubt& doubt) {
  return json{{"checks", doubt.checks}, {"fails", doubt.fails}}.dump();
}

std::optional<Member> read_member(const std::string& key, const std::string& value) {
  const auto parts = parts_of(key, kMembers);
  const json from = json::parse(value, nullptr, false);
  if (!parts || !from.is_object()) {
    return std::nullopt;
  }
  Member out;
  out.name = parts->first;
  out.incarnation = parts->second;
  out.zone = text_of(from, "zone");
  out.address = text_of(from, "address");
  out.started_ms = number_of<std::int64_t>(from, "started_ms");
  out.version = text_of(from, "version");
  const auto draining = from.find("draining");
  out.draining = draining != from.end() && draining->is_boolean() && draining->get<bool>();
  return out;
}

std::optional<Doubt> read_doubt(const std::string& key, const std::string& value) {
  const auto parts = parts_of(key, kDoubts);
  const json from = json::parse(value, nullptr, false);
  if (!parts || !from.is_object()) {
    return std::nullopt;
  }
  Doubt out;
  out.name = parts->first;
  out.by = parts->second;
  out.checks = number_of<int>(from, "checks");
  out.fails = number_of<int>(from, "fails");
  return out;
}

}  // namespace trailcourse::membership
