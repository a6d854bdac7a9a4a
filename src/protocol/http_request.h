// The requests that an HTTP/1.1 client sends: a state machine that is fed bytes in any split (RFC 9112).
// Bodies of a told length only; one request is taken out at a time, what comes behind it waits.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace trailcourse::protocol::http {

struct Request {
  std::string method;
  std::string path;  // as it came, with its query
  std::string body;
  bool keep_open = true;
};

struct RequestBounds {
  std::size_t head_bytes = 8'192;
  std::size_t body_bytes = 1U << 20U;
};

class RequestParser {
 public:
  explicit RequestParser(const RequestBounds& bounds) : bounds_(bounds) {}

  void feed(std::string_view bytes);
  // The next whole request, taken out.
  std::optional<Request> take();
  // What came can be no request; nothing is taken any more.
  bool failed() const { return !why_.empty(); }
  const std::string& why() const { return why_; }
  // Bytes that wait to be taken.
  std::size_t ahead() const { return text_.size(); }

 private:
  bool read_head(std::string_view head);

  RequestBounds bounds_;
  std::string text_;
  std::optional<Request> head_;  // whose body is awaited
  std::size_t body_ = 0;
  std::string why_;
};

std::string write_response(int status, std::string_view reason, std::string_view headers,
                           std::string_view body);

}  // namespace trailcourse::protocol::http
