#include <algorithm>

#include "standins/engine/engine.h"
#include "zr_telemetry/zr_telemetry.h"

namespace zr {

//==============================================================================
// Reports

Engine::LoadSnapshot Engine::TakeSnapshot() {
  return {MonotonicMs(),    WallClockMs(),
          options_.boot,    ++snapshot_sequence_,
          model_.kv_used(), model_.running(),
          model_.waiting(), model_.generated_tokens(),
          leaving_};
}

nlohmann::json Engine::LoadReport() {
  const int64_t now = MonotonicMs();
  if (options_.report_lag_ms == 0) snapshots_.push_back(TakeSnapshot());
  const LoadSnapshot* reported = &snapshots_.front();
  const LoadSnapshot* earlier = reported;
  for (const auto& snapshot : snapshots_) {
    if (snapshot.at_ms <= now - options_.report_lag_ms) reported = &snapshot;
    if (snapshot.at_ms <= now - options_.report_lag_ms - 1'000) {
      earlier = &snapshot;
    }
  }
  const int64_t span = std::max<int64_t>(1, reported->at_ms - earlier->at_ms);
  return {{"boot", reported->boot},
          {"seq", reported->sequence},
          {"time_ms", reported->wall_ms},
          {"kv_capacity", options_.kv_capacity},
          {"kv_used", reported->kv_used},
          {"running", reported->running},
          {"waiting", reported->waiting},
          {"model", options_.model},
          {"version", served_version_},
          {"adapters", adapters_},
          {"role", role_},
          {"leaving", reported->leaving},
          {"tokens_per_s", (reported->tokens - earlier->tokens) * 1000 / span}};
}

nlohmann::json Engine::StreamList() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [id, stream] : model_.streams()) {
    const auto cached =
        static_cast<int64_t>(stream.pinned) * kPrefixBlockTokens;
    list.push_back({{"id", id},
                    {"kind", "stream"},
                    {"kv_tokens", stream.uncached_kv + cached},
                    {"offset", stream.generated},
                    {"done", stream.phase == BatchStream::Phase::kDone}});
  }
  for (const auto& [key, hold] : model_.holds()) {
    list.push_back({{"id", key.substr(7)},
                    {"kind", hold.is_export ? "export" : "import"},
                    {"kv_tokens", hold.kv_tokens},
                    {"offset", 0},
                    {"done", false}});
  }
  return {{"boot", options_.boot}, {"streams", std::move(list)}};
}

nlohmann::json Engine::CacheEvents(int64_t after) const {
  constexpr size_t kMaxEvents = 1'000;
  const int64_t visible = MonotonicMs() - options_.cache_event_lag_ms;
  nlohmann::json list = nlohmann::json::array();
  for (const auto& event : cache_events_) {
    if (event.sequence <= after) continue;
    if (event.at_ms > visible || list.size() >= kMaxEvents) break;
    list.push_back({{"seq", event.sequence},
                    {"op", event.inserted ? "stored" : "evicted"},
                    {"hash", event.hash}});
  }
  return {{"boot", options_.boot}, {"events", std::move(list)}};
}

nlohmann::json Engine::State() const {
  int64_t repeated = 0;
  for (const auto& [id, count] : runs_) repeated += count > 1 ? 1 : 0;
  return {{"name", options_.name},
          {"boot", options_.boot},
          {"kv_capacity", options_.kv_capacity},
          {"kv_used", model_.kv_used()},
          {"kv_peak", model_.kv_peak()},
          {"running", model_.running()},
          {"waiting", model_.waiting()},
          {"streams", model_.streams().size()},
          {"holds", model_.holds().size()},
          {"readers", readers_.size()},
          {"allowance", model_.Allowance()},
          {"completed", model_.completed()},
          {"overruns", model_.overruns()},
          {"tokens", model_.generated_tokens()},
          {"runs", runs_},
          {"repeated_runs", repeated},
          {"last_new_work_ms", last_new_work_ms_},
          {"counters", counters_},
          {"model", options_.model},
          {"version", served_version_},
          {"role", role_},
          {"fencing", fencing_token_},
          {"down", down_},
          {"frozen", frozen_},
          {"leaving", leaving_}};
}

//==============================================================================
// Orders

void Engine::HandleOrder(const HttpRequest& request,
                         const HttpResponsePtr& response) {
  const auto body = ParseJson(request.body.text());
  if (!body.is_object() || !body.contains("kind") || !body.contains("name")) {
    SendError(response, 400, "invalid_argument",
              "an order needs kind and name");
    return;
  }
  const int64_t fencing = body.value("fencing", int64_t{0});
  if (fencing < fencing_token_) {
    if (options_.checks_fencing) {
      ++counters_["stale_orders_refused"];
      SendError(response, 409, "conflict", "stale fencing token");
      return;
    }
    ++counters_["stale_orders_accepted"];
  }
  fencing_token_ = std::max(fencing_token_, fencing);
  ++counters_["orders"];
  const std::string kind = body["kind"];
  const std::string name = body["name"];
  if (kind != "load_model") {
    ApplyOrder(kind, name);
  } else if (!loading_model_.empty()) {
    SendError(response, 503, "overloaded", "a model is being loaded");
    return;
  } else {
    loading_model_ = name;
    auto loaded = [this, kind, name, generation = generation_] {
      if (generation != generation_) return;
      loading_model_.clear();
      ApplyOrder(kind, name);
    };
    if (client_ == nullptr || options_.platform.empty()) {
      const double ms =
          static_cast<double>(options_.load_ms) / options_.time_scale;
      RunAfter(context_, Duration::Milliseconds(static_cast<int64_t>(ms)),
               loaded);
    } else {
      ClientRequest load;
      load.method = "POST";
      load.url = "http://" + options_.platform + "/v1/weights/" + name +
                 "?time_scale=" + std::to_string(options_.time_scale);
      client_->Fetch(std::move(load), 1 << 16, [this, loaded](auto result) {
        if (result && result->status == 200) {
          loaded();
        } else {
          loading_model_.clear();
        }
      });
    }
  }
  SendJson(response, 200, {{"accepted", true}});
}

void Engine::ApplyOrder(const std::string& kind, const std::string& name) {
  if (kind == "load_model") {
    options_.model = name;
    model_.EvictUnused();
  } else if (kind == "load_adapter") {
    if (std::find(adapters_.begin(), adapters_.end(), name) ==
        adapters_.end()) {
      adapters_.push_back(name);
    }
  } else if (kind == "set_version") {
    served_version_ = name;
  } else if (kind == "set_role") {
    role_ = name;
  }
}

//==============================================================================
// Faults

void Engine::Crash(int64_t restart_ms) {
  ++counters_["crashes"];
  ++generation_;
  down_ = true;
  frozen_ = false;
  step_pending_ = false;
  idle_ = true;
  loading_model_.clear();
  step_timer_.cancel();
  server_->StopAccepting();
  auto readers = std::move(readers_);
  readers_.clear();
  for (auto& [id, reader] : readers) reader.response->Abort();
  frozen_requests_.clear();
  model_.Reset();
  cache_events_.clear();
  cache_sequence_ = 0;
  if (restart_ms < 0) return;
  RunAfter(context_, Duration::Milliseconds(restart_ms),
           [this, generation = generation_] {
             if (generation == generation_) Restart();
           });
}

void Engine::Restart() {
  if (!down_) return;
  if (!Listen()) {
    RunAfter(context_, Duration::Milliseconds(100), [this] { Restart(); });
    return;
  }
  options_.boot =
      std::max(options_.boot + 1, static_cast<uint64_t>(WallClockMs()));
  down_ = false;
  leaving_ = false;
  snapshots_.clear();
  snapshots_.push_back(TakeSnapshot());
}

void Engine::Unfreeze() {
  frozen_ = false;
  idle_ = true;
  auto frozen_requests = std::move(frozen_requests_);
  frozen_requests_.clear();
  for (auto& [request, response] : frozen_requests) Handle(request, response);
  ScheduleStep();
}

bool Engine::ApplyFault(const std::string& fault, const HttpRequest& request) {
  if (fault == "crash") {
    if (!down_) Crash(QueryInteger(request, "restart_ms", options_.restart_ms));
  } else if (fault == "kill") {
    if (!down_) Crash(-1);
  } else if (fault == "start") {
    Restart();
  } else if (fault == "freeze") {
    frozen_ = true;
  } else if (fault == "unfreeze") {
    if (frozen_) Unfreeze();
  } else if (fault == "cold") {
    if (QueryInteger(request, "boot", 1) != 0) ++options_.boot;
    model_.MakeCold(MonotonicMs() + options_.report_lag_ms +
                    options_.cold_grace_ms);
  } else if (fault == "slow") {
    model_.set_slow_factor(std::max(0.001, QueryReal(request, "factor", 1.0)));
  } else if (fault == "leave" || fault == "unleave") {
    leaving_ = fault == "leave";
    leaving_since_ms_ = MonotonicMs();
  } else if (fault == "refuse" || fault == "accept") {
    refusing_ = fault == "refuse";
  } else if (fault == "break_streams") {
    auto readers = std::move(readers_);
    readers_.clear();
    for (auto& [id, reader] : readers) {
      reader.response->Abort();
      if (BatchStream* stream = model_.Find(id)) {
        stream->unclaimed_since_ms = MonotonicMs();
      }
    }
  } else {
    return false;
  }
  return true;
}

}  // namespace zr
