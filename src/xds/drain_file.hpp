// Persists operators' drains in a file: {"drained": ["node-1"]}. The file is replaced by renaming, so that a
// control service that crashes during a drain still finds it after the restart.
#ifndef OPALSWITCH_XDS_DRAIN_FILE_HPP_
#define OPALSWITCH_XDS_DRAIN_FILE_HPP_

#include <set>
#include <string>

namespace opalswitch::xds {

class DrainFile {
 public:
  // With an empty path, nothing is persisted.
  explicit DrainFile(std::string path) : path_(std::move(path)) {}

  // Returns an empty set if there is no file. Throws std::runtime_error if the file can't be read or is
  // invalid: a drain must not be lost silently.
  std::set<std::string> Read() const;
  // Replaces the file. A failure is logged; the drains then hold only until the process ends.
  void Write(const std::set<std::string>& nodes) const;

 private:
  const std::string path_;
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_DRAIN_FILE_HPP_
