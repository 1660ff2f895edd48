#include <catch2/catch.hpp>

#include "zr_telemetry/zr_telemetry.h"

namespace zr {
namespace {

// Guards against histograms or labels that a Prometheus scraper cannot parse.
TEST_CASE("Metrics are exported as Prometheus text") {
  Metrics metrics;
  metrics.Count("zr_requests_total", {{"team", "a\"b"}});
  metrics.Observe("zr_ttft_seconds", {{"class", "lookup"}},
                  Duration::Milliseconds(60));
  const std::string text = metrics.PrometheusText();
  CHECK(text.find("zr_requests_total{team=\"a\\\"b\"} 1") != std::string::npos);
  CHECK(text.find("zr_ttft_seconds_bucket{class=\"lookup\",le=\"0.052\"} 0") !=
        std::string::npos);
  CHECK(text.find("zr_ttft_seconds_bucket{class=\"lookup\",le=\"0.1\"} 1") !=
        std::string::npos);
  CHECK(
      text.find("zr_invariant_violations_total{invariant=\"at_most_once\"}") !=
      std::string::npos);
}

}  // namespace
}  // namespace zr
