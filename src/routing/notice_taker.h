// Takes the notice board's pages in: changes of the list and purges become the module's events, addresses go
// to the directory.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "protocol/notice_board.h"
#include "routing/directory.h"
#include "routing/notice_sink.h"
#include "routing/router.h"

namespace trailcourse::routing {

class NoticeTaker : public NoticeSink {
 public:
  // `unwanted` is called with the name of a cache that is gone or has moved.
  using Unwanted = std::function<void(const std::string&)>;

  NoticeTaker(Router& router, Directory& directory, Unwanted unwanted)
      : router_(router), directory_(directory), unwanted_(std::move(unwanted)) {}

  void take(const protocol::NoticePage& page) override;

  // Lists go there instead of to the router, as where a gate stands before the decision module.
  using ListTo = std::function<void(EndpointListReceived)>;
  void lists_to(ListTo to) { list_to_ = std::move(to); }

  // The number of the last event taken in.
  std::uint64_t last() const override { return last_; }
  // Caches known before stay until the new list says otherwise; purges go on binding.
  void forget_numbers() override {
    last_ = 0;
    listed_ = false;
  }
  // Whether any cache is up: before that no request can be served.
  bool ready() const { return !up_.empty(); }

 private:
  void take(const protocol::PoolNotice& pool);
  void take(const protocol::FlushNotice& flush);
  bool place(const protocol::ListedCache& cache);
  void leave_out(const std::string& name);

  Router& router_;
  Directory& directory_;
  Unwanted unwanted_;
  ListTo list_to_;
  std::uint64_t last_ = 0;
  bool listed_ = false;
  std::map<std::string, std::pair<NodeState, std::int64_t>> known_;  // state and start of those listed
  std::set<std::string> up_;
};

}  // namespace trailcourse::routing
