#include "protocol/fastcgi.h"

#include <algorithm>
#include <optional>

namespace trailcourse::protocol::fastcgi {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::uint8_t kKeepConnection = 1;
constexpr std::uint16_t kResponder = 1;
constexpr std::size_t kBeginBytes = 8;
constexpr std::size_t kLongLength = 4;
constexpr std::size_t kMaxContentBytes = 65'535;
// Bytes read of a record that is no stream; real ones are shorter.
constexpr std::size_t kMaxStoredBytes = 1'024;
constexpr std::size_t kAllocationBytes = 16;  // of the allocator for each block, and of rounding
constexpr std::size_t kMapNodeBytes = 32 + kAllocationBytes;
constexpr std::size_t kEndBytes = 32;   // of the records that end an answer
constexpr std::size_t kPartsKept = 16;  // written parts of an answer that are not removed yet

enum RecordType : std::uint8_t {
  kBeginRequest = 1,
  kAbortRequest = 2,
  kEndRequest = 3,
  kParams = 4,
  kStdin = 5,
  kStdout = 6,
  kData = 8,
  kGetValues = 9,
  kGetValuesResult = 10,
  kUnknownType = 11,
};

std::uint8_t byte_at(std::string_view bytes, std::size_t offset) {
  return static_cast<std::uint8_t>(bytes[offset]);
}

std::uint16_t short_at(std::string_view bytes, std::size_t offset) {
  return static_cast<std::uint16_t>((byte_at(bytes, offset) << 8U) | byte_at(bytes, offset + 1));
}

std::string header(std::uint8_t type, RequestId request_id, std::size_t length) {
  constexpr std::size_t kHeaderBytes = 8;
  std::string out(kHeaderBytes, '\0');
  out[0] = static_cast<char>(kVersion);
  out[1] = static_cast<char>(type);
  out[2] = static_cast<char>(request_id >> 8U);
  out[3] = static_cast<char>(request_id & 0xffU);
  out[4] = static_cast<char>(length >> 8U);
  out[5] = static_cast<char>(length & 0xffU);
  return out;
}

std::string end_record(RequestId request_id, ProtocolStatus status, std::uint32_t application_status) {
  std::string out = header(kEndRequest, request_id, kBeginBytes);
  for (int shift = 24; shift >= 0; shift -= 8) {
    out += static_cast<char>((application_status >> shift) & 0xffU);
  }
  out += static_cast<char>(status);
  return out + std::string(3, '\0');
}

// Reads a length of a pair: one byte, or four bytes with the highest bit set.
std::optional<std::size_t> read_length(std::string_view& content) {
  if (content.empty()) {
    return std::nullopt;
  }
  const std::uint8_t first = byte_at(content, 0);
  if (first < 0x80U) {
    content.remove_prefix(1);
    return first;
  }
  if (content.size() < kLongLength) {
    return std::nullopt;
  }
  const std::size_t length = ((first & 0x7fU) << 24U) | (byte_at(content, 1) << 16U) |
                             (byte_at(content, 2) << 8U) | byte_at(content, 3);
  content.remove_prefix(kLongLength);
  return length;
}

// Returns the memory that a string holds besides the object itself.
std::size_t heap_bytes(const std::string& text) {
  static const std::size_t kInlineBytes = std::string().capacity();
  return text.capacity() > kInlineBytes ? text.capacity() + 1 + kAllocationBytes : 0;
}

// Frees the memory of a string; an assignment would keep it.
void free_memory(std::string& text) { std::string().swap(text); }

void append_pair(std::string& out, std::string_view name, std::string_view value) {
  out += static_cast<char>(name.size());
  out += static_cast<char>(value.size());
  out += name;
  out += value;
}

}  // namespace

std::optional<Pair> PairReader::next() {
  std::string_view rest = rest_;
  const std::optional<std::size_t> name = read_length(rest);
  const std::optional<std::size_t> value = name ? read_length(rest) : std::nullopt;
  if (!value || *name > rest.size() || *value > rest.size() - *name) {
    return std::nullopt;
  }
  const Pair out{rest.substr(0, *name), rest.substr(*name, *value)};
  rest_ = rest.substr(*name + *value);
  return out;
}

std::optional<std::string_view> Parameters::find(std::string_view name) const {
  PairReader reader = read();
  while (const std::optional<Pair> pair = reader.next()) {
    if (pair->name == name) {
      return pair->value;
    }
  }
  return std::nullopt;
}

bool read_pairs(std::string_view content, std::vector<std::pair<std::string, std::string>>& out) {
  PairReader reader(content);
  while (const std::optional<Pair> pair = reader.next()) {
    out.emplace_back(pair->name, pair->value);
  }
  return reader.at_end();
}

RequestId Parser::record_request() const { return short_at({header_.data(), header_.size()}, 2); }

std::size_t Parser::record_content_bytes() const { return short_at({header_.data(), header_.size()}, 4); }

std::optional<Event> Parser::next(std::string_view& bytes) {
  if (failed_) {
    bytes = {};
    return std::nullopt;
  }
  if (header_bytes_ < kHeaderBytes) {
    if (!read_header(bytes)) {
      return std::nullopt;
    }
    if (std::optional<Event> event = begin_record()) {
      return event;
    }
  }
  read_content(bytes);
  if (content_left_ > 0 || padding_left_ > 0) {
    return std::nullopt;
  }
  return end_record();
}

void Parser::feed(std::string_view bytes, std::vector<Event>& out) {
  while (!bytes.empty()) {
    if (std::optional<Event> event = next(bytes)) {
      out.push_back(std::move(*event));
    }
  }
}

bool Parser::has_partial_message() const {
  return header_bytes_ > 0 || std::any_of(open_.begin(), open_.end(), [](const auto& one) {
           return one.second.stage != Stage::kComplete;
         });
}

std::size_t Parser::structure_bytes() const {
  return open_.size() * (sizeof(OpenRequests::value_type) + kMapNodeBytes) + heap_bytes(stored_);
}

// Returns whether the header is complete.
bool Parser::read_header(std::string_view& bytes) {
  const std::size_t count = std::min(bytes.size(), kHeaderBytes - header_bytes_);
  std::copy_n(bytes.begin(), count, header_.begin() + static_cast<std::ptrdiff_t>(header_bytes_));
  header_bytes_ += count;
  bytes.remove_prefix(count);
  return header_bytes_ == kHeaderBytes;
}

// Decides from the header what becomes of the content.
std::optional<Event> Parser::begin_record() {
  const std::string_view header(header_.data(), header_.size());
  if (byte_at(header, 0) != kVersion) {
    return fail("unsupported version " + std::to_string(byte_at(header, 0)));
  }
  content_left_ = record_content_bytes();
  padding_left_ = byte_at(header, 6);
  const std::uint8_t type = record_type();
  const bool is_stream = record_request() != 0 && (type == kParams || type == kStdin);
  content_ = type == kBeginRequest || type == kGetValues ? Content::kStore : Content::kSkip;
  if (!is_stream || content_left_ == 0) {
    return std::nullopt;
  }
  const auto found = open_.find(record_request());
  return found == open_.end() ? std::nullopt : begin_stream(found->second, type == kStdin);
}

// Rejects the request if the content of this record exceeds a bound or comes too early.
std::optional<Event> Parser::begin_stream(Open& request, bool body) {
  const bool expected = request.stage == (body ? Stage::kBody : Stage::kParameters);
  if (!expected) {
    const bool too_early = body && request.stage == Stage::kParameters;
    return too_early ? std::optional(reject(request, "a body before the end of the parameters"))
                     : std::nullopt;
  }
  const std::size_t received = body ? request.body.size() : request.parameters.size();
  const std::size_t max_bytes = body ? bounds_.body_bytes : bounds_.parameter_bytes;
  if (received + content_left_ > max_bytes || content_bytes_ + content_left_ > bounds_.connection_bytes) {
    return reject(request, body ? "the body is too long" : "the parameters are too long");
  }
  content_ = Content::kAppend;
  return std::nullopt;
}

void Parser::read_content(std::string_view& bytes) {
  const std::string_view piece = bytes.substr(0, content_left_);
  bytes.remove_prefix(piece.size());
  content_left_ -= piece.size();
  if (content_ == Content::kStore) {
    stored_.append(piece.substr(0, kMaxStoredBytes - std::min(kMaxStoredBytes, stored_.size())));
  } else if (const auto found = open_.find(record_request()); content_ == Content::kAppend &&
                                                              found != open_.end() &&
                                                              found->second.stage != Stage::kRejected) {
    Open& request = found->second;
    recount(request, [&] { (record_type() == kStdin ? request.body : request.parameters).append(piece); });
  }
  if (content_left_ == 0) {
    const std::size_t padding = std::min(padding_left_, bytes.size());
    padding_left_ -= padding;
    bytes.remove_prefix(padding);
  }
}

std::optional<Event> Parser::end_record() {
  header_bytes_ = 0;
  const std::uint8_t type = record_type();
  std::optional<Event> event;
  if (record_request() != 0 && type == kBeginRequest) {
    event = begin_request();
  } else if (record_request() != 0 && type == kAbortRequest) {
    event = abort_request();
  } else if (record_request() != 0 && (type == kParams || type == kStdin)) {
    event = record_content_bytes() == 0 ? end_stream() : std::nullopt;
  } else if (record_request() == 0 || type != kData) {
    event = reply_to_management();
  }
  free_memory(stored_);
  return event;
}

std::optional<Event> Parser::begin_request() {
  const RequestId request_id = record_request();
  if (stored_.size() < kBeginBytes) {
    return fail("BEGIN_REQUEST too short");
  }
  // Two open requests with one id could not be distinguished.
  if (open_.contains(request_id)) {
    return fail("request " + std::to_string(request_id) + " is already open");
  }
  if (open_.size() >= bounds_.open_requests) {
    return RequestRejected{request_id, ProtocolStatus::kOverloaded, "too many open requests", false};
  }
  if (short_at(stored_, 0) != kResponder) {
    return RequestRejected{request_id, ProtocolStatus::kUnknownRole, "unknown role", false};
  }
  Open& request = open_[request_id];
  request.keep_connection = (byte_at(stored_, 2) & kKeepConnection) != 0;
  return std::nullopt;
}

std::optional<Event> Parser::abort_request() {
  const auto found = open_.find(record_request());
  if (found == open_.end()) {
    return std::nullopt;  // the answer was sent before the abort arrived
  }
  erase(found);
  return RequestAborted{record_request()};
}

// Handles the empty record that ends a stream. Records of requests that are rejected or complete are skipped,
// and so are records after the end of the parameters.
std::optional<Event> Parser::end_stream() {
  const auto found = open_.find(record_request());
  if (found == open_.end()) {
    return std::nullopt;
  }
  Open& request = found->second;
  if (record_type() == kParams) {
    request.stage = request.stage == Stage::kParameters ? Stage::kBody : request.stage;
    return std::nullopt;
  }
  if (request.stage == Stage::kParameters) {
    return reject(request, "a body before the end of the parameters");
  }
  return request.stage == Stage::kBody ? finish(request) : std::nullopt;
}

std::optional<Event> Parser::finish(Open& request) {
  PairReader pairs(request.parameters);
  while (pairs.next()) {
  }
  if (!pairs.at_end()) {
    return reject(request, "parameters are cut");
  }
  RequestReceived read;
  read.request_id = record_request();
  read.keep_connection = request.keep_connection;
  recount(request, [&] {
    read.parameters = Parameters(std::move(request.parameters));
    read.body = std::move(request.body);
    free_memory(request.parameters);
    free_memory(request.body);
  });
  request.stage = Stage::kComplete;
  return read;
}

Event Parser::reject(Open& request, std::string reason) {
  recount(request, [&] {
    free_memory(request.parameters);
    free_memory(request.body);
  });
  request.stage = Stage::kRejected;
  content_ = Content::kSkip;
  return RequestRejected{record_request(), ProtocolStatus::kRequestComplete, std::move(reason)};
}

std::optional<RequestRejected> Parser::reject_largest(std::string reason) {
  const auto bytes = [](const Open& request) {
    return heap_bytes(request.parameters) + heap_bytes(request.body);
  };
  const auto largest = std::max_element(
      open_.begin(), open_.end(),
      [&bytes](const auto& one, const auto& two) { return bytes(one.second) < bytes(two.second); });
  if (largest == open_.end() || bytes(largest->second) == 0) {
    return std::nullopt;
  }
  Open& request = largest->second;
  recount(request, [&] {
    free_memory(request.parameters);
    free_memory(request.body);
  });
  request.stage = Stage::kRejected;
  return RequestRejected{largest->first, ProtocolStatus::kOverloaded, std::move(reason), false};
}

void Parser::release(RequestId request_id) {
  if (const auto found = open_.find(request_id); found != open_.end()) {
    erase(found);
  }
}

Parser::OpenRequests::iterator Parser::erase(OpenRequests::iterator request) {
  recount(request->second, [&] {
    free_memory(request->second.parameters);
    free_memory(request->second.body);
  });
  return open_.erase(request);
}

void Parser::stop() {
  failed_ = true;
  for (auto request = open_.begin(); request != open_.end();) {
    request = erase(request);
  }
  free_memory(stored_);
}

template <typename Change>
void Parser::recount(Open& request, Change change) {
  held_ -= heap_bytes(request.parameters) + heap_bytes(request.body);
  content_bytes_ -= request.parameters.size() + request.body.size();
  change();
  held_ += heap_bytes(request.parameters) + heap_bytes(request.body);
  content_bytes_ += request.parameters.size() + request.body.size();
}

std::optional<Event> Parser::reply_to_management() {
  const std::uint8_t type = record_type();
  if (type != kGetValues) {
    std::string unknown = header(kUnknownType, 0, kBeginBytes);
    unknown += static_cast<char>(type);
    return ManagementReply{unknown + std::string(kBeginBytes - 1, '\0')};
  }
  std::string values;
  PairReader requested(stored_);
  while (const std::optional<Pair> pair = requested.next()) {
    if (pair->name == "FCGI_MPXS_CONNS") {
      append_pair(values, pair->name, "1");
    } else if (pair->name == "FCGI_MAX_REQS") {
      append_pair(values, pair->name, std::to_string(bounds_.open_requests));
    }
  }
  return ManagementReply{header(kGetValuesResult, 0, values.size()) + values};
}

Event Parser::fail(std::string reason) {
  stop();
  return ParseError{std::move(reason)};
}

std::size_t AnswerQueue::cost(const Answer& answer) {
  std::size_t bytes = sizeof(Answers::value_type) + kMapNodeBytes + sizeof(RequestId);
  bytes += answer.parts.capacity() * sizeof(std::string);
  for (std::size_t i = answer.first; i < answer.parts.size(); ++i) {
    bytes += heap_bytes(answer.parts[i]);
  }
  return bytes;
}

std::size_t AnswerQueue::waiting_bytes(const Answer& answer) {
  std::size_t bytes = 0;
  for (std::size_t i = answer.first; i < answer.parts.size(); ++i) {
    bytes += answer.parts[i].size();
  }
  return bytes - answer.offset;
}

AnswerQueue::Answer& AnswerQueue::find_or_create(RequestId request_id) {
  const auto [found, created] = answers_.try_emplace(request_id);
  held_ += created ? cost(found->second) : 0;
  return found->second;
}

void AnswerQueue::erase(Answers::iterator answer) {
  held_ -= cost(answer->second);
  waiting_ -= waiting_bytes(answer->second);
  answers_.erase(answer);
}

void AnswerQueue::queue(RequestId request_id, Answer& answer) {
  if (!answer.queued) {
    answer.queued = true;
    turns_.push_back(request_id);
  }
}

void AnswerQueue::append(RequestId request_id, std::string bytes) {
  if (bytes.empty()) {
    return;
  }
  Answer& answer = find_or_create(request_id);
  answer.any_output = true;
  waiting_ += bytes.size();
  if (answer.first >= kPartsKept) {
    answer.parts.erase(answer.parts.begin(),
                       answer.parts.begin() + static_cast<std::ptrdiff_t>(answer.first));
    answer.first = 0;
  }
  const std::size_t capacity = answer.parts.capacity();
  answer.parts.push_back(std::move(bytes));
  held_ += (answer.parts.capacity() - capacity) * sizeof(std::string) + heap_bytes(answer.parts.back());
  queue(request_id, answer);
}

void AnswerQueue::end(RequestId request_id, ProtocolStatus status, std::uint32_t application_status) {
  Answer& answer = find_or_create(request_id);
  answer.ended = true;
  answer.status = status;
  answer.application_status = application_status;
  queue(request_id, answer);
}

bool AnswerQueue::drop(RequestId request_id) {
  const auto found = answers_.find(request_id);
  if (found == answers_.end()) {
    return false;
  }
  if (found->second.queued) {
    turns_.erase(std::find(turns_.begin(), turns_.end(), request_id));
  }
  erase(found);
  return true;
}

bool AnswerQueue::replace_largest(std::string_view output) {
  Answers::iterator largest = answers_.end();
  std::size_t most = output.size();
  for (auto answer = answers_.begin(); answer != answers_.end(); ++answer) {
    const bool replaceable = answer->second.ended && !answer->second.written;
    const std::size_t bytes = replaceable ? waiting_bytes(answer->second) : 0;
    if (bytes > most) {
      most = bytes;
      largest = answer;
    }
  }
  if (largest == answers_.end()) {
    return false;
  }
  Answer& answer = largest->second;
  held_ -= cost(answer);
  waiting_ -= waiting_bytes(answer);
  std::vector<std::string>{std::string(output)}.swap(answer.parts);
  held_ += cost(answer);
  waiting_ += waiting_bytes(answer);
  return true;
}

std::string AnswerQueue::next(RequestId& ended_id, bool& ended) {
  ended = false;
  const RequestId request_id = turns_.front();
  turns_.pop_front();
  const auto found = answers_.find(request_id);
  Answer& answer = found->second;
  answer.queued = false;
  answer.written = true;
  constexpr std::size_t kHeaderBytes = 8;
  const std::size_t max_bytes = kHeaderBytes + std::min(record_bytes_, kMaxContentBytes);
  std::string out(kHeaderBytes, '\0');
  out.reserve(std::min(max_bytes, kHeaderBytes + waiting_bytes(answer)) + kEndBytes);
  while (answer.first < answer.parts.size() && out.size() < max_bytes) {
    std::string& part = answer.parts[answer.first];
    const std::size_t piece = std::min(part.size() - answer.offset, max_bytes - out.size());
    out.append(part, answer.offset, piece);
    answer.offset += piece;
    if (answer.offset == part.size()) {
      held_ -= heap_bytes(part);
      free_memory(part);
      ++answer.first;
      answer.offset = 0;
    }
  }
  const std::size_t content_bytes = out.size() - kHeaderBytes;
  waiting_ -= content_bytes;
  if (content_bytes > 0) {
    out.replace(0, kHeaderBytes, header(kStdout, request_id, content_bytes));
  } else {
    out.clear();
  }
  if (answer.first < answer.parts.size()) {
    queue(request_id, answer);
  } else if (answer.ended) {
    if (answer.any_output) {
      out += header(kStdout, request_id, 0);
    }
    out += end_record(request_id, answer.status, answer.application_status);
    erase(found);
    ended_id = request_id;
    ended = true;
  }
  return out;
}

}  // namespace trailcourse::protocol::fastcgi
