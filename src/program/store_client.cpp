#include "program/store_client.h"

#include <optional>
#include <stdexcept>

#include "program/fleet_work.h"

namespace trailcourse::program {

using coordination::StoreResponse;
using coordination::TransactionResult;
using transport::Clock;

namespace {

constexpr std::chrono::seconds kTimeout{5};
constexpr std::chrono::milliseconds kMaxIteration{20};

}  // namespace

StoreClient::StoreClient(const coordination::CoordinationOptions& options)
    : options_(options), store_(open_store(scheduler_, options, 1)) {}

TransactionResult StoreClient::commit(const coordination::Transaction& transaction) {
  const auto reply = std::make_shared<std::optional<StoreResponse<TransactionResult>>>();
  store_->commit(transaction,
                 [reply](const StoreResponse<TransactionResult>& response) { *reply = response; });
  const Clock::time_point end = Clock::now() + kTimeout;
  while (!*reply && Clock::now() < end) {
    scheduler_.run_iteration(kMaxIteration);
  }
  if (!*reply || !(*reply)->ok()) {
    throw std::runtime_error("the coordination store is unavailable: " +
                             (*reply ? (*reply)->error : "no response in time"));
  }
  return (*reply)->value;
}

std::vector<coordination::Entry> StoreClient::get(const std::string& name, bool prefix) {
  coordination::Transaction read;
  read.then = {coordination::Get{coordination::Range{options_.prefix + name, prefix}}};
  std::vector<coordination::Entry> out = commit(read).results.at(0).found;
  for (coordination::Entry& entry : out) {
    entry.key.erase(0, options_.prefix.size());
  }
  return out;
}

void StoreClient::pause(Clock::duration time) {
  const Clock::time_point end = Clock::now() + time;
  while (Clock::now() < end) {
    scheduler_.run_iteration(std::min<Clock::duration>(kMaxIteration, end - Clock::now()));
  }
}

}  // namespace trailcourse::program
