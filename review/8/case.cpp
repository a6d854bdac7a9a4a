// A cache with a disk tier is cut off from the notice board for 8 s, and an object is purged meanwhile.
#include "harness.h"

using namespace review;

namespace {

constexpr milliseconds kOutage{8'000};
constexpr milliseconds kGrace{300 + 50};
constexpr milliseconds kToldAtLatest{7'000};  // whatever the notice board has to tell, to everybody
const std::string kObject = "7f3a9c21e0b4d655";
const std::string kOther = "5c0f6e1a2b3d4c59";

int run(Record& record) {
  std::atomic<int> version{1};
  // The origin gives out the version that is in force.
  Cache origin([&](const support::CacheRequest& request) {
    const std::string tag = "v" + std::to_string(version);
    const std::string fields = "sum=" + tag + ",t0=" + std::to_string(unix_ms()) + ",tell=deep_fill";
    const auto held = request.fields.find("cached");
    record.line("the origin is asked for " + request.fields.at("item") + " and gives " + tag);
    if (held != request.fields.end() && held->second == tag) {
      return Reply{"SAME", fields, "", milliseconds(20)};
    }
    return Reply{"OK", fields, request.fields.at("item") + " version " + std::to_string(version),
                 milliseconds(20)};
  });
  support::DiscoveryStandIn board;
  Proxy link(board.port());
  const std::string cache_address = "127.0.0.1:" + std::to_string(support::free_port());
  const std::string file = work_folder() + "/cache.json";
  write_file(
      file,
      json{{"store", {{"folder", work_folder() + "/store"}, {"disk_mb", 256}, {"memory_mb", 64}}},
           {"cache",
            {{"name", "s-1"}, {"listen", cache_address}, {"board", link.address()}, {"origin", "o-1"}}},
           {"classes",
            {{"media", {{"fresh_ms", 0}}}, {"pages", {{"fresh_ms", 0}}}, {"tip-entry", {{"use", "passed"}}}}}}
          .dump(1));
  board.post({{"pool",
               {{"index", 1},
                {"snapshot", true},
                {"endpoints",
                 {listed("s-1", cache_address, "small"), listed("o-1", origin.address(), "origin")}}}}});
  Process cache("cache", "exec build/trailcourse cache --config " + file);
  if (!cache.await_log("received discovery events")) {
    return kCouldNotRun;
  }
  Router router("n1", configuration(board.address(), board.known()));
  if (!router.await_ready() || !board.await_caught_up()) {
    return kCouldNotRun;
  }
  int number = 0;
  std::optional<Clock::time_point> told;
  // Sends one request; returns the answer's body.
  const auto ask = [&](const std::string& object) {
    support::Client client(router.port());  // clients close idle connections after 4 s
    const Clock::time_point sent = Clock::now();
    const auto key = static_cast<std::uint16_t>(1 + number);
    auto answer =
        client.ask(key, support::read_fields(support::id_of(++number), {{"SCRIPT_NAME", "/v1/pages"},
                                                                        {"HTTP_X_PATIENCE_MS", "2500"},
                                                                        {"HTTP_X_TRACE", "1"},
                                                                        {"HTTP_X_ENTITY", object}}));
    const std::string since =
        told ? std::to_string(std::chrono::duration_cast<milliseconds>(sent - *told).count()) + " ms after it"
             : "before the purge";
    record.line(
        "request " + std::to_string(number) + " sent " + since + ": " +
        (answer ? std::to_string(answer->status) + " " + answer->body + " (" + answer->headers["X-Via"] + ")"
                : "no answer"));
    return answer ? answer->body : std::string();
  };
  // A router that has just begun refuses some of the first requests for objects that have to be filled.
  for (const std::string& object : {kObject, kOther}) {
    int tries = 0;
    while (!ask(object).ends_with("version 1")) {
      if (++tries > 200) {
        return kCouldNotRun;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    ask(object);
  }
  std::this_thread::sleep_for(seconds(1));
  if (trouble()) {
    link.cut(true);
    record.line("the cache is cut off from the notice board");
  }
  const Clock::time_point cut_at = Clock::now();
  version = 2;
  board.post({{"flush", {{"asset", kObject}, {"ms", unix_ms()}}}});
  told = Clock::now();
  record.line("purged: object " + kObject);
  std::this_thread::sleep_until(*told + kToldAtLatest + kGrace);
  int old = 0;
  int fresh = 0;
  while (Clock::now() < cut_at + kOutage) {
    const std::string body = ask(kObject);
    old += body.ends_with("version 1") ? 1 : 0;
    fresh += body.ends_with("version 2") ? 1 : 0;
    std::this_thread::sleep_for(milliseconds(40));
  }
  link.cut(false);
  record.line("the cut has ended");
  std::this_thread::sleep_for(seconds(2));
  ask(kObject);
  record.line("sent later than 7.35 s after the purge: " + std::to_string(old) +
              " answered from copies older than the purge, " + std::to_string(fresh) + " from new ones");
  return old > 0 ? kBroken : fresh > 0 ? kHeld : kCouldNotRun;
}

}  // namespace

int main(int count, char** arguments) { return run_case(count, arguments, run); }
