// The fill window limits the sending work that may wait for fills at once. It shrinks while fills fail or are
// late, for any cause (the origin, parents, the link, a mass purge). Requests that do not fit it accept
// only cached copies.
#pragma once

#include "idempotency.h"
#include "latency_model.h"
#include "load_shedding.h"
#include "object_table.h"
#include "purge_floors.h"
#include "running_statistics.h"

namespace trailcourse {

// Returns whether the answer shows that a parent had the object cached. Below NoteLevel::kAll no answer shows
// this, since notes do not distinguish fills from the origin.
inline bool shows_holder(const Settings& settings, Note note) {
  return note == Note::kFilled && settings.notes == NoteLevel::kAll;
}

class FillWindow {
 public:
  // The arguments have to outlive this object.
  FillWindow(DecisionContext& context, const IdempotencyRules& idempotency, const LatencyModel& latency,
             const LoadShedding& shedding, const PurgeFloors& purges, const ObjectTable& objects)
      : context_(context),
        idempotency_(idempotency),
        latency_(latency),
        shedding_(shedding),
        purges_(purges),
        objects_(objects) {}

  // Counts a request towards the offered rate.
  void on_request(const Request& request);

  // Returns whether the cache probably lacks the object: this router has no record of an answer, another
  // cache gave the last answer, or the copy may no longer answer.
  bool probable_miss(const Request& request, int cache) const;

  // Returns whether a fill for the request does not fit the window. May draw a random number: a fill larger
  // than an empty window is admitted with a probability, so that recovery is noticed.
  bool exceeded_by(const Request& request);

  // Returns what a fill for the request reserves in the window, in seconds of sending.
  static double cost(const Request& request) { return request.work + LatencyModel::kOverhead; }

  // Reserves the fill work of an attempt that is being sent.
  void reserve(const Attempt& attempt) { reserved_ += attempt.fill_work; }

  // Releases the reserved fill work of an attempt that ended, and adapts the window to the outcome.
  void on_attempt_ended(const Request& request, const Attempt& attempt, const AttemptEnded& ended);

  // Returns whether so many fills fail or are late that the cause is not a single node.
  bool fills_failing() const;

 private:
  double offered() const;
  bool concerns_fill(const Request& request, const Attempt& attempt, const AttemptEnded& ended) const;
  void adapt(const Attempt& attempt, bool good);

  DecisionContext& context_;
  const IdempotencyRules& idempotency_;
  const LatencyModel& latency_;
  const LoadShedding& shedding_;
  const PurgeFloors& purges_;
  const ObjectTable& objects_;
  Rate offered_;                    // in seconds of sending
  double reserved_ = 0.0;           // seconds of sending that wait for fills now
  double window_ = kInitialWindow;  // seconds; multiplied by the offered rate
  double failure_rate_ = 0.0;       // smoothed share of fills that failed or were late
  Micros shrunk_at_{0};

  static constexpr double kInitialWindow = 2;  // seconds
};

}  // namespace trailcourse
