#pragma once

#include <map>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * What a VM has read of the store's objects of one kind, kept for the VMs that
 * ask it instead of the store. A deployment of many VMs so needs the calls of
 * a few.
 *
 * Each change is stamped with the store's version up to which the answer was
 * complete, so a stamp is never lower than the change's own version.
 */
class StoreMirror {
 public:
  /** @param large  objects are passed on only to VMs without the store */
  StoreMirror(std::string kind, bool large_objects)
      : kind_(std::move(kind)), large_objects_(large_objects) {}

  /** All objects as of a version of the store. */
  void OnList(ObjectVersion at, std::vector<RelayedObject> objects);
  /**
   * All changes up to a version of the store.
   *
   * @returns false if later ones are known already, from another VM whose news
   *          have overtaken the answer; these must not be applied
   */
  [[nodiscard]] bool OnChanges(ObjectVersion at,
                               std::vector<RelayedObject> objects);
  /** A call that began then has shown that nothing else had changed. */
  void OnEvidence(TimePoint call_started, ObjectVersion at);
  void OnReachable(bool reachable) { reachable_ = reachable; }

  /** What has changed for a VM that knows all up to a version. */
  KindNews NewsSince(TimePoint now, const KindVersion& known) const;

 private:
  struct Entry {
    RelayedObject object;
    ObjectVersion observed_at;
  };

  void Store(ObjectVersion at, std::vector<RelayedObject> objects);

  std::string kind_;
  bool large_objects_;
  std::map<std::string, Entry> objects_;
  ObjectVersion listed_at_;  // removals before it are not known
  ObjectVersion version_;    // all changes up to it are known
  ObjectVersion last_changed_;
  TimePoint verified_at_;
  bool reachable_ = false;
};

/** What a VM makes of another one's news. */
enum class NewsVerdict : uint8_t {
  kUseless,    // too old, or the other VM has lost the store
  kUnchanged,  // nothing new, and that is proved
  kApply,      // the objects of the news are all that has changed
  kFetch,      // the changes have to be read at the store
};

/** @param known  version of the store up to which all changes are known */
NewsVerdict JudgeNews(const KindNews& news, ObjectVersion known);

}  // namespace zr
