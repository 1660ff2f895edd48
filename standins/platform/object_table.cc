#include "standins/platform/object_table.h"

#include <utility>

namespace zr {

const StoredObject* ObjectTable::Find(const std::string& kind,
                                      const std::string& name) const {
  auto table = kinds_.find(kind);
  if (table == kinds_.end()) return nullptr;
  auto it = table->second.find(name);
  return it == table->second.end() ? nullptr : &it->second;
}

std::optional<StoredObject> ObjectTable::FindAtVersion(const std::string& kind,
                                                       const std::string& name,
                                                       uint64_t version) const {
  for (auto it = events_.rbegin(); it != events_.rend(); ++it) {
    if (it->version > version || it->kind != kind || it->name != name) continue;
    if (it->removed) return std::nullopt;
    return StoredObject{name, it->version, it->value};
  }
  // The history has no event up to that version, so the current object is used
  // if it is old enough.
  const StoredObject* current = Find(kind, name);
  if (current == nullptr || current->version > version) return std::nullopt;
  return *current;
}

bool ObjectTable::Matches(const StoredObject* current,
                          const WriteCondition& condition) const {
  if (condition.must_be_absent && current != nullptr) return false;
  if (condition.version &&
      (current == nullptr || current->version != *condition.version)) {
    return false;
  }
  return true;
}

std::optional<uint64_t> ObjectTable::Put(const std::string& kind,
                                         const std::string& name,
                                         std::string value,
                                         const WriteCondition& condition) {
  if (!Matches(Find(kind, name), condition)) return std::nullopt;
  ++version_;
  kinds_[kind][name] = StoredObject{name, version_, value};
  AppendEvent(ObjectEvent{kind, name, version_, false, std::move(value)});
  return version_;
}

std::optional<uint64_t> ObjectTable::Remove(const std::string& kind,
                                            const std::string& name,
                                            const WriteCondition& condition) {
  const StoredObject* current = Find(kind, name);
  if (current == nullptr || !Matches(current, condition)) return std::nullopt;
  ++version_;
  kinds_[kind].erase(name);
  AppendEvent(ObjectEvent{kind, name, version_, true, ""});
  return version_;
}

std::vector<StoredObject> ObjectTable::List(const std::string& kind,
                                            const std::string& after,
                                            size_t limit) const {
  std::vector<StoredObject> items;
  auto table = kinds_.find(kind);
  if (table == kinds_.end()) return items;
  for (auto it = table->second.upper_bound(after);
       it != table->second.end() && items.size() < limit; ++it) {
    items.push_back(it->second);
  }
  return items;
}

std::vector<ObjectEvent> ObjectTable::EventsAfter(const std::string& kind,
                                                  uint64_t after) const {
  std::vector<ObjectEvent> found;
  for (auto it = events_.rbegin(); it != events_.rend() && it->version > after;
       ++it) {
    if (it->kind == kind) found.push_back(*it);
  }
  return {found.rbegin(), found.rend()};
}

void ObjectTable::ClearHistory() {
  events_.clear();
  trimmed_version_ = version_;
}

void ObjectTable::AppendEvent(ObjectEvent event) {
  events_.push_back(std::move(event));
  while (events_.size() > max_events_) {
    trimmed_version_ = events_.front().version;
    events_.pop_front();
  }
}

}  // namespace zr
