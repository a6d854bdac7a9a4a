// Fault scripts of a fleet: which fault happens to which process or link, and when. A script is text with one
// fault per line, and replays identically. A random script can be generated from a seed, written and
// replayed.
//
//     # ms   fault     target              value
//     1200   kill      router3
//     1500   start     router3
//     2000   cut       router*>board       in        (in, out or both; ended by heal)
//     2500   heal      router*>board
//
// Library `fleet`: no I/O and no clock.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace trailcourse::fleet {

enum class FaultKind {
  kStart,     // starts a process that is not running
  kKill,      // SIGKILL
  kEnd,       // SIGTERM
  kStop,      // SIGSTOP
  kCont,      // SIGCONT
  kHup,       // SIGHUP
  kCut,       // a link: forwards neither bytes nor a close, towards the server (out), the client (in) or both
  kDelay,     // a link: forwards each byte `value` ms later
  kReset,     // a link: resets its open connections, once
  kRefuse,    // a link: resets new connections
  kSlow,      // a link: forwards `value` bytes a second
  kTruncate,  // a link: ends each answer after `value` bytes
  kHeal       // a link: ends all of its faults
};

struct Fault {
  std::int64_t at_ms = 0;
  FaultKind kind = FaultKind::kStart;
  std::string target;      // a member, or a link "FROM>TO"; '*' matches any run of characters
  std::string direction;   // of a cut: "in", "out" or "both"
  std::int64_t value = 0;  // ms, bytes a second or bytes: see FaultKind

  friend bool operator==(const Fault&, const Fault&) = default;
};

bool is_link_fault(FaultKind kind);

// Returns the faults sorted by time; faults of the same time keep the order of their lines. Throws
// std::invalid_argument with the number of the malformed line, the reason and the line.
std::vector<Fault> read_script(std::string_view text);
std::string write_script(const std::vector<Fault>& script);

// Returns whether a name matches a pattern with '*'.
bool matches_pattern(std::string_view pattern, std::string_view name);

struct RandomScriptOptions {
  std::vector<std::string> processes;  // that may be killed, stopped and started again
  std::vector<std::string> links;
  std::int64_t length_ms = 10'000;
  int faults = 10;
  std::int64_t max_fault_ms = 2'000;  // from the start of a fault to its repair
};

// Returns a script that depends on the options and the seed only. Every fault is repaired by the end: killed
// processes are started, stopped ones are continued, and links are healed.
std::vector<Fault> random_script(const RandomScriptOptions& options, std::uint64_t seed);

// Returns shorter scripts to try in place of one that fails: each half, then the script without one fault.
// Each repairs its own faults.
std::vector<std::vector<Fault>> shrunk_scripts(const std::vector<Fault>& script);

}  // namespace trailcourse::fleet
