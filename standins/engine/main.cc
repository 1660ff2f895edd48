#include <gflags/gflags.h>

#include "standins/common/fault_port.h"
#include "standins/engine/engine.h"
#include "zr_telemetry/zr_telemetry.h"

DEFINE_string(listen, "127.0.0.1:7100", "address of the first engine");
DEFINE_string(fault_listen, "", "address of the fault port; empty for none");
DEFINE_int32(count, 1, "engines on consecutive ports");
DEFINE_string(model, "assay-reader", "model served at start");
DEFINE_string(name_prefix, "engine", "names are PREFIX-0, PREFIX-1 ...");
DEFINE_string(domains, "local", "failure domains, round robin");
DEFINE_string(region, "local", "region of the registered endpoints");
DEFINE_string(pool, "models", "pool of the registered endpoints");
DEFINE_string(register, "", "address of the platform stand-in; empty for none");
DEFINE_int64(kv_capacity, 200'000, "KV cache, tokens");
DEFINE_double(prefill_tps, 20'000, "prompt tokens a second");
DEFINE_double(decode_tps, 50, "answer tokens a second of one stream");
DEFINE_double(time_scale, 1, "speeds everything up");
DEFINE_int32(fresh_requests, 4,
             "concurrent requests that a fresh engine survives");
DEFINE_int32(max_requests, 64, "concurrent requests of a warm engine");
DEFINE_int32(warm_after, 40,
             "completed requests after which an engine is warm");
DEFINE_uint64(seed, 1, "seed of random behaviour");
DEFINE_int64(report_lag_ms, 300, "age of a load report");
DEFINE_int32(max_waiting, 32,
             "requests waiting at once; more are refused as not run");
DEFINE_bool(start_warm, false, "engines are warm at their first start");
DEFINE_double(cold_speed, 0.25,
              "speed of a cold engine relative to a warm one");
DEFINE_int64(unclaimed_window_ms, 10'000,
             "time that a stream without a reader is kept");
DEFINE_int64(restart_ms, 1'000, "time that the port is closed after a crash");
DEFINE_int64(load_ms, 2'000, "time of a model load without a platform");
DEFINE_int64(cache_event_lag_ms, 500, "age of the newest reported cache event");
DEFINE_double(cache_event_gap, 0.02,
              "probability that a cache event is never reported");
DEFINE_int64(cold_grace_ms, 2'000,
             "time after a silent cold start without overrun crashes");
DEFINE_bool(checks_fencing, true,
            "refuse orders that carry a stale fencing token");

namespace {

zr::EngineOptions OptionsOf(int index) {
  zr::EngineOptions options;
  options.name = FLAGS_name_prefix + "-" + std::to_string(index);
  options.listen = zr::AddressAt(FLAGS_listen, index);
  options.platform = FLAGS_register;
  options.model = FLAGS_model;
  options.kv_capacity = FLAGS_kv_capacity;
  options.prefill_tps = FLAGS_prefill_tps;
  options.decode_tps = FLAGS_decode_tps;
  options.time_scale = FLAGS_time_scale;
  options.fresh_requests = FLAGS_fresh_requests;
  options.max_requests = FLAGS_max_requests;
  options.max_waiting = FLAGS_max_waiting;
  options.warm_after = FLAGS_warm_after;
  options.start_warm = FLAGS_start_warm;
  options.cold_speed = FLAGS_cold_speed;
  options.cold_grace_ms = FLAGS_cold_grace_ms;
  options.unclaimed_window_ms = FLAGS_unclaimed_window_ms;
  options.report_lag_ms = FLAGS_report_lag_ms;
  options.cache_event_lag_ms = FLAGS_cache_event_lag_ms;
  options.cache_event_gap = FLAGS_cache_event_gap;
  options.restart_ms = FLAGS_restart_ms;
  options.load_ms = FLAGS_load_ms;
  options.checks_fencing = FLAGS_checks_fencing;
  options.boot = static_cast<uint64_t>(zr::WallClockMs());
  options.seed = FLAGS_seed + static_cast<uint64_t>(index);
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  zr::InitLog(zr::LogLevel::kInfo, zr::LogFormat::kText, FLAGS_name_prefix);
  asio::io_context context;
  auto created = zr::HttpClient::Create(context);
  if (!created) {
    zr::Log(zr::LogLevel::kError, "engine", created.error());
    return 1;
  }
  const std::shared_ptr<zr::HttpClient> client = *created;
  std::vector<std::unique_ptr<zr::Engine>> engines;
  for (int i = 0; i < FLAGS_count; ++i) {
    auto engine = zr::Engine::Start(context, OptionsOf(i), client);
    if (!engine) {
      zr::Log(zr::LogLevel::kError, "engine", engine.error());
      return 1;
    }
    engines.push_back(std::move(*engine));
  }
  auto fault_port = zr::StartFaultPort(context, FLAGS_fault_listen, engines);
  if (!fault_port) {
    zr::Log(zr::LogLevel::kError, "engine", fault_port.error());
    return 1;
  }
  zr::RegisterEndpoints(context, client, FLAGS_register,
                        {FLAGS_name_prefix, FLAGS_listen, FLAGS_count,
                         FLAGS_pool, FLAGS_domains, FLAGS_region});
  zr::Log(zr::LogLevel::kInfo, "engine", "listening on " + FLAGS_listen);
  zr::RunUntilSignal(context);
  return 0;
}
