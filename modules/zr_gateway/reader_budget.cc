#include "zr_gateway/reader_budget.h"

#include <algorithm>
#include <utility>

namespace zr {
namespace {

// The smallest VMs have 112 MB, of which this leaves 7 MB to slow readers.
constexpr size_t kMemoryShare = 16;
// Callers may share the address of a proxy, so one address gets several
// streams' worth.
constexpr size_t kCallerShare = 4;
// A caller that took bytes within this time, the shortest pause that routes
// allow, reads; its stream is not ended to make room.
constexpr Duration kMinStall = Duration::Milliseconds(250);

}  // namespace

ReaderBudget::Limits ReaderBudget::LimitsFor(size_t memory) {
  Limits limits;
  if (memory > 0) limits.total = memory / kMemoryShare;
  limits.caller = limits.total / kCallerShare;
  return limits;
}

ReaderBudget::StreamId ReaderBudget::Add(TimePoint now, std::string caller) {
  Stream stream;
  stream.caller = std::move(caller);
  stream.taken_at = now;
  streams_.emplace(++last_id_, std::move(stream));
  return last_id_;
}

void ReaderBudget::Remove(StreamId id) {
  auto it = streams_.find(id);
  if (it == streams_.end()) return;
  it->second.ended = true;
  EraseIfDone(it);
}

void ReaderBudget::EraseIfDone(std::map<StreamId, Stream>::iterator it) {
  if (it->second.ended && it->second.held == 0) streams_.erase(it);
}

bool ReaderBudget::TryRead(StreamId id, size_t bytes) {
  auto it = streams_.find(id);
  if (it == streams_.end()) return true;
  Stream& stream = it->second;
  if (stream.held == 0) return true;
  const auto of_caller = held_by_caller_.find(stream.caller);
  const bool fits = stream.held + bytes <= limits_.stream &&
                    (of_caller == held_by_caller_.end() ||
                     of_caller->second + bytes <= limits_.caller) &&
                    held_ + bytes <= limits_.total;
  if (!fits) stream.paused = true;
  return fits;
}

void ReaderBudget::OnWritten(TimePoint now, StreamId id, size_t bytes) {
  auto it = streams_.find(id);
  if (it == streams_.end()) return;
  if (it->second.held == 0) it->second.taken_at = now;
  it->second.held += bytes;
  held_by_caller_[it->second.caller] += bytes;
  held_ += bytes;
}

bool ReaderBudget::OnSent(TimePoint now, StreamId id, size_t bytes) {
  auto it = streams_.find(id);
  if (it == streams_.end()) return false;
  Stream& stream = it->second;
  bytes = std::min(bytes, stream.held);
  stream.held -= bytes;
  stream.taken_at = now;
  held_ -= bytes;
  auto of_caller = held_by_caller_.find(stream.caller);
  if (of_caller != held_by_caller_.end()) {
    of_caller->second -= bytes;
    if (of_caller->second == 0) held_by_caller_.erase(of_caller);
  }
  const bool resume = stream.paused && stream.held == 0 && !stream.ended;
  if (resume) stream.paused = false;
  EraseIfDone(it);
  return resume;
}

std::vector<ReaderBudget::StreamId> ReaderBudget::TakeOverdue(TimePoint now) {
  std::vector<StreamId> overdue;
  std::vector<std::pair<TimePoint, StreamId>> slow;
  for (auto& [id, stream] : streams_) {
    if (stream.ended || stream.held == 0) continue;
    const Duration stall = now - stream.taken_at;
    if (stream.paused && stall >= limits_.max_stall) {
      stream.ended = true;
      overdue.push_back(id);
    } else if (stall >= kMinStall) {
      slow.emplace_back(stream.taken_at, id);
    }
  }
  // Ended streams hold their bytes until their connections are closed. To end
  // others instead would not free that memory.
  size_t live = HeldByLive();
  std::sort(slow.begin(), slow.end());
  for (const auto& [since, id] : slow) {
    if (live <= limits_.total) break;
    Stream& stream = streams_.at(id);
    live -= stream.held;
    stream.ended = true;
    overdue.push_back(id);
  }
  return overdue;
}

size_t ReaderBudget::HeldByLive() const {
  size_t live = 0;
  for (const auto& [id, stream] : streams_) {
    if (!stream.ended) live += stream.held;
  }
  return live;
}

Duration ReaderBudget::StalledFor(TimePoint now, StreamId id) const {
  auto it = streams_.find(id);
  if (it == streams_.end() || it->second.held == 0) return Duration();
  return now - it->second.taken_at;
}

size_t ReaderBudget::HeldBy(StreamId id) const {
  auto it = streams_.find(id);
  return it == streams_.end() ? 0 : it->second.held;
}

}  // namespace zr
