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

#include "membership/host_list.hpp"

namespace opalswitch::gateway {

class Discovery {
 public:
  struct Handlers {
    std::function<void(HostList)> told;
    std::function<void()> failed;  // the watch has ended; Watch() begins a new one
  };
  Discovery(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint address,
            std::optional<std::int64_t> revision, Handlers handlers);

  // Begins a watch, from the last revision known; does nothing while one is on.
  void Watch();
  // Discovery is elsewhere from now on: what the old one still says is dropped, and the whole list is asked
  // for.
  void Move(const boost::asio::ip::tcp::endpoint& address);

 private:
  struct Call;
  void Ask();
  void Connected(const std::shared_ptr<Call>& call);
  void Answered(const std::shared_ptr<Call>& call);
  void Fail(const std::shared_ptr<Call>& call);

  void Drop();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  std::optional<std::int64_t> revision_;  // none yet from this discovery: its numbers are its own
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
