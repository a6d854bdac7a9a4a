#include "coordination/etcd_json.h"

#include <sodium.h>

#include <array>
#include <utility>
#include <variant>

#include "protocol/numbers.h"

namespace trailcourse::coordination::etcd {

using nlohmann::json;

namespace {

constexpr std::size_t kMostItems = 100'000;

[[noreturn]] void bad(const std::string& field, const std::string& why) {
  throw BadMessage(field + ": " + why);
}

// The end of the range of all that begin with the key (rpc.proto, RangeRequest.range_end).
std::string prefix_end(std::string key) {
  while (!key.empty() && static_cast<unsigned char>(key.back()) == 0xff) {
    key.pop_back();
  }
  if (key.empty()) {
    return std::string(1, '\0');
  }
  key.back() = static_cast<char>(static_cast<unsigned char>(key.back()) + 1);
  return key;
}

// 64-bit numbers come as strings, and may come as numbers (proto3's JSON mapping).
std::uint64_t number(const json& from, const char* field) {
  const auto found = from.find(field);
  if (found == from.end() || found->is_null()) {
    return 0;
  }
  if (found->is_number_unsigned()) {
    return found->get<std::uint64_t>();
  }
  const auto read = found->is_string()
                        ? protocol::read_number<std::uint64_t>(found->get_ref<const std::string&>())
                        : std::nullopt;
  if (!read) {
    bad(field, "no whole number");
  }
  return *read;
}

bool flag(const json& from, const char* field) {
  const auto found = from.find(field);
  if (found == from.end() || found->is_null()) {
    return false;
  }
  if (!found->is_boolean()) {
    bad(field, "neither true nor false");
  }
  return found->get<bool>();
}

std::string word(const json& from, const char* field) {
  const auto found = from.find(field);
  if (found == from.end() || found->is_null()) {
    return {};
  }
  if (!found->is_string()) {
    bad(field, "no text");
  }
  return found->get<std::string>();
}

std::string bytes(const json& from, const char* field) { return from_base64(word(from, field), field); }

// An object under one of two names: the gateway takes both forms of a field's name.
const json* object(const json& from, const char* snake, const char* camel) {
  for (const char* name : {snake, camel}) {
    const auto found = from.find(name);
    if (found != from.end() && !found->is_null()) {
      if (!found->is_object()) {
        bad(name, "no object");
      }
      return &*found;
    }
  }
  return nullptr;
}

const json& list(const json& from, const char* field) {
  static const json kNone = json::array();
  const auto found = from.find(field);
  if (found == from.end() || found->is_null()) {
    return kNone;
  }
  if (!found->is_array() || found->size() > kMostItems) {
    bad(field, "no list that can be used");
  }
  return *found;
}

struct WhatName {
  Compare::What what;
  const char* target;
  const char* field;
};
constexpr std::array<WhatName, 5> kWhat{{{Compare::What::kVersion, "VERSION", "version"},
                                         {Compare::What::kCreated, "CREATE", "create_revision"},
                                         {Compare::What::kModified, "MOD", "mod_revision"},
                                         {Compare::What::kValue, "VALUE", "value"},
                                         {Compare::What::kLease, "LEASE", "lease"}}};
constexpr std::array<std::pair<Compare::How, const char*>, 4> kHow{{{Compare::How::kEqual, "EQUAL"},
                                                                    {Compare::How::kGreater, "GREATER"},
                                                                    {Compare::How::kLess, "LESS"},
                                                                    {Compare::How::kNotEqual, "NOT_EQUAL"}}};

json write_compare(const Compare& compare) {
  json out{{"key", to_base64(compare.key)}};
  for (const auto& [how, name] : kHow) {
    if (how == compare.how) {
      out["result"] = name;
    }
  }
  for (const WhatName& one : kWhat) {
    if (one.what == compare.what) {
      out["target"] = one.target;
      out[one.field] =
          one.what == Compare::What::kValue ? to_base64(compare.value) : std::to_string(compare.number);
    }
  }
  return out;
}

Compare read_compare(const json& from) {
  if (!from.is_object()) {
    bad("compare", "no object");
  }
  Compare out;
  out.key = bytes(from, "key");
  // Enumerations by default are left out: EQUAL and VERSION are 0.
  const std::string result = from.contains("result") ? word(from, "result") : "EQUAL";
  const std::string target = from.contains("target") ? word(from, "target") : "VERSION";
  bool known = false;
  for (const auto& [how, name] : kHow) {
    if (result == name) {
      out.how = how;
      known = true;
    }
  }
  if (!known) {
    bad("result", "'" + result + "' is no comparison");
  }
  known = false;
  for (const WhatName& one : kWhat) {
    if (target == one.target) {
      out.what = one.what;
      known = true;
      if (one.what == Compare::What::kValue) {
        out.value = bytes(from, one.field);
      } else {
        out.number = number(from, one.field);
      }
    }
  }
  if (!known) {
    bad("target", "'" + target + "' is nothing that can be compared");
  }
  return out;
}

json write_step(const Operation& step) {
  if (const auto* put = std::get_if<Put>(&step)) {
    return {{"request_put", write_put(*put)}};
  }
  if (const auto* gone = std::get_if<Delete>(&step)) {
    return {{"request_delete_range", write_range(gone->range)}};
  }
  return {{"request_range", write_range(std::get<Get>(step).range)}};
}

Operation read_step(const json& from) {
  if (!from.is_object()) {
    bad("operation", "no object");
  }
  if (const json* put = object(from, "request_put", "requestPut")) {
    return read_put(*put);
  }
  if (const json* gone = object(from, "request_delete_range", "requestDeleteRange")) {
    return Delete{read_range(*gone)};
  }
  if (const json* get = object(from, "request_range", "requestRange")) {
    return Get{read_range(*get)};
  }
  bad("operation", "neither put, range nor delete");
}

json write_entry(const Entry& entry) {
  json out{{"key", to_base64(entry.key)}, {"mod_revision", std::to_string(entry.modified)}};
  if (entry.created != 0) {
    out["create_revision"] = std::to_string(entry.created);
    out["version"] = std::to_string(entry.version);
  }
  if (!entry.value.empty()) {
    out["value"] = to_base64(entry.value);
  }
  if (entry.lease != 0) {
    out["lease"] = std::to_string(entry.lease);
  }
  return out;
}

Entry read_entry(const json& from) {
  if (!from.is_object()) {
    bad("kvs", "no object");
  }
  Entry out;
  out.key = bytes(from, "key");
  out.value = bytes(from, "value");
  out.created = number(from, "create_revision");
  out.modified = number(from, "mod_revision");
  out.version = number(from, "version");
  out.lease = number(from, "lease");
  return out;
}

// Of an entry that stands: what the store must have told of it.
Entry read_standing(const json& from) {
  Entry out = read_entry(from);
  if (out.key.empty() || out.created == 0 || out.modified < out.created || out.version == 0) {
    bad("kvs", "an entry without key or revision");
  }
  return out;
}

}  // namespace

std::string to_base64(std::string_view bytes) {
  std::string out(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(out.data(), out.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  out.pop_back();  // the zero at its end
  return out;
}

std::string from_base64(std::string_view text, const std::string& field) {
  std::string out(text.size(), '\0');
  std::size_t length = 0;
  const char* end = nullptr;
  const int failed = sodium_base642bin(reinterpret_cast<unsigned char*>(out.data()), out.size(), text.data(),
                                       text.size(), nullptr, &length, &end, sodium_base64_VARIANT_ORIGINAL);
  if (failed != 0 || end != text.data() + text.size()) {
    bad(field, "no Base64");
  }
  out.resize(length);
  return out;
}

json parse_object(std::string_view body) {
  json out = json::parse(body, nullptr, false);
  if (!out.is_object()) {
    throw BadMessage("no JSON object");
  }
  return out;
}

json write_transaction(const Transaction& transaction) {
  json out = json::object();
  for (const Compare& one : transaction.when) {
    out["compare"].push_back(write_compare(one));
  }
  for (const Operation& step : transaction.then) {
    out["success"].push_back(write_step(step));
  }
  for (const Operation& step : transaction.otherwise) {
    out["failure"].push_back(write_step(step));
  }
  return out;
}

Transaction read_transaction(const json& body) {
  Transaction out;
  for (const json& one : list(body, "compare")) {
    out.when.push_back(read_compare(one));
  }
  for (const json& one : list(body, "success")) {
    out.then.push_back(read_step(one));
  }
  for (const json& one : list(body, "failure")) {
    out.otherwise.push_back(read_step(one));
  }
  return out;
}

json write_range(const Range& range) {
  const std::string first = range.key.empty() ? std::string(1, '\0') : range.key;
  json out{{"key", to_base64(first)}};
  if (range.prefix) {
    out["range_end"] = to_base64(prefix_end(range.key));
  }
  return out;
}

Range read_range(const json& body) {
  Range out;
  out.key = bytes(body, "key");
  const std::string end = bytes(body, "range_end");
  out.prefix = !end.empty();
  if (out.prefix && out.key == std::string(1, '\0') && end == out.key) {
    out.key.clear();
  }
  if (out.prefix && end != prefix_end(out.key)) {
    bad("range_end", "only one key or all that begin with it are served");
  }
  return out;
}

json write_put(const Put& put) {
  json out{{"key", to_base64(put.key)}, {"value", to_base64(put.value)}};
  if (put.lease != 0) {
    out["lease"] = std::to_string(put.lease);
  }
  return out;
}

Put read_put(const json& body) {
  return Put{bytes(body, "key"), bytes(body, "value"), number(body, "lease")};
}

json write_lease_grant_request(const LeaseGrantRequest& call) {
  json out{{"TTL", std::to_string(call.ttl_s)}, {"ID", std::to_string(call.id)}};
  if (call.ttl_ms > 0) {
    out["TTL_MS"] = std::to_string(call.ttl_ms);
  }
  return out;
}

LeaseGrantRequest read_lease_grant_request(const json& body) {
  LeaseGrantRequest out{number(body, "ID"), static_cast<std::int64_t>(number(body, "TTL")),
                static_cast<std::int64_t>(number(body, "TTL_MS"))};
  constexpr std::int64_t kMostTtl = 9'000'000'000;  // as the published limit
  if (out.ttl_s <= 0 || out.ttl_s > kMostTtl || out.ttl_ms < 0 || out.ttl_ms > kMostTtl) {
    bad("TTL", "no time that can be granted");
  }
  return out;
}

json write_lease_request(LeaseId id) { return {{"ID", std::to_string(id)}}; }

LeaseId read_lease_request(const json& body) {
  const LeaseId out = number(body, "ID");
  if (out == 0) {
    bad("ID", "missing");
  }
  return out;
}

json write_watch_request(const WatchRequest& call) {
  json create = write_range(call.range);
  if (call.from > 0) {
    create["start_revision"] = std::to_string(call.from);
  }
  return {{"create_request", create}};
}

WatchRequest read_watch_request(const json& body) {
  const json* create = object(body, "create_request", "createRequest");
  if (create == nullptr) {
    bad("create_request", "missing");
  }
  return WatchRequest{read_range(*create), number(*create, "start_revision")};
}

json write_header(const ResponseHeader& header) {
  return {{"cluster_id", std::to_string(header.cluster)},
          {"member_id", "1"},
          {"revision", std::to_string(header.revision)},
          {"raft_term", "1"}};
}

ResponseHeader read_header(const json& body) {
  const json* header = object(body, "header", "header");
  if (header == nullptr) {
    bad("header", "missing");
  }
  const ResponseHeader out{number(*header, "cluster_id"), number(*header, "revision")};
  if (out.cluster == 0 || out.revision == 0) {
    bad("header", "names no store or no revision");
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

json write_transaction_result(const ResponseHeader& header, const Transaction& asked, const TransactionResult& outcome) {
  json out{{"header", write_header(header)}};
  if (outcome.succeeded) {
    out["succeeded"] = true;
  }
  const std::vector<Operation>& steps = outcome.succeeded ? asked.then : asked.otherwise;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    const OperationResult& result = outcome.results[i];
    if (std::holds_alternative<Put>(steps[i])) {
      out["responses"].push_back({{"response_put", {{"header", write_header(header)}}}});
    } else if (std::holds_alternative<Delete>(steps[i])) {
      json told{{"header", write_header(header)}};
      if (result.deleted > 0) {
        told["deleted"] = std::to_string(result.deleted);
      }
      out["responses"].push_back({{"response_delete_range", told}});
    } else {
      out["responses"].push_back({{"response_range", write_range_response(header, result.found)}});
    }
  }
  return out;
}

TransactionResult read_transaction_result(const json& body, const Transaction& asked, ResponseHeader& header) {
  header = read_header(body);
  TransactionResult out;
  out.succeeded = flag(body, "succeeded");
  out.revision = header.revision;
  const std::vector<Operation>& steps = out.succeeded ? asked.then : asked.otherwise;
  const json& responses = list(body, "responses");
  if (responses.size() != steps.size()) {
    bad("responses", std::to_string(responses.size()) + " for " + std::to_string(steps.size()) + " steps");
  }
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (!responses[i].is_object()) {
      bad("responses", "no object");
    }
    OperationResult result;
    if (const auto* get = std::get_if<Get>(&steps[i])) {
      const json* told = object(responses[i], "response_range", "responseRange");
      if (told == nullptr) {
        bad("responses", "no range where one was asked for");
      }
      for (const json& one : list(*told, "kvs")) {
        result.found.push_back(read_standing(one));
        if (!get->range.holds(result.found.back().key)) {
          bad("kvs", "a key that was not asked for");
        }
        if (result.found.back().modified > header.revision) {
          bad("kvs", "a revision that is yet to come");
        }
      }
    } else if (std::holds_alternative<Delete>(steps[i])) {
      const json* told = object(responses[i], "response_delete_range", "responseDeleteRange");
      result.deleted = told != nullptr ? number(*told, "deleted") : 0;
    }
    out.results.push_back(std::move(result));
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
  // A keep-alive is a stream of one: its answer stands under `result`.
  const json* inner = object(body, "result", "result");
  const json& from = inner != nullptr ? *inner : body;
  header = read_header(from);
  LeaseGrantResponse out;
  out.id = number(from, "ID");
  const std::uint64_t ms = number(from, "TTL_MS");
  const std::uint64_t seconds = number(from, "TTL");
  constexpr std::uint64_t kMost = 9'000'000'000;
  if (seconds > kMost || ms > kMost * 1'000) {
    bad("TTL", "no time that can be granted");
  }
  out.ttl_ms = static_cast<std::int64_t>(ms > 0 ? ms : seconds * 1'000);
  return out;
}

json write_watch_response(const WatchResponse& line) {
  json result{{"header", write_header(line.header)}};
  if (line.created) {
    result["created"] = true;
  }
  if (line.canceled) {
    result["canceled"] = true;
  }
  if (line.compacted > 0) {
    result["compact_revision"] = std::to_string(line.compacted);
  }
  for (const KeyChange& change : line.changes) {
    json event{{"kv", write_entry(change.entry)}};
    if (change.deleted) {
      event["type"] = "DELETE";
    }
    result["events"].push_back(std::move(event));
  }
  return {{"result", result}};
}

WatchResponse read_watch_response(const json& body) {
  const json* result = object(body, "result", "result");
  if (result == nullptr) {
    bad("result", "missing");
  }
  WatchResponse out;
  out.header = read_header(*result);
  out.created = flag(*result, "created");
  out.canceled = flag(*result, "canceled");
  out.compacted = number(*result, "compact_revision");
  Revision last = 0;
  for (const json& event : list(*result, "events")) {
    const json* entry = event.is_object() ? object(event, "kv", "kv") : nullptr;
    if (entry == nullptr) {
      bad("events", "no entry");
    }
    const std::string type = event.contains("type") ? word(event, "type") : "PUT";
    if (type != "PUT" && type != "DELETE") {
      bad("type", "'" + type + "' is no kind of event");
    }
    KeyChange change{type == "DELETE", type == "DELETE" ? read_entry(*entry) : read_standing(*entry)};
    if (change.entry.key.empty() || change.entry.modified < last || change.entry.modified == 0) {
      bad("events", "out of order");
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
  const auto found = body.find("error");
  if (found == body.end()) {
    return std::nullopt;
  }
  ErrorResponse out;
  // Of a stream the error is an object.
  if (found->is_object()) {
    out.text = found->contains("message") && (*found)["message"].is_string()
                   ? (*found)["message"].get<std::string>()
                   : "an error";
    out.code = found->contains("grpc_code") && (*found)["grpc_code"].is_number_integer()
                   ? (*found)["grpc_code"].get<int>()
                   : 0;
    return out;
  }
  out.text = found->is_string() ? found->get<std::string>() : "an error";
  const auto code = body.find("code");
  out.code = code != body.end() && code->is_number_integer() ? code->get<int>() : 0;
  return out;
}

}  // namespace trailcourse::coordination::etcd
