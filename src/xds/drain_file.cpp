#include "xds/drain_file.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/file_watcher.hpp"

namespace opalswitch::xds {
namespace {

constexpr std::size_t kMaxFileBytes = 16 << 20;

bool WriteAll(int fd, const std::string& text) {
  for (std::size_t done = 0; done < text.size();) {
    const ssize_t n = write(fd, text.data() + done, text.size() - done);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    done += static_cast<std::size_t>(n);
  }
  return true;
}

}  // namespace

std::set<std::string> DrainFile::Read() const {
  std::set<std::string> nodes;
  if (path_.empty() || (access(path_.c_str(), F_OK) != 0 && errno == ENOENT)) return nodes;
  std::string text;
  if (!gateway::ReadFile(path_, kMaxFileBytes, text))
    throw std::runtime_error(path_ + ": can't be read, or is larger than 16 MiB");
  const auto parsed = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  const auto drained = parsed.is_object() ? parsed.find("drained") : parsed.end();
  if (!parsed.is_object() || drained == parsed.end() || !drained->is_array())
    throw std::runtime_error(path_ + ": drained: missing, expected {\"drained\": [ids of nodes]}");
  for (const auto& node : *drained) {
    if (!node.is_string()) throw std::runtime_error(path_ + ": drained: found an entry that is not a string");
    nodes.insert(node.get<std::string>());
  }
  return nodes;
}

void DrainFile::Write(const std::set<std::string>& nodes) const {
  if (path_.empty()) return;
  const std::string text = nlohmann::json{{"drained", nodes}}.dump() + "\n";
  const std::string next = path_ + ".new";
  const int fd = open(next.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  const bool is_written = fd >= 0 && WriteAll(fd, text) && fsync(fd) == 0;
  const int error = errno;
  if (fd >= 0) close(fd);
  if (is_written && rename(next.c_str(), path_.c_str()) == 0) return;
  std::fprintf(stderr,
               "forkwick-control: %s: writing failed (%s); the drains hold only until this process ends\n",
               path_.c_str(), std::strerror(is_written ? errno : error));
}

}  // namespace opalswitch::xds
