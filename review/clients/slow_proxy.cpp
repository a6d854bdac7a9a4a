// A TCP proxy on loopback that hands on what the callers send at once, and what the other side answers after
// a delay, in order. It stands for a discovery service that is slow to answer.
//
// Usage: slow_proxy IP:PORT TO_IP:TO_PORT DELAY_MS FILE
// The delay is in force while FILE exists; the answers of before go on at once.
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <list>
#include <string>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in parse(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  return out;
}

struct Piece {
  Clock::time_point due;
  std::string bytes;  // empty: the other side has closed
};

struct Link {
  int caller = -1;
  int server = -1;
  std::deque<Piece> answers;
};

std::string receive(int socket) {
  std::vector<char> buffer(1U << 16U);
  const ssize_t count = ::recv(socket, buffer.data(), buffer.size(), 0);
  return {buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0};
}

// Returns whether all bytes were handed to the system.
bool send_all(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

void close_link(Link& link) {
  ::close(std::exchange(link.caller, -1));
  ::close(std::exchange(link.server, -1));
}

void accept_link(int listener, const sockaddr_in& to, std::list<Link>& links) {
  Link link;
  link.caller = ::accept(listener, nullptr, nullptr);
  link.server = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(link.caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ::setsockopt(link.server, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(link.server, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    close_link(link);
    return;
  }
  links.push_back(std::move(link));
}

}  // namespace

int main(int count, char** arguments) {
  if (count != 5) {
    std::fprintf(stderr, "usage: slow_proxy IP:PORT TO_IP:TO_PORT DELAY_MS FILE\n");
    return 2;
  }
  const sockaddr_in own = parse(arguments[1]);
  const sockaddr_in to = parse(arguments[2]);
  const std::chrono::milliseconds delay(std::atoi(arguments[3]));
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&own), sizeof own) != 0 ||
      ::listen(listener, 64) != 0) {
    std::perror("listen");
    return 2;
  }
  std::list<Link> links;
  for (;;) {
    std::vector<pollfd> wanted{{listener, POLLIN, 0}};
    std::vector<Link*> of{nullptr};
    int wait_ms = 100;
    const Clock::time_point now = Clock::now();
    for (Link& link : links) {
      wanted.push_back({link.caller, POLLIN, 0});
      of.push_back(&link);
      const bool ended = !link.answers.empty() && link.answers.back().bytes.empty();
      wanted.push_back({ended ? -1 : link.server, POLLIN, 0});
      of.push_back(&link);
      if (!link.answers.empty()) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(link.answers.front().due - now);
        wait_ms = std::clamp(static_cast<int>(left.count()), 0, wait_ms);
      }
    }
    ::poll(wanted.data(), wanted.size(), wait_ms);
    for (std::size_t i = 1; i < wanted.size(); ++i) {
      Link& link = *of[i];
      if (link.caller < 0 || (wanted[i].revents & (POLLIN | POLLERR | POLLHUP)) == 0) {
        continue;
      }
      const std::string bytes = receive(wanted[i].fd);
      if (wanted[i].fd == link.caller) {
        if (bytes.empty() || !send_all(link.server, bytes)) {
          close_link(link);
        }
      } else {
        const bool slow = ::access(arguments[4], F_OK) == 0;
        link.answers.push_back(Piece{Clock::now() + (slow ? delay : std::chrono::milliseconds(0)), bytes});
      }
    }
    for (Link& link : links) {
      while (link.caller >= 0 && !link.answers.empty() && link.answers.front().due <= Clock::now()) {
        const std::string bytes = std::move(link.answers.front().bytes);
        link.answers.pop_front();
        if (bytes.empty() || !send_all(link.caller, bytes)) {
          close_link(link);
        }
      }
    }
    links.remove_if([](const Link& link) { return link.caller < 0; });
    if ((wanted[0].revents & POLLIN) != 0) {
      accept_link(listener, to, links);
    }
  }
}
