// The store of shared truth: the ledger's rules, one suite for both backends, and what a driver makes of a
// store that is slow, gone, put back, another one, or talks nonsense.
#include <gtest/gtest.h>
#include <unistd.h>

#include <barrier>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <thread>

#include "coordination/embedded_store.h"
#include "coordination/etcd_store.h"
#include "coordination/coordination_server.h"
#include "fleet/fault_proxy.h"
#include "fleet/ports.h"
#include "fleet/process.h"
#include "store_calls.h"

namespace trailcourse::coordination {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using transport::Clock;

// ---- The ledger ----

Transaction put_if_absent(const std::string& key, const std::string& value, LeaseId lease = 0) {
  return Transaction{{absent(key)}, {Put{key, value, lease}}, {Get{Range{key, false}}}};
}
Transaction put(const std::string& key, const std::string& value, LeaseId lease = 0) {
  return Transaction{{}, {Put{key, value, lease}}, {}};
}

TEST(LedgerTest, ATransactionIsOneRevisionWhateverItWrites) {
  KeyValueState ledger{KeyValueLimits{}};
  const Revision before = ledger.revision();
  const TransactionResult done = ledger.commit(Transaction{{absent("a")}, {Put{"a", "1", 0}, Put{"b", "2", 0}}, {}});
  EXPECT_TRUE(done.succeeded);
  EXPECT_EQ(done.revision, before + 1);
  EXPECT_EQ(ledger.get(Range{"", true}).size(), 2U);
  const TransactionResult second = ledger.commit(put_if_absent("a", "3"));
  EXPECT_FALSE(second.succeeded);
  EXPECT_EQ(second.revision, before + 1) << "a transaction that only reads makes no revision";
  ASSERT_EQ(second.results.at(0).found.size(), 1U);
  EXPECT_EQ(second.results[0].found[0].value, "1");
}

TEST(LedgerTest, AKeyThatCameBackHasAHigherCreationAndSoAHigherTerm) {
  KeyValueState ledger{KeyValueLimits{}};
  const LeaseId lease = ledger.grant(0, 1'000, 0);
  const Revision first = ledger.commit(put_if_absent("own", "x", lease)).revision;
  ledger.expire(999);
  EXPECT_EQ(ledger.get(Range{"own", false}).size(), 1U);
  ledger.expire(1'000);
  EXPECT_TRUE(ledger.get(Range{"own", false}).empty());
  const TransactionResult second = ledger.commit(put_if_absent("own", "y"));
  EXPECT_TRUE(second.succeeded);
  EXPECT_GT(second.revision, first + 1) << "the end of the lease is a revision of its own";
}

TEST(LedgerTest, RejectedCallsChangeNothing) {
  KeyValueLimits limits;
  limits.entries = 2;
  KeyValueState ledger(limits);
  ledger.commit(put("a", "1"));
  const auto rejected = [&](const Transaction& transaction) {
    const Revision before = ledger.revision();
    EXPECT_THROW(ledger.commit(transaction), OperationRejected);
    EXPECT_EQ(ledger.revision(), before);
    EXPECT_EQ(ledger.get(Range{"", true}).size(), 1U);
  };
  rejected(Transaction{{}, {Put{"a", "2", 0}, Put{"a", "3", 0}}, {}});
  rejected(put("b", "2", 77));
  rejected(put("", "2"));
  rejected(put(std::string(1'000, 'k'), "2"));
  rejected(Transaction{{}, {Put{"b", "2", 0}, Put{"c", "3", 0}}, {}});
  // Also where the side that cannot be done is the one that would not be taken.
  rejected(Transaction{{absent("a")}, {Put{"b", "2", 77}}, {}});
  EXPECT_THROW(ledger.revoke(5), OperationRejected);
  EXPECT_THROW(ledger.grant(0, 0, 0), OperationRejected);
}

TEST(LedgerTest, CompactedHistoryIsNotToldAsIfItWereWhole) {
  KeyValueLimits limits;
  limits.history = 4;
  KeyValueState ledger(limits);
  for (int i = 0; i < 10; ++i) {
    ledger.commit(put("k", std::to_string(i)));
  }
  EXPECT_THROW(ledger.changes_since(2, Range{"k", false}), OperationRejected);
  const std::vector<KeyChange> last = ledger.changes_since(ledger.revision() - 2, Range{"k", false});
  ASSERT_EQ(last.size(), 3U);
  EXPECT_EQ(last.back().entry.value, "9");
  EXPECT_EQ(last.back().entry.version, 10U);
}

// A drawn history, told by changes to a second ledger: both say the same, also of keys under leases.
TEST(LedgerTest, WhoFollowsTheChangesHasTheSame) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random(seed);
    KeyValueState first{KeyValueLimits{}};
    KeyValueState second{KeyValueLimits{}};
    std::int64_t now = 0;
    std::vector<LeaseId> leases;
    for (int i = 0; i < 300; ++i) {
      now += static_cast<std::int64_t>(random() % 50);
      const std::string key = "k" + std::to_string(random() % 8);
      first.expire(now);
      try {
        switch (random() % 5) {
          case 0:
            leases.push_back(first.grant(now, 100 + static_cast<std::int64_t>(random() % 400), 0));
            break;
          case 1:
            first.commit(Transaction{{}, {Delete{Range{key, random() % 2 == 0}}}, {}});
            break;
          case 2:
            first.revoke(leases.empty() ? 1 : leases[random() % leases.size()]);
            break;
          default:
            first.commit(
                put_if_absent(key, std::to_string(i), leases.empty() ? 0 : leases[random() % leases.size()]));
        }
      } catch (const OperationRejected&) {
      }
      for (const KeyChange& change : first.take_changes()) {
        second.apply(change);
      }
      ASSERT_EQ(first.entries(), second.entries()) << "seed " << seed << " step " << i;
    }
    for (const auto& [key, entry] : first.entries()) {
      ASSERT_TRUE(entry.lease == 0 || first.leases().contains(entry.lease)) << "a key outlived its lease";
    }
  }
}

// ---- One suite for both backends ----

struct Told : WatchObserver {
  void on_snapshot(Revision revision, const std::vector<Entry>& entries) override {
    ++currents;
    last = revision;
    state.clear();
    for (const Entry& entry : entries) {
      state[entry.key] = entry.value;
    }
  }
  void on_changes(Revision revision, const std::vector<KeyChange>& changes) override {
    for (const KeyChange& change : changes) {
      EXPECT_GE(change.entry.modified, newest) << "out of order";
      newest = change.entry.modified;
      log.push_back((change.deleted ? "-" : "+") + change.entry.key + change.entry.value);
      if (change.deleted) {
        state.erase(change.entry.key);
      } else {
        state[change.entry.key] = change.entry.value;
      }
    }
    last = revision;
  }
  void on_disconnected(const std::string& why) override {
    ++silences;
    reason = why;
  }
  void on_heartbeat() override { ++beats; }

  std::map<std::string, std::string> state;
  std::vector<std::string> log;
  std::string reason;
  Revision last = 0, newest = 0;
  int currents = 0, silences = 0, beats = 0;
};

enum class Backend { kEtcd, kEmbedded };

class World : public testing_support::StoreCalls {
 public:
  explicit World(Backend backend, std::int64_t history = 10'000) : backend_(backend) {
    static int made = 0;
    folder_ = testing::TempDir() + "trailcourse-coordination-" + std::to_string(::getpid()) + "-" +
              std::to_string(++made);
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    registry_options_.folder = folder_ + "/registry";
    registry_options_.history = history;
    address_ = ports_.take_text();
    options_.store = backend == Backend::kEtcd ? "etcd" : "embedded";
    options_.endpoints = {address_};
    options_.folder = folder_ + "/shared";
    options_.rest_ms = 10;
    options_.longest_rest_ms = 40;
    options_.look_ms = 5;
    options_.call_ms = 2'000;
    if (backend == Backend::kEtcd) {
      start_registry();
    }
  }
  ~World() {
    stores_.clear();
    registry_.reset();
    proxy_.reset();
    std::filesystem::remove_all(folder_);
  }

  // A process of its own; stopping it is SIGKILL.
  void start_registry() {
    const std::string config = folder_ + "/registry.json";
    std::ofstream(config) << json{{"registry",
                                   {{"listen", address_},
                                    {"folder", registry_options_.folder},
                                    {"history", registry_options_.history}}}};
    fleet::Process::Spec spec;
    spec.name = "registry";
    spec.words = {TRAILCOURSE_PROGRAM, "registry", "--config", config};
    spec.log = folder_ + "/registry.log";
    registry_ = std::make_unique<fleet::Process>(spec);
    const std::size_t starts = ++starts_;
    EXPECT_TRUE(until([&] {
      const std::string log = registry_->log();
      std::size_t seen = 0;
      for (std::size_t at = log.find("listens on"); at != std::string::npos;
           at = log.find("listens on", at + 1)) {
        ++seen;
      }
      return seen >= starts || !registry_->alive();
    }));
    EXPECT_TRUE(registry_->alive()) << registry_->log();
  }
  void stop_registry() { registry_.reset(); }
  fleet::FaultProxy& proxy() {
    if (!proxy_) {
      const std::string at = ports_.take_text();
      proxy_ = std::make_unique<fleet::FaultProxy>(scheduler, "router>store", *transport::parse_address(at),
                                                   *transport::parse_address(address_));
      options_.endpoints = {at};
    }
    return *proxy_;
  }
  CoordinationOptions& options() { return options_; }
  RegistryOptions& registry_options() { return registry_options_; }

  // As a router of its own sees the store.
  CoordinationStore& store() {
    if (backend_ == Backend::kEtcd) {
      stores_.push_back(std::make_unique<EtcdStore>(scheduler, options_, 7));
    } else {
      stores_.push_back(std::make_unique<EmbeddedStore>(scheduler, options_));
    }
    return *stores_.back();
  }

 private:
  Backend backend_;
  fleet::PortBook ports_;
  std::string folder_;
  std::string address_;
  RegistryOptions registry_options_;
  CoordinationOptions options_;
  std::unique_ptr<fleet::Process> registry_;
  std::size_t starts_ = 0;
  std::unique_ptr<fleet::FaultProxy> proxy_;
  std::vector<std::unique_ptr<CoordinationStore>> stores_;
};

// Processes that open a new file in the same moment: SQLite tells all but one of them that it is busy, at
// once.
TEST(LedgerFileTest, ManyThatOpenANewOneInTheSameMomentAllGetIt) {
  constexpr int kRounds = 20;
  constexpr int kOpeners = 6;
  const std::string stem = testing::TempDir() + "trailcourse-opened-" + std::to_string(::getpid()) + "-";
  for (int round = 0; round < kRounds; ++round) {
    const std::string folder = stem + std::to_string(round);
    std::filesystem::remove_all(folder);
    std::vector<std::string> whys(kOpeners);
    std::vector<std::uint64_t> ids(kOpeners);
    std::barrier together(kOpeners);
    std::vector<std::thread> openers;
    for (int i = 0; i < kOpeners; ++i) {
      openers.emplace_back([&, place = static_cast<std::size_t>(i)] {
        together.arrive_and_wait();
        try {
          ids[place] = KeyValueDatabase(folder, KeyValueLimits{}, KeyValueDatabase::Sharing::kShared).id();
        } catch (const std::exception& error) {
          whys[place] = error.what();
        }
      });
    }
    for (std::thread& opener : openers) {
      opener.join();
    }
    EXPECT_EQ(whys, std::vector<std::string>(kOpeners)) << "round " << round;
    EXPECT_EQ(ids, std::vector<std::uint64_t>(kOpeners, ids[0])) << "one store";
    std::filesystem::remove_all(folder);
  }
}

class ConformanceTest : public testing::TestWithParam<Backend> {};
INSTANTIATE_TEST_SUITE_P(Stores, ConformanceTest, testing::Values(Backend::kEtcd, Backend::kEmbedded),
                         [](const auto& one) { return one.param == Backend::kEtcd ? "Etcd" : "Embedded"; });

TEST_P(ConformanceTest, OfManyThatCompareAndSetOneWins) {
  World world(GetParam());
  std::vector<CoordinationStore*> routers;
  for (int i = 0; i < 5; ++i) {
    routers.push_back(&world.store());
  }
  for (int round = 0; round < 5; ++round) {
    const std::string key = "own/" + std::to_string(round);
    int answers = 0;
    int wins = 0;
    for (std::size_t i = 0; i < routers.size(); ++i) {
      routers[i]->commit(put_if_absent(key, "router" + std::to_string(i)), [&](const StoreResponse<TransactionResult>& reply) {
        EXPECT_TRUE(reply.ok()) << reply.error;
        wins += reply.value.succeeded ? 1 : 0;
        ++answers;
      });
    }
    ASSERT_TRUE(world.until([&] { return answers == 5; }));
    EXPECT_EQ(wins, 1);
  }
  EXPECT_NE(routers[0]->id(), 0U);
  EXPECT_EQ(routers[0]->id(), routers[4]->id());
}

TEST_P(ConformanceTest, EveryKindOfConditionAndStep) {
  World world(GetParam());
  CoordinationStore& store = world.store();
  const auto first = world.commit(store, put("a/1", "x"));
  ASSERT_TRUE(first.ok()) << first.error;
  const Revision made = first.value.revision;
  const auto holds = [&](const Compare& compare) {
    const auto reply = world.commit(store, Transaction{{compare}, {}, {}});
    EXPECT_TRUE(reply.ok()) << reply.error;
    return reply.value.succeeded;
  };
  using What = Compare::What;
  using How = Compare::How;
  EXPECT_TRUE(holds({"a/1", What::kCreated, How::kEqual, made, {}}));
  EXPECT_FALSE(holds({"a/1", What::kCreated, How::kNotEqual, made, {}}));
  EXPECT_TRUE(holds({"a/1", What::kModified, How::kLess, made + 1, {}}));
  EXPECT_TRUE(holds({"a/1", What::kVersion, How::kGreater, 0, {}}));
  EXPECT_TRUE(holds({"a/1", What::kLease, How::kEqual, 0, {}}));
  EXPECT_TRUE(holds({"a/1", What::kValue, How::kEqual, 0, "x"}));
  EXPECT_FALSE(holds({"a/2", What::kValue, How::kNotEqual, 0, "x"})) << "no value can be compared";
  EXPECT_TRUE(holds({"a/2", What::kVersion, How::kEqual, 0, {}}));
  const std::string odd("a/\0\xff", 4);
  ASSERT_TRUE(world.commit(store, put(odd, std::string("\0\n\x80", 3))).ok());
  const auto all = world.commit(store, Transaction{{}, {Get{Range{"a/", true}}}, {}});
  ASSERT_EQ(all.value.results.at(0).found.size(), 2U);
  EXPECT_EQ(all.value.results[0].found[0].value, std::string("\0\n\x80", 3));
  const auto gone = world.commit(store, Transaction{{}, {Delete{Range{"a/", true}}, Put{"b", "", 0}}, {}});
  EXPECT_EQ(gone.value.results.at(0).deleted, 2U);
  const auto rest = world.commit(store, Transaction{{}, {Get{Range{"", true}}}, {}});
  ASSERT_EQ(rest.value.results.at(0).found.size(), 1U);
  EXPECT_EQ(rest.value.results[0].found[0].key, "b");
  EXPECT_EQ(world.commit(store, put("c", "", 12'345)).status, CallStatus::kRejected);
}

TEST_P(ConformanceTest, KeysEndWithTheirLeaseAndARenewalKeepsThem) {
  World world(GetParam());
  CoordinationStore& owner = world.store();
  CoordinationStore& other = world.store();
  Told told;
  other.watch(Range{"own/", true}, told);
  const auto lease = world.grant(owner, milliseconds(400));
  ASSERT_TRUE(lease.ok()) << lease.error;
  const auto got = world.commit(owner, put_if_absent("own/a", "owner", lease.value.id));
  ASSERT_TRUE(got.value.succeeded);
  ASSERT_TRUE(world.until([&] { return told.state.contains("own/a"); }));
  for (int i = 0; i < 6; ++i) {
    const auto renewed = world.renew(owner, lease.value.id);
    ASSERT_TRUE(renewed.ok()) << renewed.error;
    // A busy machine may have let it end; then it must be gone for all, too.
    if (renewed.value.ttl == Micros(0)) {
      break;
    }
  }
  ASSERT_TRUE(world.until([&] { return !told.state.contains("own/a"); })) << "no renewal: it has to end";
  EXPECT_EQ(world.renew(owner, lease.value.id).value.ttl, Micros(0));
  EXPECT_TRUE(world.commit(other, put_if_absent("own/a", "other")).value.succeeded);
  other.unwatch(1);
}

TEST_P(ConformanceTest, ARevokedLeaseEndsAtOnceAndTwiceIsNoFault) {
  World world(GetParam());
  CoordinationStore& owner = world.store();
  CoordinationStore& other = world.store();
  const auto lease = world.grant(owner, std::chrono::seconds(60));
  ASSERT_TRUE(world.commit(owner, put_if_absent("own/a", "owner", lease.value.id)).value.succeeded);
  EXPECT_FALSE(world.commit(other, put_if_absent("own/a", "other")).value.succeeded);
  for (int i = 0; i < 2; ++i) {
    EXPECT_TRUE(world.await<Empty>([&](auto then) { owner.revoke(lease.value.id, then); }).ok());
  }
  EXPECT_TRUE(world.commit(other, put_if_absent("own/a", "other")).value.succeeded);
}

TEST_P(ConformanceTest, AWatchTellsEveryChangeOnceAndInOrder) {
  World world(GetParam());
  CoordinationStore& writer = world.store();
  CoordinationStore& reader = world.store();
  ASSERT_TRUE(world.commit(writer, put("w/0", "before")).ok());
  Told told;
  const auto watch = reader.watch(Range{"w/", true}, told);
  ASSERT_TRUE(world.until([&] { return told.currents == 1; }));
  EXPECT_EQ(told.state.size(), 1U);
  std::vector<std::string> expected;
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(world.commit(writer, put("w/" + std::to_string(i % 3), std::to_string(i))).ok());
    expected.push_back("+w/" + std::to_string(i % 3) + std::to_string(i));
    ASSERT_TRUE(world.commit(writer, put("elsewhere", std::to_string(i))).ok());
  }
  ASSERT_TRUE(world.commit(writer, Transaction{{}, {Delete{Range{"w/1", false}}}, {}}).ok());
  expected.push_back("-w/1");
  ASSERT_TRUE(world.until([&] { return told.log.size() >= expected.size(); }));
  EXPECT_EQ(told.log, expected);
  EXPECT_EQ(told.currents, 1);
  reader.unwatch(watch);
}

// ---- The driver over the network ----

TEST(EtcdStoreTest, AStoreThatStartsAgainKnowsAllAndLeasesGoOn) {
  World world(Backend::kEtcd);
  CoordinationStore& store = world.store();
  Told told;
  const auto watch = store.watch(Range{"", true}, told);
  const auto lease = world.grant(store, std::chrono::seconds(5));
  const auto before = world.commit(store, put_if_absent("own/a", "x", lease.value.id));
  ASSERT_TRUE(before.value.succeeded);
  const std::uint64_t id = store.id();
  ASSERT_TRUE(world.until([&] { return told.state.size() == 1; }));
  world.stop_registry();
  ASSERT_TRUE(world.until([&] { return told.silences > 0; }));
  const auto missing = world.commit(store, put("b", "1"));
  EXPECT_NE(missing.status, CallStatus::kOk);
  world.start_registry();
  StoreResponse<TransactionResult> after;
  ASSERT_TRUE(world.until([&] { return (after = world.commit(store, put("b", "1"))).ok(); }));
  EXPECT_GT(after.value.revision, before.value.revision);
  EXPECT_EQ(store.id(), id);
  EXPECT_GT(world.renew(store, lease.value.id).value.ttl, Micros(0));
  EXPECT_FALSE(world.commit(store, put_if_absent("own/a", "y")).value.succeeded);
  ASSERT_TRUE(world.until([&] { return told.state.contains("b"); })) << "the watch goes on: " << told.reason;
  EXPECT_EQ(told.currents, 1) << "from where it was, nothing was compacted";
  store.unwatch(watch);
}

TEST(EtcdStoreTest, AWatchWhoseChangesAreCompactedReadsAllAnew) {
  World world(Backend::kEtcd, 16);
  CoordinationStore& writer = world.store();
  world.proxy();
  CoordinationStore& reader = world.store();
  Told told;
  const auto watch = reader.watch(Range{"w/", true}, told);
  ASSERT_TRUE(world.until([&] { return told.currents == 1; }));
  const auto fault = [&](const std::string& line) {
    for (const fleet::Fault& one : fleet::read_script("0 " + line)) {
      world.proxy().apply(one);
    }
  };
  fault("refuse router>store");
  fault("reset router>store");
  for (int i = 0; i < 60; ++i) {
    ASSERT_TRUE(world.commit(writer, put("w/" + std::to_string(i % 4), std::to_string(i))).ok());
  }
  fault("heal router>store");
  ASSERT_TRUE(world.until([&] { return told.currents >= 2 && told.state["w/3"] == "59"; })) << told.reason;
  EXPECT_EQ(told.state.size(), 4U);
  reader.unwatch(watch);
}

// The answer is lost, the write is not: the driver must say that it does not know.
TEST(EtcdStoreTest, AnAnswerThatNeverComesIsUnknownAndNotUndone) {
  World world(Backend::kEtcd);
  CoordinationStore& witness = world.store();
  world.proxy();
  world.options().call_ms = 300;
  CoordinationStore& store = world.store();
  ASSERT_TRUE(world.commit(store, put("a", "1")).ok());
  world.proxy().apply(fleet::read_script("0 cut router>store in").at(0));
  const auto lost = world.commit(store, put_if_absent("b", "1"));
  EXPECT_EQ(lost.status, CallStatus::kUnknown);
  const auto seen = world.commit(witness, Transaction{{}, {Get{Range{"b", false}}}, {}});
  EXPECT_EQ(seen.value.results.at(0).found.size(), 1U) << "it was done all the same";
  world.stop_registry();
  world.proxy().apply(fleet::read_script("0 heal router>store").at(0));
  world.options().endpoints = {"127.0.0.1:1"};
  CoordinationStore& nowhere = world.store();
  EXPECT_EQ(world.commit(nowhere, put("c", "1")).status, CallStatus::kNotSent) << "no connection, nothing done";
}

TEST(EtcdStoreTest, AnotherStoresAnswersAreNotUsed) {
  World first(Backend::kEtcd);
  World second(Backend::kEtcd);
  CoordinationStore& sound = first.store();
  ASSERT_TRUE(first.commit(sound, put("a", "1")).ok());
  second.options().store_id = std::to_string(sound.id());
  CoordinationStore& mistaken = second.store();
  const auto reply = second.commit(mistaken, put("a", "1"));
  EXPECT_EQ(reply.status, CallStatus::kUnknown);
  EXPECT_NE(reply.error.find("another store"), std::string::npos) << reply.error;
}

// The folder is put back to a copy of before: revisions would be handed out a second time.
TEST(EtcdStoreTest, AStoreThatWasPutBackIsNoticed) {
  World world(Backend::kEtcd);
  CoordinationStore& store = world.store();
  ASSERT_TRUE(world.commit(store, put("a", "1")).ok());
  world.stop_registry();
  const std::string folder = world.registry_options().folder;
  std::filesystem::copy(folder, folder + "-copy");
  world.start_registry();
  StoreResponse<TransactionResult> reply;
  ASSERT_TRUE(world.until([&] { return (reply = world.commit(store, put("a", "2"))).ok(); }));
  world.stop_registry();
  std::filesystem::remove_all(folder);
  std::filesystem::rename(folder + "-copy", folder);
  world.start_registry();
  ASSERT_TRUE(world.until([&] {
    reply = world.commit(store, Transaction{{}, {Get{Range{"a", false}}}, {}});
    return reply.error.find("gone back") != std::string::npos;
  })) << reply.error;
  EXPECT_EQ(reply.status, CallStatus::kUnknown);
  EXPECT_TRUE(dynamic_cast<EtcdStore&>(store).has_regressed());
}

// The first address falls silent with its connections open, as a stopped process does: calls go on at the
// second, and so does the watch, long before it would count as silent.
TEST(EtcdStoreTest, AWatchMovesAtOnceWithTheCalls) {
  World world(Backend::kEtcd);
  CoordinationStore& witness = world.store();
  const std::string direct = world.options().endpoints.at(0);
  world.proxy();
  world.options().endpoints.push_back(direct);
  world.options().call_ms = 300;
  world.options().watch_silent_ms = 600'000;
  EtcdStore store(world.scheduler, world.options(), 7, EtcdStore::FirstEndpoint::kFirstListed);
  Told told;
  const auto watch = store.watch(Range{"w/", true}, told);
  ASSERT_TRUE(world.until([&] { return told.currents == 1; }));
  ASSERT_TRUE(world.commit(witness, put("w/1", "before")).ok());
  ASSERT_TRUE(world.until([&] { return told.state.contains("w/1"); }));
  world.proxy().apply(fleet::read_script("0 cut router>store both").at(0));
  ASSERT_TRUE(world.until([&] { return world.commit(store, put("a", "1")).ok(); }));
  ASSERT_TRUE(world.commit(witness, put("w/1", "after")).ok());
  EXPECT_TRUE(world.until([&] { return told.state["w/1"] == "after"; })) << "told by a dead connection alone";
  EXPECT_EQ(told.currents, 1) << "it goes on from where it was";
  EXPECT_EQ(told.silences, 0) << "the store was there all the time";
  store.unwatch(watch);
}

TEST(RegistryTest, ASecondOneOnTheSameFolderIsRefused) {
  World world(Backend::kEtcd);
  CoordinationStore& store = world.store();
  ASSERT_TRUE(world.commit(store, put("a", "1")).ok());
  EXPECT_THROW(CoordinationServer(world.scheduler, world.registry_options()), std::runtime_error);
}

TEST(LedgerFileTest, AFullDiskOrALostFolderLosesNothingThatWasAnswered) {
  const std::string folder = testing::TempDir() + "trailcourse-ledger-" + std::to_string(::getpid());
  std::filesystem::remove_all(folder);
  {
    KeyValueDatabase file(folder, KeyValueLimits{}, KeyValueDatabase::Sharing::kShared);
    file.use(0, true, [](KeyValueState& ledger) { ledger.commit(put("a", "1")); });
    EXPECT_THROW(file.use(0, true,
                          [](KeyValueState& ledger) {
                            ledger.commit(put("a", "2"));
                            throw SqliteError("drawn", nullptr);
                          }),
                 SqliteError);
    file.use(0, true, [](KeyValueState& ledger) {
      EXPECT_EQ(ledger.get(Range{"a", false}).at(0).value, "1") << "what was not kept must not be told";
    });
  }
  KeyValueDatabase again(folder, KeyValueLimits{}, KeyValueDatabase::Sharing::kShared);
  again.use(0, true, [](KeyValueState& ledger) { EXPECT_EQ(ledger.get(Range{"a", false}).at(0).value, "1"); });
  std::filesystem::remove_all(folder);
}

// ---- Judgement ----

TEST(JudgementTest, EndpointsTakeTurnsAndRestOnlyOnceAllHaveFailed) {
  EndpointSelector endpoints(3, milliseconds(100), milliseconds(400), 0);
  const std::size_t first = *endpoints.select(Micros(0));
  endpoints.on_failure(first, Micros(0));
  const std::size_t second = *endpoints.select(Micros(0));
  EXPECT_NE(second, first);
  endpoints.on_failure(first, Micros(0));
  EXPECT_EQ(endpoints.select(Micros(0)), second) << "an old call of the one before says nothing of this one";
  endpoints.on_failure(second, Micros(0));
  endpoints.on_failure(*endpoints.select(Micros(0)), Micros(0));
  EXPECT_FALSE(endpoints.select(Micros(0)));
  Micros longest{0};
  Micros now{0};
  for (int i = 0; i < 30; ++i) {
    now = endpoints.backoff_until();
    ASSERT_TRUE(endpoints.select(now));
    const Micros before = now;
    endpoints.on_failure(*endpoints.select(now), now);
    longest = std::max(longest, endpoints.backoff_until() - before);
  }
  EXPECT_LE(longest, milliseconds(600));
  EXPECT_GT(longest, milliseconds(200));
  endpoints.on_success(second);
  EXPECT_EQ(endpoints.select(now), second);
}

TEST(JudgementTest, AWatchSkipsWhatItHadAndNeverGoesBack) {
  WatchProgress progress;
  EXPECT_EQ(progress.next_step(), WatchProgress::NextStep::kReadSnapshot);
  progress.on_snapshot(10);
  EXPECT_EQ(progress.next_revision(), 11U);
  etcd::WatchResponse line;
  line.header = {1, 12};
  for (const Revision revision : {9U, 10U, 12U}) {
    KeyChange change;
    change.entry.key = "k";
    change.entry.modified = revision;
    line.changes.push_back(change);
  }
  EXPECT_EQ(progress.on_response(line).changes.size(), 1U);
  EXPECT_EQ(progress.next_revision(), 13U);
  line.changes.clear();
  line.compacted = 30;
  EXPECT_TRUE(progress.on_response(line).snapshot_required);
  EXPECT_EQ(progress.next_step(), WatchProgress::NextStep::kReadSnapshot);
}

// ---- What is read from a store ----

template <typename Read>
void mutate(const std::string& good, std::uint64_t seed, Read read) {
  std::mt19937_64 random(seed);
  int refused = 0;
  for (int round = 0; round < 3'000; ++round) {
    std::string text = good;
    for (auto changes = 1 + random() % 3; changes > 0 && !text.empty(); --changes) {
      const std::size_t place = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[place] = static_cast<char>(random());
          break;
        case 1:
          text.erase(place, 1 + random() % 6);
          break;
        case 2:
          text.insert(place, text.substr(place, 1 + random() % 20));
          break;
        default:
          text[place] = "0123456789\"{}[]:,-"[random() % 18];
      }
    }
    try {
      read(text);
    } catch (const etcd::BadMessage& error) {
      EXPECT_NE(std::string(error.what()), "");
      ++refused;
    }
  }
  EXPECT_GT(refused, 300) << "hardly anything was refused: is it read at all?";
}

TEST(EtcdJsonTest, MutatedAnswersAreReadSoundOrRefusedWithTheField) {
  KeyValueState ledger{KeyValueLimits{}};
  const Transaction asked{{absent("a")},
                          {Put{"a", "1", 0}, Get{Range{"a", true}}, Delete{Range{"z", false}}},
                          {Get{Range{"a", false}}}};
  const TransactionResult outcome = ledger.commit(asked);
  const std::string good = etcd::write_transaction_result({7, outcome.revision}, asked, outcome).dump();
  etcd::ResponseHeader header;
  EXPECT_EQ(etcd::read_transaction_result(etcd::parse_object(good), asked, header), outcome);
  mutate(good, 1, [&](const std::string& text) {
    const TransactionResult read = etcd::read_transaction_result(etcd::parse_object(text), asked, header);
    EXPECT_EQ(read.results.size(), read.succeeded ? 3U : 1U);
    for (const Entry& entry : read.results[read.succeeded ? 1 : 0].found) {
      EXPECT_TRUE(entry.key.starts_with("a") && entry.modified <= header.revision && entry.created > 0);
    }
  });
  etcd::WatchResponse line;
  line.header = {7, 9};
  line.changes = {KeyChange{false, Entry{"k", "v", 8, 8, 1, 3}}, KeyChange{true, Entry{"k", "", 0, 9, 0, 0}}};
  const std::string told = etcd::write_watch_response(line).dump();
  EXPECT_EQ(etcd::read_watch_response(etcd::parse_object(told)).changes, line.changes);
  mutate(told, 2, [](const std::string& text) {
    Revision last = 0;
    for (const KeyChange& change : etcd::read_watch_response(etcd::parse_object(text)).changes) {
      EXPECT_GE(change.entry.modified, last);
      last = change.entry.modified;
    }
  });
  mutate(etcd::write_lease_grant_response({7, 9}, {5, 6'000}).dump(), 3, [&](const std::string& text) {
    EXPECT_GE(etcd::read_lease_grant_response(etcd::parse_object(text), header).ttl_ms, 0);
  });
}

TEST(EtcdJsonTest, MutatedCallsAreReadOrRefused) {
  const Transaction transaction{
      {absent("a"), unchanged("b", 7), Compare{"c", Compare::What::kValue, Compare::How::kNotEqual, 0, "x"}},
      {Put{"a", "1", 9}, Delete{Range{"p/", true}}},
      {Get{Range{"", true}}}};
  const std::string good = etcd::write_transaction(transaction).dump();
  EXPECT_EQ(etcd::read_transaction(etcd::parse_object(good)), transaction);
  mutate(good, 4, [](const std::string& text) {
    KeyValueState ledger{KeyValueLimits{}};
    try {
      ledger.commit(etcd::read_transaction(etcd::parse_object(text)));
    } catch (const OperationRejected&) {
    }
  });
  // The forms that the published gateway takes too: camel case, numbers as numbers, enumerations left out.
  const json camel = json::parse(
      R"({"compare":[{"key":"YQ==","version":0}],"success":[{"requestPut":{"key":"YQ==","value":"MQ=="}}]})");
  KeyValueState ledger{KeyValueLimits{}};
  EXPECT_TRUE(ledger.commit(etcd::read_transaction(camel)).succeeded);
  EXPECT_FALSE(ledger.commit(etcd::read_transaction(camel)).succeeded);
  EXPECT_THROW(etcd::read_range(json::parse(R"({"key":"YQ==","range_end":"eg=="})")), etcd::BadMessage);
}

}  // namespace
}  // namespace trailcourse::coordination
