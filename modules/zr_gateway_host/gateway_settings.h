#pragma once

#include <cstddef>
#include <string>

#include "zr_base/zr_base.h"
#include "zr_gateway/endpoint_pace.h"
#include "zr_http/server/descriptor_limit.h"

namespace zr {

/** Connections of probes, readers of metrics and operators. */
inline constexpr size_t kProbeConnections = 32;

/** Settings of a gateway process; see GatewayNode for their reload. */
struct GatewaySettings {
  VmId vm;
  DomainId domain;
  std::string callers_address;  // "ip:port" of the listener for callers
  std::string ready_address;    // "ip:port" of the readiness probe and metrics
  std::string peers_address;    // "ip:port" of the links between entry VMs
  std::string store_address;    // "ip:port" of the platform's store
  /** "ip:port" of the operators' listener; empty: there is none. */
  std::string operators_address;
  std::string operator_token;       // bearer token that operators send
  double cores = 0;                 // processor share; 0 if it is not known
  size_t memory_bytes = 0;          // of the VM; 0 if it is not known
  size_t max_descriptors = 0;       // of the VM; 0 if it is not known
  double store_reads_per_s = 2000;  // budget of all VMs together
  double store_writes_per_s = 400;  // budget of all VMs together
  /** Time after a key's revocation within which all VMs reject it. */
  Duration revocation_bound = Duration::Seconds(5);
  /** Time after its confirmation within which all VMs obey a change. */
  Duration config_bound = Duration::Seconds(2);
  /** The same for the removal or draining of an endpoint. */
  Duration drain_bound = Duration::Seconds(2);
  /** The same for the evacuation of a failure domain. */
  Duration evacuation_bound = Duration::Seconds(5);
  /** Time from SIGTERM until the process is killed. */
  Duration grace = Duration::Seconds(8);
  /** Time after which an engine frees reserved memory unless it is renewed. */
  Duration reservation_ttl = Duration::Seconds(3);
  /** Longest time for which memory may be reserved without being used. */
  Duration reservation_max_idle = Duration::Seconds(9);
  /** Retries of a service per window, as a share of its requests on all VMs. */
  double retry_ratio = 0.2;
  /** Of engines and of services with a cold rate. */
  PaceMode pace = PaceMode::kFixed;
  /** Requests wait at their dispatcher in the order of PoolQueue. */
  bool fair_queue = false;
  /** See PlacementPolicy::Options::forecast_passes; applies from the start. */
  bool forecast_passes = false;
  /** Bounds what is held for callers that read slowly, and the bodies that are
   * in flight to an endpoint at once. */
  bool slow_readers = false;
  friend auto operator<=>(const GatewaySettings&,
                          const GatewaySettings&) = default;

  /** Sockets of the process, also by the system's limit. */
  SocketShares Sockets() const {
    return SocketShares::Of(DescriptorLimit(max_descriptors), memory_bytes,
                            kProbeConnections);
  }
};

}  // namespace zr
