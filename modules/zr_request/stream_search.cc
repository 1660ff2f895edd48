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
  return QueryLocator(now);
}

std::vector<OutgoingMessage> StreamSearch::QueryLocator(TimePoint now) {
  locator_ = StreamDirectory::Locator(query_.request, live_);
  ++locator_queries_;
  timer_ = now + options_.locator_timeout;
  StreamLookup claim = query_;
  claim.claim = true;
  return {{locator_, claim}};
}

std::vector<OutgoingMessage> StreamSearch::QueryAll(TimePoint now) {
  querying_all_ = true;
  timer_ = now + options_.broadcast_timeout;
  std::vector<OutgoingMessage> messages;
  for (const VmId& vm : live_) {
    if (vm == locator_) continue;
    pending_.insert(vm);
    messages.push_back({vm, query_});
  }
  if (pending_.empty()) EndSearch(!incomplete_);
  return messages;
}

void StreamSearch::EndSearch(bool certain) {
  ended_ = true;
  certain_ = certain;
}

/** Merges an answer; each owner of a gathered run reports its own grants. */
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
  // The grant of the streaming endpoint comes first.
  std::stable_partition(
      found_->grants.begin(), found_->grants.end(),
      [&](const Grant& g) { return g.endpoint == found_->endpoint; });
}

std::vector<OutgoingMessage> StreamSearch::OnLocation(
    TimePoint now, const VmId& from, const StreamLocation& location) {
  if (ended_ || location.request != query_.request) return {};
  if (location.found) Merge(location);
  if (!querying_all_) {
    if (from != locator_) return {};
    // A live holder knows its own grants, so no other VM is queried.
    if (location.found && (location.conflict || !location.holder.empty())) {
      EndSearch(true);
      return {};
    }
    if (!location.found && location.authoritative) {
      EndSearch(true);
      return {};
    }
    return QueryAll(now);
  }
  pending_.erase(from);
  if (location.found && !location.holder.empty()) {
    EndSearch(true);
  } else if (pending_.empty()) {
    EndSearch(!incomplete_);
  }
  return {};
}

std::vector<OutgoingMessage> StreamSearch::OnVmUnreachable(TimePoint now,
                                                           const VmId& vm) {
  if (ended_) return {};
  std::erase(live_, vm);
  if (live_.empty()) {
    EndSearch(false);
  } else if (!querying_all_ && vm == locator_) {
    return QueryLocator(now);
  } else if (pending_.erase(vm) > 0) {
    incomplete_ = true;
    if (pending_.empty()) EndSearch(false);
  }
  return {};
}

std::vector<OutgoingMessage> StreamSearch::Tick(TimePoint now) {
  if (ended_ || now < timer_) return {};
  if (querying_all_) {
    EndSearch(false);
    return {};
  }
  if (locator_queries_ < 2) return QueryLocator(now);
  incomplete_ = true;
  return QueryAll(now);
}

}  // namespace zr
