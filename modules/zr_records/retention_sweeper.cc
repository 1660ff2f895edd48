#include "zr_records/retention_sweeper.h"

#include <algorithm>

namespace zr {

RetentionDecision DecideRetention(const OperationRecord& record,
                                  int64_t now_unix_ms,
                                  const RetentionOptions& options) {
  const Duration age =
      Duration::Milliseconds(now_unix_ms - record.updated_unix_ms);
  if (record.state == RecordState::kDispatched) {
    if (age > options.unresolved_retention + options.margin) {
      return RetentionDecision::kDelete;
    }
    return age > options.report_after ? RetentionDecision::kReport
                                      : RetentionDecision::kKeep;
  }
  return age > options.retention + options.margin ? RetentionDecision::kDelete
                                                  : RetentionDecision::kKeep;
}

RetentionSweeper::RetentionSweeper(RetentionOptions options, TimePoint start)
    : options_(options),
      bucket_(options.calls_per_second,
              std::max(1.0, options.calls_per_second)),
      wake_at_(start) {}

TimePoint RetentionSweeper::NextWakeup() const {
  return reply_pending_ ? TimePoint::Max() : wake_at_;
}

RetentionSweeper::Actions RetentionSweeper::Handle(const SweepEvent& event,
                                                   TimePoint now,
                                                   int64_t now_unix_ms) {
  Actions actions;
  now_ = now;
  if (const auto* page = std::get_if<SweepPage>(&event)) {
    if (!reply_pending_) return actions;
    reply_pending_ = false;
    OnPage(*page, now_unix_ms, actions);
  } else if (std::holds_alternative<SweepDeleteReply>(event)) {
    reply_pending_ = false;
  }
  if (!reply_pending_ && now_ >= wake_at_) StartNextCall(actions);
  return actions;
}

void RetentionSweeper::OnPage(const SweepPage& page, int64_t now_unix_ms,
                              Actions& actions) {
  if (!page.ok) {
    wake_at_ = now_ + options_.retry_delay;
    return;
  }
  for (const SweepItem& item : page.items) {
    const RetentionDecision decision =
        item.record ? DecideRetention(*item.record, now_unix_ms, options_)
                    : RetentionDecision::kReport;
    if (decision == RetentionDecision::kReport) {
      actions.emplace_back(SweepReport{item.name, item.record});
    } else if (decision == RetentionDecision::kDelete) {
      to_delete_.push_back(SweepDelete{item.name, item.version});
    }
  }
  std::reverse(to_delete_.begin(), to_delete_.end());
  more_pages_ = page.items.size() >= static_cast<size_t>(options_.page_size);
  if (!page.items.empty()) list_cursor_ = page.items.back().name;
}

void RetentionSweeper::StartNextCall(Actions& actions) {
  if (to_delete_.empty() && !more_pages_) {
    more_pages_ = true;
    list_cursor_.clear();
    wake_at_ = now_ + options_.sweep_interval;
    return;
  }
  if (!bucket_.TryTake(now_)) {
    wake_at_ = now_ + bucket_.TimeUntil(now_, 1);
    return;
  }
  reply_pending_ = true;
  if (to_delete_.empty()) {
    actions.emplace_back(SweepList{list_cursor_, options_.page_size});
    return;
  }
  actions.emplace_back(std::move(to_delete_.back()));
  to_delete_.pop_back();
  ++deletes_;
}

}  // namespace zr
