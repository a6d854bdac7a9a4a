#include "ownership/work.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace trailcourse::ownership {

using coordination::Compare;
using coordination::Get;
using coordination::Put;
using coordination::Range;
using coordination::Transaction;
using coordination::TransactionResult;
using nlohmann::json;

namespace {

constexpr std::uint64_t kMostShards = 10'000;
constexpr std::size_t kMostParams = 32U << 10U;

std::string text_of(const json& from, const char* name) {
  const auto found = from.find(name);
  return found != from.end() && found->is_string() ? found->get<std::string>() : std::string();
}
std::uint64_t number_of(const json& from, const char* name) {
  const auto found = from.find(name);
  return found != from.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}
bool flag_of(const json& from, const char* name) {
  const auto found = from.find(name);
  return found != from.end() && found->is_boolean() && found->get<bool>();
}

Kept kept_of(const std::vector<coordination::Entry>& found) {
  Kept out;
  if (!found.empty()) {
    out.modified = found.front().modified;
    // One that cannot be read counts as none: the next write replaces it, by its revision.
    out.progress = read_progress(found.front().value).value_or(Progress{});
  }
  return out;
}

}  // namespace

std::string to_string(const ShardId& id) { return id.work + "/" + std::to_string(id.shard); }

std::optional<ShardId> read_shard_key(const std::string& key, const std::string& stem) {
  if (!key.starts_with(stem)) {
    return std::nullopt;
  }
  const std::string rest = key.substr(stem.size());
  const std::size_t slash = rest.find('/');
  if (slash == std::string::npos || !coordination::is_name(rest.substr(0, slash))) {
    return std::nullopt;
  }
  const std::string number = rest.substr(slash + 1);
  const bool digits = !number.empty() && number.size() <= 5 &&
                      std::all_of(number.begin(), number.end(), [](char c) { return c >= '0' && c <= '9'; });
  return digits ? std::optional<ShardId>(ShardId{rest.substr(0, slash), std::stoull(number)}) : std::nullopt;
}

void check_work(const Work& work) {
  const auto fail = [](const std::string& text) { throw std::invalid_argument(text); };
  if (!coordination::is_name(work.name)) {
    fail("name: letters, digits, '.', '-' and '_', up to 64");
  }
  if (!coordination::is_name(work.kind)) {
    fail("kind: letters, digits, '.', '-' and '_', up to 64");
  }
  if (!work.zone.empty() && !coordination::is_name(work.zone)) {
    fail("zone: letters, digits, '.', '-' and '_', up to 64");
  }
  if (work.shards < 1 || work.shards > kMostShards) {
    fail("shards: 1 to 10,000");
  }
  if (work.params.size() > kMostParams) {
    fail("params: over 32 KB");
  }
}

std::string write_work(const Work& work) {
  return json{{"kind", work.kind},     {"zone", work.zone},       {"shards", work.shards},
              {"paused", work.paused}, {"resumed", work.resumed}, {"params", work.params}}
      .dump();
}

std::optional<Work> read_work(const std::string& key, const std::string& value) {
  const json from = json::parse(value, nullptr, false);
  if (!key.starts_with(kWork) || !from.is_object()) {
    return std::nullopt;
  }
  Work out;
  out.name = key.substr(std::string(kWork).size());
  out.kind = text_of(from, "kind");
  out.zone = text_of(from, "zone");
  out.shards = number_of(from, "shards");
  out.paused = flag_of(from, "paused");
  out.resumed = number_of(from, "resumed");
  out.params = text_of(from, "params");
  try {
    check_work(out);
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
  return out;
}

std::string write_owner(const Owner& owner) {
  return json{{"member", owner.member}, {"incarnation", owner.incarnation}}.dump();
}

std::optional<Owner> read_owner(const std::string& value, Term term) {
  const json from = json::parse(value, nullptr, false);
  if (!from.is_object()) {
    return std::nullopt;
  }
  return Owner{text_of(from, "member"), text_of(from, "incarnation"), term};
}

std::string write_progress(const Progress& progress) {
  return json{{"term", progress.term},
              {"writes", progress.writes},
              {"starts", progress.starts},
              {"parked", progress.parked},
              {"resumed", progress.resumed},
              {"by", progress.by},
              {"checkpoint", progress.checkpoint},
              {"done", progress.done}}
      .dump();
}

std::optional<Progress> read_progress(const std::string& value) {
  const json from = json::parse(value, nullptr, false);
  if (!from.is_object()) {
    return std::nullopt;
  }
  Progress out;
  out.term = number_of(from, "term");
  out.writes = number_of(from, "writes");
  out.starts = number_of(from, "starts");
  out.parked = flag_of(from, "parked");
  out.resumed = number_of(from, "resumed");
  out.by = text_of(from, "by");
  out.checkpoint = text_of(from, "checkpoint");
  out.done = flag_of(from, "done");
  return out;
}

Transaction acquire(const std::string& prefix, const ShardId& id, const Owner& owner,
                    coordination::LeaseId lease) {
  const std::string key = to_string(id);
  const std::string own = prefix + kOwn + key;
  const Range progress{prefix + kProgress + key, false};
  const Range done{prefix + kDone + key, false};
  Transaction out;
  out.when = {coordination::absent(own)};
  out.then = {Put{own, write_owner(owner), lease}, Get{progress}, Get{done},
              coordination::Delete{Range{prefix + kRelease + key, false}}};
  out.otherwise = {Get{Range{own, false}}};
  return out;
}

Acquired read_acquired(const TransactionResult& outcome) {
  Acquired out;
  if (outcome.succeeded) {
    out.term = outcome.revision;
    out.kept = kept_of(outcome.results.at(1).found);
    out.done = !outcome.results.at(2).found.empty();
    return out;
  }
  const auto& found = outcome.results.at(0).found;
  if (!found.empty()) {
    out.other = read_owner(found.front().value, found.front().created).value_or(Owner{});
    out.other.term = found.front().created;
  }
  return out;
}

Transaction record(const std::string& prefix, const ShardId& id, Term term, coordination::Revision modified,
                   const Progress& progress) {
  const std::string key = to_string(id);
  const std::string own = prefix + kOwn + key;
  const std::string at = prefix + kProgress + key;
  Transaction out;
  // Of work that was taken away nothing is written any more: announced again, it begins anew.
  out.when = {coordination::created_at(own, term), coordination::unchanged(at, modified),
              Compare{prefix + kWork + id.work, Compare::What::kCreated, Compare::How::kNotEqual, 0, {}}};
  out.then = {Put{at, write_progress(progress), 0}};
  if (progress.done) {
    out.then.push_back(Put{prefix + kDone + key, progress.by, 0});
  }
  out.otherwise = {Get{Range{own, false}}, Get{Range{at, false}}};
  return out;
}

Recorded read_recorded(const TransactionResult& outcome, Term term, const Progress& wrote) {
  Recorded out;
  if (outcome.succeeded) {
    out.written = true;
    out.owned = true;
    out.kept = Kept{wrote, outcome.revision};
    return out;
  }
  const auto& owner = outcome.results.at(0).found;
  out.owned = !owner.empty() && owner.front().created == term;
  out.kept = kept_of(outcome.results.at(1).found);
  // The write was done at the first try, whose answer was lost.
  out.written = out.owned && out.kept.progress == wrote;
  return out;
}

}  // namespace trailcourse::ownership
