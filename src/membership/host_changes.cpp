#include "membership/host_changes.hpp"

#include <algorithm>
#include <sstream>

#include "base/clock.hpp"

namespace opalswitch::gateway {
namespace {

constexpr std::size_t kMaxIdsInLogLine = 16;

void AppendIds(std::ostringstream& line, const char* name, const std::vector<std::string>& ids) {
  if (ids.empty()) return;
  line << ' ' << name;
  const std::size_t count = std::min(ids.size(), kMaxIdsInLogLine);
  for (std::size_t i = 0; i < count; ++i) line << (i > 0 ? "," : "=") << ids[i];
}

}  // namespace

std::string FormatHostChanges(Millis now, std::int64_t revision, std::size_t hosts_up,
                              const HostChanges& changes) {
  std::ostringstream line;
  line << "hosts changed at=" << FormatSeconds(now) << " revision=" << revision << " up=" << hosts_up
       << " added=" << changes.added.size() << " removed=" << changes.removed.size();
  AppendIds(line, "added.ids", changes.added);
  AppendIds(line, "removed.ids", changes.removed);
  return line.str();
}

}  // namespace opalswitch::gateway
