#include "zr_request/crash_attribution.h"

#include <algorithm>
#include <iterator>

namespace zr {
namespace {

// Suspects and answers in a message between VMs; some 16 bytes each.
constexpr size_t kMaxMessageItems = 16'384;

/** A blame of which all suspects are in the list, or null. */
const Blame* FindContained(const std::set<Blame>& blames,
                           const std::vector<CrashSuspect>& suspects) {
  for (const Blame& blame : blames) {
    const bool has_all =
        std::all_of(blame.begin(), blame.end(), [&](Fingerprint fingerprint) {
          return std::any_of(suspects.begin(), suspects.end(),
                             [&](const CrashSuspect& suspect) {
                               return suspect.fingerprint == fingerprint;
                             });
        });
    if (has_all) return &blame;
  }
  return nullptr;
}

}  // namespace

CrashAttribution::News CrashAttribution::Merge(TimePoint now,
                                               const CrashEvidence& evidence) {
  Expire(now);
  News news;
  const auto time_of = [now](Duration age) {
    return now - std::max(age, Duration());
  };
  std::map<Fingerprint, TimePoint> answered_here;
  for (const SuspectedCrash& crash : evidence.crashes) {
    if (crash.age >= options_.retention) continue;
    const TimePoint time = time_of(crash.age);
    if (!AddCrash(time, crash)) continue;
    for (const CrashSuspect& suspect : crash.suspects) {
      const TimePoint answered = LastAnswered(suspect.fingerprint);
      if (answered == TimePoint()) continue;
      answered_here[suspect.fingerprint] = answered;
    }
    news.reported.crashes.push_back(
        {crash.endpoint, crash.boot, now - time, crash.suspects});
  }
  for (const auto& [fingerprint, time] : answered_here) {
    news.contradicting.answered.push_back({fingerprint, now - time});
  }
  for (const AnsweredSuspect& answered : evidence.answered) {
    if (AddAnswered(time_of(answered.age), answered.fingerprint)) {
      news.reported.answered.push_back(answered);
    }
  }
  for (const LiveEndpoint& live : evidence.live) {
    if (AddAlive(time_of(live.age), {live.endpoint, live.boot})) {
      news.reported.live.push_back(live);
    }
  }
  return news;
}

std::vector<CrashSuspect> CrashAttribution::SelectSuspects(
    const std::vector<CrashSuspect>& suspects) const {
  std::vector<TimePoint> answered;
  for (const CrashSuspect& suspect : suspects) {
    const TimePoint time = LastAnswered(suspect.fingerprint);
    if (time > TimePoint()) answered.push_back(time);
  }
  if (answered.size() <= options_.max_answered_suspects) return suspects;
  const auto limit = answered.begin() + static_cast<std::ptrdiff_t>(
                                            options_.max_answered_suspects);
  std::nth_element(answered.begin(), limit, answered.end());
  // Of those that were answered at the limit, some fit.
  auto left = limit - answered.begin() -
              std::count_if(answered.begin(), limit,
                            [&](TimePoint time) { return time < *limit; });
  std::vector<CrashSuspect> selected;
  for (const CrashSuspect& suspect : suspects) {
    const TimePoint time = LastAnswered(suspect.fingerprint);
    if (time > *limit || (time == *limit && left-- <= 0)) continue;
    selected.push_back(suspect);
  }
  return selected;
}

bool CrashAttribution::AddCrash(TimePoint time, const SuspectedCrash& crash) {
  const CrashKey key(crash.endpoint, crash.boot);
  auto [it, is_new] = crashes_.try_emplace(key);
  Crash& known = it->second;
  if (!is_new && time > known.time + options_.max_break_delay) return false;
  if (is_new || time < known.time) known.time = time;
  std::vector<Fingerprint> call;
  size_t added_bytes = 0;
  for (const CrashSuspect& suspect : crash.suspects) {
    const TimePoint answered = LastAnswered(suspect.fingerprint);
    if (!known.suspects.contains(suspect.fingerprint)) {
      if (known.suspects.size() >= options_.max_suspects) {
        ++dropped_.suspects;
        continue;
      }
      known.suspects[suspect.fingerprint] = {
          suspect.IsWholeRequest(), suspect.specificity, answered > TimePoint(),
          answered >= known.time};
      added_bytes += kSuspectBytes;
      open_.insert(suspect.fingerprint);
    }
    call.push_back(suspect.fingerprint);
  }
  std::sort(call.begin(), call.end());
  const size_t mentions = call.size();
  const bool is_news = known.calls.insert(std::move(call)).second;
  if (is_news) added_bytes += mentions * kMentionBytes;
  known.bytes += added_bytes;
  bytes_ += added_bytes;
  next_expiry_ = std::min(next_expiry_, time + options_.retention);
  outdated_ = true;
  return DropExcess(key) && is_news;
}

void CrashAttribution::DropCrash(std::map<CrashKey, Crash>::iterator crash) {
  bytes_ -= crash->second.bytes;
  crashes_.erase(crash);
}

void CrashAttribution::IndexOpen() {
  open_.clear();
  for (const auto& [key, crash] : crashes_) {
    for (const auto& [fingerprint, suspicion] : crash.suspects) {
      if (!suspicion.cleared) open_.insert(fingerprint);
    }
  }
}

bool CrashAttribution::DropExcess(const CrashKey& added) {
  while (crashes_.size() > options_.max_crashes ||
         (bytes_ > options_.max_bytes && crashes_.size() > 1)) {
    ++dropped_.crashes;
    DropCrash(LeastCrash());
  }
  // The index still has the suspects of dropped crashes.
  if (open_.size() > 2 * options_.max_bytes / kSuspectBytes) IndexOpen();
  return crashes_.contains(added);
}

std::map<CrashAttribution::CrashKey, CrashAttribution::Crash>::iterator
CrashAttribution::LeastCrash() {
  // Of simultaneous crashes, as of a lost failure domain, two are as much
  // evidence as all of them.
  constexpr size_t kMinCrowd = 3;
  const auto is_crowded = [this](const Crash& crash) {
    const auto count =
        std::count_if(crashes_.begin(), crashes_.end(), [&](const auto& other) {
          const Duration distance = other.second.time - crash.time;
          return distance <= options_.verdict.simultaneous &&
                 Duration() - distance <= options_.verdict.simultaneous;
        });
    return static_cast<size_t>(count) >= kMinCrowd;
  };
  auto least = crashes_.begin();
  bool least_is_crowded = is_crowded(least->second);
  for (auto it = std::next(least); it != crashes_.end(); ++it) {
    const bool crowded = is_crowded(it->second);
    if (crowded < least_is_crowded) continue;
    if (crowded == least_is_crowded && it->second.time >= least->second.time) {
      continue;
    }
    least = it;
    least_is_crowded = crowded;
  }
  return least;
}

void CrashAttribution::Remember(TimePoint time, Fingerprint fingerprint) {
  if (answered_.size() >= options_.max_answered / 2) {
    answered_before_ = std::exchange(answered_, {});
  }
  TimePoint& last = answered_[fingerprint];
  last = std::max(last, time);
}

TimePoint CrashAttribution::LastAnswered(Fingerprint fingerprint) const {
  for (const auto* times : {&answered_, &answered_before_}) {
    const auto it = times->find(fingerprint);
    if (it != times->end()) return it->second;
  }
  return TimePoint();
}

bool CrashAttribution::ClearOfCrashes(TimePoint time, Fingerprint fingerprint) {
  if (!open_.contains(fingerprint)) return false;
  bool matters = false;
  bool is_open = false;
  for (auto& [key, crash] : crashes_) {
    const auto it = crash.suspects.find(fingerprint);
    if (it == crash.suspects.end()) continue;
    Suspicion& suspicion = it->second;
    matters = !std::exchange(suspicion.answered_before, true) || matters;
    if (crash.time <= time) {
      matters = !std::exchange(suspicion.cleared, true) || matters;
    }
    is_open = is_open || !suspicion.cleared;
  }
  if (!is_open) open_.erase(fingerprint);
  return matters;
}

bool CrashAttribution::AddAnswered(TimePoint time, Fingerprint fingerprint) {
  Remember(time, fingerprint);
  bool matters = ClearOfCrashes(time, fingerprint);
  for (auto& [blame, record] : records_) {
    if (record.since > time || !blame.contains(fingerprint)) continue;
    matters = record.cleared.insert(fingerprint).second || matters;
  }
  outdated_ = outdated_ || matters;
  return matters;
}

bool CrashAttribution::AddAlive(TimePoint time, const CrashKey& key) {
  const auto it = crashes_.find(key);
  if (it == crashes_.end() || it->second.dismissed) return false;
  const Duration delay = time - it->second.time;
  if (delay < options_.min_alive_delay || delay > options_.max_alive_delay) {
    return false;
  }
  it->second.dismissed = true;
  outdated_ = true;
  return true;
}

CrashEvidence CrashAttribution::OnAnswered(
    TimePoint now, const std::vector<CrashSuspect>& suspects) {
  CrashEvidence news;
  for (const CrashSuspect& suspect : suspects) {
    if (AddAnswered(now, suspect.fingerprint)) {
      news.answered.push_back({suspect.fingerprint, Duration()});
    }
  }
  return news;
}

CrashEvidence CrashAttribution::OnAlive(TimePoint now,
                                        const EndpointId& endpoint,
                                        BootNumber boot) {
  CrashEvidence news;
  if (!crashes_.empty() && AddAlive(now, {endpoint, boot})) {
    news.live.push_back({endpoint, boot, Duration()});
  }
  return news;
}

std::optional<TimePoint> CrashAttribution::CrashTime(const EndpointId& endpoint,
                                                     BootNumber boot) const {
  const auto it = crashes_.find({endpoint, boot});
  if (it == crashes_.end()) return std::nullopt;
  return it->second.time;
}

CrashEvidence CrashAttribution::Snapshot(TimePoint now) const {
  CrashEvidence evidence;
  constexpr Duration kBefore = Duration::Microseconds(1);
  std::map<Fingerprint, TimePoint> cleared_until;  // by an answer
  std::map<Fingerprint, TimePoint> answered_before;
  for (const auto& [key, crash] : crashes_) {
    if (crash.dismissed) continue;
    for (const auto& call : crash.calls) {
      SuspectedCrash item{key.first, key.second, now - crash.time, {}};
      for (const Fingerprint fingerprint : call) {
        item.suspects.push_back(
            {fingerprint, crash.suspects.at(fingerprint).specificity});
      }
      evidence.crashes.push_back(std::move(item));
    }
    for (const auto& [fingerprint, suspicion] : crash.suspects) {
      if (suspicion.cleared) {
        TimePoint& last = cleared_until[fingerprint];
        last = std::max(last, crash.time);
      } else if (suspicion.answered_before) {
        // An answer in between would have cleared the earlier crashes.
        TimePoint& first =
            answered_before.try_emplace(fingerprint, TimePoint::Max())
                .first->second;
        first = std::min(first, crash.time - kBefore);
      }
    }
  }
  cleared_until.merge(answered_before);
  for (const auto& [fingerprint, time] : cleared_until) {
    evidence.answered.push_back({fingerprint, now - time});
  }
  return evidence;
}

void CrashAttribution::OnRecorded(TimePoint now, const Blame& blame) {
  if (!records_.try_emplace(blame, Record{now, {}}).second) return;
  next_expiry_ = std::min(next_expiry_, now + options_.retention);
  outdated_ = true;
}

void CrashAttribution::OnRecordRemoved(const Blame& blame) {
  if (records_.erase(blame) > 0) outdated_ = true;
}

//==============================================================================
// Verdicts

std::vector<TimePoint> CrashAttribution::CrashTimes(const Blame& blame) const {
  std::vector<TimePoint> times;
  for (const auto& [key, crash] : crashes_) {
    const bool counts = std::any_of(
        blame.begin(), blame.end(), [&crash = crash](Fingerprint fingerprint) {
          const auto it = crash.suspects.find(fingerprint);
          return it != crash.suspects.end() && !it->second.cleared;
        });
    if (counts && !crash.dismissed) times.push_back(crash.time);
  }
  std::sort(times.begin(), times.end());
  return times;
}

size_t CrashAttribution::CountCrashes(const Blame& blame) const {
  return CountSeparate(CrashTimes(blame), options_.verdict.simultaneous);
}

Duration CrashAttribution::OldestCrash(TimePoint now,
                                       const Blame& blame) const {
  const std::vector<TimePoint> times = CrashTimes(blame);
  return times.empty() ? Duration() : now - times.front();
}

const std::set<Blame>& CrashAttribution::Blames(TimePoint now) {
  if (now >= next_expiry_) Expire(now);
  if (std::exchange(outdated_, false)) Revise();
  return verdict_.blames;
}

const Blame* CrashAttribution::FindBlame(
    TimePoint now, const std::vector<CrashSuspect>& suspects) {
  return FindContained(Blames(now), suspects);
}

const Blame* CrashAttribution::FindCancelled(
    TimePoint now, const std::vector<CrashSuspect>& suspects) {
  return Blames(now).empty() ? nullptr
                             : FindContained(verdict_.cancelled, suspects);
}

CrashVerdict CrashAttribution::JudgeEvidence() const {
  std::vector<const Crash*> crashes;
  for (const auto& [key, crash] : crashes_) {
    if (!crash.dismissed) crashes.push_back(&crash);
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const Crash* a, const Crash* b) { return a->time < b->time; });
  std::vector<CrashedCalls> broken;
  std::map<Fingerprint, CrashCase> cases;
  for (const Crash* crash : crashes) {
    for (const auto& [fingerprint, suspicion] : crash->suspects) {
      CrashCase& item = cases[fingerprint];
      item.is_whole_request = suspicion.is_whole_request;
      item.answered_before = item.answered_before || suspicion.answered_before;
      if (!suspicion.cleared) item.crashes.set(broken.size());
    }
    broken.push_back({crash->time, {crash->calls.begin(), crash->calls.end()}});
  }
  return JudgeCrashes(cases, broken, options_.verdict);
}

size_t CrashAttribution::CountAppearances(Fingerprint fingerprint) const {
  return static_cast<size_t>(std::count_if(
      crashes_.begin(), crashes_.end(), [fingerprint](const auto& item) {
        return item.second.suspects.contains(fingerprint);
      }));
}

bool CrashAttribution::WasAnsweredSince(Fingerprint fingerprint) const {
  bool is_known = false;
  for (const auto& [key, crash] : crashes_) {
    const auto it = crash.suspects.find(fingerprint);
    if (it == crash.suspects.end() || crash.dismissed) continue;
    if (!it->second.cleared) return false;
    is_known = true;
  }
  return is_known;
}

bool CrashAttribution::IsOverruled(const Blame& recorded) const {
  const bool is_confirmed = std::any_of(
      verdict_.blames.begin(), verdict_.blames.end(), [&](const Blame& blame) {
        return std::includes(blame.begin(), blame.end(), recorded.begin(),
                             recorded.end());
      });
  if (is_confirmed) return false;
  // A blame has one suspect of enough crashes; its companions may lack some.
  const VerdictOptions& verdict = options_.verdict;
  size_t most = 0;
  size_t fewest = SIZE_MAX;
  for (const Fingerprint fingerprint : recorded) {
    const size_t appearances = CountAppearances(fingerprint);
    most = std::max(most, appearances);
    fewest = std::min(fewest, appearances);
  }
  return most >= verdict.min_crashes &&
         fewest + verdict.min_separating > verdict.min_crashes;
}

void CrashAttribution::Revise() {
  ++verdicts_;
  verdict_ = JudgeEvidence();
  std::set<Blame> recorded;
  for (const auto& [blame, record] : records_) {
    Blame suspects;
    for (const Fingerprint fingerprint : blame) {
      if (!record.cleared.contains(fingerprint) &&
          !WasAnsweredSince(fingerprint)) {
        suspects.insert(fingerprint);
      }
    }
    // Suspects of as many crashes that are not blamed say more than a record
    // that was made from less evidence.
    if (!suspects.empty() && !IsOverruled(suspects)) {
      recorded.insert(std::move(suspects));
    }
  }
  for (std::set<Blame>* blames : {&verdict_.blames, &verdict_.cancelled}) {
    blames->insert(recorded.begin(), recorded.end());
    RemoveSupersets(*blames);
  }
}

void CrashAttribution::Expire(TimePoint now) {
  if (now < next_expiry_) return;
  for (auto it = crashes_.begin(); it != crashes_.end();) {
    const auto crash = it++;
    if (crash->second.time + options_.retention <= now) DropCrash(crash);
  }
  IndexOpen();
  std::erase_if(records_, [&](const auto& item) {
    return item.second.since + options_.retention <= now;
  });
  next_expiry_ = TimePoint::Max();
  for (const auto& [key, crash] : crashes_) {
    next_expiry_ = std::min(next_expiry_, crash.time + options_.retention);
  }
  for (const auto& [fingerprint, record] : records_) {
    next_expiry_ = std::min(next_expiry_, record.since + options_.retention);
  }
  outdated_ = true;
}

std::vector<CrashSuspect> PartsOf(const std::vector<CrashSuspect>& suspects) {
  std::vector<CrashSuspect> parts;
  std::copy_if(suspects.begin(), suspects.end(), std::back_inserter(parts),
               [](const CrashSuspect& s) { return !s.IsWholeRequest(); });
  return parts;
}

std::vector<CrashSuspect> WholeRequestOf(
    const std::vector<CrashSuspect>& suspects) {
  std::vector<CrashSuspect> whole;
  std::copy_if(suspects.begin(), suspects.end(), std::back_inserter(whole),
               [](const CrashSuspect& s) { return s.IsWholeRequest(); });
  return whole;
}

std::vector<CrashEvidence> SplitEvidence(CrashEvidence evidence) {
  std::vector<CrashEvidence> messages;
  size_t items = kMaxMessageItems;
  const auto message_for = [&](size_t more) -> CrashEvidence& {
    if (items + more > kMaxMessageItems) {
      messages.emplace_back();
      items = 0;
    }
    items += more;
    return messages.back();
  };
  for (SuspectedCrash& crash : evidence.crashes) {
    const size_t more = crash.suspects.size() + 1;
    message_for(more).crashes.push_back(std::move(crash));
  }
  for (const AnsweredSuspect& answered : evidence.answered) {
    message_for(1).answered.push_back(answered);
  }
  for (LiveEndpoint& live : evidence.live) {
    message_for(1).live.push_back(std::move(live));
  }
  return messages;
}

bool IsEmpty(const CrashEvidence& evidence) {
  return evidence.crashes.empty() && evidence.answered.empty() &&
         evidence.live.empty();
}

void Append(CrashEvidence& evidence, CrashEvidence more) {
  const auto move_all = [](auto& to, auto& from) {
    to.insert(to.end(), std::make_move_iterator(from.begin()),
              std::make_move_iterator(from.end()));
  };
  move_all(evidence.crashes, more.crashes);
  move_all(evidence.answered, more.answered);
  move_all(evidence.live, more.live);
}

}  // namespace zr
