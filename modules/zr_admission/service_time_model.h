#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "zr_base/zr_base.h"
#include "zr_config/zr_config.h"

namespace zr {

/**
 * Estimates how fast an endpoint works: prefill speed (shared by all prompts
 * in prefill), decode speed of one stream by batch size, the share of the
 * answer bound that answers of a class use, and the time of plain calls.
 * Starts from the pool's policy and follows what releases show.
 */
class ServiceTimeModel {
 public:
  explicit ServiceTimeModel(const PoolPolicy& policy);

  /** What a completed call showed. */
  struct Observation {
    ClassId request_class;
    double prefill_tokens = 0;  // uncached prompt tokens
    double prefill_seconds =
        0;  // estimated with the present speed, other prompts included
    double answered = 0;  // tokens
    double overlap_seconds =
        0;  // part of the answer's time, while prompts were read
    double max_answer = 0;  // bound on the answer
    double batch = 1;       // mean batch size over its run
    Duration run_time;
    Duration first_token;  // 0 if not known
  };

  void ObserveModelCall(const Observation& observation);
  void ObservePlainCall(const ClassId& request_class, Duration run_time);

  /** Tokens a second, of all prompts in prefill together. */
  double PrefillSpeed() const { return prefill_speed_; }
  /** Tokens a second of one stream in a batch of the given size (at least 1).
   */
  double DecodeSpeed(double batch) const;
  /** Seconds for an answer while the engine reads prompts of others for the
   * first seconds. */
  double AnswerSeconds(double answer, double batch,
                       double overlap_seconds) const;
  /** Share of the decode speed that a stream keeps while the engine reads
   * prompts; low at first. */
  double OverlapDecodeShare() const { return overlap_decode_share_; }
  /** Expected answer length in tokens: the bound times the class's usual share
   * of it. */
  double ExpectedAnswer(const ClassId& request_class,
                        TokenCount max_answer) const;
  /** Expected time of a plain call. */
  Duration PlainCallTime(const ClassId& request_class) const;

 private:
  struct RunningMean {
    double mean = 0;
    double deviation = 0;
    int64_t samples = 0;
    void Add(double value);
  };

  static constexpr int kBuckets =
      8;  // batch sizes about 1, 2, 4, ..., 128 and more
  static int BucketOf(double batch);
  double RatioOf(int bucket) const;
  double PriorDecodeSpeed(double batch) const;
  void CorrectPrefill(const Observation& observation, double measured);
  void CorrectAnswer(const Observation& o, double measured);
  void CorrectDecode(const Observation& observation, double measured);

  double initial_prefill_speed_;
  double initial_decode_speed_;
  double overlap_decode_share_ = 0.1;
  double prefill_speed_;
  std::array<double, kBuckets>
      decode_ratio_{};  // to the first estimate, 0 if not observed
  std::map<ClassId, RunningMean> answer_share_;
  std::map<ClassId, RunningMean> plain_time_;  // seconds
};

}  // namespace zr
