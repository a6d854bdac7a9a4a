#include "program/operator_file.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <ostream>

namespace trailcourse::program {

using nlohmann::json;

namespace {

// Calls `visit(record, values)` for each section that is one record.
template <typename File, typename Visit>
void each_section(File& file, Visit visit) {
  visit(store::options_record(), file.store);
  visit(cache_node::node_record(), file.cache);
  visit(cache_node::origin_record(), file.origin);
  visit(discovery::discovery_record(), file.board);
  visit(startup::start_record(), file.startup);
  visit(snapshot::snapshot_record(), file.snapshot);
  visit(relay_record(), file.relay);
  visit(coordination::coordination_record(), file.coordination);
  visit(coordination::registry_record(), file.registry);
  visit(aggregation::aggregator_record(), file.aggregator);
  visit(aggregation::aggregation_record(), file.aggregation);
  visit(tasks::ownership_record(), file.ownership);
  visit(policy::policy_record(), file.policy);
  visit(tuning_record(), file.router);
}

void require_address(const std::string& key, const std::string& text, bool may_be_empty) {
  if (!(may_be_empty && text.empty()) && !transport::parse_address(text)) {
    throw ConfigurationError(key + ": '" + text + "' is not an address like 10.0.0.4:4100");
  }
}

// Checks what depends on more than the type and range of one key.
void check(const OperatorFile& file) {
  const auto has = [&file](const char* section) {
    return std::find(file.sections.begin(), file.sections.end(), section) != file.sections.end();
  };
  if (has("cache")) {
    require_address("cache.listen", file.cache.listen, false);
    require_address("cache.board", file.cache.board, true);
    for (const std::string& source : file.cache.sources) {
      const std::size_t equals = source.find('=');
      if (equals == std::string::npos || equals == 0) {
        throw ConfigurationError("cache.sources: '" + source + "' does not have the form NAME=IP:PORT");
      }
      require_address("cache.sources", source.substr(equals + 1), false);
    }
    if (file.cache.value_kb << 10U < file.cache.answer_bytes) {
      throw ConfigurationError("cache.answer_bytes: " + std::to_string(file.cache.answer_bytes) +
                               " is above value_kb, " + std::to_string(file.cache.value_kb));
    }
    if (file.classes.empty()) {
      throw ConfigurationError("classes: a cache needs at least one class");
    }
  }
  if (has("origin")) {
    require_address("origin.listen", file.origin.listen, false);
  }
  if (has("board")) {
    require_address("board.listen", file.board.listen, false);
  }
  if (has("registry")) {
    require_address("registry.listen", file.registry.listen, false);
  }
  if (has("coordination")) {
    check_coordination(file.coordination);
  }
  if (has("ownership")) {
    tasks::check_ownership(file.ownership);
  }
  if (has("policy")) {
    policy::check_policy(file.policy);
  }
  if (has("aggregator")) {
    if (file.coordination.store == "none") {
      throw ConfigurationError("aggregator: no store is set in the section coordination");
    }
    aggregation::check_aggregator(file.aggregator, file.policy.ttl_ms);
  }
  if (has("aggregation")) {
    aggregation::check_aggregation(file.aggregation);
  }
  if (has("relay")) {
    check_relay(file.relay);
  }
  if (file.store.segment_mb * 4 > file.store.disk_mb && !file.store.folder.empty()) {
    throw ConfigurationError("store.segment_mb: " + std::to_string(file.store.segment_mb) +
                             " is above a quarter of disk_mb, " + std::to_string(file.store.disk_mb));
  }
}

}  // namespace

OperatorFile parse_operator_file(const std::string& text, const std::string& path,
                                 const std::vector<std::string>& required_sections) {
  json source;
  try {
    source = json::parse(text, nullptr, true, true);
  } catch (const json::exception& error) {
    throw ConfigurationError(path + ": " + error.what());
  }
  if (!source.is_object()) {
    throw ConfigurationError(path + ": not a JSON object");
  }
  OperatorFile out;
  try {
    for (const auto& [name, value] : source.items()) {
      bool known = false;
      each_section(out, [&, &section = name, &values = value](const auto& record, auto& into) {
        if (section == record.section()) {
          into = record.read(values);
          known = true;
        }
      });
      if (name == "classes") {
        known = true;
        if (!value.is_object()) {
          throw ConfigurationError("classes: not an object");
        }
        for (const auto& [request_class, rule] : value.items()) {
          out.classes[request_class] = cache_node::class_record().read(rule, "classes." + request_class);
        }
      }
      if (!known) {
        throw ConfigurationError(name + ": no such section");
      }
      out.sections.push_back(name);
    }
  } catch (const config::KeyError& error) {
    throw ConfigurationError(error.what());
  }
  for (const std::string& section : required_sections) {
    if (std::find(out.sections.begin(), out.sections.end(), section) == out.sections.end()) {
      throw ConfigurationError(section + ": this section is missing in " + path);
    }
  }
  try {
    check(out);
  } catch (const config::KeyError& error) {
    throw ConfigurationError(error.what());
  }
  return out;
}

OperatorFile read_operator_file(const std::string& path, const std::vector<std::string>& required_sections) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file.is_open() || file.bad()) {
    throw ConfigurationError("--config: cannot read " + path);
  }
  return parse_operator_file(text, path, required_sections);
}

json operator_schema() {
  json properties = json::object();
  const OperatorFile defaults;
  each_section(defaults,
               [&](const auto& record, const auto&) { properties[record.section()] = record.schema(); });
  properties["classes"] = {{"type", "object"},
                           {"description", cache_node::class_record().description()},
                           {"additionalProperties", cache_node::class_record().schema()}};
  return {{"$schema", "https://json-schema.org/draft/2020-12/schema"},
          {"title", "trailcourse operator's file"},
          {"type", "object"},
          {"properties", properties},
          {"additionalProperties", false}};
}

std::string operator_documentation() {
  std::string out;
  const auto section = [&out](const auto& record, const auto& defaults) {
    out += "### `" + record.section() + "`\n\n" + record.description() +
           "\n\n| key | unit | default | range | description |\n| --- | --- | --- | --- | --- |\n";
    record.each(defaults, [&out](const config::Key& key, const json& value) {
      out += config::documentation_row(key, value) + "\n";
    });
    out += "\n";
  };
  const OperatorFile defaults;
  each_section(defaults, section);
  section(cache_node::class_record(), cache_node::ClassOptions{});
  return out;
}

void print_operator_file(const OperatorFile& file, std::ostream& out) {
  const auto section = [&out](const std::string& name, const auto& record, const auto& values) {
    record.each(values, [&](const config::Key& key, const json& value) {
      out << name << '.' << key.name << " = " << config::format_value(value)
          << (key.unit == "-" ? "" : " " + key.unit) << "  # " << key.description << '\n';
    });
  };
  each_section(file, [&](const auto& record, const auto& values) {
    const bool present =
        std::find(file.sections.begin(), file.sections.end(), record.section()) != file.sections.end();
    if (present) {
      section(record.section(), record, values);
    }
  });
  for (const auto& [name, rule] : file.classes) {
    section("classes." + name, cache_node::class_record(), rule);
  }
}

}  // namespace trailcourse::program
