#pragma once

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** Content of the object `leases/placement`. The daemon encodes it. */
struct LeaseValue {
  VmId holder;  // empty after a release
  Incarnation incarnation;
  uint64_t write =
      0;  // counts the writes of an incarnation; identifies a write
  FencingNumber
      fencing;        // version of the acquiring write; 0 in that write itself
  Duration duration;  // of the lease, from the sending of the write
  friend auto operator<=>(const LeaseValue&, const LeaseValue&) = default;
};

/** The lease object as read; version 0 means that it is absent. */
struct LeaseObject {
  ObjectVersion version;
  LeaseValue value;
  friend auto operator<=>(const LeaseObject&, const LeaseObject&) = default;
};

struct PlacementLeaseOptions {
  VmId self;
  Incarnation incarnation;
  Duration duration = Duration::Seconds(15);
  /**
   * Bound on clock drift over a lease plus the time between the last check of
   * MayOrder() and the arrival of the order at an engine.
   */
  Duration margin = Duration::Seconds(3);
  Duration renew_period = Duration::Seconds(4);
  Duration read_period =
      Duration::Seconds(4);  // while another VM holds the lease
  Duration call_timeout = Duration::Seconds(2);
};

/** A call to the object API. At most one is outstanding. */
struct LeaseCall {
  enum class Kind : uint8_t { kRead, kPut };
  Kind kind = Kind::kRead;
  uint64_t call = 0;       // to be returned with the answer
  ObjectVersion expected;  // kPut: If-Match; 0 means If-None-Match
  LeaseValue value;        // kPut
  friend auto operator<=>(const LeaseCall&, const LeaseCall&) = default;
};

/** Answer to a conditional write. */
struct LeasePutAnswer {
  enum class Kind : uint8_t {
    kWritten,   // took effect; `version` is the new version
    kConflict,  // did not take effect
    kUnknown,   // the answer was lost; the write may take effect even later
  };
  Kind kind = Kind::kUnknown;
  ObjectVersion version;
};

/**
 * The lease of the VM that gives orders, by conditional updates of one object.
 *
 * Two holders never overlap: a holder counts its lease from the sending of its
 * write and stops `margin` early; a successor counts from its own first
 * observation of the last change, and waits the duration plus `margin`.
 */
class PlacementLease {
 public:
  /** @returns kInvalidArgument unless 0 < margin < duration / 2 and renewals
   * fit the rest */
  static Result<PlacementLease> Create(PlacementLeaseOptions options);

  // ---------------------------------------------------------------------------
  // Input

  /** Whether this VM competes; false (on leaving) gives the lease back. */
  void SetCandidate(bool candidate);

  /** Returns the next call, if one is due. */
  std::optional<LeaseCall> OnTick(TimePoint now);

  /** The object was read; @p object is std::nullopt if the read failed. */
  void OnRead(TimePoint now, uint64_t call,
              const std::optional<LeaseObject>& object);

  /** A conditional write was answered, or its answer was lost. */
  void OnPut(TimePoint now, uint64_t call, const LeasePutAnswer& answer);

  // ---------------------------------------------------------------------------
  // Output

  /**
   * The fencing number to put on an order that is sent now; std::nullopt if
   * this VM may not order. Ask immediately before each order.
   */
  std::optional<FencingNumber> MayOrder(TimePoint now) const;

  /** Time until which MayOrder() holds without a renewal. */
  TimePoint valid_until() const { return valid_until_; }

  /** Time by which OnTick() must be called. */
  TimePoint NextWakeup() const {
    return call_in_flight_ ? call_expires_at_ : next_call_at_;
  }

 private:
  explicit PlacementLease(PlacementLeaseOptions options)
      : options_(std::move(options)) {}

  LeaseCall StartCall(TimePoint now, LeaseCall call);
  LeaseCall Put(TimePoint now, LeaseValue value);
  bool IsVacant() const;
  bool IsOwn(const LeaseValue& value) const;
  void Observe(TimePoint now, const LeaseObject& object);
  void MarkHeld(ObjectVersion version, const LeaseValue& value);
  void MarkNotHeld();

  PlacementLeaseOptions options_;
  bool candidate_ = true;

  bool call_in_flight_ = false;
  LeaseCall pending_call_;
  TimePoint call_expires_at_;
  TimePoint next_call_at_;
  uint64_t last_call_id_ = 0;
  uint64_t last_write_number_ = 0;
  /** Sending times of this incarnation's writes that may still be observed. */
  std::map<uint64_t, TimePoint> write_sent_at_;

  bool object_known_ = false;    // object_ is known
  bool object_existed_ = false;  // the object was seen to exist
  bool read_needed_ = true;
  LeaseObject object_;
  TimePoint observed_at_;  // first time that object_ was seen

  std::optional<FencingNumber> fencing_;
  TimePoint valid_until_;
};

}  // namespace zr
