#include <gflags/gflags.h>
#include <sys/resource.h>

#include <fstream>
#include <iostream>
#include <sstream>

#include "zinniarill_load/load_compare.h"
#include "zinniarill_load/load_runner.h"
#include "zr_telemetry/zr_telemetry.h"

DEFINE_string(targets, "", "VMs as ip:port@domain, comma-separated");
DEFINE_string(scenario, "", "INI file of the scenario");
DEFINE_uint64(seed, 1, "seed of arrivals and lengths");
DEFINE_string(
    run, "",
    "name of the run, part of request ids; empty for one from the clock");
DEFINE_string(policy, "none",
              "where callers are: none, kontrollkontor or ordvakt");
DEFINE_bool(reattach, false,
            "call again with the same id when the connection breaks");
DEFINE_int32(max_attempts, 5, "attempts of one call with --reattach");
DEFINE_int32(threads, 2, "threads that send calls");
DEFINE_double(rate_factor, 1, "multiplies the scenario's rates");
DEFINE_double(seconds, 0, "length of the run; 0 for the scenario's");
DEFINE_string(json, "", "file for the results");
DEFINE_string(services, "",
              "service stand-ins to ask for executions, comma-separated");
DEFINE_string(fault_ports, "",
              "engine fault ports to ask for their state, comma-separated");

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

/** Raises the bound on open files, as each call in progress holds a connection.
 */
void RaiseFileLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
}

int Stop(const zr::Error& error) {
  zr::Log(zr::LogLevel::kError, "load", error);
  return 1;
}

int Compare(const std::string& first, const std::string& second) {
  const auto a = zr::ParseJson(ReadFile(first));
  const auto b = zr::ParseJson(ReadFile(second));
  if (!a.is_object() || !b.is_object()) {
    std::cerr << "both arguments of compare must be result files\n";
    return 1;
  }
  std::cout << zr::CompareResults(a, b);
  return 0;
}

int Run() {
  auto scenario =
      zr::LoadScenario::Parse(ReadFile(FLAGS_scenario), FLAGS_scenario);
  if (!scenario) return Stop(scenario.error());
  for (auto& rate : scenario->rates) rate.per_second *= FLAGS_rate_factor;
  if (FLAGS_seconds > 0) {
    scenario->length =
        zr::Duration::Milliseconds(static_cast<int64_t>(FLAGS_seconds * 1e3));
  }
  auto place = zr::ParseCallerPlace(FLAGS_policy);
  if (!place) return Stop(place.error());
  auto targets = zr::ParseTargets(FLAGS_targets, *place);
  if (!targets) return Stop(targets.error());
  zr::LoadOptions options;
  options.targets = *targets;
  options.seed = FLAGS_seed;
  options.run =
      FLAGS_run.empty() ? "run" + std::to_string(zr::WallClockMs()) : FLAGS_run;
  options.threads = std::max(1, FLAGS_threads);
  options.max_attempts = FLAGS_reattach ? FLAGS_max_attempts : 1;
  options.services = zr::SplitList(FLAGS_services);
  options.fault_ports = zr::SplitList(FLAGS_fault_ports);
  std::cout << "run " << options.run << ", seed " << options.seed << "\n";
  const auto results = zr::RunLoad(*scenario, options);
  const auto report = zr::AskStandins(options, results);
  std::cout << results.ToTable(report);
  if (!FLAGS_json.empty()) {
    auto json = results.ToJson(report);
    json["run"] = {{"name", options.run},
                   {"seed", options.seed},
                   {"scenario", FLAGS_scenario}};
    std::ofstream(FLAGS_json) << json.dump(1) << "\n";
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "zinniarill-load --targets LIST --scenario FILE | compare FILE FILE");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  zr::InitLog(zr::LogLevel::kInfo, zr::LogFormat::kText, "load");
  if (argc == 4 && std::string_view(argv[1]) == "compare") {
    return Compare(argv[2], argv[3]);
  }
  RaiseFileLimit();
  return Run();
}
