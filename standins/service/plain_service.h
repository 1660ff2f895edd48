#pragma once

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "standins/common/host.h"
#include "zr_base/zr_base.h"

namespace zr {

struct ServiceOptions {
  std::string name;
  std::string listen;  // "ip:port"
  Duration service_time = Duration::Milliseconds(10);
  int max_concurrent = 256;
  uint64_t boot = 1;
};

/** A plain service that counts executions by idempotency key. Not thread-safe;
 * runs on one io_context thread. */
class PlainService {
 public:
  static Result<std::unique_ptr<PlainService>> Start(asio::io_context& context,
                                                     ServiceOptions options);

  PlainService(const PlainService&) = delete;
  PlainService& operator=(const PlainService&) = delete;

  /** Applies a fault: crash, freeze, unfreeze, slow (query ms), break_answers
   * (query p), leave, unleave. */
  bool ApplyFault(const std::string& fault, const HttpRequest& request);
  /** State reported by the fault port. */
  nlohmann::json State() const;
  const std::string& name() const { return options_.name; }

 private:
  PlainService(asio::io_context& context, ServiceOptions options);

  Result<void> Listen();
  void Handle(const HttpRequest& request, const HttpResponsePtr& response);
  void Execute(const HttpRequest& request, const HttpResponsePtr& response);
  nlohmann::json LoadReport();
  void Crash(int64_t restart_ms);

  asio::io_context& context_;
  ServiceOptions options_;
  Random random_;
  std::map<std::string, int64_t> executions_;
  int64_t executed_ = 0;
  int64_t report_sequence_ = 0;
  int running_ = 0;
  bool frozen_ = false;
  bool leaving_ = false;
  bool down_ = false;
  int64_t extra_delay_ms_ = 0;
  double answer_loss_rate_ = 0;
  std::vector<HttpResponsePtr> frozen_responses_;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace zr
