// Operators' drains, kept in a file: {"drained": ["node-1"]}. Written whole, by renaming, so that a control
// service which dies in the middle of a drain knows of it when it is back.
#ifndef OPALSWITCH_XDS_DRAIN_FILE_HPP_
#define OPALSWITCH_XDS_DRAIN_FILE_HPP_

#include <set>
#include <string>

namespace opalswitch::xds {

class DrainFile {
 public:
  // An empty path: nothing is kept.
  explicit DrainFile(std::string path) : path_(std::move(path)) {}

  // Nothing if there is no file. Throws std::runtime_error if it can't be read whole: a drain must not be
  // forgotten in silence.
  std::set<std::string> Read() const;
  // A fault is told on the log; the drains hold while the process runs.
  void Write(const std::set<std::string>& nodes) const;

 private:
  const std::string path_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_DRAIN_FILE_HPP_
