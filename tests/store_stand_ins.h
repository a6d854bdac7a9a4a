// Fakes for tests of the store: an executor that is run step by step, a folder in memory that records its
// operations so that the states after crashes can be built, and an index in memory that keeps its state after
// each commit.
#pragma once

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "store/store.h"

namespace trailcourse::testing_support {

// Runs jobs only in drain() and step_write(), in order. Jobs of a lane can be held back, as by a disk that
// does not respond.
class ManualExecutor : public store::Executor {
 public:
  void run(Lane lane, std::function<void()> work, std::function<void()> done) override {
    (lane == Lane::kWrite ? writes_ : reads_).emplace_back(std::move(work), std::move(done));
  }
  // Runs jobs until only those that are held back are left.
  void drain() {
    while (step(writes_, hold_writes) || step(reads_, hold_reads)) {
    }
  }
  bool step_write() { return step(writes_, false); }
  std::size_t reads_waiting() const { return reads_.size(); }

  bool hold_reads = false;
  bool hold_writes = false;

 private:
  using Queue = std::deque<std::pair<std::function<void()>, std::function<void()>>>;

  static bool step(Queue& queue, bool held) {
    if (held || queue.empty()) {
      return false;
    }
    const auto [work, done] = std::move(queue.front());
    queue.pop_front();
    work();
    done();
    return true;
  }

  Queue writes_;
  Queue reads_;
};

// One operation on a folder.
struct FileOp {
  enum class Kind { kCreate, kWrite, kSync, kRemove, kRename, kSyncNames, kCommit };
  Kind kind = Kind::kCreate;
  std::string name;
  std::string other;
  std::uint64_t offset = 0;
  std::string bytes;
};

// The content of a folder: the bytes of each file by name.
using Folder = std::map<std::string, std::string>;

// The state of a folder in memory, shared by its MemoryDirectory and MemoryFile objects.
struct FolderState {
  Folder now;
  std::vector<FileOp> history;
  // Returns the errno with which a call fails; 0: it does not fail.
  std::function<int(const char* call, const std::string& name)> fault = [](const char*, const std::string&) {
    return 0;
  };
  std::uint64_t room = UINT64_MAX;  // bytes of all files; a write beyond it fails with ENOSPC

  void check(const char* call, const std::string& name) const {
    if (const int code = fault(call, name); code != 0) {
      throw store::FileError(std::string(call) + " " + name, code);
    }
  }
  std::uint64_t used() const {
    std::uint64_t out = 0;
    for (const auto& [name, bytes] : now) {
      out += bytes.size();
    }
    return out;
  }
};

class MemoryFile : public store::File {
 public:
  MemoryFile(std::shared_ptr<FolderState> state, std::string name)
      : state_(std::move(state)), name_(std::move(name)) {}

  std::string read(std::uint64_t offset, std::size_t size) override {
    state_->check("read", name_);
    const auto found = state_->now.find(name_);
    if (found == state_->now.end() || offset >= found->second.size()) {
      return {};
    }
    return found->second.substr(offset, size);
  }
  void write(std::uint64_t offset, std::string_view bytes) override {
    state_->check("write", name_);
    if (state_->used() + bytes.size() > state_->room) {
      throw store::FileError("write " + name_, ENOSPC);
    }
    std::string& file = state_->now[name_];
    file.resize(std::max<std::size_t>(file.size(), offset + bytes.size()));
    file.replace(offset, bytes.size(), bytes);
    state_->history.push_back(FileOp{FileOp::Kind::kWrite, name_, "", offset, std::string(bytes)});
  }
  void sync() override {
    state_->check("sync", name_);
    state_->history.push_back(FileOp{FileOp::Kind::kSync, name_, "", 0, ""});
  }
  std::uint64_t size() override { return state_->now[name_].size(); }

 private:
  std::shared_ptr<FolderState> state_;
  std::string name_;
};

class MemoryDirectory : public store::Directory {
 public:
  explicit MemoryDirectory(std::shared_ptr<FolderState> state) : state_(std::move(state)) {}

  std::vector<std::string> list() override {
    state_->check("list", "");
    std::vector<std::string> out;
    for (const auto& [name, bytes] : state_->now) {
      out.push_back(name);
    }
    return out;
  }
  std::unique_ptr<store::File> create(const std::string& name) override {
    state_->check("create", name);
    state_->now[name].clear();
    state_->history.push_back(FileOp{FileOp::Kind::kCreate, name, "", 0, ""});
    return std::make_unique<MemoryFile>(state_, name);
  }
  std::unique_ptr<store::File> open(const std::string& name) override {
    state_->check("open", name);
    if (!state_->now.contains(name)) {
      throw store::FileError("open " + name, ENOENT);
    }
    return std::make_unique<MemoryFile>(state_, name);
  }
  void remove(const std::string& name) override {
    state_->check("remove", name);
    state_->now.erase(name);
    state_->history.push_back(FileOp{FileOp::Kind::kRemove, name, "", 0, ""});
  }
  void rename(const std::string& from, const std::string& to) override {
    state_->now[to] = std::move(state_->now[from]);
    state_->now.erase(from);
    state_->history.push_back(FileOp{FileOp::Kind::kRename, from, to, 0, ""});
  }
  void sync_names() override { state_->history.push_back(FileOp{FileOp::Kind::kSyncNames, "", "", 0, ""}); }

 private:
  std::shared_ptr<FolderState> state_;
};

// The rows, purges and marks after a commit.
struct IndexState {
  std::map<store::Key, store::IndexRow> rows;
  std::map<std::pair<store::PurgeRecord::Kind, std::uint64_t>, std::int64_t> purges;
  store::IndexMarks marks;
};
struct IndexHistory {
  std::vector<IndexState> states{IndexState{}};
  std::function<bool()> fails = [] { return false; };
};

// An index whose commits are atomic, as the tests of the SQLite index require of that one.
class MemoryIndex : public store::Index {
 public:
  MemoryIndex(std::shared_ptr<IndexHistory> history, std::shared_ptr<FolderState> folder)
      : history_(std::move(history)), folder_(std::move(folder)) {}

  store::IndexMarks marks() override { return history_->states.back().marks; }
  std::vector<store::PurgeRecord> purges() override {
    std::vector<store::PurgeRecord> out;
    for (const auto& [which, ms] : history_->states.back().purges) {
      out.push_back(store::PurgeRecord{which.first, which.second, ms});
    }
    return out;
  }
  std::vector<store::IndexRow> rows(const store::Key* after, std::size_t max_rows) override {
    const auto& all = history_->states.back().rows;
    std::vector<store::IndexRow> out;
    for (auto row = after == nullptr ? all.begin() : all.upper_bound(*after);
         row != all.end() && out.size() < max_rows; ++row) {
      out.push_back(row->second);
    }
    return out;
  }
  void commit(const store::IndexBatch& batch) override {
    if (history_->fails()) {
      throw store::IndexError("commit", false);
    }
    IndexState next = history_->states.back();
    for (const store::IndexRow& row : batch.put) {
      next.rows[row.key] = row;
    }
    for (const store::Key& key : batch.erase) {
      next.rows.erase(key);
    }
    for (const store::PurgeRecord& purge : batch.add_purges) {
      std::int64_t& ms =
          next.purges.emplace(std::pair(purge.kind, purge.id), purge.purged_unix_ms).first->second;
      ms = std::max(ms, purge.purged_unix_ms);
    }
    for (const store::PurgeRecord& purge : batch.remove_purges) {
      next.purges.erase({purge.kind, purge.id});
    }
    for (const auto& [name, value] : batch.marks) {
      next.marks[name] = value;
    }
    history_->states.push_back(std::move(next));
    folder_->history.push_back(FileOp{FileOp::Kind::kCommit, "", "", 0, ""});
  }

 private:
  std::shared_ptr<IndexHistory> history_;
  std::shared_ptr<FolderState> folder_;
};

// A store over the fakes, with a clock that the test sets.
struct StoreHarness {
  explicit StoreHarness(const store::Options& store_options = small_options()) : options(store_options) {}

  static store::Options small_options() {
    store::Options options;
    options.folder = "memory";
    options.disk_mb = 16;
    options.memory_mb = 0;
    options.segment_mb = 1;
    options.part_kb = 4;
    options.write_kb_per_s = 0;
    options.expected_objects = 64;
    options.compress = false;
    return options;
  }

  // Opens the store over the current folder and index, as after a restart; runs all jobs.
  store::Store& start() {
    store.reset();
    executor = std::make_unique<ManualExecutor>();
    store::Store::Storage storage;
    storage.open_directory = [state = folder] { return std::make_unique<MemoryDirectory>(state); };
    storage.index = [history = index, state = folder] {
      return std::make_unique<MemoryIndex>(history, state);
    };
    store = std::make_unique<store::Store>(
        options, *executor, storage, [this] { return store::Store::TimeReading{steady_ms, unix_ms}; },
        [this](bool warning, const std::string& message) {
          (warning ? warnings : messages).push_back(message);
        },
        7);
    store->open([this] { opened = true; });
    executor->drain();
    return *store;
  }

  // Returns the copy that is served for a name; nothing on a miss.
  std::optional<store::Copy> get(const store::Name& name, int rank = 2) {
    const store::Store::LookupResult found = store->find(name, rank);
    if (found.tier == store::Store::Tier::kMemory) {
      return found.copy;
    }
    if (found.tier == store::Store::Tier::kAbsent) {
      return std::nullopt;
    }
    std::optional<store::Copy> out;
    store->read(name, [&out](const store::ReadResult& result) {
      if (result.status == store::ReadStatus::kComplete) {
        out = result.copy;
      }
    });
    executor->drain();
    return out;
  }
  // Looks the name up as a request does, then inserts the copy.
  void insert(const store::Name& name, const store::Copy& copy, int rank = 2) {
    store->find(name, rank);
    store->insert(name, copy, rank);
  }

  store::Options options;
  std::shared_ptr<FolderState> folder = std::make_shared<FolderState>();
  std::shared_ptr<IndexHistory> index = std::make_shared<IndexHistory>();
  std::int64_t steady_ms = 1'000;
  std::int64_t unix_ms = 1'764'000'000'000;
  std::vector<std::string> messages;
  std::vector<std::string> warnings;
  bool opened = false;
  std::unique_ptr<ManualExecutor> executor;
  std::unique_ptr<store::Store> store;
};

inline store::Name name_of(int number) {
  char item[17];
  std::snprintf(item, sizeof item, "%016x", number);
  return store::Name::of("media", item, "0");
}

// Returns a copy whose bytes repeat the number, the version and the offset throughout, so that a test detects
// mixed parts.
inline store::Copy copy_of(int number, int version, std::size_t size, std::int64_t origin_time_ms,
                           int group = 3) {
  const std::string label = std::to_string(number) + "." + std::to_string(version) + ";";
  std::string bytes;
  while (bytes.size() < size) {
    bytes += label + std::to_string(bytes.size()) + ",";
  }
  bytes.resize(size);
  return store::Copy{"tag" + std::to_string(number) + "v" + std::to_string(version), origin_time_ms, group,
                     std::make_shared<const std::string>(bytes)};
}

}  // namespace trailcourse::testing_support
