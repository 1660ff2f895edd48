#pragma once

#include <vector>

#include "zr_wire/zr_wire.h"

namespace zr {

/** The messages between entry VMs, with the fields that they had in release
 * 7001597 set; recorded_frames.h has them as encoded by earlier releases. */
inline std::vector<Message> RecordedSamples() {
  Heartbeat leaving;
  leaving.origin.vm = VmId("vm-1");
  leaving.leaving = true;

  DispatchRequest request;
  request.request = RequestId("9c41d07be2a35f68");
  request.call_number = AttemptNumber(2);
  request.pool = PoolId("llm");
  request.prompt = TokenCount(300'000);
  request.max_answer = TokenCount(800);
  request.objective = Duration::Milliseconds(3950);
  request.max_gap = Duration::Milliseconds(1000);
  request.time_left = Duration::Milliseconds(14'900);
  request.excluded = {EndpointId("i-1"), EndpointId("i-2")};
  request.deferred = true;

  DispatchReply reply;
  reply.request = request.request;
  reply.call_number = request.call_number;
  reply.endpoint = EndpointId("i-3");
  reply.helpers = {EndpointId("i-4"), EndpointId("i-5")};
  reply.kv_holders = 1;
  reply.kv_per_holder = TokenCount(150'400);
  reply.prefill_us = 812'345;
  reply.forecast = Duration::Milliseconds(950);
  reply.retry_after = Duration::Milliseconds(300);
  reply.defer_for = Duration::Milliseconds(200);
  reply.deadline_unreachable = true;

  const CallProgress progress{request.request, request.call_number,
                              request.pool, CallStage::kEnded,
                              CallResult::kTimedOut};

  InFlightCall call;
  call.request = request.request;
  call.call_number = request.call_number;
  call.endpoint = reply.endpoint;
  call.helpers = reply.helpers;
  call.kv_holders = 1;
  call.kv_per_holder = reply.kv_per_holder;
  call.prefill_us = reply.prefill_us;
  call.kv_tokens = TokenCount(300'800);
  call.max_gap = request.max_gap;
  call.time_left = request.time_left;
  call.value = 308'000;
  const InFlightCalls in_flight{request.pool, {call}};

  KindVersion known;
  known.kind = "servers";
  known.version = ObjectVersion(81);
  known.store_unreachable = true;
  known.era = StoreEra(2);
  const StoreQuery query{7, {known}};

  KindUpdate changes;
  changes.kind = "servers";
  changes.version = ObjectVersion(90);
  changes.last_changed = ObjectVersion(88);
  changes.store_reachable = true;
  changes.age = Duration::Milliseconds(410);
  changes.has_objects = true;
  changes.complete = true;
  changes.objects = {{"i-1", ObjectVersion(88), R"({"state":"ready"})", false},
                     {"i-9", ObjectVersion(87), "", true}};
  changes.era = StoreEra(2);
  const StoreUpdate update{7, {changes}};

  CrashEvidence evidence;
  evidence.crashes = {
      {EndpointId("i-1"),
       BootNumber(7),
       Duration::Milliseconds(30),
       {{Fingerprint(5), 1}, {Fingerprint(6), CrashSuspect::kWholeRequest}}}};
  evidence.answered = {{Fingerprint(5), Duration::Milliseconds(10)}};
  evidence.live = {{EndpointId("i-2"), BootNumber(8), Duration()}};

  LimitObservation limit;
  limit.endpoint = EndpointId("i-1");
  limit.boot = BootNumber(7);
  limit.limited = true;
  limit.requests_per_1000_s = 2500;
  limit.age = Duration::Milliseconds(20);

  ConfigFetch fetch;
  fetch.min_version = ObjectVersion(55);

  return {leaving,          request,   reply,
          progress,         in_flight, query,
          update,           evidence,  LimitReport{{limit}, {}},
          ConfigNotice{55}, fetch};
}

}  // namespace zr
