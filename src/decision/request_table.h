// The requests held and their attempts; a plain container, nothing is decided here.
#pragma once

#include <unordered_map>

#include "state.h"

namespace trailcourse {

class RequestTable {
 public:
  Request& add(const RequestArrived& told) {
    Request& request = requests_.insert_or_assign(told.id, Request{}).first->second;
    request.told = told;
    return request;
  }

  // A request of which anything is still out, or null.
  Request* find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }
  // One that still owes its final answer, or null.
  Request* open(RequestId id) {
    Request* request = find(id);
    return request != nullptr && request->open ? request : nullptr;
  }

  // The record goes with the last attempt.
  void forget_if_over(const Request& request) {
    if (!request.open && !request.in_flight()) {
      requests_.erase(RequestId(request.told.id));
    }
  }

 private:
  std::unordered_map<RequestId, Request> requests_;
};

}  // namespace trailcourse
