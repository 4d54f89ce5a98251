#include "xds/held_resources.hpp"

namespace opalswitch::xds {

ResourcePtr HeldResources::FindInBase(const std::string& name) const {
  if (collections_.empty() || !collections_.contains(std::string(CollectionOf(name)))) return nullptr;
  return base_->Find(name);
}

ResourcePtr HeldResources::Find(const std::string& name) const {
  const auto found = overrides_.find(name);
  if (found != overrides_.end()) return found->second;
  return FindInBase(name);
}

void HeldResources::Set(const std::string& name, ResourcePtr resource) {
  overrides_[name] = std::move(resource);
}

void HeldResources::Erase(const std::string& name) {
  if (FindInBase(name)) {
    overrides_[name] = nullptr;
  } else {
    overrides_.erase(name);
  }
}

void HeldResources::EraseCollection(const std::string& collection) {
  collections_.erase(collection);
  std::erase_if(overrides_, [&](const auto& entry) { return CollectionOf(entry.first) == collection; });
}

void HeldResources::ShareCollections(std::shared_ptr<const ResourceTable> all,
                                     std::set<std::string> collections) {
  base_ = std::move(all);
  collections_ = std::move(collections);
  overrides_.clear();
}

}  // namespace opalswitch::xds
