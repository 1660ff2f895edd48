#pragma once

#include <array>
#include <cstddef>

namespace zr {

/**
 * Counts the memory that is held for clients against two bounds: large
 * reservations must stay below the soft one, which leaves room for small
 * requests up to the hard one. Not thread-safe.
 */
class MemoryAccount {
 public:
  /** What memory is held for. */
  enum class Purpose { kConnections, kIncoming, kRunning };
  static constexpr size_t kPurposes = 3;
  enum class Bound { kSoft, kHard };

  /** @param limit  the hard bound in bytes; the soft one is 7/8 of it */
  explicit MemoryAccount(size_t limit) : limit_(limit) {}

  /**
   * Part of a VM's memory that may be held for clients and their requests. The
   * rest is for the program's state, the kernel's buffers and answers.
   *
   * @param vm_bytes  memory of the VM; 0 if it is not known
   */
  static size_t ClientBytes(size_t vm_bytes);
  /** Memory of the VM, or the least that one has if it is not known. */
  static size_t VmBytes(size_t vm_bytes);
  /** Part that may be taken by bytes of callers that wait in the kernel. */
  static size_t UnreadBytes(size_t vm_bytes);
  /** Part that may be held for answers that are buffered whole. */
  static size_t AnswerBytes(size_t vm_bytes);

  /** @returns false, without a change, if the bound would be exceeded */
  [[nodiscard]] bool TryReserve(Purpose purpose, size_t bytes, Bound bound);
  void Release(Purpose purpose, size_t bytes);
  /** Moves reserved memory to another purpose. */
  void Move(Purpose from, Purpose to, size_t bytes);

  /** Reserved memory above a lower limit stays reserved. */
  void SetLimit(size_t limit) { limit_ = limit; }

  size_t held() const;
  size_t held(Purpose purpose) const {
    return held_[static_cast<size_t>(purpose)];
  }
  size_t limit() const { return limit_; }

 private:
  size_t limit_;
  std::array<size_t, kPurposes> held_{};
};

}  // namespace zr
