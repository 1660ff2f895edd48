#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace zr {

/** Properties that must hold at all times; each has a counter of violations. */
enum class Invariant {
  kAdmittedFinishes,  // an admitted request finishes or fails within its time
  kNoKvLeak,          // no engine loses KV-cache memory permanently
  kFreshNotOverrun,  // a freshly started endpoint gets no more work than it can
                     // handle
  kDrainedDomainIdle,  // a drained domain gets no new work
  kAnswerIntegrity,    // a caller receives the whole answer to its own request
  kNotRunTrue,         // "not run" is reported only if nothing was executed
  kAtMostOnce,         // an operation that is not repeatable runs at most once
  kLeavingEndpointIdle,  // a leaving endpoint gets no new work
  kGracefulStop,         // a planned stop cuts no request
  kConfigNoRevert,       // an accepted configuration never reverts
  kInternal,             // any other asserted condition
};

inline constexpr size_t kInvariantCount =
    static_cast<size_t>(Invariant::kInternal) + 1;

/** Metric name of an invariant, for example "no_kv_leak". */
std::string_view ToString(Invariant invariant);

/** Process-wide counters of invariant violations. Thread-safe. */
class Invariants {
 public:
  using ViolationHandler = void (*)(Invariant, std::string_view message);

  /** Counts a violation and passes it to the handler, if one is set. */
  static void Report(Invariant invariant, std::string_view message);

  /**
   * Sets the function that receives violations, for logging; nullptr removes
   * it.
   */
  static void SetHandler(ViolationHandler handler);

  static uint64_t Count(Invariant invariant);
  /** Sum over all invariants. */
  static uint64_t Total();
  /** Clears all counters; for tests. */
  static void Reset();
};

}  // namespace zr
