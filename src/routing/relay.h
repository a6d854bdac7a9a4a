// Relays the pages of the discovery service to other routers of the zone, with the protocol of the service
// and two additional headers. `X-Age-Ms` is an upper bound of the time since the page last contained all
// events of the service. `X-Path` names the routers that the page passed through, this one first.
//
// A relay serves no page that is older than allowed: it rejects new polls and the polls that it holds.
//
// Library `routing`, over `discovery`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <trailcourse/decider.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "discovery/discovery_server.h"
#include "discovery/event_log.h"
#include "transport/scheduler.h"

namespace trailcourse::routing {

// Serves the pages that this router has received.
class Relay {
 public:
  struct Options {
    Micros max_age{1'000'000};  // of a page that may be served
    discovery::LongPollOptions long_poll;
    discovery::DiscoveryServer::Limits server;
    // When the log is compacted, purges are dropped that are older and not among the latest.
    std::chrono::milliseconds purge_retention{10'000};
    std::size_t latest_purges = 1'024;
    std::size_t max_events = 4'096;  // in the log before it is compacted
  };

  // `log` contains the events that are served. The log and the scheduler have to outlive the relay.
  Relay(transport::Scheduler& scheduler, std::string name, discovery::EventLog& log, const Options& options,
        std::uint64_t seed);

  // Throws std::system_error if it cannot listen on the address.
  void listen(const transport::Address& address) { server_.listen(address); }

  // Records a page that this router has received. `current_at` is the latest steady time at which the page is
  // known to have contained all events of the service; `path` is the X-Path header of its response. Throws
  // discovery::PageFormatError.
  void on_page(const nlohmann::json& page, Micros current_at, const std::string& path);

  // To be called after a sequence reset of the service: rejects all polls until the next page. The caller
  // resets the log.
  void reset();

  // Rejects the held polls if the last page is older than `max_age`. To be called periodically.
  void reject_polls_if_stale();

  const discovery::LongPollScheduler& long_polls() const { return server_.long_polls(); }

 private:
  bool is_current() const;
  std::optional<std::chrono::milliseconds> rejection() const;
  std::string page_headers() const;

  std::string name_;
  Options options_;
  discovery::EventLog& log_;
  discovery::DiscoveryServer server_;
  std::optional<Micros> current_at_;
  std::string path_;
};

}  // namespace trailcourse::routing
