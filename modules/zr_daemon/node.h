#pragma once

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <vector>

#include "zr_daemon/api/caller_api.h"
#include "zr_daemon/api/operator_api.h"
#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/control/control_plane.h"
#include "zr_daemon/control/placement_runner.h"
#include "zr_daemon/control/retention_runner.h"
#include "zr_daemon/endpoint/endpoint_table.h"
#include "zr_daemon/net/message_bus.h"
#include "zr_daemon/node_context.h"
#include "zr_daemon/request/gather_table.h"
#include "zr_daemon/request/held_grants.h"
#include "zr_daemon/request/operation_table.h"
#include "zr_daemon/request/request_table.h"
#include "zr_daemon/request/route_selector.h"
#include "zr_daemon/request/stream_locator.h"
#include "zr_daemon/request/suspect_registry.h"
#include "zr_daemon/request/team_gate.h"

namespace zr {

/**
 * One entry VM. Run() serves until SIGTERM or SIGINT and then stops gracefully:
 * the VM becomes not ready, hands its endpoints over to other VMs and finishes
 * the requests in progress.
 */
class Node : public ControlPlane::Listener {
 public:
  /** @returns an error if an address cannot be bound */
  static Result<std::unique_ptr<Node>> Create(Settings settings);
  ~Node() override;
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /** Serves until stopped. @returns the exit code of the process */
  int Run();

 private:
  explicit Node(Settings settings);
  Result<void> Open();

  void OnSnapshot(
      const std::shared_ptr<const ClusterSnapshot>& snapshot) override;
  void OnVmDown(const VmId& vm, Incarnation incarnation) override;
  void OnSelfPaused() override;

  void Receive(const VmId& from, Message message);
  void ReceiveCoordinationMessage(const VmId& from, const Message& message);
  void RouteToOwner(const EndpointId& endpoint, const VmId& from,
                    const Message& message);
  void RouteGrant(const Grant& grant);
  void AnswerBaseline(const VmId& from, const AdmissionRequest& request);
  void ScheduleHeldGrants();
  Result<void> OpenServers();
  /** Sockets of the process by the system's limit. */
  SocketShares Sockets() const;
  ClientGuardOptions GuardOptions(bool callers) const;
  void LogRefusal(const ClientRefusal& refusal);
  void UpdateClientMetrics();
  void BeginStop();
  void FinishStop();

  const Settings settings_;
  asio::io_context io_;
  Metrics metrics_;
  NodeContext context_;
  ClusterState cluster_;
  std::shared_ptr<MessageBus> bus_;
  std::shared_ptr<PeerLinks> links_;
  RouteSelector selector_;
  HeldGrantRegistry held_grants_;
  RequestTable requests_;
  OperationTable operations_;
  StreamLocator locator_;
  SuspectRegistry suspects_;
  GatherTable gathers_;
  TeamGate teams_;
  EndpointTable endpoints_;
  std::shared_ptr<ControlPlane> control_;
  std::shared_ptr<PlacementRunner> placement_;
  std::shared_ptr<RetentionRunner> retention_;
  CallerApi caller_api_;
  OperatorApi operator_api_;
  std::shared_ptr<ClientGuard> caller_guard_;
  std::shared_ptr<ClientGuard> operator_guard_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> operator_server_;
  asio::signal_set signals_;
  asio::steady_timer held_grants_timer_;
  asio::steady_timer stop_timer_;
  std::chrono::steady_clock::time_point stop_ends_;  // latest exit
  std::atomic<uint64_t> baseline_grants_{0};
  std::atomic<bool> stopping_{false};
};

}  // namespace zr
