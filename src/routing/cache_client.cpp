#include "routing/cache_client.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "routing/outcome.h"
#include "transport/log.h"

namespace trailcourse::routing {

using protocol::AnswerFields;
using protocol::AnswerCode;
using transport::Clock;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

namespace {

Status status_of_word(AnswerCode word) {
  switch (word) {
    case AnswerCode::kOk:
    case AnswerCode::kSame:
      return Status::kOk;
    case AnswerCode::kMiss:
      return Status::kNotCached;
    case AnswerCode::kBusy:
      return Status::kFull;
    case AnswerCode::kVoid:
      return Status::kNotSent;
    case AnswerCode::kError:
      break;
  }
  return Status::kError;
}

}  // namespace

CacheConnection::CacheConnection(CacheClient& client, const std::weak_ptr<Pool::Slot>& slot)
    : client_(client), slot_(slot), parser_(client.bounds_.answers) {}

void CacheConnection::send(const AttemptKey& key, const protocol::ForwardedRequest& passed, std::string command,
                     bool streaming) {
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  Call& call = calls_[passed.id];
  call.key = key;
  call.sent = Clock::now();
  call.streaming = streaming;
  call.tagged = !passed.held_tag.empty();
  call.token = slot->connection->write(std::move(command),
                                       [&router = client_.router_, key] { return router.may_begin(key); });
}

// It is out no more; its place on the connection is free.
AttemptKey CacheConnection::end_call(std::map<std::string, Call>::iterator call) {
  const AttemptKey key = call->second.key;
  calls_.erase(call);
  client_.places_.erase(key);
  if (const std::shared_ptr<Pool::Slot> slot = slot_.lock()) {
    client_.pool_.release(slot);
  }
  return key;
}

// Not a byte of it has left, and none will.
void CacheConnection::on_send_refused(std::uint64_t token) {
  const auto found = std::find_if(calls_.begin(), calls_.end(),
                                  [token](const auto& one) { return one.second.token == token; });
  if (found == calls_.end()) {
    return;  // given up meanwhile
  }
  const AttemptKey key = end_call(found);
  AttemptResult result;
  result.status = Status::kNotSent;
  client_.router_.attempt_ended(key, std::move(result));
}

void CacheConnection::cancel(const std::string& id) {
  const auto found = calls_.find(id);
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  if (found == calls_.end() || !slot) {
    return;
  }
  const Call call = found->second;
  calls_.erase(found);
  transport::Connection& connection = *slot->connection;
  if (!connection.ended() && !connection.withdraw(call.token)) {
    connection.write(protocol::write_cancel(id));
    spend(id);
    // Nothing has come from there since this was sent, over any connection: the machine may have vanished,
    // and what else goes over these would vanish with it. A new one shows whether it is there.
    if (Clock::now() - call.sent >= client_.bounds_.silent_after &&
        client_.pool_.last_received(slot->peer) < call.sent) {
      log_line(Level::kDebug) << "cache " << slot->peer << " is silent: its connections are given up";
      client_.pool_.drop(slot->peer, ConnectionEnd::kSilent);
    }
  }
  client_.pool_.release(slot);
}

// From now on no new try goes out under this id here: what still comes for it must not be taken for its
// answer.
void CacheConnection::spend(const std::string& id) {
  spent_.insert(id);
  if (spent_.size() > client_.bounds_.most_spent) {
    if (const std::shared_ptr<Pool::Slot> slot = slot_.lock()) {
      client_.pool_.retire(slot, ConnectionEnd::kOverflow);
    }
  }
}

// An answer that has begun and goes no further holds up all that comes behind it: the connection is of no
// more use, and what is out on it goes on elsewhere. This also ends one to a machine that vanished in
// mid-answer. It would harm a cache that pauses for longer within an answer and then goes on.
void CacheConnection::watch_progress() {
  if (stall_timer_ || !parser_.has_partial_message()) {
    return;
  }
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  if (!slot || slot->connection->ended()) {
    return;
  }
  const Clock::time_point due = slot->connection->last_received() + client_.bounds_.stall_after;
  stall_timer_ = client_.scheduler_.at(due, [this] {
    stall_timer_.reset();
    const std::shared_ptr<Pool::Slot> late = slot_.lock();
    const bool stalled =
        late && late->connection->last_received() + client_.bounds_.stall_after <= Clock::now();
    if (stalled && parser_.has_partial_message()) {
      log_line(Level::kDebug) << "cache " << late->peer << " stopped within an answer, " << calls_.size()
                              << " out";
      late->connection->close(ConnectionEnd::kSilent);
    } else {
      watch_progress();
    }
  });
}

void CacheConnection::on_bytes(std::string_view bytes) {
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  parser_.feed(bytes, [this, &slot](const protocol::resp::Event& event) {
    if (!slot || slot->connection->ended()) {
      return;  // what follows is of no use any more
    }
    std::visit([this](const auto& one) { take(one); }, event);
  });
  watch_progress();
}

void CacheConnection::take(const protocol::resp::ArrayHead& head) {
  words_ = head.strings;
  body_.clear();
  const auto found = words_.empty() ? calls_.end() : calls_.find(words_[0]);
  // A second copy, a late answer, one that nobody asked for: read past, and not held.
  wanted_ = found != calls_.end();
  const bool ok = words_.size() == 3 && protocol::parse_answer_code(words_[1]) == AnswerCode::kOk;
  streaming_ = wanted_ && ok && found->second.streaming;
  if (!wanted_) {
    return;
  }
  if (streaming_) {
    client_.router_.stream_started(found->second.key, false);
    return;
  }
  if (client_.partial_ + head.last_bytes > client_.bounds_.most_partial) {
    if (const std::shared_ptr<Pool::Slot> slot = slot_.lock()) {
      log_line(Level::kWarning) << "cache " << slot->peer
                                << ": too much is held of answers that are not whole";
      slot->connection->close(ConnectionEnd::kOverflow);
    }
    return;
  }
  count(head.last_bytes);
  body_.reserve(head.last_bytes);
}

void CacheConnection::count(std::size_t bytes) {
  client_.partial_ += bytes - counted_;
  counted_ = bytes;
}

void CacheConnection::take(const protocol::resp::ArrayPiece& piece) {
  if (!wanted_) {
    return;
  }
  if (!streaming_) {
    body_ += piece.bytes;
  } else if (const auto found = calls_.find(words_[0]); found != calls_.end()) {
    client_.router_.stream_piece(found->second.key, piece.bytes);
  }
}

// Whatever is not of the one form that answers have may be the middle of something spoilt: nothing that it
// says is believed, and nothing behind it.
void CacheConnection::take(const protocol::resp::ArrayEnd&) {
  constexpr std::size_t kWithoutBody = 3;
  count(0);
  const std::optional<AnswerCode> word =
      words_.size() == kWithoutBody ? protocol::parse_answer_code(words_[1]) : std::nullopt;
  // A client's copy that was not named to the cache cannot be the one.
  const auto call = words_.empty() ? calls_.end() : calls_.find(words_[0]);
  const bool same = word && *word == AnswerCode::kSame;
  if (!word || (same && (!body_.empty() || (call != calls_.end() && !call->second.tagged)))) {
    end_unreadable("an answer in unknown words");
    return;
  }
  finish(words_[0], *word, protocol::read_answer_fields(words_[2], client_.report_fields_));
}

void CacheConnection::finish(const std::string& id, AnswerCode word, const AnswerFields& fields) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    const std::shared_ptr<Pool::Slot> slot = slot_.lock();
    if (!spent_.contains(id)) {
      log_line(Level::kDebug) << "cache " << (slot ? slot->peer : "") << " answered an unknown id";
    }
    return;
  }
  if (word != AnswerCode::kOk && word != AnswerCode::kSame) {
    spend(id);  // a further try may follow, and so may a second copy of this answer
  }
  const AttemptKey key = end_call(found);
  AttemptResult result;
  result.status = status_of_word(word);
  result.same = word == AnswerCode::kSame;
  result.body = word == AnswerCode::kOk ? std::exchange(body_, {}) : std::string();
  result.note = fields.note;
  result.waited = fields.waited;
  result.load = fields.load;
  client_.router_.attempt_ended(key, std::move(result));
}

void CacheConnection::take(const protocol::resp::ParseError& unreadable) { end_unreadable(unreadable.reason); }

void CacheConnection::end_unreadable(std::string_view why) {
  if (const std::shared_ptr<Pool::Slot> slot = slot_.lock()) {
    log_line(Level::kWarning) << "cache " << slot->peer << " sent what cannot be read: " << why;
    slot->connection->close(ConnectionEnd::kMalformed);
  }
}

void CacheConnection::on_end(ConnectionEnd end) {
  if (stall_timer_) {
    client_.scheduler_.cancel(*stall_timer_);
  }
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  if (!slot) {
    return;
  }
  log_line(Level::kDebug) << "connection to cache " << slot->peer << ": " << to_string(end) << ", "
                          << calls_.size() << " out";
  count(0);
  client_.pool_.forget(slot);
  const auto calls = std::exchange(calls_, {});
  for (const auto& [id, call] : calls) {
    client_.places_.erase(call.key);
    AttemptResult result;
    result.status = status_of(end, slot->connection->begun(call.token));
    client_.router_.attempt_ended(call.key, std::move(result));
  }
}

CacheClient::CacheClient(transport::Scheduler& scheduler, Router& router, const Directory& directory,
                         std::vector<std::string> report_fields, const Bounds& bounds)
    : scheduler_(scheduler),
      router_(router),
      directory_(directory),
      report_fields_(std::move(report_fields)),
      bounds_(bounds),
      pool_(scheduler, bounds.pool, [this](const CacheConnection::Pool::SlotPtr& slot) {
        return std::make_shared<CacheConnection>(*this, slot);
      }) {}

void CacheClient::send(const AttemptKey& key, const SendAttempt& order,
                       const std::shared_ptr<const void>& passed, bool streaming) {
  const auto request = std::static_pointer_cast<const protocol::ForwardedRequest>(passed);
  const std::optional<transport::Address> address = directory_.find(order.cache);
  if (!address) {
    fail_later(key, ConnectionEnd::kUnreachable);
    return;
  }
  // An id that was given up on a connection may still be answered there: a new try must not take that answer.
  const CacheConnection::Pool::SlotPtr slot =
      pool_.take(order.cache, *address,
                 [&request](const CacheConnection::Pool::Slot& one) { return !one.link->knows(request->id); });
  if (!slot) {
    log_line(Level::kWarning) << "no connection left for cache " << order.cache;
    fail_later(key, ConnectionEnd::kNoDescriptor);
    return;
  }
  places_[key] = Place{slot->link, request->id};
  slot->link->send(key, *request, protocol::write_serve(*request, order), streaming);
}

void CacheClient::cancel(const AttemptKey& key) {
  const auto found = places_.find(key);
  if (found == places_.end()) {
    return;
  }
  const Place place = found->second;
  places_.erase(found);
  if (const std::shared_ptr<CacheConnection> link = place.link.lock()) {
    link->cancel(place.id);
  }
}

// Nothing was sent: told as a connection that did not come up, and never from within the router's own call.
void CacheClient::fail_later(const AttemptKey& key, ConnectionEnd end) {
  scheduler_.post([this, key, end] {
    AttemptResult result;
    result.status = status_of(end, false);
    router_.attempt_ended(key, std::move(result));
  });
}

}  // namespace trailcourse::routing
