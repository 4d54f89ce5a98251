#include "xds/snapshot.hpp"

#include <openssl/sha.h>

#include <atomic>
#include <cstdio>
#include <cstring>
#include <utility>

namespace opalswitch::xds {
namespace {

constexpr std::array<std::string_view, kTypes> kUrls = {
    "type.googleapis.com/envoy.config.cluster.v3.Cluster",
    "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
    "type.googleapis.com/envoy.config.endpoint.v3.LbEndpoint",
    "type.googleapis.com/envoy.config.listener.v3.Listener",
    "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
};
constexpr std::size_t kFewResources = 256;  // in one part; more are dealt out to kParts
constexpr std::size_t kParts = 256;
constexpr int kMostSteps = 64;  // that a snapshot remembers of how it came about

// Tells snapshots and resources of one process apart; no part of what proxies see.
std::uint64_t NextSerial() {
  static std::atomic<std::uint64_t> last{0};
  return ++last;
}

std::array<std::uint64_t, 2> HashOf(std::string_view content) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(), digest);
  std::array<std::uint64_t, 2> hash{};
  for (std::size_t i = 0; i < 16; ++i) hash[i / 8] = hash[i / 8] << 8 | digest[i];
  return hash;
}

std::string Hex(const std::array<std::uint64_t, 2>& hash) {
  char text[33];
  std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(hash[0]),
                static_cast<unsigned long long>(hash[1]));
  return text;
}

}  // namespace

std::string_view TypeUrl(Type type) { return kUrls[static_cast<std::size_t>(type)]; }

std::optional<Type> TypeOf(std::string_view url) {
  for (std::size_t i = 0; i < kTypes; ++i) {
    if (kUrls[i] == url) return static_cast<Type>(i);
  }
  return std::nullopt;
}

std::string ContentVersion(std::string_view content) { return Hex(HashOf(content)); }

ResourcePtr MakeResource(std::string name, std::string bytes, std::set<std::string> clusters) {
  auto resource = std::make_shared<Resource>();
  resource->name = std::move(name);
  resource->version = ContentVersion(bytes);
  resource->bytes = std::move(bytes);
  resource->clusters = std::move(clusters);
  resource->serial = NextSerial();
  return resource;
}

ResourcePtr MakeUnknown(std::string name) {
  auto resource = std::make_shared<Resource>();
  resource->name = std::move(name);
  resource->serial = NextSerial();
  resource->unknown = true;
  return resource;
}

std::string_view CollectionOf(std::string_view name) {
  const std::size_t slash = name.rfind('/');
  return slash == std::string_view::npos ? std::string_view() : name.substr(0, slash + 1);
}

Table::Table(const Resources& all) : size_(all.size()) {
  std::vector<Resources> parts(size_ > kFewResources ? kParts : 1);
  parts_.resize(parts.size());
  for (const auto& [name, resource] : all) parts[PartOf(name)][name] = resource;
  for (std::size_t i = 0; i < parts.size(); ++i)
    parts_[i] = std::make_shared<const Resources>(std::move(parts[i]));
}

std::size_t Table::PartOf(const std::string& name) const {
  return parts_.size() == 1 ? 0 : std::hash<std::string>()(name) % parts_.size();
}

ResourcePtr Table::Find(const std::string& name) const {
  const Resources& part = *parts_[PartOf(name)];
  const auto found = part.find(name);
  return found == part.end() ? nullptr : found->second;
}

std::shared_ptr<const Table> Table::With(const Resources& changes) const {
  if (parts_.size() == 1 && size_ + changes.size() > kFewResources) {  // it may have grown out of one part
    Resources all = *parts_[0];
    for (const auto& [name, resource] : changes) {
      all.erase(name);
      if (resource) all[name] = resource;
    }
    return std::make_shared<const Table>(all);
  }
  auto next = std::make_shared<Table>(*this);
  std::map<std::size_t, std::shared_ptr<Resources>> changed;
  for (const auto& [name, resource] : changes) {
    const std::size_t at = PartOf(name);
    auto& part = changed[at];
    if (!part) part = std::make_shared<Resources>(*parts_[at]);
    next->size_ -= part->erase(name);
    if (!resource) continue;
    (*part)[name] = resource;
    ++next->size_;
  }
  for (auto& [at, part] : changed) next->parts_[at] = std::move(part);
  return next;
}

void Snapshot::Add(Sum& sum, const Resource& resource, bool in) {
  const auto hash = HashOf(resource.name + '\0' + resource.version);
  for (std::size_t i = 0; i < sum.size(); ++i) sum[i] += in ? hash[i] : ~hash[i] + 1;
}

Snapshot::Snapshot(std::array<Resources, kTypes> resources) : serial_(NextSerial()) {
  for (std::size_t i = 0; i < kTypes; ++i) {
    for (const auto& [name, resource] : resources[i]) Add(sums_[i], *resource, true);
    tables_[i] = std::make_shared<const Table>(resources[i]);
  }
}

std::shared_ptr<const Snapshot> Snapshot::With(const Changes& changes) const {
  const std::shared_ptr<Snapshot> next(new Snapshot());
  next->tables_ = tables_;
  next->sums_ = sums_;
  next->serial_ = NextSerial();
  const auto step = std::make_shared<Step>();
  step->from = serial_;
  if (step_ && step_->depth < kMostSteps) {
    step->before = step_;
    step->depth = step_->depth + 1;
  }
  for (std::size_t i = 0; i < kTypes; ++i) {
    if (changes[i].empty()) continue;
    for (const auto& [name, resource] : changes[i]) {
      step->names[i].insert(name);
      if (const ResourcePtr before = tables_[i]->Find(name)) Add(next->sums_[i], *before, false);
      if (resource) Add(next->sums_[i], *resource, true);
    }
    next->tables_[i] = tables_[i]->With(changes[i]);
  }
  next->step_ = step;
  return next;
}

bool Snapshot::Unknown(Type type, const std::string& name) const {
  const auto is = [&](const std::string& key) {
    const ResourcePtr found = of(type).Find(key);
    return found && found->unknown;
  };
  if (is(name)) return true;
  if (type != Type::kMember) return false;
  const std::string_view collection = CollectionOf(name);
  return !collection.empty() && is(std::string(CollectionOf(collection.substr(0, collection.size() - 1))));
}

std::string Snapshot::version(Type type) const { return Hex(sums_[static_cast<std::size_t>(type)]); }

bool Snapshot::ChangedSince(std::uint64_t serial, Type type, std::set<std::string>& names) const {
  if (serial == serial_) return true;
  for (const Step* step = step_.get(); step != nullptr; step = step->before.get()) {
    const auto& changed = step->names[static_cast<std::size_t>(type)];
    names.insert(changed.begin(), changed.end());
    if (step->from == serial) return true;
  }
  return false;
}

}  // namespace opalswitch::xds
