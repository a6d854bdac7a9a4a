// Tests compatibility with files that an earlier version recorded (tests/fixtures/README.md): this version
// reads each of them and writes the same bytes again.
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "coordination/key_value_database.h"
#include "discovery/event_log.h"
#include "fencing/token_store.h"
#include "membership/member_records.h"
#include "ownership/work_records.h"
#include "policy/document.h"
#include "policy/rollout.h"
#include "program/discovery_file_server.h"
#include "program/operator_file.h"
#include "protocol/discovery_page.h"
#include "snapshot/snapshot.h"
#include "store/format.h"
#include "store/maintenance.h"
#include "store/store.h"
#include "store_stand_ins.h"

namespace trailcourse {
namespace {

using nlohmann::json;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

constexpr const char* kPurgedObject = "5c0f6e1a2b3d4c59";
constexpr std::int64_t kPurgedUnixMs = 1'796'234'020'305;
constexpr snapshot::UnixTime kSnapshotConfirmedAt(std::chrono::milliseconds(1'796'234'020'016));
constexpr std::uint64_t kStoreId = 115'066'598'373'453;
const std::string kKeyPrefix = "trailcourse/";

std::string read_file(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  EXPECT_TRUE(file.is_open()) << path;
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::filesystem::path fixture(const std::string& name) {
  return std::filesystem::path(TRAILCOURSE_SOURCE_DIR) / "tests" / "fixtures" / name;
}

// Returns the kinds of the endpoints in the recorded list.
protocol::DeploymentSettings deployment() {
  protocol::DeploymentSettings out;
  out.kinds = {"std", "parent", "origin"};
  out.parent_kind = 1;
  out.origin_kind = 2;
  return out;
}

// Opens copies of the recorded files, so that the originals stay unchanged.
class RecordedFiles : public testing::Test {
 public:
  ~RecordedFiles() override { std::filesystem::remove_all(folder_); }

 protected:
  RecordedFiles() : folder_(testing::TempDir() + "trailcourse-recorded-" + std::to_string(::getpid())) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
  }

  std::string copy_of_fixture(const std::string& name) const {
    std::filesystem::copy(fixture(name), folder_ / name, std::filesystem::copy_options::recursive);
    return (folder_ / name).string();
  }

  std::filesystem::path folder_;
};

// ---- Discovery: the file of the discovery service, and a router's snapshot of it ----

TEST_F(RecordedFiles, ReadsADiscoveryPageCompletelyAndServesItUnchanged) {
  const json page = json::parse(read_file(fixture("board_page.json")));
  const protocol::DiscoveryPage read = protocol::read_discovery_page(page, deployment());
  EXPECT_EQ(read.last_sequence, 3U);
  EXPECT_THAT(read.updates, SizeIs(3));
  EXPECT_THAT(read.skipped, IsEmpty());
  const auto& list = std::get<protocol::EndpointsChanged>(read.updates[0].change);
  EXPECT_TRUE(list.complete);
  ASSERT_THAT(list.endpoints, SizeIs(3));
  EXPECT_EQ(list.endpoints[2].network_address, "127.64.36.211:10004");
  const auto& purge = std::get<protocol::PurgeReceived>(read.updates[1].change);
  EXPECT_EQ(purge.object, 0x5c0f6e1a2b3d4c59U);
  EXPECT_EQ(purge.purged_unix_ms, kPurgedUnixMs);
  EXPECT_EQ(std::get<protocol::PurgeReceived>(read.updates[2].change).group, 17U);

  discovery::EventLog log;
  log.replace(page);
  EXPECT_EQ(json::parse(*log.page_after(0)), page);
}

TEST_F(RecordedFiles, AppendsAnEventToADiscoveryPageInTheSameForm) {
  const std::string file = copy_of_fixture("board_page.json");
  const json event{{"flush", {{"collection", 18}, {"ms", kPurgedUnixMs}}}};
  EXPECT_EQ(program::append_event(file, event), 4U);

  json expected = json::parse(read_file(fixture("board_page.json")));
  expected["rev"] = 4;
  expected["notices"].push_back({{"flush", {{"collection", 18}, {"ms", kPurgedUnixMs}}}, {"rev", 4}});
  EXPECT_EQ(read_file(file), expected.dump(1) + "\n");
}

TEST_F(RecordedFiles, AcceptsASnapshotAndEncodesTheSameBytes) {
  const std::string bytes = read_file(fixture("snapshot"));
  const auto read = snapshot::decode_snapshot(
      bytes, {"demo", "router0", kSnapshotConfirmedAt + std::chrono::seconds(1), std::chrono::minutes(1)});
  ASSERT_TRUE(read.has_value());
  const snapshot::Snapshot& found = *read;
  EXPECT_EQ(found.last_sequence(), 3U);
  EXPECT_EQ(found.source_id, "80e49a025244b24f");
  EXPECT_EQ(found.confirmed_at, kSnapshotConfirmedAt);
  EXPECT_THAT(protocol::read_discovery_page(found.page, deployment()).updates, SizeIs(3));
  EXPECT_EQ(snapshot::encode_snapshot(found), bytes);
}

// ---- The fleet's policy ----

TEST_F(RecordedFiles, ReadsAPolicyDocumentAndWritesTheSameBytes) {
  const std::string bytes = read_file(fixture("policy_document.json"));
  const policy::PolicyDocument document = policy::read_document(bytes);
  EXPECT_EQ(document.version, 1U);
  EXPECT_EQ(document.author, "kim");
  EXPECT_EQ(document.reason, "payout evening");
  ASSERT_TRUE(document.content.classes.contains("media"));
  EXPECT_EQ(document.content.classes.at("media").objective_ms, 900);
  EXPECT_EQ(document.content.classes.at("media").give_up_ms, 4'000);
  EXPECT_EQ(document.content.limits.open_requests, 8'000);
  EXPECT_THAT(document.content.limits.work, ElementsAre("probe", "report", "policy"));
  EXPECT_EQ(policy::write_document_text(document), bytes);
}

TEST_F(RecordedFiles, ReadsAPolicyDraftAsTheContentOfItsDocument) {
  const policy::PolicyDocument draft = policy::read_draft(read_file(fixture("policy_draft.json")));
  const policy::PolicyDocument document = policy::read_document(read_file(fixture("policy_document.json")));
  EXPECT_EQ(draft.content, document.content);
}

// ---- The coordination store ----

// The entries and leases of the recorded store, opened as `trailcourse registry` does.
class RecordedRegistry : public RecordedFiles {
 protected:
  RecordedRegistry()
      : file_(copy_of_fixture("registry"), coordination::KeyValueLimits{},
              coordination::KeyValueDatabase::Sharing::kExclusive) {}

  std::string value(const std::string& key) const {
    const auto found = file_.state().entries().find(kKeyPrefix + key);
    return found == file_.state().entries().end() ? "no such entry" : found->second.value;
  }

  coordination::KeyValueDatabase file_;
};

TEST_F(RecordedRegistry, RestoresIdRevisionEntriesAndLeases) {
  EXPECT_EQ(file_.id(), kStoreId);
  EXPECT_EQ(file_.state().revision(), 22U);
  EXPECT_THAT(file_.state().entries(), SizeIs(20));
  std::vector<std::int64_t> ttls;
  for (const auto& [id, lease] : file_.state().leases()) {
    ttls.push_back(lease.ttl.count());
  }
  EXPECT_THAT(ttls, ElementsAre(10'000, 10'000, 6'000, 6'000));
  const coordination::Entry& owner = file_.state().entries().at(kKeyPrefix + "fleet/own/counts/0");
  EXPECT_EQ(owner.created, 9U);
  EXPECT_EQ(owner.lease, 7'340'036U);
}

TEST_F(RecordedRegistry, ContinuesFromItsRevisionAndStoresNewEntries) {
  coordination::Revision revision = 0;
  file_.transact(coordination::KeyValueDatabase::boot_time(),
                 coordination::KeyValueDatabase::Durability::kSynced,
                 [&](coordination::KeyValueState& state) {
                   coordination::Transaction transaction;
                   transaction.then = {coordination::Put{kKeyPrefix + "fleet/work/new", "value", 0}};
                   state.commit(transaction);
                   revision = state.revision();
                 });
  EXPECT_EQ(revision, 23U);
  EXPECT_EQ(value("fleet/work/new"), "value");
}

TEST_F(RecordedRegistry, ReadsMembersAndWritesTheSameBytes) {
  const std::string key = "fleet/members/router0/6e4a23d890dd1fa0";
  const auto member = membership::read_member(key, value(key));
  ASSERT_TRUE(member.has_value());
  EXPECT_EQ(member->name, "router0");
  EXPECT_EQ(member->zone, "edge");
  EXPECT_EQ(membership::write_member(*member), value(key));
}

TEST_F(RecordedRegistry, ReadsWorkAndWritesTheSameBytes) {
  const std::string work_key = "fleet/work/evening";
  const auto work = ownership::read_work(work_key, value(work_key));
  ASSERT_TRUE(work.has_value());
  EXPECT_EQ(work->kind, "fill");
  EXPECT_EQ(ownership::write_work(*work), value(work_key));

  const auto owner = ownership::read_owner(value("fleet/own/counts/0"), 9);
  ASSERT_TRUE(owner.has_value());
  EXPECT_EQ(owner->member, "router0");
  EXPECT_EQ(ownership::write_owner(*owner), value("fleet/own/counts/0"));

  for (const char* key : {"progress/counts/0", "progress/evening/0", "progress/policy/0"}) {
    const auto progress = ownership::read_progress(value(key));
    ASSERT_TRUE(progress.has_value()) << key;
    EXPECT_EQ(ownership::write_progress(*progress), value(key));
  }
}

TEST_F(RecordedRegistry, ReadsAPolicyRolloutAndWritesTheSameBytes) {
  const auto rollout = policy::read_rollout(value("policy/change"));
  ASSERT_TRUE(rollout.has_value());
  EXPECT_EQ(rollout->target_version, 1U);
  EXPECT_EQ(rollout->state, policy::RolloutState::kDone);
  EXPECT_EQ(policy::write_rollout(*rollout), value("policy/change"));
  EXPECT_EQ(value("policy/current"), "1");
  EXPECT_EQ(value("policy/documents/1"), read_file(fixture("policy_document.json")));
}

// ---- Cache nodes ----

class RecordedDiskTier : public RecordedFiles {
 protected:
  RecordedDiskTier() : path_(copy_of_fixture("disk_tier")) {}

  std::string path_;
};

TEST_F(RecordedDiskTier, VerifiesTheChecksumsOfEachRecord) {
  const auto directory = store::open_folder_unlocked(path_);
  const auto index = store::open_sqlite_index(path_, true);
  const store::VerifyReport verified =
      store::verify_folder(*directory, *index, [](std::uint64_t, std::uint64_t) {});
  EXPECT_EQ(verified.records, 4U);
  EXPECT_EQ(verified.good, 4U);
  EXPECT_EQ(verified.damaged_total, 0U);
  const store::FolderStat stat = store::stat_folder(*directory, *index);
  EXPECT_EQ(stat.purges, 2U);
  EXPECT_EQ(stat.last_sequence, 3);
  EXPECT_EQ(stat.damaged_rows, 0U);
}

TEST_F(RecordedDiskTier, EncodesEachRecordToTheSameBytes) {
  const std::string segment = read_file(path_ + "/" + store::segment_name(1));
  EXPECT_TRUE(store::is_segment_head(segment, 1));
  EXPECT_EQ(store::encode_segment_head(1), segment.substr(0, store::kSegmentHeadBytes));
  std::size_t records = 0;
  for (std::size_t at = store::kSegmentHeadBytes; at < segment.size(); ++records) {
    const auto head = store::decode_head(std::string_view(segment).substr(at));
    ASSERT_TRUE(head.has_value()) << at;
    const std::string bytes = segment.substr(at, head->size());
    const auto record = store::decode_record(bytes, 1, at);
    ASSERT_TRUE(record.has_value()) << at;
    EXPECT_EQ(store::encode_record(*record, 1, at, head->compressed), bytes);
    at += bytes.size();
  }
  EXPECT_EQ(records, 4U);
}

TEST_F(RecordedDiskTier, ServesAllCopiesExceptThePurgedOne) {
  testing_support::ManualExecutor executor;
  store::Options options;
  options.memory_mb = 0;
  store::Store::Storage backing;
  backing.open_directory = [this] { return store::open_folder(path_); };
  backing.index = [this] { return store::open_sqlite_index(path_); };
  std::vector<std::string> faults;
  store::Store tier(
      options, executor, backing, [] { return store::Store::TimeReading{1'000, kPurgedUnixMs + 60'000}; },
      [&faults](bool bad, const std::string& what) {
        if (bad) {
          faults.push_back(what);
        }
      },
      7);
  tier.open([] {});
  executor.drain();
  EXPECT_THAT(faults, IsEmpty());

  std::set<std::string> found;
  // The last one was prefetched by a task of the fleet, whose list has no parts.
  struct Recorded {
    std::string object;
    std::string part;
  };
  const std::vector<Recorded> recorded{
      {"7f3a9c21e0b4d655", "0"}, {kPurgedObject, "0"}, {"9b1f03aa5c7e2d41", "0"}, {"4be0c1927d55a6f3", ""}};
  for (const auto& [object, part] : recorded) {
    const store::Name name = store::Name::of("media", object, part);
    const store::Store::LookupResult place = tier.find(name, 0);
    if (place.tier != store::Store::Tier::kDisk || tier.is_purged(name, place.copy)) {
      continue;
    }
    tier.read(name, [&found, &object](const store::ReadResult& result) {
      EXPECT_EQ(result.status, store::ReadStatus::kComplete) << object;
      EXPECT_EQ(result.copy.size(), 2'048U) << object;
      found.insert(object);
    });
    executor.drain();
  }
  EXPECT_THAT(found, ElementsAre("4be0c1927d55a6f3", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41"));
}

TEST_F(RecordedFiles, ReadsFencingTokensAndRejectsOlderOnes) {
  std::filesystem::create_directories(folder_ / "fencing");
  std::filesystem::copy(fixture("terms"), folder_ / "fencing" / "terms");
  testing_support::ManualExecutor executor;
  fencing::TokenStore tokens(
      std::shared_ptr<store::Directory>(store::open_folder((folder_ / "fencing").string())), executor);
  EXPECT_EQ(tokens.store(), kStoreId);
  ASSERT_TRUE(tokens.terms().contains("evening/0"));
  EXPECT_EQ(tokens.terms().at("evening/0"), 7U);
  std::string answer = "none";
  tokens.admit(std::to_string(kStoreId) + ":evening/0:6",
               [&answer](fencing::AdmitResult result) { answer = fencing::error_code(result); });
  EXPECT_EQ(answer, "fenced");
}

// ---- The operator's file ----

TEST_F(RecordedFiles, ReadsAnOperatorsFileToTheSameValues) {
  const program::OperatorFile file = program::read_operator_file(fixture("operator.json").string(), {});
  std::ostringstream printed;
  program::print_operator_file(file, printed);
  std::istringstream lines(printed.str());
  std::string in_force;
  for (std::string line; std::getline(lines, line);) {
    in_force += line.substr(0, line.find("  # ")) + "\n";
  }
  EXPECT_EQ(in_force + "the operator's file is good\n", read_file(fixture("operator_in_force.txt")));
}

}  // namespace
}  // namespace trailcourse
