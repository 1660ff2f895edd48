#include "zr_request/crash_verdict.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace zr {
namespace {

bool Contains(const std::vector<Fingerprint>& call, Fingerprint suspect) {
  return std::binary_search(call.begin(), call.end(), suspect);
}

class Judge {
 public:
  Judge(const std::map<Fingerprint, CrashCase>& cases,
        const std::vector<CrashedCalls>& crashes, const VerdictOptions& options)
      : crashes_(crashes), options_(options) {
    for (const auto& [fingerprint, item] : cases) {
      // Too few for a companion: these lack less than `min_separating` crashes.
      if (item.crashes.count() + options_.min_separating <=
          options_.min_crashes) {
        continue;
      }
      suspects_.emplace(fingerprint, Suspect{item, 0, 0});
    }
    for (const CrashedCalls& crash : crashes_) {
      for (const auto& call : crash.calls) {
        for (const Fingerprint fingerprint : call) {
          const auto it = suspects_.find(fingerprint);
          if (it != suspects_.end()) ++it->second.calls;
        }
      }
    }
    Recount();
  }

  CrashVerdict Run() {
    for (auto best = FindBest(); best; best = FindBest()) {
      const std::vector<Fingerprint> companions = ExplainingCompanions(*best);
      for (const Fingerprint companion : companions) BlameOne(companion);
      if (companions.empty()) BlameOne(*best);
    }
    RemoveSupersets(verdict_.blames);
    RemoveSupersets(verdict_.cancelled);
    return std::move(verdict_);
  }

 private:
  struct Suspect {
    CrashCase item;    // without the crashes that others explain
    size_t count = 0;  // of its crashes, simultaneous ones as one
    size_t calls = 0;
  };
  /** Calls of one suspect that crashed endpoints, by crash. */
  using CallsOfCrashes =
      std::map<size_t, std::vector<const std::vector<Fingerprint>*>>;

  size_t Count(const CrashSet& crashes) const {
    std::vector<TimePoint> times;
    for (size_t i = 0; i < crashes_.size(); ++i) {
      if (crashes.test(i)) times.push_back(crashes_[i].time);
    }
    return CountSeparate(times, options_.simultaneous);
  }

  void Recount() {
    for (auto& [fingerprint, suspect] : suspects_) {
      suspect.count = Count(suspect.item.crashes);
    }
    std::erase_if(suspects_,
                  [](const auto& item) { return item.second.count == 0; });
  }

  /** Blames the suspect, whose crashes then don't count against others. */
  void BlameOne(Fingerprint fingerprint) {
    const auto it = suspects_.find(fingerprint);
    if (it == suspects_.end() || it->second.count < options_.min_crashes) {
      return;
    }
    const Blame blame = WithCompanions(fingerprint);
    const std::vector<Fingerprint> rivals = RivalsOf(fingerprint, blame);
    for (const Fingerprint rival : rivals) {
      Blame cancelled = blame;
      cancelled.insert(rival);
      verdict_.cancelled.insert(std::move(cancelled));
    }
    if (rivals.empty()) verdict_.cancelled.insert(blame);
    verdict_.blames.insert(blame);
    const CrashSet explained = it->second.item.crashes;
    for (auto& [other, suspect] : suspects_) {
      suspect.item.crashes &= ~explained;
    }
    Recount();
  }

  /** What is blamed first: of two that explain as much, the one in fewer calls
   * costs less if the choice is wrong. */
  auto Rank(const Suspect& suspect) const {
    // Only the end of an answer clears a whole request, so sound requests that
    // are alike are suspects for longer than the parts of a prompt.
    const size_t lead =
        suspect.item.is_whole_request ? options_.min_separating - 1 : 0;
    return std::tuple(!suspect.item.answered_before, suspect.count - lead,
                      !suspect.item.is_whole_request,
                      -static_cast<int64_t>(suspect.calls));
  }

  std::optional<Fingerprint> FindBest() const {
    auto best = suspects_.end();
    for (auto it = suspects_.begin(); it != suspects_.end(); ++it) {
      if (it->second.count < options_.min_crashes) continue;
      if (best == suspects_.end() || Rank(it->second) > Rank(best->second)) {
        best = it;
      }
    }
    if (best == suspects_.end()) return std::nullopt;
    return best->first;
  }

  CallsOfCrashes CallsOf(Fingerprint fingerprint) const {
    CallsOfCrashes calls;
    const CrashSet& crashes = suspects_.at(fingerprint).item.crashes;
    for (size_t i = 0; i < crashes_.size(); ++i) {
      if (!crashes.test(i)) continue;
      for (const auto& call : crashes_[i].calls) {
        if (Contains(call, fingerprint)) calls[i].push_back(&call);
      }
    }
    return calls;
  }

  /** Crashes by suspects that were in one of these calls, too. */
  std::map<Fingerprint, CrashSet> SharedCrashes(
      Fingerprint of, const CallsOfCrashes& calls) const {
    std::map<Fingerprint, CrashSet> shared;
    for (const auto& [crash, broken] : calls) {
      for (const auto* call : broken) {
        for (const Fingerprint other : *call) {
          const auto it = suspects_.find(other);
          if (other == of || it == suspects_.end()) continue;
          if (it->second.item.crashes.test(crash)) shared[other].set(crash);
        }
      }
    }
    return shared;
  }

  /** Others that explain nearly all its crashes, each by calls with it, in the
   * order in which they are blamed; none if some are left. */
  std::vector<Fingerprint> ExplainingCompanions(Fingerprint fingerprint) const {
    const Suspect& suspect = suspects_.at(fingerprint);
    std::vector<Fingerprint> companions;
    CrashSet explained;
    for (const auto& [other, shared] :
         SharedCrashes(fingerprint, CallsOf(fingerprint))) {
      const Suspect& companion = suspects_.at(other);
      if (companion.count < suspect.count &&
          companion.item.answered_before <= suspect.item.answered_before &&
          Count(shared) >= options_.min_crashes &&
          !IsSeparate(companion.item.crashes & ~shared)) {
        companions.push_back(other);
        explained |= shared;
      }
    }
    if (IsSeparate(suspect.item.crashes & ~explained)) companions.clear();
    std::stable_sort(companions.begin(), companions.end(),
                     [this](Fingerprint a, Fingerprint b) {
                       return Rank(suspects_.at(a)) > Rank(suspects_.at(b));
                     });
    return companions;
  }

  bool IsSeparate(const CrashSet& without) const {
    return Count(without) >= options_.min_separating;
  }

  /** A blame that some call of nearly each crash contains. */
  Blame WithCompanions(Fingerprint fingerprint) const {
    CallsOfCrashes calls = CallsOf(fingerprint);
    const std::map<Fingerprint, CrashSet> shared =
        SharedCrashes(fingerprint, calls);
    std::vector<std::pair<size_t, Fingerprint>> companions;  // by crashes
    companions.reserve(shared.size());
    for (const auto& [other, crashes] : shared) {
      companions.emplace_back(Count(crashes), other);
    }
    std::sort(companions.rbegin(), companions.rend());
    const CrashSet& crashes = suspects_.at(fingerprint).item.crashes;
    Blame blame = {fingerprint};
    for (const auto& [count, companion] : companions) {
      CallsOfCrashes with_it;
      CrashSet covered;
      for (const auto& [crash, broken] : calls) {
        if (!shared.at(companion).test(crash)) continue;
        for (const auto* call : broken) {
          if (Contains(*call, companion)) with_it[crash].push_back(call);
        }
        if (with_it.contains(crash)) covered.set(crash);
      }
      const CrashSet without = crashes & ~covered;
      // A call that is repeated adds its request to several crashes.
      if (suspects_.at(companion).item.is_whole_request ? without.any()
                                                        : IsSeparate(without)) {
        continue;
      }
      blame.insert(companion);
      calls = std::move(with_it);
    }
    return blame;
  }

  /** Parts that may have caused several of the crashes as well. */
  std::vector<Fingerprint> RivalsOf(Fingerprint fingerprint,
                                    const Blame& blame) const {
    const Suspect& suspect = suspects_.at(fingerprint);
    std::vector<Fingerprint> rivals;
    for (const auto& [other, shared] :
         SharedCrashes(fingerprint, CallsOf(fingerprint))) {
      const CrashCase& item = suspects_.at(other).item;
      if (!blame.contains(other) && !item.is_whole_request &&
          item.answered_before <= suspect.item.answered_before &&
          IsSeparate(shared)) {
        rivals.push_back(other);
      }
    }
    return rivals;
  }

  const std::vector<CrashedCalls>& crashes_;
  const VerdictOptions& options_;
  std::map<Fingerprint, Suspect> suspects_;
  CrashVerdict verdict_;
};

}  // namespace

CrashVerdict JudgeCrashes(const std::map<Fingerprint, CrashCase>& cases,
                          const std::vector<CrashedCalls>& crashes,
                          const VerdictOptions& options) {
  return Judge(cases, crashes, options).Run();
}

size_t CountSeparate(const std::vector<TimePoint>& times,
                     Duration simultaneous) {
  size_t count = 0;
  TimePoint group_start;
  for (const TimePoint time : times) {
    if (count > 0 && time - group_start <= simultaneous) continue;
    group_start = time;
    ++count;
  }
  return count;
}

void RemoveSupersets(std::set<Blame>& blames) {
  std::erase_if(blames, [&](const Blame& blame) {
    return std::any_of(blames.begin(), blames.end(), [&](const Blame& other) {
      return other.size() < blame.size() &&
             std::includes(blame.begin(), blame.end(), other.begin(),
                           other.end());
    });
  });
}

}  // namespace zr
