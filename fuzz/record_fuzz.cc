#include <cstdlib>
#include <string_view>

#include "zr_records/record_codec.h"

// Guards against a stored value that crashes a VM, and against a record that
// changes when it is written back.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto record = zr::RecordCodec::Decode(text);
  if (!record) return 0;
  const auto again = zr::RecordCodec::Decode(zr::RecordCodec::Encode(*record));
  if (!again || *again != *record) std::abort();
  return 0;
}
