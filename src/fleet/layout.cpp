#include "fleet/layout.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace trailcourse::fleet {

using nlohmann::json;

namespace {

constexpr const char* kHub = "hub";  // zone of all members but caches and routers
constexpr int kDiskMb = 64;

void write_file(const std::string& path, const json& content) {
  const std::string next = path + ".next";
  std::ofstream file(next, std::ios::binary);
  file << content.dump(1) << '\n';
  file.close();
  if (!file.good() || std::rename(next.c_str(), path.c_str()) != 0) {
    throw std::runtime_error("cannot write file " + path);
  }
}

std::string numbered(const char* stem, int number) { return stem + std::to_string(number); }

}  // namespace

const char* to_string(Kind kind) {
  switch (kind) {
    case Kind::kCoordinationServer:
      return "registry";
    case Kind::kDiscoveryServer:
      return "board";
    case Kind::kOrigin:
      return "origin";
    case Kind::kParent:
      return "parent";
    case Kind::kCache:
      return "cache";
    case Kind::kAggregator:
      return "aggregator";
    case Kind::kRouter:
      break;
  }
  return "router";
}

bool is_listed(Kind kind) { return kind == Kind::kOrigin || kind == Kind::kParent || kind == Kind::kCache; }

Layout::Layout(FleetSpec spec, std::string folder, PortAllocator& ports)
    : spec_(std::move(spec)), folder_(std::move(folder)) {
  const auto add = [&](Kind kind, const std::string& name, const std::string& zone) {
    Member member;
    member.kind = kind;
    member.name = name;
    member.zone = zone;
    member.address = ports.allocate_text();
    member.advertised_address = member.address;
    members_.push_back(std::move(member));
  };
  const auto zone = [this](int number) {
    return spec_.zones[static_cast<std::size_t>(number) % spec_.zones.size()];
  };
  add(Kind::kDiscoveryServer, "board", kHub);
  if (spec_.has_coordination_server) {
    add(Kind::kCoordinationServer, "registry", kHub);
  }
  add(Kind::kOrigin, "origin", kHub);
  for (int i = 0; i < spec_.parents; ++i) {
    add(Kind::kParent, numbered("parent", i), kHub);
  }
  for (int i = 0; i < spec_.caches; ++i) {
    add(Kind::kCache, numbered("cache", i), zone(i));
  }
  for (int i = 0; i < spec_.aggregators; ++i) {
    add(Kind::kAggregator, numbered("aggregator", i), kHub);
  }
  for (int i = 0; i < spec_.routers; ++i) {
    add(Kind::kRouter, numbered("router", i), zone(i));
  }
  const std::string board = members_.front().address;
  const std::string registry = spec_.has_coordination_server ? member("registry").address : "";
  for (Member& one : members_) {
    one.discovery_address = board;
    const Kind store_client = spec_.aggregators > 0 ? Kind::kAggregator : Kind::kRouter;
    one.coordination_address = one.kind == store_client ? registry : "";
  }
  connect_aggregators();
}

std::size_t Layout::region_count() const {
  return static_cast<std::size_t>(std::clamp(spec_.regions, 1, std::max(1, spec_.aggregators)));
}

std::size_t Layout::region_of_zone(const std::string& zone) const {
  const auto index = std::find(spec_.zones.begin(), spec_.zones.end(), zone) - spec_.zones.begin();
  return static_cast<std::size_t>(index) % region_count();
}

std::size_t Layout::region_of_aggregator(const std::string& name) const {
  const std::vector<std::string> all = names(Kind::kAggregator);
  return static_cast<std::size_t>(std::find(all.begin(), all.end(), name) - all.begin()) % region_count();
}

std::vector<std::string> Layout::served_zones(const std::string& aggregator) const {
  const std::size_t own = region_of_aggregator(aggregator);
  const std::size_t previous = (own + region_count() - 1) % region_count();
  std::vector<std::string> out;
  std::copy_if(spec_.zones.begin(), spec_.zones.end(), std::back_inserter(out), [&](const auto& zone) {
    return region_of_zone(zone) == own || region_of_zone(zone) == previous;
  });
  return out;
}

// Each router gets the aggregators of its region, rotated by one from router to router of a zone, followed by
// one of the next region.
void Layout::connect_aggregators() {
  std::vector<std::vector<Endpoint>> by_region(region_count());
  for (const Member& one : members_) {
    if (one.kind == Kind::kAggregator) {
      by_region[region_of_aggregator(one.name)].push_back({one.name, one.address});
    }
  }
  std::ptrdiff_t number = 0;
  for (Member& one : members_) {
    if (one.kind != Kind::kRouter || spec_.aggregators <= 0) {
      continue;
    }
    const std::size_t region = region_of_zone(one.zone);
    one.aggregators = by_region[region];
    const auto first = number++ / std::ssize(spec_.zones) % std::ssize(one.aggregators);
    std::rotate(one.aggregators.begin(), one.aggregators.begin() + first, one.aggregators.end());
    if (region_count() > 1) {
      one.aggregators.push_back(by_region[(region + 1) % region_count()].front());
    }
  }
}

const Member& Layout::member(const std::string& name) const {
  const auto found =
      std::find_if(members_.begin(), members_.end(), [&](const Member& one) { return one.name == name; });
  if (found == members_.end()) {
    throw std::out_of_range("fleet has no member " + name);
  }
  return *found;
}

Member& Layout::member(const std::string& name) {
  return const_cast<Member&>(std::as_const(*this).member(name));
}

std::vector<std::string> Layout::names(Kind kind) const {
  std::vector<std::string> out;
  for (const Member& member : members_) {
    if (member.kind == kind) {
      out.push_back(member.name);
    }
  }
  return out;
}

json Layout::entry(const Member& member, const std::string& status, std::int64_t since_ms) const {
  const char* type = member.kind == Kind::kCache ? "std" : to_string(member.kind);
  return {{"name", member.name},
          {"address", member.advertised_address},
          {"zone", member.zone},
          {"type", type},
          {"group", 0},
          {"status", status},
          {"weight", spec_.max_transfers},
          {"since_ms", since_ms}};
}

json Layout::first_page() const {
  json entries = json::array();
  for (const Member& member : members_) {
    if (is_listed(member.kind)) {
      entries.push_back(entry(member, "up", member.kind == Kind::kOrigin ? 0 : spec_.started_unix_ms));
    }
  }
  const json pool{{"index", 1}, {"snapshot", true}, {"endpoints", entries}};
  return {{"rev", 1}, {"notices", json::array({{{"rev", 1}, {"pool", pool}}})}};
}

json Layout::current_page() const {
  std::ifstream file(board_file(), std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  const json page = json::parse(text, nullptr, false);
  return page.is_object() && page.contains("notices") ? page : first_page();
}

json Layout::settings(const std::string& zone, int index) const {
  json zones = json::array({kHub});
  json counts = json::array({0});
  json links = json::array({0});
  for (const std::string& one : spec_.zones) {
    zones.push_back(one);
    const auto routers = names(Kind::kRouter);
    counts.push_back(std::count_if(routers.begin(), routers.end(),
                                   [&](const std::string& name) { return member(name).zone == one; }));
    links.push_back(90'000);
  }
  json out = json::parse(R"({"Kinds": ["std", "parent", "origin"], "Weights": "nominal", "Discovery": "push",
    "Classes": [
      {"Name": "media", "Effect": "safe", "ObjectiveS": 2, "AimStretch": 2, "GiveUpS": 6, "Worth": 1}],
    "Extra": {"MidKind": 1, "OriginKind": 2, "StreamKbPerS": 5000, "LifetimeByClassS": [0],
      "ClassGraceS": [0],
      "Uncached": [false], "NoteLevel": "all", "Collapses": true, "Siblings": "none",
      "ParentFloor": 0.3, "ParentRampS": 10, "ParentBreaksAt": 4},
    "Limits": {"AttemptsCap": 6, "Cancel": true, "ParallelTries": true, "ConnIdleS": 15,
      "ConnectTimeoutS": 0.4,
      "StreamsPerConn": 32, "MaxOpen": 20000, "RetryAfter": true, "MaxRetryAfterS": 1},
    "Rules": {"DrainGraceS": 1, "OverloadFactor": 4, "OverloadForS": 2, "AnswerSlackS": 0.008},
    "Report": {"How": "answers", "Fields": ["concurrent", "load_share"]}})");
  out["Az"] = zone;
  out["SelfIndex"] = index;
  out["Balancers"] = spec_.routers;
  out["Zones"] = zones;
  out["Extra"]["CountByZone"] = counts;
  out["Extra"]["ZoneLinkKbPerS"] = links;
  out["Extra"]["Direct"] = spec_.may_use_origin;
  out["Extra"]["HeedWithinS"] = spec_.purge_grace_s;
  out["Extra"]["ClearedWithinS"] = spec_.purge_done_s;
  out["Extra"]["ParentFloor"] = spec_.slow_start_from;
  out["Extra"]["ParentRampS"] = spec_.slow_start_s;
  out["Rules"]["ColdFrom"] = spec_.slow_start_from;
  out["Rules"]["ColdS"] = spec_.slow_start_s;
  return out;
}

json Layout::config(const Member& member) const {
  switch (member.kind) {
    case Kind::kCoordinationServer:
      return {{"registry", {{"listen", member.address}, {"folder", folder_ + "/registry-store"}}}};
    case Kind::kDiscoveryServer: {
      json board{{"listen", member.address}, {"file", board_file()}};
      board.update(spec_.discovery);
      return {{"board", board}};
    }
    case Kind::kOrigin:
      return {
          {"origin",
           {{"listen", member.address}, {"size_kb", spec_.object_kb}, {"delay_ms", spec_.origin_delay_ms}}}};
    case Kind::kParent:
    case Kind::kCache: {
      json store{{"memory_mb", 8}};
      if (spec_.disk) {
        store.update({{"folder", folder_ + "/disk-" + member.name}, {"disk_mb", kDiskMb}, {"segment_mb", 4}});
      }
      json cache{{"name", member.name},
                 {"listen", member.address},
                 {"board", member.discovery_address},
                 {"fill_from", member.kind == Kind::kParent ? "origin" : ""},
                 {"connections", 4'096},
                 {"origin", "origin"}};
      if (spec_.has_coordination_server || !spec_.embedded_store_folder.empty()) {
        cache["fence_folder"] = folder_ + "/terms-" + member.name;
      }
      if (member.kind == Kind::kCache) {
        cache.update(spec_.cache);
      }
      return {{"store", store}, {"cache", cache}, {"classes", {{"media", json::object()}}}};
    }
    case Kind::kAggregator:
      return aggregator_config(member);
    case Kind::kRouter:
      break;
  }
  const auto routers = names(Kind::kRouter);
  const auto index = std::distance(routers.begin(), std::find(routers.begin(), routers.end(), member.name));
  char seed[17];
  std::snprintf(seed, sizeof seed, "%016zx",
                std::hash<std::string>()(member.name + member.address + "/" + std::to_string(member.starts)));
  json out{{"name", member.name},
           {"listen", member.address},
           {"board", member.discovery_address},
           {"seed", seed},
           {"limits", {{"memory_mb", spec_.memory_mb}, {"sockets", spec_.max_sockets}}},
           {"known", spec_.starts_with_list ? current_page() : json{{"rev", 0}, {"notices", json::array()}}},
           {"settings", settings(member.zone, static_cast<int>(index))}};
  if (!spec_.router.empty()) {
    out["router"] = spec_.router;
  }
  return out;
}

json Layout::aggregator_config(const Member& member) const {
  json section{{"listen", member.address},
               {"name", member.name},
               {"zones", served_zones(member.name)},
               {"board", member.discovery_address}};
  section.update(spec_.aggregator);
  json coordination{{"store", "etcd"}, {"endpoints", {member.coordination_address}}};
  coordination.update(spec_.coordination);
  return {{"aggregator", section},
          {"coordination", coordination},
          {"ownership", spec_.ownership},
          {"policy", spec_.policy}};
}

// Returns the operator file of a router: the sections that its platform does not pass to it.
json Layout::operator_config(const Member& member) const {
  json out = spec_.operator_sections;
  if (relay_degree_ > 0 && !member.relay.empty()) {
    json& relay = out["relay"];
    relay["listen"] = member.relay;
    relay["degree"] = relay_degree_;
    relay["peers"] = json::array();
    for (const Member& peer : members_) {
      if (peer.kind == Kind::kRouter && peer.zone == member.zone && !peer.relay.empty()) {
        relay["peers"].push_back(peer.name + "=" + peer.relay);
      }
    }
  }
  if (!member.coordination_address.empty()) {
    out["coordination"] = {{"store", "etcd"}, {"endpoints", {member.coordination_address}}};
  } else if (!spec_.embedded_store_folder.empty()) {
    out["coordination"] = {{"store", "embedded"}, {"folder", spec_.embedded_store_folder}};
  } else if (!member.aggregators.empty()) {
    out["coordination"] = {{"store", "none"}};  // its timeouts apply to the calls to the aggregators
    for (const Endpoint& endpoint : member.aggregators) {
      out["aggregation"]["endpoints"].push_back(endpoint.address);
    }
  }
  if (out.contains("coordination")) {
    out["coordination"].update(spec_.coordination);
    if (member.aggregators.empty()) {
      out["ownership"] = spec_.ownership;
    }
    if (!spec_.policy.empty()) {
      out["policy"] = spec_.policy;
      out["policy"]["follow"] = true;
      out["policy"]["folder"] = folder_ + "/policy-" + member.name;
    }
  }
  if (out.contains("snapshot")) {
    out["snapshot"]["folder"] = folder_ + "/snapshot-" + member.name;
  }
  return out;
}

void Layout::connect_relays(int degree) { relay_degree_ = degree; }

void Layout::write(const Member& member) const {
  write_file(config_file(member.name), config(member));
  if (member.kind == Kind::kRouter) {
    write_file(operator_file(member.name), operator_config(member));
  }
}

void Layout::write() const {
  write_file(board_file(), first_page());
  for (const Member& one : members_) {
    write(one);
  }
}

std::vector<std::string> Layout::command_line(const Member& member, const std::string& program) const {
  if (member.kind == Kind::kRouter) {
    const std::string& own = spec_.router_program.empty() ? program : spec_.router_program;
    return {own, "serve", "--config", config_file(member.name), "--operator", operator_file(member.name)};
  }
  const char* command = member.kind == Kind::kParent ? "cache" : to_string(member.kind);
  return {program, command, "--config", config_file(member.name)};
}

}  // namespace trailcourse::fleet
