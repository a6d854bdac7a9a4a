// The messages of etcd's interface with random mutations: each is read as a valid message or rejected.
#include <gtest/gtest.h>

#include <random>

#include "coordination/etcd_requests.h"
#include "coordination/etcd_responses.h"
#include "coordination/key_value_state.h"

namespace trailcourse::coordination {
namespace {

using nlohmann::json;

// Calls `read` with 3,000 random mutations of a valid message. It has to accept them or throw BadMessage.
template <typename Read>
void read_mutations(const std::string& valid, std::uint64_t seed, Read read) {
  std::mt19937_64 random(seed);
  int rejected = 0;
  for (int round = 0; round < 3'000; ++round) {
    std::string text = valid;
    for (auto changes = 1 + random() % 3; changes > 0 && !text.empty(); --changes) {
      const std::size_t position = random() % text.size();
      switch (random() % 4) {
        case 0:
          text[position] = static_cast<char>(random());
          break;
        case 1:
          text.erase(position, 1 + random() % 6);
          break;
        case 2:
          text.insert(position, text.substr(position, 1 + random() % 20));
          break;
        default:
          text[position] = "0123456789\"{}[]:,-"[random() % 18];
      }
    }
    try {
      read(text);
    } catch (const etcd::BadMessage& error) {
      EXPECT_NE(std::string(error.what()), "");
      ++rejected;
    }
  }
  EXPECT_GT(rejected, 300) << "too few messages were rejected: they are probably not checked";
}

TEST(EtcdMessagesTest, MutatedResponsesAreValidOrRejectedWithTheField) {
  KeyValueState state{KeyValueLimits{}};
  const Transaction requested{{absent("a")},
                              {Put{"a", "1", 0}, Get{Range{"a", true}}, Delete{Range{"z", false}}},
                              {Get{Range{"a", false}}}};
  const TransactionResult outcome = state.commit(requested);
  const std::string valid = etcd::write_transaction_result({7, outcome.revision}, requested, outcome).dump();
  etcd::ResponseHeader header;
  EXPECT_EQ(etcd::read_transaction_result(etcd::parse_object(valid), requested, header), outcome);
  read_mutations(valid, 1, [&](const std::string& text) {
    const TransactionResult read = etcd::read_transaction_result(etcd::parse_object(text), requested, header);
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
  read_mutations(stream, 2, [](const std::string& text) {
    Revision last = 0;
    for (const KeyChange& change : etcd::read_watch_response(etcd::parse_object(text)).changes) {
      EXPECT_GE(change.entry.modified, last);
      last = change.entry.modified;
    }
  });
  read_mutations(etcd::write_lease_grant_response({7, 9}, {5, 6'000}).dump(), 3,
                 [&](const std::string& text) {
                   EXPECT_GE(etcd::read_lease_grant_response(etcd::parse_object(text), header).ttl_ms, 0);
                 });
}

TEST(EtcdMessagesTest, MutatedRequestsAreValidOrRejected) {
  const Transaction transaction{{absent("a"), unchanged("b", 7),
                                 Compare{"c", Compare::Target::kValue, Compare::Relation::kNotEqual, 0, "x"}},
                                {Put{"a", "1", 9}, Delete{Range{"p/", true}}},
                                {Get{Range{"", true}}}};
  const std::string valid = etcd::write_transaction(transaction).dump();
  EXPECT_EQ(etcd::read_transaction(etcd::parse_object(valid)), transaction);
  read_mutations(valid, 4, [](const std::string& text) {
    KeyValueState state{KeyValueLimits{}};
    try {
      state.commit(etcd::read_transaction(etcd::parse_object(text)));
    } catch (const OperationRejected&) {
    }
  });
  // Forms that etcd's gateway accepts too: camel case, JSON numbers, omitted enumerations.
  const json camel_case = json::parse(
      R"({"compare":[{"key":"YQ==","version":0}],"success":[{"requestPut":{"key":"YQ==","value":"MQ=="}}]})");
  KeyValueState state{KeyValueLimits{}};
  EXPECT_TRUE(state.commit(etcd::read_transaction(camel_case)).succeeded);
  EXPECT_FALSE(state.commit(etcd::read_transaction(camel_case)).succeeded);
  EXPECT_THROW(etcd::read_range(json::parse(R"({"key":"YQ==","range_end":"eg=="})")), etcd::BadMessage);
}

}  // namespace
}  // namespace trailcourse::coordination
