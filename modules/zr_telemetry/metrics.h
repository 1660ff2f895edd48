#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** Label names and values of one series, for example {{"team", "customs"}}. */
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/**
 * A registry of counters, gauges and histograms, exported as Prometheus text.
 * Histograms have fixed buckets and streaming quantiles.
 */
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  //============================================================================
  // Recording

  /** Adds to a counter; the increment must not be negative. */
  void Count(const std::string& name, const MetricLabels& labels,
             double increment = 1);
  /** Sets a gauge. */
  void Set(const std::string& name, const MetricLabels& labels, double value);
  /** Adds a sample to a histogram, in seconds. */
  void Observe(const std::string& name, const MetricLabels& labels,
               Duration sample);

  //============================================================================
  // Queries

  /** Value of a counter or gauge; 0 if it was never recorded. */
  double Value(const std::string& name, const MetricLabels& labels) const;
  /** Prometheus text exposition, including the invariant counters. */
  std::string PrometheusText() const;

 private:
  struct Histogram;

  mutable std::mutex mutex_;
  std::map<std::string, std::map<std::string, double>> counters_;
  std::map<std::string, std::map<std::string, double>> gauges_;
  std::map<std::string, std::map<std::string, std::unique_ptr<Histogram>>>
      histograms_;
};

/** Label of a prompt-length bucket, for example "8k-32k". */
std::string PromptLengthBucket(TokenCount prompt);

}  // namespace zr
