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

constexpr std::int64_t kLeastSockets = 64;
constexpr std::int64_t kLeastMemoryMb = 32;
constexpr std::int64_t kReservedSockets = 16;  // standard streams, epoll, listener, board, spare
constexpr std::size_t kOpenWithoutLimit = 4096;

constexpr std::size_t kPartWithoutLimit = 256U << 20U;

[[noreturn]] void fail(const std::string& key, const std::string& why) {
  throw ConfigurationError(key + ": " + why);
}

std::optional<std::string> variable(const Sources& sources, const char* name) {
  const char* value = sources.environment(name);
  return value != nullptr && *value != '\0' ? std::optional<std::string>(value) : std::nullopt;
}

json read_file(const std::string& key, const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file.is_open() || file.bad()) {
    fail(key, "cannot read " + path);
  }
  json parsed = json::parse(text, nullptr, false, true);  // comments are allowed
  if (parsed.is_discarded() || !parsed.is_object()) {
    fail(key, path + " is not a JSON object");
  }
  return parsed;
}

transport::Address address_of(const std::string& key, const std::string& text) {
  const std::optional<transport::Address> address = transport::parse_address(text);
  if (!address) {
    fail(key, "'" + text + "' is not an address like 10.0.0.4:4100");
  }
  return *address;
}

// Runs a reader; what it finds at fault is told under `key`.
template <typename Read>
auto under(const std::string& key, Read read) {
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

std::string text_or_empty(const json& source, const char* key) {
  return under(key, [&] { return protocol::string_or_default(source, key, ""); });
}

std::uint64_t read_seed(const json& source) {
  const std::string text = text_or_empty(source, "seed");
  const std::optional<std::uint64_t> seed = protocol::read_hex<std::uint64_t>(text);
  if (!seed) {
    fail("seed", "'" + text + "' is not a number of up to 16 hex digits");
  }
  return *seed;
}

// The section of the operator's file, then that of the router's own, then the flags.
void read_tuning(const json& source, const Sources& sources, Tuning& tuning) {
  const auto over = [&tuning](const json& section) {
    for (const auto& [name, value] : section.items()) {
      tuning_record().set(tuning, name, value, name);
    }
  };
  if (!sources.operator_file.empty()) {
    const json file = read_file("--operator", sources.operator_file);
    over(under("router", [&]() -> const json& { return protocol::section(file, "router"); }));
  }
  over(under("router", [&]() -> const json& { return protocol::section(source, "router"); }));
  for (const std::string& set : sources.sets) {
    const std::size_t equals = set.find('=');
    const std::optional<std::int64_t> value =
        equals == std::string::npos ? std::nullopt
                                    : protocol::read_number<std::int64_t>(set.substr(equals + 1));
    if (!value) {
      fail(set.substr(0, equals), "not of the form KEY=NUMBER");
    }
    tuning_record().set(tuning, set.substr(0, equals), *value, set.substr(0, equals));
  }
}

// The sections of the operator's file that the start goes by.
StartSections read_start(const Sources& sources) {
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
    fail("policy.follow", "no store is named in the section coordination, and no endpoint in aggregation");
  }
  return out;
}

void read_limits(const json& source, Configuration& out) {
  const json& limits = under("limits", [&]() -> const json& { return protocol::section(source, "limits"); });
  out.memory_mb = under("limits.memory_mb", [&] { return protocol::integer_or_default(limits, "memory_mb", 0); });
  out.sockets = under("limits.sockets", [&] { return protocol::integer_or_default(limits, "sockets", 0); });
  rlimit system{};
  const bool known = ::getrlimit(RLIMIT_NOFILE, &system) == 0 && system.rlim_cur != RLIM_INFINITY;
  const std::int64_t own = known ? static_cast<std::int64_t>(system.rlim_cur) : out.sockets;
  out.sockets = out.sockets > 0 ? std::min(out.sockets, own) : own;
  if (out.sockets < kLeastSockets) {
    fail("limits.sockets", std::to_string(out.sockets) + " descriptors are too few to serve within, " +
                               std::to_string(kLeastSockets) + " at least");
  }
  if (out.memory_mb != 0 && out.memory_mb < kLeastMemoryMb) {
    fail("limits.memory_mb", std::to_string(out.memory_mb) + " MB are too few to serve within, " +
                                 std::to_string(kLeastMemoryMb) + " at least");
  }
}

}  // namespace

void check_relay(const RelayOptions& relay) {
  if (!relay.listen.empty()) {
    address_of("relay.listen", relay.listen);
  }
  for (const std::string& peer : relay.peers) {
    const std::size_t equals = peer.find('=');
    const bool named = equals != std::string::npos && equals > 0 && peer.find(',') == std::string::npos;
    if (!named || !transport::parse_address(peer.substr(equals + 1))) {
      fail("relay.peers", "'" + peer + "' is not of the form NAME=IP:PORT");
    }
  }
}

void check_coordination(const coordination::CoordinationOptions& coordination) {
  if (coordination.store == "etcd" && coordination.endpoints.empty()) {
    fail("coordination.endpoints", "none is named, and the store is etcd");
  }
  for (const std::string& endpoint : coordination.endpoints) {
    address_of("coordination.endpoints", endpoint);
  }
  if (coordination.store == "embedded" && coordination.folder.empty()) {
    fail("coordination.folder", "none is named, and the store is embedded");
  }
  if (!coordination.store_id.empty() &&
      protocol::read_number<std::uint64_t>(coordination.store_id).value_or(0) == 0) {
    fail("coordination.store_id", "'" + coordination.store_id + "' is not the number of a store");
  }
}

namespace {

using config::WholeRange;

void add_client_keys(config::Record<Tuning>& record) {
  record
      .whole("listen_backlog", &Tuning::listen_backlog, "connections", WholeRange{1, 65'535},
             "connections that may wait to be accepted; one that the system accepts is ours to answer")
      .whole("client_idle_ms", &Tuning::client_idle_ms, "ms", WholeRange{1'000, 3'600'000},
             "clients close after 4 s; this reclaims those that vanished or hold on")
      .whole("client_request_ms", &Tuning::client_request_ms, "ms", WholeRange{100, 3'600'000},
             "for a connection's first usable request, and for the rest of a message that has begun")
      .whole("client_young_ms", &Tuning::client_young_ms, "ms", WholeRange{0, 60'000},
             "a connection that was just accepted is not closed for its descriptor: its request may be on "
             "its way")
      .whole("client_share_percent", &Tuning::client_share_percent, "percent", WholeRange{5, 80},
             "of the descriptors that clients may hold; they hold a third, and some hold on for good")
      .whole("client_untaken_answers", &Tuning::client_untaken_answers, "answers", WholeRange{64, 65'535},
             "on one connection; a client that floods and takes no answer ends its connection")
      .whole("client_untaken_bytes", &Tuning::client_untaken_bytes, "bytes", WholeRange{4'096, 16'777'216},
             "the same, of records that are answered at once")
      .whole("client_lead_ms", &Tuning::client_lead_ms, "ms", WholeRange{0, 1'000},
             "patience counts from when the client sent the request; so much of it was used on the way here")
      .whole("client_stall_ms", &Tuning::client_stall_ms, "ms", WholeRange{100, 3'600'000},
             "a client that takes nothing for so long has given its answers up")
      .whole("client_send_buffer", &Tuning::client_send_buffer, "bytes", WholeRange{0, 16'777'216},
             "what the system may hold for one client; 0 leaves it to the system")
      .whole("answer_record_bytes", &Tuning::answer_record_bytes, "bytes", WholeRange{512, 65'535},
             "one turn of an answer: a large one lets small ones through after so much")
      .whole("write_low_mark", &Tuning::write_low_mark, "bytes", WholeRange{1'024, 16'777'216},
             "what is handed to a connection ahead of its socket");
}

void add_cache_keys(config::Record<Tuning>& record) {
  record
      .whole("cache_connections", &Tuning::cache_connections, "connections", WholeRange{1, 1'024},
             "to one cache: a large answer holds up what comes behind it on its connection")
      .whole("cache_silent_ms", &Tuning::cache_silent_ms, "ms", WholeRange{10, 600'000},
             "nothing came from a cache for so long after a request that was given up: its connections "
             "are, too")
      .whole("cache_stall_ms", &Tuning::cache_stall_ms, "ms", WholeRange{10, 600'000},
             "an answer of a cache that has begun and brings nothing for so long: its connection is given up")
      .whole("answer_bytes", &Tuning::answer_bytes, "bytes", WholeRange{1'024, 67'108'864},
             "one answer of a cache; objects hold 240,000 at most");
}

void add_discovery_keys(config::Record<Tuning>& record) {
  record
      .whole("board_linger_ms", &Tuning::board_linger_ms, "ms", WholeRange{0, 5'000},
             "how long the notice board may hold a call")
      .whole("board_grace_ms", &Tuning::board_grace_ms, "ms", WholeRange{10, 60'000},
             "beyond that the notice board is silent")
      .whole("board_pause_ms", &Tuning::board_pause_ms, "ms", WholeRange{1, 60'000},
             "first pause after a failed call, as a mean; it doubles")
      .whole("board_most_pause_ms", &Tuning::board_most_pause_ms, "ms", WholeRange{1, 60'000},
             "longest pause between failed calls, as a mean: what the notice board has to tell counts as "
             "told 2 s "
             "after a "
             "break");
}

void add_drain_and_memory_keys(config::Record<Tuning>& record) {
  record
      .whole("drain_linger_ms", &Tuning::drain_linger_ms, "ms", WholeRange{0, 60'000},
             "arrivals go on for up to 0.6 s after SIGTERM")
      .whole("drain_quiet_ms", &Tuning::drain_quiet_ms, "ms", WholeRange{0, 60'000},
             "and so long since the last request: what is late on its way is still taken")
      .whole("drain_answer_ms", &Tuning::drain_answer_ms, "ms", WholeRange{100, 600'000},
             "after SIGTERM requests are answered for the longest deadline of the settings, at most for so "
             "long")
      .whole("drain_late_ms", &Tuning::drain_late_ms, "ms", WholeRange{0, 60'000},
             "and so much longer for what came late; SIGKILL comes 0.7 s after the longest deadline")
      .whole("base_memory_mb", &Tuning::base_memory_mb, "MB", WholeRange{1, 1'024},
             "of the program itself, its tables and the allocator's slack; the rest is shared out by the "
             "bounds")
      .whole("open_request_bytes", &Tuning::open_request_bytes, "bytes", WholeRange{1'024, 67'108'864},
             "memory counted for each open request beside its body; answers are counted apart");
}

}  // namespace

const config::Record<Tuning>& tuning_record() {
  static const config::Record<Tuning> kRecord = [] {
    config::Record<Tuning> record("router",
                                  "Matters of the router's sockets and memory; none touches a decision.");
    add_client_keys(record);
    add_cache_keys(record);
    add_discovery_keys(record);
    add_drain_and_memory_keys(record);
    return record;
  }();
  return kRecord;
}

std::size_t Configuration::most_open_requests() const {
  return profile.max_open_requests > 0 ? static_cast<std::size_t>(profile.max_open_requests) : kOpenWithoutLimit;
}

std::size_t Configuration::part_of_memory(std::int64_t part) const {
  const std::int64_t room = std::max<std::int64_t>(1, memory_mb - tuning.base_memory_mb) * 1'048'576;
  return memory_mb == 0 ? kPartWithoutLimit : static_cast<std::size_t>(room / part);
}

milliseconds Configuration::drain_answer() const {
  milliseconds longest(0);
  for (const ClassSettings& one : profile.settings.classes) {
    longest = std::max(longest, std::chrono::ceil<milliseconds>(one.give_up_after));
  }
  const milliseconds most(tuning.drain_answer_ms);
  return (longest.count() > 0 ? std::min(longest, most) : most) + milliseconds(tuning.drain_late_ms);
}

// Clients hold a third at most, and some more are let in for those that hold theirs idle; the rest, less what
// the program itself needs, is for caches.
std::size_t Configuration::most_clients() const {
  return static_cast<std::size_t>(std::max<std::int64_t>(8, sockets * tuning.client_share_percent / 100));
}

int Configuration::most_cache_connections() const {
  return static_cast<int>(std::max<std::int64_t>(8, sockets - static_cast<std::int64_t>(most_clients()) -
                                                        kReservedSockets -
                                                        std::int64_t{2} * most_lingering()));
}

int Configuration::most_lingering() const { return static_cast<int>(sockets / 32); }

Configuration read_configuration(const Sources& sources) {
  Configuration out;
  const std::optional<std::string> told_file = variable(sources, "NODE_CONFIG");
  if (sources.file.empty() && !told_file) {
    fail("NODE_CONFIG", "not set, and no --config given");
  }
  const std::string file_key = sources.file.empty() ? "NODE_CONFIG" : "--config";
  const json source = read_file(file_key, sources.file.empty() ? *told_file : sources.file);

  const std::string name = text_or_empty(source, "name");
  const std::optional<std::string> told_name = variable(sources, "NODE_NAME");
  if (told_name && !name.empty() && *told_name != name) {
    fail("NODE_NAME", "'" + *told_name + "' contradicts name '" + name + "' of the configuration");
  }
  out.name = told_name.value_or(name);
  if (out.name.empty()) {
    fail("name", "missing");
  }

  const std::string listen = text_or_empty(source, "listen");
  const std::optional<std::string> told_listen = variable(sources, "NODE_LISTEN");
  if (!sources.listen.empty()) {
    out.listen = address_of("--listen", sources.listen);
  } else if (told_listen) {
    out.listen = address_of("NODE_LISTEN", *told_listen);
    if (!listen.empty() && address_of("listen", listen) != out.listen) {
      fail("NODE_LISTEN", "'" + *told_listen + "' contradicts listen '" + listen + "' of the configuration");
    }
  } else {
    out.listen = address_of("listen", listen);
  }

  out.board = address_of("board", text_or_empty(source, "board"));
  out.seed = read_seed(source);
  json fixed = source;
  for (const char* key : {"board", "known", "seed"}) {
    fixed.erase(key);
  }
  out.fixed = fixed.dump();
  read_limits(source, out);
  under("router", [&] { read_tuning(source, sources, out.tuning); });
  out.start = under("--operator", [&] { return read_start(sources); });
  if (protocol::find(source, "settings") == nullptr) {
    fail("settings", "missing");
  }
  out.profile = under("settings", [&] { return protocol::read_profile(source.at("settings")); });
  if (out.profile.settings.classes.empty()) {
    fail("settings.Classes", "missing");
  }
  if (out.profile.settings.max_attempts < 1) {
    fail("settings.Limits.AttemptsCap", "must be 1 at least");
  }
  if (protocol::find(source, "known") == nullptr) {
    fail("known", "missing");
  }
  out.known_text = source.at("known").dump();
  out.known = under("known", [&] { return protocol::read_discovery_page(source.at("known"), out.profile); });
  return out;
}

}  // namespace trailcourse::program
