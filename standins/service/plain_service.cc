#include "standins/service/plain_service.h"

namespace zr {

PlainService::PlainService(asio::io_context& context, ServiceOptions options)
    : context_(context), options_(std::move(options)), random_(options_.boot) {}

Result<std::unique_ptr<PlainService>> PlainService::Start(
    asio::io_context& context, ServiceOptions options) {
  std::unique_ptr<PlainService> self(
      new PlainService(context, std::move(options)));
  if (auto listening = self->Listen(); !listening) {
    return tl::unexpected(listening.error());
  }
  return self;
}

Result<void> PlainService::Listen() {
  HttpServerOptions options;
  options.address = options_.listen;
  auto server = HttpServer::Start(
      context_, options,
      [this](const HttpRequest& request, const HttpResponsePtr& response) {
        Handle(request, response);
      });
  if (!server) return tl::unexpected(server.error());
  server_ = std::move(*server);
  return {};
}

void PlainService::Handle(const HttpRequest& request,
                          const HttpResponsePtr& response) {
  if (down_) {
    response->Abort();
  } else if (frozen_) {
    frozen_responses_.push_back(response);
  } else if (request.path == "/engine/load") {
    SendJson(response, 200, LoadReport());
  } else if (request.path == "/engine/streams") {
    SendJson(response, 200,
             {{"boot", options_.boot}, {"streams", nlohmann::json::array()}});
  } else if (request.path == "/engine/cache_events") {
    SendJson(response, 200,
             {{"boot", options_.boot}, {"events", nlohmann::json::array()}});
  } else if (request.path == "/executions") {
    SendJson(response, 200,
             {{"name", options_.name},
              {"total", executed_},
              {"executions", executions_}});
  } else if (running_ >= options_.max_concurrent) {
    SendError(response, 503, "overloaded", "too many calls");
  } else {
    Execute(request, response);
  }
}

void PlainService::Execute(const HttpRequest& request,
                           const HttpResponsePtr& response) {
  // Counts the execution on arrival, so that a call whose response is lost has
  // always run.
  const std::string key(request.Header("idempotency-key"));
  ++executed_;
  const int64_t count = key.empty() ? 0 : ++executions_[key];
  ++running_;
  const uint64_t boot = options_.boot;
  const Duration time =
      options_.service_time + Duration::Milliseconds(extra_delay_ms_);
  RunAfter(context_, time, [this, response, key, count, boot] {
    if (boot != options_.boot) return response->Abort();
    --running_;
    if (down_ || random_.Chance(answer_loss_rate_)) return response->Abort();
    SendJson(response, 200,
             {{"service", options_.name}, {"key", key}, {"count", count}});
  });
}

nlohmann::json PlainService::LoadReport() {
  return {{"boot", options_.boot},
          {"seq", ++report_sequence_},
          {"time_ms", WallClockMs()},
          {"kv_capacity", 0},
          {"kv_used", 0},
          {"running", running_},
          {"waiting", 0},
          {"model", ""},
          {"version", ""},
          {"adapters", nlohmann::json::array()},
          {"role", "service"},
          {"leaving", leaving_},
          {"tokens_per_s", 0}};
}

void PlainService::Crash(int64_t restart_ms) {
  down_ = true;
  running_ = 0;
  ++options_.boot;
  frozen_responses_.clear();
  server_->StopAccepting();
  RunAfter(context_, Duration::Milliseconds(restart_ms), [this] {
    if (!Listen()) return Crash(100);
    down_ = false;
  });
}

bool PlainService::ApplyFault(const std::string& fault,
                              const HttpRequest& request) {
  if (fault == "crash") {
    if (!down_) Crash(QueryInteger(request, "restart_ms", 1000));
  } else if (fault == "freeze") {
    frozen_ = true;
  } else if (fault == "unfreeze") {
    frozen_ = false;
    frozen_responses_.clear();
  } else if (fault == "slow") {
    extra_delay_ms_ = QueryInteger(request, "ms", 0);
  } else if (fault == "break_answers") {
    answer_loss_rate_ = QueryReal(request, "p", 0);
  } else if (fault == "leave" || fault == "unleave") {
    leaving_ = fault == "leave";
  } else {
    return false;
  }
  return true;
}

nlohmann::json PlainService::State() const {
  int64_t repeated = 0;
  for (const auto& [key, count] : executions_) repeated += count > 1 ? 1 : 0;
  return {{"name", options_.name}, {"boot", options_.boot},
          {"executed", executed_}, {"repeated_keys", repeated},
          {"running", running_},   {"down", down_},
          {"frozen", frozen_},     {"leaving", leaving_}};
}

}  // namespace zr
