#include "transport/socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <system_error>

namespace trailcourse::transport {
namespace {

sockaddr_in to_system(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(address.ip);
  out.sin_port = htons(address.port);
  return out;
}

Address from_system(const sockaddr_in& address) {
  return Address{ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

// Returns the address as the type that the socket functions accept.
sockaddr* as_sockaddr(sockaddr_in& address) { return reinterpret_cast<sockaddr*>(&address); }

Descriptor new_socket() {
  return Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

void set_flag(int descriptor, int level, int name) {
  const int on = 1;
  ::setsockopt(descriptor, level, name, &on, sizeof on);
}

Opened failed() { return Opened{Descriptor(), errno}; }

}  // namespace

void Descriptor::reset() {
  if (number_ >= 0) {
    ::close(std::exchange(number_, -1));
  }
}

std::optional<Address> parse_address(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string host(text.substr(0, colon));
  in_addr ip{};
  std::uint16_t port = 0;
  const char* const begin = text.data() + colon + 1;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(begin, end, port);
  if (inet_pton(AF_INET, host.c_str(), &ip) != 1 || error != std::errc() || stop != end || port == 0) {
    return std::nullopt;
  }
  return Address{ntohl(ip.s_addr), port};
}

std::string to_string(const Address& address) {
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) {
    out += std::to_string((address.ip >> shift) & 0xffU) + (shift > 0 ? "." : ":");
  }
  return out + std::to_string(address.port);
}

Opened listen_on(const Address& address, int backlog) {
  Descriptor socket = new_socket();
  if (!socket.valid()) {
    return failed();
  }
  set_flag(socket.get(), SOL_SOCKET, SO_REUSEADDR);
  sockaddr_in system_address = to_system(address);
  if (::bind(socket.get(), as_sockaddr(system_address), sizeof system_address) != 0 ||
      ::listen(socket.get(), backlog) != 0) {
    return failed();
  }
  return Opened{std::move(socket), 0};
}

Descriptor listen_or_throw(const Address& address, int backlog) {
  Opened opened = listen_on(address, backlog);
  if (!opened.descriptor.valid()) {
    throw std::system_error(opened.error, std::generic_category(), "listen on " + to_string(address));
  }
  return std::move(opened.descriptor);
}

Opened start_connect(const Address& address) {
  Descriptor socket = new_socket();
  if (!socket.valid()) {
    return failed();
  }
  set_flag(socket.get(), IPPROTO_TCP, TCP_NODELAY);
  sockaddr_in system_address = to_system(address);
  if (::connect(socket.get(), as_sockaddr(system_address), sizeof system_address) != 0 &&
      errno != EINPROGRESS) {
    return failed();
  }
  return Opened{std::move(socket), 0};
}

Opened accept_from(int listener) {
  Descriptor socket(::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (!socket.valid()) {
    return failed();
  }
  set_flag(socket.get(), IPPROTO_TCP, TCP_NODELAY);
  return Opened{std::move(socket), 0};
}

Address peer_of(int descriptor) {
  sockaddr_in system_address{};
  socklen_t size = sizeof system_address;
  return ::getpeername(descriptor, as_sockaddr(system_address), &size) == 0 ? from_system(system_address)
                                                                            : Address{};
}

Address local_of(int descriptor) {
  sockaddr_in system_address{};
  socklen_t size = sizeof system_address;
  return ::getsockname(descriptor, as_sockaddr(system_address), &size) == 0 ? from_system(system_address)
                                                                            : Address{};
}

int pending_error(int descriptor) {
  int error = 0;
  socklen_t size = sizeof error;
  return ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

void set_send_buffer(int descriptor, int bytes) {
  ::setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
}

}  // namespace trailcourse::transport
