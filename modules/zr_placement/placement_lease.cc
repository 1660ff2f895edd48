#include "zr_placement/placement_lease.h"

#include <algorithm>
#include <utility>

namespace zr {

Result<PlacementLease> PlacementLease::Create(PlacementLeaseOptions options) {
  const bool named = !options.self.empty() && options.incarnation.value() > 0;
  const bool margin_fits =
      options.margin > Duration() && options.margin * 2 < options.duration;
  const bool renewals_fit = options.renew_period > Duration() &&
                            options.read_period > Duration() &&
                            options.call_timeout > Duration() &&
                            options.renew_period + options.call_timeout <
                                options.duration - options.margin;
  if (!named || !margin_fits || !renewals_fit) {
    return Fail(ErrorCode::kInvalidArgument, "placement", "",
                "lease options without VM or incarnation, or with "
                "inconsistent durations");
  }
  return PlacementLease(std::move(options));
}

std::optional<FencingNumber> PlacementLease::CurrentFencing(
    TimePoint now) const {
  if (!candidate_ || !fencing_ || now >= valid_until_) return std::nullopt;
  return fencing_;
}

// -----------------------------------------------------------------------------
// Calls

void PlacementLease::SetCandidate(bool candidate) {
  if (candidate_ != candidate) {
    next_call_at_ = TimePoint();
  }  // release the lease or compete for it at once
  candidate_ = candidate;
}

std::optional<LeaseCall> PlacementLease::OnTick(TimePoint now) {
  if (call_in_flight_ && now >= call_expires_at_) {
    if (pending_call_.kind == LeaseCall::Kind::kPut) {
      OnPut(now, pending_call_.id,
            {LeasePutReply::Status::kUnknown, ObjectVersion()});
    } else {
      OnRead(now, pending_call_.id, std::nullopt);
    }
  }
  if (call_in_flight_ || now < next_call_at_) return std::nullopt;
  if (!object_known_ || read_needed_) return StartCall(now, {});

  LeaseValue value{options_.self, options_.incarnation, 0, FencingNumber(),
                   options_.duration};
  if (IsOwn(object_.value)) {
    if (!candidate_) {
      // An empty holder lets a successor start without waiting. This VM sends
      // no more orders, because CurrentFencing() returns no number to a VM that
      // does not compete.
      value.holder = VmId();
      MarkNotHeld();
      // If the reply is lost, the release may take effect much later. Without
      // the send time, this VM never treats the version that the release
      // replaces as held again.
      write_sent_at_.clear();
      return Put(now, value);
    }
    // An expired lease is acquired again with a new fencing number, so that
    // orders sent before the expiry carry a lower number.
    if (fencing_ && now < valid_until_) value.fencing = *fencing_;
    return Put(now, value);
  }
  const Duration wait = object_.value.duration + options_.margin;
  if (candidate_ && (IsVacant() || now - observed_at_ > wait)) {
    return Put(now, value);
  }
  return StartCall(now, {});
}

LeaseCall PlacementLease::StartCall(TimePoint now, LeaseCall call) {
  call.id = ++last_call_id_;
  call_in_flight_ = true;
  call_expires_at_ = now + options_.call_timeout;
  pending_call_ = call;
  return call;
}

LeaseCall PlacementLease::Put(TimePoint now, LeaseValue value) {
  value.write_number = ++last_write_number_;
  write_sent_at_[value.write_number] = now;
  return StartCall(
      now, {LeaseCall::Kind::kPut, 0, object_.version, std::move(value)});
}

void PlacementLease::OnRead(TimePoint now, uint64_t call_id,
                            const std::optional<LeaseObject>& object) {
  if (!call_in_flight_ || pending_call_.id != call_id) return;
  call_in_flight_ = false;
  next_call_at_ = now + (object ? Duration() : options_.call_timeout);
  if (object) Observe(now, *object);
}

void PlacementLease::OnPut(TimePoint now, uint64_t call_id,
                           const LeasePutReply& reply) {
  if (!call_in_flight_ || pending_call_.id != call_id) return;
  call_in_flight_ = false;
  if (reply.status == LeasePutReply::Status::kWritten) {
    Observe(now, {reply.version, pending_call_.value});
    return;
  }
  // After a conflict, another VM or an earlier write of this VM has changed the
  // object. After a lost reply, this write may have changed it. Read to find
  // out.
  read_needed_ = true;
  next_call_at_ = now;
}

// -----------------------------------------------------------------------------
// State

bool PlacementLease::IsOwn(const LeaseValue& value) const {
  return value.holder == options_.self &&
         value.incarnation == options_.incarnation;
}

bool PlacementLease::IsVacant() const {
  return object_.version.value() == 0 ? !object_existed_
                                      : object_.value.holder.empty();
}

void PlacementLease::Observe(TimePoint now, const LeaseObject& object) {
  read_needed_ = false;
  if (!object_known_ || object.version != object_.version) {
    const Duration last_duration = object_.value.duration;
    object_known_ = true;
    object_ = object;
    object_existed_ |= object.version.value() > 0;
    // The holder may not know yet that the object was deleted, so wait for the
    // end of its lease.
    if (object.version.value() == 0) object_.value.duration = last_duration;
    observed_at_ = now;
  }
  if (IsOwn(object_.value)) {
    MarkHeld(object_.version, object_.value);
    next_call_at_ =
        now + (now < valid_until_ ? options_.renew_period : Duration());
  } else {
    MarkNotHeld();
    next_call_at_ = now + options_.read_period;
    if (!candidate_) return;
    // A successor may compete one microsecond after duration and margin.
    const TimePoint expiry = observed_at_ + object_.value.duration +
                             options_.margin + Duration::Microseconds(1);
    next_call_at_ =
        IsVacant() ? now : std::max(now, std::min(next_call_at_, expiry));
  }
}

void PlacementLease::MarkHeld(ObjectVersion version, const LeaseValue& value) {
  const auto sent = write_sent_at_.find(value.write_number);
  if (sent == write_sent_at_.end()) return;
  const bool acquired = value.fencing.value() == 0;
  fencing_ = acquired ? FencingNumber(version.value()) : value.fencing;
  // The lease counts from the send time: no other VM can have observed the
  // write earlier.
  valid_until_ = sent->second + options_.duration - options_.margin;
  // Writes before the observed one can no longer take effect, because they
  // expect an older version.
  write_sent_at_.erase(write_sent_at_.begin(), sent);
}

void PlacementLease::MarkNotHeld() {
  fencing_.reset();
  valid_until_ = TimePoint();
}

}  // namespace zr
