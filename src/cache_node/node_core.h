// Decides what a cache node does with each request: serve a stored copy, start a fill, join a fill that is in
// progress, or reject the request. Callers pass in events with their time and execute the returned actions in
// order.
//
// The router's decision module has already chosen the cache, the source of a fill, the keep rank and the age
// limit, and sends them with the request. NodeCore decides the rest: whether a copy meets the age limit,
// which requests share a fill, and which requests exceed the node's limits.
//
// Library `cache_node`: NodeCore does no I/O and reads no clock. Not thread-safe.
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

// How requests of one class are treated.
struct ClassRule {
  std::int64_t fresh_ms = 0;  // age up to which a copy is fresh; 0: until purged
  bool cacheable = true;      // false: each request is forwarded to its source; nothing is shared or stored
};

// The limits of a node and its classes.
struct NodeCoreOptions {
  std::map<std::string, ClassRule> classes;
  std::string fill_from;  // the source if a request names none; empty: the request is then a miss
  std::string origin;     // the name of the source that is the origin
  std::size_t max_open_requests = 1'024;
  std::size_t max_in_flight_bytes = 64U << 20U;  // of fills in progress and of unsent answers
  std::size_t max_fills = 64;
  std::size_t max_answer_bytes = protocol::kMaxObjectBytes;  // a larger object is answered with ERR
  std::size_t expected_fill_bytes = 64U << 10U;  // counted for a fill, whose size is not known yet
  std::int64_t lookup_timeout_ms = 150;          // after which a disk read counts as a miss
  std::int64_t recent_purge_ms = 7'000;  // age up to which a purge shows that its sender is up to date
};

// The answer of a source, or how the fetch failed.
struct FetchResult {
  enum class End {
    kAnswered,
    kUnreachable,  // the source certainly did not execute the request
    kBroken,       // the connection ended, and the source may have executed the request
    kMalformed,    // the answer was unreadable or implausible
  };
  End end = End::kAnswered;
  protocol::AnswerCode code = protocol::AnswerCode::kError;
  protocol::CacheAnswer fields;
  std::shared_ptr<const std::string> body;
};

// Answers a request.
struct Answer {
  RequestNumber request = 0;
  protocol::AnswerCode code = protocol::AnswerCode::kError;
  protocol::CacheAnswer fields;
  std::shared_ptr<const std::string> body;  // null: no body
  protocol::ByteRange range;                // of the body; length 0: the complete body
};
// Looks the name up in the store. on_lookup_result() has to follow, at once or later.
struct Lookup {
  RequestNumber request = 0;
  store::Name name;
  int rank = 0;
};
// Abandons a lookup; its result is not needed any more.
struct AbandonLookup {
  RequestNumber request = 0;
  bool timed_out = false;  // false: the request has ended
};
// Sends a request to a source. on_fetch_result() has to follow, unless StopFetch comes first.
struct Fetch {
  FillNumber fill = 0;
  std::string source;
  protocol::ServeFields fields;
  std::string body;
};
// Cancels a fetch.
struct StopFetch {
  FillNumber fill = 0;
};
// Inserts a copy into the store.
struct StoreCopy {
  store::Name name;
  store::Copy copy;
  int rank = 0;
};
// Writes the parts of a stored copy that were missing.
struct CompletePartialCopy {
  store::Name name;
  std::shared_ptr<store::PartialCopy> partial;
  std::vector<bool> initial_parts;  // by part: whether it was stored before the fill
  int rank = 0;
};
// Removes a copy from the store.
struct DropCopy {
  store::Name name;
};
// Reports an object that exceeds the limit of an answer. An object is reported again only after the list of
// reported objects was full and has been cleared.
struct ObjectTooLarge {
  std::string item;
  std::string chunk;
  std::size_t bytes = 0;
  std::size_t max_bytes = 0;
};
using Action = std::variant<Answer, Lookup, AbandonLookup, Fetch, StopFetch, StoreCopy, CompletePartialCopy,
                            DropCopy, ObjectTooLarge>;

// The time of an event and the load of the node at that time.
struct EventContext {
  std::int64_t steady_ms = 0;
  std::int64_t unix_ms = 0;       // for ages of copies
  std::size_t waiting_bytes = 0;  // of answers that are queued and not sent yet
};

// Numbers of events since the start of the node.
//
// `joined`: requests that waited for the fill of another request.
// `busy`: requests answered BUSY, because the node or their source has no capacity for them.
// `rejected`: requests answered ERR because they are invalid, or because their source gave a reason.
// `late_lookups`: disk reads that exceeded their timeout and counted as misses.
// `too_old`: copies that a request could not use because of a purge or its age limit.
struct NodeCounts {
  std::uint64_t requests = 0, hits = 0, stale_hits = 0, not_modified = 0, misses = 0, fills = 0, joined = 0,
                busy = 0, rejected = 0;
  std::uint64_t errors = 0, late_lookups = 0, timed_out = 0, cancelled = 0, too_old = 0, range_answers = 0,
                fill_bytes = 0, too_large = 0;
};

// The state of all open requests and fills of a node.
class NodeCore {
 public:
  // Returns the Unix time in milliseconds of the latest purge of a name or its group: copies up to that time
  // must not be served. A value below INT64_MIN / 2 means that there was no purge.
  using PurgedUntil = std::function<std::int64_t(const store::Name&, int group)>;
  // Returns whether a source of that name is known.
  using KnowsSource = std::function<bool(const std::string&)>;

  NodeCore(NodeCoreOptions options, PurgedUntil purged_until, KnowsSource knows_source)
      : options_(std::move(options)),
        purged_until_(std::move(purged_until)),
        knows_source_(std::move(knows_source)) {}

  // Each of the following appends the resulting actions to `out`.

  // A request has arrived. Exactly one Answer follows, unless it is cancelled. `request` must be new.
  void on_request(const EventContext& now, RequestNumber request, protocol::ServeFields fields,
                  std::string body, std::vector<Action>& out);
  // The result of a Lookup. Ignored if the lookup was abandoned.
  void on_lookup_result(const EventContext& now, RequestNumber request, const store::ReadResult& found,
                        std::vector<Action>& out);
  // The result of a Fetch. Ignored if the fill has ended.
  void on_fetch_result(const EventContext& now, FillNumber fill, const FetchResult& result,
                       std::vector<Action>& out);
  // The router cancelled the request, or its connection ended: no Answer follows.
  void cancel(const EventContext& now, RequestNumber request, std::vector<Action>& out);
  // Ends the requests, lookups and fills whose deadline has passed.
  void tick(const EventContext& now, std::vector<Action>& out);
  // Returns the steady time at which tick() is needed next; nothing if nothing is pending.
  std::optional<std::int64_t> next_deadline_ms() const;

  // Serves copies from before `started_unix_ms` only to requests with an age limit that is below the lifetime
  // of their class and at most `recent_purge_ms`, until trust_all_copies(). Needed after a start until purge
  // events arrive: this node may have missed a purge while it was down, and a router that knows of the purge
  // sends such a limit.
  void distrust_copies_before(std::int64_t started_unix_ms) { distrusted_before_ms_ = started_unix_ms; }
  void trust_all_copies() { distrusted_before_ms_ = INT64_MIN; }

  // Sets whether the list of sources is still expected, so that an unknown source is a miss and not an error.
  void set_awaiting_sources(bool awaiting) { awaiting_sources_ = awaiting; }

  // Returns the number of open requests.
  std::size_t open_requests() const { return requests_.size(); }
  std::size_t fills() const { return fills_.size(); }
  // Returns the highest ratio of use to limit among open requests, fills and bytes in flight; from 1 on,
  // requests are rejected.
  double utilisation(std::size_t waiting_bytes) const;
  const NodeCounts& counts() const { return counts_; }

 private:
  struct Request {
    protocol::ServeFields fields;
    std::string body;
    store::Name name;
    ClassRule rule;
    std::int64_t arrived_ms = 0;
    std::int64_t deadline_ms = 0;
    std::int64_t lookup_deadline_ms = 0;  // 0: no lookup is in progress
    FillNumber fill = 0;                  // that it waits for; 0: none
    bool joined = false;
    bool refilled = false;                          // refill_or_miss() has started a second fill
    std::shared_ptr<const store::Copy> stale_copy;  // stored, but too old for this request
  };
  struct Fill {
    store::Name name;
    std::string source;
    protocol::ServeFields fields;  // of the fetch in progress
    std::set<RequestNumber> waiters;
    bool shared = false;     // other requests may join
    bool forwarded = false;  // of a class that is not cacheable
    std::int64_t begun_ms = 0;
    std::int64_t deadline_ms = 0;
    int rank = 0;
    bool store_result = true;
    std::shared_ptr<store::PartialCopy> partial;
    std::vector<bool> initial_parts;
    std::shared_ptr<const store::Copy> stale_copy;
    std::size_t bytes = 0;  // counted in bytes_
  };

  std::int64_t age_limit(const Request& request) const;
  bool within_age_limit(const EventContext& now, const Request& request, std::int64_t origin_time_ms) const;
  bool usable(const EventContext& now, const Request& request, const store::Copy& copy) const;
  // Returns whether the purges that could exclude a stored copy are known here or to the sender of the
  // request; see distrust_copies_before().
  bool purges_known(const Request& request, const store::Copy& copy) const;
  // Returns whether a stored copy may answer the request.
  bool servable(const EventContext& now, const Request& request, const store::Copy& copy) const;
  void serve_copy(const EventContext& now, RequestNumber number, const store::Copy& copy, Note note,
                  std::int64_t waited_ms, std::vector<Action>& out);
  // Joins a fill in progress or starts one. Without a source the request is a miss, beyond a limit BUSY.
  void fill(const EventContext& now, RequestNumber number, std::shared_ptr<store::PartialCopy> partial,
            std::vector<Action>& out);
  void begin_fill(const EventContext& now, Fill fill, std::int64_t limit_ms, const std::string& body,
                  std::vector<Action>& out);
  void renew(const EventContext& now, const Request& request, const store::Copy& copy,
             std::vector<Action>& out);
  void fetch(FillNumber number, Fill& fill, const std::string& body, std::vector<Action>& out);
  bool on_range_fetched(const EventContext& now, FillNumber number, Fill& fill, const FetchResult& result,
                        std::vector<Action>& out);
  bool fetch_next_missing_range(FillNumber number, Fill& fill, std::vector<Action>& out);
  void on_filled(const EventContext& now, FillNumber number, const store::Copy& copy, Note source_note,
                 std::vector<Action>& out);
  void on_fill_failed(const EventContext& now, FillNumber number, const FetchResult& result,
                      std::vector<Action>& out);
  void on_too_large(const EventContext& now, FillNumber number, std::size_t bytes, std::vector<Action>& out);
  void return_source_answer(const EventContext& now, FillNumber number, const FetchResult& result,
                            std::vector<Action>& out);
  void refill_or_miss(const EventContext& now, RequestNumber number, Note note, std::vector<Action>& out);
  void answer(RequestNumber number, protocol::AnswerCode code, protocol::CacheAnswer fields,
              std::shared_ptr<const std::string> body, std::vector<Action>& out,
              protocol::ByteRange range = {});
  void reject(RequestNumber number, protocol::AnswerCode code, Note note, const char* reason,
              std::vector<Action>& out);
  void leave_fill(RequestNumber number, Request& request, std::vector<Action>& out);
  Fill remove_fill(FillNumber number);

  NodeCoreOptions options_;
  PurgedUntil purged_until_;
  KnowsSource knows_source_;
  std::map<RequestNumber, Request> requests_;
  std::map<FillNumber, Fill> fills_;
  std::map<store::Key, FillNumber> shared_;                            // fills that other requests may join
  std::set<std::pair<std::int64_t, RequestNumber>> deadlines_;         // of requests
  std::set<std::pair<std::int64_t, RequestNumber>> lookup_deadlines_;  // of their lookups
  std::set<std::pair<std::int64_t, FillNumber>> fill_deadlines_;
  FillNumber last_fill_ = 0;
  std::size_t bytes_ = 0;                                             // counted for fills in progress
  std::set<std::pair<std::string, std::string>> reported_too_large_;  // item and chunk
  std::int64_t distrusted_before_ms_ = INT64_MIN;
  bool awaiting_sources_ = false;
  NodeCounts counts_;
};

}  // namespace trailcourse::cache_node
