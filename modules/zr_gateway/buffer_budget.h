#pragma once

#include <algorithm>
#include <cstddef>

namespace zr {

/**
 * Bounds the memory of answers that are buffered whole and of incomplete events
 * of those that are streamed. Each answer may hold a quarter of what all others
 * leave free, so that answers without end run into their limit early and leave
 * room for the rest; a small answer always fits.
 */
class BufferBudget {
 public:
  // Every answer may be as large as this.
  static constexpr size_t kSmallAnswer = size_t{64} << 10;

  /** @param total  bytes of all answers, apart from small ones */
  explicit BufferBudget(size_t total) : total_(total) {}

  /** The buffer of one answer; must not outlive its budget. */
  class Share {
   public:
    explicit Share(BufferBudget& budget) : budget_(&budget) {}
    ~Share() { budget_->held_ -= held_; }
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /** @returns false if the answer exceeds its limit */
    [[nodiscard]] bool TryGrow(size_t bytes) {
      return TryResize(held_ + bytes);
    }
    /** @returns false if the answer exceeds its limit */
    [[nodiscard]] bool TryResize(size_t bytes) {
      if (bytes > held_ &&
          bytes > std::max(kSmallAnswer, budget_->free() / 4)) {
        return false;
      }
      budget_->held_ += bytes - held_;
      held_ = bytes;
      return true;
    }

   private:
    BufferBudget* budget_;
    size_t held_ = 0;
  };

  size_t held() const { return held_; }
  size_t free() const { return total_ - std::min(total_, held_); }

 private:
  size_t total_;
  size_t held_ = 0;
};

}  // namespace zr
