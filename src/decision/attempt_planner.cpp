#include "attempt_planner.h"

#include <vector>

namespace trailcourse {

int AttemptPlanner::select_target(const Request& request) {
  const std::vector<int>& origins = context_.nodes.members(Role::kOrigin);
  const bool direct = context_.settings.direct && !context_.cacheable(request) && !origins.empty() &&
                      idempotency_.may_send(request, context_.nodes.at(origins.front()));
  return direct ? origins.front() : caches_.select(request);
}

Attempt AttemptPlanner::plan(const Request& request, int target) {
  Attempt attempt;
  attempt.node = target;
  attempt.source = target;
  if (context_.nodes.at(target).endpoint.role != Role::kCache) {
    return attempt;
  }
  const bool miss = fills_.probable_miss(request, target);
  const bool beyond_window = miss && fills_.exceeded_by(request);
  attempt.source = sources_.select(request, target);
  attempt.only_if_cached = beyond_window || !attempt.fills();
  if (beyond_window && !may_ask_parent(target, attempt.source)) {
    attempt.source = target;
  }
  attempt.fill_work = miss && !attempt.only_if_cached ? FillWindow::cost(request) : 0.0;
  return attempt;
}

bool AttemptPlanner::may_ask_parent(int target, int source) const {
  const Node& node = context_.nodes.at(source);
  return !loads_.overloaded(context_.nodes.at(target)) && !loads_.link_busy() &&
         node.endpoint.role == Role::kParent && outliers_.healthy(node);
}

SendAttempt AttemptPlanner::action(const Request& request, const Attempt& attempt) const {
  SendAttempt send;
  send.id = request.arrival.id;
  send.cache = context_.nodes.at(attempt.node).endpoint.address;
  send.source = context_.nodes.at(attempt.source).endpoint.address;
  send.timeout = request.arrival.deadline - context_.now;
  if (context_.cacheable(request)) {
    const bool first = request.attempts.empty();
    send.keep_rank = request.keep_rank;
    send.max_age = purges_.max_age(request, fills_.fills_failing() || !first);
    send.join_fill = context_.settings.can_join_fills && first;
    send.only_if_cached = attempt.only_if_cached && attempt.fills();
  }
  return send;
}

}  // namespace trailcourse
