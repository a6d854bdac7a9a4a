#include "http_clients.h"

#include <arpa/inet.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <string_view>
#include <system_error>
#include <utility>

#include "protocol/discovery_page.h"

namespace trailcourse::scale {

using transport::Descriptor;

namespace {

constexpr int kEpollTimeoutMs = 20;
constexpr std::size_t kReadBytes = 65'536;

Descriptor connect_to(const transport::Address& server) {
  Descriptor socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(server.ip);
  address.sin_port = htons(server.port);
  if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw std::system_error(errno, std::generic_category(), "connect to " + transport::to_string(server));
  }
  return socket;
}

// Sends all bytes, or stops at an error.
void send_all(const Descriptor& socket, std::string_view bytes, ClientCounts& counts) {
  counts.bytes_out += bytes.size();
  while (!bytes.empty()) {
    const ssize_t sent = ::send(socket.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
}

// Returns the received bytes, at most kReadBytes; empty if there are none or the connection is closed.
std::string_view receive(const Descriptor& socket, int flags, ClientCounts& counts) {
  static thread_local std::array<char, kReadBytes> buffer;
  const ssize_t count = ::recv(socket.get(), buffer.data(), buffer.size(), flags);
  if (count <= 0) {
    return {};
  }
  counts.bytes_in += static_cast<std::uint64_t>(count);
  return {buffer.data(), static_cast<std::size_t>(count)};
}

void watch_for_input(const Descriptor& epoll, const Descriptor& socket, std::size_t index) {
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.u64 = index;
  ::epoll_ctl(epoll.get(), EPOLL_CTL_ADD, socket.get(), &event);
}

// Returns the indexes of the readable sockets; empty if there are none within kEpollTimeoutMs.
std::vector<std::size_t> wait_for_input(const Descriptor& epoll) {
  std::array<epoll_event, 256> events;
  const int count =
      ::epoll_wait(epoll.get(), events.data(), static_cast<int>(events.size()), kEpollTimeoutMs);
  std::vector<std::size_t> out;
  for (int i = 0; i < count; ++i) {
    out.push_back(events[static_cast<std::size_t>(i)].data.u64);
  }
  return out;
}

// Returns the sequence number of the last event of a page, which is the last "rev" field; 0 if there is none.
std::uint64_t last_event_of(const std::string& page) {
  constexpr std::string_view kField = "\"rev\":";
  const std::size_t at = page.rfind(kField);
  return at == std::string::npos ? 0 : std::strtoull(page.c_str() + at + kField.size(), nullptr, 10);
}

}  // namespace

// ---- Polls of a discovery server ----

PollingClients::PollingClients(const transport::Address& server, int clients, int long_poll_ms)
    : server_(server),
      long_poll_ms_(long_poll_ms),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      clients_(static_cast<std::size_t>(clients)),
      thread_([this] { run(); }) {}

PollingClients::~PollingClients() {
  stopping_ = true;
  thread_.join();
}

void PollingClients::run() {
  for (std::size_t i = 0; i < clients_.size() && !stopping_; ++i) {
    clients_[i].socket = connect_to(server_);
    watch_for_input(epoll_, clients_[i].socket, i);
    send_poll(clients_[i], 0);
  }
  while (!stopping_) {
    for (const std::size_t index : wait_for_input(epoll_)) {
      read_response(clients_[index]);
    }
  }
}

void PollingClients::send_poll(Client& client, std::uint64_t last_event) {
  const std::string request = protocol::http::write_get(protocol::poll_path(last_event, long_poll_ms_),
                                                        transport::to_string(server_));
  send_all(client.socket, request, counts_);
}

void PollingClients::read_response(Client& client) {
  client.parser.feed(receive(client.socket, MSG_DONTWAIT, counts_));
  if (const auto response = client.parser.take()) {
    ++counts_.answers;
    send_poll(client, last_event_of(response->body));
  }
}

// ---- Watches of a store ----

WatchingClients::WatchingClients(const transport::Address& server, int clients, std::string request)
    : server_(server),
      request_(std::move(request)),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      sockets_(static_cast<std::size_t>(clients)),
      thread_([this] { run(); }) {}

WatchingClients::~WatchingClients() {
  stopping_ = true;
  thread_.join();
}

void WatchingClients::run() {
  for (std::size_t i = 0; i < sockets_.size() && !stopping_; ++i) {
    sockets_[i] = connect_to(server_);
    watch_for_input(epoll_, sockets_[i], i);
    send_all(sockets_[i], request_, counts_);
  }
  while (!stopping_) {
    for (const std::size_t index : wait_for_input(epoll_)) {
      counts_.answers += receive(sockets_[index], MSG_DONTWAIT, counts_).empty() ? 0 : 1;
    }
  }
}

// ---- Sequential calls ----

CallingClient::CallingClient(const transport::Address& server, std::string request, int calls)
    : request_(std::move(request)), thread_([this, server, calls] { run(server, calls); }) {}

CallingClient::~CallingClient() { thread_.join(); }

void CallingClient::run(const transport::Address& server, int calls) {
  const Descriptor socket = connect_to(server);
  protocol::http::ResponseParser parser{protocol::http::Bounds()};
  for (int i = 0; i < calls; ++i) {
    send_all(socket, request_, counts_);
    std::optional<protocol::http::Response> response;
    while (!response) {
      const std::string_view bytes = receive(socket, 0, counts_);
      if (bytes.empty()) {
        done_ = true;
        return;
      }
      parser.feed(bytes);
      response = parser.take();
    }
    counts_.answers += response->status == 200 ? 1 : 0;
  }
  done_ = true;
}

}  // namespace trailcourse::scale
