#pragma once

#include <compare>
#include <cstddef>

namespace zr {

/**
 * Shares out the sockets that a process may have open among its listeners, so
 * that clients at one of them cannot take those of the others, and all of them
 * together not more than there are.
 */
struct SocketShares {
  /** Descriptors that are kept for files. */
  static constexpr size_t kFileDescriptors = 200;

  /** Connections of callers; as many sockets are left for what is opened for
   * them: calls, links and tunnels of VMs. */
  size_t callers = 0;
  size_t unproved_links = 0;  // incoming links without a proof of the key
  size_t begun_tunnels = 0;   // connections that have not named a tunnel yet
  size_t tunnels = 0;         // of other VMs, with two sockets each
  friend auto operator<=>(const SocketShares&, const SocketShares&) = default;

  /**
   * @param descriptors  that the process may have open
   * @param vm_bytes     memory of the VM; 0 if it is not known
   * @param internal     connections of probes and operators
   */
  static SocketShares Of(size_t descriptors, size_t vm_bytes, size_t internal);
};

}  // namespace zr
