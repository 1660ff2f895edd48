#include "zr_request/retry_budget.h"

namespace zr {

bool RetryBudget::TryRetry(TimePoint now) {
  const bool taken = bucket_.TryTake(now);
  ++(taken ? allowed_ : refused_);
  return taken;
}

}  // namespace zr
