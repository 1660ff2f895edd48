#include "standins/engine/batch_model.h"

#include <catch2/catch.hpp>
#include <cstdlib>

namespace zr {
namespace {

BatchRequest Request(const std::string& id, int64_t prompt_tokens,
                     int64_t max_tokens) {
  BatchRequest request;
  request.id = id;
  request.prompt = "prompt of " + id;
  request.prompt_tokens = prompt_tokens;
  request.max_tokens = max_tokens;
  return request;
}

EngineOptions WarmOptions() {
  EngineOptions options;
  options.start_warm = true;
  options.kv_capacity = 10'000;
  return options;
}

/** Runs steps until the model is idle. @returns the step of each stream's first
 * token */
std::map<std::string, int> RunUntilIdle(BatchModel& model, int max_steps) {
  std::map<std::string, int> first;
  for (int step = 1; model.HasWork() && step <= max_steps; ++step) {
    model.BeginStep();
    for (const auto& id : model.EndStep(0).advanced) {
      first.try_emplace(id, step);
    }
  }
  return first;
}

// Guards against KV memory that exceeds the capacity or is never freed, under
// random streams, cancellations, imports, exports and reader disconnects.
TEST_CASE("The batch model accounts for its KV memory") {
  const char* given = std::getenv("ZR_SEED");
  const uint64_t seed =
      given != nullptr ? std::strtoull(given, nullptr, 10) : 20'261;
  INFO("ZR_SEED=" << seed);
  Random random(seed);
  EngineOptions options = WarmOptions();
  options.unclaimed_window_ms = 500;
  BatchModel model(options, [](bool, uint64_t) {});
  int64_t now = 0;
  int accepted = 0;
  for (int i = 0; i < 20'000; ++i) {
    now += 10;
    const std::string id = std::to_string(random.Below(60));
    switch (random.Below(8)) {
      case 0:
      case 1: {
        auto request =
            Request(id, 1 + static_cast<int64_t>(random.Below(6'000)), 50);
        request.prompt = "shared " + std::to_string(random.Below(5));
        accepted +=
            model.Submit(request, now) == BatchModel::SubmitResult::kAccepted
                ? 1
                : 0;
        break;
      }
      case 2:
        model.Remove(id);
        break;
      case 3:
        model.Import(id, static_cast<int64_t>(random.Below(4'000)), now + 300);
        break;
      case 4:
        model.Export(id, id);
        model.RemoveHold(std::to_string(random.Below(60)), true);
        break;
      case 5:
        if (auto* stream = model.Find(id)) stream->unclaimed_since_ms = now;
        model.Expire(now);
        break;
      default:
        model.BeginStep();
        model.EndStep(now);
    }
    REQUIRE(model.kv_used() >= 0);
    REQUIRE(model.kv_used() <= options.kv_capacity);
  }
  CHECK(accepted > 100);
  CHECK(model.kv_peak() > options.kv_capacity / 2);
  for (int i = 0; i < 60; ++i) {
    model.Remove(std::to_string(i));
    model.RemoveHold(std::to_string(i), false);
    model.RemoveHold(std::to_string(i), true);
  }
  CHECK(model.kv_used() == 0);
}

// Guards against a cold engine that survives any load, which would hide a
// missing slow start in the daemon.
TEST_CASE("Requests beyond the allowance crash a cold engine") {
  EngineOptions options;
  options.fresh_requests = 2;
  options.warm_after = 4;
  options.max_requests = 6;
  BatchModel model(options, [](bool, uint64_t) {});
  CHECK(model.Submit(Request("a", 10, 2), 0) ==
        BatchModel::SubmitResult::kAccepted);
  CHECK(model.Submit(Request("b", 10, 2), 0) ==
        BatchModel::SubmitResult::kAccepted);
  SECTION("immediately after the start") {
    CHECK(model.Submit(Request("c", 10, 2), 0) ==
          BatchModel::SubmitResult::kOverrun);
    CHECK(model.overruns() == 1);
  }
  SECTION("but the allowance grows with completed requests") {
    RunUntilIdle(model, 100);
    CHECK(model.Allowance() == 4);
    for (int i = 0; i < 4; ++i) {
      CHECK(model.Submit(Request(std::to_string(i), 10, 2), 0) ==
            BatchModel::SubmitResult::kAccepted);
    }
    CHECK(model.Submit(Request("x", 10, 2), 0) ==
          BatchModel::SubmitResult::kOverrun);
  }
  SECTION("but not in the grace period after a silent cold start") {
    model.MakeCold(1'000);
    CHECK(model.Submit(Request("c", 10, 2), 999) ==
          BatchModel::SubmitResult::kAccepted);
    CHECK(model.Submit(Request("d", 10, 2), 1'000) ==
          BatchModel::SubmitResult::kOverrun);
  }
}

// Guards against a batch model in which long prompts do not delay other
// requests, which would hide head-of-line blocking in experiments.
TEST_CASE("Prefill follows the order of priority and arrival") {
  EngineOptions options = WarmOptions();
  options.step_prefill_tokens = 100;
  BatchModel model(options, [](bool, uint64_t) {});
  model.Submit(Request("long", 1'000, 5), 0);
  SECTION("a later short prompt waits for a long one") {
    model.Submit(Request("short", 10, 5), 0);
    auto first = RunUntilIdle(model, 100);
    CHECK(first["long"] == 10);
    CHECK(first["short"] == 11);
  }
  SECTION("a short prompt of higher priority overtakes a long one") {
    auto request = Request("short", 10, 5);
    request.priority = 1;
    model.Submit(request, 0);
    auto first = RunUntilIdle(model, 100);
    CHECK(first["short"] == 1);
    CHECK(first["long"] == 11);
  }
  SECTION("a cached prefix is not prefilled again") {
    RunUntilIdle(model, 100);
    auto again = Request("long again", 1'000, 5);
    again.prompt = "prompt of long";
    model.Submit(again, 0);
    auto first = RunUntilIdle(model, 100);
    CHECK(first["long again"] == 3);
  }
}

}  // namespace
}  // namespace zr
