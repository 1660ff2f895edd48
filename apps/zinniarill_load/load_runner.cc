#include "zinniarill_load/load_runner.h"

#include <asio/executor_work_guard.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <thread>

#include "zinniarill_load/load_call.h"
#include "zinniarill_load/load_plan.h"
#include "zr_telemetry/zr_telemetry.h"

namespace zr {
namespace {

/** Sends one thread's share of the plan. */
class LoadThread {
 public:
  LoadThread(const LoadScenario& scenario, const LoadOptions& options,
             const std::vector<PlannedCall>& plan, size_t index,
             TimePoint start)
      : options_(options), plan_(plan), next_(index), results_(scenario) {
    auto client = HttpClient::Create(io_);
    client_ = *client;
    balancer_ = std::make_shared<LoadBalancer>(io_, client_, options.targets);
    context_ = std::make_unique<LoadCallContext>(
        LoadCallContext{io_, client_, balancer_, scenario, results_, start,
                        options.max_attempts, [this] { OnCallEnded(); }});
  }
  LoadThread(const LoadThread&) = delete;
  LoadThread& operator=(const LoadThread&) = delete;

  void Run() {
    balancer_->Start();
    ScheduleNext();
    io_.run();
    client_->Shutdown();
  }

  const LoadResults& results() const { return results_; }

 private:
  void ScheduleNext() {
    if (next_ >= plan_.size()) return StopIfDone();
    const TimePoint due = context_->start + plan_[next_].at;
    timer_.expires_at(std::chrono::steady_clock::time_point(
        std::chrono::microseconds(due.microseconds())));
    timer_.async_wait([this](const asio::error_code& error) {
      if (error) return;
      ++open_;
      std::make_shared<LoadCall>(*context_, plan_[next_])->Begin();
      next_ += static_cast<size_t>(options_.threads);
      ScheduleNext();
    });
  }

  void OnCallEnded() {
    --open_;
    StopIfDone();
  }

  void StopIfDone() {
    if (open_ > 0 || next_ < plan_.size()) return;
    balancer_->Stop();
    io_.stop();
  }

  const LoadOptions& options_;
  const std::vector<PlannedCall>& plan_;
  size_t next_;
  int64_t open_ = 0;
  LoadResults results_;
  asio::io_context io_{1};
  asio::steady_timer timer_{io_};
  std::shared_ptr<HttpClient> client_;
  std::shared_ptr<LoadBalancer> balancer_;
  std::unique_ptr<LoadCallContext> context_;
};

/** Fetches a JSON document, null on failure. Blocks. */
nlohmann::json FetchJson(const std::string& url) {
  asio::io_context io{1};
  auto client = *HttpClient::Create(io);
  nlohmann::json json;
  ClientRequest request;
  request.url = url;
  request.total_timeout = Duration::Seconds(20);
  client->Fetch(std::move(request), 256 << 20, [&](auto result) {
    if (result && result->status == 200) json = ParseJson(result->body);
    if (json.is_null()) {
      Log(LogLevel::kWarning, "load", "no answer from " + url);
    }
    io.stop();
  });
  io.run();
  return json;
}

std::string StateUrl(const std::string& address) {
  return "http://" + address + "/fault/state";
}

}  // namespace

LoadResults RunLoad(const LoadScenario& scenario, const LoadOptions& options) {
  const auto plan = MakePlan(scenario, options.seed, options.run);
  const TimePoint start = MonotonicNow() + Duration::Milliseconds(500);
  std::vector<std::unique_ptr<LoadThread>> parts;
  std::vector<std::thread> threads;
  for (int i = 0; i < options.threads; ++i) {
    parts.push_back(std::make_unique<LoadThread>(
        scenario, options, plan, static_cast<size_t>(i), start));
    threads.emplace_back([part = parts.back().get()] { part->Run(); });
  }
  for (auto& thread : threads) thread.join();
  LoadResults results(scenario);
  for (const auto& part : parts) results.Merge(part->results());
  return results;
}

StandinReport AskStandins(const LoadOptions& options,
                          const LoadResults& results) {
  StandinReport report;
  report.asked = !options.services.empty() || !options.fault_ports.empty();
  const std::string prefix = options.run + "-";
  std::map<std::string, int64_t>
      executed;  // operations and model requests of this run
  for (const auto& service : options.services) {
    const auto json = FetchJson("http://" + service + "/executions");
    if (!json.is_object()) continue;
    for (const auto& [key, count] : json["executions"].items()) {
      if (key.starts_with(prefix)) executed[key] += count.get<int64_t>();
    }
  }
  for (const auto& [key, count] : executed) {
    ++report.operations;
    if (count > 1) ++report.doubled_operations;
  }
  std::map<std::string, int64_t> runs;
  for (const auto& port : options.fault_ports) {
    const auto engines = FetchJson(StateUrl(port));
    if (!engines.is_object()) continue;
    for (const auto& [name, engine] : engines.items()) {
      report.overruns += engine.value("overruns", int64_t{0});
      report.crashes += engine.value("counters", nlohmann::json::object())
                            .value("crashes", int64_t{0});
      const auto engine_runs = engine.value("runs", nlohmann::json::object());
      for (const auto& [id, count] : engine_runs.items()) {
        if (id.starts_with(prefix)) runs[id] += count.get<int64_t>();
      }
    }
  }
  for (const auto& [id, count] : runs) {
    if (count > 1) ++report.repeated_runs;
  }
  for (const auto& id : results.not_run_ids()) {
    if (executed.contains(id) || runs.contains(id)) ++report.false_not_run;
  }
  return report;
}

}  // namespace zr
