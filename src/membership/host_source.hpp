// The sources of a pool's host list behind one interface: the operators' configuration file itself (static),
// a JSON file that another program maintains, or the discovery service.
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
    std::function<void()> on_failure;                // the source failed; the last list stays valid
    std::function<void(const std::string&)> on_log;  // one line for the log
  };
  virtual ~HostSource() = default;
  // Starts delivering lists to the handlers. A list that is available immediately is delivered before this
  // returns.
  virtual void Start() = 0;
  // Called when the operators' file was reloaded and lists these hosts. Ignored by all but the static source.
  virtual void SetStaticHosts(std::vector<Host> /*hosts*/) {}
};

// Creates the source that `membership` configures, not started yet.
std::unique_ptr<HostSource> MakeHostSource(boost::asio::io_context& io, const config::Membership& membership,
                                           HostSource::Handlers handlers);

// The hosts in the operators' file.
class StaticSource : public HostSource {
 public:
  StaticSource(std::vector<Host> hosts, Handlers handlers);
  void Start() override;
  void SetStaticHosts(std::vector<Host> hosts) override;

 private:
  std::vector<Host> hosts_;
  const Handlers handlers_;
};

// A JSON file in the form of a discovery response, {"members":[...]}; "revision" and "complete" are optional.
// Writers should replace the file by renaming. A file that is unreadable, incomplete, malformed or empty is
// logged and reported as a failure, and the last good list stays. So is one without hosts, unless it contains
// "empty": true.
class FileSource : public HostSource {
 public:
  FileSource(boost::asio::io_context& io, std::string path, Handlers handlers);
  void Start() override;

 private:
  void Reload();

  boost::asio::io_context& io_;
  const std::string path_;
  const Handlers handlers_;
  std::unique_ptr<FileWatcher> watcher_;
  std::string accepted_text_;  // of the list in effect; empty if none has been read
};

// The discovery service, watched continuously; failed calls are retried.
class DiscoverySource : public HostSource {
 public:
  DiscoverySource(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
                  Handlers handlers);
  void Start() override;

 private:
  const Handlers handlers_;
  Discovery discovery_;
};

// Parses the text of a host file. On failure returns nothing and sets `error` to one line that says why.
std::optional<HostList> ReadHostFile(const std::string& text, std::string& error);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_HOST_SOURCE_HPP_
