// The configuration of the router: reads its sources, checks them and fills in the defaults.
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
#include "memory/memory_account.h"
#include "program/start_options.h"
#include "protocol/discovery_page.h"
#include "protocol/settings.h"
#include "transport/socket.h"

namespace trailcourse::program {

// The configuration is invalid. what() is one line that names the key.
class ConfigurationError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Socket and memory settings, which no routing decision depends on. The keys are described in
// configuration.cpp.
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

// The configuration of a router.
struct Configuration {
  std::string name;
  transport::Address listen;
  transport::Address discovery_address;
  std::uint64_t seed = 0;      // for all random numbers of this router
  std::int64_t memory_mb = 0;  // 0: no limit
  std::int64_t sockets = 0;    // maximum open descriptors
  protocol::DeploymentSettings deployment;
  protocol::DiscoveryPage known;  // endpoint list and purges to start with
  std::string known_text;         // `known` as it was configured
  Tuning tuning;
  StartSections start;
  std::string restart_keys;  // the keys of the file whose change needs a restart, as JSON

  // Limits derived from the configured limits and settings.
  std::size_t max_open_requests() const;
  // Returns the maximum bytes of open requests: their bodies, and open_request_bytes for each.
  std::size_t max_open_bytes() const { return memory_share(3); }
  // Returns the maximum bytes of responses that wait to be sent to clients.
  std::size_t max_unsent_bytes() const { return memory_share(4); }
  // Returns the maximum bytes of partially received responses of caches.
  std::size_t max_response_bytes() const { return memory_share(4); }
  // Returns the maximum bytes of partially received requests.
  std::size_t max_partial_bytes() const { return memory_share(8); }
  // Returns the limits of the memory that clients can make the router hold.
  memory::MemoryAccount::Limits memory_limits() const;
  // Returns 1/`divisor` of the memory limit, less the memory of the program itself.
  std::size_t memory_share(std::int64_t divisor) const;
  // Returns the maximum number of client connections.
  std::size_t max_clients() const;
  // Returns the maximum number of connections to all caches together.
  int max_cache_connections() const;
  // Returns the maximum number of connections that were closed here but not by the peer yet; it applies to
  // clients and to caches, each.
  int max_lingering() const;
  // Returns the time after SIGTERM at which requests that are still open fail.
  std::chrono::milliseconds drain_timeout() const;
};

// Checks what depends on more than the type and range of one key. Throws ConfigurationError.
void check_relay(const RelayOptions& relay);
void check_coordination(const coordination::CoordinationOptions& coordination);

// Returns the declaration of the section `router`.
const config::Record<Tuning>& tuning_record();

// Where the configuration comes from.
struct Sources {
  std::function<const char*(const char*)> environment;  // std::getenv, or a substitute in tests
  std::string file;                                     // overrides NODE_CONFIG
  std::string listen;                                   // overrides NODE_LISTEN and the file
  // Path of the operator's file. Keys of the section `router` in the configuration file override its keys.
  std::string operator_file;
  std::vector<std::string> sets;  // KEY=NUMBER, each for a key of the section `router`
};

// Reads and checks the configuration. Throws ConfigurationError.
Configuration read_configuration(const Sources& sources);

}  // namespace trailcourse::program
