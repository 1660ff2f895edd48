#include "zr_daemon/request/stream_locator.h"

#include <utility>

#include "zr_daemon/net/message_bus.h"
#include "zr_daemon/request/request_host.h"

namespace zr {
namespace {

constexpr Duration kTickPeriod = Duration::Milliseconds(50);
constexpr Duration kExpiryPeriod = Duration::Seconds(2);

void ReportResult(const std::shared_ptr<RequestHost>& host,
                  const StreamSearch& search) {
  if (search.found()) {
    host->Post(
        [location = *search.found()](TimePoint now, RequestMachine& machine) {
          return machine.OnStreamFound(now, location);
        });
  } else {
    host->Post(
        [certain = search.certain()](TimePoint now, RequestMachine& machine) {
          return machine.OnStreamNotFound(now, certain);
        });
  }
}

}  // namespace

StreamLocator::StreamLocator(NodeContext& context)
    : context_(context), timer_(context.io), directory_(context.settings.vm) {}

void StreamLocator::Schedule() {
  timer_.expires_after(std::chrono::microseconds(kTickPeriod.microseconds()));
  timer_.async_wait([this](const asio::error_code& error) {
    if (error) return;
    Tick();
    Schedule();
  });
}

void StreamLocator::Tick() {
  const TimePoint now = SteadyNow();
  std::vector<RequestId> due;
  {
    std::lock_guard lock(mutex_);
    if (now >= next_expiry_) {
      directory_.Expire(now);
      next_expiry_ = now + kExpiryPeriod;
    }
    for (const auto& [request, entry] : searches_) {
      if (entry.search.NextWakeup() <= now) due.push_back(request);
    }
  }
  for (const RequestId& request : due) {
    Advance(request, [now](StreamSearch& search) { return search.Tick(now); });
  }
}

template <typename Step>
void StreamLocator::Advance(const RequestId& request, Step step) {
  Messages messages;
  std::shared_ptr<RequestHost> host;
  std::optional<StreamSearch> ended;
  {
    std::lock_guard lock(mutex_);
    auto it = searches_.find(request);
    if (it == searches_.end()) return;
    messages = step(it->second.search);
    if (it->second.search.ended()) {
      host = it->second.host.lock();
      ended = std::move(it->second.search);
      searches_.erase(it);
    }
  }
  Send(messages);
  if (ended && host) ReportResult(host, *ended);
}

void StreamLocator::Send(const Messages& messages) {
  for (const OutgoingMessage& out : messages) {
    if (context_.bus->Send(out.to, out.message)) continue;
    if (auto* query = std::get_if<StreamLookup>(&out.message)) {
      asio::post(context_.io, [this, request = query->request, vm = out.to] {
        Advance(request, [vm](StreamSearch& search) {
          return search.OnVmUnreachable(SteadyNow(), vm);
        });
      });
    }
  }
}

void StreamLocator::SetLocal(const StreamLocation& location) {
  std::lock_guard lock(mutex_);
  directory_.SetLocal(location);
}

void StreamLocator::EndLocal(const RequestId& request, bool done) {
  std::lock_guard lock(mutex_);
  directory_.EndLocal(SteadyNow(), request, done);
}

void StreamLocator::OnHeldGrants(const HeldGrants& list) {
  std::lock_guard lock(mutex_);
  directory_.OnHeldGrants(SteadyNow(), list);
}

void StreamLocator::OnRelease(const GrantRelease& release) {
  std::lock_guard lock(mutex_);
  directory_.OnRelease(release);
}

void StreamLocator::OnSnapshot(const ClusterSnapshot& snapshot) {
  std::vector<VmId> live;
  for (const auto& [vm, view] : snapshot.view->live) live.push_back(vm);
  std::lock_guard lock(mutex_);
  if (live != live_) directory_.OnViewChanged(SteadyNow());
  live_ = std::move(live);
}

void StreamLocator::OnVmDown(const VmId& vm) {
  std::vector<RequestId> searching;
  {
    std::lock_guard lock(mutex_);
    directory_.OnVmDown(vm);
    for (const auto& [request, entry] : searches_) searching.push_back(request);
  }
  for (const RequestId& request : searching) {
    Advance(request, [&vm](StreamSearch& search) {
      return search.OnVmUnreachable(SteadyNow(), vm);
    });
  }
}

void StreamLocator::Locate(const std::shared_ptr<RequestHost>& host,
                           const LocateStream& wanted) {
  StreamLookup query;
  query.request = wanted.request;
  query.team = wanted.team;
  query.fingerprint = wanted.fingerprint;
  query.stream = wanted.stream;
  Messages messages;
  {
    std::lock_guard lock(mutex_);
    std::vector<VmId> live = live_;
    if (live.empty()) live.push_back(context_.settings.vm);
    auto [it, inserted] = searches_.insert_or_assign(
        wanted.request,
        Search{StreamSearch(std::move(query), std::move(live)), host});
    messages = it->second.search.Start(SteadyNow());
  }
  Send(messages);
}

void StreamLocator::OnStreamLookup(const VmId& from,
                                   const StreamLookup& query) {
  StreamLocation location;
  {
    std::lock_guard lock(mutex_);
    location = directory_.Find(SteadyNow(), from, query);
  }
  context_.bus->Send(from, location);
}

void StreamLocator::OnStreamLocation(const VmId& from,
                                     const StreamLocation& location) {
  Advance(location.request, [&](StreamSearch& search) {
    return search.OnLocation(SteadyNow(), from, location);
  });
}

}  // namespace zr
