#include "scale/simulated_store_client.h"

#include <algorithm>
#include <utility>

#include "scale/store_call_sizes.h"

namespace trailcourse::scale {

using coordination::LeaseId;

namespace {

// The default backoffs of CoordinationOptions.
constexpr Micros kMinBackoff{200'000};
constexpr Micros kMaxBackoff{5'000'000};

}  // namespace

// ---- Watches ----

void WatchList::add(SimulatedStoreClient& client, std::uint64_t watch) {
  watches_[client.serial()] = Watch{&client, watch, Micros(0)};
}

void WatchList::remove(const SimulatedStoreClient& client) { watches_.erase(client.serial()); }

Micros WatchList::send_to_all(SimulatedProcess& server, const SharedWatchUpdate& update, Micros delay) {
  Micros send_at = delay;
  for (const auto& [serial, watch] : watches_) {
    send_at += to_micros(simulation_.costs.watch_event);
    send_to(server, *watch.client, update, send_at);
  }
  return send_at - delay;
}

void WatchList::send_to(SimulatedProcess& server, SimulatedStoreClient& client,
                        const SharedWatchUpdate& update, Micros delay) {
  const auto found = watches_.find(client.serial());
  if (found == watches_.end()) {
    return;
  }
  const Micros arrives_at = simulation_.events.now() + delay + simulation_.random_delay(server, client);
  Watch& watch = found->second;
  watch.last_arrival = std::max(watch.last_arrival, arrives_at);
  simulation_.events.add_at(watch.last_arrival, [this, &server, &client, update, number = watch.number,
                                                 incarnation = client.incarnation()] {
    if (simulation_.is_reachable(server, client)) {
      client.deliver(incarnation, [&client, number, update] { client.receive_update(number, update); });
    }
  });
}

// ---- The client ----

SimulatedStoreClient::SimulatedStoreClient(Simulation& simulation, std::string name, int region,
                                           std::vector<StoreServer*> servers)
    : SimulatedProcess(simulation, std::move(name), region),
      servers_(std::move(servers)),
      endpoints_(servers_.size(), kMinBackoff, kMaxBackoff, simulation.random()) {}

void SimulatedStoreClient::start_client() {
  endpoints_ =
      coordination::EndpointSelector(servers_.size(), kMinBackoff, kMaxBackoff, simulation().random());
  ++watch_number_;
  watch_open_ = false;
  open_watch();
}

void SimulatedStoreClient::send_request(StoreRequest request) {
  const auto endpoint = endpoints_.select(clock());
  if (!endpoint) {
    simulation().events.add_after(Micros(0), [this, incarnation = incarnation(), on_lost = request.on_lost] {
      deliver(incarnation, on_lost);
    });
    return;
  }
  StoreServer* server = servers_[*endpoint];
  Call call;
  call.request_bytes = request.request_bytes;
  call.response_bytes = request.response_bytes;
  call.execute = [server, execute = std::move(request.execute)] { return execute(*server); };
  const auto on_failure = [this, endpoint, on_lost = request.on_lost] {
    endpoints_.on_failure(*endpoint, clock());
    on_lost();
  };
  call.on_reply = [this, endpoint, on_failure, on_reply = std::move(request.on_reply)](const Reply& reply) {
    if (reply.unavailable) {
      on_failure();
      return;
    }
    endpoints_.on_success(*endpoint);
    if (simulation().network.watch_follows_calls && watch_open_ && watched_server_ != *endpoint) {
      reopen_watch();
    }
    on_reply(reply);
  };
  call.on_lost = on_failure;
  SimulatedProcess::call(server->process(), std::move(call));
}

void SimulatedStoreClient::request_grant(Micros ttl, std::function<void(const Reply&)> on_reply,
                                         std::function<void()> on_lost) {
  send_request({call_sizes().grant_request, call_sizes().grant_response,
                [ttl](StoreServer& server) { return server.grant(ttl); }, std::move(on_reply),
                std::move(on_lost)});
}

void SimulatedStoreClient::request_keep_alive(LeaseId lease, std::function<void(const Reply&)> on_reply,
                                              std::function<void()> on_lost) {
  send_request({call_sizes().lease_request, call_sizes().lease_response,
                [lease](StoreServer& server) { return server.keep_alive(lease); }, std::move(on_reply),
                std::move(on_lost)});
}

void SimulatedStoreClient::request_revoke(LeaseId lease, std::function<void(const Reply&)> on_reply,
                                          std::function<void()> on_lost) {
  send_request({call_sizes().lease_request, call_sizes().lease_response,
                [lease](StoreServer& server) { return server.revoke(lease); }, std::move(on_reply),
                std::move(on_lost)});
}

void SimulatedStoreClient::request_commit(coordination::Transaction transaction,
                                          std::function<void(const Reply&)> on_reply,
                                          std::function<void()> on_lost) {
  const std::size_t bytes = transaction_size(transaction);
  send_request(
      {bytes, call_sizes().write_response,
       [transaction = std::move(transaction)](StoreServer& server) { return server.commit(transaction); },
       std::move(on_reply), std::move(on_lost)});
}

// ---- The watch of a client ----

void SimulatedStoreClient::open_watch() {
  const std::uint64_t watch = ++watch_number_;
  const auto endpoint = endpoints_.select(clock());
  const auto reopen = [this, watch] {
    if (watch == watch_number_) {
      reopen_watch();
    }
  };
  if (!endpoint) {
    reopen();
    return;
  }
  watched_server_ = *endpoint;
  watched_server_incarnation_ = servers_[watched_server_]->process().incarnation();
  send_request({call_sizes().watch_request, call_sizes().watch_response,
                [this, watch](StoreServer& server) { return server.begin_watch(*this, watch); },
                [this, watch, reopen](const Reply& reply) {
                  if (watch != watch_number_ || !reply.snapshot) {
                    reopen();
                    return;
                  }
                  watch_open_ = true;
                  on_watch_update(*reply.snapshot);
                },
                reopen});
}

void SimulatedStoreClient::receive_update(std::uint64_t watch, const SharedWatchUpdate& update) {
  if (watch == watch_number_ && watch_open_) {
    on_watch_update(*update);
  }
}

bool SimulatedStoreClient::watch_reachable() const {
  const SimulatedProcess& server = servers_[watched_server_]->process();
  return server.running() && server.incarnation() == watched_server_incarnation_ &&
         simulation().is_reachable(server, *this);
}

void SimulatedStoreClient::check_watch() {
  if (!alive() || !watch_open_) {
    return;
  }
  SimulatedProcess& server = servers_[watched_server_]->process();
  if (!server.alive() || server.incarnation() != watched_server_incarnation_) {
    simulation().events.add_after(simulation().random_delay(server, *this),
                                  [this, incarnation = incarnation(), watch = watch_number_] {
                                    deliver(incarnation, [this, watch] {
                                      if (watch == watch_number_) {
                                        reopen_watch();
                                      }
                                    });
                                  });
    return;
  }
  if (watch_reachable()) {
    servers_[watched_server_]->resend_snapshot(*this);
    return;
  }
  // The timeout runs from the last heartbeat, which arrived at most one interval ago.
  const NetworkOptions& network = simulation().network;
  const Micros remaining =
      network.watch_timeout - simulation().random_duration(network.watch_heartbeat_interval);
  simulation().events.add_after(remaining, [this, incarnation = incarnation(), watch = watch_number_] {
    deliver(incarnation, [this, watch] {
      if (watch == watch_number_ && watch_open_ && !watch_reachable()) {
        reopen_watch();
      }
    });
  });
}

void SimulatedStoreClient::reopen_watch() {
  const std::uint64_t closed = ++watch_number_;
  watch_open_ = false;
  if (watch_reachable()) {
    servers_[watched_server_]->end_watch(*this);
  }
  on_watch_closed();
  simulation().events.add_after(kMinBackoff / 4, [this, incarnation = incarnation(), closed] {
    deliver(incarnation, [this, closed] {
      if (closed == watch_number_) {
        open_watch();
      }
    });
  });
}

}  // namespace trailcourse::scale
