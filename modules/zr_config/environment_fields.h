#pragma once

#include <string>
#include <vector>

#include "zr_config/key_spec.h"
#include "zr_config/policies.h"

namespace zr {

/** Keys of the section [environment]. */
struct EnvironmentHeader {
  std::string name;  // name of the deployment, the same in trial and production
};

/** The tables of the environment document's keys, used by the reader and the
 * reference. */
const std::vector<Field<EnvironmentHeader>>& EnvironmentFields();
const std::vector<Field<PoolPolicy>>& PoolFields();
const std::vector<Field<ClassPolicy>>& ClassFields();
const std::vector<Field<TeamPolicy>>& TeamFields();

/** Whether a key of a pool section applies to one kind of pool only. */
bool IsModelKey(std::string_view key);
bool IsServiceKey(std::string_view key);

}  // namespace zr
