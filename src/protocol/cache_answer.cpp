#include "protocol/cache_answer.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <utility>

#include "protocol/numbers.h"
#include "protocol/resp.h"
#include "protocol/settings.h"

namespace trailcourse::protocol {
namespace {

constexpr std::array<std::pair<std::string_view, AnswerCode>, 6> kAnswerCodes{{{"OK", AnswerCode::kOk},
                                                                               {"SAME", AnswerCode::kSame},
                                                                               {"MISS", AnswerCode::kMiss},
                                                                               {"BUSY", AnswerCode::kBusy},
                                                                               {"ERR", AnswerCode::kError},
                                                                               {"VOID", AnswerCode::kVoid}}};

constexpr std::array<std::pair<std::string_view, Note>, 10> kNotes{{{"warm", Note::kHit},
                                                                    {"fill", Note::kFilled},
                                                                    {"deep_fill", Note::kFilledFromOrigin},
                                                                    {"piggy", Note::kJoined},
                                                                    {"aged", Note::kStale},
                                                                    {"bounced", Note::kSourceRejected},
                                                                    {"dropped", Note::kSourceUnreachable},
                                                                    {"lacking", Note::kNotAtSource},
                                                                    {"jammed", Note::kNoFillCapacity},
                                                                    {"backfire", Note::kOriginFailed}}};

// Fields of a load report that have another name in the settings.
constexpr std::array<std::pair<std::string_view, std::string_view>, 6> kReportFieldNames{
    {{"inflight", "concurrent"},
     {"util", "load_share"},
     {"queue", "depth"},
     {"latency_ms", "mean_ms"},
     {"qps", "tps"},
     {"eps", "err_ps"}}};

constexpr double kMaxWaitedMs = 1e9;

template <typename Value, std::size_t kSize>
const Value* find_by_name(const std::array<std::pair<std::string_view, Value>, kSize>& table,
                          std::string_view name) {
  const auto found =
      std::find_if(table.begin(), table.end(), [name](const auto& one) { return one.first == name; });
  return found == table.end() ? nullptr : &found->second;
}

// Calls `on_field(name, value)` for each "name=value" of a list; skips other entries.
template <typename OnField>
void each_field(std::string_view list, char separator, char equals, OnField on_field) {
  while (!list.empty()) {
    const std::string_view field = list.substr(0, list.find(separator));
    list.remove_prefix(std::min(list.size(), field.size() + 1));
    const std::size_t middle = field.find(equals);
    if (middle != std::string_view::npos) {
      on_field(field.substr(0, middle), field.substr(middle + 1));
    }
  }
}

void read_load_report(std::string_view meter, const std::vector<std::string>& report_fields,
                      LoadReport& load) {
  each_field(meter, ';', ':', [&](std::string_view name, std::string_view value) {
    const std::string_view* other = find_by_name(kReportFieldNames, name);
    const std::string known(other != nullptr ? *other : name);
    const std::optional<double> number = read_number<double>(value);
    if (number && std::find(report_fields.begin(), report_fields.end(), known) != report_fields.end()) {
      set_report_value(load, known, *number);
    }
  });
}

// Returns full milliseconds, rounded down, but never 0, which would mean that there is no limit.
std::string to_millis(Micros time) {
  return std::to_string(
      std::max<std::int64_t>(1, std::chrono::floor<std::chrono::milliseconds>(time).count()));
}

}  // namespace

std::optional<AnswerCode> parse_answer_code(std::string_view name) {
  const AnswerCode* found = find_by_name(kAnswerCodes, name);
  return found != nullptr ? std::optional<AnswerCode>(*found) : std::nullopt;
}

std::string_view note_name(Note note) {
  const auto found =
      std::find_if(kNotes.begin(), kNotes.end(), [note](const auto& one) { return one.second == note; });
  return found != kNotes.end() ? found->first : std::string_view();
}

std::optional<Note> parse_note(std::string_view name) {
  const Note* note = find_by_name(kNotes, name);
  return note != nullptr ? std::optional<Note>(*note) : std::nullopt;
}

AnswerFields read_answer_fields(std::string_view text, const std::vector<std::string>& report_fields) {
  AnswerFields out;
  each_field(text, ',', '=', [&](std::string_view name, std::string_view value) {
    if (name == "tell") {
      out.note = parse_note(value).value_or(out.note);
    } else if (name == "slow") {
      const std::optional<double> millis = read_number<double>(value);
      const bool usable = millis && *millis >= 0.0 && *millis <= kMaxWaitedMs;
      out.waited = usable ? Micros(std::llround(*millis * 1e3)) : out.waited;
    } else if (name == "meter") {
      read_load_report(value, report_fields, out.load);
    }
  });
  return out;
}

std::string write_serve(const ForwardedRequest& request, const SendAttempt& attempt) {
  std::string fields = "cls=" + request.request_class;
  const auto add = [&fields](std::string_view name, std::string_view value) {
    if (!value.empty()) {
      fields.append(",").append(name).append("=").append(value);
    }
  };
  add("item", request.object);
  add("chunk", request.part);
  add("limit", to_millis(attempt.timeout));
  add("nonce", request.dedupe_key);
  if (attempt.source != attempt.cache) {
    add("next", attempt.source);
  }
  if (attempt.keep_rank > 0) {
    add("admit", std::to_string(attempt.keep_rank));
  }
  if (attempt.max_age.count() > 0) {
    add("agelim", to_millis(attempt.max_age));
  }
  add("ways", std::string(attempt.join_fill ? "join" : "") +
                  (attempt.join_fill && attempt.only_if_cached ? "+" : "") +
                  (attempt.only_if_cached ? "held" : ""));
  add("cached", request.client_tag);
  add("fence", request.fence);
  return resp::write_array({"serve", request.id, fields, request.body});
}

std::string write_cancel(std::string_view id) { return resp::write_array({"cancel", id}); }

}  // namespace trailcourse::protocol
