#pragma once

#include <cstdint>
#include <string>

namespace zr {

/** Settings of one engine stand-in; times are before the time scale unless
 * noted. */
struct EngineOptions {
  std::string name;
  std::string listen;    // "ip:port"
  std::string platform;  // "ip:port" of the platform stand-in for weights;
                         // empty for none
  std::string model;     // served at start; empty accepts any
  int64_t kv_capacity = 200'000;  // tokens
  double prefill_tps = 20'000;    // prompt tokens a second
  double decode_tps = 50;         // answer tokens a second of a single stream
  double time_scale = 1;          // speeds prefill, decoding and model loads up
  int64_t step_prefill_tokens = 2'048;  // prompt tokens of one step at most
  int fresh_requests = 4;   // concurrent requests that a fresh engine survives
  int max_requests = 64;    // running at once; more wait
  int max_waiting = 32;     // waiting at once; more are refused
  int warm_after = 40;      // completed requests after which the engine is warm
  bool start_warm = false;  // warm from the first start, cold after crashes
  double cold_speed = 0.25;  // speed of a cold engine, relative to a warm one
  int64_t cold_grace_ms =
      2'000;  // after a silent cold start, overruns crash only after this time
  int64_t unclaimed_window_ms = 10'000;  // real time
  int64_t report_lag_ms = 300;           // real time
  int64_t cache_event_lag_ms = 500;      // real time
  double cache_event_gap = 0.02;  // probability that an event is never reported
  int64_t restart_ms =
      1'000;                // real time that the port is closed after a crash
  int64_t load_ms = 2'000;  // model load without a platform
  bool checks_fencing = true;
  uint64_t boot = 1;
  uint64_t seed = 1;
};

}  // namespace zr
