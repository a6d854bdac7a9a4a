// A router's side of the fleet's policy, carried out: what the store tells, the permission, versions on disk,
// and what the router is told to make of each request that arrives.
//
// Package `tasks`, over `coordination`, `policy` and `routing`. One thread; the disk's work runs elsewhere.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "coordination/shared_store.h"
#include "policy/holder.h"
#include "policy/options.h"
#include "protocol/settings.h"
#include "routing/router.h"
#include "store/executor.h"
#include "transport/alarm.h"
#include "transport/deferred.h"
#include "transport/mailbox.h"

namespace trailcourse::tasks {

class PolicyClient : public coordination::Watcher {
 public:
  struct Self {
    std::string name;
    std::string incarnation;
    std::string zone;
    std::int64_t open_requests = 0;  // that this router's memory and sockets bear
  };
  // Told which kinds of work the version in force allows.
  using WorkAllowed = std::function<void(std::optional<std::set<std::string>> kinds)>;

  PolicyClient(transport::Scheduler& scheduler, coordination::SharedStore& store,
               const policy::PolicyOptions& options, std::string prefix, Self self,
               const protocol::Profile& profile, routing::Router& router, WorkAllowed allowed);
  ~PolicyClient() override;

  void start();
  // All events of the notice board up to here are taken in.
  void took_in(const policy::BoardPosition& position);
  // Gives its permission back: a change need not wait for this router. It decides under none from then on.
  void stop();
  bool stopped() const { return !stopping_ || holder_.stopped(); }
  // Whether requests may be taken: it knows what is in force.
  bool ready() const;
  // One object of JSON.
  std::string status() const;

  void current(coordination::Revision revision, const std::vector<coordination::Entry>& entries) override;
  void changed(coordination::Revision revision, const std::vector<coordination::Change>& changes) override;
  void silent(const std::string& why) override;
  void heard() override;

 private:
  static Micros now();
  void apply(const std::string& key, const std::string& value, coordination::Revision modified);
  void tell();
  void turn();
  void turn_soon() { next_turn_.post(); }
  void carry_out(const policy::AskPermission& ask);
  void carry_out(const policy::SayPermit& say);
  void carry_out(const policy::KeepDocument& keep);
  void join(const policy::AskPermission& ask, coordination::LeaseId lease);
  std::string judge(std::uint64_t version) const;
  routing::Rule rule(int request_class);
  // The classes of a ruling among the module's, made when it is first asked for.
  struct Set {
    std::size_t first = 0;
    policy::Content content;
  };
  const Set& set_of(const policy::Ruling& ruling);
  policy::Content content_of(std::uint64_t version) const;
  void note_version();

  transport::Scheduler& scheduler_;
  coordination::SharedStore& store_;
  policy::PolicyOptions options_;
  std::string prefix_;
  Self self_;
  const protocol::Profile& profile_;
  routing::Router& router_;
  WorkAllowed allowed_;
  transport::Mailbox mailbox_;
  std::unique_ptr<store::IoPool> pool_;
  std::map<std::uint64_t, policy::Document> documents_;
  std::map<std::uint64_t, std::string> unreadable_;
  std::map<std::string, coordination::Entry> keys_;  // under policy/
  policy::Holder holder_;
  coordination::LeaseId lease_ = 0;
  coordination::SharedStore::WatchId watch_ = 0;
  std::map<std::pair<std::uint64_t, std::uint64_t>, Set> sets_;
  std::uint64_t next_set_ = 1;
  std::vector<std::string> names_;  // by the settings' places
  std::uint64_t told_version_ = UINT64_MAX;
  policy::Standing told_standing_ = policy::Standing::kOutside;
  transport::Alarm timer_;
  transport::Deferred next_turn_;
  bool stopping_ = false;
  bool turning_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace trailcourse::tasks
