#include "zr_membership/config_tracker.h"

#include <algorithm>
#include <utility>

namespace zr {

std::string_view ToString(ConfigReadiness readiness) {
  switch (readiness) {
    case ConfigReadiness::kReady:
      return "ready";
    case ConfigReadiness::kNoConfiguration:
      return "no_configuration";
    case ConfigReadiness::kUnconfirmed:
      return "unconfirmed";
    case ConfigReadiness::kLagging:
      return "lagging";
  }
  return "unknown";
}

ConfigTracker::ConfigTracker(ConfigTrackerOptions options)
    : options_(std::move(options)) {
  ZR_ASSERT(options_.check != nullptr,
            "a configuration tracker needs a document check");
  ZR_ASSERT(options_.confirmation_ttl > Duration() &&
                options_.fetch_retry > Duration() &&
                options_.store_read_period > Duration(),
            "configuration periods must be positive");
}

// -----------------------------------------------------------------------------
// Input

OfferOutcome ConfigTracker::OnStoreRead(TimePoint now, TimePoint sent_at,
                                        const ConfigOffer& offer) {
  ObserveVersion(now, offer.version);
  const OfferOutcome outcome = Adopt(offer);
  // A store that returns an older version, for example after a restore,
  // confirms nothing.
  if (outcome == OfferOutcome::kOlder) {
    ++store_regressions_;
    return outcome;
  }
  if (outcome == OfferOutcome::kAdopted || outcome == OfferOutcome::kSame) {
    store_confirmed_ = true;
    store_sent_at_ = std::max(store_sent_at_, sent_at);
    UpdateConfirmation(now);
  }
  return outcome;
}

void ConfigTracker::OnStoreAbsent() {
  if (current_) ++store_regressions_;
}

void ConfigTracker::OnStoreUnchanged(TimePoint now, TimePoint sent_at,
                                     ObjectVersion version) {
  // A peer may have supplied a newer version than the watch has seen.
  if (!current_ || version < current_->version) return;
  store_confirmed_ = true;
  store_sent_at_ = std::max(store_sent_at_, sent_at);
  UpdateConfirmation(now);
}

OfferOutcome ConfigTracker::OnOffer(TimePoint now, const VmId& from,
                                    const ConfigOffer& offer) {
  const OfferOutcome outcome = Adopt(offer);
  // A rejected document is no evidence that its version exists.
  if (outcome != OfferOutcome::kRejected) ObserveVersion(now, offer.version);
  if (outcome == OfferOutcome::kRejected && from == last_fetch_) {
    next_fetch_ = now;
  }
  return outcome;
}

void ConfigTracker::OnView(TimePoint now, const ClusterView& view) {
  const auto update_peer = [&](const VmView& vm) {
    if (vm.vm == options_.self) return;
    Peer& peer = peers_[vm.vm];
    peer.last_seen = vm.last_seen;
    // A peer with a newer version does not confirm the one in force.
    if (vm.config_version <= version()) {
      peer.confirmed_at = vm.last_seen;
      if (vm.ready) peer.ready_at = vm.last_seen;
    }
    peer.version = vm.config_version;
    peer.leaving = vm.leaving;
    peer.ever_ready |= vm.ready;
    if (peer.incarnation != vm.incarnation) peer.ready_since_start = false;
    peer.incarnation = vm.incarnation;
    peer.ready_since_start |= vm.ready;
    ObserveVersion(now, vm.config_version);
    if (current_ && vm.config_version == current_->version &&
        vm.config_digest != current_->digest &&
        peer.conflicting_version != vm.config_version) {
      peer.conflicting_version = vm.config_version;
      ++digest_conflicts_;
    }
  };
  for (const auto& [id, vm] : view.live) update_peer(vm);
  for (const auto& [id, vm] : view.silent) update_peer(vm);
  listening_since_ = view.listening_since;
  has_platform_list_ = view.has_platform_list;
  listed_.clear();
  for (const auto& [id, domain] : view.listed) listed_.insert(id);
  UpdateConfirmation(now);
}

void ConfigTracker::OnSelfPaused(TimePoint now) {
  ignore_before_ = now + options_.settle_after_pause;
  store_confirmed_ = false;
  next_store_read_ = now;
  next_action_ = now;
}

// -----------------------------------------------------------------------------
// Adoption

OfferOutcome ConfigTracker::Adopt(const ConfigOffer& offer) {
  if (current_ && offer.version < current_->version) {
    return OfferOutcome::kOlder;
  }
  if (current_ && offer.version == current_->version) {
    if (offer.digest == current_->digest) return OfferOutcome::kSame;
    ++digest_conflicts_;
    return OfferOutcome::kConflict;
  }
  if (offer.version.value() == 0 || !options_.check(offer)) {
    ++rejected_offers_;
    return OfferOutcome::kRejected;
  }
  ZR_ASSERT_INVARIANT(kConfigNoRevert, offer.version > version(),
                      "a configuration was replaced by one that is not newer");
  current_ = std::make_shared<const ConfigOffer>(offer);
  fetches_ = 0;
  last_fetch_ = VmId();
  return OfferOutcome::kAdopted;
}

void ConfigTracker::ObserveVersion(TimePoint now, ObjectVersion seen_version) {
  if (seen_version <= highest_known_) return;
  // The grace period starts at the first missing version, so a series of
  // changes cannot extend it.
  if (highest_known_ <= version()) behind_since_ = now;
  highest_known_ = seen_version;
  next_action_ = std::min(next_action_, now);
}

// -----------------------------------------------------------------------------
// Confirmation

bool ConfigTracker::StoreConfirms(TimePoint now) const {
  return store_confirmed_ && now - store_sent_at_ <= options_.confirmation_ttl;
}

/**
 * Whether more than half of the known peers have confirmed the version
 * recently.
 *
 * Only peers that were ready at some time are counted as known, so VMs that
 * start inside an isolated minority cannot turn it into a majority. A known
 * peer confirms only if it has been ready since its last start, because a
 * restart loses the version. A VM first confirmed less than `forget_after` ago
 * does not know all its peers, so it also counts the VMs on the platform list.
 */
bool ConfigTracker::PeersConfirm(TimePoint now) const {
  const bool peers_incomplete =
      !ever_confirmed_ || now - first_confirmed_ < options_.forget_after;
  if (peers_incomplete && !has_platform_list_) return ReadyPeersConfirm(now);
  size_t known = peers_incomplete ? listed_.size() : 0;
  size_t heard = 0;
  for (const auto& [id, peer] : peers_) {
    if (peer.leaving || !peer.ever_ready) continue;
    if (!peers_incomplete || !listed_.contains(id)) ++known;
    if (peer.ready_since_start &&
        now - peer.confirmed_at <= options_.confirmation_ttl &&
        peer.confirmed_at >= ignore_before_) {
      ++heard;
    }
  }
  return heard * 2 > known;
}

/**
 * Confirmation for a VM that started while neither the store nor the platform
 * list could be read. The VM may be inside a minority, whose VMs stop being
 * ready within the confirmation time. It therefore waits for that time and then
 * relies on peers that are ready now.
 */
bool ConfigTracker::ReadyPeersConfirm(TimePoint now) const {
  if (now - listening_since_ < options_.confirmation_ttl) return false;
  size_t known = 0;
  size_t ready = 0;
  for (const auto& [id, peer] : peers_) {
    if (peer.leaving) continue;
    ++known;
    if (now - peer.ready_at <= options_.ready_peer_max_age &&
        peer.ready_at >= ignore_before_) {
      ++ready;
    }
  }
  return ready * 2 > known;
}

void ConfigTracker::UpdateConfirmation(TimePoint now) {
  if (!current_ || !Confirmed(now)) return;
  if (!ever_confirmed_) {
    ever_confirmed_ = true;
    first_confirmed_ = now;
  }
  // Peers are forgotten only while the version is confirmed. Otherwise an
  // isolated minority would forget the majority and then confirm itself.
  std::erase_if(peers_, [&](const auto& entry) {
    return now - entry.second.last_seen > options_.forget_after;
  });
}

ConfigReadiness ConfigTracker::Readiness(TimePoint now) const {
  if (!current_) return ConfigReadiness::kNoConfiguration;
  if (!Confirmed(now)) return ConfigReadiness::kUnconfirmed;
  if (highest_known_ > current_->version &&
      now - behind_since_ > options_.lag_grace) {
    return ConfigReadiness::kLagging;
  }
  return ConfigReadiness::kReady;
}

// -----------------------------------------------------------------------------
// Fetching

std::vector<ConfigAction> ConfigTracker::OnTick(TimePoint now) {
  std::vector<ConfigAction> actions;
  const bool behind = !current_ || highest_known_ > current_->version;
  if (behind && now >= next_fetch_) PlanFetch(now, actions);
  // The store is not read while peers confirm the version, which limits its
  // load.
  if ((!current_ || !PeersConfirm(now)) && now >= next_store_read_) {
    actions.push_back({ConfigAction::Kind::kReadStore, VmId(), {}});
    next_store_read_ =
        now + (current_ ? options_.store_read_period : options_.fetch_retry);
  }
  next_action_ = now + options_.fetch_retry;
  return actions;
}

void ConfigTracker::PlanFetch(TimePoint now,
                              std::vector<ConfigAction>& actions) {
  // Tries the peers that have a newer version in turn, starting with those that
  // have the newest.
  const VmId* next = nullptr;
  const VmId* first = nullptr;
  for (const auto& [id, peer] : peers_) {
    if (peer.version <= version() ||
        now - peer.last_seen > options_.confirmation_ttl) {
      continue;
    }
    if (peer.version < highest_known_ && fetches_ == 0) continue;
    if (first == nullptr) first = &id;
    if (next == nullptr && id > last_fetch_) next = &id;
  }
  const VmId* chosen = next != nullptr ? next : first;
  ++fetches_;
  next_fetch_ = now + options_.fetch_retry;
  if (chosen != nullptr) {
    last_fetch_ = *chosen;
    actions.push_back(
        {ConfigAction::Kind::kFetchFromPeer, *chosen, {version().Next()}});
  }
  // The store is read only when no peer supplies the version, because otherwise
  // every VM of the fleet would read it at once after a change.
  constexpr uint64_t kPeerFetchesBeforeStore = 2;
  if (current_ && (chosen == nullptr || fetches_ > kPeerFetchesBeforeStore)) {
    actions.push_back({ConfigAction::Kind::kReadStore, VmId(), {}});
    next_store_read_ = now + options_.store_read_period;
  }
}

}  // namespace zr
