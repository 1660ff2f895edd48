#include "zr_gateway/member_records.h"

namespace zr {
namespace {

constexpr const char* kKeyName = "key";
constexpr std::string_view kVmPrefix = "vm.";

}  // namespace

void MemberRecords::OnList(const std::vector<MemberRecord>& records,
                           bool restored) {
  if (restored) {
    for (auto& [vm, member] : members_) member.version = ObjectVersion();
  } else {
    members_.clear();
  }
  key_missing_ = true;
  key_written_ = false;
  own_written_ = false;
  for (const MemberRecord& record : records) OnChange(record);
}

void MemberRecords::OnChange(const MemberRecord& record) {
  if (record.name == kKeyName) {
    key_missing_ = !record.value;
    key_written_ = false;
    if (record.value) key_ = *record.value;
    return;
  }
  if (!record.name.starts_with(kVmPrefix)) return;
  const VmId vm(record.name.substr(kVmPrefix.size()));
  if (vm == vm_) own_written_ = false;
  if (record.value) {
    members_[vm] = {*record.value, record.version};
  } else {
    members_.erase(vm);
  }
}

std::vector<MemberRecord> MemberRecords::TakeWrites(
    const std::string& new_key) {
  std::vector<MemberRecord> writes;
  if (key_missing_ && !key_written_) {
    key_written_ = true;
    writes.push_back(
        {kKeyName, ObjectVersion(), key_.empty() ? new_key : key_});
  }
  const auto own = members_.find(vm_);
  const Member known = own == members_.end() ? Member() : own->second;
  const bool current =
      known.version != ObjectVersion() && known.address == address_;
  if (!current && !own_written_) {
    own_written_ = true;
    writes.push_back(
        {std::string(kVmPrefix) + vm_.value(), known.version, address_});
    members_[vm_].address = address_;
  }
  return writes;
}

void MemberRecords::OnWriteFailed(const std::string& name) {
  (name == kKeyName ? key_written_ : own_written_) = false;
}

std::map<VmId, std::string> MemberRecords::addresses() const {
  std::map<VmId, std::string> addresses;
  for (const auto& [vm, member] : members_) addresses[vm] = member.address;
  return addresses;
}

}  // namespace zr
