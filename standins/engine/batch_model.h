#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "standins/engine/engine_options.h"
#include "standins/engine/prefix_cache.h"
#include "zr_base/zr_base.h"

namespace zr {

/** A completion request in the batch model. */
struct BatchRequest {
  std::string id;
  std::string prompt;
  int64_t prompt_tokens = 0;
  int64_t max_tokens = 0;
  int64_t priority = 0;  // higher numbers run first
  int64_t member_kv_tokens =
      0;  // KV tokens to hold for a request shared with other engines, or 0
  bool crashes_engine = false;  // crashes the engine at the end of prefill
};

/** A running, waiting or finished stream. */
struct BatchStream {
  enum class Phase { kWaiting, kPrefill, kDecode, kDone };
  BatchRequest request;
  Phase phase = Phase::kWaiting;
  uint64_t answer_seed = 0;
  std::vector<uint64_t> blocks;
  size_t pinned = 0;        // leading blocks pinned in the cache
  int64_t uncached_kv = 0;  // KV tokens held outside the cache
  int64_t prefilled = 0;    // prompt tokens processed
  int64_t generated = 0;    // answer tokens generated
  int64_t arrival = 0;      // sequence number of arrival
  int64_t unclaimed_since_ms =
      -1;  // since when no reader is attached; -1 if one is
};

/** KV memory held by an import or export. */
struct BatchHold {
  bool is_export = false;
  int64_t kv_tokens = 0;
  int64_t expires_ms = -1;  // -1 for never
  std::string stream_id;    // of an export
  std::vector<uint64_t>
      blocks;  // taken over from the stream at its end; pinned in the cache
};

/**
 * Simulates the continuous batching of one engine. A step generates one token
 * for each decoding stream and prefills a bounded number of prompt tokens, in
 * order of priority and arrival; its duration grows with both. Callers pass in
 * the time. Not thread-safe.
 */
class BatchModel {
 public:
  enum class SubmitResult {
    kAccepted,
    kAttached,
    kQueueFull,
    kTooLarge,
    kOverrun
  };

  BatchModel(const EngineOptions& options, PrefixCache::Observer observer)
      : options_(options),
        cache_(std::move(observer)),
        warmup_completed_(options.start_warm ? options.warm_after : 0) {}

  //============================================================================
  // Streams

  /** Queues a request, or returns why not. A known id is attached to its
   * stream. */
  SubmitResult Submit(BatchRequest request, int64_t now_ms);
  BatchStream* Find(const std::string& id);
  /** Ends a stream and frees its memory. @returns false if there is none */
  bool Remove(const std::string& id);
  /** Removes expired holds and streams that were without a reader for too long.
   * @returns the ids of the removed streams */
  std::vector<std::string> Expire(int64_t now_ms);

  //============================================================================
  // Steps

  /** True if any stream is running or waiting. */
  bool HasWork() const { return !running_.empty() || !waiting_.empty(); }
  /** Admits waiting requests and plans a step. @returns the step's duration in
   * microseconds */
  int64_t BeginStep();
  /** Result of a step. */
  struct StepResult {
    std::vector<std::string> advanced;  // streams with a new token
    bool crashed = false;               // a prompt has crashed the engine
  };
  /** Executes the planned step. */
  StepResult EndStep(int64_t now_ms);

  //============================================================================
  // Imports and exports

  /** Reserves memory or resizes a reservation. @returns false if the memory
   * does not suffice */
  bool Import(const std::string& id, int64_t kv_tokens, int64_t expires_ms);
  /** Retains a stream's memory beyond the stream's end. @returns false if there
   * is no such stream */
  bool Export(const std::string& id, const std::string& stream_id);
  /** Frees an import or export. */
  bool RemoveHold(const std::string& id, bool is_export);

  //============================================================================
  // State

  /** Clears all state, as a crash does; the engine is cold afterwards. */
  void Reset();
  /** Makes the engine cold. From the given time on, exceeding the allowance
   * crashes it. */
  void MakeCold(int64_t overrun_from_ms);
  /** Evicts all blocks of the prefix cache that are not pinned. */
  void EvictUnused();
  /** Number of concurrent requests beyond which a cold engine crashes. */
  int Allowance() const;
  /** Speed relative to a warm engine, without the factor of the slow fault. */
  double RelativeSpeed() const;
  void set_slow_factor(double factor) { slow_factor_ = factor; }
  /** KV tokens in use by streams, imports and exports. */
  int64_t kv_used() const { return uncached_kv_ + cache_.pinned_tokens(); }
  int64_t kv_peak() const { return kv_peak_; }
  size_t running() const { return running_.size(); }
  size_t waiting() const { return waiting_.size(); }
  int64_t completed() const { return completed_; }
  int64_t overruns() const { return overruns_; }
  int64_t generated_tokens() const { return generated_tokens_; }
  const std::map<std::string, BatchStream>& streams() const { return streams_; }
  const std::map<std::string, BatchHold>& holds() const { return holds_; }

 private:
  using QueueKey = std::pair<std::pair<int64_t, int64_t>, std::string>;
  static QueueKey QueueKeyOf(const BatchStream& stream) {
    return {{-stream.request.priority, stream.arrival}, stream.request.id};
  }

  bool Admit(BatchStream& stream);
  void FreeHold(const BatchHold& hold);
  bool EvictToFit(int64_t tokens);
  void FinishPrefill(BatchStream& stream);
  void Finish(BatchStream& stream, int64_t now_ms);
  void ReleaseMemory(BatchStream& stream);
  void CheckMemory();

  const EngineOptions& options_;
  PrefixCache cache_;
  std::map<std::string, BatchStream> streams_;
  std::map<std::string, BatchHold> holds_;  // by "import/ID" or "export/ID"
  std::set<QueueKey> waiting_;
  std::set<QueueKey> running_;  // prefill and decode
  std::vector<std::pair<std::string, int64_t>> planned_prefill_;
  std::vector<std::string> planned_decode_;
  int64_t uncached_kv_ = 0;
  int64_t kv_peak_ = 0;
  int64_t last_arrival_ = 0;
  int64_t warmup_completed_ = 0;  // since the last cold start
  int64_t completed_ = 0;
  int64_t overruns_ = 0;
  int64_t generated_tokens_ = 0;
  int64_t overrun_from_ms_ = 0;
  double slow_factor_ = 1;
};

}  // namespace zr
