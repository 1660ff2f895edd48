#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "zr_base/zr_base.h"
#include "zr_gateway/gateway_types.h"

namespace zr {

/**
 * Decides when the store's answers prove that this VM has the newest
 * configuration. A store that is restored from an older copy lacks
 * configurations that it had confirmed, until the operator writes them again.
 * Other VMs may have them, so VMs tell each other their versions when they are
 * linked and when the store has come back.
 */
class ConfigVersions {
 public:
  /** Longest wait of a VM that starts for the first other VM's version. */
  static constexpr Duration kPeerWait = Duration::Milliseconds(1000);
  /** Time after which a version that no VM provides no longer counts. */
  static constexpr Duration kFetchTimeout = Duration::Milliseconds(5000);
  /** Time that a VM has to send its configuration before another is asked. */
  static constexpr Duration kFetchPeriod = Duration::Milliseconds(500);

  enum class NoticeAction : uint8_t {
    kNone,
    kFetch,   // ask the other VM for its configuration
    kNotify,  // tell the other VM this VM's version
  };

  /** This VM has put a configuration in force. */
  void OnInForce(TimePoint now, int64_t version) {
    if (!own_) peer_deadline_ = now + kPeerWait;
    own_ = version;
  }
  /** The store has this version. */
  void OnStored(int64_t version) { stored_ = version; }
  int64_t stored() const { return stored_; }
  void OnStoreRestored(TimePoint now) { restored_at_ = now; }
  /** No other VM is registered. */
  void OnAlone() { peer_deadline_ = TimePoint(); }

  /** Another VM has this version in force; 0 if it has none. */
  NoticeAction OnNotice(TimePoint now, int64_t version) {
    peer_deadline_ = TimePoint();
    const int64_t own = own_.value_or(0);
    if (version < own) return NoticeAction::kNotify;
    if (version == own) return NoticeAction::kNone;
    if (version > announced_) {
      announced_ = version;
      announced_at_ = now;
    } else if (now - fetched_at_ < kFetchPeriod) {
      return NoticeAction::kNone;
    }
    fetched_at_ = now;
    return NoticeAction::kFetch;
  }

  /** An answer of the store proves that this VM's configuration is the newest
   * one that was confirmed before the call. */
  bool EvidenceCounts(TimePoint now) const {
    if (!own_ || now < peer_deadline_) return false;
    const bool behind =
        announced_ > *own_ && now - announced_at_ < kFetchTimeout;
    const bool store_behind =
        restored_at_ && stored_ < *own_ && now - *restored_at_ < kRewriteGrace;
    return !behind && !store_behind;
  }

 private:
  std::optional<int64_t> own_;
  int64_t stored_ = 0;
  int64_t announced_ = 0;
  TimePoint announced_at_;
  TimePoint fetched_at_;
  std::optional<TimePoint> restored_at_;
  TimePoint peer_deadline_;
};

}  // namespace zr
