#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/placement_policy.h"

namespace zr {

/** An order to an engine to reserve or release memory for a call. */
struct MemoryOrder {
  enum class Kind : uint8_t { kReserve, kRelease };
  Kind kind = Kind::kReserve;
  size_t engine = 0;  // index in the set
  PlacedEndpoint endpoint;
  std::string id;     // of the reservation; unique across all calls
  TokenCount tokens;  // kReserve only
  Duration ttl;       // kReserve only: the engine frees the memory afterwards
  friend auto operator<=>(const MemoryOrder&, const MemoryOrder&) = default;
};

/** Result of a MemoryOrder. */
enum class OrderOutcome : uint8_t {
  kDone,
  kRefused,  // not enough free memory, or another endpoint has the address
  kUnknown,  // may have taken effect, or may do so seconds later
};

/** What an engine tells of a reservation. */
enum class ReservationUse : uint8_t {
  kUnknown,
  kUnused,  // no request has begun to use the memory
  kUsed,
};

/**
 * The memory reservations of one call at several engines: made together,
 * renewed while the call runs, released at its end. All or nothing: if one
 * engine refuses, the others are released. Reservations have a short time to
 * live, so that those of a failed VM expire.
 *
 * An engine may execute an unanswered order late, after the release that
 * followed it. The release is therefore repeated for a while.
 *
 * Memory that no request uses is missing to others. A call that waits for long
 * at an engine that doesn't begin to read its prompt therefore has to give it
 * up; whether the engines have begun is asked shortly before.
 */
class ReservationSet {
 public:
  enum class State : uint8_t { kPending, kHeld, kFailed, kReleasing, kClosed };
  using Orders = std::vector<MemoryOrder>;

  /**
   * @param name    prefix of the reservation ids; unique across all calls
   * @param tokens  memory at each engine
   * @param ttl     time to live of a reservation that is not renewed
   * @param max_idle  longest time for which memory may be reserved without
   *                  being used
   */
  ReservationSet(std::string name, std::vector<PlacedEndpoint> engines,
                 TokenCount tokens, Duration ttl,
                 Duration max_idle = Duration::Max());

  /** Sends the first orders to all engines. */
  Orders Begin(TimePoint now);
  /** An order was answered or has timed out. */
  Orders OnOutcome(TimePoint now, const MemoryOrder& order,
                   OrderOutcome outcome);
  /** An order is sent again, as the connection on which it was sent first was
   * lost. */
  void OnSentAgain(TimePoint now, const MemoryOrder& order);
  /** Sends the renewals and repeated releases that are due. */
  Orders Tick(TimePoint now);
  /** The call has ended or will not begin. */
  Orders End(TimePoint now);

  /** Whether the first engine has to be asked now if the memory is in use. */
  bool TakeUseQuery(TimePoint now);
  /** The engine's answer.
   * @returns whether the call has to be given up */
  bool OnUse(ReservationUse use);

  State state() const { return state_; }
  const std::string& name() const { return name_; }
  const std::vector<PlacedEndpoint>& engines() const { return engines_; }
  /** Id of the reservation at one of the engines. */
  std::string IdAt(size_t engine) const {
    return name_ + "." + std::to_string(engine);
  }

 private:
  struct Lease {
    bool reserving = false;  // a reserve order is in flight
    bool confirmed = false;  // confirmed at least once
    bool may_exist = false;  // must be released
    bool releasing = false;  // a release order is in flight
    TimePoint next_order;    // next renewal or repeated release
    TimePoint late_until;    // until then unanswered orders may take effect
  };

  MemoryOrder Reserve(size_t engine, TimePoint now);
  MemoryOrder Release(size_t engine, TimePoint now);
  void UpdateState();
  /** An order to the engine has no answer and may still take effect. */
  static void NoteUnanswered(TimePoint now, Lease& lease);

  std::string name_;
  std::vector<PlacedEndpoint> engines_;
  TokenCount tokens_;
  Duration ttl_;
  Duration max_idle_;
  TimePoint begun_;
  TimePoint next_use_query_;
  bool used_ = false;
  State state_ = State::kPending;
  std::vector<Lease> leases_;
};

}  // namespace zr
