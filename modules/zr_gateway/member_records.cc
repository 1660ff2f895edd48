#include "zr_gateway/member_records.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace zr {
namespace {

constexpr const char* kKeyName = "key";
constexpr std::string_view kVmPrefix = "vm.";
constexpr std::string_view kCoresPrefix = "cpu.";
// Time for which a VM leaves the key to each VM that ranks before it. Longer
// than a record takes from one VM's write to another's read.
constexpr Duration kKeyLead = Duration::Milliseconds(1500);
constexpr int64_t kMaxKeyLeads = 3;

std::string ToText(double cores) {
  std::array<char, 32> digits{};
  const auto result =
      std::to_chars(digits.data(), digits.data() + digits.size(), cores);
  return {digits.data(), result.ptr};
}

std::optional<double> ToCores(const std::string& text) {
  double cores = 0;
  const char* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, cores);
  const bool valid = result.ec == std::errc() && result.ptr == end &&
                     std::isfinite(cores) && cores >= 0;
  return valid ? std::optional(cores) : std::nullopt;
}

/** Name of the VM that a record belongs to, if it has the prefix. */
std::optional<VmId> VmOf(const std::string& name, std::string_view prefix) {
  if (!name.starts_with(prefix)) return std::nullopt;
  return VmId(name.substr(prefix.size()));
}

}  // namespace

MemberRecords::MemberRecords(VmId vm, std::string address, double cores)
    : vm_(std::move(vm)) {
  own_[std::string(kVmPrefix) + vm_.value()].value = std::move(address);
  if (cores >= kMinDutyCores) {
    own_[std::string(kCoresPrefix) + vm_.value()].value = ToText(cores);
  }
}

void MemberRecords::OnList(const std::vector<MemberRecord>& records,
                           bool restored) {
  if (restored) {
    for (auto& [name, entry] : entries_) entry.version = ObjectVersion();
  } else {
    entries_.clear();
  }
  listed_ = true;
  key_missing_ = true;
  key_written_ = false;
  for (auto& [name, own] : own_) own.written = false;
  for (const MemberRecord& record : records) OnChange(record);
}

void MemberRecords::OnChange(const MemberRecord& record) {
  if (record.name == kKeyName) {
    key_missing_ = !record.value;
    key_written_ = false;
    if (record.value) key_ = *record.value;
    return;
  }
  if (const auto own = own_.find(record.name); own != own_.end()) {
    own->second.written = false;
  } else if (VmOf(record.name, kCoresPrefix) == vm_) {
    // This VM was larger before it was started again.
    own_[record.name].value = ToText(0);
  }
  if (record.value) {
    entries_[record.name] = {*record.value, record.version};
  } else {
    entries_.erase(record.name);
  }
}

bool MemberRecords::IsStored(const std::string& name,
                             const std::string& value) const {
  const auto known = entries_.find(name);
  return known != entries_.end() && known->second.version != ObjectVersion() &&
         known->second.value == value;
}

std::vector<MemberRecord> MemberRecords::TakeWrites(
    const std::optional<std::string>& new_key) {
  std::vector<MemberRecord> writes;
  if (key_missing_ && !key_written_ && new_key) {
    key_written_ = true;
    writes.push_back(
        {kKeyName, ObjectVersion(), key_.empty() ? *new_key : key_});
  }
  for (auto& [name, own] : own_) {
    if (own.written || IsStored(name, own.value)) continue;
    own.written = true;
    Entry& known = entries_[name];
    writes.push_back({name, known.version, own.value});
    known.value = own.value;
  }
  return writes;
}

void MemberRecords::OnWriteFailed(const std::string& name) {
  if (name == kKeyName) key_written_ = false;
  if (const auto own = own_.find(name); own != own_.end()) {
    own->second.written = false;
  }
}

bool MemberRecords::KeyWriteDue(TimePoint now) {
  if (!key_missing_) key_missed_since_.reset();
  if (!listed_ || !key_missing_ || key_written_) return false;
  if (!key_missed_since_) key_missed_since_ = now;
  const auto score = [](const VmId& vm) {
    return RendezvousScore(kKeyName, vm.value());
  };
  int64_t leads = 0;
  for (const auto& [name, entry] : entries_) {
    const auto vm = VmOf(name, kVmPrefix);
    if (vm && score(*vm) > score(vm_)) ++leads;
  }
  return now - *key_missed_since_ >= kKeyLead * std::min(leads, kMaxKeyLeads);
}

bool MemberRecords::IsRegistered() const {
  return !key_missing_ &&
         std::all_of(own_.begin(), own_.end(), [this](const auto& item) {
           return IsStored(item.first, item.second.value);
         });
}

std::map<VmId, std::string> MemberRecords::addresses() const {
  std::map<VmId, std::string> addresses;
  for (const auto& [name, entry] : entries_) {
    if (const auto vm = VmOf(name, kVmPrefix)) addresses[*vm] = entry.value;
  }
  return addresses;
}

VmCores MemberRecords::cores() const {
  VmCores cores;
  for (const auto& [name, entry] : entries_) {
    const auto vm = VmOf(name, kCoresPrefix);
    const auto share = ToCores(entry.value);
    if (vm && share) cores[*vm] = *share;
  }
  return cores;
}

}  // namespace zr
