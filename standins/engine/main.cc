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
DEFINE_int32(fresh_requests, 4, "concurrent requests that a fresh engine survives");
DEFINE_int32(max_requests, 64, "concurrent requests of a warm engine");
DEFINE_int32(warm_after, 40, "completed requests after which an engine is warm");
DEFINE_uint64(seed, 1, "seed of random behaviour");
DEFINE_int64(report_lag_ms, 300, "age of a load report");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  zr::InitLog(zr::LogLevel::kInfo, zr::LogFormat::kText, FLAGS_name_prefix);
  asio::io_context context;
  std::vector<std::unique_ptr<zr::Engine>> engines;
  for (int i = 0; i < FLAGS_count; ++i) {
    zr::EngineOptions options;
    options.name = FLAGS_name_prefix + "-" + std::to_string(i);
    options.listen = zr::AddressAt(FLAGS_listen, i);
    options.model = FLAGS_model;
    options.kv_capacity = FLAGS_kv_capacity;
    options.prefill_tps = FLAGS_prefill_tps;
    options.decode_tps = FLAGS_decode_tps;
    options.time_scale = FLAGS_time_scale;
    options.max_requests = FLAGS_max_requests;
    options.boot = static_cast<uint64_t>(zr::WallClockMs());
    auto engine = zr::Engine::Start(context, options);
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
  auto client = zr::HttpClient::Create(context);
  zr::RegisterEndpoints(
      context, *client, FLAGS_register,
      {FLAGS_name_prefix, FLAGS_listen, FLAGS_count, FLAGS_pool, FLAGS_domains, FLAGS_region});
  zr::Log(zr::LogLevel::kInfo, "engine", "listening on " + FLAGS_listen);
  zr::RunUntilSignal(context);
  return 0;
}
