#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "zr_gateway_host/gateway_state.h"
#include "zr_gateway_host/store_relay.h"
#include "zr_platform/zr_platform.h"

namespace zr {

/**
 * Follows all objects of one kind: a complete list, then watches, and another
 * list when the store no longer has the history. Watches are short, so that
 * each answer is recent evidence of the kind's state and a silent connection
 * is noticed. While another VM relays updates with recent evidence, the store
 * is not called.
 */
template <ObjectFormat Format>
class StoreFeed : public RelayedKind,
                  public std::enable_shared_from_this<StoreFeed<Format>> {
 public:
  using Store = BasicObjectStore<Format>;

  struct Options {
    std::string kind;
    StorePurpose purpose = StorePurpose::kEndpoints;
    Duration wait = Duration::Milliseconds(1500);  // longest wait of a watch
    /** Longest wait of a watch on behalf of other VMs, if shorter than the
     * limits allow. */
    Duration max_shared_wait = Duration::Max();
    EvidenceLimits limits = EvidenceLimits::ForBound(Duration::Seconds(2));
    Duration backoff = Duration::Milliseconds(150);  // after a failed call
    Duration max_backoff = Duration::Milliseconds(800);
    /** Pause after a change, so that one call fetches those that follow. */
    Duration batch_delay;
    /** Outlives the feed; null if objects are relayed one by one. */
    RelayedDocument* document = nullptr;
    /** Whether this VM has to watch the kind itself; null if it never has. */
    std::function<bool()> needs_watch;
  };

  /** Receives objects and state of the store. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** The complete list of the kind's objects. */
    virtual void OnList(const std::string& kind,
                        const std::vector<StoreItem>& items) = 0;
    virtual void OnChanges(const std::string& kind,
                           const std::vector<StoreItem>& items) = 0;
    /** A call that started at `started` was answered; its items have been
     * reported before. */
    virtual void OnVerified(const std::string& kind, TimePoint started) = 0;
    /** The store became unreachable or reachable, by this VM's calls and the
     * updates of others.
     * @param call_time  duration of the call that showed it */
    virtual void OnStoreReachable(const std::string& kind, bool reachable,
                                  StoreStatus status, Duration call_time) = 0;
    /** A call failed while another VM's recent update shows that the store is
     * reachable. */
    virtual void OnCallFailed(const std::string& kind, StoreStatus status,
                              Duration call_time) = 0;
    /** The store has come back from an older copy. The complete list that
     * follows lacks what has not been written again yet. */
    virtual void OnStoreRestored(const std::string& kind, StorePosition known,
                                 StorePosition now) = 0;
    /** The store answers this VM again; all feeds that wait have to be told. */
    virtual void OnOutageEnded() = 0;
    /** No recent update of another VM is left, so that this VM calls the store
     * itself. */
    virtual void OnUpdatesEnded(const std::string& kind,
                                Duration evidence_age) = 0;
  };

  /** @param outage  of the store, shared by the feeds of the VM; outlives the
   * feed */
  StoreFeed(asio::io_context& io, std::shared_ptr<Store> store,
            StoreOutage& outage, Options options, Listener& listener)
      : store_(std::move(store)),
        outage_(outage),
        options_(std::move(options)),
        listener_(listener),
        timer_(io),
        mirror_(options_.kind, options_.document != nullptr) {}

  void Start() {
    started_ = true;
    List("");
  }
  /** Begins with the objects that another VM relays. Reads them at the store if
   * none has sent them in time. */
  void StartFromOthers() {
    if (watching_) return Start();
    started_ = true;
    WaitForUpdates(kStartPatience);
  }
  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

  /** Age of the newest evidence of the kind's state; Duration::Max() if there
   * is none. */
  Duration EvidenceAge(TimePoint now) const {
    return listed_ ? now - verified_ : Duration::Max();
  }

  void SetLimits(EvidenceLimits limits) { options_.limits = limits; }

  /** The store is in this era, as another kind's calls have shown. */
  void OnEra(StoreEra era) {
    // An idle feed gets the new list from the VM that it asks.
    if (stopped_ || !listed_ || idle_ || cursor_.position().era >= era) return;
    timer_.cancel();
    List("");
  }

  /** The store has answered another feed after an outage. */
  void OnOutageEnded() {
    if (stopped_ || !std::exchange(waits_for_outage_, false)) return;
    // Most VMs get an update first; those that watch have to send it.
    if (watching_ || NeedsWatch()) return CallAgain();
    WaitForUpdates(kUpdatePatience);
  }

  // RelayedKind
  const std::string& kind() const override { return options_.kind; }
  bool started() const override { return started_; }
  bool listed() const override { return listed_; }
  KindVersion known_version() const override {
    const StorePosition position = cursor_.position();
    return {options_.kind, position.version, !reachable_, position.era,
            options_.document == nullptr
                ? 0
                : options_.document->document_digest()};
  }
  KindUpdate UpdateSince(TimePoint now,
                         const KindVersion& requester) const override {
    KindUpdate update = mirror_.UpdateSince(now, requester);
    if (options_.document == nullptr ||
        update.last_change() <= requester.position()) {
      return update;
    }
    if (auto delta = options_.document->DeltaFor(requester)) {
      update.deltas.push_back(std::move(*delta));
    }
    return update;
  }
  void SetWatching(bool watching) override {
    const bool begins = watching && !watching_;
    watching_ = watching;
    if (begins && started_ && idle_ && !waits_for_outage_) CallAgain();
  }
  void OnUpdate(TimePoint queried_at, const KindUpdate& update) override {
    if (stopped_ || !started_ || (watching_ && reachable_)) return;
    if (!listed_ && !idle_) return;  // a list is being read
    const StorePosition known = cursor_.position();
    UpdateAction verdict = ClassifyUpdate(update, known);
    if (verdict == UpdateAction::kIgnore) return;
    if (verdict == UpdateAction::kApplyDelta &&
        (options_.document == nullptr ||
         !options_.document->OnDelta(update.deltas.front()))) {
      verdict = UpdateAction::kFetch;
    }
    // The other VM may have lost the store without knowing it yet.
    relayed_until_ = std::max(
        relayed_until_, queried_at - update.age + options_.limits.max_age());
    if (verdict == UpdateAction::kFetch) {
      // A large document takes longer than a probe may.
      if (idle_) Fetch(update);
      return;
    }
    listed_ = true;
    // What a watcher tells others of the store is what its own calls show.
    if (!watching_) MarkReachable(BootNow(), queried_at - update.age);
    if (cursor_.OnUpdateApplied(update.position())) {
      listener_.OnStoreRestored(options_.kind, known, cursor_.position());
    }
    if (verdict == UpdateAction::kApply) ApplyUpdate(update);
    if (verdict == UpdateAction::kApplyDelta) {
      mirror_.OnList(update.position(), {});
    }
    OnSuccess(queried_at - update.age);
  }

 private:
  static constexpr int kPageSize = 500;
  static constexpr int kMaxBackoffStep = 4;
  static constexpr Duration kFirstBackoff = Duration::Milliseconds(20);
  // Wait of a watch that checks whether the store is reachable again.
  static constexpr Duration kProbeWait = Duration::Milliseconds(50);
  // Time for which a starting VM waits for another VM's update: until a fleet
  // that starts together has a key and links.
  static constexpr Duration kStartPatience = Duration::Seconds(3);
  // The same after an outage: a query period and a round trip.
  static constexpr Duration kUpdatePatience = Duration::Milliseconds(600);
  // Time between two calls to a store that doesn't answer, of a VM that
  // doesn't watch on behalf of others, which learns from those that do.
  static constexpr Duration kMaxProbePeriod = Duration::Seconds(2);
  // Longest batch delay of a VM that watches on behalf of others.
  static constexpr Duration kSharedBatchDelay = Duration::Milliseconds(200);

  void List(const std::string& after) {
    if (WaitsForOutage()) return;
    idle_ = false;
    timer_.cancel();
    call_started_ = BootNow();
    if (after.empty()) {
      items_.clear();
      cursor_.BeginList();
      list_started_ = call_started_;
    }
    store_->List(options_.purpose, options_.kind, after, kPageSize,
                 [self = this->shared_from_this(),
                  number = ++last_call_](StoreReply reply) {
                   if (!self->IsCurrent(number)) return;
                   self->OnPage(std::move(reply));
                 });
  }

  void OnPage(StoreReply reply) {
    if (reply.status != StoreStatus::kOk) return OnFailure(reply.status);
    switch (cursor_.OnPage({reply.era, reply.version})) {
      case StoreCursor::Action::kList:
        return List("");
      case StoreCursor::Action::kDiscard:
        return listed_ ? Watch() : OnFailure(StoreStatus::kUnknown);
      case StoreCursor::Action::kApply:
        break;
    }
    for (StoreItem& item : reply.items) items_.push_back(std::move(item));
    if (reply.more && !items_.empty()) return List(items_.back().name);
    listed_ = true;
    MarkReachable(call_started_, BootNow());
    const StorePosition known = cursor_.position();
    if (cursor_.CompleteList()) {
      listener_.OnStoreRestored(options_.kind, known, cursor_.position());
    }
    listener_.OnList(options_.kind, items_);
    mirror_.OnList(cursor_.position(), Relayed(items_));
    items_.clear();
    OnSuccess(list_started_);
    // What was just read is as recent as an update of another VM.
    relayed_until_ =
        std::max(relayed_until_, list_started_ + options_.limits.max_age());
    Watch();
  }

  void Watch() {
    const TimePoint now = BootNow();
    if (watching_ || NeedsWatch() || now >= relayed_until_) {
      return WatchStore();
    }
    updates_ended_ = true;
    WaitForUpdates(relayed_until_ - now);
  }

  bool NeedsWatch() const {
    return options_.needs_watch && options_.needs_watch();
  }

  /** Leaves the store alone for a while, unless an update has to be read. */
  void WaitForUpdates(Duration longest) {
    idle_ = true;
    ScheduleNext(longest);
  }

  /** Another feed tries to reach the store; this one goes on after it. */
  bool WaitsForOutage() {
    waits_for_outage_ = outage_.HasToWait(options_.kind);
    if (waits_for_outage_) WaitForUpdates(kMaxProbePeriod);
    return waits_for_outage_;
  }

  Duration UsualWait() const {
    return watching_ ? std::min(options_.limits.shared_wait(),
                                options_.max_shared_wait)
                     : options_.wait;
  }

  void WatchStore() {
    // A long watch would report that the store is back only with the next
    // change. After the updates of another VM end, evidence is needed soon.
    const bool soon = !reachable_ || updates_ended_;
    if (std::exchange(updates_ended_, false)) {
      listener_.OnUpdatesEnded(options_.kind, EvidenceAge(BootNow()));
    }
    WatchStore(soon ? kProbeWait : UsualWait());
  }

  /** Reads the changes of which another VM's update tells. */
  void Fetch(const KindUpdate& update) {
    if (listed_ && update.era == cursor_.position().era) {
      return WatchStore(UsualWait());
    }
    List("");
  }

  void WatchStore(Duration wait) {
    if (WaitsForOutage()) return;
    idle_ = false;
    timer_.cancel();
    const TimePoint started = BootNow();
    call_started_ = started;
    const StorePosition from = cursor_.position();
    store_->Watch(options_.purpose, options_.kind, from.version, wait,
                  [self = this->shared_from_this(), started, from,
                   number = ++last_call_](StoreReply reply) {
                    if (!self->IsCurrent(number)) return;
                    self->OnWatched(started, from, std::move(reply));
                  });
  }

  /** No later call has replaced the one with this number. */
  bool IsCurrent(uint64_t number) const {
    return !stopped_ && number == last_call_;
  }

  void OnWatched(TimePoint started, StorePosition from, StoreReply reply) {
    if (reply.status == StoreStatus::kExpired) {
      listed_ = false;
      return List("");
    }
    if (reply.status != StoreStatus::kOk) return OnFailure(reply.status);
    const StorePosition at = {reply.era, reply.version};
    switch (cursor_.OnChanges(from, at)) {
      case StoreCursor::Action::kList:
        return List("");
      case StoreCursor::Action::kDiscard:
        return ScheduleNext(options_.backoff);
      case StoreCursor::Action::kApply:
        break;
    }
    MarkReachable(started, BootNow());
    const bool changed = !reply.items.empty();
    if (changed && mirror_.OnChanges(at, Relayed(reply.items))) {
      listener_.OnChanges(options_.kind, reply.items);
    }
    OnSuccess(started);
    if (changed && options_.batch_delay > Duration()) {
      return ScheduleNext(
          watching_ ? std::min(options_.batch_delay, kSharedBatchDelay)
                    : options_.batch_delay);
    }
    Watch();
  }

  void ApplyUpdate(const KindUpdate& update) {
    std::vector<StoreItem> items;
    items.reserve(update.objects.size());
    for (const RelayedObject& object : update.objects) {
      items.push_back(
          {object.name, object.version, object.value, object.deleted});
    }
    if (update.complete) {
      listener_.OnList(options_.kind, items);
      mirror_.OnList(update.position(), update.objects);
    } else if (mirror_.OnChanges(update.position(), update.objects)) {
      listener_.OnChanges(options_.kind, items);
    }
  }

  std::vector<RelayedObject> Relayed(
      const std::vector<StoreItem>& items) const {
    std::vector<RelayedObject> objects;
    objects.reserve(items.size());
    for (const StoreItem& item : items) {
      objects.push_back({item.name, item.version,
                         options_.document == nullptr ? item.value : "",
                         item.deleted});
    }
    return objects;
  }

  void OnSuccess(TimePoint started) {
    if (reachable_) failures_ = 0;
    verified_ = std::max(verified_, started);
    mirror_.OnVerified(started, cursor_.position());
    listener_.OnVerified(options_.kind, started);
  }

  // Called before the changes of the same answer are applied, because their
  // handling depends on the time since the store became reachable.
  /** @param evidence  time at which the store was surely reachable */
  void MarkReachable(TimePoint call_started, TimePoint evidence) {
    mirror_.OnStoreReachable(true);
    reachable_ = true;
    if (outage_.OnSuccess(evidence)) listener_.OnOutageEnded();
    if (!std::exchange(reported_lost_, false)) return;
    listener_.OnStoreReachable(options_.kind, true, StoreStatus::kOk,
                               BootNow() - call_started);
  }

  void OnFailure(StoreStatus status) {
    mirror_.OnStoreReachable(false);
    reachable_ = false;
    outage_.OnFailure(BootNow(), options_.kind);
    ReportFailure(status);
    // A first failure may be a single lost answer; retry soon, so that the
    // evidence doesn't age.
    const int step = std::min(failures_, kMaxBackoffStep);
    const Duration delay =
        failures_ == 0
            ? kFirstBackoff
            : std::min(options_.backoff * (int64_t{1} << step),
                       watching_ ? options_.max_backoff : kMaxProbePeriod);
    ++failures_;
    ScheduleNext(delay);
  }

  // A failed call alone doesn't show that the store is away: entries can't have
  // lapsed while another VM reached it.
  void ReportFailure(StoreStatus status) {
    if (reported_lost_) return;
    const TimePoint now = BootNow();
    const Duration call_time = now - call_started_;
    if (now < relayed_until_) {
      return listener_.OnCallFailed(options_.kind, status, call_time);
    }
    reported_lost_ = true;
    listener_.OnStoreReachable(options_.kind, false, status, call_time);
  }

  void ScheduleNext(Duration delay) {
    timer_.expires_after(std::chrono::microseconds(delay.microseconds()));
    timer_.async_wait(
        [self = this->shared_from_this()](const asio::error_code& error) {
          if (!error && !self->stopped_) self->CallAgain();
        });
  }

  void CallAgain() {
    idle_ = false;
    if (listed_) {
      Watch();
    } else {
      List("");
    }
  }

  std::shared_ptr<Store> store_;
  StoreOutage& outage_;
  Options options_;
  Listener& listener_;
  asio::steady_timer timer_;
  StoreMirror mirror_;
  StoreCursor cursor_;
  uint64_t last_call_ = 0;
  TimePoint relayed_until_;        // another VM's update is recent until then
  bool watching_ = false;          // on behalf of other VMs
  bool idle_ = false;              // waits for relayed updates
  bool waits_for_outage_ = false;  // another feed tries to reach the store
  bool updates_ended_ = false;  // next watch is the first after relayed updates
  std::vector<StoreItem> items_;
  TimePoint list_started_;
  TimePoint call_started_;  // of the last call to the store
  TimePoint verified_;      // start of the last call that was answered, here or
                            // at the VM that sent its update
  int failures_ = 0;
  bool started_ = false;
  bool listed_ = false;
  bool reachable_ = true;       // by the last call or update
  bool reported_lost_ = false;  // to the listener
  bool stopped_ = false;
};

}  // namespace zr
