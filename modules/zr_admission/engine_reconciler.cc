#include "zr_admission/engine_reconciler.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

// An unanswered list request is resent after this time.
constexpr Duration kListTimeout = Duration::Seconds(2);
// Minimum interval between list requests.
constexpr Duration kListInterval = Duration::Milliseconds(100);
// Interval of list requests while the end of a stream is pending.
constexpr Duration kPendingListInterval = Duration::Seconds(1);
// Interval of list requests while there is foreign load.
constexpr Duration kForeignListInterval = Duration::Seconds(2);
// A cancellation may be lost; it is resent while the stream is listed.
constexpr Duration kCancelInterval = Duration::Seconds(1);
constexpr size_t kMaxOldBoots = 16;

}  // namespace

EngineReconciler::EngineReconciler(const PoolPolicy& policy, bool taken_over,
                                   TimePoint now)
    : policy_(policy) {
  if (taken_over) BeginTakeOver(now);
  list_scheduled_ = true;
}

void EngineReconciler::BeginTakeOver(TimePoint now) {
  take_over_since_ = now;
  take_over_reported_ = false;
  list_scheduled_ = true;
}

TimePoint EngineReconciler::TakeOverEnd(TimePoint now) const {
  if (!take_over_since_) return now;
  return std::max(
      now, *take_over_since_ + std::max(kTakeOverListWait, policy_.report_lag));
}

bool EngineReconciler::UpdateTakeOver(TimePoint now) {
  if (take_over_since_ && take_over_reported_ &&
      now >= *take_over_since_ + kTakeOverListWait) {
    take_over_since_.reset();
  }
  return take_over_since_.has_value();
}

void EngineReconciler::BeginDoubt(TimePoint now) {
  if (!doubt_since_) doubt_since_ = now;
  list_scheduled_ = true;
}

bool EngineReconciler::IsOldBoot(BootNumber boot) const {
  return std::find(old_boots_.begin(), old_boots_.end(), boot) !=
         old_boots_.end();
}

EngineReconciler::ReportStatus EngineReconciler::UpdateBoot(BootNumber boot) {
  if (boot_known_ && boot == boot_) return ReportStatus::kCurrent;
  if (IsOldBoot(boot)) return ReportStatus::kStale;
  if (boot_known_) {
    old_boots_.push_back(boot_);
    if (old_boots_.size() > kMaxOldBoots) old_boots_.pop_front();
    ClearEngineState();
  }
  boot_ = boot;
  boot_known_ = true;
  doubt_since_.reset();
  return ReportStatus::kNewBoot;
}

void EngineReconciler::ClearEngineState() {
  load_.reset();
  unclaimed_.clear();
  load_foreign_kv_ = TokenCount(0);
  load_foreign_requests_ = 0;
}

EngineReconciler::ReportStatus EngineReconciler::OnLoad(
    TimePoint now, const EngineLoad& load) {
  const ReportStatus status = UpdateBoot(load.boot);
  if (status == ReportStatus::kStale) return status;
  if (status == ReportStatus::kCurrent && load_ &&
      load.sequence <= load_->sequence) {
    return ReportStatus::kStale;
  }
  load_ = load;
  // The reported state is at most `report_lag` old.
  const TimePoint as_of = now - policy_.report_lag;
  boot_confirmed_as_of_ = std::max(boot_confirmed_as_of_, as_of);
  if (take_over_since_ && as_of > *take_over_since_) take_over_reported_ = true;
  if (doubt_since_ && as_of > *doubt_since_) doubt_since_.reset();
  UpdateForeignLoad(now);
  return status;
}

EngineReconciler::ReportStatus EngineReconciler::OnListHeader(
    TimePoint /*now*/, const EngineStreams& list) {
  const ReportStatus status = UpdateBoot(list.boot);
  if (status == ReportStatus::kStale) return status;
  boot_confirmed_as_of_ = std::max(boot_confirmed_as_of_, list_requested_at_);
  // Lists aren't delayed: one requested after the connection broke shows
  // whether the engine has restarted.
  if (doubt_since_ && list_requested_at_ >= *doubt_since_) doubt_since_.reset();
  return status;
}

void EngineReconciler::UpdateForeignLoad(TimePoint now) {
  const TimePoint oldest = now - policy_.report_lag;
  TokenCount most_reserved;
  int64_t most_requests = 0;
  for (size_t i = 0; i < reservation_history_.size(); ++i) {
    const TimePoint until = i + 1 < reservation_history_.size()
                                ? reservation_history_[i + 1].at
                                : now;
    if (until < oldest) continue;
    most_reserved = std::max(most_reserved, reservation_history_[i].reserved);
    most_requests = std::max(most_requests, reservation_history_[i].requests);
  }
  load_foreign_kv_ = std::max(TokenCount(0), load_->kv_used - most_reserved);
  load_foreign_requests_ =
      std::max<int64_t>(0, load_->running + load_->waiting - most_requests);
}

void EngineReconciler::RecordReserved(TimePoint now, TokenCount reserved,
                                      int64_t requests) {
  if (!reservation_history_.empty() &&
      reservation_history_.back().reserved == reserved &&
      reservation_history_.back().requests == requests) {
    return;
  }
  reservation_history_.push_back(ReservationSample{now, reserved, requests});
  // Keeps the sample that applied at the start of the report lag.
  while (reservation_history_.size() > 1 &&
         reservation_history_[1].at < now - policy_.report_lag) {
    reservation_history_.pop_front();
  }
}

bool EngineReconciler::DueForCancel(const UnclaimedStream& stream,
                                    TimePoint now) const {
  Duration window = policy_.unclaimed_window;
  if (stream.kind == EngineStreamKind::kStream && !stream.done) {
    // A stream with progress is being read by a holder that reports to another
    // owner; the engine itself drops unread streams. A prompt in prefill shows
    // no progress, so its prefill time is added to the window.
    if (now - stream.last_progress < window) return false;
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
  const TimePoint as_of = list_requested_at_;
  list_outstanding_ = false;
  list_as_of_ = as_of;
  std::vector<CancelEngineStream> cancels;
  std::map<std::string, UnclaimedStream> unclaimed;
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
        ++grant->cancel_count;
        cancels.push_back(CancelEngineStream{stream.id, stream.kind});
      }
      continue;
    }
    UnclaimedStream entry;
    entry.kind = stream.kind;
    entry.kv = stream.kv_tokens;
    entry.offset = stream.offset;
    entry.done = stream.done;
    entry.first_seen = now;
    entry.last_progress = now - policy_.unclaimed_window;
    if (const auto it = unclaimed_.find(stream.id); it != unclaimed_.end()) {
      const UnclaimedStream& before = it->second;
      entry.first_seen = before.first_seen;
      entry.last_progress =
          stream.offset > before.offset ? now : before.last_progress;
      entry.last_cancel = before.last_cancel;
      entry.cancel_sent = before.cancel_sent;
    }
    if (DueForCancel(entry, now) &&
        (!entry.cancel_sent || now - entry.last_cancel >= kCancelInterval)) {
      entry.last_cancel = now;
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
  if (list_outstanding_) return list_requested_at_ + kListTimeout;
  if (!list_ever_requested_) return TimePoint();
  if (list_scheduled_) return list_requested_at_ + kListInterval;
  if (cancelling || !unclaimed_.empty()) {
    return list_requested_at_ + kPendingListInterval;
  }
  if (load_foreign_kv_ > TokenCount(0)) {
    return list_requested_at_ + kForeignListInterval;
  }
  return TimePoint::Max();
}

bool EngineReconciler::StartListIfDue(TimePoint now, bool cancelling) {
  if (now < NextListTime(cancelling)) return false;
  list_scheduled_ = false;
  list_outstanding_ = true;
  list_ever_requested_ = true;
  list_requested_at_ = now;
  return true;
}

}  // namespace zr
