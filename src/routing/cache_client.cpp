#include "routing/cache_client.h"

#include <utility>
#include <variant>

#include "routing/outcome.h"
#include "transport/log.h"

namespace trailcourse::routing {

using protocol::AnswerFields;
using protocol::AnswerWord;
using transport::Clock;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

namespace {

Status status_of_word(AnswerWord word) {
  switch (word) {
    case AnswerWord::kOk:
    case AnswerWord::kSame:
      return Status::kOk;
    case AnswerWord::kMiss:
      return Status::kMiss;
    case AnswerWord::kBusy:
      return Status::kFull;
    case AnswerWord::kVoid:
      return Status::kMoot;
    case AnswerWord::kError:
      break;
  }
  return Status::kError;
}

}  // namespace

CacheLink::CacheLink(CacheClient& client, const std::weak_ptr<Pool::Slot>& slot)
    : client_(client), slot_(slot), parser_(client.bounds_.answers) {}

void CacheLink::send(const AttemptKey& key, const std::string& id, std::string command, bool streaming) {
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  Call& call = calls_[id];
  call.key = key;
  call.sent = Clock::now();
  call.streaming = streaming;
  call.token = slot->connection->write(std::move(command));
}

void CacheLink::cancel(const std::string& id) {
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
    given_up_.insert(id);
    if (given_up_.size() > client_.bounds_.most_given_up) {
      client_.pool_.retire(slot, ConnectionEnd::kOverflow);
    }
    // Nothing has come from there since this was sent, over any connection: the machine may have vanished,
    // and what else goes over these would vanish with it. A new one shows whether it is there.
    if (Clock::now() - call.sent >= client_.bounds_.silent_after &&
        client_.pool_.last_received(slot->peer) < call.sent) {
      log_line(Level::kDebug) << "cache " << slot->peer << " is silent: its connections are given up";
      client_.pool_.drop(slot->peer, ConnectionEnd::kSilent);
    }
  }
  client_.pool_.give_back(slot);
}

void CacheLink::on_bytes(std::string_view bytes) {
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  parser_.feed(bytes, [this, &slot](const protocol::resp::Event& event) {
    if (!slot || slot->connection->ended()) {
      return;  // what follows is of no use any more
    }
    std::visit([this](const auto& one) { take(one); }, event);
  });
}

void CacheLink::take(const protocol::resp::ArrayHead& head) {
  words_ = head.words;
  body_.clear();
  const auto found = words_.empty() ? calls_.end() : calls_.find(words_[0]);
  const bool ok = words_.size() == 3 && protocol::answer_word(words_[1]) == AnswerWord::kOk;
  streaming_ = ok && found != calls_.end() && found->second.streaming;
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

void CacheLink::count(std::size_t bytes) {
  client_.partial_ += bytes - counted_;
  counted_ = bytes;
}

void CacheLink::take(const protocol::resp::ArrayPiece& piece) {
  if (!streaming_) {
    body_ += piece.bytes;
  } else if (const auto found = calls_.find(words_[0]); found != calls_.end()) {
    client_.router_.stream_piece(found->second.key, piece.bytes);
  }
}

void CacheLink::take(const protocol::resp::ArrayEnd&) {
  constexpr std::size_t kWithoutFields = 1;  // words before the last string
  constexpr std::size_t kWithoutBody = 2;
  constexpr std::size_t kWhole = 3;
  count(0);
  const std::size_t size = words_.size();
  const std::string* word = size == kWithoutFields ? &body_ : size > kWithoutFields ? &words_[1] : nullptr;
  const std::optional<AnswerWord> known = word != nullptr ? protocol::answer_word(*word) : std::nullopt;
  if (!known || size > kWhole) {
    const std::shared_ptr<Pool::Slot> slot = slot_.lock();
    log_line(Level::kWarning) << "cache " << (slot ? slot->peer : "") << " answered in unknown words";
    if (size > 0) {
      finish(words_[0], AnswerWord::kError, AnswerFields());
    }
    return;
  }
  const std::string fields = size == kWithoutBody ? std::exchange(body_, {})
                             : size == kWhole     ? words_[2]
                                                  : "-";
  finish(words_[0], *known, protocol::read_answer_fields(fields, client_.report_fields_));
}

void CacheLink::finish(const std::string& id, AnswerWord word, const AnswerFields& fields) {
  const auto found = calls_.find(id);
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  if (found == calls_.end()) {
    if (given_up_.erase(id) == 0) {
      log_line(Level::kDebug) << "cache " << (slot ? slot->peer : "") << " answered an unknown id";
    }
    return;
  }
  const AttemptKey key = found->second.key;
  calls_.erase(found);
  client_.places_.erase(key);
  if (slot) {
    client_.pool_.give_back(slot);
  }
  AttemptResult result;
  result.status = status_of_word(word);
  result.same = word == AnswerWord::kSame;
  result.body = word == AnswerWord::kOk ? std::exchange(body_, {}) : std::string();
  result.note = fields.note;
  result.waited = fields.waited;
  result.load = fields.load;
  client_.router_.attempt_ended(key, std::move(result));
}

void CacheLink::take(const protocol::resp::Unreadable& unreadable) {
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  if (slot) {
    log_line(Level::kWarning) << "cache " << slot->peer << " sent what cannot be read: " << unreadable.why;
    slot->connection->close(ConnectionEnd::kMalformed);
  }
}

void CacheLink::on_end(ConnectionEnd end) {
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
      pool_(scheduler, bounds.pool, [this](const CacheLink::Pool::SlotPtr& slot) {
        return std::make_shared<CacheLink>(*this, slot);
      }) {}

void CacheClient::send(const AttemptKey& key, const Send& order, const std::shared_ptr<const void>& passed,
                       bool streaming) {
  const auto request = std::static_pointer_cast<const protocol::Passed>(passed);
  const std::optional<transport::Address> address = directory_.find(order.cache);
  if (!address) {
    fail_later(key, ConnectionEnd::kUnreachable);
    return;
  }
  // An id that was given up on a connection may still be answered there: a new try must not take that answer.
  const CacheLink::Pool::SlotPtr slot =
      pool_.take(order.cache, *address,
                 [&request](const CacheLink::Pool::Slot& one) { return !one.link->knows(request->id); });
  if (!slot) {
    log_line(Level::kWarning) << "no connection left for cache " << order.cache;
    fail_later(key, ConnectionEnd::kNoDescriptor);
    return;
  }
  places_[key] = Place{slot->link, request->id};
  slot->link->send(key, request->id, protocol::write_serve(*request, order), streaming);
}

void CacheClient::cancel(const AttemptKey& key) {
  const auto found = places_.find(key);
  if (found == places_.end()) {
    return;
  }
  const Place place = found->second;
  places_.erase(found);
  if (const std::shared_ptr<CacheLink> link = place.link.lock()) {
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
