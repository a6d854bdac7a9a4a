// The task runner with an embedded store: it acquires work, runs its task, saves its progress, and leaves the
// fleet.
#include "tasks/task_runner.h"

#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/embedded_store.h"
#include "ownership/work_records.h"
#include "store_calls.h"
#include "tasks/step_loop.h"

namespace trailcourse::tasks {
namespace {

using std::chrono::milliseconds;

constexpr const char* kKind = "report";
constexpr const char* kPrefix = "test/";

// Records the calls of the runner to its tasks.
struct FakeTaskLog {
  std::vector<TaskContext> contexts;
  bool completed = false;
  int stops = 0;
  int destroyed = 0;
};

class FakeTask : public OwnedTask {
 public:
  FakeTask(FakeTaskLog& log, TaskContext context) : log_(log), context_(std::move(context)) {}
  ~FakeTask() override { ++log_.destroyed; }

  void start() override { log_.contexts.push_back(context_); }
  void stop() override {
    ++log_.stops;
    if (!log_.completed) {
      context_.save_checkpoint("stopped");
    }
    context_.on_stopped();
  }

 private:
  FakeTaskLog& log_;
  TaskContext context_;
};

class TaskRunnerTest : public testing::Test {
 public:
  ~TaskRunnerTest() override { std::filesystem::remove_all(folder_); }

 protected:
  TaskRunnerTest() {
    const testing::TestInfo* test = testing::UnitTest::GetInstance()->current_test_info();
    folder_ = testing::TempDir() + "task_runner_" + test->name();
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    coordination::CoordinationOptions coordination;
    coordination.store = "embedded";
    coordination.folder = folder_;
    coordination.look_ms = 5;
    store_ = std::make_unique<coordination::EmbeddedStore>(calls_.scheduler, coordination);
    options_.turn_ms = 0;
    options_.longest_turn_ms = 0;
    options_.neighbours = 0;
  }

  std::unique_ptr<TaskRunner> make_runner(const std::string& name) {
    auto runner = std::make_unique<TaskRunner>(
        calls_.scheduler, *store_, options_, kPrefix,
        MemberIdentity{name, "0000000000000001", "zone", "127.0.0.1:1", "version"});
    runner->register_kind(kKind, [this](TaskContext context) {
      return std::make_unique<FakeTask>(task_log_, std::move(context));
    });
    return runner;
  }

  void announce_work(const std::string& name) {
    ownership::Work work;
    work.name = name;
    work.kind = kKind;
    put(ownership::kWorkPrefix + name, ownership::write_work(work));
  }

  void put(const std::string& key, const std::string& value) {
    coordination::Transaction write;
    write.then = {coordination::Put{kPrefix + key, value, 0}};
    ASSERT_TRUE(calls_.commit(*store_, write).ok());
  }

  std::optional<std::string> get(const std::string& key) {
    coordination::Transaction read;
    read.then = {coordination::Get{coordination::Range{kPrefix + key, false}}};
    const auto reply = calls_.commit(*store_, read);
    const auto& found = reply.value.results.at(0).found;
    return found.empty() ? std::nullopt : std::optional<std::string>(found.front().value);
  }

  std::optional<ownership::Progress> progress(const std::string& shard) {
    const auto record = get(ownership::kProgressPrefix + shard);
    return record ? ownership::read_progress(*record) : std::nullopt;
  }

  testing_support::StoreCalls calls_;
  OwnershipOptions options_;
  FakeTaskLog task_log_;
  std::unique_ptr<coordination::EmbeddedStore> store_;

 private:
  std::string folder_;
};

TEST_F(TaskRunnerTest, StartsWorkUnderItsTermAndSavesItsCompletion) {
  const auto runner = make_runner("a");
  runner->start();
  announce_work("work");
  ASSERT_TRUE(calls_.until([&] { return task_log_.contexts.size() == 1; }));
  const TaskContext& context = task_log_.contexts.front();
  EXPECT_GT(context.term, 0U);
  EXPECT_EQ(context.checkpoint, "");
  EXPECT_TRUE(context.may_act());
  EXPECT_EQ(context.fencing_token, std::to_string(store_->id()) + ":work/0:" + std::to_string(context.term));
  task_log_.completed = true;
  context.save_completion("all");
  ASSERT_TRUE(calls_.until([&] { return get("fleet/done/work/0").has_value(); }));
  const auto saved = progress("work/0");
  ASSERT_TRUE(saved);
  EXPECT_TRUE(saved->done);
  EXPECT_EQ(saved->checkpoint, "all");
}

TEST_F(TaskRunnerTest, DrainingStopsTheTaskAndASuccessorContinuesFromItsCheckpoint) {
  auto first = make_runner("a");
  first->start();
  announce_work("work");
  ASSERT_TRUE(calls_.until([&] { return task_log_.contexts.size() == 1; }));
  first->drain();
  ASSERT_TRUE(calls_.until([&] { return first->drained(); }));
  EXPECT_EQ(task_log_.stops, 1);
  EXPECT_EQ(task_log_.destroyed, 1);
  EXPECT_FALSE(get("fleet/members/a/0000000000000001")) << "the session has ended";
  EXPECT_FALSE(get("fleet/own/work/0")) << "the shard has no owner";

  const auto second = make_runner("b");
  second->start();
  ASSERT_TRUE(calls_.until([&] { return task_log_.contexts.size() == 2; }));
  EXPECT_EQ(task_log_.contexts.back().checkpoint, "stopped");
  EXPECT_GT(task_log_.contexts.back().term, task_log_.contexts.front().term);
}

TEST_F(TaskRunnerTest, TaskWritesItsKeysOnlyWhileItOwnsTheShard) {
  const auto runner = make_runner("a");
  runner->start();
  announce_work("work");
  ASSERT_TRUE(calls_.until([&] { return task_log_.contexts.size() == 1; }));
  const TaskContext context = task_log_.contexts.front();
  context.write_key("result", "1");
  ASSERT_TRUE(calls_.until([&] { return get("result") == "1"; }));
  context.delete_key("result");
  ASSERT_TRUE(calls_.until([&] { return !get("result"); }));
  // This router loses the ownership of the shard.
  coordination::Transaction disown;
  disown.then = {coordination::Delete{coordination::Range{kPrefix + std::string("fleet/own/work/0"), false}}};
  ASSERT_TRUE(calls_.commit(*store_, disown).ok());
  context.write_key("result", "2");
  std::optional<std::string> read_back = "not read";
  context.read_key("result", [&](std::optional<std::string> value) { read_back = std::move(value); });
  ASSERT_TRUE(calls_.until([&] { return read_back != "not read"; }));
  EXPECT_FALSE(read_back) << "the store rejects the write of a former owner";
}

TEST_F(TaskRunnerTest, SessionKeysExistAsLongAsTheSession) {
  const auto runner = make_runner("a");
  runner->set_session_key("counters/a", "early");
  runner->start();
  ASSERT_TRUE(calls_.until([&] { return get("counters/a") == "early"; }));
  // The store ends up with the last value.
  runner->set_session_key("counters/a", "1");
  runner->set_session_key("counters/a", "2");
  runner->set_session_key("counters/a", "3");
  runner->set_session_key("suspects/zone/cache/a", "1");
  ASSERT_TRUE(calls_.until([&] { return get("counters/a") == "3"; }));
  runner->set_session_key("suspects/zone/cache/a", "");
  ASSERT_TRUE(calls_.until([&] { return !get("suspects/zone/cache/a"); }));
  runner->drain();
  ASSERT_TRUE(calls_.until([&] { return runner->drained(); }));
  EXPECT_FALSE(get("counters/a"));
}

TEST_F(TaskRunnerTest, ObserversReceiveOnlyTheKeysOfTheirPrefix) {
  const auto runner = make_runner("a");
  std::vector<std::string> observed;
  runner->observe_keys("fleet/verdicts/", [&](const std::string& key, const std::string& value) {
    observed.push_back(key + "=" + value);
  });
  runner->start();
  put("fleet/verdicts/zone/cache", "1");
  put("fleet/other/zone/cache", "1");
  coordination::Transaction deletion;
  deletion.then = {
      coordination::Delete{coordination::Range{kPrefix + std::string("fleet/verdicts/zone/cache"), false}}};
  ASSERT_TRUE(calls_.until([&] { return observed.size() == 1; }));
  ASSERT_TRUE(calls_.commit(*store_, deletion).ok());
  ASSERT_TRUE(calls_.until([&] { return observed.size() == 2; }));
  EXPECT_EQ(observed,
            (std::vector<std::string>{"fleet/verdicts/zone/cache=1", "fleet/verdicts/zone/cache="}));
}

TEST_F(TaskRunnerTest, ReleasesWorkOfKindsThatThePolicyDoesNotAllow) {
  const auto runner = make_runner("a");
  runner->start();
  announce_work("work");
  ASSERT_TRUE(calls_.until([&] { return task_log_.contexts.size() == 1; }));
  runner->set_allowed_kinds(std::set<std::string>{"fill"});
  ASSERT_TRUE(calls_.until([&] { return !get("fleet/own/work/0"); }));
  EXPECT_EQ(task_log_.stops, 1);
}

// ---- Step loop ----

TEST(StepLoopTest, RunsOneStepPerScheduleAndAtTheTimeThatAStepReturns) {
  transport::Scheduler scheduler;
  int steps = 0;
  StepLoop loop(scheduler, milliseconds(1), [&]() -> std::optional<Micros> {
    ++steps;
    return steps < 3 ? std::optional<Micros>(steady_now()) : std::nullopt;
  });
  loop.schedule();
  loop.schedule();
  EXPECT_EQ(steps, 0) << "schedule() itself runs no step";
  const auto end = transport::Clock::now() + milliseconds(200);
  while (transport::Clock::now() < end) {
    scheduler.run_iteration(milliseconds(5));
  }
  EXPECT_EQ(steps, 3) << "one scheduled, two timed";
}

TEST(StepLoopTest, RunsAStepAfterAHandlerAndCallsNoHandlerAfterItsDestruction) {
  transport::Scheduler scheduler;
  int steps = 0;
  int answers = 0;
  auto loop = std::make_unique<StepLoop>(scheduler, milliseconds(1), [&]() -> std::optional<Micros> {
    ++steps;
    return std::nullopt;
  });
  const auto handler = loop->then_step([&](int value) { answers += value; });
  handler(2);
  scheduler.run_iteration(milliseconds(5));
  EXPECT_EQ(answers, 2);
  EXPECT_EQ(steps, 1);
  loop.reset();
  handler(2);
  scheduler.run_iteration(milliseconds(5));
  EXPECT_EQ(answers, 2);
  EXPECT_EQ(steps, 1);
}

}  // namespace
}  // namespace trailcourse::tasks
