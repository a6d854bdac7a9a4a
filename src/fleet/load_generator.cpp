#include "fleet/load_generator.h"

#include <algorithm>
#include <cstdio>
#include <string_view>
#include <utility>

#include "protocol/fastcgi_peer.h"
#include "protocol/numbers.h"

namespace trailcourse::fleet {

using transport::Clock;
using transport::Connection;
using transport::ConnectionEnd;

namespace {

constexpr std::uint8_t kStdout = 6;
constexpr std::uint8_t kEndRequest = 3;
constexpr std::uint16_t kMaxRequestId = 30'000;  // highest FastCGI request id that is used
constexpr std::uint64_t kGroups = 256;           // the group of an object is its number modulo this

// Returns the value of a header in the head of a CGI response; empty if it has none.
std::string_view header(std::string_view head, std::string_view name) {
  const std::size_t at = head.find(name);
  if (at == std::string_view::npos) {
    return {};
  }
  const std::string_view rest = head.substr(at + name.size());
  return rest.substr(0, rest.find("\r\n"));
}

// Returns the version of a generated object, which begins with "object ITEM/PART/VERSION\n"; 0 of other
// bodies.
int version_in(std::string_view body) {
  if (!body.starts_with("object ")) {
    return 0;
  }
  const std::string_view line = body.substr(0, body.find('\n'));
  return protocol::read_number<int>(line.substr(line.rfind('/') + 1)).value_or(0);
}

}  // namespace

// A connection to one router.
class LoadGenerator::Link : public Connection::Handler {
 public:
  Link(LoadGenerator& generator, const std::shared_ptr<Connection>& connection)
      : generator_(&generator), connection_(connection) {}
  // Closes the connection and stops using the load generator.
  void detach() {
    generator_ = nullptr;
    connection_.close(ConnectionEnd::kDropped);
  }

  bool ended() const { return connection_.ended(); }
  std::size_t open() const { return open_.size(); }

  void send(std::size_t index, const std::string& object) {
    do {
      request_id_ =
          request_id_ >= kMaxRequestId ? std::uint16_t{1} : static_cast<std::uint16_t>(request_id_ + 1);
    } while (open_.contains(request_id_));
    open_[request_id_] = index;
    const Options& options = generator_->options_;
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(generator_->requests_[index].id));
    const auto number = protocol::read_hex<std::uint64_t>(object).value_or(0);
    protocol::fastcgi_peer::Fields fields{{"SCRIPT_NAME", "/v1/" + options.request_class},
                                          {"HTTP_X_CALL_ID", id},
                                          {"HTTP_X_PATIENCE_MS", std::to_string(options.patience.count())},
                                          {"HTTP_X_ENTITY", object},
                                          {"HTTP_X_NTH", "0"},
                                          {"HTTP_X_BATCH", std::to_string(number % kGroups)},
                                          {"HTTP_X_TRACE", "1"}};
    if (options.size_kb > 0.0) {
      fields.emplace_back("HTTP_X_HEAP_KB", std::to_string(options.size_kb));
    }
    connection_.write(protocol::fastcgi_peer::request_bytes(request_id_, fields, ""));
  }

  void on_bytes(std::string_view bytes) override {
    if (generator_ == nullptr) {
      return;
    }
    bytes_ += bytes;
    for (const protocol::fastcgi_peer::Record& record : protocol::fastcgi_peer::take_records(bytes_)) {
      if (record.type == kStdout) {
        texts_[record.request_id] += record.content;
      } else if (record.type == kEndRequest) {
        end(record.request_id, record.content);
      }
    }
  }

  void on_end(ConnectionEnd) override {
    if (generator_ == nullptr) {
      return;
    }
    for (const auto& [request_id, index] : std::exchange(open_, {})) {
      generator_->requests_[index].connection_ended = true;
      --generator_->open_;
    }
  }

 private:
  void end(std::uint16_t request_id, std::string_view ended) {
    const std::string text = std::exchange(texts_[request_id], {});
    texts_.erase(request_id);
    // Ids are reused only after kMaxRequestId requests, so an end record whose id is not open is a second
    // answer to the last request with that id.
    const auto open = open_.find(request_id);
    const auto last = last_.find(request_id);
    if (open == open_.end()) {
      if (last != last_.end()) {
        ++generator_->requests_[last->second].answers;
      }
      return;
    }
    SentRequest& request = generator_->requests_[open->second];
    last_[request_id] = open->second;
    open_.erase(open);
    --generator_->open_;
    ++request.answers;
    request.answered = Clock::now();
    const std::size_t head_end = text.find("\r\n\r\n");
    const std::string_view head = std::string_view(text).substr(0, head_end);
    request.status = protocol::read_number<int>(header(head, "Status: ").substr(0, 3)).value_or(0);
    // An end with OVERLOADED and without output is a rejection (FastCGI 1.0, section 5.5).
    constexpr std::size_t kProtocolStatus = 4;
    constexpr char kOverloaded = 2;
    if (text.empty() && ended.size() > kProtocolStatus && ended[kProtocolStatus] == kOverloaded) {
      request.status = 503;
    }
    request.via = header(head, "X-Via: ");
    const std::string policy(header(head, "X-Policy: "));
    if (const std::size_t middle = policy.find("; "); middle != std::string::npos) {
      request.policy = policy.substr(0, middle);
      request.decided_us = protocol::read_number<std::int64_t>(policy.substr(middle + 2)).value_or(0);
    }
    std::string body = head_end == std::string::npos ? "" : text.substr(head_end + 4);
    request.bytes = body.size();
    request.version = version_in(body);
    if (generator_->options_.keep_bodies) {
      request.body = std::move(body);
    }
  }

  LoadGenerator* generator_;
  transport::ConnectionHandle connection_;
  std::uint16_t request_id_ = 0;
  std::string bytes_;
  std::map<std::uint16_t, std::string> texts_;  // output so far, by FastCGI request id
  std::map<std::uint16_t, std::size_t> open_;   // index of the request without an answer
  std::map<std::uint16_t, std::size_t> last_;   // index of the last answered request
};

LoadGenerator::LoadGenerator(transport::Scheduler& scheduler, Options options, std::uint64_t seed)
    : scheduler_(scheduler), options_(std::move(options)), next_id_(seed) {}

LoadGenerator::~LoadGenerator() {
  for (const auto& [router, link] : links_) {
    link->detach();
  }
}

std::size_t LoadGenerator::send(const std::string& router, const transport::Address& address,
                                const std::string& object) {
  std::shared_ptr<Link>& link = links_[router];
  if (!link || link->ended()) {
    const Connection::Bounds bounds;
    const auto connection = Connection::connect(scheduler_, address, bounds);
    ++connections_;
    link = std::make_shared<Link>(*this, connection);
    connection->start(link);
  }
  const std::size_t index = requests_.size();
  SentRequest request;
  // A mixed counter: ids are unique and do not reveal the order of the requests.
  request.id = ++next_id_ * 0x9e3779b97f4a7c15ULL;
  request.router = router;
  request.object = object;
  request.sent = Clock::now();
  requests_.push_back(std::move(request));
  ++open_;
  link->send(index, object);
  return index;
}

std::size_t LoadGenerator::open_at(const std::string& router) const {
  const auto found = links_.find(router);
  return found == links_.end() ? 0 : found->second->open();
}

std::string object_name(std::uint64_t number) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

}  // namespace trailcourse::fleet
