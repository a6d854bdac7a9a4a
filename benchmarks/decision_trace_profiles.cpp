#include "decision_trace_profiles.h"

namespace trailcourse::decision_trace {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<ClassSettings> classes() {
  ClassSettings video;
  video.latency_objective = milliseconds(600);
  video.latency_objective_stretch = 1.6;
  video.give_up_after = seconds(6);
  ClassSettings image = video;
  image.lifetime = seconds(20);
  image.grace = seconds(20);
  ClassSettings write = video;
  write.idempotency = Idempotency::kUnsafe;
  write.uncached = true;
  ClassSettings keyed = write;
  keyed.idempotency = Idempotency::kKeyed;
  keyed.idempotency_window = seconds(3);
  ClassSettings keyed_in_zone = keyed;
  keyed_in_zone.retry_scope = RetryScope::kZone;
  ClassSettings keyed_in_cell = keyed;
  keyed_in_cell.retry_scope = RetryScope::kCell;
  return {video, image, image, write, keyed, keyed_in_zone, keyed_in_cell};
}

Settings plain_settings() {
  Settings settings;
  settings.self_index = 1;
  settings.zone = "here";
  settings.routers = 6;
  settings.routers_in_zone = 3;
  settings.weights_are_sizes = true;
  settings.notes = NoteLevel::kAll;
  settings.stream_kb_per_s = 1'000.0;
  settings.max_attempts = 6;
  settings.may_cancel = true;
  settings.parallel_attempts = true;
  settings.max_retry_after = seconds(1);
  settings.answer_slack = milliseconds(50);
  settings.can_join_fills = true;
  settings.drain_grace = milliseconds(500);
  settings.purge_grace = milliseconds(300);
  settings.purge_done = seconds(6);
  settings.slow_start_from = 0.2;
  settings.slow_start_span = seconds(14);
  settings.overload_factor = 2.5;
  settings.overload_span = seconds(3);
  settings.parent_slow_start_from = 0.1;
  settings.parent_slow_start_span = seconds(20);
  settings.parent_overload_factor = 2.0;
  settings.classes = classes();
  return settings;
}

}  // namespace

std::vector<Profile> profiles() {
  Profile plain{.name = "plain", .settings = plain_settings()};
  Profile one_at_a_time = plain;
  one_at_a_time.name = "one attempt at a time";
  one_at_a_time.settings.parallel_attempts = false;
  one_at_a_time.settings.notes = NoteLevel::kHit;
  Profile bare = plain;
  bare.name = "no notes, no cancel";
  bare.settings.notes = NoteLevel::kNone;
  bare.settings.may_cancel = false;
  bare.settings.must_subscribe = true;
  bare.settings.can_join_fills = false;
  bare.settings.max_retry_after = Micros(0);
  bare.settings.self_index = -1;
  Profile direct = plain;
  direct.name = "direct writes";
  direct.settings.direct = true;
  direct.settings.weights_are_sizes = false;
  direct.mean_request_interval = Micros(20'000);
  Profile restarts = plain;
  restarts.name = "many restarts";
  restarts.restart_share = 0.4;
  restarts.settings.routers = 40;
  restarts.settings.routers_in_zone = 20;
  Profile many_objects = plain;
  many_objects.name = "more objects than entries";
  many_objects.objects = 400'000;
  many_objects.mean_size_kb = 15.0;
  many_objects.mean_request_interval = Micros(1'000);
  Profile overload = plain;
  overload.name = "overload";
  overload.mean_request_interval = Micros(2'000);
  overload.mean_size_kb = 400.0;
  Profile parentless = plain;
  parentless.name = "no parents";
  parentless.parents = 0;
  parentless.settings.slow_start_span = Micros(0);
  Profile single_attempt = plain;
  single_attempt.name = "one attempt, no origin";
  single_attempt.origins = 0;
  single_attempt.settings.max_attempts = 1;
  single_attempt.settings.overload_factor = 0.0;
  Profile large = plain;
  large.name = "more nodes than slots";
  large.caches = 4'500;
  large.event_share = 0.02;
  return {plain,        one_at_a_time, bare,       direct,         restarts,
          many_objects, overload,      parentless, single_attempt, large};
}

}  // namespace trailcourse::decision_trace
