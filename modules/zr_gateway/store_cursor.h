#pragma once

#include <algorithm>
#include <optional>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * The position up to which a VM knows the store's objects of one kind. Decides
 * which answers of the store it may apply.
 *
 * The store may come back from an older copy. It then begins a new era, in
 * which it gives out versions again, so changes can only be applied to a state
 * of the same era, and a new era begins with a complete list. Answers of an
 * earlier era may arrive late.
 */
class StoreCursor {
 public:
  enum class Action : uint8_t {
    kApply,
    kList,     // the answer belongs to a history that is not known here
    kDiscard,  // the answer is older than what is known
  };

  const StorePosition& position() const { return position_; }

  void BeginList() { list_.reset(); }
  /** A page of a list, read at `at`. */
  Action OnPage(StorePosition at) {
    if (!list_) list_ = at;
    // Updates of other VMs may have moved the position on meanwhile.
    if (*list_ < position_) return Action::kDiscard;
    return at.era == list_->era ? Action::kApply : Action::kList;
  }
  /** All pages were applied. The changes from the first page on are read again,
   * because the pages have different positions.
   * @returns whether a new era has replaced the known one */
  bool CompleteList() {
    const bool restored =
        position_.era != StoreEra() && list_->era > position_.era;
    position_ = *list_;
    list_.reset();
    return restored;
  }

  /**
   * The changes up to `at`; kApply moves the position there.
   *
   * @param from  position() when the changes were asked for. The store takes
   *              its version for one of the present era.
   */
  Action OnChanges(StorePosition from, StorePosition at) {
    if (at.era > position_.era) return Action::kList;
    if (at.era < position_.era || from.era < at.era) return Action::kDiscard;
    position_ = std::max(position_, at);
    return Action::kApply;
  }

  /** An update of another VM was applied, which held all changes up to `at`.
   * @returns whether a new era has replaced the known one */
  bool OnUpdateApplied(StorePosition at) {
    const bool restored = position_.era != StoreEra() && at.era > position_.era;
    position_ = std::max(position_, at);
    return restored;
  }

 private:
  StorePosition position_;
  std::optional<StorePosition> list_;  // position of the first page
};

}  // namespace zr
