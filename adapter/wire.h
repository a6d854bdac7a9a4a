// The bench wire: JSON lines in, decider events out, and decider actions back as JSON lines. Mechanical on
// purpose.
#pragma once

#include <trailcourse/decider.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/json_fields.h"
#include "protocol/settings.h"

namespace trailcourse::wire {

// A line that cannot be used; the process ends with its text.
using WireError = protocol::FormatError;
using protocol::Profile;
using protocol::read_profile;

LoadReport read_report(const nlohmann::json& values, const std::vector<std::string>& fields);
std::string write_action(std::int64_t instance, const Action& action);

// Takes one event of an instance and appends its actions.
using Handler = std::function<void(Micros, const Event&, std::vector<Action>&)>;
using MakeHandler = std::function<Handler(const Settings&, std::uint64_t seed)>;
Handler make_decider(const Settings& settings, std::uint64_t seed);

class Adapter {
 public:
  explicit Adapter(std::ostream& out, MakeHandler make = make_decider) : out_(out), make_(std::move(make)) {}

  // Takes one line; writes the whole reply when the batch is complete.
  void take_line(std::string_view line);

 private:
  struct Instance {
    Profile profile;
    Handler handler;
    bool faulted = false;
  };

  void begin_instance(const nlohmann::json& message);
  void store_list(const nlohmann::json& message);
  void finish_batch();
  void take_event(const std::string& type, const nlohmann::json& message);
  void run(std::int64_t number, Instance& instance, const Event& event);
  Instance* find_instance(const nlohmann::json& message);
  EndpointListReceived read_list(const nlohmann::json& message, const Profile& profile) const;

  std::ostream& out_;
  MakeHandler make_;
  Micros now_{0};
  std::int64_t serial_ = 0;
  bool in_batch_ = false;
  std::string reply_;
  std::vector<Action> actions_;
  std::map<std::int64_t, nlohmann::json> lists_;
  std::map<std::int64_t, Instance> instances_;
};

}  // namespace trailcourse::wire
