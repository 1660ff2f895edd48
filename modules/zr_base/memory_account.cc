#include "zr_base/memory_account.h"

#include <algorithm>

#include "zr_base/assert.h"

namespace zr {
namespace {

// Memory of the program's own state: configuration, endpoints, links, evidence.
constexpr size_t kProgramBytes = size_t{32} << 20;
// Smallest VM of the deployments, assumed where none is named.
constexpr size_t kSmallestVm = size_t{112} << 20;
// Answers of all requests; at 30% of the rest, the smallest VM has this much.
constexpr size_t kMaxAnswerBytes = size_t{24} << 20;
// Shares, in percent of the memory beside the program's own state. The rest is
// for unused memory of the allocator.
constexpr size_t kClientPercent = 40;
constexpr size_t kAnswerPercent = 30;
constexpr size_t kUnreadPercent = 15;
// One request of 4 MiB in chunks, whose buffer doubles, fits on any VM.
constexpr size_t kMinClientBytes = size_t{12} << 20;

size_t Rest(size_t vm_bytes) {
  vm_bytes = MemoryAccount::VmBytes(vm_bytes);
  return vm_bytes - std::min(vm_bytes, kProgramBytes);
}

}  // namespace

size_t MemoryAccount::VmBytes(size_t vm_bytes) {
  return vm_bytes == 0 ? kSmallestVm : vm_bytes;
}

size_t MemoryAccount::ClientBytes(size_t vm_bytes) {
  return std::max(kMinClientBytes, Rest(vm_bytes) / 100 * kClientPercent);
}

size_t MemoryAccount::UnreadBytes(size_t vm_bytes) {
  return Rest(vm_bytes) / 100 * kUnreadPercent;
}

size_t MemoryAccount::AnswerBytes(size_t vm_bytes) {
  return std::min(kMaxAnswerBytes, Rest(vm_bytes) / 100 * kAnswerPercent);
}

bool MemoryAccount::TryReserve(Purpose purpose, size_t bytes, Bound bound) {
  const size_t limit = bound == Bound::kSoft ? limit_ - limit_ / 8 : limit_;
  if (const size_t held = this->held(); held > limit || bytes > limit - held) {
    return false;
  }
  held_[static_cast<size_t>(purpose)] += bytes;
  return true;
}

void MemoryAccount::Release(Purpose purpose, size_t bytes) {
  size_t& held = held_[static_cast<size_t>(purpose)];
  ZR_ASSERT(bytes <= held, "more memory released than reserved");
  held -= std::min(bytes, held);
}

void MemoryAccount::Move(Purpose from, Purpose to, size_t bytes) {
  Release(from, bytes);
  held_[static_cast<size_t>(to)] += bytes;
}

size_t MemoryAccount::held() const {
  size_t sum = 0;
  for (const size_t bytes : held_) sum += bytes;
  return sum;
}

}  // namespace zr
