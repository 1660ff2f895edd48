#pragma once

// Implementation of forwarded_request.h: requests that may crash endpoints.

#include <string>
#include <vector>

namespace zr {
namespace gateway_internal {

// Parts of a prompt that are tracked as suspects.
inline constexpr size_t kMaxSuspectParts = 16;
// Retry-After of requests that are blamed for crashes of endpoints; the
// evidence is kept for longer.
inline constexpr Duration kBlamedRetryAfter = Duration::Seconds(60);

}  // namespace gateway_internal

template <GatewayFormat Format>
std::vector<CrashSuspect> ForwardedRequest<Format>::SuspectsOf(
    const CallerRequest& request, const ServiceName& service,
    const TeamId& team) {
  std::vector<CrashSuspect> suspects;
  for (const std::string& part : request.shared_parts) {
    if (suspects.size() == gateway_internal::kMaxSuspectParts) break;
    suspects.push_back(
        {Fingerprint(HashFields({"part", service.value(), part})),
         static_cast<uint32_t>(suspects.size())});
  }
  std::string shared;
  for (const std::string& part : request.shared_parts) shared += part + ",";
  suspects.push_back(
      {Fingerprint(
           HashFields({"request", service.value(), team.value(), request.method,
                       request.target, shared, request.body})),
       CrashSuspect::kWholeRequest});
  return suspects;
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::RejectBlamed(TimePoint now) {
  const CrashSuspect* blamed = state_.suspects->FindBlamed(now, suspects_);
  if (blamed == nullptr) return false;
  ReleaseCall();
  state_.metrics.Count("zr_gateway_blamed_requests_total",
                       {{"service", service_->name.value()}});
  const std::string what =
      blamed->specificity == CrashSuspect::kWholeRequest
          ? "this request"
          : "part " + request_.shared_parts[blamed->specificity] +
                " of the prompt";
  SendOwnAnswer({503,
                 Error{ErrorCode::kUnavailable, "suspect",
                       ToHex(blamed->fingerprint), what + " crashes endpoints"},
                 gateway_internal::kBlamedRetryAfter});
  return true;
}

}  // namespace zr
