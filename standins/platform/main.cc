#include <gflags/gflags.h>

#include <iostream>

#include "standins/platform/platform_server.h"
#include "zr_telemetry/zr_telemetry.h"

DEFINE_string(listen, "127.0.0.1:7000", "address of the object API");
DEFINE_string(fault_listen, "", "address of the fault port; empty for none");
DEFINE_uint64(seed, 1, "seed of random faults");
DEFINE_int64(vm_list_lag_ms, 2000, "lag of the VM list");
DEFINE_double(writes_per_second, 500, "allowed writes a second; more get 429");
DEFINE_double(reads_per_second, 2000, "allowed reads a second; more get 429");
DEFINE_int64(weight_load_ms, 5000,
             "time of one load from the weight store at its full rate");
DEFINE_uint64(history, 20'000, "events kept for watches");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  zr::InitLog(zr::LogLevel::kInfo, zr::LogFormat::kText, "platform");
  zr::PlatformOptions options;
  options.listen = FLAGS_listen;
  options.fault_listen = FLAGS_fault_listen;
  options.seed = FLAGS_seed;
  options.vm_list_lag = zr::Duration::Milliseconds(FLAGS_vm_list_lag_ms);
  options.writes_per_second = FLAGS_writes_per_second;
  options.reads_per_second = FLAGS_reads_per_second;
  options.weight_load_time = zr::Duration::Milliseconds(FLAGS_weight_load_ms);
  options.max_events = FLAGS_history;
  asio::io_context context;
  auto server = zr::PlatformServer::Start(context, options);
  if (!server) {
    zr::Log(zr::LogLevel::kError, "platform", server.error());
    return 1;
  }
  zr::Log(zr::LogLevel::kInfo, "platform", "listening on " + options.listen);
  zr::RunUntilSignal(context);
  return 0;
}
