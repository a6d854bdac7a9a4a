// A trace of the decision module: seeded random event sequences under several settings profiles, and one hash
// of all actions with all their fields. Two builds of the module decide alike if their hashes are equal. The
// program also prints the CPU time, which compares the cost of two builds on the same machine.
//
// Usage: decision_trace [EVENTS_PER_PROFILE]
#include <trailcourse/decider.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <limits>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace trailcourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Random numbers that are the same with every standard library.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}

  std::uint64_t next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t x = state_;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
  }
  // Returns a number from 0 to `bound` - 1.
  std::uint64_t below(std::uint64_t bound) { return next() % bound; }
  // Returns a number in [0, 1).
  double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  bool chance(double probability) { return uniform() < probability; }
  // Returns an exponentially distributed duration.
  Micros exponential(Micros mean) {
    return Micros(static_cast<std::int64_t>(-std::log(1.0 - uniform()) * static_cast<double>(mean.count())));
  }
  template <typename Item>
  const Item& pick(const std::vector<Item>& items) {
    return items[below(items.size())];
  }

 private:
  std::uint64_t state_;
};

// The hash of all that the module answered.
class TraceHash {
 public:
  TraceHash() : state_(XXH64_createState()) { XXH64_reset(state_, 0); }
  ~TraceHash() { XXH64_freeState(state_); }
  TraceHash(const TraceHash&) = delete;
  TraceHash& operator=(const TraceHash&) = delete;

  void add(std::uint64_t value) { XXH64_update(state_, &value, sizeof value); }
  void add(const std::string& text) {
    add(text.size());
    XXH64_update(state_, text.data(), text.size());
  }
  void add(Micros time) { add(static_cast<std::uint64_t>(time.count())); }

  void operator()(const SendAttempt& send) {
    add(send.id);
    add(send.cache);
    add(send.source);
    add(send.timeout);
    add(static_cast<std::uint64_t>(send.keep_rank));
    add(send.max_age);
    add((send.join_fill ? 1U : 0U) + (send.only_if_cached ? 2U : 0U));
  }
  void operator()(const Cancel& cancel) {
    add(cancel.id);
    add(static_cast<std::uint64_t>(cancel.attempt));
  }
  void operator()(const Reject& reject) {
    add(reject.id);
    add(reject.retry_after);
  }
  void operator()(const Fail& fail) { add(fail.id); }
  void operator()(const SetTimer& timer) {
    add(timer.token);
    add(timer.delay);
  }
  void operator()(const Subscribe&) {}

  std::uint64_t digest() const { return XXH64_digest(state_); }

 private:
  XXH64_state_t* state_;
};

// One deployment and the load on it.
struct Profile {
  std::string name;
  Settings settings;
  std::uint64_t objects = 500;
  int caches = 6;
  int parents = 3;
  int origins = 1;
  Micros between_requests{8'000};
  double mean_size_kb = 150.0;
  double restarts = 0.04;  // of the disturbances
  double event_share = 1.0;
};

AttemptEnded ended_with(RequestId id, int attempt, Status status) {
  AttemptEnded ended;
  ended.id = id;
  ended.attempt = attempt;
  ended.status = status;
  return ended;
}

// How a node answers at present.
enum class Trouble { kNone, kDead, kUnreachable, kSilent, kResets, kErrors, kFull, kSlow, kCount };

// Plays one profile and feeds all actions to the hash.
class Play {
 public:
  Play(const Profile& profile, std::uint64_t seed, TraceHash& hash)
      : profile_(profile), random_(seed), hash_(hash), decider_(profile.settings, random_.next()) {
    for (int i = 0; i < profile.caches; ++i) {
      endpoints_.push_back(new_endpoint(Role::kCache));
    }
    for (int i = 0; i < profile.parents; ++i) {
      endpoints_.push_back(new_endpoint(Role::kParent));
    }
    for (int i = 0; i < profile.origins; ++i) {
      endpoints_.push_back(new_endpoint(Role::kOrigin));
    }
  }

  // Returns the number of events handled, which is at least `events`.
  std::uint64_t run(std::uint64_t events) {
    handle(EndpointListReceived{ListKind::kRestored, endpoints_});
    handle(EndpointListReceived{ListKind::kFull, endpoints_});
    schedule(now_, Arrival{});
    schedule(now_, Disturbance{});
    while (handled_ < events && !jobs_.empty()) {
      Job job = jobs_.top();
      jobs_.pop();
      now_ = std::max(now_, job.when);
      std::visit([this](const auto& step) { perform(step); }, job.step);
    }
    return handled_;
  }

 private:
  struct Arrival {};
  struct Disturbance {};
  struct FirstByte {
    RequestId id;
    int attempt;
    AttemptEnded outcome;
    Micros answer_time;
    bool streamed;
  };
  using Step =
      std::variant<Arrival, Disturbance, FirstByte, AttemptEnded, StreamStarted, ClientLeft, TimerFired>;
  struct Job {
    Micros when;
    std::uint64_t order;
    Step step;
    friend bool operator<(const Job& a, const Job& b) {
      return a.when != b.when ? a.when > b.when : a.order > b.order;
    }
  };
  struct AttemptState {
    bool ended = false;
    bool stream_started = false;
  };
  struct RequestState {
    bool finished = false;
    bool streaming_class = false;
    double size_kb = 0.0;
    Micros deadline{0};
    std::vector<AttemptState> attempts;
  };

  void schedule(Micros when, Step step) { jobs_.push(Job{when, ++order_, std::move(step)}); }

  void handle(const Event& event) {
    ++handled_;
    std::vector<Action> actions;
    decider_.handle(now_, event, actions);
    hash_.add(actions.size());
    for (const Action& action : actions) {
      hash_.add(action.index());
      std::visit(hash_, action);
      std::visit([this](const auto& one) { execute(one); }, action);
    }
  }

  // ---- Requests ----

  void perform(const Arrival&) {
    schedule(now_ + random_.exponential(profile_.between_requests / busy_), Arrival{});
    RequestArrived request;
    request.id = ++last_id_;
    const std::uint64_t classes = class_count_;
    request.request_class = random_.chance(0.0005) ? 99 : static_cast<int>(random_.below(classes));
    const double skewed = random_.uniform() * random_.uniform() * random_.uniform();
    request.object = static_cast<std::uint64_t>(skewed * static_cast<double>(profile_.objects));
    request.part = random_.chance(0.3) ? static_cast<std::uint32_t>(random_.below(4)) : 0;
    request.purge_group = request.object % 16;
    request.size_kb = draw_size();
    const bool short_of_time = random_.chance(0.1);
    request.deadline = now_ + (short_of_time ? random_.exponential(milliseconds(60)) : Micros(seconds(5)));
    request.is_retry = random_.chance(0.08);
    request.write = random_.chance(0.03);
    RequestState& state = requests_[request.id];
    state.size_kb = request.size_kb;
    state.deadline = request.deadline;
    state.streaming_class = random_.chance(0.1);
    schedule(request.deadline + profile_.settings.answer_slack, ClientLeft{request.id});
    if (random_.chance(0.02)) {
      schedule(now_ + random_.exponential(milliseconds(80)), ClientLeft{request.id});
    }
    handle(request);
  }

  double draw_size() {
    if (random_.chance(0.05)) {
      return 0.0;
    }
    if (random_.chance(0.002)) {
      return 1e12;
    }
    return profile_.mean_size_kb * std::exp(2.0 * (random_.uniform() + random_.uniform() - 1.0));
  }

  void perform(const ClientLeft& left) {
    const auto found = requests_.find(left.id);
    if (found == requests_.end() || found->second.finished) {
      return;
    }
    if (std::any_of(found->second.attempts.begin(), found->second.attempts.end(),
                    [](const AttemptState& attempt) { return attempt.stream_started && !attempt.ended; })) {
      return;  // a stream has no deadline
    }
    finish(left.id);
    handle(left);
  }

  void perform(const TimerFired& timer) { handle(timer); }

  void perform(const StreamStarted& started) {
    if (AttemptState* attempt = open_attempt(started.id, started.attempt)) {
      attempt->stream_started = true;
      handle(started);
    }
  }

  // ---- Attempts ----

  void execute(const SendAttempt& send) {
    RequestState& request = requests_[send.id];
    const int attempt = static_cast<int>(request.attempts.size());
    request.attempts.emplace_back();
    FirstByte first{send.id, attempt, {}, Micros(0), false};
    first.outcome = draw_outcome(send, request);
    first.outcome.id = send.id;
    first.outcome.attempt = attempt;
    first.answer_time = first.outcome.latency;
    first.streamed = request.streaming_class && first.outcome.status == Status::kOk;
    const bool waits = random_.chance(0.15);
    schedule(now_ + (waits ? random_.exponential(milliseconds(60)) : Micros(0)), first);
  }

  void perform(const FirstByte& first) {
    if (open_attempt(first.id, first.attempt) == nullptr) {
      return;
    }
    const bool may_begin = decider_.may_begin(now_, first.id, first.attempt);
    hash_.add(may_begin ? 1U : 0U);
    AttemptEnded outcome = first.outcome;
    if (!may_begin) {
      outcome = ended_with(first.id, first.attempt, Status::kNotSent);
      schedule(now_, outcome);
      return;
    }
    if (first.streamed) {
      schedule(now_ + first.answer_time / 2, StreamStarted{first.id, first.attempt});
    }
    schedule(now_ + first.answer_time, outcome);
  }

  void perform(AttemptEnded ended) {
    AttemptState* attempt = open_attempt(ended.id, ended.attempt);
    if (attempt == nullptr) {
      return;
    }
    attempt->ended = true;
    RequestState& request = requests_[ended.id];
    const bool answered = ended.status == Status::kOk || attempt->stream_started;
    ended.finished = request.finished || answered;
    if (ended.finished) {
      finish(ended.id);
    }
    handle(ended);
    forget_if_over(ended.id);
  }

  void execute(const Cancel& cancel) {
    const AttemptState* attempt = open_attempt(cancel.id, cancel.attempt);
    if (attempt != nullptr && !attempt->stream_started && !random_.chance(0.1)) {
      AttemptEnded ended = ended_with(cancel.id, cancel.attempt, Status::kCancelled);
      ended.latency = milliseconds(1);
      schedule(now_ + milliseconds(1), ended);
    }
  }

  void execute(const Reject& reject) { finish(reject.id); }
  void execute(const Fail& fail) { finish(fail.id); }
  void execute(const SetTimer& timer) { schedule(now_ + timer.delay, TimerFired{timer.token}); }
  void execute(const Subscribe&) { subscribed_ = true; }

  AttemptState* open_attempt(RequestId id, int attempt) {
    const auto found = requests_.find(id);
    const auto index = static_cast<std::size_t>(attempt);
    const bool made = found != requests_.end() && index < found->second.attempts.size();
    return made && !found->second.attempts[index].ended ? &found->second.attempts[index] : nullptr;
  }

  void finish(RequestId id) {
    requests_[id].finished = true;
    forget_if_over(id);
  }

  void forget_if_over(RequestId id) {
    const auto found = requests_.find(id);
    if (found != requests_.end() && found->second.finished &&
        std::all_of(found->second.attempts.begin(), found->second.attempts.end(),
                    [](const AttemptState& attempt) { return attempt.ended; })) {
      requests_.erase(found);
    }
  }

  AttemptEnded draw_outcome(const SendAttempt& send, const RequestState& request) {
    AttemptEnded ended;
    const double work_s = (request.size_kb < 1e9 ? request.size_kb : 100.0) / 1000.0;
    const double slow =
        trouble_[send.cache] == Trouble::kSlow || trouble_[send.source] == Trouble::kSlow ? 12 : 1;
    ended.latency = milliseconds(2) + random_.exponential(milliseconds(12)) +
                    Micros(static_cast<std::int64_t>(work_s * crowding_ * slow * 1e6));
    ended.source_first_byte_time = ended.latency / static_cast<std::int64_t>(1 + random_.below(6));
    ended.load = draw_report();
    ended.status = draw_status(send, ended);
    const bool late = send.timeout > Micros(0) && ended.latency > send.timeout;
    if (late) {
      ended.status = Status::kTimeout;
      ended.latency = send.timeout;
    }
    ended.note = draw_note(send, ended.status);
    return ended;
  }

  Status draw_status(const SendAttempt& send, AttemptEnded& ended) {
    switch (trouble_[send.cache]) {
      case Trouble::kDead:
        ended.latency = Micros(static_cast<std::int64_t>(300 + random_.below(500)));
        return Status::kConnectFailed;
      case Trouble::kUnreachable:
        ended.latency = milliseconds(400);
        return Status::kConnectFailed;
      case Trouble::kSilent:
        ended.latency = seconds(30);
        return Status::kTimeout;
      case Trouble::kResets:
        return random_.chance(0.6) ? Status::kReset : Status::kOk;
      case Trouble::kErrors:
        return random_.chance(0.6) ? Status::kError : Status::kOk;
      case Trouble::kFull:
        return random_.chance(0.6) ? Status::kFull : Status::kOk;
      default:
        break;
    }
    if (send.only_if_cached || send.source == send.cache) {
      return random_.chance(0.5) ? Status::kNotCached : Status::kOk;
    }
    const Trouble source = trouble_[send.source];
    if (source != Trouble::kNone && source != Trouble::kSlow && random_.chance(0.7)) {
      return Status::kFull;
    }
    const double luck = random_.uniform();
    const std::vector<Status> rare{Status::kError,     Status::kReset,        Status::kFull,
                                   Status::kNotCached, Status::kNotSent,      Status::kError,
                                   Status::kCancelled, Status::kConnectFailed};
    return luck < failing_ ? random_.pick(rare) : Status::kOk;
  }

  Note draw_note(const SendAttempt& send, Status status) {
    const NoteLevel level = profile_.settings.notes;
    if (level == NoteLevel::kNone) {
      return Note::kNone;
    }
    if (status == Status::kOk) {
      const std::vector<Note> answers{Note::kHit,    Note::kHit,    Note::kFilled, Note::kFilledFromOrigin,
                                      Note::kFilled, Note::kJoined, Note::kStale,  Note::kFilledFromOrigin};
      const Note note = random_.pick(answers);
      return level == NoteLevel::kHit && note == Note::kFilledFromOrigin ? Note::kFilled : note;
    }
    if (level == NoteLevel::kHit || random_.chance(0.3)) {
      return Note::kNone;
    }
    if (status == Status::kNotCached && !random_.chance(0.3)) {
      return Note::kNotAtSource;
    }
    const bool fill = send.source != send.cache;
    const std::vector<Note> failures{Note::kSourceRejected, Note::kSourceUnreachable, Note::kNoFillCapacity,
                                     Note::kOriginFailed};
    return fill && status == Status::kFull ? random_.pick(failures) : Note::kNone;
  }

  LoadReport draw_report() {
    LoadReport report;
    if (random_.chance(0.3)) {
      return report;
    }
    const std::vector<double> absurd{-5.0, 1e300, std::numeric_limits<double>::infinity(),
                                     std::numeric_limits<double>::quiet_NaN()};
    report.utilisation = random_.chance(0.01) ? random_.pick(absurd) : random_.uniform();
    report.concurrent = random_.chance(0.5) ? -1.0 : 3.0 * crowding_ * random_.uniform();
    report.hit_share = random_.uniform();
    report.link_or_fetches =
        random_.chance(0.3) ? -1.0 : std::min(1.2, 0.2 * crowding_ + random_.uniform() / 2);
    return report;
  }

  // ---- Disturbances of the deployment ----

  void perform(const Disturbance&) {
    schedule(now_ + random_.exponential(profile_.between_requests * 12), Disturbance{});
    if (subscribed_) {
      subscribed_ = false;
      handle(EndpointListReceived{random_.chance(0.3) ? ListKind::kLost : ListKind::kFull, endpoints_});
    }
    if (random_.chance(profile_.restarts)) {
      restart_endpoint();
      return;
    }
    using Member = void (Play::*)();
    const std::vector<Member> kinds{&Play::purge,          &Play::purge,          &Play::purge,
                                    &Play::health_check,   &Play::change_trouble, &Play::change_trouble,
                                    &Play::change_load,    &Play::change_list,    &Play::full_list,
                                    &Play::rare_list,      &Play::stray_events,   &Play::health_check,
                                    &Play::change_classes, &Play::purge_flood,    &Play::pause};
    (this->*random_.pick(kinds))();
  }

  void purge() {
    Purged purged;
    purged.whole_group = random_.chance(0.1);
    purged.group = random_.below(16);
    purged.object = random_.below(profile_.objects);
    purged.age = random_.chance(0.5) ? Micros(0) : random_.exponential(seconds(2));
    handle(purged);
  }

  void purge_flood() {
    for (int i = 0; random_.chance(0.01) && i < 30'000; ++i) {
      handle(Purged{false, 1'000'000 + random_.below(1'000'000), 0, Micros(0)});
    }
  }

  void health_check() {
    HealthCheckResult result;
    result.address = random_.chance(0.05) ? "unknown" : random_.pick(endpoints_).address;
    const Trouble trouble = trouble_[result.address];
    result.healthy = random_.chance(0.05) || trouble == Trouble::kNone;
    result.valid_for = random_.exponential(seconds(2));
    handle(result);
  }

  void change_trouble() {
    if (random_.chance(0.5)) {
      trouble_.clear();
      return;
    }
    const auto kinds = static_cast<std::uint64_t>(Trouble::kCount);
    trouble_[random_.pick(endpoints_).address] = static_cast<Trouble>(random_.below(kinds));
  }

  void change_load() {
    crowding_ = random_.chance(0.5) ? 1.0 : 1.0 + 8.0 * random_.uniform();
    failing_ = random_.chance(0.6) ? 0.01 : 0.5 * random_.uniform();
    busy_ = static_cast<int>(1 + random_.below(5));
  }

  void change_list() {
    EndpointListReceived list{ListKind::kChanges, {}};
    for (std::uint64_t i = random_.below(3) + 1; i > 0; --i) {
      Endpoint& endpoint = endpoints_[random_.below(endpoints_.size())];
      const std::vector<NodeState> states{NodeState::kReady, NodeState::kReady, NodeState::kDraining,
                                          NodeState::kGone};
      endpoint.state = random_.pick(states);
      const std::vector<double> weights{4.0, 8.0, 8.0, 16.0, 0.0, std::numeric_limits<double>::infinity()};
      endpoint.weight = random_.chance(0.8) ? endpoint.weight : random_.pick(weights);
      list.entries.push_back(endpoint);
    }
    if (random_.chance(0.2)) {
      endpoints_.push_back(new_endpoint(static_cast<Role>(random_.below(2))));
      list.entries.push_back(endpoints_.back());
    }
    handle(list);
  }

  void restart_endpoint() {
    Endpoint& endpoint = endpoints_[random_.below(endpoints_.size())];
    endpoint.started = now_ - random_.exponential(milliseconds(200));
    endpoint.state = NodeState::kReady;
    handle(EndpointListReceived{ListKind::kChanges, {endpoint}});
  }

  void full_list() {
    std::erase_if(endpoints_, [this](const Endpoint& endpoint) {
      return endpoint.state == NodeState::kGone || (endpoint.role != Role::kOrigin && random_.chance(0.05));
    });
    const std::size_t caches = static_cast<std::size_t>(std::count_if(
        endpoints_.begin(), endpoints_.end(),
        [](const Endpoint& endpoint) { return endpoint.role == Role::kCache && endpoint.zone == "here"; }));
    for (std::size_t i = caches; i < static_cast<std::size_t>(profile_.caches); ++i) {
      endpoints_.push_back(new_endpoint(Role::kCache));
    }
    for (Endpoint& endpoint : endpoints_) {
      endpoint.state = random_.chance(0.9) ? NodeState::kReady : endpoint.state;
    }
    handle(EndpointListReceived{ListKind::kFull, endpoints_});
  }

  void rare_list() {
    if (random_.chance(0.5)) {
      handle(EndpointListReceived{ListKind::kLost, {}});
    } else {
      handle(EndpointListReceived{ListKind::kRestored, endpoints_});
    }
  }

  void stray_events() {
    handle(ended_with(1'000'000'000 + random_.below(100), 0, Status::kOk));
    handle(TimerFired{random_.below(1'000'000)});
    handle(ClientLeft{1'000'000'000});
    handle(StreamStarted{1'000'000'000, 0});
  }

  void change_classes() {
    ClassesUpdated update;
    const std::size_t replaced = random_.below(3);
    update.based_on = 0;
    update.first = class_count_ < 12 ? class_count_ : profile_.settings.classes.size();
    for (std::size_t i = 0; i <= replaced; ++i) {
      ClassSettings changed = profile_.settings.classes[i];
      changed.latency_objective = milliseconds(200 + random_.below(1'000));
      changed.lifetime = random_.chance(0.5) ? changed.lifetime : Micros(seconds(1 + random_.below(30)));
      update.classes.push_back(changed);
    }
    class_count_ = std::max(class_count_, update.first + update.classes.size());
    handle(update);
  }

  void pause() {
    if (random_.chance(0.05)) {
      now_ += seconds(70);
    }
  }

  Endpoint new_endpoint(Role role) {
    Endpoint endpoint;
    endpoint.address =
        "10.0." + std::to_string(++last_endpoint_) + ".1:" + std::to_string(4'000 + random_.below(9));
    endpoint.zone = role != Role::kCache ? "hub" : random_.chance(0.1) ? "elsewhere" : "here";
    endpoint.role = role;
    endpoint.cell = static_cast<int>(random_.below(3));
    endpoint.weight = 4.0 * static_cast<double>(1 + random_.below(4));
    endpoint.started = random_.chance(0.7) ? Micros(0) : now_ - random_.exponential(seconds(4));
    return endpoint;
  }

  const Profile& profile_;
  Random random_;
  TraceHash& hash_;
  Decider decider_;
  Micros now_{seconds(1'000)};
  std::uint64_t handled_ = 0;
  std::uint64_t order_ = 0;
  RequestId last_id_ = 0;
  int last_endpoint_ = 0;
  std::size_t class_count_ = profile_.settings.classes.size();
  std::vector<Endpoint> endpoints_;
  std::unordered_map<std::string, Trouble> trouble_;
  std::unordered_map<RequestId, RequestState> requests_;
  std::priority_queue<Job> jobs_;
  double crowding_ = 1.0;
  double failing_ = 0.01;
  int busy_ = 1;
  bool subscribed_ = false;
};

std::vector<ClassSettings> classes() {
  ClassSettings video;
  video.latency_objective = milliseconds(600);
  video.latency_objective_stretch = 1.6;
  video.give_up_after = seconds(6);
  ClassSettings image = video;
  image.lifetime = seconds(20);
  image.grace = seconds(20);
  ClassSettings write = video;
  write.idempotency = Idempotency::kUnsafe;
  write.uncached = true;
  ClassSettings keyed = write;
  keyed.idempotency = Idempotency::kKeyed;
  keyed.idempotency_window = seconds(3);
  ClassSettings keyed_in_zone = keyed;
  keyed_in_zone.retry_scope = RetryScope::kZone;
  ClassSettings keyed_in_cell = keyed;
  keyed_in_cell.retry_scope = RetryScope::kCell;
  return {video, image, image, write, keyed, keyed_in_zone, keyed_in_cell};
}

Settings plain_settings() {
  Settings settings;
  settings.self_index = 1;
  settings.zone = "here";
  settings.routers = 6;
  settings.routers_in_zone = 3;
  settings.weights_are_sizes = true;
  settings.notes = NoteLevel::kAll;
  settings.stream_kb_per_s = 1'000.0;
  settings.max_attempts = 6;
  settings.may_cancel = true;
  settings.parallel_attempts = true;
  settings.max_retry_after = seconds(1);
  settings.answer_slack = milliseconds(50);
  settings.can_join_fills = true;
  settings.drain_grace = milliseconds(500);
  settings.purge_grace = milliseconds(300);
  settings.purge_done = seconds(6);
  settings.slow_start_from = 0.2;
  settings.slow_start_span = seconds(14);
  settings.overload_factor = 2.5;
  settings.overload_span = seconds(3);
  settings.parent_slow_start_from = 0.1;
  settings.parent_slow_start_span = seconds(20);
  settings.parent_overload_factor = 2.0;
  settings.classes = classes();
  return settings;
}

std::vector<Profile> profiles() {
  Profile plain{.name = "plain", .settings = plain_settings()};
  Profile one_at_a_time = plain;
  one_at_a_time.name = "one attempt at a time";
  one_at_a_time.settings.parallel_attempts = false;
  one_at_a_time.settings.notes = NoteLevel::kHit;
  Profile bare = plain;
  bare.name = "no notes, no cancel";
  bare.settings.notes = NoteLevel::kNone;
  bare.settings.may_cancel = false;
  bare.settings.must_subscribe = true;
  bare.settings.can_join_fills = false;
  bare.settings.max_retry_after = Micros(0);
  bare.settings.self_index = -1;
  Profile direct = plain;
  direct.name = "direct writes";
  direct.settings.direct = true;
  direct.settings.weights_are_sizes = false;
  direct.between_requests = Micros(20'000);
  Profile restarts = plain;
  restarts.name = "many restarts";
  restarts.restarts = 0.4;
  restarts.settings.routers = 40;
  restarts.settings.routers_in_zone = 20;
  Profile many_objects = plain;
  many_objects.name = "more objects than entries";
  many_objects.objects = 400'000;
  many_objects.mean_size_kb = 15.0;
  many_objects.between_requests = Micros(1'000);
  Profile overload = plain;
  overload.name = "overload";
  overload.between_requests = Micros(2'000);
  overload.mean_size_kb = 400.0;
  Profile parentless = plain;
  parentless.name = "no parents";
  parentless.parents = 0;
  parentless.settings.slow_start_span = Micros(0);
  Profile one_try = plain;
  one_try.name = "one attempt, no origin";
  one_try.origins = 0;
  one_try.settings.max_attempts = 1;
  one_try.settings.overload_factor = 0.0;
  Profile large = plain;
  large.name = "more nodes than slots";
  large.caches = 4'500;
  large.event_share = 0.02;
  return {plain, one_at_a_time, bare, direct, restarts, many_objects, overload, parentless, one_try, large};
}

int trace(std::uint64_t events_per_profile) {
  TraceHash hash;
  std::uint64_t events = 0;
  std::uint64_t seed = 1;
  for (const Profile& profile : profiles()) {
    const double share = profile.event_share * static_cast<double>(events_per_profile);
    events += Play(profile, seed++, hash).run(static_cast<std::uint64_t>(share));
    std::cout << std::hex << std::setw(16) << std::setfill('0') << hash.digest() << std::dec << "  after "
              << profile.name << '\n';
  }
  const double cpu_s = static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
  std::cout << "hash " << std::hex << std::setw(16) << hash.digest() << std::dec << " events " << events
            << " cpu_s " << cpu_s << '\n';
  return 0;
}

}  // namespace
}  // namespace trailcourse

int main(int argc, char** argv) {
  const std::uint64_t events_per_profile = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 200'000;
  return trailcourse::trace(events_per_profile);
}
