// The quartz-d56c dialect: text lines to opalswitch events, actions to text lines. No decisions.
#ifndef OPALSWITCH_WIRE_HPP_
#define OPALSWITCH_WIRE_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "opalswitch/policy.hpp"

namespace opalswitch::wire {

// A line that breaks the dialect; the text names the fault.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The values of a CREATE line's settings. Unknown keys are skipped; missing ones keep defaults.
Settings ParseSettings(const std::vector<std::string_view>& pairs);

// Hosts the instances of one process. Feed it line after line; after EOF_BATCH it has a reply.
// The instances share the process and the numbered lists of the wire, and nothing else.
class SimulatorAdapter {
 public:
  // Consumes one line, without its newline. Throws WireError on a malformed one.
  void HandleLine(std::string_view line);

  // After EOF_BATCH: the reply to be written and flushed. Empty while a batch is incomplete.
  std::string TakeReply();

  // Whether a batch has begun that EOF_BATCH has not ended yet.
  bool IsInBatch() const { return in_batch_; }

 private:
  void HandleEvent(const std::vector<std::string_view>& fields);
  void CreateInstance(const std::vector<std::string_view>& fields);
  void DeliverEvent(const opalswitch::Event& event);
  void AppendAction(const Action& action);

  double now_ = 0;
  bool in_batch_ = false;
  std::optional<std::int64_t> target_instance_;  // the instance that events are addressed to
  std::map<std::int64_t, Policy> policies_;
  std::vector<std::vector<Server>> lists_ = std::vector<std::vector<Server>>(16);
  std::size_t current_list_ = 0;
  std::size_t entries_remaining_ = 0;           // ENTRY lines still to come for the open list
  std::optional<std::int64_t> reply_instance_;  // the instance the reply's actions are addressed to
  std::vector<Action> actions_;
  std::vector<std::string_view> fields_;
  std::string batch_reply_;
  std::string reply_;
};

}  // namespace opalswitch::wire

#endif  // OPALSWITCH_WIRE_HPP_
