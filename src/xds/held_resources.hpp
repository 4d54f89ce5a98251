// What a proxy holds of one type: resources by name. Of collections with thousands of members proxies hold
// the same, so these are kept as a reference to a snapshot's own and what differs from it. Pure.
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
  // Null if it is not held.
  ResourcePtr Find(const std::string& name) const;
  void Set(const std::string& name, ResourcePtr resource);
  void Erase(const std::string& name);
  void EraseCollection(const std::string& collection);
  // From now on: all of these collections as `all` has them, and nothing else.
  void ShareCollections(std::shared_ptr<const ResourceTable> all, std::set<std::string> collections);

  template <typename Each>
  void ForEach(Each each) const {  // name, resource; in no order
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

  std::shared_ptr<const ResourceTable> base_;  // of which the collections below are held
  std::set<std::string> collections_;
  ResourceMap overrides_;  // null: not held, though the base has it
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_HELD_RESOURCES_HPP_
