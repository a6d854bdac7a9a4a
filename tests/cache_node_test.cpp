// Tests the cache node as a process: killed at random times, with invalid input, overloaded, and with a disk
// that stalls. Also tests the store with a kill at each of its file operations.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <random>
#include <set>
#include <string>
#include <thread>

#include "cache_node/node.h"
#include "protocol/numbers.h"
#include "stand_ins.h"
#include "store/format.h"
#include "store_stand_ins.h"
#include "transport/mailbox.h"

namespace trailcourse::cache_node {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using testing_support::CacheRequest;
using testing_support::CacheStandIn;
using testing_support::DiscoveryStandIn;
using testing_support::no_answer;
using SteadyClock = std::chrono::steady_clock;

constexpr milliseconds kMaxWait{10'000};

std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string item_of(int number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", 0x1000 + number);
  return text;
}

// The bytes of one version of an item; its size depends on the item alone.
std::string bytes_of(const std::string& item, int version) {
  const std::size_t size = 200 + (std::stoull(item, nullptr, 16) * 7'919) % 90'000;
  std::string out;
  for (std::size_t i = 0; out.size() < size; ++i) {
    out += item.substr(12) + "v" + std::to_string(version) + "." + std::to_string(i) + ";";
  }
  out.resize(size);
  return out;
}

// An answer of the node: its code, fields and body.
struct ReceivedAnswer {
  std::string code;
  std::map<std::string, std::string> fields;
  std::string body;
};

// The client of one connection with many requests. Each wait ends after kMaxWait.
class Peer {
 public:
  explicit Peer(std::uint16_t port) {
    socket_ = transport::Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    connected_ = ::connect(socket_.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  }

  bool connected() const { return connected_; }
  bool send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t count = ::send(socket_.get(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  bool serve(const std::string& id, const std::string& fields, const std::string& body = "") const {
    return send(protocol::resp::write_array({"serve", id, fields, body}));
  }
  // Returns the answer with this id; nothing if the connection ends or after `longest`.
  std::optional<ReceivedAnswer> read(const std::string& id, milliseconds longest = kMaxWait) {
    const SteadyClock::time_point until = SteadyClock::now() + longest;
    while (!answers_.contains(id)) {
      if (!receive(until)) {
        return std::nullopt;
      }
    }
    ReceivedAnswer out = std::move(answers_.at(id));
    answers_.erase(id);
    return out;
  }
  std::optional<ReceivedAnswer> request(const std::string& id, const std::string& fields,
                                        const std::string& body = "") {
    return serve(id, fields, body) ? read(id) : std::nullopt;
  }
  // Waits until the node closes the connection, and returns whether it did.
  bool await_close() {
    const SteadyClock::time_point until = SteadyClock::now() + kMaxWait;
    while (receive(until)) {
    }
    return closed_;
  }
  std::size_t answered() const { return answers_.size(); }

 private:
  bool receive(SteadyClock::time_point until) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - SteadyClock::now()).count();
    pollfd one{socket_.get(), POLLIN, 0};
    if (left <= 0 || ::poll(&one, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char buffer[65'536];
    const ssize_t count = ::recv(socket_.get(), buffer, sizeof buffer, 0);
    if (count <= 0) {
      closed_ = true;
      return false;
    }
    parser_.feed(std::string_view(buffer, static_cast<std::size_t>(count)), [this](const auto& event) {
      if (const auto* head = std::get_if<protocol::resp::ArrayHead>(&event)) {
        strings_ = head->strings;
        body_.clear();
      } else if (const auto* piece = std::get_if<protocol::resp::ArrayPiece>(&event)) {
        body_ += piece->bytes;
      } else if (std::holds_alternative<protocol::resp::ArrayEnd>(event)) {
        ReceivedAnswer answer;
        answer.code = strings_.at(1);
        std::istringstream list(strings_.at(2));
        for (std::string field; std::getline(list, field, ',');) {
          answer.fields[field.substr(0, field.find('='))] = field.substr(field.find('=') + 1);
        }
        answer.body = body_;
        answers_[strings_.at(0)] = std::move(answer);
      }
    });
    return true;
  }

  static protocol::resp::Bounds bounds() {
    protocol::resp::Bounds out;
    out.last_bytes = 16U << 20U;
    return out;
  }

  transport::Descriptor socket_;
  bool connected_ = false;
  bool closed_ = false;
  protocol::resp::Parser parser_{bounds()};
  std::vector<std::string> strings_;
  std::string body_;
  std::map<std::string, ReceivedAnswer> answers_;
};

// Runs `trailcourse cache` as a process.
class NodeProgram {
 public:
  explicit NodeProgram(json config) : port_(testing_support::free_port()) {
    base_ =
        testing::TempDir() + "trailcourse-node-" + std::to_string(::getpid()) + "-" + std::to_string(port_);
    config["cache"]["name"] = "node";
    config["cache"]["listen"] = "127.0.0.1:" + std::to_string(port_);
    config["classes"]["media"] = json::object();
    config["classes"]["entry"] = {{"use", "passed"}};
    std::ofstream(base_ + ".json") << config.dump();
    start();
  }
  ~NodeProgram() {
    kill();
    std::filesystem::remove(base_ + ".json");
    std::filesystem::remove(base_ + ".log");
  }
  NodeProgram(const NodeProgram&) = delete;
  NodeProgram& operator=(const NodeProgram&) = delete;

  void start() {
    const transport::Descriptor log(
        ::open((base_ + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600));
    std::string program = TRAILCOURSE_PROGRAM;
    std::string command = "cache";
    std::string flag = "--config";
    std::string file = base_ + ".json";
    char* arguments[] = {program.data(), command.data(), flag.data(), file.data(), nullptr};
    pid_ = ::fork();
    if (pid_ == 0) {
      ::dup2(log.get(), STDERR_FILENO);
      ::execv(arguments[0], arguments);
      ::_exit(127);
    }
    const SteadyClock::time_point until = SteadyClock::now() + kMaxWait;
    while (!Peer(port_).connected() && SteadyClock::now() < until) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  void kill() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  // Sends SIGTERM and waits for the exit. Returns the exit status; -1 if a signal ended the process.
  int terminate() {
    ::kill(pid_, SIGTERM);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  // Waits until the log has the text at least so many times, and returns whether it has.
  bool await_log(const std::string& text, int times) const {
    const SteadyClock::time_point until = SteadyClock::now() + kMaxWait;
    while (SteadyClock::now() < until) {
      const std::string content = log();
      int found = 0;
      for (std::size_t at = content.find(text); at != std::string::npos; at = content.find(text, at + 1)) {
        ++found;
      }
      if (found >= times) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(1));
    }
    return false;
  }
  bool alive() const { return ::waitpid(pid_, nullptr, WNOHANG) == 0; }
  std::uint16_t port() const { return port_; }
  pid_t pid() const { return pid_; }
  std::string log() const {
    std::ifstream file(base_ + ".log");
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  }

 private:
  std::uint16_t port_;
  std::string base_;
  pid_t pid_ = -1;
};

class CacheNodeTest : public testing::Test {
 public:
  ~CacheNodeTest() override { std::filesystem::remove_all(folder_); }

 protected:
  CacheNodeTest()
      : folder_(testing::TempDir() + "trailcourse-disk-" + std::to_string(::getpid()) + "-" +
                testing::UnitTest::GetInstance()->current_test_info()->name()),
        origin_([this](const CacheRequest& request) { return answer(request); }) {
    std::filesystem::remove_all(folder_);
  }

  std::optional<std::string> answer(const CacheRequest& request) {
    if (request.command != "serve") {
      return std::nullopt;
    }
    const std::string item = request.fields.count("item") > 0 ? request.fields.at("item") : item_of(0);
    const int version = version_;
    return CacheStandIn::answer(request, "OK",
                                "sum=v" + std::to_string(version) + ",t0=" + std::to_string(unix_ms()) +
                                    ",group=" + std::to_string(std::stoull(item, nullptr, 16) % 7),
                                bytes_of(item, version));
  }
  json config() const {
    json out;
    out["store"] = {{"folder", folder_}, {"disk_mb", 16},       {"segment_mb", 1},     {"part_kb", 16},
                    {"memory_mb", 1},    {"write_kb_per_s", 0}, {"write_queue_mb", 64}};
    out["cache"]["sources"] = {"origin=" + origin_.address()};
    return out;
  }
  static std::string fields(const std::string& item, const std::string& more = "next=origin,ways=join") {
    return "cls=media,item=" + item + ",chunk=0,limit=5000,admit=2" + (more.empty() ? "" : "," + more);
  }
  // Expects the complete bytes of one version of the item.
  static void expect_version_of(const ReceivedAnswer& answer, const std::string& item) {
    ASSERT_EQ(answer.code, "OK");
    const int version = std::stoi(answer.fields.at("sum").substr(1));
    ASSERT_EQ(answer.body, bytes_of(item, version));
  }

  std::string folder_;
  std::atomic<int> version_ = 1;
  CacheStandIn origin_;
};

// In each of a hundred rounds the process is killed at a random time under load from two connections and
// started again. Each object that it serves then has the bytes of one version of the origin, and none is
// older than a purge, although many purge events are sent while the node is down.
TEST_F(CacheNodeTest, ServesOnlyCompleteCopiesAfterEachOfAHundredKills) {
  constexpr int kItems = 40;
  DiscoveryStandIn board;
  json config_of = config();
  config_of["cache"]["board"] = board.address();
  NodeProgram node(config_of);
  std::mt19937 random(97);
  std::map<std::string, std::int64_t> purged;
  int from_disk = 0;
  for (int round = 0; round < 100; ++round) {
    // First as soon as the node listens, with the age limits of a router that has received the purge events;
    // then without age limits, once the node has received them.
    for (const bool purges_received : {false, true}) {
      if (purges_received) {
        ASSERT_TRUE(node.await_log("disk tier open", round + 1)) << node.log();
        ASSERT_TRUE(node.await_log("received discovery events", round + 1)) << node.log();
      }
      Peer peer(node.port());
      for (int i = 0; i < kItems; ++i) {
        const auto purge = purged.find(item_of(i));
        const std::int64_t limit = purge == purged.end() ? 3'600'000 : unix_ms() - purge->second - 1;
        const std::string more =
            purges_received ? "" : "agelim=" + std::to_string(std::max<std::int64_t>(1, limit));
        ASSERT_TRUE(peer.serve("h" + std::to_string(i), fields(item_of(i), more)));
      }
      for (int i = 0; i < kItems; ++i) {
        const std::optional<ReceivedAnswer> answer = peer.read("h" + std::to_string(i));
        ASSERT_TRUE(answer.has_value()) << node.log();
        if (answer->code == "OK") {
          expect_version_of(*answer, item_of(i));
          ++from_disk;
          const auto purge = purged.find(item_of(i));
          ASSERT_TRUE(purge == purged.end() || std::stoll(answer->fields.at("t0")) > purge->second)
              << "round " << round << ": a copy from before its purge";
        } else {
          ASSERT_EQ(answer->code, "MISS");
        }
      }
    }
    version_ = round + 2;
    std::atomic<bool> stop = false;
    std::vector<std::thread> load;
    load.reserve(2);
    for (std::uint32_t thread = 0; thread < 2; ++thread) {
      load.emplace_back([&, seed = random() + thread] {
        std::mt19937 draw(seed);
        Peer peer(node.port());
        for (int i = 0; !stop; ++i) {
          const std::string item = item_of(static_cast<int>(draw() % kItems));
          // Some requests have an age limit, so that copies are replaced.
          const std::string more = draw() % 3 == 0 ? "next=origin,agelim=1" : "next=origin,ways=join";
          const std::optional<ReceivedAnswer> answer =
              peer.request("l" + std::to_string(i), fields(item, more));
          if (!answer) {
            return;
          }
          if (answer->code == "OK") {
            expect_version_of(*answer, item);
          }
        }
      });
    }
    std::this_thread::sleep_for(std::chrono::microseconds(random() % 25'000));
    node.kill();
    stop = true;
    for (std::thread& thread : load) {
      thread.join();
    }
    if (round % 3 == 0) {
      const std::string item = item_of(static_cast<int>(random() % kItems));
      purged[item] = unix_ms();
      board.post({{"flush", {{"asset", item}, {"ms", purged[item]}}}});
    }
    node.start();
  }
  EXPECT_GT(from_disk, 200) << "most rounds serve copies from disk";
}

// Guards against a restarted node that serves copies from before a purge because the discovery service has
// not responded for some time.
TEST_F(CacheNodeTest, ServesNoCopyFromBeforeItsStartUntilTheDiscoveryServiceResponds) {
  DiscoveryStandIn board;
  json config_of = config();
  config_of["cache"]["board"] = board.address();
  config_of["cache"]["board_wait_ms"] = 0;
  NodeProgram node(config_of);
  ASSERT_TRUE(node.await_log("received discovery events", 1)) << node.log();
  for (int i = 0; i < 4; ++i) {
    const std::optional<ReceivedAnswer> answer = Peer(node.port()).request("f", fields(item_of(i % 2)));
    ASSERT_TRUE(answer.has_value());
    expect_version_of(*answer, item_of(i % 2));
  }
  ASSERT_EQ(node.terminate(), 0) << "its copies are on disk";
  version_ = 2;
  board.post({{"flush", {{"asset", item_of(0)}, {"ms", unix_ms()}}}});
  const std::uint16_t port = board.port();
  board.stop();
  node.start();
  ASSERT_TRUE(node.await_log("disk tier open", 2)) << node.log();
  Peer peer(node.port());
  for (int i = 0; i < 100; ++i) {
    const std::optional<ReceivedAnswer> answer =
        peer.request("o" + std::to_string(i), fields(item_of(0), ""));
    ASSERT_TRUE(answer.has_value());
    ASSERT_EQ(answer->code, "MISS") << "request " << i << " got a copy from before its purge";
  }
  EXPECT_TRUE(node.await_log("the discovery service has not responded since the start", 1));
  const std::optional<ReceivedAnswer> filled = peer.request("n", fields(item_of(0)));
  ASSERT_TRUE(filled.has_value());
  ASSERT_EQ(filled->code, "OK");
  EXPECT_EQ(filled->body, bytes_of(item_of(0), 2)) << "a source answers instead";
  board.start(port);
  ASSERT_TRUE(node.await_log("received discovery events", 2)) << node.log();
  const std::optional<ReceivedAnswer> kept = peer.request("k", fields(item_of(1), ""));
  ASSERT_TRUE(kept.has_value());
  ASSERT_EQ(kept->code, "OK") << "a copy from disk that was not purged";
  EXPECT_EQ(kept->body, bytes_of(item_of(1), 1));
}

// The file operation of a folder at which the process kills itself.
struct KillPoint {
  int step = 0;   // number of the operation
  int mode = 0;   // 0: before it; 1: in the middle of a write; 2: after it
  int count = 0;  // of the operations so far

  void before() {
    if (count == step && mode == 0) {
      ::raise(SIGKILL);
    }
  }
  void after() {
    if (count++ == step && mode == 2) {
      ::raise(SIGKILL);
    }
  }
};

class KillPointFile : public store::File {
 public:
  KillPointFile(std::unique_ptr<store::File> file, KillPoint& point)
      : file_(std::move(file)), point_(point) {}
  std::string read(std::uint64_t offset, std::size_t size) override { return file_->read(offset, size); }
  void write(std::uint64_t offset, std::string_view bytes) override {
    point_.before();
    if (point_.count == point_.step && point_.mode == 1) {
      file_->write(offset, bytes.substr(0, bytes.size() / 2));
      ::raise(SIGKILL);
    }
    file_->write(offset, bytes);
    point_.after();
  }
  void sync() override {
    point_.before();
    file_->sync();
    point_.after();
  }
  std::uint64_t size() override { return file_->size(); }

 private:
  std::unique_ptr<store::File> file_;
  KillPoint& point_;
};

class KillPointDirectory : public store::Directory {
 public:
  KillPointDirectory(std::unique_ptr<store::Directory> directory, KillPoint& point)
      : directory_(std::move(directory)), point_(point) {}
  std::vector<std::string> list() override { return directory_->list(); }
  std::unique_ptr<store::File> create(const std::string& name) override {
    point_.before();
    auto out = std::make_unique<KillPointFile>(directory_->create(name), point_);
    point_.after();
    return out;
  }
  std::unique_ptr<store::File> open(const std::string& name) override {
    return std::make_unique<KillPointFile>(directory_->open(name), point_);
  }
  void remove(const std::string& name) override {
    point_.before();
    directory_->remove(name);
    point_.after();
  }
  void rename(const std::string& from, const std::string& to) override {
    point_.before();
    directory_->rename(from, to);
    point_.after();
  }
  void sync_names() override {
    point_.before();
    directory_->sync_names();
    point_.after();
  }

 private:
  std::unique_ptr<store::Directory> directory_;
  KillPoint& point_;
};

TEST_F(CacheNodeTest, StoreServesOnlyCompleteCopiesAfterAKillAtEachStep) {
  using testing_support::copy_of;
  using testing_support::name_of;
  using testing_support::StoreHarness;
  const auto open = [this](StoreHarness& rig, KillPoint& point) {
    store::Store::Storage backing;
    backing.open_directory = [this, &point] {
      return std::make_unique<KillPointDirectory>(store::open_folder(folder_), point);
    };
    backing.index = [this] { return store::open_sqlite_index(folder_); };
    rig.executor = std::make_unique<testing_support::ManualExecutor>();
    rig.options.disk_mb = 4;
    rig.store = std::make_unique<store::Store>(
        rig.options, *rig.executor, backing,
        [&rig] { return store::Store::TimeReading{rig.steady_ms, rig.unix_ms}; },
        [](bool, const std::string&) {}, 7);
    rig.store->open([] {});
    rig.executor->drain();
  };
  // Created once; the child processes inherit them.
  std::vector<store::Copy> copies;
  copies.reserve(48);
  for (int i = 0; i < 48; ++i) {
    copies.push_back(copy_of(i % 12, i, 120'000, 1'000 + i));
  }
  // Inserts, replaces and purges copies, and fills the disk tier so that segments are reused.
  const auto run = [&open, &copies](KillPoint& point) {
    StoreHarness rig;
    rig.options.part_kb = 64;
    open(rig, point);
    for (int i = 0; i < 48; ++i) {
      rig.insert(name_of(i % 12), copies[static_cast<std::size_t>(i)]);
      rig.executor->drain();
      if (i == 20) {
        rig.store->purge({{store::PurgeRecord::Kind::kObject, 5, 1'000 + 20}}, 1);
        rig.executor->drain();
      }
    }
  };
  int killed = 0;
  for (int mode = 0; mode < 3; ++mode) {
    // Each of the first steps, then every ninth, which covers all kinds of operations.
    for (int step = 0;; step += step < 40 ? 1 : 9) {
      std::filesystem::remove_all(folder_);
      const pid_t child = ::fork();
      if (child == 0) {
        KillPoint point{step, mode, 0};
        run(point);
        ::_exit(0);
      }
      int status = 0;
      ::waitpid(child, &status, 0);
      if (WIFEXITED(status)) {
        ASSERT_EQ(WEXITSTATUS(status), 0);
        break;
      }
      ++killed;
      StoreHarness rig;
      KillPoint never{-1, 0, 0};
      open(rig, never);
      ASSERT_EQ(rig.store->disk_state(), store::DiskHealth::State::kGood);
      rig.store->purge({{store::PurgeRecord::Kind::kObject, 5, 1'000 + 20}}, 1);
      for (int number = 0; number < 12; ++number) {
        if (const auto answer = rig.get(name_of(number))) {
          const int version = std::stoi(answer->tag.substr(answer->tag.find('v') + 1));
          ASSERT_EQ(version % 12, number);
          ASSERT_EQ(*answer->bytes, *copies[static_cast<std::size_t>(version)].bytes);
          ASSERT_FALSE(number == 5 && answer->origin_time_ms <= 1'020);
        }
      }
    }
  }
  EXPECT_GT(killed, 100);
}

TEST_F(CacheNodeTest, SharesOneFillBetweenHundredsOfRequestsForOneMissingObject) {
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  origin_.set_script([this, released](const CacheRequest& request) {
    released.wait_for(kMaxWait);
    return answer(request);
  });
  NodeProgram node(config());
  std::vector<std::unique_ptr<Peer>> peers;
  for (int i = 0; i < 10; ++i) {
    peers.push_back(std::make_unique<Peer>(node.port()));
    for (int k = 0; k < 30; ++k) {
      ASSERT_TRUE(peers.back()->serve("r" + std::to_string(k), fields(item_of(1))));
    }
  }
  ASSERT_TRUE(origin_.await("serve", 1));
  // An answered health check on each connection shows that the node has read all requests before it.
  for (const auto& peer : peers) {
    ASSERT_TRUE(peer->send(protocol::resp::write_array({"health", "tag"})));
    ASSERT_TRUE(peer->read("tag").has_value());
  }
  peers.erase(peers.begin());  // the client whose request began the fill disconnects
  release.set_value();
  for (const auto& peer : peers) {
    for (int k = 0; k < 30; ++k) {
      const std::optional<ReceivedAnswer> answer = peer->read("r" + std::to_string(k));
      ASSERT_TRUE(answer.has_value());
      expect_version_of(*answer, item_of(1));
    }
  }
  EXPECT_EQ(origin_.count("serve"), 1U);
}

TEST_F(CacheNodeTest, ServesACopyFromDiskAfterAGracefulRestart) {
  NodeProgram node(config());
  {
    Peer peer(node.port());
    EXPECT_EQ(peer.request("1", fields(item_of(3)))->fields["tell"], "fill");
    EXPECT_EQ(peer.request("2", fields(item_of(3)))->fields["tell"], "warm");
    ReceivedAnswer same = *peer.request("3", fields(item_of(3), "next=origin,cached=v1"));
    EXPECT_EQ(same.code, "SAME");
    EXPECT_TRUE(same.body.empty());
  }
  EXPECT_EQ(node.terminate(), 0) << node.log();
  node.start();
  Peer peer(node.port());
  ASSERT_TRUE(node.await_log("disk tier open", 2));
  const std::optional<ReceivedAnswer> answer = peer.request("d", fields(item_of(3), ""));
  ASSERT_TRUE(answer.has_value());
  ASSERT_EQ(answer->code, "OK") << node.log();
  expect_version_of(*answer, item_of(3));
  EXPECT_EQ(origin_.count("serve"), 1U);
}

TEST_F(CacheNodeTest, ForwardsEachWriteOnceAndDoesNotStoreIt) {
  NodeProgram node(config());
  Peer peer(node.port());
  for (int i = 0; i < 3; ++i) {
    const auto answer =
        peer.request("w" + std::to_string(i), "cls=entry,limit=3000,nonce=k1,next=origin", "payload");
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->code, "OK");
  }
  EXPECT_EQ(origin_.count("serve"), 3U);
  EXPECT_EQ(origin_.seen()[0].body, "payload");
  EXPECT_EQ(origin_.seen()[0].fields.at("nonce"), "k1");
}

TEST_F(CacheNodeTest, AnswersHealthAndGaugesUnderTheirId) {
  NodeProgram node(config());
  Peer peer(node.port());
  ASSERT_TRUE(peer.send(protocol::resp::write_array({"health", "t1"}) +
                        protocol::resp::write_array({"gauges", "t2"})));
  EXPECT_EQ(peer.read("t1")->code, "UP");
  const ReceivedAnswer gauges = *peer.read("t2");
  EXPECT_EQ(gauges.code, "UP");
  EXPECT_EQ(gauges.fields.at("meter").rfind("inflight:0;util:", 0), 0U);
}

TEST_F(CacheNodeTest, RejectsInvalidInputAndServesOtherConnections) {
  NodeProgram node(config());
  Peer good(node.port());
  const std::vector<std::pair<std::string, std::string>> faults{
      {"cls=media,item=a,limit=abc", "bad_value"},
      {"cls=media,item=a,limit=0", "bad_value"},
      {"cls=media,item=a,limit=-5", "bad_value"},
      {"cls=media,item=a", "missing"},
      {"item=a,limit=100", "missing"},
      {"cls=media,item=a,limit=100,admit=4", "bad_value"},
      {"cls=media,item=a,limit=100,agelim=99999999999999999999", "bad_value"},
      {"cls=media,item=a,limit=100,agelim=-1", "bad_value"},
      {"cls=media,item=a,limit=100,ways=dance", "bad_value"},
      {"cls=media,item=a,limit=100,odd=1", "unknown_field"},
      {"cls=media,item=a,limit=100,limit=100", "twice"},
      {"cls=media,item=a,limit=100,span=1-2", "span"},
      {"cls=media,item=a,limit=100,span=x,match=t", "bad_value"},
      {"cls=odd,item=a,limit=100", "unknown_class"},
      {"cls=media,item=a,limit=100,next=nobody", "unknown_source"},
      {"nonsense", "no_field"},
      {"-", "missing"},
      {"cls=media,limit=100", "no_item"}};
  int number = 0;
  for (const auto& [text, reason] : faults) {
    std::optional<ReceivedAnswer> answer = good.request("b" + std::to_string(++number), text);
    ASSERT_TRUE(answer.has_value()) << text;
    EXPECT_EQ(answer->code, "ERR") << text;
    EXPECT_EQ(answer->fields["why"].rfind(reason, 0), 0U) << text << ": " << answer->fields["why"];
  }
  ASSERT_TRUE(good.send(protocol::resp::write_array({"dance", "x1"})));
  EXPECT_EQ(good.read("x1")->fields["why"], "unknown_command");
  const std::vector<std::string> ends{"GET / HTTP/1.1\r\n\r\n",
                                      "*9999999\r\n",
                                      "*4\r\n$99999999\r\n",
                                      "*0\r\n",
                                      "*1\r\n$5\r\nserve\r\n",
                                      "*2\r\n$6\r\ncancel\r\n$0\r\n\r\n",
                                      "*4\r\n$5\r\nserve\r\n$1\r\na\r\n$9999999\r\n",
                                      "*4\r\n$5\r\nserve\r\n$1\r\na\r\n$1\r\n-\r\n$2000000\r\n",
                                      std::string(100, '\xff')};
  for (const std::string& text : ends) {
    Peer bad(node.port());
    bad.send(text);
    EXPECT_TRUE(bad.await_close()) << text.substr(0, 40);
  }
  EXPECT_NE(node.log().find("127.0.0.1:"), std::string::npos) << "the log names the peer";
  expect_version_of(*good.request("last", fields(item_of(1))), item_of(1));
}

// With two open requests under one id, a peer could not tell which of them an answer belongs to.
TEST_F(CacheNodeTest, ClosesAConnectionThatReusesAnOpenRequestId) {
  origin_.set_script(no_answer);
  NodeProgram node(config());
  Peer peer(node.port());
  ASSERT_TRUE(peer.serve("same", fields(item_of(1))));
  ASSERT_TRUE(peer.serve("same", fields(item_of(2))));
  EXPECT_TRUE(peer.await_close());
  EXPECT_EQ(peer.answered(), 0U);
}

TEST_F(CacheNodeTest, SurvivesRandomlyMutatedMessages) {
  NodeProgram node(config());
  std::mt19937 random(61);
  const std::string good_bytes = protocol::resp::write_array({"serve", "id", fields(item_of(1)), ""}) +
                                 protocol::resp::write_array({"cancel", "id"}) +
                                 protocol::resp::write_array({"gauges", "tag"});
  for (int round = 0; round < 300; ++round) {
    std::string bytes = good_bytes + good_bytes;
    for (auto changes = 1 + random() % 6; changes > 0; --changes) {
      const std::size_t place = random() % bytes.size();
      switch (random() % 3) {
        case 0:
          bytes[place] = static_cast<char>(random());
          break;
        case 1:
          bytes.erase(place, 1 + random() % 8);
          break;
        default:
          bytes.insert(place, bytes.substr(place, 1 + random() % 30));
      }
    }
    Peer peer(node.port());
    peer.send(bytes);
  }
  Peer peer(node.port());
  const std::optional<ReceivedAnswer> answer = peer.request("after", fields(item_of(2)));
  ASSERT_TRUE(answer.has_value()) << "alive: " << node.alive() << "\n" << node.log();
  expect_version_of(*answer, item_of(2));
  EXPECT_TRUE(node.alive());
}

TEST_F(CacheNodeTest, RejectsRequestsAtOnceWhenFillsAreExhausted) {
  origin_.set_script(no_answer);
  json config_of = config();
  config_of["cache"]["open_requests"] = 20;
  config_of["cache"]["fills"] = 5;
  NodeProgram node(config_of);
  Peer peer(node.port());
  for (int i = 0; i < 200; ++i) {
    ASSERT_TRUE(peer.serve("c" + std::to_string(i), fields(item_of(i))));
  }
  // Five requests wait for the origin, which does not answer; all others are rejected at once.
  int busy = 0;
  for (int i = 5; i < 200; ++i) {
    const std::optional<ReceivedAnswer> answer = peer.read("c" + std::to_string(i), milliseconds(2'000));
    ASSERT_TRUE(answer.has_value()) << i;
    busy += answer->code == "BUSY" ? 1 : 0;
  }
  EXPECT_EQ(busy, 195);
}

TEST_F(CacheNodeTest, ClosesIdleConnectionsAndServesWhenOutOfDescriptors) {
  json config_of = config();
  NodeProgram node(config_of);
  rlimit few{48, 48};
  ASSERT_EQ(::prlimit(node.pid(), RLIMIT_NOFILE, &few, nullptr), 0);
  std::vector<std::unique_ptr<Peer>> idle;
  idle.reserve(120);
  for (int i = 0; i < 120; ++i) {
    idle.push_back(std::make_unique<Peer>(node.port()));
  }
  Peer peer(node.port());
  const std::optional<ReceivedAnswer> answer = peer.request("1", fields(item_of(1)));
  ASSERT_TRUE(answer.has_value()) << node.log();
  EXPECT_TRUE(answer->code == "OK" || answer->code == "MISS");
  EXPECT_TRUE(node.alive());
}

// ---- A disk that stalls, under a node in this process ----

class StallingFile : public store::File {
 public:
  StallingFile(std::unique_ptr<store::File> file, std::shared_future<void> released,
               std::atomic<bool>& stalled)
      : file_(std::move(file)), released_(std::move(released)), stalled_(stalled) {}
  std::string read(std::uint64_t offset, std::size_t size) override {
    if (stalled_) {
      released_.wait_for(kMaxWait);
    }
    return file_->read(offset, size);
  }
  void write(std::uint64_t offset, std::string_view bytes) override { file_->write(offset, bytes); }
  void sync() override { file_->sync(); }
  std::uint64_t size() override { return file_->size(); }

 private:
  std::unique_ptr<store::File> file_;
  std::shared_future<void> released_;
  std::atomic<bool>& stalled_;
};

class StallingDirectory : public testing_support::MemoryDirectory {
 public:
  StallingDirectory(std::shared_ptr<testing_support::FolderState> state, std::shared_future<void> released,
                    std::atomic<bool>& stalled)
      : MemoryDirectory(std::move(state)), released_(std::move(released)), stalled_(stalled) {}
  std::unique_ptr<store::File> open(const std::string& name) override {
    return std::make_unique<StallingFile>(MemoryDirectory::open(name), released_, stalled_);
  }

 private:
  std::shared_future<void> released_;
  std::atomic<bool>& stalled_;
};

TEST_F(CacheNodeTest, ServesFromMemoryAndTreatsDiskReadsAsMissesWhileTheDiskStalls) {
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  std::atomic<bool> stalled = false;
  const auto state = std::make_shared<testing_support::FolderState>();
  const auto history = std::make_shared<testing_support::IndexHistory>();
  store::Options options = testing_support::StoreHarness::small_options();
  options.memory_mb = 1;
  options.read_patience_ms = 100;
  NodeOptions node_options;
  node_options.name = "node";
  const std::uint16_t port = testing_support::free_port();
  node_options.listen = "127.0.0.1:" + std::to_string(port);
  node_options.sources = {"origin=" + origin_.address()};
  const ClassMap classes{{"media", ClassOptions{}}};

  std::promise<std::pair<transport::Scheduler*, transport::Mailbox*>> started;
  std::thread loop([&] {
    transport::Scheduler scheduler;
    transport::Mailbox mailbox(scheduler);
    store::IoPool pool(2, [&mailbox](std::function<void()> job) { mailbox.post(std::move(job)); });
    store::Store::Storage backing;
    backing.open_directory = [&] { return std::make_unique<StallingDirectory>(state, released, stalled); };
    backing.index = [&] { return std::make_unique<testing_support::MemoryIndex>(history, state); };
    store::Store store(
        options, pool, backing,
        [] {
          return store::Store::TimeReading{
              std::chrono::duration_cast<milliseconds>(SteadyClock::now().time_since_epoch()).count(),
              unix_ms()};
        },
        [](bool, const std::string&) {}, 3);
    Node node(scheduler, node_options, classes, options.read_patience_ms, store, 5);
    node.start();
    mailbox.post([&] { started.set_value({&scheduler, &mailbox}); });
    scheduler.run();
  });
  const auto [scheduler, mailbox] = started.get_future().get();
  {
    Peer peer(port);
    // More than the memory tier can store, so that the first ones are only on disk.
    for (int i = 0; i < 60; ++i) {
      ASSERT_TRUE(peer.request("f" + std::to_string(i), fields(item_of(i))).has_value());
      ASSERT_TRUE(peer.request("g" + std::to_string(i), fields(item_of(i))).has_value());
    }
    const std::string hot = item_of(59);
    stalled = true;
    std::size_t before = origin_.count("serve");
    int filled = 0;
    for (int i = 0; i < 20; ++i) {
      ASSERT_TRUE(peer.serve("d" + std::to_string(i), fields(item_of(i))));
    }
    // The answers arrive while the disk stalls: from memory at once, the others from the origin.
    const std::optional<ReceivedAnswer> from_memory = peer.request("m", fields(hot));
    ASSERT_TRUE(from_memory.has_value());
    expect_version_of(*from_memory, hot);
    for (int i = 0; i < 20; ++i) {
      const std::optional<ReceivedAnswer> answer = peer.read("d" + std::to_string(i));
      ASSERT_TRUE(answer.has_value());
      expect_version_of(*answer, item_of(i));
      filled += answer->fields.at("tell") == "warm" ? 0 : 1;
    }
    EXPECT_EQ(origin_.count("serve") - before, static_cast<std::size_t>(filled));
    EXPECT_GT(filled, 5);
    stalled = false;
    release.set_value();
    before = origin_.count("serve");
    // The disk tier serves again once a trial read completes in time.
    bool warm = false;
    const SteadyClock::time_point until = SteadyClock::now() + kMaxWait;
    for (int i = 0; !warm && SteadyClock::now() < until; ++i) {
      const std::optional<ReceivedAnswer> answer =
          peer.request("e" + std::to_string(i), fields(item_of(i % 40), ""));
      ASSERT_TRUE(answer.has_value());
      warm = answer->code == "OK";
    }
    EXPECT_TRUE(warm);
  }
  mailbox->post([loop_of = scheduler] { loop_of->stop(); });
  loop.join();
}

}  // namespace
}  // namespace trailcourse::cache_node
