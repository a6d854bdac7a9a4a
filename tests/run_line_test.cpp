// The line `run` of deploy/balancer.toml, started exactly as it stands and traced call by call: what the
// platform and the bench's clock refuse must not happen in it, whatever is linked into the program.
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

// What a traced command did that is of interest, in words; threads are no processes.
struct Seen {
  std::vector<std::string> processes;  // forks, and programs started after the first
  std::vector<std::string>
      refused;  // calls that the bench answers ENOSYS or EINVAL, and other kinds of sockets
  std::vector<std::string> written;  // files opened for writing, made, renamed or removed outside the folder
  std::vector<std::uint16_t> listened;
  int exit_status = -1;
};

// Runs `/bin/sh -c line` under ptrace until it ends.
class Traced {
 public:
  Traced(std::string line, std::string folder, std::string temporary, std::vector<std::string> environment)
      : line_(std::move(line)),
        folder_(std::move(folder)),
        temporary_(std::move(temporary)),
        environment_(std::move(environment)),
        tracer_([this] { trace(); }) {}
  ~Traced() {
    if (const pid_t pid = pid_; pid > 0 && !ended_) {
      ::kill(pid, SIGKILL);
    }
    tracer_.join();
  }
  Traced(const Traced&) = delete;
  Traced& operator=(const Traced&) = delete;

  void signal(int number) const { ::kill(pid_, number); }
  const Seen& wait() {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!ended_ && std::chrono::steady_clock::now() < until) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return seen_;
  }
  std::string interpreter() const { return interpreter_; }

 private:
  // ptrace answers to the thread that started the process, so that one does all of it.
  void trace() {
    std::vector<char*> environment;
    environment.reserve(environment_.size() + 1);
    for (std::string& one : environment_) {
      environment.push_back(one.data());
    }
    environment.push_back(nullptr);
    std::string shell = "/bin/sh";
    std::string flag = "-c";
    char* words[] = {shell.data(), flag.data(), line_.data(), nullptr};
    const pid_t child = ::fork();
    if (child == 0) {
      if (::chdir(folder_.c_str()) != 0 || ::ptrace(PTRACE_TRACEME, 0, nullptr, nullptr) != 0) {
        ::_exit(126);
      }
      ::raise(SIGSTOP);
      ::execve(words[0], words, environment.data());
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
      follow(child, stopped, status);
    }
    ended_ = true;
  }

  void follow(pid_t child, pid_t stopped, int status) {
    if (WIFEXITED(status) || WIFSIGNALED(status)) {
      if (stopped == child) {
        seen_.exit_status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
        ended_ = true;
      }
      return;
    }
    long deliver = 0;
    const int event = status >> 16;
    const int signal = WSTOPSIG(status);
    if (signal == (SIGTRAP | 0x80)) {
      at_call(stopped);
    } else if (event == PTRACE_EVENT_FORK || event == PTRACE_EVENT_VFORK) {
      seen_.processes.emplace_back("fork");
    } else if (event == PTRACE_EVENT_EXEC) {
      if (++programs_ > 2) {  // the shell, then what it gives way to
        seen_.processes.emplace_back("exec");
      }
      interpreter_ = read_interpreter("/proc/" + std::to_string(stopped) + "/exe");
    } else if (event == 0 && signal != SIGSTOP && signal != SIGTRAP) {
      deliver = signal;
    }
    ::ptrace(PTRACE_SYSCALL, stopped, nullptr, deliver);
  }

  void at_call(pid_t who) {
    __ptrace_syscall_info info{};
    if (::ptrace(PTRACE_GET_SYSCALL_INFO, who, sizeof info, &info) <= 0 ||
        info.op != PTRACE_SYSCALL_INFO_ENTRY) {
      return;
    }
    const auto* given = info.entry.args;
    switch (info.entry.nr) {
      case SYS_clone:
        if ((given[0] & CLONE_THREAD) == 0) {
          seen_.processes.emplace_back("clone");
        }
        break;
      case SYS_clone3: {
        std::uint64_t flags = 0;
        read_from(who, given[0], &flags, sizeof flags);
        if ((flags & CLONE_THREAD) == 0) {
          seen_.processes.emplace_back("clone3");
        }
        break;
      }
      case SYS_io_uring_setup:
      case SYS_splice:
      case SYS_tee:
      case SYS_vmsplice:
      case SYS_sendfile:
        seen_.refused.push_back("call " + std::to_string(info.entry.nr));
        break;
      case SYS_socket:
        if (given[0] != AF_INET || ((given[1] & 0xFU) != SOCK_STREAM && (given[1] & 0xFU) != SOCK_DGRAM)) {
          seen_.refused.push_back("socket of family " + std::to_string(given[0]));
        }
        break;
      case SYS_socketpair:
        seen_.refused.emplace_back("socketpair");
        break;
      case SYS_bind: {
        sockaddr_in where{};
        read_from(who, given[1], &where, sizeof where);
        bound_[given[0]] = ntohs(where.sin_port);
        break;
      }
      case SYS_listen:
        seen_.listened.push_back(bound_[given[0]]);
        break;
      case SYS_open:
        opened(who, given[0], given[1]);
        break;
      case SYS_openat:
        opened(who, given[1], given[2]);
        break;
      case SYS_creat:
      case SYS_mkdir:
      case SYS_unlink:
      case SYS_rename:
        written(text_of(who, given[0]));
        break;
      case SYS_mkdirat:
      case SYS_unlinkat:
      case SYS_renameat:
      case SYS_renameat2:
        written(text_of(who, given[1]));
        break;
      default:
        break;
    }
  }

  void opened(pid_t who, std::uint64_t path, std::uint64_t flags) {
    constexpr std::uint64_t kWrites = O_WRONLY | O_RDWR | O_CREAT | O_TRUNC;
    if ((flags & kWrites) != 0) {
      written(text_of(who, path));
    }
  }
  void written(const std::string& path) {
    if (path != "/dev/null" && !path.starts_with(temporary_ + "/")) {
      seen_.written.push_back(path);
    }
  }

  static void read_from(pid_t who, std::uint64_t address, void* into, std::size_t size) {
    iovec here{into, size};
    // An address of the traced process is a number here, and the call takes it as a pointer.
    // NOLINTNEXTLINE(performance-no-int-to-ptr): process_vm_readv has no other form
    iovec there{reinterpret_cast<void*>(address), size};
    ::process_vm_readv(who, &here, 1, &there, 1, 0);
  }
  static std::string text_of(pid_t who, std::uint64_t address) {
    std::string out;
    for (char one = 1; out.size() < 4'096; ++address) {
      one = '\0';
      read_from(who, address, &one, 1);
      if (one == '\0') {
        break;
      }
      out += one;
    }
    return out;
  }
  static std::string read_interpreter(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    // Headers and interpreter stand at its beginning; a sanitized program holds hundreds of megabytes.
    std::string bytes(std::size_t{64} << 10U, '\0');
    file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    bytes.resize(static_cast<std::size_t>(file.gcount()));
    Elf64_Ehdr head{};
    if (bytes.size() < sizeof head) {
      return {};
    }
    bytes.copy(reinterpret_cast<char*>(&head), sizeof head);
    for (int i = 0; i < head.e_phnum; ++i) {
      Elf64_Phdr part{};
      const std::size_t at = head.e_phoff + static_cast<std::size_t>(i) * sizeof part;
      if (at + sizeof part > bytes.size()) {
        break;
      }
      bytes.copy(reinterpret_cast<char*>(&part), sizeof part, at);
      if (part.p_type == PT_INTERP && part.p_offset + part.p_filesz <= bytes.size()) {
        return bytes.substr(part.p_offset, part.p_filesz - 1);
      }
    }
    return {};
  }

  std::string line_;
  std::string folder_;
  std::string temporary_;
  std::vector<std::string> environment_;
  Seen seen_;
  std::map<std::uint64_t, std::uint16_t> bound_;
  std::string interpreter_;
  int programs_ = 0;
  std::atomic<pid_t> pid_ = 0;
  std::atomic<bool> ended_ = false;
  std::thread tracer_;
};

// The value of `run` in the deploy file.
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

std::string joined(const std::vector<std::string>& words) {
  std::ostringstream out;
  for (const std::string& word : words) {
    out << word << "; ";
  }
  return out.str();
}

class RunLineTest : public testing::Test {
 public:
  ~RunLineTest() override { std::filesystem::remove_all(root_); }

 protected:
  // The root as `run` sees it: its `build` is the folder of the program under test.
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
  Seen run(const std::string& line) {
    Traced traced(line, root_, root_ + "/tmp", environment(""));
    return traced.wait();
  }

  std::string root_;
};

// The router serves, rereads its file on SIGHUP and ends on SIGTERM, all of it traced.
TEST_F(RunLineTest, IsOneProcessWithOneListenerAndWritesNothingOutsideItsFolder) {
  DiscoveryStandIn board;
  CacheStandIn cache(CacheStandIn::serving("bytes"));
  board.post(pool({listed("cache-a", cache.address(), "std")}, true));
  const std::uint16_t port = free_port();
  json config = plain_config(board);
  config["listen"] = "127.0.0.1:" + std::to_string(port);
  std::ofstream(root_ + "/config.json") << config.dump();

  const std::string line = run_line();
  ASSERT_TRUE(line.starts_with("exec ")) << line;
  Traced traced(line, root_, root_ + "/tmp", environment(root_ + "/config.json"));
  std::optional<Answer> answer;
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  while ((!answer || answer->status != 200) && std::chrono::steady_clock::now() < until) {
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
  const Seen& seen = traced.wait();
  EXPECT_EQ(seen.exit_status, 0);
  EXPECT_EQ(joined(seen.processes), "");
  EXPECT_EQ(joined(seen.refused), "");
  EXPECT_EQ(joined(seen.written), "");
  EXPECT_EQ(seen.listened, std::vector<std::uint16_t>{port});
  EXPECT_NE(traced.interpreter(), "") << "not linked dynamically";
}

// The check itself: each thing that is refused is seen where it happens.
TEST_F(RunLineTest, TheTraceSeesProcessesFilesAndListeners) {
  EXPECT_NE(joined(run("true; /bin/true; true").processes), "");
  EXPECT_NE(joined(run("exec /bin/sh -c 'exec /bin/true'").processes), "");
  EXPECT_NE(joined(run("echo x >outside").written), "");
  EXPECT_EQ(joined(run("echo x >$TMPDIR/inside").written), "");
  const std::uint16_t port = free_port();
  std::ofstream(root_ + "/origin.json")
      << json{{"origin", {{"listen", "127.0.0.1:" + std::to_string(port)}}}}.dump();
  Traced traced("exec build/trailcourse origin --config origin.json", root_, root_ + "/tmp", environment(""));
  const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(30);
  for (bool up = false; !up && std::chrono::steady_clock::now() < until;) {
    try {
      Client client(port);
      up = true;
    } catch (const std::runtime_error&) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }
  traced.signal(SIGTERM);
  EXPECT_EQ(traced.wait().listened, std::vector<std::uint16_t>{port});
}

}  // namespace
}  // namespace trailcourse::testing_support

#endif
