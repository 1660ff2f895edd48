#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zr_gateway/zr_gateway.h"
#include "zr_gateway_host/gateway_state.h"

namespace zr {

/** A kind's objects as one document, which VMs exchange as deltas. */
class RelayedDocument {
 public:
  virtual ~RelayedDocument() = default;
  /** Digest of the document in force here. */
  virtual uint64_t document_digest() const = 0;
  /** @returns std::nullopt if the requester has to read it at the store */
  virtual std::optional<DocumentDelta> DeltaFor(
      const KindVersion& requester) = 0;
  /** @returns whether the document in force here now is as new as that of the
   * sender */
  virtual bool OnDelta(const DocumentDelta& delta) = 0;
};

/** Store objects of one kind whose changes VMs exchange. */
class RelayedKind {
 public:
  virtual ~RelayedKind() = default;
  virtual const std::string& kind() const = 0;
  /** Whether this VM wants updates of the kind. */
  virtual bool started() const = 0;
  /** Whether this VM has the objects. */
  virtual bool listed() const = 0;
  /** Version of the store up to which this VM knows all changes. */
  virtual KindVersion known_version() const = 0;
  /** The changes after the version that the requester knows. */
  virtual KindUpdate UpdateSince(TimePoint now,
                                 const KindVersion& requester) const = 0;
  /** @param queried_at  when this VM sent the query */
  virtual void OnUpdate(TimePoint queried_at, const KindUpdate& update) = 0;
  /** Whether this VM watches the store for others. If not, it leaves the store
   * alone while another VM sends updates. */
  virtual void SetWatching(bool watching) = 0;
};

/**
 * Lets a few VMs watch the store for all: the others poll them for changes
 * about twice a second and use the store only if no update arrives. The
 * watching VMs are the first ones by RankForDuty().
 *
 * An update carries the age of its evidence. The receiver subtracts that age
 * from the time at which it sent the query, so it never overestimates how
 * fresh its own state is.
 */
class StoreRelay {
 public:
  using Sender = std::function<bool(const VmId&, const Message&)>;
  using PeerPredicate = std::function<bool(const VmId&)>;

  explicit StoreRelay(GatewayState& state) : state_(state) {}

  /** Adds a kind, which must outlive this object. */
  void Add(RelayedKind* kind) { kinds_.push_back(kind); }
  void SetVms(const std::vector<VmId>& vms, const VmCores& cores);
  /**
   * The other VMs can know of this one, which therefore may watch for them.
   *
   * @param at_start  its record was there when it started. Otherwise it waits a
   * little, as it takes itself for one of few VMs while a fleet starts.
   */
  void OnRegistered(TimePoint now, bool at_start) {
    if (!watches_from_) watches_from_ = at_start ? now : now + kSettleTime;
  }
  /** This VM is registered and knows the others that have started with it. */
  bool HasSettled(TimePoint now) const {
    return watches_from_ && now >= *watches_from_;
  }
  /** The VMs to keep links to: the watchers and one standby. */
  const std::vector<VmId>& targets() const { return ranked_; }

  void Tick(TimePoint now, const PeerPredicate& is_usable, const Sender& send);
  StoreUpdate OnQuery(TimePoint now, const StoreQuery& query) const;
  void OnUpdate(TimePoint now, const VmId& vm, const StoreUpdate& update);

 private:
  // VMs that start together have written their records and read those of the
  // others by then.
  static constexpr Duration kSettleTime = Duration::Milliseconds(1600);

  struct PendingQuery {
    VmId vm;
    uint64_t id = 0;
    TimePoint sent_at;
  };

  bool IsWatcher(const VmId& vm) const;
  VmId ChoosePeer(TimePoint now, const PeerPredicate& is_usable) const;

  GatewayState& state_;
  std::vector<RelayedKind*> kinds_;
  std::vector<VmId> ranked_;
  std::optional<TimePoint> watches_from_;  // earliest; none if not registered
  size_t watcher_count_ = 0;  // the first VMs of ranked_ are the watchers
  std::map<VmId, TimePoint> silent_until_;
  std::map<VmId, TimePoint> store_lost_until_;
  std::optional<PendingQuery> query_;  // sent and not answered
  uint64_t last_query_id_ = 0;
  TimePoint next_query_;
  VmId current_peer_;
};

}  // namespace zr
