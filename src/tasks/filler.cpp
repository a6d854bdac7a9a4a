#include "tasks/filler.h"

#include <cstdio>
#include <utility>

#include "protocol/cache_answer.h"
#include "protocol/numbers.h"
#include "transport/log.h"

namespace trailcourse::tasks {

using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

// The final answer of one fill. The body is not needed.
class Filler::Answer : public routing::Reply {
 public:
  Answer(Filler& filler, std::size_t place) : filler_(filler), place_(place), alive_(filler.alive_) {}

  void served(std::string, bool, const routing::ServedBy& by) override {
    end(indicates_hit(by.note) ? FillPlan::End::kHeld : FillPlan::End::kFilled, Micros(0));
  }
  void refused(Micros retry_after) override { end(FillPlan::End::kRefused, retry_after); }
  void failed() override { end(FillPlan::End::kFailed, Micros(0)); }
  void begin(bool) override {}
  void piece(std::string_view) override {}
  void finish(bool whole) override {
    end(whole ? FillPlan::End::kFilled : FillPlan::End::kFailed, Micros(0));
  }

 private:
  // Later: the router is in the middle of its own step.
  void end(FillPlan::End how, Micros retry_after) {
    if (*alive_) {
      filler_.scheduler_.post([&filler = filler_, place = place_, alive = alive_, how, retry_after] {
        if (*alive) {
          filler.answered(place, how, retry_after);
        }
      });
    }
  }

  Filler& filler_;
  std::size_t place_;
  std::shared_ptr<bool> alive_;
};

Filler::Filler(transport::Scheduler& scheduler, routing::Router& router, const protocol::Profile& profile,
               const OwnershipOptions& options, std::uint64_t seed, TaskContext context)
    : scheduler_(scheduler),
      router_(router),
      profile_(profile),
      options_(options),
      context_(std::move(context)),
      last_id_(seed ^ context_.term),
      timer_(scheduler, [this] { turn(); }) {}

Filler::~Filler() {
  *alive_ = false;
  for (const auto& [place, id] : std::exchange(out_, {})) {
    router_.leave(id);
  }
}

Micros Filler::now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

void Filler::begin() {
  try {
    order_ = read_fill_order(context_.work.params);
    const auto found = profile_.class_index.find(order_->request_class);
    if (found == profile_.class_index.end()) {
      throw std::invalid_argument("class: '" + order_->request_class + "' is not served here");
    }
    const ClassSettings& kind = profile_.settings.classes[static_cast<std::size_t>(found->second)];
    if (kind.idempotency != Idempotency::kSafe || kind.uncached) {
      throw std::invalid_argument("class: '" + order_->request_class + "' is not one that caches keep");
    }
    request_class_ = found->second;
  } catch (const std::invalid_argument& error) {
    cannot(error.what());
    return;
  }
  if (order_->objects.empty()) {
    load();
  } else {
    plan(context_.id.shard, context_.work.shards);
  }
}

// Nobody can do it: it is over, and the log says why.
void Filler::cannot(const std::string& why) {
  log_line(Level::kError) << to_string(context_.id) << " cannot be done: " << why;
  context_.checkpoint_at("cannot be done: " + why, true);
  said_done_ = true;
}

// The shard's own list. Asked for again until the store answers.
void Filler::load() {
  context_.get(fill_list_key(context_.id.work, context_.id.shard),
               [this, alive = alive_](const std::optional<std::string>& text) {
                 if (!*alive || plan_ || said_done_ || finishing_) {
                   return;
                 }
                 order_->objects = read_fill_list(text.value_or(""));
                 if (order_->objects.empty()) {
                   cannot("objects: none are listed for this shard");
                 } else {
                   plan(0, 1);
                 }
               });
  timer_.set(Clock::now() + milliseconds(1'000));
}

void Filler::plan(std::uint64_t shard, std::uint64_t shards) {
  FillRules rules;
  rules.open = static_cast<std::size_t>(options_.fill_open);
  rules.tries = static_cast<int>(options_.fill_tries);
  rules.retry = milliseconds(options_.fill_retry_ms);
  plan_.emplace(*order_, shard, shards, rules, context_.checkpoint);
  turn();
}

void Filler::finish() {
  finishing_ = true;
  for (const auto& [place, id] : std::exchange(out_, {})) {
    router_.leave(id);
  }
  if (plan_ && !said_done_) {
    say(plan_->done());
  }
  context_.finished();
}

void Filler::say(bool done) {
  if (done && !std::exchange(said_done_, true)) {
    const FillProgress& progress = plan_->progress();
    log_line(Level::kInfo) << to_string(context_.id) << " is done: filled " << progress.filled << " (held "
                           << progress.held << "), failed " << progress.failed << " of " << progress.of;
  }
  context_.checkpoint_at(plan_->checkpoint(), done);
}

void Filler::turn() {
  if (finishing_ || said_done_) {
    return;
  }
  if (!plan_) {
    load();
    return;
  }
  const std::int64_t wait_ms = order_->at_ms - unix_ms();
  if (wait_ms > 0) {
    if (!std::exchange(waited_, true)) {
      say(false);  // owners that go before its time did not die of it
    }
    timer_.set(Clock::now() + milliseconds(std::min<std::int64_t>(wait_ms, 1'000)));
    return;
  }
  if (plan_->done()) {
    say(true);
    return;
  }
  if (!context_.may_act()) {
    timer_.set(Clock::now() + milliseconds(50));
    return;
  }
  for (const std::size_t place : plan_->due(now())) {
    ask(place);
  }
  const std::optional<Micros> next = plan_->next(now());
  std::optional<Clock::time_point> when;
  if (next) {
    when.emplace(std::max(Clock::now() + milliseconds(1), Clock::time_point(*next)));
  }
  timer_.set(when);
}

void Filler::ask(std::size_t place) {
  const std::string& object = plan_->object(place);
  const std::size_t slash = object.find('/');
  auto passed = std::make_shared<protocol::Passed>();
  char id[17];
  std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(++last_id_));
  passed->id = id;
  passed->request_class = order_->request_class;
  passed->object = object.substr(0, slash);
  passed->part = slash == std::string::npos ? "" : object.substr(slash + 1);
  passed->fence = context_.fence;
  routing::ClientRequest request;
  request.told.request_class = request_class_;
  request.told.object = protocol::read_hex<ObjectId>(passed->object).value_or(0);
  request.told.part = protocol::read_number<std::uint32_t>(passed->part).value_or(0);
  request.patience = milliseconds(options_.fill_patience_ms);
  request.passed = std::move(passed);
  const RequestId number = router_.arrive(std::move(request), std::make_shared<Answer>(*this, place));
  if (number != 0) {
    out_[place] = number;
  }
}

void Filler::answered(std::size_t place, FillPlan::End end, Micros retry_after) {
  out_.erase(place);
  if (finishing_ || !plan_) {
    return;
  }
  const std::uint64_t before = plan_->progress().filled + plan_->progress().failed;
  plan_->ended(now(), place, end, retry_after);
  if (plan_->progress().filled + plan_->progress().failed != before) {
    say(plan_->done());
  }
  turn();
}

}  // namespace trailcourse::tasks
