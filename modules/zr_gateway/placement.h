#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/endpoint_board.h"
#include "zr_gateway/gateway_types.h"

namespace zr {

/** Where a request goes. */
struct PlacementPlan {
  EndpointId endpoint;
  std::string address;
  /** Engines that read a part of the prompt each, for the endpoint. */
  std::vector<EndpointId> helpers;
  std::vector<std::string> helper_addresses;
  Duration expected_first_token;  // from the published figures and known load
};

/** Milliseconds that one engine needs to read a prompt alone. */
double ReadMilliseconds(const EngineFigures& engine, TokenCount prompt);

/** Milliseconds of one pass with the given writers and tokens to read. */
double PassMilliseconds(const EngineFigures& engine, int writers,
                        double mean_context, double reading_ms);

/**
 * Places requests by the load that is known of each endpoint.
 *
 * Plain services: the endpoint with the fewest calls. Model services: the
 * engine with the earliest forecast first token; long prompts are read on many
 * engines at once, so that no pass anywhere grows longer than the pause that
 * answers in progress may make. This answers loads in which short and long
 * prompts share all engines.
 */
class Placement {
 public:
  struct Options {
    /** A prompt that one engine reads within this stays on one engine. */
    double single_read_ms = 60;
    /** Reading time aimed at for each part of a spread prompt. */
    double part_read_ms = 20;
    /** Most helpers that an engine accepts for one prompt. */
    size_t max_helpers = 16;
    /** Memory left free for answers, share of an engine's capacity. */
    double kv_reserve = 0.02;
  };

  Placement() : Placement(Options{}) {}
  explicit Placement(Options options) : options_(options) {}

  /**
   * @param engine    figures of a model service, null for plain services
   * @param excluded  endpoints that the request has tried
   * @param tie       a number that spreads equal choices of several VMs
   * @returns nothing if no endpoint may be given a call now
   */
  std::optional<PlacementPlan> Choose(TimePoint now, const EndpointBoard& board,
                                      const ServiceName& service,
                                      const EngineFigures* engine,
                                      const PromptShape& shape,
                                      const std::set<EndpointId>& excluded,
                                      uint64_t tie) const;

 private:
  std::optional<PlacementPlan> ChoosePlain(
      TimePoint now, const std::vector<const EndpointState*>& candidates,
      uint64_t tie) const;
  std::optional<PlacementPlan> ChooseEngine(
      TimePoint now, const std::vector<const EndpointState*>& candidates,
      const EngineFigures& engine, const PromptShape& shape,
      uint64_t tie) const;

  Options options_;
};

}  // namespace zr
