// Feeds arbitrary bytes to the readers of settings and of environment
// documents.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "zr_config/zr_config.h"

namespace {

void Require(bool condition) {
  if (!condition) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const bool valid_settings = zr::Settings::Parse(text, "fuzz").has_value();
  Require(valid_settings == zr::Settings::Check(text, "fuzz").empty());

  const auto environment = zr::Environment::Parse(text);
  if (!environment) return 0;
  Require(zr::Diff(*environment, *environment).empty());
  const zr::Drain drain{zr::DrainKind::kVm, "fuzz-vm"};
  const auto drained = zr::AddDrain(text, drain);
  Require(drained.has_value());
  const auto drained_environment = zr::Environment::Parse(*drained);
  Require(drained_environment && drained_environment->drains().contains(drain));
  const auto restored = zr::RemoveDrain(*drained, drain);
  Require(restored.has_value());
  const auto restored_environment = zr::Environment::Parse(*restored);
  Require(restored_environment &&
          !restored_environment->drains().contains(drain));
  return 0;
}
