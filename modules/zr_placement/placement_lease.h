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
  uint64_t write_number = 0;  // sequence number, unique within the incarnation
  FencingNumber
      fencing;        // object version of the acquiring write; 0 in that write
  Duration duration;  // of the lease, from the time at which the write was sent
  friend auto operator<=>(const LeaseValue&, const LeaseValue&) = default;
};

/** The lease object as read. Version 0 means that it does not exist. */
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
   * Upper bound on the clock drift during a lease plus the time between the
   * last check of CurrentFencing() and the arrival of the order at an engine.
   */
  Duration margin = Duration::Seconds(3);
  Duration renew_period = Duration::Seconds(4);
  Duration read_period =
      Duration::Seconds(4);  // while another VM holds the lease
  Duration call_timeout = Duration::Seconds(2);
};

/** A call to the object API. At most one is in flight. */
struct LeaseCall {
  enum class Kind : uint8_t { kRead, kPut };
  Kind kind = Kind::kRead;
  uint64_t id = 0;         // returned with the reply
  ObjectVersion expected;  // kPut: If-Match; 0 means If-None-Match
  LeaseValue value;        // kPut
  friend auto operator<=>(const LeaseCall&, const LeaseCall&) = default;
};

/** Reply to a conditional write. */
struct LeasePutReply {
  enum class Status : uint8_t {
    kWritten,   // took effect; `version` is the new version
    kConflict,  // did not take effect
    kUnknown,   // the reply was lost; the write may have taken effect or still
                // do so
  };
  Status status = Status::kUnknown;
  ObjectVersion version;
};

/**
 * Lease that elects the VM which sends orders to engines, kept by conditional
 * updates of one object.
 *
 * Two holders never overlap: a holder counts its lease from the time at which
 * it sent its write and stops `margin` early. A successor counts from the time
 * at which it first observed the last change, and waits for the duration plus
 * `margin`.
 */
class PlacementLease {
 public:
  /** @returns kInvalidArgument unless 0 < margin < duration / 2 and the renewal
   * period plus one call timeout fits into the rest of the duration */
  static Result<PlacementLease> Create(PlacementLeaseOptions options);

  // ---------------------------------------------------------------------------
  // Input

  /** Whether this VM competes for the lease; false (while leaving) releases it.
   */
  void SetCandidate(bool candidate);

  /** Returns the next call to the object API, if one is due. */
  std::optional<LeaseCall> OnTick(TimePoint now);

  /** Handles the result of a read; @p object is std::nullopt if it failed. */
  void OnRead(TimePoint now, uint64_t call_id,
              const std::optional<LeaseObject>& object);

  /** Handles the reply to a conditional write, or the loss of the reply. */
  void OnPut(TimePoint now, uint64_t call_id, const LeasePutReply& reply);

  // ---------------------------------------------------------------------------
  // Output

  /**
   * Returns the fencing number for an order that is sent now, or std::nullopt
   * if this VM does not hold the lease. Call it immediately before each order.
   */
  std::optional<FencingNumber> CurrentFencing(TimePoint now) const;

  /** Time at which the lease ends for this VM unless it is renewed. */
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
  /** Send times, by write number, of this incarnation's writes that may still
   * be observed. */
  std::map<uint64_t, TimePoint> write_sent_at_;

  bool object_known_ = false;    // object_ has been read or written
  bool object_existed_ = false;  // the object has existed
  bool read_needed_ = true;
  LeaseObject object_;
  TimePoint observed_at_;  // first observation of object_'s version

  std::optional<FencingNumber> fencing_;
  TimePoint valid_until_;
};

}  // namespace zr
