#pragma once

#include <asio/steady_timer.hpp>
#include <memory>

#include "zr_daemon/node_context.h"
#include "zr_daemon/request/request_host.h"
#include "zr_records/zr_records.h"

namespace zr {

/**
 * Runs the OperationMachine of one non-repeatable call on a strand. The record
 * is read and written through the object API. The service is called by an inner
 * request, which continues if the caller disconnects.
 */
class OperationHost : public std::enable_shared_from_this<OperationHost> {
 public:
  /**
   * Starts an operation. Thread-safe.
   * @param call      with object name, service and key; the other fields are
   * filled in
   * @param options   options of the caller's request, which the team's limits
   * have already admitted
   * @param response  response to the caller
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
  const RequestId id_;  // id of the caller's request
  const TeamId team_;
  const ClassId class_;
  Strand strand_;
  asio::steady_timer timer_;
  OperationMachine machine_;
  RequestOptions options_;
  UpstreamTemplate upstream_;
  HttpResponsePtr response_;
  // From here on the inner request reports its end to the team's limits.
  bool inner_started_ = false;
  bool removed_ = false;
};

}  // namespace zr
