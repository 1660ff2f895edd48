#include "zr_base/socket_shares.h"

#include <algorithm>

#include "zr_base/memory_account.h"

namespace zr {
namespace {

// Connections that are being closed for others, at all listeners.
constexpr size_t kClosing = 32;
// Parts of the sockets.
constexpr size_t kUnprovedPart = 8;
constexpr size_t kBegunPart = 16;
constexpr size_t kTunnelPart = 8;
// Above the VMs of a deployment that may link to this one at the same moment.
constexpr size_t kMaxUnproved = 512;
constexpr size_t kMaxBegun = 64;
constexpr size_t kMaxTunnels = 512;
constexpr size_t kMinShare = 4;
// A connection of the websocket library, with its buffers and the fields of
// the head that may be read from it.
constexpr size_t kUnprovedBytes = size_t{40} << 10;
constexpr size_t kUnprovedMemoryPart = 8;

size_t Clamp(size_t share, size_t most) {
  return std::max(kMinShare, std::min(share, most));
}

}  // namespace

SocketShares SocketShares::Of(size_t descriptors, size_t vm_bytes,
                              size_t internal) {
  const size_t sockets = descriptors - std::min(descriptors, kFileDescriptors);
  const size_t memory = MemoryAccount::VmBytes(vm_bytes) / kUnprovedMemoryPart;
  SocketShares shares;
  shares.unproved_links = Clamp(
      sockets / kUnprovedPart, std::min(kMaxUnproved, memory / kUnprovedBytes));
  shares.begun_tunnels = Clamp(sockets / kBegunPart, kMaxBegun);
  shares.tunnels = Clamp(sockets / kTunnelPart, kMaxTunnels);
  const size_t others =
      shares.unproved_links + shares.begun_tunnels + internal + kClosing;
  shares.callers = (sockets - std::min(sockets, others)) / 2;
  return shares;
}

}  // namespace zr
