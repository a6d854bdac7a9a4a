#include "fleet/fault_script.h"

#include <algorithm>
#include <array>
#include <random>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "protocol/numbers.h"

namespace trailcourse::fleet {
namespace {

struct FaultSyntax {
  const char* name;
  FaultKind kind;
  bool link;  // the target is a link, not a process
  enum class Value { kNone, kDirection, kNumber } value;
};

constexpr std::array<FaultSyntax, 13> kFaultSyntaxes{
    {{"start", FaultKind::kStart, false, FaultSyntax::Value::kNone},
     {"kill", FaultKind::kKill, false, FaultSyntax::Value::kNone},
     {"end", FaultKind::kEnd, false, FaultSyntax::Value::kNone},
     {"stop", FaultKind::kStop, false, FaultSyntax::Value::kNone},
     {"cont", FaultKind::kCont, false, FaultSyntax::Value::kNone},
     {"hup", FaultKind::kHup, false, FaultSyntax::Value::kNone},
     {"cut", FaultKind::kCut, true, FaultSyntax::Value::kDirection},
     {"delay", FaultKind::kDelay, true, FaultSyntax::Value::kNumber},
     {"reset", FaultKind::kReset, true, FaultSyntax::Value::kNone},
     {"refuse", FaultKind::kRefuse, true, FaultSyntax::Value::kNone},
     {"slow", FaultKind::kSlow, true, FaultSyntax::Value::kNumber},
     {"truncate", FaultKind::kTruncate, true, FaultSyntax::Value::kNumber},
     {"heal", FaultKind::kHeal, true, FaultSyntax::Value::kNone}}};

const FaultSyntax& syntax_of(FaultKind kind) {
  return *std::find_if(kFaultSyntaxes.begin(), kFaultSyntaxes.end(),
                       [kind](const FaultSyntax& one) { return one.kind == kind; });
}

Fault read_line(const std::string& line, int number) {
  const auto fail = [&](const std::string& reason) {
    throw std::invalid_argument("line " + std::to_string(number) + ": " + reason + ": " + line);
  };
  std::istringstream fields(line);
  std::string at;
  std::string name;
  std::string value;
  std::string rest;
  Fault fault;
  fields >> at >> name >> fault.target >> value >> rest;
  const auto time = protocol::read_number<std::int64_t>(at);
  if (!time || *time < 0) {
    fail("expected a time in ms");
  }
  fault.at_ms = *time;
  const auto* syntax = std::find_if(kFaultSyntaxes.begin(), kFaultSyntaxes.end(),
                                    [&](const FaultSyntax& one) { return name == one.name; });
  if (syntax == kFaultSyntaxes.end()) {
    fail("unknown fault");
  }
  fault.kind = syntax->kind;
  if (fault.target.empty() || syntax->link != (fault.target.find('>') != std::string::npos)) {
    fail(syntax->link ? "expected a link FROM>TO" : "expected the name of a process");
  }
  if (syntax->value == FaultSyntax::Value::kDirection) {
    fault.direction = value.empty() ? "both" : value;
    if (fault.direction != "in" && fault.direction != "out" && fault.direction != "both") {
      fail("expected the direction in, out or both");
    }
  } else if (syntax->value == FaultSyntax::Value::kNumber) {
    const auto read = protocol::read_number<std::int64_t>(value);
    if (!read || *read < 0) {
      fail("expected a non-negative number");
    }
    fault.value = *read;
  } else if (!value.empty()) {
    fail("unexpected text after the fault");
  }
  if (!rest.empty()) {
    fail("unexpected text after the fault");
  }
  return fault;
}

// Appends at `at_ms` the repair of each fault that the script does not repair later.
std::vector<Fault> with_repairs(std::vector<Fault> script, std::int64_t at_ms) {
  std::vector<Fault> out = std::move(script);
  const std::size_t given = out.size();
  for (std::size_t i = 0; i < given; ++i) {
    const Fault fault = out[i];
    const FaultKind repair = is_link_fault(fault.kind)        ? FaultKind::kHeal
                             : fault.kind == FaultKind::kStop ? FaultKind::kCont
                                                              : FaultKind::kStart;
    const bool needs_repair = fault.kind != FaultKind::kStart && fault.kind != FaultKind::kCont &&
                              fault.kind != FaultKind::kHeal && fault.kind != FaultKind::kHup &&
                              fault.kind != FaultKind::kReset;
    const bool repaired_later =
        std::any_of(out.begin() + static_cast<std::ptrdiff_t>(i) + 1, out.end(),
                    [&](const Fault& one) { return one.kind == repair && one.target == fault.target; });
    if (needs_repair && !repaired_later) {
      out.push_back(Fault{std::max(at_ms, fault.at_ms), repair, fault.target, "", 0});
    }
  }
  return out;
}

}  // namespace

bool is_link_fault(FaultKind kind) { return syntax_of(kind).link; }

std::vector<Fault> read_script(std::string_view text) {
  std::vector<Fault> out;
  std::istringstream lines{std::string(text)};
  int number = 0;
  for (std::string line; std::getline(lines, line);) {
    ++number;
    line.resize(std::min(line.find('#'), line.size()));
    if (line.find_first_not_of(" \t\r") != std::string::npos) {
      out.push_back(read_line(line, number));
    }
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const Fault& one, const Fault& other) { return one.at_ms < other.at_ms; });
  return out;
}

std::string write_script(const std::vector<Fault>& script) {
  std::ostringstream out;
  for (const Fault& fault : script) {
    const FaultSyntax& syntax = syntax_of(fault.kind);
    out << fault.at_ms << ' ' << syntax.name << ' ' << fault.target;
    if (syntax.value == FaultSyntax::Value::kDirection) {
      out << ' ' << fault.direction;
    } else if (syntax.value == FaultSyntax::Value::kNumber) {
      out << ' ' << fault.value;
    }
    out << '\n';
  }
  return out.str();
}

bool matches_pattern(std::string_view pattern, std::string_view name) {
  const std::size_t star = pattern.find('*');
  if (star == std::string_view::npos) {
    return pattern == name;
  }
  if (!name.starts_with(pattern.substr(0, star))) {
    return false;
  }
  const std::string_view rest = pattern.substr(star + 1);
  for (std::size_t from = star; from <= name.size(); ++from) {
    if (matches_pattern(rest, name.substr(from))) {
      return true;
    }
  }
  return false;
}

namespace {

// Draws uniformly distributed numbers from 0 up to, and excluding, a bound.
class BoundedRandom {
 public:
  explicit BoundedRandom(std::uint64_t seed) : random_(seed) {}

  std::int64_t below(std::int64_t bound) {
    return std::uniform_int_distribution<std::int64_t>(0, std::max<std::int64_t>(0, bound - 1))(random_);
  }
  template <typename Container>
  const auto& one_of(const Container& values) {
    return values[static_cast<std::size_t>(below(static_cast<std::int64_t>(values.size())))];
  }

 private:
  std::mt19937_64 random_;
};

std::int64_t random_value(FaultKind kind, BoundedRandom& random) {
  switch (kind) {
    case FaultKind::kDelay:
      return 1 + random.below(500);
    case FaultKind::kSlow:
      return 200 + random.below(20'000);
    case FaultKind::kTruncate:
      return random.below(400);
    default:
      return 0;
  }
}

Fault random_link_fault(std::int64_t at_ms, const std::string& link, BoundedRandom& random) {
  constexpr std::array<const char*, 3> kDirections{"in", "out", "both"};
  constexpr std::array<FaultKind, 6> kKinds{FaultKind::kCut,    FaultKind::kDelay, FaultKind::kReset,
                                            FaultKind::kRefuse, FaultKind::kSlow,  FaultKind::kTruncate};
  Fault fault{at_ms, random.one_of(kKinds), link, "", 0};
  fault.direction = fault.kind == FaultKind::kCut ? random.one_of(kDirections) : "";
  fault.value = random_value(fault.kind, random);
  return fault;
}

// Appends a fault of a random target and its repair.
void append_random_fault(const std::vector<std::string>& targets, bool link, std::int64_t at_ms,
                         std::int64_t until_ms, BoundedRandom& random, std::vector<Fault>& out) {
  const std::string target = random.one_of(targets);
  if (link) {
    out.push_back(random_link_fault(at_ms, target, random));
    out.push_back(Fault{until_ms, FaultKind::kHeal, target, "", 0});
    return;
  }
  const bool stop = random.below(2) == 0;
  out.push_back(Fault{at_ms, stop ? FaultKind::kStop : FaultKind::kKill, target, "", 0});
  out.push_back(Fault{until_ms, stop ? FaultKind::kCont : FaultKind::kStart, target, "", 0});
}

}  // namespace

std::vector<Fault> random_script(const RandomScriptOptions& options, std::uint64_t seed) {
  BoundedRandom random(seed);
  std::vector<Fault> out;
  for (int i = 0; i < options.faults; ++i) {
    const std::int64_t at_ms = random.below(options.length_ms);
    const std::int64_t until_ms = std::min(options.length_ms, at_ms + 1 + random.below(options.max_fault_ms));
    const bool link = !options.links.empty() && (options.processes.empty() || random.below(2) == 0);
    const std::vector<std::string>& targets = link ? options.links : options.processes;
    if (targets.empty()) {
      break;
    }
    append_random_fault(targets, link, at_ms, until_ms, random, out);
  }
  std::stable_sort(out.begin(), out.end(),
                   [](const Fault& one, const Fault& other) { return one.at_ms < other.at_ms; });
  return with_repairs(std::move(out), options.length_ms);
}

std::vector<std::vector<Fault>> shrunk_scripts(const std::vector<Fault>& script) {
  std::vector<std::vector<Fault>> out;
  if (script.empty()) {
    return out;
  }
  const std::int64_t end = script.back().at_ms;
  const auto add = [&](std::vector<Fault> part) {
    std::vector<Fault> repaired = with_repairs(std::move(part), end);
    if (repaired.size() < script.size()) {
      out.push_back(std::move(repaired));
    }
  };
  const auto half = script.begin() + static_cast<std::ptrdiff_t>(script.size() / 2);
  add({script.begin(), half});
  add({half, script.end()});
  for (std::size_t i = 0; i < script.size(); ++i) {
    std::vector<Fault> part = script;
    part.erase(part.begin() + static_cast<std::ptrdiff_t>(i));
    add(std::move(part));
  }
  return out;
}

}  // namespace trailcourse::fleet
