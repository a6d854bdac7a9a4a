// What a small fleet on one machine consists of: names, zones, addresses, and the configuration of each
// process. Nothing is started here.
//
// Package `fleet`; files are written where write() is told, no socket is opened. Not thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet/port_allocator.h"

namespace trailcourse::fleet {

enum class Kind { kRegistry, kBoard, kOrigin, kParent, kCache, kAggregator, kRouter };
const char* to_string(Kind kind);
// Whether the board lists members of this kind to routers.
bool is_listed(Kind kind);
// In which members are started: each after those that it needs.
inline constexpr std::array kStartOrder{Kind::kRegistry, Kind::kBoard,      Kind::kOrigin, Kind::kParent,
                                        Kind::kCache,    Kind::kAggregator, Kind::kRouter};

// How large it is, and what its parts can do.
struct FleetSpec {
  int routers = 1;
  int caches = 2;
  int parents = 1;
  std::vector<std::string> zones{"edge"};  // caches and routers are dealt out to them in turn
  int object_kb = 20;
  int origin_delay_ms = 0;
  int weight = 8;      // transfers of a cache or parent
  bool disk = false;   // caches and parents keep copies on disk
  bool direct = true;  // routers may ask the origin themselves
  double purge_grace_s = 0.3;
  double cold_s = 10.0;
  double cold_from = 0.3;
  std::int64_t since_ms = 0;  // when caches and parents are listed to have started; 0: long ago
  bool known = true;      // routers are started with the list; else they have none until they hear the board
  bool registry = false;  // a store of shared truth, and routers that do owned work on it
  std::string embedded;   // a folder that all routers share as their store, in its place
  nlohmann::json ownership = nlohmann::json::object();  // keys of that section, of each router
  nlohmann::json coordination = nlohmann::json::object();
  nlohmann::json policy = nlohmann::json::object();  // the same; empty: routers follow none
  // Between the routers and the registry, dealt out to the regions in turn; 0: routers ask the registry.
  int aggregators = 0;
  int regions = 1;                                       // zones are dealt out to them in turn
  nlohmann::json aggregator = nlohmann::json::object();  // further keys of the aggregators' section
  std::string router_program;                            // of the routers, where it is another
  int memory_mb = 192;
  int sockets = 1'024;
  nlohmann::json router = nlohmann::json::object();  // the routers' tuning keys
  nlohmann::json operators =
      nlohmann::json::object();                     // further sections of the operator's file of each router
  nlohmann::json cache = nlohmann::json::object();  // further keys of the caches' section
  nlohmann::json board = nlohmann::json::object();  // further keys of the board's section
};

// Another member as one reaches it.
struct Endpoint {
  std::string name;
  std::string address;  // a proxy's, or its own
};

struct Member {
  Kind kind = Kind::kRouter;
  std::string name;
  std::string zone;
  std::string address;                   // where it listens
  std::string advertised_address;        // where others are told to reach it: a proxy's, or its own
  std::string board;                     // where it reaches the board: a proxy's, or the board's own
  std::string registry;                  // where a router or aggregator reaches the store; empty: it has none
  std::vector<Endpoint> aggregators;     // of a router, in order of preference
  std::vector<std::string> environment;  // NAME=VALUE, of its process
  std::string relay;                     // where a router passes pages on; empty: it does not
  int starts = 0;                        // so far: each start has a seed of its own
};

class Layout {
 public:
  // Deals out names and addresses. `folder` must exist.
  Layout(FleetSpec shape, std::string folder, PortAllocator& ports);

  const FleetSpec& shape() const { return shape_; }
  FleetSpec& shape() { return shape_; }
  const std::string& folder() const { return folder_; }
  std::vector<Member>& members() { return members_; }
  const std::vector<Member>& members() const { return members_; }
  // Throws std::out_of_range where there is none of that name.
  const Member& member(const std::string& name) const;
  Member& member(const std::string& name);
  std::vector<std::string> names(Kind kind) const;
  // The zones whose routers an aggregator takes: those of its region, and of the region before, whose routers
  // turn to it where their own aggregators are lost.
  std::vector<std::string> served_zones(const std::string& aggregator) const;

  // The first page of the board: all caches, parents and the origin, up.
  nlohmann::json first_page() const;
  // What stands in the board's file now, as a platform hands it to a router at its start; the first page
  // where there is none.
  nlohmann::json present_page() const;
  // An entry of the board's list, as told.
  nlohmann::json entry(const Member& member, const std::string& status = "up",
                       std::int64_t since_ms = 0) const;
  // The settings that the platform would tell the routers of a zone.
  nlohmann::json settings(const std::string& zone, int index) const;

  // Tells each router the relays of its zone. Those without a relay address are left out.
  void connect_relays(int degree);

  // Writes the file of each member, and the board's first page. Throws std::runtime_error.
  void write() const;
  // The same for one member.
  void write(const Member& member) const;
  // The words that start a member: the program's path and its arguments.
  std::vector<std::string> words(const Member& member, const std::string& program) const;

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
  FleetSpec shape_;
  std::string folder_;
  std::vector<Member> members_;
};

}  // namespace trailcourse::fleet
