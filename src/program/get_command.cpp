#include "program/get_command.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <random>
#include <system_error>

#include "protocol/fastcgi_peer.h"
#include "protocol/numbers.h"
#include "store/key.h"
#include "transport/socket.h"

namespace trailcourse::program {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kGroups = 256;  // a request names the group of its object: the id modulo this
// Types of FastCGI records.
constexpr std::uint8_t kStdout = 6;
constexpr std::uint8_t kEndRequest = 3;
constexpr milliseconds kGrace{1'000};  // after the deadline, for the rest of the response

struct GetResponse {
  int status = 0;
  std::string source;         // X-Via
  bool not_modified = false;  // X-Ok304: the client's copy is still valid
  std::string body;
  double latency_ms = 0.0;
};

std::string hex_id(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

bool wait_for(int socket, short events, Clock::time_point deadline) {
  const auto remaining_ms = std::chrono::duration_cast<milliseconds>(deadline - Clock::now()).count();
  pollfd entry{socket, events, 0};
  return remaining_ms > 0 && ::poll(&entry, 1, static_cast<int>(remaining_ms)) > 0;
}

bool send_all(int socket, std::string_view bytes, Clock::time_point deadline) {
  while (!bytes.empty()) {
    const ssize_t count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(count));
    } else if ((errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR && errno != ENOTCONN &&
                errno != EINPROGRESS) ||
               !wait_for(socket, POLLOUT, deadline)) {
      return false;
    }
  }
  return true;
}

// Parses the head of a CGI response and copies its body.
void parse_cgi_response(const std::string& text, GetResponse& response) {
  const std::size_t end = text.find("\r\n\r\n");
  response.body = end == std::string::npos ? "" : text.substr(end + 4);
  std::string_view head = std::string_view(text).substr(0, end);
  while (!head.empty()) {
    const std::string_view line = head.substr(0, head.find("\r\n"));
    head.remove_prefix(std::min(head.size(), line.size() + 2));
    const auto value = [&line](std::string_view name) -> std::optional<std::string_view> {
      return line.starts_with(name) ? std::optional(line.substr(name.size())) : std::nullopt;
    };
    if (const auto status = value("Status: ")) {
      response.status = protocol::read_number<int>(status->substr(0, 3)).value_or(0);
    } else if (const auto via = value("X-Via: ")) {
      response.source = *via;
    } else if (value("X-Ok304: ")) {
      response.not_modified = true;
    }
  }
}

std::optional<GetResponse> send_request(const GetCommand& command, const transport::Address& router,
                                        std::string& error) {
  const Clock::time_point start = Clock::now();
  const Clock::time_point deadline = start + milliseconds(command.timeout_ms) + kGrace;
  const transport::Opened opened = transport::start_connect(router);
  const int socket = opened.descriptor.get();
  if (!opened.descriptor.valid() || !wait_for(socket, POLLOUT, deadline) ||
      transport::pending_error(socket) != 0) {
    error = "cannot connect to " + to_string(router);
    return std::nullopt;
  }
  std::random_device entropy;
  const std::uint64_t id = (std::uint64_t{entropy()} << 32U) | entropy();
  const auto object = protocol::read_hex<std::uint64_t>(command.item).value_or(0);
  protocol::fastcgi_peer::Fields fields{{"SCRIPT_NAME", "/v1/" + command.request_class},
                                        {"HTTP_X_CALL_ID", hex_id(id)},
                                        {"HTTP_X_PATIENCE_MS", std::to_string(command.timeout_ms)},
                                        {"HTTP_X_ENTITY", command.item},
                                        {"HTTP_X_NTH", command.part},
                                        {"HTTP_X_BATCH", std::to_string(object % kGroups)},
                                        {"HTTP_X_TRACE", "1"}};
  if (command.size_kb > 0.0) {
    fields.emplace_back("HTTP_X_HEAP_KB", std::to_string(command.size_kb));
  }
  if (!command.cached_tag.empty()) {
    fields.emplace_back("HTTP_X_GOT", command.cached_tag);
  }
  if (!send_all(socket, protocol::fastcgi_peer::request_bytes(1, fields, ""), deadline)) {
    error = "the connection to " + to_string(router) + " was lost while the request was sent";
    return std::nullopt;
  }
  std::string bytes;
  std::string text;
  char buffer[65'536];
  while (wait_for(socket, POLLIN, deadline)) {
    const ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
    if (count <= 0) {
      error = "the connection to " + to_string(router) + " was closed before the response was complete";
      return std::nullopt;
    }
    bytes.append(buffer, static_cast<std::size_t>(count));
    for (const protocol::fastcgi_peer::Record& record : protocol::fastcgi_peer::take_records(bytes)) {
      if (record.type == kStdout) {
        text += record.content;
      } else if (record.type == kEndRequest) {
        GetResponse response;
        parse_cgi_response(text, response);
        response.latency_ms = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
        return response;
      }
    }
  }
  error = "no complete response from " + to_string(router) + " in time";
  return std::nullopt;
}

void print_response(const GetCommand& command, const GetResponse& response, std::ostream& out) {
  if (command.json) {
    out << nlohmann::json{{"status", response.status},     {"source", response.source},
                          {"same", response.not_modified}, {"bytes", response.body.size()},
                          {"ms", response.latency_ms},     {"item", command.item}}
               .dump()
        << '\n';
    return;
  }
  char line[256];
  std::snprintf(line, sizeof line, "%s/%s  status %d  from %s  %zu bytes%s  %.1f ms\n", command.item.c_str(),
                command.part.c_str(), response.status,
                response.source.empty() ? "-" : response.source.c_str(), response.body.size(),
                response.not_modified ? " (not modified)" : "", response.latency_ms);
  out << line;
}

}  // namespace

int run_get_command(const GetCommand& command, std::ostream& out, std::ostream& errors) {
  constexpr int kOk = 200;
  constexpr int kTooManyRequests = 429;
  constexpr int kUnavailable = 503;
  const std::optional<transport::Address> router = transport::parse_address(command.router);
  if (!router) {
    errors << "trailcourse: get: --router: '" << command.router
           << "' is not an address like 127.0.0.1:4100\n";
    return 2;
  }
  int status = 0;
  for (int i = 0; i < command.repeat; ++i) {
    std::string error;
    const std::optional<GetResponse> response = send_request(command, *router, error);
    if (!response) {
      errors << "trailcourse: get: " << error << '\n';
      return kGetUnreachable;
    }
    print_response(command, *response, out);
    if (!command.output.empty() && response->status == kOk) {
      std::ofstream file(command.output, std::ios::binary);
      file << response->body;
      if (!file.good()) {
        errors << "trailcourse: get: cannot write " << command.output << '\n';
        return 1;
      }
    }
    status = response->status == kOk                                                    ? 0
             : response->status == kTooManyRequests || response->status == kUnavailable ? kGetRejected
                                                                                        : kGetFailed;
  }
  return status;
}

}  // namespace trailcourse::program
