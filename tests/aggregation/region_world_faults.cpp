// The faults of the simulated region.
#include <utility>

#include "aggregation/region_world.h"
#include "aggregation/region_world_constants.h"

namespace trailcourse::aggregation {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing_support::VirtualProcess;

void RegionWorld::draw_faults() {
  at(now_ + drawn(milliseconds(900)), [this] {
    if (calm_) {
      return;
    }
    if (chance(50)) {
      draw_fault_of(aggregators_[random_() % aggregators_.size()]);
    } else {
      draw_fault_of(routers_[random_() % routers_.size()]);
    }
    draw_faults();
  });
}

void RegionWorld::draw_fault_of(AggregatorProcess& aggregator) {
  if (!aggregator.running) {
    return;
  }
  if (defect_ == Defect::kLeaseIdsRepeated) {
    restart(aggregator, drawn(milliseconds(300)));  // the only fault that reveals the defect
    return;
  }
  switch (random_() % 6) {
    case 0:
      pause(aggregator, drawn(seconds(8)));
      break;
    case 1:
      restart(aggregator, drawn(seconds(3)));
      break;
    case 2:
      cut_off_from_store(aggregator, drawn(seconds(8)));
      break;
    case 3:
      aggregator.cut_below = true;
      after(aggregator, drawn(seconds(5)), [&aggregator] { aggregator.cut_below = false; });
      break;
    case 4:  // the watch lags behind
      aggregator.last_delivery = std::max(aggregator.last_delivery, now_ + drawn(seconds(5)));
      break;
    default:
      aggregator.core->drain();
  }
}

void RegionWorld::draw_fault_of(RouterProcess& router) {
  switch (random_() % 4) {
    case 0:
      pause(router, drawn(seconds(6)));
      break;
    case 1:
      restart(router, Micros(0));
      break;
    case 2:
      router.cut = true;
      after(router, drawn(seconds(6)), [&router] { router.cut = false; });
      break;
    default:
      router.disk_fails = true;
      after(router, drawn(seconds(4)), [&router] { router.disk_fails = false; });
  }
}

// Each of these faults occurs at most once in a run.
void RegionWorld::draw_rare_faults() {
  if (chance(40)) {
    at(drawn(seconds(30)), [this] { cut_off_region(); });
  }
  if (chance(40)) {
    at(drawn(seconds(40)), [this] { restart_half(); });
  }
  if (chance(30)) {
    at(drawn(seconds(8)), [this] { back_up_store(); });
    at(seconds(20) + drawn(seconds(15)), [this] { restore_store(); });
  }
}

void RegionWorld::cut_off_region() {
  const Micros time = seconds(8) + drawn(seconds(7));
  for (AggregatorProcess& aggregator : aggregators_) {
    if (aggregator.running) {
      cut_off_from_store(aggregator, time);
    }
  }
}

void RegionWorld::restart_half() {
  for (AggregatorProcess& aggregator : aggregators_) {
    if (chance(50)) {
      restart(aggregator, drawn(seconds(1)));
    }
  }
  for (RouterProcess& router : routers_) {
    if (chance(50)) {
      restart(router, drawn(seconds(1)));
    }
  }
}

void RegionWorld::after(VirtualProcess& process, Micros time, Job job) {
  at(now_ + time, [job = std::move(job), same = same_incarnation(process)] {
    if (same()) {
      job();
    }
  });
}

template <typename Process>
void RegionWorld::pause(Process& process, Micros time) {
  if (!process.running || process.paused) {
    return;
  }
  process.paused = true;
  after(process, time, [this, &process] { resume(process); });
}

// Requests that waited in the router's buffers are decided as soon as it resumes, before anything else is
// read.
void RegionWorld::resume(RouterProcess& router) {
  if (router.paused) {
    handle_request(router);
    wake(router);
  }
}

// No process is started between the restoration of the store and the restart of all processes.
template <typename Process>
void RegionWorld::restart(Process& process, Micros time) {
  if (store_is_restored_ || !process.running) {
    return;
  }
  end_incarnation(process);
  at(now_ + time, [this, &process, incarnation = process.incarnation] {
    if (!process.running && process.incarnation == incarnation && !store_is_restored_) {
      start(process);
    }
  });
}

// Also used after an aggregator has drained, in region_world_aggregators.cpp.
template void RegionWorld::restart(AggregatorProcess& process, Micros time);

// Calls are lost at once. The aggregator detects later that its watch is disconnected.
void RegionWorld::cut_off_from_store(AggregatorProcess& aggregator, Micros time) {
  aggregator.cut = true;
  aggregator.watching = false;
  ++aggregator.watch_id;
  after(aggregator, drawn(seconds(3)), [&aggregator] {
    if (!aggregator.watching) {
      aggregator.core->set_connected(false);
    }
  });
  after(aggregator, time, [this, &aggregator] {
    if (aggregator.cut) {
      aggregator.cut = false;
      start_watch(aggregator);
    }
  });
}

void RegionWorld::end_faults() {
  for (AggregatorProcess& aggregator : aggregators_) {
    resume(aggregator);
    aggregator.cut_below = false;
    if (!aggregator.running) {
      start(aggregator);
    } else if (std::exchange(aggregator.cut, false)) {
      start_watch(aggregator);
    }
  }
  for (RouterProcess& router : routers_) {
    resume(router);
    end_incarnation(router);
    start(router);  // operators restart the routers whose disks were full
  }
}

}  // namespace trailcourse::aggregation
