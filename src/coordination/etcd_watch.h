// One watch of an EtcdStore. It reads a snapshot, follows the changes, and reconnects after a failure.
//
// Library `coordination`, over `http`. Not thread-safe: it belongs to its scheduler's thread.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "coordination/etcd_client.h"
#include "coordination/watch_progress.h"

namespace trailcourse::coordination {

// The reason why a watch was disconnected.
struct WatchFailure {
  enum class Kind {
    kConnectionEnded,
    kTimeout,          // nothing was received for `watch_silent_ms`
    kRejected,         // the response has an HTTP status other than 200, or is an error
    kEndedByStore,     // the store canceled the watch
    kCompacted,        // changes that the watch has not received were compacted
    kInvalidResponse,  // a response is malformed or out of the watch's range
    kOtherStore,       // see IdentityMismatch
  };
  Kind kind = Kind::kConnectionEnded;
  std::string message;  // one line, for logs
};

// Has to be owned by a shared_ptr, which run() keeps until the watch is canceled.
class EtcdWatch {
 public:
  // The observer must live until cancel() is called.
  EtcdWatch(std::shared_ptr<EtcdClient> client, Range range, WatchObserver& observer);

  // Runs the watch until cancel() is called. The coroutine keeps the watch alive.
  static transport::Task<void> run(std::shared_ptr<EtcdWatch> self);
  // Ends the watch; the observer is not called any more.
  void cancel();
  // Reconnects to this endpoint at once if the watch is connected to another one. Calls leave an endpoint
  // that fails, and a watch of such an endpoint may receive nothing while its connection stays open.
  void move_to(std::size_t endpoint);

 private:
  transport::Task<void> run_once();
  transport::Task<void> read_snapshot();
  void on_snapshot_response(const StoreResponse<TransactionResult>& response);
  transport::Task<void> follow_changes(std::size_t endpoint);
  // Receives changes until the watch is canceled, moved or disconnected. Returns the failure in the last
  // case.
  transport::Task<tl::expected<void, WatchFailure>> receive_changes();
  tl::expected<void, WatchFailure> process_received();
  tl::expected<void, WatchFailure> process_line(std::string_view line);
  tl::expected<void, WatchFailure> deliver(const etcd::WatchResponse& response);
  bool stopped() const { return canceled_ || moved_; }

  std::shared_ptr<EtcdClient> client_;
  Range range_;
  WatchObserver& observer_;
  WatchProgress progress_;
  bool canceled_ = false;
  bool moved_ = false;  // to the endpoint that is used for calls now
  transport::Signal wake_;
  std::shared_ptr<EtcdClient::EndpointConnection> connection_;
  std::string received_;       // the start of an incomplete line
  bool any_received_ = false;  // a complete line was received on this connection
};

}  // namespace trailcourse::coordination
