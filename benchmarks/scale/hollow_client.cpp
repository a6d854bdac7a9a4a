#include "scale/hollow_client.h"

#include <algorithm>
#include <utility>

#include "scale/hollow_wire.h"

namespace trailcourse::scale {

using coordination::LeaseId;

namespace {

// CoordinationOptions' defaults.
constexpr Micros kFirstRest{200'000};
constexpr Micros kLongestRest{5'000'000};

}  // namespace

// ---- Watches ----

void WatchList::add(StoreClient& client, std::uint64_t watch) {
  watches_[client.serial()] = Watch{&client, watch, Micros(0)};
}

void WatchList::remove(const StoreClient& client) { watches_.erase(client.serial()); }

Micros WatchList::tell(Node& server, const SharedNews& news, Micros before) {
  Micros spent = before;
  for (const auto& [serial, watch] : watches_) {
    spent += micros(simulation_.costs.line);
    tell_one(server, *watch.client, news, spent);
  }
  return spent - before;
}

void WatchList::tell_one(Node& server, StoreClient& client, const SharedNews& news, Micros leaves) {
  const auto found = watches_.find(client.serial());
  if (found == watches_.end()) {
    return;
  }
  const Micros here = simulation_.events.now() + leaves + simulation_.delay(server, client);
  Watch& watch = found->second;
  watch.told_until = std::max(watch.told_until, here);
  simulation_.events.at(watch.told_until, [this, &server, &client, news, number = watch.number,
                                           incarnation = client.incarnation()] {
    if (simulation_.passes(server, client)) {
      client.deliver(incarnation, [&client, number, news] { client.hear(number, news); });
    }
  });
}

// ---- The client ----

StoreClient::StoreClient(Simulation& simulation, std::string name, int region,
                         std::vector<PermitServer*> servers)
    : Node(simulation, std::move(name), region),
      servers_(std::move(servers)),
      endpoints_(servers_.size(), kFirstRest, kLongestRest, simulation.random()) {}

void StoreClient::begin_client() {
  endpoints_ =
      coordination::EndpointSelector(servers_.size(), kFirstRest, kLongestRest, simulation().random());
  ++watch_;
  watch_open_ = false;
  open_watch();
}

void StoreClient::ask(Asking asking) {
  const auto endpoint = endpoints_.select(clock());
  if (!endpoint) {
    simulation().events.after(
        Micros(0), [this, incarnation = incarnation(), lost = asking.lost] { deliver(incarnation, lost); });
    return;
  }
  PermitServer* server = servers_[*endpoint];
  Call call;
  call.bytes_asked = asking.bytes_asked;
  call.bytes_answered = asking.bytes_answered;
  call.work = [server, work = std::move(asking.work)] { return work(*server); };
  const auto failed = [this, endpoint, lost = asking.lost] {
    endpoints_.on_failure(*endpoint, clock());
    lost();
  };
  call.answered = [this, endpoint, failed, answered = std::move(asking.answered)](const Reply& reply) {
    if (reply.unavailable) {
      failed();
      return;
    }
    endpoints_.on_success(*endpoint);
    if (simulation().network.watch_follows_calls && watch_open_ && watched_ != *endpoint) {
      watch_ended();
    }
    answered(reply);
  };
  call.lost = failed;
  Node::call(server->node(), std::move(call));
}

void StoreClient::ask_grant(Micros ttl, std::function<void(const Reply&)> answered,
                            std::function<void()> lost) {
  ask({call_sizes().grant, call_sizes().granted, [ttl](PermitServer& server) { return server.grant(ttl); },
       std::move(answered), std::move(lost)});
}

void StoreClient::ask_keep_alive(LeaseId lease, std::function<void(const Reply&)> answered,
                                 std::function<void()> lost) {
  ask({call_sizes().renewal, call_sizes().renewed,
       [lease](PermitServer& server) { return server.keep_alive(lease); }, std::move(answered),
       std::move(lost)});
}

void StoreClient::ask_revoke(LeaseId lease, std::function<void(const Reply&)> answered,
                             std::function<void()> lost) {
  ask({call_sizes().renewal, call_sizes().renewed,
       [lease](PermitServer& server) { return server.revoke(lease); }, std::move(answered), std::move(lost)});
}

void StoreClient::ask_commit(coordination::Transaction transaction,
                             std::function<void(const Reply&)> answered, std::function<void()> lost) {
  const std::size_t bytes = transaction_bytes(transaction);
  ask({bytes, call_sizes().written,
       [transaction = std::move(transaction)](PermitServer& server) { return server.commit(transaction); },
       std::move(answered), std::move(lost)});
}

// ---- Its watch ----

void StoreClient::open_watch() {
  const std::uint64_t watch = ++watch_;
  const auto endpoint = endpoints_.select(clock());
  const auto again = [this, watch] {
    if (watch == watch_) {
      watch_ended();
    }
  };
  if (!endpoint) {
    again();
    return;
  }
  watched_ = *endpoint;
  watched_incarnation_ = servers_[watched_]->node().incarnation();
  ask({call_sizes().watch, call_sizes().watch_created,
       [this, watch](PermitServer& server) { return server.begin_watch(*this, watch); },
       [this, watch, again](const Reply& reply) {
         if (watch != watch_ || !reply.news) {
           again();
           return;
         }
         watch_open_ = true;
         heard(*reply.news);
       },
       again});
}

void StoreClient::hear(std::uint64_t watch, const SharedNews& news) {
  if (watch == watch_ && watch_open_) {
    heard(*news);
  }
}

bool StoreClient::watch_reachable() const {
  const Node& server = servers_[watched_]->node();
  return server.runs() && server.incarnation() == watched_incarnation_ && simulation().passes(server, *this);
}

void StoreClient::check_watch() {
  if (!alive() || !watch_open_) {
    return;
  }
  Node& server = servers_[watched_]->node();
  if (!server.alive() || server.incarnation() != watched_incarnation_) {
    simulation().events.after(simulation().delay(server, *this),
                              [this, incarnation = incarnation(), watch = watch_] {
                                deliver(incarnation, [this, watch] {
                                  if (watch == watch_) {
                                    watch_ended();
                                  }
                                });
                              });
    return;
  }
  if (watch_reachable()) {
    servers_[watched_]->tell_again(*this);
    return;
  }
  // The last heartbeat came some time ago.
  const NetworkRules& network = simulation().network;
  const Micros rest = network.watch_silence - simulation().drawn(network.watch_heartbeat);
  simulation().events.after(rest, [this, incarnation = incarnation(), watch = watch_] {
    deliver(incarnation, [this, watch] {
      if (watch == watch_ && watch_open_ && !watch_reachable()) {
        watch_ended();
      }
    });
  });
}

void StoreClient::watch_ended() {
  const std::uint64_t ended = ++watch_;
  watch_open_ = false;
  if (watch_reachable()) {
    servers_[watched_]->end_watch(*this);
  }
  silent();
  simulation().events.after(kFirstRest / 4, [this, incarnation = incarnation(), ended] {
    deliver(incarnation, [this, ended] {
      if (ended == watch_) {
        open_watch();
      }
    });
  });
}

}  // namespace trailcourse::scale
