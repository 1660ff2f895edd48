#include "zr_daemon/control/retention_runner.h"

#include <algorithm>
#include <string>
#include <utility>

#include "zr_daemon/control/cluster_state.h"

namespace zr {
namespace {

constexpr Duration kCheckPeriod = Duration::Seconds(5);

RetentionOptions SweeperOptions() {
  RetentionOptions options;
  // The sweeper and the callers' operations share this VM's budget for records,
  // which is about 8 writes per second with 18 VMs.
  options.calls_per_second = 2;
  // A page of the largest records fits into the 64 MB that the object store
  // client accepts.
  options.page_size = 100;
  return options;
}

}  // namespace

RetentionRunner::RetentionRunner(NodeContext& context)
    : context_(context),
      strand_(asio::make_strand(context.io)),
      timer_(strand_),
      sweeper_(SweeperOptions(), SteadyNow()) {}

void RetentionRunner::Start() {
  asio::post(strand_,
             [self = shared_from_this()] { self->ScheduleTick(kCheckPeriod); });
}

void RetentionRunner::Stop() {
  asio::post(strand_, [self = shared_from_this()] {
    self->stopped_ = true;
    self->timer_.cancel();
  });
}

void RetentionRunner::ScheduleTick(Duration delay) {
  if (stopped_) return;
  timer_.expires_after(std::chrono::microseconds(delay.microseconds()));
  timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    auto self = weak.lock();
    if (self && !error) self->Tick();
  });
}

bool RetentionRunner::ShouldSweep() const {
  const auto snapshot = context_.cluster->Get();
  if (!snapshot->Ready()) return false;
  const auto candidates = LeaseCandidates(*snapshot->view, 1);
  return !candidates.empty() && candidates.front() == context_.settings.vm;
}

void RetentionRunner::Tick() {
  if (!ShouldSweep()) return ScheduleTick(kCheckPeriod);
  Handle(SweepTick{});
}

void RetentionRunner::Post(SweepEvent event) {
  asio::post(strand_, [self = shared_from_this(), event = std::move(event)] {
    if (!self->stopped_) self->Handle(event);
  });
}

void RetentionRunner::Handle(const SweepEvent& event) {
  const auto actions = sweeper_.Handle(event, SteadyNow(), UnixMilliseconds());
  for (const SweepAction& action : actions) {
    std::visit([this](const auto& a) { Execute(a); }, action);
  }
  const TimePoint next = sweeper_.NextWakeup();
  if (next == TimePoint::Max()) return;  // a reply is awaited
  ScheduleTick(std::max(Duration::Milliseconds(1), next - SteadyNow()));
}

void RetentionRunner::Execute(const SweepList& action) {
  context_.store->List(
      StorePurpose::kRecords, std::string(kOperationsKind), action.after,
      action.limit, [self = shared_from_this()](const StoreReply& reply) {
        SweepPage page;
        page.ok = reply.status == StoreStatus::kOk;
        for (const StoreItem& item : reply.items) {
          auto record = RecordCodec::Decode(item.value);
          page.items.push_back(
              {item.name, item.version,
               record ? std::optional<OperationRecord>(std::move(*record))
                      : std::nullopt});
        }
        self->Post(std::move(page));
      });
}

void RetentionRunner::Execute(const SweepDelete& action) {
  context_.metrics.Count("zr_retention_deletes_total", {});
  context_.store->Delete(StorePurpose::kRecords, std::string(kOperationsKind),
                         action.name, action.version,
                         [self = shared_from_this()](const StoreReply&) {
                           self->Post(SweepDeleteReply{});
                         });
}

void RetentionRunner::Execute(const SweepReport& action) {
  context_.metrics.Count("zr_retention_reports_total", {});
  const std::string reason =
      action.record ? "has no known outcome; team " +
                          action.record->team.value() + ", service " +
                          action.record->service + ", key " + action.record->key
                    : "cannot be decoded";
  Log(LogLevel::kWarning, "retention",
      "Record " + action.name + " " + reason + ".");
}

}  // namespace zr
