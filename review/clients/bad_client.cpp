// A bad client of a router: asks for objects that no cache knows, says that it waits for 120 s, keeps up to
// 32 requests open on each of its connections, and asks again as soon as one is turned away. Sends at full
// speed and reads whatever it is sent. FastCGI 1.0, as PROTOCOL.md describes it.
//
// Usage: bad_client IP:PORT CONNECTIONS SECONDS
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kOpenRequests = 32;
constexpr const char* kPatienceMs = "120000";
constexpr std::size_t kHeaderBytes = 8;
constexpr std::uint8_t kBeginRequest = 1;
constexpr std::uint8_t kEndRequest = 3;
constexpr std::uint8_t kParams = 4;
constexpr std::uint8_t kStdin = 5;
constexpr std::uint8_t kStdout = 6;

std::mt19937_64 random_numbers(46);

std::string record(std::uint8_t type, int id, const std::string& content) {
  std::string out(kHeaderBytes, '\0');
  out[0] = 1;
  out[1] = static_cast<char>(type);
  out[2] = static_cast<char>(id >> 8);
  out[3] = static_cast<char>(id & 0xff);
  out[4] = static_cast<char>(content.size() >> 8U);
  out[5] = static_cast<char>(content.size() & 0xffU);
  return out + content;
}

std::string hex_number() {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random_numbers()));
  return text;
}

std::string request(int id) {
  const std::vector<std::pair<std::string, std::string>> fields{{"SCRIPT_NAME", "/v1/media"},
                                                                {"HTTP_X_CALL_ID", hex_number()},
                                                                {"HTTP_X_PATIENCE_MS", kPatienceMs},
                                                                {"HTTP_X_ENTITY", hex_number()},
                                                                {"HTTP_X_NTH", "0"},
                                                                {"HTTP_X_BATCH", "17"},
                                                                {"HTTP_X_HEAP_KB", "12.5"}};
  std::string parameters;
  for (const auto& [name, value] : fields) {
    parameters += static_cast<char>(name.size());
    parameters += static_cast<char>(value.size());
    parameters += name + value;
  }
  return record(kBeginRequest, id, std::string("\0\1\1\0\0\0\0\0", 8)) + record(kParams, id, parameters) +
         record(kParams, id, "") + record(kStdin, id, "");
}

struct Connection {
  int socket = -1;
  std::string out;  // not sent yet
  std::string in;   // received, not parsed yet
};

struct Counts {
  long sent = 0, served = 0, refused = 0, failed = 0, closed = 0;
};

void connect_all(std::vector<Connection>& connections, const std::string& address) {
  const std::size_t colon = address.rfind(':');
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  for (Connection& one : connections) {
    one.socket = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(one.socket, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
      std::perror("connect");
      std::exit(2);
    }
    const int on = 1;
    ::setsockopt(one.socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
}

void parse(Connection& one, Counts& counts) {
  std::size_t at = 0;
  while (one.in.size() - at >= kHeaderBytes) {
    const auto byte = [&](std::size_t i) { return static_cast<std::uint8_t>(one.in[at + i]); };
    const std::size_t length = (std::size_t{byte(4)} << 8U) | byte(5);
    const std::size_t whole = kHeaderBytes + length + byte(6);
    if (one.in.size() - at < whole) {
      break;
    }
    const std::string content = one.in.substr(at + kHeaderBytes, length);
    if (byte(1) == kStdout && content.starts_with("Status: ")) {
      ++(content.starts_with("Status: 200")   ? counts.served
         : content.starts_with("Status: 503") ? counts.refused
                                              : counts.failed);
    } else if (byte(1) == kEndRequest) {
      one.out += request((byte(2) << 8) | byte(3));
      ++counts.sent;
    }
    at += whole;
  }
  one.in.erase(0, at);
}

void receive(Connection& one, Counts& counts) {
  static std::vector<char> buffer(1U << 18U);
  const ssize_t count = ::recv(one.socket, buffer.data(), buffer.size(), 0);
  if (count <= 0) {
    ::close(one.socket);
    one.socket = -1;
    ++counts.closed;
    return;
  }
  one.in.append(buffer.data(), static_cast<std::size_t>(count));
  parse(one, counts);
}

}  // namespace

int main(int count, char** arguments) {
  if (count != 4) {
    std::fprintf(stderr, "usage: bad_client IP:PORT CONNECTIONS SECONDS\n");
    return 2;
  }
  std::vector<Connection> connections(static_cast<std::size_t>(std::atoi(arguments[2])));
  connect_all(connections, arguments[1]);
  Counts counts;
  for (Connection& one : connections) {
    for (int id = 1; id <= kOpenRequests; ++id) {
      one.out += request(id);
      ++counts.sent;
    }
  }
  const Clock::time_point until = Clock::now() + std::chrono::seconds(std::atoi(arguments[3]));
  while (Clock::now() < until && counts.closed < static_cast<long>(connections.size())) {
    std::vector<pollfd> wanted;
    wanted.reserve(connections.size());
    for (const Connection& one : connections) {
      wanted.push_back({one.socket, static_cast<short>(POLLIN | (one.out.empty() ? 0 : POLLOUT)), 0});
    }
    ::poll(wanted.data(), wanted.size(), 100);
    for (std::size_t i = 0; i < wanted.size(); ++i) {
      Connection& one = connections[i];
      if ((wanted[i].revents & POLLOUT) != 0) {
        const ssize_t sent = ::send(one.socket, one.out.data(), one.out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        one.out.erase(0, sent > 0 ? static_cast<std::size_t>(sent) : 0);
      }
      if ((wanted[i].revents & (POLLIN | POLLERR | POLLHUP)) != 0) {
        receive(one, counts);
      }
    }
  }
  std::printf("bad client: sent %ld requests; served %ld, refused %ld, failed %ld, connections closed %ld\n",
              counts.sent, counts.served, counts.refused, counts.failed, counts.closed);
  return 0;
}
