#pragma once

#include <cstddef>

namespace zr {

/** Descriptors that the process may have open: a configured number, or fewer
 * if the system allows no more.
 *
 * @param configured  0: as many as the system allows */
size_t DescriptorLimit(size_t configured);

}  // namespace zr
