#include "coordination/etcd_responses.h"

#include <utility>
#include <variant>

namespace trailcourse::coordination::etcd {

using nlohmann::json;

namespace {

// Reads an entry that exists. Throws BadMessage if a field that such an entry must have is missing.
Entry read_existing_entry(const json& from) {
  Entry out = read_entry(from);
  if (out.key.empty() || out.created == 0 || out.modified < out.created || out.version == 0) {
    throw BadMessage("kvs", "an entry without a key, revision or version");
  }
  return out;
}

json write_operation_result(const ResponseHeader& header, const Operation& operation,
                            const OperationResult& result) {
  if (std::holds_alternative<Put>(operation)) {
    return {{"response_put", {{"header", write_header(header)}}}};
  }
  if (std::holds_alternative<Delete>(operation)) {
    json deletion{{"header", write_header(header)}};
    if (result.deleted > 0) {
      deletion["deleted"] = std::to_string(result.deleted);
    }
    return {{"response_delete_range", deletion}};
  }
  return {{"response_range", write_range_response(header, result.found)}};
}

std::vector<Entry> read_requested_entries(const json& response, const Range& range,
                                          const ResponseHeader& header) {
  const json* found = find_object(response, "response_range", "responseRange");
  if (found == nullptr) {
    throw BadMessage("responses", "no response_range for a range request");
  }
  std::vector<Entry> out;
  for (const json& item : read_list(*found, "kvs")) {
    out.push_back(read_existing_entry(item));
    if (!range.contains(out.back().key)) {
      throw BadMessage("kvs", "a key outside the requested range");
    }
    if (out.back().modified > header.revision) {
      throw BadMessage("kvs", "mod_revision is higher than the revision of the header");
    }
  }
  return out;
}

OperationResult read_operation_result(const json& response, const Operation& operation,
                                      const ResponseHeader& header) {
  if (!response.is_object()) {
    throw BadMessage("responses", "not an object");
  }
  OperationResult result;
  if (const auto* get = std::get_if<Get>(&operation)) {
    result.found = read_requested_entries(response, get->range, header);
  } else if (std::holds_alternative<Delete>(operation)) {
    const json* deletion = find_object(response, "response_delete_range", "responseDeleteRange");
    result.deleted = deletion != nullptr ? read_number(*deletion, "deleted") : 0;
  }
  return result;
}

KeyChange read_event(const json& event) {
  const json* entry = event.is_object() ? find_object(event, "kv", "kv") : nullptr;
  if (entry == nullptr) {
    throw BadMessage("events", "an event without an entry");
  }
  const std::string type = event.contains("type") ? read_string(event, "type") : "PUT";
  if (type != "PUT" && type != "DELETE") {
    throw BadMessage("type", "'" + type + "' is not an event type");
  }
  const bool deleted = type == "DELETE";
  return KeyChange{deleted, deleted ? read_entry(*entry) : read_existing_entry(*entry)};
}

}  // namespace

json write_header(const ResponseHeader& header) {
  return {{"cluster_id", std::to_string(header.cluster)},
          {"member_id", "1"},
          {"revision", std::to_string(header.revision)},
          {"raft_term", "1"}};
}

ResponseHeader read_header(const json& body) {
  const json* header = find_object(body, "header", "header");
  if (header == nullptr) {
    throw BadMessage("header", "missing");
  }
  const ResponseHeader out{read_number(*header, "cluster_id"), read_number(*header, "revision")};
  if (out.cluster == 0 || out.revision == 0) {
    throw BadMessage("header", "cluster_id or revision is missing");
  }
  return out;
}

json write_range_response(const ResponseHeader& header, const std::vector<Entry>& entries) {
  json out{{"header", write_header(header)}};
  for (const Entry& entry : entries) {
    out["kvs"].push_back(write_entry(entry));
  }
  if (!entries.empty()) {
    out["count"] = std::to_string(entries.size());
  }
  return out;
}

json write_transaction_result(const ResponseHeader& header, const Transaction& requested,
                              const TransactionResult& result) {
  json out{{"header", write_header(header)}};
  if (result.succeeded) {
    out["succeeded"] = true;
  }
  const std::vector<Operation>& operations = result.succeeded ? requested.then : requested.otherwise;
  for (std::size_t i = 0; i < operations.size(); ++i) {
    out["responses"].push_back(write_operation_result(header, operations[i], result.results[i]));
  }
  return out;
}

TransactionResult read_transaction_result(const json& body, const Transaction& requested,
                                          ResponseHeader& header) {
  header = read_header(body);
  TransactionResult out;
  out.succeeded = read_bool(body, "succeeded");
  out.revision = header.revision;
  const std::vector<Operation>& operations = out.succeeded ? requested.then : requested.otherwise;
  const json& responses = read_list(body, "responses");
  if (responses.size() != operations.size()) {
    throw BadMessage("responses", std::to_string(responses.size()) + " results for " +
                                      std::to_string(operations.size()) + " operations");
  }
  for (std::size_t i = 0; i < operations.size(); ++i) {
    out.results.push_back(read_operation_result(responses[i], operations[i], header));
  }
  return out;
}

json write_lease_grant_response(const ResponseHeader& header, const LeaseGrantResponse& granted) {
  json out{{"header", write_header(header)}, {"ID", std::to_string(granted.id)}};
  if (granted.ttl_ms > 0) {
    out["TTL"] = std::to_string((granted.ttl_ms + 999) / 1'000);
    out["TTL_MS"] = std::to_string(granted.ttl_ms);
  }
  return out;
}

LeaseGrantResponse read_lease_grant_response(const json& body, ResponseHeader& header) {
  // The response to a keep-alive has the same fields, but in the only item of a stream, under `result`.
  const json* stream_item = find_object(body, "result", "result");
  const json& from = stream_item != nullptr ? *stream_item : body;
  header = read_header(from);
  const std::uint64_t milliseconds = read_number(from, "TTL_MS");
  const std::uint64_t seconds = read_number(from, "TTL");
  constexpr std::uint64_t kMaxTtlSeconds = 9'000'000'000;  // etcd's documented limit
  if (seconds > kMaxTtlSeconds || milliseconds > kMaxTtlSeconds * 1'000) {
    throw BadMessage("TTL", "out of range");
  }
  return LeaseGrantResponse{read_number(from, "ID"),
                            static_cast<std::int64_t>(milliseconds > 0 ? milliseconds : seconds * 1'000)};
}

json write_watch_response(const WatchResponse& response) {
  json result{{"header", write_header(response.header)}};
  if (response.created) {
    result["created"] = true;
  }
  if (response.canceled) {
    result["canceled"] = true;
  }
  if (response.compacted > 0) {
    result["compact_revision"] = std::to_string(response.compacted);
  }
  for (const KeyChange& change : response.changes) {
    json event{{"kv", write_entry(change.entry)}};
    if (change.deleted) {
      event["type"] = "DELETE";
    }
    result["events"].push_back(std::move(event));
  }
  return {{"result", result}};
}

WatchResponse read_watch_response(const json& body) {
  const json* result = find_object(body, "result", "result");
  if (result == nullptr) {
    throw BadMessage("result", "missing");
  }
  WatchResponse out;
  out.header = read_header(*result);
  out.created = read_bool(*result, "created");
  out.canceled = read_bool(*result, "canceled");
  out.compacted = read_number(*result, "compact_revision");
  Revision last = 0;
  for (const json& event : read_list(*result, "events")) {
    KeyChange change = read_event(event);
    if (change.entry.key.empty() || change.entry.modified < last || change.entry.modified == 0) {
      throw BadMessage("events", "a key is missing, or revisions are out of order");
    }
    last = change.entry.modified;
    out.changes.push_back(std::move(change));
  }
  return out;
}

json write_error(ErrorCode code, const std::string& text) {
  return {{"error", text}, {"code", static_cast<int>(code)}, {"message", text}};
}

std::optional<ErrorResponse> read_error(const json& body) {
  const auto error = body.find("error");
  if (error == body.end()) {
    return std::nullopt;
  }
  // The error of a stream is an object. The error of a call has its fields in the body.
  const bool of_stream = error->is_object();
  const auto text = of_stream ? error->find("message") : error;
  const auto code = of_stream ? error->find("grpc_code") : body.find("code");
  const bool has_text = text != (of_stream ? error->end() : body.end()) && text->is_string();
  const bool has_code = code != (of_stream ? error->end() : body.end()) && code->is_number_integer();
  return ErrorResponse{has_code ? code->get<int>() : 0,
                       has_text ? text->get<std::string>() : "an error without a message"};
}

}  // namespace trailcourse::coordination::etcd
