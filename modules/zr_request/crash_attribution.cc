#include "zr_request/crash_attribution.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace zr {

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
    SuspectedCrash added{crash.endpoint, crash.boot, now - time, {}};
    added.suspects = AddCrash(time, crash);
    for (const CrashSuspect& suspect : added.suspects) {
      const TimePoint answered = LastAnswered(suspect.fingerprint);
      if (answered == TimePoint()) continue;
      answered_here[suspect.fingerprint] = answered;
    }
    if (!added.suspects.empty()) {
      news.reported.crashes.push_back(std::move(added));
    }
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

std::vector<CrashSuspect> CrashAttribution::AddCrash(
    TimePoint time, const SuspectedCrash& crash) {
  std::vector<CrashSuspect> added;
  const CrashKey key(crash.endpoint, crash.boot);
  auto [it, is_new] = crashes_.try_emplace(key);
  Crash& known = it->second;
  if (!is_new && time > known.time + options_.max_break_delay) return added;
  if (is_new || time < known.time) known.time = time;
  for (const CrashSuspect& suspect : crash.suspects) {
    if (known.suspects.size() >= options_.max_suspects) break;
    const TimePoint answered = LastAnswered(suspect.fingerprint);
    const Suspicion suspicion{suspect.specificity, answered > TimePoint(),
                              answered >= known.time};
    if (known.suspects.try_emplace(suspect.fingerprint, suspicion).second) {
      added.push_back(suspect);
    }
  }
  if (is_new && crashes_.size() > options_.max_crashes) {
    const auto oldest = std::min_element(crashes_.begin(), crashes_.end(),
                                         [](const auto& a, const auto& b) {
                                           return a.second.time < b.second.time;
                                         });
    if (oldest->first == key) added.clear();
    crashes_.erase(oldest);
  }
  next_expiry_ = std::min(next_expiry_, time + options_.retention);
  outdated_ = true;
  return added;
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

bool CrashAttribution::AddAnswered(TimePoint time, Fingerprint fingerprint) {
  Remember(time, fingerprint);
  bool matters = false;
  for (auto& [key, crash] : crashes_) {
    const auto it = crash.suspects.find(fingerprint);
    if (it == crash.suspects.end()) continue;
    Suspicion& suspicion = it->second;
    matters = !std::exchange(suspicion.answered_before, true) || matters;
    if (crash.time > time) continue;
    matters = !std::exchange(suspicion.cleared, true) || matters;
  }
  const auto record = records_.find(fingerprint);
  if (record != records_.end() && record->second.since <= time) {
    matters = !std::exchange(record->second.cleared, true) || matters;
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

CrashEvidence CrashAttribution::Snapshot(TimePoint now) const {
  CrashEvidence evidence;
  constexpr Duration kBefore = Duration::Microseconds(1);
  std::map<Fingerprint, TimePoint> cleared_until;  // by an answer
  std::map<Fingerprint, TimePoint> answered_before;
  for (const auto& [key, crash] : crashes_) {
    if (crash.dismissed) continue;
    SuspectedCrash item{key.first, key.second, now - crash.time, {}};
    for (const auto& [fingerprint, suspicion] : crash.suspects) {
      item.suspects.push_back({fingerprint, suspicion.specificity});
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
    evidence.crashes.push_back(std::move(item));
  }
  cleared_until.merge(answered_before);
  for (const auto& [fingerprint, time] : cleared_until) {
    evidence.answered.push_back({fingerprint, now - time});
  }
  return evidence;
}

void CrashAttribution::OnRecorded(TimePoint now, Fingerprint fingerprint) {
  if (!records_.try_emplace(fingerprint, Record{now, false}).second) return;
  next_expiry_ = std::min(next_expiry_, now + options_.retention);
  outdated_ = true;
}

void CrashAttribution::OnRecordRemoved(Fingerprint fingerprint) {
  if (records_.erase(fingerprint) > 0) outdated_ = true;
}

//==============================================================================
// Verdicts

size_t CrashAttribution::CountSeparate(std::vector<TimePoint> times) const {
  std::sort(times.begin(), times.end());
  size_t count = 0;
  TimePoint group_start;
  for (const TimePoint time : times) {
    if (count > 0 && time - group_start <= options_.simultaneous) continue;
    group_start = time;
    ++count;
  }
  return count;
}

std::vector<TimePoint> CrashAttribution::CrashTimes(
    Fingerprint fingerprint) const {
  std::vector<TimePoint> times;
  for (const auto& [key, crash] : crashes_) {
    const auto it = crash.suspects.find(fingerprint);
    if (it == crash.suspects.end()) continue;
    if (!crash.dismissed && !it->second.cleared) times.push_back(crash.time);
  }
  return times;
}

size_t CrashAttribution::CountCrashes(Fingerprint fingerprint) const {
  return CountSeparate(CrashTimes(fingerprint));
}

Duration CrashAttribution::OldestCrash(TimePoint now,
                                       Fingerprint fingerprint) const {
  const std::vector<TimePoint> times = CrashTimes(fingerprint);
  if (times.empty()) return Duration();
  return now - *std::min_element(times.begin(), times.end());
}

const std::set<Fingerprint>& CrashAttribution::Blamed(TimePoint now) {
  if (now >= next_expiry_) Expire(now);
  if (std::exchange(outdated_, false)) Revise();
  return blamed_;
}

std::map<Fingerprint, CrashAttribution::Case> CrashAttribution::CollectCases()
    const {
  std::map<Fingerprint, Case> cases;
  for (const auto& [key, crash] : crashes_) {
    for (const auto& [fingerprint, suspicion] : crash.suspects) {
      Case& suspected = cases[fingerprint];
      suspected.specificity = suspicion.specificity;
      suspected.answered_before =
          suspected.answered_before || suspicion.answered_before;
      ++suspected.appearances;
      if (crash.dismissed || suspicion.cleared) continue;
      suspected.crashes.emplace_back(crash.time, key);
    }
  }
  std::erase_if(cases, [this](const auto& item) {
    return item.second.appearances < options_.min_crashes;
  });
  return cases;
}

size_t CrashAttribution::CountUnexplained(const Case& suspected) const {
  std::vector<TimePoint> times;
  for (const auto& [time, key] : suspected.crashes) {
    if (!explained_.contains(key)) times.push_back(time);
  }
  return CountSeparate(std::move(times));
}

void CrashAttribution::Revise() {
  blamed_.clear();
  explained_.clear();
  std::map<Fingerprint, Case> cases = CollectCases();
  while (!cases.empty()) {
    auto best = cases.end();
    std::tuple<bool, size_t, uint32_t> best_rank;
    for (auto it = cases.begin(); it != cases.end(); ++it) {
      const Case& suspected = it->second;
      const size_t crashes = CountUnexplained(suspected);
      if (crashes < options_.min_crashes) continue;
      const std::tuple rank(!suspected.answered_before, crashes,
                            suspected.specificity);
      if (best != cases.end() && rank <= best_rank) continue;
      best = it;
      best_rank = rank;
    }
    if (best == cases.end()) break;
    for (const auto& [time, key] : best->second.crashes) {
      explained_.insert(key);
    }
    blamed_.insert(best->first);
    cases.erase(best);
  }
  // What is left has been a suspect as often and is not blamed, which says more
  // than a record that was made from less evidence.
  for (const auto& [fingerprint, record] : records_) {
    if (!record.cleared && !cases.contains(fingerprint)) {
      blamed_.insert(fingerprint);
    }
  }
}

void CrashAttribution::Expire(TimePoint now) {
  if (now < next_expiry_) return;
  std::erase_if(crashes_, [&](const auto& item) {
    return item.second.time + options_.retention <= now;
  });
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
