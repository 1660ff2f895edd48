#pragma once

#include <cstdint>
#include <string>

namespace zr {

/** Options of an engine stand-in. The time scale applies to all times unless
 * marked as real time. */
struct EngineOptions {
  std::string name;
  std::string listen;    // "ip:port"
  std::string platform;  // "ip:port" of the platform stand-in for weights;
                         // empty for none
  std::string model;     // served at start; empty accepts any
  int64_t kv_capacity = 200'000;  // tokens
  double prefill_tps = 20'000;    // prompt tokens per second
  double decode_tps = 50;         // answer tokens per second of a single stream
  double time_scale = 1;          // speeds up prefill, decoding and model loads
  int64_t step_prefill_tokens = 2'048;  // maximum prompt tokens per step
  int fresh_requests =
      4;                  // maximum concurrent on a fresh engine; more crash it
  int max_requests = 64;  // maximum running; more wait
  int max_waiting = 32;   // maximum waiting; more are refused
  int warm_after = 40;    // completed requests until the engine is warm
  bool start_warm = false;   // warm at the first start, cold after crashes
  double cold_speed = 0.25;  // speed of a cold engine relative to a warm one
  int64_t cold_grace_ms =
      2'000;  // time after a silent cold start without overrun crashes
  int64_t unclaimed_window_ms = 10'000;  // real time
  int64_t report_lag_ms = 300;           // real time
  int64_t cache_event_lag_ms = 500;      // real time
  double cache_event_gap = 0.02;  // probability that an event is never reported
  int64_t restart_ms =
      1'000;  // real time for which the port is closed after a crash
  int64_t load_ms = 2'000;  // time of a model load without a platform
  bool checks_fencing = true;
  uint64_t boot = 1;
  uint64_t seed = 1;
};

}  // namespace zr
