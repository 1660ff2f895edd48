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
   * Checks that the document is valid and matches its digest. An offer that
   * fails is counted and not adopted.
   */
  std::function<Result<void>(const ConfigOffer&)> check;
  /** A confirmation by the store or by peers expires after this time. */
  Duration confirmation_ttl = Duration::Seconds(6);
  /**
   * Maximum age of a heartbeat from a ready peer that confirms the version to a
   * VM that cannot know all its peers yet. */
  Duration ready_peer_max_age = Duration::Seconds(1);
  /**
   * A VM stops being ready when it has known of a newer version for longer than
   * this without obtaining it.
   */
  Duration lag_grace = Duration::Seconds(2);
  Duration fetch_retry = Duration::Milliseconds(500);
  /** Period of store reads while peers do not confirm the version. */
  Duration store_read_period = Duration::Seconds(2);
  /**
   * After a pause of this process, heartbeats are ignored for this time,
   * because they may have been buffered during the pause. */
  Duration settle_after_pause = Duration::Milliseconds(500);
  /** Time after which a silent peer no longer counts as a known peer. */
  Duration forget_after = Duration::Seconds(600);
};

/** A fetch or read that the tracker asks the daemon to perform. */
struct ConfigAction {
  enum class Kind : uint8_t { kFetchFromPeer, kReadStore };
  Kind kind = Kind::kReadStore;
  VmId peer;            // for kFetchFromPeer
  ConfigFetch request;  // for kFetchFromPeer
  friend auto operator<=>(const ConfigAction&, const ConfigAction&) = default;
};

/** Outcome of offering a document. */
enum class OfferOutcome : uint8_t {
  kAdopted,   // now in force on this VM
  kSame,      // already in force
  kOlder,     // older than the version in force; ignored
  kConflict,  // the version in force with another digest; counted, not adopted
  kRejected,  // the check failed; counted, not adopted
};

/** Whether this VM's configuration allows it to take new calls.
 */
enum class ConfigReadiness : uint8_t {
  kReady,
  kNoConfiguration,  // neither the store nor a peer has supplied a document yet
  kUnconfirmed,  // confirmed neither by the store nor by more than half of the
                 // known peers
  kLagging,      // a newer version exists but could not be fetched in time
};

/** Stable name, for example "unconfirmed". */
std::string_view ToString(ConfigReadiness readiness);

/**
 * Tracks the configuration version of this VM: adopts newer documents only,
 * confirms that the version is current, and decides where to fetch newer ones.
 */
class ConfigTracker {
 public:
  /** @pre options.check is set and the durations are positive */
  explicit ConfigTracker(ConfigTrackerOptions options);

  // ---------------------------------------------------------------------------
  // Input

  /**
   * Handles a document read from the store.
   * @param sent_at  when the read was sent. The confirmation counts from this
   *                 time, because                  this process may have been
   * paused before the response.
   */
  OfferOutcome OnStoreRead(TimePoint now, TimePoint sent_at,
                           const ConfigOffer& offer);

  /** Handles a store without a document. The document in force stays. */
  void OnStoreAbsent();

  /**
   * Handles the end of a watch without a change.
   * @param sent_at  when the watch was sent
   * @param version  version up to which the watch has seen all changes
   */
  void OnStoreUnchanged(TimePoint now, TimePoint sent_at,
                        ObjectVersion version);

  /** Handles a document sent by a peer. */
  OfferOutcome OnOffer(TimePoint now, const VmId& from,
                       const ConfigOffer& offer);

  /**
   * Updates versions and heartbeat times of peers. Call on each change of the
   * view and on each tick. */
  void OnView(TimePoint now, const ClusterView& view);

  /**
   * Handles a pause of this process. Confirmations from before the pause, and
   * from heartbeats buffered during it, are discarded. */
  void OnSelfPaused(TimePoint now);

  /** Returns the fetches and reads to perform now. */
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

  /** Whether current() satisfies a peer's fetch. */
  bool CanAnswer(const ConfigFetch& fetch) const {
    return current_ != nullptr && current_->version >= fetch.min_version;
  }

  /** Time by which OnTick() must be called. */
  TimePoint NextWakeup() const { return next_action_; }

  /**
   * Number of offers and peer reports that have the version in force but
   * another digest. */
  uint64_t digest_conflicts() const { return digest_conflicts_; }
  /** Number of offers that failed the check. */
  uint64_t rejected_offers() const { return rejected_offers_; }
  /**
   * Number of store reads that returned a version below the one in force, or
   * none. */
  uint64_t store_regressions() const { return store_regressions_; }

 private:
  /** Earlier than any time that a caller passes in. */
  static constexpr TimePoint kNever = TimePoint() - Duration::Max();
  struct Peer {
    TimePoint last_seen;
    TimePoint confirmed_at =
        kNever;  // last heartbeat with a version not newer than this VM's
    ObjectVersion version;
    bool leaving = false;
    TimePoint ready_at;       // as confirmed_at, with the peer ready
    bool ever_ready = false;  // in any incarnation
    Incarnation incarnation;
    bool ready_since_start =
        false;  // was ready in this incarnation, so it can confirm a version
    ObjectVersion conflicting_version;  // last version seen with another digest
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
  std::set<VmId> listed_;  // VMs on the platform list that are not leaving
  bool has_platform_list_ = false;
  bool store_confirmed_ = false;
  TimePoint store_sent_at_;
  ObjectVersion highest_known_;
  TimePoint behind_since_;
  TimePoint ignore_before_;  // earlier heartbeats confirm nothing
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
