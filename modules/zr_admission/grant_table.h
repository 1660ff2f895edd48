#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "zr_admission/owner_types.h"
#include "zr_base/zr_base.h"

namespace zr {

enum class GrantState : uint8_t {
  kOffered,     // sent; not yet listed by its holder
  kHeld,        // listed by its holder
  kGathered,    // reserved for a prompt that spans several endpoints
  kCancelling,  // reclaimed; its memory counts until the engine is known to
                // have freed it
};

/** One grant with its reservation and the estimate of its remaining work. */
struct GrantEntry {
  StreamKey key;
  GrantState state = GrantState::kOffered;
  VmId holder;
  VmId owner;  // that issued it; another VM for adopted grants
  Incarnation owner_incarnation;
  GrantNumber number;
  TokenCount kv;
  bool adopted =
      false;  // issued by another owner, or by an earlier life of this one
  bool started = false;  // as its holder says
  bool ever_started = false;
  bool run_alone = false;
  bool long_prompt = false;
  bool plain = false;
  bool gather_member =
      false;  // memory for a prompt that spans several endpoints
  std::string
      gather_stream;  // id of the gathered stream, once its holder has told it
  bool connection_lost =
      false;  // its holder lost the connection to the endpoint
  int32_t priority = 0;
  TeamId team;
  ClassId request_class;
  Fingerprint fingerprint;
  BootNumber boot;
  TokenCount max_answer;
  TimePoint granted_at;
  TimePoint deadline = TimePoint::Max();
  TimePoint expires_at;    // reclaimed (or freed, when cancelling) at this time
  TimePoint cancelled_at;  // time of the last cancellation
  int cancel_count = 0;
  // Estimated remaining work, see WorkForecast.
  double uncached_tokens = 0;
  double expected_answer = 0;
  double prefill_left = 0;
  double answer_left = 0;
  double plain_left = 0;  // seconds
  // For the mean batch size over the run, and the estimated time in prefill.
  double batch_seconds = 0;
  double prefill_seconds = 0;
  double overlap_seconds =
      0;  // of the answer, while prompts of others were read
};

/** The grants of one endpoint and the memory that they reserve. */
class GrantTable {
 public:
  using Map = std::map<StreamKey, GrantEntry>;

  GrantTable() = default;
  GrantTable(const GrantTable&) = delete;
  GrantTable& operator=(const GrantTable&) = delete;

  /** Adds an entry; its key must not be present. */
  GrantEntry& Add(GrantEntry entry);
  GrantEntry* Find(const StreamKey& key);
  const GrantEntry* Find(const StreamKey& key) const;
  /** Frees an entry and remembers that it ended. */
  void Remove(const StreamKey& key, TimePoint now);
  /** Changes the memory that an entry reserves. */
  void SetKv(GrantEntry& entry, TokenCount kv);

  const Map& entries() const { return entries_; }
  Map& entries() { return entries_; }

  TokenCount reserved() const { return reserved_; }
  int64_t size() const { return static_cast<int64_t>(entries_.size()); }
  /** Entries that this owner granted itself. */
  int64_t OwnCount() const { return size() - adopted_; }
  int64_t AdoptedCount() const { return adopted_; }
  /** Entries that this owner granted after the given time. */
  int64_t GrantedSince(TimePoint time) const;
  bool AnyRunAlone() const { return run_alone_ > 0; }
  int64_t CountState(GrantState state) const;
  /** The earliest expiry, TimePoint::Max() if empty. */
  TimePoint NextExpiry() const;

  /**
   * True if the grant of this number ended a short time ago. Messages about it
   * that arrive late must not bring it back.
   */
  bool HasTombstone(const StreamKey& key, const VmId& owner,
                    GrantNumber number) const;
  /** Drops memories of ended grants that are older than needed. */
  void PruneTombstones(TimePoint now);

  /** Asserts no_kv_leak: the sum matches and each entry has a bounded expiry.
   */
  void CheckInvariants(TimePoint now, Duration max_hold) const;

 private:
  struct Tombstone {
    StreamKey key;
    VmId owner;
    GrantNumber number;
    TimePoint at;
  };

  Map entries_;
  TokenCount reserved_;
  int64_t adopted_ = 0;
  int64_t run_alone_ = 0;
  std::deque<Tombstone> tombstones_;  // ascending time
};

}  // namespace zr
