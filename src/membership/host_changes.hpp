// What a host list changes, and the log line about it.
#ifndef OPALSWITCH_MEMBERSHIP_HOST_CHANGES_HPP_
#define OPALSWITCH_MEMBERSHIP_HOST_CHANGES_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "opalswitch/policy.hpp"

namespace opalswitch::gateway {

// The hosts, by id, that a list made available or unavailable.
struct HostChanges {
  std::vector<std::string> added;    // up now, and not before
  std::vector<std::string> removed;  // draining, gone or no longer listed
  bool IsEmpty() const { return added.empty() && removed.empty(); }
};

// Returns the line about the changes of a list, such as
//   hosts changed at=17.041 revision=41 up=20 added=1 removed=2 added.ids=h7 removed.ids=h1,h2
// It names at most 16 hosts of each kind.
std::string FormatHostChanges(Millis now, std::int64_t revision, std::size_t hosts_up,
                              const HostChanges& changes);

}  // namespace opalswitch::gateway

#endif  // OPALSWITCH_MEMBERSHIP_HOST_CHANGES_HPP_
