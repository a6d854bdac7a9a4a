// The messages of etcd's interface, with drawn mutations: each is read as a valid message or rejected.
#include <gtest/gtest.h>

#include <random>

#include "coordination/etcd_requests.h"
#include "coordination/etcd_responses.h"
#include "coordination/key_value_state.h"

namespace trailcourse::coordination {
namespace {

using nlohmann::json;

template <typename Read>
void mutate(const std::string& good, std::uint64_t seed, Read read) {
  std::mt19937_64 random(seed);
  int refused = 0;
  for (int round = 0; round < 3'000; ++round) {
    std::string text = good;
    for (auto changes = 1 + random() % 3; changes > 0 && !text.empty(); --changes) {
      const std::size_t place = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[place] = static_cast<char>(random());
          break;
        case 1:
          text.erase(place, 1 + random() % 6);
          break;
        case 2:
          text.insert(place, text.substr(place, 1 + random() % 20));
          break;
        default:
          text[place] = "0123456789\"{}[]:,-"[random() % 18];
      }
    }
    try {
      read(text);
    } catch (const etcd::BadMessage& error) {
      EXPECT_NE(std::string(error.what()), "");
      ++refused;
    }
  }
  EXPECT_GT(refused, 300) << "hardly anything was refused: is it read at all?";
}

TEST(EtcdMessagesTest, MutatedResponsesAreValidOrRejectedWithTheField) {
  KeyValueState state{KeyValueLimits{}};
  const Transaction asked{{absent("a")},
                          {Put{"a", "1", 0}, Get{Range{"a", true}}, Delete{Range{"z", false}}},
                          {Get{Range{"a", false}}}};
  const TransactionResult outcome = state.commit(asked);
  const std::string good = etcd::write_transaction_result({7, outcome.revision}, asked, outcome).dump();
  etcd::ResponseHeader header;
  EXPECT_EQ(etcd::read_transaction_result(etcd::parse_object(good), asked, header), outcome);
  mutate(good, 1, [&](const std::string& text) {
    const TransactionResult read = etcd::read_transaction_result(etcd::parse_object(text), asked, header);
    EXPECT_EQ(read.results.size(), read.succeeded ? 3U : 1U);
    for (const Entry& entry : read.results[read.succeeded ? 1 : 0].found) {
      EXPECT_TRUE(entry.key.starts_with("a") && entry.modified <= header.revision && entry.created > 0);
    }
  });
  etcd::WatchResponse line;
  line.header = {7, 9};
  line.changes = {KeyChange{false, Entry{"k", "v", 8, 8, 1, 3}}, KeyChange{true, Entry{"k", "", 0, 9, 0, 0}}};
  const std::string stream = etcd::write_watch_response(line).dump();
  EXPECT_EQ(etcd::read_watch_response(etcd::parse_object(stream)).changes, line.changes);
  mutate(stream, 2, [](const std::string& text) {
    Revision last = 0;
    for (const KeyChange& change : etcd::read_watch_response(etcd::parse_object(text)).changes) {
      EXPECT_GE(change.entry.modified, last);
      last = change.entry.modified;
    }
  });
  mutate(etcd::write_lease_grant_response({7, 9}, {5, 6'000}).dump(), 3, [&](const std::string& text) {
    EXPECT_GE(etcd::read_lease_grant_response(etcd::parse_object(text), header).ttl_ms, 0);
  });
}

TEST(EtcdMessagesTest, MutatedRequestsAreValidOrRejected) {
  const Transaction transaction{
      {absent("a"), unchanged("b", 7), Compare{"c", Compare::What::kValue, Compare::How::kNotEqual, 0, "x"}},
      {Put{"a", "1", 9}, Delete{Range{"p/", true}}},
      {Get{Range{"", true}}}};
  const std::string good = etcd::write_transaction(transaction).dump();
  EXPECT_EQ(etcd::read_transaction(etcd::parse_object(good)), transaction);
  mutate(good, 4, [](const std::string& text) {
    KeyValueState state{KeyValueLimits{}};
    try {
      state.commit(etcd::read_transaction(etcd::parse_object(text)));
    } catch (const OperationRejected&) {
    }
  });
  // The forms that the published gateway takes too: camel case, numbers as numbers, enumerations left out.
  const json camel = json::parse(
      R"({"compare":[{"key":"YQ==","version":0}],"success":[{"requestPut":{"key":"YQ==","value":"MQ=="}}]})");
  KeyValueState state{KeyValueLimits{}};
  EXPECT_TRUE(state.commit(etcd::read_transaction(camel)).succeeded);
  EXPECT_FALSE(state.commit(etcd::read_transaction(camel)).succeeded);
  EXPECT_THROW(etcd::read_range(json::parse(R"({"key":"YQ==","range_end":"eg=="})")), etcd::BadMessage);
}

}  // namespace
}  // namespace trailcourse::coordination
