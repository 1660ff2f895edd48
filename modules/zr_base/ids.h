#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace zr {

/** A string identifier whose tag keeps identifiers of different kinds apart. */
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const StringId&, const StringId&) = default;
  friend std::ostream& operator<<(std::ostream& os, const StringId& id) {
    return os << id.value_;
  }

 private:
  std::string value_;
};

/** An unsigned number whose tag keeps numbers of different kinds apart. */
template <typename Tag>
class NumericId {
 public:
  constexpr NumericId() = default;
  constexpr explicit NumericId(uint64_t value) : value_(value) {}

  constexpr uint64_t value() const { return value_; }
  constexpr NumericId Next() const { return NumericId(value_ + 1); }

  friend constexpr auto operator<=>(const NumericId&,
                                    const NumericId&) = default;
  friend std::ostream& operator<<(std::ostream& os, const NumericId& id) {
    return os << id.value_;
  }

 private:
  uint64_t value_ = 0;
};

/** Name of an entry VM, unique in an environment. */
using VmId = StringId<struct VmTag>;
/** Name of a failure domain. */
using DomainId = StringId<struct DomainTag>;
/** Name of a team (the tenant a bearer key belongs to). */
using TeamId = StringId<struct TeamTag>;
/** Name of an endpoint (one model engine or one plain-service instance). */
using EndpointId = StringId<struct EndpointTag>;
/** Name of a pool of endpoints that serve the same model or plain service. */
using PoolId = StringId<struct PoolTag>;
/** Name of a request class. */
using ClassId = StringId<struct ClassTag>;
/** Caller-visible request identifier. */
using RequestId = StringId<struct RequestTag>;

/** Number of an attempt of a request, from 1. */
using AttemptNumber = NumericId<struct AttemptTag>;
/** Number of a grant, unique for an owner's incarnation. */
using GrantNumber = NumericId<struct GrantTag>;
/** Number that orders the holders of the placement lease. */
using FencingNumber = NumericId<struct FencingTag>;
/** Version that the platform's object API gave to an object; 0 means absent. */
using ObjectVersion = NumericId<struct ObjectVersionTag>;
/** Boot number that an endpoint reports; it changes with each start. */
using BootNumber = NumericId<struct BootTag>;
/** Start time of a VM's process in microseconds; a later start is higher. */
using Incarnation = NumericId<struct IncarnationTag>;
/** Hash of team, model and prompt, used to recognise a repeated request. */
using Fingerprint = NumericId<struct FingerprintTag>;
/** Hash of a prompt prefix block. */
using PrefixHash = NumericId<struct PrefixTag>;

}  // namespace zr

template <typename Tag>
struct std::hash<zr::StringId<Tag>> {
  size_t operator()(const zr::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

template <typename Tag>
struct std::hash<zr::NumericId<Tag>> {
  size_t operator()(const zr::NumericId<Tag>& id) const noexcept {
    return std::hash<uint64_t>()(id.value());
  }
};
