// What proxies are told, at one moment: named resources of four types, each with a version made from its
// content, so that two control services over the same inputs tell the same. Immutable; replaced whole.
#ifndef OPALSWITCH_XDS_SNAPSHOT_HPP_
#define OPALSWITCH_XDS_SNAPSHOT_HPP_

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace opalswitch::xds {

// In make-before-break order: who is told of a cluster and its endpoints before the routes to it sends
// nothing astray.
enum class Type { kCluster, kEndpoint, kListener, kRoute };
constexpr std::size_t kTypes = 4;

std::string_view TypeUrl(Type type);
std::optional<Type> TypeOf(std::string_view url);

struct Resource {
  std::string name;
  std::string version;
  std::string bytes;               // the message, as it goes into an Any; built once, shared by all proxies
  std::set<std::string> clusters;  // that it leads to: of routes
};
using ResourcePtr = std::shared_ptr<const Resource>;
using Resources = std::map<std::string, ResourcePtr>;

class Snapshot {
 public:
  explicit Snapshot(std::array<Resources, kTypes> resources);

  const Resources& of(Type type) const { return resources_[static_cast<std::size_t>(type)]; }
  // Of all resources of a type together.
  const std::string& version(Type type) const { return versions_[static_cast<std::size_t>(type)]; }

 private:
  std::array<Resources, kTypes> resources_;
  std::array<std::string, kTypes> versions_;
};

// 32 hex digits of a SHA-256 (FIPS 180-4).
std::string ContentVersion(std::string_view content);

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_SNAPSHOT_HPP_
