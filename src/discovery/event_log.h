// The numbered events of a board, as they are told on: by a board from its file, by a relay from what it was
// told itself, and by a snapshot from what it kept. Each page is rendered once for all who ask from the same
// number.
//
// Old events are folded: changes of the list into one whole list at the number of the last of them, purges
// dropped once they bind no longer. Who asks from a number before the fold gets the whole list and every
// purge that still binds, which says the same.
//
// Package `board`. Not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace trailcourse::board {

class PageLog {
 public:
  using Page = std::shared_ptr<const std::string>;

  // `id` names the board; empty: it has no name, and pages bear none.
  explicit PageLog(std::string id = "") : id_(std::move(id)) {}

  // All of a page is taken instead of what there was. Throws std::invalid_argument, with what is wrong with
  // it, where it is not of the form {"rev":N,"notices":[{"rev":N,...},...]}; nothing has changed then.
  void replace(const nlohmann::json& page);
  // Events beyond the last are appended, and `rev` too; others are passed over. Throws as above.
  void append(const nlohmann::json& page);
  void rename(const std::string& id);

  std::uint64_t last() const { return last_; }
  const std::string& id() const { return id_; }
  std::size_t events() const { return events_.size(); }

  // The page of all that is later than `number`.
  Page later_than(std::uint64_t number);
  // How many pages were made, for how many askers.
  std::uint64_t rendered() const { return rendered_; }
  std::uint64_t asked() const { return asked_; }

  // Folds where there are more than `most` events: purges from before `binds_from_ms` (Unix) go.
  void fold(std::size_t most, std::int64_t binds_from_ms);
  // The whole as one page, folded: a list and the purges that bind.
  nlohmann::json whole(std::int64_t binds_from_ms) const;

 private:
  // The list that all events up to `number` make, as one whole-list event, and the purges among them.
  static nlohmann::json folded_list(const std::map<std::uint64_t, nlohmann::json>& events,
                                    std::uint64_t& last_list);

  std::string id_;
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, nlohmann::json> events_;
  std::map<std::uint64_t, Page> pages_;  // by the number asked from, for the last event as it is
  std::uint64_t rendered_ = 0;
  std::uint64_t asked_ = 0;
};

// Throws std::invalid_argument where a page is not of that form.
void check_page(const nlohmann::json& page);

}  // namespace trailcourse::board
