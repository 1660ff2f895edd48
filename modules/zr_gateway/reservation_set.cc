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
// The memory has to be free again this long before the longest idle time ends:
// the engine's answer is some hundred milliseconds old, and a release may have
// to be repeated.
constexpr Duration kIdleMargin = Duration::Milliseconds(1500);
// Time between two queries if the engine doesn't answer.
constexpr Duration kUseQueryInterval = Duration::Milliseconds(500);

}  // namespace

ReservationSet::ReservationSet(std::string name,
                               std::vector<PlacedEndpoint> engines,
                               TokenCount tokens, Duration ttl,
                               Duration max_idle)
    : name_(std::move(name)),
      engines_(std::move(engines)),
      tokens_(tokens),
      ttl_(ttl),
      max_idle_(max_idle),
      leases_(engines_.size()) {}

MemoryOrder ReservationSet::Reserve(size_t engine, TimePoint now) {
  Lease& lease = leases_[engine];
  lease.reserving = true;
  lease.may_exist = true;
  lease.next_order = now + ttl_ / kRenewalsPerTtl;
  return {MemoryOrder::Kind::kReserve,
          engine,
          engines_[engine],
          IdAt(engine),
          tokens_,
          ttl_};
}

MemoryOrder ReservationSet::Release(size_t engine, TimePoint now) {
  Lease& lease = leases_[engine];
  lease.releasing = true;
  lease.next_order = now + kReleaseInterval;
  return {MemoryOrder::Kind::kRelease,
          engine,
          engines_[engine],
          IdAt(engine),
          TokenCount(),
          Duration()};
}

ReservationSet::Orders ReservationSet::Begin(TimePoint now) {
  Orders orders;
  begun_ = now;
  for (size_t i = 0; i < leases_.size(); ++i) orders.push_back(Reserve(i, now));
  return orders;
}

ReservationSet::Orders ReservationSet::OnOutcome(TimePoint now,
                                                 const MemoryOrder& order,
                                                 OrderOutcome outcome) {
  Lease& lease = leases_[order.engine];
  const bool unknown = outcome == OrderOutcome::kUnknown;
  if (unknown) NoteUnanswered(now, lease);
  if (order.kind == MemoryOrder::Kind::kRelease) {
    lease.releasing = false;
    if (!unknown && now >= lease.late_until) lease.may_exist = false;
    UpdateState();
    return {};
  }
  lease.reserving = false;
  if (outcome == OrderOutcome::kDone) lease.confirmed = true;
  if (outcome == OrderOutcome::kRefused && now >= lease.late_until) {
    lease.may_exist = false;
  }
  if (state_ == State::kPending && outcome != OrderOutcome::kDone) {
    Orders orders = End(now);
    if (state_ == State::kReleasing) state_ = State::kFailed;
    return orders;
  }
  // The call ended while the order was in flight.
  if (state_ == State::kFailed || state_ == State::kReleasing) {
    Orders orders;
    if (lease.may_exist) orders.push_back(Release(order.engine, now));
    UpdateState();
    return orders;
  }
  UpdateState();
  return {};
}

void ReservationSet::OnSentAgain(TimePoint now, const MemoryOrder& order) {
  // A late release does no harm.
  if (order.kind == MemoryOrder::Kind::kRelease) return;
  NoteUnanswered(now, leases_[order.engine]);
}

void ReservationSet::NoteUnanswered(TimePoint now, Lease& lease) {
  lease.late_until = std::max(lease.late_until, now + kMaxOrderDelay);
}

ReservationSet::Orders ReservationSet::Tick(TimePoint now) {
  Orders orders;
  const bool ending = state_ != State::kPending && state_ != State::kHeld;
  for (size_t i = 0; i < leases_.size(); ++i) {
    Lease& lease = leases_[i];
    if (!lease.may_exist || lease.reserving || lease.releasing) continue;
    if (now < lease.next_order) continue;
    if (!ending) {
      orders.push_back(Reserve(i, now));
    } else if (now < lease.late_until + kReleaseInterval) {
      orders.push_back(Release(i, now));
    } else {
      lease.may_exist = false;
    }
  }
  UpdateState();
  return orders;
}

ReservationSet::Orders ReservationSet::End(TimePoint now) {
  Orders orders;
  if (state_ != State::kPending && state_ != State::kHeld) return orders;
  state_ = State::kReleasing;
  for (size_t i = 0; i < leases_.size(); ++i) {
    // With a reserve order in flight, the release follows its answer.
    if (leases_[i].may_exist && !leases_[i].reserving) {
      orders.push_back(Release(i, now));
    }
  }
  UpdateState();
  return orders;
}

bool ReservationSet::TakeUseQuery(TimePoint now) {
  if (used_ || state_ != State::kHeld || now < next_use_query_ ||
      now - begun_ < max_idle_ - kIdleMargin) {
    return false;
  }
  next_use_query_ = now + kUseQueryInterval;
  return true;
}

bool ReservationSet::OnUse(ReservationUse use) {
  if (use == ReservationUse::kUsed) used_ = true;
  return use == ReservationUse::kUnused && !used_ && state_ == State::kHeld;
}

void ReservationSet::UpdateState() {
  if (state_ == State::kPending) {
    if (std::all_of(leases_.begin(), leases_.end(),
                    [](const Lease& lease) { return lease.confirmed; })) {
      state_ = State::kHeld;
    }
    return;
  }
  if (state_ == State::kHeld) return;
  if (std::none_of(leases_.begin(), leases_.end(), [](const Lease& lease) {
        return lease.may_exist || lease.reserving || lease.releasing;
      })) {
    state_ = State::kClosed;
  }
}

}  // namespace zr
