#include "tasks/policy_client.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "store/files.h"
#include "transport/log.h"

namespace trailcourse::tasks {

using coordination::Outcome;
using coordination::Reply;
using policy::Ruling;
using std::chrono::milliseconds;
using transport::Clock;
using transport::Level;
using transport::log_line;

namespace {

constexpr std::uint64_t kSets = 32;  // of classes; a set is used again once so many later ones were made

std::int64_t to_ms(Micros time) { return std::chrono::duration_cast<milliseconds>(time).count(); }
std::uint64_t number(const std::string& text) { return std::strtoull(text.c_str(), nullptr, 10); }

}  // namespace

PolicyClient::PolicyClient(transport::Scheduler& scheduler, coordination::SharedStore& store,
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
      holder_(self_.incarnation, self_.zone, policy::holder_rules(options),
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

PolicyClient::~PolicyClient() {
  *alive_ = false;
  if (watch_ != 0) {
    store_.unwatch(watch_);
  }
}

Micros PolicyClient::now() { return std::chrono::duration_cast<Micros>(Clock::now().time_since_epoch()); }

void PolicyClient::start() {
  watch_ = store_.watch(coordination::Range{prefix_ + policy::kRecords, true}, *this);
  turn_soon();
}

void PolicyClient::stop() {
  if (!std::exchange(stopping_, true)) {
    holder_.stop(now());
    turn_soon();
  }
}

// While it drains it goes on being ready for what is on its way, as before.
bool PolicyClient::ready() const { return holder_.ready(now()); }

// ---- What the store tells ----

void PolicyClient::apply(const std::string& key, const std::string& value, coordination::Revision modified) {
  if (value.empty()) {
    keys_.erase(key);
    return;
  }
  coordination::Entry& entry = keys_[key];
  entry.value = value;
  entry.modified = modified;
  if (!key.starts_with(policy::kDocuments)) {
    return;
  }
  const std::uint64_t version = number(key.substr(std::string(policy::kDocuments).size()));
  try {
    policy::Document document = policy::read_document(value);
    if (document.version != version) {
      throw policy::BadDocument("version: of another");
    }
    documents_[version] = std::move(document);
  } catch (const policy::BadDocument& error) {
    unreadable_[version] = error.what();
    log_line(Level::kError) << "version " << version
                            << " of the policy cannot be used here: " << error.what();
  }
  holder_.document(now(), version);
}

void PolicyClient::current(coordination::Revision, const std::vector<coordination::Entry>& entries) {
  keys_.clear();
  for (const coordination::Entry& entry : entries) {
    apply(entry.key.substr(prefix_.size()), entry.value, entry.modified);
  }
  heard();
  tell();
}

void PolicyClient::changed(coordination::Revision, const std::vector<coordination::Change>& changes) {
  for (const coordination::Change& change : changes) {
    apply(change.entry.key.substr(prefix_.size()), change.deleted ? std::string() : change.entry.value,
          change.entry.modified);
  }
  heard();
  tell();
}

void PolicyClient::silent(const std::string&) {
  holder_.heard(now(), false);
  turn_soon();
}

void PolicyClient::heard() {
  holder_.heard(now(), true);
  turn_soon();
}

void PolicyClient::took_in(const policy::BoardPosition& position) {
  holder_.took_in(now(), position);
  turn_soon();
}

void PolicyClient::tell() {
  const auto entry_of = [this](const std::string& key) {
    const auto found = keys_.find(key);
    return found == keys_.end() ? coordination::Entry{} : found->second;
  };
  holder_.told(now(), policy::known_in_zone(policy::read_known(entry_of), entry_of, self_.zone));
  turn_soon();
}

std::string PolicyClient::judge(std::uint64_t version) const {
  if (const auto bad = unreadable_.find(version); bad != unreadable_.end()) {
    return bad->second;
  }
  const auto found = documents_.find(version);
  if (found == documents_.end()) {
    return version == 0 ? std::string() : "its text is not here";
  }
  policy::Ability ability;
  ability.classes = names_;
  ability.open_requests = self_.open_requests;
  return policy::objection(found->second, ability);
}

// ---- Orders ----

void PolicyClient::turn() {
  if (std::exchange(turning_, true)) {
    return;
  }
  const Micros at = now();
  const routing::RouterCounts& counts = router_.counts();
  holder_.count(counts.requests, counts.refused + counts.failed);
  for (const policy::HolderOrder& order : holder_.due(at)) {
    std::visit([this](const auto& one) { carry_out(one); }, order);
  }
  note_version();
  turning_ = false;
  std::optional<Clock::time_point> when;
  if (const auto next = holder_.next(now())) {
    when.emplace(std::chrono::duration_cast<Clock::duration>(std::max(*next, at + Micros(1'000))));
  }
  timer_.set(when);
}

// The log, and what work may be owned.
void PolicyClient::note_version() {
  const Micros at = now();
  const policy::Standing standing = holder_.standing(at);
  if (standing != told_standing_) {
    log_line(standing == policy::Standing::kOutside ? Level::kWarning : Level::kInfo)
        << "policy: " << policy::to_string(standing) << ", version " << holder_.known().version;
    told_standing_ = standing;
  }
  const Ruling ruling = holder_.ruling(at);
  if (ruling.kind != Ruling::Kind::kVersion || ruling.version == told_version_) {
    return;
  }
  told_version_ = ruling.version;
  log_line(Level::kInfo) << "decides under version " << ruling.version << " of the policy";
  if (ruling.version == 0) {
    allowed_(std::nullopt);
    return;
  }
  const std::vector<std::string> work = content_of(ruling.version).limits.work;
  allowed_(std::set<std::string>(work.begin(), work.end()));
}

void PolicyClient::carry_out(const policy::AskPermission& ask) {
  const std::uint64_t number = ask.order.number;
  const auto answered = [this, alive = alive_](auto what) {
    if (*alive) {
      what();
      turn_soon();
    }
  };
  if (ask.order.ask == ownership::Ask::kAcquire) {
    store_.grant(milliseconds(options_.ttl_ms), [this, answered, ask, number](const auto& reply) {
      answered([&] {
        if (reply.done()) {
          join(ask, reply.value.id);
        } else {
          holder_.lost(now(), number);
        }
      });
    });
  } else if (ask.order.ask == ownership::Ask::kRenew) {
    store_.keep_alive(lease_, [this, answered, number](const auto& reply) {
      answered([&] {
        if (reply.done()) {
          holder_.renewed(now(), number, reply.value.ttl > Micros(0));
        } else {
          holder_.lost(now(), number);
        }
      });
    });
  } else {
    store_.revoke(lease_, [this, answered, number](const auto& reply) {
      answered([&] {
        if (reply.done()) {
          holder_.released(now(), number);
        } else {
          holder_.lost(now(), number);
        }
      });
    });
  }
}

// The permit stands only where all is as this router knew it: else it would decide under what may not be in
// force.
void PolicyClient::join(const policy::AskPermission& ask, coordination::LeaseId lease) {
  lease_ = lease;
  coordination::Transaction write;
  write.when = policy::join_conditions(prefix_, ask.known, self_.zone);
  write.then = {coordination::Put{prefix_ + policy::permit_key(self_.name, lease),
                                  policy::write_permit(ask.permit), lease}};
  const std::uint64_t number = ask.order.number;
  store_.commit(std::move(write), [this, alive = alive_, number, lease](const Reply<Outcome>& reply) {
    if (!*alive) {
      return;
    }
    if (!reply.done()) {
      holder_.lost(now(), number);
    } else {
      holder_.joined(now(), number, reply.value.succeeded);
    }
    if (!reply.done() || !reply.value.succeeded) {
      store_.revoke(lease, [](const auto&) {});
    }
    turn_soon();
  });
}

void PolicyClient::carry_out(const policy::SayPermit& say) {
  coordination::Transaction write;
  write.then = {coordination::Put{prefix_ + policy::permit_key(self_.name, lease_),
                                  policy::write_permit(say.permit), lease_}};
  store_.commit(std::move(write), [this, alive = alive_, number = say.number](const Reply<Outcome>& reply) {
    if (*alive) {
      holder_.said(now(), number, reply.done());
      turn_soon();
    }
  });
}

void PolicyClient::carry_out(const policy::KeepDocument& keep) {
  const auto found = documents_.find(keep.version);
  if (!pool_ || found == documents_.end()) {
    holder_.kept(now(), keep.version, "");
    return;
  }
  const auto why = std::make_shared<std::string>();
  pool_->run(
      store::Executor::Lane::kWrite,
      [folder = options_.folder, name = "version-" + std::to_string(keep.version),
       text = policy::write_text(found->second), why] {
        try {
          const auto files = store::open_folder(folder);
          const auto file = files->create(name + ".next");
          file->write(0, text);
          file->sync();
          files->rename(name + ".next", name);
          files->sync_names();
        } catch (const std::exception& error) {
          *why = std::string("cannot be kept: ") + error.what();
        }
      },
      [this, alive = alive_, version = keep.version, why] {
        if (*alive) {
          holder_.kept(now(), version, *why);
          turn_soon();
        }
      });
}

// ---- Requests ----

policy::Content PolicyClient::content_of(std::uint64_t version) const {
  policy::Content out;
  for (std::size_t i = 0; i < names_.size(); ++i) {
    const ClassSettings& kind = profile_.settings.classes[i];
    policy::ClassPolicy& rule = out.classes[names_[i]];
    rule.objective_ms = std::max<std::int64_t>(1, to_ms(kind.objective));
    rule.give_up_ms = std::max(rule.objective_ms, to_ms(kind.give_up));
    rule.worth = kind.worth;
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

const PolicyClient::Set& PolicyClient::set_of(const Ruling& ruling) {
  const std::pair<std::uint64_t, std::uint64_t> key(ruling.version, ruling.other);
  const auto found = sets_.find(key);
  if (found != sets_.end()) {
    return found->second;
  }
  const std::size_t classes = names_.size();
  const std::size_t place = 1 + static_cast<std::size_t>(next_set_++ % (kSets - 1));
  std::erase_if(sets_, [&](const auto& one) { return one.second.first == place * classes; });
  Set& set = sets_[key];
  set.first = place * classes;
  set.content = ruling.kind == Ruling::Kind::kBoth
                    ? policy::both(content_of(ruling.version), content_of(ruling.other))
                    : content_of(ruling.version);
  ClassesSet more;
  more.first = set.first;
  more.classes = profile_.settings.classes;
  for (std::size_t i = 0; i < classes; ++i) {
    const policy::ClassPolicy& rule = set.content.classes.at(names_[i]);
    ClassSettings& kind = more.classes[i];
    kind.objective = milliseconds(rule.objective_ms);
    kind.give_up = milliseconds(rule.give_up_ms);
    kind.worth = rule.worth;
    kind.lifetime = milliseconds(rule.fresh_ms);
    kind.grace = milliseconds(rule.grace_ms);
  }
  router_.set_classes(more);
  return set;
}

routing::Rule PolicyClient::rule(int request_class) {
  routing::Rule out;
  const Ruling ruling = holder_.ruling(now());
  if (ruling.kind == Ruling::Kind::kRefuse) {
    out.refuse = true;
    out.words = "-";
    return out;
  }
  const Set& set = set_of(ruling);
  const auto place = static_cast<std::size_t>(request_class);
  out.refuse = !set.content.classes.at(names_[place]).serve;
  out.request_class = static_cast<int>(set.first + place);
  const bool plain = ruling.kind == Ruling::Kind::kVersion && ruling.version == 0;
  if (!plain) {
    out.open_requests = static_cast<std::size_t>(set.content.limits.open_requests);
    out.retry_after_most = milliseconds(set.content.limits.retry_after_ms);
  }
  out.words = std::to_string(ruling.version);
  if (ruling.kind == Ruling::Kind::kBoth) {
    out.words += "+" + std::to_string(ruling.other);
  }
  return out;
}

std::string PolicyClient::status() const {
  const Micros at = now();
  const Ruling ruling = holder_.ruling(at);
  return nlohmann::json{
      {"standing", policy::to_string(holder_.standing(at))},
      {"version", holder_.known().version},
      {"serves", ruling.kind == Ruling::Kind::kVersion ? "version"
                 : ruling.kind == Ruling::Kind::kBoth  ? "both"
                                                       : "nothing"},
      {"change", holder_.known().change ? policy::to_string(holder_.known().change->state) : "none"},
      {"events_done", holder_.known().acknowledgement.done.event}}
      .dump();
}

}  // namespace trailcourse::tasks
