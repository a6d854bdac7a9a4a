#include "tasks/verdict.h"

#include <nlohmann/json.hpp>

namespace trailcourse::tasks {

using nlohmann::json;

namespace {

std::optional<std::uint64_t> read_unsigned(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

}  // namespace

std::string suspect_key(const std::string& zone, const std::string& cache, const std::string& router) {
  return kSuspectPrefix + zone + "/" + cache + "/" + router;
}

std::string verdict_key(const std::string& zone, const std::string& cache) {
  return kVerdictPrefix + zone + "/" + cache;
}

std::string write_verdict(const Verdict& verdict) {
  return json{{"sound", verdict.healthy},
              {"probes", verdict.consecutive_checks},
              {"term", verdict.term},
              {"number", verdict.sequence},
              {"at_ms", verdict.at_ms}}
      .dump();
}

std::optional<Verdict> read_verdict(const std::string& cache, const std::string& value) {
  const json record = json::parse(value, nullptr, false);
  if (!record.is_object() || cache.empty()) {
    return std::nullopt;
  }
  const auto healthy = record.find("sound");
  const auto term = read_unsigned(record, "term");
  const auto sequence = read_unsigned(record, "number");
  if (healthy == record.end() || !healthy->is_boolean() || !term || !sequence || *term == 0) {
    return std::nullopt;
  }
  Verdict verdict;
  verdict.cache = cache;
  verdict.healthy = healthy->get<bool>();
  verdict.consecutive_checks = read_unsigned(record, "probes").value_or(0);
  verdict.term = *term;
  verdict.sequence = *sequence;
  verdict.at_ms = static_cast<std::int64_t>(read_unsigned(record, "at_ms").value_or(0));
  return verdict;
}

}  // namespace trailcourse::tasks
