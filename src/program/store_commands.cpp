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

// Returns a callback that updates a progress line on a terminal, and does nothing elsewhere.
store::Progress make_progress(std::ostream& errors, const char* label) {
  if (::isatty(STDERR_FILENO) == 0) {
    return [](std::uint64_t, std::uint64_t) {};
  }
  return [&errors, label](std::uint64_t done, std::uint64_t total) {
    errors << '\r' << label << ' ' << done << " of " << total << (done >= total ? "\n" : "") << std::flush;
  };
}

// Prints a report as JSON, or as one line per key.
void print_report(const json& report, bool as_json, std::ostream& out) {
  if (as_json) {
    out << report.dump(2) << '\n';
    return;
  }
  for (const auto& [name, value] : report.items()) {
    if (value.is_array()) {
      for (const json& item : value) {
        out << name << ": " << (item.is_string() ? item.get<std::string>() : item.dump()) << '\n';
      }
    } else {
      out << name << " = "
          << (value.is_number_integer() ? config::grouped(value.get<std::int64_t>()) : value.dump()) << '\n';
    }
  }
}

int stat(const StoreCommand& command, std::ostream& out) {
  const std::unique_ptr<store::Directory> directory = store::open_folder_unlocked(command.folder);
  const std::unique_ptr<store::Index> index = store::open_sqlite_index(command.folder, true);
  const store::FolderStat stat = store::stat_folder(*directory, *index);
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
  print_report(report, command.json, out);
  return 0;
}

int verify(const StoreCommand& command, std::ostream& out, std::ostream& errors) {
  const std::unique_ptr<store::Directory> directory = store::open_folder_unlocked(command.folder);
  const std::unique_ptr<store::Index> index = store::open_sqlite_index(command.folder, true);
  const store::VerifyReport report =
      store::verify_folder(*directory, *index, make_progress(errors, "records"));
  json damage_lines = json::array();
  for (const store::Damage& damage : report.damaged) {
    damage_lines.push_back(damage.location + ": " + damage.reason);
  }
  print_report(json{{"records", report.records},
                    {"good", report.good},
                    {"bytes", report.bytes},
                    {"values_with_parts_missing", report.incomplete},
                    {"damaged", report.damaged_total},
                    {"damage", damage_lines}},
               command.json, out);
  return report.damaged_total > 0 ? kDamageFound : 0;
}

int compact(const StoreCommand& command, std::ostream& out, std::ostream& errors) {
  constexpr std::uint64_t kMegabyte = 1U << 20U;
  const std::unique_ptr<store::Directory> directory = store::open_folder(command.folder);
  const std::unique_ptr<store::Index> index = store::open_sqlite_index(command.folder);
  const store::CompactReport report = store::compact_folder(
      *directory, *index, command.min_live_share, static_cast<std::uint64_t>(command.segment_mb) * kMegabyte,
      make_progress(errors, "segments"));
  print_report(json{{"segments_before", report.segments_before},
                    {"segments_after", report.segments_after},
                    {"bytes_before", report.bytes_before},
                    {"bytes_after", report.bytes_after},
                    {"moved", report.moved},
                    {"dropped", report.dropped}},
               command.json, out);
  return 0;
}

int drop(const StoreCommand& command, std::ostream& out, std::ostream& errors) {
  if (!command.yes) {
    errors << "trailcourse: store drop: this removes every copy in " << command.folder
           << "; confirm with --yes\n";
    return 1;
  }
  const std::unique_ptr<store::Directory> directory = store::open_folder(command.folder);
  print_report(json{{"files_removed", store::drop_folder(*directory)}}, command.json, out);
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
