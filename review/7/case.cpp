// A router gets SIGTERM while clients go on sending on the connections that they hold open.
#include "harness.h"

using namespace review;

namespace {

constexpr int kConnections = 24;
constexpr double kRequestsPerS = 170.0;  // of one router
constexpr int kPatienceMs = 3'000;
constexpr milliseconds kBefore{1'000};           // of load, before SIGTERM
constexpr milliseconds kKillAfter{3'000 + 700};  // the longest deadline, 3 s at most, and 0.7 s

struct Sent {
  std::string id;
  Clock::time_point at;
  std::size_t connection = 0;
  int status = 0;       // of the final answer; 0: none came
  bool begun = false;   // some bytes of an answer came
  bool second = false;  // a second final answer came
};

// One connection of a client that holds it open, and the requests that are open on it.
struct Held {
  int socket = -1;
  std::string bytes;
  std::uint16_t last_key = 0;
  std::map<std::uint16_t, std::size_t> open;  // number of the request by its key on this connection
  std::optional<Clock::time_point> closed;    // by the router
};

int connect_to(std::uint16_t port) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  if (::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    throw std::runtime_error("cannot connect to the router");
  }
  return socket;
}

std::string ms_after(Clock::time_point time, Clock::time_point begin) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time - begin).count()) + " ms";
}

void read_answers(Held& held, std::vector<Sent>& all) {
  char buffer[65536];
  const ssize_t count = ::recv(held.socket, buffer, sizeof buffer, MSG_DONTWAIT);
  if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
    return;
  }
  if (count <= 0) {
    held.closed = Clock::now();
    return;
  }
  held.bytes.append(buffer, static_cast<std::size_t>(count));
  for (const support::Record& record : support::take_records(held.bytes)) {
    const auto found = held.open.find(record.request_id);
    if (found == held.open.end()) {
      continue;
    }
    Sent& sent = all[found->second];
    sent.begun = true;
    if (record.type == 6 && record.content.starts_with("Status: ")) {
      sent.status = -std::atoi(record.content.c_str() + 8);  // not ended yet
    } else if (record.type == 3) {
      sent.second = sent.status > 0;
      sent.status = sent.status < 0 ? -sent.status : 503;  // END_REQUEST alone: OVERLOADED
      held.open.erase(found);
    }
  }
}

// One start of the router, its load and its end. Returns the number of lost requests; nothing if the router
// did not start or lost one without the disruption.
std::optional<int> restart(Record& record, int round, const json& config,
                           const std::function<std::map<std::string, Clock::time_point>()>& forwarded) {
  Router router("n" + std::to_string(round), config);
  if (!router.await_ready()) {
    return std::nullopt;
  }
  std::vector<Held> connections(kConnections);
  for (Held& held : connections) {
    held.socket = connect_to(router.port());
  }
  std::vector<Sent> all;
  const Clock::time_point begin = Clock::now();
  const Clock::time_point term = begin + kBefore;
  const Clock::time_point kill = term + kKillAfter;
  bool told_to_end = false;
  std::optional<std::string> ended;
  const auto gap =
      std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1.0 / kRequestsPerS));
  Clock::time_point next = begin;
  std::size_t turn = 0;
  const auto open_anywhere = [&connections] {
    return std::any_of(connections.begin(), connections.end(),
                       [](const Held& held) { return !held.closed && !held.open.empty(); });
  };
  while (!ended && (Clock::now() < kill || (!trouble() && open_anywhere()))) {
    if (!told_to_end && trouble() && Clock::now() >= term) {
      router.process().signal(SIGTERM);
      told_to_end = true;
      record.line("round " + std::to_string(round) + ": SIGTERM");
    }
    if (Clock::now() >= next && Clock::now() < kill) {
      next += gap;
      for (int tries = 0; tries < kConnections; ++tries) {
        Held& held = connections[turn++ % kConnections];
        if (held.closed || held.open.size() >= 32) {
          continue;
        }
        char id[17];
        std::snprintf(id, sizeof id, "%04x%012zx", round, all.size());
        const std::uint16_t key = ++held.last_key;
        const std::string bytes = support::request_bytes(
            key,
            support::read_fields(id, {{"SCRIPT_NAME", "/v1/pages"},
                                      {"HTTP_X_PATIENCE_MS", std::to_string(kPatienceMs)},
                                      {"HTTP_X_ENTITY", std::string("7f3a9c21") + (id + 8)}}),
            "");
        if (::send(held.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size())) {
          held.open[key] = all.size();
          all.push_back(Sent{id, Clock::now(), static_cast<std::size_t>(&held - connections.data())});
        }
        break;
      }
    }
    std::vector<pollfd> waiting;
    for (const Held& held : connections) {
      waiting.push_back(pollfd{held.closed ? -1 : held.socket, POLLIN, 0});
    }
    ::poll(waiting.data(), waiting.size(), 1);
    for (std::size_t i = 0; i < connections.size(); ++i) {
      if (waiting[i].revents != 0) {
        read_answers(connections[i], all);
      }
    }
    ended = router.process().ended();
  }
  const Clock::time_point end = Clock::now();
  for (Held& held : connections) {  // what the router wrote before its end
    for (int i = 0; i < 64 && !held.closed; ++i) {
      read_answers(held, all);
    }
    ::close(held.socket);
  }
  const auto reached = forwarded();
  int answered = 0;
  int failed = 0;
  int lost = 0;
  int crossing = 0;
  for (const Sent& sent : all) {
    if (sent.status > 0 && !sent.second) {
      ++answered;
      failed += sent.status != 200 ? 1 : 0;
      continue;
    }
    if (!reached.contains(sent.id) || sent.status < 0 || sent.begun) {
      ++crossing;  // not known to have been read, or its answer was cut off visibly
      continue;
    }
    ++lost;
    const Held& held = connections[sent.connection];
    record.line("  " + sent.id + ": sent " + ms_after(sent.at, term) + " after SIGTERM, at a cache after " +
                ms_after(reached.at(sent.id), term) + ", connection closed after " +
                (held.closed ? ms_after(*held.closed, term) : "-") + ", no answer");
  }
  record.line("round " + std::to_string(round) + ": router " + ended.value_or("still runs") + " after " +
              ms_after(end, term) + "; sent " + std::to_string(all.size()) + ", answered " +
              std::to_string(answered) + " (" + std::to_string(failed) + " refused or failed), lost " +
              std::to_string(lost) + ", excused " + std::to_string(crossing));
  return lost;
}

int run(Record& record) {
  std::mutex mutex;
  std::map<std::string, Clock::time_point> seen;
  const auto answer = [&](const support::CacheRequest& request) {
    const std::lock_guard lock(mutex);
    seen.emplace(request.id, Clock::now());
    return Reply{"OK", "sum=a1,t0=" + std::to_string(unix_ms()) + ",tell=warm,meter=inflight:2",
                 std::string(2'000, 'x'), milliseconds(60)};  // `pages` take 34 to 92 ms to send
  };
  Cache one(answer);
  Cache two(answer);
  Cache source(answer);
  support::DiscoveryStandIn board;
  board.post({{"pool",
               {{"index", 1},
                {"snapshot", true},
                {"endpoints",
                 {listed("s-1", one.address(), "small"), listed("s-2", two.address(), "small"),
                  listed("p-1", source.address(), "parent"), listed("o-1", source.address(), "origin")}}}}});
  int lost = 0;
  for (int round = 1; round <= 5; ++round) {
    const std::optional<int> result =
        restart(record, round, configuration(board.address(), board.known()), [&] {
          const std::lock_guard lock(mutex);
          return std::exchange(seen, {});
        });
    if (!result) {
      return kCouldNotRun;
    }
    lost += *result;
  }
  record.line("lost: " + std::to_string(lost));
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int count, char** arguments) { return run_case(count, arguments, run); }
