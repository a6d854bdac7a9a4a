// HTTP/1.1 for a server (RFC 9112): an incremental parser of requests, which accepts bytes in any split, and
// a writer of responses. A body needs a Content-Length; chunked bodies are an error.
//
// Library `protocol`: no I/O and no clock.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace trailcourse::protocol::http {

struct Request {
  std::string method;
  std::string path;  // as received, with its query
  std::string body;
  bool keep_open = true;
};

// Limits of one request; a larger one is malformed.
struct RequestBounds {
  std::size_t head_bytes = 8'192;
  std::size_t body_bytes = 1U << 20U;
};

// Parses the requests of one connection. Requests after the first are buffered until they are taken.
class RequestParser {
 public:
  explicit RequestParser(const RequestBounds& bounds) : bounds_(bounds) {}

  void feed(std::string_view bytes);
  // Removes and returns the next complete request.
  std::optional<Request> take();
  // Returns whether a request was malformed. All further bytes are ignored.
  bool failed() const { return !error_.empty(); }
  // Returns why a request is malformed; empty if none was.
  const std::string& error() const { return error_; }
  // Returns the bytes of the buffered requests.
  std::size_t buffered_bytes() const { return buffer_.size(); }

 private:
  bool read_head(std::string_view head);

  RequestBounds bounds_;
  std::string buffer_;
  std::optional<Request> head_;  // of a request whose body is incomplete
  std::size_t body_bytes_ = 0;
  std::string error_;
};

// Returns a response with a JSON body. `headers` are further header lines, each with its line break.
std::string write_response(int status, std::string_view reason, std::string_view headers,
                           std::string_view body);

}  // namespace trailcourse::protocol::http
