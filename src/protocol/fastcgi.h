// FastCGI 1.0 for an application in the role Responder: an incremental parser of requests, which accepts
// bytes in any split and holds no more of them than incomplete requests need, and a queue of answers, which
// writes records for all requests of a connection in turn.
//
// Library `protocol`: no I/O and no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
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

// A name-value pair, which refers to the bytes that it was read from.
struct Pair {
  std::string_view name;
  std::string_view value;
};

// Reads the pairs of FastCGI's encoding one after another.
class PairReader {
 public:
  explicit PairReader(std::string_view encoded) : rest_(encoded) {}

  // Returns the next pair; nothing at the end, or where the rest is not a complete pair.
  std::optional<Pair> next();
  // Returns whether all bytes were read.
  bool at_end() const { return rest_.empty(); }

 private:
  std::string_view rest_;
};

// The parameters of a request. They stay encoded: many short ones would need far more memory as strings.
class Parameters {
 public:
  Parameters() = default;
  explicit Parameters(std::string encoded) : encoded_(std::move(encoded)) {}

  // Returns the value of the first parameter with this name, or nothing.
  std::optional<std::string_view> find(std::string_view name) const;
  PairReader read() const { return PairReader(encoded_); }
  std::size_t encoded_bytes() const { return encoded_.size(); }

 private:
  std::string encoded_;
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

// Reads name-value pairs. Returns false if the last pair is incomplete.
bool read_pairs(std::string_view content, std::vector<std::pair<std::string, std::string>>& out);

// Parses the requests of one connection.
class Parser {
 public:
  explicit Parser(const Bounds& bounds) : bounds_(bounds) {}

  // Parses bytes up to the end of the first record, removes them from `bytes`, and returns the event that the
  // record causes, if any. After ParseError all further bytes are removed and cause no event.
  std::optional<Event> next(std::string_view& bytes);
  // Parses all bytes and appends the events to `out`.
  void feed(std::string_view bytes, std::vector<Event>& out);

  // Returns the memory of the content of incomplete requests, in bytes.
  std::size_t held() const { return held_; }
  // Returns the memory of all else that the parser keeps for open requests, in bytes.
  std::size_t structure_bytes() const;
  // Returns whether any bytes of incomplete requests are held.
  bool has_partial_content() const { return content_bytes_ > 0; }
  // Returns whether a record or a request was received in part.
  bool has_partial_message() const;
  // Closes a request whose answer is complete; the client may then reuse its id.
  void release(RequestId request_id);
  // Rejects the incomplete request with the most bytes, as overloaded, and frees them; nothing if no request
  // has any. Its remaining records are skipped.
  std::optional<RequestRejected> reject_largest(std::string reason);
  // Frees all requests. Further bytes are ignored.
  void stop();

 private:
  enum class Stage { kParameters, kBody, kComplete, kRejected };
  struct Open {
    Stage stage = Stage::kParameters;
    std::string parameters;
    std::string body;
    bool keep_connection = true;
  };
  using OpenRequests = std::map<RequestId, Open>;
  static constexpr std::size_t kHeaderBytes = 8;

  // What is done with the content of the current record.
  enum class Content { kSkip, kStore, kAppend };

  std::uint8_t record_type() const { return static_cast<std::uint8_t>(header_[1]); }
  RequestId record_request() const;
  std::size_t record_content_bytes() const;
  bool read_header(std::string_view& bytes);
  std::optional<Event> begin_record();
  std::optional<Event> begin_stream(Open& request, bool body);
  void read_content(std::string_view& bytes);
  std::optional<Event> end_record();
  std::optional<Event> begin_request();
  std::optional<Event> abort_request();
  std::optional<Event> end_stream();
  std::optional<Event> finish(Open& request);
  std::optional<Event> reply_to_management();
  Event reject(Open& request, std::string reason);
  Event fail(std::string reason);
  OpenRequests::iterator erase(OpenRequests::iterator request);
  // Recounts the memory of a request after `change`.
  template <typename Change>
  void recount(Open& request, Change change);

  Bounds bounds_;
  std::array<char, kHeaderBytes> header_{};
  std::size_t header_bytes_ = 0;  // received of the current header
  std::size_t content_left_ = 0;  // bytes of the current record, after its header
  std::size_t padding_left_ = 0;
  Content content_ = Content::kSkip;
  std::string stored_;  // content of a record that is no stream
  OpenRequests open_;
  std::size_t held_ = 0;
  std::size_t content_bytes_ = 0;  // of incomplete requests
  bool failed_ = false;
};

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
  // Replaces the largest answer that is complete here and of which nothing was written, if it is larger than
  // `output`. Returns whether there was one.
  bool replace_largest(std::string_view output);

  bool empty() const { return turns_.empty(); }
  // Returns the bytes that were appended and not written to a record yet.
  std::size_t waiting() const { return waiting_; }
  // Returns the memory of the answers that are not completely written, in bytes.
  std::size_t held() const { return held_; }
  // Returns the number of requests whose answer is not completely written.
  std::size_t size() const { return answers_.size(); }
  // Returns the next records of one request; the queue must not be empty. `ended` is set to whether they end
  // the request, and `ended_id` is then its id.
  std::string next(RequestId& ended_id, bool& ended);

 private:
  struct Answer {
    std::vector<std::string> parts;
    std::size_t first = 0;    // part that is not completely written
    std::size_t offset = 0;   // in the first part
    bool any_output = false;  // to be written, or written
    bool written = false;     // some of its records
    bool ended = false;
    ProtocolStatus status = ProtocolStatus::kRequestComplete;
    std::uint32_t application_status = 0;
    bool queued = false;
  };
  using Answers = std::map<RequestId, Answer>;

  static std::size_t cost(const Answer& answer);
  static std::size_t waiting_bytes(const Answer& answer);
  Answer& find_or_create(RequestId request_id);
  void erase(Answers::iterator answer);
  void queue(RequestId request_id, Answer& answer);

  std::size_t record_bytes_;
  Answers answers_;
  std::deque<RequestId> turns_;
  std::size_t waiting_ = 0;
  std::size_t held_ = 0;
};

}  // namespace trailcourse::protocol::fastcgi
