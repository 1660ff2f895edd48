#pragma once

#include <string>

#include "zr_base/zr_base.h"

namespace zr {

/** What a gateway process learns when it starts. */
struct GatewaySettings {
  VmId vm;
  DomainId domain;
  std::string callers_address;  // "ip:port" of the listener for callers
  std::string ready_address;    // "ip:port" of the readiness probe and metrics
  std::string peers_address;    // "ip:port" of the links between entry VMs
  std::string store_address;    // "ip:port" of the platform's store
  double store_reads_per_s = 2000;  // of all VMs together
  double store_writes_per_s = 400;  // of all VMs together
  /** A revoked key is honoured nowhere later than this after revocation. */
  Duration revocation_bound = Duration::Seconds(5);
  /** From SIGTERM until the process is killed. */
  Duration grace = Duration::Seconds(8);
  /** Life of memory that is reserved at an engine and not renewed. */
  Duration reservation_ttl = Duration::Seconds(3);
  /** Repeats of a service in a window, as a share of its requests, all VMs. */
  double retry_ratio = 0.2;
  friend auto operator<=>(const GatewaySettings&,
                          const GatewaySettings&) = default;
};

}  // namespace zr
