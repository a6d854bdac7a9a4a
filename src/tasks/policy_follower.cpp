#include "tasks/policy_follower.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "store/files.h"
#include "transport/log.h"

namespace trailcourse::tasks {

using coordination::StoreResponse;
using coordination::TransactionResult;
using policy::EffectivePolicy;
using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

constexpr std::uint64_t kSets = 32;  // of classes; a set is used again once so many later ones were made

std::int64_t to_ms(Micros time) { return std::chrono::duration_cast<milliseconds>(time).count(); }
std::uint64_t number(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

}  // namespace

PolicyFollower::PolicyFollower(transport::Scheduler& scheduler, coordination::CoordinationStore& store,
                               const policy::PolicyOptions& options, std::string prefix, Self self,
                               const protocol::Profile& profile, routing::Router& router, WorkAllowed allowed)
    : scheduler_(scheduler),
      store_(store),
      options_(options),
      prefix_(std::move(prefix)),
      self_(std::move(self)),
      profile_(profile),
      router_(router),
      allowed_(std::move(allowed)),
      mailbox_(scheduler),
      participant_(self_.incarnation, self_.zone, policy::participant_options(options),
                   [this](std::uint64_t version) { return judge(version); }),
      names_(profile.settings.classes.size()),
      timer_(scheduler, [this] { turn(); }),
      next_turn_(scheduler, [this] { turn(); }) {
  for (const auto& [name, place] : profile.class_index) {
    names_.at(static_cast<std::size_t>(place)) = name;
  }
  if (!options.folder.empty()) {
    pool_ = std::make_unique<store::IoPool>(
        0, [this](std::function<void()> job) { mailbox_.post(std::move(job)); });
  }
  // Version 0 is what the settings say.
  Set& base = sets_[{0, 0}];
  base.first = 0;
  base.content = content_of(0);
  router.rule_by([this](int request_class) { return rule(request_class); });
}

PolicyFollower::~PolicyFollower() {
  *alive_ = false;
  if (watch_ != 0) {
    store_.unwatch(watch_);
  }
}

Micros PolicyFollower::now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

void PolicyFollower::start() {
  watch_ = store_.watch(coordination::Range{prefix_ + policy::kPolicyPrefix, true}, *this);
  turn_soon();
}

void PolicyFollower::stop() {
  if (!std::exchange(stopping_, true)) {
    participant_.stop(now());
    turn_soon();
  }
}

// While it drains it goes on being ready for what is on its way, as before.
bool PolicyFollower::ready() const { return participant_.ready(now()); }

// ---- What the store tells ----

void PolicyFollower::apply(const std::string& key, const std::string& value,
                           coordination::Revision modified) {
  if (value.empty()) {
    keys_.erase(key);
    return;
  }
  coordination::Entry& entry = keys_[key];
  entry.value = value;
  entry.modified = modified;
  if (!key.starts_with(policy::kDocumentPrefix)) {
    return;
  }
  const std::uint64_t version = number(key.substr(std::string(policy::kDocumentPrefix).size()));
  try {
    policy::PolicyDocument document = policy::read_document(value);
    if (document.version != version) {
      throw policy::InvalidDocument("version: of another");
    }
    documents_[version] = std::move(document);
  } catch (const policy::InvalidDocument& error) {
    unreadable_[version] = error.what();
    log_line(Level::kError) << "version " << version
                            << " of the policy cannot be used here: " << error.what();
  }
  participant_.on_document(now(), version);
}

void PolicyFollower::on_snapshot(coordination::Revision, const std::vector<coordination::Entry>& entries) {
  keys_.clear();
  for (const coordination::Entry& entry : entries) {
    apply(entry.key.substr(prefix_.size()), entry.value, entry.modified);
  }
  on_heartbeat();
  tell();
}

void PolicyFollower::on_changes(coordination::Revision, const std::vector<coordination::KeyChange>& changes) {
  for (const coordination::KeyChange& change : changes) {
    apply(change.entry.key.substr(prefix_.size()), change.deleted ? std::string() : change.entry.value,
          change.entry.modified);
  }
  on_heartbeat();
  tell();
}

void PolicyFollower::on_disconnected(const std::string&) {
  participant_.set_connected(now(), false);
  turn_soon();
}

void PolicyFollower::on_heartbeat() {
  participant_.set_connected(now(), true);
  turn_soon();
}

void PolicyFollower::took_in(const policy::DiscoveryPosition& position) {
  participant_.on_events_applied(now(), position);
  turn_soon();
}

void PolicyFollower::tell() {
  const auto entry_of = [this](const std::string& key) {
    const auto found = keys_.find(key);
    return found == keys_.end() ? coordination::Entry{} : found->second;
  };
  participant_.on_observed_state(
      now(), policy::observed_in_zone(policy::read_observed_state(entry_of), entry_of, self_.zone));
  turn_soon();
}

policy::PreparationResult PolicyFollower::judge(std::uint64_t version) const {
  using Kind = policy::PreparationError::Kind;
  if (const auto bad = unreadable_.find(version); bad != unreadable_.end()) {
    return policy::preparation_failed(Kind::kUnreadable, bad->second);
  }
  const auto found = documents_.find(version);
  if (found == documents_.end()) {
    return version == 0 ? policy::PreparationResult()
                        : policy::preparation_failed(Kind::kMissing, "its text is not here");
  }
  policy::RouterCapabilities capabilities;
  capabilities.classes = names_;
  capabilities.max_open_requests = self_.open_requests;
  const auto supported = policy::check_capabilities(found->second, capabilities);
  return supported ? policy::PreparationResult()
                   : policy::preparation_failed(Kind::kUnsupported, policy::describe(supported.error()));
}

// ---- Orders ----

void PolicyFollower::turn() {
  if (std::exchange(turning_, true)) {
    return;
  }
  const Micros at = now();
  const routing::RouterCounts& counts = router_.counts();
  participant_.set_request_counts(counts.requests, counts.refused + counts.failed);
  for (const policy::ParticipantAction& order : participant_.step(at)) {
    std::visit([this](const auto& one) { carry_out(one); }, order);
  }
  note_version();
  turning_ = false;
  std::optional<Clock::time_point> when;
  if (const auto next = participant_.next_step_at(now())) {
    when.emplace(std::chrono::duration_cast<Clock::duration>(std::max(*next, at + Micros(1'000))));
  }
  timer_.set(when);
}

// The log, and what work may be owned.
void PolicyFollower::note_version() {
  const Micros at = now();
  const policy::ParticipantState standing = participant_.state(at);
  if (standing != told_standing_) {
    log_line(standing == policy::ParticipantState::kNoLease ? Level::kWarning : Level::kInfo)
        << "policy: " << policy::to_string(standing) << ", version " << participant_.observed().version;
    told_standing_ = standing;
  }
  const EffectivePolicy effective_policy = participant_.effective_policy(at);
  if (effective_policy.kind != EffectivePolicy::Kind::kSingle || effective_policy.version == told_version_) {
    return;
  }
  told_version_ = effective_policy.version;
  log_line(Level::kInfo) << "decides under version " << effective_policy.version << " of the policy";
  if (effective_policy.version == 0) {
    allowed_(std::nullopt);
    return;
  }
  const std::vector<std::string> work = content_of(effective_policy.version).limits.work;
  allowed_(std::set<std::string>(work.begin(), work.end()));
}

void PolicyFollower::carry_out(const policy::LeaseAction& ask) {
  const std::uint64_t number = ask.order.call_id;
  const auto answered = [this, alive = alive_](auto what) {
    if (*alive) {
      what();
      turn_soon();
    }
  };
  if (ask.order.kind == ownership::LeaseCallKind::kAcquire) {
    store_.grant(milliseconds(options_.ttl_ms), [this, answered, ask, number](const auto& reply) {
      answered([&] {
        if (reply.ok()) {
          join(ask, reply.value.id);
        } else {
          participant_.on_no_response(now(), number);
        }
      });
    });
  } else if (ask.order.kind == ownership::LeaseCallKind::kRenew) {
    store_.keep_alive(lease_, [this, answered, number](const auto& reply) {
      answered([&] {
        if (reply.ok()) {
          participant_.on_renew_result(now(), number, reply.value.ttl > Micros(0));
        } else {
          participant_.on_no_response(now(), number);
        }
      });
    });
  } else {
    store_.revoke(lease_, [this, answered, number](const auto& reply) {
      answered([&] {
        if (reply.ok()) {
          participant_.on_release_result(now(), number);
        } else {
          participant_.on_no_response(now(), number);
        }
      });
    });
  }
}

// The permit stands only where all is as this router knew it: else it would decide under what may not be in
// force.
void PolicyFollower::join(const policy::LeaseAction& ask, coordination::LeaseId lease) {
  lease_ = lease;
  coordination::Transaction write;
  write.when = policy::join_conditions(prefix_, ask.observed, self_.zone);
  write.then = {coordination::Put{prefix_ + policy::report_key(self_.name, lease),
                                  policy::write_report(ask.report), lease}};
  const std::uint64_t number = ask.order.call_id;
  store_.commit(std::move(write),
                [this, alive = alive_, number, lease](const StoreResponse<TransactionResult>& reply) {
                  if (!*alive) {
                    return;
                  }
                  if (!reply.ok()) {
                    participant_.on_no_response(now(), number);
                  } else {
                    participant_.on_join_result(now(), number, reply.value.succeeded);
                  }
                  if (!reply.ok() || !reply.value.succeeded) {
                    store_.revoke(lease, [](const auto&) {});
                  }
                  turn_soon();
                });
}

void PolicyFollower::carry_out(const policy::ReportAction& say) {
  coordination::Transaction write;
  write.then = {coordination::Put{prefix_ + policy::report_key(self_.name, lease_),
                                  policy::write_report(say.report), lease_}};
  store_.commit(std::move(write),
                [this, alive = alive_, number = say.call_id](const StoreResponse<TransactionResult>& reply) {
                  if (*alive) {
                    participant_.on_report_result(now(), number, reply.ok());
                    turn_soon();
                  }
                });
}

void PolicyFollower::carry_out(const policy::PersistDocumentAction& keep) {
  const auto found = documents_.find(keep.version);
  if (!pool_ || found == documents_.end()) {
    participant_.on_persist_result(now(), keep.version, {});
    return;
  }
  const auto stored = std::make_shared<policy::PreparationResult>();
  pool_->run(
      store::Executor::Lane::kWrite,
      [folder = options_.folder, name = "version-" + std::to_string(keep.version),
       text = policy::write_document_text(found->second), stored] {
        try {
          const auto files = store::open_folder(folder);
          const auto file = files->create(name + ".next");
          file->write(0, text);
          file->sync();
          files->rename(name + ".next", name);
          files->sync_names();
        } catch (const std::exception& error) {
          *stored = policy::preparation_failed(policy::PreparationError::Kind::kNotStored,
                                               std::string("cannot be kept: ") + error.what());
        }
      },
      [this, alive = alive_, version = keep.version, stored] {
        if (*alive) {
          participant_.on_persist_result(now(), version, *stored);
          turn_soon();
        }
      });
}

// ---- Requests ----

policy::PolicyContent PolicyFollower::content_of(std::uint64_t version) const {
  policy::PolicyContent out;
  for (std::size_t i = 0; i < names_.size(); ++i) {
    const ClassSettings& kind = profile_.settings.classes[i];
    policy::ClassPolicy& rule = out.classes[names_[i]];
    rule.objective_ms = std::max<std::int64_t>(1, to_ms(kind.latency_objective));
    rule.give_up_ms = std::max(rule.objective_ms, to_ms(kind.give_up_after));
    rule.priority_weight = kind.priority_weight;
    rule.fresh_ms = to_ms(kind.lifetime);
    rule.grace_ms = to_ms(kind.grace);
  }
  const auto found = documents_.find(version);
  if (found == documents_.end()) {
    return out;
  }
  for (const auto& [name, rule] : found->second.content.classes) {
    out.classes[name] = rule;
  }
  out.limits = found->second.content.limits;
  return out;
}

const PolicyFollower::Set& PolicyFollower::set_of(const EffectivePolicy& effective_policy) {
  const std::pair<std::uint64_t, std::uint64_t> key(effective_policy.version, effective_policy.other_version);
  const auto found = sets_.find(key);
  if (found != sets_.end()) {
    return found->second;
  }
  const std::size_t classes = names_.size();
  const std::size_t place = 1 + static_cast<std::size_t>(next_set_++ % (kSets - 1));
  std::erase_if(sets_, [&](const auto& one) { return one.second.first == place * classes; });
  Set& set = sets_[key];
  set.first = place * classes;
  set.content = effective_policy.kind == EffectivePolicy::Kind::kIntersection
                    ? policy::intersection(content_of(effective_policy.version),
                                           content_of(effective_policy.other_version))
                    : content_of(effective_policy.version);
  ClassesUpdated more;
  more.first = set.first;
  more.classes = profile_.settings.classes;
  for (std::size_t i = 0; i < classes; ++i) {
    const policy::ClassPolicy& rule = set.content.classes.at(names_[i]);
    ClassSettings& kind = more.classes[i];
    kind.latency_objective = milliseconds(rule.objective_ms);
    kind.give_up_after = milliseconds(rule.give_up_ms);
    kind.priority_weight = rule.priority_weight;
    kind.lifetime = milliseconds(rule.fresh_ms);
    kind.grace = milliseconds(rule.grace_ms);
  }
  router_.set_classes(more);
  return set;
}

routing::Rule PolicyFollower::rule(int request_class) {
  routing::Rule out;
  const EffectivePolicy effective_policy = participant_.effective_policy(now());
  if (effective_policy.kind == EffectivePolicy::Kind::kReject) {
    out.refuse = true;
    out.words = "-";
    return out;
  }
  const Set& set = set_of(effective_policy);
  const auto place = static_cast<std::size_t>(request_class);
  out.refuse = !set.content.classes.at(names_[place]).serve;
  out.request_class = static_cast<int>(set.first + place);
  const bool plain = effective_policy.kind == EffectivePolicy::Kind::kSingle && effective_policy.version == 0;
  if (!plain) {
    out.open_requests = static_cast<std::size_t>(set.content.limits.open_requests);
    out.retry_after_most = milliseconds(set.content.limits.retry_after_ms);
  }
  out.words = std::to_string(effective_policy.version);
  if (effective_policy.kind == EffectivePolicy::Kind::kIntersection) {
    out.words += "+" + std::to_string(effective_policy.other_version);
  }
  return out;
}

std::string PolicyFollower::status() const {
  const Micros at = now();
  const EffectivePolicy effective_policy = participant_.effective_policy(at);
  return nlohmann::json{
      {"standing", policy::to_string(participant_.state(at))},
      {"version", participant_.observed().version},
      {"serves", effective_policy.kind == EffectivePolicy::Kind::kSingle         ? "version"
                 : effective_policy.kind == EffectivePolicy::Kind::kIntersection ? "both"
                                                                                 : "nothing"},
      {"change",
       participant_.observed().rollout ? policy::to_string(participant_.observed().rollout->state) : "none"},
      {"events_done", participant_.observed().acknowledgement.completed.sequence}}
      .dump();
}

}  // namespace trailcourse::tasks
