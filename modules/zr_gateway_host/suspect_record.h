#pragma once

#include <optional>
#include <string>

#include "zr_base/zr_base.h"
#include "zr_request/crash_attribution.h"

namespace zr {

/** Fingerprint as in the logs and in the records of the store. */
std::string ToHex(Fingerprint fingerprint);

/** Record of a blame in the store. The name of a single suspect is its
 * fingerprint. Several are listed in the value, as a JSON array; the name is
 * derived from them. */
struct SuspectRecord {
  std::string name;
  std::string value;  // JSON

  /** @param writer  noted in the records of single suspects */
  static SuspectRecord Create(const Blame& blame, const VmId& writer);
};

/** The suspects of a record, or nothing if it is malformed. */
std::optional<Blame> ReadSuspectRecord(const std::string& name,
                                       const std::string& value);

}  // namespace zr
