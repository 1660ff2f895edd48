#include "zinniarill_load/load_targets.h"

#include <algorithm>

namespace zr {
namespace {

constexpr Duration kCheckPeriod = Duration::Milliseconds(500);
// One-way delays: callers of Kontrollkontor are several times farther from any
// domain than domains are from each other; those of Ordvakt are nearer.
constexpr Duration kFarCaller = Duration::Milliseconds(20);
constexpr Duration kFarCallerStep = Duration::Milliseconds(1);
constexpr Duration kNearCaller = Duration::Microseconds(500);

}  // namespace

Result<CallerPlace> ParseCallerPlace(const std::string& text) {
  if (text == "none") return CallerPlace::kHere;
  if (text == "kontrollkontor") return CallerPlace::kKontrollkontor;
  if (text == "ordvakt") return CallerPlace::kOrdvakt;
  return Fail(ErrorCode::kInvalidArgument, "policy", text,
              "must be none, kontrollkontor or ordvakt");
}

Result<std::vector<LoadTarget>> ParseTargets(const std::string& text,
                                             CallerPlace place) {
  std::vector<LoadTarget> targets;
  std::vector<std::string> domains;
  for (const auto& part : SplitList(text)) {
    const auto pair = SplitList(part, '@');
    auto address = ParseAddress(pair.empty() ? "" : pair[0]);
    if (!address) return tl::unexpected(address.error());
    LoadTarget target;
    target.address = pair[0];
    target.domain = pair.size() > 1 ? pair[1] : "";
    auto known = std::find(domains.begin(), domains.end(), target.domain);
    const auto index = known - domains.begin();
    if (known == domains.end()) domains.push_back(target.domain);
    if (place == CallerPlace::kKontrollkontor) {
      target.delay = kFarCaller + kFarCallerStep * index;
    }
    if (place == CallerPlace::kOrdvakt) target.delay = kNearCaller;
    targets.push_back(std::move(target));
  }
  if (targets.empty()) {
    return Fail(ErrorCode::kInvalidArgument, "targets", text,
                "no target is given");
  }
  return targets;
}

void LoadBalancer::Start() { Check(); }

void LoadBalancer::Check() {
  if (stopped_) return;
  for (size_t i = 0; i < targets_.size(); ++i) {
    ClientRequest request;
    request.url = "http://" + targets_[i].address + "/readyz";
    request.total_timeout = Duration::Seconds(1);
    client_->Fetch(std::move(request), 1 << 20,
                   [self = shared_from_this(), i](auto result) {
                     self->targets_[i].healthy =
                         result && result->status != 503;
                   });
  }
  RunAfter(context_, kCheckPeriod,
           [self = shared_from_this()] { self->Check(); });
}

const LoadTarget& LoadBalancer::Pick(uint64_t random) const {
  std::vector<const LoadTarget*> usable;
  for (const auto& target : targets_) {
    if (target.healthy) usable.push_back(&target);
  }
  if (usable.empty()) return targets_[random % targets_.size()];
  return *usable[random % usable.size()];
}

}  // namespace zr
