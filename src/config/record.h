// Typed records: the declaration of a key defines how the key is read, its error messages, its line in the
// output of `check-config`, its JSON Schema and its row in docs/configuration.md.
//
// Works on JSON values only and does no file or network I/O. Not thread-safe; a Record is declared once and
// only read after that.
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

// A key is invalid. what() is one line of the form "SECTION.KEY: reason", where the reason names the given
// value and the allowed values.
class KeyError : public std::runtime_error {
 public:
  KeyError(const std::string& key, const std::string& reason)
      : std::runtime_error(key + ": " + reason), key_(key) {}
  const std::string& key() const { return key_; }

 private:
  std::string key_;
};

// Allowed integers, both bounds included.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
};

// Allowed numbers, both bounds included.
struct NumberRange {
  double min = 0.0;
  double max = 0.0;
};

// Allowed strings. Keys of type kBoolean and kStrings hold a default StringRule, which is not checked.
struct StringRule {
  std::vector<std::string> allowed;  // empty: any string
  bool required = false;             // the key has to be present and not empty
};
using AllowedValues = std::variant<IntegerRange, NumberRange, StringRule>;

// The declaration of a key, independent of the type of the record.
struct Key {
  enum class Type { kInteger, kNumber, kBoolean, kString, kStrings };

  std::string name;
  std::string unit;  // "-": none
  AllowedValues allowed;
  std::string description;
  Type type = Type::kInteger;

  // Returns the allowed values as text, for example "1 to 1,024" or "one of a, b".
  std::string range() const;
  // Returns integer, number, boolean, string or array, as in JSON Schema.
  std::string type_name() const;
};

// Return the value if the key allows it; throw KeyError otherwise. `path` names the key in the error.
std::int64_t read_integer(const Key& key, const std::string& path, const nlohmann::json& value);
double read_number(const Key& key, const std::string& path, const nlohmann::json& value);
bool read_boolean(const std::string& path, const nlohmann::json& value);
std::string read_string(const Key& key, const std::string& path, const nlohmann::json& value);
std::vector<std::string> read_strings(const Key& key, const std::string& path, const nlohmann::json& value);

// Returns the JSON Schema (2020-12) of one key.
nlohmann::json key_schema(const Key& key, const nlohmann::json& default_value);

// Returns the integer with commas between groups of three digits: 1,024.
std::string grouped(std::int64_t value);

// Returns the value as docs/configuration.md and `config check` write it; "none" for an empty one.
std::string format_value(const nlohmann::json& value);

// Returns the row of the key in docs/configuration.md.
std::string documentation_row(const Key& key, const nlohmann::json& default_value);

// The declaration of a section whose values are stored in a `T`. The defaults are the values of a new `T`.
template <typename T>
class Record {
 public:
  // Pointer to the member of `T` that stores the value of a key.
  using Member = std::variant<std::int64_t T::*, double T::*, bool T::*, std::string T::*,
                              std::vector<std::string> T::*>;

  Record(std::string section, std::string description)
      : section_(std::move(section)), description_(std::move(description)) {}

  // Each declares a key whose value is stored in `member`, and returns this record.
  Record& integer(const char* name, std::int64_t T::* member, const char* unit, IntegerRange range,
                  const char* description) {
    return add(Key{name, unit, range, description, Key::Type::kInteger}, member);
  }
  Record& number(const char* name, double T::* member, const char* unit, NumberRange range,
                 const char* description) {
    return add(Key{name, unit, range, description, Key::Type::kNumber}, member);
  }
  Record& boolean(const char* name, bool T::* member, const char* description) {
    return add(Key{name, "-", StringRule{}, description, Key::Type::kBoolean}, member);
  }
  Record& string(const char* name, std::string T::* member, const char* unit, StringRule rule,
                 const char* description) {
    return add(Key{name, unit, std::move(rule), description, Key::Type::kString}, member);
  }
  Record& strings(const char* name, std::vector<std::string> T::* member, const char* unit,
                  const char* description) {
    return add(Key{name, unit, StringRule{}, description, Key::Type::kStrings}, member);
  }

  const std::string& section() const { return section_; }
  const std::string& description() const { return description_; }

  // Sets one key; throws KeyError if it does not exist or the value is not allowed.
  void set(T& out, const std::string& name, const nlohmann::json& value, const std::string& path) const {
    for (const Entry& entry : entries_) {
      if (entry.key.name == name) {
        assign(out, entry, value, path);
        return;
      }
    }
    throw KeyError(path, "no such key" + nearest(name));
  }

  // Reads a JSON object; absent keys keep their defaults. Throws KeyError. `section` is the prefix of the
  // keys in errors.
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
      const StringRule* rule = std::get_if<StringRule>(&entry.key.allowed);
      if (rule != nullptr && rule->required && !source.contains(entry.key.name)) {
        throw KeyError(section.empty() ? entry.key.name : section + "." + entry.key.name, "missing");
      }
    }
    return out;
  }

  // Returns the value of a key; null if there is no such key.
  nlohmann::json value(const T& from, const std::string& name) const {
    for (const Entry& entry : entries_) {
      if (entry.key.name == name) {
        return std::visit([&from](auto member) { return nlohmann::json(from.*member); }, entry.member);
      }
    }
    return nullptr;
  }

  // Calls `visit(key, value)` for each key in the order of declaration.
  template <typename Visit>
  void each(const T& from, Visit visit) const {
    for (const Entry& entry : entries_) {
      visit(entry.key,
            std::visit([&from](auto member) { return nlohmann::json(from.*member); }, entry.member));
    }
  }

  // Returns the JSON Schema (2020-12) of the section.
  nlohmann::json schema() const {
    nlohmann::json properties = nlohmann::json::object();
    nlohmann::json required = nlohmann::json::array();
    each(T{}, [&](const Key& key, const nlohmann::json& value) {
      properties[key.name] = key_schema(key, value);
      const StringRule* rule = std::get_if<StringRule>(&key.allowed);
      if (rule != nullptr && rule->required) {
        required.push_back(key.name);
      }
    });
    nlohmann::json out{{"type", "object"},
                       {"description", description_},
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
            out.*member = read_integer(entry.key, path, value);
          } else if constexpr (std::is_same_v<Value, double>) {
            out.*member = read_number(entry.key, path, value);
          } else if constexpr (std::is_same_v<Value, bool>) {
            out.*member = read_boolean(path, value);
          } else if constexpr (std::is_same_v<Value, std::string>) {
            out.*member = read_string(entry.key, path, value);
          } else {
            out.*member = read_strings(entry.key, path, value);
          }
        },
        entry.member);
  }

  // Returns "; did you mean X?" for the key that has the longest common prefix with `name`, at least 4
  // characters; empty if none has.
  std::string nearest(const std::string& name) const {
    std::size_t longest = 3;
    std::string best;
    for (const Entry& entry : entries_) {
      std::size_t common = 0;
      while (common < name.size() && common < entry.key.name.size() &&
             name[common] == entry.key.name[common]) {
        ++common;
      }
      if (common > longest) {
        longest = common;
        best = entry.key.name;
      }
    }
    return best.empty() ? "" : "; did you mean " + best + "?";
  }

  std::string section_;
  std::string description_;
  std::vector<Entry> entries_;
};

}  // namespace trailcourse::config
