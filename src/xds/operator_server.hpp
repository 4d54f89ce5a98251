// The operators' API on a Unix socket: status, drains and undrains, and the client functions of the command
// line. Access is controlled by the permissions of the socket file, which only its owner can write to.
#ifndef OPALSWITCH_XDS_OPERATOR_SERVER_HPP_
#define OPALSWITCH_XDS_OPERATOR_SERVER_HPP_

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "xds/control_plane.hpp"
#include "xds/control_server.hpp"

namespace opalswitch::xds {

class OperatorServer {
 public:
  // `control` is used only on the decision thread of `server`, and may be null until it is created.
  // `on_drains_changed` is called on that thread with all drained nodes. Throws std::runtime_error if the
  // socket can't be created.
  OperatorServer(const std::string& socket, ControlServer& server,
                 const std::unique_ptr<ControlPlane>& control,
                 std::function<void(const std::set<std::string>&)> on_drains_changed);
  ~OperatorServer();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Client functions for the command line: they print the result and return the exit code.
int ShowStatus(const std::string& socket, bool json);
// `wait`: waits until no proxy sends to the node any more, for up to `timeout` ms; 0 = no limit.
int DrainNode(const std::string& socket, const std::string& node, bool wait, Millis timeout);
int UndrainNode(const std::string& socket, const std::string& node);

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_OPERATOR_SERVER_HPP_
