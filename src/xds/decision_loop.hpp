// The decision thread. gRPC uses threads of its own; their events are queued here and processed one after the
// other.
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
  // `tick` is called on the loop's thread about every 10 ms.
  explicit DecisionLoop(std::function<void(Millis now)> tick);
  // Processes the queued work and stops the thread.
  ~DecisionLoop();
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  // Queues `work`. Thread-safe.
  void Post(std::function<void(Millis now)> work);
  // Queues `work` and waits until it is done. Must not be called on the loop's thread.
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
