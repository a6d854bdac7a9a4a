#include "discovery/fenced_event.h"

#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "ownership/fencing_token.h"

namespace trailcourse::discovery {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxIdLength = 128;

std::uint64_t number_at(const json& object, const std::string& name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

std::string string_at(const json& object, const std::string& name) {
  if (!object.is_object() || !object.contains(name) || !object[name].is_string()) {
    return {};
  }
  return object[name].get<std::string>();
}

bool has_object(const json& object, const char* name) {
  return object.contains(name) && object[name].is_object();
}

// Returns whether `event` can be published: a purge event or a list without a sequence number or identifier.
bool is_publishable(const json& event) {
  return event.is_object() && !event.contains("rev") && !event.contains("id") &&
         (has_object(event, "flush") || has_object(event, "pool"));
}

bool is_valid_call(const json& call) {
  const std::string id = string_at(call, "id");
  return !id.empty() && id.size() <= kMaxIdLength && call.contains("event") && is_publishable(call["event"]);
}

// Returns the sequence number of the event with the identifier `id`, or nothing where there is none.
std::optional<std::uint64_t> find_published(const json& page, const std::string& id) {
  std::optional<std::uint64_t> sequence;
  for (const json& event : page["notices"]) {
    if (event.value("id", std::string()) == id) {
      sequence = number_at(event, "rev");
    }
  }
  return sequence;
}

// Appends the event to the page and returns its sequence number.
std::uint64_t append_event(json& page, json event, const std::string& id) {
  const std::uint64_t sequence = number_at(page, "rev") + 1;
  event["rev"] = sequence;
  event["id"] = id;
  page["rev"] = sequence;
  page["notices"].push_back(std::move(event));
  return sequence;
}

}  // namespace

const char* to_string(FencedEventError error) {
  switch (error) {
    case FencedEventError::kInvalidToken:
      return "fence_unreadable";
    case FencedEventError::kInvalidEvent:
      return "not_a_notice";
    case FencedEventError::kOtherStore:
      return "fence_other_store";
    case FencedEventError::kSuperseded:
      break;
  }
  return "fenced";
}

tl::expected<FencedEventResult, FencedEventError> publish_fenced_event(json& page, const json& call) {
  const auto token = ownership::parse_fencing_token(string_at(call, "fence"));
  if (!token) {
    return tl::unexpected(FencedEventError::kInvalidToken);
  }
  if (!is_valid_call(call)) {
    return tl::unexpected(FencedEventError::kInvalidEvent);
  }
  const std::uint64_t store = number_at(page, "store");
  if (store != 0 && store != token->store) {
    return tl::unexpected(FencedEventError::kOtherStore);
  }
  const std::uint64_t last_term = number_at(page.value("terms", json::object()), token->work);
  if (token->term < last_term) {
    return tl::unexpected(FencedEventError::kSuperseded);
  }
  FencedEventResult out;
  const std::string id = string_at(call, "id");
  // The same owner or its successor sends an event again when it cannot know whether the event arrived.
  const std::optional<std::uint64_t> published = find_published(page, id);
  out.duplicate = published.has_value();
  out.sequence = published ? *published : append_event(page, call["event"], id);
  // A duplicate under a new term also changes the page: the previous owner may no longer publish.
  out.page_changed = !out.duplicate || last_term != token->term;
  page["store"] = token->store;
  page["terms"][token->work] = token->term;
  return out;
}

}  // namespace trailcourse::discovery
