// The adapter between the bench protocol and the decision module. It parses JSON lines into events, and
// writes the actions as JSON lines. It makes no decisions.
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

// Thrown for a line that violates the protocol. The process prints its text and exits with status 2.
using WireError = protocol::FormatError;
using protocol::DeploymentSettings;
using protocol::read_deployment_settings;

// Returns the load report in `values`, an array whose elements have the names in `fields`. Unknown fields and
// elements that are not numbers are skipped. Throws WireError if `values` is not an array.
LoadReport read_report(const nlohmann::json& values, const std::vector<std::string>& fields);

// Returns the line, with its line break, that requests the bench to execute the action for the instance.
std::string write_action(std::int64_t instance, const Action& action);

// Handles one event of an instance at the given time, and appends the actions to the vector.
using Handler = std::function<void(Micros, const Event&, std::vector<Action>&)>;
// Creates the handler of a new instance from its settings and the seed of its random numbers.
using MakeHandler = std::function<Handler(const Settings&, std::uint64_t seed)>;
// Returns a handler that owns a new Decider.
Handler make_decider(const Settings& settings, std::uint64_t seed);

// Runs the instances of the bench protocol. Not thread-safe.
class Adapter {
 public:
  // Writes replies to `out`, which has to outlive this object.
  explicit Adapter(std::ostream& out, MakeHandler make_handler = make_decider)
      : out_(out), make_handler_(std::move(make_handler)) {}

  // Handles one line of input. The last line of a batch writes the replies to the whole batch. Throws
  // WireError if the line violates the protocol. If a handler throws an exception, only its instance is
  // faulted: the fault is reported, and the instance gets no further events.
  void handle_line(std::string_view line);

 private:
  struct Instance {
    DeploymentSettings deployment;
    Handler handler;
    bool faulted = false;  // its handler threw an exception
  };

  void begin_instance(const nlohmann::json& message);
  void store_list(const nlohmann::json& message);
  void finish_batch();
  void handle_event(const std::string& type, const nlohmann::json& message);
  void run(std::int64_t id, Instance& instance, const Event& event);
  // Returns the instance of the message, or null if it is faulted.
  Instance* find_instance(const nlohmann::json& message);
  EndpointListReceived read_list(const nlohmann::json& message, const DeploymentSettings& deployment) const;

  std::ostream& out_;
  MakeHandler make_handler_;
  Micros now_{0};
  std::int64_t serial_ = 0;
  bool in_batch_ = false;
  std::string reply_;
  std::vector<Action> actions_;
  std::map<std::int64_t, nlohmann::json> lists_;  // endpoint lists by the number in the message field `Table`
  std::map<std::int64_t, Instance> instances_;
};

}  // namespace trailcourse::wire
