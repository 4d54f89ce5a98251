// Adapter between Policy and the simulator's line protocol (dialect quartz-d56c): parses lines into events
// and formats actions as lines.
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

// A line violates the protocol. The message names the invalid field or keyword.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses the "key=value" pairs of a CREATE line. Ignores unknown keys; missing ones keep their defaults.
// Throws WireError or std::invalid_argument if a value is invalid.
Settings ParseSettings(const std::vector<std::string_view>& pairs);

// Runs any number of Policy instances for the simulator. It consumes the input line by line and produces a
// reply at the end of each batch. The instances share only the protocol's numbered server lists.
class SimulatorAdapter {
 public:
  // Consumes one line, without its newline. Throws WireError if it is malformed.
  void HandleLine(std::string_view line);

  // Returns the reply of a completed batch once, to be written and flushed; empty while a batch is
  // incomplete.
  std::string TakeReply();

  // Whether a batch has started (TURN) and has not ended yet (EOF_BATCH).
  bool IsInBatch() const { return in_batch_; }

 private:
  void HandleEvent(const std::vector<std::string_view>& fields);
  void CreateInstance(const std::vector<std::string_view>& fields);
  void DeliverEvent(const opalswitch::Event& event);
  void AppendAction(const Action& action);

  double now_ = 0;  // clock of the current batch
  bool in_batch_ = false;
  std::optional<std::int64_t> target_instance_;  // instance that receives the following events
  std::map<std::int64_t, Policy> policies_;
  std::vector<std::vector<Server>> lists_ = std::vector<std::vector<Server>>(16);
  std::size_t current_list_ = 0;                // list that ENTRY lines are added to
  std::size_t entries_remaining_ = 0;           // ENTRY lines that the current list still needs
  std::optional<std::int64_t> reply_instance_;  // instance of the last CONTEXT line in the reply
  std::vector<Action> actions_;                 // buffer
  std::vector<std::string_view> fields_;        // fields of the current line
  std::string batch_reply_;                     // reply of the current batch
  std::string reply_;                           // reply of the last completed batch
};

}  // namespace opalswitch::wire

#endif  // OPALSWITCH_WIRE_HPP_
