#include "zr_request/grant_ledger.h"

#include <algorithm>

namespace zr {

GrantLedger::~GrantLedger() {
  ZR_ASSERT_INVARIANT(kNoKvLeak, held_.empty(),
                      "a request ended with an unreleased grant");
}

GrantLedger::Key GrantLedger::KeyOf(const Grant& grant) {
  return {grant.owner, grant.owner_incarnation, grant.number, grant.endpoint};
}

bool GrantLedger::Add(const Grant& grant) {
  if (!seen_.insert(KeyOf(grant)).second) return false;
  held_.push_back(grant);
  return true;
}

bool GrantLedger::Remove(const Grant& grant) {
  const auto it = std::find_if(held_.begin(), held_.end(), [&](const Grant& g) {
    return KeyOf(g) == KeyOf(grant);
  });
  if (it == held_.end()) return false;
  held_.erase(it);
  return true;
}

OutgoingMessage GrantLedger::MakeRelease(const Grant& grant,
                                         ReleaseOutcome outcome,
                                         const RunReport& report) {
  const bool held = Remove(grant);
  ZR_ASSERT_INVARIANT(kNoKvLeak, held, "released a grant that is not held");
  GrantRelease release;
  release.request = grant.request;
  release.attempt = grant.attempt;
  release.endpoint = grant.endpoint;
  release.number = grant.number;
  release.outcome = outcome;
  release.prompt = report.prompt;
  release.answered = report.answered;
  release.run_time = report.run_time;
  release.first_token = report.first_token;
  return {grant.owner, release};
}

void GrantLedger::Transfer(const Grant& grant) {
  const bool held = Remove(grant);
  ZR_ASSERT_INVARIANT(kNoKvLeak, held, "transferred a grant that is not held");
}

}  // namespace zr
