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

void StoreMirror::OnList(ObjectVersion at, std::vector<RelayedObject> objects) {
  objects_.clear();
  listed_at_ = std::max(listed_at_, at);
  last_changed_ = std::max(last_changed_, at);
  Store(at, std::move(objects));
}

bool StoreMirror::OnChanges(ObjectVersion at,
                            std::vector<RelayedObject> objects) {
  if (at < version_) return false;
  Store(at, std::move(objects));
  return true;
}

void StoreMirror::Store(ObjectVersion at, std::vector<RelayedObject> objects) {
  version_ = std::max(version_, at);
  if (objects.empty()) return;
  last_changed_ = std::max(last_changed_, at);
  for (RelayedObject& object : objects) {
    const std::string name = object.name;
    objects_[name] = {std::move(object), at};
  }
  if (objects_.size() <= kMaxObjects) return;
  std::erase_if(objects_,
                [](const auto& entry) { return entry.second.object.deleted; });
  listed_at_ = at;
}

void StoreMirror::OnEvidence(TimePoint call_started, ObjectVersion at) {
  verified_at_ = std::max(verified_at_, call_started);
  version_ = std::max(version_, at);
}

KindNews StoreMirror::NewsSince(TimePoint now,
                                const KindVersion& requester) const {
  const ObjectVersion known = requester.version;
  KindNews news;
  news.kind = kind_;
  news.version = version_;
  news.changed = last_changed_;
  news.reachable = reachable_;
  news.age = now - verified_at_;
  if (last_changed_ <= known || (large_objects_ && !requester.lost_store))
    return news;
  news.complete = known < listed_at_;
  size_t bytes = 0;
  for (const auto& [name, entry] : objects_) {
    const bool wanted =
        news.complete ? !entry.object.deleted : entry.observed_at > known;
    if (!wanted) continue;
    bytes += name.size() + entry.object.value.size();
    news.objects.push_back(entry.object);
  }
  news.has_objects =
      bytes <=
      (requester.lost_store ? kMaxUpdateBytesWithoutStore : kMaxUpdateBytes);
  if (!news.has_objects) news.objects.clear();
  return news;
}

NewsVerdict JudgeNews(const KindNews& news, ObjectVersion known) {
  if (!news.reachable || news.age < Duration() || news.age > kMaxUpdateAge) {
    return NewsVerdict::kUseless;
  }
  if (news.changed <= known) return NewsVerdict::kUnchanged;
  return news.has_objects ? NewsVerdict::kApply : NewsVerdict::kFetch;
}

}  // namespace zr
