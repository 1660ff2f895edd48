#include "zr_request/stream_search.h"

#include <algorithm>
#include <utility>

#include "zr_request/stream_directory.h"

namespace zr {

StreamSearch::StreamSearch(StreamLookup query, std::vector<VmId> live,
                           Options options)
    : query_(std::move(query)), live_(std::move(live)), options_(options) {
  ZR_ASSERT(!live_.empty(), "a search needs a live VM");
}

std::vector<OutgoingMessage> StreamSearch::Start(TimePoint now) {
  return AskLocator(now);
}

std::vector<OutgoingMessage> StreamSearch::AskLocator(TimePoint now) {
  locator_ = StreamDirectory::Locator(query_.request, live_);
  ++locator_asks_;
  timer_ = now + options_.again;
  StreamLookup claim = query_;
  claim.claim = true;
  return {{locator_, claim}};
}

std::vector<OutgoingMessage> StreamSearch::AskAll(TimePoint now) {
  asking_all_ = true;
  timer_ = now + options_.all;
  std::vector<OutgoingMessage> messages;
  for (const VmId& vm : live_) {
    if (vm == locator_) continue;
    waiting_.insert(vm);
    messages.push_back({vm, query_});
  }
  if (waiting_.empty()) End(!incomplete_);
  return messages;
}

void StreamSearch::End(bool certain) {
  ended_ = true;
  certain_ = certain;
}

/** Adds an answer; the owners of a gathered run each name their own grants. */
void StreamSearch::Merge(const StreamLocation& location) {
  if (!found_ || (found_->stream.empty() && !location.stream.empty()) ||
      location.conflict) {
    found_ = location;
    return;
  }
  if (found_->holder.empty()) found_->holder = location.holder;
  if (location.stream != found_->stream) return;
  for (const Grant& grant : location.grants) {
    const bool known = std::any_of(
        found_->grants.begin(), found_->grants.end(), [&](const Grant& g) {
          return g.endpoint == grant.endpoint && g.number == grant.number;
        });
    if (!known) found_->grants.push_back(grant);
  }
  // The grant of the endpoint that streams comes first.
  std::stable_partition(
      found_->grants.begin(), found_->grants.end(),
      [&](const Grant& g) { return g.endpoint == found_->endpoint; });
}

std::vector<OutgoingMessage> StreamSearch::OnLocation(
    TimePoint now, const VmId& from, const StreamLocation& location) {
  if (ended_ || location.request != query_.request) return {};
  if (location.found) Merge(location);
  if (!asking_all_) {
    if (from != locator_) return {};
    // A live holder knows its grants itself.
    if (location.found && (location.conflict || !location.holder.empty())) {
      End(true);
      return {};
    }
    if (!location.found && location.authoritative) {
      End(true);
      return {};
    }
    return AskAll(now);
  }
  waiting_.erase(from);
  if (location.found && !location.holder.empty()) {
    End(true);
  } else if (waiting_.empty()) {
    End(!incomplete_);
  }
  return {};
}

std::vector<OutgoingMessage> StreamSearch::OnVmUnreachable(TimePoint now,
                                                           const VmId& vm) {
  if (ended_) return {};
  std::erase(live_, vm);
  if (live_.empty()) {
    End(false);
  } else if (!asking_all_ && vm == locator_) {
    return AskLocator(now);
  } else if (waiting_.erase(vm) > 0) {
    incomplete_ = true;
    if (waiting_.empty()) End(false);
  }
  return {};
}

std::vector<OutgoingMessage> StreamSearch::Tick(TimePoint now) {
  if (ended_ || now < timer_) return {};
  if (asking_all_) {
    End(false);
    return {};
  }
  if (locator_asks_ < 2) return AskLocator(now);
  incomplete_ = true;
  return AskAll(now);
}

}  // namespace zr
