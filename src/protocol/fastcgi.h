// FastCGI 1.0 for an application in the role Responder: an incremental parser of requests, which accepts
// bytes in any split, and a queue of answers, which writes records for all requests of a connection in turn.
//
// Library `protocol`: no I/O and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace trailcourse::protocol::fastcgi {

enum class ProtocolStatus : std::uint8_t {
  kRequestComplete = 0,
  kCannotMultiplex = 1,
  kOverloaded = 2,
  kUnknownRole = 3,
};

// The id of a request in the FastCGI protocol; unique among the open requests of a connection.
using RequestId = std::uint16_t;

// The parameters of a request, in the order received.
struct Parameters {
  std::vector<std::pair<std::string, std::string>> fields;

  // Returns the value of a parameter, or null.
  const std::string* find(std::string_view name) const;
};

// A complete request.
struct RequestReceived {
  RequestId request_id = 0;
  Parameters parameters;
  std::string body;
  bool keep_connection = true;
};
// The client aborted an open request, which may be incomplete.
struct RequestAborted {
  RequestId request_id = 0;
};
// A request that is invalid or exceeds a limit. `reason` is sent to the client unless `answered` is false.
struct RequestRejected {
  RequestId request_id = 0;
  ProtocolStatus status = ProtocolStatus::kRequestComplete;
  std::string reason;
  bool answered = true;  // false: only END_REQUEST is sent
};
// The bytes of a reply to a management record, to be sent unchanged.
struct ManagementReply {
  std::string bytes;
};
// A malformed message; the connection has to be closed.
struct ParseError {
  std::string reason;
};
using Event = std::variant<RequestReceived, RequestAborted, RequestRejected, ManagementReply, ParseError>;

// Limits of one connection; a request beyond them is rejected.
struct Bounds {
  std::size_t open_requests = 64;            // on one connection; clients open 32
  std::size_t parameter_bytes = 16U << 10U;  // of one request
  std::size_t body_bytes = 64U << 10U;       // of one request; writes have 48,000 at most
  std::size_t connection_bytes = 4U << 20U;  // of all incomplete requests
};

// Parses the requests of one connection.
class Parser {
 public:
  explicit Parser(const Bounds& bounds) : bounds_(bounds) {}

  // Parses bytes and appends the resulting events to `out`. After ParseError all further bytes are ignored.
  void feed(std::string_view bytes, std::vector<Event>& out);

  // Returns the buffered bytes of incomplete requests.
  std::size_t held() const { return held_ + partial_.size(); }
  // Returns whether a record or a request was received in part.
  bool has_partial_message() const;
  // Closes a request whose answer is complete; the client may then reuse its id.
  void release(RequestId request_id) { open_.erase(request_id); }

 private:
  enum class Stage { kParameters, kBody, kComplete, kRejected };
  struct Open {
    Stage stage = Stage::kParameters;
    std::string parameters;
    std::string body;
    bool keep_connection = true;
  };

  void on_record(std::uint8_t type, RequestId request_id, std::string_view content, std::vector<Event>& out);
  void begin(RequestId request_id, std::string_view content, std::vector<Event>& out);
  void on_stream(RequestId request_id, bool body, std::string_view content, std::vector<Event>& out);
  void finish(RequestId request_id, Open& request, std::vector<Event>& out);
  void reject(RequestId request_id, Open& request, std::string reason, std::vector<Event>& out);
  void manage(std::uint8_t type, std::string_view content, std::vector<Event>& out);
  void fail(std::string reason, std::vector<Event>& out);

  Bounds bounds_;
  std::string partial_;
  std::map<RequestId, Open> open_;
  std::size_t held_ = 0;
  bool failed_ = false;
};

// Reads name-value pairs. Returns false if the last pair is incomplete.
bool read_pairs(std::string_view content, std::vector<std::pair<std::string, std::string>>& out);

// Queues answers and writes their records. Requests take turns record by record, so that a large answer does
// not delay small ones.
class AnswerQueue {
 public:
  explicit AnswerQueue(std::size_t record_bytes) : record_bytes_(record_bytes) {}

  // Appends to the request's STDOUT.
  void append(RequestId request_id, std::string bytes);
  // Ends the answer: END_REQUEST follows the appended bytes.
  void end(RequestId request_id, ProtocolStatus status, std::uint32_t application_status);
  // Discards the rest of an answer. Returns whether the request had one.
  bool drop(RequestId request_id);

  bool empty() const { return turns_.empty(); }
  // Returns the bytes that were appended and not written to a record yet.
  std::size_t waiting() const { return waiting_; }
  // Returns the number of requests whose answer is not completely written.
  std::size_t size() const { return answers_.size(); }
  // Returns the next records of one request; the queue must not be empty. `ended` is set to whether they end
  // the request, and `ended_id` is then its id.
  std::string next(RequestId& ended_id, bool& ended);

 private:
  struct Answer {
    std::deque<std::string> parts;
    std::size_t offset = 0;  // in the first part
    bool any_output = false;
    bool ended = false;
    ProtocolStatus status = ProtocolStatus::kRequestComplete;
    std::uint32_t application_status = 0;
    bool queued = false;
  };
  void queue(RequestId request_id, Answer& answer);

  std::size_t record_bytes_;
  std::map<RequestId, Answer> answers_;
  std::deque<RequestId> turns_;
  std::size_t waiting_ = 0;
};

}  // namespace trailcourse::protocol::fastcgi
