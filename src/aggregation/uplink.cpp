#include "aggregation/uplink.h"

#include <algorithm>
#include <utility>

namespace trailcourse::aggregation {

using coordination::Get;
using coordination::LeaseId;
using coordination::Put;
using coordination::Range;
using coordination::Revision;
using coordination::Transaction;
using ownership::Ask;
using ownership::Order;
using ownership::Phase;
using policy::Known;
using policy::Permit;

namespace {

// For so long another router has to be awaited than is said, before staff are told of it.
constexpr Micros kAwaitsToldAfter{1'000'000};

// What staff read beside is no reason for a write of its own.
bool same_statement(Permit one, const Permit& other) {
  one.number = other.number;
  one.awaits = other.awaits;
  one.routers = other.routers;
  return one == other;
}

bool watched(const std::map<std::string, Known>& known, const std::string& zone) {
  const auto found = known.find(zone);
  return found != known.end() && found->second.change &&
         found->second.change->state == policy::ChangeState::kWatched && found->second.change->concerns(zone);
}

}  // namespace

std::vector<UplinkOrder> Uplink::due(Micros now, bool heard, const std::map<std::string, Known>& known,
                                     const std::map<std::string, Permit>& summaries) {
  std::vector<UplinkOrder> out;
  if (auto ask = permission_due(now, heard, known, summaries)) {
    out.push_back(std::move(*ask));
  }
  std::map<std::string, Permit> wanted = summaries;
  for (auto& [zone, permit] : wanted) {
    // Counts alone are worth a write only while somebody watches.
    const auto said = said_.find(zone);
    if (said != said_.end() && said->second.permit && !watched(known, zone)) {
      permit.requests = said->second.permit->requests;
      permit.refused = said->second.permit->refused;
    }
  }
  if (auto say = summaries_due(now, wanted)) {
    out.push_back(std::move(*say));
  }
  return out;
}

std::optional<UplinkOrder> Uplink::permission_due(Micros now, bool heard,
                                                  const std::map<std::string, Known>& known,
                                                  const std::map<std::string, Permit>& summaries) {
  const bool candidate = lease_.phase(now) == Phase::kCandidate;
  if (!may_ask(now, heard) || (candidate && known.size() < zones_.size())) {
    return std::nullopt;
  }
  const std::optional<Order> order = lease_.due(now);
  if (!order) {
    return std::nullopt;
  }
  AskPermission ask;
  ask.order = *order;
  if (order->ask == Ask::kAcquire) {
    leave();
    for (const std::string& zone : zones_) {
      ask.summaries.push_back(ZoneSummary{zone, summaries.at(zone), 0});
    }
    ask.known = known;
    saying_ = ask.summaries;
  }
  return ask;
}

// Rounds and changes go by in a moment as a rule: who is awaited is said only where that lasts.
bool Uplink::worth_saying(Micros now, Said& said, const Permit& permit) {
  if (!said.permit || !same_statement(*said.permit, permit)) {
    return true;
  }
  if (permit.awaits == said.permit->awaits) {
    said.awaits_since.reset();
    return false;
  }
  said.awaits_since = said.awaits_since.value_or(now);
  return now - *said.awaits_since >= kAwaitsToldAfter;
}

std::optional<UplinkOrder> Uplink::summaries_due(Micros now, const std::map<std::string, Permit>& summaries) {
  if (!joined_ || say_out_ || now < say_after_ || !lease_.may_act(now)) {
    return std::nullopt;
  }
  SaySummaries say;
  for (const auto& [zone, permit] : summaries) {
    const auto said = said_.find(zone);
    if (said == said_.end() || !worth_saying(now, said->second, permit)) {
      continue;
    }
    say.summaries.push_back(ZoneSummary{zone, permit, said->second.modified});
  }
  if (say.summaries.empty()) {
    return std::nullopt;
  }
  say.number = ++say_number_;
  say_out_ = true;
  saying_ = say.summaries;
  return say;
}

bool Uplink::may_ask(Micros now, bool heard) const { return heard || lease_.phase(now) == Phase::kStopped; }

// While it may not ask, only news can change that.
std::optional<Micros> Uplink::next(Micros now, bool heard) const {
  std::optional<Micros> out = may_ask(now, heard) ? lease_.next(now) : std::nullopt;
  if (lease_.may_act(now)) {
    out = std::min(out.value_or(lease_.until()), lease_.until());
  }
  if (say_after_ > now) {
    out = std::min(out.value_or(say_after_), say_after_);
  }
  const bool may_say = joined_ && !say_out_ && lease_.may_act(now);
  for (const auto& [zone, said] : said_) {
    if (may_say && said.awaits_since) {
      const Micros told = *said.awaits_since + kAwaitsToldAfter;
      out = std::min(out.value_or(told), told);
    }
  }
  return out;
}

void Uplink::leave() {
  joined_ = false;
  say_out_ = false;
  said_.clear();
  saying_.clear();
}

void Uplink::joined(Micros now, std::uint64_t number, const JoinReply& reply) {
  if (!reply.joined) {
    lease_.refused(now, number);
    if (lease_.term() == 0) {
      leave();
    }
    return;
  }
  lease_.granted(now, number, 1);
  if (lease_.term() == 0 || joined_) {
    return;  // of a call that was given up
  }
  joined_ = true;
  record_to_know_ = reply.acknowledged;
  for (const ZoneSummary& one : std::exchange(saying_, {})) {
    said_[one.zone] = Said{one.permit, reply.modified, std::nullopt};
  }
}

void Uplink::renewed(Micros now, std::uint64_t number, bool alive) {
  if (alive) {
    lease_.granted(now, number, 1);
    return;
  }
  lease_.refused(now, number);
  if (lease_.term() == 0) {
    leave();
  }
}

void Uplink::released(Micros now, std::uint64_t number) {
  lease_.granted(now, number, 0);
  if (lease_.over()) {
    leave();
  }
}

void Uplink::lost(Micros now, std::uint64_t number) {
  lease_.lost(now, number);
  if (!joined_) {
    saying_.clear();  // the summaries may stand there or not: it joins anew, under another lease
  }
}

void Uplink::said(Micros now, std::uint64_t number, const SaidReply& reply) {
  if (!say_out_ || number != say_number_) {
    return;
  }
  say_out_ = false;
  for (const ZoneSummary& one : std::exchange(saying_, {})) {
    Said& said = said_[one.zone];
    const auto modified = reply.modified.find(one.zone);
    said.modified = modified == reply.modified.end() ? said.modified : modified->second;
    said.awaits_since.reset();
    if (reply.result == SaidReply::Result::kWritten) {
      said.permit = one.permit;
    } else {
      said.permit.reset();  // it is said again over whatever stands there
    }
  }
  say_after_ = reply.result == SaidReply::Result::kUnknown ? now + rules_.retry : now;
}

// ---- The store's calls ----

std::string summary_key(const std::string& prefix, const std::string& name, const std::string& zone,
                        LeaseId lease) {
  return prefix + policy::permit_key(name + "." + zone, lease);
}

Transaction join_transaction(const std::string& prefix, const std::string& name, LeaseId lease,
                             const AskPermission& ask) {
  Transaction out;
  if (!ask.known.empty()) {
    const Known& any = ask.known.begin()->second;
    out.when = {coordination::unchanged(prefix + policy::kChangeKey, any.change_modified),
                coordination::unchanged(prefix + policy::kCurrentKey, any.current_modified)};
  }
  for (const auto& [zone, known] : ask.known) {
    out.when.push_back(coordination::unchanged(prefix + policy::kZones + zone, known.zone_modified));
  }
  for (const ZoneSummary& one : ask.summaries) {
    out.then.push_back(
        Put{summary_key(prefix, name, one.zone, lease), policy::write_permit(one.permit), lease});
  }
  // Not compared: while rounds follow each other without pause, far away hardly anybody could join.
  out.then.push_back(Get{Range{prefix + policy::kAcknowledgedKey, false}});
  return out;
}

JoinReply read_joined(const coordination::TransactionResult& outcome) {
  JoinReply out;
  out.joined = outcome.succeeded;
  out.modified = outcome.revision;
  if (outcome.succeeded && !outcome.results.empty()) {
    const auto& found = outcome.results.back().found;
    out.acknowledged = found.empty() ? 0 : found.front().modified;
  }
  return out;
}

Transaction say_transaction(const std::string& prefix, const std::string& name, LeaseId lease,
                            const SaySummaries& say) {
  Transaction out;
  for (const ZoneSummary& one : say.summaries) {
    const std::string key = summary_key(prefix, name, one.zone, lease);
    out.when.push_back(coordination::unchanged(key, one.expected));
    out.then.push_back(Put{key, policy::write_permit(one.permit), lease});
    out.otherwise.push_back(Get{Range{key, false}});
  }
  return out;
}

SaidReply read_said(const coordination::TransactionResult& outcome, const SaySummaries& say) {
  SaidReply out;
  out.result = outcome.succeeded ? SaidReply::Result::kWritten : SaidReply::Result::kElsewise;
  for (std::size_t i = 0; i < say.summaries.size(); ++i) {
    Revision modified = outcome.revision;
    if (!outcome.succeeded) {
      const auto& found = outcome.results.at(i).found;
      modified = found.empty() ? 0 : found.front().modified;
    }
    out.modified[say.summaries[i].zone] = modified;
  }
  return out;
}

}  // namespace trailcourse::aggregation
