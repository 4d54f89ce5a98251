// What a proxy holds of one type: resources by name. Of collections with thousands of members proxies hold
// the same, so these are kept as a reference to a snapshot's own and what differs from it. Pure.
#ifndef OPALSWITCH_XDS_HOLDING_HPP_
#define OPALSWITCH_XDS_HOLDING_HPP_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "xds/snapshot.hpp"

namespace opalswitch::xds {

class Holding {
 public:
  // Null if it is not held.
  ResourcePtr Find(const std::string& name) const;
  void Set(const std::string& name, ResourcePtr resource);
  void Erase(const std::string& name);
  void EraseCollection(const std::string& collection);
  // From now on: all of these collections as `all` has them, and nothing else.
  void Become(std::shared_ptr<const Table> all, std::set<std::string> collections);

  template <typename Each>
  void ForEach(Each each) const {  // name, resource; in no order
    for (const std::string& collection : collections_) {
      base_->ForEachIn(collection, [&](const std::string& name, const ResourcePtr& resource) {
        if (!over_.contains(name)) each(name, resource);
      });
    }
    for (const auto& [name, resource] : over_) {
      if (resource) each(name, resource);
    }
  }

 private:
  ResourcePtr InBase(const std::string& name) const;

  std::shared_ptr<const Table> base_;  // of which the collections below are held
  std::set<std::string> collections_;
  Resources over_;  // null: not held, though the base has it
};

}  // namespace opalswitch::xds

#endif  // OPALSWITCH_XDS_HOLDING_HPP_
