// What proxies are told, at one moment: named resources of five types, each with a version made from its
// content, so that two control services over the same inputs tell the same. Immutable; a snapshot that
// differs in little from the one before shares the rest with it, and knows in what it differs.
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

// In make-before-break order: who is told of a cluster and its endpoints before the routes to it sends
// nothing astray. A member is one endpoint of a list that is sent piece by piece (LEDS).
enum class ResourceType { kCluster, kEndpoint, kLbEndpoint, kListener, kRoute };
constexpr std::size_t kResourceTypeCount = 5;

std::string_view TypeUrl(ResourceType type);
std::optional<ResourceType> TypeFromUrl(std::string_view url);

struct Resource {
  std::string name;
  std::string version;
  std::string bytes;  // the message, as it goes into an Any; built once, shared by all proxies
  std::set<std::string> referenced_clusters;  // that it leads to: of routes
  std::uint64_t serial = 0;     // later ones of a process have higher ones; no shard of the content
  bool is_placeholder = false;  // there is such a thing, but not known yet: proxies keep what they have
};
using ResourcePtr = std::shared_ptr<const Resource>;
using ResourceMap = std::map<std::string, ResourcePtr>;

// Made of its name and bytes, which give its version.
ResourcePtr MakeResource(std::string name, std::string bytes, std::set<std::string> clusters = {});

// In the place of a resource that is not known yet. For members: of a name that ends in "/", it stands for
// all collections below it.
ResourcePtr MakePlaceholder(std::string name);

// Of a member: what its name shares with all of its list, "/" at the end included. Empty for other names.
std::string_view CollectionOf(std::string_view name);

// ResourceMap by name, immutable. Thousands stand in shards, so that a table which differs in a few shares
// the other shards with the one that it was made of.
class ResourceTable {
 public:
  explicit ResourceTable(const ResourceMap& all = {});
  std::shared_ptr<const ResourceTable> WithChanges(const ResourceMap& changes) const;  // null where one goes

  ResourcePtr Find(const std::string& name) const;  // null if there is none
  std::size_t size() const { return size_; }
  template <typename Each>
  void ForEach(Each each) const {  // name, resource; in no order
    for (const auto& shard : shards_) {
      for (const auto& [name, resource] : *shard) each(name, resource);
    }
  }
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
  // What changes, by type and name; null where a resource goes.
  using Changes = std::array<ResourceMap, kResourceTypeCount>;

  explicit Snapshot(std::array<ResourceMap, kResourceTypeCount> resources);
  // This one, changed.
  std::shared_ptr<const Snapshot> WithChanges(const Changes& changes) const;

  const ResourceTable& table(ResourceType type) const { return *tables_[static_cast<std::size_t>(type)]; }
  std::shared_ptr<const ResourceTable> shared_table(ResourceType type) const {
    return tables_[static_cast<std::size_t>(type)];
  }
  // Whether proxies are to be told nothing of the name, not even that it is not there.
  bool IsPlaceholder(ResourceType type, const std::string& name) const;
  // Of all resources of a type together.
  std::string version(ResourceType type) const;
  // Which snapshot of this process it is; later ones have higher ones.
  std::uint64_t serial() const { return serial_; }
  // Adds the names of a type that may differ from the snapshot with that serial. False if that is not known:
  // then all may.
  bool AddNamesChangedSince(std::uint64_t serial, ResourceType type, std::set<std::string>& names) const;

 private:
  // The sum, without order, of what its resources hash to: a change costs what changes, not the whole.
  using HashSum = std::array<std::uint64_t, 2>;
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

// 32 hex digits of a SHA-256 (FIPS 180-4).
std::string ContentVersion(std::string_view content);

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_SNAPSHOT_HPP_
