#include "zinniarill_load/load_plan.h"

#include <algorithm>
#include <cmath>

#include "zr_base/zr_base.h"

namespace zr {
namespace {

template <typename Items, typename Share>
size_t PickIndex(Random& random, const Items& items, Share share) {
  double total = 0;
  for (const auto& item : items) total += share(item);
  double left = random.Unit() * total;
  for (size_t i = 0; i + 1 < items.size(); ++i) {
    left -= share(items[i]);
    if (left < 0) return i;
  }
  return items.size() - 1;
}

int64_t PickLength(Random& random, const std::vector<LengthRange>& ranges) {
  const LengthRange& range = ranges[PickIndex(
      random, ranges, [](const LengthRange& r) { return r.share; })];
  const double low = std::log(static_cast<double>(range.low));
  const double high = std::log(static_cast<double>(range.high));
  const int64_t value =
      std::llround(std::exp(low + random.Unit() * (high - low)));
  return std::clamp(value, range.low, range.high);
}

/** Text that a class's calls share; four bytes a token. */
std::string SharedPrefix(const LoadClass& c, uint64_t number) {
  const std::string word = c.name + " " + std::to_string(number) + " ";
  const auto bytes = static_cast<size_t>(4 * c.prefix_tokens);
  std::string text;
  while (text.size() < bytes) text += word;
  text.resize(bytes);
  return text;
}

}  // namespace

std::vector<PlannedCall> MakePlan(const LoadScenario& scenario, uint64_t seed,
                                  const std::string& run) {
  Random random(seed);
  double peak = 0;
  for (const LoadRate& rate : scenario.rates) {
    peak = std::max(peak, rate.per_second);
  }
  std::vector<PlannedCall> plan;
  if (peak <= 0) return plan;
  double time = 0;
  while (true) {
    // Thinning: arrivals at the peak rate, kept in proportion to the present
    // one.
    time += -std::log(1.0 - random.Unit()) / peak;
    const Duration at =
        Duration::Microseconds(static_cast<int64_t>(time * 1e6));
    if (at >= scenario.length) return plan;
    if (!random.Chance(scenario.RateAt(at) / peak)) continue;
    PlannedCall call;
    call.at = at;
    call.class_index = PickIndex(random, scenario.classes,
                                 [](const LoadClass& c) { return c.share; });
    const LoadClass& c = scenario.classes[call.class_index];
    call.team_index =
        PickIndex(random, scenario.teams, [&c](const LoadTeam& t) {
          return c.team.empty() || c.team == t.name ? t.share : 0.0;
        });
    call.balancer = random.Next();
    call.request_id = run + "-" + std::to_string(plan.size());
    if (!c.is_service) {
      call.prompt_tokens = PickLength(random, c.prompt_tokens);
      call.answer_tokens = PickLength(random, c.answer_tokens);
      if (c.shared_prefixes > 0) {
        call.prompt = SharedPrefix(
            c, random.Below(static_cast<uint64_t>(c.shared_prefixes)));
        call.prompt_tokens = std::max(call.prompt_tokens, c.prefix_tokens + 1);
      }
      call.prompt += "prompt of " + call.request_id;
    }
    plan.push_back(std::move(call));
  }
}

}  // namespace zr
