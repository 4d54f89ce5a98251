// The local socket by which operators ask what the control service does, and drain nodes. Who may write to
// the socket's file may do all of it: it is made for its owner alone.
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
  // `control` is used on the server's deciding thread alone, and may be null until it is made. `drains` is
  // told, on that thread, what is drained from now on. Throws std::runtime_error if the socket can't be made.
  OperatorServer(const std::string& socket, ControlServer& server,
                 const std::unique_ptr<ControlPlane>& control,
                 std::function<void(const std::set<std::string>&)> on_drains_changed);
  ~OperatorServer();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// The client's side, for the command line. Each gives the exit code and prints what it found.
int ShowStatus(const std::string& socket, bool json);
// Waits for `timeout` ms at the most; 0 = for ever.
int DrainNode(const std::string& socket, const std::string& node, bool wait, Millis timeout);
int UndrainNode(const std::string& socket, const std::string& node);

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_OPERATOR_SERVER_HPP_
