#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/call_endpoints.h"
#include "zr_gateway/endpoint_board.h"
#include "zr_gateway/gateway_types.h"

namespace zr {

/** An endpoint of a plan. */
struct PlacedEndpoint {
  EndpointId endpoint;
  std::string address;
  friend auto operator<=>(const PlacedEndpoint&,
                          const PlacedEndpoint&) = default;
};

/** Where a request goes. */
struct PlacementPlan {
  PlacedEndpoint first;  // runs the request
  /** Engines that read a part of the prompt each, for the first. */
  std::vector<PlacedEndpoint> helpers;
  size_t holders = 0;   // of the helpers, those that keep their part in memory
  TokenCount reserved;  // memory to be reserved at each holder
  double part_ms = 0;   // reading time of each part
  Duration expected_first_token;  // from published figures and known load

  CallEndpoints Endpoints() const;
};

/** What a request asks of the endpoints. */
struct CallNeeds {
  PromptShape shape;
  Duration objective;              // left until the answer is late
  Duration gap = Duration::Max();  // longest pause that its caller tolerates
  Duration time_left;              // until its deadline
  std::set<EndpointId> excluded;   // already tried
  friend auto operator<=>(const CallNeeds&, const CallNeeds&) = default;
};

/** Most helpers that an engine accepts for one prompt. */
inline constexpr size_t kMaxHelpers = 16;

/** Milliseconds that one engine needs to read a prompt alone. */
double ReadMilliseconds(const EngineFigures& engine, TokenCount prompt);

/** Milliseconds of one pass with the given writers, without reading. */
double PassMilliseconds(const EngineFigures& engine, int writers,
                        double mean_context);

/**
 * The memory of so many engines holds the prompt and the longest answer.
 *
 * @param max_helpers  that one request may have
 */
bool FitsEngines(const EngineFigures& engine, const PromptShape& shape,
                 size_t engines, size_t max_helpers);

/** How many engines hold a prompt besides the one that runs it. */
struct MemorySplit {
  size_t holders = 0;
  TokenCount reserved;  // at each holder
  friend auto operator<=>(const MemorySplit&, const MemorySplit&) = default;
};

/**
 * Shares the memory of a request evenly among as few engines as have room.
 * This answers loads whose longest prompts exceed one engine, or the memory
 * that others have left on it.
 *
 * @param need          tokens of the prompt and its longest answer
 * @param free_first    tokens free on the engine that runs the request
 * @param free_helpers  tokens free on the others, most first
 * @returns nothing if they have no room together
 */
std::optional<MemorySplit> SplitMemory(double need, double free_first,
                                       const std::vector<double>& free_helpers);

/**
 * What a request is worth against others of its pool: its size in tokens, each
 * token of the answer counted as ten of the prompt, which engines read many at
 * a time.
 */
double RequestValue(const PromptShape& shape);

/**
 * Places requests by the load that is known of each endpoint.
 *
 * Plain services: the endpoint with the fewest calls.
 *
 * Model services: reading a prompt stretches the pass of the engine, so that
 * the answers which it writes pause. Prompts that read quickly are packed onto
 * engines that already write for callers of the same kind; a longer prompt is
 * split over the engines for which the sum of disturbed answers and of its own
 * risk to be late is least, each weighed by its value. Engines for short
 * and for long prompts so part by themselves, in the proportion of the load.
 * This answers loads whose mix of lengths changes within seconds.
 */
class Placement {
 public:
  struct Options {
    /** A prompt that one engine reads within this stays on one engine. */
    double max_unsplit_prefill_ms = 60;
    size_t max_helpers = kMaxHelpers;
    /** Memory left free for answers, share of an engine's capacity. */
    double kv_reserve = 0.02;
    /** Packs short prompts; right only where the calls of all VMs are known. */
    bool pack = true;
    /** Slots kept free when short prompts are packed, share of all. */
    double slot_reserve = 0.2;
    /** A forecast of up to this part of the objective is taken as certain to
     * be in time; beyond it the risk of a late answer grows evenly. */
    double safe_objective_share = 0.1;
    /** Part of a tolerated pause that a forecast may use up. */
    double max_gap_share = 0.85;
  };

  Placement() : Placement(Options{}) {}
  explicit Placement(Options options) : options_(options) {}

  /** A prompt that takes so long to read stays on one engine. */
  bool IsShortPrefill(double total_prefill_ms) const {
    return total_prefill_ms <= options_.max_unsplit_prefill_ms;
  }

  /**
   * @param engine  figures of a model service, null for plain services
   * @param tie_seed     a number that spreads equal choices of several VMs
   * @returns nothing if no endpoint may be given the call now
   */
  std::optional<PlacementPlan> Choose(TimePoint now, const EndpointBoard& board,
                                      const ServiceName& service,
                                      const EngineFigures* engine,
                                      const CallNeeds& needs,
                                      uint64_t tie_seed) const;

 private:
  struct EngineView;

  std::optional<PlacementPlan> ChoosePlain(
      TimePoint now, const std::vector<const EndpointState*>& candidates,
      uint64_t tie_seed) const;
  std::optional<PlacementPlan> PackShort(const std::vector<EngineView>& engines,
                                         const EngineFigures& figures,
                                         const CallNeeds& needs,
                                         double total_prefill_ms) const;
  std::optional<PlacementPlan> SplitLong(const std::vector<EngineView>& engines,
                                         const EngineFigures& figures,
                                         const CallNeeds& needs,
                                         double total_prefill_ms) const;

  Options options_;
};

}  // namespace zr
