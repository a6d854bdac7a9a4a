#include "coordination/etcd_requests.h"

#include <array>
#include <string>
#include <variant>

namespace trailcourse::coordination::etcd {

using nlohmann::json;

namespace {

struct TargetName {
  Compare::Target value;
  const char* name;
  const char* field;  // field that contains the operand
};
constexpr std::array<TargetName, 5> kTargets{{{Compare::Target::kVersion, "VERSION", "version"},
                                              {Compare::Target::kCreated, "CREATE", "create_revision"},
                                              {Compare::Target::kModified, "MOD", "mod_revision"},
                                              {Compare::Target::kValue, "VALUE", "value"},
                                              {Compare::Target::kLease, "LEASE", "lease"}}};

struct RelationName {
  Compare::Relation value;
  const char* name;
};
constexpr std::array<RelationName, 4> kRelations{{{Compare::Relation::kEqual, "EQUAL"},
                                                  {Compare::Relation::kGreater, "GREATER"},
                                                  {Compare::Relation::kLess, "LESS"},
                                                  {Compare::Relation::kNotEqual, "NOT_EQUAL"}}};

// Returns the end of the range of all keys with the prefix `key` (rpc.proto, RangeRequest.range_end).
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

json write_compare(const Compare& compare) {
  json out{{"key", to_base64(compare.key)}};
  for (const RelationName& relation : kRelations) {
    if (relation.value == compare.relation) {
      out["result"] = relation.name;
    }
  }
  for (const TargetName& target : kTargets) {
    if (target.value == compare.target) {
      out["target"] = target.name;
      out[target.field] = compare.target == Compare::Target::kValue ? to_base64(compare.value)
                                                                    : std::to_string(compare.number);
    }
  }
  return out;
}

Compare read_compare(const json& from) {
  if (!from.is_object()) {
    throw BadMessage("compare", "not an object");
  }
  Compare out;
  out.key = read_bytes(from, "key");
  out.relation = read_enum<Compare::Relation>(from, "result", "EQUAL", kRelations, "is not a comparison");
  out.target = read_enum<Compare::Target>(from, "target", "VERSION", kTargets, "is not a comparison target");
  for (const TargetName& target : kTargets) {
    if (target.value != out.target) {
      continue;
    }
    if (out.target == Compare::Target::kValue) {
      out.value = read_bytes(from, target.field);
    } else {
      out.number = read_number(from, target.field);
    }
  }
  return out;
}

json write_operation(const Operation& operation) {
  if (const auto* put = std::get_if<Put>(&operation)) {
    return {{"request_put", write_put(*put)}};
  }
  if (const auto* deletion = std::get_if<Delete>(&operation)) {
    return {{"request_delete_range", write_range(deletion->range)}};
  }
  return {{"request_range", write_range(std::get<Get>(operation).range)}};
}

Operation read_operation(const json& from) {
  if (!from.is_object()) {
    throw BadMessage("operation", "not an object");
  }
  if (const json* put = find_object(from, "request_put", "requestPut")) {
    return read_put(*put);
  }
  if (const json* deletion = find_object(from, "request_delete_range", "requestDeleteRange")) {
    return Delete{read_range(*deletion)};
  }
  if (const json* get = find_object(from, "request_range", "requestRange")) {
    return Get{read_range(*get)};
  }
  throw BadMessage("operation", "not a put, range or delete");
}

}  // namespace

json write_transaction(const Transaction& transaction) {
  json out = json::object();
  for (const Compare& compare : transaction.when) {
    out["compare"].push_back(write_compare(compare));
  }
  for (const Operation& operation : transaction.then) {
    out["success"].push_back(write_operation(operation));
  }
  for (const Operation& operation : transaction.otherwise) {
    out["failure"].push_back(write_operation(operation));
  }
  return out;
}

Transaction read_transaction(const json& body) {
  Transaction out;
  for (const json& compare : read_list(body, "compare")) {
    out.when.push_back(read_compare(compare));
  }
  for (const json& operation : read_list(body, "success")) {
    out.then.push_back(read_operation(operation));
  }
  for (const json& operation : read_list(body, "failure")) {
    out.otherwise.push_back(read_operation(operation));
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
  out.key = read_bytes(body, "key");
  const std::string end = read_bytes(body, "range_end");
  out.prefix = !end.empty();
  if (out.prefix && out.key == std::string(1, '\0') && end == out.key) {
    out.key.clear();
  }
  if (out.prefix && end != prefix_end(out.key)) {
    throw BadMessage("range_end", "only a single key or a key prefix is supported");
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
  return Put{read_bytes(body, "key"), read_bytes(body, "value"), read_number(body, "lease")};
}

json write_lease_grant_request(const LeaseGrantRequest& request) {
  json out{{"TTL", std::to_string(request.ttl_s)}, {"ID", std::to_string(request.id)}};
  if (request.ttl_ms > 0) {
    out["TTL_MS"] = std::to_string(request.ttl_ms);
  }
  return out;
}

LeaseGrantRequest read_lease_grant_request(const json& body) {
  LeaseGrantRequest out{read_number(body, "ID"), static_cast<std::int64_t>(read_number(body, "TTL")),
                        static_cast<std::int64_t>(read_number(body, "TTL_MS"))};
  constexpr std::int64_t kMaxTtl = 9'000'000'000;  // etcd's limit in seconds; applied to milliseconds too
  if (out.ttl_s <= 0 || out.ttl_s > kMaxTtl || out.ttl_ms < 0 || out.ttl_ms > kMaxTtl) {
    throw BadMessage("TTL", "out of range");
  }
  return out;
}

json write_lease_request(LeaseId id) { return {{"ID", std::to_string(id)}}; }

LeaseId read_lease_request(const json& body) {
  const LeaseId out = read_number(body, "ID");
  if (out == 0) {
    throw BadMessage("ID", "missing");
  }
  return out;
}

json write_watch_request(const WatchRequest& request) {
  json create = write_range(request.range);
  if (request.start_revision > 0) {
    create["start_revision"] = std::to_string(request.start_revision);
  }
  return {{"create_request", create}};
}

WatchRequest read_watch_request(const json& body) {
  const json* create = find_object(body, "create_request", "createRequest");
  if (create == nullptr) {
    throw BadMessage("create_request", "missing");
  }
  return WatchRequest{read_range(*create), read_number(*create, "start_revision")};
}

}  // namespace trailcourse::coordination::etcd
