#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Bounds the bytes of request bodies that this VM has in flight to each
 * endpoint. Handles many large bodies at once: an endpoint crashes if the
 * requests that it holds exceed its memory.
 */
class BodyBudget {
 public:
  /** Whether an endpoint may be sent a further body. A body that is alone
   * always fits, as it is within the limit of a single one.
   * @param bound  bytes in flight to the endpoint at once */
  bool Fits(const EndpointId& endpoint, size_t bytes, size_t bound) const {
    auto it = in_flight_.find(endpoint);
    return it == in_flight_.end() || it->second + bytes <= bound;
  }

  /** Bytes in flight to each endpoint that has any. */
  const std::map<EndpointId, size_t>& in_flight() const { return in_flight_; }

  /** The body of one call, in flight until this is destroyed. Must not outlive
   * its budget. */
  class Share {
   public:
    Share(BodyBudget& budget, EndpointId endpoint, size_t bytes)
        : budget_(&budget), endpoint_(std::move(endpoint)), bytes_(bytes) {
      if (bytes_ > 0) budget_->in_flight_[endpoint_] += bytes_;
    }
    ~Share() {
      auto it = budget_->in_flight_.find(endpoint_);
      if (it == budget_->in_flight_.end()) return;
      it->second -= bytes_;
      if (it->second == 0) budget_->in_flight_.erase(it);
    }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

   private:
    BodyBudget* budget_;
    EndpointId endpoint_;
    size_t bytes_;
  };

 private:
  std::map<EndpointId, size_t> in_flight_;
};

}  // namespace zr
