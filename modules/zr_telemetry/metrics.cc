#include "zr_telemetry/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <sstream>

namespace zr {
namespace {

namespace acc = boost::accumulators;

using Accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max,
                       acc::tag::extended_p_square_quantile>>;

// Upper bounds in seconds; finer around the objectives for the first token and
// for the time between tokens.
constexpr std::array<double, 18> kBuckets = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.052, 0.1, 0.25, 0.5,
    0.67,  1,      2.5,   5,    10,    30,    60,  300,  1800};
constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

std::string EscapeLabel(const std::string& value) {
  std::string out;
  for (char c : value) {
    if (c == '\\' || c == '"') out += '\\';
    if (c == '\n') {
      out += "\\n";
    } else {
      out += c;
    }
  }
  return out;
}

std::string FormatLabels(const MetricLabels& labels) {
  std::string out;
  for (const auto& [name, value] : labels) {
    if (!out.empty()) out += ',';
    out += name + "=\"" + EscapeLabel(value) + "\"";
  }
  return out;
}

std::string FormatLabelSet(const std::string& labels,
                           const std::string& extra = "") {
  if (labels.empty() && extra.empty()) return "";
  return "{" + labels + (labels.empty() || extra.empty() ? "" : ",") + extra +
         "}";
}

}  // namespace

struct Metrics::Histogram {
  std::array<uint64_t, kBuckets.size()> buckets{};
  Accumulator accumulator{acc::extended_p_square_probabilities = kQuantiles};

  void Add(double seconds) {
    accumulator(seconds);
    for (size_t i = 0; i < kBuckets.size(); ++i) {
      if (seconds <= kBuckets[i]) ++buckets[i];
    }
  }

  void Print(std::ostream& os, const std::string& name,
             const std::string& labels) const {
    for (size_t i = 0; i < kBuckets.size(); ++i) {
      std::ostringstream bound;
      bound << "le=\"" << kBuckets[i] << "\"";
      os << name << "_bucket" << FormatLabelSet(labels, bound.str()) << ' '
         << buckets[i] << '\n';
    }
    os << name << "_bucket" << FormatLabelSet(labels, "le=\"+Inf\"") << ' '
       << acc::count(accumulator) << '\n';
    os << name << "_sum" << FormatLabelSet(labels) << ' '
       << acc::sum(accumulator) << '\n';
    os << name << "_count" << FormatLabelSet(labels) << ' '
       << acc::count(accumulator) << '\n';
  }

  void PrintQuantiles(std::ostream& os, const std::string& name,
                      const std::string& labels) const {
    for (double q : kQuantiles) {
      std::ostringstream quantile;
      quantile << "quantile=\"" << q << "\"";
      os << name << FormatLabelSet(labels, quantile.str()) << ' '
         << acc::quantile(accumulator, acc::quantile_probability = q) << '\n';
    }
  }
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name, const MetricLabels& labels,
                    double increment) {
  ZR_ASSERT(increment >= 0, "a counter cannot decrease");
  const std::string key = FormatLabels(labels);
  std::lock_guard lock(mutex_);
  counters_[name][key] += increment;
}

void Metrics::Set(const std::string& name, const MetricLabels& labels,
                  double value) {
  const std::string key = FormatLabels(labels);
  std::lock_guard lock(mutex_);
  gauges_[name][key] = value;
}

void Metrics::Observe(const std::string& name, const MetricLabels& labels,
                      Duration sample) {
  const std::string key = FormatLabels(labels);
  std::lock_guard lock(mutex_);
  auto& histogram = histograms_[name][key];
  if (!histogram) histogram = std::make_unique<Histogram>();
  histogram->Add(sample.seconds());
}

double Metrics::Value(const std::string& name,
                      const MetricLabels& labels) const {
  const std::string key = FormatLabels(labels);
  std::lock_guard lock(mutex_);
  for (const auto* family : {&counters_, &gauges_}) {
    auto series = family->find(name);
    if (series == family->end()) continue;
    auto value = series->second.find(key);
    if (value != series->second.end()) return value->second;
  }
  return 0;
}

std::string Metrics::PrometheusText() const {
  std::ostringstream os;
  std::lock_guard lock(mutex_);
  auto print = [&os](const auto& families, const char* type) {
    for (const auto& [name, series] : families) {
      os << "# TYPE " << name << ' ' << type << '\n';
      for (const auto& [labels, value] : series) {
        os << name << FormatLabelSet(labels) << ' ' << value << '\n';
      }
    }
  };
  print(counters_, "counter");
  print(gauges_, "gauge");
  for (const auto& [name, series] : histograms_) {
    os << "# TYPE " << name << " histogram\n";
    for (const auto& [labels, histogram] : series) {
      histogram->Print(os, name, labels);
    }
    os << "# TYPE " << name << "_quantile gauge\n";
    for (const auto& [labels, histogram] : series) {
      histogram->PrintQuantiles(os, name + "_quantile", labels);
    }
  }
  os << "# TYPE zr_invariant_violations_total counter\n";
  for (size_t i = 0; i < kInvariantCount; ++i) {
    const auto invariant = static_cast<Invariant>(i);
    os << "zr_invariant_violations_total{invariant=\"" << ToString(invariant)
       << "\"} " << Invariants::Count(invariant) << '\n';
  }
  return os.str();
}

std::string PromptLengthBucket(TokenCount prompt) {
  const int64_t n = prompt.value();
  if (n <= 1'000) return "0-1k";
  if (n <= 8'000) return "1k-8k";
  if (n <= 32'000) return "8k-32k";
  if (n <= 100'000) return "32k-100k";
  return "100k-1M";
}

}  // namespace zr
