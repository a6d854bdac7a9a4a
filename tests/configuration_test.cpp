// Reading and checking the configuration, its error messages, and the command line.
#include "program/configuration.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <tuple>
#include <vector>

#include "program/command_line.h"
#include "protocol/json_fields.h"
#include "protocol/settings.h"

namespace trailcourse::program {
namespace {

using nlohmann::json;

json valid_config() {
  return json::parse(R"({"name":"n3","listen":"127.0.0.1:4100","seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":192,"sockets":256},"board":"127.0.0.1:2379",
    "flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
    "known":{"rev":1,"notices":[{"rev":1,"pool":{"snapshot":true,"endpoints":[
      {"name":"a","address":"127.0.0.1:9","type":"std","status":"up"}]}}]},
    "settings":{"Kinds":["std"],"Classes":[{"Name":"media","Effect":"safe","GiveUpS":6}],
      "Limits":{"ConnIdleS":15,"ConnectTimeoutS":0.4,"StreamsPerConn":32,"MaxOpen":20000}}})");
}

class ConfigurationTest : public testing::Test {
 public:
  ~ConfigurationTest() override { std::remove(path_.c_str()); }

 protected:
  ConfigurationTest()
      : path_(testing::TempDir() + "trailcourse-config-" + std::to_string(::getpid()) + ".json") {}

  Configuration read(const json& config) { return read_text(config.dump()); }
  Configuration read_text(const std::string& text) {
    std::ofstream(path_, std::ios::binary) << text;
    environment_["NODE_CONFIG"] = path_;
    Sources sources = sources_;
    sources.environment = [this](const char* name) -> const char* {
      const auto found = environment_.find(name);
      return found == environment_.end() ? nullptr : found->second.c_str();
    };
    return read_configuration(sources);
  }
  // Returns the error message of an invalid configuration; empty if it is valid.
  std::string error_of(const json& config) {
    try {
      read(config);
    } catch (const ConfigurationError& error) {
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
      return error.what();
    }
    return "";
  }

  std::string path_;
  std::map<std::string, std::string> environment_;
  Sources sources_;
};

TEST_F(ConfigurationTest, ReadsTheFileAndTheEnvironmentOfThePlatform) {
  environment_["NODE_NAME"] = "n3";
  environment_["NODE_LISTEN"] = "127.0.0.1:4100";
  const Configuration configuration = read(valid_config());
  EXPECT_EQ(configuration.name, "n3");
  EXPECT_EQ(to_string(configuration.listen), "127.0.0.1:4100");
  EXPECT_EQ(to_string(configuration.discovery_address), "127.0.0.1:2379");
  EXPECT_EQ(configuration.seed, 0x8c1f30d27a5be964U);
  EXPECT_EQ(configuration.sockets, 256);
  EXPECT_EQ(configuration.known.updates.size(), 1U);
  EXPECT_EQ(configuration.deployment.connection_idle, std::chrono::seconds(15));
  EXPECT_EQ(configuration.deployment.connect_timeout, std::chrono::milliseconds(400));
  EXPECT_EQ(configuration.deployment.streams_per_connection, 32);
}

TEST_F(ConfigurationTest, DerivesItsBoundsFromTheLimits) {
  json config = valid_config();
  const Configuration small = read(config);
  EXPECT_LE(small.max_cache_connections() + 256 / 3, 256) << "clients hold up to a third";
  const auto total_bytes = [](const Configuration& configuration) {
    return configuration.max_open_bytes() + configuration.max_unsent_bytes() +
           configuration.max_response_bytes() + configuration.max_partial_bytes();
  };
  EXPECT_LE(total_bytes(small), 192U << 20U);
  config["limits"]["memory_mb"] = 64;
  EXPECT_LE(total_bytes(read(config)), 64U << 20U);
  EXPECT_LT(read(config).max_open_bytes(), small.max_open_bytes());
  config["settings"]["Limits"]["MaxOpen"] = 5;
  EXPECT_EQ(read(config).max_open_requests(), 5U);
}

// With the smallest memory limit hundreds of requests and 16 responses of maximum size still fit at once.
TEST_F(ConfigurationTest, AllowsHundredsOfRequestsWithTheSmallestMemoryLimit) {
  json config = valid_config();
  config["limits"]["memory_mb"] = 32;
  const Configuration smallest = read(config);
  EXPECT_GE(smallest.max_open_bytes() / static_cast<std::size_t>(smallest.tuning.open_request_bytes), 500U);
  EXPECT_GE(smallest.max_response_bytes(), 16U * 240'000U);
  EXPECT_GE(smallest.max_unsent_bytes(), 16U * 240'000U);
}

// SIGKILL follows 0.7 s after the longest deadline, of which at most 3 s count.
TEST_F(ConfigurationTest, DerivesTheDrainTimeoutFromTheLongestDeadline) {
  json config = valid_config();
  for (const auto& [deadline_s, min_ms, max_ms] :
       {std::tuple(1.2, 1'300, 1'600), std::tuple(9.0, 3'100, 3'400)}) {
    for (json& request_class : config["settings"]["Classes"]) {
      request_class["GiveUpS"] = deadline_s;
    }
    EXPECT_GE(read(config).drain_timeout().count(), min_ms);
    EXPECT_LE(read(config).drain_timeout().count(), max_ms);
  }
}

TEST_F(ConfigurationTest, NamesTheKeyInEachError) {
  const std::vector<std::pair<std::string, json>> invalid_values{{"/listen", "nowhere"},
                                                                 {"/listen", 5},
                                                                 {"/board", "127.0.0.1"},
                                                                 {"/seed", "xyz"},
                                                                 {"/seed", 12},
                                                                 {"/limits", 3},
                                                                 {"/limits/memory_mb", "much"},
                                                                 {"/limits/memory_mb", 8},
                                                                 {"/limits/sockets", 12},
                                                                 {"/limits/sockets", 1.5},
                                                                 {"/known", 5},
                                                                 {"/known/rev", -1},
                                                                 {"/settings", 5},
                                                                 {"/settings/Classes", json::array()},
                                                                 {"/settings/Limits/AttemptsCap", -1},
                                                                 {"/settings/Classes/0/Effect", "odd"},
                                                                 {"/settings/Classes/0/GiveUpS", "long"},
                                                                 {"/name", 5},
                                                                 {"/router", {{"listen_backlog", 0}}},
                                                                 {"/router", {{"listen_backlog", "x"}}},
                                                                 {"/router", {{"no_such_key", 1}}}};
  for (const auto& [pointer, value] : invalid_values) {
    json config = valid_config();
    config[json::json_pointer(pointer)] = value;
    const std::string error = error_of(config);
    const std::string key = value.is_object()
                                ? value.begin().key()
                                : pointer.substr(pointer.find('/', 0) + 1, pointer.find('/', 1) - 1);
    EXPECT_NE(error.find(key), std::string::npos) << pointer << " = " << value << ": '" << error << "'";
  }
}

TEST(Settings, IgnoresUnknownKeysAndReplacesInvalidNumbersByDefaults) {
  const nlohmann::json settings_json = nlohmann::json::parse(R"({"Later":{"x":1},"Balancers":0,
    "Classes":[{"Name":"a","Effect":"keyed","MemorySpanS":-2,"AimStretch":-1,"New":true}],
    "Extra":{"ParentFloor":7,"ParentBreaksAt":0,"StreamKbPerS":-5,"LifetimeByClassS":[-1]},
    "Limits":{"ConnIdleS":-1,"ConnectTimeoutS":-1,"RetryAfter":true,"MaxRetryAfterS":-1},
    "Rules":{"ColdFrom":-0.5,"ColdS":-1,"OverloadFactor":-3,"OverloadForS":0,"DrainGraceS":-1}})");
  const protocol::DeploymentSettings deployment = protocol::read_deployment_settings(settings_json);
  const Settings& settings = deployment.settings;
  EXPECT_EQ(settings.classes.at(0).idempotency_window, Micros(0));
  EXPECT_EQ(settings.classes.at(0).latency_objective_stretch, 0.0);
  EXPECT_EQ(settings.classes.at(0).lifetime, Micros(0));
  EXPECT_EQ(settings.self_index, -1) << "not set";
  EXPECT_EQ(settings.parent_slow_start_from, 1.0);
  EXPECT_EQ(settings.parent_overload_factor, 1.0);
  EXPECT_EQ(settings.overload_factor, 1.0);
  EXPECT_EQ(settings.overload_span, std::chrono::seconds(1));
  EXPECT_EQ(settings.slow_start_from, 0.0);
  EXPECT_EQ(settings.slow_start_span, Micros(0));
  EXPECT_EQ(settings.drain_grace, Micros(0));
  EXPECT_EQ(settings.max_retry_after, Micros(0));
  EXPECT_EQ(settings.stream_kb_per_s, 0.0);
  EXPECT_EQ(deployment.connection_idle, Micros(0));
  EXPECT_EQ(deployment.connect_timeout, Micros(0));
  for (const char* key : {"ColdFrom", "ColdS", "OverloadFactor", "OverloadForS", "DrainGraceS"}) {
    nlohmann::json invalid = settings_json;
    invalid["Rules"][key] = "soon";
    try {
      protocol::read_deployment_settings(invalid);
      ADD_FAILURE() << key << " is a string and was accepted";
    } catch (const protocol::FormatError& error) {
      EXPECT_NE(std::string(error.what()).find(key), std::string::npos) << error.what();
    }
  }
}

TEST_F(ConfigurationTest, NamesEachMissingKey) {
  for (const char* key : {"name", "listen", "board", "known", "settings"}) {
    json config = valid_config();
    config.erase(key);
    EXPECT_EQ(error_of(config).rfind(key, 0), 0U) << key << ": " << error_of(config);
  }
}

TEST_F(ConfigurationTest, RejectsUnreadableAndMalformedFiles) {
  EXPECT_THROW(read_text("{"), ConfigurationError);
  EXPECT_THROW(read_text("[]"), ConfigurationError);
  EXPECT_THROW(read_text(""), ConfigurationError);
  sources_.file = path_ + ".missing";
  EXPECT_EQ(error_of(valid_config()).rfind("--config", 0), 0U);
  sources_.file.clear();
  Sources none;
  none.environment = [](const char*) -> const char* { return nullptr; };
  EXPECT_THROW(read_configuration(none), ConfigurationError);
}

TEST_F(ConfigurationTest, RejectsAnEnvironmentThatContradictsTheFile) {
  environment_["NODE_NAME"] = "n4";
  EXPECT_EQ(error_of(valid_config()).rfind("NODE_NAME", 0), 0U);
  environment_["NODE_NAME"] = "n3";
  environment_["NODE_LISTEN"] = "127.0.0.1:4101";
  EXPECT_EQ(error_of(valid_config()).rfind("NODE_LISTEN", 0), 0U);
}

TEST_F(ConfigurationTest, AppliesAndChecksCommandLineOptions) {
  sources_.listen = "127.0.0.1:4999";
  sources_.sets = {"listen_backlog=7"};
  const Configuration configuration = read(valid_config());
  EXPECT_EQ(configuration.listen.port, 4999);
  EXPECT_EQ(configuration.tuning.listen_backlog, 7);
  for (const char* set :
       {"listen_backlog", "listen_backlog=", "listen_backlog=x", "listen_backlog=0", "odd=1"}) {
    sources_.sets = {set};
    EXPECT_THROW(read(valid_config()), ConfigurationError) << set;
  }
}

TEST_F(ConfigurationTest, EachTuningKeyHasAValidDefaultAndADescription) {
  const Tuning defaults;
  tuning_record().each(defaults, [](const config::Key& key, const json& value) {
    Tuning into;
    EXPECT_NO_THROW(tuning_record().set(into, key.name, value, key.name)) << key.name;
    EXPECT_GT(key.description.size(), 10U) << key.name;
  });
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

TEST(CommandLine, PrintsVersionAndHelp) {
  EXPECT_EQ(run({"version"}).out.rfind("trailcourse ", 0), 0U);
  EXPECT_EQ(run({"version"}).status, 0);
  const CommandResult help = run({"--help"});
  EXPECT_EQ(help.status, 0);
  for (const char* text : {"serve", "version", "check-config", "--config", "--log-level"}) {
    EXPECT_NE(help.out.find(text), std::string::npos) << text;
  }
}

TEST(CommandLine, ReturnsDifferentStatusForUsageErrorsAndInvalidConfigurations) {
  EXPECT_EQ(run({}).status, 2);
  EXPECT_EQ(run({"dance"}).status, 2);
  EXPECT_EQ(run({"serve", "--no-such-flag"}).status, 2);
  EXPECT_EQ(run({"serve", "--log-level", "loud"}).status, 2);
  const CommandResult missing = run({"check-config", "--config", "/no/such/file"});
  EXPECT_EQ(missing.status, 1);
  EXPECT_NE(missing.errors.find("--config"), std::string::npos);
}

TEST_F(ConfigurationTest, CheckConfigPrintsTheValuesInForce) {
  read(valid_config());
  const CommandResult good = run({"check-config", "--config", path_.c_str(), "--set", "listen_backlog=9"});
  EXPECT_EQ(good.status, 0) << good.errors;
  EXPECT_NE(good.out.find("router.listen_backlog = 9"), std::string::npos);
  EXPECT_NE(good.out.find("the configuration is good"), std::string::npos);
}

}  // namespace
}  // namespace trailcourse::program
