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

constexpr int kWrongUse = 2;

struct Output {
  std::ostream& out;
  std::ostream& errors;
};

// A sub-command: how it is called, an example, its options, and what it does.
struct Command {
  const char* name;
  const char* usage;
  const char* about;
  const char* example;
  void (*add_options)(cxxopts::Options& options);
  int (*run)(const cxxopts::ParseResult& parsed, const Output& output);
};

// The command line is of the wrong form.
class WrongUse : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::string text_of(const cxxopts::ParseResult& parsed, const char* name) {
  return parsed.count(name) > 0 ? parsed[name].as<std::string>() : std::string();
}

std::vector<std::string> words_of(const cxxopts::ParseResult& parsed) {
  return parsed.count("words") > 0 ? parsed["words"].as<std::vector<std::string>>()
                                   : std::vector<std::string>();
}

std::string word(const cxxopts::ParseResult& parsed, std::size_t place, const char* what) {
  const std::vector<std::string> words = words_of(parsed);
  if (place >= words.size()) {
    throw WrongUse(std::string(what) + " is needed");
  }
  return words[place];
}

void add_words(cxxopts::Options& options) {
  options.add_options("hidden")("words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
}

void add_nothing(cxxopts::Options&) {}

void add_router_options(cxxopts::Options& options) {
  options.add_options()("c,config", "configuration file; else NODE_CONFIG names it",
                        cxxopts::value<std::string>()->default_value(""),
                        "FILE")("l,listen", "address to listen on; else NODE_LISTEN, else the file's",
                                cxxopts::value<std::string>()->default_value(""), "IP:PORT")(
      "operator", "operator's file, whose section `router` goes before the configuration's",
      cxxopts::value<std::string>()->default_value(""),
      "FILE")("s,set", "sets a tuning key, may be repeated (check-config lists them)",
              cxxopts::value<std::vector<std::string>>(), "KEY=NUMBER");
}

void add_config_option(cxxopts::Options& options) {
  options.add_options()("c,config", "operator's file", cxxopts::value<std::string>(), "FILE");
}

Sources sources_of(const cxxopts::ParseResult& parsed) {
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
  const Sources sources = sources_of(parsed);
  return serve(read_configuration(sources), [sources] { return read_configuration(sources); });
}

int run_check(const cxxopts::ParseResult& parsed, const Output& output) {
  const Configuration configuration = read_configuration(sources_of(parsed));
  std::ostream& out = output.out;
  out << "name = " << configuration.name << "\nlisten = " << to_string(configuration.listen)
      << "\nboard = " << to_string(configuration.board) << "\nlimits.memory_mb = " << configuration.memory_mb
      << "\nlimits.sockets = " << configuration.sockets
      << "\nopen requests at most = " << configuration.most_open_requests()
      << "\ncache connections at most = " << configuration.most_cache_connections() << '\n';
  tuning_record().each(configuration.tuning, [&out](const config::Key& key, const nlohmann::json& value) {
    out << "router." << key.name << " = " << value << ' ' << key.unit << "  # " << key.description << '\n';
  });
  for (const std::string& why : configuration.known.skipped) {
    out << "warning: known: skipped " << why << '\n';
  }
  out << "the configuration is good\n";
  return 0;
}

int run_version(const cxxopts::ParseResult&, const Output& output) {
  output.out << "trailcourse " << TRAILCOURSE_VERSION << '\n';
  return 0;
}

int run_config(const cxxopts::ParseResult& parsed, const Output& output) {
  const std::string action = word(parsed, 0, "schema, docs, or check FILE");
  if (action == "schema") {
    output.out << operator_schema().dump(2) << '\n';
  } else if (action == "docs") {
    output.out << operator_documentation();
  } else if (action == "check") {
    print_operator_file(read_operator_file(word(parsed, 1, "FILE"), {}), output.out);
    output.out << "the operator's file is good\n";
  } else {
    throw WrongUse("no action '" + action + "': schema, docs, or check FILE");
  }
  return 0;
}

OperatorFile operator_file(const cxxopts::ParseResult& parsed, const std::vector<std::string>& needed) {
  if (parsed.count("config") == 0) {
    throw WrongUse("--config FILE is needed");
  }
  return read_operator_file(parsed["config"].as<std::string>(), needed);
}

int run_cache_command(const cxxopts::ParseResult& parsed, const Output&) {
  return run_cache(operator_file(parsed, {"cache", "classes"}));
}
int run_origin_command(const cxxopts::ParseResult& parsed, const Output&) {
  return run_origin(operator_file(parsed, {"origin"}));
}
int run_board_command(const cxxopts::ParseResult& parsed, const Output&) {
  return run_board(operator_file(parsed, {"board"}));
}

int run_aggregator_command(const cxxopts::ParseResult& parsed, const Output&) {
  return run_aggregator(operator_file(parsed, {"aggregator", "coordination"}));
}

int run_registry_command(const cxxopts::ParseResult& parsed, const Output&) {
  return run_registry(operator_file(parsed, {"registry"}));
}

std::int64_t unix_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int run_notice(const cxxopts::ParseResult& parsed, const Output& output) {
  const std::string file = word(parsed, 0, "FILE");
  const std::string what = word(parsed, 1, "object, group or state");
  const std::string which = word(parsed, 2, "what it is about");
  nlohmann::json event;
  if (what == "object") {
    event["flush"] = {{"asset", which}, {"ms", unix_ms()}};
  } else if (what == "group") {
    const auto group = protocol::read_number<std::uint64_t>(which);
    if (!group) {
      throw WrongUse("'" + which + "' is no group");
    }
    event["flush"] = {{"collection", *group}, {"ms", unix_ms()}};
  } else {
    throw WrongUse("no kind of notice '" + what + "': object or group");
  }
  output.out << "event " << append_event(file, event) << '\n';
  return 0;
}

void add_store_options(cxxopts::Options& options) {
  add_words(options);
  options.add_options()("json", "print JSON")("yes", "drop: do it")(
      "least-share", "compact: rewrite segments of which less than this is of use",
      cxxopts::value<double>()->default_value("0.8"), "SHARE")(
      "segment-mb", "compact: size of new segments", cxxopts::value<int>()->default_value("16"), "MB");
}

int run_store(const cxxopts::ParseResult& parsed, const Output& output) {
  StoreCommand command;
  command.action = word(parsed, 0, "stat, verify, compact or drop");
  command.folder = word(parsed, 1, "DIR");
  command.json = parsed.count("json") > 0;
  command.yes = parsed.count("yes") > 0;
  command.least_share = parsed["least-share"].as<double>();
  command.segment_mb = parsed["segment-mb"].as<int>();
  const bool known = command.action == "stat" || command.action == "verify" || command.action == "compact" ||
                     command.action == "drop";
  if (!known) {
    throw WrongUse("no action '" + command.action + "': stat, verify, compact or drop");
  }
  if (command.segment_mb < 1 || command.segment_mb > 1'024 || command.least_share < 0.0 ||
      command.least_share > 1.0) {
    throw WrongUse("--segment-mb is 1 to 1024, --least-share 0 to 1");
  }
  return run_store_command(command, output.out, output.errors);
}

void add_get_options(cxxopts::Options& options) {
  add_words(options);
  options.add_options()("r,router", "where the router listens", cxxopts::value<std::string>(), "IP:PORT")(
      "class", "class of the request", cxxopts::value<std::string>()->default_value("media"), "NAME")(
      "patience", "how long to wait", cxxopts::value<std::int64_t>()->default_value("3000"), "MS")(
      "size-kb", "size told to the router", cxxopts::value<double>()->default_value("0"), "KB")(
      "got", "tag of a copy that is held here", cxxopts::value<std::string>()->default_value(""), "TAG")(
      "o,output", "write the body there", cxxopts::value<std::string>()->default_value(""), "FILE")(
      "n,repeat", "ask so often", cxxopts::value<int>()->default_value("1"), "N")("json", "print JSON");
}

int run_get(const cxxopts::ParseResult& parsed, const Output& output) {
  GetCommand command;
  command.router = text_of(parsed, "router");
  const std::string asked = word(parsed, 0, "ITEM[/PART]");
  command.request_class = parsed["class"].as<std::string>();
  command.patience_ms = parsed["patience"].as<std::int64_t>();
  command.size_kb = parsed["size-kb"].as<double>();
  command.held_tag = parsed["got"].as<std::string>();
  command.output = parsed["output"].as<std::string>();
  command.repeat = parsed["repeat"].as<int>();
  command.json = parsed.count("json") > 0;
  const auto get = [&command, &output](const std::string& item) {
    const std::size_t slash = item.find('/');
    command.item = item.substr(0, slash);
    command.part = slash == std::string::npos ? "0" : item.substr(slash + 1);
    if (command.item.size() != 16 || !protocol::read_hex<std::uint64_t>(command.item)) {
      throw WrongUse("ITEM is 16 hex digits, as in 7f3a9c21e0b4d655");
    }
    return run_get_command(command, output.out, output.errors);
  };
  if (asked != "-") {
    return get(asked);
  }
  int worst = 0;
  for (std::string line; std::getline(std::cin, line);) {
    worst = std::max(worst, get(line));
  }
  return worst;
}

void add_fleet_options(cxxopts::Options& options) {
  add_words(options);
  options.add_options()("folder", "where its files stand", cxxopts::value<std::string>()->default_value(""),
                        "DIR")("routers", "so many", cxxopts::value<int>()->default_value("4"), "N")(
      "caches", "so many", cxxopts::value<int>()->default_value("2"), "N")(
      "parents", "so many", cxxopts::value<int>()->default_value("1"), "N")(
      "zones", "names, to which caches and routers are dealt out",
      cxxopts::value<std::vector<std::string>>()->default_value("edge"), "A,B")(
      "stagger", "between two routers; 0: all at once", cxxopts::value<std::int64_t>()->default_value("0"),
      "MS")("spread", "routers spread their calls and connections (section startup)")(
      "board-calls", "calls a second that the board bears", cxxopts::value<double>()->default_value("100"),
      "N")("node-opens", "connections a second that a node accepts; 0: as they come",
           cxxopts::value<double>()->default_value("0"),
           "N")("relays", "degree of the tree by which routers pass pages on; 0: none",
                cxxopts::value<int>()->default_value("0"), "N")("snapshots", "routers keep snapshots")(
      "without-list", "routers are started without a list")(
      "faults", "a script of faults (docs/operating-start.md)",
      cxxopts::value<std::string>()->default_value(""), "FILE")(
      "draw", "so many faults are drawn from the seed", cxxopts::value<int>()->default_value("0"), "N")(
      "seed", "of the drawn faults and the load", cxxopts::value<std::uint64_t>()->default_value("1"), "N")(
      "for", "ends after so long; 0: when it is told to", cxxopts::value<double>()->default_value("0"),
      "SECONDS")("load", "requests a second to routers that are ready",
                 cxxopts::value<double>()->default_value("0"),
                 "N")("proxies", "a proxy on each link, so that what passes is counted")(
      "registry", "a store of shared truth, and routers that do the fleet's work on it")(
      "aggregators", "so many between the routers, which follow a policy, and a store; 0: none",
      cxxopts::value<int>()->default_value("0"), "N")(
      "cold", "caches and parents are listed as just started")("disk", "caches and parents have a disk tier")(
      "object-kb", "of the origin's objects", cxxopts::value<int>()->default_value("20"), "KB")(
      "origin-delay", "before each answer of the origin", cxxopts::value<int>()->default_value("0"), "MS")(
      "program", "another build for all", cxxopts::value<std::string>()->default_value(""), "FILE")(
      "router-program", "another build for the routers", cxxopts::value<std::string>()->default_value(""),
      "FILE")("json", "print JSON")("quiet", "only the figures at the end");
}

int run_fleet(const cxxopts::ParseResult& parsed, const Output& output) {
  FleetCommand command;
  command.action = word(parsed, 0, "start, status, stop or fault");
  if (command.action != "start" && command.action != "status" && command.action != "stop" &&
      command.action != "fault") {
    throw WrongUse("no action '" + command.action + "': start, status, stop or fault");
  }
  if (command.action == "fault") {
    for (std::size_t i = 1; i < words_of(parsed).size(); ++i) {
      command.fault += (i > 1 ? " " : "") + words_of(parsed)[i];
    }
    try {
      fleet::read_script("0 " + command.fault);
    } catch (const std::invalid_argument& error) {
      throw WrongUse(error.what());
    }
  }
  command.folder = parsed["folder"].as<std::string>();
  if (command.folder.empty()) {
    throw WrongUse("--folder DIR is needed");
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
  command.draw = parsed["draw"].as<int>();
  command.seed = parsed["seed"].as<std::uint64_t>();
  command.seconds = parsed["for"].as<double>();
  command.load_per_s = parsed["load"].as<double>();
  command.proxies = parsed.count("proxies") > 0;
  command.json = parsed.count("json") > 0;
  command.quiet = parsed.count("quiet") > 0;
  const bool sound = command.routers >= 1 && command.routers <= 2'000 && command.caches >= 0 &&
                     command.caches <= 500 && command.parents >= 0 && command.parents <= 100 &&
                     command.aggregators >= 0 && command.aggregators <= 100 && !command.zones.empty() &&
                     command.relay_degree >= 0 && command.object_kb >= 0 && command.object_kb <= 234;
  if (!sound) {
    throw WrongUse("1 to 2000 routers, up to 500 caches, 100 parents and 100 aggregators, one zone at least");
  }
  return run_fleet_command(command, output.out, output.errors);
}

void add_store_address(cxxopts::Options& options) {
  options.add_options()("operator", "operator's file with the section coordination",
                        cxxopts::value<std::string>()->default_value(""), "FILE")(
      "s,store", "the store's address, in its place", cxxopts::value<std::string>()->default_value(""),
      "IP:PORT")("prefix", "before all keys", cxxopts::value<std::string>()->default_value(""), "TEXT")(
      "json", "print JSON");
}

void add_members_options(cxxopts::Options& options) { add_store_address(options); }

void add_work_options(cxxopts::Options& options) {
  add_words(options);
  add_store_address(options);
  options.add_options()("shard", "hand-over: this shard; all where none is named",
                        cxxopts::value<int>()->default_value("-1"), "N")(
      "kind", "add: fill, probe or report", cxxopts::value<std::string>()->default_value("fill"), "KIND")(
      "zone", "add: whose routers do it; all where none is named",
      cxxopts::value<std::string>()->default_value(""),
      "NAME")("shards", "add: in so many pieces", cxxopts::value<int>()->default_value("1"), "N")(
      "class", "add fill: class of the objects", cxxopts::value<std::string>()->default_value("media"),
      "NAME")("at", "add fill: seconds from now, or @MS of Unix time",
              cxxopts::value<std::string>()->default_value(""),
              "WHEN")("rate", "add fill: objects a second, of each shard; 0: as they are answered",
                      cxxopts::value<double>()->default_value("0"),
                      "N")("objects", "add fill: a file of ITEM or ITEM/PART, one a line; -: standard input",
                           cxxopts::value<std::string>()->default_value(""), "FILE");
}

coordination::CoordinationOptions store_of(const cxxopts::ParseResult& parsed) {
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
    throw WrongUse("--store IP:PORT or --operator FILE is needed");
  }
  return out;
}

std::vector<std::string> lines_of(const std::string& file) {
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
    throw WrongUse("--objects: cannot read '" + file + "'");
  }
  return out;
}

int run_members(const cxxopts::ParseResult& parsed, const Output& output) {
  WorkCommand command;
  command.store = store_of(parsed);
  command.action = "members";
  command.json = parsed.count("json") > 0;
  return run_work_command(command, output.out, output.errors);
}

int run_work(const cxxopts::ParseResult& parsed, const Output& output) {
  WorkCommand command;
  command.action = word(parsed, 0, "list, show, add, remove, pause, resume, hand-over or report");
  const std::vector<std::string> alone{"list", "report"};
  const std::vector<std::string> named{"show", "add", "remove", "pause", "resume", "hand-over"};
  if (std::find(named.begin(), named.end(), command.action) != named.end()) {
    command.name = word(parsed, 1, "NAME");
  } else if (std::find(alone.begin(), alone.end(), command.action) == alone.end()) {
    throw WrongUse("no action '" + command.action +
                   "': list, show, add, remove, pause, resume, hand-over or report");
  }
  command.store = store_of(parsed);
  command.json = parsed.count("json") > 0;
  command.shard = parsed["shard"].as<int>();
  command.kind = parsed["kind"].as<std::string>();
  command.zone = parsed["zone"].as<std::string>();
  command.shards = parsed["shards"].as<int>();
  command.request_class = parsed["class"].as<std::string>();
  command.at = parsed["at"].as<std::string>();
  command.objects_per_s = parsed["rate"].as<double>();
  if (command.action == "add" && command.kind == "fill") {
    command.objects = lines_of(parsed["objects"].as<std::string>());
  }
  try {
    return run_work_command(command, output.out, output.errors);
  } catch (const std::invalid_argument& error) {
    throw WrongUse(error.what());
  }
}

void add_policy_options(cxxopts::Options& options) {
  add_words(options);
  add_store_address(options);
  options.add_options()("author", "propose: who", cxxopts::value<std::string>()->default_value(""), "NAME")(
      "reason", "propose, abort: why", cxxopts::value<std::string>()->default_value(""), "TEXT")(
      "content-of", "propose: the content of an earlier version",
      cxxopts::value<std::string>()->default_value(""),
      "VERSION")("urgent", "propose: before a change that has not committed")(
      "wait", "propose, acknowledged: until it is done")(
      "stages", "propose: these zones first, one after the other", cxxopts::value<std::vector<std::string>>(),
      "A,B")("watch", "propose: for which a stage is watched", cxxopts::value<double>()->default_value("60"),
             "SECONDS")("most-refused", "propose: share refused or failed that turns a stage back",
                        cxxopts::value<double>()->default_value("0.05"),
                        "SHARE")("forget", "acknowledged: ask for nothing any more; remove the work first")(
      "for", "wait, --wait: at most", cxxopts::value<double>()->default_value("120"), "SECONDS");
}

int run_policy(const cxxopts::ParseResult& parsed, const Output& output) {
  PolicyCommand command;
  constexpr const char* kActions = "check, diff, propose, status, wait, abort, history, show or acknowledged";
  command.action = word(parsed, 0, kActions);
  const std::vector<std::string> known{"check", "diff",    "propose", "status",      "wait",
                                       "abort", "history", "show",    "acknowledged"};
  if (std::find(known.begin(), known.end(), command.action) == known.end()) {
    throw WrongUse("no action '" + command.action + "': " + kActions);
  }
  command.version = parsed["content-of"].as<std::string>();
  const bool takes_file = command.action == "check" || command.action == "diff" ||
                          (command.action == "propose" && command.version.empty());
  if (takes_file) {
    command.file = word(parsed, 1, "FILE");
  } else if (command.action == "show" && words_of(parsed).size() > 1) {
    command.version = words_of(parsed)[1];
  } else if (command.action == "acknowledged" && words_of(parsed).size() > 1) {
    const auto event = protocol::read_number<std::uint64_t>(words_of(parsed)[1]);
    if (!event) {
      throw WrongUse("acknowledged: '" + words_of(parsed)[1] + "' is no number of an event");
    }
    command.event = *event;
  }
  if (command.action != "check") {
    command.store = store_of(parsed);
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
  command.most_refused = parsed["most-refused"].as<double>();
  command.longest_s = parsed["for"].as<double>();
  command.json = parsed.count("json") > 0;
  if (command.watch_s < 0.0 || command.watch_s > 86'400.0 || command.most_refused < 0.0 ||
      command.most_refused > 1.0) {
    throw WrongUse("--watch is 0 to 86400 seconds, --most-refused 0 to 1");
  }
  return run_policy_command(command, output.out, output.errors);
}

const std::vector<Command>& commands() {
  static const std::vector<Command> kCommands{
      {"serve", "[OPTION...]", "runs the router", "trailcourse serve --config config.json",
       add_router_options, run_serve},
      {"check-config", "[OPTION...]", "says what is in force for the router, or which key is at fault",
       "trailcourse check-config --config config.json", add_router_options, run_check},
      {"cache", "--config FILE", "runs a cache node, with a disk tier where the file names a folder",
       "trailcourse cache --config deploy/operator.json", add_config_option, run_cache_command},
      {"store", "stat|verify|compact|drop DIR", "looks into, checks, tidies or empties a disk tier",
       "trailcourse store verify /var/cache/trailcourse --json", add_store_options, run_store},
      {"config", "schema|docs|check FILE", "the operator's file: its JSON Schema, its page, what is in force",
       "trailcourse config check deploy/operator.json", add_words, run_config},
      {"get", "--router IP:PORT ITEM[/PART]|-",
       "asks a router as a web server would; -: items from standard input",
       "trailcourse get --router 127.0.0.1:4100 7f3a9c21e0b4d655", add_get_options, run_get},
      {"origin", "--config FILE", "runs a small origin, for trying things out",
       "trailcourse origin --config operator.json", add_config_option, run_origin_command},
      {"board", "--config FILE", "runs a small notice board, for trying things out",
       "trailcourse board --config operator.json", add_config_option, run_board_command},
      {"registry", "--config FILE",
       "runs a store of shared truth of one process, in the form of etcd's v3 interface",
       "trailcourse registry --config operator.json", add_config_option, run_registry_command},
      {"aggregator", "--config FILE",
       "runs an aggregator: permission for the routers of a region, under one of its own at the store",
       "trailcourse aggregator --config operator.json", add_config_option, run_aggregator_command},
      {"notice", "FILE object ID|group N", "adds a purge to a notice board's file",
       "trailcourse notice board.json object 7f3a9c21e0b4d655", add_words, run_notice},
      {"fleet", "start|status|stop|fault --folder DIR",
       "runs a fleet of this program on loopback, with faults played against it, for trying things out",
       "trailcourse fleet start --folder /tmp/fleet --routers 20 --spread --for 10", add_fleet_options,
       run_fleet},
      {"work", "list|show|add|remove|pause|resume|hand-over|report [NAME] --store IP:PORT",
       "the work that one router does for all: what there is, who owns it, and what staff do to it",
       "trailcourse work add evening --store 127.0.0.1:2379 --objects list.txt --shards 4 --at 600",
       add_work_options, run_work},
      {"policy",
       "check|diff|propose|status|wait|abort|history|show|acknowledged [FILE|VERSION|EVENT] --store IP:PORT",
       "the fleet's policy: what is in force, and changes that take hold everywhere or nowhere",
       "trailcourse policy propose evening.json --store 127.0.0.1:2379 --author kim --wait",
       add_policy_options, run_policy},
      {"members", "--store IP:PORT", "the routers that the store hears, and how each stands",
       "trailcourse members --store 127.0.0.1:2379 --json", add_members_options, run_members},
      {"version", "", "says which version this is", "trailcourse version", add_nothing, run_version}};
  return kCommands;
}

std::string help_of_all() {
  std::string out =
      "A router in front of tiers of caches.\nUsage:\n  trailcourse COMMAND [OPTION...]\n\nCommands:\n";
  for (const Command& command : commands()) {
    out += "  " + std::string(command.name) + " " + command.usage + "\n      " + command.about + "\n";
  }
  return out +
         "\nOptions of every command:\n  -h, --help             its usage, options and an example\n"
         "      --log-level LEVEL  debug, info, warning or error (default: info)\n"
         "\nExit status: 0; 1 it failed; 2 wrong use; more under each command in docs/commands.md.\n";
}

cxxopts::Options options_of(const Command& command) {
  cxxopts::Options options(std::string("trailcourse ") + command.name,
                           std::string(command.about) + "\nExample: " + command.example);
  options.custom_help(command.usage);
  options.positional_help("");
  options.add_options()("log-level", "debug, info, warning or error",
                        cxxopts::value<std::string>()->default_value("info"),
                        "LEVEL")("h,help", "print this help");
  command.add_options(options);
  return options;
}

int run_one(const Command& command, int count, const char* const* words, const Output& output) {
  cxxopts::Options options = options_of(command);
  const cxxopts::ParseResult parsed = options.parse(count, words);
  if (parsed.count("help") > 0) {
    output.out << options.help({""}) << '\n';
    return 0;
  }
  const std::string told = parsed["log-level"].as<std::string>();
  const auto level = transport::parse_level(told);
  if (!level) {
    throw WrongUse("--log-level: '" + told + "' is no level");
  }
  transport::set_log_level(*level);
  return command.run(parsed, output);
}

}  // namespace

int run_command(int count, const char* const* words, std::ostream& out, std::ostream& errors) {
  const Output output{out, errors};
  const std::string name = count > 1 ? words[1] : "";
  if (name == "help" || name == "--help" || name == "-h") {
    out << help_of_all();
    return 0;
  }
  for (const Command& command : commands()) {
    if (name != command.name) {
      continue;
    }
    try {
      return run_one(command, count - 1, words + 1, output);
    } catch (const ConfigurationError& error) {
      errors << "trailcourse: configuration: " << error.what() << '\n';
    } catch (const cxxopts::exceptions::exception& error) {
      errors << "trailcourse: " << error.what() << '\n';
      return kWrongUse;
    } catch (const WrongUse& error) {
      errors << "trailcourse: " << name << ": " << error.what() << '\n';
      return kWrongUse;
    } catch (const std::exception& error) {
      errors << "trailcourse: " << error.what() << '\n';
    }
    return 1;
  }
  errors << "trailcourse: " << (name.empty() ? "a sub-command is needed" : "no sub-command " + name) << '\n'
         << help_of_all();
  return kWrongUse;
}

}  // namespace trailcourse::program
