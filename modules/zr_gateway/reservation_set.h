#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/placement.h"

namespace zr {

/** An order to an engine about memory that is set aside for one call. */
struct MemoryOrder {
  enum class Kind : uint8_t { kReserve, kRelease };
  Kind kind = Kind::kReserve;
  size_t engine = 0;  // index in the set
  PlacedEndpoint endpoint;
  std::string id;     // of the reservation; unique among all calls
  TokenCount tokens;  // kReserve only
  Duration hold;      // kReserve only: the engine frees the memory after this
  friend auto operator<=>(const MemoryOrder&, const MemoryOrder&) = default;
};

/** What became of a MemoryOrder. */
enum class OrderOutcome : uint8_t {
  kDone,
  kRefused,     // the memory isn't free, or another endpoint has the address
  kUnanswered,  // may have taken effect, or may do so seconds later
};

/**
 * The memory of one call at several engines: asked for together,
 * renewed while the call runs, released at its end. All or nothing: if one
 * engine refuses, the others are released. Reservations are short, so that
 * those of a VM that is lost end by themselves.
 *
 * An order without an answer may be carried out late, after the release that
 * followed it; the release is then repeated for a while.
 */
class ReservationSet {
 public:
  enum class State : uint8_t { kAsking, kHeld, kFailed, kReleasing, kOver };
  using Orders = std::vector<MemoryOrder>;

  /**
   * @param name    names the reservations; unique among all calls
   * @param tokens  at each engine
   * @param hold    life of a reservation that isn't renewed
   */
  ReservationSet(std::string name, std::vector<PlacedEndpoint> engines,
                 TokenCount tokens, Duration hold);

  /** Asks all engines. */
  Orders Begin(TimePoint now);
  /** An order was answered, or is given up. */
  Orders OnOutcome(TimePoint now, const MemoryOrder& order,
                   OrderOutcome outcome);
  /** Renews and releases what is due. */
  Orders Tick(TimePoint now);
  /** The call has ended or will not begin. */
  Orders End(TimePoint now);

  State state() const { return state_; }
  const std::string& name() const { return name_; }
  const std::vector<PlacedEndpoint>& engines() const { return engines_; }
  /** Id of the reservation at one of the engines. */
  std::string IdAt(size_t engine) const {
    return name_ + "." + std::to_string(engine);
  }

 private:
  struct Member {
    bool reserve_pending = false;  // an answer to a reservation is awaited
    bool confirmed = false;        // confirmed at least once
    bool may_exist = false;        // has to be released
    bool release_pending = false;  // an answer to a release is awaited
    TimePoint next_order;          // renewal or repeated release
    TimePoint late_until;          // late orders may still take effect
  };

  MemoryOrder Reserve(size_t engine, TimePoint now);
  MemoryOrder Release(size_t engine, TimePoint now);
  void UpdateState();

  std::string name_;
  std::vector<PlacedEndpoint> engines_;
  TokenCount tokens_;
  Duration ttl_;
  State state_ = State::kAsking;
  std::vector<Member> members_;
};

}  // namespace zr
