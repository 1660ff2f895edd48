#pragma once

#include <map>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_wire/messages.h"

namespace zr {

/**
 * Cache of the store's objects of one kind, for VMs that query this VM instead
 * of the store. The number of calls to the store so stays low in deployments
 * of many VMs.
 *
 * Each change is recorded with the store version up to which the store's reply
 * was complete, which is never lower than the change's own version.
 */
class StoreMirror {
 public:
  /** @param is_document  the objects are one document, of which VMs get
   * deltas; the mirror then relays no objects */
  StoreMirror(std::string kind, bool is_document)
      : kind_(std::move(kind)), is_document_(is_document) {}

  /** Replaces all objects by those of a store version. */
  void OnList(StorePosition at, std::vector<RelayedObject> objects);
  /**
   * Adds all changes up to a store version of the same era.
   *
   * @returns false if another VM's update with later changes arrived before the
   *          store's reply; the caller must then not apply `objects`
   */
  [[nodiscard]] bool OnChanges(StorePosition at,
                               std::vector<RelayedObject> objects);
  /** A call that began at that time has verified that there are no other
   * changes up to a store version. */
  void OnVerified(TimePoint call_started, StorePosition at);
  void OnStoreReachable(bool reachable) { reachable_ = reachable; }

  /** Makes an update for a VM that knows all changes up to a version. */
  KindUpdate UpdateSince(TimePoint now, const KindVersion& peer) const;

 private:
  struct Entry {
    RelayedObject object;
    StorePosition observed_at;
  };

  void Store(StorePosition at, std::vector<RelayedObject> objects);

  std::string kind_;
  bool is_document_;
  std::map<std::string, Entry> objects_;
  StorePosition listed_at_;  // earlier removals are unknown
  StorePosition position_;   // all changes up to it are known
  StorePosition changed_;
  TimePoint verified_;
  bool reachable_ = false;
};

/** How a VM handles an update from another VM. */
enum class UpdateAction : uint8_t {
  kIgnore,      // too old, or the other VM can't reach the store
  kUnchanged,   // verified: there are no changes
  kApply,       // the update holds all changes
  kApplyDelta,  // it holds them as a delta of the kind's document
  kFetch,       // the changes must be read from the store
};

/** @param known  position up to which all changes are known */
UpdateAction ClassifyUpdate(const KindUpdate& update, StorePosition known);

}  // namespace zr
