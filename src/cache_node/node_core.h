// What a cache node does with each request: serve what it holds, fill what it lacks, join a fill that is
// under way, or turn it away. Events go in with their time, actions come out in order; nothing here does I/O
// or reads a clock.
//
// Which cache is asked, where a miss is filled from, at what rank a copy is kept and how old it may be was
// chosen by the router's decision module and stands in the request. What is decided here is only what a cache
// must: whether a copy meets the request's age limit, who shares a fill, and what is too much.
//
// Package `cache_node`: above `store` and `protocol`; this file knows no socket. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "protocol/cache_command.h"
#include "store/store.h"

namespace trailcourse::cache_node {

using RequestNumber = std::uint64_t;
using FillNumber = std::uint64_t;

// How a class is treated.
struct ClassRule {
  std::int64_t fresh_ms = 0;  // 0: a copy is good until purged
  bool kept = true;           // false: every request goes on to its source, and nothing is shared or kept
};

struct NodeRules {
  std::map<std::string, ClassRule> classes;
  std::string fill_from;  // the source where a request names none; empty: it is then a miss
  std::string origin;     // what is filled from there comes from the origin itself
  std::size_t most_open = 1'024;
  std::size_t most_bytes = 64U << 20U;  // of answers that are gathered or not yet taken
  std::size_t most_fills = 64;
  std::size_t most_answer_bytes = protocol::kMaxObjectBytes;  // beyond, an object is answered ERR
  std::size_t expected_bytes = 64U << 10U;  // counted for a fill whose size is not known yet
  std::int64_t lookup_ms = 150;             // the disk's time for one copy
};

// What a source answered, or how the fetch ended.
struct FetchResult {
  enum class End { kAnswered, kUnreachable, kBroken, kSpoilt };
  End end = End::kAnswered;  // kSpoilt: an answer that cannot be believed
  protocol::AnswerCode word = protocol::AnswerCode::kError;
  protocol::CacheAnswer fields;
  std::shared_ptr<const std::string> body;
};

struct Answer {
  RequestNumber request = 0;
  protocol::AnswerCode word = protocol::AnswerCode::kError;
  protocol::CacheAnswer fields;
  std::shared_ptr<const std::string> body;  // null: none
  protocol::Span part;                      // of the body; length 0: all of it
};
// Look the name up; looked_up() is told, later or at once.
struct LookUp {
  RequestNumber request = 0;
  store::Name name;
  int rank = 0;
};
struct GiveUpLookUp {
  RequestNumber request = 0;
  bool late = false;
};
struct Fetch {
  FillNumber fill = 0;
  std::string source;
  protocol::ServeFields fields;
  std::string body;
};
struct StopFetch {
  FillNumber fill = 0;
};
struct Keep {
  store::Name name;
  store::Copy copy;
  int rank = 0;
};
struct Complete {
  store::Name name;
  std::shared_ptr<store::PartialCopy> partial;
  std::vector<bool> had;
  int rank = 0;
};
struct Drop {
  store::Name name;
};
// An object is larger than an answer may be; told once for each, as long as it is remembered.
struct TooLarge {
  std::string item;
  std::string chunk;
  std::size_t bytes = 0;
  std::size_t most = 0;
};
using Action = std::variant<Answer, LookUp, GiveUpLookUp, Fetch, StopFetch, Keep, Complete, Drop, TooLarge>;

// A request's time and what is known of the present.
struct Moment {
  std::int64_t steady_ms = 0;
  std::int64_t unix_ms = 0;       // for ages
  std::size_t waiting_bytes = 0;  // written and not yet taken by peers
};

struct NodeCounts {
  std::uint64_t requests = 0, hits = 0, aged = 0, same = 0, misses = 0, fills = 0, joined = 0, busy = 0,
                refused = 0;
  std::uint64_t errors = 0, late_lookups = 0, timed_out = 0, left = 0, too_old = 0, spans = 0, fill_bytes = 0,
                too_large = 0;
};

class NodeCore {
 public:
  // Whether, and up to which Unix millisecond, purges forbid copies of a name.
  using ForbiddenUntil = std::function<std::int64_t(const store::Name&, int group)>;
  // Whether a source of that name is known.
  using KnowsSource = std::function<bool(const std::string&)>;

  NodeCore(NodeRules rules, ForbiddenUntil purged_until, KnowsSource knows_source)
      : rules_(std::move(rules)),
        forbidden_until_(std::move(purged_until)),
        knows_source_(std::move(knows_source)) {}

  void arrive(const Moment& now, RequestNumber request, protocol::ServeFields fields, std::string body,
              std::vector<Action>& out);
  void looked_up(const Moment& now, RequestNumber request, const store::ReadResult& found,
                 std::vector<Action>& out);
  void fetched(const Moment& now, FillNumber fill, const FetchResult& result, std::vector<Action>& out);
  // The router does not wait any more, or its connection ended: no answer.
  void cancel(const Moment& now, RequestNumber request, std::vector<Action>& out);
  // Time has passed.
  void tick(const Moment& now, std::vector<Action>& out);
  std::optional<std::int64_t> next_due() const;

  // Until the notice board was heard after a start, copies from before `started_unix_ms` are given only to
  // requests that say how old a copy may be: a purge may have been missed while this node was down, and a
  // router that has heard of one says so by an age limit.
  void unheard_before(std::int64_t started_unix_ms) { unheard_before_ = started_unix_ms; }
  void caught_up() { unheard_before_ = INT64_MIN; }

  std::size_t open() const { return requests_.size(); }
  std::size_t fills() const { return fills_.size(); }
  // The busiest of its bounds, 0 to 1 and more.
  double utilisation(std::size_t waiting_bytes) const;
  const NodeCounts& counts() const { return counts_; }

 private:
  struct Request {
    protocol::ServeFields fields;
    std::string body;
    store::Name name;
    ClassRule rule;
    std::int64_t arrived_ms = 0;
    std::int64_t due_ms = 0;
    std::int64_t lookup_due_ms = 0;  // 0: not being looked up
    FillNumber fill = 0;
    bool joined = false;
    bool filled_again = false;
    std::shared_ptr<const store::Copy> old;  // held, but too old for this request
  };
  struct Fill {
    store::Name name;
    std::string source;
    protocol::ServeFields fields;  // of the fetch under way
    std::set<RequestNumber> waiters;
    bool shared = false;
    bool passed_on = false;  // of a class that is not kept
    std::int64_t begun_ms = 0;
    std::int64_t due_ms = 0;
    int rank = 0;
    bool keeps = true;
    std::shared_ptr<store::PartialCopy> partial;
    std::vector<bool> had;
    std::shared_ptr<const store::Copy> old;
    std::size_t bytes = 0;  // counted
  };

  std::int64_t age_limit(const Request& request) const;
  bool young_enough(const Moment& now, const Request& request, std::int64_t t0_ms) const;
  bool usable(const Moment& now, const Request& request, const store::Copy& copy) const;
  void serve_copy(const Moment& now, RequestNumber number, const store::Copy& copy, Note note,
                  std::int64_t waited_ms, std::vector<Action>& out);
  void fill(const Moment& now, RequestNumber number, std::shared_ptr<store::PartialCopy> partial,
            std::vector<Action>& out);
  void begin_fill(const Moment& now, Fill fill, std::int64_t limit_ms, const std::string& body,
                  std::vector<Action>& out);
  void renew(const Moment& now, const Request& request, const store::Copy& copy, std::vector<Action>& out);
  void fetch(FillNumber number, Fill& fill, const std::string& body, std::vector<Action>& out);
  bool part_fetched(const Moment& now, FillNumber number, Fill& fill, const FetchResult& result,
                    std::vector<Action>& out);
  bool next_hole(FillNumber number, Fill& fill, std::vector<Action>& out);
  void filled(const Moment& now, FillNumber number, const store::Copy& copy, Note source_note,
              std::vector<Action>& out);
  void fill_failed(const Moment& now, FillNumber number, const FetchResult& result, std::vector<Action>& out);
  void too_large(const Moment& now, FillNumber number, std::size_t bytes, std::vector<Action>& out);
  void pass_back(const Moment& now, FillNumber number, const FetchResult& result, std::vector<Action>& out);
  void again_or_miss(const Moment& now, RequestNumber number, Note note, std::vector<Action>& out);
  void answer(RequestNumber number, protocol::AnswerCode word, protocol::CacheAnswer fields,
              std::shared_ptr<const std::string> body, std::vector<Action>& out, protocol::Span part = {});
  void turn_away(RequestNumber number, protocol::AnswerCode word, Note note, const char* why,
                 std::vector<Action>& out);
  void leave_fill(RequestNumber number, Request& request, std::vector<Action>& out);
  Fill take_fill(FillNumber number);

  NodeRules rules_;
  ForbiddenUntil forbidden_until_;
  KnowsSource knows_source_;
  std::map<RequestNumber, Request> requests_;
  std::map<FillNumber, Fill> fills_;
  std::map<store::Key, FillNumber> shared_;
  std::set<std::pair<std::int64_t, RequestNumber>> dues_;         // of requests
  std::set<std::pair<std::int64_t, RequestNumber>> lookup_dues_;  // of their look-ups
  std::set<std::pair<std::int64_t, FillNumber>> fill_dues_;
  FillNumber last_fill_ = 0;
  std::size_t bytes_ = 0;                                         // counted for fills
  std::set<std::pair<std::string, std::string>> told_too_large_;  // items and parts
  std::int64_t unheard_before_ = INT64_MIN;
  NodeCounts counts_;
};

}  // namespace trailcourse::cache_node
