#include "zr_gateway_host/suspect_exchange.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

// Time for which the other VMs leave the writing of a record to the first one,
// and the range over which they are then spread.
constexpr Duration kWriterLead = Duration::Milliseconds(600);
constexpr int64_t kWriterSpreadMs = 600;
// Time between two attempts to write a record, which doubles while the store
// does not take it.
constexpr Duration kWritePeriod = Duration::Milliseconds(500);
constexpr Duration kMaxWritePeriod = Duration::Seconds(8);
// An endpoint may crash by a cancelled call for this long; the time in which
// other VMs tell of the crash comes on top.
constexpr Duration kMaxCancelDelay = Duration::Milliseconds(500);
constexpr Duration kEvidenceDelay = Duration::Milliseconds(500);
// Cancelled calls that are remembered; the oldest are dropped.
constexpr size_t kMaxCancelled = 64;
// Names of removed records that are remembered.
constexpr size_t kMaxRemoved = 1024;
// Suspects that a log line lists.
constexpr size_t kMaxLoggedSuspects = 64;

void AddToAges(CrashEvidence& evidence, Duration duration) {
  for (auto& crash : evidence.crashes) crash.age = crash.age + duration;
  for (auto& answered : evidence.answered) {
    answered.age = answered.age + duration;
  }
  for (auto& live : evidence.live) live.age = live.age + duration;
}

}  // namespace

BootNumber SuspectExchange::BootOf(const EndpointId& endpoint) const {
  const EndpointState* state = state_.tracker.Find(endpoint);
  return state == nullptr ? BootNumber() : state->listed.boot();
}

//==============================================================================
// Calls of this VM

void SuspectExchange::OnCallBroken(TimePoint now, TimePoint broken,
                                   const RequestId& request,
                                   const EndpointId& endpoint, bool began,
                                   const std::vector<CrashSuspect>& suspects) {
  ReportCrash(now, {request,
                    began,
                    false,
                    {endpoint, BootOf(endpoint), now - broken,
                     attribution_.SelectSuspects(
                         began ? WholeRequestOf(suspects) : suspects)}});
}

void SuspectExchange::OnCallCancelled(
    TimePoint now, const RequestId& request, const EndpointId& endpoint,
    const std::vector<CrashSuspect>& suspects) {
  if (cancelled_.size() >= kMaxCancelled) cancelled_.pop_front();
  cancelled_.push_back({now,
                        {request,
                         false,
                         true,
                         {endpoint, BootOf(endpoint), Duration(),
                          attribution_.SelectSuspects(suspects)}}});
}

void SuspectExchange::ReportCancelledCalls(TimePoint now) {
  std::erase_if(cancelled_, [&](CancelledCall& cancelled) {
    SuspectedCrash& crash = cancelled.call.crash;
    const auto time = attribution_.CrashTime(crash.endpoint, crash.boot);
    if (!time) return now > cancelled.time + kMaxCancelDelay + kEvidenceDelay;
    if (*time > cancelled.time + kMaxCancelDelay) return true;
    crash.age = now - *time;
    ReportCrash(now, cancelled.call);
    return true;
  });
}

void SuspectExchange::ReportCrash(TimePoint now, const BrokenCall& call) {
  const SuspectedCrash& crash = call.crash;
  LogFields fields = {
      {"request", call.request.value()}, {"endpoint", crash.endpoint.value()},
      {"boot", crash.boot.value()},      {"began", call.began},
      {"cancelled", call.cancelled},     {"age_ms", crash.age.milliseconds()},
      {"suspects", LogFields::array()},  {"of", crash.suspects.size()}};
  for (const CrashSuspect& suspect : crash.suspects) {
    if (fields["suspects"].size() == kMaxLoggedSuspects) break;
    fields["suspects"].push_back(ToHex(suspect.fingerprint));
  }
  state_.log.Write(now, "crash_suspected", fields);
  state_.metrics.Count("zr_gateway_suspected_crashes_total",
                       {{"endpoint", crash.endpoint.value()}});
  CrashAttribution::News news = attribution_.Merge(now, {{crash}, {}, {}});
  Append(news.reported, std::move(news.contradicting));
  Publish(now, std::move(news.reported));
}

void SuspectExchange::OnAlive(TimePoint now, const EndpointId& endpoint) {
  if (attribution_.crashes() == 0) return;
  Publish(now, attribution_.OnAlive(now, endpoint, BootOf(endpoint)));
}

const Blame* SuspectExchange::FindBlame(
    TimePoint now, const std::vector<CrashSuspect>& suspects) {
  const Blame* blame = attribution_.FindBlame(now, suspects);
  if (blame != nullptr) LogVerdicts(now);
  return blame;
}

const Blame* SuspectExchange::FindCancelled(
    TimePoint now, const std::vector<CrashSuspect>& suspects) {
  const Blame* blame = attribution_.FindCancelled(now, suspects);
  if (blame != nullptr) LogVerdicts(now);
  return blame;
}

//==============================================================================
// Other VMs

void SuspectExchange::OnEvidence(TimePoint now, const VmId& vm,
                                 const CrashEvidence& evidence) {
  CrashAttribution::News news = attribution_.Merge(now, evidence);
  state_.log.Write(now, "crash_evidence",
                   {{"peer", vm.value()},
                    {"crashes", evidence.crashes.size()},
                    {"answered", evidence.answered.size()},
                    {"live", evidence.live.size()},
                    {"new", !IsEmpty(news.reported)}});
  Publish(now, std::move(news.contradicting));
  if (forwards_) Publish(now, std::move(news.reported));
}

void SuspectExchange::Publish(TimePoint now, CrashEvidence evidence) {
  if (IsEmpty(evidence)) return;
  if (IsEmpty(outbox_)) outbox_time_ = now;
  AddToAges(evidence, outbox_time_ - now);
  Append(outbox_, std::move(evidence));
}

void SuspectExchange::Exchange(TimePoint now, bool forwards, size_t linked,
                               const Sender& send_to_all) {
  forwards_ = forwards;
  ReportCancelledCalls(now);
  LogVerdicts(now);
  LogDropped(now);
  if (IsEmpty(outbox_) || !pace_.TryBegin(now, linked)) return;
  CrashEvidence evidence = std::exchange(outbox_, {});
  AddToAges(evidence, now - outbox_time_);
  for (const CrashEvidence& message : SplitEvidence(std::move(evidence))) {
    send_to_all(message);
  }
}

void SuspectExchange::LogDropped(TimePoint now) {
  const CrashAttribution::Dropped& dropped = attribution_.dropped();
  if (dropped == logged_dropped_) return;
  logged_dropped_ = dropped;
  state_.log.Write(
      now, "crash_evidence_dropped",
      {{"crashes", dropped.crashes}, {"suspects", dropped.suspects}});
  state_.metrics.Set("zr_gateway_dropped_crashes", {},
                     static_cast<double>(dropped.crashes));
  state_.metrics.Set("zr_gateway_dropped_suspects", {},
                     static_cast<double>(dropped.suspects));
}

void SuspectExchange::LogVerdicts(TimePoint now) {
  const std::set<Blame>& blames = attribution_.Blames(now);
  if (blames == logged_) return;
  const auto write = [&](const char* event, const Blame& blame) {
    const SuspectRecord record = SuspectRecord::Create(blame, state_.vm);
    LogFields suspects = LogFields::array();
    for (const Fingerprint suspect : blame) {
      if (suspects.size() == kMaxLoggedSuspects) break;
      suspects.push_back(ToHex(suspect));
    }
    state_.log.Write(now, event,
                     {{"suspect", ToHex(*blame.begin())},
                      {"any_of", std::move(suspects)},
                      {"suspects", blame.size()},
                      {"crashes", attribution_.CountCrashes(blame)},
                      {"evidence_age_ms",
                       attribution_.OldestCrash(now, blame).milliseconds()},
                      {"recorded", records_.contains(record.name)}});
  };
  for (const Blame& blame : blames) {
    if (!logged_.contains(blame)) write("suspect_blamed", blame);
  }
  for (const Blame& blame : logged_) {
    if (!blames.contains(blame)) write("suspect_cleared", blame);
  }
  logged_ = blames;
  const auto in_doubt =
      std::count_if(blames.begin(), blames.end(),
                    [](const Blame& blame) { return blame.size() > 1; });
  state_.metrics.Set("zr_gateway_blamed_suspects", {},
                     static_cast<double>(blames.size()));
  state_.metrics.Set("zr_gateway_blames_in_doubt", {},
                     static_cast<double>(in_doubt));
}

//==============================================================================
// Records in the store

void SuspectExchange::SetRecords(TimePoint now,
                                 const std::vector<StoreItem>& records,
                                 bool restored) {
  if (restored) records_.clear();
  std::set<std::string> removed;
  for (const auto& [name, record] : records_) removed.insert(name);
  for (const StoreItem& item : records) removed.erase(item.name);
  for (const std::string& name : removed) RemoveRecord(name);
  for (const StoreItem& item : records) {
    const auto blame = ReadSuspectRecord(item.name, item.value);
    if (restored && blame && removed_.contains(item.name)) {
      records_[item.name] = {*blame, item.version};  // to be removed again
      continue;
    }
    SetRecord(now, item);
  }
}

void SuspectExchange::SetRecord(TimePoint now, const StoreItem& record) {
  const auto blame = ReadSuspectRecord(record.name, record.value);
  if (!blame) {
    state_.log.Write(
        now, "entry_rejected",
        {{"name", record.name}, {"reason", "not a record of suspects"}});
    return;
  }
  records_[record.name] = {*blame, record.version};
  removed_.erase(record.name);
  attribution_.OnRecorded(now, *blame);
}

void SuspectExchange::RemoveRecord(const std::string& name) {
  if (const auto it = records_.find(name); it != records_.end()) {
    attribution_.OnRecordRemoved(it->second.blame);
    records_.erase(it);
  }
  if (removed_.size() >= kMaxRemoved) removed_.clear();
  removed_.insert(name);
}

bool SuspectExchange::IsNeeded(const StoredRecord& record,
                               const std::set<Blame>& blames) const {
  // VMs without evidence rely on the record until a narrower one is stored.
  return std::any_of(blames.begin(), blames.end(), [&](const Blame& blame) {
    if (blame == record.blame) return true;
    return std::includes(record.blame.begin(), record.blame.end(),
                         blame.begin(), blame.end()) &&
           !records_.contains(SuspectRecord::Create(blame, state_.vm).name);
  });
}

void SuspectExchange::UpdateRecords(TimePoint now, bool first,
                                    const RecordWriter& write) {
  const std::set<Blame>& blames = attribution_.Blames(now);
  if (blames.empty() && records_.empty()) return writes_.clear();
  std::map<std::string, PendingWrite> writes;
  const auto update = [&](const SuspectRecord& record, ObjectVersion expected,
                          bool remove) {
    const Duration lead =
        first
            ? Duration()
            : kWriterLead + Duration::Milliseconds(static_cast<int64_t>(
                                Hash64(record.name, Hash64(state_.vm.value())) %
                                kWriterSpreadMs));
    const auto known = writes_.find(record.name);
    PendingWrite& pending = writes[record.name];
    pending = known == writes_.end() ? PendingWrite{now + lead, kWritePeriod}
                                     : known->second;
    if (now < pending.due) return;
    pending.due = now + pending.period;
    pending.period = std::min(pending.period * 2, kMaxWritePeriod);
    write(record, expected, remove);
  };
  for (const Blame& blame : blames) {
    SuspectRecord record = SuspectRecord::Create(blame, state_.vm);
    if (!records_.contains(record.name)) update(record, {}, false);
  }
  for (const auto& [name, record] : records_) {
    if (!IsNeeded(record, blames)) update({name, ""}, record.version, true);
  }
  writes_ = std::move(writes);
}

}  // namespace zr
