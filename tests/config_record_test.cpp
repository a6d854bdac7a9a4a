// Typed records and the operator's file: values, error messages, schema and documentation.
#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>

#include "program/command_line.h"
#include "program/operator_file.h"

namespace trailcourse::program {
namespace {

using nlohmann::json;

constexpr const char* kValidFile = R"({
  // a comment
  "store": {"folder": "/tmp/x", "disk_mb": 64, "segment_mb": 4, "most_share": 0.5, "compress": false},
  "cache": {"name": "a", "listen": "127.0.0.1:5001", "sources": ["origin=127.0.0.1:5002"]},
  "classes": {"media": {"fresh_ms": 100}, "entry": {"use": "passed"}},
  "router": {"listen_backlog": 7}
})";

// Returns the error message of an invalid file; empty if it is valid.
std::string error_of(const std::string& text) {
  try {
    parse_operator_file(text, "file", {});
  } catch (const ConfigurationError& error) {
    return error.what();
  }
  return "";
}

TEST(OperatorFile, ReadsSectionsAndKeepsDefaultsOfAbsentKeys) {
  const OperatorFile file = parse_operator_file(kValidFile, "file", {"cache", "classes"});
  EXPECT_EQ(file.store.disk_mb, 64);
  EXPECT_EQ(file.store.max_share, 0.5);
  EXPECT_FALSE(file.store.compress);
  EXPECT_EQ(file.store.memory_mb, store::Options{}.memory_mb);
  EXPECT_EQ(file.cache.sources, std::vector<std::string>{"origin=127.0.0.1:5002"});
  EXPECT_EQ(file.classes.at("media").fresh_ms, 100);
  EXPECT_EQ(file.classes.at("entry").use, "passed");
  EXPECT_EQ(file.router.listen_backlog, 7);
}

TEST(OperatorFile, NamesSectionKeyAndAllowedValuesInEachError) {
  const auto expect = [](const std::string& text, const std::vector<std::string>& parts) {
    const std::string error = error_of(text);
    for (const std::string& part : parts) {
      EXPECT_NE(error.find(part), std::string::npos) << text << ": '" << error << "' lacks " << part;
    }
    EXPECT_EQ(error.find('\n'), std::string::npos);
  };
  expect(R"({"store": {"disk_mb": 3}})", {"store.disk_mb", "3", "16", "16777216"});
  expect(R"({"store": {"disk_mb": "much"}})", {"store.disk_mb", "much", "not an integer"});
  expect(R"({"store": {"disk_mb": 99999999999999999999}})", {"store.disk_mb"});
  expect(R"({"store": {"disk_mb": 1.5}})", {"store.disk_mb", "1.5"});
  expect(R"({"store": {"most_share": 2}})", {"store.most_share", "0.001 to 1"});
  expect(R"({"store": {"compress": 1}})", {"store.compress", "true nor false"});
  expect(R"({"store": {"folder": 1}})", {"store.folder", "not a string"});
  expect(R"({"store": {"disk_mv": 64}})", {"store.disk_mv", "no such key", "disk_mb"});
  expect(R"({"store": []})", {"store", "not an object"});
  expect(R"({"store": {"folder": "x", "disk_mb": 16, "segment_mb": 8}})", {"store.segment_mb", "quarter"});
  expect(R"({"classes": {"media": {"use": "odd"}}})", {"classes.media.use", "one of kept, passed"});
  expect(R"({"cache": {"listen": "127.0.0.1:1"}})", {"cache.name", "missing"});
  expect(R"({"cache": {"name": "", "listen": "127.0.0.1:1"}})", {"cache.name", "empty"});
  expect(R"({"cache": {"name": "a", "listen": "nowhere"}})", {"cache.listen", "nowhere"});
  expect(R"({"cache": {"name": "a", "listen": "127.0.0.1:1"}})", {"classes"});
  expect(R"({"cache": {"name": "a", "listen": "127.0.0.1:1", "sources": ["x"]}, "classes": {"m": {}}})",
         {"cache.sources", "NAME=IP:PORT"});
  expect(R"({"cache": {"name": "a", "listen": "127.0.0.1:1", "sources": [1]}})",
         {"cache.sources", "list of strings"});
  expect(R"({"origin": {"listen": "127.0.0.1:1", "size_kb": 900}})", {"origin.size_kb", "900", "0 and 234"});
  expect(R"({"cache": {"name": "a", "listen": "127.0.0.1:1", "value_kb": 200}, "classes": {"m": {}}})",
         {"cache.answer_bytes", "240000", "value_kb"});
  expect(R"({"shop": {}})", {"shop", "no such section"});
  const auto aggregator = [](const std::string& keys) {
    return R"({"coordination": {"store": "etcd", "endpoints": ["127.0.0.1:2379"]}, "aggregator": {)" +
           std::string(R"("listen": "127.0.0.1:1", "name": "a", "zones": ["east"])") + keys + "}}";
  };
  EXPECT_EQ(error_of(aggregator("")), "");
  expect(R"({"aggregator": {"listen": "127.0.0.1:1", "name": "a", "zones": ["east"]}})",
         {"aggregator", "no store", "coordination"});
  expect(aggregator(R"(, "ttl_ms": 3500)"), {"aggregator.ttl_ms", "policy.ttl_ms", "3000"});
  expect(aggregator(R"(, "renew_ms": 2000)"), {"aggregator.renew_ms", "2000", "3940"});
  expect(aggregator(R"(, "name": "a b")"), {"aggregator.zones", "a b.east"});
  expect(aggregator(R"(, "zones": [])"), {"aggregator.zones", "1 to 64"});
  expect(aggregator(R"(, "zones": ["east", "east"])"), {"aggregator.zones", "east", "twice"});
  expect(R"({"aggregation": {"endpoints": ["nowhere"]}})", {"aggregation.endpoints", "nowhere"});
  expect("{", {"file"});
  expect("[]", {"not a JSON object"});
}

TEST(OperatorFile, RejectsAFileWithoutARequiredSection) {
  EXPECT_THROW(parse_operator_file(kValidFile, "file", {"origin"}), ConfigurationError);
}

TEST(OperatorFile, SchemaHasEachKeyWithItsRangeDefaultAndDescription) {
  const json schema = operator_schema();
  const json& disk = schema["properties"]["store"]["properties"]["disk_mb"];
  EXPECT_EQ(disk["type"], "integer");
  EXPECT_EQ(disk["minimum"], 16);
  EXPECT_EQ(disk["default"], 1'024);
  EXPECT_EQ(schema["properties"]["classes"]["additionalProperties"]["properties"]["use"]["enum"],
            json::array({"kept", "passed"}));
  EXPECT_EQ(schema["properties"]["cache"]["required"], json::array({"name", "listen"}));
  for (const char* section : {"store", "cache", "origin", "board", "router"}) {
    for (const auto& [name, key] : schema["properties"][section]["properties"].items()) {
      EXPECT_GT(key["description"].get<std::string>().size(), 5U) << section << "." << name;
    }
  }
}

std::string read_source_file(const std::string& name) {
  std::ifstream file(std::string(TRAILCOURSE_SOURCE_DIR) + "/" + name);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

// `trailcourse config docs` writes the tables of the page, so each row has to equal the declaration.
TEST(OperatorFile, ThePageListsEveryKeyAsItIsDeclared) {
  const std::string text = read_source_file("docs/configuration.md");
  std::istringstream lines(operator_documentation());
  int rows = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("| `")) {
      ++rows;
      EXPECT_NE(text.find(line), std::string::npos) << line;
    }
  }
  EXPECT_GT(rows, 50);
}

TEST(OperatorFile, AcceptsTheFileInDeploy) {
  const std::string text = read_source_file("deploy/operator.json");
  EXPECT_EQ(error_of(text), "");
  EXPECT_FALSE(parse_operator_file(text, "deploy/operator.json", {"cache", "store"}).store.folder.empty());
}

struct CommandResult {
  int status;
  std::string out;
  std::string errors;
};
CommandResult run(std::vector<const char*> arguments) {
  arguments.insert(arguments.begin(), "trailcourse");
  std::ostringstream out;
  std::ostringstream errors;
  const int status = run_command(static_cast<int>(arguments.size()), arguments.data(), out, errors);
  return {status, out.str(), errors.str()};
}

TEST(Commands, EachHasHelpWithAnExample) {
  for (const char* name :
       {"serve", "check-config", "cache", "store", "config", "get", "origin", "board", "notice", "version"}) {
    const CommandResult help = run({name, "--help"});
    EXPECT_EQ(help.status, 0) << name;
    EXPECT_NE(help.out.find(std::string("Example: trailcourse ") + name), std::string::npos) << name;
    EXPECT_NE(run({"--help"}).out.find(name), std::string::npos) << name;
  }
}

TEST(Commands, ReturnsTheStatusOfUsageErrorsAndFailures) {
  EXPECT_EQ(run({"cache"}).status, 2);
  EXPECT_EQ(run({"cache", "--config", "/no/such/file"}).status, 1);
  EXPECT_EQ(run({"store"}).status, 2);
  EXPECT_EQ(run({"store", "dance", "/tmp"}).status, 2);
  EXPECT_EQ(run({"store", "verify"}).status, 2);
  EXPECT_EQ(run({"store", "stat", "/no/such/folder"}).status, 1);
  EXPECT_EQ(run({"store", "drop", "/tmp"}).status, 1) << "without --yes";
  EXPECT_EQ(run({"get", "xyz"}).status, 2);
  EXPECT_EQ(run({"get", "7f3a9c21e0b4d655", "--router", "nowhere"}).status, 2);
  EXPECT_EQ(run({"get", "7f3a9c21e0b4d655", "--router", "127.0.0.1:1"}).status, 6);
  EXPECT_EQ(run({"config", "dance"}).status, 2);
  EXPECT_EQ(run({"config", "schema"}).status, 0);
}

}  // namespace
}  // namespace trailcourse::program
