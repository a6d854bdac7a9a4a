// The coordinators of rollouts and of acknowledgement rounds, the operators who propose rollouts, and the
// discovery service that publishes events.
#include "aggregation/region_world.h"
#include "aggregation/region_world_constants.h"

namespace trailcourse::aggregation {

using policy::RolloutSnapshot;
using policy::RolloutState;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

policy::RolloutTimeouts rollout_timeouts() {
  policy::RolloutTimeouts out;
  out.prepare_timeout = seconds(6);
  out.suspend_timeout = seconds(8);
  return out;
}

}  // namespace

// Returns the delay between a coordinator's decision and the arrival of its write. The store may have changed
// by then.
Micros RegionWorld::coordinator_delay() { return drawn(calm_ || chance(80) ? milliseconds(10) : seconds(4)); }

// ---- Rollouts ----

void RegionWorld::run_rollout_coordinator() {
  at(now_ + drawn(milliseconds(200)), [this] {
    if (!rollout_coordinator_ || (chance(2) && !calm_)) {
      rollout_coordinator_.emplace(rollout_timeouts());  // a successor
    }
    store_.expire(store_clock());
    publish_changes();
    if (store_.revision() >= coordinator_min_revision_) {
      coordinator_min_revision_ = store_.revision();
      advance_rollout(rollout_snapshot());
    }
    run_rollout_coordinator();
  });
}

void RegionWorld::advance_rollout(const RolloutSnapshot& snapshot) {
  const auto step = rollout_coordinator_->step(now_, snapshot);
  if (!step) {
    return;
  }
  at(now_ + coordinator_delay(),
     [this, write = policy::execute_transaction("", snapshot, *step), step = *step, snapshot] {
       store_.expire(store_clock());
       if (store_.commit(write).succeeded) {
         result_.commits += step.commit ? 1 : 0;
         result_.aborts += step.rollout.state == RolloutState::kAborted ? 1 : 0;
         result_.rollbacks += step.rollout.id != snapshot.rollout->id ? 1 : 0;
         record_versions_in_force();
       }
       publish_changes();
     });
}

void RegionWorld::propose_rollouts() {
  at(now_ + milliseconds(300) + drawn(seconds(4)), [this] {
    if (calm_) {
      return;
    }
    const RolloutSnapshot snapshot = rollout_snapshot();
    if (!store_is_restored_ && policy::check_can_begin(snapshot, chance(20))) {
      propose_rollout(snapshot);
    }
    propose_rollouts();
  });
}

void RegionWorld::propose_rollout(const RolloutSnapshot& snapshot) {
  policy::Rollout rollout;
  rollout.id = snapshot.rollout ? snapshot.rollout->id + 1 : 1;
  rollout.target_version = ++last_version_;
  rollout.previous_version = snapshot.current_version;
  if (chance(30)) {
    rollout.stages = {kZoneNames[random_() % kZoneNames.size()]};
    rollout.watch_time = milliseconds(500 + static_cast<std::int64_t>(random_() % 1'500));
    rollout.max_rejected_share = 0.5;
  }
  const auto outcome = store_.commit(policy::begin_transaction("", snapshot, rollout, "document", ""));
  result_.rollouts += outcome.succeeded ? 1 : 0;
  publish_changes();
}

// ---- Events and their acknowledgement ----

void RegionWorld::publish_events() {
  at(now_ + drawn(milliseconds(400)), [this] {
    if (calm_) {
      return;
    }
    published_.sequence += 1 + random_() % 20;
    for (RouterProcess& router : routers_) {
      if (router.running) {
        deliver_event(router);
      }
    }
    publish_events();
  });
}

void RegionWorld::deliver_event(RouterProcess& router) {
  const Micros delay = drawn(calm_ || chance(90) ? milliseconds(30) : seconds(2));
  at(now_ + delay, [this, &router, position = published_, same = same_incarnation(router)] {
    if (!same() || router.cut) {
      return;
    }
    deliver(router, [this, &router, position] {
      if (position.sequence > router.position.sequence) {
        router.position = position;
        router.participant->on_events_applied(clock(router), position);
      }
    });
  });
}

void RegionWorld::run_acknowledgement_coordinator() {
  at(now_ + drawn(milliseconds(100)), [this] {
    store_.expire(store_clock());
    publish_changes();
    if (store_.revision() >= coordinator_min_revision_) {
      const auto snapshot = policy::read_acknowledgement_snapshot(
          "", store_.commit(policy::acknowledgement_snapshot_transaction("")));
      if (const auto next = acknowledgement_coordinator_.step(now_, snapshot, published_)) {
        write_acknowledgement(policy::write_acknowledgement_transaction("", snapshot, *next), *next);
      }
    }
    run_acknowledgement_coordinator();
  });
}

void RegionWorld::write_acknowledgement(const coordination::Transaction& write,
                                        const policy::Acknowledgement& next) {
  at(now_ + coordinator_delay(), [this, write, next] {
    store_.expire(store_clock());
    if (store_.commit(write).succeeded) {
      ++result_.acknowledgement_rounds;
      completed_event_ = std::max(completed_event_, next.completed.sequence);
    }
    publish_changes();
  });
}

}  // namespace trailcourse::aggregation
