#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "zr_admission/zr_admission.h"

namespace zr {

/**
 * Simulates an engine in virtual time. Prompts of the highest priority share
 * the prefill speed. Streams slow each other down and nearly stall during
 * prefill. A fresh engine crashes if it runs too many streams. Streams without
 * a reader are kept for the unclaimed window.
 */
class FakeEngine {
 public:
  struct Options {
    int64_t kv_capacity = 100'000;
    int64_t fresh = 4;
    int64_t max = 16;
    int64_t warm_after = 32;
    double prefill = 8'000;
    double decode = 50;
    double halving_batch = 64;
    double overlap_decode_share =
        0.1;  // share of the decode speed that remains during prefill
    Duration unclaimed_window = Duration::Seconds(10);
    Duration report_lag = Duration::Milliseconds(800);
  };
  enum class End { kDone, kBroken };
  using Callback = std::function<void(End)>;
  struct Stream {
    int64_t kv = 0;
    int32_t priority = 0;
    double prefill = 0;
    double answer = 0;
    double offset = 0;
    bool has_reader = true;
    TimePoint unread_since;
    TimePoint first_token;
    Callback on_end;
  };

  explicit FakeEngine(Options options) : options_(options) {}

  /** Starts a stream.
   * @returns false if the engine refuses it: no KV tokens, or down */
  bool Start(TimePoint now, const std::string& id, Stream stream) {
    if (down_) return false;
    if (KvUsed() + stream.kv > options_.kv_capacity) {
      ++kv_refusals;
      return false;
    }
    streams_[id] = std::move(stream);
    peak = std::max(peak, static_cast<int64_t>(streams_.size()));
    if (completed_<options_.warm_after&& static_cast<int64_t>(streams_.size())>
            RequestLimit()) {
      ++overruns;
      Restart(now);
    }
    return true;
  }

  void Cancel(const std::string& id) {
    const auto it = streams_.find(id);
    if (it == streams_.end()) return;
    Callback callback = std::move(it->second.on_end);
    const bool has_reader = it->second.has_reader;
    streams_.erase(it);
    if (has_reader && callback) callback(End::kBroken);
  }

  void DropReader(TimePoint now, const std::string& id) {
    const auto it = streams_.find(id);
    if (it == streams_.end()) return;
    it->second.has_reader = false;
    it->second.unread_since = now;
  }

  void Restart(TimePoint /*now*/) {
    ++boot_;
    sequence_ = 0;
    completed_ = 0;
    history_.clear();
    std::map<std::string, Stream> broken = std::move(streams_);
    streams_.clear();
    for (auto& [id, stream] : broken) {
      if (stream.has_reader && stream.on_end) stream.on_end(End::kBroken);
    }
  }
  void SetDown(bool down) { down_ = down; }
  bool down() const { return down_; }

  void Advance(TimePoint now, Duration step) {
    const double dt = step.seconds();
    int32_t top = 0;
    int sharing = 0;
    for (const auto& [id, stream] : streams_) {
      if (stream.prefill <= 0) continue;
      if (sharing == 0 || stream.priority > top) {
        sharing = 0, top = stream.priority;
      }
      if (stream.priority == top) ++sharing;
    }
    const auto batch = static_cast<double>(streams_.size());
    const double share = sharing > 0 ? options_.overlap_decode_share : 1;
    const double speed =
        share * options_.decode / (1 + (batch - 1) / options_.halving_batch);
    std::vector<std::string> ended;
    for (auto& [id, stream] : streams_) {
      if (stream.prefill > 0) {
        if (stream.priority == top) {
          stream.prefill -= options_.prefill / sharing * dt;
        }
        if (stream.prefill <= 0 && on_first_token) on_first_token(id);
      } else {
        stream.offset += speed * dt;
        if (stream.offset >= stream.answer) ended.push_back(id);
      }
      if (!stream.has_reader &&
          now - stream.unread_since > options_.unclaimed_window) {
        ended.push_back(id);
      }
    }
    for (const std::string& id : ended) {
      const auto it = streams_.find(id);
      if (it == streams_.end()) continue;
      Callback callback = std::move(it->second.on_end);
      const bool has_reader = it->second.has_reader;
      streams_.erase(it);
      ++completed_;
      if (has_reader && callback) callback(End::kDone);
    }
    Snapshot(now, speed);
  }

  /** The newest report that is at least report_lag old. */
  EngineLoad Load(TimePoint now) {
    EngineLoad load;
    for (const auto& [at, entry] : history_) {
      if (now - at >= options_.report_lag) load = entry;
    }
    load.boot = BootNumber(boot_);
    load.sequence = ++sequence_;
    load.kv_capacity = TokenCount(options_.kv_capacity);
    return load;
  }

  EngineStreams List() const {
    EngineStreams list;
    list.boot = BootNumber(boot_);
    for (const auto& [id, stream] : streams_) {
      list.streams.push_back(
          EngineStream{id, EngineStreamKind::kStream, TokenCount(stream.kv),
                       static_cast<int64_t>(stream.offset), false});
    }
    return list;
  }

  int64_t KvUsed() const {
    int64_t sum = 0;
    for (const auto& [id, stream] : streams_) sum += stream.kv;
    return sum;
  }
  int64_t RequestLimit() const {
    return options_.fresh + (options_.max - options_.fresh) *
                                std::min(completed_, options_.warm_after) /
                                std::max<int64_t>(1, options_.warm_after);
  }
  size_t running() const { return streams_.size(); }
  uint64_t boot() const { return boot_; }
  void Warm() { completed_ = options_.warm_after; }

  std::function<void(const std::string&)> on_first_token;
  int64_t overruns = 0;
  int64_t kv_refusals = 0;
  int64_t peak = 0;

 private:
  void Snapshot(TimePoint now, double speed) {
    if (!history_.empty() &&
        now - history_.back().first < Duration::Milliseconds(50)) {
      return;
    }
    EngineLoad load;
    load.kv_used = TokenCount(KvUsed());
    load.running = static_cast<int64_t>(streams_.size());
    for (const auto& [id, stream] : streams_) {
      if (stream.prefill <= 0) load.tokens_per_second += speed;
    }
    history_.emplace_back(now, load);
    while (history_.size() > 40) history_.pop_front();
  }

  Options options_;
  uint64_t boot_ = 1;
  uint64_t sequence_ = 0;
  int64_t completed_ = 0;
  bool down_ = false;
  std::map<std::string, Stream> streams_;
  std::deque<std::pair<TimePoint, EngineLoad>> history_;
};

/** Runs events in virtual time, in order of time and then of scheduling. */
class VirtualClock {
 public:
  TimePoint now() const { return now_; }
  void At(TimePoint time, std::function<void()> action) {
    events_.emplace(std::pair(std::max(time, now_), next_++),
                    std::move(action));
  }
  void After(Duration delay, std::function<void()> action) {
    At(now_ + delay, std::move(action));
  }
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto node = events_.extract(events_.begin());
      now_ = node.key().first;
      node.mapped()();
    }
    now_ = end;
  }

 private:
  TimePoint now_ = TimePoint::FromMicroseconds(1'000'000);
  uint64_t next_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> events_;
};

}  // namespace zr
