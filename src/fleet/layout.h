// The members of a small fleet on one machine: names, zones, addresses, and the configuration of each
// process. Starts no process (see supervisor.h).
//
// Library `fleet`. Reads and writes files in the fleet's folder. Not thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet/port_allocator.h"

namespace trailcourse::fleet {

// The kinds of members.
enum class Kind { kCoordinationServer, kDiscoveryServer, kOrigin, kParent, kCache, kAggregator, kRouter };
// Returns the name of the kind, which is also the command that starts such a member, except of routers and
// parents.
const char* to_string(Kind kind);
// Returns whether the discovery service lists members of this kind.
bool is_listed(Kind kind);
// The order in which members are started: each kind after those that it depends on.
inline constexpr std::array kStartOrder{
    Kind::kCoordinationServer, Kind::kDiscoveryServer, Kind::kOrigin, Kind::kParent, Kind::kCache,
    Kind::kAggregator,         Kind::kRouter};

// The size of a fleet and the options of its members.
struct FleetSpec {
  int routers = 1;
  int caches = 2;
  int parents = 1;
  std::vector<std::string> zones{"edge"};  // caches and routers are assigned to the zones round-robin
  int object_kb = 20;
  int origin_delay_ms = 0;
  int max_transfers = 8;             // concurrent transfers of each cache or parent
  bool disk = false;                 // caches and parents store copies on disk
  bool may_use_origin = true;        // routers may send requests to the origin
  double purge_grace_s = 0.3;        // latest time after a purge event at which a purged copy may be served
  double purge_done_s = 6.0;         // time after a purge event by which caches have dropped purged copies
  double slow_start_s = 10.0;        // length of the slow start of caches and parents
  double slow_start_from = 0.3;      // their capacity share at the start of the slow start, 0 to 1
  std::int64_t started_unix_ms = 0;  // listed start time of caches and parents; 0: long ago
  // Routers start with the endpoint list. False: they get it from the discovery service.
  bool starts_with_list = true;
  bool has_coordination_server = false;  // if so, the routers do owned work
  std::string embedded_store_folder;  // of a store that all routers share instead of the server; empty: none
  nlohmann::json ownership = nlohmann::json::object();     // keys of the section "ownership"
  nlohmann::json coordination = nlohmann::json::object();  // keys of the section "coordination"
  nlohmann::json policy = nlohmann::json::object();  // keys of "policy"; empty: routers follow no policy
  // Aggregators between the routers and the coordination server, assigned to the regions round-robin; 0:
  // routers connect to the coordination server.
  int aggregators = 0;
  int regions = 1;                                       // zones are assigned to the regions round-robin
  nlohmann::json aggregator = nlohmann::json::object();  // additional keys of the aggregators' section
  std::string router_program;                            // program of the routers; empty: that of all members
  int memory_mb = 192;                                   // limit of one router
  int max_sockets = 1'024;                               // limit of one router
  nlohmann::json router = nlohmann::json::object();      // keys of the routers' section "router"
  // Additional sections of each router's operator file.
  nlohmann::json operator_sections = nlohmann::json::object();
  nlohmann::json cache = nlohmann::json::object();      // additional keys of the caches' section
  nlohmann::json discovery = nlohmann::json::object();  // additional keys of the discovery service's section
};

// Another member and the address at which to connect to it.
struct Endpoint {
  std::string name;
  std::string address;  // that of a proxy, or its own
};

struct Member {
  Kind kind = Kind::kRouter;
  std::string name;
  std::string zone;
  std::string address;                // listen address
  std::string advertised_address;     // address that the discovery service lists: that of a proxy, or its own
  std::string discovery_address;      // of the discovery service, or of a proxy before it
  std::string coordination_address;   // of the coordination server, or of a proxy; empty: it does not connect
  std::vector<Endpoint> aggregators;  // of a router, in order of preference
  std::vector<std::string> environment;  // NAME=VALUE, of its process
  std::string relay;                     // listen address of a router's relay; empty: it has no relay
  int starts = 0;                        // number of starts so far; each start gets its own seed
};

class Layout {
 public:
  // Creates the members and allocates their addresses. `folder` has to exist.
  Layout(FleetSpec spec, std::string folder, PortAllocator& ports);

  const FleetSpec& spec() const { return spec_; }
  FleetSpec& spec() { return spec_; }
  const std::string& folder() const { return folder_; }
  std::vector<Member>& members() { return members_; }
  const std::vector<Member>& members() const { return members_; }
  // Throws std::out_of_range if no member has that name.
  const Member& member(const std::string& name) const;
  Member& member(const std::string& name);
  std::vector<std::string> names(Kind kind) const;
  // Returns the zones whose routers an aggregator serves: those of its region, and those of the previous
  // region, whose routers fail over to it.
  std::vector<std::string> served_zones(const std::string& aggregator) const;

  // Returns the first page of the discovery service: all caches, parents and the origin, with status up.
  nlohmann::json first_page() const;
  // Returns the current page in the file of the discovery service, as a platform passes it to a router at its
  // start; the first page if the file has none.
  nlohmann::json current_page() const;
  // Returns an entry of the endpoint list.
  nlohmann::json entry(const Member& member, const std::string& status = "up",
                       std::int64_t since_ms = 0) const;
  // Returns the settings that the platform passes to a router of `zone`; `index` is its position among
  // all routers.
  nlohmann::json settings(const std::string& zone, int index) const;

  // Gives each router with a relay the relays of its zone as peers, with this degree of the relay tree.
  void connect_relays(int degree);

  // Writes the configuration of each member and the first page of the discovery service. Throws
  // std::runtime_error.
  void write() const;
  // Writes the configuration of one member.
  void write(const Member& member) const;
  // Returns the command line that starts a member: the path of the program and its arguments.
  std::vector<std::string> command_line(const Member& member, const std::string& program) const;

  std::string board_file() const { return folder_ + "/board-page.json"; }
  std::string log_file(const std::string& name) const { return folder_ + "/" + name + ".log"; }
  std::string config_file(const std::string& name) const { return folder_ + "/" + name + ".json"; }
  std::string operator_file(const std::string& name) const { return folder_ + "/" + name + ".operator.json"; }

 private:
  void connect_aggregators();
  std::size_t region_count() const;
  std::size_t region_of_zone(const std::string& zone) const;
  std::size_t region_of_aggregator(const std::string& name) const;
  nlohmann::json config(const Member& member) const;
  nlohmann::json aggregator_config(const Member& member) const;
  nlohmann::json operator_config(const Member& member) const;

  int relay_degree_ = 0;
  FleetSpec spec_;
  std::string folder_;
  std::vector<Member> members_;
};

}  // namespace trailcourse::fleet
