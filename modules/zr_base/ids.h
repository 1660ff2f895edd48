#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace zr {

/** A string identifier; the tag gives each kind of identifier its own type. */
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

/** An unsigned number; the tag gives each kind of number its own type. */
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
/** Name of a team (the tenant that a bearer key belongs to). */
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
/** Number of a grant, unique within an owner's incarnation. */
using GrantNumber = NumericId<struct GrantTag>;
/** Fencing token of the placement lease; later holders have higher numbers. */
using FencingNumber = NumericId<struct FencingTag>;
/** Version that the platform's object API gave to an object; 0 means absent. */
using ObjectVersion = NumericId<struct ObjectVersionTag>;
/** Era of the object API, which begins anew when it is restored from an older
 * copy: versions then go back and are given out again. 0 if it has no eras. */
using StoreEra = NumericId<struct StoreEraTag>;
/** A point in the object API's history: a later era follows all versions of the
 * eras before it. */
struct StorePosition {
  StoreEra era;
  ObjectVersion version;
  friend constexpr auto operator<=>(const StorePosition&,
                                    const StorePosition&) = default;
};
/**
 * Boot number that an endpoint reports; it changes with each start of the
 * endpoint.
 */
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
