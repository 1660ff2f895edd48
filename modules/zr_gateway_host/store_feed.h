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
 * Follows all objects of one kind: a complete list, then watches, and a list
 * again when the store has forgotten the history. Watches are short, so that
 * each answer is recent evidence of the kind's state and a silent connection
 * is noticed. While another VM has news, the store is left alone.
 */
template <ObjectFormat Format>
class StoreFeed : public RelayedKind,
                  public std::enable_shared_from_this<StoreFeed<Format>> {
 public:
  using Store = BasicObjectStore<Format>;

  struct Options {
    std::string kind;
    StorePurpose purpose = StorePurpose::kEndpoints;
    Duration wait = Duration::Milliseconds(1500);  // of one watch
    /** Of one watch on behalf of other VMs, which need recent evidence. */
    Duration shared_wait = Duration::Milliseconds(2000);
    Duration pause = Duration::Milliseconds(150);  // after a failed call
    Duration longest_pause = Duration::Milliseconds(800);
    /** Changes within this time are fetched by one call. */
    Duration settle;
    /** The objects are passed on only to VMs that have lost the store. */
    bool large = false;
  };

  /** Receives what the store says. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** All objects of the kind. */
    virtual void OnList(const std::string& kind,
                        const std::vector<StoreItem>& items) = 0;
    virtual void OnChanges(const std::string& kind,
                           const std::vector<StoreItem>& items) = 0;
    /** A call that began then was answered, after its items were reported. */
    virtual void OnEvidence(const std::string& kind, TimePoint started) = 0;
    /** The feed lost the store, or has it again. */
    virtual void OnReachable(const std::string& kind, bool reachable,
                             StoreStatus status) = 0;
  };

  StoreFeed(asio::io_context& io, std::shared_ptr<Store> store, Options options,
            Listener& listener)
      : store_(std::move(store)),
        options_(std::move(options)),
        listener_(listener),
        timer_(io),
        mirror_(options_.kind, options_.large) {}

  void Start() { List(""); }
  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

  // RelayedKind
  const std::string& kind() const override { return options_.kind; }
  KindVersion known() const override {
    return {options_.kind, version_, !reachable_};
  }
  KindNews NewsSince(TimePoint now, const KindVersion& asker) const override {
    return mirror_.NewsSince(now, asker);
  }
  void SetWatching(bool watching) override { watching_ = watching; }
  void OnNews(TimePoint asked, const KindNews& news) override {
    if (stopped_ || !listed_ || watching_) return;
    const NewsVerdict verdict = JudgeNews(news, version_);
    if (verdict == NewsVerdict::kUseless) return;
    relayed_until_ = BootNow() + kNewsLife;
    if (verdict == NewsVerdict::kFetch) {
      if (idle_) WatchStore();
      return;
    }
    NoteReachable();
    if (verdict == NewsVerdict::kApply) ApplyNews(news);
    version_ = std::max(version_, news.version);
    Succeed(asked - news.age);
  }

 private:
  static constexpr int kPageSize = 500;
  static constexpr int kMaxPauseStep = 4;
  static constexpr Duration kFirstPause = Duration::Milliseconds(20);
  // Wait of a watch that finds out whether the store is back.
  static constexpr Duration kProbeWait = Duration::Milliseconds(50);
  // A watch on behalf of other VMs gathers changes for less time.
  static constexpr Duration kSharedSettle = Duration::Milliseconds(200);
  // The store is left alone for this long after another VM's news.
  static constexpr Duration kNewsLife = Duration::Milliseconds(1200);

  void List(const std::string& after) {
    if (after.empty()) items_.clear();
    const TimePoint started = BootNow();
    if (after.empty()) list_started_ = started;
    store_->List(options_.purpose, options_.kind, after, kPageSize,
                 [self = this->shared_from_this()](StoreReply reply) {
                   self->OnPage(std::move(reply));
                 });
  }

  void OnPage(StoreReply reply) {
    if (stopped_) return;
    if (reply.status != StoreStatus::kOk) return Fail(reply.status);
    // The watch continues from the first page, which may repeat changes.
    if (items_.empty()) version_ = reply.version;
    for (StoreItem& item : reply.items) items_.push_back(std::move(item));
    if (reply.more && !items_.empty()) return List(items_.back().name);
    listed_ = true;
    NoteReachable();
    listener_.OnList(options_.kind, items_);
    mirror_.OnList(version_, Relayed(items_));
    items_.clear();
    Succeed(list_started_);
    Watch();
  }

  void Watch() {
    const TimePoint now = BootNow();
    if (watching_ || now >= relayed_until_) return WatchStore();
    idle_ = true;
    news_ended_ = true;
    Later(relayed_until_ - now);
  }

  void WatchStore() {
    idle_ = false;
    timer_.cancel();
    const TimePoint started = BootNow();
    // A long watch would report the store's return only with the next change.
    // After another VM's news have ended, evidence is needed soon.
    const bool soon = !reachable_ || std::exchange(news_ended_, false);
    const Duration usual = watching_ ? options_.shared_wait : options_.wait;
    const Duration wait = soon ? kProbeWait : usual;
    store_->Watch(options_.purpose, options_.kind, version_, wait,
                  [self = this->shared_from_this(), started](StoreReply reply) {
                    self->OnWatched(started, std::move(reply));
                  });
  }

  void OnWatched(TimePoint started, StoreReply reply) {
    if (stopped_) return;
    if (reply.status == StoreStatus::kExpired) {
      listed_ = false;
      return List("");
    }
    if (reply.status != StoreStatus::kOk) return Fail(reply.status);
    NoteReachable();
    const bool changed = !reply.items.empty();
    if (changed && mirror_.OnChanges(reply.version, Relayed(reply.items))) {
      listener_.OnChanges(options_.kind, reply.items);
    }
    version_ = std::max(version_, reply.version);
    Succeed(started);
    if (changed && options_.settle > Duration()) {
      return Later(watching_ ? std::min(options_.settle, kSharedSettle)
                             : options_.settle);
    }
    Watch();
  }

  void ApplyNews(const KindNews& news) {
    std::vector<StoreItem> items;
    items.reserve(news.objects.size());
    for (const RelayedObject& object : news.objects) {
      items.push_back(
          {object.name, object.version, object.value, object.deleted});
    }
    if (news.complete) {
      listener_.OnList(options_.kind, items);
      mirror_.OnList(news.version, news.objects);
    } else if (mirror_.OnChanges(news.version, news.objects)) {
      listener_.OnChanges(options_.kind, items);
    }
  }

  static std::vector<RelayedObject> Relayed(
      const std::vector<StoreItem>& items) {
    std::vector<RelayedObject> objects;
    objects.reserve(items.size());
    for (const StoreItem& item : items) {
      objects.push_back({item.name, item.version, item.value, item.deleted});
    }
    return objects;
  }

  void Succeed(TimePoint started) {
    failures_ = 0;
    mirror_.OnEvidence(started, version_);
    listener_.OnEvidence(options_.kind, started);
  }

  // Precedes the changes of the same answer, which are judged by the time
  // since the store's return.
  void NoteReachable() {
    mirror_.OnReachable(true);
    if (reachable_) return;
    reachable_ = true;
    listener_.OnReachable(options_.kind, true, StoreStatus::kOk);
  }

  void Fail(StoreStatus status) {
    mirror_.OnReachable(false);
    if (reachable_) {
      reachable_ = false;
      listener_.OnReachable(options_.kind, false, status);
    }
    // A first failure may be one lost answer; the evidence must not age.
    const int step = std::min(failures_, kMaxPauseStep);
    const Duration pause = failures_ == 0
                               ? kFirstPause
                               : std::min(options_.pause * (int64_t{1} << step),
                                          options_.longest_pause);
    ++failures_;
    Later(pause);
  }

  void Later(Duration pause) {
    timer_.expires_after(std::chrono::microseconds(pause.microseconds()));
    timer_.async_wait(
        [self = this->shared_from_this()](const asio::error_code& error) {
          if (error || self->stopped_) return;
          self->idle_ = false;
          if (self->listed_) {
            self->Watch();
          } else {
            self->List("");
          }
        });
  }

  std::shared_ptr<Store> store_;
  Options options_;
  Listener& listener_;
  asio::steady_timer timer_;
  StoreMirror mirror_;
  ObjectVersion version_;
  TimePoint relayed_until_;  // another VM's news are recent until then
  bool watching_ = false;    // on behalf of other VMs
  bool idle_ = false;        // waits for news instead of the store
  bool news_ended_ = false;  // the next watch follows on another VM's news
  std::vector<StoreItem> items_;
  TimePoint list_started_;
  int failures_ = 0;
  bool listed_ = false;
  bool reachable_ = true;
  bool stopped_ = false;
};

}  // namespace zr
