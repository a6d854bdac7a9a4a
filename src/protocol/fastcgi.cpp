#include "protocol/fastcgi.h"

#include <algorithm>
#include <optional>

namespace trailcourse::protocol::fastcgi {
namespace {

constexpr std::size_t kHeaderBytes = 8;
constexpr std::uint8_t kVersion = 1;
constexpr std::uint8_t kKeepConnection = 1;
constexpr std::uint16_t kResponder = 1;
constexpr std::size_t kBeginBytes = 8;
constexpr std::size_t kLongLength = 4;
constexpr std::size_t kMaxContentBytes = 65'535;

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

void append_pair(std::string& out, std::string_view name, std::string_view value) {
  out += static_cast<char>(name.size());
  out += static_cast<char>(value.size());
  out += name;
  out += value;
}

}  // namespace

const std::string* Parameters::find(std::string_view name) const {
  for (const auto& [key, value] : fields) {
    if (key == name) {
      return &value;
    }
  }
  return nullptr;
}

bool read_pairs(std::string_view content, std::vector<std::pair<std::string, std::string>>& out) {
  while (!content.empty()) {
    const std::optional<std::size_t> name = read_length(content);
    const std::optional<std::size_t> value = name ? read_length(content) : std::nullopt;
    if (!value || *name > content.size() || *value > content.size() - *name) {
      return false;
    }
    out.emplace_back(content.substr(0, *name), content.substr(*name, *value));
    content.remove_prefix(*name + *value);
  }
  return true;
}

void Parser::feed(std::string_view bytes, std::vector<Event>& out) {
  if (failed_) {
    return;
  }
  if (!partial_.empty()) {
    partial_ += bytes;
    bytes = partial_;
  }
  while (!failed_ && bytes.size() >= kHeaderBytes) {
    if (byte_at(bytes, 0) != kVersion) {
      fail("unsupported version " + std::to_string(byte_at(bytes, 0)), out);
      break;
    }
    const std::size_t length = short_at(bytes, 4);
    const std::size_t record_bytes = kHeaderBytes + length + byte_at(bytes, 6);
    if (bytes.size() < record_bytes) {
      break;
    }
    on_record(byte_at(bytes, 1), short_at(bytes, 2), bytes.substr(kHeaderBytes, length), out);
    bytes.remove_prefix(record_bytes);
  }
  partial_ = failed_ ? std::string() : std::string(bytes);
}

bool Parser::has_partial_message() const {
  return !partial_.empty() || std::any_of(open_.begin(), open_.end(), [](const auto& one) {
    return one.second.stage != Stage::kComplete;
  });
}

void Parser::on_record(std::uint8_t type, RequestId request_id, std::string_view content,
                       std::vector<Event>& out) {
  if (request_id == 0) {
    manage(type, content, out);
    return;
  }
  if (type == kBeginRequest) {
    begin(request_id, content, out);
  } else if (type == kAbortRequest) {
    const auto found = open_.find(request_id);
    if (found == open_.end()) {
      return;  // the answer was sent before the abort arrived
    }
    held_ -= found->second.parameters.size() + found->second.body.size();
    open_.erase(found);
    out.emplace_back(RequestAborted{request_id});
  } else if (type == kParams || type == kStdin) {
    on_stream(request_id, type == kStdin, content, out);
  } else if (type != kData) {
    manage(type, content, out);
  }
}

void Parser::begin(RequestId request_id, std::string_view content, std::vector<Event>& out) {
  if (content.size() < kBeginBytes) {
    fail("BEGIN_REQUEST too short", out);
    return;
  }
  // Two open requests with one id could not be distinguished.
  if (open_.contains(request_id)) {
    fail("request " + std::to_string(request_id) + " is already open", out);
    return;
  }
  if (open_.size() >= bounds_.open_requests) {
    out.emplace_back(
        RequestRejected{request_id, ProtocolStatus::kOverloaded, "too many open requests", false});
    return;
  }
  if (short_at(content, 0) != kResponder) {
    out.emplace_back(RequestRejected{request_id, ProtocolStatus::kUnknownRole, "unknown role", false});
    return;
  }
  Open request;
  request.keep_connection = (byte_at(content, 2) & kKeepConnection) != 0;
  open_.emplace(request_id, std::move(request));
}

void Parser::on_stream(RequestId request_id, bool body, std::string_view content, std::vector<Event>& out) {
  const auto found = open_.find(request_id);
  if (found == open_.end()) {
    return;  // the request was aborted or rejected; its remaining records are skipped
  }
  Open& request = found->second;
  if (request.stage == Stage::kRejected || request.stage == Stage::kComplete) {
    return;
  }
  if (body != (request.stage == Stage::kBody)) {
    if (!body) {
      return;  // a parameter record after the end of the parameters is skipped
    }
    reject(request_id, request, "a body before the end of the parameters", out);
    return;
  }
  if (content.empty()) {
    if (body) {
      finish(request_id, request, out);
    } else {
      request.stage = Stage::kBody;
    }
    return;
  }
  std::string& stream = body ? request.body : request.parameters;
  const std::size_t max_bytes = body ? bounds_.body_bytes : bounds_.parameter_bytes;
  if (stream.size() + content.size() > max_bytes || held_ + content.size() > bounds_.connection_bytes) {
    reject(request_id, request, body ? "the body is too long" : "the parameters are too long", out);
    return;
  }
  stream += content;
  held_ += content.size();
}

void Parser::finish(RequestId request_id, Open& request, std::vector<Event>& out) {
  RequestReceived read;
  read.request_id = request_id;
  if (!read_pairs(request.parameters, read.parameters.fields)) {
    reject(request_id, request, "parameters are cut", out);
    return;
  }
  held_ -= request.parameters.size() + request.body.size();
  request.stage = Stage::kComplete;
  read.keep_connection = request.keep_connection;
  request.parameters = std::string();
  read.body = std::exchange(request.body, {});
  out.emplace_back(std::move(read));
}

void Parser::reject(RequestId request_id, Open& request, std::string reason, std::vector<Event>& out) {
  held_ -= request.parameters.size() + request.body.size();
  request = Open{Stage::kRejected, {}, {}, request.keep_connection};
  out.emplace_back(RequestRejected{request_id, ProtocolStatus::kRequestComplete, std::move(reason)});
}

void Parser::manage(std::uint8_t type, std::string_view content, std::vector<Event>& out) {
  if (type == kGetValues) {
    std::vector<std::pair<std::string, std::string>> requested;
    read_pairs(content, requested);
    std::string values;
    for (const auto& [name, ignored] : requested) {
      if (name == "FCGI_MPXS_CONNS") {
        append_pair(values, name, "1");
      } else if (name == "FCGI_MAX_REQS") {
        append_pair(values, name, std::to_string(bounds_.open_requests));
      }
    }
    out.emplace_back(ManagementReply{header(kGetValuesResult, 0, values.size()) + values});
    return;
  }
  std::string unknown = header(kUnknownType, 0, kBeginBytes);
  unknown += static_cast<char>(type);
  out.emplace_back(ManagementReply{unknown + std::string(kBeginBytes - 1, '\0')});
}

void Parser::fail(std::string reason, std::vector<Event>& out) {
  failed_ = true;
  out.emplace_back(ParseError{std::move(reason)});
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
  Answer& answer = answers_[request_id];
  waiting_ += bytes.size();
  answer.any_output = true;
  answer.parts.push_back(std::move(bytes));
  queue(request_id, answer);
}

void AnswerQueue::end(RequestId request_id, ProtocolStatus status, std::uint32_t application_status) {
  Answer& answer = answers_[request_id];
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
  std::size_t bytes = 0;
  for (const std::string& part : found->second.parts) {
    bytes += part.size();
  }
  waiting_ -= bytes - found->second.offset;
  if (found->second.queued) {
    turns_.erase(std::find(turns_.begin(), turns_.end(), request_id));
  }
  answers_.erase(found);
  return true;
}

std::string AnswerQueue::next(RequestId& ended_id, bool& ended) {
  ended = false;
  const RequestId request_id = turns_.front();
  turns_.pop_front();
  Answer& answer = answers_[request_id];
  answer.queued = false;
  std::string out;
  std::size_t content_bytes = 0;
  std::string content;
  while (!answer.parts.empty() && content_bytes < std::min(record_bytes_, kMaxContentBytes)) {
    const std::string& part = answer.parts.front();
    const std::size_t piece =
        std::min(part.size() - answer.offset, std::min(record_bytes_, kMaxContentBytes) - content_bytes);
    content.append(part, answer.offset, piece);
    content_bytes += piece;
    answer.offset += piece;
    if (answer.offset == part.size()) {
      answer.parts.pop_front();
      answer.offset = 0;
    }
  }
  waiting_ -= content_bytes;
  if (content_bytes > 0) {
    out = header(kStdout, request_id, content_bytes) + content;
  }
  if (!answer.parts.empty()) {
    queue(request_id, answer);
  } else if (answer.ended) {
    if (answer.any_output) {
      out += header(kStdout, request_id, 0);
    }
    out += end_record(request_id, answer.status, answer.application_status);
    answers_.erase(request_id);
    ended_id = request_id;
    ended = true;
  }
  return out;
}

}  // namespace trailcourse::protocol::fastcgi
