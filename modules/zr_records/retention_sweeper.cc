#include "zr_records/retention_sweeper.h"

#include <algorithm>

namespace zr {

RetentionVerdict JudgeRecord(const OperationRecord& record, int64_t now_unix_ms,
                             const RetentionOptions& options) {
  const Duration age =
      Duration::Milliseconds(now_unix_ms - record.updated_unix_ms);
  if (record.state == RecordState::kDispatched) {
    if (age > options.unresolved_retention + options.margin) {
      return RetentionVerdict::kDelete;
    }
    return age > options.report_after ? RetentionVerdict::kReport
                                      : RetentionVerdict::kKeep;
  }
  return age > options.retention + options.margin ? RetentionVerdict::kDelete
                                                  : RetentionVerdict::kKeep;
}

RetentionSweeper::RetentionSweeper(RetentionOptions options, TimePoint start)
    : options_(options),
      bucket_(options.calls_per_second,
              std::max(1.0, options.calls_per_second)),
      wake_(start) {}

TimePoint RetentionSweeper::NextWakeup() const {
  return waiting_ ? TimePoint::Max() : wake_;
}

RetentionSweeper::Actions RetentionSweeper::Handle(const SweepEvent& event,
                                                   TimePoint now,
                                                   int64_t now_unix_ms) {
  Actions actions;
  now_ = now;
  if (const auto* page = std::get_if<SweepPage>(&event)) {
    if (!waiting_) return actions;
    waiting_ = false;
    OnPage(*page, now_unix_ms, actions);
  } else if (std::holds_alternative<SweepDeleted>(event)) {
    waiting_ = false;
  }
  if (!waiting_ && now_ >= wake_) Continue(actions);
  return actions;
}

void RetentionSweeper::OnPage(const SweepPage& page, int64_t now_unix_ms,
                              Actions& actions) {
  if (!page.ok) {
    wake_ = now_ + options_.retry_pause;
    return;
  }
  for (const SweepItem& item : page.items) {
    const RetentionVerdict verdict =
        item.record ? JudgeRecord(*item.record, now_unix_ms, options_)
                    : RetentionVerdict::kReport;
    if (verdict == RetentionVerdict::kReport) {
      actions.emplace_back(SweepReport{item.name, item.record});
    } else if (verdict == RetentionVerdict::kDelete) {
      to_delete_.push_back(SweepDelete{item.name, item.version});
    }
  }
  std::reverse(to_delete_.begin(), to_delete_.end());
  more_pages_ = page.items.size() >= static_cast<size_t>(options_.page_size);
  if (!page.items.empty()) after_ = page.items.back().name;
}

void RetentionSweeper::Continue(Actions& actions) {
  if (to_delete_.empty() && !more_pages_) {
    more_pages_ = true;
    after_.clear();
    wake_ = now_ + options_.sweep_interval;
    return;
  }
  if (!bucket_.TryTake(now_)) {
    wake_ = now_ + bucket_.TimeUntil(now_, 1);
    return;
  }
  waiting_ = true;
  if (to_delete_.empty()) {
    actions.emplace_back(SweepList{after_, options_.page_size});
    return;
  }
  actions.emplace_back(std::move(to_delete_.back()));
  to_delete_.pop_back();
  ++deletes_;
}

}  // namespace zr
