#include "board/fenced_notice.h"

#include "ownership/fencing_token.h"

namespace trailcourse::board {

using nlohmann::json;

namespace {

constexpr std::size_t kMostId = 128;

std::uint64_t number_at(const json& from, const std::string& name) {
  const auto found = from.find(name);
  return found != from.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

bool is_event(const json& event) {
  return event.is_object() && !event.contains("rev") && !event.contains("id") &&
         ((event.contains("flush") && event["flush"].is_object()) ||
          (event.contains("pool") && event["pool"].is_object()));
}

}  // namespace

Posted post_notice(json& page, const json& call) {
  Posted out;
  const auto text = [&call](const char* name) {
    return call.is_object() && call.contains(name) && call[name].is_string() ? call[name].get<std::string>()
                                                                             : std::string();
  };
  const auto token = ownership::parse_fencing_token(text("fence"));
  const std::string id = text("id");
  if (!token) {
    out.why = "fence_unreadable";
    return out;
  }
  if (id.empty() || id.size() > kMostId || !call.contains("event") || !is_event(call["event"])) {
    out.why = "not_a_notice";
    return out;
  }
  const std::uint64_t store = number_at(page, "store");
  if (store != 0 && store != token->store) {
    out.why = "fence_other_store";
    return out;
  }
  const json terms = page.value("terms", json::object());
  if (token->term < number_at(terms, token->work)) {
    out.why = "fenced";
    return out;
  }
  // Sent again: by the same owner, or by its successor, who cannot know whether it arrived.
  for (const json& event : page["notices"]) {
    if (event.value("id", std::string()) == id) {
      out.known = true;
      out.number = number_at(event, "rev");
    }
  }
  if (!out.known) {
    out.number = number_at(page, "rev") + 1;
    json event = call["event"];
    event["rev"] = out.number;
    event["id"] = id;
    page["rev"] = out.number;
    page["notices"].push_back(std::move(event));
  }
  // Also where it is known: from now on the one before may say nothing more.
  out.taken = !out.known || number_at(terms, token->work) != token->term;
  page["store"] = token->store;
  page["terms"][token->work] = token->term;
  return out;
}

}  // namespace trailcourse::board
