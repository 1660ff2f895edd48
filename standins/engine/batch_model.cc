#include "standins/engine/batch_model.h"

#include <algorithm>

#include "standins/common/token_text.h"

namespace zr {
namespace {

// Relative increase of the decode time of a step with a full batch.
constexpr double kBatchSlowdown = 0.5;
// Fixed duration of a step, apart from its tokens.
constexpr double kStepOverheadSeconds = 0.002;

std::string HoldKey(const std::string& id, bool is_export) {
  return (is_export ? "export/" : "import/") + id;
}

}  // namespace

//==============================================================================
// Streams

BatchModel::SubmitResult BatchModel::Submit(BatchRequest request,
                                            int64_t now_ms) {
  if (streams_.contains(request.id)) return SubmitResult::kAttached;
  const int64_t need = request.member_kv_tokens > 0
                           ? request.member_kv_tokens
                           : request.prompt_tokens + request.max_tokens;
  if (need > options_.kv_capacity) return SubmitResult::kTooLarge;
  const auto active = static_cast<int>(running_.size() + waiting_.size());
  if (warmup_completed_ < options_.warm_after && active + 1 > Allowance() &&
      now_ms >= overrun_from_ms_) {
    ++overruns_;
    return SubmitResult::kOverrun;
  }
  const bool must_wait =
      static_cast<int>(running_.size()) >= options_.max_requests ||
      !waiting_.empty() || kv_used() + need > options_.kv_capacity;
  if (must_wait && static_cast<int>(waiting_.size()) >= options_.max_waiting) {
    return SubmitResult::kQueueFull;
  }
  BatchStream stream;
  if (request.member_kv_tokens == 0) {
    stream.blocks = PrefixBlockHashes(request.prompt, request.prompt_tokens);
  }
  stream.answer_seed = AnswerSeed(request.prompt);
  stream.arrival = ++last_arrival_;
  stream.request = std::move(request);
  waiting_.insert(QueueKeyOf(stream));
  std::string id = stream.request.id;
  streams_.emplace(std::move(id), std::move(stream));
  return SubmitResult::kAccepted;
}

BatchStream* BatchModel::Find(const std::string& id) {
  auto it = streams_.find(id);
  return it == streams_.end() ? nullptr : &it->second;
}

bool BatchModel::Remove(const std::string& id) {
  auto it = streams_.find(id);
  if (it == streams_.end()) return false;
  waiting_.erase(QueueKeyOf(it->second));
  running_.erase(QueueKeyOf(it->second));
  ReleaseMemory(it->second);
  streams_.erase(it);
  return true;
}

std::vector<std::string> BatchModel::Expire(int64_t now_ms) {
  std::vector<std::string> dropped;
  for (const auto& [id, stream] : streams_) {
    if (stream.unclaimed_since_ms >= 0 &&
        now_ms - stream.unclaimed_since_ms >= options_.unclaimed_window_ms) {
      dropped.push_back(id);
    }
  }
  for (const auto& id : dropped) Remove(id);
  for (auto it = holds_.begin(); it != holds_.end();) {
    if (it->second.expires_ms >= 0 && now_ms >= it->second.expires_ms) {
      FreeHold(it->second);
      it = holds_.erase(it);
    } else {
      ++it;
    }
  }
  return dropped;
}

//==============================================================================
// Steps

bool BatchModel::EvictToFit(int64_t tokens) {
  if (kv_used() + tokens > options_.kv_capacity) return false;
  while (uncached_kv_ + cache_.total_tokens() + tokens > options_.kv_capacity) {
    if (!cache_.EvictOne()) return false;
  }
  return true;
}

bool BatchModel::Admit(BatchStream& stream) {
  const BatchRequest& request = stream.request;
  const size_t hits = cache_.Match(stream.blocks);
  for (size_t i = 0; i < hits; ++i) cache_.PinOrInsert(stream.blocks[i]);
  const int64_t hit_tokens = static_cast<int64_t>(hits) * kPrefixBlockTokens;
  const int64_t need =
      request.member_kv_tokens > 0
          ? request.member_kv_tokens
          : request.prompt_tokens - hit_tokens + request.max_tokens;
  if (!EvictToFit(need)) {
    for (size_t i = 0; i < hits; ++i) cache_.Unpin(stream.blocks[i]);
    return false;
  }
  uncached_kv_ += need;
  stream.uncached_kv = need;
  stream.pinned = hits;
  // The last prompt token is always computed, as it yields the first answer
  // token.
  stream.prefilled = std::min(hit_tokens, request.prompt_tokens - 1);
  stream.phase = BatchStream::Phase::kPrefill;
  CheckMemory();
  return true;
}

int64_t BatchModel::BeginStep() {
  while (!waiting_.empty() &&
         static_cast<int>(running_.size()) < options_.max_requests) {
    const QueueKey key = *waiting_.begin();
    // A request that does not fit blocks those behind it.
    if (!Admit(streams_.at(key.second))) break;
    waiting_.erase(waiting_.begin());
    running_.insert(key);
  }
  planned_prefill_.clear();
  planned_decode_.clear();
  int64_t budget = options_.step_prefill_tokens;
  for (const auto& [key, id] : running_) {
    const BatchStream& stream = streams_.at(id);
    if (stream.phase == BatchStream::Phase::kDecode) {
      planned_decode_.push_back(id);
    } else if (budget > 0) {
      const int64_t chunk =
          std::min(budget, stream.request.prompt_tokens - stream.prefilled);
      planned_prefill_.emplace_back(id, chunk);
      budget -= chunk;
    }
  }
  const auto prefill =
      static_cast<double>(options_.step_prefill_tokens - budget);
  double seconds = kStepOverheadSeconds + prefill / options_.prefill_tps;
  if (!planned_decode_.empty()) {
    const double fill =
        static_cast<double>(planned_decode_.size()) / options_.max_requests;
    seconds += (1.0 + kBatchSlowdown * fill) / options_.decode_tps -
               kStepOverheadSeconds;
  }
  return static_cast<int64_t>(
      1e6 * seconds / (options_.time_scale * RelativeSpeed() * slow_factor_));
}

BatchModel::StepResult BatchModel::EndStep(int64_t now_ms) {
  StepResult result;
  for (const auto& id : planned_decode_) {
    BatchStream* stream = Find(id);
    if (stream == nullptr || stream->phase != BatchStream::Phase::kDecode) {
      continue;
    }
    ++stream->generated;
    ++generated_tokens_;
    result.advanced.push_back(id);
    if (stream->generated >= stream->request.max_tokens) {
      Finish(*stream, now_ms);
    }
  }
  for (const auto& [id, chunk] : planned_prefill_) {
    BatchStream* stream = Find(id);
    if (stream == nullptr || stream->phase != BatchStream::Phase::kPrefill) {
      continue;
    }
    stream->prefilled += chunk;
    if (stream->prefilled < stream->request.prompt_tokens) continue;
    if (stream->request.crashes_engine) result.crashed = true;
    FinishPrefill(*stream);
    // The end of prefill yields the first token.
    ++stream->generated;
    ++generated_tokens_;
    result.advanced.push_back(id);
    if (stream->generated >= stream->request.max_tokens) {
      Finish(*stream, now_ms);
    }
  }
  planned_decode_.clear();
  planned_prefill_.clear();
  CheckMemory();
  return result;
}

void BatchModel::FinishPrefill(BatchStream& stream) {
  // Moves full prompt blocks from the stream to the cache and pins them there.
  for (size_t i = stream.pinned; i < stream.blocks.size(); ++i) {
    uncached_kv_ -= kPrefixBlockTokens;
    stream.uncached_kv -= kPrefixBlockTokens;
    cache_.PinOrInsert(stream.blocks[i]);
  }
  stream.pinned = stream.blocks.size();
  stream.phase = BatchStream::Phase::kDecode;
}

void BatchModel::Finish(BatchStream& stream, int64_t now_ms) {
  running_.erase(QueueKeyOf(stream));
  stream.phase = BatchStream::Phase::kDone;
  ++completed_;
  ++warmup_completed_;
  if (stream.unclaimed_since_ms < 0) {
    // All tokens go to the attached reader. The stream stays known but holds no
    // memory, because the reader may fail before it forwards the end.
    ReleaseMemory(stream);
    stream.unclaimed_since_ms = now_ms;
  }
}

void BatchModel::ReleaseMemory(BatchStream& stream) {
  for (auto& [key, hold] : holds_) {
    if (!hold.is_export || hold.stream_id != stream.request.id) continue;
    // The first export takes over the memory.
    hold.kv_tokens += stream.uncached_kv;
    stream.uncached_kv = 0;
    const auto end =
        stream.blocks.begin() + static_cast<std::ptrdiff_t>(stream.pinned);
    hold.blocks.insert(hold.blocks.end(), stream.blocks.begin(), end);
    stream.pinned = 0;
  }
  for (size_t i = 0; i < stream.pinned; ++i) cache_.Unpin(stream.blocks[i]);
  stream.pinned = 0;
  uncached_kv_ -= stream.uncached_kv;
  stream.uncached_kv = 0;
}

void BatchModel::FreeHold(const BatchHold& hold) {
  uncached_kv_ -= hold.kv_tokens;
  for (const uint64_t block : hold.blocks) cache_.Unpin(block);
}

void BatchModel::CheckMemory() {
  kv_peak_ = std::max(kv_peak_, kv_used());
  ZR_ASSERT(uncached_kv_ >= 0, "no memory is freed twice");
  ZR_ASSERT(uncached_kv_ + cache_.total_tokens() <= options_.kv_capacity,
            "KV memory is bounded");
}

//==============================================================================
// Imports and exports

bool BatchModel::Import(const std::string& id, int64_t kv_tokens,
                        int64_t expires_ms) {
  auto it = holds_.find(HoldKey(id, false));
  const int64_t held = it == holds_.end() ? 0 : it->second.kv_tokens;
  if (!EvictToFit(kv_tokens - held)) return false;
  uncached_kv_ += kv_tokens - held;
  holds_[HoldKey(id, false)] = BatchHold{false, kv_tokens, expires_ms, "", {}};
  CheckMemory();
  return true;
}

bool BatchModel::Export(const std::string& id, const std::string& stream_id) {
  if (holds_.contains(HoldKey(id, true))) return true;
  if (!streams_.contains(stream_id)) return false;
  holds_[HoldKey(id, true)] = BatchHold{true, 0, -1, stream_id, {}};
  return true;
}

bool BatchModel::RemoveHold(const std::string& id, bool is_export) {
  auto it = holds_.find(HoldKey(id, is_export));
  if (it == holds_.end()) return false;
  FreeHold(it->second);
  holds_.erase(it);
  return true;
}

//==============================================================================
// State

void BatchModel::Reset() {
  streams_.clear();
  holds_.clear();
  waiting_.clear();
  running_.clear();
  planned_decode_.clear();
  planned_prefill_.clear();
  cache_.Clear();
  uncached_kv_ = 0;
  MakeCold(0);
}

void BatchModel::MakeCold(int64_t overrun_from_ms) {
  warmup_completed_ = 0;
  overrun_from_ms_ = overrun_from_ms;
}

void BatchModel::EvictUnused() {
  while (cache_.EvictOne()) {
  }
}

int BatchModel::Allowance() const {
  if (warmup_completed_ >= options_.warm_after) return options_.max_requests;
  const double share =
      static_cast<double>(warmup_completed_) / options_.warm_after;
  const double extra =
      share * (options_.max_requests - options_.fresh_requests);
  return options_.fresh_requests + static_cast<int>(extra);
}

double BatchModel::RelativeSpeed() const {
  if (warmup_completed_ >= options_.warm_after) return 1;
  const double share =
      static_cast<double>(warmup_completed_) / options_.warm_after;
  return options_.cold_speed + (1 - options_.cold_speed) * share;
}

}  // namespace zr
