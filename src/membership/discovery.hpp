// The watch on discovery that keeps the list of hosts up to date.
#ifndef OPALSWITCH_MEMBERSHIP_DISCOVERY_HPP_
#define OPALSWITCH_MEMBERSHIP_DISCOVERY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "membership/host_list.hpp"
#include "membership/watch_schedule.hpp"

namespace opalswitch::gateway {

class Discovery {
 public:
  struct Handlers {
    std::function<void(HostList)> on_update;
    std::function<void()> on_failure;                     // the watch has ended; Watch() begins a new one
    std::function<void(const std::string&)> on_log = {};  // one line for the operators' log; may be empty
  };
  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
            std::optional<std::int64_t> revision, Handlers handlers, std::uint64_t seed,
            const WatchTimes& times = {});

  // Begins a watch, from the last revision known; does nothing while one is on.
  void Watch();
  // The same after the pace's gap, for whoever has no better ground to choose when to try again.
  void WatchLater();
  // Discovery is elsewhere from now on: what the old one still says is dropped, and the whole list is asked
  // for.
  void SetAddress(const boost::asio::ip::tcp::endpoint& address);

 private:
  struct Call;
  double Uniform() { return std::uniform_real_distribution(0.0, 1.0)(random_); }
  void Ask();
  void Connected(const std::shared_ptr<Call>& call);
  void Answered(const std::shared_ptr<Call>& call);
  void Read(const std::shared_ptr<Call>& call);
  void Allow(const std::shared_ptr<Call>& call, Millis time, WatchFailure fault);
  void Fail(const std::shared_ptr<Call>& call, WatchFailure fault, const std::string& detail = "");
  void Note(const std::optional<std::string>& line) const;
  void Drop();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  WatchSchedule pace_;
  std::mt19937_64 random_;  // spreads the calls of many gateways
  const Handlers handlers_;
  std::shared_ptr<boost::asio::ip::tcp::socket> socket_;  // kept between the calls of a watch
  std::shared_ptr<Call> call_;                            // the one that is on; results of others are dropped
  std::uint64_t moves_ = 0;
  boost::asio::steady_timer pause_;
  bool watching_ = false;
  // Handlers that are still on their way when this ends find it gone.
  const std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_DISCOVERY_HPP_
