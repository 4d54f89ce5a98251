// The one thread that decides. gRPC calls from threads of its own; whatever they bring is put on one queue
// and done here, one after the other.
#ifndef OPALSWITCH_XDS_DECISION_LOOP_HPP_
#define OPALSWITCH_XDS_DECISION_LOOP_HPP_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

#include "opalswitch/policy.hpp"

namespace opalswitch::xds {

class DecisionLoop {
 public:
  // `tick` is called on the loop's thread every 10 ms or so.
  explicit DecisionLoop(std::function<void(Millis now)> tick);
  // Does what is queued, and ends.
  ~DecisionLoop();
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  void Post(std::function<void(Millis now)> work);
  // The same, and waits until it is done. Not from the loop's own thread.
  void RunAndWait(const std::function<void(Millis now)>& work);

 private:
  void Run();

  const std::function<void(Millis)> tick_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::function<void(Millis)>> queue_;
  bool is_stopping_ = false;
  std::thread thread_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_DECISION_LOOP_HPP_
