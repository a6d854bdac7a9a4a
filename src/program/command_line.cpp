#include "program/command_line.h"

#include <algorithm>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fault_script.h"
#include "program/aggregator_command.h"
#include "program/configuration.h"
#include "program/discovery_file_server.h"
#include "program/fleet_command.h"
#include "program/get_command.h"
#include "program/node_commands.h"
#include "program/operator_file.h"
#include "program/policy_command.h"
#include "program/serve.h"
#include "program/store_commands.h"
#include "program/work_command.h"
#include "protocol/numbers.h"
#include "transport/log.h"

#ifndef TRAILCOURSE_VERSION
#define TRAILCOURSE_VERSION "unknown"
#endif

namespace trailcourse::program {
namespace {

constexpr int kUsageError = 2;

struct Output {
  std::ostream& out;
  std::ostream& errors;
};

// A sub-command.
struct Command {
  const char* name;
  const char* usage;
  const char* description;
  const char* example;
  void (*add_options)(cxxopts::Options& options);
  int (*run)(const cxxopts::ParseResult& parsed, const Output& output);
};

// The command line is invalid; what() is the reason.
class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string string_option(const cxxopts::ParseResult& parsed, const char* name) {
  return parsed.count(name) > 0 ? parsed[name].as<std::string>() : std::string();
}

std::vector<std::string> positional_arguments(const cxxopts::ParseResult& parsed) {
  return parsed.count("words") > 0 ? parsed["words"].as<std::vector<std::string>>()
                                   : std::vector<std::string>();
}

std::string argument(const cxxopts::ParseResult& parsed, std::size_t position, const char* name) {
  const std::vector<std::string> arguments = positional_arguments(parsed);
  if (position >= arguments.size()) {
    throw UsageError(std::string("missing argument: ") + name);
  }
  return arguments[position];
}

void add_positional_arguments(cxxopts::Options& options) {
  options.add_options("hidden")("words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
}

void add_no_options(cxxopts::Options&) {}

void add_router_options(cxxopts::Options& options) {
  options.add_options()("c,config", "configuration file; if not set, that of NODE_CONFIG",
                        cxxopts::value<std::string>()->default_value(""), "FILE")(
      "l,listen", "address to listen on; if not set, NODE_LISTEN or that of the configuration file",
      cxxopts::value<std::string>()->default_value(""), "IP:PORT")(
      "operator",
      "operator's file; the section `router` of the configuration file overrides its section `router`",
      cxxopts::value<std::string>()->default_value(""),
      "FILE")("s,set", "set a key of the section `router`; may be repeated (check-config lists the keys)",
              cxxopts::value<std::vector<std::string>>(), "KEY=NUMBER");
}

void add_config_option(cxxopts::Options& options) {
  options.add_options()("c,config", "operator's file", cxxopts::value<std::string>(), "FILE");
}

Sources configuration_sources(const cxxopts::ParseResult& parsed) {
  Sources sources;
  sources.environment = [](const char* name) -> const char* { return std::getenv(name); };
  sources.file = parsed["config"].as<std::string>();
  sources.listen = parsed["listen"].as<std::string>();
  sources.operator_file = parsed["operator"].as<std::string>();
  if (parsed.count("set") > 0) {
    sources.sets = parsed["set"].as<std::vector<std::string>>();
  }
  return sources;
}

int run_serve(const cxxopts::ParseResult& parsed, const Output&) {
  const Sources sources = configuration_sources(parsed);
  return serve(read_configuration(sources), [sources] { return read_configuration(sources); });
}

int run_check_config(const cxxopts::ParseResult& parsed, const Output& output) {
  const Configuration configuration = read_configuration(configuration_sources(parsed));
  std::ostream& out = output.out;
  out << "name = " << configuration.name << "\nlisten = " << to_string(configuration.listen)
      << "\nboard = " << to_string(configuration.discovery_address)
      << "\nlimits.memory_mb = " << configuration.memory_mb << "\nlimits.sockets = " << configuration.sockets
      << "\nopen requests at most = " << configuration.max_open_requests()
      << "\ncache connections at most = " << configuration.max_cache_connections() << '\n';
  tuning_record().each(configuration.tuning, [&out](const config::Key& key, const nlohmann::json& value) {
    out << "router." << key.name << " = " << value << ' ' << key.unit << "  # " << key.description << '\n';
  });
  for (const std::string& reason : configuration.known.skipped) {
    out << "warning: known: skipped " << reason << '\n';
  }
  out << "the configuration is good\n";
  return 0;
}

int run_version(const cxxopts::ParseResult&, const Output& output) {
  output.out << "trailcourse " << TRAILCOURSE_VERSION << '\n';
  return 0;
}

int run_config(const cxxopts::ParseResult& parsed, const Output& output) {
  const std::string action = argument(parsed, 0, "schema, docs, or check FILE");
  if (action == "schema") {
    output.out << operator_schema().dump(2) << '\n';
  } else if (action == "docs") {
    output.out << operator_documentation();
  } else if (action == "check") {
    print_operator_file(read_operator_file(argument(parsed, 1, "FILE"), {}), output.out);
    output.out << "the operator's file is good\n";
  } else {
    throw UsageError("unknown action '" + action + "', expected schema, docs, or check FILE");
  }
  return 0;
}

OperatorFile load_operator_file(const cxxopts::ParseResult& parsed,
                                const std::vector<std::string>& required_sections) {
  if (parsed.count("config") == 0) {
    throw UsageError("missing option: --config FILE");
  }
  return read_operator_file(parsed["config"].as<std::string>(), required_sections);
}

int run_cache_command(const cxxopts::ParseResult& parsed, const Output&) {
  return run_cache(load_operator_file(parsed, {"cache", "classes"}));
}
int run_origin_command(const cxxopts::ParseResult& parsed, const Output&) {
  return run_origin(load_operator_file(parsed, {"origin"}));
}
int run_board_command(const cxxopts::ParseResult& parsed, const Output&) {
  return run_board(load_operator_file(parsed, {"board"}));
}

int run_aggregator_command(const cxxopts::ParseResult& parsed, const Output&) {
  return run_aggregator(load_operator_file(parsed, {"aggregator", "coordination"}));
}

int run_registry_command(const cxxopts::ParseResult& parsed, const Output&) {
  return run_registry(load_operator_file(parsed, {"registry"}));
}

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int run_notice(const cxxopts::ParseResult& parsed, const Output& output) {
  const std::string file = argument(parsed, 0, "FILE");
  const std::string kind = argument(parsed, 1, "object or group");
  const std::string target = argument(parsed, 2, "ID or N");
  nlohmann::json event;
  if (kind == "object") {
    event["flush"] = {{"asset", target}, {"ms", unix_ms()}};
  } else if (kind == "group") {
    const auto group = protocol::read_number<std::uint64_t>(target);
    if (!group) {
      throw UsageError("'" + target + "' is not the number of a group");
    }
    event["flush"] = {{"collection", *group}, {"ms", unix_ms()}};
  } else {
    throw UsageError("unknown kind of purge '" + kind + "', expected object or group");
  }
  output.out << "event " << append_event(file, event) << '\n';
  return 0;
}

void add_store_options(cxxopts::Options& options) {
  add_positional_arguments(options);
  options.add_options()("json", "print JSON")("yes", "drop: confirm the removal")(
      "least-share", "compact: rewrite segments whose share of live data is below this",
      cxxopts::value<double>()->default_value("0.8"), "SHARE")(
      "segment-mb", "compact: size of new segments, in MB", cxxopts::value<int>()->default_value("16"), "MB");
}

int run_store(const cxxopts::ParseResult& parsed, const Output& output) {
  StoreCommand command;
  command.action = argument(parsed, 0, "stat, verify, compact or drop");
  command.folder = argument(parsed, 1, "DIR");
  command.json = parsed.count("json") > 0;
  command.yes = parsed.count("yes") > 0;
  command.min_live_share = parsed["least-share"].as<double>();
  command.segment_mb = parsed["segment-mb"].as<int>();
  const bool known = command.action == "stat" || command.action == "verify" || command.action == "compact" ||
                     command.action == "drop";
  if (!known) {
    throw UsageError("unknown action '" + command.action + "', expected stat, verify, compact or drop");
  }
  if (command.segment_mb < 1 || command.segment_mb > 1'024 || command.min_live_share < 0.0 ||
      command.min_live_share > 1.0) {
    throw UsageError("--segment-mb has to be 1 to 1024, --least-share 0 to 1");
  }
  return run_store_command(command, output.out, output.errors);
}

void add_get_options(cxxopts::Options& options) {
  add_positional_arguments(options);
  options.add_options()("r,router", "address of the router", cxxopts::value<std::string>(), "IP:PORT")(
      "class", "request class", cxxopts::value<std::string>()->default_value("media"), "NAME")(
      "patience", "deadline of the request, in ms", cxxopts::value<std::int64_t>()->default_value("3000"),
      "MS")("size-kb", "expected size that is sent to the router, in KB; 0: not sent",
            cxxopts::value<double>()->default_value("0"),
            "KB")("got", "tag of the copy that the client has already",
                  cxxopts::value<std::string>()->default_value(""), "TAG")(
      "o,output", "write the body to this file", cxxopts::value<std::string>()->default_value(""), "FILE")(
      "n,repeat", "number of requests", cxxopts::value<int>()->default_value("1"), "N")("json", "print JSON");
}

int run_get(const cxxopts::ParseResult& parsed, const Output& output) {
  GetCommand command;
  command.router = string_option(parsed, "router");
  const std::string target = argument(parsed, 0, "ITEM[/PART]");
  command.request_class = parsed["class"].as<std::string>();
  command.timeout_ms = parsed["patience"].as<std::int64_t>();
  command.size_kb = parsed["size-kb"].as<double>();
  command.cached_tag = parsed["got"].as<std::string>();
  command.output = parsed["output"].as<std::string>();
  command.repeat = parsed["repeat"].as<int>();
  command.json = parsed.count("json") > 0;
  const auto get = [&command, &output](const std::string& item) {
    const std::size_t slash = item.find('/');
    command.item = item.substr(0, slash);
    command.part = slash == std::string::npos ? "0" : item.substr(slash + 1);
    if (command.item.size() != 16 || !protocol::read_hex<std::uint64_t>(command.item)) {
      throw UsageError("ITEM has to be 16 hex digits, for example 7f3a9c21e0b4d655");
    }
    return run_get_command(command, output.out, output.errors);
  };
  if (target != "-") {
    return get(target);
  }
  int worst = 0;
  for (std::string line; std::getline(std::cin, line);) {
    worst = std::max(worst, get(line));
  }
  return worst;
}

void add_fleet_options(cxxopts::Options& options) {
  add_positional_arguments(options);
  options.add_options()("folder", "working folder of the fleet",
                        cxxopts::value<std::string>()->default_value(""), "DIR")(
      "routers", "number of routers", cxxopts::value<int>()->default_value("4"), "N")(
      "caches", "number of caches", cxxopts::value<int>()->default_value("2"), "N")(
      "parents", "number of parents", cxxopts::value<int>()->default_value("1"), "N")(
      "zones", "zone names; caches and routers are assigned to them in turn",
      cxxopts::value<std::vector<std::string>>()->default_value("edge"),
      "A,B")("stagger", "delay between the starts of two routers, in ms; 0: start all at once",
             cxxopts::value<std::int64_t>()->default_value("0"),
             "MS")("spread", "set startup.spread: routers spread their calls and connections over time")(
      "board-calls", "startup.board_calls_per_s: calls per second that the discovery service can serve",
      cxxopts::value<double>()->default_value("100"), "N")(
      "node-opens", "startup.node_opens_per_s: new connections per second that a node accepts; 0: no limit",
      cxxopts::value<double>()->default_value("0"),
      "N")("relays", "number of routers that poll one relay; 0: no relays",
           cxxopts::value<int>()->default_value("0"), "N")("snapshots", "routers write snapshots")(
      "without-list", "start routers without an endpoint list in their configuration")(
      "faults", "fault script to run (docs/operating-start.md)",
      cxxopts::value<std::string>()->default_value(""),
      "FILE")("draw", "number of random faults to inject", cxxopts::value<int>()->default_value("0"), "N")(
      "seed", "seed of the random faults and of the load",
      cxxopts::value<std::uint64_t>()->default_value("1"),
      "N")("for", "run time, in seconds; 0: run until a signal", cxxopts::value<double>()->default_value("0"),
           "SECONDS")("load", "requests per second to routers that are ready",
                      cxxopts::value<double>()->default_value("0"),
                      "N")("proxies", "run a proxy on each link, which counts calls and connections")(
      "registry", "run a coordination store, and let the routers own the fleet's work")(
      "aggregators",
      "number of aggregators between a coordination store and the routers, which follow a policy; 0: none",
      cxxopts::value<int>()->default_value("0"), "N")("cold", "list caches and parents as just started")(
      "disk", "run caches and parents with a disk tier")("object-kb", "size of the origin's objects, in KB",
                                                         cxxopts::value<int>()->default_value("20"), "KB")(
      "origin-delay", "delay before each response of the origin, in ms",
      cxxopts::value<int>()->default_value("0"),
      "MS")("program", "program for all processes; if not set, this program",
            cxxopts::value<std::string>()->default_value(""),
            "FILE")("router-program", "program for the routers; if not set, that of --program",
                    cxxopts::value<std::string>()->default_value(""),
                    "FILE")("json", "print JSON")("quiet", "print only the summary at the end");
}

int run_fleet(const cxxopts::ParseResult& parsed, const Output& output) {
  FleetCommand command;
  command.action = argument(parsed, 0, "start, status, stop or fault");
  if (command.action != "start" && command.action != "status" && command.action != "stop" &&
      command.action != "fault") {
    throw UsageError("unknown action '" + command.action + "', expected start, status, stop or fault");
  }
  if (command.action == "fault") {
    for (std::size_t i = 1; i < positional_arguments(parsed).size(); ++i) {
      command.fault += (i > 1 ? " " : "") + positional_arguments(parsed)[i];
    }
    try {
      fleet::read_script("0 " + command.fault);
    } catch (const std::invalid_argument& error) {
      throw UsageError(error.what());
    }
  }
  command.folder = parsed["folder"].as<std::string>();
  if (command.folder.empty()) {
    throw UsageError("missing option: --folder DIR");
  }
  command.program = parsed["program"].as<std::string>();
  if (command.program.empty()) {
    command.program = std::filesystem::read_symlink("/proc/self/exe");
  }
  command.registry = parsed.count("registry") > 0;
  command.aggregators = parsed["aggregators"].as<int>();
  command.cold = parsed.count("cold") > 0;
  command.disk = parsed.count("disk") > 0;
  command.object_kb = parsed["object-kb"].as<int>();
  command.origin_delay_ms = parsed["origin-delay"].as<int>();
  command.router_program = parsed["router-program"].as<std::string>();
  command.routers = parsed["routers"].as<int>();
  command.caches = parsed["caches"].as<int>();
  command.parents = parsed["parents"].as<int>();
  command.zones = parsed["zones"].as<std::vector<std::string>>();
  command.stagger_ms = parsed["stagger"].as<std::int64_t>();
  command.spread = parsed.count("spread") > 0;
  command.board_calls_per_s = parsed["board-calls"].as<double>();
  command.node_opens_per_s = parsed["node-opens"].as<double>();
  command.relay_degree = parsed["relays"].as<int>();
  command.snapshots = parsed.count("snapshots") > 0;
  command.without_list = parsed.count("without-list") > 0;
  command.faults = parsed["faults"].as<std::string>();
  command.random_faults = parsed["draw"].as<int>();
  command.seed = parsed["seed"].as<std::uint64_t>();
  command.run_time_s = parsed["for"].as<double>();
  command.load_per_s = parsed["load"].as<double>();
  command.proxies = parsed.count("proxies") > 0;
  command.json = parsed.count("json") > 0;
  command.quiet = parsed.count("quiet") > 0;
  if (!(command.routers >= 1 && command.routers <= 2'000 && command.caches >= 0 && command.caches <= 500 &&
        command.parents >= 0 && command.parents <= 100 && command.aggregators >= 0 &&
        command.aggregators <= 100 && !command.zones.empty() && command.relay_degree >= 0 &&
        command.object_kb >= 0 && command.object_kb <= 234)) {
    throw UsageError(
        "--routers has to be 1 to 2000, --caches up to 500, --parents and --aggregators up to 100, "
        "--object-kb up to 234; --zones needs at least one zone");
  }
  return run_fleet_command(command, output.out, output.errors);
}

void add_store_address(cxxopts::Options& options) {
  options.add_options()("operator", "operator's file whose section coordination names the store",
                        cxxopts::value<std::string>()->default_value(""),
                        "FILE")("s,store", "address of the store; overrides --operator",
                                cxxopts::value<std::string>()->default_value(""), "IP:PORT")(
      "prefix", "prefix of all keys; if not set, that of --operator",
      cxxopts::value<std::string>()->default_value(""), "TEXT")("json", "print JSON");
}

void add_members_options(cxxopts::Options& options) { add_store_address(options); }

void add_work_options(cxxopts::Options& options) {
  add_positional_arguments(options);
  add_store_address(options);
  options.add_options()("shard", "hand-over: shard to release; -1: all shards",
                        cxxopts::value<int>()->default_value("-1"),
                        "N")("kind", "add: kind of the work: fill, probe or report",
                             cxxopts::value<std::string>()->default_value("fill"), "KIND")(
      "zone", "add: zone whose routers may own the work; if not set, all zones",
      cxxopts::value<std::string>()->default_value(""),
      "NAME")("shards", "add: number of shards", cxxopts::value<int>()->default_value("1"), "N")(
      "class", "add fill: request class of the objects",
      cxxopts::value<std::string>()->default_value("media"),
      "NAME")("at", "add fill: start time, as seconds from now or @MS of Unix time; if not set, at once",
              cxxopts::value<std::string>()->default_value(""),
              "WHEN")("rate", "add fill: objects per second of each shard; 0: no limit",
                      cxxopts::value<double>()->default_value("0"),
                      "N")("objects", "add fill: file with one ITEM or ITEM/PART per line; -: standard input",
                           cxxopts::value<std::string>()->default_value(""), "FILE");
}

coordination::CoordinationOptions store_options(const cxxopts::ParseResult& parsed) {
  coordination::CoordinationOptions out;
  const std::string file = parsed["operator"].as<std::string>();
  const std::string address = parsed["store"].as<std::string>();
  if (!file.empty()) {
    out = read_operator_file(file, {"coordination"}).coordination;
  }
  if (!address.empty()) {
    out.store = "etcd";
    out.endpoints = {address};
    check_coordination(out);
  }
  if (const std::string prefix = parsed["prefix"].as<std::string>(); !prefix.empty()) {
    out.prefix = prefix;
  }
  if (out.store == "none") {
    throw UsageError("missing option: --store IP:PORT or --operator FILE");
  }
  return out;
}

std::vector<std::string> read_object_list(const std::string& file) {
  std::vector<std::string> out;
  const auto read = [&out](std::istream& from) {
    for (std::string line; std::getline(from, line);) {
      if (!line.empty() && line[0] != '#') {
        out.push_back(line);
      }
    }
  };
  if (file == "-") {
    read(std::cin);
  } else if (std::ifstream from(file); from.is_open()) {
    read(from);
  } else {
    throw UsageError("--objects: cannot read '" + file + "'");
  }
  return out;
}

int run_members(const cxxopts::ParseResult& parsed, const Output& output) {
  WorkCommand command;
  command.store = store_options(parsed);
  command.action = "members";
  command.json = parsed.count("json") > 0;
  return run_work_command(command, output.out, output.errors);
}

int run_work(const cxxopts::ParseResult& parsed, const Output& output) {
  WorkCommand command;
  command.action = argument(parsed, 0, "list, show, add, remove, pause, resume, hand-over or report");
  const std::vector<std::string> actions_without_name{"list", "report"};
  const std::vector<std::string> actions_with_name{"show", "add", "remove", "pause", "resume", "hand-over"};
  if (std::find(actions_with_name.begin(), actions_with_name.end(), command.action) !=
      actions_with_name.end()) {
    command.name = argument(parsed, 1, "NAME");
  } else if (std::find(actions_without_name.begin(), actions_without_name.end(), command.action) ==
             actions_without_name.end()) {
    throw UsageError("unknown action '" + command.action +
                     "', expected list, show, add, remove, pause, resume, hand-over or report");
  }
  command.store = store_options(parsed);
  command.json = parsed.count("json") > 0;
  command.shard = parsed["shard"].as<int>();
  command.kind = parsed["kind"].as<std::string>();
  command.zone = parsed["zone"].as<std::string>();
  command.shards = parsed["shards"].as<int>();
  command.request_class = parsed["class"].as<std::string>();
  command.at = parsed["at"].as<std::string>();
  command.objects_per_s = parsed["rate"].as<double>();
  if (command.action == "add" && command.kind == "fill") {
    command.objects = read_object_list(parsed["objects"].as<std::string>());
  }
  try {
    return run_work_command(command, output.out, output.errors);
  } catch (const std::invalid_argument& error) {
    throw UsageError(error.what());
  }
}

void add_policy_options(cxxopts::Options& options) {
  add_positional_arguments(options);
  add_store_address(options);
  options.add_options()("author", "propose: author of the change",
                        cxxopts::value<std::string>()->default_value(""), "NAME")(
      "reason", "propose, abort: reason of the change", cxxopts::value<std::string>()->default_value(""),
      "TEXT")("content-of", "propose: use the content of this earlier version",
              cxxopts::value<std::string>()->default_value(""),
              "VERSION")("urgent", "propose: supersede a change that has not committed")(
      "wait", "propose, acknowledged: wait until the change has ended or the event is acknowledged")(
      "stages", "propose: zones to change first, in this order", cxxopts::value<std::vector<std::string>>(),
      "A,B")("watch", "propose: time for which each stage is observed, in seconds",
             cxxopts::value<double>()->default_value("60"), "SECONDS")(
      "most-refused", "propose: share of rejected and failed requests above which a stage is reverted",
      cxxopts::value<double>()->default_value("0.05"), "SHARE")(
      "forget",
      "acknowledged: withdraw the request for acknowledgements; remove the work of kind acknowledge first")(
      "for", "wait, --wait: maximum wait, in seconds", cxxopts::value<double>()->default_value("120"),
      "SECONDS");
}

int run_policy(const cxxopts::ParseResult& parsed, const Output& output) {
  PolicyCommand command;
  constexpr const char* kActions = "check, diff, propose, status, wait, abort, history, show or acknowledged";
  command.action = argument(parsed, 0, kActions);
  const std::vector<std::string> known{"check", "diff",    "propose", "status",      "wait",
                                       "abort", "history", "show",    "acknowledged"};
  if (std::find(known.begin(), known.end(), command.action) == known.end()) {
    throw UsageError("unknown action '" + command.action + "', expected " + kActions);
  }
  command.version = parsed["content-of"].as<std::string>();
  const bool needs_file = command.action == "check" || command.action == "diff" ||
                          (command.action == "propose" && command.version.empty());
  if (needs_file) {
    command.file = argument(parsed, 1, "FILE");
  } else if (command.action == "show" && positional_arguments(parsed).size() > 1) {
    command.version = positional_arguments(parsed)[1];
  } else if (command.action == "acknowledged" && positional_arguments(parsed).size() > 1) {
    const auto event = protocol::read_number<std::uint64_t>(positional_arguments(parsed)[1]);
    if (!event) {
      throw UsageError("acknowledged: '" + positional_arguments(parsed)[1] +
                       "' is not the sequence number of an event");
    }
    command.event = *event;
  }
  if (command.action != "check") {
    command.store = store_options(parsed);
  }
  command.author = parsed["author"].as<std::string>();
  command.reason = parsed["reason"].as<std::string>();
  command.urgent = parsed.count("urgent") > 0;
  command.wait = parsed.count("wait") > 0;
  command.forget = parsed.count("forget") > 0;
  if (parsed.count("stages") > 0) {
    command.stages = parsed["stages"].as<std::vector<std::string>>();
  }
  command.watch_s = parsed["watch"].as<double>();
  command.max_rejected_share = parsed["most-refused"].as<double>();
  command.timeout_s = parsed["for"].as<double>();
  command.json = parsed.count("json") > 0;
  if (command.watch_s < 0.0 || command.watch_s > 86'400.0 || command.max_rejected_share < 0.0 ||
      command.max_rejected_share > 1.0) {
    throw UsageError("--watch has to be 0 to 86400 seconds, --most-refused 0 to 1");
  }
  return run_policy_command(command, output.out, output.errors);
}

const std::vector<Command>& commands() {
  static const std::vector<Command> kCommands{
      {"serve", "[OPTION...]", "run the router", "trailcourse serve --config config.json", add_router_options,
       run_serve},
      {"check-config", "[OPTION...]", "check the configuration of the router and print the values in force",
       "trailcourse check-config --config config.json", add_router_options, run_check_config},
      {"cache", "--config FILE", "run a cache node, with a disk tier if store.folder is set",
       "trailcourse cache --config deploy/operator.json", add_config_option, run_cache_command},
      {"store", "stat|verify|compact|drop DIR",
       "print statistics of a disk tier, verify it, compact it, or remove all its copies",
       "trailcourse store verify /var/cache/trailcourse --json", add_store_options, run_store},
      {"config", "schema|docs|check FILE",
       "print the JSON Schema or the documentation of the operator's file, or check a file and print its "
       "values",
       "trailcourse config check deploy/operator.json", add_positional_arguments, run_config},
      {"get", "--router IP:PORT ITEM[/PART]|-",
       "send a request to a router as a web server does; -: read items from standard input",
       "trailcourse get --router 127.0.0.1:4100 7f3a9c21e0b4d655", add_get_options, run_get},
      {"origin", "--config FILE", "run a small origin for tests", "trailcourse origin --config operator.json",
       add_config_option, run_origin_command},
      {"board", "--config FILE", "run a small discovery service for tests",
       "trailcourse board --config operator.json", add_config_option, run_board_command},
      {"registry", "--config FILE",
       "run a coordination server of one process with an interface like etcd's v3",
       "trailcourse registry --config operator.json", add_config_option, run_registry_command},
      {"aggregator", "--config FILE",
       "run an aggregator, which grants leases to the routers of a region under its own lease at the store",
       "trailcourse aggregator --config operator.json", add_config_option, run_aggregator_command},
      {"notice", "FILE object ID|group N", "append a purge event to the file of a discovery service",
       "trailcourse notice board.json object 7f3a9c21e0b4d655", add_positional_arguments, run_notice},
      {"fleet", "start|status|stop|fault --folder DIR",
       "run a fleet of this program on loopback with fault injection, for tests",
       "trailcourse fleet start --folder /tmp/fleet --routers 20 --spread --for 10", add_fleet_options,
       run_fleet},
      {"work", "list|show|add|remove|pause|resume|hand-over|report [NAME] --store IP:PORT",
       "list, add and control the work that one router does for the whole fleet",
       "trailcourse work add evening --store 127.0.0.1:2379 --objects list.txt --shards 4 --at 600",
       add_work_options, run_work},
      {"policy",
       "check|diff|propose|status|wait|abort|history|show|acknowledged [FILE|VERSION|EVENT] --store IP:PORT",
       "show the fleet's policy, and change it on all routers or on none",
       "trailcourse policy propose evening.json --store 127.0.0.1:2379 --author kim --wait",
       add_policy_options, run_policy},
      {"members", "--store IP:PORT", "list the routers that are registered at the store, with their status",
       "trailcourse members --store 127.0.0.1:2379 --json", add_members_options, run_members},
      {"version", "", "print the version", "trailcourse version", add_no_options, run_version}};
  return kCommands;
}

std::string general_help() {
  std::string out = "A router for tiers of caches.\nUsage:\n  trailcourse COMMAND [OPTION...]\n\nCommands:\n";
  for (const Command& command : commands()) {
    out += "  " + std::string(command.name) + " " + command.usage + "\n      " + command.description + "\n";
  }
  return out +
         "\nOptions of every command:\n  -h, --help             print usage, options and an example\n"
         "      --log-level LEVEL  debug, info, warning or error (default: info)\n"
         "\nExit status: 0 on success, 1 on failure, 2 on a usage error; docs/commands.md lists those of "
         "each command.\n";
}

cxxopts::Options make_options(const Command& command) {
  cxxopts::Options options(std::string("trailcourse ") + command.name,
                           std::string(command.description) + "\nExample: " + command.example);
  options.custom_help(command.usage);
  options.positional_help("");
  options.add_options()("log-level", "debug, info, warning or error",
                        cxxopts::value<std::string>()->default_value("info"),
                        "LEVEL")("h,help", "print this help");
  command.add_options(options);
  return options;
}

int run_subcommand(const Command& command, int count, const char* const* arguments, const Output& output) {
  cxxopts::Options options = make_options(command);
  const cxxopts::ParseResult parsed = options.parse(count, arguments);
  if (parsed.count("help") > 0) {
    output.out << options.help({""}) << '\n';
    return 0;
  }
  const std::string level_name = parsed["log-level"].as<std::string>();
  const auto level = transport::parse_level(level_name);
  if (!level) {
    throw UsageError("--log-level: '" + level_name + "' is not one of debug, info, warning, error");
  }
  transport::set_log_level(*level);
  return command.run(parsed, output);
}

}  // namespace

int run_command(int count, const char* const* arguments, std::ostream& out, std::ostream& errors) {
  const Output output{out, errors};
  const std::string name = count > 1 ? arguments[1] : "";
  if (name == "help" || name == "--help" || name == "-h") {
    out << general_help();
    return 0;
  }
  for (const Command& command : commands()) {
    if (name != command.name) {
      continue;
    }
    try {
      return run_subcommand(command, count - 1, arguments + 1, output);
    } catch (const ConfigurationError& error) {
      errors << "trailcourse: configuration: " << error.what() << '\n';
    } catch (const cxxopts::exceptions::exception& error) {
      errors << "trailcourse: " << error.what() << '\n';
      return kUsageError;
    } catch (const UsageError& error) {
      errors << "trailcourse: " << name << ": " << error.what() << '\n';
      return kUsageError;
    } catch (const std::exception& error) {
      errors << "trailcourse: " << error.what() << '\n';
    }
    return 1;
  }
  errors << "trailcourse: " << (name.empty() ? "missing sub-command" : "unknown sub-command " + name) << '\n'
         << general_help();
  return kUsageError;
}

}  // namespace trailcourse::program
