#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <string>

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

// Guards against a process that ends because of a line without fields.
TEST_CASE("A line of the log may have no fields") {
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  DecisionLog::Options options;
  options.descriptor = ends[1];
  DecisionLog log("vm-1", options);
  log.Write(TimePoint(), "event", {});
  log.Write(TimePoint(), "event", {{"a", 1}});
  std::array<char, 1024> buffer{};
  const auto size = read(ends[0], buffer.data(), buffer.size());
  REQUIRE(size > 0);
  const std::string lines(buffer.data(), static_cast<size_t>(size));
  CHECK(std::count(lines.begin(), lines.end(), '\n') == 2);
  CHECK(lines.find(R"("a":1)") != std::string::npos);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace zr
