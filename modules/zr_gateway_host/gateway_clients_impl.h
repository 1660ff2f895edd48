#pragma once

// Implementation of gateway_node.h: listeners and limits on their clients.

#include <algorithm>

namespace zr {
namespace gateway_internal {

inline constexpr size_t kMinClientConnections = 64;
inline constexpr size_t kProbeBodyBytes = size_t{4} << 10;
// Part of the clients' memory that callers cannot take from the probes.
inline constexpr size_t kProbeShare = 16;

}  // namespace gateway_internal

template <GatewayFormat Format>
Result<void> GatewayNode<Format>::OpenServers() {
  const auto listener = [this](const ClientRefusal& refusal) {
    LogRefusal(refusal);
  };
  caller_guard_ =
      std::make_shared<ClientGuard>(io_, GuardOptions(true), listener);
  probe_guard_ =
      std::make_shared<ClientGuard>(io_, GuardOptions(false), listener);
  HttpServerOptions options;
  options.max_header_bytes = ClientLimits{}.max_header_bytes;
  options.max_body_bytes = ClientLimits{}.max_body_bytes;
  options.idle_timeout = gateway_internal::kIdleTimeout;
  options.address = settings_.callers_address;
  options.guard = caller_guard_;
  auto callers = HttpServer::Start(
      io_, options, [this](HttpRequest request, HttpResponsePtr response) {
        HandleCaller(std::move(request), std::move(response));
      });
  if (!callers) return tl::unexpected(callers.error());
  caller_server_ = std::move(*callers);
  options.address = settings_.ready_address;
  options.max_body_bytes = gateway_internal::kProbeBodyBytes;
  options.guard = probe_guard_;
  auto probes = HttpServer::Start(
      io_, options, [this](HttpRequest request, HttpResponsePtr response) {
        HandleProbe(request, std::move(response));
      });
  if (!probes) return tl::unexpected(probes.error());
  probe_server_ = std::move(*probes);
  return {};
}

template <GatewayFormat Format>
ClientGuardOptions GatewayNode<Format>::GuardOptions(bool callers) const {
  using namespace gateway_internal;
  const ClientLimits limits =
      state_.config ? state_.config->limits() : ClientLimits{};
  const size_t memory = MemoryAccount::ClientBytes(settings_.memory_bytes);
  ClientGuardOptions options;
  options.memory_bytes =
      callers ? std::max(memory - memory / kProbeShare,
                         RequestReader::MemoryFor({limits.max_header_bytes,
                                                   limits.max_body_bytes, 1}))
              : memory / kProbeShare;
  options.max_connections =
      callers ? std::max(kMinClientConnections, settings_.Sockets().callers)
              : kProbeConnections;
  options.max_connections_per_address = options.max_connections;
  options.max_waiting = ClientGuard::WaitingFor(
      MemoryAccount::UnreadBytes(settings_.memory_bytes));
  options.head_timeout = limits.header_timeout;
  options.body_timeout = limits.idle_timeout;
  return options;
}

template <GatewayFormat Format>
void GatewayNode<Format>::ApplyClientLimits() {
  caller_guard_->SetOptions(GuardOptions(true));
  probe_guard_->SetOptions(GuardOptions(false));
  if (!state_.config) return;
  const ClientLimits& limits = state_.config->limits();
  caller_server_->SetLimits(limits.max_header_bytes, limits.max_body_bytes);
}

template <GatewayFormat Format>
void GatewayNode<Format>::LogRefusal(const ClientRefusal& refusal) {
  metrics_.Count("zr_client_refusals_total", {{"reason", refusal.reason}});
  state_.log.Write(BootNow(), "client_refused",
                   {{"reason", refusal.reason},
                    {"status", refusal.status},
                    {"address", refusal.address},
                    {"bytes", refusal.held_bytes},
                    {"age_ms", refusal.age.milliseconds()}});
}

template <GatewayFormat Format>
void GatewayNode<Format>::UpdateClientMetrics() {
  const ClientGuard::Usage callers = caller_guard_->usage();
  const ClientGuard::Usage probes = probe_guard_->usage();
  metrics_.Set("zr_unproved_links", {},
               static_cast<double>(dispatch_->unproved_links()));
  metrics_.Set("zr_client_connections", {},
               static_cast<double>(callers.connections + probes.connections));
  metrics_.Set(
      "zr_memory_limit_bytes", {},
      static_cast<double>(callers.limit + probes.limit +
                          MemoryAccount::AnswerBytes(settings_.memory_bytes)));
  constexpr const char* kNames[] = {"connections", "incoming", "running"};
  for (size_t i = 0; i < MemoryAccount::kPurposes; ++i) {
    metrics_.Set("zr_memory_held_bytes", {{"for", kNames[i]}},
                 static_cast<double>(callers.held[i] + probes.held[i]));
  }
  metrics_.Set("zr_memory_held_bytes", {{"for", "answers"}},
               static_cast<double>(state_.answer_buffers.held()));
}

}  // namespace zr
