// Descriptors, addresses and TCP sockets; all sockets are non-blocking.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace trailcourse::transport {

// Owns one descriptor.
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
  void reset();

 private:
  int number_ = -1;
};

// An IPv4 address and port.
struct Address {
  std::uint32_t ip = 0;  // in host order
  std::uint16_t port = 0;

  friend bool operator==(const Address&, const Address&) = default;
};

// Reads "10.0.0.4:4100"; nothing where it is not of that form or the port is 0.
std::optional<Address> parse_address(std::string_view text);
std::string to_string(const Address& address);

// The result of a call that may fail: a descriptor, or the system's error number.
struct Opened {
  Descriptor descriptor;
  int error = 0;
};

Opened listen_on(const Address& address, int backlog);
// The same for those that cannot do without; throws std::system_error that names the address.
Descriptor listen_or_throw(const Address& address, int backlog);
Opened start_connect(const Address& address);
Opened accept_from(int listener);
Address peer_of(int descriptor);
Address local_of(int descriptor);
int pending_error(int descriptor);
void set_send_buffer(int descriptor, int bytes);

}  // namespace trailcourse::transport
