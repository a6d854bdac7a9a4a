// What the cases of this review share: the processes under test, a record of what happens, a cache and a
// proxy. The notice board, the client and the base of all servers are the project's (tests/stand_ins.h).
#pragma once

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iomanip>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "protocol/resp.h"
#include "stand_ins.h"

namespace review {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;
namespace support = trailcourse::testing_support;

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// Whether the run has the disruption.
inline bool trouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

inline std::int64_t unix_ms() {
  return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// The file of what was sent, answered and run; each line begins with the seconds since the start.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file, std::ios::trunc), begun_(Clock::now()) {}
  void line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    const double since = std::chrono::duration<double>(Clock::now() - begun_).count();
    out_ << std::fixed << std::setprecision(3) << since << ' ' << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  Clock::time_point begun_;
};

// The folder of this run, which the script makes and removes.
inline std::string work_folder() {
  const char* folder = std::getenv("TMPDIR");
  if (folder == nullptr) {
    throw std::runtime_error("TMPDIR is not set");
  }
  return folder;
}

inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path + ".next") << text;
  std::rename((path + ".next").c_str(), path.c_str());
}

// A process of the project, started by a shell from the root of the project. It ends with this program.
class Process {
 public:
  Process(const std::string& name, const std::string& command,
          const std::vector<std::pair<std::string, std::string>>& environment = {})
      : log_(work_folder() + "/" + name + ".log") {
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      for (const auto& [key, value] : environment) {
        ::setenv(key.c_str(), value.c_str(), 1);
      }
      ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      ::_exit(127);
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
  }

  void signal(int number) const {
    if (pid_ > 0) {
      ::kill(pid_, number);
    }
  }
  // Returns the status of the process as text once it has ended; nothing before.
  std::optional<std::string> ended() {
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_) {
      return std::nullopt;
    }
    pid_ = -1;
    return WIFEXITED(status) ? "exit " + std::to_string(WEXITSTATUS(status))
                             : "signal " + std::to_string(WTERMSIG(status));
  }
  std::optional<std::string> await_end(milliseconds limit) {
    const Clock::time_point until = Clock::now() + limit;
    for (;;) {
      if (const std::optional<std::string> status = ended()) {
        return status;
      }
      if (Clock::now() >= until) {
        return std::nullopt;
      }
      std::this_thread::sleep_for(milliseconds(2));
    }
  }
  bool await_log(const std::string& text, milliseconds limit = seconds(15)) const {
    const Clock::time_point until = Clock::now() + limit;
    while (Clock::now() < until) {
      std::ifstream file(log_);
      const std::string all{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
      if (all.find(text) != std::string::npos) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
  }

 private:
  std::string log_;
  pid_t pid_ = -1;
};

// A router, started by the line `run` of the deploy file.
class Router {
 public:
  Router(const std::string& name, json config) : port_(support::free_port()) {
    const std::string file = work_folder() + "/" + name + ".json";
    config["name"] = name;
    config["listen"] = "127.0.0.1:" + std::to_string(port_);
    write_file(file, config.dump(1));
    process_.emplace(name, "exec build/trailcourse serve",
                     std::vector<std::pair<std::string, std::string>>{
                         {"NODE_NAME", name},
                         {"NODE_LISTEN", "127.0.0.1:" + std::to_string(port_)},
                         {"NODE_CONFIG", file}});
  }
  std::uint16_t port() const { return port_; }
  Process& process() { return *process_; }
  // Waits until the health check is answered with status 200.
  bool await_ready(milliseconds limit = seconds(20)) {
    const Clock::time_point until = Clock::now() + limit;
    while (Clock::now() < until) {
      try {
        support::Client client(port_);
        const auto answer = client.ask(1, {{"SCRIPT_NAME", "/healthz"}});
        if (answer && answer->status == 200) {
          return true;
        }
      } catch (const std::runtime_error&) {
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }

 private:
  std::uint16_t port_;
  std::optional<Process> process_;
};

// An answer of the cache below, and the time that it takes.
struct Reply {
  std::string code = "OK";
  std::string fields = "-";
  std::string body;
  milliseconds after{0};
};

// A cache, parent or origin over RESP, which answers each command `serve` as its function says, in any order,
// and gives up what is cancelled or whose connection has ended.
class Cache : public support::Server {
 public:
  using Answer = std::function<Reply(const support::CacheRequest&)>;
  explicit Cache(Answer answer) : answer_(std::move(answer)) {
    writer_ = std::thread([this] { write_due(); });
    start();
  }
  ~Cache() override {
    stop();
    {
      const std::lock_guard lock(mutex_);
      ending_ = true;
    }
    changed_.notify_all();
    writer_.join();
  }

 protected:
  void serve(int socket) override {
    const std::uint64_t connection = open(socket);
    trailcourse::protocol::resp::Parser parser{trailcourse::protocol::resp::Bounds()};
    std::vector<std::string> strings;
    std::string last;
    char buffer[65536];
    for (;;) {
      const ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
      if (count <= 0) {
        break;
      }
      namespace resp = trailcourse::protocol::resp;
      parser.feed(std::string_view(buffer, static_cast<std::size_t>(count)), [&](const resp::Event& event) {
        if (const auto* head = std::get_if<resp::ArrayHead>(&event)) {
          strings = head->strings;
          last.clear();
        } else if (const auto* piece = std::get_if<resp::ArrayPiece>(&event)) {
          last += piece->bytes;
        } else if (std::holds_alternative<resp::ArrayEnd>(event)) {
          strings.push_back(last);
          on_command(connection, strings);
        }
      });
    }
    const std::lock_guard lock(mutex_);
    sockets_.erase(connection);
  }

 private:
  struct Due {
    std::uint64_t connection;
    std::string id;
    std::string bytes;
  };

  std::uint64_t open(int socket) {
    const std::lock_guard lock(mutex_);
    sockets_[++last_connection_] = socket;
    return last_connection_;
  }
  void on_command(std::uint64_t connection, const std::vector<std::string>& strings) {
    if (strings[0] == "cancel" && strings.size() == 2) {
      const std::lock_guard lock(mutex_);
      std::erase_if(due_, [&](const auto& one) {
        return one.second.connection == connection && one.second.id == strings[1];
      });
      return;
    }
    if (strings[0] != "serve" || strings.size() != 4) {
      return;
    }
    support::CacheRequest request{strings[0], strings[1], {}, strings[3]};
    std::istringstream list(strings[2]);
    for (std::string field; std::getline(list, field, ',');) {
      const std::size_t equals = field.find('=');
      request.fields[field.substr(0, equals)] = equals == std::string::npos ? "" : field.substr(equals + 1);
    }
    const Reply reply = answer_(request);
    const std::string bytes =
        trailcourse::protocol::resp::write_array({request.id, reply.code, reply.fields, reply.body});
    {
      const std::lock_guard lock(mutex_);
      due_.emplace(Clock::now() + reply.after, Due{connection, request.id, bytes});
    }
    changed_.notify_all();
  }
  void write_due() {
    std::unique_lock lock(mutex_);
    while (!ending_) {
      if (due_.empty()) {
        changed_.wait(lock);
      } else if (due_.begin()->first > Clock::now()) {
        changed_.wait_until(lock, due_.begin()->first);
      } else {
        const Due one = due_.begin()->second;
        due_.erase(due_.begin());
        if (const auto found = sockets_.find(one.connection); found != sockets_.end()) {
          send_all(found->second, one.bytes);
        }
      }
    }
  }

  Answer answer_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::multimap<Clock::time_point, Due> due_;
  std::map<std::uint64_t, int> sockets_;
  std::uint64_t last_connection_ = 0;
  bool ending_ = false;
  std::thread writer_;
};

// A proxy to one address. While it is cut, it moves no bytes: open connections are silent, new ones come up
// and stay silent. What was sent meanwhile arrives when the cut ends.
class Proxy : public support::Server {
 public:
  explicit Proxy(std::uint16_t to) : to_(to) { start(); }
  ~Proxy() override { stop(); }
  void cut(bool silent) { silent_ = silent; }

 protected:
  void serve(int socket) override {
    while (silent_ && !stopping()) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    const int peer = connect_to(to_);
    char buffer[65536];
    bool open = peer >= 0;
    while (open && !stopping()) {
      pollfd sides[2] = {{socket, POLLIN, 0}, {peer, POLLIN, 0}};
      if (silent_ || ::poll(sides, 2, 20) <= 0) {
        std::this_thread::sleep_for(milliseconds(silent_ ? 5 : 0));
        continue;
      }
      for (int side = 0; side < 2 && open && !silent_; ++side) {
        if (sides[side].revents != 0) {
          const ssize_t count = ::recv(sides[side].fd, buffer, sizeof buffer, MSG_DONTWAIT);
          open =
              count > 0 && send_all(sides[1 - side].fd, std::string(buffer, static_cast<std::size_t>(count)));
        }
      }
    }
    if (peer >= 0) {
      ::close(peer);
    }
  }

 private:
  static int connect_to(std::uint16_t port) {
    const int peer = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    if (::connect(peer, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      ::close(peer);
      return -1;
    }
    return peer;
  }

  std::uint16_t to_;
  std::atomic<bool> silent_ = false;
};

// The configuration of one router of a small deployment: one zone, a parent tier and an origin, two classes
// that are kept until they are purged and one that is written at the origin under a key.
inline json configuration(const std::string& board, const json& known) {
  json config = json::parse(R"({"seed":"8c1f30d27a5be964",
    "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
    "settings":{"Az":"branch-1","Balancers":3,"SelfIndex":0,"Zones":["hub","branch-1"],
      "Kinds":["small","parent","origin"],"Weights":"rough","Discovery":"push",
      "Classes":[
        {"Name":"media","Effect":"safe","Group":"all","MemorySpanS":5,"ObjectiveS":0.6,"AimStretch":2,
          "GiveUpS":6,"Worth":2,"LateShare":0.15,"Streaming":false},
        {"Name":"pages","Effect":"safe","Group":"all","MemorySpanS":5,"ObjectiveS":0.25,"AimStretch":2,
          "GiveUpS":2.5,"Worth":1,"LateShare":0.2,"Streaming":false},
        {"Name":"tip-entry","Effect":"keyed","Group":"all","MemorySpanS":3,"ObjectiveS":0.8,"AimStretch":2,
          "GiveUpS":3,"Worth":3,"LateShare":0,"Streaming":false}],
      "Extra":{"MidKind":1,"OriginKind":2,"CountByZone":[0,1],"HubByZone":[0,0],
        "ZoneLinkKbPerS":[0,99729],"StreamKbPerS":6300,"LifetimeByClassS":[0,0,0],"ClassGraceS":[0,0,0],
        "Uncached":[false,false,true],"Segmented":[true,false,false],"NoteLevel":"all","Direct":true,
        "Collapses":false,"Siblings":"none","HeedWithinS":0.3,"ClearedWithinS":6,"ParentFloor":0.064,
        "ParentRampS":21,"ParentBreaksAt":2},
      "Limits":{"AttemptsCap":8,"Cancel":true,"ParallelTries":true,"MayProbe":true,"ConnIdleS":15,
        "ConnectTimeoutS":0.4,"StreamsPerConn":32,"MaxOpen":20000,"RetryAfter":false,"MaxRetryAfterS":2},
      "Rules":{"DrainGraceS":1,"ColdFrom":0.31,"ColdS":18,"OverloadFactor":4,"OverloadForS":2,
        "AnswerSlackS":0.008},
      "Report":{"How":"answers","Fields":["concurrent","x0","x1"]}}})");
  config["board"] = board;
  config["known"] = known;
  return config;
}

// An entry of the list of caches.
inline json listed(const std::string& name, const std::string& address, const std::string& type,
                   const std::string& status = "up") {
  return {{"name", name}, {"address", address}, {"zone", type == "small" ? "branch-1" : "hub"},
          {"type", type}, {"group", 0},         {"status", status},
          {"weight", 8},  {"since_ms", 0}};
}

// Runs a case: its result is the exit status of the script.
inline int run_case(int count, char** arguments, const std::function<int(Record&)>& run) {
  if (count != 2) {
    return kCouldNotRun;
  }
  Record record(arguments[1]);
  record.line(trouble() ? "with the disruption" : "without the disruption");
  try {
    const int result = run(record);
    record.line(result == kHeld ? "the rule held" : result == kBroken ? "THE RULE WAS BROKEN" : "not run");
    return result;
  } catch (const std::exception& error) {
    record.line(std::string("could not run: ") + error.what());
    return kCouldNotRun;
  }
}

}  // namespace review
