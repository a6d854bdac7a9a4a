// The adapter of the bench protocol: input lines and the lines of its replies.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "wire.h"

namespace trailcourse::wire {
namespace {

using nlohmann::json;

const char* const kDeploymentSettings =
    R"({"Az":"z","Balancers":2,"Zones":["hub","z"],"Kinds":["box","parent","origin"],"Weights":"nominal",
    "Classes":[{"Name":"media","Effect":"safe","ObjectiveS":0.6,"GiveUpS":6},
               {"Name":"entry","Effect":"keyed","Group":"zone","MemorySpanS":3,"GiveUpS":3}],
    "Extra":{"MidKind":1,"OriginKind":2,"CountByZone":[0,2],"ZoneLinkKbPerS":[0,9000],"StreamKbPerS":1000,
             "LifetimeByClassS":[20,0],"ClassGraceS":[5,0],"Uncached":[false,true],"NoteLevel":"hit"},
    "Limits":{"AttemptsCap":4,"Cancel":true},"Report":{"Fields":["concurrent","x1"]},"New":{"Key":1}})";

std::string begin(int instance) {
  json line = {{"event_type", "Begin"}, {"I", instance}, {"Nonce64", 5}};
  line["ProfileData"] = json::parse(kDeploymentSettings);
  return line.dump();
}

std::string pool(int table, const std::string& cache) {
  return R"({"event_type":"Pool","Table":)" + std::to_string(table) + R"(,"NodesList":[{"Cache":")" + cache +
         R"(","Zone":"z","Type":"box","Lifecycle":"ready","Weight":4},
         {"Cache":"o:1","Zone":"hub","Type":"origin","Lifecycle":"ready","Weight":9}]})";
}

std::string discovery(int instance, int table) {
  return R"({"event_type":"Discovery","I":)" + std::to_string(instance) +
         R"(,"Mode":"total","Index":1,"Table":)" + std::to_string(table) + "}";
}

std::string item(int instance, int id) {
  return R"({"event_type":"WorkItem","I":)" + std::to_string(instance) + R"(,"Ref":)" + std::to_string(id) +
         R"(,"Kind":"media","Item":"91f03b7c55d20a64","DueS":5.5,"BytesK":64})";
}

std::string without_breaks(std::string line) {
  std::erase(line, '\n');
  return line;
}

// Sends one batch and returns the lines of the reply.
std::vector<json> send_batch(Adapter& adapter, std::ostringstream& out,
                             const std::vector<std::string>& lines) {
  out.str("");
  adapter.handle_line(R"({"event_type":"Frame","ClockS":1.5,"serial":3})");
  for (const std::string& line : lines) {
    adapter.handle_line(without_breaks(line));
  }
  adapter.handle_line(R"({"event_type":"EofBatch"})");
  std::vector<json> reply;
  std::istringstream in(out.str());
  for (std::string line; std::getline(in, line);) {
    reply.push_back(json::parse(line));
  }
  return reply;
}

// Returns the lines of the reply with the event type.
std::vector<json> of_type(const std::vector<json>& reply, const std::string& type) {
  std::vector<json> found;
  for (const json& line : reply) {
    if (line.at("event_type") == type) {
      found.push_back(line);
    }
  }
  return found;
}

class AdapterTest : public testing::Test {
 protected:
  std::vector<json> send_batch(const std::vector<std::string>& lines) {
    return wire::send_batch(adapter_, out_, lines);
  }
  std::ostringstream out_;
  Adapter adapter_{out_};
};

TEST_F(AdapterTest, AnEmptyBatchIsAcknowledged) {
  const auto reply = send_batch({});
  ASSERT_EQ(reply.size(), 1U);
  EXPECT_EQ(reply[0], json::parse(R"({"event_type":"Ack","serial":3})"));
}

TEST_F(AdapterTest, SettingsAreRead) {
  const DeploymentSettings deployment = read_deployment_settings(json::parse(kDeploymentSettings));
  EXPECT_EQ(deployment.settings.routers_in_zone, 2);
  EXPECT_EQ(deployment.settings.zone_link_kb_per_s, 9000.0);
  EXPECT_EQ(deployment.settings.notes, NoteLevel::kHit);
  ASSERT_EQ(deployment.settings.classes.size(), 2U);
  EXPECT_EQ(deployment.settings.classes[0].lifetime, Micros(20'000'000));
  EXPECT_EQ(deployment.settings.classes[0].grace, Micros(5'000'000));
  EXPECT_EQ(deployment.settings.classes[1].idempotency, Idempotency::kKeyed);
  EXPECT_EQ(deployment.settings.classes[1].retry_scope, RetryScope::kZone);
  EXPECT_TRUE(deployment.settings.classes[1].uncached);
}

TEST_F(AdapterTest, ARequestBecomesAnAttempt) {
  const auto sent = of_type(send_batch({begin(1), pool(0, "a:1"), discovery(1, 0), item(1, 7)}), "Obtain");
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].at("I"), 1);
  EXPECT_EQ(sent[0].at("Ref"), 7);
  EXPECT_EQ(sent[0].at("Cache"), "a:1");
  EXPECT_EQ(sent[0].at("MissFrom"), "o:1");
  EXPECT_NEAR(sent[0].at("AgeSpanS").get<double>(), 20.0, 1e-6);
}

TEST_F(AdapterTest, AReusedListNumberRefersToTheLatestList) {
  const auto sent = of_type(send_batch({begin(1), begin(2), pool(0, "a:1"), discovery(1, 0), pool(0, "b:1"),
                                        discovery(2, 0), item(1, 7), item(2, 8)}),
                            "Obtain");
  ASSERT_EQ(sent.size(), 2U);
  EXPECT_EQ(sent[0].at("Cache"), "a:1");
  EXPECT_EQ(sent[1].at("Cache"), "b:1");
}

TEST_F(AdapterTest, AStopAndAStartInTheSameBatchResetTheInstance) {
  send_batch({begin(1), pool(0, "a:1"), discovery(1, 0), item(1, 7)});
  const auto reply = send_batch({R"({"event_type":"Down","I":1})", begin(1), item(1, 9)});
  EXPECT_EQ(of_type(reply, "Obtain").size(), 0U);  // the new instance has no endpoint list yet
  EXPECT_EQ(of_type(reply, "NotNow").size(), 1U);
  EXPECT_EQ(send_batch({R"({"event_type":"Left","I":1,"Ref":7})"}).size(), 1U);
}

TEST_F(AdapterTest, UnknownEventsAndKeysAreIgnored) {
  const auto reply = send_batch({begin(1), R"({"event_type":"Weather","I":1,"Sun":true})",
                                 R"({"event_type":"Bell","I":1,"Handle":77,"Extra":[1]})"});
  EXPECT_EQ(reply.size(), 1U);
}

TEST_F(AdapterTest, InvalidMessagesThrowWireError) {
  send_batch({begin(1), pool(0, "a:1"), discovery(1, 0)});
  const std::vector<std::string> bad = {
      "{not json",
      "[1,2]",
      R"({"no_type":1})",
      R"({"event_type":"WorkItem","I":1,"Ref":-4,"Kind":"media","DueS":2})",
      R"({"event_type":"WorkItem","I":1,"Ref":4,"Kind":"unheard","DueS":2})",
      R"({"event_type":"WorkItem","I":1,"Ref":4,"Kind":"media","DueS":"soon"})",
      R"({"event_type":"WorkItem","I":1,"Ref":4,"Kind":"media","Item":"zz","DueS":2})",
      R"({"event_type":"WorkItem","I":8,"Ref":4,"Kind":"media","DueS":2})",
      R"({"event_type":"Returned","I":1,"Ref":4,"Try":0,"Cache":"a:1","Status":"SUNNY","LatencyS":0.1})",
      R"({"event_type":"Returned","I":1,"Ref":4,"Try":0,"Status":"OK","Telemetry":"none"})",
      R"({"event_type":"Discovery","I":1,"Mode":"total","Table":9})",
      R"({"event_type":"Discovery","I":1,"Mode":"sideways","Table":0})",
      R"({"event_type":"Begin","I":1,"Nonce64":1})",
      R"({"event_type":"Frame","ClockS":1e300,"serial":1})"};
  for (const std::string& line : bad) {
    EXPECT_THROW(adapter_.handle_line(line), WireError) << line;
  }
}

TEST_F(AdapterTest, AMessageOutsideABatchIsRejected) {
  EXPECT_THROW(adapter_.handle_line(item(1, 1)), WireError);
}

TEST_F(AdapterTest, OutcomesOfUnknownRequestsChangeNothing) {
  const auto reply = send_batch({begin(1), R"({"event_type":"Returned","I":1,"Ref":4,"Try":0,"Cache":"a:1",
      "Status":"OK","LatencyS":0.1,"Finished":true,"Remark":99,"Telemetry":[null,1,2,3]})"});
  EXPECT_EQ(reply.size(), 1U);
}

TEST(AdapterFault, AnExceptionFaultsOnlyItsInstance) {
  std::ostringstream out;
  Adapter adapter(out, [](const Settings&, std::uint64_t seed) -> Handler {
    return [seed](Micros, const Event&, std::vector<Action>& actions) {
      if (seed == 5) {
        throw std::runtime_error("broken \"table\"");
      }
      actions.emplace_back(Fail{1});
    };
  });
  std::string other_seed = begin(2);
  other_seed.replace(other_seed.find("\"Nonce64\":5"), 11, "\"Nonce64\":6");
  const auto reply = send_batch(adapter, out, {begin(1), other_seed, item(1, 7), item(1, 8), item(2, 9)});
  ASSERT_EQ(of_type(reply, "Fault").size(), 1U);
  EXPECT_EQ(of_type(reply, "Fault")[0].at("Text"), "broken \"table\"");
  EXPECT_EQ(of_type(reply, "Fail").size(), 1U);
}

TEST(Reports, FieldsMayHaveAnyOrderAndBeAbsent) {
  const LoadReport report = read_report(json::parse("[0.5, 7]"), {"load_share", "concurrent", "x0"});
  EXPECT_EQ(report.utilisation, 0.5);
  EXPECT_EQ(report.concurrent, 7.0);
  EXPECT_LT(report.hit_share, 0.0);
  const LoadReport other = read_report(json::parse("[null, 3, 0.25]"), {"x1", "tps", "x0"});
  EXPECT_LT(other.link_or_fetches, 0.0);
  EXPECT_EQ(other.hit_share, 0.25);
}

TEST(Actions, AreWrittenAsTheProtocolSpecifies) {
  SendAttempt send;
  send.id = 4;
  send.cache = "a:1";
  send.source = "p:1";
  send.timeout = Micros(900'000);
  send.keep_rank = 2;
  send.max_age = Micros(1);
  send.join_fill = true;
  send.only_if_cached = true;
  const json line = json::parse(write_action(3, send));
  EXPECT_EQ(line.at("Opts"), 3);
  EXPECT_NEAR(line.at("AgeSpanS").get<double>(), 1e-6, 1e-9);
  EXPECT_EQ(line.at("MissFrom"), "p:1");
  EXPECT_EQ(json::parse(write_action(3, Cancel{4, 1})).at("Try"), 1);
  EXPECT_EQ(json::parse(write_action(3, Reject{4, Micros(250'000)})).at("WaitS"), 0.25);
  EXPECT_FALSE(json::parse(write_action(3, Reject{4, Micros(0)})).contains("WaitS"));
  EXPECT_EQ(json::parse(write_action(3, SetTimer{77, Micros(5)})).at("Handle"), 77);
  EXPECT_EQ(json::parse(write_action(3, Subscribe{})).at("On"), true);
}

}  // namespace
}  // namespace trailcourse::wire
