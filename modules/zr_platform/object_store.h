#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_http/zr_http.h"
#include "zr_records/store_budget.h"

namespace zr {

/** What is known after a call to the object API. */
enum class StoreStatus {
  kOk,
  kNotFound,
  kConflict,  // the expected version did not match; version holds the current one if known
  kGone,      // the watch's version is too old; list again
  kRefused,   // over the rate or an error answer; a write did not take effect
  kNotSent,   // no byte left this VM, or the VM's own budget is used up
  kUnknown,   // no answer; a write may take effect, now or later
};

std::string_view ToString(StoreStatus status);

/** An object of a list or watch. */
struct StoreItem {
  std::string name;
  ObjectVersion version;
  std::string value;
  bool deleted = false;  // watch only
};

struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  ObjectVersion version;         // of the object, list or watch
  std::string value;             // get only
  std::vector<StoreItem> items;  // list and watch only
};

/** A VM in the platform's list. */
struct ListedVm {
  std::string name;
  std::string address;  // of its peer listener
  std::string domain;
  bool leaving = false;
};

struct ObjectStoreOptions {
  std::string address;  // "ip:port"
  Duration request_timeout = Duration::Seconds(2);
  StoreBudgetOptions budget;
};

/**
 * Asynchronous client of the object API. Every call counts against the
 * budget of its purpose; a call beyond it ends at once with kNotSent.
 */
class ObjectStore {
 public:
  using Callback = std::function<void(StoreReply)>;
  using VmCallback = std::function<void(Result<std::vector<ListedVm>>)>;
  /** Monotonic time for the budget. */
  using ClockFunction = std::function<TimePoint()>;

  ObjectStore(std::shared_ptr<HttpClient> client, ObjectStoreOptions options, ClockFunction clock);

  //============================================================================
  // Calls

  void Get(StorePurpose purpose, const std::string& kind, const std::string& name, Callback done);
  /** @param expected  version to replace; 0 creates and needs the object to be absent */
  void Put(StorePurpose purpose, const std::string& kind, const std::string& name,
           ObjectVersion expected, std::string value, Callback done);
  void Delete(StorePurpose purpose, const std::string& kind, const std::string& name,
              ObjectVersion expected, Callback done);
  /** @param after  names after this one; empty for the start */
  void List(StorePurpose purpose, const std::string& kind, const std::string& after, int limit,
            Callback done);
  /** Waits for a change after a version, at most the given time. */
  void Watch(StorePurpose purpose, const std::string& kind, ObjectVersion after, Duration wait,
             Callback done);
  void ListVms(VmCallback done);

  //============================================================================
  // Budget

  /** Sets the number of VMs that share the platform's rate. */
  void SetVmCount(int vms);

 private:
  enum class Access { kRead, kWrite, kWatch };
  void Call(StorePurpose purpose, Access access, ClientRequest request, Callback done);
  bool TakeBudget(StorePurpose purpose, Access access);
  std::string Url(const std::string& path) const;

  std::shared_ptr<HttpClient> client_;
  ObjectStoreOptions options_;
  ClockFunction clock_;
  std::mutex mutex_;
  StoreBudget budget_;
};

}  // namespace zr
