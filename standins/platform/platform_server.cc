#include "standins/platform/platform_server.h"

#include <algorithm>
#include <cstdlib>

namespace zr {
namespace {

constexpr size_t kMaxValueBytes = 1 << 20;
constexpr int64_t kMaxWatchMs = 60'000;

WriteCondition ConditionOf(const HttpRequest& request) {
  WriteCondition condition;
  condition.must_be_absent = request.Header("if-none-match") == "*";
  if (const auto version = request.Header("if-match"); !version.empty()) {
    condition.version =
        std::strtoull(std::string(version).c_str(), nullptr, 10);
  }
  return condition;
}

nlohmann::json ToJson(const StoredObject& object) {
  return {{"name", object.name},
          {"version", object.version},
          {"value", object.value}};
}

}  // namespace

PlatformServer::PlatformServer(asio::io_context& context,
                               PlatformOptions options)
    : context_(context),
      options_(std::move(options)),
      random_(options_.seed),
      store_(options_.max_events),
      read_bucket_(options_.reads_per_second, options_.reads_per_second),
      write_bucket_(options_.writes_per_second, options_.writes_per_second) {}

Result<std::unique_ptr<PlatformServer>> PlatformServer::Start(
    asio::io_context& context, PlatformOptions options) {
  std::unique_ptr<PlatformServer> self(
      new PlatformServer(context, std::move(options)));
  HttpServerOptions server_options;
  server_options.address = self->options_.listen;
  auto server = HttpServer::Start(
      context, server_options,
      [raw = self.get()](HttpRequest request, HttpResponsePtr response) {
        raw->Handle(std::move(request), std::move(response));
      });
  if (!server) return tl::unexpected(server.error());
  self->server_ = std::move(*server);
  if (self->options_.fault_listen.empty()) return self;
  server_options.address = self->options_.fault_listen;
  auto fault_server = HttpServer::Start(
      context, server_options,
      [raw = self.get()](HttpRequest request, HttpResponsePtr response) {
        raw->HandleFault(request, response);
      });
  if (!fault_server) return tl::unexpected(fault_server.error());
  self->fault_server_ = std::move(*fault_server);
  return self;
}

TimePoint PlatformServer::Now() const {
  return TimePoint::FromMicroseconds(MonotonicMs() * 1000);
}

void PlatformServer::Handle(HttpRequest request, HttpResponsePtr response) {
  ++call_counts_["all"];
  if (faults_.outage) {
    unanswered_.push_back(std::move(response));
    return;
  }
  if (faults_.refuse) {
    SendError(response, 503, "unavailable", "the object API is out of service");
    return;
  }
  if (faults_.slow_ms > 0) {
    RunAfter(context_, Duration::Milliseconds(faults_.slow_ms),
             [this, request = std::move(request), response] {
               // An outage may have begun during the delay.
               if (!faults_.outage) Dispatch(request, response);
             });
    return;
  }
  Dispatch(request, response);
}

void PlatformServer::Dispatch(const HttpRequest& request,
                              const HttpResponsePtr& response) {
  const auto path = PathSegments(request.path);
  const bool write = request.method == "PUT" || request.method == "DELETE";
  const bool vms = path.size() == 2 && path[1] == "vms";
  if (path.size() < 2 || path[0] != "v1") {
    SendError(response, 404, "not_found", "unknown path " + request.path);
    return;
  }
  // Registering VMs and loading weights are not part of the object API, whose
  // calls are counted by purpose and rate-limited.
  if (vms && request.method == "POST") return HandleVms(request, response);
  if (path[1] == "weights") return HandleWeights(request, response);
  ++call_counts_[vms                  ? "vms"
                 : path[1] == "watch" ? "watch"
                 : write              ? "write"
                                      : "read"];
  if (path.size() > 2) ++call_counts_[(write ? "write." : "read.") + path[2]];
  if (!(write ? write_bucket_ : read_bucket_).TryTake(Now())) {
    ++call_counts_["limited"];
    SendError(response, 429, "limit_exceeded", "call rate exceeded");
  } else if (vms) {
    HandleVms(request, response);
  } else if (path[1] == "watch" && path.size() == 3 &&
             request.method == "GET") {
    HandleWatch(request, response, path[2]);
  } else if (path[1] == "objects" && path.size() >= 3) {
    HandleObject(request, response, path);
  } else {
    SendError(response, 404, "not_found", "unknown path " + request.path);
  }
}

void PlatformServer::HandleObject(const HttpRequest& request,
                                  const HttpResponsePtr& response,
                                  const std::vector<std::string>& path) {
  const std::string& kind = path[2];
  if (path.size() == 3) return HandleList(request, response, kind);
  std::string name = path[3];
  for (size_t i = 4; i < path.size(); ++i) name += "/" + path[i];
  if (request.method == "PUT" || request.method == "DELETE") {
    HandleWrite(request, response, kind, name);
    return;
  }
  std::optional<StoredObject> object;
  if (faults_.stale_read_versions > 0) {
    const auto lag = static_cast<uint64_t>(faults_.stale_read_versions);
    object = store_.FindAtVersion(
        kind, name, store_.version() - std::min(lag, store_.version()));
  } else if (const StoredObject* current = store_.Find(kind, name)) {
    object = *current;
  }
  if (!object) {
    SendError(response, 404, "not_found", "no object " + kind + "/" + name);
  } else {
    SendJson(response, 200, ToJson(*object));
  }
}

void PlatformServer::HandleWrite(const HttpRequest& request,
                                 const HttpResponsePtr& response,
                                 const std::string& kind,
                                 const std::string& name) {
  if (request.body.size() > kMaxValueBytes) {
    SendError(response, 413, "too_large", "a value holds at most 1 MB");
    return;
  }
  if (random_.Chance(faults_.request_loss_rate)) {
    ++call_counts_["lost_requests"];
    response->Abort();
    return;
  }
  const bool lose_answer = random_.Chance(faults_.answer_loss_rate);
  if (faults_.delayed_effect_ms > 0 &&
      random_.Chance(faults_.delayed_effect_rate)) {
    // The caller gets no response, and the write takes effect later.
    ++call_counts_["delayed_effects"];
    response->Abort();
    RunAfter(context_, Duration::Milliseconds(faults_.delayed_effect_ms),
             [this, request, kind, name] {
               ApplyWrite(request, nullptr, kind, name, true);
             });
    return;
  }
  ApplyWrite(request, response, kind, name, lose_answer);
}

void PlatformServer::ApplyWrite(const HttpRequest& request,
                                const HttpResponsePtr& response,
                                const std::string& kind,
                                const std::string& name, bool lose_answer) {
  const WriteCondition condition = ConditionOf(request);
  const bool remove = request.method == "DELETE";
  const auto version = remove ? store_.Remove(kind, name, condition)
                              : store_.Put(kind, name, request.body, condition);
  if (version) NotifyWatches();
  if (response == nullptr) return;
  if (lose_answer) {
    ++call_counts_["lost_answers"];
    response->Abort();
  } else if (version) {
    SendJson(response, 200, {{"version", *version}});
  } else if (remove && store_.Find(kind, name) == nullptr) {
    SendError(response, 404, "not_found", "no object " + kind + "/" + name);
  } else {
    SendError(response, 412, "conflict", "the condition does not hold");
  }
}

void PlatformServer::HandleList(const HttpRequest& request,
                                const HttpResponsePtr& response,
                                const std::string& kind) {
  const int64_t limit =
      std::clamp<int64_t>(QueryInteger(request, "limit", 500), 1, 1000);
  const auto items =
      store_.List(kind, request.QueryParameter("after").value_or(""),
                  static_cast<size_t>(limit));
  nlohmann::json list = nlohmann::json::array();
  for (const auto& item : items) list.push_back(ToJson(item));
  SendJson(response, 200,
           {{"version", store_.version()}, {"items", std::move(list)}});
}

void PlatformServer::HandleWatch(const HttpRequest& request,
                                 const HttpResponsePtr& response,
                                 const std::string& kind) {
  auto watch = std::make_shared<Watch>();
  watch->kind = kind;
  watch->after = static_cast<uint64_t>(QueryInteger(request, "after", 0));
  watch->response = response;
  if (store_.IsTooOld(watch->after)) {
    SendError(response, 410, "gone", "the version is too old");
    return;
  }
  if (AnswerWatch(*watch, false)) return;
  watches_.push_back(watch);
  const int64_t timeout = std::clamp<int64_t>(
      QueryInteger(request, "timeout_ms", 30'000), 0, kMaxWatchMs);
  RunAfter(context_, Duration::Milliseconds(timeout), [this, watch] {
    if (!watch->answered && !faults_.outage) AnswerWatch(*watch, true);
    std::erase(watches_, watch);
  });
}

bool PlatformServer::AnswerWatch(Watch& watch, bool timed_out) {
  const auto events = store_.EventsAfter(watch.kind, watch.after);
  if (events.empty() && !timed_out) return false;
  nlohmann::json list = nlohmann::json::array();
  for (const auto& event : events) {
    list.push_back({{"op", event.removed ? "delete" : "put"},
                    {"name", event.name},
                    {"version", event.version},
                    {"value", event.value}});
  }
  watch.answered = true;
  SendJson(watch.response, 200,
           {{"version", store_.version()}, {"events", std::move(list)}});
  return true;
}

void PlatformServer::NotifyWatches() {
  if (faults_.outage) return;
  std::erase_if(watches_, [this](const auto& watch) {
    return AnswerWatch(*watch, false);
  });
}

void PlatformServer::HandleVms(const HttpRequest& request,
                               const HttpResponsePtr& response) {
  if (request.method == "POST") {
    const auto body = ParseJson(request.body.text());
    if (!body.is_object() || !body.contains("name")) {
      SendError(response, 400, "invalid_argument", "a VM needs a name");
      return;
    }
    const std::string name = body["name"];
    if (body.value("state", "live") == "gone") {
      vms_.erase(name);
    } else {
      vms_[name] = Vm{name, body.value("address", ""), body.value("domain", ""),
                      body.value("state", "live")};
    }
    vm_snapshots_.push_back(VmListSnapshot{MonotonicMs(), vms_});
    SendJson(response, 200, nlohmann::json::object());
    return;
  }
  const int64_t visible = MonotonicMs() - options_.vm_list_lag.milliseconds();
  while (vm_snapshots_.size() > 1 && vm_snapshots_[1].at_ms <= visible) {
    vm_snapshots_.pop_front();
  }
  nlohmann::json list = nlohmann::json::array();
  if (!vm_snapshots_.empty() && vm_snapshots_.front().at_ms <= visible) {
    for (const auto& [name, vm] : vm_snapshots_.front().vms) {
      list.push_back({{"name", vm.name},
                      {"address", vm.address},
                      {"domain", vm.domain},
                      {"state", vm.state}});
    }
  }
  SendJson(response, 200, {{"vms", std::move(list)}});
}

void PlatformServer::HandleWeights(const HttpRequest& request,
                                   const HttpResponsePtr& response) {
  // Loads share the store's bandwidth and are served one after another.
  const double scale = std::max(0.001, QueryReal(request, "time_scale", 1.0));
  const auto now = static_cast<double>(MonotonicMs());
  const double start = std::max(now, weight_busy_until_ms_);
  weight_busy_until_ms_ =
      start +
      static_cast<double>(options_.weight_load_time.milliseconds()) / scale;
  ++call_counts_["weights"];
  RunAfter(
      context_,
      Duration::Milliseconds(static_cast<int64_t>(weight_busy_until_ms_ - now)),
      [response] {
        SendJson(response, 200, {{"ok", true}});
      });
}

void PlatformServer::HandleFault(const HttpRequest& request,
                                 const HttpResponsePtr& response) {
  const auto path = PathSegments(request.path);
  if (path.size() < 2 || path[0] != "fault") {
    SendError(response, 404, "not_found", "unknown path " + request.path);
    return;
  }
  if (request.method == "POST") ApplyFault(path[1], request);
  SendJson(response, 200, State());
}

void PlatformServer::ApplyFault(const std::string& name,
                                const HttpRequest& request) {
  const bool on = QueryInteger(request, "on", 1) != 0;
  const double probability = QueryReal(request, "p", 0);
  const int64_t ms = QueryInteger(request, "ms", 0);
  if (name == "outage") {
    faults_.outage = on;
    // Closes the pending calls without a response.
    unanswered_.clear();
    if (!on) NotifyWatches();
  } else if (name == "refuse") {
    faults_.refuse = on;
  } else if (name == "slow") {
    faults_.slow_ms = ms;
  } else if (name == "lost_answers") {
    faults_.answer_loss_rate = probability;
  } else if (name == "lost_requests") {
    faults_.request_loss_rate = probability;
  } else if (name == "delayed_effect") {
    faults_.delayed_effect_ms = ms;
    faults_.delayed_effect_rate = QueryReal(request, "p", 1);
  } else if (name == "rates") {
    const double reads = QueryReal(request, "reads", options_.reads_per_second);
    const double writes =
        QueryReal(request, "writes", options_.writes_per_second);
    read_bucket_ = TokenBucket(reads, std::max(1.0, reads));
    write_bucket_ = TokenBucket(writes, std::max(1.0, writes));
  } else if (name == "vm_lag") {
    options_.vm_list_lag = Duration::Milliseconds(ms);
  } else if (name == "stale_reads") {
    faults_.stale_read_versions = on ? QueryInteger(request, "versions", 5) : 0;
  } else if (name == "forget_history") {
    store_.ClearHistory();
  } else if (name == "clear") {
    faults_ = Faults();
    unanswered_.clear();
    NotifyWatches();
  }
}

nlohmann::json PlatformServer::State() const {
  return {{"version", store_.version()},
          {"calls", call_counts_},
          {"outage", faults_.outage},
          {"refuse", faults_.refuse},
          {"slow_ms", faults_.slow_ms},
          {"lost_answers", faults_.answer_loss_rate},
          {"lost_requests", faults_.request_loss_rate},
          {"delayed_effect_ms", faults_.delayed_effect_ms},
          {"stale_reads", faults_.stale_read_versions},
          {"vm_lag_ms", options_.vm_list_lag.milliseconds()}};
}

}  // namespace zr
