#include "xds/snapshot.hpp"

#include <openssl/sha.h>

#include <utility>

namespace opalswitch::xds {
namespace {

constexpr std::array<std::string_view, kTypes> kUrls = {
    "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    "type.googleapis.com/envoy.config.listener.v3.Listener",
    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
};

}  // namespace

std::string_view TypeUrl(Type type) { return kUrls[static_cast<std::size_t>(type)]; }

std::optional<Type> TypeOf(std::string_view url) {
  for (std::size_t i = 0; i < kTypes; ++i) {
    if (kUrls[i] == url) return static_cast<Type>(i);
  }
  return std::nullopt;
}

std::string ContentVersion(std::string_view content) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(), digest);
  constexpr char kHex[] = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < 16; ++i) {
    text += kHex[digest[i] >> 4];
    text += kHex[digest[i] & 15];
  }
  return text;
}

Snapshot::Snapshot(std::array<Resources, kTypes> resources) : resources_(std::move(resources)) {
  for (std::size_t i = 0; i < kTypes; ++i) {
    std::string all;
    for (const auto& [name, resource] : resources_[i]) all += name + '\0' + resource->version + '\0';
    versions_[i] = ContentVersion(all);
  }
}

}  // namespace opalswitch::xds
