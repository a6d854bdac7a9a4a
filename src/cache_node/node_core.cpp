#include "cache_node/node_core.h"

#include <algorithm>
#include <utility>

#include "store/format.h"

namespace trailcourse::cache_node {

using protocol::AnswerCode;
using protocol::CacheAnswer;
using store::Copy;

namespace {

std::int64_t or_endless(std::int64_t limit_ms) { return limit_ms > 0 ? limit_ms : INT64_MAX; }

}  // namespace

double NodeCore::utilisation(std::size_t waiting_bytes) const {
  const auto part = [](std::size_t used, std::size_t most) {
    return static_cast<double>(used) / static_cast<double>(std::max<std::size_t>(1, most));
  };
  return std::max({part(requests_.size(), rules_.most_open), part(fills_.size(), rules_.most_fills),
                   part(bytes_ + waiting_bytes, rules_.most_bytes)});
}

void NodeCore::arrive(const Moment& now, RequestNumber number, protocol::ServeFields fields, std::string body,
                      std::vector<Action>& out) {
  ++counts_.requests;
  const auto rule = rules_.classes.find(fields.request_class);
  Request request;
  request.fields = std::move(fields);
  request.body = std::move(body);
  request.arrived_ms = now.steady_ms;
  request.due_ms = now.steady_ms + request.fields.limit_ms;
  request.rule = rule != rules_.classes.end() ? rule->second : ClassRule{};
  request.name = store::Name::of(request.fields.request_class, request.fields.item, request.fields.chunk);
  const std::string source = request.fields.next;
  const bool kept = request.rule.kept;
  const bool known = rule != rules_.classes.end();
  const bool named = !kept || !request.fields.item.empty();
  const bool plain = !kept || request.body.empty();
  // Shed before it hurts: what is taken beyond these bounds would only wait, and make others wait.
  const bool full = requests_.size() >= rules_.most_open || bytes_ + now.waiting_bytes >= rules_.most_bytes;
  dues_.emplace(request.due_ms, number);
  requests_.emplace(number, std::move(request));
  if (!known) {
    turn_away(number, AnswerCode::kError, Note::kNone, "unknown_class", out);
  } else if (!source.empty() && !knows_source_(source) && unheard_before_ != INT64_MIN) {
    // The list of sources is yet to come: that is no fault of the request.
    turn_away(number, AnswerCode::kMiss, Note::kSourceUnreachable, "source_not_known_yet", out);
  } else if (!source.empty() && !knows_source_(source)) {
    turn_away(number, AnswerCode::kError, Note::kNone, "unknown_source", out);
  } else if (!named) {
    turn_away(number, AnswerCode::kError, Note::kNone, "no_item", out);
  } else if (!plain) {
    turn_away(number, AnswerCode::kError, Note::kNone, "a_body_for_a_kept_class", out);
  } else if (full) {
    turn_away(number, AnswerCode::kBusy, Note::kNone, "full", out);
  } else if (!kept) {
    fill(now, number, nullptr, out);
  } else {
    Request& open = requests_.at(number);
    open.lookup_due_ms = now.steady_ms + rules_.lookup_ms;
    lookup_dues_.emplace(open.lookup_due_ms, number);
    out.emplace_back(LookUp{number, open.name, open.fields.admit});
  }
}

std::int64_t NodeCore::age_limit(const Request& request) const {
  return or_endless(request.fields.age_limit_ms > 0 ? request.fields.age_limit_ms : request.rule.fresh_ms);
}

bool NodeCore::young_enough(const Moment& now, const Request& request, std::int64_t t0_ms) const {
  return now.unix_ms - t0_ms <= age_limit(request);
}

bool NodeCore::usable(const Moment& now, const Request& request, const Copy& copy) const {
  return copy.t0_ms > forbidden_until_(request.name, copy.group) && young_enough(now, request, copy.t0_ms);
}

void NodeCore::looked_up(const Moment& now, RequestNumber number, const store::ReadResult& found,
                         std::vector<Action>& out) {
  const auto at = requests_.find(number);
  if (at == requests_.end() || at->second.lookup_due_ms == 0) {
    return;
  }
  Request& request = at->second;
  lookup_dues_.erase({request.lookup_due_ms, number});
  request.lookup_due_ms = 0;
  const bool whole = found.status == store::ReadStatus::kWhole;
  if (whole && found.copy.size() > rules_.most_answer_bytes) {
    out.emplace_back(Drop{request.name});  // kept under another bound
    fill(now, number, nullptr, out);
    return;
  }
  if (whole) {
    const Copy& copy = found.copy;
    // Until the notice board was heard, see unheard_before().
    const bool vouched = request.fields.age_limit_ms > 0 || copy.t0_ms > unheard_before_;
    if (vouched && usable(now, request, copy)) {
      const std::int64_t fresh = or_endless(request.rule.fresh_ms);
      const bool aged = now.unix_ms - copy.t0_ms > fresh;
      ++counts_.hits;
      counts_.aged += aged ? 1 : 0;
      if (aged && request.fields.renew) {
        renew(now, request, copy, out);
      }
      serve_copy(now, number, copy, aged ? Note::kStale : Note::kHit, 0, out);
      return;
    }
    ++counts_.too_old;
    // The source may say that it is the one all the same, which saves its bytes.
    request.old = std::make_shared<const Copy>(copy);
    fill(now, number, nullptr, out);
    return;
  }
  const bool partial = found.status == store::ReadStatus::kPartial && found.partial != nullptr;
  if (partial) {
    Copy copy;
    copy.t0_ms = found.partial->t0_ms;
    copy.group = found.partial->group;
    const bool vouched = request.fields.age_limit_ms > 0 || copy.t0_ms > unheard_before_;
    if (vouched && usable(now, request, copy) && !request.fields.span) {
      fill(now, number, found.partial, out);
      return;
    }
  }
  fill(now, number, nullptr, out);
}

void NodeCore::serve_copy(const Moment&, RequestNumber number, const Copy& copy, Note note,
                          std::int64_t waited_ms, std::vector<Action>& out) {
  const Request& request = requests_.at(number);
  CacheAnswer fields;
  fields.tag = copy.tag;
  fields.t0_ms = copy.t0_ms;
  fields.note = note;
  fields.waited_ms = waited_ms;
  fields.group = copy.group;
  if (const std::optional<protocol::Span>& span = request.fields.span) {
    const bool within = span->from < copy.size() && span->length <= copy.size() - span->from;
    if (request.fields.match != copy.tag || !within) {
      turn_away(number, AnswerCode::kMiss, Note::kNotAtSource, "another_copy", out);
      return;
    }
    fields.span = span;
    fields.whole = copy.size();
    ++counts_.spans;
    answer(number, AnswerCode::kOk, fields, copy.bytes, out, *span);
    return;
  }
  if (!request.fields.cached.empty() && request.fields.cached == copy.tag) {
    ++counts_.same;
    answer(number, AnswerCode::kSame, fields, nullptr, out);
    return;
  }
  answer(number, AnswerCode::kOk, fields, copy.bytes, out);
}

void NodeCore::fill(const Moment& now, RequestNumber number, std::shared_ptr<store::PartialCopy> partial,
                    std::vector<Action>& out) {
  Request& request = requests_.at(number);
  const protocol::ServeFields& asked = request.fields;
  // A source that is to give only what it holds does not fill.
  const std::string source = !asked.next.empty() ? asked.next : asked.held ? std::string() : rules_.fill_from;
  if (source.empty()) {
    ++counts_.misses;
    turn_away(number, AnswerCode::kMiss, Note::kNone, "", out);
    return;
  }
  const auto shared = shared_.find(request.name.key);
  if (request.rule.kept && asked.join && shared != shared_.end() && !asked.span) {
    Fill& under_way = fills_.at(shared->second);
    if (!under_way.fields.held || asked.held) {
      request.fill = shared->second;
      request.joined = true;
      under_way.waiters.insert(number);
      ++counts_.joined;
      return;
    }
  }
  if (fills_.size() >= rules_.most_fills || bytes_ + now.waiting_bytes >= rules_.most_bytes) {
    turn_away(number, AnswerCode::kBusy, Note::kNoFillCapacity, "no_fill_place", out);
    return;
  }
  Fill fill;
  fill.name = request.name;
  fill.source = source;
  fill.passed_on = !request.rule.kept;
  fill.rank = asked.admit;
  // A source that was told so keeps no copy; a cache passes the word on and keeps its own.
  fill.keeps = request.rule.kept && asked.admit > 0 && (!asked.no_copy || !asked.next.empty());
  fill.waiters.insert(number);
  fill.partial = std::move(partial);
  fill.old = request.old;
  fill.fields = asked;
  fill.fields.next.clear();
  fill.fields.renew = false;
  fill.fields.span.reset();
  fill.fields.match.clear();
  if (request.rule.kept) {
    fill.fields.nonce.clear();
    fill.fields.cached = fill.old && !fill.partial ? fill.old->tag : std::string();
    // Purges that this node was told of bind its source, too: it may not have heard of them yet.
    const int group = fill.old ? fill.old->group : fill.partial ? fill.partial->group : store::kNoGroup;
    const std::int64_t floor = forbidden_until_(request.name, group);
    if (floor > INT64_MIN / 2) {
      const std::int64_t youngest = std::max<std::int64_t>(1, now.unix_ms - floor - 1);
      fill.fields.age_limit_ms = std::min(or_endless(fill.fields.age_limit_ms), youngest);
    }
  }
  const std::int64_t left = request.due_ms - now.steady_ms;
  begin_fill(now, std::move(fill), left, request.body, out);
}

void NodeCore::begin_fill(const Moment& now, Fill fill, std::int64_t limit_ms, const std::string& body,
                          std::vector<Action>& out) {
  const FillNumber number = ++last_fill_;
  fill.begun_ms = now.steady_ms;
  fill.due_ms = now.steady_ms + std::max<std::int64_t>(1, limit_ms);
  fill.fields.limit_ms = std::max<std::int64_t>(1, limit_ms);
  fill.bytes = rules_.expected_bytes;
  bytes_ += fill.bytes;
  for (const RequestNumber waiter : fill.waiters) {
    requests_.at(waiter).fill = number;
  }
  fill.shared = !fill.passed_on && shared_.emplace(fill.name.key, number).second;
  fill_dues_.emplace(fill.due_ms, number);
  ++counts_.fills;
  Fill& placed = fills_.emplace(number, std::move(fill)).first->second;
  if (placed.partial) {
    placed.had = placed.partial->have;
    if (next_hole(number, placed, out)) {
      return;
    }
    placed.partial.reset();
  }
  fetch(number, placed, body, out);
}

void NodeCore::fetch(FillNumber number, Fill& fill, const std::string& body, std::vector<Action>& out) {
  out.emplace_back(Fetch{number, fill.source, fill.fields, body});
}

// Asks for the next run of parts that are missing; false where none is.
bool NodeCore::next_hole(FillNumber number, Fill& fill, std::vector<Action>& out) {
  const auto [from, length] = fill.partial->hole();
  if (length == 0) {
    return false;
  }
  fill.fields.span = protocol::Span{from, length};
  fill.fields.match = fill.partial->tag;
  fill.fields.cached.clear();
  fetch(number, fill, "", out);
  return true;
}

// A copy past its fresh time is served as it is and fetched anew behind that, once at a time.
void NodeCore::renew(const Moment& now, const Request& request, const Copy& copy, std::vector<Action>& out) {
  const std::string source = !request.fields.next.empty() ? request.fields.next : rules_.fill_from;
  const bool may = !source.empty() && fills_.size() < rules_.most_fills &&
                   !shared_.contains(request.name.key) && bytes_ + now.waiting_bytes < rules_.most_bytes;
  if (!may) {
    return;
  }
  Fill fill;
  fill.name = request.name;
  fill.source = source;
  fill.rank = request.fields.admit;
  fill.keeps = request.fields.admit > 0;
  fill.old = std::make_shared<const Copy>(copy);
  fill.fields = request.fields;
  fill.fields.next.clear();
  fill.fields.renew = false;
  fill.fields.span.reset();
  fill.fields.match.clear();
  fill.fields.cached = copy.tag;
  fill.fields.age_limit_ms = std::max<std::int64_t>(1, request.rule.fresh_ms);
  begin_fill(now, std::move(fill), request.due_ms - now.steady_ms, "", out);
}

NodeCore::Fill NodeCore::take_fill(FillNumber number) {
  const auto at = fills_.find(number);
  Fill fill = std::move(at->second);
  fills_.erase(at);
  fill_dues_.erase({fill.due_ms, number});
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

// Whether a source answered OK with a body and with the time at which the origin gave out the copy.
bool is_complete_answer(const FetchResult& result) {
  return result.end == FetchResult::End::kAnswered && result.word == AnswerCode::kOk && result.body &&
         result.fields.t0_ms > 0;
}

// Puts the bytes of an answered span in their place, and marks the parts that they make up.
void fill_hole(store::PartialCopy& partial, const protocol::Span& span, const std::string& bytes) {
  partial.bytes.replace(span.from, bytes.size(), bytes);
  for (std::size_t part = span.from / partial.part_bytes;
       part < partial.have.size() && part * partial.part_bytes < span.from + bytes.size(); ++part) {
    partial.have[part] = true;
  }
}

}  // namespace

void NodeCore::fetched(const Moment& now, FillNumber number, const FetchResult& result,
                       std::vector<Action>& out) {
  const auto at = fills_.find(number);
  if (at == fills_.end()) {
    return;
  }
  Fill& fill = at->second;
  if (result.body && result.body->size() > rules_.most_answer_bytes) {
    too_large(now, number, result.body->size(), out);
    return;
  }
  if (fill.passed_on) {
    pass_back(now, number, result, out);
    return;
  }
  const bool answered = result.end == FetchResult::End::kAnswered;
  const CacheAnswer& fields = result.fields;
  const std::size_t size = result.body ? result.body->size() : 0;
  counts_.fill_bytes += size;
  if (answered && result.word == AnswerCode::kSame && fill.old) {
    Copy copy = *fill.old;
    copy.t0_ms = std::max(copy.t0_ms, fields.t0_ms);
    filled(now, number, copy, fields.note, out);
    return;
  }
  if (is_complete_answer(result) && !fields.span) {
    Copy copy{fields.tag, fields.t0_ms, fields.group, result.body};
    fill.partial.reset();
    filled(now, number, copy, fields.note, out);
    return;
  }
  if (fill.partial && part_fetched(now, number, fill, result, out)) {
    return;
  }
  fill_failed(now, number, result, out);
}

// An answer to a fill of missing parts. Returns whether the fill goes on or is over; else it has failed.
bool NodeCore::part_fetched(const Moment& now, FillNumber number, Fill& fill, const FetchResult& result,
                            std::vector<Action>& out) {
  store::PartialCopy& partial = *fill.partial;
  const CacheAnswer& fields = result.fields;
  const std::optional<protocol::Span> wanted = fill.fields.span;
  const bool fits = is_complete_answer(result) && fields.span == wanted &&
                    result.body->size() == wanted->length && fields.tag == partial.tag &&
                    fields.whole == partial.bytes.size() && fields.t0_ms >= partial.t0_ms;
  if (fits) {
    fill_hole(partial, *wanted, *result.body);
    if (next_hole(number, fill, out)) {
      return true;
    }
    // The parts may have come from two copies that bear one tag; then they are not served.
    if (store::sum_of(partial.bytes) == partial.whole_sum) {
      const Copy copy{partial.tag, partial.t0_ms, partial.group,
                      std::make_shared<const std::string>(partial.bytes)};
      filled(now, number, copy, fields.note, out);
      return true;
    }
    out.emplace_back(Drop{fill.name});
  }
  const bool other_copy = result.end == FetchResult::End::kAnswered &&
                          (result.word == AnswerCode::kMiss || result.word == AnswerCode::kOk);
  if (!other_copy) {
    return false;
  }
  // The source has another copy by now: all of it is fetched.
  fill.partial.reset();
  fill.fields.span.reset();
  fill.fields.match.clear();
  fetch(number, fill, "", out);
  return true;
}

void NodeCore::filled(const Moment& now, FillNumber number, const Copy& copy, Note source_note,
                      std::vector<Action>& out) {
  const Fill fill = take_fill(number);
  const bool deep = fill.source == rules_.origin || indicates_fill(source_note);
  const bool forbidden = copy.t0_ms <= forbidden_until_(fill.name, copy.group);
  if (fill.keeps && !forbidden) {
    if (fill.partial) {
      out.emplace_back(Complete{fill.name, fill.partial, fill.had, fill.rank});
    } else {
      out.emplace_back(Keep{fill.name, copy, fill.rank});
    }
  }
  for (const RequestNumber waiter : fill.waiters) {
    Request& request = requests_.at(waiter);
    if (usable(now, request, copy)) {
      const Note note = request.joined ? Note::kJoined : deep ? Note::kFilledFromOrigin : Note::kFilled;
      serve_copy(now, waiter, copy, note, now.steady_ms - request.arrived_ms, out);
    } else {
      // It was begun before a purge, or its source handed on what is too old for this request.
      ++counts_.too_old;
      request.old = std::make_shared<const Copy>(copy);
      again_or_miss(now, waiter, Note::kNotAtSource, out);
    }
  }
}

// One more fill of its own, with an age limit that excludes what has just come; then it is a miss. Whether to
// go elsewhere is for the router to choose.
void NodeCore::again_or_miss(const Moment& now, RequestNumber number, Note note, std::vector<Action>& out) {
  Request& request = requests_.at(number);
  if (std::exchange(request.filled_again, true) || request.due_ms <= now.steady_ms) {
    ++counts_.misses;
    turn_away(number, AnswerCode::kMiss, note, "", out);
    return;
  }
  request.joined = false;
  fill(now, number, nullptr, out);
}

void NodeCore::fill_failed(const Moment& now, FillNumber number, const FetchResult& result,
                           std::vector<Action>& out) {
  const Fill fill = take_fill(number);
  const bool origin = fill.source == rules_.origin;
  Note note = Note::kSourceUnreachable;
  AnswerCode word = AnswerCode::kMiss;
  bool again = false;
  if (result.end == FetchResult::End::kAnswered) {
    switch (result.word) {
      case AnswerCode::kMiss:
        note = implicates_source(result.fields.note) ? result.fields.note : Note::kNotAtSource;
        break;
      case AnswerCode::kBusy:
        note = Note::kSourceRejected;
        break;
      case AnswerCode::kVoid:
        again = true;  // its time was that of the first who waited
        break;
      case AnswerCode::kError:
      case AnswerCode::kOk:
      case AnswerCode::kSame:
        note = origin                                  ? Note::kOriginFailed
               : implicates_source(result.fields.note) ? result.fields.note
                                                       : Note::kSourceRejected;
        word = AnswerCode::kError;
        break;
    }
  } else if (result.end == FetchResult::End::kSpoilt) {
    note = origin ? Note::kOriginFailed : Note::kSourceRejected;
  }
  for (const RequestNumber waiter : fill.waiters) {
    if (again) {
      again_or_miss(now, waiter, note, out);
    } else {
      ++(word == AnswerCode::kError ? counts_.errors : counts_.misses);
      turn_away(waiter, word, note, result.fields.why.c_str(), out);
    }
  }
}

// No answer can hold it, at this node or at any other: it is the origin's failure, and nothing is kept.
void NodeCore::too_large(const Moment& now, FillNumber number, std::size_t bytes, std::vector<Action>& out) {
  constexpr std::size_t kMostTold = 1'024;
  const Fill& fill = fills_.at(number);
  ++counts_.too_large;
  if (told_too_large_.size() >= kMostTold) {
    told_too_large_.clear();
  }
  if (told_too_large_.emplace(fill.fields.item, fill.fields.chunk).second) {
    out.emplace_back(TooLarge{fill.fields.item, fill.fields.chunk, bytes, rules_.most_answer_bytes});
  }
  FetchResult refused;
  refused.word = AnswerCode::kError;
  refused.fields.note = Note::kOriginFailed;
  refused.fields.why = "too_large";
  if (fill.passed_on) {
    pass_back(now, number, refused, out);
  } else {
    fill_failed(now, number, refused, out);
  }
}

// What the source said goes back as it came; only where it is proven that nothing ran does a broken way say
// miss.
void NodeCore::pass_back(const Moment& now, FillNumber number, const FetchResult& result,
                         std::vector<Action>& out) {
  const Fill fill = take_fill(number);
  for (const RequestNumber waiter : fill.waiters) {
    CacheAnswer fields = result.fields;
    fields.meter.clear();
    fields.waited_ms = now.steady_ms - requests_.at(waiter).arrived_ms;
    if (result.end == FetchResult::End::kAnswered) {
      fields.note = indicates_hit(fields.note) || fields.note == Note::kNone
                        ? (fill.source == rules_.origin ? Note::kFilledFromOrigin : Note::kFilled)
                        : fields.note;
      fields.note = result.word == AnswerCode::kBusy ? Note::kSourceRejected : fields.note;
      const bool has_body = result.word == AnswerCode::kOk;
      answer(waiter, result.word, fields, has_body ? result.body : nullptr, out);
    } else if (result.end == FetchResult::End::kUnreachable) {
      turn_away(waiter, AnswerCode::kMiss, Note::kSourceUnreachable, "", out);
    } else {
      turn_away(waiter, AnswerCode::kError, Note::kSourceUnreachable, "", out);
    }
  }
}

void NodeCore::answer(RequestNumber number, AnswerCode word, CacheAnswer fields,
                      std::shared_ptr<const std::string> body, std::vector<Action>& out,
                      protocol::Span part) {
  const auto at = requests_.find(number);
  dues_.erase({at->second.due_ms, number});
  if (at->second.lookup_due_ms != 0) {
    lookup_dues_.erase({at->second.lookup_due_ms, number});
  }
  requests_.erase(at);
  out.emplace_back(Answer{number, word, std::move(fields), std::move(body), part});
}

void NodeCore::turn_away(RequestNumber number, AnswerCode word, Note note, const char* why,
                         std::vector<Action>& out) {
  counts_.busy += word == AnswerCode::kBusy ? 1 : 0;
  counts_.refused += word == AnswerCode::kError && *why != '\0' ? 1 : 0;
  CacheAnswer fields;
  fields.note = note;
  fields.why = why;
  answer(number, word, std::move(fields), nullptr, out);
}

// A fill goes on for those who still wait; the last one's leave ends it.
void NodeCore::leave_fill(RequestNumber number, Request& request, std::vector<Action>& out) {
  if (request.fill == 0) {
    return;
  }
  const FillNumber left = std::exchange(request.fill, 0);
  Fill& fill = fills_.at(left);
  fill.waiters.erase(number);
  if (fill.waiters.empty()) {
    take_fill(left);
    out.emplace_back(StopFetch{left});
  }
}

void NodeCore::cancel(const Moment&, RequestNumber number, std::vector<Action>& out) {
  const auto at = requests_.find(number);
  if (at == requests_.end()) {
    return;
  }
  ++counts_.left;
  Request& request = at->second;
  leave_fill(number, request, out);
  if (request.lookup_due_ms != 0) {
    lookup_dues_.erase({request.lookup_due_ms, number});
    out.emplace_back(GiveUpLookUp{number, false});
  }
  dues_.erase({request.due_ms, number});
  requests_.erase(at);
}

void NodeCore::tick(const Moment& now, std::vector<Action>& out) {
  while (!dues_.empty() && dues_.begin()->first <= now.steady_ms) {
    const RequestNumber number = dues_.begin()->second;
    Request& request = requests_.at(number);
    ++counts_.timed_out;
    const bool may_have_run = !request.rule.kept && request.fill != 0;
    leave_fill(number, request, out);
    if (request.lookup_due_ms != 0) {
      out.emplace_back(GiveUpLookUp{number, false});
    }
    turn_away(number, may_have_run ? AnswerCode::kError : AnswerCode::kVoid, Note::kNone, "", out);
  }
  while (!lookup_dues_.empty() && lookup_dues_.begin()->first <= now.steady_ms) {
    const RequestNumber number = lookup_dues_.begin()->second;
    ++counts_.late_lookups;
    out.emplace_back(GiveUpLookUp{number, true});
    looked_up(now, number, store::ReadResult{}, out);
  }
  while (!fill_dues_.empty() && fill_dues_.begin()->first <= now.steady_ms) {
    const FillNumber number = fill_dues_.begin()->second;
    out.emplace_back(StopFetch{number});
    FetchResult late;
    late.word = AnswerCode::kVoid;
    if (fills_.at(number).passed_on) {
      late.end = FetchResult::End::kBroken;
      pass_back(now, number, late, out);
    } else {
      fill_failed(now, number, late, out);
    }
  }
}

std::optional<std::int64_t> NodeCore::next_due() const {
  std::int64_t first = INT64_MAX;
  for (const auto* dues : {&dues_, &lookup_dues_}) {
    first = dues->empty() ? first : std::min(first, dues->begin()->first);
  }
  first = fill_dues_.empty() ? first : std::min(first, fill_dues_.begin()->first);
  return first == INT64_MAX ? std::nullopt : std::optional<std::int64_t>(first);
}

}  // namespace trailcourse::cache_node
