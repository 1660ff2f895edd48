#pragma once

#include <asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/common/host.h"
#include "standins/platform/object_table.h"
#include "zr_base/zr_base.h"

namespace zr {

struct PlatformOptions {
  std::string listen;        // "ip:port" of the object API
  std::string fault_listen;  // "ip:port" of the fault port; empty for none
  uint64_t seed = 1;
  Duration vm_list_lag = Duration::Seconds(2);
  double writes_per_second = 500;
  double reads_per_second = 2000;
  Duration weight_load_time =
      Duration::Seconds(5);  // of a single load at the full rate
  size_t max_events = 20'000;
};

/**
 * The platform stand-in: object API, VM list, weight store and fault port. Not
 * thread-safe; runs on one io_context thread.
 */
class PlatformServer {
 public:
  static Result<std::unique_ptr<PlatformServer>> Start(
      asio::io_context& context, PlatformOptions options);

  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

 private:
  struct Watch {
    std::string kind;
    uint64_t after = 0;
    HttpResponsePtr response;
    bool answered = false;
  };
  struct Vm {
    std::string name;
    std::string address;
    std::string domain;
    std::string state;
  };
  /** The VM list that is current from at_ms on. */
  struct VmListSnapshot {
    int64_t at_ms = 0;
    std::map<std::string, Vm> vms;
  };
  struct Faults {
    bool outage = false;  // calls get no response
    bool refuse = false;  // calls get 503
    int64_t slow_ms = 0;  // delay of every response
    double answer_loss_rate =
        0;  // probability that the response to a write is lost
    double request_loss_rate =
        0;  // probability that a write is lost before it takes effect
    int64_t delayed_effect_ms = 0;    // delay until a write takes effect
    double delayed_effect_rate = 1;   // of delayed_effect_ms
    int64_t stale_read_versions = 0;  // lag of reads, in versions
  };

  PlatformServer(asio::io_context& context, PlatformOptions options);

  void Handle(HttpRequest request, HttpResponsePtr response);
  void Dispatch(const HttpRequest& request, const HttpResponsePtr& response);
  void HandleObject(const HttpRequest& request, const HttpResponsePtr& response,
                    const std::vector<std::string>& path);
  void HandleWrite(const HttpRequest& request, const HttpResponsePtr& response,
                   const std::string& kind, const std::string& name);
  void ApplyWrite(const HttpRequest& request, const HttpResponsePtr& response,
                  const std::string& kind, const std::string& name,
                  bool lose_answer);
  void HandleList(const HttpRequest& request, const HttpResponsePtr& response,
                  const std::string& kind);
  void HandleWatch(const HttpRequest& request, const HttpResponsePtr& response,
                   const std::string& kind);
  bool AnswerWatch(Watch& watch, bool timed_out);
  void NotifyWatches();
  void HandleVms(const HttpRequest& request, const HttpResponsePtr& response);
  void HandleWeights(const HttpRequest& request,
                     const HttpResponsePtr& response);
  void HandleFault(const HttpRequest& request, const HttpResponsePtr& response);
  void ApplyFault(const std::string& name, const HttpRequest& request);
  nlohmann::json State() const;
  TimePoint Now() const;

  asio::io_context& context_;
  PlatformOptions options_;
  Random random_;
  ObjectTable store_;
  Faults faults_;
  TokenBucket read_bucket_;
  TokenBucket write_bucket_;
  std::vector<std::shared_ptr<Watch>> watches_;
  std::deque<VmListSnapshot> vm_snapshots_;
  std::map<std::string, Vm> vms_;
  std::map<std::string, int64_t> call_counts_;
  double weight_busy_until_ms_ = 0;
  std::vector<HttpResponsePtr> unanswered_;  // calls received during an outage
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpServer> fault_server_;
};

}  // namespace zr
