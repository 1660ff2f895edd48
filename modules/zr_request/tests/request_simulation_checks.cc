#include "request_simulation.h"

namespace zr {

//==============================================================================
// Checks

std::string RequestSimulation::AnswerText(const std::string& stream,
                                          int64_t from, int64_t to) const {
  std::string text;
  for (int64_t i = from; i < to; ++i) {
    const uint64_t hash = Hash64(stream, static_cast<uint64_t>(i));
    for (int b = 0; b < kTokenBytes; ++b) {
      text += static_cast<char>('a' + (hash >> (8 * b)) % 26);
    }
  }
  return text;
}

void RequestSimulation::CheckReceivedBytes(size_t, bool complete) {
  // Each run has its own text, so bytes of two runs in one answer are detected.
  const int64_t received_tokens =
      static_cast<int64_t>(received_.size()) / kTokenBytes;
  for (const auto& [id, run] : runs_) {
    if (received_tokens <= run.length &&
        (!complete || received_tokens == run.length) &&
        received_ == AnswerText(id, 0, received_tokens)) {
      return;
    }
  }
  if (received_tokens > 0 || complete) {
    AddViolation("the caller's bytes are not the answer of one run");
  }
}

void RequestSimulation::CheckFinalState() {
  if (!queue_.empty()) AddViolation("the simulation does not end");
  if (waiting_) AddViolation("the caller got no outcome");
  for (const Vm& vm : vms_) {
    if (!vm.alive || !vm.machine) continue;
    if (!vm.outcome) AddViolation("a machine has no outcome");
    if (!vm.machine->removable()) {
      AddViolation("a machine is not removable at the end");
    }
  }
  for (const auto& [id, record] : grants_) {
    bool live = false;
    for (size_t vm : record.delivered) live = live || vms_[vm].alive;
    if (live && record.released.empty()) {
      AddViolation("grant " + id + " was not released");
    }
  }
  if (poison_crashes_ > 2) AddViolation("one request crashed over two engines");
  if (!options_.idempotent && runs_.size() > 1) AddViolation("call ran twice");
}

}  // namespace zr
