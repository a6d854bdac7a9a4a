// Faults of a fleet as a script: what happens to which process or link, and when. A script is text, a fault a
// line, and plays the same each time; one can be drawn from a seed, written out, and played again.
//
//     # ms   what      target              value
//     1200   kill      router3
//     1500   start     router3
//     2000   cut       router*>board       in        (in, out or both; heal ends it)
//     2500   heal      router*>board
//
// Package `fleet`: no I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace trailcourse::fleet {

enum class FaultKind {
  kStart,     // a process that is down
  kKill,      // SIGKILL
  kEnd,       // SIGTERM
  kStop,      // SIGSTOP
  kCont,      // SIGCONT
  kHup,       // SIGHUP
  kCut,       // a link: nothing passes, nothing ends: in (to who asked), out, both
  kDelay,     // a link: each byte comes so many ms later
  kReset,     // a link: its connections are reset, once
  kRefuse,    // a link: new connections are reset
  kSlow,      // a link: so many bytes a second
  kTruncate,  // a link: each answer breaks off after so many bytes
  kHeal       // a link: all of that ends
};

struct Fault {
  std::int64_t at_ms = 0;
  FaultKind kind = FaultKind::kStart;
  std::string target;     // a name, or a link "FROM>TO"; '*' stands for any run of characters
  std::string direction;  // of a cut
  std::int64_t value = 0;

  friend bool operator==(const Fault&, const Fault&) = default;
};

bool is_link_fault(FaultKind kind);

// Throws std::invalid_argument that names the line and what is wrong with it. Sorted by time, lines of one
// time in the order given.
std::vector<Fault> read_script(std::string_view text);
std::string write_script(const std::vector<Fault>& script);

// Whether a name fits a pattern with '*'.
bool fits(std::string_view pattern, std::string_view name);

struct Draw {
  std::vector<std::string> processes;  // that may be killed, stopped and started again
  std::vector<std::string> links;
  std::int64_t length_ms = 10'000;
  int faults = 10;
  std::int64_t longest_ms = 2'000;  // of one fault, until it is mended
};
// Every fault that is drawn is mended by the end: what was killed runs, what was stopped goes on, links are
// sound.
std::vector<Fault> draw_script(const Draw& draw, std::uint64_t seed);

// Shorter scripts to try in the place of one that fails: halves, then all but one; each mends what it breaks.
std::vector<std::vector<Fault>> shorter(const std::vector<Fault>& script);

}  // namespace trailcourse::fleet
