#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "zr_admission/owner_types.h"
#include "zr_base/zr_base.h"

namespace zr {

enum class GrantState : uint8_t {
  kOffered,     // sent to its holder, which hasn't listed it yet
  kHeld,        // listed by its holder
  kGathered,    // reserved for a gather, not yet listed by a holder
  kCancelling,  // reclaimed; its KV tokens stay reserved until the engine is
                // known to have freed them
};

/** A grant with its reservation and estimated remaining work. */
struct GrantEntry {
  StreamKey key;
  GrantState state = GrantState::kOffered;
  VmId holder;
  VmId owner;  // issuer; another VM for adopted grants
  Incarnation owner_incarnation;
  GrantNumber number;
  TokenCount kv;
  bool adopted = false;  // issued by another owner or an earlier incarnation
  bool started = false;  // according to its holder
  bool ever_started = false;
  bool run_alone = false;
  bool long_prompt = false;
  bool plain = false;
  bool gather_member =
      false;  // KV tokens for a prompt that spans several endpoints
  std::string
      gather_stream;  // id of the gathered stream, from its holder's list
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
  TimePoint expires_at;    // reclaimed at this time; freed if kCancelling
  TimePoint cancelled_at;  // time of the last cancellation
  int cancel_count = 0;
  // Estimated work, see WorkForecast.
  double uncached_tokens = 0;
  double expected_answer = 0;
  double prefill_left = 0;
  double answer_left = 0;
  double plain_left = 0;  // seconds
  // Mean batch size over the run (time integral) and estimated prefill time.
  double batch_seconds = 0;
  double prefill_seconds = 0;
  double overlap_seconds =
      0;  // decode time that overlaps with the prefill of other prompts
};

/** The grants of one endpoint and the KV tokens that they reserve. */
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
  /** Removes an entry and leaves a tombstone. */
  void Remove(const StreamKey& key, TimePoint now);
  /** Changes the reservation of an entry. */
  void SetKv(GrantEntry& entry, TokenCount kv);

  const Map& entries() const { return entries_; }
  Map& entries() { return entries_; }

  TokenCount reserved() const { return reserved_; }
  int64_t size() const { return static_cast<int64_t>(entries_.size()); }
  /** Number of entries granted by this owner. */
  int64_t OwnCount() const { return size() - adopted_; }
  int64_t AdoptedCount() const { return adopted_; }
  /** Number of entries granted by this owner after the given time. */
  int64_t GrantedSince(TimePoint time) const;
  bool AnyRunAlone() const { return run_alone_ > 0; }
  int64_t CountState(GrantState state) const;
  /** Earliest expiry; TimePoint::Max() if empty. */
  TimePoint NextExpiry() const;

  /**
   * True if this grant ended recently. Late messages about it must not restore
   * it.
   */
  bool HasTombstone(const StreamKey& key, const VmId& owner,
                    GrantNumber number) const;
  /** Removes expired tombstones. */
  void PruneTombstones(TimePoint now);

  /** Asserts no_kv_leak: the total matches, and each entry expires within
   * max_hold. */
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
