// Where a pool's list of hosts comes from. One interface, whatever the source: the platform's discovery, the
// operators' file itself, or a file that another program keeps.
#ifndef OPALSWITCH_MEMBERSHIP_HOST_SOURCE_HPP_
#define OPALSWITCH_MEMBERSHIP_HOST_SOURCE_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/file_watcher.hpp"
#include "config/services.hpp"
#include "membership/discovery.hpp"
#include "membership/host_list.hpp"

namespace opalswitch::gateway {

class HostSource {
 public:
  struct Handlers {
    std::function<void(const HostList&)> on_update;
    std::function<void()> on_failure;                // the last list stays valid
    std::function<void(const std::string&)> on_log;  // one line for the operators' log
  };
  virtual ~HostSource() = default;
  // Begins to tell; what is known at once is told before this returns.
  virtual void Start() = 0;
  // The operators' file lists these hosts now. Of no concern to sources that know theirs from elsewhere.
  virtual void SetStaticHosts(std::vector<Host> /*hosts*/) {}
};

// The source that a pool's membership names; not started.
std::unique_ptr<HostSource> MakeHostSource(boost::asio::io_context& io, const config::Membership& membership,
                                           HostSource::Handlers handlers);

class StaticSource : public HostSource {
 public:
  StaticSource(std::vector<Host> hosts, Handlers handlers);
  void Start() override;
  void SetStaticHosts(std::vector<Host> hosts) override;

 private:
  std::vector<Host> hosts_;
  const Handlers handlers_;
};

// A JSON file in discovery's form: {"members":[...]}; "revision" and "complete" may be left out. To be
// replaced by renaming. One that is half written, broken or empty changes nothing and is told of; so is one
// with no hosts in it, unless it says "empty": true.
class FileSource : public HostSource {
 public:
  FileSource(boost::asio::io_context& io, std::string path, Handlers handlers);
  void Start() override;

 private:
  void Read();

  boost::asio::io_context& io_;
  const std::string path_;
  const Handlers handlers_;
  std::unique_ptr<FileWatcher> watch_;
  std::string told_;  // the text that holds now
};

// The platform's discovery, watched; a call that failed is made again.
class DiscoverySource : public HostSource {
 public:
  DiscoverySource(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                  Handlers handlers);
  void Start() override;

 private:
  const Handlers handlers_;
  Discovery discovery_;
};

// What a file of hosts says; `error` tells in one line why it says nothing.
std::optional<HostList> ReadHostFile(const std::string& text, std::string& error);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_HOST_SOURCE_HPP_
