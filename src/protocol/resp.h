// RESP arrays of bulk strings: a state machine that is fed bytes in any split. The last string of a long
// array is handed on piece by piece, so that a large one need not be held.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace trailcourse::protocol::resp {

// All strings of an array but its last have come; the last follows in pieces.
struct ArrayHead {
  std::vector<std::string> words;
  std::size_t last_bytes = 0;
};
struct ArrayPiece {
  std::string_view bytes;  // valid during the call
};
struct ArrayEnd {};
struct ParseError {
  std::string why;
};
using Event = std::variant<ArrayHead, ArrayPiece, ArrayEnd, ParseError>;

struct Bounds {
  std::size_t words = 8;                 // of one array
  std::size_t word_bytes = 4096;         // but for the last
  std::size_t last_bytes = 512U << 10U;  // objects hold 240,000 at most
  std::size_t line_bytes = 32;           // of a length
};

class Parser {
 public:
  explicit Parser(const Bounds& bounds) : bounds_(bounds) {}

  // Hands each event to `sink` as it is found; the pieces point into `bytes`.
  template <typename Sink>
  void feed(std::string_view bytes, Sink sink) {
    while (!bytes.empty() && stage_ != Stage::kFailed) {
      step(bytes, sink);
    }
  }

  // Whether a part of an array has come whose rest is still awaited.
  bool partial() const { return stage_ != Stage::kArray || !line_.empty(); }

 private:
  enum class Stage { kArray, kBulk, kWord, kWordEnd, kLast, kLastEnd, kFailed };

  template <typename Sink>
  void step(std::string_view& bytes, Sink& sink) {
    switch (stage_) {
      case Stage::kArray:
      case Stage::kBulk:
        if (read_line(bytes) && take_length() && stage_ == Stage::kLast) {
          sink(Event(ArrayHead{std::exchange(words_, {}), left_}));
        }
        break;
      case Stage::kWord:
        read_word(bytes);
        break;
      case Stage::kWordEnd:
        read_break(bytes, Stage::kBulk);
        break;
      case Stage::kLast: {
        const std::string_view piece = bytes.substr(0, left_);
        bytes.remove_prefix(piece.size());
        left_ -= piece.size();
        if (!piece.empty()) {
          sink(Event(ArrayPiece{piece}));
        }
        stage_ = left_ == 0 ? Stage::kLastEnd : Stage::kLast;
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
      sink(Event(ParseError{why_}));
    }
  }

  bool read_line(std::string_view& bytes);
  bool take_length();
  void read_word(std::string_view& bytes);
  bool read_break(std::string_view& bytes, Stage after);
  bool fail(std::string why);

  Bounds bounds_;
  Stage stage_ = Stage::kArray;
  std::string line_;
  std::vector<std::string> words_;
  std::size_t expected_ = 0;  // strings still to come
  std::size_t left_ = 0;      // bytes of the one at hand
  std::size_t breaks_ = 0;    // of the line break behind it
  std::string why_;
};

std::string write_array(const std::vector<std::string_view>& words);

}  // namespace trailcourse::protocol::resp
