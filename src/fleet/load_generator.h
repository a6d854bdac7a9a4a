// Requests to routers, as a web server sends them, and what became of each: the record that checkers judge.
//
// Package `fleet`, over `protocol` and `transport`. One thread. Loopback only; as many requests as are asked
// for.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "transport/connection.h"

namespace trailcourse::fleet {

struct Asked {
  std::uint64_t id = 0;
  std::string router;
  std::string object;
  transport::Clock::time_point sent;
  std::optional<transport::Clock::time_point> answered;
  int answers = 0;              // whole ones; more than one breaks a rule
  int status = 0;               // of the first; 0: none yet, or none that can be read
  std::string via;              // "cache/attempt/note" by X-Via
  std::string policy;           // the version by X-Policy: "7", "6+7", "-"; empty where none was told
  std::int64_t decided_us = 0;  // when by the machine's steady clock, by the same
  std::string body;             // where wanted
  std::size_t bytes = 0;
  int version = 0;                // of a made object: what its first line says; 0: it has none
  bool connection_ended = false;  // before the whole answer
};

class Load {
 public:
  struct Options {
    std::string request_class = "media";
    std::chrono::milliseconds patience{2'000};
    double size_kb = 0.0;
    bool keep_bodies = false;
  };

  Load(transport::Scheduler& scheduler, Options options, std::uint64_t seed);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // Sends one request; its place among all(). A connection that has ended is opened anew.
  std::size_t ask(const std::string& router, const transport::Address& address, const std::string& object);
  const std::vector<Asked>& all() const { return asked_; }
  // Sent, the connection still up, not yet answered.
  std::size_t open() const { return open_; }
  std::size_t open_at(const std::string& router) const;

 private:
  class Link;

  transport::Scheduler& scheduler_;
  Options options_;
  std::uint64_t next_id_;
  std::vector<Asked> asked_;
  std::map<std::string, std::shared_ptr<Link>> links_;
  std::size_t open_ = 0;
};

// The sixteen hex digits of an object by its number.
std::string object_name(std::uint64_t number);

}  // namespace trailcourse::fleet
