#include "coordination/judgement.h"

#include <algorithm>

#include "decision/hashing.h"

namespace trailcourse::coordination {

std::string Identity::judge(const etcd::Header& header, Revision floor) {
  if (id_ != 0 && header.cluster != id_) {
    return "another store answers: " + std::to_string(header.cluster) + ", not " + std::to_string(id_);
  }
  // A store that was put back to an old copy hands out revisions for the second time: terms would not grow.
  if (header.revision < floor) {
    went_back_ = true;
    return "the store has gone back from revision " + std::to_string(floor) + " to " +
           std::to_string(header.revision);
  }
  id_ = header.cluster;
  highest_ = std::max(highest_, header.revision);
  return {};
}

Endpoints::Endpoints(std::size_t count, Micros first_rest, Micros longest_rest, std::uint64_t seed)
    : count_(std::max<std::size_t>(1, count)),
      first_rest_(first_rest),
      longest_rest_(longest_rest),
      random_(seed),
      current_(seed % count_) {}

std::optional<std::size_t> Endpoints::pick(Micros now) const {
  return now < rests_until_ ? std::nullopt : std::optional<std::size_t>(current_);
}

void Endpoints::worked(std::size_t endpoint) {
  current_ = endpoint;
  in_row_ = 0;
  rounds_ = 0;
  rests_until_ = Micros(0);
}

void Endpoints::failed(std::size_t endpoint, Micros now) {
  if (endpoint != current_) {
    return;  // of a call that left before it was given up
  }
  current_ = (current_ + 1) % count_;
  if (++in_row_ % count_ != 0) {
    return;
  }
  Micros rest = first_rest_;
  for (int i = 0; i < rounds_ && rest < longest_rest_; ++i) {
    rest *= 2;
  }
  rest = std::min(rest, longest_rest_);
  ++rounds_;
  // Drawn from a half to one and a half: routers that lost the store in one moment do not return in one.
  random_ = mix(random_ + 1);
  const double share = 0.5 + static_cast<double>(random_ >> 11U) / static_cast<double>(1ULL << 53U);
  rests_until_ = now + Micros(static_cast<Micros::rep>(static_cast<double>(rest.count()) * share));
}

void WatchProgress::read(Revision revision) {
  seen_ = revision;
  behind_ = false;
}

WatchProgress::Taken WatchProgress::take(const etcd::WatchLine& line) {
  Taken out;
  if (line.compacted > 0) {
    behind_ = true;
    out.restart = true;
    return out;
  }
  out.ended = line.canceled;
  for (const Change& change : line.changes) {
    // One that was told before is passed over: a store may begin earlier than it was asked to.
    if (change.entry.modified > seen_) {
      out.news.push_back(change);
    }
  }
  if (!line.changes.empty()) {
    seen_ = std::max(seen_, line.changes.back().entry.modified);
  }
  out.revision = std::max(seen_, line.header.revision);
  return out;
}

}  // namespace trailcourse::coordination
