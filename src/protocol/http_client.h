// The answers of an HTTP/1.1 server: a state machine that is fed bytes in any split. Bodies of a told length,
// in chunks, or up to the end of the connection.
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
  std::map<std::string, std::string> headers;  // by name in lower case; of a name that comes twice the last

  // The value of a header, empty where it did not come.
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
};

// The wait that `Retry-After` names (RFC 9110, section 10.2.3): seconds, or a date, which is set against
// `unix_s`. Nothing where it is neither.
std::optional<std::int64_t> read_retry_after(const std::string& value, std::int64_t unix_s);

struct Bounds {
  std::size_t line_bytes = 4096;
  std::size_t header_lines = 64;
  std::size_t body_bytes = 8U << 20U;
};

class ResponseParser {
 public:
  explicit ResponseParser(const Bounds& bounds) : bounds_(bounds) {}

  // Takes bytes; one answer is awaited at a time, and what comes behind it is unreadable.
  void feed(std::string_view bytes);
  // The connection ended: that may complete a body without length.
  void feed_end();

  // The answer once it is whole, taken out; the parser is then ready for the next.
  std::optional<Response> take();
  // What has come so far of the body of an answer that goes on, taken out: of one that is read as it comes.
  // Nothing before its head is whole, and once the answer is.
  std::optional<std::string> take_piece();
  // Of the answer that is being read; 0 before its first line.
  int status() const { return response_.status; }
  bool failed() const { return stage_ == Stage::kFailed; }
  const std::string& why() const { return why_; }

 private:
  enum class Stage { kStatus, kHeaders, kBody, kChunkSize, kChunk, kChunkEnd, kTrailers, kWhole, kFailed };

  bool read_line(std::string_view& bytes);
  void take_line();
  void take_header(std::string_view line);
  void end_headers();
  void take_body(std::string_view& bytes);
  void fail(std::string why);

  Bounds bounds_;
  Stage stage_ = Stage::kStatus;
  Response response_;
  std::string line_;
  std::size_t lines_ = 0;
  std::size_t left_ = 0;
  bool chunked_ = false;
  bool sized_ = false;
  std::string why_;
};

std::string write_get(std::string_view path, std::string_view host);
std::string write_post(std::string_view path, std::string_view host, std::string_view json);

}  // namespace trailcourse::protocol::http
