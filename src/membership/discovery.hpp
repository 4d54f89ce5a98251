// The HTTP client of the discovery service.
#ifndef OPALSWITCH_MEMBERSHIP_DISCOVERY_HPP_
#define OPALSWITCH_MEMBERSHIP_DISCOVERY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "membership/host_list.hpp"
#include "membership/watch_log.hpp"
#include "membership/watch_schedule.hpp"

namespace opalswitch::gateway {

// Keeps a host list up to date by successive long polls of GET /discovery/hosts over one connection at a
// time. WatchSchedule decides when to call and which lists to accept. All functions and handlers run on
// `io`'s thread.
class Discovery {
 public:
  struct Handlers {
    std::function<void(HostList)> on_update;
    // The watch has ended; call Watch() or WatchAfterDelay() to start a new one in this window.
    std::function<void(const RetryWindow& retry)> on_failure;
    std::function<void(const std::string&)> on_log = {};  // one line for the log; may be null
    std::function<void(const EndedCall&)> on_call_ended =
        {};  // each call that was not abandoned; may be null
  };
  // `revision` is that of a list already known from this service, if any. `seed` is for the random delays
  // that spread the calls of many gateways.
  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
            std::optional<std::int64_t> revision, Handlers handlers, std::uint64_t seed,
            const WatchTimes& times = {});

  // Starts a watch from the last known revision; does nothing while a watch is running.
  void Watch();
  // Calls Watch() after the schedule's retry delay, for callers without a retry policy of their own.
  void WatchAfterDelay();
  // Switches to another discovery service and requests its complete list. Does nothing if the address is the
  // same. What calls to former addresses deliver before that list is applied, too.
  void SetAddress(const boost::asio::ip::tcp::endpoint& address);

 private:
  struct Call;
  double Uniform() { return std::uniform_real_distribution(0.0, 1.0)(random_); }
  void StartCall();
  void SendRequest(const std::shared_ptr<Call>& call);
  void HandleResponse(const std::shared_ptr<Call>& call);
  void ReadResponse(const std::shared_ptr<Call>& call);
  void SetTimeout(const std::shared_ptr<Call>& call, Millis timeout, WatchFailure failure);
  void HandleFailure(const std::shared_ptr<Call>& call, WatchFailure failure, const std::string& detail = "");
  void Log(const std::optional<std::string>& line) const;
  // Reports the end of `call`. `failures` includes it; `list` is null if the call has failed.
  void ReportEnd(const Call& call, std::optional<WatchFailure> failure, const std::string& detail,
                 int failures, const HostList* list);
  void Disconnect();

  // Calls to former addresses.
  void SupersedeCall();
  void EndSupersededCalls(const std::shared_ptr<Call>& last);
  void RemoveSupersededCall(const std::shared_ptr<Call>& call);
  void HandleSupersededResponse(const std::shared_ptr<Call>& call);
  bool IsSuperseded(const std::shared_ptr<Call>& call) const;
  bool IsPending(const std::shared_ptr<Call>& call) const;
  static void Close(Call& call);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  WatchSchedule schedule_;
  std::mt19937_64 random_;
  const Handlers handlers_;
  std::shared_ptr<boost::asio::ip::tcp::socket> socket_;  // reused by the calls of a watch
  std::shared_ptr<Call> call_;                            // the current call
  std::deque<std::shared_ptr<Call>> superseded_calls_;    // oldest first; results of any others are dropped
  std::uint64_t address_changes_ = 0;
  std::uint64_t calls_ended_ = 0;
  Millis last_call_ended_at_;
  Millis confirmed_at_;  // when the list in effect was last known to be the latest one
  boost::asio::steady_timer next_call_timer_;
  bool is_watching_ = false;
  // Expires with this object: pending handlers hold weak pointers to it.
  const std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_DISCOVERY_HPP_
