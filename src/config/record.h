// Typed records: one declaration of a key gives its reader, its error messages, what `check-config` prints,
// its JSON Schema and its row in docs/configuration.md.
//
// Package `config`, beside `protocol`: knows JSON, no file and no socket. Not thread-safe; a Record is made
// once and then only read.
#pragma once

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace trailcourse::config {

// A key at fault. Its text is one line, "SECTION.KEY: what is allowed, what was given".
class KeyError : public std::runtime_error {
 public:
  KeyError(const std::string& key, const std::string& why)
      : std::runtime_error(key + ": " + why), key_(key) {}
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

struct WholeRange {
  std::int64_t least = 0;
  std::int64_t most = 0;
};
struct RealRange {
  double least = 0.0;
  double most = 0.0;
};
struct Words {
  std::vector<std::string> allowed;  // empty: any text
  bool needed = false;               // must not be empty
};
using Allowed = std::variant<WholeRange, RealRange, Words>;

// What a key is, whatever record it stands in.
struct Key {
  std::string name;
  std::string unit;  // "-" where it has none
  Allowed allowed;
  std::string reason;

  std::string range() const;      // as in "1 to 1,024" or "one of a, b"
  std::string type_name() const;  // integer, number, boolean, string or array, as in JSON Schema
  enum class Type { kWhole, kReal, kFlag, kText, kTexts } type = Type::kWhole;
};

// Checks a value against what the key allows; throws KeyError under `path`.
std::int64_t read_whole(const Key& key, const std::string& path, const nlohmann::json& value);
double read_real(const Key& key, const std::string& path, const nlohmann::json& value);
bool read_flag(const std::string& path, const nlohmann::json& value);
std::string read_text(const Key& key, const std::string& path, const nlohmann::json& value);
std::vector<std::string> read_texts(const Key& key, const std::string& path, const nlohmann::json& value);

// The JSON Schema (2020-12) of one key.
nlohmann::json key_schema(const Key& key, const nlohmann::json& value_by_default);

// A whole number as people read it: 1,024.
std::string grouped(std::int64_t value);
// A default as docs/configuration.md writes it.
std::string shown(const nlohmann::json& value);

// One row of docs/configuration.md.
std::string documented(const Key& key, const nlohmann::json& value_by_default);

// The declaration of a section whose values stand in a `T`. A default is what a fresh `T` holds.
template <typename T>
class Record {
 public:
  using Member = std::variant<std::int64_t T::*, double T::*, bool T::*, std::string T::*,
                              std::vector<std::string> T::*>;

  Record(std::string section, std::string about) : section_(std::move(section)), about_(std::move(about)) {}

  Record& whole(const char* name, std::int64_t T::* member, const char* unit, WholeRange range,
                const char* reason) {
    return add(Key{name, unit, range, reason, Key::Type::kWhole}, member);
  }
  Record& real(const char* name, double T::* member, const char* unit, RealRange range, const char* reason) {
    return add(Key{name, unit, range, reason, Key::Type::kReal}, member);
  }
  Record& flag(const char* name, bool T::* member, const char* reason) {
    return add(Key{name, "-", Words{}, reason, Key::Type::kFlag}, member);
  }
  Record& text(const char* name, std::string T::* member, const char* unit, Words words, const char* reason) {
    return add(Key{name, unit, std::move(words), reason, Key::Type::kText}, member);
  }
  Record& texts(const char* name, std::vector<std::string> T::* member, const char* unit,
                const char* reason) {
    return add(Key{name, unit, Words{}, reason, Key::Type::kTexts}, member);
  }

  const std::string& section() const { return section_; }
  const std::string& about() const { return about_; }

  // Sets one key; throws KeyError.
  void set(T& out, const std::string& name, const nlohmann::json& value, const std::string& path) const {
    for (const Entry& entry : entries_) {
      if (entry.key.name == name) {
        assign(out, entry, value, path);
        return;
      }
    }
    throw KeyError(path, "no such key" + nearest(name));
  }

  // Reads a JSON object over the defaults; absent keys keep theirs. Throws KeyError.
  T read(const nlohmann::json& source) const { return read(source, section_); }
  T read(const nlohmann::json& source, const std::string& section) const {
    if (!source.is_object()) {
      throw KeyError(section, "not an object");
    }
    T out{};
    for (const auto& [name, value] : source.items()) {
      set(out, name, value, section.empty() ? name : section + "." + name);
    }
    for (const Entry& entry : entries_) {
      const Words* words = std::get_if<Words>(&entry.key.allowed);
      if (words != nullptr && words->needed && !source.contains(entry.key.name)) {
        throw KeyError(section.empty() ? entry.key.name : section + "." + entry.key.name, "missing");
      }
    }
    return out;
  }

  nlohmann::json value(const T& from, const std::string& name) const {
    for (const Entry& entry : entries_) {
      if (entry.key.name == name) {
        return std::visit([&from](auto member) { return nlohmann::json(from.*member); }, entry.member);
      }
    }
    return nullptr;
  }

  // Calls `take(key, value)` for each key in the order of declaration.
  template <typename Take>
  void each(const T& from, Take take) const {
    for (const Entry& entry : entries_) {
      take(entry.key,
           std::visit([&from](auto member) { return nlohmann::json(from.*member); }, entry.member));
    }
  }

  nlohmann::json schema() const {
    nlohmann::json properties = nlohmann::json::object();
    nlohmann::json required = nlohmann::json::array();
    each(T{}, [&](const Key& key, const nlohmann::json& value) {
      properties[key.name] = key_schema(key, value);
      const Words* words = std::get_if<Words>(&key.allowed);
      if (words != nullptr && words->needed) {
        required.push_back(key.name);
      }
    });
    nlohmann::json out{{"type", "object"},
                       {"description", about_},
                       {"properties", properties},
                       {"additionalProperties", false}};
    if (!required.empty()) {
      out["required"] = required;
    }
    return out;
  }

 private:
  struct Entry {
    Key key;
    Member member;
  };

  template <typename Pointer>
  Record& add(Key key, Pointer member) {
    entries_.push_back(Entry{std::move(key), member});
    return *this;
  }

  static void assign(T& out, const Entry& entry, const nlohmann::json& value, const std::string& path) {
    std::visit(
        [&](auto member) {
          using Value = std::remove_reference_t<decltype(out.*member)>;
          if constexpr (std::is_same_v<Value, std::int64_t>) {
            out.*member = read_whole(entry.key, path, value);
          } else if constexpr (std::is_same_v<Value, double>) {
            out.*member = read_real(entry.key, path, value);
          } else if constexpr (std::is_same_v<Value, bool>) {
            out.*member = read_flag(path, value);
          } else if constexpr (std::is_same_v<Value, std::string>) {
            out.*member = read_text(entry.key, path, value);
          } else {
            out.*member = read_texts(entry.key, path, value);
          }
        },
        entry.member);
  }

  // "; did you mean X?" where a key shares a beginning with the one given.
  std::string nearest(const std::string& name) const {
    std::size_t longest = 3;
    std::string best;
    for (const Entry& entry : entries_) {
      std::size_t same = 0;
      while (same < name.size() && same < entry.key.name.size() && name[same] == entry.key.name[same]) {
        ++same;
      }
      if (same > longest) {
        longest = same;
        best = entry.key.name;
      }
    }
    return best.empty() ? "" : "; did you mean " + best + "?";
  }

  std::string section_;
  std::string about_;
  std::vector<Entry> entries_;
};

}  // namespace trailcourse::config
