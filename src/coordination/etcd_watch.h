// One watch of an EtcdStore: reads a snapshot, follows the changes, and starts again after a disconnect.
//
// Package `coordination`, over `http`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "coordination/etcd_client.h"
#include "coordination/watch_progress.h"

namespace trailcourse::coordination {

// Why a watch was disconnected.
struct WatchFailure {
  enum class Kind {
    kConnectionEnded,
    kTimeout,          // nothing was received for `watch_silent_ms`
    kRejected,         // an HTTP status other than 200, or an error of the store
    kEndedByStore,     // the store canceled the watch
    kCompacted,        // the changes in between are not available any more
    kInvalidResponse,  // a response that cannot be used
    kOtherStore,       // see IdentityMismatch
  };
  Kind kind = Kind::kConnectionEnded;
  std::string message;  // one line, for logs
};

class EtcdWatch {
 public:
  // The observer must live until cancel() was called.
  EtcdWatch(std::shared_ptr<EtcdClient> client, Range range, WatchObserver& observer);

  // Runs the watch until it is canceled. The coroutine keeps the watch alive.
  static transport::Task<void> run(std::shared_ptr<EtcdWatch> self);
  // Ends the watch; the observer is not called any more.
  void cancel();
  // Continues on this endpoint at once, if the watch is connected to another one: a watch on an endpoint that
  // calls have left may deliver nothing for as long as it is connected.
  void move_to(std::size_t endpoint);

 private:
  transport::Task<void> run_once();
  transport::Task<void> read_snapshot();
  void on_snapshot_response(const StoreResponse<TransactionResult>& response);
  transport::Task<void> follow_changes(std::size_t endpoint);
  // Receives until the watch is canceled, moved, or disconnected; returns the failure in the last case.
  transport::Task<tl::expected<void, WatchFailure>> receive_changes();
  tl::expected<void, WatchFailure> take_received();
  tl::expected<void, WatchFailure> take_line(std::string_view line);
  tl::expected<void, WatchFailure> deliver(const etcd::WatchResponse& response);
  bool stopped() const { return canceled_ || moved_; }

  std::shared_ptr<EtcdClient> client_;
  Range range_;
  WatchObserver& observer_;
  WatchProgress progress_;
  bool canceled_ = false;
  bool moved_ = false;  // another endpoint is used for calls: the watch continues there
  transport::Signal wake_;
  std::shared_ptr<EtcdClient::EndpointConnection> connection_;
  std::string received_;       // the start of a line that is not complete
  bool any_received_ = false;  // a complete line, on this connection
};

}  // namespace trailcourse::coordination
