// What a router keeps of the notice board over its restarts: the list and the purges that bind, with the
// number and the name of the board that they are of, and the moment at which they were surely current. And
// the judgement whether a snapshot that is found may be believed.
//
// A file is one line, "trailcourse-snapshot VERSION SUM LENGTH", and LENGTH bytes of JSON whose XXH3 is SUM.
// So a torn or rotten file is known as such before any of it is read.
//
// Package `snapshot`: this file knows no I/O and no clock.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

#include "config/record.h"

namespace trailcourse::snapshot {

// The section `snapshot` of the operator's file.
struct SnapshotOptions {
  std::string folder;
  std::string fleet = "fleet";
  std::int64_t write_ms = 1'000;
  std::int64_t confirm_ms = 10'000;
  std::int64_t most_age_s = 86'400;
};
const config::Record<SnapshotOptions>& snapshot_record();

struct Snapshot {
  std::string fleet;
  std::string router;
  std::string board_address;      // where it was asked
  std::string board_id;           // its own name; empty: it has none
  std::int64_t confirmed_ms = 0;  // Unix: surely current then
  std::int64_t saved_ms = 0;      // Unix
  nlohmann::json page;            // {"rev":N,"notices":[...]}, folded

  std::uint64_t last() const;
};

std::string write_snapshot(const Snapshot& snapshot);

// Why a snapshot is not used.
enum class Refusal {
  kTorn,     // shorter than it says, or not begun as one
  kRotten,   // its sum does not fit
  kVersion,  // of a kind not known here
  kForm,     // its JSON is not a snapshot
  kFleet,    // of another fleet
  kRouter,   // of another router: two share a folder by mistake
  kOld,      // confirmed longer ago than allowed
  kFuture    // of a time yet to come: a clock was set back
};
const char* to_string(Refusal refusal);

struct Expected {
  std::string fleet;
  std::string router;
  std::int64_t now_ms = 0;  // Unix
  std::int64_t most_age_ms = 0;
};

// The snapshot, or why it is not used. No bytes do more than that.
std::variant<Snapshot, Refusal> read_snapshot(std::string_view bytes, const Expected& expected);

}  // namespace trailcourse::snapshot
