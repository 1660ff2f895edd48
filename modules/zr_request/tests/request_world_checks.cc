#include "request_world.h"

namespace zr {

//==============================================================================
// Checks

std::string RequestWorld::Text(const std::string& stream, int64_t from,
                               int64_t to) const {
  std::string text;
  for (int64_t i = from; i < to; ++i) {
    const uint64_t hash = Hash64(stream, static_cast<uint64_t>(i));
    for (int b = 0; b < kTokenBytes; ++b) {
      text += static_cast<char>('a' + (hash >> (8 * b)) % 26);
    }
  }
  return text;
}

void RequestWorld::CheckCaller(size_t, bool complete) {
  // Each run has its own text, so bytes of two runs in one answer are found.
  const int64_t have = static_cast<int64_t>(received_.size()) / kTokenBytes;
  for (const auto& [id, run] : runs_) {
    if (have <= run.length && (!complete || have == run.length) &&
        received_ == Text(id, 0, have)) {
      return;
    }
  }
  if (have > 0 || complete) {
    Violation("the caller's bytes are not the answer of one run");
  }
}

void RequestWorld::CheckEnd() {
  if (!queue_.empty()) Violation("the run does not end");
  if (waiting_) Violation("the caller got no outcome");
  for (const Vm& vm : vms_) {
    if (!vm.alive || !vm.machine) continue;
    if (!vm.outcome) Violation("a machine has no outcome");
    if (!vm.machine->removable()) {
      Violation("a machine is not removable at the end");
    }
  }
  for (const auto& [id, record] : grants_) {
    bool live = false;
    for (size_t vm : record.delivered) live = live || vms_[vm].alive;
    if (live && record.released.empty()) {
      Violation("grant " + id + " was not released");
    }
  }
  if (poisoned_ > 2) Violation("more than two engines are lost to one request");
  if (!options_.idempotent && runs_.size() > 1) Violation("a call ran twice");
}

}  // namespace zr
