// An immutable set of the xDS resources that a group of proxies receives: named resources of five types. A
// resource's version is a hash of its content, so control services with the same inputs publish the same
// versions. A snapshot derived from another one shares the unchanged resources with it and records which
// names changed.
#ifndef OPALSWITCH_XDS_SNAPSHOT_HPP_
#define OPALSWITCH_XDS_SNAPSHOT_HPP_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace opalswitch::xds {

// In make-before-break order: a proxy that receives a cluster and its endpoints before the routes to it never
// routes to an unknown cluster. kEndpoint is a ClusterLoadAssignment (EDS); kLbEndpoint is one endpoint of a
// LEDS collection.
enum class ResourceType { kCluster, kEndpoint, kLbEndpoint, kListener, kRoute };
constexpr std::size_t kResourceTypeCount = 5;

std::string_view TypeUrl(ResourceType type);
// Returns nullopt for a type URL that this service does not serve.
std::optional<ResourceType> TypeFromUrl(std::string_view url);

struct Resource {
  std::string name;
  std::string version;                        // see ContentVersion; empty for a placeholder
  std::string bytes;                          // the serialized message, built once and shared by all proxies
  std::set<std::string> referenced_clusters;  // route configurations: the clusters that they route to
  std::uint64_t serial = 0;     // increases with each resource made in this process; not part of the content
  bool is_placeholder = false;  // the resource exists, but its content is not known yet: proxies keep theirs
};
using ResourcePtr = std::shared_ptr<const Resource>;
using ResourceMap = std::map<std::string, ResourcePtr>;

// Creates a resource whose version is the hash of `bytes`.
ResourcePtr MakeResource(std::string name, std::string bytes, std::set<std::string> clusters = {});

// Creates a placeholder for a resource whose content is not known yet. For kLbEndpoint, a placeholder whose
// name ends in "/" stands for all collections below that name.
ResourcePtr MakePlaceholder(std::string name);

// Returns the collection part of an LbEndpoint's name, up to and including the last "/". Empty for a name
// without "/".
std::string_view CollectionOf(std::string_view name);

// An immutable map of resources by name. A large table is split into shards, so that a table with a few
// changes shares the unchanged shards with the table that it was derived from.
class ResourceTable {
 public:
  explicit ResourceTable(const ResourceMap& all = {});
  // Returns a copy with the changes applied; a null resource removes its name.
  std::shared_ptr<const ResourceTable> WithChanges(const ResourceMap& changes) const;

  // Returns null if there is no resource of that name.
  ResourcePtr Find(const std::string& name) const;
  std::size_t size() const { return size_; }
  // Calls each(name, resource) in no particular order.
  template <typename Each>
  void ForEach(Each each) const {
    for (const auto& shard : shards_) {
      for (const auto& [name, resource] : *shard) each(name, resource);
    }
  }
  // The same for the resources of one collection (see CollectionOf).
  template <typename Each>
  void ForEachInCollection(const std::string& collection, Each each) const {
    for (const auto& shard : shards_) {
      for (auto at = shard->lower_bound(collection); at != shard->end() && at->first.starts_with(collection);
           ++at) {
        if (CollectionOf(at->first) == collection) each(at->first, at->second);
      }
    }
  }

 private:
  std::size_t ShardOf(const std::string& name) const;

  std::vector<std::shared_ptr<const ResourceMap>> shards_;  // by the hash of the name
  std::size_t size_ = 0;
};

class Snapshot {
 public:
  // Changed resources by type and name; null removes a resource.
  using Changes = std::array<ResourceMap, kResourceTypeCount>;

  explicit Snapshot(std::array<ResourceMap, kResourceTypeCount> resources);
  // Returns a copy of this snapshot with the changes applied.
  std::shared_ptr<const Snapshot> WithChanges(const Changes& changes) const;

  const ResourceTable& table(ResourceType type) const { return *tables_[static_cast<std::size_t>(type)]; }
  std::shared_ptr<const ResourceTable> shared_table(ResourceType type) const {
    return tables_[static_cast<std::size_t>(type)];
  }
  // Whether the name is covered by a placeholder: proxies are sent neither a resource nor a removal for it.
  bool IsPlaceholder(ResourceType type, const std::string& name) const;
  // Version of all resources of a type together.
  std::string version(ResourceType type) const;
  // Increases with each snapshot made in this process.
  std::uint64_t serial() const { return serial_; }
  // Adds the names of a type that may differ from the snapshot with that serial. Returns false if the changes
  // since then are not recorded any more; then any name may differ.
  bool AddNamesChangedSince(std::uint64_t serial, ResourceType type, std::set<std::string>& names) const;

 private:
  // Order-independent sum of the hashes of all resources of a type: updating it costs only the changed ones.
  using HashSum = std::array<std::uint64_t, 2>;
  // The names that differ from an earlier snapshot, linked to the records of the snapshots before it.
  struct ChangeRecord {
    std::uint64_t base_serial;
    std::array<std::set<std::string>, kResourceTypeCount> changed_names;
    std::shared_ptr<const ChangeRecord> previous;
    int depth = 0;
  };
  Snapshot() = default;
  static void UpdateHashSum(HashSum& sum, const Resource& resource, bool is_added);

  std::array<std::shared_ptr<const ResourceTable>, kResourceTypeCount> tables_;
  std::array<HashSum, kResourceTypeCount> hash_sums_{};
  std::uint64_t serial_ = 0;
  std::shared_ptr<const ChangeRecord> change_record_;
};

// Returns the first 32 hex digits of the SHA-256 (FIPS 180-4) of `content`.
std::string ContentVersion(std::string_view content);

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_SNAPSHOT_HPP_
