#include "tasks/prefetch_plan.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "protocol/numbers.h"

namespace trailcourse::tasks {

using nlohmann::json;

namespace {

constexpr std::size_t kMostObjects = 100'000;
constexpr std::size_t kItemDigits = 16;

bool usable(const std::string& object) {
  const std::size_t slash = object.find('/');
  const std::string item = object.substr(0, slash);
  const bool part = slash == std::string::npos ||
                    protocol::read_number<std::uint32_t>(object.substr(slash + 1)).has_value();
  return part && item.size() == kItemDigits && protocol::read_hex<std::uint64_t>(item).has_value();
}

}  // namespace

PrefetchOrder read_prefetch_order(const std::string& params) {
  const json from = json::parse(params, nullptr, false);
  if (!from.is_object()) {
    throw std::invalid_argument("params: no JSON object");
  }
  PrefetchOrder out;
  const auto fail = [](const std::string& text) { throw std::invalid_argument(text); };
  for (const auto& [name, value] : from.items()) {
    if (name == "class" && value.is_string()) {
      out.request_class = value.get<std::string>();
    } else if (name == "at_ms" && value.is_number_integer() && value.get<std::int64_t>() >= 0) {
      out.at_ms = value.get<std::int64_t>();
    } else if (name == "objects_per_s" && value.is_number() && value.get<double>() >= 0.0) {
      out.objects_per_s = value.get<double>();
    } else if (name == "objects" && value.is_array() && !value.empty() && value.size() <= kMostObjects) {
      for (const json& object : value) {
        if (!object.is_string() || !usable(object.get<std::string>())) {
          fail("objects: " + object.dump() + " is not of the form ITEM or ITEM/PART, ITEM 16 hex digits");
        }
        out.objects.push_back(object.get<std::string>());
      }
    } else {
      fail(name + ": no such field, or a value that cannot be used");
    }
  }
  if (out.request_class.empty()) {
    fail("class: missing");
  }
  return out;
}

std::string write_prefetch_order(const PrefetchOrder& order) {
  json out{{"class", order.request_class}, {"at_ms", order.at_ms}, {"objects_per_s", order.objects_per_s}};
  if (!order.objects.empty()) {
    out["objects"] = order.objects;
  }
  return out.dump();
}

std::string prefetch_list_key(const std::string& work, std::uint64_t shard) {
  return "lists/" + work + "/" + std::to_string(shard);
}

std::vector<std::string> read_prefetch_list(const std::string& text) {
  std::vector<std::string> out;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line) && out.size() < kMostObjects;) {
    if (usable(line)) {
      out.push_back(line);
    }
  }
  return out;
}

PrefetchPlan::PrefetchPlan(const PrefetchOrder& order, std::uint64_t shard, std::uint64_t shards,
                           const PrefetchOptions& rules, const std::string& checkpoint)
    : rules_(rules) {
  for (std::size_t i = shard; i < order.objects.size(); i += std::max<std::uint64_t>(1, shards)) {
    objects_.push_back(order.objects[i]);
  }
  pace_ = order.objects_per_s > 0.0 ? Micros(static_cast<Micros::rep>(1e6 / order.objects_per_s)) : Micros(0);
  progress_.of = objects_.size();
  const json from = json::parse(checkpoint, nullptr, false);
  if (!from.is_object()) {
    return;
  }
  const auto number = [&from](const char* name) {
    const auto found = from.find(name);
    return found != from.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
  };
  const std::uint64_t before = number("all_before");
  std::set<std::size_t> beyond;
  if (const auto found = from.find("beyond"); found != from.end() && found->is_array()) {
    for (const json& one : *found) {
      if (one.is_number_unsigned() && one.get<std::size_t>() < objects_.size()) {
        beyond.insert(one.get<std::size_t>());
      }
    }
  }
  std::erase_if(beyond, [before](std::size_t place) { return place < before; });
  // Of an announcement that was changed meanwhile nothing is known.
  const bool fits = before <= objects_.size() && number("of") == objects_.size() &&
                    number("filled") + number("failed") == before + beyond.size();
  if (!fits) {
    return;
  }
  all_before_ = before;
  beyond_ = std::move(beyond);
  next_ = all_before_;
  progress_.filled = number("filled");
  progress_.held = number("held");
  progress_.failed = number("failed");
}

std::vector<std::size_t> PrefetchPlan::due(Micros now) {
  std::vector<std::size_t> out;
  for (auto& [place, retry] : retries_) {
    if (out_.size() < rules_.open && !out_.contains(place) && retry.at <= now) {
      out_.insert(place);
      out.push_back(place);
    }
  }
  while (out_.size() < rules_.open && next_ < objects_.size() && pace_at_ <= now) {
    const std::size_t place = next_++;
    if (beyond_.contains(place)) {
      continue;
    }
    out_.insert(place);
    out.push_back(place);
    pace_at_ = std::max(pace_at_, now - pace_) + pace_;
  }
  return out;
}

void PrefetchPlan::ended(Micros now, std::size_t place, End end, Micros retry_after) {
  if (out_.erase(place) == 0) {
    return;
  }
  const bool good = end == End::kFilled || end == End::kHeld;
  if (!good) {
    Retry& retry = retries_[place];
    ++retry.tries;
    if (end != End::kGivenUp && retry.tries < rules_.tries) {
      Micros wait = rules_.retry;
      for (int i = 1; i < retry.tries; ++i) {
        wait *= 2;
      }
      retry.at = now + std::max(wait, retry_after);
      return;
    }
  }
  retries_.erase(place);
  progress_.filled += good ? 1 : 0;
  progress_.held += end == End::kHeld ? 1 : 0;
  progress_.failed += good ? 0 : 1;
  beyond_.insert(place);
  while (beyond_.erase(all_before_) > 0) {
    ++all_before_;
  }
}

std::optional<Micros> PrefetchPlan::next(Micros now) const {
  if (out_.size() >= rules_.open) {
    return std::nullopt;
  }
  std::optional<Micros> out;
  for (const auto& [place, retry] : retries_) {
    if (!out_.contains(place)) {
      out = std::min(out.value_or(Micros::max()), std::max(now, retry.at));
    }
  }
  if (next_ < objects_.size()) {
    out = std::min(out.value_or(Micros::max()), std::max(now, pace_at_));
  }
  return out;
}

std::string PrefetchPlan::checkpoint() const {
  return json{{"all_before", all_before_}, {"beyond", beyond_},          {"filled", progress_.filled},
              {"held", progress_.held},    {"failed", progress_.failed}, {"of", progress_.of}}
      .dump();
}

}  // namespace trailcourse::tasks
