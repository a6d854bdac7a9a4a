#include "failure_attribution.h"

namespace trailcourse {

void FailureAttribution::on_success(const Request& request, const Attempt& attempt,
                                    const AttemptEnded& ended) {
  outliers_.record_success(context_.nodes.at(attempt.node));
  if (attempt.fills() && indicates_fill(ended.note)) {
    attribute_fill(request, attempt, ended);
  }
}

void FailureAttribution::attribute_fill(const Request& request, const Attempt& attempt,
                                        const AttemptEnded& ended) {
  Node& source = context_.nodes.at(attempt.source);
  const bool from_cache = shows_holder(context_.settings, ended.note);
  if (latency_.on_time(request)) {
    outliers_.record_success(source);
    sources_.record_fill(source, true, QuotaOwner::kSource);
    sources_.record_fill(source, true, from_cache ? QuotaOwner::kSource : QuotaOwner::kOrigin);
    return;
  }
  if (loads_.overloaded(context_.nodes.at(attempt.node))) {
    return;
  }
  const bool began_soon =
      context_.settings.notes == NoteLevel::kAll && 2 * ended.source_first_byte_time < ended.latency;
  const bool by_source = source.endpoint.role == Role::kOrigin || from_cache || began_soon;
  sources_.record_fill(source, false, by_source ? QuotaOwner::kSource : QuotaOwner::kOrigin);
  if (by_source) {
    outliers_.record_failure(source, FailurePenalty::kLate);
  }
}

void FailureAttribution::on_failure(Attempt& attempt, const AttemptEnded& ended) {
  if (implicates_source(ended.note)) {
    penalise_source(attempt, ended.note);
    return;
  }
  // Without a note, the request avoids both nodes after a rejection. A broken connection gives little
  // evidence against the cache: the request may retry it, since it may have the object cached.
  const bool rejected = ended.status == Status::kFull || ended.status == Status::kNotCached;
  attempt.avoid_source = attempt.fills() && rejected && ended.note != Note::kNoFillCapacity;
  attempt.avoid_node = ended.status != Status::kReset && !attempt.revoked && (attempt.fills() || !rejected);
  if (attempt.avoid_source && ended.note == Note::kNone) {
    outliers_.record_ambiguous_rejection(context_.nodes.at(attempt.source));
  }
  penalise_node(attempt, ended.status);
}

void FailureAttribution::penalise_source(Attempt& attempt, Note note) {
  Node& source = context_.nodes.at(attempt.source);
  attempt.avoid_source = attempt.fills();
  if (note != Note::kNotAtSource) {
    const bool by_origin = note == Note::kOriginFailed;
    sources_.record_fill(source, false, by_origin ? QuotaOwner::kOrigin : QuotaOwner::kSource);
  }
  if (attempt.fills() && note == Note::kSourceUnreachable) {
    outliers_.record_failure(source, FailurePenalty::kFailure);
  }
}

void FailureAttribution::penalise_node(Attempt& attempt, Status status) {
  Node& node = context_.nodes.at(attempt.node);
  switch (status) {
    case Status::kReset:
      outliers_.record_failure(node, FailurePenalty::kReset);
      break;
    case Status::kConnectFailed:
      outliers_.record_failure(node, FailurePenalty::kNoConnection);
      break;
    case Status::kError:
    case Status::kTimeout:
      outliers_.record_failure(node, FailurePenalty::kFailure);
      break;
    default:
      break;
  }
}

bool FailureAttribution::on_overdue(Attempt& attempt) {
  Node& node = context_.nodes.at(attempt.node);
  Node& source = context_.nodes.at(attempt.source);
  const bool silent = node.health.last_success < attempt.sent;
  attempt.avoid_source = !silent && attempt.fills() && source.health.last_success < attempt.sent;
  const bool lost = !attempt.avoid_source && !fills_.fills_failing() && !loads_.overloaded(node);
  attempt.avoid_node = silent || lost;
  if (silent) {
    outliers_.eject_for_silence(node);
  } else if (attempt.avoid_source) {
    sources_.record_fill(source, false, QuotaOwner::kSource);
    outliers_.record_failure(source, FailurePenalty::kFailure);
  }
  return attempt.avoid_node || attempt.avoid_source;
}

}  // namespace trailcourse
