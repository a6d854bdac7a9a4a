// The decision module: every decision, table and tuned value of trailcourse.
// Its interface (settings, events, actions) is include/trailcourse/decider.h.
//
// It reads from the rules (drains, cold budgets, purges, effects) over the ordinary path (the Criteria
// Weighted score, keep ranks and the hash companion) to the failures (health, further attempts, load
// shedding).
#include <trailcourse/decider.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <list>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>

namespace trailcourse {
namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::seconds;

// The score: weights and cuts of the design page.
constexpr double kAlpha = 1.0;      // by 1 / request count
constexpr double kBeta = 0.9;       // by size
constexpr double kMu = 0.3;         // by known holders
constexpr double kNu = 0.6;         // by idle time
constexpr double kTopCut = 1.2;     // below: top rank
constexpr double kMiddleCut = 2.0;  // below: middle rank
constexpr double kTopShare = 0.25;  // share of the bytes asked for that may hold the top rank
constexpr int kTopRank = 3;
constexpr int kMiddleRank = 2;
constexpr int kLowestRank = 1;
constexpr std::size_t kMaxEntries = 50'000;
constexpr Micros kHalving = seconds(60);     // a request count halves
constexpr Micros kHolderSpan = seconds(60);  // a holder is forgotten
constexpr Micros kIdleCap = seconds(30);     // tmax of a class without a fresh time
constexpr double kByteMemoryKb = 2e6;        // the byte shares look back over about so much

// The rules.
constexpr std::size_t kMaxPurges = 20'000;      // beyond, the oldest fold into one floor for all objects
constexpr Micros kPurgeMargin = seconds(1);     // past the stated end of dropping, against late clocks
constexpr Micros kGuardLead = milliseconds(3);  // final answers leave this long before the client's own end
constexpr Micros kSpanMargin = milliseconds(100);  // a keyed repeat must arrive inside the memory span
constexpr double kColdRate = 0.4;                  // of the overload budget, spread evenly over its span
constexpr double kColdBurst = 0.2;                 // of the overload budget, at once
constexpr double kColdCostMargin = 1.15;           // the true mean sending time may be above the seen one

// Load and patience.
constexpr double kBusyLoad = 1.0;          // transfers over capacity below which nothing is shed
constexpr double kSpreadLoad = 2.0;        // from which the second cache is looked at
constexpr double kSpreadGain = 0.5;        // of the home's load that the second one may have
constexpr std::size_t kSpread = 2;         // caches in hash order among which load may choose
constexpr double kShedShare = 0.8;         // of the aim that a predicted answer may take
constexpr double kAnswerOverhead = 0.04;   // seconds of an answer beside its sending time
constexpr double kDefaultWork = 0.2;       // seconds of sending where nothing is known yet
constexpr double kUnknownTransfers = 8.0;  // capacity of a cache whose weight says nothing
constexpr double kOthersGain = 0.3;        // smoothing of the load that other routers put on a cache
constexpr double kPatienceBase = 0.3;      // seconds beyond the expected sending before silence counts
constexpr double kPatienceStretch = 2.0;   // and so many times the expected sending
constexpr Micros kRefusalWait = milliseconds(400);  // named to a refused client where it heeds that

// The miss window: seconds of sending that may wait on fills at once.
constexpr double kFillStart = 8.0;
constexpr double kFillLeast = 0.5;
constexpr double kFillMost = 64.0;
constexpr double kFillFixed = 0.05;     // of a fill beside its sending
constexpr double kFillBadGain = 0.05;   // smoothing of the share of fills that failed or came late
constexpr double kFillBadLimit = 0.25;  // share from which the window shrinks
constexpr double kFillCut = 0.8;        // one shrinking
constexpr Micros kFillCutPause = milliseconds(300);  // between two of them

// Health and further attempts.
constexpr double kStreakLimit = 3.0;       // consecutive blames that eject
constexpr double kFailGain = 0.1;          // smoothing of the share of failures
constexpr double kFailLimit = 0.4;         // share of failures that ejects
constexpr Micros kEjectBase = seconds(1);  // first ejection; doubles
constexpr int kEjectDoublings = 3;
constexpr double kRetryShare = 0.25;  // further attempts for each request
constexpr double kRetryBurst = 30.0;
constexpr int kMaxTries = 4;

double to_seconds(Micros time) { return static_cast<double>(time.count()) * 1e-6; }
Micros from_seconds(double time) {
  return Micros(static_cast<std::int64_t>(std::clamp(time, 0.0, 4e3) * 1e6));
}

std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

std::uint64_t hash_text(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  }
  return mix(hash);
}

struct Node {
  NodeEntry entry;
  std::uint64_t hash = 0;
  bool local = false;
  bool listed = false;  // ready in the list held now
  int in_flight = 0;
  double others = 0.0;  // requests that other routers hold there
  Micros last_heard{-1};
  double streak = 0.0;
  double fail_share = 0.0;
  int ejections = 0;
  Micros ejected_until{-1};
  bool trial_out = false;
  double cold_tokens = 0.0;
  Micros cold_at{0};
};

struct Entry {
  double count = 0.0;
  Micros halved{0};
  Micros last{0};
  std::vector<std::pair<int, Micros>> holders;
  int kept_at = -1;  // the cache that answered last, and when
  Micros kept_since{0};
  std::list<std::uint64_t>::iterator place;
};

struct Attempt {
  int node = -1;
  int source = -1;
  Micros sent{0};
  double cold_cost = 0.0;  // taken from the source's cold budget, given back if a hit shows it was not asked
  bool done = false;
  bool proven = false;     // it never ran
  double fill_work = 0.0;  // held in the miss window
  bool trial = false;
  bool written_off = false;
};

struct Request {
  RequestArrived told;
  std::uint64_t key = 0;
  Micros arrived{0};
  double work = 0.0;  // seconds of sending at full pace
  double count = 0.0;
  int rank = kLowestRank;
  bool open = true;
  bool streaming = false;
  std::vector<Attempt> attempts;
};

// Proof that an attempt never had an effect.
bool proves_unrun(Status status) {
  return status == Status::kFull || status == Status::kConnectFailed || status == Status::kMoot ||
         status == Status::kMiss;
}

}  // namespace

class Decider::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
    mean_work_.assign(settings_.classes.size(), {0.0, 0.0});
  }

  void handle(Micros now, const Event& event, std::vector<Action>& out) {
    now_ = now;
    out_ = &out;
    std::visit([this](const auto& one) { on(one); }, event);
  }

 private:
  // ---- The list: drains and removals bind at once, as target and as source. ----

  void on(const ListReceived& list) {
    if (settings_.must_ask_for_list && !subscribed_) {
      subscribed_ = true;
      out_->push_back(Subscribe{});
    }
    if (list.kind == ListKind::kLost) {
      subscribed_ = false;
      return;
    }
    if (list.kind != ListKind::kChanges) {
      for (Node& node : nodes_) {
        node.listed = false;
      }
    }
    for (const NodeEntry& entry : list.entries) {
      take_entry(entry);
    }
  }

  void take_entry(const NodeEntry& entry) {
    const auto [found, added] = index_.try_emplace(entry.address, static_cast<int>(nodes_.size()));
    if (added) {
      nodes_.emplace_back();
      nodes_.back().hash = hash_text(entry.address);
    }
    Node& node = nodes_[static_cast<std::size_t>(found->second)];
    if (added || entry.started != node.entry.started) {
      forget_health(node);  // another process: cold, and not to be blamed for the last one
    }
    node.entry = entry;
    node.local = entry.role == Role::kCache && entry.zone == settings_.zone;
    node.listed = entry.state == NodeState::kReady;
  }

  void forget_health(Node& node) {
    node.streak = 0.0;
    node.fail_share = 0.0;
    node.ejections = 0;
    node.ejected_until = Micros(-1);
    node.trial_out = false;
    node.cold_tokens = 0.0;
    node.cold_at = now_;
    node.others = 0.0;
  }

  Node& at(int index) { return nodes_[static_cast<std::size_t>(index)]; }

  // ---- Cold budgets: this router's part of what all may send to a node that started lately. ----

  double cold_share(const Node& node) const {
    const bool parent = node.entry.role == Role::kParent;
    const double from = parent ? settings_.parent_cold_from : settings_.cold_from;
    const Micros span = parent ? settings_.parent_cold_span : settings_.cold_span;
    if (node.entry.started.count() <= 0 || node.entry.role == Role::kOrigin || span.count() <= 0) {
      return 1.0;
    }
    const double age = std::max(0.0, to_seconds(now_ - node.entry.started));
    return std::min(1.0, from + (1.0 - from) * age / to_seconds(span));
  }

  double transfers(const Node& node) const {
    const bool told =
        settings_.weights == WeightMeaning::kNominal || settings_.weights == WeightMeaning::kRough;
    const bool usable = told && std::isfinite(node.entry.weight) && node.entry.weight > 0.0;
    return usable ? node.entry.weight : kUnknownTransfers;
  }

  int routers_sending_to(const Node& node) const {
    if (node.entry.role != Role::kCache) {
      return std::max(1, settings_.routers);
    }
    return routers_in_zone();
  }

  int routers_in_zone() const {
    for (std::size_t i = 0; i < settings_.zones.size() && i < settings_.routers_by_zone.size(); ++i) {
      if (settings_.zones[i] == settings_.zone && settings_.routers_by_zone[i] > 0) {
        return settings_.routers_by_zone[i];
      }
    }
    return std::max(1, settings_.routers);
  }

  // Whether `cost` seconds of sending fit this router's part of the node's budget now.
  bool cold_budget_allows(Node& node, double cost) {
    const double share = cold_share(node);
    if (share >= 1.0) {
      return true;
    }
    const bool parent = node.entry.role == Role::kParent;
    const double factor = parent ? settings_.parent_overload_factor : settings_.overload_factor;
    const double budget = factor * share * transfers(node) / routers_sending_to(node);
    const double burst = kColdBurst * budget * to_seconds(settings_.overload_span);
    node.cold_tokens += kColdRate * budget * to_seconds(now_ - node.cold_at);
    node.cold_tokens = std::min(node.cold_tokens, burst);
    node.cold_at = now_;
    return node.cold_tokens >= cost;
  }

  double cold_cost(const Request& request) const {
    return kColdCostMargin * class_work(static_cast<std::size_t>(request.told.request_class));
  }

  double class_work(std::size_t index) const {
    const auto& [sum, count] = mean_work_[index];
    return count > 0.0 ? sum / count : kDefaultWork;
  }

  // ---- Purges: the latest one that still binds an object sets the oldest copy that will do. ----

  void on(const Purged& purged) {
    const Micros made = now_ - std::max(Micros(0), purged.age);
    const std::uint64_t name = purged.whole_group ? mix(purged.group) : mix(mix(purged.object) + 1);
    auto [found, added] = purges_.try_emplace(name, made);
    found->second = std::max(found->second, made);
    purge_order_.emplace_back(made, name);
    while (!purge_order_.empty() &&
           (purge_order_.size() > kMaxPurges || !binds(purge_order_.front().first))) {
      drop_oldest_purge();
    }
  }

  bool binds(Micros made) const { return now_ < made + settings_.purge_done + kPurgeMargin; }

  void drop_oldest_purge() {
    const auto [made, name] = purge_order_.front();
    purge_order_.pop_front();
    const auto found = purges_.find(name);
    if (found == purges_.end() || found->second != made) {
      return;  // purged again since
    }
    if (binds(made)) {
      purge_floor_ = std::max(purge_floor_, made);
    }
    purges_.erase(found);
  }

  std::optional<Micros> last_purge(const Request& request) const {
    std::optional<Micros> last;
    const auto take = [&](Micros made) {
      if (binds(made) && (!last || made > *last)) {
        last = made;
      }
    };
    for (const std::uint64_t name : {mix(request.told.purge_group), mix(mix(request.told.object) + 1)}) {
      const auto found = purges_.find(name);
      if (found != purges_.end()) {
        take(found->second);
      }
    }
    if (purge_floor_.count() >= 0) {
      take(purge_floor_);
    }
    return last;
  }

  // The oldest copy that will do; zero where any age is good.
  Micros oldest_copy(const Request& request) const {
    Micros age = class_of(request).lifetime;
    const std::optional<Micros> purge = last_purge(request);
    if (purge) {
      const Micros since = std::max(Micros(1), now_ - *purge - Micros(1));
      age = age.count() > 0 ? std::min(age, since) : since;
    }
    return age;
  }

  const ClassSettings& class_of(const Request& request) const {
    return settings_.classes[static_cast<std::size_t>(request.told.request_class)];
  }

  // ---- Effects: what may follow the attempts made so far. ----

  bool all_proven(const Request& request) const {
    return std::all_of(request.attempts.begin(), request.attempts.end(),
                       [](const Attempt& attempt) { return attempt.done && attempt.proven; });
  }

  bool in_flight(const Request& request) const {
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [](const Attempt& attempt) { return !attempt.done; });
  }

  bool may_refuse(const Request& request) const {
    const ClassSettings& type = class_of(request);
    const bool harmless =
        type.effect == Effect::kSafe || (type.effect == Effect::kKeyed && type.group == RepeatGroup::kAll);
    return harmless || all_proven(request);
  }

  // Whether another attempt may go out now to this node.
  bool may_send(const Request& request, const Node& node) const {
    const ClassSettings& type = class_of(request);
    if (!settings_.parallel_tries && in_flight(request)) {
      return false;
    }
    if (type.effect == Effect::kSafe || all_proven(request)) {
      return true;
    }
    if (type.effect == Effect::kUnsafe) {
      return false;
    }
    for (const Attempt& attempt : request.attempts) {
      if (attempt.proven) {
        continue;
      }
      const NodeEntry& before = nodes_[static_cast<std::size_t>(attempt.node)].entry;
      const bool same_group = type.group == RepeatGroup::kAll ||
                              (type.group == RepeatGroup::kZone && before.zone == node.entry.zone) ||
                              (type.group == RepeatGroup::kCell && before.cell == node.entry.cell);
      if (!same_group || now_ + kSpanMargin >= attempt.sent + type.memory_span) {
        return false;
      }
    }
    return true;
  }

  // ---- The ordinary path: the score, its rank, and the hash companion. ----

  void on(const RequestArrived& told) {
    if (told.request_class < 0 || told.request_class >= static_cast<int>(settings_.classes.size())) {
      out_->push_back(Fail{told.id});
      return;
    }
    Request& request = requests_[told.id];
    request = Request{};
    request.told = told;
    request.key = mix(told.object ^ mix(told.part));
    request.arrived = now_;
    retry_tokens_ = std::min(kRetryBurst, retry_tokens_ + kRetryShare);
    note_work(request);
    if (cacheable(request)) {
      score(request);
    }
    set_timer(told.id, kGuard, told.due - kGuardLead - now_);
    attempt_or_give_up(request);
  }

  bool cacheable(const Request& request) const { return !class_of(request).uncached && !request.told.write; }

  void note_work(Request& request) {
    auto& [sum, count] = mean_work_[static_cast<std::size_t>(request.told.request_class)];
    if (request.told.size_kb > 0.0 && settings_.stream_kb_per_s > 0.0) {
      request.work = request.told.size_kb / settings_.stream_kb_per_s;
      sum += request.work;
      count += 1.0;
    } else {
      request.work = class_work(static_cast<std::size_t>(request.told.request_class));
    }
  }

  // V = alpha/f + beta*s/smax + mu*r/rmax + nu*t/tmax, per part, since caches keep each part by itself.
  void score(Request& request) {
    Entry& entry = entry_of(request.key);
    const ClassSettings& type = class_of(request);
    const double tmax = to_seconds(type.lifetime.count() > 0 ? type.lifetime : kIdleCap);
    const double idle = entry.count > 0.0 ? std::min(1.0, to_seconds(now_ - entry.last) / tmax) : 1.0;
    age_entry(entry);
    if (!request.told.is_retry || entry.count == 0.0) {
      entry.count += 1.0;
    }
    entry.last = now_;
    largest_kb_ = std::max(largest_kb_, request.told.size_kb);
    const double size = largest_kb_ > 0.0 ? request.told.size_kb / largest_kb_ : 0.0;
    const auto parents = std::count_if(nodes_.begin(), nodes_.end(), [](const Node& node) {
      return node.listed && node.entry.role == Role::kParent;
    });
    const double holders = static_cast<double>(entry.holders.size()) / std::max<double>(1.0, parents);
    const double value =
        kAlpha / std::max(1.0, entry.count) + kBeta * size + kMu * std::min(1.0, holders) + kNu * idle;
    request.count = entry.count;
    request.rank = value < kTopCut ? kTopRank : value < kMiddleCut ? kMiddleRank : kLowestRank;
    limit_top_share(request);
  }

  // The top rank holds a small share of the bytes asked for; beyond it, the middle rank.
  void limit_top_share(Request& request) {
    const double bytes = std::max(1.0, request.told.size_kb);
    all_bytes_ += bytes;
    if (request.rank == kTopRank && top_bytes_ + bytes > kTopShare * all_bytes_) {
      request.rank = kMiddleRank;
    }
    if (request.rank == kTopRank) {
      top_bytes_ += bytes;
    }
    if (all_bytes_ > kByteMemoryKb) {
      all_bytes_ *= 0.5;
      top_bytes_ *= 0.5;
    }
  }

  Entry& entry_of(std::uint64_t key) {
    const auto found = entries_.find(key);
    if (found != entries_.end()) {
      recent_.splice(recent_.begin(), recent_, found->second.place);
      return found->second;
    }
    if (entries_.size() >= kMaxEntries) {
      entries_.erase(recent_.back());
      recent_.pop_back();
    }
    recent_.push_front(key);
    Entry& entry = entries_[key];
    entry.halved = now_;
    entry.place = recent_.begin();
    return entry;
  }

  void age_entry(Entry& entry) {
    while (now_ - entry.halved >= kHalving) {
      entry.count *= 0.5;
      entry.halved = entry.count < 0.01 ? now_ : entry.halved + kHalving;
    }
    std::erase_if(entry.holders, [this](const auto& one) { return now_ - one.second >= kHolderSpan; });
  }

  // Nodes of one kind in the order of weighted rendezvous hashing; every router finds the same order.
  std::vector<int> hash_order(std::uint64_t key, Role role, bool local_only) {
    std::vector<std::pair<double, int>> ranked;
    for (int i = 0; i < static_cast<int>(nodes_.size()); ++i) {
      const Node& node = at(i);
      if (!node.listed || node.entry.role != role || (local_only && !node.local)) {
        continue;
      }
      const double unit = (static_cast<double>(mix(node.hash ^ key) >> 11) + 0.5) * 0x1.0p-53;
      ranked.emplace_back(std::log(unit) / transfers(node), i);
    }
    std::sort(ranked.begin(), ranked.end(), [this](const auto& a, const auto& b) {
      return a.first != b.first ? a.first > b.first : at(a.second).hash < at(b.second).hash;
    });
    std::vector<int> order;
    for (const auto& [value, index] : ranked) {
      order.push_back(index);
    }
    return order;
  }

  // Transfers over what the node can send at full pace now.
  double load(const Node& node) const {
    return (node.in_flight + node.others) / (transfers(node) * cold_share(node));
  }

  // The first cache in hash order; another of the first few only where that one is busy, failing or cold.
  int pick_cache(const Request& request) {
    const std::vector<int> order = hash_order(request.key, Role::kCache, true);
    const bool heed_health = !mostly_ejected(order);
    const double cost = cold_cost(request);
    int best = -1;
    std::size_t looked_at = 0;
    for (const int index : order) {
      Node& node = at(index);
      if (tried(request, index) || (heed_health && !healthy(node)) || !cold_budget_allows(node, cost) ||
          !may_send(request, node)) {
        continue;
      }
      if (best < 0 && load(node) < kSpreadLoad) {
        return index;
      }
      if (best < 0 || load(node) < kSpreadGain * load(at(best))) {
        best = index;
      }
      if (++looked_at >= kSpread) {
        break;
      }
    }
    return best;
  }

  bool tried(const Request& request, int index) const {
    return std::any_of(request.attempts.begin(), request.attempts.end(),
                       [index](const Attempt& attempt) { return attempt.node == index; });
  }

  bool tried_source(const Request& request, int index) const {
    return std::any_of(request.attempts.begin(), request.attempts.end(), [index](const Attempt& attempt) {
      return attempt.source == index && (attempt.done || attempt.written_off);
    });
  }

  // The home parent of the object over all listed ones; the next, then the origin, where that one is failing,
  // cold or has just failed this request; the cache itself where nothing is left.
  int pick_source(const Request& request, int cache) {
    if (!cacheable(request)) {
      const std::vector<int> origins = hash_order(request.key, Role::kOrigin, false);
      return origins.empty() ? cache : origins.front();
    }
    const double cost = cold_cost(request);
    for (const Role role : {Role::kParent, Role::kOrigin}) {
      for (const int index : hash_order(request.key, role, false)) {
        if (!tried_source(request, index) && healthy(at(index)) && cold_budget_allows(at(index), cost)) {
          return index;
        }
      }
    }
    for (const int index : hash_order(request.key, Role::kOrigin, false)) {
      return index;
    }
    return cache;
  }

  // ---- Sending ----

  enum TimerKind : std::uint64_t { kGuard = 0, kPatience = 1 };

  void set_timer(RequestId id, TimerKind kind, Micros delay) {
    out_->push_back(SetTimer{id * 2 + kind, std::max(Micros(0), delay)});
  }

  void attempt_or_give_up(Request& request) {
    const int tries = std::min(kMaxTries, settings_.attempts_cap);
    if (static_cast<int>(request.attempts.size()) >= tries || now_ + kGuardLead >= request.told.due) {
      give_up(request);
      return;
    }
    const int target = pick_target(request);
    if (target < 0 || hopeless(request, at(target)) || over_fill_window(request, target)) {
      give_up(request);
      return;
    }
    send(request, target);
  }

  // A write goes straight to the origin where that is allowed, else by way of a cache.
  int pick_target(const Request& request) {
    if (!cacheable(request) && settings_.direct) {
      for (const int index : hash_order(request.key, Role::kOrigin, false)) {
        if (may_send(request, at(index))) {
          return index;
        }
      }
    }
    return pick_cache(request);
  }

  void send(Request& request, int target) {
    Attempt attempt;
    attempt.node = target;
    attempt.source = at(target).entry.role == Role::kCache ? pick_source(request, target) : target;
    attempt.sent = now_;
    Node& node = at(target);
    if (cold_share(node) < 1.0) {
      node.cold_tokens -= cold_cost(request);
    }
    Node& source = at(attempt.source);
    if (attempt.source != target && cold_share(source) < 1.0) {
      attempt.cold_cost = cold_cost(request);
      source.cold_tokens -= attempt.cold_cost;
    }
    attempt.trial = node.ejections > 0 && !node.trial_out;
    node.trial_out = node.trial_out || attempt.trial;
    ++node.in_flight;
    attempt.fill_work = likely_miss(request, target) ? request.work + kFillFixed : 0.0;
    fill_out_ += attempt.fill_work;

    Send order;
    order.id = request.told.id;
    order.cache = node.entry.address;
    order.source = source.entry.address;
    order.limit = request.told.due - now_;
    if (cacheable(request)) {
      order.keep = request.rank;
      order.age = oldest_copy(request);
      order.join = settings_.joins && request.attempts.empty();
      order.renew = class_of(request).lifetime.count() > 0 && request.count >= 2.0;
    }
    request.attempts.push_back(attempt);
    out_->push_back(order);
    if (class_of(request).effect == Effect::kSafe) {
      set_timer(request.told.id, kPatience, from_seconds(patience(request, node)));
    }
  }

  double expected(const Request& request, const Node& node) const {
    return kAnswerOverhead + request.work * std::max(1.0, load(node));
  }

  double patience(const Request& request, const Node& node) const {
    return kPatienceBase + kPatienceStretch * expected(request, node);
  }

  double aim(const Request& request) const {
    const ClassSettings& type = class_of(request);
    return to_seconds(type.objective) + type.objective_stretch * request.work;
  }

  // Load shedding: a predicted answer that misses its aim is better refused early. Large objects go first,
  // since a crowded link stretches them most; an idle cache refuses nothing.
  bool hopeless(const Request& request, const Node& node) const {
    if (!may_refuse(request) || load(node) < kBusyLoad) {
      return false;
    }
    const double left = aim(request) - to_seconds(now_ - request.arrived);
    return expected(request, node) > kShedShare * left;
  }

  // Whether the target probably lacks the object: another cache answered last, or the copy is void by now.
  bool likely_miss(const Request& request, int target) const {
    if (!cacheable(request) || target < 0) {
      return false;
    }
    const auto found = entries_.find(request.key);
    if (found == entries_.end() || found->second.kept_at != target) {
      return true;
    }
    const Micros age = oldest_copy(request);
    return age.count() > 0 && now_ - found->second.kept_since > age;
  }

  // Where fills fail or come late, whatever the cause (origin, parents, link, a mass purge), fewer likely
  // misses wait at once and the rest is refused at once; small objects still fit when large ones do not.
  bool over_fill_window(const Request& request, int target) const {
    return may_refuse(request) && likely_miss(request, target) && fill_out_ > 0.0 &&
           fill_out_ + request.work + kFillFixed > fill_limit_;
  }

  void learn_fill(const Request& request, const Attempt& attempt, const AttemptEnded& ended) {
    fill_out_ = std::max(0.0, fill_out_ - attempt.fill_work);
    if (attempt.fill_work <= 0.0 || ended.status == Status::kCancelled || ended.note == Note::kHit) {
      return;
    }
    const bool good = ended.status == Status::kOk && to_seconds(now_ - request.arrived) <= aim(request);
    fill_bad_ += kFillBadGain * ((good ? 0.0 : 1.0) - fill_bad_);
    if (good) {
      fill_limit_ = std::min(kFillMost, fill_limit_ + attempt.fill_work / fill_limit_);
    } else if (fill_bad_ > kFillBadLimit && now_ >= fill_cut_at_ + kFillCutPause) {
      fill_limit_ = std::max(kFillLeast, kFillCut * std::min(fill_limit_, fill_out_ + attempt.fill_work));
      fill_cut_at_ = now_;
    }
  }

  // ---- Final answers ----

  void give_up(Request& request) {
    if (!request.open) {
      return;
    }
    if (may_refuse(request)) {
      Refuse refuse{request.told.id, Micros(0)};
      if (settings_.retry_after) {
        refuse.retry_after = std::min(kRefusalWait, settings_.max_retry_after);
      }
      out_->push_back(refuse);
    } else {
      out_->push_back(Fail{request.told.id});
    }
    close(request);
  }

  // Nothing more is owed; attempts still out are only cancelled, and the record goes when the last has come
  // back.
  void close(Request& request) {
    request.open = false;
    if (settings_.may_cancel && !request.streaming) {
      for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        if (!request.attempts[i].done) {
          out_->push_back(Cancel{request.told.id, static_cast<int>(i)});
        }
      }
    }
    forget_if_over(request);
  }

  void forget_if_over(const Request& request) {
    if (!request.open && !in_flight(request)) {
      const RequestId id = request.told.id;
      requests_.erase(id);
    }
  }

  void on(const ClientLeft& left) {
    const auto found = requests_.find(left.id);
    if (found != requests_.end() && found->second.open) {
      close(found->second);
    }
  }

  void on(const StreamStarted& started) {
    const auto found = requests_.find(started.id);
    if (found != requests_.end()) {
      found->second.streaming = true;
    }
  }

  void on(const ProbeEnded&) {}

  // ---- Outcomes ----

  void on(const AttemptEnded& ended) {
    const auto found = requests_.find(ended.id);
    if (found == requests_.end()) {
      return;
    }
    Request& request = found->second;
    const auto place = static_cast<std::size_t>(ended.attempt);
    if (ended.attempt < 0 || place >= request.attempts.size() || request.attempts[place].done) {
      return;
    }
    Attempt& attempt = request.attempts[place];
    attempt.done = true;
    attempt.proven = proves_unrun(ended.status);
    learn(request, attempt, ended);
    if (ended.finished || ended.status == Status::kOk) {
      if (request.open) {
        close(request);
      } else {
        forget_if_over(request);
      }
      return;
    }
    if (request.open && !in_flight(request)) {
      try_again(request);
      return;
    }
    forget_if_over(request);
  }

  // Further attempts live within a retry budget, so that a general failure does not multiply the load.
  void try_again(Request& request) {
    const ClassSettings& type = class_of(request);
    const bool open_to_retry = type.effect != Effect::kUnsafe || all_proven(request);
    if (!open_to_retry || retry_tokens_ < 1.0) {
      give_up(request);
      return;
    }
    retry_tokens_ -= 1.0;
    attempt_or_give_up(request);
  }

  void learn(const Request& request, Attempt& attempt, const AttemptEnded& ended) {
    Node& node = at(attempt.node);
    Node& source = at(attempt.source);
    node.in_flight = std::max(0, node.in_flight - 1);
    if (attempt.trial) {
      node.trial_out = false;
    }
    learn_load(node, ended.load);
    learn_fill(request, attempt, ended);
    if (ended.note == Note::kHit || ended.note == Note::kStale) {
      source.cold_tokens += attempt.cold_cost;
    }
    if (ended.status == Status::kOk) {
      credit(node);
      if (ended.note != Note::kHit && ended.note != Note::kStale && ended.note != Note::kNone) {
        credit(source);
      }
      note_holder(request, attempt, ended.note);
      note_kept(request, attempt);
      return;
    }
    assign_blame(attempt, ended, node, source);
  }

  void learn_load(Node& node, const LoadReport& report) {
    const double seen = report.concurrent >= 0.0 && std::isfinite(report.concurrent)
                            ? std::max(0.0, report.concurrent - node.in_flight)
                            : static_cast<double>(node.in_flight) * (routers_in_zone() - 1);
    if (node.entry.role == Role::kCache) {
      node.others += kOthersGain * (seen - node.others);
    }
  }

  // A parent is known to hold what an answer shows it held.
  void note_holder(const Request& request, const Attempt& attempt, Note note) {
    const bool by_fill = note == Note::kFilled && settings_.notes == NoteLevel::kAll;
    const bool by_hit = note == Note::kHit && attempt.source == attempt.node;
    if ((!by_fill && !by_hit) || at(attempt.source).entry.role != Role::kParent) {
      return;
    }
    const auto found = entries_.find(request.key);
    if (found == entries_.end()) {
      return;
    }
    auto& holders = found->second.holders;
    std::erase_if(holders, [&](const auto& one) { return one.first == attempt.source; });
    holders.emplace_back(attempt.source, now_);
  }

  void note_kept(const Request& request, const Attempt& attempt) {
    const auto found = entries_.find(request.key);
    if (found != entries_.end() && at(attempt.node).entry.role == Role::kCache) {
      found->second.kept_at = attempt.node;
      found->second.kept_since = now_;
    }
  }

  // ---- Health: outlier ejection with half-open trials. ----

  bool healthy(const Node& node) const {
    return node.ejected_until < now_ && !(node.ejections > 0 && node.trial_out);
  }

  // A general symptom points elsewhere: with most caches ejected, none is avoided.
  bool mostly_ejected(const std::vector<int>& order) {
    const auto out =
        std::count_if(order.begin(), order.end(), [this](int index) { return !healthy(at(index)); });
    return 2 * static_cast<std::size_t>(out) > order.size();
  }

  void credit(Node& node) {
    node.last_heard = now_;
    node.streak = 0.0;
    node.fail_share -= kFailGain * node.fail_share;
    node.ejected_until = Micros(-1);
    node.ejections = 0;
  }

  void blame(Node& node, double amount) {
    node.streak += amount;
    node.fail_share += kFailGain * amount * (1.0 - node.fail_share);
    if (node.streak >= kStreakLimit || node.fail_share > kFailLimit) {
      eject(node);
    }
  }

  void eject(Node& node) {
    if (node.ejected_until >= now_) {
      return;
    }
    const double spread = std::uniform_real_distribution<double>(0.75, 1.25)(random_);
    const int doublings = std::min(node.ejections, kEjectDoublings);
    node.ejected_until = now_ + from_seconds(spread * to_seconds(kEjectBase) * (1 << doublings));
    ++node.ejections;
    node.streak = 0.0;
    node.fail_share = 0.0;
  }

  // The note tells a failing source from a failing cache; without it each takes half.
  void assign_blame(const Attempt& attempt, const AttemptEnded& ended, Node& node, Node& source) {
    const bool apart = attempt.source != attempt.node;
    switch (ended.note) {
      case Note::kSourceRefused:
      case Note::kSourceUnreachable:
        node.last_heard = now_;
        if (apart) {
          blame(source, 1.0);
        }
        return;
      case Note::kSourceLacks:
      case Note::kNoFillPlace:
      case Note::kOriginFailed:
        node.last_heard = now_;
        return;
      default:
        break;
    }
    switch (ended.status) {
      case Status::kError:
        node.last_heard = now_;
        blame(node, 1.0);
        break;
      case Status::kConnectFailed:
      case Status::kReset:
        blame(node, kStreakLimit / 2.0);
        break;
      case Status::kFull:
        node.last_heard = now_;
        if (settings_.notes != NoteLevel::kAll && apart) {
          blame(source, 0.5);
        }
        break;
      case Status::kTimeout:
        blame(node, 1.0);
        break;
      default:
        break;
    }
  }

  // ---- Time ----

  void on(const TimerFired& timer) {
    const auto found = requests_.find(timer.token / 2);
    if (found == requests_.end() || !found->second.open || found->second.streaming) {
      return;
    }
    if (timer.token % 2 == kGuard) {
      give_up(found->second);
    } else {
      check_silence(found->second);
    }
  }

  // An attempt is overdue. Nothing heard from its cache since the send: the machine is silent, whatever the
  // cause. The cache was heard but no fill from the source: the source is. Otherwise it is slow, and waiting
  // is best.
  void check_silence(Request& request) {
    const std::size_t last = request.attempts.size() - 1;
    Attempt& attempt = request.attempts[last];
    if (attempt.done || attempt.written_off || request.attempts.empty()) {
      return;
    }
    Node& node = at(attempt.node);
    Node& source = at(attempt.source);
    const bool node_silent = node.last_heard < attempt.sent;
    const bool source_silent = attempt.source != attempt.node && source.last_heard < attempt.sent;
    if (!node_silent && !source_silent) {
      return;
    }
    if (node_silent) {
      eject(node);
    } else {
      blame(source, 1.0);
    }
    attempt.written_off = true;
    if (settings_.parallel_tries) {
      if (retry_tokens_ >= 1.0 && pick_cache(request) >= 0 &&
          static_cast<int>(request.attempts.size()) < std::min(kMaxTries, settings_.attempts_cap)) {
        retry_tokens_ -= 1.0;
        send(request, pick_cache(request));
      }
    } else if (settings_.may_cancel) {
      out_->push_back(Cancel{request.told.id, static_cast<int>(last)});
    }
  }

  Settings settings_;
  std::mt19937_64 random_;
  Micros now_{0};
  std::vector<Action>* out_ = nullptr;
  bool subscribed_ = false;
  std::vector<Node> nodes_;
  std::unordered_map<std::string, int> index_;
  std::unordered_map<RequestId, Request> requests_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  std::list<std::uint64_t> recent_;
  std::unordered_map<std::uint64_t, Micros> purges_;
  std::deque<std::pair<Micros, std::uint64_t>> purge_order_;
  Micros purge_floor_{-1};
  std::vector<std::pair<double, double>> mean_work_;
  double largest_kb_ = 0.0;
  double fill_out_ = 0.0;
  double fill_limit_ = kFillStart;
  double fill_bad_ = 0.0;
  Micros fill_cut_at_{0};
  double all_bytes_ = 0.0;
  double top_bytes_ = 0.0;
  double retry_tokens_ = kRetryBurst;
};

Decider::Decider(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Decider::~Decider() = default;
Decider::Decider(Decider&&) noexcept = default;
Decider& Decider::operator=(Decider&&) noexcept = default;

void Decider::handle(Micros now, const Event& event, std::vector<Action>& out) {
  impl_->handle(now, event, out);
}

}  // namespace trailcourse
