#include "protocol/http_request.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "protocol/numbers.h"

namespace trailcourse::protocol::http {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";

bool equal_ignoring_case(std::string_view one, std::string_view other) {
  return std::equal(one.begin(), one.end(), other.begin(), other.end(),
                    [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view next_line(std::string_view& text) {
  const std::size_t end = text.find("\r\n");
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(end == std::string_view::npos ? text.size() : end + 2);
  return line;
}

}  // namespace

void RequestParser::feed(std::string_view bytes) {
  if (!failed()) {
    buffer_ += bytes;
  }
}

std::optional<Request> RequestParser::take() {
  if (failed()) {
    return std::nullopt;
  }
  if (!head_) {
    const std::size_t end = buffer_.find(kHeadEnd);
    if (std::min(end, buffer_.size()) > bounds_.head_bytes) {
      error_ = "head too long";
      return std::nullopt;
    }
    if (end == std::string::npos || !read_head(std::string_view(buffer_).substr(0, end))) {
      return std::nullopt;
    }
    buffer_.erase(0, end + kHeadEnd.size());
  }
  if (buffer_.size() < body_bytes_) {
    return std::nullopt;
  }
  std::optional<Request> out = std::exchange(head_, std::nullopt);
  out->body = buffer_.substr(0, body_bytes_);
  buffer_.erase(0, std::exchange(body_bytes_, 0));
  return out;
}

bool RequestParser::read_head(std::string_view head) {
  const std::string_view line = next_line(head);
  const std::size_t first = line.find(' ');
  const std::size_t second = line.rfind(' ');
  if (first == std::string_view::npos || second <= first || !line.substr(second + 1).starts_with("HTTP/1.")) {
    error_ = "invalid request line";
    return false;
  }
  Request request;
  request.method = line.substr(0, first);
  request.path = line.substr(first + 1, second - first - 1);
  request.keep_open = !line.ends_with("HTTP/1.0");
  while (!head.empty()) {
    const std::string_view header = next_line(head);
    const std::size_t colon = header.find(':');
    if (colon == std::string_view::npos) {
      error_ = "invalid header line";
      return false;
    }
    const std::string_view name = header.substr(0, colon);
    std::string_view value = header.substr(colon + 1);
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    if (equal_ignoring_case(name, "content-length")) {
      const auto size = read_number<std::size_t>(value);
      if (!size || *size > bounds_.body_bytes) {
        error_ = "invalid content length or body too long";
        return false;
      }
      body_bytes_ = *size;
    } else if (equal_ignoring_case(name, "transfer-encoding")) {
      error_ = "chunked body not supported";
      return false;
    } else if (equal_ignoring_case(name, "connection") && equal_ignoring_case(value, "close")) {
      request.keep_open = false;
    }
  }
  head_ = std::move(request);
  return true;
}

std::string write_response(int status, std::string_view reason, std::string_view headers,
                           std::string_view body) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
  out.append(reason).append("\r\nContent-Type: application/json\r\n").append(headers);
  out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n").append(body);
  return out;
}

}  // namespace trailcourse::protocol::http
