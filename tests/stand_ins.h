// Small stand-ins for what the router talks to, and the router itself as a process, all on loopback.
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fastcgi_peer.h"
#include "transport/socket.h"

namespace trailcourse::testing_support {

// A loopback port that was free a moment ago.
std::uint16_t free_port();

// Accepts on a loopback port and runs a thread for each connection; blocking sockets.
class Server {
 public:
  Server() = default;
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  virtual ~Server() { stop(); }

  // Port 0: any.
  void start(std::uint16_t port = 0);
  // Listens, and lets no connection come up until come_up() is called; the system's next try is up to a
  // second later.
  void start_late();
  void come_up();
  // Ends all connections that there are, as a cache does with idle ones.
  void hang_up();
  // Closes the listener and all connections.
  void stop();
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 protected:
  virtual void serve(int socket) = 0;
  // What blocks in serve() is to come back.
  virtual void wake() {}
  static bool send_all(int socket, const std::string& bytes);
  bool stopping() const { return stopping_; }

 private:
  void accept_loop();

  std::uint16_t port_ = 0;
  transport::Descriptor listener_;
  std::vector<transport::Opened> fillers_;  // of the places in its backlog
  std::thread acceptor_;
  std::mutex sockets_mutex_;
  std::vector<transport::Descriptor> sockets_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopping_ = false;
};

// One `serve` or `cancel` as a cache got it.
struct CacheRequest {
  std::string command;
  std::string id;
  std::map<std::string, std::string> fields;
  std::string body;
};

// A cache that answers as the test scripts it.
class CacheStandIn : public Server {
 public:
  // The raw bytes to be sent back, ending in kThenClose to break the connection off; nothing: stay silent.
  using Script = std::function<std::optional<std::string>(const CacheRequest&)>;

  static constexpr const char* kThenClose = "\x01then close";

  explicit CacheStandIn(Script script, bool late = false) : script_(std::move(script)) {
    late ? start_late() : start();
  }
  ~CacheStandIn() override { stop(); }

  static std::string answer(const CacheRequest& request, const std::string& word, const std::string& fields,
                            const std::string& body = "");
  // Answers OK with these bytes.
  static Script serving(const std::string& body);

  void set_script(Script script);
  std::vector<CacheRequest> seen() const;
  std::size_t count(const std::string& command) const;
  // Waits until so many of a command have come.
  bool await(const std::string& command, std::size_t wanted) const;

 protected:
  void serve(int socket) override;

 private:
  // Notes the request and sends what the script gives for it; returns whether the connection goes on.
  bool reply_to(int socket, const CacheRequest& request);

  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  Script script_;
  std::vector<CacheRequest> seen_;
};

// A notice board that holds calls back until there is news.
class BoardStandIn : public Server {
 public:
  BoardStandIn() { start(); }
  ~BoardStandIn() override { stop(); }

  // Adds an event; it gets the next number.
  void post(nlohmann::json event);
  // What the router is started with.
  nlohmann::json known() const;
  // So many calls from now on are never answered, though their connections stay open.
  void fall_silent(int calls);
  // Until changed back, each call is answered with these bytes.
  void say(const std::string& bytes);
  std::size_t calls() const;
  // Waits until a call has come that has the last event.
  bool await_caught_up() const;
  bool await_calls(std::size_t wanted) const;

 protected:
  void serve(int socket) override;
  void wake() override;

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::vector<nlohmann::json> events_;
  std::string nonsense_;
  int silent_ = 0;
  std::size_t calls_ = 0;
  std::uint64_t latest_asked_ = 0;
};

// An answer as a client reads it.
struct Answer {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  std::uint8_t protocol_status = 0;
  std::uint32_t application_status = 0;
};

// A client with one connection; every wait has an end.
class Client {
 public:
  explicit Client(std::uint16_t port, bool small_window = false);
  explicit Client(const transport::Address& address, bool small_window = false);

  void send(const std::string& bytes) const;
  // Waits for the whole answer to a request; nothing where none came in time or the connection ended.
  std::optional<Answer> read(std::uint16_t key, std::chrono::milliseconds longest = std::chrono::seconds(10));
  // Whether the other side ends the connection.
  bool await_close();
  // Sends a whole request and waits for its answer.
  std::optional<Answer> ask(std::uint16_t key, const Fields& fields, const std::string& body = "");

 private:
  bool receive(std::chrono::steady_clock::time_point until);

  transport::Descriptor socket_;
  std::string bytes_;
  std::map<std::uint16_t, std::string> output_;
  std::map<std::uint16_t, Answer> ended_;
  bool closed_ = false;
};

// The parameters of a plain read; `more` overrides and adds.
Fields read_fields(const std::string& id, const Fields& more = {});
std::string id_of(int number);

// The router, started as the operators do.
class Program {
 public:
  // `settings` and the like come from plain_config().
  explicit Program(const nlohmann::json& config, const std::vector<std::string>& flags = {});
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  std::uint16_t port() const { return port_; }
  pid_t pid() const { return pid_; }
  // Waits until it answers its health check with this status.
  bool await_health(int status) const;
  void signal(int number) const;
  // Stops it, and waits until it does not run any more; SIGCONT wakes it.
  void suspend() const;
  // Waits for its end: the exit status, or nothing where it did not end or was killed.
  std::optional<int> await_exit();
  std::string log() const;
  // Waits until the log holds this.
  bool await_log(const std::string& words) const;
  // Replaces its configuration file, keeping where it listens; a text is written as it is.
  void reconfigure(const nlohmann::json& config) const;
  void remove_configuration() const;

 private:
  std::uint16_t port_;
  std::string base_;
  pid_t pid_ = -1;
};

// A configuration with one safe class `media`, one keyed `entry` for the origin, one unsafe `once` for the
// origin and a streamed one `live`.
nlohmann::json plain_config(const BoardStandIn& board);
nlohmann::json listed(const std::string& name, const std::string& address, const std::string& type,
                      const std::string& status = "up");
nlohmann::json pool(const std::vector<nlohmann::json>& entries, bool whole);

}  // namespace trailcourse::testing_support
