#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_gateway/duty_rank.h"

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
 *
 * Records: "key"; "vm.NAME", the address of a VM's links; "cpu.NAME", its
 * processor share in cores, only of VMs that are large enough to be preferred
 * for work on behalf of the others. Earlier releases ignore the last.
 */
class MemberRecords {
 public:
  /** @param address  of this VM's links, "ip:port"
   *  @param cores  this VM's processor share */
  MemberRecords(VmId vm, std::string address, double cores = 0);

  /** Takes the complete list.
   * @param restored  the store has come back from an older copy */
  void OnList(const std::vector<MemberRecord>& records, bool restored);
  void OnChange(const MemberRecord& record);

  /** The writes that are due, which replace the versions given. Each is
   * returned once per change or list.
   * @param new_key  used if no VM has written a key yet; std::nullopt if this
   * VM leaves that to another for now, see KeyWriteDue() */
  std::vector<MemberRecord> TakeWrites(
      const std::optional<std::string>& new_key);

  /** A write had no effect, or may have had none: it is due again. */
  void OnWriteFailed(const std::string& name);

  /**
   * Whether this VM writes the key if the store lacks it. One of the VMs that
   * know of each other does so at once, so that not every VM of a fleet that
   * starts together tries; the others follow if no key appears.
   */
  bool KeyWriteDue(TimePoint now);
  /** The store has what this VM has to write, and a key. */
  bool IsRegistered() const;

  /** The key of the links; empty until the store has one. */
  const std::string& key() const { return key_; }
  /** Addresses of the links of all VMs. */
  std::map<VmId, std::string> addresses() const;
  /** Processor shares of the VMs that have announced theirs. */
  VmCores cores() const;

 private:
  struct Entry {
    std::string value;
    ObjectVersion version;  // 0: not in the store
  };
  /** A record of this VM. */
  struct OwnRecord {
    std::string value;
    bool written = false;
  };

  bool IsStored(const std::string& name, const std::string& value) const;

  VmId vm_;
  std::string key_;
  bool listed_ = false;
  bool key_missing_ = true;  // in the store
  bool key_written_ = false;
  std::optional<TimePoint> key_missed_since_;
  std::map<std::string, OwnRecord> own_;
  std::map<std::string, Entry> entries_;  // without the key
};

}  // namespace zr
