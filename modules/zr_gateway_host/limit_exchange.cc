#include "zr_gateway_host/limit_exchange.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

constexpr double kMaxRate = 1e9;  // requests per second

}  // namespace

void LimitExchange::OnAnswer(TimePoint now, const EndpointId& endpoint,
                             std::optional<double> limit) {
  const EndpointState* state = state_.tracker.Find(endpoint);
  if (state == nullptr) return;
  LimitObservation observation;
  observation.endpoint = endpoint;
  observation.boot = state->listed.boot();
  observation.limited = limit.has_value();
  observation.requests_per_1000_s =
      static_cast<uint64_t>(std::clamp(limit.value_or(0), 0.0, kMaxRate) *
                            LimitObservation::kRatePeriodS);
  EndpointLimits::News news = limits_.Merge(now, {observation});
  LogChanges(now, state_.vm, news.reported);
  Publish(now, std::move(news.reported));
}

void LimitExchange::OnReport(TimePoint now, const VmId& vm,
                             const LimitReport& report) {
  EndpointLimits::News news = limits_.Merge(now, report.observations);
  LogChanges(now, vm, news.reported);
  Publish(now, std::move(news.contradicting));
  if (forwards_) Publish(now, std::move(news.reported));
  const auto notices = MergeNotices(now, vm, report.notices);
  if (forwards_) PublishNotices(now, notices);
}

void LimitExchange::OnNotice(TimePoint now, const EndpointId& endpoint,
                             bool leaving, Duration pause) {
  const EndpointState* state = state_.tracker.Find(endpoint);
  if (state == nullptr) return;
  PublishNotices(
      now, MergeNotices(now, state_.vm,
                        {{endpoint, state->listed.boot(), leaving, pause}}));
}

std::vector<EndpointNotice> LimitExchange::MergeNotices(
    TimePoint now, const VmId& from, const std::vector<EndpointNotice>& seen) {
  std::vector<EndpointNotice> news = notices_.Merge(now, seen);
  if (news.empty()) return news;
  ApplyAll(now);
  for (const EndpointNotice& notice : news) {
    state_.log.Write(now, "endpoint_notice",
                     {{"endpoint", notice.endpoint.value()},
                      {"leaving", notice.leaving},
                      {"pause_ms", notice.pause_left.milliseconds()},
                      {"seen_by", from.value()}});
  }
  return news;
}

void LimitExchange::PublishNotices(TimePoint now,
                                   const std::vector<EndpointNotice>& news) {
  if (news.empty()) return;
  const bool is_empty = outbox_.observations.empty() && outbox_.notices.empty();
  if (is_empty) outbox_time_ = now;
  for (EndpointNotice notice : news) {
    notice.pause_left = notice.pause_left + (now - outbox_time_);
    outbox_.notices.push_back(std::move(notice));
  }
}

void LimitExchange::ApplyAll(TimePoint now) {
  limits_.ApplyTo(now, state_.tracker);
  limits_.ApplyTo(now, dispatch_tracker_);
  notices_.ApplyTo(state_.tracker);
  notices_.ApplyTo(dispatch_tracker_);
}

void LimitExchange::LogChanges(TimePoint now, const VmId& from,
                               const std::vector<LimitObservation>& changes) {
  if (changes.empty()) return;
  ApplyAll(now);
  for (const LimitObservation& change : changes) {
    const auto limit = limits_.LimitOf(change.endpoint, change.boot);
    state_.log.Write(now, "endpoint_limit",
                     {{"endpoint", change.endpoint.value()},
                      {"limited", change.limited},
                      {"per_s", limit.value_or(0)},
                      {"seen_by", from.value()},
                      {"age_ms", change.age.milliseconds()}});
  }
  limits_.Forget(now, [this](const EndpointId& endpoint) {
    return state_.tracker.Find(endpoint) != nullptr;
  });
  state_.metrics.Set("zr_gateway_limited_endpoints", {},
                     static_cast<double>(limits_.CountLimited()));
}

void LimitExchange::Publish(TimePoint now,
                            std::vector<LimitObservation> observations) {
  if (outbox_.observations.empty() && outbox_.notices.empty()) {
    outbox_time_ = now;
  }
  for (LimitObservation& observation : observations) {
    observation.age = observation.age + (outbox_time_ - now);
    outbox_.observations.push_back(std::move(observation));
  }
}

void LimitExchange::Exchange(TimePoint now, bool forwards, size_t linked,
                             const Sender& send_to_all) {
  forwards_ = forwards;
  ApplyAll(now);
  notices_.Forget(now, [this](const EndpointId& endpoint) {
    return state_.tracker.Find(endpoint) != nullptr;
  });
  const bool is_empty = outbox_.observations.empty() && outbox_.notices.empty();
  if (is_empty || !pace_.TryBegin(now, linked)) return;
  LimitReport report = std::exchange(outbox_, {});
  for (LimitObservation& observation : report.observations) {
    observation.age = observation.age + (now - outbox_time_);
  }
  for (EndpointNotice& notice : report.notices) {
    notice.pause_left =
        std::max(Duration(), notice.pause_left - (now - outbox_time_));
  }
  send_to_all(report);
}

}  // namespace zr
