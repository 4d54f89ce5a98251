#include "xds/decision_loop.hpp"

#include <chrono>
#include <utility>

#include "base/clock.hpp"

namespace opalswitch::xds {
namespace {

using Clock = std::chrono::steady_clock;
constexpr auto kTickInterval = std::chrono::milliseconds(10);

}  // namespace

DecisionLoop::DecisionLoop(std::function<void(Millis)> tick)
    : tick_(std::move(tick)), thread_([this] { Run(); }) {}

DecisionLoop::~DecisionLoop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void DecisionLoop::Post(std::function<void(Millis)> work) {
  {
    const std::lock_guard lock(mutex_);
    queue_.push_back(std::move(work));
  }
  wake_.notify_one();
}

void DecisionLoop::RunAndWait(const std::function<void(Millis)>& work) {
  std::mutex mutex;
  std::condition_variable done;
  bool finished = false;
  Post([&](Millis now) {
    work(now);
    const std::lock_guard lock(mutex);
    finished = true;
    done.notify_one();
  });
  std::unique_lock lock(mutex);
  done.wait(lock, [&] { return finished; });
}

void DecisionLoop::Run() {
  auto next = Clock::now() + kTickInterval;
  std::unique_lock lock(mutex_);
  for (;;) {
    wake_.wait_until(lock, next, [this] { return is_stopping_ || !queue_.empty(); });
    std::deque<std::function<void(Millis)>> work;
    work.swap(queue_);
    const bool last = is_stopping_ && work.empty();
    lock.unlock();
    for (const auto& item : work) item(gateway::Now());
    if (Clock::now() >= next) {
      tick_(gateway::Now());
      next = Clock::now() + kTickInterval;
    }
    lock.lock();
    if (last && queue_.empty()) return;
  }
}

}  // namespace opalswitch::xds
