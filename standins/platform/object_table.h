#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zr {

/** A stored object; versions are one increasing number over all objects. */
struct StoredObject {
  std::string name;
  uint64_t version = 0;
  std::string value;
};

/** One change as a watch reports it. */
struct ObjectEvent {
  std::string kind;
  std::string name;
  uint64_t version = 0;
  bool removed = false;
  std::string value;
};

/** Condition of a write. */
struct WriteCondition {
  bool must_be_absent = false;      // If-None-Match: *
  std::optional<uint64_t> version;  // If-Match: V
};

/** The object table of the platform stand-in, with a bounded event history. Not
 * thread-safe. */
class ObjectTable {
 public:
  /** @param history  events kept for watches; older ones are answered with 410
   */
  explicit ObjectTable(size_t max_events = 20'000) : max_events_(max_events) {}

  /** Current object, or null. */
  const StoredObject* Find(const std::string& kind,
                           const std::string& name) const;
  /** State of an object at the given version, for stale reads. */
  std::optional<StoredObject> FindAtVersion(const std::string& kind,
                                            const std::string& name,
                                            uint64_t version) const;
  /** Writes if the condition holds. @returns the new version, or empty */
  std::optional<uint64_t> Put(const std::string& kind, const std::string& name,
                              std::string value,
                              const WriteCondition& condition);
  /** Removes if the condition holds. @returns the new version, or empty */
  std::optional<uint64_t> Remove(const std::string& kind,
                                 const std::string& name,
                                 const WriteCondition& condition);
  /** Objects of a kind in name order, after a name. */
  std::vector<StoredObject> List(const std::string& kind,
                                 const std::string& after, size_t limit) const;
  /** True if events after the version are no longer kept. */
  bool IsTooOld(uint64_t after) const { return after < trimmed_version_; }
  /** Events of a kind with versions above the given one. */
  std::vector<ObjectEvent> EventsAfter(const std::string& kind,
                                       uint64_t after) const;
  /** The latest version of all objects. */
  uint64_t version() const { return version_; }
  /** Drops the event history, so that every older watch gets 410. */
  void ClearHistory();

 private:
  bool Matches(const StoredObject* current,
               const WriteCondition& condition) const;
  void AppendEvent(ObjectEvent event);

  size_t max_events_;
  uint64_t version_ = 0;
  uint64_t trimmed_version_ = 0;
  std::map<std::string, std::map<std::string, StoredObject>> kinds_;
  std::deque<ObjectEvent> events_;
};

}  // namespace zr
