#include "xds/snapshot.hpp"

#include <openssl/sha.h>

#include <atomic>
#include <cstdio>
#include <cstring>
#include <utility>

namespace opalswitch::xds {
namespace {

constexpr std::array<std::string_view, kResourceTypeCount> kTypeUrls = {
    "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint",
    "type.googleapis.com/envoy.config.listener.v3.Listener",
    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
};
constexpr std::size_t kMaxUnshardedResources = 256;  // a larger table is split into kShardCount shards
constexpr std::size_t kShardCount = 256;
constexpr int kMaxChangeRecords = 64;  // length of the chain of records that a snapshot keeps

// Serial numbers order the snapshots and resources of one process; proxies never see them.
std::uint64_t NextSerial() {
  static std::atomic<std::uint64_t> last{0};
  return ++last;
}

std::array<std::uint64_t, 2> ComputeHash(std::string_view content) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(), digest);
  std::array<std::uint64_t, 2> hash{};
  for (std::size_t i = 0; i < 16; ++i) hash[i / 8] = hash[i / 8] << 8 | digest[i];
  return hash;
}

std::string ToHex(const std::array<std::uint64_t, 2>& hash) {
  char text[33];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(hash[0]),
                static_cast<unsigned long long>(hash[1]));
  return text;
}

}  // namespace

std::string_view TypeUrl(ResourceType type) { return kTypeUrls[static_cast<std::size_t>(type)]; }

std::optional<ResourceType> TypeFromUrl(std::string_view url) {
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    if (kTypeUrls[i] == url) return static_cast<ResourceType>(i);
  }
  return std::nullopt;
}

std::string ContentVersion(std::string_view content) { return ToHex(ComputeHash(content)); }

ResourcePtr MakeResource(std::string name, std::string bytes, std::set<std::string> clusters) {
  auto resource = std::make_shared<Resource>();
  resource->name = std::move(name);
  resource->version = ContentVersion(bytes);
  resource->bytes = std::move(bytes);
  resource->referenced_clusters = std::move(clusters);
  resource->serial = NextSerial();
  return resource;
}

ResourcePtr MakePlaceholder(std::string name) {
  auto resource = std::make_shared<Resource>();
  resource->name = std::move(name);
  resource->serial = NextSerial();
  resource->is_placeholder = true;
  return resource;
}

std::string_view CollectionOf(std::string_view name) {
  const std::size_t slash = name.rfind('/');
  return slash == std::string_view::npos ? std::string_view() : name.substr(0, slash + 1);
}

ResourceTable::ResourceTable(const ResourceMap& all) : size_(all.size()) {
  std::vector<ResourceMap> shards(size_ > kMaxUnshardedResources ? kShardCount : 1);
  shards_.resize(shards.size());
  for (const auto& [name, resource] : all) shards[ShardOf(name)][name] = resource;
  for (std::size_t i = 0; i < shards.size(); ++i)
    shards_[i] = std::make_shared<const ResourceMap>(std::move(shards[i]));
}

std::size_t ResourceTable::ShardOf(const std::string& name) const {
  return shards_.size() == 1 ? 0 : std::hash<std::string>()(name) % shards_.size();
}

ResourcePtr ResourceTable::Find(const std::string& name) const {
  const ResourceMap& shard = *shards_[ShardOf(name)];
  const auto found = shard.find(name);
  return found == shard.end() ? nullptr : found->second;
}

std::shared_ptr<const ResourceTable> ResourceTable::WithChanges(const ResourceMap& changes) const {
  // The result may be too large for one shard, so the table is built anew.
  if (shards_.size() == 1 && size_ + changes.size() > kMaxUnshardedResources) {
    ResourceMap all = *shards_[0];
    for (const auto& [name, resource] : changes) {
      all.erase(name);
      if (resource) all[name] = resource;
    }
    return std::make_shared<const ResourceTable>(all);
  }
  auto next = std::make_shared<ResourceTable>(*this);
  std::map<std::size_t, std::shared_ptr<ResourceMap>> changed;
  for (const auto& [name, resource] : changes) {
    const std::size_t at = ShardOf(name);
    auto& shard = changed[at];
    if (!shard) shard = std::make_shared<ResourceMap>(*shards_[at]);
    next->size_ -= shard->erase(name);
    if (!resource) continue;
    (*shard)[name] = resource;
    ++next->size_;
  }
  for (auto& [at, shard] : changed) next->shards_[at] = std::move(shard);
  return next;
}

void Snapshot::UpdateHashSum(HashSum& sum, const Resource& resource, bool is_added) {
  const auto hash = ComputeHash(resource.name + '\0' + resource.version);
  for (std::size_t i = 0; i < sum.size(); ++i) sum[i] += is_added ? hash[i] : ~hash[i] + 1;
}

Snapshot::Snapshot(std::array<ResourceMap, kResourceTypeCount> resources) : serial_(NextSerial()) {
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    for (const auto& [name, resource] : resources[i]) UpdateHashSum(hash_sums_[i], *resource, true);
    tables_[i] = std::make_shared<const ResourceTable>(resources[i]);
  }
}

std::shared_ptr<const Snapshot> Snapshot::WithChanges(const Changes& changes) const {
  const std::shared_ptr<Snapshot> next(new Snapshot());
  next->tables_ = tables_;
  next->hash_sums_ = hash_sums_;
  next->serial_ = NextSerial();
  const auto record = std::make_shared<ChangeRecord>();
  record->base_serial = serial_;
  if (change_record_ && change_record_->depth < kMaxChangeRecords) {
    record->previous = change_record_;
    record->depth = change_record_->depth + 1;
  }
  for (std::size_t i = 0; i < kResourceTypeCount; ++i) {
    if (changes[i].empty()) continue;
    for (const auto& [name, resource] : changes[i]) {
      record->changed_names[i].insert(name);
      if (const ResourcePtr before = tables_[i]->Find(name))
        UpdateHashSum(next->hash_sums_[i], *before, false);
      if (resource) UpdateHashSum(next->hash_sums_[i], *resource, true);
    }
    next->tables_[i] = tables_[i]->WithChanges(changes[i]);
  }
  next->change_record_ = record;
  return next;
}

bool Snapshot::IsPlaceholder(ResourceType type, const std::string& name) const {
  const auto is_placeholder = [&](const std::string& key) {
    const ResourcePtr found = table(type).Find(key);
    return found && found->is_placeholder;
  };
  if (is_placeholder(name)) return true;
  if (type != ResourceType::kLbEndpoint) return false;
  const std::string_view collection = CollectionOf(name);
  return !collection.empty() &&
         is_placeholder(std::string(CollectionOf(collection.substr(0, collection.size() - 1))));
}

std::string Snapshot::version(ResourceType type) const {
  return ToHex(hash_sums_[static_cast<std::size_t>(type)]);
}

bool Snapshot::AddNamesChangedSince(std::uint64_t serial, ResourceType type,
                                    std::set<std::string>& names) const {
  if (serial == serial_) return true;
  for (const ChangeRecord* record = change_record_.get(); record != nullptr;
       record = record->previous.get()) {
    const auto& changed = record->changed_names[static_cast<std::size_t>(type)];
    names.insert(changed.begin(), changed.end());
    if (record->base_serial == serial) return true;
  }
  return false;
}

}  // namespace opalswitch::xds
