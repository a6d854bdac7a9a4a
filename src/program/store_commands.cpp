#include "program/store_commands.h"

#include <unistd.h>

#include <cerrno>
#include <exception>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>

#include "config/record.h"
#include "store/maintenance.h"

namespace trailcourse::program {
namespace {

using nlohmann::json;

// A line that is written over, on a terminal only.
store::Progress progress_on(std::ostream& errors, const char* what) {
  if (::isatty(STDERR_FILENO) == 0) {
    return [](std::uint64_t, std::uint64_t) {};
  }
  return [&errors, what](std::uint64_t done, std::uint64_t of) {
    errors << '\r' << what << ' ' << done << " of " << of << (done >= of ? "\n" : "") << std::flush;
  };
}

// Both forms of a report come from one JSON object: for programs as it is, for people a line a key.
void print(const json& report, bool as_json, std::ostream& out) {
  if (as_json) {
    out << report.dump(2) << '\n';
    return;
  }
  for (const auto& [name, value] : report.items()) {
    if (value.is_array()) {
      for (const json& one : value) {
        out << name << ": " << (one.is_string() ? one.get<std::string>() : one.dump()) << '\n';
      }
    } else {
      out << name << " = "
          << (value.is_number_integer() ? config::grouped(value.get<std::int64_t>()) : value.dump()) << '\n';
    }
  }
}

int stat(const StoreCommand& command, std::ostream& out) {
  const std::unique_ptr<store::Files> files = store::look_into_folder(command.folder);
  const std::unique_ptr<store::Index> index = store::open_sqlite_index(command.folder, true);
  const store::FolderStat stat = store::stat_folder(*files, *index);
  json report{{"values", stat.values},
              {"parts", stat.parts},
              {"live_bytes", stat.live_bytes},
              {"file_bytes", stat.file_bytes},
              {"segments", stat.segments},
              {"segments_without_use", stat.orphans},
              {"purges", stat.purges},
              {"last_notice", stat.last_sequence},
              {"oldest_copy_ms", stat.oldest_ms},
              {"newest_copy_ms", stat.newest_ms},
              {"damaged_rows", stat.damaged_rows}};
  for (const auto& [rank, count] : stat.by_rank) {
    report["records_of_rank_" + std::to_string(rank)] = count;
  }
  print(report, command.json, out);
  return 0;
}

int verify(const StoreCommand& command, std::ostream& out, std::ostream& errors) {
  const std::unique_ptr<store::Files> files = store::look_into_folder(command.folder);
  const std::unique_ptr<store::Index> index = store::open_sqlite_index(command.folder, true);
  const store::VerifyReport found = store::verify_folder(*files, *index, progress_on(errors, "records"));
  json damaged = json::array();
  for (const store::Damage& one : found.damaged) {
    damaged.push_back(one.location + ": " + one.reason);
  }
  print(json{{"records", found.records},
             {"good", found.good},
             {"bytes", found.bytes},
             {"values_with_parts_missing", found.incomplete},
             {"damaged", found.damaged_total},
             {"damage", damaged}},
        command.json, out);
  return found.damaged_total > 0 ? kDamageFound : 0;
}

int compact(const StoreCommand& command, std::ostream& out, std::ostream& errors) {
  constexpr std::uint64_t kMegabyte = 1U << 20U;
  const std::unique_ptr<store::Files> files = store::open_folder(command.folder);
  const std::unique_ptr<store::Index> index = store::open_sqlite_index(command.folder);
  const store::CompactReport done = store::compact_folder(
      *files, *index, command.least_share, static_cast<std::uint64_t>(command.segment_mb) * kMegabyte,
      progress_on(errors, "segments"));
  print(json{{"segments_before", done.segments_before},
             {"segments_after", done.segments_after},
             {"bytes_before", done.bytes_before},
             {"bytes_after", done.bytes_after},
             {"moved", done.moved},
             {"dropped", done.dropped}},
        command.json, out);
  return 0;
}

int drop(const StoreCommand& command, std::ostream& out, std::ostream& errors) {
  if (!command.yes) {
    errors << "trailcourse: store drop: this removes every copy in " << command.folder << "; say --yes\n";
    return 1;
  }
  const std::unique_ptr<store::Files> files = store::open_folder(command.folder);
  print(json{{"files_removed", store::drop_folder(*files)}}, command.json, out);
  return 0;
}

}  // namespace

int run_store_command(const StoreCommand& command, std::ostream& out, std::ostream& errors) {
  try {
    if (command.action == "stat") {
      return stat(command, out);
    }
    if (command.action == "verify") {
      return verify(command, out, errors);
    }
    if (command.action == "compact") {
      return compact(command, out, errors);
    }
    return drop(command, out, errors);
  } catch (const store::FileError& error) {
    errors << "trailcourse: store: " << error.what() << '\n';
    return error.code() == EWOULDBLOCK ? kFolderInUse : 1;
  } catch (const store::IndexError& error) {
    errors << "trailcourse: store: " << error.what() << '\n';
    return error.damaged() ? kDamageFound : 1;
  }
}

}  // namespace trailcourse::program
