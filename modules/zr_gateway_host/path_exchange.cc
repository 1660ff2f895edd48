#include "zr_gateway_host/path_exchange.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "zr_config/digest.h"

namespace zr {
namespace {

using asio::ip::tcp;

constexpr std::chrono::milliseconds kProbeTimeout(250);
// Bounds the log of a VM whose port others fill.
constexpr Duration kReportPeriod = Duration::Seconds(1);

/** Tunnels have the port after that of the links. */
std::optional<std::string> TunnelAddress(const std::string& links_address) {
  const auto parsed = ParseAddress(links_address);
  if (!parsed || parsed->second == UINT16_MAX) return std::nullopt;
  return parsed->first + ":" + std::to_string(parsed->second + 1);
}

/** A connection that only shows whether an endpoint can be reached. */
struct ProbeConnection {
  explicit ProbeConnection(asio::io_context& io) : socket(io), timer(io) {}
  tcp::socket socket;
  asio::steady_timer timer;
  bool ended = false;
};

}  // namespace

PathExchange::PathExchange(asio::io_context& io, GatewayState& state,
                           VmPredicate is_leaving)
    : io_(io),
      state_(state),
      is_leaving_(std::move(is_leaving)),
      paths_(state.vm) {}

Result<void> PathExchange::Start(const std::string& links_address,
                                 const TunnelServer::Limits& limits) {
  const auto address = TunnelAddress(links_address);
  if (!address) {
    return Fail(ErrorCode::kInvalidArgument, "tunnels", links_address,
                "no port after that of the links");
  }
  auto server = TunnelServer::Start(io_, *address, limits, *this);
  if (!server) return tl::unexpected(server.error());
  server_ = std::move(*server);
  return {};
}

void PathExchange::SetVms(const std::map<VmId, std::string>& addresses) {
  addresses_.clear();
  std::vector<VmId> vms;
  for (const auto& [vm, address] : addresses) {
    const auto tunnel = TunnelAddress(address);
    if (!tunnel) continue;
    addresses_[vm] = *tunnel;
    vms.push_back(vm);
  }
  paths_.SetVms(vms);
}

void PathExchange::SetKey(const std::string& key) {
  previous_token_ =
      std::exchange(token_, Sha256Hex("zinniarill tunnel " + key));
}

void PathExchange::Stop() {
  if (server_) server_->Stop();
}

//==============================================================================
// Calls

std::optional<TunnelVm> PathExchange::ChooseTunnelVm(
    TimePoint now, const ServiceName& service, const std::set<VmId>& tried) {
  if (!paths_.IsCutOff(service) || token_.empty()) return std::nullopt;
  const auto vm = paths_.ChooseTunnelVm(
      now, service, tried, [this](const VmId& id) { return !is_leaving_(id); },
      state_.random);
  if (!vm) return std::nullopt;
  return TunnelVm{*vm, addresses_.at(*vm)};
}

void PathExchange::Apply(const TunnelVm& through, const EndpointId& endpoint,
                         ClientRequest& request) const {
  request.proxy = through.address;
  request.proxy_user = token_ + " " + endpoint.value();
  request.fresh_connection = true;
}

void PathExchange::OnConnection(TimePoint now, const EndpointId& endpoint,
                                const TunnelVm* through, bool connected) {
  if (through == nullptr) return OnOwnConnection(now, endpoint, connected);
  paths_.OnTunnelResult(now, through->vm, connected);
  state_.metrics.Count("zr_gateway_calls_through_vms_total",
                       {{"connected", connected ? "yes" : "no"}});
  state_.log.Write(now, "call_through_vm",
                   {{"endpoint", endpoint.value()},
                    {"vm", through->vm.value()},
                    {"connected", connected}});
}

void PathExchange::OnOwnConnection(TimePoint now, const EndpointId& endpoint,
                                   bool connected) {
  const EndpointState* state = state_.tracker.Find(endpoint);
  if (state == nullptr) return;
  const ServiceName& service = state->listed.service;
  const bool before = paths_.IsCutOff(service);
  const size_t active = state_.tracker.CountActive(service);
  if (connected) {
    paths_.OnConnected(now, service);
  } else {
    paths_.OnUnreachable(now, service, endpoint, active);
  }
  const bool after = paths_.IsCutOff(service);
  if (before == after) return;
  state_.log.Write(now, after ? "cut_off" : "cut_off_ended",
                   {{"service", service.value()},
                    {"endpoint", endpoint.value()},
                    {"endpoints", active}});
  state_.metrics.Set("zr_gateway_cut_off", {{"service", service.value()}},
                     after ? 1 : 0);
}

void PathExchange::Probe(TimePoint now, const ServiceName& service) {
  const auto endpoints =
      state_.tracker.Available(now, service, {}, std::nullopt);
  if (endpoints.empty()) return;
  const ListedEndpoint listed =
      endpoints[state_.random.Below(endpoints.size())]->listed;
  const auto parsed = ParseAddress(listed.address);
  asio::error_code error;
  if (!parsed) return;
  const auto ip = asio::ip::make_address(parsed->first, error);
  if (error) return;
  auto probe = std::make_shared<ProbeConnection>(io_);
  const auto end = [this, probe, id = listed.id](bool connected) {
    if (std::exchange(probe->ended, true)) return;
    probe->timer.cancel();
    asio::error_code ignored;  // it may not be open
    probe->socket.close(ignored);
    OnOwnConnection(BootNow(), id, connected);
  };
  probe->timer.expires_after(kProbeTimeout);
  probe->timer.async_wait([end](const asio::error_code& timer_error) {
    if (!timer_error) end(false);
  });
  probe->socket.async_connect(
      {ip, parsed->second},
      [end](const asio::error_code& connect_error) { end(!connect_error); });
}

//==============================================================================
// Other VMs

std::optional<std::string> PathExchange::OnTunnelRequest(
    const std::string& user) {
  const size_t space = user.find(' ');
  const std::string token = user.substr(0, space);
  const EndpointId endpoint(
      space == std::string::npos ? "" : user.substr(space + 1));
  const EndpointState* known = state_.tracker.Find(endpoint);
  const char* reason = nullptr;
  if (token_.empty() || (token != token_ && token != previous_token_)) {
    reason = "unknown key";
  } else if (state_.stopping) {
    reason = "VM is stopping";
  } else if (known == nullptr || !state_.tracker.MayCall(endpoint)) {
    reason = "endpoint may not be called";
  } else if (paths_.IsCutOff(known->listed.service)) {
    reason = "VM is cut off, too";
  }
  if (reason == nullptr) return known->listed.address;
  ReportRefused(endpoint, reason);
  return std::nullopt;
}

void PathExchange::OnTooManyTunnels(const std::string& user) {
  ReportRefused(EndpointId(user.substr(user.find(' ') + 1)),
                "too many tunnels");
}

void PathExchange::ReportRefused(const EndpointId& endpoint,
                                 const char* reason) {
  state_.log.Write(BootNow(), "tunnel_refused",
                   {{"endpoint", endpoint.value()}, {"reason", reason}});
  state_.metrics.Count("zr_gateway_tunnels_total", {{"result", "refused"}});
}

void PathExchange::OnTunnelConnected(const std::string& user, bool connected) {
  const TimePoint now = BootNow();
  const EndpointId endpoint(user.substr(user.find(' ') + 1));
  state_.log.Write(now, "tunnel",
                   {{"endpoint", endpoint.value()}, {"connected", connected}});
  state_.metrics.Count("zr_gateway_tunnels_total",
                       {{"result", connected ? "connected" : "unreachable"}});
  OnOwnConnection(now, endpoint, connected);
}

void PathExchange::OnReport(TimePoint now, const PathReport& report,
                            const std::set<VmId>& linked, const Sender& send) {
  const std::set<ServiceName> before = paths_.ReportedBy(report.vm);
  if (!paths_.OnReport(now, report)) return;
  if (paths_.ReportedBy(report.vm) != before) {
    LogFields fields = {{"vm", report.vm.value()},
                        {"services", LogFields::array()}};
    for (const ServiceName& service : report.cut_off) {
      fields["services"].push_back(service.value());
    }
    state_.log.Write(now, "vm_cut_off", fields);
  }
  for (const VmId& vm : paths_.NeedingReports(now, linked)) {
    if (vm != report.vm) send(vm, report);
  }
  if (!report.reads_advice || !linked.contains(report.vm)) return;
  for (const ServiceName& service : report.cut_off) {
    PathAdvice advice = paths_.AdviceFor(now, service, linked, state_.random);
    if (!advice.vms.empty()) send(report.vm, std::move(advice));
  }
}

void PathExchange::Exchange(TimePoint now, const std::set<VmId>& hubs,
                            const Sender& send) {
  ReportDisplaced(now);
  while (const auto service = paths_.NextProbe(now)) Probe(now, *service);
  const auto report = paths_.NextReport(now);
  if (!report) return;
  for (const VmId& hub : hubs) send(hub, *report);
}

void PathExchange::ReportDisplaced(TimePoint now) {
  if (displaced_ == 0 || now - displaced_reported_ < kReportPeriod) return;
  state_.log.Write(now, "tunnels_displaced", {{"count", displaced_}});
  state_.metrics.Count("zr_gateway_tunnels_total", {{"result", "displaced"}},
                       static_cast<double>(displaced_));
  displaced_ = 0;
  displaced_reported_ = now;
}

}  // namespace zr
