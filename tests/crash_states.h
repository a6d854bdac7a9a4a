// All states in which a crash can leave a folder with a given history of operations: after each prefix of the
// history, every combination of unsynced writes that are present, absent or torn at sector borders, and of
// unsynced creations and removals that are present or absent; and the index at any commit up to then.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store_stand_ins.h"

namespace trailcourse::testing_support {

inline constexpr std::size_t kSector = 512;

// Returns the number of ways in which an unsynced write can be torn. Present are: nothing, all, every other
// sector, the sectors before a border, or those behind it.
inline std::size_t torn_ways(const FileOp& write) {
  const std::size_t sectors = (write.offset + write.bytes.size() - 1) / kSector - write.offset / kSector + 1;
  return 4 + 2 * sectors;
}
inline constexpr std::size_t kAllWritten = 1;  // the way in which all of the write is present

// Applies one way of a torn write to a file.
inline void apply_torn(std::string& file, const FileOp& write, std::size_t way) {
  if (way == 0) {
    return;
  }
  file.resize(std::max<std::size_t>(file.size(), write.offset + write.bytes.size()));
  // Sectors are those of the file: a write that begins within a sector shares it with the write before.
  const std::size_t first = write.offset / kSector;
  for (std::size_t i = 0; i < write.bytes.size(); ++i) {
    const std::size_t sector = (write.offset + i) / kSector - first;
    const std::size_t border = way < 4 ? 0 : (way - 4) / 2;
    const bool present = way == kAllWritten || (way == 2 && sector % 2 == 0) ||
                         (way == 3 && sector % 2 == 1) ||
                         (way >= 4 && (way % 2 == 0 ? sector < border : sector >= border));
    if (present) {
      file[write.offset + i] = write.bytes[i];
    }
  }
}

// The durable content of a folder after a prefix of its history, and the operations that a crash may undo.
struct HistoryPrefix {
  Folder durable;  // names and bytes that survive any crash
  std::vector<FileOp> unsynced_writes;
  std::vector<FileOp> unsynced_names;          // created or removed
  std::map<std::string, std::string> removed;  // bytes of files whose removal may be undone
  std::size_t commits = 0;

  void apply(const FileOp& op) {
    switch (op.kind) {
      case FileOp::Kind::kCreate:
        change_name(op);
        break;
      case FileOp::Kind::kRemove:
        removed[op.name] = durable[op.name];
        forget_writes(op.name);
        change_name(op);
        break;
      case FileOp::Kind::kWrite:
        unsynced_writes.push_back(op);
        break;
      case FileOp::Kind::kSync:
        sync(op.name);
        break;
      case FileOp::Kind::kSyncNames:
        sync_names();
        break;
      case FileOp::Kind::kRename:
        break;
      case FileOp::Kind::kCommit:
        ++commits;
        break;
    }
  }

  // Returns the number of combinations of ways of the unsynced writes.
  std::size_t write_ways() const {
    std::size_t ways = 1;
    for (const FileOp& write : unsynced_writes) {
      ways *= torn_ways(write);
    }
    return ways;
  }
  // Returns the number of combinations of unsynced names that are present or absent.
  std::size_t name_ways() const { return std::size_t{1} << unsynced_names.size(); }

  // Returns the folder after a crash, for one combination of writes and one of names.
  Folder after_crash(std::size_t write_way, std::size_t name_way) const {
    Folder folder = durable;
    for (const FileOp& write : unsynced_writes) {
      apply_torn(folder[write.name], write, write_way % torn_ways(write));
      write_way /= torn_ways(write);
    }
    for (std::size_t i = 0; i < unsynced_names.size(); ++i) {
      const FileOp& change = unsynced_names[i];
      const bool done = ((name_way >> i) & 1U) != 0;
      const bool removal = change.kind == FileOp::Kind::kRemove;
      if (removal && !done) {
        folder[change.name] = removed.at(change.name);
      } else if (removal == done) {
        folder.erase(change.name);
      }
    }
    return folder;
  }

 private:
  void change_name(const FileOp& op) {
    unsynced_names.push_back(op);
    durable[op.name].clear();
  }
  void forget_writes(const std::string& name) {
    std::erase_if(unsynced_writes, [&name](const FileOp& write) { return write.name == name; });
  }
  void sync(const std::string& name) {
    for (const FileOp& write : unsynced_writes) {
      if (write.name == name) {
        apply_torn(durable[name], write, kAllWritten);
      }
    }
    forget_writes(name);
  }
  void sync_names() {
    for (const FileOp& change : unsynced_names) {
      if (change.kind == FileOp::Kind::kRemove) {
        durable.erase(change.name);
      }
    }
    unsynced_names.clear();
  }
};

// Calls `check` with each state after a crash behind this prefix, and with each commit of the index up to
// then. Returns the number of calls.
inline std::size_t each_crash_state_after(
    const HistoryPrefix& prefix, const std::function<void(const Folder&, std::size_t commit)>& check) {
  std::size_t count = 0;
  for (std::size_t write_way = 0; write_way < prefix.write_ways(); ++write_way) {
    for (std::size_t name_way = 0; name_way < prefix.name_ways(); ++name_way) {
      const Folder folder = prefix.after_crash(write_way, name_way);
      for (std::size_t commit = 0; commit <= prefix.commits; ++commit) {
        check(folder, commit);
        ++count;
      }
    }
  }
  return count;
}

// Calls `check` with each state after a crash behind any prefix of the history, and with the number of the
// index's commit. Returns the number of calls.
inline std::size_t each_crash_state(const std::vector<FileOp>& history,
                                    const std::function<void(const Folder&, std::size_t commit)>& check) {
  HistoryPrefix prefix;
  std::size_t count = each_crash_state_after(prefix, check);
  for (const FileOp& op : history) {
    prefix.apply(op);
    count += each_crash_state_after(prefix, check);
  }
  return count;
}

}  // namespace trailcourse::testing_support
