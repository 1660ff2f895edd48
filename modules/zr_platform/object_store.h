#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_http/zr_http.h"
#include "zr_platform/object_format.h"
#include "zr_records/store_budget.h"

namespace zr {

/** A VM in the platform's list. */
struct ListedVm {
  std::string name;
  std::string address;  // of its peer listener
  std::string domain;
  bool leaving = false;
};

struct ObjectStoreOptions {
  std::string address;  // "ip:port"
  /** Longest time until an answer begins, besides the wait of a watch, and
   * longest pause within it. */
  Duration request_timeout = Duration::Seconds(2);
  StoreBudgetOptions budget;
};

/**
 * Asynchronous client of an object API. Every call counts against the budget of
 * its purpose; if that is used up, the callback runs immediately with kNotSent.
 */
template <ObjectFormat Format>
class BasicObjectStore {
 public:
  using Callback = std::function<void(StoreReply)>;
  /** Monotonic time for the budget. */
  using ClockFunction = std::function<TimePoint()>;

  BasicObjectStore(std::shared_ptr<HttpClient> client,
                   ObjectStoreOptions options, ClockFunction clock)
      : client_(std::move(client)),
        options_(std::move(options)),
        clock_(std::move(clock)),
        budget_(options_.budget) {}

  //============================================================================
  // Calls

  void Get(StorePurpose purpose, const std::string& kind,
           const std::string& name, Callback done) {
    Call(purpose, Access::kRead, Format::Get(kind, name), std::move(done));
  }

  /** @param expected  version to replace; 0 creates the object and conflicts if
   * it exists */
  void Put(StorePurpose purpose, const std::string& kind,
           const std::string& name, ObjectVersion expected, std::string value,
           Callback done) {
    Call(purpose, Access::kWrite,
         Format::Put(kind, name, expected, std::move(value)), std::move(done));
  }

  void Delete(StorePurpose purpose, const std::string& kind,
              const std::string& name, ObjectVersion expected, Callback done) {
    Call(purpose, Access::kWrite, Format::Delete(kind, name, expected),
         std::move(done));
  }

  /** @param after  lists the  names after this one; empty to start at the first
   */
  void List(StorePurpose purpose, const std::string& kind,
            const std::string& after, int limit, Callback done) {
    Call(purpose, Access::kRead, Format::List(kind, after, limit),
         std::move(done));
  }

  /** Waits up to the given time for changes after a version. */
  void Watch(StorePurpose purpose, const std::string& kind, ObjectVersion after,
             Duration wait, Callback done) {
    ClientRequest request = Format::Watch(kind, after, wait);
    request.answer_timeout = wait + options_.request_timeout;
    Call(purpose, Access::kWatch, std::move(request), std::move(done));
  }

  //============================================================================
  // Budget

  /** Sets the number of VMs that share the platform's rate limit. */
  void SetVmCount(int vms) {
    std::lock_guard lock(mutex_);
    budget_.SetVmCount(vms);
  }

 protected:
  enum class Access { kRead, kWrite, kWatch };

  // Larger than a list page that holds the largest objects.
  static constexpr size_t kMaxReplyBytes = size_t{64} << 20;
  // Bounds an answer whose bytes come one by one.
  static constexpr Duration kMaxTransfer = Duration::Seconds(10);

  bool TryAcquireBudget(StorePurpose purpose, Access access) {
    const TimePoint now = clock_();
    std::lock_guard lock(mutex_);
    switch (access) {
      case Access::kRead:
        return budget_.TryAcquireRead(purpose, now);
      case Access::kWrite:
        return budget_.TryAcquireWrite(purpose, now);
      case Access::kWatch:
        return budget_.TryAcquireWatch(purpose, now);
    }
    return false;
  }

  void Call(StorePurpose purpose, Access access, ClientRequest request,
            Callback done) {
    if (!TryAcquireBudget(purpose, access)) {
      StoreReply reply;
      reply.status = StoreStatus::kNotSent;
      done(std::move(reply));
      return;
    }
    request.url = "http://" + options_.address + request.url;
    if (request.answer_timeout == Duration()) {
      request.answer_timeout = options_.request_timeout;
    }
    request.pause_timeout = options_.request_timeout;
    request.total_timeout = request.answer_timeout + kMaxTransfer;
    // On a reused connection libcurl may resend the request, and a resent
    // conditional write would conflict with the first attempt.
    request.fresh_connection = access == Access::kWrite;
    client_->Fetch(std::move(request), kMaxReplyBytes,
                   [done = std::move(done)](auto result) {
                     if (result) return done(Format::Decode(*result));
                     StoreReply reply;
                     reply.status = result.error().request_sent
                                        ? StoreStatus::kUnknown
                                        : StoreStatus::kNotSent;
                     done(std::move(reply));
                   });
  }

  std::shared_ptr<HttpClient> client_;
  ObjectStoreOptions options_;
  ClockFunction clock_;
  std::mutex mutex_;
  StoreBudget budget_;
};

/** Client of the project's own object API, which also lists VMs. */
class ObjectStore : public BasicObjectStore<NativeObjectFormat> {
 public:
  using VmCallback = std::function<void(Result<std::vector<ListedVm>>)>;
  using BasicObjectStore::BasicObjectStore;

  void ListVms(VmCallback done);
};

}  // namespace zr
