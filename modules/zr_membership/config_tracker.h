#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_membership/cluster_view.h"
#include "zr_wire/messages.h"

namespace zr {

/** Identity, periods and the document check of a ConfigTracker. */
struct ConfigTrackerOptions {
  VmId self;
  /**
   * Checks that the digest is that of the document and that the document is
   * valid. An offer that fails is counted and not adopted.
   */
  std::function<Result<void>(const ConfigOffer&)> check;
  /** A confirmation by store or peers holds for this time. */
  Duration confirmation_ttl = Duration::Seconds(6);
  /** Age up to which a ready peer confirms a VM that cannot know all its peers
   * yet. */
  Duration ready_peer_max_age = Duration::Seconds(1);
  /** A VM that knows of a newer version and lacks it for longer is not ready.
   */
  Duration lag_grace = Duration::Seconds(2);
  Duration fetch_retry = Duration::Milliseconds(500);
  /** Period of store reads while peers do not confirm the version. */
  Duration store_read_period = Duration::Seconds(2);
  /** Heartbeats buffered during a pause arrive within this time after it. */
  Duration settle_after_pause = Duration::Milliseconds(500);
  /** How long a silent peer counts as a last known peer. */
  Duration forget_after = Duration::Seconds(600);
};

/** What the daemon should do for the tracker. */
struct ConfigAction {
  enum class Kind : uint8_t { kFetchFromPeer, kReadStore };
  Kind kind = Kind::kReadStore;
  VmId peer;            // for kFetchFromPeer
  ConfigFetch request;  // for kFetchFromPeer
  friend auto operator<=>(const ConfigAction&, const ConfigAction&) = default;
};

/** What became of an offered document. */
enum class OfferOutcome : uint8_t {
  kAdopted,   // now in force on this VM
  kSame,      // already in force
  kOlder,     // never replaces a newer one
  kConflict,  // same version with another digest; counted, nothing changes
  kRejected,  // the check failed; counted, nothing changes
};

/** Whether this VM may take new calls as far as its configuration is concerned.
 */
enum class ConfigReadiness : uint8_t {
  kReady,
  kNoConfiguration,  // neither store nor peers have supplied a document yet
  kUnconfirmed,  // heard neither the store nor more than half of the last known
                 // peers
  kLagging,      // a newer version exists and could not be fetched
};

/** Stable name, for example "unconfirmed". */
std::string_view ToString(ConfigReadiness readiness);

/**
 * Configuration version of this VM: adopts newer documents only, confirms that
 * the version is current, and decides where to fetch from.
 */
class ConfigTracker {
 public:
  /** @pre options.check is set and the durations are positive */
  explicit ConfigTracker(ConfigTrackerOptions options);

  // ---------------------------------------------------------------------------
  // Input

  /**
   * The store answered with the document.
   * @param sent_at  when the read was sent; it confirms from then on, because
   *                  this process may have been paused before the answer
   */
  OfferOutcome OnStoreRead(TimePoint now, TimePoint sent_at,
                           const ConfigOffer& offer);

  /** The store holds no document; this never removes one that is in force. */
  void OnStoreAbsent();

  /**
   * A watch that was sent at the given time ended without a change.
   * @param version  version up to which the watch has seen all changes
   */
  void OnStoreUnchanged(TimePoint now, TimePoint sent_at,
                        ObjectVersion version);

  /** A peer sent a document. */
  OfferOutcome OnOffer(TimePoint now, const VmId& from,
                       const ConfigOffer& offer);

  /** Takes the versions and hearing times of peers; call it on each change and
   * tick. */
  void OnView(TimePoint now, const ClusterView& view);

  /** This process was paused; what it heard before or has buffered confirms
   * nothing. */
  void OnSelfPaused(TimePoint now);

  /** Returns what to fetch now. */
  std::vector<ConfigAction> OnTick(TimePoint now);

  // ---------------------------------------------------------------------------
  // Output

  /** The document in force, or nullptr. */
  std::shared_ptr<const ConfigOffer> current() const { return current_; }
  /** Version in force; 0 before the first. */
  ObjectVersion version() const {
    return current_ ? current_->version : ObjectVersion();
  }

  ConfigReadiness Readiness(TimePoint now) const;

  /** Whether a fetch by a peer can be answered with current(). */
  bool CanAnswer(const ConfigFetch& fetch) const {
    return current_ != nullptr && current_->version >= fetch.at_least;
  }

  /** Time by which OnTick() must be called. */
  TimePoint NextWakeup() const { return next_action_; }

  /** Offers and peers' reports with the version in force and another digest. */
  uint64_t digest_conflicts() const { return digest_conflicts_; }
  /** Offers that failed the check. */
  uint64_t rejected_offers() const { return rejected_offers_; }
  /** Store reads with a version below the one in force. */
  uint64_t store_regressions() const { return store_regressions_; }

 private:
  /** Before any time that a caller passes in. */
  static constexpr TimePoint kNever = TimePoint() - Duration::Max();
  struct Peer {
    TimePoint last_seen;
    TimePoint confirmed_at =
        kNever;  // last heard with a version that is not newer than this VM's
    ObjectVersion version;
    bool leaving = false;
    TimePoint ready_at;       // as confirmed_at, and reported ready
    bool ever_ready = false;  // in any incarnation
    Incarnation incarnation;
    bool ready_since_start = false;     // was ready in this incarnation
    ObjectVersion conflicting_version;  // last version with another digest
  };

  OfferOutcome Adopt(const ConfigOffer& offer);
  void ObserveVersion(TimePoint now, ObjectVersion version);
  bool StoreConfirms(TimePoint now) const;
  bool PeersConfirm(TimePoint now) const;
  bool ReadyPeersConfirm(TimePoint now) const;
  bool Confirmed(TimePoint now) const {
    return StoreConfirms(now) || PeersConfirm(now);
  }
  void UpdateConfirmation(TimePoint now);
  void PlanFetch(TimePoint now, std::vector<ConfigAction>& actions);

  ConfigTrackerOptions options_;
  std::shared_ptr<const ConfigOffer> current_;
  std::map<VmId, Peer> peers_;
  TimePoint listening_since_;
  std::set<VmId> listed_;  // members of the platform's list that do not leave
  bool has_platform_list_ = false;
  bool store_confirmed_ = false;
  TimePoint store_sent_at_;
  ObjectVersion highest_known_;
  TimePoint behind_since_;
  TimePoint ignore_before_;  // hearing before this time confirms nothing
  bool ever_confirmed_ = false;
  TimePoint first_confirmed_;
  VmId last_fetch_;
  uint64_t fetches_ = 0;  // since the last adoption
  TimePoint next_fetch_;
  TimePoint next_store_read_;
  TimePoint next_action_;
  uint64_t digest_conflicts_ = 0;
  uint64_t rejected_offers_ = 0;
  uint64_t store_regressions_ = 0;
};

}  // namespace zr
