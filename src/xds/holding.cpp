#include "xds/holding.hpp"

namespace opalswitch::xds {

ResourcePtr Holding::InBase(const std::string& name) const {
  if (collections_.empty() || !collections_.contains(std::string(CollectionOf(name)))) return nullptr;
  return base_->Find(name);
}

ResourcePtr Holding::Find(const std::string& name) const {
  const auto over = over_.find(name);
  if (over != over_.end()) return over->second;
  return InBase(name);
}

void Holding::Set(const std::string& name, ResourcePtr resource) { over_[name] = std::move(resource); }

void Holding::Erase(const std::string& name) {
  if (InBase(name)) {
    over_[name] = nullptr;
  } else {
    over_.erase(name);
  }
}

void Holding::EraseCollection(const std::string& collection) {
  collections_.erase(collection);
  std::erase_if(over_, [&](const auto& entry) { return CollectionOf(entry.first) == collection; });
}

void Holding::Become(std::shared_ptr<const Table> all, std::set<std::string> collections) {
  base_ = std::move(all);
  collections_ = std::move(collections);
  over_.clear();
}

}  // namespace opalswitch::xds
