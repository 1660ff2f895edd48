#include <gflags/gflags.h>

#include "standins/common/fault_port.h"
#include "standins/service/plain_service.h"
#include "zr_telemetry/zr_telemetry.h"

DEFINE_string(listen, "127.0.0.1:7200", "address of the first service process");
DEFINE_string(fault_listen, "", "address of the fault port; empty for none");
DEFINE_int32(count, 1, "services on consecutive ports");
DEFINE_string(name_prefix, "service", "names are PREFIX-0, PREFIX-1 ...");
DEFINE_string(domains, "local", "failure domains, round robin");
DEFINE_string(region, "local", "region of the registered endpoints");
DEFINE_string(pool, "service", "pool of the registered endpoints");
DEFINE_string(register, "", "address of the platform stand-in; empty for none");
DEFINE_int64(service_time_ms, 10, "time of one call");
DEFINE_int32(max_concurrent, 256, "calls beyond this are refused as not run");

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  zr::InitLog(zr::LogLevel::kInfo, zr::LogFormat::kText, FLAGS_name_prefix);
  asio::io_context context;
  std::vector<std::unique_ptr<zr::PlainService>> services;
  for (int i = 0; i < FLAGS_count; ++i) {
    zr::ServiceOptions options;
    options.name = FLAGS_name_prefix + "-" + std::to_string(i);
    options.listen = zr::AddressAt(FLAGS_listen, i);
    options.service_time = zr::Duration::Milliseconds(FLAGS_service_time_ms);
    options.max_concurrent = FLAGS_max_concurrent;
    options.boot = static_cast<uint64_t>(zr::WallClockMs());
    auto service = zr::PlainService::Start(context, options);
    if (!service) {
      zr::Log(zr::LogLevel::kError, "service", service.error());
      return 1;
    }
    services.push_back(std::move(*service));
  }
  auto fault_port = zr::StartFaultPort(context, FLAGS_fault_listen, services);
  if (!fault_port) {
    zr::Log(zr::LogLevel::kError, "service", fault_port.error());
    return 1;
  }
  auto client = zr::HttpClient::Create(context);
  zr::RegisterEndpoints(context, *client, FLAGS_register,
                        {FLAGS_name_prefix, FLAGS_listen, FLAGS_count,
                         FLAGS_pool, FLAGS_domains, FLAGS_region});
  zr::Log(zr::LogLevel::kInfo, "service", "listening on " + FLAGS_listen);
  zr::RunUntilSignal(context);
  return 0;
}
