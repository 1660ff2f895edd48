#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_wire/stream_id.h"

namespace zr {

/** A load report of an endpoint (`GET /engine/load`). */
struct EngineLoad {
  BootNumber boot;
  uint64_t sequence = 0;  // increases with each report of a boot
  Duration engine_time;   // engine clock; not comparable with the local one
  TokenCount kv_capacity;
  TokenCount kv_used;
  int64_t running = 0;
  int64_t waiting = 0;
  std::string model;
  std::string version;
  std::vector<std::string> adapters;
  std::string role;
  bool leaving = false;
  double tokens_per_second = 0;  // generated, over all streams
  friend auto operator<=>(const EngineLoad&, const EngineLoad&) = default;
};

/** Kinds of objects that use KV tokens at an engine. */
enum class EngineStreamKind : uint8_t { kStream, kImport, kExport };

/** One entry of an engine's stream list. */
struct EngineStream {
  std::string id;
  EngineStreamKind kind = EngineStreamKind::kStream;
  TokenCount kv_tokens;
  int64_t offset = 0;  // tokens generated
  bool done = false;
  friend auto operator<=>(const EngineStream&, const EngineStream&) = default;
};

/** All streams, imports and exports of an engine (`GET /engine/streams`). */
struct EngineStreams {
  BootNumber boot;
  std::vector<EngineStream> streams;
  friend auto operator<=>(const EngineStreams&, const EngineStreams&) = default;
};

enum class CacheOperation : uint8_t { kStored, kEvicted, kCleared };

/** A change in an engine's prefix cache. */
struct CacheEvent {
  uint64_t sequence = 0;
  CacheOperation operation = CacheOperation::kStored;
  PrefixHash hash;  // unused for kCleared
  friend auto operator<=>(const CacheEvent&, const CacheEvent&) = default;
};

/** Cache events since a sequence number (`GET /engine/cache_events`). */
struct CacheEvents {
  BootNumber boot;
  std::vector<CacheEvent> events;  // ascending sequence, possibly with gaps
  friend auto operator<=>(const CacheEvents&, const CacheEvents&) = default;
};

}  // namespace zr
