// The decision module: every decision, table and tuned value of trailcourse.
// Its interface (settings, events, actions) is include/trailcourse/decider.h.
// It reads from the rules (drains, cold budgets, purges, effects) over the ordinary path (the Criteria
// Weighted score, its rank, the hash companion) to load, failures and further attempts.
#include <trailcourse/decider.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <ranges>
#include <tuple>
#include <utility>

#include "hashing.h"
#include "lru_map.h"
#include "node_table.h"
#include "purge_times.h"
#include "request_table.h"
#include "state.h"
#include "tally.h"

namespace trailcourse {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The score: weights and cuts of the design page.
constexpr double kAlpha = 1.0;      // by 1 / request count
constexpr double kBeta = 0.9;       // by size
constexpr double kMu = 0.3;         // by known holders
constexpr double kNu = 0.6;         // by idle time
constexpr double kTopCut = 1.2;     // below: top rank
constexpr double kMiddleCut = 2.0;  // below: middle rank
constexpr double kTopShare = 0.25;  // of the bytes asked for that may hold the top rank
enum Rank { kLowestRank = 1, kMiddleRank = 2, kTopRank = 3 };
constexpr std::size_t kMaxEntries = 50'000;
constexpr Micros kHalving = seconds(60);  // a request count halves, a holder is forgotten
constexpr Micros kIdleCap = seconds(30);  // tmax of a class without a fresh time
constexpr double kByteDecay = 0.9995;     // a request; the byte shares look back over some thousands

// The rules.
constexpr std::size_t kMaxNodes = 4096;         // slots for addresses; beyond, those gone and idle are reused
constexpr std::size_t kMaxPurges = 20'000;      // beyond, they fold into one floor for all objects
constexpr Micros kPurgeMargin = seconds(1);     // past the stated end of dropping, against late clocks
constexpr Micros kGuardLead = milliseconds(3);  // final answers leave this long before the client's own end
constexpr Micros kSpanMargin = milliseconds(100);  // a keyed repeat must arrive inside the memory span
constexpr double kColdRate = 0.7;    // of the overload budget, over all time slots of all routers
constexpr double kColdSlot = 1.0;    // of the span that a time slot stays open
constexpr double kColdLeast = 0.25;  // of the span from one time slot of a router to its next, or more
constexpr double kColdPaid = 0.999;  // of a period: the next slot is not lost to rounding
constexpr double kColdStep = 0.5;    // octaves: one figure for all routers whose means differ a little
constexpr double kColdDoubt = 1.0;   // of the mean sending time, over the root of the requests seen
constexpr double kGoldenPart = 0.6180339887498949;  // its multiples lie evenly, whatever their number

// Load.
constexpr double kBusyLoad = 1.0;    // transfers over capacity below which nothing is shed
constexpr double kSpreadLoad = 2.0;  // from which the second cache is looked at: a departure costs a fill
constexpr double kSpreadGain = 0.5;  // of the home's load that the second one may have
constexpr int kSpread = 2;           // caches in hash order among which load may choose
constexpr double kShedShare = 0.9;   // of the aim that a predicted answer may take
constexpr double kLargeShare = 0.6;  // of its class's answered share, below which a large object is not shed
constexpr double kLargeSteps = 2.0;  // sizes over the class's mean that are told apart: from 1, from 2
constexpr double kAnsweredGain = 0.05;     // smoothing of the shares answered
constexpr double kAnswerOverhead = 0.04;   // seconds of an answer beside its sending time
constexpr double kDefaultWork = 0.2;       // seconds of sending where nothing is known yet
constexpr double kUnknownTransfers = 8.0;  // capacity of a cache whose weight says nothing
constexpr double kOthersGain = 0.3;        // smoothing of the load that other routers put on a cache

constexpr double kBusyLink = 0.7;  // of the zone's link, from which nothing is fetched on the chance of a hit
constexpr double kMostOthers = 1000.0;  // requests; beyond, a report is absurd
constexpr double kMostUse = 0.9;        // of a cache's cores; nearer to 1 its queue cannot be told

// The miss window: seconds of this router's offered sending that may wait on fills at once.
constexpr double kFillStart = 2;
constexpr double kFillLeast = 0.03;
constexpr double kFillMost = 5.0;
constexpr double kFillGrow = 0.04;     // for a window's worth of good fills
constexpr double kOfferLeast = 1.0;    // seconds over which a first few requests are spread
constexpr double kOfferDecay = 0.998;  // a request; the offered rate looks back over some hundreds
constexpr double kFillBadGain = 0.05;  // smoothing of the share of fills that failed or came late
constexpr double kFillBadLimit = 0.2;  // share from which the window shrinks
constexpr double kFillCut = 0.8;       // one shrinking
constexpr Micros kFillCutPause = milliseconds(300);  // between two of them

// Health and further attempts.
constexpr double kPatienceBase = 0.3;     // seconds beyond the expected answer before silence counts
constexpr double kPatienceStretch = 2.0;  // and so many times the expected answer
constexpr double kStreakLimit = 3.0;      // consecutive blames that eject
constexpr Micros kAtOnce =
    milliseconds(50);                  // a connection refused by then costs a request no time to speak of
constexpr double kConnectBlame = 1.5;  // of a connection that was not to be had
constexpr double kResetBlame = 0.5;    // of one that broke: what died is not to be had next
constexpr double kFailGain = 0.1;      // smoothing of the share of failures
constexpr double kFailLimit = 0.4;     // share of failures that ejects
constexpr double kDeadShare = 0.75;    // of refusals that only a dead parent shows: one that runs has hits
constexpr double kOutlier = 3.0;       // times the share of the soundest parent that stands out
constexpr double kShareCut = 0.8;      // of the objects that a source takes, by one bad fill
constexpr double kShareGrow = 0.02;    // by one good fill
constexpr double kShareLeast = 0.05;
constexpr double kEjectBase = 1.0;  // seconds of the first ejection; doubles
constexpr int kEjectDoublings = 3;
constexpr double kEjectSpread = 0.25;  // of its length, drawn, so that routers do not come back together
constexpr double kRetryShare = 0.25;   // further attempts for each request
constexpr double kRetryBurst = 30.0;
constexpr int kMaxTries = 4;
constexpr Micros kRefusalWait = milliseconds(400);  // named to a refused client where it heeds that

}  // namespace

class Decider::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed)
      : settings_(std::move(settings)),
        random_(seed),
        cold_phase_(settings_.self_index >= 0 ? settings_.self_index * kGoldenPart : unit(seed)),
        purges_(kMaxPurges, settings_.purge_done + kPurgeMargin),
        mean_work_(settings_.classes.size()),
        answered_(settings_.classes.size()) {}

  void handle(Micros now, const Event& event, std::vector<Action>& out) {
    now_ = std::max(now_, now);
    out_ = &out;
    std::visit([this](const auto& one) { on(one); }, event);
  }

  // The one place where client, deadline, drain, purge, effect and cold budget are judged once more.
  bool may_begin(Micros now, RequestId id, int place) {
    now_ = std::max(now_, now);
    Request* request = requests_.open(id);
    if (request == nullptr || request->streaming) {
      return false;
    }
    Attempt& attempt = request->attempts.at(static_cast<std::size_t>(place));
    const Micros purge = cacheable(*request) ? last_purge(*request) : Micros(-1);
    const bool old = purge >= Micros(0) && (attempt.age == Micros(0) || attempt.sent - attempt.age < purge);
    attempt.withheld = attempt.done || old || now_ + kGuardLead >= request->told.deadline ||
                       !may_go_to(at(attempt.node), attempt) ||
                       (attempt.fills() && !may_go_to(at(attempt.source), attempt)) ||
                       !may_send(*request, at(attempt.node), &attempt);
    return !attempt.withheld;
  }

 private:
  // ---- The list: drains and removals bind at once, as target and as source. ----

  void on(const EndpointListReceived& list) {
    const bool unasked = list.kind == ListKind::kRestored || list.kind == ListKind::kLost;
    if (settings_.must_subscribe && unasked) {
      out_->push_back(Subscribe{});
    }
    for (Node& node : nodes_.all()) {  // a full list names all there are
      node.listed = node.listed && (list.kind == ListKind::kChanges || list.kind == ListKind::kLost);
    }
    for (const Endpoint& entry : list.entries) {
      take_entry(entry);
    }
    nodes_.sort_by_role();
  }

  void take_entry(const Endpoint& entry) {
    const auto [node, added] = nodes_.find_or_add(entry.address);
    if (added || entry.started != node.entry.started) {
      start_afresh(node);  // another process: cold, and not to be blamed for the last one
    }
    node.entry = entry;
    node.local = entry.role == Role::kCache && entry.zone == settings_.zone;
    node.listed = entry.state == NodeState::kReady;
    const bool sized = settings_.weights_are_sizes && std::isfinite(entry.weight) && entry.weight > 0.0;
    node.transfers = sized ? entry.weight : kUnknownTransfers;
  }

  void start_afresh(Node& node) {
    node = Node{.entry = {}, .hash = node.hash, .in_flight = node.in_flight, .cold_until = now_};
  }

  Node& at(int index) { return nodes_.at(index); }
  const Node& at(int index) const { return nodes_.at(index); }
  const std::vector<int>& members(Role role) const { return nodes_.members(role); }

  // ---- Cold budgets: this router's part of what all may send to a node that started lately. ----

  double cold_share(const Node& node) const {
    const bool parent = node.entry.role == Role::kParent;
    const double from = parent ? settings_.parent_slow_start_from : settings_.slow_start_from;
    const double span = to_seconds(parent ? settings_.parent_slow_start_span : settings_.slow_start_span);
    if (node.entry.started.count() <= 0 || node.entry.role == Role::kOrigin || span <= 0.0) {
      return 1.0;
    }
    const double age = std::max(0.0, to_seconds(now_ - node.entry.started));
    return std::min(1.0, std::max(from, 0.01) + (1.0 - from) * age / span);
  }

  // Whether a budget binds there: none does where the settings name no multiple or no span of time.
  bool cold(const Node& node) const {
    return cold_share(node) < 1.0 && overload_factor(node) > 0.0 && settings_.overload_span > Micros(0);
  }
  double overload_factor(const Node& node) const {
    return node.entry.role == Role::kParent ? settings_.parent_overload_factor : settings_.overload_factor;
  }

  // Whether this router's last time slot there is open still.
  bool slot_open(const Node& node) const {
    return now_ < node.cold_begin + from_seconds(kColdSlot * to_seconds(settings_.overload_span));
  }

  // Whether `cost` seconds of sending fit this router's time slot at the node. The slots of all routers lie
  // evenly over time, by their index and the node's start, which all know alike, so that their sum is even in
  // every window; a slot holds what one request may need, and comes as often as that fits the budget. One
  // that began before this router knew of the start may have been used by its last run: it is void.
  bool cold_budget_allows(Node& node, double cost) {
    if (!cold(node)) {
      return true;
    }
    const bool parent = node.entry.role == Role::kParent;
    const int routers = std::max(1, parent ? settings_.routers : settings_.routers_in_zone);
    const double rate = kColdRate * overload_factor(node) * cold_share(node) * node.transfers / routers;
    const double span = to_seconds(settings_.overload_span);
    const double octaves = std::log2(dearest_work() / (rate * kColdLeast * span));
    const double period =
        kColdLeast * span * std::exp2(kColdStep * std::ceil(std::max(0.0, octaves) / kColdStep));
    const double age = std::max(0.0, to_seconds(now_ - node.entry.started));
    const double phase = cold_phase_ + unit(node.hash);
    const double into = period * (age / period + phase - std::floor(age / period + phase));
    const Micros begin = now_ - from_seconds(into);
    if (begin >= node.cold_until) {
      node.cold_begin = begin;
      node.cold_until = begin + from_seconds(kColdPaid * period);
      node.cold_tokens = rate * period;
    }
    return node.cold_tokens >= cost && slot_open(node);
  }

  double take_cold_budget(Node& node, double cost) const {
    const double taken = cold(node) ? cost : 0.0;
    node.cold_tokens -= taken;
    return taken;
  }

  // Listed as it was when the attempt was decided on, and warm, or in the slot that paid for the attempt.
  bool may_go_to(const Node& node, const Attempt& attempt) const {
    const bool paid = attempt.sent >= node.cold_begin && node.cold_begin > Micros(0) && slot_open(node);
    return node.listed && (paid || !cold(node));
  }

  double cold_cost(const Request& request) const {
    return mean_work_[static_cast<std::size_t>(request.told.request_class)].surely(kDefaultWork, kColdDoubt);
  }
  double class_work(const Request& request) const {
    return mean_work_[static_cast<std::size_t>(request.told.request_class)].value(kDefaultWork);
  }
  double dearest_work() const {
    const auto work = [](const Mean& mean) { return mean.surely(kDefaultWork, kColdDoubt); };
    return mean_work_.empty() ? kDefaultWork : std::ranges::max(mean_work_ | std::views::transform(work));
  }

  // ---- Purges: the latest one that still binds an object sets the oldest copy that will do. ----

  static std::uint64_t group_name(std::uint64_t group) { return mix(group); }
  static std::uint64_t object_name(ObjectId object) { return mix(mix(object) + 1); }

  void on(const Purged& purged) {
    const Micros made = now_ - std::max(Micros(0), purged.age);
    const std::uint64_t name = purged.whole_group ? group_name(purged.group) : object_name(purged.object);
    purges_.add(name, made, now_);
  }

  // Negative: none binds.
  Micros last_purge(const Request& request) const {
    return std::max(purges_.last(group_name(request.told.purge_group), now_),
                    purges_.last(object_name(request.told.object), now_));
  }

  // The oldest copy that will do, up to `stale` past its fresh time; zero where any age is good.
  Micros oldest_copy(const Request& request, bool stale) const {
    const ClassSettings& type = class_of(request);
    Micros age = type.lifetime.count() > 0 && stale ? type.lifetime + type.grace : type.lifetime;
    const Micros purge = last_purge(request);
    if (purge >= Micros(0)) {
      const Micros since = std::max(Micros(1), now_ - purge - Micros(1));
      age = age.count() > 0 ? std::min(age, since) : since;
    }
    return age;
  }

  bool cacheable(const Request& request) const { return !class_of(request).uncached && !request.told.write; }

  const ClassSettings& class_of(const Request& request) const {
    return settings_.classes[static_cast<std::size_t>(request.told.request_class)];
  }

  // ---- Effects: what may follow the attempts made so far. ----

  bool may_refuse(const Request& request) const {
    const ClassSettings& type = class_of(request);
    const bool keyed_everywhere =
        type.idempotency == Idempotency::kKeyed && type.retry_scope == RetryScope::kAll;
    return type.idempotency == Idempotency::kSafe || keyed_everywhere || request.all_proven();
  }

  // `own`: the attempt in question, where it is among the request's already.
  bool may_send(const Request& request, const Node& node, const Attempt* own = nullptr) const {
    const ClassSettings& type = class_of(request);
    return std::all_of(request.attempts.begin(), request.attempts.end(), [&](const Attempt& attempt) {
      if (&attempt == own || (attempt.done && attempt.proven)) {
        return true;
      }
      const bool beside = attempt.done || settings_.parallel_attempts;
      if (!beside || type.idempotency != Idempotency::kKeyed) {
        return beside && type.idempotency == Idempotency::kSafe;
      }
      const Endpoint& before = at(attempt.node).entry;
      const bool same_group = type.retry_scope == RetryScope::kAll ||
                              (type.retry_scope == RetryScope::kZone && before.zone == node.entry.zone) ||
                              (type.retry_scope == RetryScope::kCell && before.cell == node.entry.cell);
      return same_group && now_ + kSpanMargin < attempt.sent + type.idempotency_window;
    });
  }

  // ---- The ordinary path: the score, its rank, and the hash companion. ----

  void on(const RequestArrived& told) {
    if (told.request_class < 0 || told.request_class >= static_cast<int>(settings_.classes.size())) {
      out_->push_back(Fail{told.id});
      return;
    }
    Request& request = requests_.add(told);
    request.key = mix(told.object ^ mix(told.part));
    request.arrived = now_;
    retry_tokens_.earn(kRetryShare);
    note_work(request);
    if (cacheable(request)) {
      score(request);
    }
    set_timer(request, kGuard, told.deadline - kGuardLead - now_);
    attempt_or_give_up(request);
  }

  // A size that the client's time cannot hold is none to learn from.
  void note_work(Request& request) {
    const double size = request.told.size_kb;
    const bool told =
        size > 0.0 && size <= settings_.stream_kb_per_s * to_seconds(request.told.deadline - now_);
    request.work = told ? size / settings_.stream_kb_per_s : class_work(request);
    request.told.size_kb = told ? size : 0.0;
    if (told) {
      mean_work_[static_cast<std::size_t>(request.told.request_class)].add(request.work);
    }
    offered_.add(request.work, now_, kOfferDecay);
  }

  // V = alpha/f + beta*s/smax + mu*r/rmax + nu*t/tmax. Counted by part, as kept.
  void score(Request& request) {
    Entry& entry = entries_.touch(request.key);
    const double fresh = to_seconds(class_of(request).lifetime);
    const double tmax = fresh > 0.0 ? fresh : to_seconds(kIdleCap);
    const double idle = entry.count > 0.0 ? std::min(1.0, to_seconds(now_ - entry.last) / tmax) : 1.0;
    entry.halve(now_, kHalving);
    entry.forget_holders(now_ - kHalving);
    entry.count += request.told.is_retry && entry.count > 0.0 ? 0.0 : 1.0;
    entry.last = now_;
    largest_kb_ = std::max(largest_kb_, request.told.size_kb);
    const double size = largest_kb_ > 0.0 ? request.told.size_kb / largest_kb_ : 0.0;
    const double holders = static_cast<double>(entry.holders.size()) /
                           static_cast<double>(std::max<std::size_t>(1, members(Role::kParent).size()));
    const double value =
        kAlpha / std::max(1.0, entry.count) + kBeta * size + kMu * std::min(1.0, holders) + kNu * idle;
    request.rank = value < kTopCut ? kTopRank : value < kMiddleCut ? kMiddleRank : kLowestRank;
    const bool top =
        top_bytes_.add(std::max(1.0, request.told.size_kb), request.rank == kTopRank, kTopShare, kByteDecay);
    request.rank = top ? kTopRank : std::min<int>(request.rank, kMiddleRank);
  }

  // The members of a role in the order of weighted rendezvous hashing by address; every router finds the same
  // order, whatever that of its list.
  std::vector<int> hash_order(std::uint64_t key, Role role) const {
    std::vector<std::tuple<double, std::uint64_t, int>> ranked;  // ties go by address
    for (const int i : members(role)) {
      ranked.emplace_back(-std::log(unit(at(i).hash ^ key)) / at(i).transfers, at(i).hash, i);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<int> order(ranked.size());
    std::transform(ranked.begin(), ranked.end(), order.begin(),
                   [](const auto& one) { return std::get<2>(one); });
    return order;
  }

  // Transfers over what the node can send at full pace now.
  double load(const Node& node) const {
    return (node.in_flight + node.others) / (node.transfers * cold_share(node));
  }

  // The first cache in hash order; another only where that one is failing, cold or far busier. With none
  // sound the one that failed longest ago may be back: it gets one request at a time, or what comes where its
  // refusals of a connection cost no time.
  int pick_cache(const Request& request) {
    const std::vector<int> order = hash_order(request.key, Role::kCache);
    const bool heed_health = !mostly_ejected(order);
    const double cost = cold_cost(request);
    int best = -1;
    int resort = -1;
    int looked_at = 0;
    for (const int index : order) {
      Node& node = at(index);
      const bool ill = !healthy(node) && (heed_health || node.unreachable);
      if (request.avoids(index) || !cold_budget_allows(node, cost) || !may_send(request, node)) {
        continue;
      }
      if (ill) {
        const bool longer = resort < 0 || node.blamed_at < at(resort).blamed_at;
        resort = (!node.trial_out || node.refuses) && longer ? index : resort;
        continue;
      }
      if (best < 0 || load(node) < kSpreadGain * load(at(best))) {
        best = index;
      }
      if (load(at(best)) < kSpreadLoad || ++looked_at >= kSpread) {
        break;
      }
    }
    return best >= 0 ? best : resort;
  }

  // The home parent over all listed ones; the next, then the origin, where that one is failing, cold or has
  // just failed this request. With none sound the fault is elsewhere: the home again.
  int pick_source(const Request& request, int cache) {
    std::vector<int> order = hash_order(request.key, Role::kOrigin);
    if (cacheable(request)) {
      const std::vector<int> parents = hash_order(request.key, Role::kParent);
      order.insert(order.begin(), parents.begin(), parents.end());
    }
    int home = -1;
    for (const int index : order) {
      const bool usable = !request.avoids(index) && cold_budget_allows(at(index), cold_cost(request));
      if (usable && healthy(at(index)) && takes(at(index), request)) {
        return index;
      }
      home = usable && home < 0 ? index : home;
    }
    return home >= 0 ? home : order.empty() ? cache : order.back();
  }

  // A source whose fills are refused, late or missing takes only a share of the objects; every router lets
  // the same ones go on to the next. So a slow or crowded one keeps what it can carry. Where all are slow
  // alike it does harm: the origin gets more, up to its own share.
  bool takes(const Node& source, const Request& request) const {
    return !cacheable(request) || unit(mix(source.hash) ^ request.key) < source.share;
  }

  // What went by way of the origin, or may have, speaks of the origin.
  void judge_source(Node& source, bool good, bool held) {
    const std::vector<int>& origins = members(Role::kOrigin);
    double& share = held || origins.empty() ? source.share : at(origins.front()).share;
    share = good ? std::min(1.0, share + kShareGrow) : std::max(kShareLeast, share * kShareCut);
  }

  // ---- Sending ----

  enum TimerKind : std::uint64_t { kGuard, kPatience, kTimerKinds };

  void set_timer(const Request& request, TimerKind kind, Micros delay) {
    out_->push_back(SetTimer{request.told.id * kTimerKinds + kind, std::max(Micros(0), delay)});
  }

  bool may_try_more(const Request& request) const {
    return static_cast<int>(request.attempts.size()) < std::min(kMaxTries, settings_.max_attempts) &&
           now_ + kGuardLead < request.told.deadline;
  }

  void attempt_or_give_up(Request& request) {
    const int target = may_try_more(request) ? pick_target(request) : -1;
    const bool hopeful = target >= 0 && (!hopeless(request, at(target)) || neglected(request));
    const Attempt attempt = hopeful ? plan(request, target) : Attempt{};
    if (!hopeful || (attempt.only_if_cached && !request.attempts.empty())) {
      give_up(request);  // what is held is asked for only once
    } else {
      send(request, attempt);
    }
  }

  // A write goes straight to the origin where that is allowed, else by way of a cache.
  int pick_target(const Request& request) {
    const std::vector<int>& origins = members(Role::kOrigin);
    const bool straight =
        settings_.direct && !cacheable(request) && !origins.empty() && may_send(request, at(origins.front()));
    return straight ? origins.front() : pick_cache(request);
  }

  // Over the miss window only what the cache or a sound home parent holds is asked for, to spare the origin.
  Attempt plan(const Request& request, int target) {
    const bool by_cache = at(target).entry.role == Role::kCache;
    const bool missing = by_cache && likely_miss(request, target);
    const bool over = missing && over_fill_window(request);
    Attempt attempt;
    attempt.node = target;
    attempt.source = by_cache ? pick_source(request, target) : target;
    const Node& source = at(attempt.source);
    attempt.only_if_cached = over || (by_cache && !attempt.fills());
    const bool spare = load(at(target)) < kSpreadLoad && link_use_ < kBusyLink &&
                       source.entry.role == Role::kParent && healthy(source);
    attempt.source = over && !spare ? target : attempt.source;
    attempt.fill_work = missing && !attempt.only_if_cached ? request.work + kAnswerOverhead : 0.0;
    return attempt;
  }

  void send(Request& request, Attempt attempt) {
    attempt.sent = now_;
    Node& node = at(attempt.node);
    Node& source = at(attempt.source);
    take_cold_budget(node, cold_cost(request));
    attempt.cold_cost = attempt.fills() ? take_cold_budget(source, cold_cost(request)) : 0.0;
    attempt.trial = start_trial(node);
    attempt.source_trial = attempt.fills() && start_trial(source);
    ++node.in_flight;
    fill_out_ += attempt.fill_work;
    attempt.overdue_at = now_ + from_seconds(kPatienceBase + kPatienceStretch * expected(request, node));
    const SendAttempt order = order_for(request, attempt);
    attempt.age = order.max_age;
    out_->push_back(order);
    request.attempts.push_back(attempt);
    if (class_of(request).idempotency == Idempotency::kSafe) {
      set_timer(request, kPatience, attempt.overdue_at - now_);
    }
  }

  SendAttempt order_for(const Request& request, const Attempt& attempt) const {
    SendAttempt order{request.told.id, at(attempt.node).entry.address, at(attempt.source).entry.address};
    order.timeout = request.told.deadline - now_;
    if (cacheable(request)) {
      const bool first = request.attempts.empty();
      order.keep_rank = request.rank;
      order.max_age = oldest_copy(request, fills_fail() || !first);
      order.join_fill = settings_.can_join_fills && first;
      order.only_if_cached = attempt.only_if_cached && attempt.fills();
    }
    return order;
  }

  // ---- Load shedding ----

  double expected(const Request& request, const Node& node) const {
    return kAnswerOverhead + request.work * std::max(1.0, load(node));
  }

  double aim(const Request& request) const {
    const ClassSettings& type = class_of(request);
    return to_seconds(type.latency_objective) + type.latency_objective_stretch * request.work;
  }

  bool on_time(const Request& request) const { return to_seconds(now_ - request.arrived) <= aim(request); }

  // A predicted answer that misses its aim is better refused early. Large objects go first, and from a
  // smaller part of their aim: each takes the place of several small ones of the same worth. An idle cache
  // refuses nothing.
  bool hopeless(const Request& request, const Node& node) const {
    const double left = aim(request) - to_seconds(now_ - request.arrived);
    const double part = kShedShare * std::min(1.0, std::sqrt(class_work(request) / request.work));
    return may_refuse(request) && load(node) >= kBusyLoad && expected(request, node) > part * left;
  }

  // ---- Sizes: none is answered far less than the rest of its class. A large object that is refused however
  // often it is asked for would never come. ----

  std::size_t size_step(const Request& request) const {
    return static_cast<std::size_t>(std::min(kLargeSteps, request.work / class_work(request)));
  }

  void note_answered(const Request& request, bool whether) {
    Answered& answered = answered_[static_cast<std::size_t>(request.told.request_class)];
    for (double* share : {&answered.all, &answered.by_size[size_step(request)]}) {
      *share += kAnsweredGain * ((whether ? 1.0 : 0.0) - *share);
    }
  }

  bool neglected(const Request& request) const {
    const Answered& answered = answered_[static_cast<std::size_t>(request.told.request_class)];
    return request.work > class_work(request) &&
           answered.by_size[size_step(request)] < kLargeShare * answered.all;
  }

  // Whether the target probably lacks the object: another cache answered last, or the copy is void by now.
  bool likely_miss(const Request& request, int target) const {
    const Entry* entry = entries_.find(request.key);
    const Micros age = oldest_copy(request, false);
    return cacheable(request) && (entry == nullptr || entry->kept_at != target ||
                                  (age.count() > 0 && now_ - entry->kept_since > age));
  }

  // Where fills fail or come late, whatever the cause (origin, parents, link, a mass purge), fewer likely
  // misses wait at once. The rest only asks for what is held.
  bool over_fill_window(const Request& request) {
    const double work = neglected(request) ? class_work(request) : request.work;
    const double cost = work + kAnswerOverhead;
    const double room = fill_limit_ * offered() - fill_out_;
    return may_refuse(request) && room < cost && (fill_out_ > 0.0 || room < cost * drawn(0.0, 1.0));
  }

  // Seconds of sending that clients ask of this router in a second, lately.
  double offered() const { return offered_.per_second(kOfferLeast); }

  double drawn(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }

  bool fills_fail() const { return fill_bad_ > kFillBadLimit; }

  void learn_fill(const Request& request, const Attempt& attempt, const AttemptEnded& ended) {
    fill_out_ = std::max(0.0, fill_out_ - attempt.fill_work);
    const bool left = attempt.avoid_node || attempt.avoid_source;  // called off for another: blamed by itself
    const bool not_the_fill = (ended.status == Status::kCancelled && (left || on_time(request))) ||
                              ended.status == Status::kReset || ended.status == Status::kConnectFailed ||
                              ended.status == Status::kNotSent;
    if (attempt.fill_work <= 0.0 || not_the_fill || indicates_hit(ended.note)) {
      return;
    }
    const bool good = ended.status == Status::kOk && on_time(request);
    if (good && shows_holder(ended.note)) {
      return;  // a parent held it: that says nothing of the origin
    }
    fill_bad_ += kFillBadGain * ((good ? 0.0 : 1.0) - fill_bad_);
    if (good) {
      const double window = std::max(attempt.fill_work, fill_limit_ * offered());
      fill_limit_ = std::min(kFillMost, fill_limit_ + kFillGrow * attempt.fill_work / window);
    } else if (fills_fail() && now_ >= fill_cut_at_ + kFillCutPause) {
      const double used = (fill_out_ + attempt.fill_work) / std::max(attempt.fill_work, offered());
      fill_limit_ = std::max(kFillLeast, kFillCut * std::min(fill_limit_, used));
      fill_cut_at_ = now_;
    }
  }

  // ---- Final answers ----

  void give_up(Request& request) {
    const Action refusal = Reject{request.told.id, std::min(kRefusalWait, settings_.max_retry_after)};
    out_->push_back(may_refuse(request) ? refusal : Fail{request.told.id});
    note_answered(request, false);
    close(request);
  }

  // Nothing more is owed; attempts still out are only cancelled, and the record goes with the last.
  void close(Request& request) {
    request.open = false;
    for (std::size_t i = 0; settings_.may_cancel && !request.streaming && i < request.attempts.size(); ++i) {
      if (!request.attempts[i].done) {
        out_->push_back(Cancel{request.told.id, static_cast<int>(i)});
      }
    }
    requests_.forget_if_over(request);
  }

  void on(const ClientLeft& left) {
    if (Request* request = requests_.open(left.id)) {
      close(*request);
    }
  }

  void on(const StreamStarted& started) {
    if (Request* request = requests_.open(started.id)) {
      request->streaming = true;
    }
  }

  // ---- Outcomes ----

  void on(const AttemptEnded& ended) {
    Request* found = requests_.find(ended.id);
    const auto place = static_cast<std::size_t>(ended.attempt);
    if (found == nullptr || place >= found->attempts.size() || found->attempts[place].done) {
      return;
    }
    Request& request = *found;
    Attempt& attempt = request.attempts[place];
    attempt.done = true;
    attempt.proven = proves_not_executed(ended.status);
    learn(request, attempt, ended);
    if (!request.open) {
      requests_.forget_if_over(request);
    } else if (ended.finished || ended.status == Status::kOk) {
      note_answered(request, ended.status == Status::kOk);
      close(request);
    } else if (!request.in_flight()) {
      try_again(request, attempt, ended.status);
    }
  }

  // Further attempts live within a retry budget, so that a general failure does not multiply the load; where
  // fills fail in general, a refused one is not tried at the next source, which only pushes the origin
  // further. Having asked only for what is held is no failure and costs nothing.
  void try_again(Request& request, const Attempt& last, Status status) {
    const bool closed_to_retry =
        class_of(request).idempotency == Idempotency::kUnsafe && !request.all_proven();
    const bool not_held = last.only_if_cached && (status == Status::kNotCached || status == Status::kFull);
    const bool refused_fill = last.fills() && status == Status::kFull && cacheable(request);
    const bool unsent = status == Status::kNotSent;
    if (closed_to_retry || (refused_fill && fills_fail()) ||
        (!not_held && !unsent && !retry_tokens_.spend())) {
      give_up(request);
    } else {
      attempt_or_give_up(request);
    }
  }

  void learn(const Request& request, Attempt& attempt, const AttemptEnded& ended) {
    Node& node = at(attempt.node);
    Node& source = at(attempt.source);
    node.in_flight = std::max(0, node.in_flight - 1);
    node.unreachable = ended.status == Status::kConnectFailed;
    node.refuses = node.unreachable && ended.latency < kAtOnce;
    node.trial_out &= !attempt.trial;
    source.trial_out &= !attempt.source_trial;
    const bool not_asked =
        indicates_hit(ended.note) && attempt.sent >= source.cold_begin;  // in the same slot
    source.cold_tokens += not_asked ? attempt.cold_cost : 0.0;
    learn_load(node, ended.load);
    learn_fill(request, attempt, ended);
    if (ended.status == Status::kOk) {
      credit(node);
      judge_fill(request, attempt, ended);
      learn_place(request, attempt, ended.note);
    } else {
      assign_blame(attempt, ended, node, source);
    }
  }

  // A late fill through a cache that is not crowded counts against its source where that held the object, or
  // where it began soon and then trickled, as over a slow link; else against the origin.
  void judge_fill(const Request& request, const Attempt& attempt, const AttemptEnded& ended) {
    Node& source = at(attempt.source);
    if (!attempt.fills() || !indicates_fill(ended.note)) {
      return;
    }
    const bool trickled =
        settings_.notes == NoteLevel::kAll && 2 * ended.source_first_byte_time < ended.latency;
    const bool own = source.entry.role == Role::kOrigin || shows_holder(ended.note) || trickled;
    if (on_time(request)) {
      credit(source);
      judge_source(source, true, true);
      judge_source(source, true, shows_holder(ended.note));
    } else if (load(at(attempt.node)) < kSpreadLoad) {
      judge_source(source, false, own);
      if (own) {
        blame(source, 0.0);
      }
    }
  }

  // What others hold there: as reported; else, from the use of its cores, what runs and what then waits; else
  // as much as this router for each of them, which says little where they are many.
  void learn_load(Node& node, const LoadReport& report) {
    const double routers = std::max(1, settings_.routers_in_zone);
    double seen = node.in_flight * routers;
    if (std::isfinite(report.concurrent) && report.concurrent >= 0.0) {
      seen = report.concurrent;
    } else if (std::isfinite(report.utilisation) && report.utilisation >= 0.0) {
      const double use = std::min(report.utilisation, kMostUse);
      const double held = node.transfers * use + use * use * use / (1.0 - use);
      seen = held + (seen - held) / std::max(1.0, routers - 1.0);
    }
    const bool linked = node.local && std::isfinite(report.link_or_fetches) && report.link_or_fetches >= 0.0;
    link_use_ += linked ? kOthersGain * (std::min(report.link_or_fetches, 2.0 * kBusyLink) - link_use_) : 0.0;
    const double others = std::clamp(seen - node.in_flight, 0.0, kMostOthers);
    node.others += node.local ? kOthersGain * (others - node.others) : 0.0;
  }

  // Where answers do not tell a fill by way of the origin apart, they do not show a holder.
  bool shows_holder(Note note) const { return note == Note::kFilled && settings_.notes == NoteLevel::kAll; }

  // Which cache answered, and which parent is shown to hold the object.
  void learn_place(const Request& request, const Attempt& attempt, Note note) {
    Entry* entry = entries_.find(request.key);
    if (entry != nullptr && at(attempt.node).local) {
      entry->kept_at = attempt.node;
      entry->kept_since = now_;
    }
    if (entry != nullptr && shows_holder(note) && at(attempt.source).entry.role == Role::kParent) {
      entry->add_holder(attempt.source, now_);
    }
  }

  // ---- Health: outlier ejection with half-open trials. ----

  bool healthy(const Node& node) const {
    return node.ejected_until < now_ && !(node.ejections > 0 && node.trial_out);
  }

  static bool start_trial(Node& node) {
    const bool trial = node.ejections > 0 && !node.trial_out;
    node.trial_out |= trial;
    return trial;
  }

  // A general symptom points elsewhere: with most of them ejected, none is avoided but those not to be had.
  bool mostly_ejected(const std::vector<int>& order) const {
    const auto out =
        std::count_if(order.begin(), order.end(), [this](int index) { return !healthy(at(index)); });
    return 2 * static_cast<std::size_t>(out) > order.size();
  }

  // A good answer works off one ejection. It ends at once one for mere silence, not one for failures: a cache
  // that fails some of its requests would be back with each of the others.
  void credit(Node& node) {
    node.last_good = now_;
    node.streak = 0.0;
    node.fail_share -= kFailGain * node.fail_share;
    node.ejections = std::max(0, node.ejections - 1);
    if (node.silent) {
      node.silent = false;
      node.ejections = 0;
      node.ejected_until = Micros(-1);
    }
  }

  void on(const ClassesUpdated& set) {
    const std::size_t size = std::max(settings_.classes.size(), set.first + set.classes.size());
    settings_.classes.resize(size);
    mean_work_.resize(size);
    answered_.resize(size);
    for (std::size_t i = 0; i < set.classes.size(); ++i) {
      settings_.classes[set.first + i] = set.classes[i];
      mean_work_[set.first + i] = mean_work_[set.based_on + i];
    }
  }

  // What another router's probe showed adds to what was seen here, and replaces nothing of it. Bad news is
  // one failure more, and puts off the next trial of a node that has failed here; good news lets that come
  // now.
  void on(const HealthCheckResult& seen) {
    for (Node& node : nodes_.all()) {
      if (!node.listed || node.entry.address != seen.address) {
        continue;
      }
      if (seen.healthy) {
        node.ejected_until = std::min(node.ejected_until, now_ - Micros(1));
      } else if (node.ejections > 0) {
        node.ejected_until = std::max(node.ejected_until, now_ + seen.valid_for);
      } else {
        blame(node, 1.0);
      }
    }
  }

  // Requests that end together count once: one broken connection takes all that it carries.
  void blame(Node& node, double amount) {
    if (node.blamed_at == now_) {
      return;
    }
    node.blamed_at = now_;
    node.streak += amount;
    node.fail_share += kFailGain * (1.0 - node.fail_share);
    if (node.streak >= kStreakLimit || node.fail_share > kFailLimit) {
      eject(node, false);
    }
  }

  // A refusal that may be the source's, the origin's behind it or the cache's own ejects a parent only
  // where it stands out from the soundest other: a dead one does; a refusing origin or full caches do not.
  void suspect(Node& source) {
    double soundest = 1.0;
    for (const int index : members(Role::kParent)) {
      soundest = &at(index) != &source ? std::min(soundest, at(index).fail_share) : soundest;
    }
    source.fail_share += kFailGain * (1.0 - source.fail_share);
    if (source.ejections > 0 || (source.fail_share > kDeadShare && source.fail_share > kOutlier * soundest)) {
      eject(source, false);
    }
  }

  void eject(Node& node, bool silent) {
    if (node.ejected_until >= now_) {
      return;
    }
    const int doublings = std::min(node.ejections, kEjectDoublings);
    node.ejected_until =
        now_ + from_seconds(kEjectBase * drawn(1.0 - kEjectSpread, 1.0 + kEjectSpread) * (1 << doublings));
    node.silent = silent;
    node.ejections = doublings + 1;
    node.streak = 0.0;
    node.fail_share *= 0.5;
  }

  // The note tells a failing source from a failing cache. Without it a refusal is both's for this request,
  // and a broken connection says little of the cache: the same one, which holds the object, is asked again.
  void assign_blame(Attempt& attempt, const AttemptEnded& ended, Node& node, Node& source) {
    if (implicates_source(ended.note)) {
      attempt.avoid_source = attempt.fills();
      if (ended.note != Note::kNotAtSource) {
        judge_source(source, false, ended.note != Note::kOriginFailed);
      }
      if (attempt.fills() && ended.note == Note::kSourceUnreachable) {
        blame(source, 1.0);
      }
      return;
    }
    const bool refused = ended.status == Status::kFull || ended.status == Status::kNotCached;
    attempt.avoid_source = attempt.fills() && refused && ended.note != Note::kNoFillCapacity;
    attempt.avoid_node = ended.status != Status::kReset && !attempt.withheld && (attempt.fills() || !refused);
    if (attempt.avoid_source && ended.note == Note::kNone) {
      suspect(source);
    }
    if (ended.status == Status::kConnectFailed || ended.status == Status::kReset) {
      blame(node, ended.status == Status::kReset ? kResetBlame : kConnectBlame);
    } else if (ended.status == Status::kError || ended.status == Status::kTimeout) {
      blame(node, 1.0);
    }
  }

  // ---- Time ----

  void on(const TimerFired& timer) {
    Request* request = requests_.open(timer.token / kTimerKinds);
    if (request == nullptr || request->streaming) {
      return;
    }
    if (timer.token % kTimerKinds == kGuard) {
      give_up(*request);
    } else {
      check_silence(*request);
    }
  }

  // An attempt is overdue. Nothing good came from its cache since: the machine is silent, whatever the cause.
  // It answered, but no fill came: the source is silent. With neither, and no crowd, this answer is lost,
  // which is nobody's blame: the next cache is asked. Else it is slow; waiting is best.
  void check_silence(Request& request) {
    Attempt& attempt = request.attempts.back();
    if (attempt.done || now_ < attempt.overdue_at) {
      return;
    }
    if (attempt.fill_work > 0.0 && fills_fail() && !on_time(request) && may_refuse(request)) {
      give_up(request);  // it would be late, and holds a place that another could be served from in time
      return;
    }
    Node& node = at(attempt.node);
    Node& source = at(attempt.source);
    const bool silent = node.last_good < attempt.sent;
    attempt.avoid_source = !silent && attempt.fills() && source.last_good < attempt.sent;
    attempt.avoid_node = silent || (!attempt.avoid_source && !fills_fail() && load(node) < kSpreadLoad);
    if (silent) {
      eject(node, true);
    } else if (attempt.avoid_source) {
      judge_source(source, false, true);
      blame(source, 1.0);
    } else if (!attempt.avoid_node) {
      return;
    }
    if (!settings_.parallel_attempts && settings_.may_cancel) {
      out_->push_back(Cancel{request.told.id, static_cast<int>(request.attempts.size()) - 1});
    }
    const int target = may_try_more(request) ? pick_cache(request) : -1;
    if (target >= 0 && retry_tokens_.spend()) {
      send(request, plan(request, target));
    }
  }

  Settings settings_;
  std::mt19937_64 random_;
  double cold_phase_;  // of a period; drawn where the settings tell no index
  Micros now_{0};
  std::vector<Action>* out_ = nullptr;
  NodeTable nodes_{kMaxNodes};
  RequestTable requests_;
  LruMap<std::uint64_t, Entry> entries_{kMaxEntries};
  PurgeTimes purges_;
  std::vector<Mean> mean_work_;     // seconds of sending, by class
  std::vector<Answered> answered_;  // by class
  double largest_kb_ = 0.0;
  BoundedPart top_bytes_;
  Rate offered_;  // seconds of sending
  double link_use_ = 0.0;
  double fill_out_ = 0.0;
  double fill_limit_ = kFillStart;
  double fill_bad_ = 0.0;
  Micros fill_cut_at_{0};
  Tokens retry_tokens_{kRetryBurst};
};

Decider::Decider(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Decider::~Decider() = default;

void Decider::handle(Micros now, const Event& event, std::vector<Action>& out) {
  impl_->handle(now, event, out);
}
bool Decider::may_begin(Micros now, RequestId id, int attempt) { return impl_->may_begin(now, id, attempt); }

}  // namespace trailcourse
