#include "routing/request_parser.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <utility>

#include "protocol/cache_answer.h"
#include "protocol/numbers.h"

namespace trailcourse::routing {

namespace fastcgi = protocol::fastcgi;
using protocol::is_plain;

namespace {

constexpr std::string_view kPathPrefix = "/v1/";
constexpr std::string_view kFieldPrefix = "HTTP_X_";
constexpr std::size_t kHexDigits = 16;
constexpr std::uint64_t kMaxPurgeGroup = 255;
constexpr std::int64_t kMaxPatienceMs = 120'000;

struct FieldName {
  std::string_view name;
  std::string_view RequestFields::* field;
};

// Parameters with the prefix HTTP_X_, without it.
constexpr std::array<FieldName, 10> kPrefixedFields{{
    {"CALL_ID", &RequestFields::call_id},
    {"PATIENCE_MS", &RequestFields::patience_ms},
    {"REPEAT", &RequestFields::is_repeat},
    {"DEDUPE_KEY", &RequestFields::dedupe_key},
    {"ENTITY", &RequestFields::object},
    {"NTH", &RequestFields::part},
    {"BATCH", &RequestFields::purge_group},
    {"HEAP_KB", &RequestFields::size_kb},
    {"GOT", &RequestFields::client_tag},
    {"TRACE", &RequestFields::is_traced},
}};

std::string_view RequestFields::* find_field(std::string_view name) {
  if (name == "SCRIPT_NAME") {
    return &RequestFields::path;
  }
  if (name == "CONTENT_LENGTH") {
    return &RequestFields::content_length;
  }
  if (!name.starts_with(kFieldPrefix)) {
    return nullptr;
  }
  name.remove_prefix(kFieldPrefix.size());
  const auto* const found = std::find_if(kPrefixedFields.begin(), kPrefixedFields.end(),
                                         [name](const FieldName& one) { return one.name == name; });
  return found == kPrefixedFields.end() ? nullptr : found->field;
}

bool all_of(std::string_view text, bool (*predicate)(char)) {
  return !text.empty() && std::all_of(text.begin(), text.end(), predicate);
}
bool is_hex(char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }

// The invalid field; nothing if all parsed fields are valid.
using FieldError = std::optional<std::string_view>;

FieldError parse_class(const RequestFields& fields, const std::unordered_map<std::string, int>& class_index,
                       protocol::ForwardedRequest& forwarded, RequestArrived& arrived) {
  if (!fields.path.starts_with(kPathPrefix)) {
    return "SCRIPT_NAME";
  }
  forwarded.request_class = fields.path.substr(kPathPrefix.size());
  const auto entry = class_index.find(forwarded.request_class);
  if (entry == class_index.end() || !all_of(forwarded.request_class, is_plain)) {
    return "unknown request class";
  }
  arrived.request_class = entry->second;
  return std::nullopt;
}

FieldError parse_call(const RequestFields& fields, std::size_t body_bytes,
                      protocol::ForwardedRequest& forwarded, ParsedRequest& out) {
  forwarded.id = fields.call_id;
  if (forwarded.id.size() != kHexDigits || !all_of(forwarded.id, is_hex)) {
    return "X-Call-Id";
  }
  out.call_id = protocol::read_hex<std::uint64_t>(forwarded.id).value_or(0);
  if (!fields.content_length.empty() &&
      protocol::read_number<std::size_t>(fields.content_length) != body_bytes) {
    return "CONTENT_LENGTH";
  }
  const std::optional<std::int64_t> patience = protocol::read_number<std::int64_t>(fields.patience_ms);
  if (!patience || *patience <= 0 || *patience > kMaxPatienceMs) {
    return "X-Patience-Ms";
  }
  out.request.patience = std::chrono::milliseconds(*patience);
  return std::nullopt;
}

FieldError parse_object(const RequestFields& fields, const ClassSettings& class_settings,
                        protocol::ForwardedRequest& forwarded, RequestArrived& arrived) {
  forwarded.object = fields.object;
  if (!forwarded.object.empty() || !class_settings.uncached) {
    const std::optional<ObjectId> object = protocol::read_hex<ObjectId>(forwarded.object);
    if (!object || forwarded.object.size() != kHexDigits) {
      return "X-Entity";
    }
    arrived.object = *object;
  }
  forwarded.part = fields.part;
  if (!forwarded.part.empty()) {
    const std::optional<std::uint32_t> part = protocol::read_number<std::uint32_t>(forwarded.part);
    if (!part) {
      return "X-Nth";
    }
    arrived.part = *part;
  }
  return std::nullopt;
}

FieldError parse_group_and_size(const RequestFields& fields, RequestArrived& arrived) {
  if (!fields.purge_group.empty()) {
    const std::optional<std::uint64_t> group = protocol::read_number<std::uint64_t>(fields.purge_group);
    if (!group || *group > kMaxPurgeGroup) {
      return "X-Batch";
    }
    arrived.purge_group = *group;
  }
  if (!fields.size_kb.empty()) {
    const std::optional<double> size = protocol::read_number<double>(fields.size_kb);
    if (!size || *size < 0.0) {
      return "X-Heap-Kb";
    }
    arrived.size_kb = *size;
  }
  return std::nullopt;
}

FieldError parse_key_and_tag(const RequestFields& fields, const ClassSettings& class_settings,
                             protocol::ForwardedRequest& forwarded) {
  const bool key_needed = class_settings.idempotency == Idempotency::kKeyed;
  forwarded.dedupe_key = fields.dedupe_key;
  if ((key_needed || !forwarded.dedupe_key.empty()) && !all_of(forwarded.dedupe_key, is_plain)) {
    return "X-Dedupe-Key";
  }
  forwarded.client_tag = fields.client_tag;
  if (!forwarded.client_tag.empty() && !all_of(forwarded.client_tag, is_plain)) {
    return "X-Got";
  }
  return std::nullopt;
}

}  // namespace

RequestFields read_request_fields(const fastcgi::Parameters& parameters) {
  RequestFields out;
  fastcgi::PairReader reader = parameters.read();
  while (const std::optional<fastcgi::Pair> pair = reader.next()) {
    std::string_view RequestFields::* const field = find_field(pair->name);
    if (field != nullptr && (out.*field).data() == nullptr) {
      out.*field = pair->value;
    }
  }
  return out;
}

ParsedRequest parse_request(const RequestFields& fields, std::string body,
                            const std::unordered_map<std::string, int>& class_index,
                            const Settings& settings) {
  ParsedRequest out;
  RequestArrived& arrived = out.request.arrival;
  auto forwarded = std::make_shared<protocol::ForwardedRequest>();
  FieldError error = parse_class(fields, class_index, *forwarded, arrived);
  if (!error) {
    const ClassSettings& class_settings = settings.classes[static_cast<std::size_t>(arrived.request_class)];
    arrived.write = class_settings.uncached;
    error = parse_call(fields, body.size(), *forwarded, out);
    error = error ? error : parse_object(fields, class_settings, *forwarded, arrived);
    error = error ? error : parse_group_and_size(fields, arrived);
    error = error ? error : parse_key_and_tag(fields, class_settings, *forwarded);
  }
  if (error) {
    out.error = *error;
    return out;
  }
  arrived.is_retry = fields.is_repeat == "1";
  out.request.forwarded_bytes = body.capacity() + forwarded->dedupe_key.size() + forwarded->client_tag.size();
  forwarded->body = std::move(body);
  out.request.forwarded = std::move(forwarded);
  return out;
}

}  // namespace trailcourse::routing
