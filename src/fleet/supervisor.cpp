#include "fleet/supervisor.h"

#include <csignal>
#include <filesystem>
#include <stdexcept>
#include <system_error>
#include <utility>

namespace trailcourse::fleet {

using std::chrono::milliseconds;
using transport::Clock;

namespace {

constexpr milliseconds kPollInterval{2};

std::size_t size_of(const std::string& path) {
  std::error_code error;
  const auto size = std::filesystem::file_size(path, error);
  return error ? 0 : static_cast<std::size_t>(size);
}

}  // namespace

void Supervisor::start(const std::string& name) {
  if (alive(name)) {
    return;
  }
  children_.erase(name);
  Member& member = layout_.member(name);
  ++member.starts;
  layout_.write(member);
  const std::string log = layout_.log_file(name);
  const std::size_t log_from = size_of(log);
  children_.emplace(
      name,
      Child{Process({name, layout_.command_line(member, program_), log, member.environment}), log_from});
}

void Supervisor::start_all(Kind kind) {
  for (const std::string& name : layout_.names(kind)) {
    start(name);
  }
}

void Supervisor::kill(const std::string& name) { children_.erase(name); }

std::optional<Process::End> Supervisor::terminate(const std::string& name, milliseconds timeout) {
  const auto child = children_.find(name);
  if (child == children_.end()) {
    return std::nullopt;
  }
  child->second.process.signal(SIGTERM);
  const bool ended = run_until([&child] { return !child->second.process.alive(); }, timeout);
  const std::optional<Process::End> end = ended ? child->second.process.poll() : std::nullopt;
  children_.erase(child);
  return end;
}

void Supervisor::signal(const std::string& name, int number) {
  if (const auto child = children_.find(name); child != children_.end()) {
    child->second.process.signal(number);
  }
}

bool Supervisor::alive(const std::string& name) {
  const auto child = children_.find(name);
  return child != children_.end() && child->second.process.alive();
}

pid_t Supervisor::pid(const std::string& name) const {
  const auto child = children_.find(name);
  return child == children_.end() ? -1 : child->second.process.pid();
}

std::string Supervisor::log(const std::string& name) const {
  const auto child = children_.find(name);
  return child == children_.end() ? std::string() : child->second.process.log();
}

std::string Supervisor::log_since_start(const std::string& name) const {
  const auto child = children_.find(name);
  if (child == children_.end()) {
    return {};
  }
  const std::string all = child->second.process.log();
  return all.substr(std::min(child->second.log_from, all.size()));
}

std::vector<std::string> Supervisor::unexpected_exits() {
  std::vector<std::string> out;
  for (auto& [name, child] : children_) {
    if (const auto& end = child.process.poll()) {
      out.push_back(name + " " + to_string(*end));
    }
  }
  return out;
}

bool Supervisor::run_until(const std::function<bool()>& done, milliseconds timeout) {
  const Clock::time_point end = Clock::now() + timeout;
  while (!done()) {
    if (Clock::now() >= end) {
      return false;
    }
    scheduler_.run_iteration(kPollInterval);
  }
  return true;
}

bool Supervisor::await_up(const std::string& name, milliseconds timeout) {
  return await_log(name, "listens on", timeout);
}

bool Supervisor::await_log(const std::string& name, const std::string& text, milliseconds timeout) {
  bool found = false;
  run_until(
      [&] {
        found = log_since_start(name).find(text) != std::string::npos;
        return found || !alive(name);
      },
      timeout);
  return found;
}

}  // namespace trailcourse::fleet
