#include "cache_node/node_core.h"

#include <algorithm>
#include <utility>

#include "store/format.h"

namespace trailcourse::cache_node {

using protocol::AnswerCode;
using protocol::CacheAnswer;
using store::Copy;

namespace {

std::int64_t or_unlimited(std::int64_t limit_ms) { return limit_ms > 0 ? limit_ms : INT64_MAX; }

}  // namespace

double NodeCore::utilisation(std::size_t waiting_bytes) const {
  const auto share = [](std::size_t used, std::size_t max) {
    return static_cast<double>(used) / static_cast<double>(std::max<std::size_t>(1, max));
  };
  return std::max({share(requests_.size(), options_.max_open_requests),
                   share(fills_.size(), options_.max_fills),
                   share(bytes_ + waiting_bytes, options_.max_in_flight_bytes)});
}

void NodeCore::on_request(const EventContext& now, RequestNumber number, protocol::ServeFields fields,
                          std::string body, std::vector<Action>& out) {
  ++counts_.requests;
  const auto rule = options_.classes.find(fields.request_class);
  Request request;
  request.fields = std::move(fields);
  request.body = std::move(body);
  request.arrived_ms = now.steady_ms;
  request.deadline_ms = now.steady_ms + request.fields.limit_ms;
  request.rule = rule != options_.classes.end() ? rule->second : ClassRule{};
  request.name = store::Name::of(request.fields.request_class, request.fields.item, request.fields.chunk);
  const std::string source = request.fields.source;
  const bool cacheable = request.rule.cacheable;
  const bool known = rule != options_.classes.end();
  const bool has_item = !cacheable || !request.fields.item.empty();
  const bool body_allowed = !cacheable || request.body.empty();
  // Requests beyond these limits are rejected early: they would only wait, and delay others.
  const bool full = requests_.size() >= options_.max_open_requests ||
                    bytes_ + now.waiting_bytes >= options_.max_in_flight_bytes;
  deadlines_.emplace(request.deadline_ms, number);
  requests_.emplace(number, std::move(request));
  if (!known) {
    reject(number, AnswerCode::kError, Note::kNone, "unknown_class", out);
  } else if (!source.empty() && !knows_source_(source) && awaiting_sources_) {
    // The endpoint list has not been received yet, and the source may be on it: a miss, not an error.
    reject(number, AnswerCode::kMiss, Note::kSourceUnreachable, "source_not_known_yet", out);
  } else if (!source.empty() && !knows_source_(source)) {
    reject(number, AnswerCode::kError, Note::kNone, "unknown_source", out);
  } else if (!has_item) {
    reject(number, AnswerCode::kError, Note::kNone, "no_item", out);
  } else if (!body_allowed) {
    reject(number, AnswerCode::kError, Note::kNone, "a_body_for_a_kept_class", out);
  } else if (full) {
    reject(number, AnswerCode::kBusy, Note::kNone, "full", out);
  } else if (!cacheable) {
    fill(now, number, nullptr, out);
  } else {
    Request& open = requests_.at(number);
    open.lookup_deadline_ms = now.steady_ms + options_.lookup_timeout_ms;
    lookup_deadlines_.emplace(open.lookup_deadline_ms, number);
    out.emplace_back(Lookup{number, open.name, open.fields.keep_rank});
  }
}

std::int64_t NodeCore::age_limit(const Request& request) const {
  return or_unlimited(request.fields.age_limit_ms > 0 ? request.fields.age_limit_ms : request.rule.fresh_ms);
}

bool NodeCore::within_age_limit(const EventContext& now, const Request& request,
                                std::int64_t origin_time_ms) const {
  return now.unix_ms - origin_time_ms <= age_limit(request);
}

bool NodeCore::usable(const EventContext& now, const Request& request, const Copy& copy) const {
  return copy.origin_time_ms > purged_until_(request.name, copy.group) &&
         within_age_limit(now, request, copy.origin_time_ms);
}

// Routers always send the lifetime of the class as the limit, so only a shorter one shows that the sender
// knows of a purge. A limit that goes back to an earlier purge does not exclude a later one that the sender
// has missed as well.
bool NodeCore::purges_known(const Request& request, const Copy& copy) const {
  const std::int64_t limit_ms = request.fields.age_limit_ms;
  const bool limited_by_purge = limit_ms > 0 && limit_ms < or_unlimited(request.rule.fresh_ms);
  const bool recent = limit_ms <= options_.recent_purge_ms;
  return (limited_by_purge && recent) || copy.origin_time_ms > distrusted_before_ms_;
}

bool NodeCore::servable(const EventContext& now, const Request& request, const Copy& copy) const {
  return purges_known(request, copy) && usable(now, request, copy);
}

void NodeCore::on_lookup_result(const EventContext& now, RequestNumber number, const store::ReadResult& found,
                                std::vector<Action>& out) {
  const auto at = requests_.find(number);
  if (at == requests_.end() || at->second.lookup_deadline_ms == 0) {
    return;
  }
  Request& request = at->second;
  lookup_deadlines_.erase({request.lookup_deadline_ms, number});
  request.lookup_deadline_ms = 0;
  const bool complete = found.status == store::ReadStatus::kComplete;
  if (complete && found.copy.size() > options_.max_answer_bytes) {
    out.emplace_back(DropCopy{request.name});  // was stored while the limit was higher
    fill(now, number, nullptr, out);
    return;
  }
  if (complete) {
    const Copy& copy = found.copy;
    if (servable(now, request, copy)) {
      const std::int64_t fresh_ms = or_unlimited(request.rule.fresh_ms);
      const bool stale = now.unix_ms - copy.origin_time_ms > fresh_ms;
      ++counts_.hits;
      counts_.stale_hits += stale ? 1 : 0;
      if (stale && request.fields.renew) {
        renew(now, request, copy, out);
      }
      serve_copy(now, number, copy, stale ? Note::kStale : Note::kHit, 0, out);
      return;
    }
    ++counts_.too_old;
    // The source may answer that this copy is still current, which saves the transfer of its bytes.
    request.stale_copy = std::make_shared<const Copy>(copy);
    fill(now, number, nullptr, out);
    return;
  }
  const bool partial = found.status == store::ReadStatus::kPartial && found.partial != nullptr;
  if (partial) {
    Copy copy;
    copy.origin_time_ms = found.partial->origin_time_ms;
    copy.group = found.partial->group;
    if (servable(now, request, copy) && !request.fields.range) {
      fill(now, number, found.partial, out);
      return;
    }
  }
  fill(now, number, nullptr, out);
}

void NodeCore::serve_copy(const EventContext&, RequestNumber number, const Copy& copy, Note note,
                          std::int64_t waited_ms, std::vector<Action>& out) {
  const Request& request = requests_.at(number);
  CacheAnswer fields;
  fields.tag = copy.tag;
  fields.origin_time_ms = copy.origin_time_ms;
  fields.note = note;
  fields.waited_ms = waited_ms;
  fields.group = copy.group;
  if (const std::optional<protocol::ByteRange>& range = request.fields.range) {
    const bool within = range->from < copy.size() && range->length <= copy.size() - range->from;
    if (request.fields.expected_tag != copy.tag || !within) {
      reject(number, AnswerCode::kMiss, Note::kNotAtSource, "another_copy", out);
      return;
    }
    fields.range = range;
    fields.total_length = copy.size();
    ++counts_.range_answers;
    answer(number, AnswerCode::kOk, fields, copy.bytes, out, *range);
    return;
  }
  if (!request.fields.client_tag.empty() && request.fields.client_tag == copy.tag) {
    ++counts_.not_modified;
    answer(number, AnswerCode::kSame, fields, nullptr, out);
    return;
  }
  answer(number, AnswerCode::kOk, fields, copy.bytes, out);
}

void NodeCore::fill(const EventContext& now, RequestNumber number,
                    std::shared_ptr<store::PartialCopy> partial, std::vector<Action>& out) {
  Request& request = requests_.at(number);
  const protocol::ServeFields& fields = request.fields;
  // An only-if-cached request to a source does not start a fill from the default source.
  const std::string source = !fields.source.empty()  ? fields.source
                             : fields.only_if_cached ? std::string()
                                                     : options_.fill_from;
  if (source.empty()) {
    ++counts_.misses;
    reject(number, AnswerCode::kMiss, Note::kNone, "", out);
    return;
  }
  const auto shared = shared_.find(request.name.key);
  if (request.rule.cacheable && fields.join_fill && shared != shared_.end() && !fields.range) {
    Fill& in_progress = fills_.at(shared->second);
    if (!in_progress.fields.only_if_cached || fields.only_if_cached) {
      request.fill = shared->second;
      request.joined = true;
      in_progress.waiters.insert(number);
      ++counts_.joined;
      return;
    }
  }
  if (fills_.size() >= options_.max_fills || bytes_ + now.waiting_bytes >= options_.max_in_flight_bytes) {
    reject(number, AnswerCode::kBusy, Note::kNoFillCapacity, "no_fill_place", out);
    return;
  }
  Fill fill;
  fill.name = request.name;
  fill.source = source;
  fill.forwarded = !request.rule.cacheable;
  fill.rank = fields.keep_rank;
  // `no_copy` applies to the node that receives the request as a source. A cache whose request names a source
  // forwards the flag to that source and stores its own copy.
  fill.store_result =
      request.rule.cacheable && fields.keep_rank > 0 && (!fields.no_copy || !fields.source.empty());
  fill.waiters.insert(number);
  fill.partial = std::move(partial);
  fill.stale_copy = request.stale_copy;
  fill.fields = fields;
  fill.fields.source.clear();
  fill.fields.renew = false;
  fill.fields.range.reset();
  fill.fields.expected_tag.clear();
  if (request.rule.cacheable) {
    fill.fields.idempotency_key.clear();
    fill.fields.client_tag = fill.stale_copy && !fill.partial ? fill.stale_copy->tag : std::string();
    // The age limit excludes purged copies at the source, which may not have received the purge event yet.
    const int group = fill.stale_copy ? fill.stale_copy->group
                      : fill.partial  ? fill.partial->group
                                      : store::kNoGroup;
    const std::int64_t purged_ms = purged_until_(request.name, group);
    if (purged_ms > INT64_MIN / 2) {
      const std::int64_t since_purge_ms = std::max<std::int64_t>(1, now.unix_ms - purged_ms - 1);
      fill.fields.age_limit_ms = std::min(or_unlimited(fill.fields.age_limit_ms), since_purge_ms);
    }
  }
  const std::int64_t remaining_ms = request.deadline_ms - now.steady_ms;
  begin_fill(now, std::move(fill), remaining_ms, request.body, out);
}

void NodeCore::begin_fill(const EventContext& now, Fill fill, std::int64_t limit_ms, const std::string& body,
                          std::vector<Action>& out) {
  const FillNumber number = ++last_fill_;
  fill.begun_ms = now.steady_ms;
  fill.deadline_ms = now.steady_ms + std::max<std::int64_t>(1, limit_ms);
  fill.fields.limit_ms = std::max<std::int64_t>(1, limit_ms);
  fill.bytes = options_.expected_fill_bytes;
  bytes_ += fill.bytes;
  for (const RequestNumber waiter : fill.waiters) {
    requests_.at(waiter).fill = number;
  }
  fill.shared = !fill.forwarded && shared_.emplace(fill.name.key, number).second;
  fill_deadlines_.emplace(fill.deadline_ms, number);
  ++counts_.fills;
  Fill& added = fills_.emplace(number, std::move(fill)).first->second;
  if (added.partial) {
    added.initial_parts = added.partial->have;
    if (fetch_next_missing_range(number, added, out)) {
      return;
    }
    added.partial.reset();
  }
  fetch(number, added, body, out);
}

void NodeCore::fetch(FillNumber number, Fill& fill, const std::string& body, std::vector<Action>& out) {
  out.emplace_back(Fetch{number, fill.source, fill.fields, body});
}

// Requests the next run of missing parts from the source. Returns false if no part is missing.
bool NodeCore::fetch_next_missing_range(FillNumber number, Fill& fill, std::vector<Action>& out) {
  const auto [from, length] = fill.partial->first_missing_range();
  if (length == 0) {
    return false;
  }
  fill.fields.range = protocol::ByteRange{from, length};
  fill.fields.expected_tag = fill.partial->tag;
  fill.fields.client_tag.clear();
  fetch(number, fill, "", out);
  return true;
}

// Refreshes a stale copy in the background while it is served, with one fill at a time.
void NodeCore::renew(const EventContext& now, const Request& request, const Copy& copy,
                     std::vector<Action>& out) {
  const std::string source = !request.fields.source.empty() ? request.fields.source : options_.fill_from;
  const bool allowed = !source.empty() && fills_.size() < options_.max_fills &&
                       !shared_.contains(request.name.key) &&
                       bytes_ + now.waiting_bytes < options_.max_in_flight_bytes;
  if (!allowed) {
    return;
  }
  Fill fill;
  fill.name = request.name;
  fill.source = source;
  fill.rank = request.fields.keep_rank;
  fill.store_result = request.fields.keep_rank > 0;
  fill.stale_copy = std::make_shared<const Copy>(copy);
  fill.fields = request.fields;
  fill.fields.source.clear();
  fill.fields.renew = false;
  fill.fields.range.reset();
  fill.fields.expected_tag.clear();
  fill.fields.client_tag = copy.tag;
  fill.fields.age_limit_ms = std::max<std::int64_t>(1, request.rule.fresh_ms);
  begin_fill(now, std::move(fill), request.deadline_ms - now.steady_ms, "", out);
}

NodeCore::Fill NodeCore::remove_fill(FillNumber number) {
  const auto at = fills_.find(number);
  Fill fill = std::move(at->second);
  fills_.erase(at);
  fill_deadlines_.erase({fill.deadline_ms, number});
  bytes_ -= fill.bytes;
  if (fill.shared) {
    shared_.erase(fill.name.key);
  }
  for (const RequestNumber waiter : fill.waiters) {
    requests_.at(waiter).fill = 0;
  }
  return fill;
}

namespace {

// Returns whether a source answered OK with a body and with the time at which the origin sent the copy.
bool is_complete_answer(const FetchResult& result) {
  return result.end == FetchResult::End::kAnswered && result.code == AnswerCode::kOk && result.body &&
         result.fields.origin_time_ms > 0;
}

// Inserts the bytes of a received range into the copy and marks the parts that they cover.
void insert_range(store::PartialCopy& partial, const protocol::ByteRange& range, const std::string& bytes) {
  partial.bytes.replace(range.from, bytes.size(), bytes);
  for (std::size_t part = range.from / partial.part_bytes;
       part < partial.have.size() && part * partial.part_bytes < range.from + bytes.size(); ++part) {
    partial.have[part] = true;
  }
}

}  // namespace

void NodeCore::on_fetch_result(const EventContext& now, FillNumber number, const FetchResult& result,
                               std::vector<Action>& out) {
  const auto at = fills_.find(number);
  if (at == fills_.end()) {
    return;
  }
  Fill& fill = at->second;
  if (result.body && result.body->size() > options_.max_answer_bytes) {
    on_too_large(now, number, result.body->size(), out);
    return;
  }
  if (fill.forwarded) {
    return_source_answer(now, number, result, out);
    return;
  }
  const bool answered = result.end == FetchResult::End::kAnswered;
  const CacheAnswer& fields = result.fields;
  const std::size_t size = result.body ? result.body->size() : 0;
  counts_.fill_bytes += size;
  if (answered && result.code == AnswerCode::kSame && fill.stale_copy) {
    Copy copy = *fill.stale_copy;
    copy.origin_time_ms = std::max(copy.origin_time_ms, fields.origin_time_ms);
    on_filled(now, number, copy, fields.note, out);
    return;
  }
  if (is_complete_answer(result) && !fields.range) {
    Copy copy{fields.tag, fields.origin_time_ms, fields.group, result.body};
    fill.partial.reset();
    on_filled(now, number, copy, fields.note, out);
    return;
  }
  if (fill.partial && on_range_fetched(now, number, fill, result, out)) {
    return;
  }
  on_fill_failed(now, number, result, out);
}

// Handles the answer to a fetch of missing parts. Returns false if the fill has failed; otherwise it
// continues or is complete.
bool NodeCore::on_range_fetched(const EventContext& now, FillNumber number, Fill& fill,
                                const FetchResult& result, std::vector<Action>& out) {
  store::PartialCopy& partial = *fill.partial;
  const CacheAnswer& fields = result.fields;
  const std::optional<protocol::ByteRange> requested = fill.fields.range;
  const bool fits = is_complete_answer(result) && fields.range == requested &&
                    result.body->size() == requested->length && fields.tag == partial.tag &&
                    fields.total_length == partial.bytes.size() &&
                    fields.origin_time_ms >= partial.origin_time_ms;
  if (fits) {
    insert_range(partial, *requested, *result.body);
    if (fetch_next_missing_range(number, fill, out)) {
      return true;
    }
    // The parts may come from two different copies with the same tag; the result is then not served.
    if (store::checksum_of(partial.bytes) == partial.value_sum) {
      const Copy copy{partial.tag, partial.origin_time_ms, partial.group,
                      std::make_shared<const std::string>(partial.bytes)};
      on_filled(now, number, copy, fields.note, out);
      return true;
    }
    out.emplace_back(DropCopy{fill.name});
  }
  const bool other_copy = result.end == FetchResult::End::kAnswered &&
                          (result.code == AnswerCode::kMiss || result.code == AnswerCode::kOk);
  if (!other_copy) {
    return false;
  }
  // The source has another copy now, which is fetched completely.
  fill.partial.reset();
  fill.fields.range.reset();
  fill.fields.expected_tag.clear();
  fetch(number, fill, "", out);
  return true;
}

void NodeCore::on_filled(const EventContext& now, FillNumber number, const Copy& copy, Note source_note,
                         std::vector<Action>& out) {
  const Fill fill = remove_fill(number);
  const bool from_origin = fill.source == options_.origin || indicates_fill(source_note);
  const bool purged = copy.origin_time_ms <= purged_until_(fill.name, copy.group);
  if (fill.store_result && !purged) {
    if (fill.partial) {
      out.emplace_back(CompletePartialCopy{fill.name, fill.partial, fill.initial_parts, fill.rank});
    } else {
      out.emplace_back(StoreCopy{fill.name, copy, fill.rank});
    }
  }
  for (const RequestNumber waiter : fill.waiters) {
    Request& request = requests_.at(waiter);
    if (usable(now, request, copy)) {
      const Note note = request.joined ? Note::kJoined
                        : from_origin  ? Note::kFilledFromOrigin
                                       : Note::kFilled;
      serve_copy(now, waiter, copy, note, now.steady_ms - request.arrived_ms, out);
    } else {
      // The fill began before a purge, or the source sent a copy that is too old for this request.
      ++counts_.too_old;
      request.stale_copy = std::make_shared<const Copy>(copy);
      refill_or_miss(now, waiter, Note::kNotAtSource, out);
    }
  }
}

// Starts one more fill for this request alone, with an age limit that excludes the copy just received; after
// that the request is a miss, and the router chooses whether to try another source.
void NodeCore::refill_or_miss(const EventContext& now, RequestNumber number, Note note,
                              std::vector<Action>& out) {
  Request& request = requests_.at(number);
  if (std::exchange(request.refilled, true) || request.deadline_ms <= now.steady_ms) {
    ++counts_.misses;
    reject(number, AnswerCode::kMiss, note, "", out);
    return;
  }
  request.joined = false;
  fill(now, number, nullptr, out);
}

void NodeCore::on_fill_failed(const EventContext& now, FillNumber number, const FetchResult& result,
                              std::vector<Action>& out) {
  const Fill fill = remove_fill(number);
  const bool origin = fill.source == options_.origin;
  Note note = Note::kSourceUnreachable;
  AnswerCode code = AnswerCode::kMiss;
  bool refill = false;
  if (result.end == FetchResult::End::kAnswered) {
    switch (result.code) {
      case AnswerCode::kMiss:
        note = implicates_source(result.fields.note) ? result.fields.note : Note::kNotAtSource;
        break;
      case AnswerCode::kBusy:
        note = Note::kSourceRejected;
        break;
      case AnswerCode::kVoid:
        refill = true;  // the fill had the deadline of its first waiter; the others may have time left
        break;
      case AnswerCode::kError:
      case AnswerCode::kOk:
      case AnswerCode::kSame:
        note = origin                                  ? Note::kOriginFailed
               : implicates_source(result.fields.note) ? result.fields.note
                                                       : Note::kSourceRejected;
        code = AnswerCode::kError;
        break;
    }
  } else if (result.end == FetchResult::End::kMalformed) {
    note = origin ? Note::kOriginFailed : Note::kSourceRejected;
  }
  for (const RequestNumber waiter : fill.waiters) {
    if (refill) {
      refill_or_miss(now, waiter, note, out);
    } else {
      ++(code == AnswerCode::kError ? counts_.errors : counts_.misses);
      reject(waiter, code, note, result.fields.error_reason.c_str(), out);
    }
  }
}

// Handles an object that exceeds the limit of an answer: it counts as a failure of the origin and is not
// stored, because no node could answer with it.
void NodeCore::on_too_large(const EventContext& now, FillNumber number, std::size_t bytes,
                            std::vector<Action>& out) {
  constexpr std::size_t kMaxReported = 1'024;
  const Fill& fill = fills_.at(number);
  ++counts_.too_large;
  if (reported_too_large_.size() >= kMaxReported) {
    reported_too_large_.clear();
  }
  if (reported_too_large_.emplace(fill.fields.item, fill.fields.chunk).second) {
    out.emplace_back(ObjectTooLarge{fill.fields.item, fill.fields.chunk, bytes, options_.max_answer_bytes});
  }
  FetchResult rejection;
  rejection.code = AnswerCode::kError;
  rejection.fields.note = Note::kOriginFailed;
  rejection.fields.error_reason = "too_large";
  if (fill.forwarded) {
    return_source_answer(now, number, rejection, out);
  } else {
    on_fill_failed(now, number, rejection, out);
  }
}

// Returns the source's answer unchanged. A failed fetch is a miss only if the request was certainly not
// executed; otherwise it is an error.
void NodeCore::return_source_answer(const EventContext& now, FillNumber number, const FetchResult& result,
                                    std::vector<Action>& out) {
  const Fill fill = remove_fill(number);
  for (const RequestNumber waiter : fill.waiters) {
    CacheAnswer fields = result.fields;
    fields.load_report.clear();
    fields.waited_ms = now.steady_ms - requests_.at(waiter).arrived_ms;
    if (result.end == FetchResult::End::kAnswered) {
      fields.note = indicates_hit(fields.note) || fields.note == Note::kNone
                        ? (fill.source == options_.origin ? Note::kFilledFromOrigin : Note::kFilled)
                        : fields.note;
      fields.note = result.code == AnswerCode::kBusy ? Note::kSourceRejected : fields.note;
      const bool has_body = result.code == AnswerCode::kOk;
      answer(waiter, result.code, fields, has_body ? result.body : nullptr, out);
    } else if (result.end == FetchResult::End::kUnreachable) {
      reject(waiter, AnswerCode::kMiss, Note::kSourceUnreachable, "", out);
    } else {
      reject(waiter, AnswerCode::kError, Note::kSourceUnreachable, "", out);
    }
  }
}

void NodeCore::answer(RequestNumber number, AnswerCode code, CacheAnswer fields,
                      std::shared_ptr<const std::string> body, std::vector<Action>& out,
                      protocol::ByteRange range) {
  const auto at = requests_.find(number);
  deadlines_.erase({at->second.deadline_ms, number});
  if (at->second.lookup_deadline_ms != 0) {
    lookup_deadlines_.erase({at->second.lookup_deadline_ms, number});
  }
  requests_.erase(at);
  out.emplace_back(Answer{number, code, std::move(fields), std::move(body), range});
}

void NodeCore::reject(RequestNumber number, AnswerCode code, Note note, const char* reason,
                      std::vector<Action>& out) {
  counts_.busy += code == AnswerCode::kBusy ? 1 : 0;
  counts_.rejected += code == AnswerCode::kError && *reason != '\0' ? 1 : 0;
  CacheAnswer fields;
  fields.note = note;
  fields.error_reason = reason;
  answer(number, code, std::move(fields), nullptr, out);
}

// Removes the request from its fill, and cancels the fill if no other request waits for it.
void NodeCore::leave_fill(RequestNumber number, Request& request, std::vector<Action>& out) {
  if (request.fill == 0) {
    return;
  }
  const FillNumber fill_number = std::exchange(request.fill, 0);
  Fill& fill = fills_.at(fill_number);
  fill.waiters.erase(number);
  if (fill.waiters.empty()) {
    remove_fill(fill_number);
    out.emplace_back(StopFetch{fill_number});
  }
}

void NodeCore::cancel(const EventContext&, RequestNumber number, std::vector<Action>& out) {
  const auto at = requests_.find(number);
  if (at == requests_.end()) {
    return;
  }
  ++counts_.cancelled;
  Request& request = at->second;
  leave_fill(number, request, out);
  if (request.lookup_deadline_ms != 0) {
    lookup_deadlines_.erase({request.lookup_deadline_ms, number});
    out.emplace_back(AbandonLookup{number, false});
  }
  deadlines_.erase({request.deadline_ms, number});
  requests_.erase(at);
}

void NodeCore::tick(const EventContext& now, std::vector<Action>& out) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now.steady_ms) {
    const RequestNumber number = deadlines_.begin()->second;
    Request& request = requests_.at(number);
    ++counts_.timed_out;
    const bool may_have_run = !request.rule.cacheable && request.fill != 0;
    leave_fill(number, request, out);
    if (request.lookup_deadline_ms != 0) {
      out.emplace_back(AbandonLookup{number, false});
    }
    reject(number, may_have_run ? AnswerCode::kError : AnswerCode::kVoid, Note::kNone, "", out);
  }
  while (!lookup_deadlines_.empty() && lookup_deadlines_.begin()->first <= now.steady_ms) {
    const RequestNumber number = lookup_deadlines_.begin()->second;
    ++counts_.late_lookups;
    out.emplace_back(AbandonLookup{number, true});
    on_lookup_result(now, number, store::ReadResult{}, out);
  }
  while (!fill_deadlines_.empty() && fill_deadlines_.begin()->first <= now.steady_ms) {
    const FillNumber number = fill_deadlines_.begin()->second;
    out.emplace_back(StopFetch{number});
    FetchResult late;
    late.code = AnswerCode::kVoid;
    if (fills_.at(number).forwarded) {
      late.end = FetchResult::End::kBroken;
      return_source_answer(now, number, late, out);
    } else {
      on_fill_failed(now, number, late, out);
    }
  }
}

std::optional<std::int64_t> NodeCore::next_deadline_ms() const {
  std::int64_t first = INT64_MAX;
  for (const auto* deadlines : {&deadlines_, &lookup_deadlines_}) {
    first = deadlines->empty() ? first : std::min(first, deadlines->begin()->first);
  }
  first = fill_deadlines_.empty() ? first : std::min(first, fill_deadlines_.begin()->first);
  return first == INT64_MAX ? std::nullopt : std::optional<std::int64_t>(first);
}

}  // namespace trailcourse::cache_node
