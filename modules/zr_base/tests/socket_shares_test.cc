#include "zr_base/socket_shares.h"

#include <catch2/catch.hpp>

namespace zr {

// Guards against listeners that together take more sockets than the process may
// have, as each counts only its own connections.
TEST_CASE("Sockets are shared out among the listeners") {
  constexpr size_t kInternal = 32;
  constexpr size_t kMb = size_t{1} << 20;
  const auto strangers = [](const SocketShares& shares) {
    return shares.callers + shares.unproved_links + shares.begun_tunnels +
           kInternal;
  };
  SECTION("and what is opened for callers has room beside them") {
    for (const size_t descriptors : {600, 2870, 8192, 20000, 1000000}) {
      const auto shares = SocketShares::Of(descriptors, 112 * kMb, kInternal);
      CHECK(strangers(shares) + shares.callers <=
            descriptors - SocketShares::kFileDescriptors);
      CHECK(2 * shares.tunnels <= shares.callers);
    }
  }
  SECTION("the smallest VM takes the links of a large fleet at once") {
    const auto shares = SocketShares::Of(2870, 112 * kMb, kInternal);
    CHECK(shares.unproved_links >= 295);
    CHECK(shares.callers >= 1000);
  }
  SECTION("links without a proof take a bounded part of the memory") {
    const auto shares = SocketShares::Of(20000, 64 * kMb, kInternal);
    CHECK(shares.unproved_links * 40 * 1024 <= 8 * kMb);
  }
  SECTION("a process without descriptors keeps a few sockets for VMs") {
    const auto shares = SocketShares::Of(100, 0, kInternal);
    CHECK(shares.callers == 0);
    CHECK(shares.unproved_links > 0);
    CHECK(shares.begun_tunnels > 0);
  }
}

}  // namespace zr
