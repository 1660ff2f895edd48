#pragma once

// Implementation of gateway_node.h: the configuration in force, from the store
// and from other VMs.

#include <optional>
#include <utility>

namespace zr {

namespace gateway_internal {

// Larger deltas are read at the store, as a small VM that watches it can't send
// them to all others in time.
inline constexpr size_t kMaxDeltaBytes = 16 << 10;
// The same for VMs that start and have no configuration yet, and for those that
// can't reach the store. The latter is below the largest frame of a
// link.
inline constexpr size_t kMaxDeltaBytesAtStart = 64 << 10;
inline constexpr size_t kMaxDeltaBytesWithoutStore = 600 << 10;

}  // namespace gateway_internal

template <GatewayFormat Format>
void GatewayNode<Format>::ApplyStoredConfig(const StoreItem& item) {
  if (item.name != Format::kConfigName) return;
  auto texts = Format::SplitConfig(item.value);
  if (!texts) return RejectConfig("store", texts.error());
  auto document =
      ConfigDocument::Create(std::move(*texts), &Format::DecodeConfigItem,
                             config_history_.newest().get());
  if (!document) return RejectConfig("store", document.error());
  const int64_t version = (*document)->version();
  if (PutInForce(std::move(*document), "store")) {
    config_versions_.OnStored(version);
  }
}

//==============================================================================
// Other VMs

template <GatewayFormat Format>
std::optional<DocumentDelta> GatewayNode<Format>::DeltaFor(
    const KindVersion& requester) {
  using namespace gateway_internal;
  if (!requester.store_unreachable) {
    const bool starts = requester.digest == ConfigDocument::kEmptyDigest;
    return DeltaFrom(requester.digest,
                     starts ? kMaxDeltaBytesAtStart : kMaxDeltaBytes);
  }
  return DeltaOrWhole(requester.digest);
}

template <GatewayFormat Format>
std::optional<DocumentDelta> GatewayNode<Format>::DeltaOrWhole(
    uint64_t digest) {
  using namespace gateway_internal;
  auto delta = DeltaFrom(digest, kMaxDeltaBytesWithoutStore);
  return delta ? std::move(delta)
               : DeltaFrom(ConfigDocument::kEmptyDigest,
                           kMaxDeltaBytesWithoutStore);
}

template <GatewayFormat Format>
std::optional<DocumentDelta> GatewayNode<Format>::DeltaFrom(uint64_t digest,
                                                            size_t max_bytes) {
  auto delta = config_history_.DeltaFrom(digest);
  if (!delta || InsertedBytes(*delta) > max_bytes) return std::nullopt;
  delta->stored_version = static_cast<uint64_t>(config_versions_.stored());
  return delta;
}

template <GatewayFormat Format>
bool GatewayNode<Format>::OnDelta(const DocumentDelta& delta) {
  if (delta.target != config_history_.digest()) {
    const bool whole = delta.base == ConfigDocument::kEmptyDigest;
    auto document =
        ConfigDocument::Apply(whole ? nullptr : config_history_.newest().get(),
                              delta, &Format::DecodeConfigItem);
    if (!document) {
      RejectConfig("delta", document.error());
      return false;
    }
    if (!PutInForce(std::move(*document), whole ? "peer" : "delta")) {
      return false;
    }
  }
  config_versions_.OnStored(static_cast<int64_t>(delta.stored_version));
  return true;
}

template <GatewayFormat Format>
void GatewayNode<Format>::OnConfigMessage(const VmId& vm,
                                          const Message& message) {
  using NoticeAction = ConfigVersions::NoticeAction;
  const TimePoint now = BootNow();
  const auto own =
      static_cast<uint64_t>(state_.config ? state_.config->version() : 0);
  if (const auto* notice = std::get_if<ConfigNotice>(&message)) {
    const auto version = static_cast<int64_t>(notice->version);
    switch (config_versions_.OnNotice(now, version)) {
      case NoticeAction::kNone:
        break;
      case NoticeAction::kFetch:
        state_.log.Write(now, "config_behind",
                         {{"peer", vm.value()},
                          {"version", notice->version},
                          {"in_force", own}});
        dispatch_->Send(vm, ConfigFetch{ObjectVersion(notice->version),
                                        config_history_.digest()});
        break;
      case NoticeAction::kNotify:
        dispatch_->Send(vm, ConfigNotice{own});
        break;
    }
    UpdateFreshness(now);
  } else if (const auto* fetch = std::get_if<ConfigFetch>(&message)) {
    if (own == 0 || own < fetch->min_version.value()) return;
    auto delta = DeltaOrWhole(fetch->base);
    if (!delta) return;
    dispatch_->Send(
        vm, ConfigOffer{ObjectVersion(own), "", "", {std::move(*delta)}});
  } else if (const auto* offer = std::get_if<ConfigOffer>(&message)) {
    if (offer->deltas.empty()) return;
    // What the sender has read at the store is not this VM's evidence.
    DocumentDelta delta = offer->deltas.front();
    delta.stored_version = static_cast<uint64_t>(config_versions_.stored());
    OnDelta(delta);
    if (state_.config && state_.config->version() > static_cast<int64_t>(own)) {
      dispatch_->SendConfigNotices();
    }
    UpdateFreshness(now);
  }
}

//==============================================================================
// The configuration in force

template <GatewayFormat Format>
void GatewayNode<Format>::RejectConfig(const char* source, const Error& error) {
  state_.log.Write(BootNow(), "config_rejected",
                   {{"source", source}, {"reason", ToString(error)}});
  state_.metrics.Count("zr_gateway_configs_rejected_total",
                       {{"source", source}});
}

template <GatewayFormat Format>
bool GatewayNode<Format>::PutInForce(ConfigDocument::Ptr document,
                                     const char* source) {
  const TimePoint now = BootNow();
  const int64_t version = document->version();
  const bool first = !state_.config;
  if (!first && version <= state_.config->version()) {
    if (version < state_.config->version()) {
      state_.log.Write(now, "config_older",
                       {{"version", version},
                        {"in_force", state_.config->version()},
                        {"source", source}});
    }
    return true;
  }
  auto config = GatewayConfig::Create(document->Parts());
  if (!config) {
    RejectConfig(source, config.error());
    return false;
  }
  state_.config = std::move(*config);
  config_history_.Add(std::move(document));
  config_versions_.OnInForce(now, version);
  ApplyClientLimits();
  dispatch_->SetPools(state_.config->ModelPools());
  // Decoding endpoint entries needs the services of the configuration.
  if (first) feeds_[kEndpointFeed]->StartFromOthers();
  state_.log.Write(now, "config_in_force",
                   {{"version", version},
                    {"source", source},
                    {"digest", config_history_.digest()},
                    {"config_age_ms", state_.freshness.Age(now).milliseconds()},
                    {"apply_us", (BootNow() - now).microseconds()},
                    {"routes", state_.config->routes().size()}});
  state_.metrics.Count("zr_gateway_configs_in_force_total",
                       {{"source", source}});
  return true;
}

template <GatewayFormat Format>
void GatewayNode<Format>::UpdateFreshness(TimePoint now) {
  if (config_verified_ && config_versions_.EvidenceCounts(now)) {
    state_.freshness.OnVerified(*config_verified_);
  }
}

}  // namespace zr
