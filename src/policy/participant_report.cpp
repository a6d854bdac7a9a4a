#include "policy/participant_report.h"

#include <nlohmann/json.hpp>
#include <string_view>

#include "coordination/record_fields.h"

namespace trailcourse::policy {

using coordination::text_field;
using coordination::unsigned_field;
using nlohmann::json;

std::string report_key(const std::string& router, coordination::LeaseId lease) {
  return kReportPrefix + router + "/" + std::to_string(lease);
}

std::string write_report(const ParticipantReport& report) {
  json out{{"incarnation", report.incarnation}, {"zone", report.zone},
           {"version", report.version},         {"ready", report.ready_stage},
           {"held", report.suspended_stage},    {"no", report.rejected_stage},
           {"why", report.rejection_reason},    {"requests", report.requests},
           {"refused", report.failed_requests}};
  if (report.sequence > 0) {
    out["number"] = report.sequence;
  }
  if (report.represented_routers > 0) {
    out["routers"] = report.represented_routers;
  }
  if (!report.waiting_for.empty()) {
    out["awaits"] = report.waiting_for;
  }
  if (report.acknowledged_round > 0) {
    out["acknowledged"] = report.acknowledged_round;
  }
  return out.dump();
}

std::optional<ParticipantReport> read_report(const std::string& text) {
  const json record = json::parse(text, nullptr, false);
  if (!record.is_object()) {
    return std::nullopt;
  }
  ParticipantReport out;
  out.incarnation = text_field(record, "incarnation");
  out.zone = text_field(record, "zone");
  out.version = unsigned_field(record, "version");
  out.ready_stage = unsigned_field(record, "ready");
  out.suspended_stage = unsigned_field(record, "held");
  out.rejected_stage = unsigned_field(record, "no");
  out.rejection_reason = text_field(record, "why");
  out.requests = unsigned_field(record, "requests");
  out.failed_requests = unsigned_field(record, "refused");
  out.sequence = unsigned_field(record, "number");
  out.represented_routers = unsigned_field(record, "routers");
  out.waiting_for = text_field(record, "awaits");
  out.acknowledged_round = unsigned_field(record, "acknowledged");
  return out;
}

ParticipantReports read_reports(const std::string& prefix, const std::vector<coordination::Entry>& entries) {
  const std::size_t prefix_size = prefix.size() + std::string_view(kReportPrefix).size();
  ParticipantReports out;
  for (const coordination::Entry& entry : entries) {
    out[entry.key.substr(prefix_size)] = read_report(entry.value).value_or(ParticipantReport{});
  }
  return out;
}

std::string router_of(const std::string& report_name) { return report_name.substr(0, report_name.find('/')); }

std::string describe_reporter(const std::string& report_name, const ParticipantReport& report) {
  std::string out = router_of(report_name);
  if (report.represented_routers > 0) {
    out += " for " + std::to_string(report.represented_routers) + " routers";
  }
  if (!report.waiting_for.empty()) {
    out += ", among them " + report.waiting_for + ",";
  }
  return out;
}

}  // namespace trailcourse::policy
