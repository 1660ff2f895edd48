#pragma once

// Implementation of forwarded_request.h: callers that read slowly, and bodies
// in flight to endpoints.

#include <algorithm>
#include <utility>

namespace zr {
namespace gateway_internal {

/** Bytes of a stream that were handed to its caller's connection. They count
 * until the connection has taken or dropped them. */
class WrittenBytes {
 public:
  WrittenBytes(std::shared_ptr<ReaderBudget> readers,
               ReaderBudget::StreamId stream, size_t bytes)
      : readers_(std::move(readers)), stream_(stream), bytes_(bytes) {
    readers_->OnWritten(BootNow(), stream_, bytes_);
  }
  ~WrittenBytes() { (void)OnSent(); }
  WrittenBytes(const WrittenBytes&) = delete;
  WrittenBytes& operator=(const WrittenBytes&) = delete;

  /** @returns whether the stream was paused and has to be resumed */
  bool OnSent() {
    const size_t bytes = std::exchange(bytes_, 0);
    return bytes > 0 && readers_->OnSent(BootNow(), stream_, bytes);
  }

 private:
  std::shared_ptr<ReaderBudget> readers_;
  ReaderBudget::StreamId stream_;
  size_t bytes_;
};

}  // namespace gateway_internal

template <GatewayFormat Format>
ForwardedRequest<Format>::~ForwardedRequest() {
  if (reader_) state_.readers->Remove(*reader_);
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::MayRead(size_t bytes) {
  if (!reader_) return unsent_bytes_ <= gateway_internal::kMaxUnsentBytes;
  // What is pending of an event is written together with its end.
  return state_.readers->TryRead(*reader_,
                                 bytes + call_->events.pending_bytes());
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::WriteToCaller(std::string bytes) {
  using gateway_internal::WrittenBytes;
  const size_t size = bytes.size();
  unsent_bytes_ += size;
  std::shared_ptr<WrittenBytes> written;
  if (reader_) {
    written = std::make_shared<WrittenBytes>(state_.readers, *reader_, size);
  }
  response_->Write(std::move(bytes), [weak = this->weak_from_this(), size,
                                      written = std::move(written)](bool) {
    const bool resume = written && written->OnSent();
    if (auto self = weak.lock()) self->OnWritten(size, resume);
  });
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::OnWritten(size_t bytes, bool resume) {
  unsent_bytes_ -= std::min(bytes, unsent_bytes_);
  if (!reader_) resume = unsent_bytes_ == 0;
  if (!paused_ || !resume || !call_) return;
  paused_ = false;
  const TimePoint now = BootNow();
  pauses_.OnCallerRead(now);
  call_->pauses.OnCallerRead(now);
  // The endpoint was not silent while nothing was read from it.
  if (reader_) call_->last_progress = now;
  call_->handle->Resume();
}

template <GatewayFormat Format>
void ForwardedRequest<Format>::EndIfOverdue(
    TimePoint now, const std::vector<ReaderBudget::StreamId>& overdue) {
  if (ended_ || !reader_ ||
      std::find(overdue.begin(), overdue.end(), *reader_) == overdue.end()) {
    return;
  }
  LogFields fields = CommonFields(now);
  if (call_) fields["endpoint"] = call_->plan.primary.endpoint.value();
  fields["caller"] = request_.client;
  fields["stalled_ms"] =
      state_.readers->StalledFor(now, *reader_).milliseconds();
  fields["unsent_bytes"] = state_.readers->HeldBy(*reader_);
  fields["vm_bytes"] = state_.readers->held();
  state_.log.Write(now, "slow_reader", fields);
  state_.metrics.Count("zr_gateway_slow_readers_total",
                       {{"route", route_->name}});
  ReleaseCall();
  CutAnswer();
}

template <GatewayFormat Format>
bool ForwardedRequest<Format>::BodyFits(const EndpointId& endpoint) const {
  const EndpointState* state = state_.tracker.Find(endpoint);
  if (!state_.readers || state == nullptr) return true;
  const size_t bound = static_cast<size_t>(state->listed.slots) *
                       config_->limits().max_body_bytes;
  return state_.bodies.Fits(endpoint, request_.body.size(), bound);
}

template <GatewayFormat Format>
std::set<EndpointId> ForwardedRequest<Format>::ExcludedEndpoints() const {
  std::set<EndpointId> excluded = tried_;
  if (!state_.readers || request_.body.empty()) return excluded;
  for (const auto& [endpoint, bytes] : state_.bodies.in_flight()) {
    if (BodyFits(endpoint)) continue;
    excluded.insert(endpoint);
    state_.metrics.Count("zr_gateway_endpoints_full_of_bodies_total",
                         {{"service", service_->name.value()}});
  }
  return excluded;
}

}  // namespace zr
