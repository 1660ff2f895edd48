#include "zr_base/assert.h"

#include <sstream>

namespace zr {

void AssertionFailed(Invariant invariant, std::string_view condition,
                     std::string_view message, std::string_view file,
                     int line) {
  const size_t slash = file.rfind('/');
  if (slash != std::string_view::npos) file.remove_prefix(slash + 1);
  std::ostringstream os;
  os << message << " [" << condition << " at " << file << ":" << line << "]";
  Invariants::Report(invariant, os.str());
}

}  // namespace zr
