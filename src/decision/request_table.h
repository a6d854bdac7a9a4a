// A table of the requests in progress.
#pragma once

#include <unordered_map>

#include "request.h"

namespace trailcourse {

// Not thread-safe.
class RequestTable {
 public:
  // Adds a request. The reference is valid until the request is removed.
  Request& add(const RequestArrived& arrival) {
    Request& request = requests_.insert_or_assign(arrival.id, Request{}).first->second;
    request.arrival = arrival;
    return request;
  }

  // Returns the request if it is open or has attempts in flight, otherwise null.
  Request* find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }

  // Returns the request if its final answer has not been given yet, otherwise null.
  Request* find_open(RequestId id) {
    Request* request = find(id);
    return request != nullptr && request->open ? request : nullptr;
  }

  // Removes the request if it is answered and no attempt is in flight; `request` is then invalid.
  void remove_if_finished(const Request& request) {
    if (!request.open && !request.in_flight()) {
      requests_.erase(RequestId(request.arrival.id));
    }
  }

 private:
  std::unordered_map<RequestId, Request> requests_;
};

}  // namespace trailcourse
