// A stand-in of the discovery service: serves host lists and long polls by the published protocol, and fails
// calls as a test asks.
#ifndef OPALSWITCH_TESTS_STANDINS_DISCOVERY_SERVICE_HPP_
#define OPALSWITCH_TESTS_STANDINS_DISCOVERY_SERVICE_HPP_

#include <chrono>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "peers.hpp"

namespace opalswitch::testing {

class DiscoveryService {
 public:
  // What happens to a call.
  enum class Reaction {
    kServe,
    kReset,          // the connection is reset, after the delay
    kErrorStatus,    // 503, after the delay
    kStaySilent,     // never answered
    kServeOnReturn,  // answered once AnswerSilentCalls() is called
  };

  explicit DiscoveryService(asio::io_context& io) : io_(io), peer_(io) {
    peer_.keeps_requests = false;
    peer_.serve = [this](const Peer::ReceivedRequest& call) { OnCall(call); };
  }

  tcp::endpoint address() const { return peer_.address(); }

  // Sets the state of hosts, as one revision. Open watches are answered.
  void Publish(const std::vector<nlohmann::json>& members) {
    ++revision_;
    for (const auto& member : members) members_[member["id"]] = {member, revision_};
    for (const auto& watch : std::exchange(watches_, {})) Answer(watch);
  }

  // Ends all open watches, as when the service goes down.
  void EndWatches() {
    for (const auto& watch : std::exchange(watches_, {})) watch.connection->Reset();
  }

  // Answers the calls that were left silent by kServeOnReturn.
  void AnswerSilentCalls() {
    for (const auto& call : std::exchange(silent_calls_, {})) OnServedCall(call);
  }

  // Called for each call, counted from 1, to choose what happens to it. All are served if it is not set.
  std::function<Reaction(int call)> react;
  std::function<void(int call)> on_refused;  // called after each 503
  std::function<void()> on_written;          // called when a list with the newest revision has been written
  std::chrono::milliseconds delay{5};        // before each response or failure

  // How long the last call asked to wait for news.
  std::chrono::milliseconds last_wait() const { return last_wait_; }
  // When a list with the newest revision was first written; unset before that.
  std::optional<SteadyTime> newest_written_at() const {
    return written_revision_ == revision_ ? written_at_ : std::nullopt;
  }
  // Whether that was at least this long ago.
  bool HasWrittenNewestFor(std::chrono::milliseconds duration) const {
    const auto written_at = newest_written_at();
    return written_at && std::chrono::steady_clock::now() >= *written_at + duration;
  }

 private:
  struct Entry {
    nlohmann::json member;
    int changed_in = 0;  // revision
  };

  void OnCall(const Peer::ReceivedRequest& call) {
    ++calls_;
    last_wait_ = WaitOf(call);
    const Reaction reaction = react ? react(calls_) : Reaction::kServe;
    switch (reaction) {
      case Reaction::kServe: return OnServedCall(call);
      case Reaction::kReset: return After(delay, [call] { call.connection->Reset(); });
      case Reaction::kErrorStatus:
        return After(delay, [this, call, number = calls_] {
          call.Answer(503, "");
          if (on_refused) on_refused(number);
        });
      case Reaction::kStaySilent: return;
      case Reaction::kServeOnReturn: silent_calls_.push_back(call); return;
    }
  }

  // A watch without news is answered when there are some, or when its wait is over.
  void OnServedCall(const Peer::ReceivedRequest& call) {
    if (RevisionKnownTo(call) < revision_) return Answer(call);
    watches_.push_back(call);
    After(WaitOf(call), [this, call] {
      const auto is_this = [&](const auto& watch) { return watch.connection == call.connection; };
      if (std::erase_if(watches_, is_this) > 0) Answer(call);
    });
  }

  void Answer(const Peer::ReceivedRequest& call) {
    After(delay, [this, call] {
      if (call.connection->ended) return;
      const int known = RevisionKnownTo(call);
      std::vector<nlohmann::json> changed;
      for (const auto& [id, entry] : members_) {
        const bool is_listed = known > 0 || entry.member["phase"] != "removed";
        if (entry.changed_in > known && is_listed) changed.push_back(entry.member);
      }
      call.Answer(200, List(revision_, known == 0, changed).dump());
      if (on_written) on_written();
      if (written_revision_ == revision_) return;
      written_revision_ = revision_;
      written_at_ = std::chrono::steady_clock::now();
    });
  }

  static std::optional<int> Parameter(const Peer::ReceivedRequest& call, const std::string& name) {
    const std::string target(call.http.target());
    const std::size_t at = target.find(name);
    if (at == std::string::npos) return std::nullopt;
    return std::atoi(target.c_str() + at + name.size());
  }
  static std::chrono::milliseconds WaitOf(const Peer::ReceivedRequest& call) {
    return std::chrono::milliseconds(Parameter(call, "wait_ms=").value_or(0));
  }
  // 0 if the whole list is asked for.
  static int RevisionKnownTo(const Peer::ReceivedRequest& call) {
    return Parameter(call, "after=").value_or(0);
  }

  template <typename Function>
  void After(std::chrono::milliseconds duration, Function function) {
    const auto timer = std::make_shared<asio::steady_timer>(io_, duration);
    timer->async_wait([timer, function](error_code) { function(); });
  }

  asio::io_context& io_;
  Peer peer_;
  std::map<std::string, Entry> members_;
  std::vector<Peer::ReceivedRequest> watches_, silent_calls_;
  std::chrono::milliseconds last_wait_{0};
  int calls_ = 0, revision_ = 0, written_revision_ = 0;
  std::optional<SteadyTime> written_at_;
};

}  // namespace opalswitch::testing

#endif  // OPALSWITCH_TESTS_STANDINS_DISCOVERY_SERVICE_HPP_
