#include "stand_ins.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>

#include "protocol/resp.h"

namespace trailcourse::testing_support {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

namespace {

constexpr seconds kTestTimeout{20};
constexpr transport::Address kAnyPort{0x7f000001U, 0};

void make_blocking(int socket) { ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK); }

}  // namespace

// The ports are below the ephemeral range, and each process uses a range of its own, so that tests that run
// in parallel do not take a port between this check and the start of the program.
std::uint16_t free_port() {
  constexpr int kFirst = 10'000;
  constexpr int kCount = 20'000;
  constexpr int kOfProcess = 16;
  static std::atomic<int> taken = 0;
  for (int tries = 0; tries < kCount; ++tries) {
    const auto port = static_cast<std::uint16_t>(kFirst + (::getpid() * kOfProcess + taken++) % kCount);
    if (transport::listen_on({kAnyPort.ip, port}, 1).descriptor.valid()) {
      return port;
    }
  }
  throw std::runtime_error("no loopback port is free");
}

void Server::start(std::uint16_t port) {
  transport::Opened opened = transport::listen_on({kAnyPort.ip, port}, 64);
  if (!opened.descriptor.valid()) {
    throw std::runtime_error("cannot listen on a loopback port");
  }
  listener_ = std::move(opened.descriptor);
  make_blocking(listener_.get());
  port_ = transport::local_of(listener_.get()).port;
  stopping_ = false;
  acceptor_ = std::thread([this] { accept_loop(); });
}

void Server::start_late() {
  constexpr int kFillers = 8;
  transport::Opened opened = transport::listen_on(kAnyPort, 0);
  if (!opened.descriptor.valid()) {
    throw std::runtime_error("cannot listen on a loopback port");
  }
  listener_ = std::move(opened.descriptor);
  make_blocking(listener_.get());
  port_ = transport::local_of(listener_.get()).port;
  for (int i = 0; i < kFillers; ++i) {
    fillers_.push_back(transport::start_connect({kAnyPort.ip, port_}));
  }
}

void Server::start_accepting() {
  fillers_.clear();
  ::listen(listener_.get(), 64);
  stopping_ = false;
  acceptor_ = std::thread([this] { accept_loop(); });
}

void Server::accept_loop() {
  for (;;) {
    transport::Opened opened = transport::accept_from(listener_.get());
    if (!opened.descriptor.valid()) {
      return;
    }
    make_blocking(opened.descriptor.get());
    const std::lock_guard lock(sockets_mutex_);
    if (stopping_) {
      return;
    }
    const int socket = opened.descriptor.get();
    sockets_.push_back(std::move(opened.descriptor));
    threads_.emplace_back([this, socket] {
      serve(socket);
      ::shutdown(socket, SHUT_RDWR);
    });
  }
}

void Server::close_connections() {
  const std::lock_guard lock(sockets_mutex_);
  for (const transport::Descriptor& socket : sockets_) {
    ::shutdown(socket.get(), SHUT_RDWR);
  }
}

void Server::stop() {
  if (!acceptor_.joinable()) {
    return;
  }
  {
    const std::lock_guard lock(sockets_mutex_);
    stopping_ = true;
    ::shutdown(listener_.get(), SHUT_RDWR);
    for (const transport::Descriptor& socket : sockets_) {
      ::shutdown(socket.get(), SHUT_RDWR);
    }
  }
  wake();
  acceptor_.join();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  sockets_.clear();
  listener_.reset();
}

bool Server::send_all(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

std::string CacheStandIn::answer(const CacheRequest& request, const std::string& code,
                                 const std::string& fields, const std::string& body) {
  return protocol::resp::write_array({request.id, code, fields, body});
}

CacheStandIn::Script CacheStandIn::serving(const std::string& body) {
  return [body](const CacheRequest& request) { return answer(request, "OK", "sum=t1,t0=1,tell=warm", body); };
}

void CacheStandIn::set_script(Script script) {
  const std::lock_guard lock(mutex_);
  script_ = std::move(script);
}

std::vector<CacheRequest> CacheStandIn::seen() const {
  const std::lock_guard lock(mutex_);
  return seen_;
}

std::size_t CacheStandIn::count(const std::string& command) const {
  const std::lock_guard lock(mutex_);
  return static_cast<std::size_t>(std::count_if(
      seen_.begin(), seen_.end(), [&command](const CacheRequest& one) { return one.command == command; }));
}

bool CacheStandIn::await(const std::string& command, std::size_t wanted) const {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, kTestTimeout, [&] {
    return static_cast<std::size_t>(std::count_if(seen_.begin(), seen_.end(), [&](const CacheRequest& one) {
             return one.command == command;
           })) >= wanted;
  });
}

namespace {

// Assembles the events of the parser into complete requests.
class RequestReader {
 public:
  void add(const protocol::resp::Event& event) {
    if (const auto* head = std::get_if<protocol::resp::ArrayHead>(&event)) {
      begin(*head);
    } else if (const auto* piece = std::get_if<protocol::resp::ArrayPiece>(&event)) {
      request_.body += piece->bytes;
    } else if (std::holds_alternative<protocol::resp::ArrayEnd>(event)) {
      if (request_.id.empty()) {
        request_.id = std::exchange(request_.body, {});
      }
      complete_.push_back(request_);
    }
  }

  // Returns the requests that were completed since the last call.
  std::vector<CacheRequest> take_complete() { return std::exchange(complete_, {}); }

 private:
  void begin(const protocol::resp::ArrayHead& head) {
    request_ = CacheRequest();
    request_.command = head.strings.at(0);
    request_.id = head.strings.size() > 1 ? head.strings[1] : "";
    std::string list = head.strings.size() > 2 ? head.strings[2] : "";
    while (!list.empty()) {
      const std::string field = list.substr(0, list.find(','));
      list.erase(0, field.size() + 1);
      request_.fields[field.substr(0, field.find('='))] = field.substr(field.find('=') + 1);
    }
  }

  CacheRequest request_;
  std::vector<CacheRequest> complete_;
};

}  // namespace

void CacheStandIn::serve(int socket) {
  protocol::resp::Parser parser{protocol::resp::Bounds()};
  RequestReader reader;
  char buffer[65536];
  for (;;) {
    const ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
    if (count <= 0) {
      return;
    }
    parser.feed(std::string_view(buffer, static_cast<std::size_t>(count)),
                [&reader](const protocol::resp::Event& event) { reader.add(event); });
    for (const CacheRequest& request : reader.take_complete()) {
      if (!reply_to(socket, request)) {
        return;
      }
    }
  }
}

bool CacheStandIn::reply_to(int socket, const CacheRequest& request) {
  Script script;
  {
    const std::lock_guard lock(mutex_);
    seen_.push_back(request);
    script = script_;
  }
  changed_.notify_all();
  std::optional<std::string> reply = request.command == "serve" ? script(request) : std::nullopt;
  if (!reply) {
    return true;
  }
  const bool then_close = reply->ends_with(kThenClose);
  if (then_close) {
    reply->resize(reply->size() - std::string_view(kThenClose).size());
  }
  return send_all(socket, *reply) && !then_close;
}

void DiscoveryStandIn::post(json event) {
  {
    const std::lock_guard lock(mutex_);
    event["rev"] = events_.size() + 1;
    events_.push_back(std::move(event));
  }
  changed_.notify_all();
}

json DiscoveryStandIn::known() const {
  const std::lock_guard lock(mutex_);
  return {{"rev", events_.size()}, {"notices", events_}};
}

void DiscoveryStandIn::stop_answering(int calls) {
  const std::lock_guard lock(mutex_);
  unanswered_calls_ = calls;
}

void DiscoveryStandIn::delay_responses(milliseconds delay) {
  const std::lock_guard lock(mutex_);
  delay_ = delay;
}

void DiscoveryStandIn::respond_with(const std::string& bytes) {
  {
    const std::lock_guard lock(mutex_);
    fixed_response_ = bytes;
  }
  changed_.notify_all();
}

void DiscoveryStandIn::wake() {
  const std::lock_guard lock(mutex_);
  changed_.notify_all();
}

std::size_t DiscoveryStandIn::calls() const {
  const std::lock_guard lock(mutex_);
  return calls_;
}

bool DiscoveryStandIn::await_caught_up() const {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, kTestTimeout, [this] { return last_polled_ >= events_.size(); });
}

bool DiscoveryStandIn::await_calls(std::size_t wanted) const {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, kTestTimeout, [&] { return calls_ >= wanted; });
}

void DiscoveryStandIn::serve(int socket) {
  std::string bytes;
  char buffer[4096];
  for (;;) {
    const std::size_t end = bytes.find("\r\n\r\n");
    if (end == std::string::npos) {
      const ssize_t count = ::recv(socket, buffer, sizeof buffer, 0);
      if (count <= 0) {
        return;
      }
      bytes.append(buffer, static_cast<std::size_t>(count));
      continue;
    }
    const std::size_t watch = bytes.find("watch=");
    const std::size_t linger = bytes.find("linger=");
    if (watch == std::string::npos || linger == std::string::npos) {
      return;
    }
    const std::uint64_t known_sequence = std::stoull(bytes.substr(watch + 6));
    const milliseconds timeout(std::stoll(bytes.substr(linger + 7)));
    bytes.erase(0, end + 4);
    std::string reply;
    {
      std::unique_lock lock(mutex_);
      ++calls_;
      last_polled_ = std::max(last_polled_, known_sequence);
      changed_.notify_all();
      if (unanswered_calls_ > 0) {
        --unanswered_calls_;
        changed_.wait(lock, [this] { return stopping(); });
        return;
      }
      changed_.wait_for(lock, timeout, [&] {
        return stopping() || events_.size() > known_sequence || !fixed_response_.empty();
      });
      json page = {{"rev", events_.size()}, {"notices", json::array()}};
      for (std::size_t i = known_sequence; i < events_.size(); ++i) {
        page["notices"].push_back(events_[i]);
      }
      const std::string text = page.dump();
      reply = !fixed_response_.empty()
                  ? fixed_response_
                  : "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
      if (delay_ > milliseconds(0)) {
        changed_.wait_for(lock, delay_, [this] { return stopping(); });
      }
    }
    if (!send_all(socket, reply)) {
      return;
    }
  }
}

Client::Client(std::uint16_t port, bool small_window) : Client({kAnyPort.ip, port}, small_window) {}

Client::Client(const transport::Address& address, bool small_window) {
  socket_ = transport::Descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (small_window) {
    const int bytes = 4096;
    ::setsockopt(socket_.get(), SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  }
  sockaddr_in peer{};
  peer.sin_family = AF_INET;
  peer.sin_addr.s_addr = htonl(address.ip);
  peer.sin_port = htons(address.port);
  if (::connect(socket_.get(), reinterpret_cast<sockaddr*>(&peer), sizeof peer) != 0) {
    throw std::runtime_error("cannot connect to a loopback address");
  }
}

void Client::send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = ::send(socket_.get(), bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return;  // the other side closed the connection, which read() reports
    }
    sent += static_cast<std::size_t>(count);
  }
}

bool Client::receive(Clock::time_point until) {
  const auto left = std::chrono::ceil<milliseconds>(until - Clock::now()).count();
  pollfd waiting{socket_.get(), POLLIN, 0};
  if (closed_ || left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) <= 0) {
    return false;
  }
  char buffer[65536];
  const ssize_t count = ::recv(socket_.get(), buffer, sizeof buffer, 0);
  closed_ = count <= 0;
  bytes_.append(buffer, count > 0 ? static_cast<std::size_t>(count) : 0);
  for (const Record& one : take_records(bytes_)) {
    if (one.type == 6) {
      output_[one.request_id] += one.content;
    } else if (one.type == 3 && one.content.size() == 8) {
      if (ended_.contains(one.request_id)) {
        throw std::runtime_error("received a second answer to one request");
      }
      Answer answer;
      for (int i = 0; i < 4; ++i) {
        answer.application_status = answer.application_status << 8U |
                                    static_cast<std::uint8_t>(one.content[static_cast<std::size_t>(i)]);
      }
      answer.protocol_status = static_cast<std::uint8_t>(one.content[4]);
      std::string text = std::exchange(output_[one.request_id], {});
      const std::size_t end = text.find("\r\n\r\n");
      answer.body = end == std::string::npos ? "" : text.substr(end + 4);
      std::string head = text.substr(0, end) + "\r\n";
      for (std::size_t line = head.find("\r\n"); line != std::string::npos; line = head.find("\r\n")) {
        const std::string field = head.substr(0, line);
        head.erase(0, line + 2);
        if (const std::size_t colon = field.find(": "); colon != std::string::npos) {
          answer.headers[field.substr(0, colon)] = field.substr(colon + 2);
        }
      }
      answer.status = std::atoi(answer.headers["Status"].c_str());
      ended_[one.request_id] = answer;
    }
  }
  return !closed_;
}

std::optional<Answer> Client::read(std::uint16_t key, milliseconds timeout) {
  const Clock::time_point until = Clock::now() + timeout;
  while (!ended_.contains(key) && receive(until)) {
  }
  const auto found = ended_.find(key);
  if (found == ended_.end()) {
    return std::nullopt;
  }
  Answer answer = found->second;
  ended_.erase(found);
  return answer;
}

void Client::close() {
  socket_.reset();
  closed_ = true;
}

void Client::shut_down_sending() const { ::shutdown(socket_.get(), SHUT_WR); }

void Client::reset() {
  const linger at_once{1, 0};
  ::setsockopt(socket_.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  socket_.reset();
  closed_ = true;
}

bool Client::await_close() {
  const Clock::time_point until = Clock::now() + kTestTimeout;
  while (receive(until)) {
  }
  return closed_;
}

std::optional<Answer> Client::ask(std::uint16_t key, const Fields& fields, const std::string& body) {
  send(request_bytes(key, fields, body));
  return read(key);
}

std::string id_of(int number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(number));
  return text;
}

Fields read_fields(const std::string& id, const Fields& more) {
  Fields fields = more;
  const auto add = [&](const char* name, const std::string& value) {
    if (std::none_of(more.begin(), more.end(), [name](const auto& one) { return one.first == name; })) {
      fields.emplace_back(name, value);
    }
  };
  add("SCRIPT_NAME", "/v1/media");
  add("HTTP_X_CALL_ID", id);
  add("HTTP_X_PATIENCE_MS", "5000");
  add("HTTP_X_ENTITY", "7f3a9c21e0b4d655");
  add("HTTP_X_NTH", "3");
  add("HTTP_X_BATCH", "17");
  add("HTTP_X_HEAP_KB", "12.5");
  return fields;
}

Program::Program(const json& config, const std::vector<std::string>& flags) : port_(free_port()) {
  const char* folder = std::getenv("TMPDIR");
  base_ = std::string(folder != nullptr ? folder : "/tmp") + "/trailcourse-" + std::to_string(::getpid()) +
          "-" + std::to_string(port_);
  reconfigure(config);
  std::vector<std::string> arguments{TRAILCOURSE_PROGRAM, "serve", "--config", base_ + ".json"};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  std::vector<char*> raw;
  raw.reserve(arguments.size() + 1);
  for (std::string& argument : arguments) {
    raw.push_back(argument.data());
  }
  raw.push_back(nullptr);
  const transport::Descriptor log(
      ::open((base_ + ".log").c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  pid_ = ::fork();
  if (pid_ == 0) {
    ::dup2(log.get(), STDERR_FILENO);
    ::dup2(log.get(), STDOUT_FILENO);
    ::execv(raw[0], raw.data());
    ::_exit(127);
  }
}

Program::~Program() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  std::remove((base_ + ".json").c_str());
  std::remove((base_ + ".log").c_str());
}

namespace {

// Returns the status with which the program at this port answers its health check; nothing if it does not
// listen.
std::optional<int> health_status(std::uint16_t port) {
  try {
    Client client(port);
    const std::optional<Answer> answer = client.ask(1, {{"SCRIPT_NAME", "/healthz"}});
    return answer ? std::optional<int>(answer->status) : std::nullopt;
  } catch (const std::runtime_error&) {
    return std::nullopt;
  }
}

}  // namespace

bool Program::await_health(int status) const {
  const Clock::time_point until = Clock::now() + kTestTimeout;
  while (Clock::now() < until) {
    if (health_status(port_) == status) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return false;
}

void Program::signal(int number) const { ::kill(pid_, number); }

void Program::suspend() const {
  signal(SIGSTOP);
  const Clock::time_point until = Clock::now() + kTestTimeout;
  for (std::string state; state != "T" && Clock::now() < until;) {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
    std::string skipped;
    file >> skipped >> skipped >> state;
    std::this_thread::yield();
  }
}

std::optional<int> Program::await_exit() {
  const Clock::time_point until = Clock::now() + kTestTimeout;
  int status = 0;
  while (Clock::now() < until) {
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return WIFEXITED(status) ? std::optional<int>(WEXITSTATUS(status)) : std::nullopt;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return std::nullopt;
}

std::string Program::log() const {
  std::ifstream file(base_ + ".log");
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void Program::reconfigure(const json& config) const {
  if (config.is_string()) {
    std::ofstream(base_ + ".next") << config.get<std::string>();
  } else {
    json complete = config;
    complete["listen"] = "127.0.0.1:" + std::to_string(port_);
    std::ofstream(base_ + ".next") << complete.dump();
  }
  std::rename((base_ + ".next").c_str(), (base_ + ".json").c_str());
}

void Program::remove_configuration() const { std::remove((base_ + ".json").c_str()); }

bool Program::await_log(const std::string& text) const {
  const Clock::time_point until = Clock::now() + kTestTimeout;
  while (log().find(text) == std::string::npos && Clock::now() < until) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  return log().find(text) != std::string::npos;
}

json listed(const std::string& name, const std::string& address, const std::string& type,
            const std::string& status) {
  return {{"name", name}, {"address", address}, {"zone", type == "std" ? "edge" : "hub"},
          {"type", type}, {"group", 0},         {"status", status},
          {"weight", 8},  {"since_ms", 0}};
}

json pool(const std::vector<json>& entries, bool complete) {
  return {{"pool", {{"index", 1}, {"snapshot", complete}, {"endpoints", entries}}}};
}

json plain_config(const DiscoveryStandIn& board) {
  json config = json::parse(R"({"name":"n1","seed":"5","limits":{"cores":1.0,"memory_mb":192,"sockets":256},
    "settings":{"Az":"edge","Balancers":1,"SelfIndex":0,"Zones":["hub","edge"],
      "Kinds":["std","parent","origin"],
      "Weights":"nominal","Discovery":"push",
      "Classes":[
        {"Name":"media","Effect":"safe","ObjectiveS":2,"AimStretch":2,"GiveUpS":6,"Worth":1},
        {"Name":"entry","Effect":"keyed","Group":"all","MemorySpanS":3,"ObjectiveS":2,"GiveUpS":6,"Worth":1},
        {"Name":"once","Effect":"unsafe","ObjectiveS":2,"GiveUpS":6,"Worth":1},
        {"Name":"live","Effect":"safe","ObjectiveS":2,"GiveUpS":6,"Worth":1,"Streaming":true}],
      "Extra":{"MidKind":1,"OriginKind":2,"CountByZone":[0,1],"ZoneLinkKbPerS":[0,9000],"StreamKbPerS":100,
        "LifetimeByClassS":[0,0,0,0],"ClassGraceS":[0,0,0,0],"Uncached":[false,true,true,false],
        "NoteLevel":"all",
        "Direct":true,"Collapses":false,"Siblings":"none","HeedWithinS":0.3,"ClearedWithinS":6},
      "Limits":{"AttemptsCap":6,"Cancel":true,"ParallelTries":true,"ConnIdleS":15,"ConnectTimeoutS":0.4,
        "StreamsPerConn":32,"MaxOpen":20000,"RetryAfter":true,"MaxRetryAfterS":1},
      "Rules":{"DrainGraceS":1,"ColdFrom":0.3,"ColdS":10,"OverloadFactor":4,"OverloadForS":2,
        "AnswerSlackS":0.008},
      "Report":{"How":"answers","Fields":["concurrent"]}}})");
  config["board"] = board.address();
  config["known"] = board.known();
  return config;
}

}  // namespace trailcourse::testing_support
