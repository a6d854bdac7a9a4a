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

SourceLink::SourceLink(SourceClient& client, const std::weak_ptr<Pool::Slot>& slot)
    : client_(client), slot_(slot), parser_([&client] {
        protocol::resp::Bounds bounds;
        bounds.last_bytes = client.bounds_.answer_bytes;
        return bounds;
      }()) {}

void SourceLink::on_bytes(std::string_view bytes) {
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  parser_.feed(bytes, [this, &slot](const protocol::resp::Event& event) {
    if (slot && !slot->connection->ended()) {
      std::visit([this](const auto& one) { take(one); }, event);
    }
  });
}

void SourceLink::take(const protocol::resp::ArrayHead& head) {
  words_ = head.words;
  body_.clear();
  wanted_ = !words_.empty() && calls_.contains(words_[0]);
  if (wanted_) {
    body_.reserve(head.last_bytes);
  }
}

void SourceLink::take(const protocol::resp::ArrayPiece& piece) {
  if (wanted_) {
    body_ += piece.bytes;
  }
}

void SourceLink::take(const protocol::resp::ArrayEnd&) {
  constexpr std::size_t kWithoutBody = 3;
  const std::optional<protocol::AnswerCode> word =
      words_.size() == kWithoutBody ? protocol::parse_answer_code(words_[1]) : std::nullopt;
  if (!word) {
    spoilt("an answer in unknown words");
    return;
  }
  if (!wanted_) {
    return;
  }
  FetchResult result;
  result.word = *word;
  result.fields = protocol::read_cache_answer(words_[2]);
  result.body = std::make_shared<const std::string>(std::exchange(body_, {}));
  finish(words_[0], result);
}

void SourceLink::take(const protocol::resp::ParseError& unreadable) { spoilt(unreadable.why); }

void SourceLink::spoilt(std::string_view why) {
  if (const std::shared_ptr<Pool::Slot> slot = slot_.lock()) {
    log_line(Level::kWarning) << "source " << slot->peer << " sent what cannot be read: " << why;
    slot->connection->close(ConnectionEnd::kMalformed);
  }
}

void SourceLink::finish(const std::string& id, const FetchResult& result) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;  // stopped since its answer began to come
  }
  const FillNumber fill = found->second.fill;
  calls_.erase(found);
  client_.places_.erase(fill);
  if (const std::shared_ptr<Pool::Slot> slot = slot_.lock()) {
    client_.pool_.release(slot);
  }
  client_.done_(fill, result);
}

void SourceLink::on_end(ConnectionEnd end) {
  const std::shared_ptr<Pool::Slot> slot = slot_.lock();
  if (!slot) {
    return;
  }
  client_.pool_.forget(slot);
  const auto calls = std::exchange(calls_, {});
  for (const auto& [id, call] : calls) {
    client_.places_.erase(call.fill);
    FetchResult result;
    const bool unrun = proves_not_executed(routing::status_of(end, slot->connection->begun(call.token)));
    result.end = unrun                              ? FetchResult::End::kUnreachable
                 : end == ConnectionEnd::kMalformed ? FetchResult::End::kSpoilt
                                                    : FetchResult::End::kBroken;
    client_.done_(call.fill, result);
  }
}

SourceClient::SourceClient(transport::Scheduler& scheduler, const Bounds& bounds, Done done)
    : scheduler_(scheduler),
      bounds_(bounds),
      done_(std::move(done)),
      pool_(scheduler, bounds.pool, [this](const SourceLink::Pool::SlotPtr& slot) {
        return std::make_shared<SourceLink>(*this, slot);
      }) {}

void SourceClient::fetch(FillNumber fill, const std::string& source, const transport::Address& address,
                         const protocol::ServeFields& fields, std::string_view body) {
  const SourceLink::Pool::SlotPtr slot =
      pool_.take(source, address, [](const SourceLink::Pool::Slot&) { return true; });
  if (!slot) {
    scheduler_.post([this, fill] {
      FetchResult result;
      result.end = FetchResult::End::kUnreachable;
      done_(fill, result);
    });
    return;
  }
  const std::string id = "f" + std::to_string(++last_id_);
  SourceLink::Call& call = slot->link->calls_[id];
  call.fill = fill;
  call.sent = Clock::now();
  call.token = slot->connection->write(protocol::write_serve(id, fields, body));
  places_[fill] = Place{slot->link, id};
}

// What is on its way is told to be given up. A source from which nothing came since is taken for gone, with
// all of its connections: new ones show whether it is there.
void SourceClient::stop(FillNumber fill) {
  const auto found = places_.find(fill);
  if (found == places_.end()) {
    return;
  }
  const Place place = found->second;
  places_.erase(found);
  const std::shared_ptr<SourceLink> link = place.link.lock();
  const std::shared_ptr<SourceLink::Pool::Slot> slot = link ? link->slot_.lock() : nullptr;
  if (!slot) {
    return;
  }
  const SourceLink::Call call = link->calls_.at(place.id);
  link->calls_.erase(place.id);
  if (!slot->connection->ended() && !slot->connection->withdraw(call.token)) {
    slot->connection->write(protocol::write_cancel(place.id));
    if (Clock::now() - call.sent >= bounds_.silent_after && pool_.last_received(slot->peer) < call.sent) {
      pool_.drop(slot->peer, ConnectionEnd::kSilent);
    }
  }
  pool_.release(slot);
}

}  // namespace trailcourse::cache_node
