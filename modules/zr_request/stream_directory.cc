#include "zr_request/stream_directory.h"

#include <algorithm>

namespace zr {
namespace {

/**
 * Whether a run has the fingerprint of the query; otherwise the answer is a
 * conflict.
 */
bool MatchesQuery(const StreamLookup& query, Fingerprint fingerprint,
                  StreamLocation& answer) {
  answer.team = query.team;
  answer.fingerprint = fingerprint;
  answer.conflict = query.fingerprint != fingerprint;
  return !answer.conflict;
}

}  // namespace

VmId StreamDirectory::Locator(const RequestId& request,
                              const std::vector<VmId>& live) {
  ZR_ASSERT(!live.empty(), "no live VM to choose the locator from");
  VmId best;
  double best_score = -1;
  for (const VmId& vm : live) {
    const double score = RendezvousScore(request.value(), vm.value());
    if (score > best_score) {
      best = vm;
      best_score = score;
    }
  }
  return best;
}

//==============================================================================
// Sources

void StreamDirectory::SetLocal(const StreamLocation& location) {
  Local local{location};
  local.location.found = true;
  local.location.holder = self_;
  local_[location.request] = std::move(local);
}

void StreamDirectory::EndLocal(TimePoint now, const RequestId& request,
                               bool done) {
  const auto it = local_.find(request);
  if (it == local_.end()) return;
  if (!done || it->second.location.stream.empty()) {
    local_.erase(it);
    return;
  }
  it->second.location.done = true;
  it->second.location.holder = VmId();
  it->second.location.grants.clear();
  it->second.expires = now + options_.ended_ttl;
}

void StreamDirectory::OnHeldGrants(TimePoint now, const HeldGrants& list) {
  for (const HeldGrant& held : list.grants) {
    const bool member = !held.gather_stream.empty();
    const std::string stream = member ? held.gather_stream : MakeStreamId(held);
    const auto [it, inserted] = listed_.try_emplace(stream);
    Listed& listed = it->second;
    if (inserted) {
      listed.request = held.request;
      listed_streams_.emplace(held.request, stream);
    }
    listed.endpoint = member ? held.gather_endpoint : list.endpoint;
    listed.holder = list.holder.vm;
    listed.fingerprint = held.fingerprint;
    listed.attempt = held.attempt;
    listed.last_seen = now;
    Grant grant;
    grant.request = held.request;
    grant.attempt = held.attempt;
    grant.endpoint = list.endpoint;
    grant.number = held.number;
    grant.owner = held.owner;
    grant.owner_incarnation = held.owner_incarnation;
    grant.kv_tokens = held.kv_tokens;
    grant.boot = held.boot;
    std::erase_if(listed.grants,
                  [&](const Grant& g) { return g.endpoint == grant.endpoint; });
    listed.grants.push_back(std::move(grant));
  }
}

void StreamDirectory::OnRelease(const GrantRelease& release) {
  const auto [begin, end] = listed_streams_.equal_range(release.request);
  for (auto it = begin; it != end; ++it) {
    std::erase_if(listed_.at(it->second).grants, [&](const Grant& g) {
      return g.endpoint == release.endpoint && g.number == release.number;
    });
  }
}

void StreamDirectory::OnVmDown(const VmId& vm) {
  for (auto& [stream, listed] : listed_) {
    if (listed.holder == vm) listed.holder = VmId();
  }
  std::erase_if(claims_,
                [&](const auto& item) { return item.second.vm == vm; });
}

//==============================================================================
// Searches

bool StreamDirectory::FindLocal(const VmId& from, const StreamLookup& query,
                                StreamLocation& answer) const {
  const auto it = local_.find(query.request);
  if (it == local_.end()) return false;
  const StreamLocation& location = it->second.location;
  // The searching machine is registered here too and would take the request
  // over from itself.
  if (from == self_ && location.holder == self_) return false;
  if (!query.stream.empty() && query.stream != location.stream) return false;
  if (!MatchesQuery(query, location.fingerprint, answer) ||
      query.team != location.team) {
    answer.conflict = true;
    return true;
  }
  answer = location;
  return true;
}

bool StreamDirectory::FindListed(const VmId& from, const StreamLookup& query,
                                 StreamLocation& answer) const {
  const auto [begin, end] = listed_streams_.equal_range(query.request);
  for (auto it = begin; it != end; ++it) {
    const Listed& listed = listed_.at(it->second);
    if (!query.stream.empty() && query.stream != it->second) continue;
    if (!MatchesQuery(query, listed.fingerprint, answer)) return true;
    answer.endpoint = listed.endpoint;
    answer.stream = it->second;
    answer.attempt = listed.attempt;
    // A VM that searches for a run that it held has ended the run and releases
    // its grants itself.
    if (listed.holder == from) return true;
    answer.holder = listed.holder;
    answer.grants = listed.grants;
    return true;
  }
  return false;
}

bool StreamDirectory::FindClaim(const VmId& from, const StreamLookup& query,
                                StreamLocation& answer) const {
  const auto it = claims_.find(query.request);
  if (it == claims_.end() || it->second.vm == from) return false;
  if (!MatchesQuery(query, it->second.fingerprint, answer) ||
      query.team != it->second.team) {
    answer.conflict = true;
    return true;
  }
  answer.holder = it->second.vm;
  return true;
}

StreamLocation StreamDirectory::Find(TimePoint now, const VmId& from,
                                     const StreamLookup& query) {
  Expire(now);
  StreamLocation answer;
  answer.request = query.request;
  answer.found = FindLocal(from, query, answer) ||
                 FindListed(from, query, answer) ||
                 FindClaim(from, query, answer);
  answer.request = query.request;
  if (answer.found) {
    // The latest caller takes over the stream, so the next search must find its
    // VM.
    if (query.claim && !answer.conflict) {
      claims_[query.request] = {from, query.team, query.fingerprint, now};
    }
    return answer;
  }
  answer.authoritative = query.claim && now >= claims_complete_from_;
  if (query.claim) {
    if (claims_.size() >= options_.max_claims) {
      claims_.erase(std::min_element(claims_.begin(), claims_.end(),
                                     [](const auto& a, const auto& b) {
                                       return a.second.time < b.second.time;
                                     }));
    }
    claims_[query.request] = {from, query.team, query.fingerprint, now};
  }
  return answer;
}

void StreamDirectory::Expire(TimePoint now) {
  std::erase_if(local_,
                [&](const auto& item) { return item.second.expires <= now; });
  for (auto it = listed_.begin(); it != listed_.end();) {
    if (it->second.last_seen + options_.listed_ttl > now) {
      ++it;
      continue;
    }
    const auto [begin, end] = listed_streams_.equal_range(it->second.request);
    const auto name = std::find_if(
        begin, end, [&](const auto& n) { return n.second == it->first; });
    if (name != end) listed_streams_.erase(name);
    it = listed_.erase(it);
  }
  std::erase_if(claims_, [&](const auto& item) {
    return item.second.time + options_.claim_ttl <= now;
  });
}

}  // namespace zr
