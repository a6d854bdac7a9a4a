// FastCGI 1.0, the side of an application in the role Responder: a state machine that is fed bytes in any
// split and yields requests, and the records of answers, in turns for all requests of a connection.
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

using RequestKey = std::uint16_t;

struct Parameters {
  std::vector<std::pair<std::string, std::string>> fields;

  // The value of a parameter, or null.
  const std::string* find(std::string_view name) const;
};

// A request that has come whole.
struct RequestReceived {
  RequestKey key = 0;
  Parameters parameters;
  std::string body;
  bool keep_connection = true;
};
// A request that was open, whole or not, and is given up by the client.
struct RequestAborted {
  RequestKey key = 0;
};
// A request that cannot be taken: it is answered in these words.
struct RequestRejected {
  RequestKey key = 0;
  ProtocolStatus status = ProtocolStatus::kRequestComplete;
  std::string why;
  bool answered = true;  // false: only END_REQUEST is owed
};
// Bytes to be sent back as they are, as for management records.
struct ManagementReply {
  std::string bytes;
};
// Nothing more can be read from this connection.
struct ParseError {
  std::string why;
};
using Event = std::variant<RequestReceived, RequestAborted, RequestRejected, ManagementReply, ParseError>;

struct Bounds {
  std::size_t open_requests = 64;            // on one connection; clients open 32
  std::size_t parameter_bytes = 16U << 10U;  // of one request
  std::size_t body_bytes = 64U << 10U;       // of one request; writes bring 48,000 at most
  std::size_t connection_bytes = 4U << 20U;  // of all requests that have not come whole yet
};

class Parser {
 public:
  explicit Parser(const Bounds& bounds) : bounds_(bounds) {}

  // Takes bytes and appends what they complete. After ParseError all further bytes are passed over.
  void feed(std::string_view bytes, std::vector<Event>& out);

  // Bytes held of requests that have not come whole.
  std::size_t held() const { return held_ + partial_.size(); }
  // Whether a part of a message has come whose rest is still awaited.
  bool partial() const;
  // The final answer of a request has been given: its number may be used again.
  void release(RequestKey key) { open_.erase(key); }

 private:
  enum class Stage { kParameters, kBody, kWhole, kRejected };
  struct Open {
    Stage stage = Stage::kParameters;
    std::string parameters;
    std::string body;
    bool keep_connection = true;
  };

  void take_record(std::uint8_t type, RequestKey key, std::string_view content, std::vector<Event>& out);
  void begin(RequestKey key, std::string_view content, std::vector<Event>& out);
  void take_stream(RequestKey key, bool body, std::string_view content, std::vector<Event>& out);
  void finish(RequestKey key, Open& request, std::vector<Event>& out);
  void reject(RequestKey key, Open& request, std::string why, std::vector<Event>& out);
  void manage(std::uint8_t type, std::string_view content, std::vector<Event>& out);
  void fail(std::string why, std::vector<Event>& out);

  Bounds bounds_;
  std::string partial_;
  std::map<RequestKey, Open> open_;
  std::size_t held_ = 0;
  bool failed_ = false;
};

// Name-value pairs; false where they are cut.
bool read_pairs(std::string_view content, std::vector<std::pair<std::string, std::string>>& out);

// The records of answers. Each call gives the next few of one request, so that a large answer lets small ones
// through; the requests take turns.
class AnswerQueue {
 public:
  explicit AnswerQueue(std::size_t record_bytes) : record_bytes_(record_bytes) {}

  // Appends to the request's STDOUT.
  void append(RequestKey key, std::string bytes);
  // Ends it: END_REQUEST follows what was appended.
  void end(RequestKey key, ProtocolStatus status, std::uint32_t application_status);
  // Forgets what was not given out yet; true where something was.
  bool drop(RequestKey key);

  bool empty() const { return turns_.empty(); }
  std::size_t waiting() const { return waiting_; }
  std::size_t size() const { return answers_.size(); }
  // The next record. `ended` is set to the request that it ends, if any.
  std::string next(RequestKey& ended_key, bool& ended);

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
  void queue(RequestKey key, Answer& answer);

  std::size_t record_bytes_;
  std::map<RequestKey, Answer> answers_;
  std::deque<RequestKey> turns_;
  std::size_t waiting_ = 0;
};

}  // namespace trailcourse::protocol::fastcgi
