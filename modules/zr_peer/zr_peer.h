#pragma once

/**
 * zr_peer: authenticated websocket links between entry VMs.
 *
 * Dependencies: zr_base, websocketpp (in a separate C++17 library), OpenSSL.
 * Threads: PeerLinks may be called from any thread. Its listener is called on
 * the threads of the io_context, in order for each link, without locks held.
 */

#include "zr_peer/peer_links.h"
