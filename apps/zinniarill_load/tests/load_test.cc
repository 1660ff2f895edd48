#include <asio/executor_work_guard.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <thread>

#include "standins/engine/engine.h"
#include "standins/service/plain_service.h"
#include "zinniarill_load/load_compare.h"
#include "zinniarill_load/load_plan.h"
#include "zinniarill_load/load_runner.h"

namespace zr {
namespace {

constexpr char kScenario[] = R"(
[load]
seconds = 2
model = m
score = weighted
rates = 0:20, 1:60
[team large]
key = k1
share = 3
[team small]
key = k2
[class lookup]
share = 3
prompt_tokens = 0.98:100-1000, 0.02:100000-1000000
answer_tokens = 3-5
deadline_ms = 60000
[class approval]
kind = service
path = /services/termbank/approve
once = true
weight = 5
team = small
deadline_ms = 60000
)";

std::string FreeAddress() {
  asio::io_context context;
  asio::ip::tcp::acceptor acceptor(context,
                                   {asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// Guards against figures that change with the order of samples or threads, or
// that drift from the true quantile by more than a bucket.
TEST_CASE("Histogram quantiles are within a bucket of the truth") {
  LoadHistogram whole;
  LoadHistogram odd;
  LoadHistogram even;
  for (int ms = 1; ms <= 10'000; ++ms) {
    whole.Add(Duration::Milliseconds(ms));
    (ms % 2 == 0 ? even : odd).Add(Duration::Milliseconds(ms));
  }
  even.Merge(odd);
  for (double q : {0.5, 0.95, 0.99}) {
    CHECK(whole.QuantileMs(q) == Approx(10'000 * q).epsilon(0.033));
    CHECK(whole.QuantileMs(q) == even.QuantileMs(q));
    CHECK(LoadHistogram::FromJson(whole.ToJson()).QuantileMs(q) ==
          whole.QuantileMs(q));
  }
  CHECK(whole.QuantileMs(1) == 10'000);
}

// Guards against a run that cannot be repeated from its seed, and against
// arrivals that do not follow the scenario's rate.
TEST_CASE("A plan follows its scenario and seed") {
  auto scenario = LoadScenario::Parse(kScenario, "test");
  REQUIRE(scenario);
  scenario->length = Duration::Seconds(200);
  scenario->rates[1].from = Duration::Seconds(100);
  const auto plan = MakePlan(*scenario, 7, "r");
  const auto again = MakePlan(*scenario, 7, "r");
  REQUIRE(plan.size() == again.size());
  double early = 0;
  double approvals = 0;
  for (size_t i = 0; i < plan.size(); ++i) {
    REQUIRE(plan[i].at == again[i].at);
    REQUIRE(plan[i].prompt == again[i].prompt);
    if (plan[i].at < Duration::Seconds(100)) ++early;
    if (plan[i].class_index != 1) continue;
    ++approvals;
    CHECK(plan[i].team_index == 1);
  }
  // Bounds are six standard deviations of the expected counts.
  CHECK(early == Approx(2'000).margin(6 * 45));
  CHECK(static_cast<double>(plan.size()) == Approx(8'000).margin(6 * 90));
  CHECK(approvals / static_cast<double>(plan.size()) ==
        Approx(0.25).margin(0.03));
}

// Guards against a misread scenario that runs something else than was meant.
TEST_CASE("A faulty scenario is refused with its line") {
  for (const char* text :
       {"[load]\nrates = x\n[class a]\n", "[load]\nrats = 0:1\n",
        "[load]\nrates = 0:1\n[class a]\nprompt_tokens = 9-3\n"}) {
    INFO(text);
    auto scenario = LoadScenario::Parse(text, "f");
    REQUIRE_FALSE(scenario);
    CHECK(scenario.error().peer.find("f:") == 0);
  }
}

// Guards against results that hide wrong answers, doubled operations and
// false refusals.
TEST_CASE("Outcomes are judged by what the stand-ins did") {
  asio::io_context context;
  auto work = asio::make_work_guard(context);
  EngineOptions engine_options;
  engine_options.name = "e";
  engine_options.listen = FreeAddress();
  engine_options.kv_capacity = 10'000'000;
  engine_options.time_scale = 1'000;
  engine_options.start_warm = true;
  auto engine = Engine::Start(context, engine_options, nullptr);
  ServiceOptions service_options;
  service_options.name = "s";
  service_options.listen = FreeAddress();
  auto service = PlainService::Start(context, service_options);
  REQUIRE(engine);
  REQUIRE(service);
  std::thread thread([&context] { context.run(); });

  auto scenario = LoadScenario::Parse(kScenario, "test");
  REQUIRE(scenario);
  LoadOptions options;
  options.run = "r";
  options.threads = 2;
  options.services = {service_options.listen};
  scenario->classes.resize(1);
  options.targets = {LoadTarget{engine_options.listen, "", Duration(), true}};
  const auto model_results = RunLoad(*scenario, options).ToJson({});
  const auto outcomes = model_results["classes"]["lookup"]["outcomes"];
  CHECK(outcomes["ok"].get<size_t>() == MakePlan(*scenario, 1, "r").size());
  CHECK(outcomes.size() == 1);

  // Connections that break again and again are taken up at the caller's offset.
  options.run = "broken";
  options.max_attempts = 1'000;
  std::atomic<bool> breaking{true};
  std::function<void()> break_streams = [&] {
    (*engine)->ApplyFault("break_streams", {});
    if (breaking) RunAfter(context, Duration::Milliseconds(20), break_streams);
  };
  RunAfter(context, Duration(), break_streams);
  scenario->classes[0].answer_tokens = {{1, 1'000, 2'000}};
  const auto broken = RunLoad(*scenario, options).ToJson({});
  breaking = false;
  CHECK(broken["classes"]["lookup"]["outcomes"] == outcomes);
  CHECK(broken["classes"]["lookup"]["reattached"] > 0);

  scenario = LoadScenario::Parse(kScenario, "test");
  scenario->classes.erase(scenario->classes.begin());
  options.run = "operations";
  options.max_attempts = 1;
  options.targets = {LoadTarget{service_options.listen, "", Duration(), true}};
  const auto first = RunLoad(*scenario, options);
  auto report = AskStandins(options, first);
  const auto calls = static_cast<int64_t>(MakePlan(*scenario, 1, "r").size());
  CHECK(report.operations == calls);
  CHECK(report.doubled_operations == 0);
  CHECK(first.Score(report) == Approx(5.0 * static_cast<double>(calls)));
  // The same run again doubles each operation.
  const auto second = RunLoad(*scenario, options);
  report = AskStandins(options, second);
  CHECK(report.doubled_operations == calls);
  CHECK(second.Score(report) == Approx(0.0));
  CHECK(CompareResults(first.ToJson({}), second.ToJson({})).find("1.000") !=
        std::string::npos);

  context.stop();
  thread.join();
}

}  // namespace
}  // namespace zr
