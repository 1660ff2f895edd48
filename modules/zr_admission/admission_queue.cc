#include "zr_admission/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace zr {
namespace {

// Tokens credited per round to a team of share 1. About one short request, so
// that the short requests of all teams alternate.
constexpr double kQuantum = 4096;
// Requests of a team don't age while its debt exceeds this many quanta.
constexpr double kMaxUrgentDebt = 8;
// This much slack offsets a factor e of class weight.
constexpr double kSlackScaleSeconds = 5;
// Time constant with which the minimum density for ageing decays.
constexpr double kMinDensityDecaySeconds = 10;

double Rank(const QueuedRequest& item, TimePoint now) {
  const double slack = std::max(0.0, (item.LatestStart() - now).seconds());
  return std::log(std::max(item.density, 1e-9)) - slack / kSlackScaleSeconds;
}

}  // namespace

TimePoint QueuedRequest::ReserveAfter() const {
  // A quarter of the slack, at most 5 s: until then short requests may go
  // ahead, which costs a long request little.
  const Duration slack = std::max(Duration(), LatestStart() - arrived);
  return arrived + std::min(slack / 4, Duration::Seconds(5));
}

TimePoint QueuedRequest::UrgentAfter() const {
  const Duration slack = std::max(Duration(), LatestStart() - arrived);
  return LatestStart() - slack / 4;
}

void AdmissionQueue::Push(QueuedRequest item) {
  item.arrival_sequence = next_arrival_++;
  StreamKey key = item.key();
  items_.insert_or_assign(std::move(key), std::move(item));
}

QueuedRequest* AdmissionQueue::Find(const StreamKey& key) {
  const auto it = items_.find(key);
  return it == items_.end() ? nullptr : &it->second;
}

std::optional<QueuedRequest> AdmissionQueue::Remove(const StreamKey& key) {
  const auto it = items_.find(key);
  if (it == items_.end()) return std::nullopt;
  QueuedRequest item = std::move(it->second);
  items_.erase(it);
  // Deficits have a meaning only while teams compete.
  if (items_.empty()) deficits_.clear();
  return item;
}

std::optional<QueuedRequest> AdmissionQueue::RemoveGranted(
    const StreamKey& key) {
  const QueuedRequest* item = Find(key);
  if (item == nullptr) return std::nullopt;
  const TeamId team = item->request.team;
  const double cost = item->cost;
  std::map<TeamId, double> quanta;
  for (const auto& [other_key, other] : items_) {
    quanta.try_emplace(other.request.team, Quantum(other.request.team));
  }
  // All waiting teams get credit for the rounds that this team needed to afford
  // its request, at most for the rounds until the first request is affordable.
  // A request served out of turn therefore leaves its team in debt.
  const double rounds = std::max(
      0.0, std::ceil((cost - deficits_[team]) / std::max(1.0, quanta[team])));
  double least = rounds;
  for (const auto& [other_key, other] : items_) {
    const double need = other.cost - deficits_[other.request.team];
    least = std::min(
        least, std::max(0.0, std::ceil(need / quanta[other.request.team])));
  }
  for (const auto& [other, quantum] : quanta) {
    deficits_[other] += least * quantum;
  }
  deficits_[team] -= cost;
  return Remove(key);
}

void AdmissionQueue::Charge(const TeamId& team, double cost) {
  if (!items_.empty()) deficits_[team] -= cost;
}

std::vector<QueuedRequest> AdmissionQueue::Clear() {
  std::vector<QueuedRequest> all;
  all.reserve(items_.size());
  for (auto& [key, item] : items_) all.push_back(std::move(item));
  items_.clear();
  deficits_.clear();
  return all;
}

double AdmissionQueue::Quantum(const TeamId& team) const {
  int64_t share = 1;
  if (teams_) {
    if (const auto it = teams_->find(team); it != teams_->end()) {
      share = it->second.share;
    }
  }
  return kQuantum * static_cast<double>(std::max<int64_t>(1, share));
}

bool AdmissionQueue::Urgent(const QueuedRequest& item, TimePoint now) const {
  if (now < item.UrgentAfter() || item.density < MinDensity(now)) return false;
  const auto it = deficits_.find(item.request.team);
  return it == deficits_.end() ||
         it->second >= -kMaxUrgentDebt * Quantum(item.request.team) - item.cost;
}

double AdmissionQueue::RoundsUntilAffordable(const TeamQueue& queue) const {
  const double missing = queue.waiting.back()->cost - queue.deficit;
  return std::max(0.0, std::ceil(missing / queue.quantum));
}

std::vector<const QueuedRequest*> AdmissionQueue::Ordered(TimePoint now) const {
  std::vector<const QueuedRequest*> order;
  order.reserve(items_.size());
  std::map<TeamId, TeamQueue> teams;
  for (const auto& [key, item] : items_) {
    if (Urgent(item, now)) {
      order.push_back(&item);
    } else {
      teams[item.request.team].waiting.push_back(&item);
    }
  }
  std::sort(order.begin(), order.end(),
            [](const QueuedRequest* a, const QueuedRequest* b) {
              return std::pair(a->LatestStart(), a->arrival_sequence) <
                     std::pair(b->LatestStart(), b->arrival_sequence);
            });
  for (auto& [team, queue] : teams) {
    queue.quantum = Quantum(team);
    if (const auto it = deficits_.find(team); it != deficits_.end()) {
      queue.deficit = it->second;
    }
    std::sort(queue.waiting.begin(), queue.waiting.end(),
              [now](const QueuedRequest* a, const QueuedRequest* b) {
                return std::pair(Rank(*a, now), b->arrival_sequence) <
                       std::pair(Rank(*b, now), a->arrival_sequence);
              });
  }
  while (!teams.empty()) {
    auto best = teams.end();
    double fewest = 0;
    for (auto it = teams.begin(); it != teams.end(); ++it) {
      const double rounds = RoundsUntilAffordable(it->second);
      const bool better =
          best == teams.end() || rounds < fewest ||
          (rounds == fewest && Rank(*it->second.waiting.back(), now) >
                                   Rank(*best->second.waiting.back(), now));
      if (better) {
        best = it;
        fewest = rounds;
      }
    }
    for (auto& [team, queue] : teams) queue.deficit += fewest * queue.quantum;
    TeamQueue& queue = best->second;
    queue.deficit -= queue.waiting.back()->cost;
    order.push_back(queue.waiting.back());
    queue.waiting.pop_back();
    if (queue.waiting.empty()) teams.erase(best);
  }
  return order;
}

std::vector<const QueuedRequest*> AdmissionQueue::OrderedUpTo(
    const QueuedRequest& candidate, TimePoint now) {
  const StreamKey key = candidate.key();
  const bool present = items_.contains(key);
  if (!present) {
    QueuedRequest copy = candidate;
    copy.arrival_sequence = next_arrival_;
    items_.emplace(key, std::move(copy));
  }
  std::vector<const QueuedRequest*> order = Ordered(now);
  const auto position = std::find_if(
      order.begin(), order.end(),
      [&](const QueuedRequest* item) { return item->key() == key; });
  order.erase(position, order.end());
  order.push_back(&candidate);
  if (!present) items_.erase(key);
  return order;
}

void AdmissionQueue::OnCapacityRefusal(TimePoint now, double density) {
  min_density_ = std::max(MinDensity(now), density);
  min_density_at_ = now;
}

double AdmissionQueue::MinDensity(TimePoint now) const {
  if (min_density_ <= 0) return 0;
  return min_density_ *
         std::exp(-std::max(0.0, (now - min_density_at_).seconds()) /
                  kMinDensityDecaySeconds);
}

}  // namespace zr
