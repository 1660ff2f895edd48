#include <catch2/catch.hpp>

#include "zr_records/zr_records.h"

namespace zr {
namespace {

OperationRecord SampleRecord(RecordState state) {
  OperationRecord record;
  record.state = state;
  record.attempt = AttemptId{VmId("vm1"), Incarnation(5), ~0ULL};
  record.fingerprint = Fingerprint(9);
  record.team = TeamId("team");
  record.service = "register";
  record.key = "key";
  record.updated_unix_ms = 1'000'000;
  return record;
}

// Guards against two operations that share one record name.
TEST_CASE("Operation names are unique") {
  const auto name = [](const char* team, const char* service, const char* key) {
    return OperationName(TeamId(team), service, key);
  };
  REQUIRE(name("a", "b.c", "d") != name("a", "b", "c.d"));
  REQUIRE(name("a", "b", "_2e") != name("a", "b", "."));
  REQUIRE_FALSE(name("a", "b", ""));
  REQUIRE_FALSE(name("a", "b", "line\nbreak"));
  REQUIRE_FALSE(OperationName(TeamId("a"), "b", std::string(257, 'x')));
}

// Guards against a stored outcome that differs from the service's response.
TEST_CASE("The record codec") {
  OperationRecord record = SampleRecord(RecordState::kDone);
  Random random(1);
  for (size_t size = 0; size < 70; ++size) {
    std::string body;
    for (size_t i = 0; i < size; ++i) body += static_cast<char>(random.Next());
    record.outcome =
        ServiceOutcome{200, "application/octet-stream", "ab", body, true};
    REQUIRE(RecordCodec::Decode(RecordCodec::Encode(record)) == record);
  }
  SECTION("holds the largest inline body") {
    record.outcome->body = std::string(kMaxInlineBody, '\xff');
    const std::string text = RecordCodec::Encode(record);
    REQUIRE(text.size() <= RecordCodec::kMaxBytes);
    REQUIRE(RecordCodec::Decode(text) == record);
  }
  SECTION("rejects truncated, oversized and unknown input") {
    const std::string text = RecordCodec::Encode(record);
    for (size_t i = 0; i < text.size(); ++i) {
      REQUIRE_FALSE(RecordCodec::Decode(text.substr(0, i)));
    }
    REQUIRE_FALSE(RecordCodec::Decode(std::string(100'000, '[')));
    REQUIRE_FALSE(
        RecordCodec::Decode(std::string(RecordCodec::kMaxBytes + 1, ' ')));
    std::string other = text;
    other.replace(other.find("\"format\":1"), 10, "\"format\":2");
    REQUIRE_FALSE(RecordCodec::Decode(other));
  }
}

// Guards against a repeated call that runs again because its record was deleted
// too early.
TEST_CASE("The retention sweeper") {
  RetentionOptions options;
  options.page_size = 2;
  options.calls_per_second = 1;
  const int64_t day = 24 * 3600 * 1000;
  TimePoint now = TimePoint::FromMicroseconds(0);
  RetentionSweeper sweeper(options, now);

  SECTION("deletes only records whose calls can no longer be repeated") {
    for (const RecordState state :
         {RecordState::kClaimed, RecordState::kDone, RecordState::kReleased}) {
      const OperationRecord record = SampleRecord(state);
      REQUIRE(DecideRetention(record, 1'000'000 + day, options) ==
              RetentionDecision::kKeep);
      REQUIRE(DecideRetention(record, 1'000'000 + day + day / 8, options) ==
              RetentionDecision::kDelete);
    }
    const OperationRecord record = SampleRecord(RecordState::kDispatched);
    REQUIRE(DecideRetention(record, 1'000'000 + 6 * day, options) ==
            RetentionDecision::kReport);
    REQUIRE(DecideRetention(record, 1'000'000 + 8 * day, options) ==
            RetentionDecision::kDelete);
  }
  SECTION("lists pages within its rate limit and continues after an error") {
    const int64_t unix_ms = 1'000'000 + 2 * day;
    const SweepItem old{"b", ObjectVersion(4),
                        SampleRecord(RecordState::kDone)};
    const SweepItem odd{"c", ObjectVersion(5), std::nullopt};
    std::vector<std::string> trace;
    int calls = 0;
    for (int step = 0;
         step < 200 && sweeper.NextWakeup() < now + options.sweep_interval;
         ++step) {
      now = std::max(now, sweeper.NextWakeup());
      auto actions = sweeper.Handle(SweepTick{}, now, unix_ms);
      while (!actions.empty()) {
        const SweepAction action = actions.back();
        actions.clear();
        if (const auto* list = std::get_if<SweepList>(&action)) {
          trace.push_back("list " + list->after);
          SweepPage page{++calls != 2, {}};
          if (page.ok && list->after.empty()) page.items = {old, odd};
          actions = sweeper.Handle(page, now, unix_ms);
        } else if (const auto* erase = std::get_if<SweepDelete>(&action)) {
          REQUIRE(erase->version == ObjectVersion(4));
          trace.push_back("delete " + erase->name);
          actions = sweeper.Handle(SweepDeleteReply{}, now, unix_ms);
        } else {
          trace.push_back("report " + std::get<SweepReport>(action).name);
        }
      }
    }
    REQUIRE(trace == std::vector<std::string>{"list ", "report c", "delete b",
                                              "list c", "list c"});
    REQUIRE(now >= TimePoint::FromMicroseconds(0) + options.retry_delay);
  }
}

// Guards against a burst of record calls that delays configuration or the
// lease.
TEST_CASE("The store budget isolates purposes") {
  StoreBudgetOptions options;
  StoreBudget budget(options);
  budget.SetVmCount(16);
  const TimePoint now = TimePoint::FromMicroseconds(0);
  int writes = 0;
  while (budget.TryAcquireWrite(StorePurpose::kRecords, now)) ++writes;
  REQUIRE(writes == 18);  // 240 / 16 * 0.6 a second for 2 s
  REQUIRE(budget.refused(StorePurpose::kRecords) == 1);
  REQUIRE(budget.TryAcquireWrite(StorePurpose::kLease, now));
  int watches = 0;
  while (budget.TryAcquireWatch(StorePurpose::kConfig, now)) ++watches;
  REQUIRE(watches == 30);
  REQUIRE_FALSE(budget.TryAcquireRead(StorePurpose::kConfig, now));
  REQUIRE(budget.TimeUntilRead(StorePurpose::kConfig, now) <
          Duration::Milliseconds(100));
}

}  // namespace
}  // namespace zr
