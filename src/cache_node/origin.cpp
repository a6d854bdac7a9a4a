#include "cache_node/origin.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <utility>

#include "protocol/numbers.h"
#include "store/format.h"
#include "store/key.h"

namespace trailcourse::cache_node {

using protocol::AnswerCode;
using protocol::CacheAnswer;
using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr int kPurgeGroups = 256;

std::string hex(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

// Returns whether a name stays below the folder and is not that of a hidden file.
bool safe_name(const std::string& name) {
  return !name.empty() && name.front() != '.' && name.find('/') == std::string::npos &&
         name.find('\\') == std::string::npos;
}

CommandServer::Bounds bounds_of() {
  CommandServer::Bounds bounds;
  bounds.connection.max_unsent_bytes = 256U << 20U;
  return bounds;
}

}  // namespace

std::string generate_object(const std::string& item, const std::string& chunk, std::uint64_t version,
                            std::size_t size) {
  const std::string name = item + "/" + chunk + "/" + std::to_string(version);
  std::mt19937_64 random(store::key_of(name).low);
  std::string out = "object " + name + "\n";
  out.reserve(size + sizeof(std::uint64_t));
  while (out.size() < size) {
    const std::uint64_t next = random();
    out.append(reinterpret_cast<const char*>(&next), sizeof next);
  }
  out.resize(size);
  return out;
}

Origin::Origin(transport::Scheduler& scheduler, const OriginOptions& options)
    : scheduler_(scheduler), options_(options), server_(scheduler, *this, bounds_of()) {}

void Origin::start() { server_.listen(*transport::parse_address(options_.listen)); }

void Origin::stop() { server_.close_all(); }

std::optional<std::string> Origin::load(const protocol::ServeFields& fields) const {
  if (options_.folder.empty()) {
    return generate_object(fields.item, fields.chunk, version_,
                           static_cast<std::size_t>(options_.size_kb) << 10U);
  }
  if (!safe_name(fields.item) || (!fields.chunk.empty() && !safe_name(fields.chunk))) {
    return std::nullopt;
  }
  const std::filesystem::path item_path = std::filesystem::path(options_.folder) / fields.item;
  const std::filesystem::path path =
      std::filesystem::is_directory(item_path) ? item_path / fields.chunk : item_path;
  std::ifstream file(path, std::ios::binary);
  if (!file.is_open() || !std::filesystem::is_regular_file(path)) {
    return std::nullopt;
  }
  return std::string{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void Origin::serve(Ticket ticket, protocol::ServeFields fields, std::string) {
  if (open_.size() >= static_cast<std::size_t>(options_.transfers)) {
    server_.answer(ticket, AnswerCode::kBusy, {}, nullptr);
    return;
  }
  open_.emplace(ticket, std::move(fields));
  Clock::time_point due = Clock::now() + milliseconds(options_.delay_ms);
  if (options_.kb_per_s > 0) {
    // Transfers share one link in the order of their requests.
    const auto transfer_time = std::chrono::microseconds(options_.size_kb * 1'000'000 / options_.kb_per_s);
    link_free_at_ = std::max(link_free_at_, Clock::now()) + transfer_time;
    due = std::max(due, link_free_at_);
  }
  if (due <= Clock::now()) {
    respond(ticket);
  } else {
    scheduler_.at(due, [this, ticket] { respond(ticket); });
  }
}

void Origin::respond(Ticket ticket) {
  const auto found = open_.find(ticket);
  if (found == open_.end()) {
    return;
  }
  const protocol::ServeFields fields = std::move(found->second);
  open_.erase(found);
  CacheAnswer out;
  out.origin_time_ms =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
  if (fields.item.empty()) {  // a write; its number is the tag of the answer
    out.tag = hex(++writes_);
    server_.answer(ticket, AnswerCode::kOk, out, std::make_shared<const std::string>("done\n"));
    return;
  }
  const std::optional<std::string> bytes = load(fields);
  if (!bytes) {
    out.note = Note::kNotAtSource;
    server_.answer(ticket, AnswerCode::kMiss, out, nullptr);
    return;
  }
  out.tag = hex(store::checksum_of(*bytes));
  const auto object = protocol::read_hex<std::uint64_t>(fields.item);
  out.group = static_cast<int>((object ? *object : store::key_of(fields.item).low) % kPurgeGroups);
  ++served_;
  if (!fields.client_tag.empty() && fields.client_tag == out.tag) {
    server_.answer(ticket, AnswerCode::kSame, out, nullptr);
    return;
  }
  protocol::ByteRange range;
  if (fields.range) {
    const bool within =
        fields.range->from < bytes->size() && fields.range->length <= bytes->size() - fields.range->from;
    if (fields.expected_tag != out.tag || !within) {
      server_.answer(ticket, AnswerCode::kMiss, out, nullptr);
      return;
    }
    range = *fields.range;
    out.range = fields.range;
    out.total_length = bytes->size();
  }
  served_bytes_ += fields.range ? range.length : bytes->size();
  server_.answer(ticket, AnswerCode::kOk, out, std::make_shared<const std::string>(*bytes), range);
}

std::string Origin::load_report() const {
  char text[48];
  std::snprintf(text, sizeof text, "inflight:%zu;util:%.3f", open_.size(),
                static_cast<double>(open_.size()) / static_cast<double>(options_.transfers));
  return text;
}

}  // namespace trailcourse::cache_node
