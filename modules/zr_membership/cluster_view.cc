#include "zr_membership/cluster_view.h"

namespace zr {

const VmView* ClusterView::FindLive(const VmId& vm) const {
  const auto it = live.find(vm);
  return it == live.end() ? nullptr : &it->second;
}

// A VM without a configuration knows no pools, so it could not serve what it
// owns. Readiness is not required: it flips in store outages, and each change
// of owner costs a takeover.
bool MayOwn(const VmView& vm) {
  return !vm.leaving && !vm.vm_drained && vm.config_version.value() > 0;
}

}  // namespace zr
