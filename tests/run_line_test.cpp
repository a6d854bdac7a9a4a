// Runs the command line `run` of deploy/balancer.toml unchanged under ptrace, and checks that it makes no
// system call that the platform or the bench's clock rejects, whatever is linked into the program.
#include <elf.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/ptrace.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins.h"

#if defined(__x86_64__)

namespace trailcourse::testing_support {
namespace {

using nlohmann::json;

// What a traced command did. Threads do not count as processes.
struct TraceResult {
  std::vector<std::string> processes;  // forks, and programs started after the first
  // Calls that the bench answers ENOSYS or EINVAL, and sockets of other families.
  std::vector<std::string> rejected_calls;
  std::vector<std::string>
      written_paths;  // opened for writing, created, renamed or removed outside the folder
  std::vector<std::uint16_t> listening_ports;
  int exit_status = -1;
};

// Runs `/bin/sh -c line` under ptrace until it ends.
class TracedCommand {
 public:
  TracedCommand(std::string line, std::string folder, std::string temporary,
                std::vector<std::string> environment)
      : line_(std::move(line)),
        folder_(std::move(folder)),
        temporary_(std::move(temporary)),
        environment_(std::move(environment)),
        tracer_([this] { trace(); }) {}
  ~TracedCommand() {
    if (const pid_t pid = pid_; pid > 0 && !ended_) {
      ::kill(pid, SIGKILL);
    }
    tracer_.join();
  }
  TracedCommand(const TracedCommand&) = delete;
  TracedCommand& operator=(const TracedCommand&) = delete;

  void signal(int number) const { ::kill(pid_, number); }
  const TraceResult& wait() {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!ended_ && std::chrono::steady_clock::now() < deadline) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return result_;
  }
  std::string interpreter() const { return interpreter_; }

 private:
  // Only the thread that started the process may trace it, so one thread does both.
  void trace() {
    std::vector<char*> environment;
    environment.reserve(environment_.size() + 1);
    for (std::string& variable : environment_) {
      environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    std::string shell = "/bin/sh";
    std::string flag = "-c";
    char* arguments[] = {shell.data(), flag.data(), line_.data(), nullptr};
    const pid_t child = ::fork();
    if (child == 0) {
      if (::chdir(folder_.c_str()) != 0 || ::ptrace(PTRACE_TRACEME, 0, nullptr, nullptr) != 0) {
        ::_exit(126);
      }
      ::raise(SIGSTOP);
      ::execve(arguments[0], arguments, environment.data());
      ::_exit(127);
    }
    int status = 0;
    ::waitpid(child, &status, 0);
    constexpr long kOptions = PTRACE_O_TRACESYSGOOD | PTRACE_O_TRACEFORK | PTRACE_O_TRACEVFORK |
                              PTRACE_O_TRACECLONE | PTRACE_O_TRACEEXEC | PTRACE_O_EXITKILL;
    ::ptrace(PTRACE_SETOPTIONS, child, nullptr, kOptions);
    pid_ = child;
    ::ptrace(PTRACE_SYSCALL, child, nullptr, nullptr);
    while (!ended_) {
      const pid_t stopped = ::waitpid(-1, &status, __WALL | __WNOTHREAD);
      if (stopped < 0) {
        break;
      }
      handle_stop(child, stopped, status);
    }
    ended_ = true;
  }

  void handle_stop(pid_t child, pid_t stopped, int status) {
    if (WIFEXITED(status) || WIFSIGNALED(status)) {
      if (stopped == child) {
        result_.exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        ended_ = true;
      }
      return;
    }
    long deliver = 0;
    const int event = status >> 16;
    const int signal = WSTOPSIG(status);
    if (signal == (SIGTRAP | 0x80)) {
      handle_call(stopped);
    } else if (event == PTRACE_EVENT_FORK || event == PTRACE_EVENT_VFORK) {
      result_.processes.emplace_back("fork");
    } else if (event == PTRACE_EVENT_EXEC) {
      if (++programs_ > 2) {  // the shell, then the program that replaces it
        result_.processes.emplace_back("exec");
      }
      interpreter_ = read_interpreter("/proc/" + std::to_string(stopped) + "/exe");
    } else if (event == 0 && signal != SIGSTOP && signal != SIGTRAP) {
      deliver = signal;
    }
    ::ptrace(PTRACE_SYSCALL, stopped, nullptr, deliver);
  }

  void handle_call(pid_t pid) {
    __ptrace_syscall_info info{};
    if (::ptrace(PTRACE_GET_SYSCALL_INFO, pid, sizeof info, &info) <= 0 ||
        info.op != PTRACE_SYSCALL_INFO_ENTRY) {
      return;
    }
    const auto* arguments = info.entry.args;
    switch (info.entry.nr) {
      case SYS_clone:
        if ((arguments[0] & CLONE_THREAD) == 0) {
          result_.processes.emplace_back("clone");
        }
        break;
      case SYS_clone3: {
        std::uint64_t flags = 0;
        read_from(pid, arguments[0], &flags, sizeof flags);
        if ((flags & CLONE_THREAD) == 0) {
          result_.processes.emplace_back("clone3");
        }
        break;
      }
      case SYS_io_uring_setup:
      case SYS_splice:
      case SYS_tee:
      case SYS_vmsplice:
      case SYS_sendfile:
        result_.rejected_calls.push_back("call " + std::to_string(info.entry.nr));
        break;
      case SYS_socket:
        if (arguments[0] != AF_INET ||
            ((arguments[1] & 0xFU) != SOCK_STREAM && (arguments[1] & 0xFU) != SOCK_DGRAM)) {
          result_.rejected_calls.push_back("socket of family " + std::to_string(arguments[0]));
        }
        break;
      case SYS_socketpair:
        result_.rejected_calls.emplace_back("socketpair");
        break;
      case SYS_bind: {
        sockaddr_in address{};
        read_from(pid, arguments[1], &address, sizeof address);
        bound_ports_[arguments[0]] = ntohs(address.sin_port);
        break;
      }
      case SYS_listen:
        result_.listening_ports.push_back(bound_ports_[arguments[0]]);
        break;
      case SYS_open:
        record_open(pid, arguments[0], arguments[1]);
        break;
      case SYS_openat:
        record_open(pid, arguments[1], arguments[2]);
        break;
      case SYS_creat:
      case SYS_mkdir:
      case SYS_unlink:
      case SYS_rename:
        record_write(read_string(pid, arguments[0]));
        break;
      case SYS_mkdirat:
      case SYS_unlinkat:
      case SYS_renameat:
      case SYS_renameat2:
        record_write(read_string(pid, arguments[1]));
        break;
      default:
        break;
    }
  }

  void record_open(pid_t pid, std::uint64_t path, std::uint64_t flags) {
    constexpr std::uint64_t kWriteFlags = O_WRONLY | O_RDWR | O_CREAT | O_TRUNC;
    if ((flags & kWriteFlags) != 0) {
      record_write(read_string(pid, path));
    }
  }
  void record_write(const std::string& path) {
    if (path != "/dev/null" && !path.starts_with(temporary_ + "/")) {
      result_.written_paths.push_back(path);
    }
  }

  static void read_from(pid_t pid, std::uint64_t address, void* buffer, std::size_t size) {
    iovec local{buffer, size};
    // The address belongs to the traced process, but the call takes a pointer.
    // NOLINTNEXTLINE(performance-no-int-to-ptr): process_vm_readv has no other form
    iovec remote{reinterpret_cast<void*>(address), size};
    ::process_vm_readv(pid, &local, 1, &remote, 1, 0);
  }
  static std::string read_string(pid_t pid, std::uint64_t address) {
    std::string out;
    for (char character = 1; out.size() < 4'096; ++address) {
      character = '\0';
      read_from(pid, address, &character, 1);
      if (character == '\0') {
        break;
      }
      out += character;
    }
    return out;
  }
  static std::string read_interpreter(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    // Headers and interpreter are at the beginning; the rest of a sanitized program has hundreds of
    // megabytes.
    std::string bytes(std::size_t{64} << 10U, '\0');
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    bytes.resize(static_cast<std::size_t>(file.gcount()));
    Elf64_Ehdr header{};
    if (bytes.size() < sizeof header) {
      return {};
    }
    bytes.copy(reinterpret_cast<char*>(&header), sizeof header);
    for (int i = 0; i < header.e_phnum; ++i) {
      Elf64_Phdr segment{};
      const std::size_t at = header.e_phoff + static_cast<std::size_t>(i) * sizeof segment;
      if (at + sizeof segment > bytes.size()) {
        break;
      }
      bytes.copy(reinterpret_cast<char*>(&segment), sizeof segment, at);
      if (segment.p_type == PT_INTERP && segment.p_offset + segment.p_filesz <= bytes.size()) {
        return bytes.substr(segment.p_offset, segment.p_filesz - 1);
      }
    }
    return {};
  }

  std::string line_;
  std::string folder_;
  std::string temporary_;
  std::vector<std::string> environment_;
  TraceResult result_;
  std::map<std::uint64_t, std::uint16_t> bound_ports_;
  std::string interpreter_;
  int programs_ = 0;
  std::atomic<pid_t> pid_ = 0;
  std::atomic<bool> ended_ = false;
  std::thread tracer_;
};

// Returns the value of `run` in the deploy file.
std::string run_line() {
  std::ifstream file(std::string(TRAILCOURSE_SOURCE_DIR) + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("run")) {
      const std::size_t from = line.find('"') + 1;
      return line.substr(from, line.rfind('"') - from);
    }
  }
  return {};
}

std::string joined(const std::vector<std::string>& items) {
  std::ostringstream out;
  for (const std::string& item : items) {
    out << item << "; ";
  }
  return out.str();
}

class RunLineTest : public testing::Test {
 public:
  ~RunLineTest() override { std::filesystem::remove_all(root_); }

 protected:
  // Creates the root folder of the command; its `build` links to the folder of the program under test.
  RunLineTest() : root_(testing::TempDir() + "trailcourse-root-" + std::to_string(::getpid())) {
    std::filesystem::remove_all(root_);
    std::filesystem::create_directories(root_ + "/tmp");
    std::filesystem::create_directory_symlink(std::filesystem::path(TRAILCOURSE_PROGRAM).parent_path(),
                                              root_ + "/build");
  }

  std::vector<std::string> environment(const std::string& config) const {
    const char* path = std::getenv("PATH");
    return {"TMPDIR=" + root_ + "/tmp", "PATH=" + std::string(path != nullptr ? path : "/usr/bin:/bin"),
            "NODE_NAME=n1", "NODE_CONFIG=" + config, "ASAN_OPTIONS=detect_leaks=0"};
  }
  TraceResult run(const std::string& line) {
    TracedCommand traced(line, root_, root_ + "/tmp", environment(""));
    return traced.wait();
  }

  std::string root_;
};

// Traces a router that serves a request, reloads its file on SIGHUP and ends on SIGTERM.
TEST_F(RunLineTest, RunsOneProcessWithOneListenerAndWritesNoFilesOutsideItsFolder) {
  DiscoveryStandIn board;
  CacheStandIn cache(CacheStandIn::serving("bytes"));
  board.post(pool({listed("cache-a", cache.address(), "std")}, true));
  const std::uint16_t port = free_port();
  json config = plain_config(board);
  config["listen"] = "127.0.0.1:" + std::to_string(port);
  std::ofstream(root_ + "/config.json") << config.dump();

  const std::string line = run_line();
  ASSERT_TRUE(line.starts_with("exec ")) << line;
  TracedCommand traced(line, root_, root_ + "/tmp", environment(root_ + "/config.json"));
  std::optional<Answer> answer;
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while ((!answer || answer->status != 200) && std::chrono::steady_clock::now() < deadline) {
    try {
      answer = Client(port).ask(1, read_fields(id_of(1)));
    } catch (const std::runtime_error&) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->body, "bytes");
  DiscoveryStandIn moved;
  moved.post(pool({listed("cache-a", cache.address(), "std")}, true));
  config["board"] = moved.address();
  std::ofstream(root_ + "/config.json") << config.dump();
  traced.signal(SIGHUP);
  ASSERT_TRUE(moved.await_calls(1));
  traced.signal(SIGTERM);
  const TraceResult& result = traced.wait();
  EXPECT_EQ(result.exit_status, 0);
  EXPECT_EQ(joined(result.processes), "");
  EXPECT_EQ(joined(result.rejected_calls), "");
  EXPECT_EQ(joined(result.written_paths), "");
  EXPECT_EQ(result.listening_ports, std::vector<std::uint16_t>{port});
  EXPECT_NE(traced.interpreter(), "") << "not linked dynamically";
}

// Checks the trace itself: it reports each process, file and listener.
TEST_F(RunLineTest, TraceReportsProcessesFilesAndListeners) {
  EXPECT_NE(joined(run("true; /bin/true; true").processes), "");
  EXPECT_NE(joined(run("exec /bin/sh -c 'exec /bin/true'").processes), "");
  EXPECT_NE(joined(run("echo x >outside").written_paths), "");
  EXPECT_EQ(joined(run("echo x >$TMPDIR/inside").written_paths), "");
  const std::uint16_t port = free_port();
  std::ofstream(root_ + "/origin.json")
      << json{{"origin", {{"listen", "127.0.0.1:" + std::to_string(port)}}}}.dump();
  TracedCommand traced("exec build/trailcourse origin --config origin.json", root_, root_ + "/tmp",
                       environment(""));
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  for (bool up = false; !up && std::chrono::steady_clock::now() < deadline;) {
    try {
      Client client(port);
      up = true;
    } catch (const std::runtime_error&) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  traced.signal(SIGTERM);
  EXPECT_EQ(traced.wait().listening_ports, std::vector<std::uint16_t>{port});
}

}  // namespace
}  // namespace trailcourse::testing_support

#endif
