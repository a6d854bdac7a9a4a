// Descriptors, addresses and non-blocking TCP sockets.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace trailcourse::transport {

// Owns a file descriptor and closes it on destruction.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int number) : number_(number) {}
  Descriptor(Descriptor&& other) noexcept : number_(std::exchange(other.number_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    std::swap(number_, other.number_);
    return *this;
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() { reset(); }

  int get() const { return number_; }
  bool valid() const { return number_ >= 0; }

  // Closes the descriptor, if there is one.
  void reset();

 private:
  int number_ = -1;
};

// An IPv4 address and port.
struct Address {
  std::uint32_t ip = 0;  // in host byte order
  std::uint16_t port = 0;

  friend bool operator==(const Address&, const Address&) = default;
};

// Parses an address such as "10.0.0.4:4100". Returns nothing where the text is not of this form or the port
// is 0.
std::optional<Address> parse_address(std::string_view text);

// Returns the form that parse_address() accepts.
std::string to_string(const Address& address);

// A socket, or the errno of the call that failed.
struct Opened {
  Descriptor descriptor;
  int error = 0;
};

// Opens a listening socket with SO_REUSEADDR.
Opened listen_on(const Address& address, int backlog);

// Like listen_on(), but throws std::system_error with the address on failure.
Descriptor listen_or_throw(const Address& address, int backlog);

// Opens a socket and starts to connect it. The socket becomes writable when the connect ends; pending_error()
// then returns its result.
Opened start_connect(const Address& address);

// Accepts one connection; the error is EAGAIN where none is pending.
Opened accept_from(int listener);

// Return the address of the peer, and the local address, of a socket; 0.0.0.0:0 on failure.
Address peer_of(int descriptor);
Address local_of(int descriptor);

// Returns and clears the pending error of a socket (SO_ERROR), 0 where there is none.
int pending_error(int descriptor);

// Sets the size of the socket's send buffer (SO_SNDBUF).
void set_send_buffer(int descriptor, int bytes);

}  // namespace trailcourse::transport
