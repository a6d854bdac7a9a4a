#include "fleet/fencing_token_check.h"

#include <fstream>
#include <map>

#include "ownership/fencing_token.h"

namespace trailcourse::fleet {

std::vector<std::string> find_token_regressions(const std::string& name, const std::string& log) {
  const std::string words = "executes commands under fencing token ";
  std::vector<std::string> out;
  std::ifstream file(log);
  std::map<std::string, ownership::Term> highest;
  for (std::string line; std::getline(file, line);) {
    const std::size_t at = line.find(words);
    const auto token = at == std::string::npos
                           ? std::nullopt
                           : ownership::parse_fencing_token(line.substr(at + words.size()));
    if (token && token->term < highest[token->work]) {
      out.push_back(name + ": " + line);
    } else if (token) {
      highest[token->work] = token->term;
    }
  }
  return out;
}

}  // namespace trailcourse::fleet
