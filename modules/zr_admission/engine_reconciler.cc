#include "zr_admission/engine_reconciler.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

// An unanswered list request is repeated after this time.
constexpr Duration kListTimeout = Duration::Seconds(2);
// Least interval of lists that an event asks for.
constexpr Duration kListInterval = Duration::Milliseconds(100);
// Interval of lists while the end of a stream is awaited.
constexpr Duration kPendingListInterval = Duration::Seconds(1);
// Interval of lists while foreign load is seen.
constexpr Duration kForeignListInterval = Duration::Seconds(2);
// A cancellation may be lost; it is repeated while the stream is listed.
constexpr Duration kCancelInterval = Duration::Seconds(1);
constexpr size_t kMaxOldBoots = 16;

}  // namespace

EngineReconciler::EngineReconciler(const PoolPolicy& policy, bool taken_over,
                                   TimePoint now)
    : policy_(policy) {
  if (taken_over) BeginTakeOver(now);
  want_list_ = true;
}

void EngineReconciler::BeginTakeOver(TimePoint now) {
  take_over_since_ = now;
  take_over_reported_ = false;
  want_list_ = true;
}

TimePoint EngineReconciler::TakeOverEnd(TimePoint now) const {
  if (!take_over_since_) return now;
  return std::max(
      now, *take_over_since_ + std::max(kTakeOverListWait, policy_.report_lag));
}

bool EngineReconciler::TakingOver(TimePoint now) {
  if (take_over_since_ && take_over_reported_ &&
      now >= *take_over_since_ + kTakeOverListWait) {
    take_over_since_.reset();
  }
  return take_over_since_.has_value();
}

void EngineReconciler::BeginDoubt(TimePoint now) {
  if (!doubt_since_) doubt_since_ = now;
  want_list_ = true;
}

bool EngineReconciler::IsOldBoot(BootNumber boot) const {
  return std::find(old_boots_.begin(), old_boots_.end(), boot) !=
         old_boots_.end();
}

EngineReconciler::ReportKind EngineReconciler::NoteBoot(BootNumber boot) {
  if (boot_known_ && boot == boot_) return ReportKind::kCurrent;
  if (IsOldBoot(boot)) return ReportKind::kStale;
  if (boot_known_) {
    old_boots_.push_back(boot_);
    if (old_boots_.size() > kMaxOldBoots) old_boots_.pop_front();
    OnEngineGone();
  }
  boot_ = boot;
  boot_known_ = true;
  doubt_since_.reset();
  return ReportKind::kNewBoot;
}

void EngineReconciler::OnEngineGone() {
  load_.reset();
  unclaimed_.clear();
  load_foreign_kv_ = TokenCount(0);
  load_foreign_requests_ = 0;
}

EngineReconciler::ReportKind EngineReconciler::OnLoad(TimePoint now,
                                                      const EngineLoad& load) {
  const ReportKind kind = NoteBoot(load.boot);
  if (kind == ReportKind::kStale) return kind;
  if (kind == ReportKind::kCurrent && load_ &&
      load.sequence <= load_->sequence) {
    return ReportKind::kStale;
  }
  load_ = load;
  // The report shows a state of at most `report_lag` ago.
  const TimePoint as_of = now - policy_.report_lag;
  confirmed_as_of_ = std::max(confirmed_as_of_, as_of);
  if (take_over_since_ && as_of > *take_over_since_) take_over_reported_ = true;
  if (doubt_since_ && as_of > *doubt_since_) doubt_since_.reset();
  UpdateForeign(now);
  return kind;
}

EngineReconciler::ReportKind EngineReconciler::OnListHeader(
    TimePoint /*now*/, const EngineStreams& list) {
  const ReportKind kind = NoteBoot(list.boot);
  if (kind == ReportKind::kStale) return kind;
  confirmed_as_of_ = std::max(confirmed_as_of_, list_requested_);
  // Lists are current, so one that was asked for after the doubt settles it.
  if (doubt_since_ && list_requested_ >= *doubt_since_) doubt_since_.reset();
  return kind;
}

void EngineReconciler::UpdateForeign(TimePoint now) {
  const TimePoint oldest = now - policy_.report_lag;
  TokenCount most_reserved;
  int64_t most_requests = 0;
  for (size_t i = 0; i < levels_.size(); ++i) {
    const TimePoint until = i + 1 < levels_.size() ? levels_[i + 1].at : now;
    if (until < oldest) continue;
    most_reserved = std::max(most_reserved, levels_[i].reserved);
    most_requests = std::max(most_requests, levels_[i].requests);
  }
  load_foreign_kv_ = std::max(TokenCount(0), load_->kv_used - most_reserved);
  load_foreign_requests_ =
      std::max<int64_t>(0, load_->running + load_->waiting - most_requests);
}

void EngineReconciler::NoteReserved(TimePoint now, TokenCount reserved,
                                    int64_t requests) {
  if (!levels_.empty() && levels_.back().reserved == reserved &&
      levels_.back().requests == requests) {
    return;
  }
  levels_.push_back(Level{now, reserved, requests});
  // Keeps the level that was in force at the start of the lag window.
  while (levels_.size() > 1 && levels_[1].at < now - policy_.report_lag) {
    levels_.pop_front();
  }
}

bool EngineReconciler::DueForCancel(const Unclaimed& stream,
                                    TimePoint now) const {
  Duration window = policy_.unclaimed_window;
  if (stream.kind == EngineStreamKind::kStream && !stream.done) {
    // A stream that moves on is being read by a holder that reports to another
    // owner; the engine itself drops streams that nobody reads. A prompt in
    // prefill shows no movement, so it gets the time of its prefill.
    if (now - stream.progressed < window) return false;
    if (stream.offset == 0) {
      const int64_t speed =
          std::max<int64_t>(1, policy_.prefill_tokens_per_second);
      window =
          window + Duration::Milliseconds(stream.kv.value() * 1000 / speed);
    }
  }
  return now - stream.first_seen >= window;
}

std::vector<CancelEngineStream> EngineReconciler::OnList(
    TimePoint now, const EngineStreams& list, GrantTable& grants,
    std::vector<StreamKey>* ended) {
  const TimePoint as_of = list_requested_;
  list_outstanding_ = false;
  list_as_of_ = as_of;
  std::vector<CancelEngineStream> cancels;
  std::map<std::string, Unclaimed> unclaimed;
  std::vector<StreamKey> present;
  for (const EngineStream& stream : list.streams) {
    const std::optional<StreamKey> key = ParseStreamId(stream.id);
    GrantEntry* grant = key ? grants.Find(*key) : nullptr;
    if (grant != nullptr) {
      present.push_back(*key);
      grant->boot = list.boot;
      if (grant->state == GrantState::kCancelling &&
          now - grant->cancelled_at >= kCancelInterval) {
        grant->cancelled_at = now;
        ++grant->cancels;
        cancels.push_back(CancelEngineStream{stream.id, stream.kind});
      }
      continue;
    }
    Unclaimed entry;
    entry.kind = stream.kind;
    entry.kv = stream.kv_tokens;
    entry.offset = stream.offset;
    entry.done = stream.done;
    entry.first_seen = now;
    entry.progressed = now - policy_.unclaimed_window;
    if (const auto it = unclaimed_.find(stream.id); it != unclaimed_.end()) {
      const Unclaimed& before = it->second;
      entry.first_seen = before.first_seen;
      entry.progressed =
          stream.offset > before.offset ? now : before.progressed;
      entry.cancelled = before.cancelled;
      entry.cancel_sent = before.cancel_sent;
    }
    if (DueForCancel(entry, now) &&
        (!entry.cancel_sent || now - entry.cancelled >= kCancelInterval)) {
      entry.cancelled = now;
      entry.cancel_sent = true;
      ++foreign_cancelled_;
      cancels.push_back(CancelEngineStream{stream.id, stream.kind});
    }
    unclaimed.emplace(stream.id, entry);
  }
  unclaimed_ = std::move(unclaimed);
  std::sort(present.begin(), present.end());
  for (const auto& [key, grant] : grants.entries()) {
    if (grant.state == GrantState::kCancelling && grant.cancelled_at <= as_of &&
        !std::binary_search(present.begin(), present.end(), key)) {
      ended->push_back(key);
    }
  }
  return cancels;
}

TokenCount EngineReconciler::foreign_kv() const {
  TokenCount listed;
  for (const auto& [id, stream] : unclaimed_) listed += stream.kv;
  return std::max(listed, load_foreign_kv_);
}

int64_t EngineReconciler::foreign_requests() const {
  const int64_t listed =
      std::count_if(unclaimed_.begin(), unclaimed_.end(), [](const auto& item) {
        return item.second.kind == EngineStreamKind::kStream &&
               !item.second.done;
      });
  return std::max(listed, load_foreign_requests_);
}

TokenCount EngineReconciler::KvWhenEmpty() const {
  if (!load_) return TokenCount(0);
  const int64_t margin =
      std::clamp<int64_t>(policy_.kv_margin_permille, 0, 1000);
  return TokenCount(load_->kv_capacity.value() / 1000 * (1000 - margin) +
                    load_->kv_capacity.value() % 1000 * (1000 - margin) / 1000);
}

TokenCount EngineReconciler::KvLimit() const {
  return std::max(TokenCount(0), KvWhenEmpty() - foreign_kv());
}

TimePoint EngineReconciler::NextListTime(bool cancelling) const {
  if (policy_.kind == PoolKind::kService) return TimePoint::Max();
  if (list_outstanding_) return list_requested_ + kListTimeout;
  if (!list_ever_requested_) return TimePoint();
  if (want_list_) return list_requested_ + kListInterval;
  if (cancelling || !unclaimed_.empty()) {
    return list_requested_ + kPendingListInterval;
  }
  if (load_foreign_kv_ > TokenCount(0)) {
    return list_requested_ + kForeignListInterval;
  }
  return TimePoint::Max();
}

bool EngineReconciler::TakeListRequest(TimePoint now, bool cancelling) {
  if (now < NextListTime(cancelling)) return false;
  want_list_ = false;
  list_outstanding_ = true;
  list_ever_requested_ = true;
  list_requested_ = now;
  return true;
}

}  // namespace zr
