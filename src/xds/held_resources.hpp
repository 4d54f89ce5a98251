// The resources of one type that a proxy holds, by name. Many proxies hold the same large collections, so a
// collection is kept as a reference to a snapshot's table plus the differences from it. No I/O.
#ifndef OPALSWITCH_XDS_HELD_RESOURCES_HPP_
#define OPALSWITCH_XDS_HELD_RESOURCES_HPP_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "xds/snapshot.hpp"

namespace opalswitch::xds {

class HeldResources {
 public:
  // Returns null if the proxy does not hold the resource.
  ResourcePtr Find(const std::string& name) const;
  void Set(const std::string& name, ResourcePtr resource);
  void Erase(const std::string& name);
  void EraseCollection(const std::string& collection);
  // Replaces the content: from now on the proxy holds these collections as they are in `all`, and nothing
  // else.
  void ShareCollections(std::shared_ptr<const ResourceTable> all, std::set<std::string> collections);

  // Calls each(name, resource) in no particular order.
  template <typename Each>
  void ForEach(Each each) const {
    for (const std::string& collection : collections_) {
      base_->ForEachInCollection(collection, [&](const std::string& name, const ResourcePtr& resource) {
        if (!overrides_.contains(name)) each(name, resource);
      });
    }
    for (const auto& [name, resource] : overrides_) {
      if (resource) each(name, resource);
    }
  }

 private:
  ResourcePtr FindInBase(const std::string& name) const;

  std::shared_ptr<const ResourceTable> base_;  // null until ShareCollections
  std::set<std::string> collections_;          // collections held as they are in base_
  ResourceMap overrides_;                      // differences from base_; null: not held although base_ has it
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_HELD_RESOURCES_HPP_
