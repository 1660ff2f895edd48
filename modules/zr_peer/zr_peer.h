#pragma once

/**
 * zr_peer: authenticated websocket links between entry VMs.
 *
 * Dependencies: zr_base, websocketpp (in a C++17 library of its own), OpenSSL.
 * Threads: PeerLinks may be called from any thread; its listener is called on
 * the io_context's threads, in order for each link, without locks held.
 */

#include "zr_peer/peer_links.h"
