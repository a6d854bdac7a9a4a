#include "protocol/http_client.h"

#include <algorithm>
#include <cctype>
#include <ctime>
#include <utility>

#include "protocol/numbers.h"

namespace trailcourse::protocol::http {
namespace {

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return out;
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

}  // namespace

void ResponseParser::fail(std::string error) {
  stage_ = Stage::kFailed;
  error_ = std::move(error);
}

void ResponseParser::feed(std::string_view bytes) {
  while (!bytes.empty() && stage_ != Stage::kFailed) {
    if (stage_ == Stage::kComplete) {
      fail("bytes after the end of a response");
    } else if (stage_ == Stage::kBody || stage_ == Stage::kChunk) {
      append_body(bytes);
    } else if (read_line(bytes)) {
      parse_line();
      line_.clear();
    }
  }
}

void ResponseParser::feed_end() {
  if (stage_ == Stage::kBody && !has_length_) {
    response_.keep_open = false;
    stage_ = Stage::kComplete;
  } else if (stage_ != Stage::kComplete) {
    fail("incomplete response");
  }
}

std::optional<Response> ResponseParser::take() {
  if (stage_ != Stage::kComplete) {
    return std::nullopt;
  }
  std::optional<Response> out = std::move(response_);
  *this = ResponseParser(bounds_);
  return out;
}

std::optional<std::string> ResponseParser::take_body_part() {
  const bool in_body = stage_ == Stage::kBody || stage_ == Stage::kChunkSize || stage_ == Stage::kChunk ||
                       stage_ == Stage::kChunkEnd;
  return in_body ? std::optional<std::string>(std::exchange(response_.body, {})) : std::nullopt;
}

// Appends to the current line. Returns true once the line is complete; its line break is removed.
bool ResponseParser::read_line(std::string_view& bytes) {
  const std::size_t end = bytes.find('\n');
  const std::size_t line_bytes = end == std::string_view::npos ? bytes.size() : end + 1;
  if (line_.size() + line_bytes > bounds_.line_bytes) {
    fail("line too long");
    return false;
  }
  line_ += bytes.substr(0, line_bytes);
  bytes.remove_prefix(line_bytes);
  if (end == std::string_view::npos) {
    return false;
  }
  line_.pop_back();
  if (!line_.empty() && line_.back() == '\r') {
    line_.pop_back();
  }
  return true;
}

void ResponseParser::parse_line() {
  const std::string_view line = line_;
  if (++lines_ > bounds_.header_lines && stage_ != Stage::kChunkSize && stage_ != Stage::kChunkEnd) {
    fail("too many header lines");
  } else if (stage_ == Stage::kStatus) {
    const std::optional<std::size_t> status =
        line.size() >= 12 ? read_number<std::size_t>(line.substr(9, 3)) : std::nullopt;
    if (!line.starts_with("HTTP/1.") || !status) {
      fail("invalid status line");
      return;
    }
    response_.status = static_cast<int>(*status);
    response_.keep_open = line[7] != '0';
    stage_ = Stage::kHeaders;
  } else if (stage_ == Stage::kHeaders) {
    if (line.empty()) {
      end_headers();
    } else {
      parse_header(line);
    }
  } else if (stage_ == Stage::kChunkSize) {
    const std::optional<std::size_t> size = read_hex<std::size_t>(trimmed(line.substr(0, line.find(';'))));
    if (!size || *size > bounds_.body_bytes - response_.body.size()) {
      fail("invalid chunk size");
      return;
    }
    remaining_bytes_ = *size;
    stage_ = remaining_bytes_ == 0 ? Stage::kTrailers : Stage::kChunk;
  } else if (stage_ == Stage::kChunkEnd) {
    if (!line.empty()) {
      fail("chunk longer than its size");
      return;
    }
    stage_ = Stage::kChunkSize;
  } else if (line.empty()) {
    stage_ = Stage::kComplete;
  }
}

void ResponseParser::parse_header(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos) {
    fail("invalid header line");
    return;
  }
  const std::string name = lower(line.substr(0, colon));
  const std::string_view trimmed_value = trimmed(line.substr(colon + 1));
  const std::string value = lower(trimmed_value);
  response_.headers[name] = trimmed_value;
  if (name == "content-length") {
    const std::optional<std::size_t> size = read_number<std::size_t>(value);
    if (!size || *size > bounds_.body_bytes) {
      fail("invalid content length");
      return;
    }
    remaining_bytes_ = *size;
    has_length_ = true;
  } else if (name == "transfer-encoding") {
    chunked_ = value.find("chunked") != std::string::npos;
  } else if (name == "connection") {
    response_.keep_open = value.find("close") == std::string::npos;
  }
}

void ResponseParser::end_headers() {
  constexpr int kContinue = 100;
  constexpr int kOk = 200;
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  if (response_.status >= kContinue && response_.status < kOk) {
    *this = ResponseParser(bounds_);
  } else if (response_.status == kNoContent || response_.status == kNotModified) {
    stage_ = Stage::kComplete;
  } else if (chunked_) {
    stage_ = Stage::kChunkSize;
  } else {
    stage_ = has_length_ && remaining_bytes_ == 0 ? Stage::kComplete : Stage::kBody;
  }
}

void ResponseParser::append_body(std::string_view& bytes) {
  const bool counted = stage_ == Stage::kChunk || has_length_;
  const std::string_view piece = counted ? bytes.substr(0, remaining_bytes_) : bytes;
  if (response_.body.size() + piece.size() > bounds_.body_bytes) {
    fail("body too long");
    return;
  }
  response_.body += piece;
  bytes.remove_prefix(piece.size());
  remaining_bytes_ -= counted ? piece.size() : 0;
  if (counted && remaining_bytes_ == 0) {
    stage_ = stage_ == Stage::kChunk ? Stage::kChunkEnd : Stage::kComplete;
  }
}

std::optional<std::int64_t> read_retry_after(const std::string& value, std::int64_t unix_s) {
  constexpr std::size_t kMaxDigits = 9;
  if (const auto seconds = read_number<std::int64_t>(value)) {
    return *seconds >= 0 && value.size() <= kMaxDigits ? seconds : std::nullopt;
  }
  std::tm date{};
  const char* end = ::strptime(value.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &date);
  if (value.empty() || end == nullptr || *end != '\0') {
    return std::nullopt;
  }
  return std::max<std::int64_t>(0, static_cast<std::int64_t>(::timegm(&date)) - unix_s);
}

std::string write_get(std::string_view path, std::string_view host) {
  std::string out = "GET ";
  out.append(path).append(" HTTP/1.1\r\nHost: ").append(host);
  return out + "\r\nAccept: application/json\r\n\r\n";
}

std::string write_post(std::string_view path, std::string_view host, std::string_view json) {
  std::string out = "POST ";
  out.append(path).append(" HTTP/1.1\r\nHost: ").append(host);
  out.append("\r\nContent-Type: application/json\r\nAccept: application/json\r\nContent-Length: ");
  out.append(std::to_string(json.size())).append("\r\n\r\n").append(json);
  return out;
}

}  // namespace trailcourse::protocol::http
