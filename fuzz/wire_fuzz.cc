#include <cstdlib>
#include <span>

#include "zr_wire/zr_wire.h"

// Guards against a frame that crashes a VM, and against a decoded message that
// the encoder and decoder do not preserve.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const auto message = zr::DecodeMessage(std::span(data, size));
  if (!message) return 0;
  const auto again = zr::DecodeMessage(zr::EncodeMessage(*message));
  if (!again || *again != *message) std::abort();
  return 0;
}
