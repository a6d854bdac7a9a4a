// The window of fills: how much sending may wait on fills at once. Where fills fail or come late, whatever
// the cause (the origin, parents, the link, a mass purge), the window shrinks; requests beyond it only ask
// for what is cached.
#pragma once

#include "idempotency.h"
#include "latency_model.h"
#include "load_shedding.h"
#include "object_table.h"
#include "purge_floors.h"
#include "running_statistics.h"

namespace trailcourse {

// Returns whether the answer shows that a parent had the object cached. Answers that do not distinguish a
// fill by way of the origin never show this.
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

  // Counts a request towards the sending that clients ask for.
  void on_request(const Request& request);

  // Returns whether the cache probably lacks the object: another cache answered last, or the copy is no
  // longer valid.
  bool probable_miss(const Request& request, int cache) const;

  // Returns whether a fill for the request would not fit the window. May draw a random number.
  bool exceeded_by(const Request& request);

  // Returns what a fill for the request reserves in the window, in seconds of sending.
  static double cost(const Request& request) { return request.work + LatencyModel::kOverhead; }

  // Reserves the fill work of an attempt that is being sent.
  void reserve(const Attempt& attempt) { reserved_ += attempt.fill_work; }

  // Releases the fill work of an attempt that ended and adapts the window to its outcome.
  void on_attempt_ended(const Request& request, const Attempt& attempt, const AttemptEnded& ended);

  // Returns whether so many fills fail or come late that the cause is a general one.
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
  Rate offered_;  // seconds of sending
  double reserved_ = 0.0;
  double window_ = kInitialWindow;  // seconds of this router's offered sending
  double failure_rate_ = 0.0;
  Micros shrunk_at_{0};

  static constexpr double kInitialWindow = 2;
};

}  // namespace trailcourse
