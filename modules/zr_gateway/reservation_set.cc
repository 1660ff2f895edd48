#include "zr_gateway/reservation_set.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

// Renewals in the life of a reservation; two may be lost.
constexpr int64_t kRenewalsPerHold = 3;
// An order that was not answered may be carried out this much later.
constexpr Duration kLateOrder = Duration::Seconds(6);
// Pause between repeated releases.
constexpr Duration kReleaseAgain = Duration::Milliseconds(800);

}  // namespace

ReservationSet::ReservationSet(std::string name,
                               std::vector<PlacedEndpoint> engines,
                               TokenCount tokens, Duration hold)
    : name_(std::move(name)),
      engines_(std::move(engines)),
      tokens_(tokens),
      hold_(hold),
      slots_(engines_.size()) {}

MemoryOrder ReservationSet::Reserve(size_t engine, TimePoint now) {
  Slot& slot = slots_[engine];
  slot.asked = true;
  slot.may_exist = true;
  slot.next_order = now + hold_ / kRenewalsPerHold;
  return {MemoryOrder::Kind::kReserve,
          engine,
          engines_[engine],
          IdAt(engine),
          tokens_,
          hold_};
}

MemoryOrder ReservationSet::Release(size_t engine, TimePoint now) {
  Slot& slot = slots_[engine];
  slot.releasing = true;
  slot.next_order = now + kReleaseAgain;
  return {MemoryOrder::Kind::kRelease,
          engine,
          engines_[engine],
          IdAt(engine),
          TokenCount(),
          Duration()};
}

ReservationSet::Orders ReservationSet::Begin(TimePoint now) {
  Orders orders;
  for (size_t i = 0; i < slots_.size(); ++i) orders.push_back(Reserve(i, now));
  return orders;
}

ReservationSet::Orders ReservationSet::OnOutcome(TimePoint now,
                                                 const MemoryOrder& order,
                                                 OrderOutcome outcome) {
  Slot& slot = slots_[order.engine];
  const bool unanswered = outcome == OrderOutcome::kUnanswered;
  if (unanswered) {
    slot.watched_until = std::max(slot.watched_until, now + kLateOrder);
  }
  if (order.kind == MemoryOrder::Kind::kRelease) {
    slot.releasing = false;
    if (!unanswered && now >= slot.watched_until) slot.may_exist = false;
    NoteState();
    return {};
  }
  slot.asked = false;
  if (outcome == OrderOutcome::kDone) slot.held = true;
  if (outcome == OrderOutcome::kRefused && now >= slot.watched_until) {
    slot.may_exist = false;
  }
  if (state_ == State::kAsking && outcome != OrderOutcome::kDone) {
    Orders orders = End(now);
    if (state_ == State::kReleasing) state_ = State::kFailed;
    return orders;
  }
  // The call ended while the order was on its way.
  if (state_ == State::kFailed || state_ == State::kReleasing) {
    Orders orders;
    if (slot.may_exist) orders.push_back(Release(order.engine, now));
    NoteState();
    return orders;
  }
  NoteState();
  return {};
}

ReservationSet::Orders ReservationSet::Tick(TimePoint now) {
  Orders orders;
  const bool ends = state_ != State::kAsking && state_ != State::kHeld;
  for (size_t i = 0; i < slots_.size(); ++i) {
    Slot& slot = slots_[i];
    if (!slot.may_exist || slot.asked || slot.releasing) continue;
    if (now < slot.next_order) continue;
    if (!ends) {
      orders.push_back(Reserve(i, now));
    } else if (now < slot.watched_until + kReleaseAgain) {
      orders.push_back(Release(i, now));
    } else {
      slot.may_exist = false;
    }
  }
  NoteState();
  return orders;
}

ReservationSet::Orders ReservationSet::End(TimePoint now) {
  Orders orders;
  if (state_ != State::kAsking && state_ != State::kHeld) return orders;
  state_ = State::kReleasing;
  for (size_t i = 0; i < slots_.size(); ++i) {
    // An order on its way is released by its answer.
    if (slots_[i].may_exist && !slots_[i].asked) {
      orders.push_back(Release(i, now));
    }
  }
  NoteState();
  return orders;
}

void ReservationSet::NoteState() {
  if (state_ == State::kAsking) {
    if (std::all_of(slots_.begin(), slots_.end(),
                    [](const Slot& slot) { return slot.held; })) {
      state_ = State::kHeld;
    }
    return;
  }
  if (state_ == State::kHeld) return;
  if (std::none_of(slots_.begin(), slots_.end(), [](const Slot& slot) {
        return slot.may_exist || slot.asked || slot.releasing;
      })) {
    state_ = State::kOver;
  }
}

}  // namespace zr
