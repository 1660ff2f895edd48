#include "zr_gateway/store_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace zr {
namespace {

// Larger updates are read from the store, as small VMs have little bandwidth
// between them.
constexpr size_t kMaxUpdateBytes = 48 << 10;
// The same for VMs that can't reach the store; below the largest frame of a
// link.
constexpr size_t kMaxUpdateBytesWithoutStore = 600 << 10;
// Tombstones of removed objects are dropped beyond this number of objects.
constexpr size_t kMaxObjects = 4096;
// Updates that were verified longer ago are ignored. A watch of two seconds is
// verified again when the next one ends, or fails by its time-out.
constexpr Duration kMaxUpdateAge = Duration::Milliseconds(4600);

}  // namespace

void StoreMirror::OnList(StorePosition at, std::vector<RelayedObject> objects) {
  objects_.clear();
  listed_at_ = std::max(listed_at_, at);
  changed_ = std::max(changed_, at);
  Store(at, std::move(objects));
}

bool StoreMirror::OnChanges(StorePosition at,
                            std::vector<RelayedObject> objects) {
  if (at < position_ || at.era != position_.era) return false;
  Store(at, std::move(objects));
  return true;
}

void StoreMirror::Store(StorePosition at, std::vector<RelayedObject> objects) {
  position_ = std::max(position_, at);
  if (objects.empty()) return;
  changed_ = std::max(changed_, at);
  for (RelayedObject& object : objects) {
    const std::string name = object.name;
    objects_[name] = {std::move(object), at};
  }
  if (objects_.size() <= kMaxObjects) return;
  std::erase_if(objects_,
                [](const auto& entry) { return entry.second.object.deleted; });
  listed_at_ = at;
}

void StoreMirror::OnVerified(TimePoint call_started, StorePosition at) {
  verified_ = std::max(verified_, call_started);
  position_ = std::max(position_, at);
}

KindUpdate StoreMirror::UpdateSince(TimePoint now,
                                    const KindVersion& peer) const {
  const StorePosition known = peer.position();
  KindUpdate update;
  update.kind = kind_;
  update.era = position_.era;
  update.version = position_.version;
  update.last_changed = changed_.version;
  update.store_reachable = reachable_;
  update.age = now - verified_;
  if (changed_ <= known || is_document_) return update;
  update.complete = known < listed_at_;
  size_t bytes = 0;
  for (const auto& [name, entry] : objects_) {
    const bool wanted =
        update.complete ? !entry.object.deleted : entry.observed_at > known;
    if (!wanted) continue;
    bytes += name.size() + entry.object.value.size();
    update.objects.push_back(entry.object);
  }
  update.has_objects =
      bytes <=
      (peer.store_unreachable ? kMaxUpdateBytesWithoutStore : kMaxUpdateBytes);
  if (!update.has_objects) update.objects.clear();
  return update;
}

UpdateAction ClassifyUpdate(const KindUpdate& update, StorePosition known) {
  if (!update.store_reachable || update.age < Duration() ||
      update.age > kMaxUpdateAge || update.era < known.era) {
    return UpdateAction::kIgnore;
  }
  if (update.last_change() <= known) return UpdateAction::kUnchanged;
  if (!update.deltas.empty()) return UpdateAction::kApplyDelta;
  const bool usable =
      update.has_objects && (update.era == known.era || update.complete);
  return usable ? UpdateAction::kApply : UpdateAction::kFetch;
}

}  // namespace zr
