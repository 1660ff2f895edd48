#pragma once

// Implementation of forwarded_request.h: requests that may crash endpoints.

#include <string>
#include <utility>
#include <vector>

namespace zr {
namespace gateway_internal {

// Parts that an error message names.
inline constexpr size_t kMaxNamedParts = 4;
// Retry-After of requests that are blamed for crashes of endpoints; the
// evidence is kept for longer.
inline constexpr Duration kBlamedRetryAfter = Duration::Seconds(60);

}  // namespace gateway_internal

template <GatewayFormat Format>
std::vector<CrashSuspect> ForwardedRequest<Format>::SuspectsOf(
    const CallerRequest& request, const ServiceName& service,
    const TeamId& team) {
  std::vector<CrashSuspect> suspects;
  suspects.reserve(request.shared_parts.size() + 1);
  for (const std::string& part : request.shared_parts) {
    suspects.push_back(
        {Fingerprint(HashFields({"part", service.value(), part})),
         static_cast<uint32_t>(suspects.size())});
  }
  std::string shared;
  for (const std::string& part : request.shared_parts) shared += part + ",";
  suspects.push_back(
      {Fingerprint(
           HashFields({"request", service.value(), team.value(), request.method,
                       request.target, shared, request.body.text()})),
       CrashSuspect::kWholeRequest});
  return suspects;
}

template <GatewayFormat Format>
std::string ForwardedRequest<Format>::DescribeBlame(const Blame& blame) const {
  std::string parts;
  size_t count = 0;
  for (const CrashSuspect& suspect : suspects_) {
    if (!blame.contains(suspect.fingerprint)) continue;
    if (suspect.IsWholeRequest()) return "this request";
    if (++count > gateway_internal::kMaxNamedParts) continue;
    parts +=
        (count > 1 ? ", " : "") + request_.shared_parts[suspect.specificity];
  }
  if (count == 1) return "part " + parts + " of the prompt";
  if (count > gateway_internal::kMaxNamedParts) parts += ", ...";
  return "one of " + std::to_string(count) + " parts of the prompt (" + parts +
         ")";
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::RejectBlamed(TimePoint now) {
  const bool is_reading = call_ && !call_->reserving && call_->handle;
  const CheckedVerdict verdict{state_.suspects->verdicts(now), is_reading};
  if (verdict == std::exchange(checked_, verdict)) return false;
  const Blame* blame = is_reading
                           ? state_.suspects->FindCancelled(now, suspects_)
                           : state_.suspects->FindBlame(now, suspects_);
  if (blame == nullptr) return false;
  if (is_reading) {
    state_.suspects->OnCallCancelled(now, request_.id,
                                     call_->plan.primary.endpoint, suspects_);
  }
  ReleaseCall();
  state_.metrics.Count("zr_gateway_blamed_requests_total",
                       {{"service", service_->name.value()}});
  SendOwnAnswer(
      {503,
       Error{ErrorCode::kUnavailable, "suspect", ToHex(*blame->begin()),
             DescribeBlame(*blame) + " crashes endpoints"},
       gateway_internal::kBlamedRetryAfter});
  return true;
}

}  // namespace zr
