#include "routing/cache_client.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <variant>

#include "routing/outcome.h"
#include "transport/log.h"

namespace trailcourse::routing {

using protocol::AnswerCode;
using protocol::AnswerFields;
using transport::Clock;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

namespace {

constexpr std::size_t kAnswerStrings = 3;  // the id, the code and the fields; the body follows them

Status status_of_code(AnswerCode code) {
  switch (code) {
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
    : client_(client),
      slot_(slot),
      parser_(client.bounds_.answers),
      retired_ids_charge_(client.bounds_.memory, memory::MemoryUse::kCallIds),
      charge_(client.bounds_.memory, memory::MemoryUse::kPartialResponses) {}

void CacheConnection::send(const AttemptKey& key, const protocol::ForwardedRequest& request,
                           std::string command, bool streaming) {
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  Call& call = calls_[request.id];
  call.key = key;
  call.sent = Clock::now();
  call.streaming = streaming;
  call.has_client_tag = !request.client_tag.empty();
  call.token = slot->connection->write(std::move(command),
                                       [&router = client_.router_, key] { return router.may_begin(key); });
}

// Removes a call and releases its stream to the connection pool.
AttemptKey CacheConnection::end_call(std::map<std::string, Call>::iterator call) {
  const AttemptKey key = call->second.key;
  calls_.erase(call);
  client_.call_locations_.erase(key);
  if (const std::shared_ptr<Pool::Slot> slot = slot_.lock()) {
    client_.pool_.release(slot);
  }
  return key;
}

// Reports an attempt as not sent: the router refused it before the first byte of its command was written.
void CacheConnection::on_send_refused(std::uint64_t token) {
  const auto found = std::find_if(calls_.begin(), calls_.end(),
                                  [token](const auto& entry) { return entry.second.token == token; });
  if (found == calls_.end()) {
    return;  // cancelled before
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
  if (!connection.ended() && !connection.cancel_write(call.token)) {
    connection.write(protocol::write_cancel(id));
    retire_id(id);
    // No connection to the cache has received anything since the command was sent: the machine may have
    // vanished, and further commands on these connections would be lost. A new connection shows whether it is
    // reachable.
    if (Clock::now() - call.sent >= client_.bounds_.silent_after &&
        client_.pool_.last_received(slot->peer) < call.sent) {
      log_line(Level::kDebug) << "cache " << slot->peer << " does not respond: its connections are retired";
      client_.pool_.retire_all(slot->peer, ConnectionEnd::kSilent);
    }
  }
  client_.pool_.release(slot);
}

// Prevents further attempts with this id on this connection, since a late answer to the old attempt would be
// taken for the answer to the new one.
void CacheConnection::retire_id(const std::string& id) {
  const std::size_t hash = std::hash<std::string>()(id);
  retired_ids_.insert(std::lower_bound(retired_ids_.begin(), retired_ids_.end(), hash), hash);
  retired_ids_charge_.set(retired_ids_.capacity() * sizeof(std::size_t));
  if (retired_ids_.size() > client_.bounds_.max_retired_ids) {
    if (const std::shared_ptr<Pool::Slot> slot = slot_.lock()) {
      client_.pool_.retire(slot, ConnectionEnd::kOverflow);
    }
  }
}

// Another id with the same hash counts as retired, too: its attempt takes another connection.
bool CacheConnection::is_retired(const std::string& id) const {
  return std::binary_search(retired_ids_.begin(), retired_ids_.end(), std::hash<std::string>()(id));
}

// Closes the connection when an answer has begun but makes no progress: it blocks all answers behind it, and
// the attempts in flight can be retried elsewhere. This also detects a machine that vanished within an
// answer. A healthy cache that pauses for longer than `stall_after` within an answer is disconnected, too.
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
      log_line(Level::kDebug) << "cache " << late->peer << " stalled within an answer, " << calls_.size()
                              << " calls open";
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
      return;  // an event before has closed the connection
    }
    std::visit([this](const auto& alternative) { handle(alternative); }, event);
  });
  watch_progress();
}

void CacheConnection::handle(const protocol::resp::ArrayHead& head) {
  strings_ = head.strings;
  std::string().swap(body_);  // frees the body of an answer that was not passed on
  const auto found = strings_.empty() ? calls_.end() : calls_.find(strings_[0]);
  // A repeated, late or unexpected answer is skipped.
  has_call_ = found != calls_.end();
  const bool ok =
      strings_.size() == kAnswerStrings && protocol::parse_answer_code(strings_[1]) == AnswerCode::kOk;
  streaming_ = has_call_ && ok && found->second.streaming;
  if (!has_call_) {
    return;
  }
  if (streaming_) {
    client_.router_.stream_started(found->second.key, false);
    return;
  }
  charge_.set(0);
  if (!client_.bounds_.memory->fits(memory::MemoryUse::kPartialResponses, head.last_bytes)) {
    if (const std::shared_ptr<Pool::Slot> slot = slot_.lock()) {
      log_line(Level::kWarning) << "cache " << slot->peer << ": incomplete answers exceed the memory limit, "
                                << client_.bounds_.memory->describe(memory::MemoryUse::kPartialResponses);
      slot->connection->close(ConnectionEnd::kOverflow);
    }
    return;
  }
  charge_.set(head.last_bytes);
  body_.reserve(head.last_bytes);
}

void CacheConnection::handle(const protocol::resp::ArrayPiece& piece) {
  if (!has_call_) {
    return;
  }
  if (!streaming_) {
    body_ += piece.bytes;
  } else if (const auto found = calls_.find(strings_[0]); found != calls_.end()) {
    client_.router_.stream_piece(found->second.key, piece.bytes);
  }
}

// Completes an answer. Closes the connection if the answer is malformed: the data may be damaged, so neither
// the answer nor anything after it can be trusted.
void CacheConnection::handle(const protocol::resp::ArrayEnd&) {
  charge_.set(0);
  const std::optional<AnswerCode> code =
      strings_.size() == kAnswerStrings ? protocol::parse_answer_code(strings_[1]) : std::nullopt;
  // SAME is invalid if the command did not contain the tag of the copy that the client has.
  const auto call = strings_.empty() ? calls_.end() : calls_.find(strings_[0]);
  const bool not_modified = code && *code == AnswerCode::kSame;
  if (!code || (not_modified && (!body_.empty() || (call != calls_.end() && !call->second.has_client_tag)))) {
    close_malformed("wrong number of fields, unknown code or unexpected SAME");
    return;
  }
  finish(strings_[0], *code, protocol::read_answer_fields(strings_[2], client_.report_fields_));
}

void CacheConnection::finish(const std::string& id, AnswerCode code, const AnswerFields& fields) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    const std::shared_ptr<Pool::Slot> slot = slot_.lock();
    if (!is_retired(id)) {
      log_line(Level::kDebug) << "cache " << (slot ? slot->peer : "") << " sent an answer with an unknown id";
    }
    return;
  }
  if (code != AnswerCode::kOk && code != AnswerCode::kSame) {
    // A retry may reuse this id. It must not use this connection, where a duplicate of this answer would be
    // taken for the answer to the retry.
    retire_id(id);
  }
  const AttemptKey key = end_call(found);
  AttemptResult result;
  result.status = status_of_code(code);
  result.not_modified = code == AnswerCode::kSame;
  result.body = code == AnswerCode::kOk ? std::exchange(body_, {}) : std::string();
  result.note = fields.note;
  result.source_first_byte_time = fields.waited;
  result.load = fields.load;
  client_.router_.attempt_ended(key, std::move(result));
}

void CacheConnection::handle(const protocol::resp::ParseError& error) { close_malformed(error.reason); }

void CacheConnection::close_malformed(std::string_view reason) {
  if (const std::shared_ptr<Pool::Slot> slot = slot_.lock()) {
    log_line(Level::kWarning) << "cache " << slot->peer << " sent a malformed answer: " << reason;
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
                          << calls_.size() << " calls open";
  charge_.set(0);
  client_.pool_.remove(slot);
  const auto calls = std::exchange(calls_, {});
  for (const auto& [id, call] : calls) {
    client_.call_locations_.erase(call.key);
    AttemptResult result;
    result.status = status_of(end, slot->connection->may_have_sent(call.token));
    client_.router_.attempt_ended(call.key, std::move(result));
  }
}

CacheClient::CacheClient(transport::Scheduler& scheduler, Router& router, const EndpointDirectory& directory,
                         std::vector<std::string> report_fields, const Bounds& bounds)
    : scheduler_(scheduler),
      router_(router),
      directory_(directory),
      report_fields_(std::move(report_fields)),
      bounds_(bounds),
      pool_(scheduler, bounds.pool, [this](const CacheConnection::Pool::SlotPtr& slot) {
        return std::make_shared<CacheConnection>(*this, slot);
      }) {}

void CacheClient::send(const AttemptKey& key, const SendAttempt& action,
                       const std::shared_ptr<const void>& forwarded, bool streaming) {
  const auto request = std::static_pointer_cast<const protocol::ForwardedRequest>(forwarded);
  const std::optional<transport::Address> address = directory_.find(action.cache);
  if (!address) {
    fail_later(key, ConnectionEnd::kUnreachable);
    return;
  }
  // A cancelled attempt may still be answered on its connection: a new attempt with the same id must not get
  // that answer.
  const CacheConnection::Pool::SlotPtr slot =
      pool_.acquire(action.cache, *address, [&request](const CacheConnection::Pool::Slot& candidate) {
        return !candidate.link->knows_id(request->id);
      });
  if (!slot) {
    log_line(Level::kWarning) << "no connection available for cache " << action.cache;
    fail_later(key, ConnectionEnd::kNoDescriptor);
    return;
  }
  call_locations_[key] = CallLocation{slot->link, request->id};
  slot->link->send(key, *request, protocol::write_serve(*request, action), streaming);
}

void CacheClient::cancel(const AttemptKey& key) {
  const auto found = call_locations_.find(key);
  if (found == call_locations_.end()) {
    return;
  }
  const CallLocation location = found->second;
  call_locations_.erase(found);
  if (const std::shared_ptr<CacheConnection> connection = location.connection.lock()) {
    connection->cancel(location.id);
  }
}

// Reports an attempt that was not sent. The report is posted to the scheduler, since an Upstream must not
// report a result within send().
void CacheClient::fail_later(const AttemptKey& key, ConnectionEnd end) {
  scheduler_.post([this, key, end] {
    AttemptResult result;
    result.status = status_of(end, false);
    router_.attempt_ended(key, std::move(result));
  });
}

}  // namespace trailcourse::routing
