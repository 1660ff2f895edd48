#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zr {

/** A stored object. All objects share one increasing version counter. */
struct StoredObject {
  std::string name;
  uint64_t version = 0;
  std::string value;
};

/** A change of an object, as reported by a watch. */
struct ObjectEvent {
  std::string kind;
  std::string name;
  uint64_t version = 0;
  bool removed = false;
  std::string value;
};

/** Precondition of a write. */
struct WriteCondition {
  bool must_be_absent = false;      // If-None-Match: *
  std::optional<uint64_t> version;  // If-Match: V
};

/** Objects of the platform stand-in, with a bounded event history. Not
 * thread-safe. */
class ObjectTable {
 public:
  /** @param max_events  number of events kept for watches; a watch that needs
   * older ones gets 410 */
  explicit ObjectTable(size_t max_events = 20'000) : max_events_(max_events) {}

  /** The current object, or null. */
  const StoredObject* Find(const std::string& kind,
                           const std::string& name) const;
  /** The object as of the given version, for stale reads. */
  std::optional<StoredObject> FindAtVersion(const std::string& kind,
                                            const std::string& name,
                                            uint64_t version) const;
  /** Writes the object if the condition holds. @returns the new version, or
   * empty */
  std::optional<uint64_t> Put(const std::string& kind, const std::string& name,
                              std::string value,
                              const WriteCondition& condition);
  /** Removes the object if the condition holds. @returns the new version, or
   * empty */
  std::optional<uint64_t> Remove(const std::string& kind,
                                 const std::string& name,
                                 const WriteCondition& condition);
  /** Objects of a kind with names greater than `after`, sorted by name. */
  std::vector<StoredObject> List(const std::string& kind,
                                 const std::string& after, size_t limit) const;
  /** True if events after the version have been trimmed from the history. */
  bool IsTooOld(uint64_t after) const { return after < trimmed_version_; }
  /** Events of a kind with versions above the given one. */
  std::vector<ObjectEvent> EventsAfter(const std::string& kind,
                                       uint64_t after) const;
  /** Version of the latest write. */
  uint64_t version() const { return version_; }
  /** Clears the event history, so that every older watch gets 410. */
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
