#include "zr_http/server/descriptor_limit.h"

#include <sys/resource.h>

#include <algorithm>

namespace zr {

size_t DescriptorLimit(size_t configured) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return configured;
  const auto allowed = static_cast<size_t>(limit.rlim_cur);
  return configured == 0 ? allowed : std::min(configured, allowed);
}

}  // namespace zr
