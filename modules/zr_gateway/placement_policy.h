#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/call_endpoints.h"
#include "zr_gateway/endpoint_tracker.h"
#include "zr_gateway/gateway_types.h"

namespace zr {

/** An endpoint chosen by a plan. */
struct PlacedEndpoint {
  EndpointId endpoint;
  std::string address;
  friend auto operator<=>(const PlacedEndpoint&,
                          const PlacedEndpoint&) = default;
};

/** The endpoints chosen for a request. */
struct PlacementPlan {
  PlacedEndpoint primary;  // runs the request
  /** Engines that each prefill a segment of the prompt. */
  std::vector<PlacedEndpoint> helpers;
  size_t kv_holders = 0;  // number of leading helpers that keep their segment
  TokenCount kv_per_holder;       // memory to reserve at each of them
  double prefill_ms = 0;          // prefill time of each segment
  Duration expected_first_token;  // from the engine profile and the known load
  /** Expected to meet the objective without stalling the endpoints' streams for
   * longer than their callers tolerate. */
  bool undisturbed = true;
  /** The engines have a free slot and memory for it, so that the time to its
   * first token shows how fast they are. */
  bool starts_at_once = false;
  /** The endpoint has a free slot, and all have memory for the request. */
  bool has_room = true;
  /** Value of the calls that are late, or whose streams stall for longer than
   * their callers tolerate, only because of this prompt. */
  double harmed_value = 0;
  /** Other prompts wait for the same pass of the engine, if it is short. */
  bool shares_pass = false;

  CallEndpoints Endpoints() const;
};

/** Requirements of a call for the choice of its endpoints. */
struct CallRequirements {
  PromptShape shape;
  Duration objective;  // time left of the latency objective
  Duration max_gap =
      Duration::Max();            // longest pause that the caller tolerates
  Duration time_left;             // until the deadline
  std::set<EndpointId> excluded;  // already tried
  /** Prefers endpoints with room to those with an earlier first token, if none
   * is undisturbed. */
  bool prefers_room = false;
  /** Splits a prompt over engines with room, also if it harms more calls. */
  bool needs_room = false;
  friend auto operator<=>(const CallRequirements&,
                          const CallRequirements&) = default;
};

/** What PlacementPolicy takes into account of one endpoint for a request. */
struct EndpointForecast {
  const EndpointState* state = nullptr;
  double calls = 0;           // calls that occupy a slot
  double first_token_ms = 0;  // if it runs the request alone; engines only
  double pass_ms = 0;         // pass that reads the prompt; engines only
  double free_tokens = 0;     // engines only
  double stalled_value = 0;   // of streams that the pass stalls; engines only
  /** Why the request would be late or disturb others there; null if not. */
  const char* drawback = nullptr;
};

/** Limit of helpers that an engine accepts for one prompt. */
inline constexpr size_t kMaxHelpers = 16;

/** Time in which a single engine prefills a prompt. */
double PrefillMilliseconds(const EngineProfile& engine, TokenCount prompt);

/** Time of one pass that decodes the given number of sequences, without
 * prefill. */
double PassMilliseconds(const EngineProfile& engine, int sequences,
                        double mean_context);

/**
 * Whether the prompt and the longest answer fit into the memory of a number of
 * engines.
 *
 * @param max_helpers  limit of helpers for one request
 */
bool FitsEngines(const EngineProfile& engine, const PromptShape& shape,
                 size_t engines, size_t max_helpers);

/** How the memory of a request is split between engines. */
struct MemorySplit {
  size_t kv_holders = 0;     // helpers that keep their segment in memory
  TokenCount kv_per_holder;  // memory at each of them
  friend auto operator<=>(const MemorySplit&, const MemorySplit&) = default;
};

/**
 * Splits the memory of a request evenly over the smallest number of engines
 * with enough free memory. Needed for prompts that exceed the memory of one
 * engine, or what other requests leave free on it.
 *
 * @param needed        tokens of the prompt and its longest answer
 * @param free_primary    free tokens on the engine that runs the request
 * @param free_helpers  free tokens on the helpers, in descending order
 * @returns nothing if their free memory does not suffice
 */
std::optional<MemorySplit> SplitMemory(double needed, double free_primary,
                                       const std::vector<double>& free_helpers);

/**
 * Weight of a request against others of its pool: its size in tokens. A token
 * of the answer counts as ten tokens of the prompt, since engines prefill many
 * tokens at a time.
 */
double RequestValue(const PromptShape& shape);

/**
 * Chooses the endpoints of requests by the known load of each endpoint.
 *
 * Plain services: the endpoint with the fewest calls.
 *
 * Model services: prefill extends the engine's pass, which stalls the streams
 * that it decodes. Short prompts are packed onto engines that already decode
 * such requests. A longer prompt is split over the engines with the least cost,
 * which is the value of the stalled streams plus the value of the request times
 * its risk to be late. Engines for short and for long prompts so separate
 * without configuration, in proportion to the load, also if the mix of prompt
 * lengths changes within seconds.
 */
class PlacementPolicy {
 public:
  struct Options {
    /** Prompts that one engine prefills within this time are not split. */
    double max_unsplit_prefill_ms = 60;
    size_t max_helpers = kMaxHelpers;
    /** Share of an engine's memory that is kept free for answers. */
    double kv_reserve = 0.02;
    /** Packs short prompts. Use only where the calls of all VMs are known. */
    bool pack = true;
    /** Share of an engine's slots that packing keeps free. */
    double slot_reserve = 0.2;
    /** Forecasts up to this share of the objective have no risk to be late;
     * beyond it the risk grows linearly. */
    double safe_objective_share = 0.1;
    /** Share of a tolerated pause that a forecast may use. */
    double max_gap_share = 0.85;
    /** The same while short prompts are packed. Above it they are spread, as
     * packing would bring many passes close to the tolerated pause. */
    double packed_gap_share = 0.5;
    /** Requests that short prompts leave to long ones within the limit that an
     * engine names. */
    double limit_spare = 1;
    /** Uses ForecastPasses(); otherwise prompts count as prefilled one after
     * the other from the time at which they are placed. */
    bool forecast_passes = true;
  };

  PlacementPolicy() : PlacementPolicy(Options{}) {}
  explicit PlacementPolicy(Options options) : options_(options) {}

  /** See Options::forecast_passes. */
  bool forecasts_passes() const { return options_.forecast_passes; }
  /** A prompt with this prefill time is not split. */
  bool IsShortPrefill(double total_prefill_ms) const {
    return total_prefill_ms <= options_.max_unsplit_prefill_ms;
  }

  /**
   * @param engine    profile of a model service, null for plain services
   * @param tie_seed  varies the choice between equally loaded endpoints, so
   * that several VMs do not choose the same one
   * @returns nothing if no endpoint may get the call now
   */
  std::optional<PlacementPlan> Choose(TimePoint now,
                                      const EndpointTracker& tracker,
                                      const ServiceName& service,
                                      const EngineProfile* engine,
                                      const CallRequirements& requirements,
                                      uint64_t tie_seed) const;

  /** The endpoints that Choose() would consider now, each as if it ran the
   * request alone, sorted by id. */
  std::vector<EndpointForecast> Forecasts(
      TimePoint now, const EndpointTracker& tracker, const ServiceName& service,
      const EngineProfile* engine, const CallRequirements& requirements) const;
  /** Requests for which an endpoint with a limit has to leave room. */
  double LimitSpare(const EngineProfile* engine,
                    const CallRequirements& requirements) const;
  bool packs() const { return options_.pack; }

 private:
  struct EngineView;

  EngineView MakeView(TimePoint now, const EndpointState& state,
                      const EngineProfile& engine, uint64_t tie_seed) const;
  EndpointForecast ForecastAlone(const EngineView& engine,
                                 const EngineProfile& profile,
                                 const CallRequirements& requirements,
                                 double total_prefill_ms) const;

  std::optional<PlacementPlan> ChoosePlain(
      TimePoint now, const std::vector<const EndpointState*>& candidates,
      uint64_t tie_seed) const;
  std::optional<PlacementPlan> PackShort(const std::vector<EngineView>& engines,
                                         const EngineProfile& profile,
                                         const CallRequirements& requirements,
                                         double total_prefill_ms) const;
  std::optional<PlacementPlan> SplitLong(const std::vector<EngineView>& engines,
                                         const EngineProfile& profile,
                                         const CallRequirements& requirements,
                                         double total_prefill_ms) const;

  Options options_;
};

}  // namespace zr
