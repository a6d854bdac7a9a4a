// A library for LD_PRELOAD that makes system calls of a process fail or end short, as Linux documents that
// they may. FAULT_SHIM_PER_10000 of the calls are affected, drawn from FAULT_SHIM_SEED, once the process
// listens; those of one name alone where FAULT_SHIM_ONLY is set. Only connections that the process opened
// itself break. Files other than standard error count as disks.
#include <dlfcn.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <cstring>

namespace {

constexpr std::size_t kMaxDescriptors = 4'096;

std::atomic<bool> listening = false;
std::atomic<std::uint64_t> calls = 0;
std::array<std::atomic<bool>, kMaxDescriptors> opened_here{};

template <typename Function>
Function real(const char* name) {
  return reinterpret_cast<Function>(::dlsym(RTLD_NEXT, name));
}

std::uint64_t setting(const char* name) {
  const char* const text = ::getenv(name);
  return text != nullptr ? ::strtoull(text, nullptr, 10) : 0;
}

// Returns a number that depends on the seed and the number of calls so far (SplitMix64).
std::uint64_t draw() {
  static const std::uint64_t kSeed = setting("FAULT_SHIM_SEED");
  std::uint64_t z = kSeed * 0x9e3779b97f4a7c15ULL + ++calls * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31U);
}

bool affected(const char* call) {
  constexpr std::uint64_t kParts = 10'000;
  static const std::uint64_t kShare = setting("FAULT_SHIM_PER_10000");
  static const char* const kOnly = ::getenv("FAULT_SHIM_ONLY");
  const bool chosen = kOnly == nullptr || ::strcmp(kOnly, call) == 0;
  return listening && chosen && draw() % kParts < kShare;
}

template <std::size_t kCount>
int fail(const std::array<int, kCount>& errors) {
  errno = errors[draw() % kCount];
  return -1;
}

bool is_opened_here(int descriptor) {
  return descriptor >= 0 && static_cast<std::size_t>(descriptor) < kMaxDescriptors &&
         opened_here[static_cast<std::size_t>(descriptor)];
}

bool is_disk(int descriptor) {
  struct stat status{};
  return descriptor != STDERR_FILENO && ::fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

constexpr std::array kAcceptErrors{ECONNABORTED, ENFILE, ENOBUFS, EINTR};
constexpr std::array kSocketErrors{ENFILE, ENOBUFS};
constexpr std::array kConnectErrors{EADDRNOTAVAIL, ENETUNREACH};
constexpr std::array kBrokenErrors{ETIMEDOUT, EHOSTUNREACH};
constexpr std::array kDiskErrors{ENOSPC, EIO};

// Breaks a connection and returns its error, as a read or write then does.
int break_connection(int descriptor) {
  ::shutdown(descriptor, SHUT_RDWR);
  return fail(kBrokenErrors);
}

}  // namespace

extern "C" {

int listen(int descriptor, int backlog) {
  static const auto kReal = real<int (*)(int, int)>("listen");
  const int result = kReal(descriptor, backlog);
  listening = true;
  return result;
}

int accept4(int listener, sockaddr* address, socklen_t* size, int flags) {
  static const auto kReal = real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (affected("accept4")) {
    return fail(kAcceptErrors);
  }
  const int descriptor = kReal(listener, address, size, flags);
  if (descriptor >= 0 && static_cast<std::size_t>(descriptor) < kMaxDescriptors) {
    opened_here[static_cast<std::size_t>(descriptor)] = false;
  }
  return descriptor;
}

int socket(int domain, int type, int protocol) {
  static const auto kReal = real<int (*)(int, int, int)>("socket");
  return affected("socket") ? fail(kSocketErrors) : kReal(domain, type, protocol);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static const auto kReal = real<int (*)(int, const sockaddr*, socklen_t)>("connect");
  if (affected("connect")) {
    return fail(kConnectErrors);
  }
  if (descriptor >= 0 && static_cast<std::size_t>(descriptor) < kMaxDescriptors) {
    opened_here[static_cast<std::size_t>(descriptor)] = true;
  }
  return kReal(descriptor, address, size);
}

int epoll_wait(int epoll, epoll_event* events, int max_events, int timeout) {
  static const auto kReal = real<int (*)(int, epoll_event*, int, int)>("epoll_wait");
  if (affected("epoll_wait")) {
    errno = EINTR;
    return -1;
  }
  return kReal(epoll, events, max_events, timeout);
}

ssize_t recv(int descriptor, void* buffer, std::size_t size, int flags) {
  static const auto kReal = real<ssize_t (*)(int, void*, std::size_t, int)>("recv");
  if ((flags & MSG_PEEK) == 0 && affected("recv")) {
    switch (draw() % 8) {
      case 0:
        if (is_opened_here(descriptor)) {
          return break_connection(descriptor);
        }
        break;
      case 1:
      case 2:
        errno = EINTR;
        return -1;
      default:
        return kReal(descriptor, buffer, 1 + draw() % 16 < size ? 1 + draw() % 16 : size, flags);
    }
  }
  return kReal(descriptor, buffer, size, flags);
}

ssize_t sendmsg(int descriptor, const msghdr* message, int flags) {
  static const auto kReal = real<ssize_t (*)(int, const msghdr*, int)>("sendmsg");
  if (!affected("sendmsg") || message->msg_iovlen == 0) {
    return kReal(descriptor, message, flags);
  }
  if (draw() % 4 == 0) {
    errno = EINTR;
    return -1;
  }
  iovec first = message->msg_iov[0];
  first.iov_len = first.iov_len > 1 ? 1 + draw() % (first.iov_len - 1) : first.iov_len;
  msghdr shortened = *message;
  shortened.msg_iov = &first;
  shortened.msg_iovlen = 1;
  return kReal(descriptor, &shortened, flags);
}

ssize_t write(int descriptor, const void* bytes, std::size_t size) {
  static const auto kReal = real<ssize_t (*)(int, const void*, std::size_t)>("write");
  if (is_disk(descriptor) && affected("write")) {
    return size > 1 && draw() % 2 == 0 ? kReal(descriptor, bytes, size / 2) : fail(kDiskErrors);
  }
  return kReal(descriptor, bytes, size);
}

ssize_t pwrite64(int descriptor, const void* bytes, std::size_t size, off64_t offset) {
  static const auto kReal = real<ssize_t (*)(int, const void*, std::size_t, off64_t)>("pwrite64");
  if (is_disk(descriptor) && affected("pwrite64")) {
    return size > 1 && draw() % 2 == 0 ? kReal(descriptor, bytes, size / 2, offset) : fail(kDiskErrors);
  }
  return kReal(descriptor, bytes, size, offset);
}

int fsync(int descriptor) {
  static const auto kReal = real<int (*)(int)>("fsync");
  return affected("fsync") ? fail(kDiskErrors) : kReal(descriptor);
}

int fdatasync(int descriptor) {
  static const auto kReal = real<int (*)(int)>("fdatasync");
  return affected("fdatasync") ? fail(kDiskErrors) : kReal(descriptor);
}

}  // extern "C"
