// Stand-ins for the peers of a router, and the router itself as a process, all on loopback.
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

// Returns a loopback port that is free now; another process can still take it.
std::uint16_t free_port();

// Accepts connections on a loopback port and runs a thread with a blocking socket for each.
class Server {
 public:
  Server() = default;
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  virtual ~Server() { stop(); }

  // Starts to listen; port 0: any.
  void start(std::uint16_t port = 0);
  // Listens with a full backlog, so that no connection is established until start_accepting() is called. The
  // kernel retries within a second.
  void start_late();
  void start_accepting();
  // Closes all open connections, as a cache does with idle ones.
  void close_connections();
  // Closes the listener and all connections.
  void stop();
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 protected:
  virtual void serve(int socket) = 0;
  // Makes a blocked serve() return.
  virtual void wake() {}
  static bool send_all(int socket, const std::string& bytes);
  bool stopping() const { return stopping_; }

 private:
  void accept_loop();

  std::uint16_t port_ = 0;
  transport::Descriptor listener_;
  std::vector<transport::Opened> fillers_;  // connections that fill its backlog
  std::thread acceptor_;
  std::mutex sockets_mutex_;
  std::vector<transport::Descriptor> sockets_;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopping_ = false;
};

// A `serve` or `cancel` command that a cache received.
struct CacheRequest {
  std::string command;
  std::string id;
  std::map<std::string, std::string> fields;
  std::string body;
};

// The script of a cache that answers no request.
inline std::optional<std::string> no_answer(const CacheRequest&) { return std::nullopt; }

// A cache whose answers the test scripts.
class CacheStandIn : public Server {
 public:
  // Returns the raw bytes of the answer, with kThenClose at the end if the connection is to be closed
  // afterwards; nothing: no answer is sent.
  using Script = std::function<std::optional<std::string>(const CacheRequest&)>;

  static constexpr const char* kThenClose = "\x01then close";

  explicit CacheStandIn(Script script, bool late = false) : script_(std::move(script)) {
    late ? start_late() : start();
  }
  ~CacheStandIn() override { stop(); }

  // Returns an answer to `request` as a cache sends it.
  static std::string answer(const CacheRequest& request, const std::string& code, const std::string& fields,
                            const std::string& body = "");
  // Returns a script that answers OK with this body.
  static Script serving(const std::string& body);

  void set_script(Script script);
  std::vector<CacheRequest> seen() const;
  std::size_t count(const std::string& command) const;
  // Waits until `wanted` commands of this name have arrived; returns whether they have.
  bool await(const std::string& command, std::size_t wanted) const;

 protected:
  void serve(int socket) override;

 private:
  // Records the request and sends the answer of the script; returns whether the connection remains open.
  bool reply_to(int socket, const CacheRequest& request);

  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  Script script_;
  std::vector<CacheRequest> seen_;
};

// A discovery service with long polls: it answers a poll when there are new events.
class DiscoveryStandIn : public Server {
 public:
  DiscoveryStandIn() { start(); }
  ~DiscoveryStandIn() override { stop(); }

  // Appends an event with the next sequence number.
  void post(nlohmann::json event);
  // Returns the page that a router starts with: all events so far.
  nlohmann::json known() const;
  // Leaves the next `calls` polls unanswered, with their connections open.
  void stop_answering(int calls);
  // Sends each response this long after it was ready.
  void delay_responses(std::chrono::milliseconds delay);
  // Answers each poll with these bytes, until it is called with an empty string.
  void respond_with(const std::string& bytes);
  std::size_t calls() const;
  // Waits until a poll has arrived that states the last sequence number.
  bool await_caught_up() const;
  bool await_calls(std::size_t wanted) const;

 protected:
  void serve(int socket) override;
  void wake() override;

 private:
  mutable std::mutex mutex_;
  mutable std::condition_variable changed_;
  std::vector<nlohmann::json> events_;
  std::string fixed_response_;
  int unanswered_calls_ = 0;
  std::chrono::milliseconds delay_{0};
  std::size_t calls_ = 0;
  std::uint64_t last_polled_ = 0;
};

// A parsed answer to a client.
struct Answer {
  int status = 0;
  std::map<std::string, std::string> headers;
  std::string body;
  std::uint8_t protocol_status = 0;
  std::uint32_t application_status = 0;
};

// A FastCGI client with one blocking connection; every wait has a timeout.
class Client {
 public:
  explicit Client(std::uint16_t port, bool small_window = false);
  explicit Client(const transport::Address& address, bool small_window = false);

  void send(const std::string& bytes) const;
  // Waits for the complete answer to a request; returns nothing if the time is up or the connection ends
  // before.
  std::optional<Answer> read(std::uint16_t key, std::chrono::milliseconds timeout = std::chrono::seconds(10));
  // Closes the connection.
  void close();
  // Closes the sending side; answers can still be read.
  void shut_down_sending() const;
  // Closes the connection with a reset, also where nothing is unread.
  void reset();
  // Waits until the other side closes the connection; returns whether it did.
  bool await_close();
  // Returns whether the other side had closed the connection at the last read.
  bool closed() const { return closed_; }
  // Sends a complete request and waits for its answer.
  std::optional<Answer> ask(std::uint16_t key, const Fields& fields, const std::string& body = "");

 private:
  bool receive(std::chrono::steady_clock::time_point until);

  transport::Descriptor socket_;
  std::string bytes_;
  std::map<std::uint16_t, std::string> output_;
  std::map<std::uint16_t, Answer> ended_;
  bool closed_ = false;
};

// Returns the parameters of a read of one object. `more` overrides parameters and adds further ones.
Fields read_fields(const std::string& id, const Fields& more = {});
std::string id_of(int number);

// A router process, started as operators start it.
class Program {
 public:
  // `config` is one of plain_config(); its listen address is set here.
  explicit Program(const nlohmann::json& config, const std::vector<std::string>& flags = {});
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  std::uint16_t port() const { return port_; }
  pid_t pid() const { return pid_; }
  // Waits until the router answers its health check with this status; returns whether it did.
  bool await_health(int status) const;
  void signal(int number) const;
  // Suspends the process and waits until it is suspended; SIGCONT resumes it.
  void suspend() const;
  // Waits for the end of the process. Returns its exit status; nothing if it did not end in time or was
  // killed.
  std::optional<int> await_exit();
  std::string log() const;
  // Waits until the log contains `text`; returns whether it does.
  bool await_log(const std::string& text) const;
  // Replaces the configuration file, with the same listen address. A JSON string is written verbatim.
  void reconfigure(const nlohmann::json& config) const;
  void remove_configuration() const;

 private:
  std::uint16_t port_;
  std::string base_;
  pid_t pid_ = -1;
};

// Returns a configuration with a safe class `media`, a keyed class `entry` for the origin, an unsafe class
// `once` for the origin, and a streamed class `live`.
nlohmann::json plain_config(const DiscoveryStandIn& board);
// Returns an entry of an endpoint list.
nlohmann::json listed(const std::string& name, const std::string& address, const std::string& type,
                      const std::string& status = "up");
// Returns an endpoint update; `complete`: it replaces the endpoint list.
nlohmann::json pool(const std::vector<nlohmann::json>& entries, bool complete);

}  // namespace trailcourse::testing_support
