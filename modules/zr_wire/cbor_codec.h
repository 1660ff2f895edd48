#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "zr_wire/messages.h"

namespace zr {

/** Largest frame that carries a configuration document or objects of the store,
 * in bytes. */
inline constexpr size_t kMaxConfigFrameBytes = 1 << 20;
/** Largest frame of any other message, in bytes. */
inline constexpr size_t kMaxFrameBytes = 64 << 10;
/** Deepest nesting of arrays and maps in a frame. */
inline constexpr int kMaxFrameDepth = 8;

/** Encodes a message as a CBOR array: its type number, then its fields. */
std::vector<uint8_t> EncodeMessage(const Message& message);

/**
 * Decodes a frame.
 *
 * @returns kTooLarge for a frame beyond its size bound, kInvalidArgument for
 *          truncated or malformed CBOR, excess depth, an unknown type, a
 *          missing field or a field of the wrong type or range
 */
Result<Message> DecodeMessage(std::span<const uint8_t> frame);

}  // namespace zr
