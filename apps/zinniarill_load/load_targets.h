#pragma once

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "standins/common/host.h"

namespace zr {

/** A VM that callers can reach. */
struct LoadTarget {
  std::string address;
  std::string domain;
  Duration delay;  // one way between the callers and the VM
  bool healthy = true;
};

/** Where callers are, relative to the failure domains. */
enum class CallerPlace {
  kHere,            // no delay
  kKontrollkontor,  // far from all domains, which are close to each other
  kOrdvakt,         // nearer to every domain than the domains are to each other
};

/** Parses "none", "kontrollkontor" or "ordvakt". */
Result<CallerPlace> ParseCallerPlace(const std::string& text);

/**
 * Parses "ip:port@domain,..." (the domain is optional) and sets the delays.
 */
Result<std::vector<LoadTarget>> ParseTargets(const std::string& text,
                                             CallerPlace place);

/**
 * The platform's balancer: spreads calls over healthy targets. It asks each
 * target's /readyz twice a second; one that cannot be reached or answers 503
 * gets no calls. With no healthy target, all get calls. One io_context thread.
 */
class LoadBalancer : public std::enable_shared_from_this<LoadBalancer> {
 public:
  LoadBalancer(asio::io_context& context, std::shared_ptr<HttpClient> client,
               std::vector<LoadTarget> targets)
      : context_(context),
        client_(std::move(client)),
        targets_(std::move(targets)) {}

  /** Starts the health checks. */
  void Start();
  void Stop() { stopped_ = true; }
  /** Picks a target by a random number. */
  const LoadTarget& Pick(uint64_t random) const;

 private:
  void Check();

  asio::io_context& context_;
  std::shared_ptr<HttpClient> client_;
  std::vector<LoadTarget> targets_;
  bool stopped_ = false;
};

}  // namespace zr
