#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <vector>

#include "zr_wire/tests/recorded_frames.h"
#include "zr_wire/tests/recorded_samples.h"
#include "zr_wire/zr_wire.h"

namespace zr {
namespace {

AdmissionRequest SampleAdmission() {
  AdmissionRequest m;
  m.request = RequestId("r-1");
  m.attempt = AttemptNumber(2);
  m.endpoint = EndpointId("engine-7");
  m.prompt = TokenCount(1'000'000);
  m.time_left = Duration::Milliseconds(1500);
  m.fingerprint = Fingerprint(0xFFFF'FFFF'FFFF'FFFFULL);
  m.run_alone = true;
  m.prefixes = {PrefixHash(1), PrefixHash(2)};
  return m;
}

// Guards against fields that are lost or swapped between two VMs.
TEST_CASE("A message survives encoding and decoding") {
  Heartbeat heartbeat;
  heartbeat.origin = {VmId("vm-1"), Incarnation(9), 44};
  heartbeat.team_demand = {{TeamId("customs"), 1200, TokenCount(5)}};
  Refusal refusal;
  refusal.reason = RefusalReason::kSuspect;
  HeldGrants held;
  held.grants.resize(2);
  held.grants[1].started = true;
  CrashEvidence evidence;
  evidence.crashes = {
      {EndpointId("e-1"),
       BootNumber(7),
       Duration::Milliseconds(3),
       {{Fingerprint(5), 1}, {Fingerprint(6), CrashSuspect::kWholeRequest}}}};
  evidence.answered = {{Fingerprint(5), Duration::Milliseconds(1)}};
  evidence.live = {{EndpointId("e-1"), BootNumber(7), Duration()}};
  const PathReport paths{
      VmId("vm-1"), 8, {PoolId("llm"), PoolId("plain")}, true};
  const PathAdvice advice{PoolId("llm"), {VmId("vm-2"), VmId("vm-3")}};
  KindUpdate changed;
  changed.kind = "config";
  changed.deltas = {{1, 2, 3, {{4, 5, {"inserted"}}}}};
  const StoreUpdate update{6, {changed}};
  DispatchRequest dispatch;
  dispatch.team = TeamId("customs");
  dispatch.domain = DomainId("sala");
  dispatch.priority = 2;
  dispatch.waited = Duration::Milliseconds(40);
  dispatch.fingerprint = Fingerprint(77);
  dispatch.reads_grants = true;
  DispatchReply reply;
  reply.queued = true;
  reply.expected_wait = Duration::Milliseconds(120);
  CallProgress progress;
  progress.elapsed = Duration::Milliseconds(90);
  progress.longest_pause = Duration::Milliseconds(260);
  progress.pause_ended_ago = Duration::Milliseconds(700);
  InFlightCalls in_flight;
  in_flight.allowances = {{EndpointId("e-1"), BootNumber(7), 3, 12'500}};
  LimitReport notices;
  notices.notices = {
      {EndpointId("e-1"), BootNumber(7), true, Duration::Milliseconds(1500)}};
  for (const Message& message : std::vector<Message>{SampleAdmission(),
                                                     heartbeat,
                                                     refusal,
                                                     held,
                                                     EndpointSummary{},
                                                     Grant{},
                                                     GrantRelease{},
                                                     Suspect{},
                                                     GatherReply{},
                                                     ConfigOffer{},
                                                     evidence,
                                                     ConfigNotice{5},
                                                     update,
                                                     paths,
                                                     advice,
                                                     dispatch,
                                                     reply,
                                                     progress,
                                                     in_flight,
                                                     notices}) {
    auto decoded = DecodeMessage(EncodeMessage(message));
    REQUIRE(decoded);
    REQUIRE(*decoded == message);
  }
}

/** Whether a decoder that knows the fields of `older` only reads the same from
 * `newer`: fields may only be added at the end, at any depth. */
bool Extends(const nlohmann::json& newer, const nlohmann::json& older) {
  if (!older.is_array()) return newer == older;
  if (!newer.is_array() || newer.size() < older.size()) return false;
  for (size_t i = 0; i < older.size(); ++i) {
    if (!Extends(newer[i], older[i])) return false;
  }
  return true;
}

// Guards against builds that can't read each other's messages while VMs are
// upgraded one after the other.
TEST_CASE("Frames of earlier releases are read, and they read those of this") {
  const std::vector<Message> samples = RecordedSamples();
  for (const auto* frames : {&kFramesOf7001597, &kFramesOfB2a3665}) {
    REQUIRE(frames->size() == samples.size());
    for (size_t i = 0; i < samples.size(); ++i) {
      CAPTURE(i);
      const std::vector<uint8_t>& recorded = (*frames)[i];
      const auto decoded = DecodeMessage(recorded);
      REQUIRE(decoded);
      REQUIRE(*decoded == samples[i]);
      REQUIRE(Extends(nlohmann::json::from_cbor(EncodeMessage(samples[i])),
                      nlohmann::json::from_cbor(recorded)));
    }
  }
  SECTION("a message of a later release is refused, not misread") {
    const auto later = nlohmann::json::to_cbor(
        nlohmann::json::array({std::variant_size_v<Message> + 5, 1, 2}));
    REQUIRE_FALSE(DecodeMessage(later));
  }
  SECTION("fields that a later release has added are ignored") {
    auto frame = nlohmann::json::from_cbor(EncodeMessage(ConfigNotice{55}));
    frame.push_back("added");
    REQUIRE(*DecodeMessage(nlohmann::json::to_cbor(frame)) ==
            Message(ConfigNotice{55}));
  }
}

// Guards against queries that VMs of different releases can't read.
TEST_CASE("A query without the store's era and a digest is of era 0") {
  const Message query =
      StoreQuery{7, {{"config", ObjectVersion(5), true, StoreEra(9), 4}}};
  std::vector<uint8_t> frame = EncodeMessage(query);
  REQUIRE(*DecodeMessage(frame) == query);
  // The frame ends with [["config", 5, true, 9, 4]]; removes the last two.
  REQUIRE(frame.back() == 4);
  frame.pop_back();
  REQUIRE(frame.back() == 9);
  frame.pop_back();
  REQUIRE(frame[frame.size() - 10] == 0x85);
  frame[frame.size() - 10] = 0x83;
  const auto decoded = DecodeMessage(frame);
  REQUIRE(decoded);
  REQUIRE(std::get<StoreQuery>(*decoded).known.at(0) ==
          KindVersion{"config", ObjectVersion(5), true, StoreEra()});
}

// Guards against malformed frames that crash a VM or change its state.
TEST_CASE("A malformed frame is rejected") {
  const std::vector<uint8_t> good = EncodeMessage(SampleAdmission());
  SECTION("when truncated at any length") {
    for (size_t n = 0; n < good.size(); ++n) {
      REQUIRE_FALSE(DecodeMessage(std::span(good).first(n)));
    }
  }
  SECTION("when nested too deeply") {
    std::vector<uint8_t> deep(60'000, 0x81);
    REQUIRE_FALSE(DecodeMessage(deep));
  }
  SECTION("when larger than its bound") {
    std::vector<uint8_t> large((1 << 20) + 1, 0);
    auto decoded = DecodeMessage(large);
    REQUIRE_FALSE(decoded);
    REQUIRE(decoded.error().code == ErrorCode::kTooLarge);
  }
  SECTION("when a heartbeat exceeds the bound for ordinary frames") {
    Heartbeat heartbeat;
    heartbeat.config_digest.assign(70'000, 'x');
    auto decoded = DecodeMessage(EncodeMessage(heartbeat));
    REQUIRE_FALSE(decoded);
    REQUIRE(decoded.error().code == ErrorCode::kTooLarge);
  }
  SECTION("but not an update of the store's objects") {
    StoreUpdate update;
    update.kinds.resize(1);
    update.kinds[0].objects = {
        {"main", ObjectVersion(1), std::string(600'000, 'x'), false}};
    REQUIRE(DecodeMessage(EncodeMessage(update)));
  }
  SECTION("when its type is unknown") {
    REQUIRE_FALSE(DecodeMessage(std::vector<uint8_t>{0x81, 0x18, 0x63}));
  }
  SECTION("when an enumeration is out of range") {
    std::vector<uint8_t> frame = EncodeMessage(Refusal{});
    // The frame is [4, "", 0, "", reason, wait]; the reason is the last byte
    // but one.
    frame[frame.size() - 2] = 0x17;
    REQUIRE_FALSE(DecodeMessage(frame));
  }
}

}  // namespace
}  // namespace zr
