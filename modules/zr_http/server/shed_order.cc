#include "zr_http/server/shed_order.h"

#include <tuple>

namespace zr {
namespace {

using State = ClientLoad::State;

bool Stalled(const ClientLoad& load, TimePoint now) {
  return now - load.last_progress >= ShedOrder::kStalled;
}

/** @returns the index of the load with the greatest key among those chosen */
template <typename Choose, typename Key>
std::optional<size_t> Greatest(const ShedOrder::Loads& loads, Choose choose,
                               Key key) {
  std::optional<size_t> best;
  for (size_t i = 0; i < loads.size(); ++i) {
    if (!choose(loads[i])) continue;
    if (!best || key(loads[i]) > key(loads[*best])) best = i;
  }
  return best;
}

}  // namespace

std::optional<size_t> ShedOrder::ForMemory(const Loads& loads, TimePoint now,
                                           TimePoint last_release) {
  const auto refused = Greatest(
      loads,
      [](const ClientLoad& load) {
        return load.state == State::kRefused && load.held > 0;
      },
      [](const ClientLoad& load) { return load.held; });
  if (refused) return refused;
  const auto stalled = Greatest(
      loads,
      [now](const ClientLoad& load) {
        return load.state == State::kReading && load.held > 0 &&
               Stalled(load, now);
      },
      [now](const ClientLoad& load) {
        return std::tuple(now - load.last_progress, load.held);
      });
  if (stalled || now - last_release < kBlocked) return stalled;
  return Greatest(
      loads,
      [](const ClientLoad& load) {
        return load.held > 0 &&
               (load.state == State::kReading || load.state == State::kWaiting);
      },
      [now](const ClientLoad& load) {
        return std::tuple(load.held, now - load.last_progress);
      });
}

std::optional<size_t> ShedOrder::ForWaiting(const Loads& waiting) {
  std::optional<size_t> chosen;
  for (size_t i = 0; i < waiting.size(); ++i) {
    if (waiting[i].state != State::kWaiting) continue;
    if (!chosen || waiting[i].wanted >= waiting[*chosen].wanted) chosen = i;
  }
  return chosen;
}

std::optional<size_t> ShedOrder::ForConnection(const Loads& loads,
                                               TimePoint now) {
  const auto rank = [](const ClientLoad& load) {
    switch (load.state) {
      case State::kRefused:
        return 4;
      case State::kReading:
        return 3;
      case State::kIdle:
        return load.served ? 1 : 2;
      default:
        return 0;
    }
  };
  return Greatest(
      loads,
      [&](const ClientLoad& load) {
        return rank(load) == 4 || (rank(load) > 0 && Stalled(load, now));
      },
      [&](const ClientLoad& load) {
        return std::tuple(rank(load), now - load.last_progress);
      });
}

}  // namespace zr
