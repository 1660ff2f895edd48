#pragma once

// Implementation of gateway_node.h: the configuration in force, from the store
// and from other VMs.

#include <optional>
#include <utility>

namespace zr {

template <GatewayFormat Format>
void GatewayNode<Format>::ApplyStoredConfig(const StoreItem& item) {
  if (item.name != Format::kConfigName) return;
  if (const auto version = ApplyConfig(item)) {
    config_versions_.OnStored(*version);
  }
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
        dispatch_->Send(vm, ConfigFetch{ObjectVersion(notice->version)});
        break;
      case NoticeAction::kNotify:
        dispatch_->Send(vm, ConfigNotice{own});
        break;
    }
    UpdateFreshness(now);
  } else if (const auto* fetch = std::get_if<ConfigFetch>(&message)) {
    if (own == 0 || own < fetch->min_version.value()) return;
    dispatch_->Send(vm, ConfigOffer{ObjectVersion(own), "", config_document_});
  } else if (const auto* offer = std::get_if<ConfigOffer>(&message)) {
    ApplyConfig({Format::kConfigName, ObjectVersion(), offer->document});
    if (state_.config && state_.config->version() > static_cast<int64_t>(own)) {
      dispatch_->SendConfigNotices();
    }
    UpdateFreshness(now);
  }
}

template <GatewayFormat Format>
std::optional<int64_t> GatewayNode<Format>::ApplyConfig(const StoreItem& item) {
  const TimePoint now = BootNow();
  auto parts = Format::DecodeConfig(item.value);
  if (!parts) {
    state_.log.Write(now, "config_rejected",
                     {{"revision", item.version.value()},
                      {"reason", ToString(parts.error())}});
    return std::nullopt;
  }
  const int64_t version = parts->version;
  const bool first = !state_.config;
  if (state_.config && version <= state_.config->version()) {
    if (version < state_.config->version()) {
      state_.log.Write(now, "config_older",
                       {{"version", version},
                        {"in_force", state_.config->version()},
                        {"revision", item.version.value()}});
    }
    return version;
  }
  auto config = GatewayConfig::Create(std::move(*parts));
  if (!config) {
    state_.log.Write(now, "config_rejected",
                     {{"revision", item.version.value()},
                      {"reason", ToString(config.error())}});
    return std::nullopt;
  }
  state_.config = std::move(*config);
  config_document_ = item.value;
  config_versions_.OnInForce(now, version);
  dispatch_->SetPools(state_.config->ModelPools());
  // Decoding endpoint entries needs the services of the configuration.
  if (first) feeds_[kEndpointFeed]->Start();
  state_.log.Write(now, "config_in_force",
                   {{"version", version},
                    {"revision", item.version.value()},
                    {"config_age_ms", state_.freshness.Age(now).milliseconds()},
                    {"routes", state_.config->routes().size()}});
  return version;
}

template <GatewayFormat Format>
void GatewayNode<Format>::UpdateFreshness(TimePoint now) {
  if (config_verified_ && config_versions_.EvidenceCounts(now)) {
    state_.freshness.OnVerified(*config_verified_);
  }
}

}  // namespace zr
