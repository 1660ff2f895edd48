#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

TimePoint At(int64_t ms) {
  return TimePoint::FromMicroseconds(1'000'000'000 + ms * 1000);
}

DirectoryEntry Entry(const std::string& id, int64_t sequence,
                     bool draining = false, int64_t boot_ms = 1) {
  DirectoryEntry entry;
  entry.endpoint.id = EndpointId(id);
  entry.endpoint.service = ServiceName("pool");
  entry.endpoint.address = "10.0.0.1:" + std::to_string(Hash64(id) % 60'000);
  entry.endpoint.draining = draining;
  entry.endpoint.boot_ms = boot_ms;
  entry.endpoint.sequence = sequence;
  return entry;
}

// Guards against calls to leaving or removed endpoints that a copy has as
// ready.
TEST_CASE("Entries of a restored store are older than what is known") {
  EndpointTracker tracker;
  EndpointDirectory directory(tracker);
  const auto may_call = [&tracker](const char* id) {
    return tracker.MayCall(EndpointId(id));
  };
  directory.OnList(At(0), {Entry("leaving", 1), Entry("gone", 1),
                           Entry("restarted", 1), Entry("calm", 1)});
  directory.OnEntry(At(1000), Entry("leaving", 7, true));
  directory.OnRemoved(At(1000), EndpointId("gone"));
  directory.OnEntry(At(1000), Entry("restarted", 1, false, 900));
  directory.OnEntry(At(1000), Entry("new", 1, false, 950));
  directory.OnStoreRestored(At(3000));
  directory.OnList(At(3000), {Entry("leaving", 1), Entry("gone", 1),
                              Entry("restarted", 1), Entry("calm", 1)});
  REQUIRE_FALSE(may_call("leaving"));
  REQUIRE_FALSE(may_call("gone"));
  REQUIRE(tracker.Find(EndpointId("restarted"))->listed.boot_ms == 900);
  REQUIRE(may_call("calm"));
  REQUIRE(may_call("new"));
  SECTION("what the copy lacks is removed if it is not written again") {
    directory.Tick(At(5200));
    REQUIRE(may_call("new"));
    directory.Tick(At(5400));
    REQUIRE_FALSE(may_call("new"));
  }
  SECTION("a leaving endpoint stays so, however long the entry is there") {
    directory.Tick(At(60'000));
    directory.OnEntry(At(60'000), Entry("leaving", 6));
    REQUIRE_FALSE(may_call("leaving"));
    directory.OnEntry(At(60'000), Entry("leaving", 9));
    REQUIRE(may_call("leaving"));
  }
  SECTION("an endpoint that was removed returns with a later write") {
    directory.OnEntry(At(4000), Entry("gone", 2));
    REQUIRE(may_call("gone"));
  }
  SECTION("or if its entry does not expire") {
    directory.Tick(At(8900));
    REQUIRE_FALSE(may_call("gone"));
    directory.Tick(At(9100));
    REQUIRE(may_call("gone"));
  }
  SECTION("and not if it does") {
    directory.OnRemoved(At(6600), EndpointId("gone"));
    directory.Tick(At(9100));
    REQUIRE_FALSE(may_call("gone"));
  }
  SECTION("nor if the next list lacks it") {
    directory.OnList(At(6600), {Entry("calm", 1)});
    directory.Tick(At(9100));
    REQUIRE_FALSE(may_call("gone"));
  }
  SECTION("the memory of departures stays bounded") {
    for (int i = 0; i < 20'000; ++i) {
      const std::string id = "e" + std::to_string(i);
      directory.OnEntry(At(10'000 + i), Entry(id, 1));
      directory.OnRemoved(At(10'000 + i), EndpointId(id));
    }
    REQUIRE(tracker.size() < 10);
  }
}

//==============================================================================
// Endpoints that write to a store which is restored, seen by one VM

constexpr int64_t kStepMs = 50;
constexpr int64_t kHeartbeatMs = 1200;
constexpr int64_t kExpiryMs = 3 * kHeartbeatMs;
constexpr int64_t kServeMs = 3000;  // after the notice of leaving
constexpr int64_t kFaultsEndMs = 40'000;
constexpr int64_t kEndMs = 52'000;

class RestoredEntriesSimulation {
 public:
  explicit RestoredEntriesSimulation(uint64_t seed) : random_(seed) {}

  void Run() {
    for (int i = 0; i < 8; ++i) Start();
    for (now_ms_ = 0; now_ms_ < kEndMs; now_ms_ += kStepMs) {
      if (now_ms_ < kFaultsEndMs) Disturb();
      for (auto& [id, endpoint] : endpoints_) Act(id, endpoint);
      std::erase_if(entries_, [this](const auto& item) {
        return now_ms_ - item.second.renewed_ms > kExpiryMs;
      });
      copies_.push_back(entries_);
      if (now_ms_ % 200 == 0) List();
      directory_.Tick(At(now_ms_));
      Check();
    }
    for (const auto& [id, endpoint] : endpoints_) {
      const bool serves = endpoint.alive && !endpoint.leaving;
      REQUIRE(tracker_.MayCall(EndpointId(id)) == serves);
    }
  }

 private:
  struct Endpoint {
    int64_t boot_ms = 0;
    int64_t sequence = 0;
    bool alive = true;
    bool leaving = false;
    int64_t leaves_ms = 0;
    int64_t next_heartbeat_ms = 0;
  };
  struct StoredEntry {
    DirectoryEntry entry;
    int64_t renewed_ms = 0;
  };

  double Unit() { return random_.Unit(); }

  void Start() {
    const std::string id = "e" + std::to_string(++started_);
    endpoints_[id].boot_ms = now_ms_;
    endpoints_[id].next_heartbeat_ms =
        now_ms_ + static_cast<int64_t>(Unit() * kHeartbeatMs);
  }

  void Disturb() {
    if (Unit() < 0.01) Start();
    for (auto& [id, endpoint] : endpoints_) {
      if (!endpoint.alive || Unit() > 0.002) continue;
      if (Unit() < 0.5) {  // crashes, and may come back under its id
        endpoint.alive = Unit() < 0.5;
        endpoint.leaving = false;
        endpoint.sequence = 0;
        endpoint.boot_ms = now_ms_;
        endpoint.next_heartbeat_ms = now_ms_ + 500;
      } else if (!endpoint.leaving) {
        endpoint.leaving = true;
        endpoint.leaves_ms = now_ms_ + kServeMs;
        endpoint.next_heartbeat_ms = now_ms_;
      }
    }
    if (Unit() < 0.01 && !copies_.empty()) Restore();
  }

  void Restore() {
    const size_t lost = static_cast<size_t>(Unit() * 200);
    copies_.resize(copies_.size() - std::min(lost, copies_.size() - 1));
    entries_ = copies_.back();
    for (auto& [id, stored] : entries_) stored.renewed_ms = now_ms_;
    restored_ = true;
  }

  void Act(const std::string& id, Endpoint& endpoint) {
    if (!endpoint.alive) return;
    if (endpoint.leaving && now_ms_ >= endpoint.leaves_ms) {
      endpoint.alive = false;
      entries_.erase(id);
      return;
    }
    if (now_ms_ < endpoint.next_heartbeat_ms) return;
    endpoint.next_heartbeat_ms = now_ms_ + kHeartbeatMs;
    ++endpoint.sequence;
    StoredEntry& stored = entries_[id];
    stored.renewed_ms = now_ms_;
    // A report that changes nothing else leaves the entry as it is.
    const ListedEndpoint& listed = stored.entry.endpoint;
    if (listed.id.value() == id && listed.boot_ms == endpoint.boot_ms &&
        listed.draining == endpoint.leaving) {
      return;
    }
    stored.entry =
        Entry(id, endpoint.sequence, endpoint.leaving, endpoint.boot_ms);
  }

  void List() {
    if (std::exchange(restored_, false)) {
      directory_.OnStoreRestored(At(now_ms_));
    }
    std::vector<DirectoryEntry> all;
    for (const auto& [id, stored] : entries_) {
      const ListedEndpoint& listed = stored.entry.endpoint;
      if (listed.draining) leaving_.insert({id, listed.boot_ms});
      all.push_back(stored.entry);
    }
    directory_.OnList(At(now_ms_), all);
  }

  void Check() {
    INFO("at " << now_ms_ << " ms");
    for (const auto& [id, boot_ms] : leaving_) {
      const EndpointState* state = tracker_.Find(EndpointId(id));
      if (state == nullptr || state->listed.boot_ms != boot_ms) continue;
      INFO("endpoint " << id);
      REQUIRE_FALSE(tracker_.MayCall(EndpointId(id)));
    }
  }

  Random random_;
  int64_t now_ms_ = 0;
  int started_ = 0;
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::string, StoredEntry> entries_;
  std::vector<std::map<std::string, StoredEntry>> copies_;
  bool restored_ = false;
  std::set<std::pair<std::string, int64_t>> leaving_;  // as the VM was told
  EndpointTracker tracker_;
  EndpointDirectory directory_{tracker_};
};

// Guards against leaving endpoints that are called, and live ones that are not.
TEST_CASE("A VM calls the endpoints that serve, whatever copies have of them") {
  constexpr uint64_t kSeeds = 200;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    RestoredEntriesSimulation(seed).Run();
  }
}

}  // namespace
}  // namespace zr
