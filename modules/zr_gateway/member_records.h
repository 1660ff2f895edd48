#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** A record of the store; without a value it does not exist. */
struct MemberRecord {
  std::string name;
  ObjectVersion version;
  std::optional<std::string> value;
  friend auto operator<=>(const MemberRecord&, const MemberRecord&) = default;
};

/**
 * The entry VMs and the key of their links, as registered in the store, and
 * what this VM has to write there. A store that is restored from an older copy
 * may lack any of it; the VMs that are known stay, and write it again.
 */
class MemberRecords {
 public:
  /** @param address  of this VM's links, "ip:port" */
  MemberRecords(VmId vm, std::string address)
      : vm_(std::move(vm)), address_(std::move(address)) {}

  /** Takes the complete list.
   * @param restored  the store has come back from an older copy */
  void OnList(const std::vector<MemberRecord>& records, bool restored);
  void OnChange(const MemberRecord& record);

  /** The writes that are due, which replace the versions given. Each is
   * returned once per change or list.
   * @param new_key  used if no VM has written a key yet */
  std::vector<MemberRecord> TakeWrites(const std::string& new_key);

  /** A write had no effect, or may have had none: it is due again. */
  void OnWriteFailed(const std::string& name);

  /** The key of the links; empty until the store has one. */
  const std::string& key() const { return key_; }
  /** Addresses of the links of all VMs. */
  std::map<VmId, std::string> addresses() const;

 private:
  struct Member {
    std::string address;
    ObjectVersion version;  // 0: not in the store
  };

  VmId vm_;
  std::string address_;
  std::string key_;
  bool key_missing_ = true;  // in the store
  bool key_written_ = false;
  bool own_written_ = false;
  std::map<VmId, Member> members_;
};

}  // namespace zr
