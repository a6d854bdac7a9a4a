// The adapter between the bench protocol and the decision module: it parses JSON lines into events, and
// writes the actions back as JSON lines. It makes no decisions.
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

// Thrown for a line that violates the protocol. The process ends with its text.
using WireError = protocol::FormatError;
using protocol::Profile;
using protocol::read_profile;

// Returns the load report in `values`, an array whose elements are named by `fields`. Unknown fields and
// elements that are not numbers are skipped. Throws WireError if `values` is not an array.
LoadReport read_report(const nlohmann::json& values, const std::vector<std::string>& fields);

// Returns the line that asks the bench to execute the action for the instance, with its line break.
std::string write_action(std::int64_t instance, const Action& action);

// Handles one event of an instance at the given time and appends the actions.
using Handler = std::function<void(Micros, const Event&, std::vector<Action>&)>;
// Returns the handler of a new instance with the settings and the seed of its random draws.
using MakeHandler = std::function<Handler(const Settings&, std::uint64_t seed)>;
// Returns a handler with a Decider of its own.
Handler make_decider(const Settings& settings, std::uint64_t seed);

// Runs the instances of the bench protocol. Not thread-safe.
class Adapter {
 public:
  // Writes replies to `out`, which has to outlive this object. `make` creates the handlers of instances.
  explicit Adapter(std::ostream& out, MakeHandler make = make_decider) : out_(out), make_(std::move(make)) {}

  // Handles one line of input. At the end of a batch, writes the reply to all of it. Throws WireError if the
  // line violates the protocol. An exception of a handler faults its instance alone, which is reported and
  // gets no further events.
  void handle_line(std::string_view line);

 private:
  struct Instance {
    Profile profile;
    Handler handler;
    bool faulted = false;
  };

  void begin_instance(const nlohmann::json& message);
  void store_list(const nlohmann::json& message);
  void finish_batch();
  void handle_event(const std::string& type, const nlohmann::json& message);
  void run(std::int64_t id, Instance& instance, const Event& event);
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
