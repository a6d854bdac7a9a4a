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
  json parsed = json::parse(text, nullptr, false);
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
  } catch (const protocol::FormatError& error) {
    fail(key, error.what());
  } catch (const json::exception& error) {
    fail(key, error.what());
  }
}

std::string text_or_empty(const json& source, const char* key) {
  return under(key, [&] { return protocol::word_at(source, key, ""); });
}

std::uint64_t read_seed(const json& source) {
  const std::string text = text_or_empty(source, "seed");
  const std::optional<std::uint64_t> seed = protocol::read_hex<std::uint64_t>(text);
  if (!seed) {
    fail("seed", "'" + text + "' is not a number of up to 16 hex digits");
  }
  return *seed;
}

void set_tuning(Tuning& tuning, const std::string& name, std::int64_t value) {
  for (const TuningKey& key : tuning_keys()) {
    if (name == key.name) {
      if (value < key.least || value > key.most) {
        fail(name, std::to_string(value) + " is not between " + std::to_string(key.least) + " and " +
                       std::to_string(key.most));
      }
      tuning.*key.value = value;
      return;
    }
  }
  fail(name, "no such key");
}

void read_tuning(const json& source, const std::vector<std::string>& sets, Tuning& tuning) {
  const json& section = under("router", [&]() -> const json& { return protocol::section(source, "router"); });
  for (const auto& [name, value] : section.items()) {
    set_tuning(tuning, name, under(name, [&] { return protocol::whole(value, name.c_str()); }));
  }
  for (const std::string& set : sets) {
    const std::size_t equals = set.find('=');
    const std::optional<std::int64_t> value =
        equals == std::string::npos ? std::nullopt
                                    : protocol::read_number<std::int64_t>(set.substr(equals + 1));
    if (!value) {
      fail(set.substr(0, equals), "not of the form KEY=NUMBER");
    }
    set_tuning(tuning, set.substr(0, equals), *value);
  }
}

void read_limits(const json& source, Configuration& out) {
  const json& limits = under("limits", [&]() -> const json& { return protocol::section(source, "limits"); });
  out.memory_mb = under("limits.memory_mb", [&] { return protocol::whole_at(limits, "memory_mb", 0); });
  out.sockets = under("limits.sockets", [&] { return protocol::whole_at(limits, "sockets", 0); });
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

const std::vector<TuningKey>& tuning_keys() {
  static const std::vector<TuningKey> kKeys{
      {"listen_backlog", "connections", 1, 65'535, &Tuning::listen_backlog,
       "connections that may wait to be accepted; one that the system accepts is ours to answer"},
      {"client_idle_ms", "ms", 1'000, 3'600'000, &Tuning::client_idle_ms,
       "clients close after 4 s; this reclaims those that vanished or hold on"},
      {"client_request_ms", "ms", 100, 3'600'000, &Tuning::client_request_ms,
       "for a connection's first usable request, and for the rest of a message that has begun"},
      {"client_young_ms", "ms", 0, 60'000, &Tuning::client_young_ms,
       "a connection that was just accepted is not closed for its descriptor: its request may be on its way"},
      {"client_share_percent", "percent", 5, 80, &Tuning::client_share_percent,
       "of the descriptors that clients may hold; they hold a third, and some hold on for good"},
      {"client_untaken_answers", "answers", 64, 65'535, &Tuning::client_untaken_answers,
       "on one connection; a client that floods and takes no answer ends its connection"},
      {"client_untaken_bytes", "bytes", 4'096, 16'777'216, &Tuning::client_untaken_bytes,
       "the same, of records that are answered at once"},
      {"client_lead_ms", "ms", 0, 1'000, &Tuning::client_lead_ms,
       "patience counts from when the client sent the request; so much of it was used on the way here"},
      {"client_stall_ms", "ms", 100, 3'600'000, &Tuning::client_stall_ms,
       "a client that takes nothing for so long has given its answers up"},
      {"client_send_buffer", "bytes", 0, 16'777'216, &Tuning::client_send_buffer,
       "what the system may hold for one client; 0 leaves it to the system"},
      {"answer_record_bytes", "bytes", 512, 65'535, &Tuning::answer_record_bytes,
       "one turn of an answer: a large one lets small ones through after so much"},
      {"write_low_mark", "bytes", 1'024, 16'777'216, &Tuning::write_low_mark,
       "what is handed to a connection ahead of its socket"},
      {"cache_connections", "connections", 1, 1'024, &Tuning::cache_connections,
       "to one cache: a large answer holds up what comes behind it on its connection"},
      {"cache_silent_ms", "ms", 10, 600'000, &Tuning::cache_silent_ms,
       "nothing came from a cache for so long after a request that was given up: its connections are, too"},
      {"cache_stall_ms", "ms", 10, 600'000, &Tuning::cache_stall_ms,
       "an answer of a cache that has begun and brings nothing for so long: its connection is given up"},
      {"answer_bytes", "bytes", 1'024, 67'108'864, &Tuning::answer_bytes,
       "one answer of a cache; objects hold 240,000 at most"},
      {"board_linger_ms", "ms", 0, 5'000, &Tuning::board_linger_ms,
       "how long the notice board may hold a call"},
      {"board_grace_ms", "ms", 10, 60'000, &Tuning::board_grace_ms, "beyond that the notice board is silent"},
      {"board_pause_ms", "ms", 1, 60'000, &Tuning::board_pause_ms,
       "first pause after a failed call; it doubles"},
      {"board_most_pause_ms", "ms", 1, 60'000, &Tuning::board_most_pause_ms,
       "longest pause between failed calls: what the notice board has to tell counts as told 2 s after a "
       "break"},
      {"drain_linger_ms", "ms", 0, 60'000, &Tuning::drain_linger_ms,
       "arrivals go on for up to 0.6 s after SIGTERM"},
      {"drain_quiet_ms", "ms", 0, 60'000, &Tuning::drain_quiet_ms,
       "and so long since the last request: what is late on its way is still taken"},
      {"drain_answer_ms", "ms", 100, 600'000, &Tuning::drain_answer_ms,
       "after SIGTERM requests are answered for the longest deadline of the settings, at most for so long"},
      {"drain_late_ms", "ms", 0, 60'000, &Tuning::drain_late_ms,
       "and so much longer for what came late; SIGKILL comes 0.7 s after the longest deadline"},
      {"base_memory_mb", "MB", 1, 1'024, &Tuning::base_memory_mb,
       "of the program itself, its tables and the allocator's slack; the rest is shared out by the bounds"},
      {"open_request_bytes", "bytes", 1'024, 67'108'864, &Tuning::open_request_bytes,
       "memory counted for each open request beside its body; answers are counted apart"},
  };
  return kKeys;
}

std::size_t Configuration::most_open_requests() const {
  return profile.most_open > 0 ? static_cast<std::size_t>(profile.most_open) : kOpenWithoutLimit;
}

std::size_t Configuration::part_of_memory(std::int64_t part) const {
  const std::int64_t room = std::max<std::int64_t>(1, memory_mb - tuning.base_memory_mb) * 1'048'576;
  return memory_mb == 0 ? kPartWithoutLimit : static_cast<std::size_t>(room / part);
}

milliseconds Configuration::drain_answer() const {
  milliseconds longest(0);
  for (const ClassSettings& one : profile.settings.classes) {
    longest = std::max(longest, std::chrono::ceil<milliseconds>(one.give_up));
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
  return static_cast<int>(
      std::max<std::int64_t>(8, sockets - static_cast<std::int64_t>(most_clients()) - kReservedSockets));
}

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
  read_tuning(source, sources.sets, out.tuning);
  if (protocol::find(source, "settings") == nullptr) {
    fail("settings", "missing");
  }
  out.profile = under("settings", [&] { return protocol::read_profile(source.at("settings")); });
  if (out.profile.settings.classes.empty()) {
    fail("settings.Classes", "missing");
  }
  if (out.profile.settings.attempts_cap < 1) {
    fail("settings.Limits.AttemptsCap", "must be 1 at least");
  }
  if (protocol::find(source, "known") == nullptr) {
    fail("known", "missing");
  }
  out.known = under("known", [&] { return protocol::read_notices(source.at("known"), out.profile); });
  return out;
}

}  // namespace trailcourse::program
