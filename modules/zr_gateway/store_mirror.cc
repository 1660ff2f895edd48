#include "zr_gateway/store_mirror.h"

#include <algorithm>
#include <set>
#include <utility>

namespace zr {
namespace {

// Changes beyond this are read at the store; links of small VMs are narrow.
constexpr size_t kMaxNewsBytes = 48 << 10;
// The same for a VM that can't read them there; below a link's largest frame.
constexpr size_t kMaxRescueBytes = 600 << 10;
// Removed objects are remembered up to this number.
constexpr size_t kMaxObjects = 4096;
// News whose proof is older say nothing: the proof of a watch of two seconds is
// renewed when the next one ends, or fails by its time-out.
constexpr Duration kMaxNewsAge = Duration::Milliseconds(4600);

}  // namespace

void StoreMirror::OnList(ObjectVersion at, std::vector<RelayedObject> objects) {
  objects_.clear();
  listed_ = std::max(listed_, at);
  changed_ = std::max(changed_, at);
  Keep(at, std::move(objects));
}

bool StoreMirror::OnChanges(ObjectVersion at,
                            std::vector<RelayedObject> objects) {
  if (at < version_) return false;
  Keep(at, std::move(objects));
  return true;
}

void StoreMirror::Keep(ObjectVersion at, std::vector<RelayedObject> objects) {
  version_ = std::max(version_, at);
  if (objects.empty()) return;
  changed_ = std::max(changed_, at);
  for (RelayedObject& object : objects) {
    const std::string name = object.name;
    objects_[name] = {std::move(object), at};
  }
  if (objects_.size() <= kMaxObjects) return;
  std::erase_if(objects_,
                [](const auto& entry) { return entry.second.object.deleted; });
  listed_ = at;
}

void StoreMirror::OnEvidence(TimePoint started, ObjectVersion at) {
  evidence_ = std::max(evidence_, started);
  version_ = std::max(version_, at);
}

KindNews StoreMirror::NewsSince(TimePoint now, const KindVersion& asker) const {
  const ObjectVersion known = asker.version;
  KindNews news;
  news.kind = kind_;
  news.version = version_;
  news.changed = changed_;
  news.reachable = reachable_;
  news.age = now - evidence_;
  if (changed_ <= known || (large_ && !asker.lost_store)) return news;
  news.complete = known < listed_;
  size_t bytes = 0;
  for (const auto& [name, kept] : objects_) {
    const bool wanted =
        news.complete ? !kept.object.deleted : kept.stamp > known;
    if (!wanted) continue;
    bytes += name.size() + kept.object.value.size();
    news.objects.push_back(kept.object);
  }
  news.has_objects =
      bytes <= (asker.lost_store ? kMaxRescueBytes : kMaxNewsBytes);
  if (!news.has_objects) news.objects.clear();
  return news;
}

NewsVerdict JudgeNews(const KindNews& news, ObjectVersion known) {
  if (!news.reachable || news.age < Duration() || news.age > kMaxNewsAge) {
    return NewsVerdict::kUseless;
  }
  if (news.changed <= known) return NewsVerdict::kUnchanged;
  return news.has_objects ? NewsVerdict::kApply : NewsVerdict::kFetch;
}

}  // namespace zr
