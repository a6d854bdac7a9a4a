// HTTP/1.1 for a client: an incremental parser of responses, which accepts bytes in any split, and writers of
// requests. Bodies may have a Content-Length, be chunked, or end with the connection.
//
// Library `protocol`: no I/O and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace trailcourse::protocol::http {

struct Response {
  int status = 0;
  std::string body;
  bool keep_open = true;
  std::map<std::string, std::string> headers;  // by name in lower case; the last one of a repeated name

  // Returns the value of a header; empty if there is none.
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
};

// Returns the wait in seconds of a `Retry-After` header (RFC 9110, section 10.2.3): a number of seconds, or a
// date, which is compared with `unix_s`. Returns nothing if it is neither.
std::optional<std::int64_t> read_retry_after(const std::string& value, std::int64_t unix_s);

// Limits of one response; a larger one is malformed.
struct Bounds {
  std::size_t line_bytes = 4096;
  std::size_t header_lines = 64;
  std::size_t body_bytes = 8U << 20U;
};

// Parses the responses of one connection, one at a time.
class ResponseParser {
 public:
  explicit ResponseParser(const Bounds& bounds) : bounds_(bounds) {}

  // Parses bytes. Bytes after a complete response that was not taken yet are an error.
  void feed(std::string_view bytes);
  // Reports that the connection has ended, which completes a body without a length.
  void feed_end();

  // Returns the response once it is complete; the parser is then ready for the next one.
  std::optional<Response> take();
  // Removes and returns the bytes received so far of an incomplete body, for a body that is read as a stream.
  // Returns nothing before the headers are complete and after the response is complete.
  std::optional<std::string> take_body_part();
  // Returns the status of the response that is being received; 0 before its first line.
  int status() const { return response_.status; }
  bool failed() const { return stage_ == Stage::kFailed; }
  // Returns why a response is malformed; empty if none was.
  const std::string& error() const { return error_; }

 private:
  enum class Stage { kStatus, kHeaders, kBody, kChunkSize, kChunk, kChunkEnd, kTrailers, kComplete, kFailed };

  bool read_line(std::string_view& bytes);
  void parse_line();
  void parse_header(std::string_view line);
  void end_headers();
  void append_body(std::string_view& bytes);
  void fail(std::string error);

  Bounds bounds_;
  Stage stage_ = Stage::kStatus;
  Response response_;
  std::string line_;
  std::size_t lines_ = 0;
  std::size_t remaining_bytes_ = 0;
  bool chunked_ = false;
  bool has_length_ = false;
  std::string error_;
};

// Return requests that accept JSON; write_post() sends `json` as its body.
std::string write_get(std::string_view path, std::string_view host);
std::string write_post(std::string_view path, std::string_view host, std::string_view json);

}  // namespace trailcourse::protocol::http
