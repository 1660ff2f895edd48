#include "zr_gateway/reservation_set.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

// Renewals per time to live of a reservation; two of them may be lost.
constexpr int64_t kRenewalsPerTtl = 3;
// An unanswered order may still be executed within this time.
constexpr Duration kMaxOrderDelay = Duration::Seconds(6);
// Interval between repeated releases.
constexpr Duration kReleaseInterval = Duration::Milliseconds(800);

}  // namespace

ReservationSet::ReservationSet(std::string name,
                               std::vector<PlacedEndpoint> engines,
                               TokenCount tokens, Duration hold)
    : name_(std::move(name)),
      engines_(std::move(engines)),
      tokens_(tokens),
      ttl_(hold),
      members_(engines_.size()) {}

MemoryOrder ReservationSet::Reserve(size_t engine, TimePoint now) {
  Member& member = members_[engine];
  member.reserve_pending = true;
  member.may_exist = true;
  member.next_order = now + ttl_ / kRenewalsPerTtl;
  return {MemoryOrder::Kind::kReserve,
          engine,
          engines_[engine],
          IdAt(engine),
          tokens_,
          ttl_};
}

MemoryOrder ReservationSet::Release(size_t engine, TimePoint now) {
  Member& member = members_[engine];
  member.release_pending = true;
  member.next_order = now + kReleaseInterval;
  return {MemoryOrder::Kind::kRelease,
          engine,
          engines_[engine],
          IdAt(engine),
          TokenCount(),
          Duration()};
}

ReservationSet::Orders ReservationSet::Begin(TimePoint now) {
  Orders orders;
  for (size_t i = 0; i < members_.size(); ++i)
    orders.push_back(Reserve(i, now));
  return orders;
}

ReservationSet::Orders ReservationSet::OnOutcome(TimePoint now,
                                                 const MemoryOrder& order,
                                                 OrderOutcome outcome) {
  Member& member = members_[order.engine];
  const bool unanswered = outcome == OrderOutcome::kUnanswered;
  if (unanswered) {
    member.late_until = std::max(member.late_until, now + kMaxOrderDelay);
  }
  if (order.kind == MemoryOrder::Kind::kRelease) {
    member.release_pending = false;
    if (!unanswered && now >= member.late_until) member.may_exist = false;
    UpdateState();
    return {};
  }
  member.reserve_pending = false;
  if (outcome == OrderOutcome::kDone) member.confirmed = true;
  if (outcome == OrderOutcome::kRefused && now >= member.late_until) {
    member.may_exist = false;
  }
  if (state_ == State::kAsking && outcome != OrderOutcome::kDone) {
    Orders orders = End(now);
    if (state_ == State::kReleasing) state_ = State::kFailed;
    return orders;
  }
  // The call ended while the order was in flight.
  if (state_ == State::kFailed || state_ == State::kReleasing) {
    Orders orders;
    if (member.may_exist) orders.push_back(Release(order.engine, now));
    UpdateState();
    return orders;
  }
  UpdateState();
  return {};
}

ReservationSet::Orders ReservationSet::Tick(TimePoint now) {
  Orders orders;
  const bool ending = state_ != State::kAsking && state_ != State::kHeld;
  for (size_t i = 0; i < members_.size(); ++i) {
    Member& member = members_[i];
    if (!member.may_exist || member.reserve_pending || member.release_pending)
      continue;
    if (now < member.next_order) continue;
    if (!ending) {
      orders.push_back(Reserve(i, now));
    } else if (now < member.late_until + kReleaseInterval) {
      orders.push_back(Release(i, now));
    } else {
      member.may_exist = false;
    }
  }
  UpdateState();
  return orders;
}

ReservationSet::Orders ReservationSet::End(TimePoint now) {
  Orders orders;
  if (state_ != State::kAsking && state_ != State::kHeld) return orders;
  state_ = State::kReleasing;
  for (size_t i = 0; i < members_.size(); ++i) {
    // With a reserve order in flight, the release follows its answer.
    if (members_[i].may_exist && !members_[i].reserve_pending) {
      orders.push_back(Release(i, now));
    }
  }
  UpdateState();
  return orders;
}

void ReservationSet::UpdateState() {
  if (state_ == State::kAsking) {
    if (std::all_of(members_.begin(), members_.end(),
                    [](const Member& member) { return member.confirmed; })) {
      state_ = State::kHeld;
    }
    return;
  }
  if (state_ == State::kHeld) return;
  if (std::none_of(members_.begin(), members_.end(), [](const Member& member) {
        return member.may_exist || member.reserve_pending ||
               member.release_pending;
      })) {
    state_ = State::kOver;
  }
}

}  // namespace zr
