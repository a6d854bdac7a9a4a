// The client's side of FastCGI, for `trailcourse get` and for tests: writes the records of requests and reads
// the records of answers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trailcourse::protocol::fastcgi_peer {

// One record of the protocol; `type` as in the FastCGI specification.
struct Record {
  std::uint8_t type = 0;
  std::uint16_t request_id = 0;
  std::string content;
};

// Returns the bytes of one record.
inline std::string record(std::uint8_t type, std::uint16_t request_id, std::string_view content,
                          std::uint8_t padding = 0) {
  std::string out{1, static_cast<char>(type), static_cast<char>(request_id >> 8U),
                  static_cast<char>(request_id & 0xffU)};
  out += static_cast<char>(content.size() >> 8U);
  out += static_cast<char>(content.size() & 0xffU);
  out += static_cast<char>(padding);
  out += '\0';
  return out.append(content) + std::string(padding, '\0');
}

// Returns BEGIN_REQUEST; role 1 is Responder.
inline std::string begin_record(std::uint16_t request_id, std::uint16_t role = 1, bool keep = true) {
  std::string content{static_cast<char>(role >> 8U), static_cast<char>(role & 0xffU),
                      static_cast<char>(keep ? 1 : 0)};
  return record(1, request_id, content + std::string(5, '\0'));
}

// Returns the encoding of a length: one byte, or four from 128 on.
inline std::string length_of(std::size_t size) {
  if (size < 0x80U) {
    return std::string(1, static_cast<char>(size));
  }
  return {static_cast<char>((size >> 24U) | 0x80U), static_cast<char>((size >> 16U) & 0xffU),
          static_cast<char>((size >> 8U) & 0xffU), static_cast<char>(size & 0xffU)};
}

inline std::string pair(std::string_view name, std::string_view value) {
  return (length_of(name.size()) + length_of(value.size())).append(name).append(value);
}

using Fields = std::vector<std::pair<std::string, std::string>>;

// Returns the records of a complete request.
inline std::string request_bytes(std::uint16_t request_id, const Fields& fields, std::string_view body,
                                 bool keep = true) {
  std::string parameters;
  for (const auto& [name, value] : fields) {
    parameters += pair(name, value);
  }
  std::string out = begin_record(request_id, 1, keep);
  out += parameters.empty() ? "" : record(4, request_id, parameters);
  out += record(4, request_id, "");
  for (std::size_t at = 0; at < body.size(); at += 60'000) {
    out += record(5, request_id, body.substr(at, 60'000));
  }
  return out + record(5, request_id, "");
}

// Removes the complete records from the front of `bytes` and returns them.
inline std::vector<Record> take_records(std::string& bytes) {
  const auto at = [&bytes](std::size_t offset) { return static_cast<std::uint8_t>(bytes[offset]); };
  std::vector<Record> out;
  while (bytes.size() >= 8) {
    const std::size_t length = (static_cast<std::size_t>(at(4)) << 8U) | at(5);
    const std::size_t record_bytes = 8 + length + at(6);
    if (bytes.size() < record_bytes) {
      break;
    }
    out.push_back(Record{at(1), static_cast<std::uint16_t>((at(2) << 8U) | at(3)), bytes.substr(8, length)});
    bytes.erase(0, record_bytes);
  }
  return out;
}

}  // namespace trailcourse::protocol::fastcgi_peer
