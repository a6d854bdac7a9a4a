#include "policy/acknowledgement.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace trailcourse::policy {

using coordination::Get;
using coordination::Put;
using coordination::Range;
using coordination::Transaction;
using nlohmann::json;

namespace {

json json_of(const BoardPosition& position) { return {{"board", position.board}, {"event", position.event}}; }

std::optional<BoardPosition> position_of(const json& from, const char* name) {
  const auto found = from.find(name);
  if (found == from.end() || !found->is_object()) {
    return std::nullopt;
  }
  const auto board = found->find("board");
  const auto event = found->find("event");
  const bool usable =
      board != found->end() && board->is_string() && event != found->end() && event->is_number_unsigned();
  return usable ? std::optional(BoardPosition{board->get<std::string>(), event->get<std::uint64_t>()})
                : std::nullopt;
}

bool all_acknowledge(const AcknowledgementsSeen& seen) {
  return std::all_of(seen.permits.begin(), seen.permits.end(),
                     [&seen](const auto& one) { return one.second.acknowledged >= seen.record.round; });
}

}  // namespace

std::string write_acknowledgement(const Acknowledgement& record) {
  return json{{"round", record.round}, {"asked", json_of(record.asked)}, {"done", json_of(record.done)}}
      .dump();
}

std::optional<Acknowledgement> read_acknowledgement(const std::string& text) {
  const json from = json::parse(text, nullptr, false);
  if (!from.is_object()) {
    return std::nullopt;
  }
  const auto round = from.find("round");
  const auto asked = position_of(from, "asked");
  const auto done = position_of(from, "done");
  const bool usable =
      round != from.end() && round->is_number_unsigned() && round->get<std::uint64_t>() > 0 && asked && done;
  return usable ? std::optional(Acknowledgement{round->get<std::uint64_t>(), *asked, *done}) : std::nullopt;
}

// ---- Transactions ----

Transaction look_at_acknowledgements(const std::string& prefix) {
  Transaction out;
  out.then = {Get{Range{prefix + kAcknowledgedKey, false}}, Get{Range{prefix + kPermits, true}}};
  return out;
}

AcknowledgementsSeen read_acknowledgements_seen(const std::string& prefix,
                                                const coordination::TransactionResult& outcome) {
  AcknowledgementsSeen out;
  if (const auto& found = outcome.results.at(0).found; !found.empty()) {
    out.record = read_acknowledgement(found.front().value).value_or(Acknowledgement{});
    out.modified = found.front().modified;
  }
  out.permits = read_permits(prefix, outcome.results.at(1).found);
  return out;
}

Transaction write_record(const std::string& prefix, const AcknowledgementsSeen& seen,
                         const Acknowledgement& record) {
  Transaction out;
  const std::string key = prefix + kAcknowledgedKey;
  out.when = {coordination::unchanged(key, seen.modified)};
  out.then = {Put{key, write_acknowledgement(record), 0}};
  return out;
}

Acknowledgement forgotten(const Acknowledgement& record) { return {record.round + 1, {}, {}}; }

// ---- The driver ----

bool AcknowledgementDriver::may_ask(Micros now) {
  if (asked_at_ && now < *asked_at_ + least_round_) {
    due_ = *asked_at_ + least_round_;
    return false;
  }
  asked_at_ = now;
  return true;
}

std::optional<Acknowledgement> AcknowledgementDriver::next(Micros now, const AcknowledgementsSeen& seen,
                                                           const BoardPosition& position) {
  due_.reset();
  Acknowledgement out = seen.record;
  // A board that began anew knows nothing of the events before: the open round could never end.
  const bool other_board = position.board != out.asked.board;
  const bool complete = out.round > 0 && all_acknowledge(seen);
  if (complete && !other_board) {
    out.done = out.asked;
  }
  const bool can_ask = position.event > 0 && (other_board || complete || out.round == 0);
  const bool is_new = other_board || position.event > out.asked.event;
  if (can_ask && is_new && may_ask(now)) {
    ++out.round;
    out.asked = position;
    out.done = other_board ? BoardPosition{position.board, 0} : out.done;
  }
  return out == seen.record ? std::nullopt : std::optional(out);
}

std::vector<std::string> unacknowledged(const AcknowledgementsSeen& seen) {
  std::vector<std::string> out;
  for (const auto& [key, permit] : seen.permits) {
    if (permit.acknowledged < seen.record.round) {
      out.push_back(described_writer(key, permit) + " is to take in event " +
                    std::to_string(seen.record.asked.event) + ", or its permission to run out");
    }
  }
  return out;
}

}  // namespace trailcourse::policy
