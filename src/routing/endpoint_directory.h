// The addresses of all caches by name. The decision module knows caches by their names only.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "transport/socket.h"

namespace trailcourse::routing {

class EndpointDirectory {
 public:
  void set(const std::string& name, const transport::Address& address) { addresses_[name] = address; }
  void remove(const std::string& name) { addresses_.erase(name); }
  // Returns nothing for an unknown name.
  std::optional<transport::Address> find(const std::string& name) const {
    const auto found = addresses_.find(name);
    return found == addresses_.end() ? std::nullopt : std::optional<transport::Address>(found->second);
  }

 private:
  std::unordered_map<std::string, transport::Address> addresses_;
};

}  // namespace trailcourse::routing
