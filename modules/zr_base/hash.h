#pragma once

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace zr {

/**
 * Stable 64-bit hash (XXH3); the same on all VMs and in all versions of the
 * software.
 */
uint64_t Hash64(std::string_view data, uint64_t seed = 0);

/** Hash of several fields; field boundaries are significant. */
uint64_t HashFields(std::initializer_list<std::string_view> fields);

/**
 * Weighted rendezvous score of a node for a key. The node with the highest
 * score owns the key; removing a node moves only that node's keys.
 *
 * @param weight  relative share, greater than 0
 */
double RendezvousScore(std::string_view key, std::string_view node,
                       double weight = 1.0);

}  // namespace zr
