// The one place where configuration is read, checked and given defaults.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "config/record.h"
#include "coordination/options.h"
#include "program/start_options.h"
#include "protocol/discovery_page.h"
#include "protocol/settings.h"
#include "transport/socket.h"

namespace trailcourse::program {

// Its text is one line that names the key at fault.
class ConfigurationError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Matters of sockets and memory; the decision module knows none of them. Milliseconds, bytes and counts.
struct Tuning {
  std::int64_t listen_backlog = 1024;
  std::int64_t client_idle_ms = 15'000;
  std::int64_t client_request_ms = 2'000;
  std::int64_t client_young_ms = 100;
  std::int64_t client_share_percent = 40;
  std::int64_t client_untaken_answers = 1'024;
  std::int64_t client_untaken_bytes = 262'144;
  std::int64_t client_lead_ms = 10;
  std::int64_t client_stall_ms = 10'000;
  std::int64_t client_send_buffer = 0;
  std::int64_t answer_record_bytes = 16'384;
  std::int64_t write_low_mark = 65'536;
  std::int64_t cache_connections = 16;
  std::int64_t cache_silent_ms = 400;
  std::int64_t cache_stall_ms = 400;
  std::int64_t answer_bytes = 524'288;
  std::int64_t board_linger_ms = 2'000;
  std::int64_t board_grace_ms = 1'000;
  std::int64_t board_pause_ms = 50;
  std::int64_t board_most_pause_ms = 400;
  std::int64_t drain_linger_ms = 650;
  std::int64_t drain_quiet_ms = 150;
  std::int64_t drain_answer_ms = 3'000;
  std::int64_t drain_late_ms = 350;
  std::int64_t base_memory_mb = 12;
  std::int64_t open_request_bytes = 4'096;
};

struct Configuration {
  std::string name;
  transport::Address listen;
  transport::Address board;
  std::uint64_t seed = 0;
  std::int64_t memory_mb = 0;  // 0: no limit is told
  std::int64_t sockets = 0;
  protocol::Profile profile;
  protocol::DiscoveryPage known;
  std::string known_text;  // the same as it was given
  Tuning tuning;
  StartSections start;
  std::string fixed;  // the file but for what a router that serves can take in: a change needs a restart

  // Derived from the limits and settings.
  std::size_t most_open_requests() const;
  std::size_t most_open_bytes() const { return part_of_memory(3); }
  std::size_t most_waiting_bytes() const { return part_of_memory(4); }  // answers their clients are to take
  std::size_t most_answer_bytes() const { return part_of_memory(4); }   // answers that have come in part
  std::size_t most_partial_bytes() const { return part_of_memory(8); }  // requests that have come in part
  std::size_t part_of_memory(std::int64_t part) const;
  std::size_t most_clients() const;  // connections
  int most_cache_connections() const;
  int most_lingering() const;  // connections that were closed here, of clients and of caches each
  std::chrono::milliseconds drain_answer() const;  // after SIGTERM; what is open then is failed
};

// What one key of the section `relay` alone cannot tell. Throws ConfigurationError.
void check_relay(const RelayOptions& relay);
// The same of the section `coordination`.
void check_coordination(const coordination::CoordinationOptions& coordination);

// The declaration of the tuning keys: the section `router`.
const config::Record<Tuning>& tuning_record();

// What comes from outside the file.
struct Sources {
  std::function<const char*(const char*)> environment;  // as std::getenv
  std::string file;                                     // overrides NODE_CONFIG
  std::string listen;                                   // overrides NODE_LISTEN and the file
  std::string operator_file;                            // its section `router` goes before the file's
  std::vector<std::string> sets;                        // KEY=VALUE of tuning keys
};

// Throws ConfigurationError.
Configuration read_configuration(const Sources& sources);

}  // namespace trailcourse::program
