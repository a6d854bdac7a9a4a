#include "cache_node/source_client.h"

#include <optional>
#include <utility>
#include <variant>

#include "routing/outcome.h"
#include "transport/log.h"

namespace trailcourse::cache_node {

using transport::Clock;
using transport::ConnectionEnd;
using transport::Level;
using transport::log_line;

SourceConnection::SourceConnection(SourceClient& client, const std::weak_ptr<Pool::Slot>& slot)
    : client_(client), slot_(slot), parser_([&client] {
        protocol::resp::Bounds bounds;
        bounds.last_bytes = client.bounds_.answer_bytes;
        return bounds;
      }()) {}

void SourceConnection::on_bytes(std::string_view bytes) {
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  parser_.feed(bytes, [this, &slot](const protocol::resp::Event& event) {
    if (slot && !slot->connection->ended()) {
      std::visit([this](const auto& one) { on_event(one); }, event);
    }
  });
}

void SourceConnection::on_event(const protocol::resp::ArrayHead& head) {
  strings_ = head.strings;
  body_.clear();
  is_pending_ = !strings_.empty() && calls_.contains(strings_[0]);
  if (is_pending_) {
    body_.reserve(head.last_bytes);
  }
}

void SourceConnection::on_event(const protocol::resp::ArrayPiece& piece) {
  if (is_pending_) {
    body_ += piece.bytes;
  }
}

void SourceConnection::on_event(const protocol::resp::ArrayEnd&) {
  constexpr std::size_t kStringsBeforeBody = 3;
  const std::optional<protocol::AnswerCode> code =
      strings_.size() == kStringsBeforeBody ? protocol::parse_answer_code(strings_[1]) : std::nullopt;
  if (!code) {
    close_malformed("unknown answer code or number of strings");
    return;
  }
  if (!is_pending_) {
    return;
  }
  FetchResult result;
  result.code = *code;
  result.fields = protocol::read_cache_answer(strings_[2]);
  result.body = std::make_shared<const std::string>(std::exchange(body_, {}));
  finish(strings_[0], result);
}

void SourceConnection::on_event(const protocol::resp::ParseError& error) { close_malformed(error.reason); }

void SourceConnection::close_malformed(std::string_view reason) {
  if (const std::shared_ptr<Pool::Slot> slot = slot_.lock()) {
    log_line(Level::kWarning) << "source " << slot->peer << " sent a malformed message: " << reason;
    slot->connection->close(ConnectionEnd::kMalformed);
  }
}

void SourceConnection::finish(const std::string& id, const FetchResult& result) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;  // stopped while its answer was being received
  }
  const FillNumber fill = found->second.fill;
  calls_.erase(found);
  client_.pending_fetches_.erase(fill);
  if (const std::shared_ptr<Pool::Slot> slot = slot_.lock()) {
    client_.pool_.release(slot);
  }
  client_.on_result_(fill, result);
}

void SourceConnection::on_end(ConnectionEnd end) {
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  if (!slot) {
    return;
  }
  client_.pool_.remove(slot);
  const auto calls = std::exchange(calls_, {});
  for (const auto& [id, call] : calls) {
    client_.pending_fetches_.erase(call.fill);
    FetchResult result;
    const bool not_executed =
        proves_not_executed(routing::status_of(end, slot->connection->may_have_sent(call.token)));
    result.end = not_executed                       ? FetchResult::End::kUnreachable
                 : end == ConnectionEnd::kMalformed ? FetchResult::End::kMalformed
                                                    : FetchResult::End::kBroken;
    client_.on_result_(call.fill, result);
  }
}

SourceClient::SourceClient(transport::Scheduler& scheduler, const Bounds& bounds, ResultCallback on_result)
    : scheduler_(scheduler),
      bounds_(bounds),
      on_result_(std::move(on_result)),
      pool_(scheduler, bounds.pool, [this](const SourceConnection::Pool::SlotPtr& slot) {
        return std::make_shared<SourceConnection>(*this, slot);
      }) {}

void SourceClient::fetch(FillNumber fill, const std::string& source, const transport::Address& address,
                         const protocol::ServeFields& fields, std::string_view body) {
  const SourceConnection::Pool::SlotPtr slot =
      pool_.acquire(source, address, [](const SourceConnection::Pool::Slot&) { return true; });
  if (!slot) {
    scheduler_.post([this, fill] {
      FetchResult result;
      result.end = FetchResult::End::kUnreachable;
      on_result_(fill, result);
    });
    return;
  }
  const std::string id = "f" + std::to_string(++last_id_);
  SourceConnection::Call& call = slot->link->calls_[id];
  call.fill = fill;
  call.sent = Clock::now();
  call.token = slot->connection->write(protocol::write_serve(id, fields, body));
  pending_fetches_[fill] = PendingFetch{slot->link, id};
}

// Sends a cancel command if a part of the request may have been sent. If the request was sent at least
// `silent_after` ago and nothing has been received from the source since, retires all connections to the
// source: new ones show whether it is still reachable.
void SourceClient::stop(FillNumber fill) {
  const auto found = pending_fetches_.find(fill);
  if (found == pending_fetches_.end()) {
    return;
  }
  const PendingFetch pending = found->second;
  pending_fetches_.erase(found);
  const std::shared_ptr<SourceConnection> link = pending.link.lock();
  const std::shared_ptr<SourceConnection::Pool::Slot> slot = link ? link->slot_.lock() : nullptr;
  if (!slot) {
    return;
  }
  const SourceConnection::Call call = link->calls_.at(pending.id);
  link->calls_.erase(pending.id);
  if (!slot->connection->ended() && !slot->connection->cancel_write(call.token)) {
    slot->connection->write(protocol::write_cancel(pending.id));
    if (Clock::now() - call.sent >= bounds_.silent_after && pool_.last_received(slot->peer) < call.sent) {
      pool_.retire_all(slot->peer, ConnectionEnd::kSilent);
    }
  }
  pool_.release(slot);
}

}  // namespace trailcourse::cache_node
