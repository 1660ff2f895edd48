#pragma once

/**
 * zr_wire: the messages that entry VMs exchange and their CBOR encoding.
 *
 * Dependencies: zr_base, nlohmann::json (CBOR codec).
 * Threads: messages are plain values; the codec functions are reentrant.
 */

#include "zr_wire/cbor_codec.h"
#include "zr_wire/messages.h"
#include "zr_wire/stream_id.h"
