#pragma once

#include <array>
#include <cstdint>
#include <map>

#include "zr_base/zr_base.h"
#include "zr_config/zr_config.h"

namespace zr {

/**
 * Estimates an endpoint's service times: prefill speed (shared by all prompts
 * in prefill), decode speed per stream by batch size, answer length relative to
 * the answer limit by class, and the time of plain calls. Starts from the
 * pool's policy and is updated from completed calls.
 */
class ServiceTimeModel {
 public:
  explicit ServiceTimeModel(const PoolPolicy& policy);

  /** Measurements of a completed call. */
  struct Observation {
    ClassId request_class;
    double prefill_tokens = 0;  // uncached prompt tokens
    double prefill_seconds =
        0;                // estimated at the current speed, with other prompts
    double answered = 0;  // tokens generated
    double overlap_seconds =
        0;  // decode time that overlaps with other prompts' prefill
    double max_answer = 0;  // limit of the answer, in tokens
    double batch = 1;       // mean batch size over the run
    Duration run_time;
    Duration first_token;  // 0 if unknown
  };

  void ObserveModelCall(const Observation& observation);
  void ObservePlainCall(const ClassId& request_class, Duration run_time);

  /** Tokens per second, over all prompts in prefill. */
  double PrefillSpeed() const { return prefill_speed_; }
  /** Tokens per second of one stream in a batch of the given size (at least 1).
   */
  double DecodeSpeed(double batch) const;
  /** Seconds for an answer whose decode overlaps with other prompts' prefill
   * for the first `overlap_seconds`. */
  double AnswerSeconds(double answer, double batch,
                       double overlap_seconds) const;
  /** Share of its decode speed that a stream keeps during other prompts'
   * prefill; starts low. */
  double OverlapDecodeShare() const { return overlap_decode_share_; }
  /** Expected answer length in tokens, from the limit and the class's usual
   * share of it. */
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
      8;  // batch sizes of about 1, 2, 4, ..., 128 and more
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
      decode_ratio_{};  // relative to the initial estimate, 0 if not observed
  std::map<ClassId, RunningMean> answer_share_;
  std::map<ClassId, RunningMean> plain_time_;  // seconds
};

}  // namespace zr
