#pragma once

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "zr_gateway/zr_gateway.h"
#include "zr_gateway_host/gateway_state.h"
#include "zr_gateway_host/tunnel_server.h"

namespace zr {

/** A VM through which a call goes. */
struct TunnelVm {
  VmId vm;
  std::string address;  // of its tunnels
};

/**
 * Takes calls to endpoints through other VMs while this VM's own paths are
 * lost, and connects other VMs to endpoints in the same case. Everything that
 * concerns the call itself stays with the VM that has the caller.
 * EndpointPaths has the decisions.
 */
class PathExchange : private TunnelServer::Listener {
 public:
  using Sender = std::function<void(const VmId&, const Message&)>;
  using VmPredicate = std::function<bool(const VmId&)>;

  /** @param is_leaving  the VM is about to stop */
  PathExchange(asio::io_context& io, GatewayState& state,
               VmPredicate is_leaving);

  //============================================================================
  // Set-up

  /** Takes the tunnels of other VMs.
   * @param links_address  of this VM; tunnels have the port after it */
  Result<void> Start(const std::string& links_address,
                     const TunnelServer::Limits& limits);
  /** @param addresses  of the links of all VMs */
  void SetVms(const std::map<VmId, std::string>& addresses);
  /** @param key  of the links; shows that a VM is one of these */
  void SetKey(const std::string& key);
  void Stop();

  //============================================================================
  // Calls

  bool IsCutOff(const ServiceName& service) const {
    return paths_.IsCutOff(service);
  }
  /** The VM through which a call has to go; std::nullopt if it goes directly.
   * @param tried  VMs that were tried for the call */
  std::optional<TunnelVm> ChooseTunnelVm(TimePoint now,
                                         const ServiceName& service,
                                         const std::set<VmId>& tried);
  /** Makes a request go through the VM. */
  void Apply(const TunnelVm& through, const EndpointId& endpoint,
             ClientRequest& request) const;
  /** A new connection for a call was established, or not.
   * @param through  the VM through which it goes, or null */
  void OnConnection(TimePoint now, const EndpointId& endpoint,
                    const TunnelVm* through, bool connected);

  //============================================================================
  // Other VMs

  /** A linked VM tells which services' endpoints it can't reach.
   * @param linked  VMs that this one has links to */
  void OnReport(TimePoint now, const PathReport& report,
                const std::set<VmId>& linked, const Sender& send);
  void OnAdvice(TimePoint now, const PathAdvice& advice) {
    paths_.OnAdvice(now, advice);
  }
  /** Sends this VM's report, if it is due, to the linked hubs. */
  void Exchange(TimePoint now, const std::set<VmId>& hubs, const Sender& send);
  /** Number of tunnels of other VMs through this one. */
  size_t tunnels() const { return server_ ? server_->active() : 0; }

 private:
  // TunnelServer::Listener
  std::optional<std::string> OnTunnelRequest(const std::string& user) override;
  void OnTunnelConnected(const std::string& user, bool connected) override;
  void OnTooManyTunnels(const std::string& user) override;
  void OnTunnelDisplaced() override { ++displaced_; }
  void ReportDisplaced(TimePoint now);
  void ReportRefused(const EndpointId& endpoint, const char* reason);

  void Probe(TimePoint now, const ServiceName& service);
  void OnOwnConnection(TimePoint now, const EndpointId& endpoint,
                       bool connected);

  asio::io_context& io_;
  GatewayState& state_;
  VmPredicate is_leaving_;
  EndpointPaths paths_;
  std::unique_ptr<TunnelServer> server_;
  std::map<VmId, std::string> addresses_;  // of tunnels
  std::string token_;           // in the user names of this VM's tunnels
  std::string previous_token_;  // other VMs may have the former key
  size_t displaced_ = 0;        // since the last report
  TimePoint displaced_reported_;
};

}  // namespace zr
