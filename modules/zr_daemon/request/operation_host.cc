#include "zr_daemon/request/operation_host.h"

#include <cstdio>
#include <random>
#include <string>
#include <utility>

#include "zr_daemon/api/error_reply.h"
#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/request/operation_table.h"
#include "zr_daemon/request/outcome_sink.h"
#include "zr_daemon/request/request_table.h"
#include "zr_daemon/request/team_gate.h"

namespace zr {
namespace {

uint64_t RandomNumber() {
  static thread_local std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

/** Id of the inner request. The caller's id is not used, since two calls with
 * the same x-request-id may be in progress at once. */
RequestId InnerId(uint64_t nonce) {
  char text[24];
  std::snprintf(
      text, sizeof(text), "op-%016llx",
      static_cast<unsigned long long>(nonce));  // NOLINT(google-runtime-int)
  return RequestId(text);
}

OpReadReply ToReadReply(uint64_t op, const StoreReply& reply) {
  OpReadReply event;
  event.id = op;
  switch (reply.status) {
    case StoreStatus::kOk: {
      // Without a version the next write could not be made conditional.
      if (reply.version.value() == 0) break;
      auto record = RecordCodec::Decode(reply.value);
      event.status = record ? ReadStatus::kFound : ReadStatus::kInvalid;
      event.version = reply.version;
      if (record) event.record = std::move(*record);
      break;
    }
    case StoreStatus::kNotFound:
      event.status = ReadStatus::kAbsent;
      break;
    case StoreStatus::kRefused:
    case StoreStatus::kNotSent:
      event.status = ReadStatus::kError;
      break;
    case StoreStatus::kConflict:
    case StoreStatus::kExpired:
    case StoreStatus::kUnknown:
      break;
  }
  return event;
}

OpWriteReply ToWriteReply(uint64_t op, const StoreReply& reply) {
  OpWriteReply event;
  event.id = op;
  switch (reply.status) {
    case StoreStatus::kOk:
      if (reply.version.value() == 0) break;
      event.status = WriteStatus::kOk;
      event.version = reply.version;
      break;
    case StoreStatus::kConflict:
    case StoreStatus::kNotFound:  // the version to replace no longer exists
      event.status = WriteStatus::kConflict;
      break;
    case StoreStatus::kRefused:
    case StoreStatus::kNotSent:
      event.status = WriteStatus::kNotWritten;
      break;
    case StoreStatus::kExpired:
    case StoreStatus::kUnknown:
      break;
  }
  return event;
}

}  // namespace

void OperationHost::Start(NodeContext& context, OperationCall call,
                          RequestOptions options, UpstreamTemplate upstream,
                          HttpResponsePtr response) {
  call.team = options.team;
  call.fingerprint = options.fingerprint;
  call.deadline = options.deadline;
  call.may_wait = options.request_class.may_wait;
  call.start_unix_ms = UnixMilliseconds();
  const AttemptId self{context.settings.vm, context.incarnation,
                       RandomNumber()};
  const std::shared_ptr<OperationHost> host(
      new OperationHost(context, std::move(call), self, std::move(options),
                        std::move(upstream), std::move(response)));
  const bool added = context.operations->Add(self.nonce, host);
  ZR_ASSERT(added, "nonces are distinct");
  host->response_->OnClosed([weak = host->weak_from_this()] {
    if (auto operation = weak.lock()) operation->Post(OpCallerDisconnected{});
  });
  host->Post(OpStart{});
}

OperationHost::OperationHost(NodeContext& context, OperationCall call,
                             AttemptId self, RequestOptions options,
                             UpstreamTemplate upstream,
                             HttpResponsePtr response)
    : context_(context),
      id_(options.request),
      team_(options.team),
      class_(options.request_class.name),
      strand_(asio::make_strand(context.io)),
      timer_(strand_),
      machine_(std::move(call), std::move(self), OperationOptions(),
               RandomNumber()),
      options_(std::move(options)),
      upstream_(std::move(upstream)),
      response_(std::move(response)) {}

OperationHost::~OperationHost() = default;

void OperationHost::Post(OperationEvent event) {
  asio::post(strand_, [self = shared_from_this(), event = std::move(event)] {
    self->Handle(event);
  });
}

void OperationHost::Handle(const OperationEvent& event) {
  if (removed_) return;
  for (const OperationAction& action : machine_.Handle(event, SteadyNow())) {
    std::visit([this](const auto& a) { Execute(a); }, action);
  }
  // Also reached if the caller has disconnected: its connection is released.
  if (machine_.answered()) response_.reset();
  if (!machine_.ended()) return;
  removed_ = true;
  timer_.cancel();
  if (!inner_started_) {
    context_.teams->OnFinished(team_, options_.prompt + options_.max_answer);
  }
  context_.operations->Remove(machine_.self().nonce);
}

void OperationHost::Count(std::string outcome) {
  context_.metrics.Count("zr_operations_total",
                         {{"team", team_.value()},
                          {"class", class_.value()},
                          {"outcome", std::move(outcome)}});
}

//==============================================================================
// Record

void OperationHost::Execute(const OpRead& action) {
  context_.store->Get(
      StorePurpose::kRecords, std::string(kOperationsKind), action.name,
      [self = shared_from_this(), op = action.id](const StoreReply& reply) {
        self->Post(ToReadReply(op, reply));
      });
}

void OperationHost::Execute(const OpWrite& action) {
  context_.store->Put(
      StorePurpose::kRecords, std::string(kOperationsKind), action.name,
      action.expected, RecordCodec::Encode(action.record),
      [self = shared_from_this(), op = action.id](const StoreReply& reply) {
        self->Post(ToWriteReply(op, reply));
      });
}

void OperationHost::Execute(const OpCheckOwner& action) {
  Post(OpOwnerLiveness{action.attempt, MayBeRunning(action.attempt)});
}

bool OperationHost::MayBeRunning(const AttemptId& attempt) const {
  if (attempt.vm == context_.settings.vm) {
    return attempt.incarnation == context_.incarnation &&
           context_.operations->Contains(attempt.nonce);
  }
  const auto snapshot = context_.cluster->Get();
  const VmView* vm = snapshot->view->FindLive(attempt.vm);
  // Shortly after a start or a pause no heartbeat of the other VMs has arrived
  // yet, so the attempt may still be running.
  if (vm == nullptr) return !snapshot->view->settled;
  return vm->incarnation == attempt.incarnation;
}

void OperationHost::Execute(const OpSetTimer& action) {
  const Duration delay =
      std::max(Duration::Microseconds(100), action.at - SteadyNow());
  timer_.expires_after(std::chrono::microseconds(delay.microseconds()));
  timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
    auto self = weak.lock();
    if (self && !error) self->Handle(OpTick{});
  });
}

//==============================================================================
// Call and answer

void OperationHost::Execute(const OpCallService& action) {
  RequestOptions options = options_;
  options.request = InnerId(action.attempt.nonce);
  options.idempotent = false;
  options.may_be_repeat = false;
  auto sink = std::make_shared<OutcomeSink>(
      static_cast<size_t>(context_.settings.max_body_bytes),
      [self = shared_from_this()](OpServiceReply reply) {
        self->Post(std::move(reply));
      });
  RetryBudget& budget = context_.requests->BudgetOf(options.pool.pool);
  auto inner = std::make_shared<RequestHost>(
      context_, std::move(options), std::move(upstream_), budget, sink);
  if (!context_.requests->Add(inner)) {
    return sink->FinishWithError(
        {503,
         {ErrorCode::kConflict, "request", "", "the id is in use"},
         RunState::kNotRun,
         {},
         0});
  }
  inner_started_ = true;
  inner->Start();
}

void OperationHost::Execute(const OpAnswer& action) {
  if (action.outcome) {
    const bool replayed = action.record_state == RecordState::kDone;
    Count(replayed ? "replayed" : "completed");
    return SendOutcome(*action.outcome, replayed);
  }
  const Error error =
      action.error.value_or(Error{ErrorCode::kInternal, "records", "",
                                  "the operation ended without an outcome"});
  Count(std::string(ToString(error.code)));
  Log(LogLevel::kDebug, "operation", error);
  SendError(*response_, HttpStatusOf(error.code), error, action.run,
            {{"x-request-id", id_.value()}},
            action.record_state ? ToString(*action.record_state) : "");
}

void OperationHost::SendOutcome(const ServiceOutcome& outcome, bool replayed) {
  HttpHeaders headers = {{"x-request-id", id_.value()},
                         {"x-zr-run", std::string(ToString(RunState::kRan))}};
  if (replayed) headers["x-zr-replayed"] = "true";
  if (!outcome.body_stored) {
    headers["x-zr-digest"] = outcome.digest;
    const Error error{ErrorCode::kTooLarge, "answer", "",
                      "the service answered with status " +
                          std::to_string(outcome.status) +
                          "; its body is too large to be stored"};
    return SendError(
        *response_, 502, error, RunState::kRan, std::move(headers),
        ToString(replayed ? RecordState::kDone : RecordState::kDispatched));
  }
  if (!outcome.content_type.empty()) {
    headers["content-type"] = outcome.content_type;
  }
  response_->Send(outcome.status, std::move(headers), outcome.body);
}

}  // namespace zr
