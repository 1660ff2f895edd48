#pragma once

#include <asio/steady_timer.hpp>
#include <memory>

#include "zr_daemon/node_context.h"
#include "zr_daemon/request/request_host.h"
#include "zr_records/zr_records.h"

namespace zr {

/**
 * Runs the OperationMachine of one non-repeatable call on a strand: its record
 * goes through the object API, the call of the service is an inner request that
 * outlives the caller.
 */
class OperationHost : public std::enable_shared_from_this<OperationHost> {
 public:
  /**
   * Starts an operation; any thread.
   * @param call      object name, service, key, deadline and may_wait; the rest
   * is filled in
   * @param options   of the caller's request, already admitted by the team's
   * limits
   * @param response  of the caller
   */
  static void Start(NodeContext& context, OperationCall call,
                    RequestOptions options, UpstreamTemplate upstream,
                    HttpResponsePtr response);

  ~OperationHost();
  OperationHost(const OperationHost&) = delete;
  OperationHost& operator=(const OperationHost&) = delete;

 private:
  OperationHost(NodeContext& context, OperationCall call, AttemptId self,
                RequestOptions options, UpstreamTemplate upstream,
                HttpResponsePtr response);

  void Post(OperationEvent event);
  void Handle(const OperationEvent& event);

  void Execute(const OpRead& action);
  void Execute(const OpWrite& action);
  void Execute(const OpCallService& action);
  void Execute(const OpCheckOwner& action);
  void Execute(const OpAnswer& action);
  void Execute(const OpSetTimer& action);

  bool MayBeRunning(const AttemptId& attempt) const;
  void SendOutcome(const ServiceOutcome& outcome, bool replayed);
  void Count(std::string outcome);

  NodeContext& context_;
  const RequestId id_;  // as the caller knows it
  const TeamId team_;
  const ClassId class_;
  Strand strand_;
  asio::steady_timer timer_;
  OperationMachine machine_;
  RequestOptions options_;
  UpstreamTemplate upstream_;
  HttpResponsePtr response_;
  bool inner_started_ =
      false;  // the inner request reports its end to the team's limits
  bool removed_ = false;
};

}  // namespace zr
