#include <catch2/catch.hpp>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "zr_gateway/zr_gateway.h"

namespace zr {
namespace {

using Action = StoreCursor::Action;
using Objects = std::map<std::string, std::string>;

StorePosition P(uint64_t era, uint64_t version) {
  return {StoreEra(era), ObjectVersion(version)};
}

TEST_CASE("A VM applies what belongs to the history that it knows") {
  StoreCursor cursor;
  cursor.BeginList();
  REQUIRE(cursor.OnPage(P(1, 40)) == Action::kApply);
  REQUIRE(cursor.OnPage(P(1, 42)) == Action::kApply);
  REQUIRE_FALSE(cursor.CompleteList());
  REQUIRE(cursor.position() == P(1, 40));
  REQUIRE(cursor.OnChanges(P(1, 40), P(1, 45)) == Action::kApply);
  SECTION("a watch that a restored store answers leads to a list") {
    for (const uint64_t version : {30, 45, 60}) {
      REQUIRE(cursor.OnChanges(P(1, 45), P(2, version)) == Action::kList);
    }
    REQUIRE(cursor.position() == P(1, 45));
    cursor.BeginList();
    REQUIRE(cursor.OnPage(P(2, 30)) == Action::kApply);
    SECTION("whose pages have to be of one era") {
      REQUIRE(cursor.OnPage(P(3, 31)) == Action::kList);
    }
    REQUIRE(cursor.CompleteList());
    REQUIRE(cursor.position() == P(2, 30));
    SECTION("late answers of the era before are discarded") {
      REQUIRE(cursor.OnChanges(P(1, 45), P(1, 60)) == Action::kDiscard);
      cursor.BeginList();
      REQUIRE(cursor.OnPage(P(1, 60)) == Action::kDiscard);
      REQUIRE(cursor.position() == P(2, 30));
    }
  }
  SECTION("a list that is older than another VM's update is discarded") {
    cursor.BeginList();
    REQUIRE(cursor.OnPage(P(1, 46)) == Action::kApply);
    cursor.OnUpdateApplied(P(1, 50));
    REQUIRE(cursor.OnPage(P(1, 52)) == Action::kDiscard);
  }
  SECTION("another VM may know of the new era first") {
    REQUIRE(cursor.OnUpdateApplied(P(2, 33)));
    REQUIRE(cursor.OnChanges(P(1, 45), P(1, 46)) == Action::kDiscard);
    REQUIRE(cursor.OnChanges(P(1, 45), P(2, 46)) == Action::kDiscard);
    REQUIRE(cursor.OnChanges(P(2, 33), P(2, 34)) == Action::kApply);
  }
  SECTION("a store that begins to name eras has not been restored") {
    StoreCursor plain;
    plain.BeginList();
    REQUIRE(plain.OnPage(P(0, 5)) == Action::kApply);
    REQUIRE_FALSE(plain.CompleteList());
    REQUIRE(plain.OnChanges(P(0, 5), P(3, 6)) == Action::kList);
    plain.BeginList();
    REQUIRE(plain.OnPage(P(3, 6)) == Action::kApply);
    REQUIRE_FALSE(plain.CompleteList());
  }
}

//==============================================================================
// VMs that follow a store which is restored again and again

constexpr size_t kVms = 5;
constexpr size_t kWatchers = 2;
constexpr int64_t kFaultsEndMs = 20'000;
constexpr int64_t kEndMs = 26'000;

TimePoint At(int64_t ms) {
  return TimePoint::FromMicroseconds(1'000'000'000 + ms * 1000);
}

/** A store whose versions go back and are given out again. */
class RestorableStore {
 public:
  RestorableStore() { Record(0); }

  void Write(int64_t now_ms, const std::string& name, std::string value) {
    position_.version = position_.version.Next();
    if (value.empty()) {
      objects_.erase(name);
    } else {
      objects_[name] = value;
    }
    changes_.push_back({name, position_.version, std::move(value), false});
    changes_.back().deleted = changes_.back().value.empty();
    Record(now_ms);
  }

  void Restore(int64_t now_ms, size_t lost) {
    changes_.resize(changes_.size() - std::min(lost, changes_.size()));
    position_.version =
        changes_.empty() ? ObjectVersion() : changes_.back().version;
    position_.era = position_.era.Next();
    objects_.clear();
    for (const RelayedObject& change : changes_) {
      if (change.deleted) {
        objects_.erase(change.name);
      } else {
        objects_[change.name] = change.value;
      }
    }
    Record(now_ms);
  }

  /** Empty if the store has no such history. */
  std::optional<std::vector<RelayedObject>> ChangesAfter(
      ObjectVersion version) const {
    if (version > position_.version) return std::nullopt;
    std::vector<RelayedObject> out;
    for (const RelayedObject& change : changes_) {
      if (change.version > version) out.push_back(change);
    }
    return out;
  }
  std::vector<RelayedObject> List() const {
    std::vector<RelayedObject> out;
    for (const auto& [name, value] : objects_) {
      out.push_back({name, position_.version, value, false});
    }
    return out;
  }

  const StorePosition& position() const { return position_; }
  const Objects& ObjectsAt(const StorePosition& at) const {
    return states_.at(at);
  }
  StorePosition PositionBefore(TimePoint time) const {
    const auto it = positions_.lower_bound(time);
    return it == positions_.begin() ? StorePosition() : std::prev(it)->second;
  }

 private:
  void Record(int64_t now_ms) {
    states_[position_] = objects_;
    positions_[At(now_ms)] = position_;
  }

  StorePosition position_ = P(1, 0);
  Objects objects_;
  std::vector<RelayedObject> changes_;
  std::map<StorePosition, Objects> states_;
  std::map<TimePoint, StorePosition> positions_;
};

class RestoredStoreSimulation {
 public:
  explicit RestoredStoreSimulation(uint64_t seed) : random_(seed) {}

  void Run() {
    for (size_t vm = 0; vm < kVms; ++vm) Restart(vm);
    Schedule(10, [this] { WriteSome(); });
    Schedule(Pick(500, 3000), [this] { Restore(); });
    Schedule(Pick(500, 3000), [this] { RestartSome(); });
    while (!events_.empty() && events_.begin()->first.first < kEndMs) {
      now_ms_ = events_.begin()->first.first;
      auto run = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      run();
    }
    for (const Vm& vm : vms_) {
      REQUIRE(vm.cursor.position() == store_.position());
      REQUIRE(vm.objects == store_.ObjectsAt(store_.position()));
    }
  }
  int restores() const { return restores_; }

 private:
  struct Vm {
    StoreCursor cursor;
    StoreMirror mirror{"kind", false};
    Objects objects;
    bool listed = false;
    uint64_t incarnation = 0;
  };

  int64_t Pick(int64_t low, int64_t high) {
    return low + static_cast<int64_t>(random_.Unit() *
                                      static_cast<double>(high - low));
  }
  void Schedule(int64_t in_ms, std::function<void()> run) {
    events_[{now_ms_ + in_ms, ++event_count_}] = std::move(run);
  }
  /** Runs it unless the VM is restarted before. */
  void ScheduleAt(size_t vm, int64_t in_ms, std::function<void()> run) {
    Schedule(in_ms, [this, vm, incarnation = vms_[vm].incarnation,
                     run = std::move(run)] {
      if (vms_[vm].incarnation == incarnation) run();
    });
  }

  void WriteSome() {
    if (now_ms_ >= kFaultsEndMs) return;
    const std::string name = "o" + std::to_string(Pick(0, 6));
    const bool removed = random_.Unit() < 0.2;
    store_.Write(now_ms_, name, removed ? "" : std::to_string(++write_count_));
    Schedule(Pick(1, 300), [this] { WriteSome(); });
  }

  void Restore() {
    if (now_ms_ >= kFaultsEndMs) return;
    ++restores_;
    store_.Restore(now_ms_, static_cast<size_t>(Pick(0, 30)));
    Schedule(Pick(50, 3000), [this] { Restore(); });
  }

  void RestartSome() {
    if (now_ms_ >= kFaultsEndMs) return;
    Restart(static_cast<size_t>(Pick(0, kVms)));
    Schedule(Pick(500, 3000), [this] { RestartSome(); });
  }

  void Restart(size_t vm) {
    const uint64_t incarnation = vms_[vm].incarnation + 1;
    vms_[vm] = Vm();
    vms_[vm].incarnation = incarnation;
    vms_[vm].mirror.OnStoreReachable(true);
    List(vm);
    if (vm >= kWatchers) ScheduleAt(vm, 100, [this, vm] { Query(vm); });
  }

  // The store carries out a call on its way, and the answer may be late.

  void List(size_t vm) {
    vms_[vm].cursor.BeginList();
    const int64_t started = now_ms_;
    ScheduleAt(vm, Pick(1, 50), [this, vm, started] {
      const StorePosition at = store_.position();
      ScheduleAt(vm, Pick(1, 400),
                 [this, vm, started, at, items = store_.List()] {
                   OnListed(vm, started, at, items);
                 });
    });
  }

  void OnListed(size_t index, int64_t started, StorePosition at,
                const std::vector<RelayedObject>& items) {
    Vm& vm = vms_[index];
    const Action action = vm.cursor.OnPage(at);
    if (action == Action::kDiscard && vm.listed) return Watch(index);
    if (action != Action::kApply) return List(index);
    vm.cursor.CompleteList();
    vm.listed = true;
    Replace(vm, items);
    vm.mirror.OnList(vm.cursor.position(), items);
    OnVerified(vm, At(started));
    Watch(index);
  }

  void Watch(size_t vm) {
    const int64_t started = now_ms_;
    const StorePosition from = vms_[vm].cursor.position();
    const int64_t wait = vm < kWatchers ? 300 : 2500;
    ScheduleAt(vm, Pick(1, wait), [this, vm, started, from] {
      const StorePosition at = store_.position();
      ScheduleAt(vm, Pick(1, 400),
                 [this, vm, started, from, at,
                  changes = store_.ChangesAfter(from.version)] {
                   if (!changes) return List(vm);
                   OnWatched(vm, started, from, at, *changes);
                 });
    });
  }

  void OnWatched(size_t index, int64_t started, StorePosition from,
                 StorePosition at, const std::vector<RelayedObject>& changes) {
    Vm& vm = vms_[index];
    switch (vm.cursor.OnChanges(from, at)) {
      case Action::kList:
        return List(index);
      case Action::kDiscard:
        return Watch(index);
      case Action::kApply:
        break;
    }
    if (changes.empty() || vm.mirror.OnChanges(at, changes)) {
      Apply(vm, changes);
    }
    OnVerified(vm, At(started));
    Watch(index);
  }

  void Query(size_t vm) {
    ScheduleAt(vm, 400, [this, vm] { Query(vm); });
    const auto peer = static_cast<size_t>(Pick(0, kVms));
    if (peer == vm || !vms_[vm].listed) return;
    const int64_t queried = now_ms_;
    const StorePosition known = vms_[vm].cursor.position();
    ScheduleAt(vm, Pick(1, 100), [this, vm, peer, queried, known] {
      const KindUpdate update = vms_[peer].mirror.UpdateSince(
          At(now_ms_), {"kind", known.version, false, known.era});
      ScheduleAt(vm, Pick(1, 100), [this, vm, queried, update] {
        OnUpdate(vms_[vm], At(queried), update);
      });
    });
  }

  void OnUpdate(Vm& vm, TimePoint queried, const KindUpdate& update) {
    const UpdateAction action = ClassifyUpdate(update, vm.cursor.position());
    if (action != UpdateAction::kApply && action != UpdateAction::kUnchanged) {
      return;
    }
    vm.cursor.OnUpdateApplied(update.position());
    if (action == UpdateAction::kApply && update.complete) {
      Replace(vm, update.objects);
      vm.mirror.OnList(update.position(), update.objects);
    } else if (action == UpdateAction::kApply &&
               vm.mirror.OnChanges(update.position(), update.objects)) {
      Apply(vm, update.objects);
    }
    OnVerified(vm, queried - update.age);
  }

  static void Replace(Vm& vm, const std::vector<RelayedObject>& objects) {
    vm.objects.clear();
    Apply(vm, objects);
  }
  static void Apply(Vm& vm, const std::vector<RelayedObject>& changes) {
    for (const RelayedObject& change : changes) {
      if (change.deleted) {
        vm.objects.erase(change.name);
      } else {
        vm.objects[change.name] = change.value;
      }
    }
  }

  void OnVerified(Vm& vm, TimePoint started) {
    INFO("at " << now_ms_ << " ms");
    vm.mirror.OnVerified(started, vm.cursor.position());
    // What the store had when the call started is known.
    REQUIRE(vm.cursor.position() >= store_.PositionBefore(started));
    REQUIRE(vm.objects == store_.ObjectsAt(vm.cursor.position()));
  }

  Random random_;
  int64_t now_ms_ = 0;
  uint64_t event_count_ = 0;
  std::map<std::pair<int64_t, uint64_t>, std::function<void()>> events_;
  RestorableStore store_;
  std::vector<Vm> vms_{kVms};
  int write_count_ = 0;
  int restores_ = 0;
};

// Guards against changes that are missed because versions recur.
TEST_CASE("VMs know what a store holds that is restored again and again") {
  constexpr uint64_t kSeeds = 300;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    RestoredStoreSimulation simulation(seed);
    simulation.Run();
    REQUIRE(simulation.restores() > 3);
  }
}

}  // namespace
}  // namespace zr
