#include "policy/document.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <set>

#include "coordination/types.h"

namespace trailcourse::policy {

using nlohmann::json;

namespace {

constexpr std::size_t kMaxTextBytes = 1'000;
constexpr std::size_t kMaxClasses = 64;

enum class DocumentForm {
  kStored,  // with version, parent and digest
  kDraft    // without them, as an operator writes it
};

json content_json(const PolicyContent& content) {
  json out = json::object();
  out["classes"] = json::object();
  for (const auto& [name, rule] : content.classes) {
    json& class_json = out["classes"][name] = json::object();
    class_policy_record().each(
        rule, [&class_json](const config::Key& key, const json& value) { class_json[key.name] = value; });
  }
  json& limits = out["limits"] = json::object();
  limit_policy_record().each(
      content.limits, [&limits](const config::Key& key, const json& value) { limits[key.name] = value; });
  return out;
}

// Returns the input of the digest: the document without its digest. Its text has sorted keys and no spaces.
json json_without_digest(const PolicyDocument& document) {
  return {{"schema", document.schema}, {"version", document.version},
          {"parent", document.parent}, {"author", document.author},
          {"reason", document.reason}, {"content", content_json(document.content)}};
}

// ---- Reading ----

std::uint64_t read_unsigned(const std::string& field, const json& value) {
  if (!value.is_number_unsigned()) {
    throw InvalidDocument(field + ": not a whole number");
  }
  return value.get<std::uint64_t>();
}

std::string read_text(const std::string& field, const json& value) {
  if (!value.is_string() || value.get_ref<const std::string&>().size() > kMaxTextBytes) {
    throw InvalidDocument(field + ": not a text of 1,000 bytes at most");
  }
  return value.get<std::string>();
}

std::map<std::string, ClassPolicy> read_classes(const json& value) {
  if (!value.is_object() || value.size() > kMaxClasses) {
    throw InvalidDocument("content.classes: not an object of 64 classes at most");
  }
  std::map<std::string, ClassPolicy> out;
  for (const auto& [name, rule] : value.items()) {
    if (!coordination::is_name(name)) {
      throw InvalidDocument("content.classes: '" + name + "' is no name of a class");
    }
    out[name] = class_policy_record().read(rule, "content.classes." + name);
  }
  return out;
}

PolicyContent read_content(const json& value) {
  if (!value.is_object()) {
    throw InvalidDocument("content: not an object");
  }
  PolicyContent out;
  for (const auto& [section, section_value] : value.items()) {
    if (section == "limits") {
      out.limits = limit_policy_record().read(section_value, "content.limits");
    } else if (section == "classes") {
      out.classes = read_classes(section_value);
    } else {
      throw InvalidDocument("content." + section + ": no such section");
    }
  }
  return out;
}

// Reads the schema first, since no other field of a document with another schema can be checked.
std::int64_t read_schema(const json& value) {
  const auto schema = value.find("schema");
  if (schema == value.end() || !schema->is_number_integer()) {
    throw InvalidDocument("schema: missing");
  }
  const auto out = schema->get<std::int64_t>();
  if (out != kSchema) {
    throw InvalidDocument("schema: " + std::to_string(out) + " is not known to this program, which knows " +
                          std::to_string(kSchema));
  }
  return out;
}

// Reads a field that only stored documents have. Returns false for any other field.
bool read_stored_field(const std::string& field, const json& value, PolicyDocument& document,
                       std::string& digest) {
  if (field == "version") {
    document.version = read_unsigned(field, value);
  } else if (field == "parent") {
    document.parent = read_unsigned(field, value);
  } else if (field == "digest") {
    digest = read_text(field, value);
  } else {
    return false;
  }
  return true;
}

// Reads a field that drafts have too. Returns false for any other field.
bool read_draft_field(const std::string& field, const json& value, PolicyDocument& document) {
  if (field == "author") {
    document.author = read_text(field, value);
  } else if (field == "reason") {
    document.reason = read_text(field, value);
  } else if (field == "content") {
    document.content = read_content(value);
  } else {
    return field == "schema";  // already read
  }
  return true;
}

void check_class(const std::string& name, const ClassPolicy& rule) {
  const std::string field = "content.classes." + name;
  if (rule.give_up_ms < rule.objective_ms) {
    throw InvalidDocument(field + ".give_up_ms: " + std::to_string(rule.give_up_ms) +
                          " is below objective_ms, " + std::to_string(rule.objective_ms));
  }
  if (rule.fresh_ms == 0 && rule.grace_ms > 0) {
    throw InvalidDocument(field + ".grace_ms: a copy that is good until purged has none");
  }
}

void check_work(const std::vector<std::string>& work) {
  std::set<std::string> kinds;
  for (const std::string& kind : work) {
    if (!coordination::is_name(kind) || !kinds.insert(kind).second) {
      throw InvalidDocument("content.limits.work: '" + kind + "' is no kind of work, or stands twice");
    }
  }
}

void check_content(const PolicyContent& content) {
  for (const auto& [name, rule] : content.classes) {
    check_class(name, rule);
  }
  check_work(content.limits.work);
}

void check_stored(const PolicyDocument& document, const std::string& digest) {
  if (document.version == 0 || document.parent >= document.version) {
    throw InvalidDocument("version: not later than its parent");
  }
  if (digest != digest_of(document)) {
    throw InvalidDocument("digest: is not of this document");
  }
}

PolicyDocument read(const std::string& text, DocumentForm form) {
  const json value = json::parse(text, nullptr, false, true);
  if (!value.is_object()) {
    throw InvalidDocument("not a JSON object");
  }
  PolicyDocument out;
  out.schema = read_schema(value);
  std::string digest;
  try {
    for (const auto& [field, field_value] : value.items()) {
      const bool is_read =
          read_draft_field(field, field_value, out) ||
          (form == DocumentForm::kStored && read_stored_field(field, field_value, out, digest));
      if (!is_read) {
        throw InvalidDocument(field + ": no such field" +
                              (form == DocumentForm::kDraft ? " of a draft" : ""));
      }
    }
    check_content(out.content);
  } catch (const config::KeyError& error) {
    throw InvalidDocument(error.what());
  }
  if (!value.contains("content")) {
    throw InvalidDocument("content: missing");
  }
  if (form == DocumentForm::kStored) {
    check_stored(out, digest);
  }
  return out;
}

}  // namespace

std::string digest_of(const PolicyDocument& document) {
  const std::string text = json_without_digest(document).dump();
  std::array<unsigned char, crypto_hash_sha256_BYTES> sum{};
  crypto_hash_sha256(sum.data(), reinterpret_cast<const unsigned char*>(text.data()), text.size());
  std::array<char, 2 * crypto_hash_sha256_BYTES + 1> hex{};
  sodium_bin2hex(hex.data(), hex.size(), sum.data(), sum.size());
  return hex.data();
}

json write_document(const PolicyDocument& document) {
  json out = json_without_digest(document);
  out["digest"] = digest_of(document);
  return out;
}

std::string write_document_text(const PolicyDocument& document) { return write_document(document).dump(); }

PolicyDocument read_document(const std::string& text) { return read(text, DocumentForm::kStored); }
PolicyDocument read_draft(const std::string& text) { return read(text, DocumentForm::kDraft); }

std::string describe(const UnsupportedDemand& demand) {
  switch (demand.kind) {
    case UnsupportedDemand::Kind::kUnknownClass:
      return "content.classes." + demand.class_name + ": not a class of this router's settings";
    case UnsupportedDemand::Kind::kTooManyOpenRequests:
      break;
  }
  return "content.limits.open_requests: " + std::to_string(demand.open_requests) +
         " is over what this router's memory and sockets bear, " + std::to_string(demand.max_open_requests);
}

tl::expected<void, UnsupportedDemand> check_capabilities(const PolicyDocument& document,
                                                         const RouterCapabilities& capabilities) {
  const std::vector<std::string>& classes = capabilities.classes;
  for (const auto& [name, rule] : document.content.classes) {
    if (std::find(classes.begin(), classes.end(), name) == classes.end()) {
      return tl::unexpected(UnsupportedDemand{UnsupportedDemand::Kind::kUnknownClass, name, 0, 0});
    }
  }
  const std::int64_t demanded = document.content.limits.open_requests;
  if (demanded > capabilities.max_open_requests) {
    return tl::unexpected(UnsupportedDemand{UnsupportedDemand::Kind::kTooManyOpenRequests, "", demanded,
                                            capabilities.max_open_requests});
  }
  return {};
}

}  // namespace trailcourse::policy
