// The process of `trailcourse aggregator`.
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

#include "aggregation/region.h"
#include "fleet/process.h"

namespace trailcourse::aggregation {
namespace {

using coordination::CoordinationStore;
using nlohmann::json;
using std::chrono::milliseconds;

TEST(AggregatorProcessTest, ServesRoutersUntilSigtermAndThenDrains) {
  Region region;
  const std::string listen = region.free_address();
  const std::string config = region.folder() + "/aggregator.json";
  std::ofstream(config) << json{
      {"aggregator", {{"listen", listen}, {"name", "a1"}, {"zones", {"east"}}}},
      {"coordination", {{"store", "etcd"}, {"endpoints", {region.store_address()}}}},
      {"ownership", {{"kinds", {"policy", "probe"}}}}};
  fleet::Process::Spec spec;
  spec.name = "aggregator";
  spec.arguments = {TRAILCOURSE_PROGRAM, "aggregator", "--config", config};
  spec.log = region.folder() + "/aggregator.log";
  fleet::Process process(spec);
  const auto logged = [&](const std::string& text) {
    return region.until([&] { return process.log().find(text) != std::string::npos; });
  };
  ASSERT_TRUE(logged("acquired its lease")) << process.log();
  EXPECT_TRUE(logged("an aggregator owns only work of kind policy"));
  CoordinationStore& router = region.router({listen});
  region.acquire_lease(router, milliseconds(3'000));
  process.signal(SIGHUP);
  EXPECT_TRUE(logged("permission=yes revision=1 granted=1")) << process.log();
  process.signal(SIGTERM);
  EXPECT_TRUE(logged("drained, ending")) << process.log();
  EXPECT_TRUE(region.until([&] { return !process.alive(); }));
}

}  // namespace
}  // namespace trailcourse::aggregation
