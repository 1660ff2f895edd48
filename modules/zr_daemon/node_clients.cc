#include <algorithm>
#include <string>

#include "zr_daemon/node.h"
#include "zr_http/server/descriptor_limit.h"

namespace zr {
namespace {

constexpr size_t kMinConnections = 16;
constexpr size_t kOperatorConnections = 64;
// Part of the clients' memory that callers cannot take from operators.
constexpr size_t kOperatorShare = 4;
// Of a body of a call: with its parsed text and the body of the engine's call.
constexpr size_t kBodyCopies = 4;

}  // namespace

Result<void> Node::OpenServers() {
  const auto listener = [this](const ClientRefusal& refusal) {
    LogRefusal(refusal);
  };
  caller_guard_ =
      std::make_shared<ClientGuard>(io_, GuardOptions(true), listener);
  operator_guard_ =
      std::make_shared<ClientGuard>(io_, GuardOptions(false), listener);
  HttpServerOptions server;
  server.address = settings_.caller_listener.ToString();
  server.max_body_bytes = static_cast<size_t>(settings_.max_body_bytes);
  server.max_header_bytes = static_cast<size_t>(settings_.max_header_bytes);
  server.body_copies = kBodyCopies;
  server.guard = caller_guard_;
  auto callers = HttpServer::Start(
      io_, server, [this](HttpRequest request, HttpResponsePtr r) {
        if (request.path == "/metrics") UpdateClientMetrics();
        caller_api_.Handle(std::move(request), std::move(r));
      });
  if (!callers) return tl::unexpected(callers.error());
  caller_server_ = std::move(*callers);
  server.address = settings_.operator_listener.ToString();
  server.body_copies = 1;
  server.guard = operator_guard_;
  auto operators = HttpServer::Start(
      io_, server, [this](HttpRequest request, HttpResponsePtr r) {
        operator_api_.Handle(std::move(request), std::move(r));
      });
  if (!operators) return tl::unexpected(operators.error());
  operator_server_ = std::move(*operators);
  return {};
}

SocketShares Node::Sockets() const {
  return SocketShares::Of(DescriptorLimit(0),
                          static_cast<size_t>(settings_.memory_mb) << 20,
                          kOperatorConnections);
}

ClientGuardOptions Node::GuardOptions(bool callers) const {
  const size_t memory = MemoryAccount::ClientBytes(
      static_cast<size_t>(settings_.memory_mb) << 20);
  const size_t allowed = std::max(kMinConnections, Sockets().callers);
  ClientGuardOptions options;
  options.memory_bytes = std::max(
      callers ? memory - memory / kOperatorShare : memory / kOperatorShare,
      RequestReader::MemoryFor({static_cast<size_t>(settings_.max_header_bytes),
                                static_cast<size_t>(settings_.max_body_bytes),
                                callers ? kBodyCopies : 1}));
  options.max_connections =
      callers
          ? std::min(static_cast<size_t>(settings_.max_connections), allowed)
          : kOperatorConnections;
  options.max_connections_per_address =
      callers ? static_cast<size_t>(settings_.max_connections_per_address)
              : kOperatorConnections;
  options.max_waiting = ClientGuard::WaitingFor(MemoryAccount::UnreadBytes(
      static_cast<size_t>(settings_.memory_mb) << 20));
  options.head_timeout = settings_.header_timeout;
  options.body_timeout = settings_.body_timeout;
  return options;
}

void Node::LogRefusal(const ClientRefusal& refusal) {
  metrics_.Count("zr_client_refusals_total", {{"reason", refusal.reason}});
  Log(LogLevel::kWarning, "client_refused",
      "Refused a request (" + refusal.reason + ") of " + refusal.address +
          " with status " + std::to_string(refusal.status) + ", " +
          std::to_string(refusal.held_bytes) + " bytes, after " +
          std::to_string(refusal.age.milliseconds()) + " ms.");
}

void Node::UpdateClientMetrics() {
  const ClientGuard::Usage callers = caller_guard_->usage();
  const ClientGuard::Usage operators = operator_guard_->usage();
  metrics_.Set("zr_unproved_links", {},
               static_cast<double>(links_->unproved()));
  metrics_.Set(
      "zr_client_connections", {},
      static_cast<double>(callers.connections + operators.connections));
  metrics_.Set("zr_memory_limit_bytes", {},
               static_cast<double>(callers.limit + operators.limit));
  constexpr const char* kNames[] = {"connections", "incoming", "running"};
  for (size_t i = 0; i < MemoryAccount::kPurposes; ++i) {
    metrics_.Set("zr_memory_held_bytes", {{"for", kNames[i]}},
                 static_cast<double>(callers.held[i] + operators.held[i]));
  }
}

}  // namespace zr
