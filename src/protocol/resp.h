// Incremental parser and writer of RESP arrays of bulk strings. The parser accepts bytes in any split. It
// passes on the last string of an array piece by piece, so that a large one need not be buffered.
//
// Library `protocol`: no I/O and no clock.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace trailcourse::protocol::resp {

// All strings of an array except the last were received; the last follows in pieces.
struct ArrayHead {
  std::vector<std::string> strings;
  std::size_t last_bytes = 0;  // of the last string
};
struct ArrayPiece {
  std::string_view bytes;  // valid during the call
};
struct ArrayEnd {};
// A malformed message. No event follows.
struct ParseError {
  std::string reason;
};
using Event = std::variant<ArrayHead, ArrayPiece, ArrayEnd, ParseError>;

// Limits of one array; a larger one is a ParseError.
struct Bounds {
  std::size_t strings = 8;               // of one array
  std::size_t string_bytes = 4096;       // of one string, except the last
  std::size_t last_bytes = 512U << 10U;  // objects have 240,000 at most
  std::size_t line_bytes = 32;           // of a length line
};

// Parses the arrays of one connection.
class Parser {
 public:
  explicit Parser(const Bounds& bounds) : bounds_(bounds) {}

  // Calls `sink` with each event. ArrayPiece refers to `bytes`. After ParseError all further bytes are
  // ignored.
  template <typename Sink>
  void feed(std::string_view bytes, Sink sink) {
    while (!bytes.empty() && stage_ != Stage::kFailed) {
      step(bytes, sink);
    }
  }

  // Returns whether an array was received in part.
  bool has_partial_message() const { return stage_ != Stage::kArray || !line_.empty(); }

 private:
  enum class Stage { kArray, kBulk, kString, kStringEnd, kLast, kLastEnd, kFailed };

  template <typename Sink>
  void step(std::string_view& bytes, Sink& sink) {
    switch (stage_) {
      case Stage::kArray:
      case Stage::kBulk:
        if (read_line(bytes) && parse_length() && stage_ == Stage::kLast) {
          sink(Event(ArrayHead{std::exchange(strings_, {}), remaining_bytes_}));
        }
        break;
      case Stage::kString:
        read_string(bytes);
        break;
      case Stage::kStringEnd:
        read_break(bytes, Stage::kBulk);
        break;
      case Stage::kLast: {
        const std::string_view piece = bytes.substr(0, remaining_bytes_);
        bytes.remove_prefix(piece.size());
        remaining_bytes_ -= piece.size();
        if (!piece.empty()) {
          sink(Event(ArrayPiece{piece}));
        }
        stage_ = remaining_bytes_ == 0 ? Stage::kLastEnd : Stage::kLast;
        break;
      }
      case Stage::kLastEnd:
        if (read_break(bytes, Stage::kArray)) {
          sink(Event(ArrayEnd{}));
        }
        break;
      case Stage::kFailed:
        break;
    }
    if (stage_ == Stage::kFailed) {
      sink(Event(ParseError{error_}));
    }
  }

  bool read_line(std::string_view& bytes);
  bool parse_length();
  void read_string(std::string_view& bytes);
  bool read_break(std::string_view& bytes, Stage after);
  bool fail(std::string reason);

  Bounds bounds_;
  Stage stage_ = Stage::kArray;
  std::string line_;
  std::vector<std::string> strings_;
  std::size_t remaining_strings_ = 0;  // of the current array
  std::size_t remaining_bytes_ = 0;    // of the current string
  std::size_t line_break_bytes_ = 0;   // of the line break after it
  std::string error_;
};

// Returns the strings as a RESP array.
std::string write_array(const std::vector<std::string_view>& strings);

}  // namespace trailcourse::protocol::resp
