#include "program/configuration.h"

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "protocol/json_fields.h"
#include "protocol/numbers.h"

namespace trailcourse::program {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t kMinSockets = 64;
constexpr std::int64_t kMinMemoryMb = 32;
constexpr std::int64_t kReservedSockets = 16;  // standard streams, epoll, listener, calls to discovery, spare
constexpr std::size_t kDefaultMaxOpenRequests = 4096;

constexpr std::size_t kDefaultMemoryShare = 256U << 20U;  // bytes, without a memory limit

[[noreturn]] void fail(const std::string& key, const std::string& reason) {
  throw ConfigurationError(key + ": " + reason);
}

std::optional<std::string> environment_variable(const Sources& sources, const char* name) {
  const char* value = sources.environment(name);
  return value != nullptr && *value != '\0' ? std::optional<std::string>(value) : std::nullopt;
}

json read_file(const std::string& key, const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file.is_open() || file.bad()) {
    fail(key, "cannot read " + path);
  }
  json parsed = json::parse(text, nullptr, false, true);  // with comments
  if (parsed.is_discarded() || !parsed.is_object()) {
    fail(key, path + " is not a JSON object");
  }
  return parsed;
}

transport::Address parse_address(const std::string& key, const std::string& text) {
  const std::optional<transport::Address> address = transport::parse_address(text);
  if (!address) {
    fail(key, "'" + text + "' is not an address like 10.0.0.4:4100");
  }
  return *address;
}

// Calls `read` and turns its errors into a ConfigurationError for `key`.
template <typename Read>
auto with_error_key(const std::string& key, Read read) {
  try {
    return read();
  } catch (const config::KeyError& error) {
    throw ConfigurationError(error.what());
  } catch (const protocol::FormatError& error) {
    fail(key, error.what());
  } catch (const json::exception& error) {
    fail(key, error.what());
  }
}

std::string string_or_empty(const json& source, const char* key) {
  return with_error_key(key, [&] { return protocol::string_or_default(source, key, ""); });
}

std::uint64_t read_seed(const json& source) {
  const std::string text = string_or_empty(source, "seed");
  const std::optional<std::uint64_t> seed = protocol::read_hex<std::uint64_t>(text);
  if (!seed) {
    fail("seed", "'" + text + "' is not a number of up to 16 hex digits");
  }
  return *seed;
}

// Returns the text of all keys whose change needs a restart.
std::string restart_keys_of(json source) {
  for (const char* key : {"board", "known", "seed"}) {
    source.erase(key);
  }
  return source.dump();
}

// Applies the section `router` of the operator's file, then that of the configuration file, then the options
// of the command line. Later values override earlier ones.
void read_tuning(const json& source, const Sources& sources, Tuning& tuning) {
  const auto apply = [&tuning](const json& section) {
    for (const auto& [name, value] : section.items()) {
      tuning_record().set(tuning, name, value, name);
    }
  };
  if (!sources.operator_file.empty()) {
    const json file = read_file("--operator", sources.operator_file);
    apply(with_error_key("router", [&]() -> const json& { return protocol::section(file, "router"); }));
  }
  apply(with_error_key("router", [&]() -> const json& { return protocol::section(source, "router"); }));
  for (const std::string& set : sources.sets) {
    const std::size_t equals = set.find('=');
    const std::optional<std::int64_t> value =
        equals == std::string::npos ? std::nullopt
                                    : protocol::read_number<std::int64_t>(set.substr(equals + 1));
    if (!value) {
      fail(set.substr(0, equals), "does not have the form KEY=NUMBER");
    }
    tuning_record().set(tuning, set.substr(0, equals), *value, set.substr(0, equals));
  }
}

// Reads the sections of the operator's file that a router uses.
StartSections read_start_sections(const Sources& sources) {
  StartSections out;
  if (sources.operator_file.empty()) {
    return out;
  }
  const json file = read_file("--operator", sources.operator_file);
  const auto read = [&file](const auto& record, auto& into) {
    const json* section = protocol::find(file, record.section().c_str());
    if (section != nullptr) {
      into = record.read(*section);
    }
    return section != nullptr;
  };
  out.has_startup = read(startup::start_record(), out.startup);
  out.has_snapshot = read(snapshot::snapshot_record(), out.snapshot);
  out.has_relay = read(relay_record(), out.relay);
  read(coordination::coordination_record(), out.coordination);
  read(aggregation::aggregation_record(), out.aggregation);
  read(tasks::ownership_record(), out.ownership);
  read(policy::policy_record(), out.policy);
  check_relay(out.relay);
  check_coordination(out.coordination);
  aggregation::check_aggregation(out.aggregation);
  tasks::check_ownership(out.ownership);
  policy::check_policy(out.policy);
  if (out.policy.follow && out.coordination.store == "none" && out.aggregation.endpoints.empty()) {
    fail("policy.follow",
         "needs a store in the section coordination or an endpoint in the section aggregation");
  }
  return out;
}

void read_limits(const json& source, Configuration& out) {
  const json& limits =
      with_error_key("limits", [&]() -> const json& { return protocol::section(source, "limits"); });
  out.memory_mb = with_error_key("limits.memory_mb",
                                 [&] { return protocol::integer_or_default(limits, "memory_mb", 0); });
  out.sockets =
      with_error_key("limits.sockets", [&] { return protocol::integer_or_default(limits, "sockets", 0); });
  rlimit system{};
  const bool limited = ::getrlimit(RLIMIT_NOFILE, &system) == 0 && system.rlim_cur != RLIM_INFINITY;
  const std::int64_t process_limit = limited ? static_cast<std::int64_t>(system.rlim_cur) : out.sockets;
  out.sockets = out.sockets > 0 ? std::min(out.sockets, process_limit) : process_limit;
  if (out.sockets < kMinSockets) {
    fail("limits.sockets", std::to_string(out.sockets) + " descriptors are too few, the minimum is " +
                               std::to_string(kMinSockets));
  }
  if (out.memory_mb != 0 && out.memory_mb < kMinMemoryMb) {
    fail("limits.memory_mb",
         std::to_string(out.memory_mb) + " MB are too few, the minimum is " + std::to_string(kMinMemoryMb));
  }
}

}  // namespace

void check_relay(const RelayOptions& relay) {
  if (!relay.listen.empty()) {
    parse_address("relay.listen", relay.listen);
  }
  for (const std::string& peer : relay.peers) {
    const std::size_t equals = peer.find('=');
    const bool named = equals != std::string::npos && equals > 0 && peer.find(',') == std::string::npos;
    if (!named || !transport::parse_address(peer.substr(equals + 1))) {
      fail("relay.peers", "'" + peer + "' does not have the form NAME=IP:PORT");
    }
  }
}

void check_coordination(const coordination::CoordinationOptions& coordination) {
  if (coordination.store == "etcd" && coordination.endpoints.empty()) {
    fail("coordination.endpoints", "is empty, but the store is etcd");
  }
  for (const std::string& endpoint : coordination.endpoints) {
    parse_address("coordination.endpoints", endpoint);
  }
  if (coordination.store == "embedded" && coordination.folder.empty()) {
    fail("coordination.folder", "is empty, but the store is embedded");
  }
  if (!coordination.store_id.empty() &&
      protocol::read_number<std::uint64_t>(coordination.store_id).value_or(0) == 0) {
    fail("coordination.store_id", "'" + coordination.store_id + "' is not a store id");
  }
}

namespace {

using config::IntegerRange;

void add_client_keys(config::Record<Tuning>& record) {
  record
      .integer("listen_backlog", &Tuning::listen_backlog, "connections", IntegerRange{1, 65'535},
               "connections that may wait to be accepted; the router also answers requests on connections "
               "that only the system has accepted")
      .integer(
          "client_idle_ms", &Tuning::client_idle_ms, "ms", IntegerRange{1'000, 3'600'000},
          "idle time after which a client connection is closed; clients close after 4 s, so this reclaims "
          "the connections of clients that vanished or do not close")
      .integer("client_request_ms", &Tuning::client_request_ms, "ms", IntegerRange{100, 3'600'000},
               "timeout of the first valid request of a connection, and of the rest of a partial message")
      .integer(
          "client_young_ms", &Tuning::client_young_ms, "ms", IntegerRange{0, 60'000},
          "time after its accept for which a connection is not closed to free its descriptor, because its "
          "request may be on its way")
      .integer("client_share_percent", &Tuning::client_share_percent, "percent", IntegerRange{5, 80},
               "share of the descriptors that clients may hold; they usually hold a third, and some "
               "connections stay open for long")
      .integer("client_untaken_answers", &Tuning::client_untaken_answers, "answers", IntegerRange{64, 65'535},
               "maximum responses that wait to be sent on one connection; the connection of a client that "
               "sends requests without reading responses is closed")
      .integer("client_untaken_bytes", &Tuning::client_untaken_bytes, "bytes",
               IntegerRange{4'096, 16'777'216},
               "maximum unsent bytes on one connection, checked when a rejection or a management response is "
               "added")
      .integer(
          "client_lead_ms", &Tuning::client_lead_ms, "ms", IntegerRange{0, 1'000},
          "time that a request is assumed to need from the client to the router; a deadline counts from the "
          "moment the client sent the request")
      .integer(
          "client_stall_ms", &Tuning::client_stall_ms, "ms", IntegerRange{100, 3'600'000},
          "time without progress after which the connection of a client that does not read its responses "
          "is closed")
      .integer("client_send_buffer", &Tuning::client_send_buffer, "bytes", IntegerRange{0, 16'777'216},
               "size of the system's send buffer of one client; 0: the system's default")
      .integer("answer_record_bytes", &Tuning::answer_record_bytes, "bytes", IntegerRange{512, 65'535},
               "size of the records in which responses on one connection are interleaved, so that a large "
               "one does not block small ones")
      .integer("write_low_mark", &Tuning::write_low_mark, "bytes", IntegerRange{1'024, 16'777'216},
               "bytes handed to a connection before its socket has accepted them");
}

void add_cache_keys(config::Record<Tuning>& record) {
  record
      .integer("cache_connections", &Tuning::cache_connections, "connections", IntegerRange{1, 1'024},
               "maximum connections to one cache; a large response delays those behind it on its connection")
      .integer("cache_silent_ms", &Tuning::cache_silent_ms, "ms", IntegerRange{10, 600'000},
               "time without data from a cache, after a request that was abandoned, after which its "
               "connections are closed")
      .integer(
          "cache_stall_ms", &Tuning::cache_stall_ms, "ms", IntegerRange{10, 600'000},
          "time without progress of a partial response after which the connection to its cache is closed")
      .integer("answer_bytes", &Tuning::answer_bytes, "bytes", IntegerRange{1'024, 67'108'864},
               "maximum size of a response of a cache; objects have at most 240,000 bytes");
}

void add_discovery_keys(config::Record<Tuning>& record) {
  record
      .integer("board_linger_ms", &Tuning::board_linger_ms, "ms", IntegerRange{0, 5'000},
               "long-poll timeout that is requested of the discovery service")
      .integer("board_grace_ms", &Tuning::board_grace_ms, "ms", IntegerRange{10, 60'000},
               "time after the long-poll timeout at which a poll of the discovery service has failed; its "
               "response is still accepted when it arrives later")
      .integer("board_pause_ms", &Tuning::board_pause_ms, "ms", IntegerRange{1, 60'000},
               "mean backoff after the first failed poll; doubles with each further failure")
      .integer("board_most_pause_ms", &Tuning::board_most_pause_ms, "ms", IntegerRange{1, 60'000},
               "maximum mean backoff between failed polls; an update of the discovery service takes effect "
               "2 s after a connection loss, whether or not the router has received it");
}

void add_drain_and_memory_keys(config::Record<Tuning>& record) {
  record
      .integer("drain_linger_ms", &Tuning::drain_linger_ms, "ms", IntegerRange{0, 60'000},
               "minimum time to accept requests after SIGTERM; they arrive for up to 0.6 s after it")
      .integer("drain_quiet_ms", &Tuning::drain_quiet_ms, "ms", IntegerRange{0, 60'000},
               "time without a new request after which a draining router stops accepting, so that delayed "
               "requests are still served")
      .integer("drain_answer_ms", &Tuning::drain_answer_ms, "ms", IntegerRange{100, 600'000},
               "maximum time after SIGTERM to answer open requests; less where the longest deadline of the "
               "settings is shorter")
      .integer("drain_late_ms", &Tuning::drain_late_ms, "ms", IntegerRange{0, 60'000},
               "extra time to answer requests that arrived late; the platform sends SIGKILL 0.7 s after "
               "the longest deadline")
      .integer("base_memory_mb", &Tuning::base_memory_mb, "MB", IntegerRange{1, 1'024},
               "memory of the program itself, its tables and the allocator's overhead; the rest is divided "
               "between the limits")
      .integer(
          "open_request_bytes", &Tuning::open_request_bytes, "bytes", IntegerRange{1'024, 67'108'864},
          "memory counted for each open request in addition to its body; responses are counted separately");
}

}  // namespace

const config::Record<Tuning>& tuning_record() {
  static const config::Record<Tuning> kRecord = [] {
    config::Record<Tuning> record(
        "router", "Socket and memory settings of the router; none of them changes a routing decision.");
    add_client_keys(record);
    add_cache_keys(record);
    add_discovery_keys(record);
    add_drain_and_memory_keys(record);
    return record;
  }();
  return kRecord;
}

std::size_t Configuration::max_open_requests() const {
  return deployment.max_open_requests > 0 ? static_cast<std::size_t>(deployment.max_open_requests)
                                          : kDefaultMaxOpenRequests;
}

std::size_t Configuration::memory_share(std::int64_t divisor) const {
  const std::int64_t available = std::max<std::int64_t>(1, memory_mb - tuning.base_memory_mb) * 1'048'576;
  return memory_mb == 0 ? kDefaultMemoryShare : static_cast<std::size_t>(available / divisor);
}

memory::MemoryAccount::Limits Configuration::memory_limits() const {
  using memory::MemoryUse;
  memory::MemoryAccount::Limits limits;
  limits.total = memory_share(1);
  limits[MemoryUse::kPartialRequests] = max_partial_bytes();
  limits[MemoryUse::kOpenRequests] = max_open_bytes();
  limits[MemoryUse::kPartialResponses] = max_response_bytes();
  // New requests are rejected from half of this on; answers to those that are open still come.
  limits[MemoryUse::kAnswers] = 2 * max_unsent_bytes();
  return limits;
}

milliseconds Configuration::drain_timeout() const {
  milliseconds longest(0);
  for (const ClassSettings& request_class : deployment.settings.classes) {
    longest = std::max(longest, std::chrono::ceil<milliseconds>(request_class.give_up_after));
  }
  const milliseconds most(tuning.drain_answer_ms);
  return (longest.count() > 0 ? std::min(longest, most) : most) + milliseconds(tuning.drain_late_ms);
}

// Clients usually hold up to a third of the descriptors, and more are allowed because some hold idle
// connections. The rest, less what the program itself needs, is for caches.
std::size_t Configuration::max_clients() const {
  return static_cast<std::size_t>(std::max<std::int64_t>(8, sockets * tuning.client_share_percent / 100));
}

int Configuration::max_cache_connections() const {
  return static_cast<int>(std::max<std::int64_t>(8, sockets - static_cast<std::int64_t>(max_clients()) -
                                                        kReservedSockets -
                                                        std::int64_t{2} * max_lingering()));
}

int Configuration::max_lingering() const { return static_cast<int>(sockets / 32); }

Configuration read_configuration(const Sources& sources) {
  Configuration out;
  const std::optional<std::string> environment_file = environment_variable(sources, "NODE_CONFIG");
  if (sources.file.empty() && !environment_file) {
    fail("NODE_CONFIG", "is not set, and --config is not given");
  }
  const std::string file_key = sources.file.empty() ? "NODE_CONFIG" : "--config";
  const json source = read_file(file_key, sources.file.empty() ? *environment_file : sources.file);

  const std::string name = string_or_empty(source, "name");
  const std::optional<std::string> environment_name = environment_variable(sources, "NODE_NAME");
  if (environment_name && !name.empty() && *environment_name != name) {
    fail("NODE_NAME", "'" + *environment_name + "' contradicts name '" + name + "' of the configuration");
  }
  out.name = environment_name.value_or(name);
  if (out.name.empty()) {
    fail("name", "missing");
  }

  const std::string listen = string_or_empty(source, "listen");
  const std::optional<std::string> environment_listen = environment_variable(sources, "NODE_LISTEN");
  if (!sources.listen.empty()) {
    out.listen = parse_address("--listen", sources.listen);
  } else if (environment_listen) {
    out.listen = parse_address("NODE_LISTEN", *environment_listen);
    if (!listen.empty() && parse_address("listen", listen) != out.listen) {
      fail("NODE_LISTEN",
           "'" + *environment_listen + "' contradicts listen '" + listen + "' of the configuration");
    }
  } else {
    out.listen = parse_address("listen", listen);
  }

  out.discovery_address = parse_address("board", string_or_empty(source, "board"));
  out.seed = read_seed(source);
  out.restart_keys = restart_keys_of(source);
  read_limits(source, out);
  with_error_key("router", [&] { read_tuning(source, sources, out.tuning); });
  out.start = with_error_key("--operator", [&] { return read_start_sections(sources); });
  if (protocol::find(source, "settings") == nullptr) {
    fail("settings", "missing");
  }
  out.deployment =
      with_error_key("settings", [&] { return protocol::read_deployment_settings(source.at("settings")); });
  if (out.deployment.settings.classes.empty()) {
    fail("settings.Classes", "missing");
  }
  if (out.deployment.settings.max_attempts < 1) {
    fail("settings.Limits.AttemptsCap", "has to be at least 1");
  }
  if (protocol::find(source, "known") == nullptr) {
    fail("known", "missing");
  }
  out.known_text = source.at("known").dump();
  out.known = with_error_key(
      "known", [&] { return protocol::read_discovery_page(source.at("known"), out.deployment); });
  return out;
}

}  // namespace trailcourse::program
