#include "program/command_line.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <ostream>
#include <string>
#include <vector>

#include "program/configuration.h"
#include "program/serve.h"
#include "transport/log.h"

#ifndef TRAILCOURSE_VERSION
#define TRAILCOURSE_VERSION "unknown"
#endif

namespace trailcourse::program {
namespace {

constexpr int kWrongUse = 2;

cxxopts::Options make_options() {
  cxxopts::Options options("trailcourse", "A router in front of tiers of caches.");
  options.custom_help("serve|version|check-config [OPTION...]");
  options.positional_help("");
  options.add_options()("c,config", "configuration file; else NODE_CONFIG names it",
                        cxxopts::value<std::string>()->default_value(""),
                        "FILE")("l,listen", "address to listen on; else NODE_LISTEN, else the file's",
                                cxxopts::value<std::string>()->default_value(""), "IP:PORT")(
      "s,set", "sets a tuning key, may be repeated (check-config lists them)",
      cxxopts::value<std::vector<std::string>>(), "KEY=NUMBER")(
      "log-level", "debug, info, warning or error", cxxopts::value<std::string>()->default_value("info"),
      "LEVEL")("h,help", "print this help");
  options.add_options("hidden")("command", "", cxxopts::value<std::string>()->default_value(""));
  options.parse_positional({"command"});
  return options;
}

Sources sources_of(const cxxopts::ParseResult& parsed) {
  Sources sources;
  sources.environment = [](const char* name) -> const char* { return std::getenv(name); };
  sources.file = parsed["config"].as<std::string>();
  sources.listen = parsed["listen"].as<std::string>();
  if (parsed.count("set") > 0) {
    sources.sets = parsed["set"].as<std::vector<std::string>>();
  }
  return sources;
}

void print_configuration(const Configuration& configuration, std::ostream& out) {
  out << "name = " << configuration.name << "\nlisten = " << to_string(configuration.listen)
      << "\nboard = " << to_string(configuration.board) << "\nlimits.memory_mb = " << configuration.memory_mb
      << "\nlimits.sockets = " << configuration.sockets
      << "\nopen requests at most = " << configuration.most_open_requests()
      << "\ncache connections at most = " << configuration.most_cache_connections() << '\n';
  for (const TuningKey& key : tuning_keys()) {
    out << "router." << key.name << " = " << configuration.tuning.*key.value << ' ' << key.unit << "  # "
        << key.reason << '\n';
  }
  for (const std::string& why : configuration.known.skipped) {
    out << "warning: known: skipped " << why << '\n';
  }
  out << "the configuration is good\n";
}

}  // namespace

int run_command(int count, const char* const* words, std::ostream& out, std::ostream& errors) {
  cxxopts::Options options = make_options();
  try {
    const cxxopts::ParseResult parsed = options.parse(count, words);
    const std::string command = parsed["command"].as<std::string>();
    if (parsed.count("help") > 0 || command == "help") {
      out << options.help({""}) << '\n';
      return 0;
    }
    const auto level = transport::level_named(parsed["log-level"].as<std::string>());
    if (!level) {
      errors << "trailcourse: --log-level: '" << parsed["log-level"].as<std::string>() << "' is no level\n";
      return kWrongUse;
    }
    transport::set_log_level(*level);
    if (command == "version") {
      out << "trailcourse " << TRAILCOURSE_VERSION << '\n';
      return 0;
    }
    if (command == "check-config") {
      print_configuration(read_configuration(sources_of(parsed)), out);
      return 0;
    }
    if (command == "serve") {
      const Sources sources = sources_of(parsed);
      return serve(read_configuration(sources), [sources] { return read_configuration(sources); });
    }
    errors << "trailcourse: " << (command.empty() ? "a sub-command is needed" : "no sub-command " + command)
           << '\n'
           << options.help({""}) << '\n';
    return kWrongUse;
  } catch (const ConfigurationError& error) {
    errors << "trailcourse: configuration: " << error.what() << '\n';
  } catch (const cxxopts::exceptions::exception& error) {
    errors << "trailcourse: " << error.what() << '\n';
    return kWrongUse;
  } catch (const std::exception& error) {
    errors << "trailcourse: " << error.what() << '\n';
  }
  return 1;
}

}  // namespace trailcourse::program
