// Every way in which a crash can leave a folder, given what was done to it: each prefix of the history; of
// what was not synced, each write there, not there, or torn at sector borders, in any combination; each name
// made or removed and not synced, there or not; and the index at any commit up to then.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "store_stand_ins.h"

namespace trailcourse::testing_support {

inline constexpr std::size_t kSector = 512;

// How much of an unsynced write is there: nothing, all, the sectors up to one, those from one on, every other
// one.
inline std::size_t torn_ways(const FileOp& write) {
  const std::size_t sectors = (write.offset + write.bytes.size() - 1) / kSector - write.offset / kSector + 1;
  return 4 + 2 * sectors;
}
inline constexpr std::size_t kWhole = 1;

inline void apply_torn(std::string& file, const FileOp& write, std::size_t way) {
  if (way == 0) {
    return;
  }
  file.resize(std::max<std::size_t>(file.size(), write.offset + write.bytes.size()));
  // Sectors of the file, not of the write: a write that begins within one shares it.
  const std::size_t first = write.offset / kSector;
  for (std::size_t i = 0; i < write.bytes.size(); ++i) {
    const std::size_t sector = (write.offset + i) / kSector - first;
    const std::size_t border = way < 4 ? 0 : (way - 4) / 2;
    const bool there = way == kWhole || (way == 2 && sector % 2 == 0) || (way == 3 && sector % 2 == 1) ||
                       (way >= 4 && (way % 2 == 0 ? sector < border : sector >= border));
    if (there) {
      file[write.offset + i] = write.bytes[i];
    }
  }
}

// Calls `look` with each state of the folder and the number of the index's state; gives how many there were.
inline std::size_t each_crash_state(const std::vector<FileOp>& history,
                                    const std::function<void(const Folder&, std::size_t commit)>& look) {
  std::size_t count = 0;
  for (std::size_t length = 0; length <= history.size(); ++length) {
    Folder durable;  // names and bytes that are sure to be there
    std::vector<FileOp> writes;
    std::vector<FileOp> names;
    std::map<std::string, std::string> removed;
    std::size_t commits = 0;
    for (std::size_t i = 0; i < length; ++i) {
      const FileOp& op = history[i];
      switch (op.kind) {
        case FileOp::Kind::kCreate:
        case FileOp::Kind::kRemove:
          if (op.kind == FileOp::Kind::kRemove) {
            removed[op.name] = durable[op.name];
            std::erase_if(writes, [&op](const FileOp& one) { return one.name == op.name; });
          }
          names.push_back(op);
          durable[op.name].clear();
          break;
        case FileOp::Kind::kWrite:
          writes.push_back(op);
          break;
        case FileOp::Kind::kSync:
          for (const FileOp& write : writes) {
            if (write.name == op.name) {
              apply_torn(durable[op.name], write, kWhole);
            }
          }
          std::erase_if(writes, [&op](const FileOp& one) { return one.name == op.name; });
          break;
        case FileOp::Kind::kSyncNames:
          for (const FileOp& name : names) {
            if (name.kind == FileOp::Kind::kRemove) {
              durable.erase(name.name);
            }
          }
          names.clear();
          break;
        case FileOp::Kind::kRename:
          break;
        case FileOp::Kind::kCommit:
          ++commits;
          break;
      }
    }
    std::size_t ways = 1;
    for (const FileOp& write : writes) {
      ways *= torn_ways(write);
    }
    for (std::size_t way = 0; way < ways; ++way) {
      for (std::size_t name_way = 0; name_way < (std::size_t{1} << names.size()); ++name_way) {
        Folder folder = durable;
        std::size_t digits = way;
        for (const FileOp& write : writes) {
          apply_torn(folder[write.name], write, digits % torn_ways(write));
          digits /= torn_ways(write);
        }
        for (std::size_t i = 0; i < names.size(); ++i) {
          const bool done = ((name_way >> i) & 1U) != 0;
          const bool removal = names[i].kind == FileOp::Kind::kRemove;
          if (removal && !done) {
            folder[names[i].name] = removed[names[i].name];
          } else if (removal == done) {
            folder.erase(names[i].name);
          }
        }
        for (std::size_t commit = 0; commit <= commits; ++commit) {
          look(folder, commit);
          ++count;
        }
      }
    }
  }
  return count;
}

}  // namespace trailcourse::testing_support
