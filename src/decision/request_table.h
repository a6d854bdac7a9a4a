// A table of the requests that the router still answers for. It decides nothing.
#pragma once

#include <unordered_map>

#include "request.h"

namespace trailcourse {

class RequestTable {
 public:
  // Adds a request; the reference is valid until the request is forgotten.
  Request& add(const RequestArrived& arrival) {
    Request& request = requests_.insert_or_assign(arrival.id, Request{}).first->second;
    request.arrival = arrival;
    return request;
  }

  // Returns a request that is open or has attempts in flight, or null.
  Request* find(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
  }

  // Returns a request whose final answer is still owed, or null.
  Request* find_open(RequestId id) {
    Request* request = find(id);
    return request != nullptr && request->open ? request : nullptr;
  }

  // Removes the request if it is answered and no attempt is in flight; `request` is invalid then.
  void forget_if_over(const Request& request) {
    if (!request.open && !request.in_flight()) {
      requests_.erase(RequestId(request.arrival.id));
    }
  }

 private:
  std::unordered_map<RequestId, Request> requests_;
};

}  // namespace trailcourse
