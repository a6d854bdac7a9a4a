#include "tasks/task_host.h"

#include <utility>

#include "tasks/clock.h"
#include "transport/log.h"

namespace trailcourse::tasks {

using coordination::Range;
using coordination::StoreResponse;
using coordination::TransactionResult;
using ownership::ShardId;
using ownership::Term;
using transport::Level;
using transport::log_line;

TaskHost::TaskHost(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                   std::string prefix, ownership::LeaseManager& lease_manager, StepLoop& loop)
    : scheduler_(scheduler),
      store_(store),
      prefix_(std::move(prefix)),
      lease_manager_(lease_manager),
      loop_(loop) {}

void TaskHost::register_kind(const std::string& kind, OwnedTaskFactory factory) {
  factories_[kind] = std::move(factory);
}

void TaskHost::set_work(const std::string& name, const std::optional<ownership::Work>& work) {
  if (work) {
    works_[name] = *work;
  } else {
    works_.erase(name);
  }
}

// ---- The lease manager's actions ----

void TaskHost::execute(const ownership::StartTaskAction& action) {
  const auto work = works_.find(action.id.work);
  const auto factory = work == works_.end() ? factories_.end() : factories_.find(work->second.kind);
  if (factory == factories_.end()) {
    return;
  }
  log_line(Level::kInfo) << "starts " << to_string(action.id) << " under term " << action.term
                         << (action.checkpoint.empty() ? "" : ", from " + action.checkpoint);
  Running& running = running_[action.id];
  running.term = action.term;
  running.task = factory->second(make_context(action, work->second));
  running.task->start();
}

void TaskHost::execute(const ownership::StopTaskAction& action) {
  const auto found = running_.find(action.id);
  if (found != running_.end() && found->second.term == action.term) {
    log_line(Level::kInfo) << "releases " << to_string(action.id) << " under term " << action.term;
    found->second.task->stop();
  } else {
    lease_manager_.on_task_finished(steady_now(), action.id, action.term);
    loop_.schedule();
  }
}

void TaskHost::execute(const ownership::AbortTaskAction& action) {
  log_line(Level::kWarning) << "aborts " << to_string(action.id) << " under term " << action.term
                            << ": its lease is lost, or cannot be confirmed";
  running_.erase(action.id);
}

// Destroys the task in a posted job, since a task may report its stop within a call of its own methods.
void TaskHost::destroy_later(const ShardId& id, Term term) {
  scheduler_.post([this, alive = alive_, id, term] {
    if (!*alive) {
      return;
    }
    const auto found = running_.find(id);
    if (found != running_.end() && found->second.term == term) {
      running_.erase(found);
    }
  });
}

// ---- Task contexts ----

TaskContext TaskHost::make_context(const ownership::StartTaskAction& action, const ownership::Work& work) {
  TaskContext context;
  context.work = work;
  context.id = action.id;
  context.term = action.term;
  context.checkpoint = action.checkpoint;
  context.fencing_token =
      std::to_string(store_.id()) + ":" + to_string(action.id) + ":" + std::to_string(action.term);
  add_progress_functions(context);
  add_store_functions(context);
  return context;
}

void TaskHost::add_progress_functions(TaskContext& context) {
  const ShardId id = context.id;
  const Term term = context.term;
  context.may_act = [this, id, term] { return lease_manager_.may_act(steady_now(), id, term); };
  context.save_checkpoint = [this, id, term](std::string checkpoint) {
    lease_manager_.on_checkpoint(steady_now(), id, term, std::move(checkpoint), false);
    loop_.schedule();
  };
  context.save_completion = [this, id, term](std::string checkpoint) {
    lease_manager_.on_checkpoint(steady_now(), id, term, std::move(checkpoint), true);
    loop_.schedule();
  };
  context.on_stopped = [this, id, term] {
    lease_manager_.on_task_finished(steady_now(), id, term);
    destroy_later(id, term);
    loop_.schedule();
  };
}

void TaskHost::add_store_functions(TaskContext& context) {
  const ShardId id = context.id;
  const Term term = context.term;
  context.read_key = [this](const std::string& key, std::function<void(std::optional<std::string>)> handler) {
    read_key(key, std::move(handler));
  };
  context.write_key = [this, id, term](const std::string& key, std::string value) {
    commit_under_term(id, term, coordination::Put{prefix_ + key, std::move(value), 0});
  };
  context.delete_key = [this, id, term](const std::string& key) {
    commit_under_term(id, term, coordination::Delete{Range{prefix_ + key, false}});
  };
}

void TaskHost::read_key(const std::string& key, std::function<void(std::optional<std::string>)> handler) {
  coordination::Transaction read;
  read.then = {coordination::Get{Range{prefix_ + key, false}}};
  store_.commit(std::move(read),
                [handler = std::move(handler)](const StoreResponse<TransactionResult>& reply) {
                  if (!reply.ok()) {
                    return;
                  }
                  const auto& found = reply.value.results.at(0).found;
                  handler(found.empty() ? std::nullopt : std::optional<std::string>(found.front().value));
                });
}

void TaskHost::commit_under_term(const ShardId& id, Term term, coordination::Operation operation) {
  coordination::Transaction transaction;
  transaction.when = {coordination::created_at(prefix_ + ownership::kOwnerPrefix + to_string(id), term)};
  transaction.then = {std::move(operation)};
  store_.commit(std::move(transaction), [id, term](const StoreResponse<TransactionResult>& reply) {
    if (reply.ok() && !reply.value.succeeded) {
      log_line(Level::kWarning) << to_string(id) << ": the store rejected a write under term " << term;
    }
  });
}

}  // namespace trailcourse::tasks
