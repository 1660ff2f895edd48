#include "zr_request/crash_verdict.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace zr {
namespace {

using Call = std::vector<uint64_t>;

constexpr uint64_t kDeadly = 2;
constexpr uint64_t kNew = 3;    // sound, never answered so far
constexpr uint64_t kOther = 4;  // the same
constexpr uint64_t kUsual = 5;  // sound, answered before the crashes

/** Crashes one after the other, each with the calls that broke. */
CrashVerdict Judge(const std::vector<std::vector<Call>>& calls_of_crashes,
                   const std::set<uint64_t>& whole_requests = {}) {
  std::map<Fingerprint, CrashCase> cases;
  std::vector<CrashedCalls> crashes;
  for (const auto& calls : calls_of_crashes) {
    const auto number = crashes.size();
    CrashedCalls crash;
    crash.time = TimePoint::FromMicroseconds(1'000'000 *
                                             static_cast<int64_t>(number + 1));
    for (const Call& call : calls) {
      std::vector<Fingerprint> suspects;
      for (const uint64_t value : call) {
        const Fingerprint suspect(value);
        suspects.push_back(suspect);
        cases[suspect].crashes.set(number);
        cases[suspect].answered_before = value == kUsual;
        cases[suspect].is_whole_request = whole_requests.contains(value);
      }
      std::sort(suspects.begin(), suspects.end());
      crash.calls.push_back(std::move(suspects));
    }
    crashes.push_back(std::move(crash));
  }
  return JudgeCrashes(cases, crashes, VerdictOptions());
}

std::set<Blame> Blames(std::initializer_list<std::set<uint64_t>> values) {
  std::set<Blame> blames;
  for (const auto& suspects : values) {
    Blame blame;
    for (const uint64_t value : suspects) blame.insert(Fingerprint(value));
    blames.insert(std::move(blame));
  }
  return blames;
}

// Guards against sound prompts that are rejected for a part that only came
// together with the deadly one.
TEST_CASE("Suspects of the same requests are blamed together") {
  const std::vector<Call> both = {{kDeadly, kNew}};
  const std::vector<Call> deadly = {{kDeadly}};
  const std::vector<Call> sound = {{kNew}};
  REQUIRE(Judge({both, both}).blames.empty());
  REQUIRE(Judge({both, both, both}).blames == Blames({{kDeadly, kNew}}));
  SECTION("until two crashes of one without the other") {
    REQUIRE(Judge({both, both, both, deadly}).blames ==
            Blames({{kDeadly, kNew}}));
    REQUIRE(Judge({both, both, both, deadly, deadly}).blames ==
            Blames({{kDeadly}}));
  }
  SECTION("beside a crash that has nothing to do with them") {
    REQUIRE(Judge({both, both, sound}).blames == Blames({{kDeadly, kNew}}));
    REQUIRE(Judge({both, both, both, sound}).blames ==
            Blames({{kDeadly, kNew}}));
  }
  SECTION("if the deadly one comes with others, too") {
    const std::vector<Call> with_other = {{kDeadly, kOther}};
    REQUIRE(Judge({both, both, both, with_other, with_other}).blames ==
            Blames({{kDeadly}}));
    SECTION("which then explain its crashes as well") {
      REQUIRE(Judge({both, both, both, with_other, with_other, with_other})
                  .blames == Blames({{kDeadly, kNew}, {kDeadly, kOther}}));
    }
  }
  SECTION("with one that was answered before the crashes") {
    const std::vector<Call> usual = {{kUsual, kNew}};
    REQUIRE(Judge({usual, usual, usual}).blames == Blames({{kUsual, kNew}}));
  }
}

// Guards against parts of other prompts at the same endpoints that keep a
// deadly part from being blamed.
TEST_CASE("What merely shares endpoints is no companion") {
  const std::vector<Call> crash = {{kUsual, kDeadly}, {kUsual, kNew}, {kNew}};
  REQUIRE(Judge({crash, crash, crash}).blames == Blames({{kUsual, kDeadly}}));
  SECTION("and a wrong choice is corrected by the next crash") {
    const std::vector<Call> more_calls = {{kDeadly}, {kDeadly}, {kNew}};
    REQUIRE(Judge({more_calls, more_calls, more_calls}).blames ==
            Blames({{kNew}}));
    const std::vector<Call> deadly = {{kDeadly}};
    REQUIRE(Judge({more_calls, more_calls, more_calls, deadly}).blames ==
            Blames({{kDeadly}}));
  }
}

// Guards against sound requests that are alike and lead by one crash.
TEST_CASE("A part is blamed before a whole request unless two crashes differ") {
  constexpr uint64_t kRequest = 7;  // the fingerprint of several sound requests
  const std::vector<Call> both = {{kDeadly}, {kRequest}};
  const std::vector<Call> request = {{kRequest}};
  REQUIRE(Judge({both, both, both, request}, {kRequest}).blames ==
          Blames({{kDeadly}}));
  REQUIRE(Judge({both, both, both, request, request}, {kRequest}).blames ==
          Blames({{kRequest}}));
}

// Guards against the end of sound calls whose answers would show that the blame
// is wrong.
TEST_CASE("Calls in progress go on while other parts may be deadly") {
  const std::vector<Call> both = {{kDeadly, kNew}};
  const std::vector<Call> sound = {{kNew}};
  const CrashVerdict verdict = Judge({both, both, both, sound, sound});
  REQUIRE(verdict.blames == Blames({{kNew}}));
  REQUIRE(verdict.cancelled == Blames({{kDeadly, kNew}}));
  SECTION("and end if there are none") {
    const std::vector<Call> deadly = {{kUsual, kDeadly}};
    const std::vector<Call> alone = {{kDeadly}};
    REQUIRE(Judge({deadly, deadly, alone, alone}).cancelled ==
            Blames({{kDeadly}}));
  }
}

}  // namespace
}  // namespace zr
