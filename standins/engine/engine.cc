#include "standins/engine/engine.h"

#include <algorithm>
#include <cstdlib>
#include <string_view>

#include "standins/common/token_text.h"
#include "zr_telemetry/zr_telemetry.h"

namespace zr {
namespace {

// Period of load snapshots and expiry checks.
constexpr Duration kTickPeriod = Duration::Milliseconds(50);
// After a delay of the process, steps catch up by at most this time.
constexpr std::chrono::milliseconds kMaxCatchUp{200};
constexpr std::string_view kCrashMarker = "[[crash]]";
constexpr size_t kCacheEventHistory = 20'000;

}  // namespace

Engine::Engine(asio::io_context& context, EngineOptions options,
               std::shared_ptr<HttpClient> client)
    : context_(context),
      options_(std::move(options)),
      client_(std::move(client)),
      random_(options_.seed),
      model_(options_,
             [this](bool inserted, uint64_t hash) {
               ++cache_sequence_;
               if (random_.Chance(options_.cache_event_gap)) return;
               cache_events_.push_back(
                   {MonotonicMs(), cache_sequence_, inserted, hash});
               if (cache_events_.size() > kCacheEventHistory) {
                 cache_events_.pop_front();
               }
             }),
      step_timer_(context) {}

Result<std::unique_ptr<Engine>> Engine::Start(
    asio::io_context& context, EngineOptions options,
    std::shared_ptr<HttpClient> client) {
  std::unique_ptr<Engine> self(
      new Engine(context, std::move(options), std::move(client)));
  if (auto listening = self->Listen(); !listening) {
    return tl::unexpected(listening.error());
  }
  self->snapshots_.push_back(self->TakeSnapshot());
  self->Tick();
  return self;
}

Result<void> Engine::Listen() {
  HttpServerOptions options;
  options.address = options_.listen;
  auto server = HttpServer::Start(
      context_, options,
      [this](const HttpRequest& request, const HttpResponsePtr& response) {
        Handle(request, response);
      });
  if (!server) return tl::unexpected(server.error());
  server_ = std::move(*server);
  return {};
}

//==============================================================================
// Requests

void Engine::Handle(const HttpRequest& request,
                    const HttpResponsePtr& response) {
  if (down_) {
    response->Abort();
    return;
  }
  if (frozen_) {
    frozen_requests_.emplace_back(request, response);
    return;
  }
  const auto path = PathSegments(request.path);
  if (request.path == "/v1/completions" && request.method == "POST") {
    HandleCompletion(request, response);
  } else if (path.size() >= 2 && path[0] == "engine") {
    HandleEnginePath(request, response, path);
  } else {
    SendError(response, 404, "not_found", "unknown path " + request.path);
  }
}

void Engine::HandleEnginePath(const HttpRequest& request,
                              const HttpResponsePtr& response,
                              const std::vector<std::string>& path) {
  if (path[1] == "load") {
    SendJson(response, 200, LoadReport());
  } else if (path[1] == "cache_events") {
    SendJson(response, 200, CacheEvents(QueryInteger(request, "after", 0)));
  } else if (path[1] == "orders" && request.method == "POST") {
    HandleOrder(request, response);
  } else if (path[1] == "imports" || path[1] == "exports") {
    HandleHold(request, response, path);
  } else if (path[1] == "streams" && path.size() == 2) {
    SendJson(response, 200, StreamList());
  } else if (path[1] != "streams" || model_.Find(path[2]) == nullptr) {
    SendError(response, 404, "not_found", "no such stream", "may-have-run");
  } else if (request.method == "DELETE") {
    ++counters_["cancelled"];
    const int64_t offset = model_.Find(path[2])->generated;
    Cancel(path[2]);
    SendJson(response, 200, {{"offset", offset}});
  } else if (path.size() == 4 && path[3] == "resume") {
    const int64_t offset = QueryInteger(request, "offset", 0);
    if (offset < 0 || offset > model_.Find(path[2])->request.max_tokens) {
      SendError(response, 400, "invalid_argument", "offset beyond the answer",
                "may-have-run");
    } else {
      ++counters_["resumed"];
      Attach(path[2], response, true, offset);
    }
  } else {
    SendError(response, 404, "not_found", "unknown path " + request.path);
  }
}

void Engine::HandleCompletion(const HttpRequest& request,
                              const HttpResponsePtr& response) {
  const auto body = ParseJson(request.body.text());
  if (!body.is_object()) {
    SendError(response, 400, "invalid_argument", "the body is no JSON object");
    return;
  }
  BatchRequest job;
  job.prompt = body.value("prompt", "");
  job.prompt_tokens = std::max<int64_t>(
      1, body.value("prompt_tokens", PromptTokensOf(job.prompt)));
  job.max_tokens = std::max<int64_t>(1, body.value("max_tokens", int64_t{16}));
  job.priority = body.value("priority", int64_t{0});
  // Direct calls, without a daemon in between, carry the caller's headers
  // instead of a stream id.
  const bool direct = !body.contains("stream_id");
  const std::string request_id(request.Header("x-request-id"));
  job.id = !direct ? body.value("stream_id", "")
           : !request_id.empty()
               ? request_id
               : "anonymous-" + std::to_string(++last_reader_id_);
  job.crashes_engine = body.value("crash", false) ||
                       job.prompt.find(kCrashMarker) != std::string::npos;
  const auto members = body.find("members");
  if (members != body.end() && members->is_array() && !members->empty()) {
    job.member_kv_tokens =
        std::max<int64_t>(1, body.value("kv_tokens", int64_t{1}));
  }
  const std::string id = job.id;
  const std::string model = body.value("model", "");
  if (model_.Find(id) == nullptr) {
    if (refusing_ || !loading_model_.empty()) {
      ++counters_["refused"];
      return SendError(response, 503, "overloaded",
                       "the engine takes no requests now");
    }
    if (!model.empty() && !options_.model.empty() && model != options_.model) {
      return SendError(response, 404, "not_found",
                       "model " + model + " is not loaded here");
    }
  }
  switch (model_.Submit(std::move(job), MonotonicMs())) {
    case BatchModel::SubmitResult::kQueueFull:
      ++counters_["refused"];
      return SendError(response, 503, "overloaded", "the wait queue is full");
    case BatchModel::SubmitResult::kTooLarge:
      ++counters_["refused"];
      return SendError(response, 413, "too_large",
                       "the request exceeds the engine's KV memory");
    case BatchModel::SubmitResult::kOverrun:
      Log(LogLevel::kWarning, "engine",
          options_.name + " is overloaded while cold and crashes");
      response->Abort();
      return Crash(options_.restart_ms);
    case BatchModel::SubmitResult::kAttached:
      ++counters_["duplicates_attached"];
      break;
    case BatchModel::SubmitResult::kAccepted:
      RecordStart(id);
      break;
  }
  const std::string offset(direct ? request.Header("x-zr-resume-offset") : "");
  Attach(id, response, body.value("stream", true),
         std::strtoll(offset.c_str(), nullptr, 10));
  ScheduleStep();
}

void Engine::RecordStart(const std::string& id) {
  ++runs_[id.substr(0, id.rfind('#'))];
  ++counters_["started"];
  last_new_work_ms_ = WallClockMs();
  // Callers have three seconds, plus the report's lag, to notice that the
  // engine is leaving.
  if (leaving_ &&
      MonotonicMs() - leaving_since_ms_ > 3'000 + options_.report_lag_ms) {
    ++counters_["started_after_leaving"];
  }
}

void Engine::HandleHold(const HttpRequest& request,
                        const HttpResponsePtr& response,
                        const std::vector<std::string>& path) {
  const bool is_export = path[1] == "exports";
  if (request.method == "DELETE" && path.size() == 3) {
    const bool found = model_.RemoveHold(path[2], is_export);
    SendJson(response, found ? 200 : 404, nlohmann::json::object());
    return;
  }
  const auto body = ParseJson(request.body.text());
  if (request.method != "POST" || !body.is_object() || !body.contains("id")) {
    SendError(response, 400, "invalid_argument",
              "an import or export needs an id");
  } else if (is_export) {
    if (model_.Export(body["id"], body.value("stream_id", ""))) {
      SendJson(response, 200, nlohmann::json::object());
    } else {
      SendError(response, 404, "not_found", "no such stream");
    }
  } else {
    const int64_t ttl = body.value("ttl_ms", int64_t{-1});
    if (model_.Import(body["id"], body.value("kv_tokens", int64_t{0}),
                      ttl < 0 ? -1 : MonotonicMs() + ttl)) {
      SendJson(response, 200, nlohmann::json::object());
    } else {
      SendError(response, 503, "overloaded", "no KV memory for the import");
    }
  }
}

//==============================================================================
// Readers

void Engine::Attach(const std::string& id, const HttpResponsePtr& response,
                    bool streaming, int64_t offset) {
  BatchStream* stream = model_.Find(id);
  if (auto old = readers_.find(id); old != readers_.end()) {
    // Aborting a response may call Detach() synchronously, which erases the
    // reader.
    const HttpResponsePtr former = old->second.response;
    readers_.erase(old);
    former->Abort();
  }
  const uint64_t reader_id = ++last_reader_id_;
  readers_[id] = Reader{response, streaming, offset, reader_id};
  stream->unclaimed_since_ms = -1;
  if (streaming) response->Begin(200, {{"content-type", "text/event-stream"}});
  response->OnClosed([this, id, reader_id] { Detach(id, reader_id); });
  SendTokens(id);
}

void Engine::Detach(const std::string& id, uint64_t reader) {
  auto it = readers_.find(id);
  if (it == readers_.end() || it->second.reader_id != reader) return;
  readers_.erase(it);
  if (BatchStream* stream = model_.Find(id)) {
    stream->unclaimed_since_ms = MonotonicMs();
  }
}

void Engine::SendTokens(const std::string& id) {
  auto it = readers_.find(id);
  BatchStream* stream = model_.Find(id);
  if (it == readers_.end() || stream == nullptr) return;
  const bool done = stream->phase == BatchStream::Phase::kDone;
  // A write to a closed connection may call Detach() synchronously, which
  // erases the reader. So the map entry is updated before the write and not
  // used after.
  Reader reader = it->second;
  if (done) {
    readers_.erase(it);
    stream->unclaimed_since_ms = MonotonicMs();
  } else {
    it->second.next_offset = std::max(reader.next_offset, stream->generated);
  }
  if (reader.streaming) {
    const std::string head =
        "data: {\"id\":" + nlohmann::json(id).dump() + ",\"offset\":";
    std::string events;
    for (; reader.next_offset < stream->generated; ++reader.next_offset) {
      events += head + std::to_string(reader.next_offset) +
                ",\"choices\":[{\"index\":0,\"text\":\"" +
                TokenText(stream->answer_seed, reader.next_offset) +
                "\"}]}\n\n";
    }
    if (done) events += "data: [DONE]\n\n";
    if (!events.empty()) reader.response->Write(std::move(events), nullptr);
    if (done) reader.response->End();
  } else if (done) {
    SendCompletion(*stream, reader);
  }
}

void Engine::SendCompletion(const BatchStream& stream, const Reader& reader) {
  const BatchRequest& request = stream.request;
  SendJson(reader.response, 200,
           {{"id", request.id},
            {"model", options_.model},
            {"choices",
             {{{"index", 0},
               {"text", AnswerText(stream.answer_seed, stream.generated)},
               {"finish_reason", "length"}}}},
            {"usage",
             {{"prompt_tokens", request.prompt_tokens},
              {"completion_tokens", stream.generated},
              {"total_tokens", request.prompt_tokens + stream.generated}}}});
}

void Engine::Cancel(const std::string& id) {
  if (auto it = readers_.find(id); it != readers_.end()) {
    const HttpResponsePtr response = it->second.response;
    readers_.erase(it);
    response->Abort();
  }
  model_.Remove(id);
}

//==============================================================================
// Steps and timers

void Engine::ScheduleStep() {
  if (step_pending_ || down_ || frozen_ || !model_.HasWork()) return;
  step_pending_ = true;
  const std::chrono::microseconds duration(
      std::max<int64_t>(50, model_.BeginStep()));
  const auto now = std::chrono::steady_clock::now();
  next_step_ =
      (idle_ ? now : std::max(next_step_, now - kMaxCatchUp)) + duration;
  idle_ = false;
  step_timer_.expires_at(next_step_);
  step_timer_.async_wait(
      [this, generation = generation_](const asio::error_code& error) {
        if (error || generation != generation_) return;
        step_pending_ = false;
        if (!frozen_) FinishStep();
      });
}

void Engine::FinishStep() {
  const auto result = model_.EndStep(MonotonicMs());
  if (result.crashed) {
    ++counters_["prompt_crashes"];
    Crash(options_.restart_ms);
    return;
  }
  for (const auto& id : result.advanced) SendTokens(id);
  idle_ = !model_.HasWork();
  ScheduleStep();
}

void Engine::Tick() {
  if (!frozen_ && !down_) {
    snapshots_.push_back(TakeSnapshot());
    const int64_t oldest = MonotonicMs() - options_.report_lag_ms - 1'500;
    while (snapshots_.size() > 2 && snapshots_.front().at_ms < oldest) {
      snapshots_.pop_front();
    }
    for (const auto& id : model_.Expire(MonotonicMs())) {
      ++counters_["dropped_unclaimed"];
      readers_.erase(id);
    }
  }
  RunAfter(context_, kTickPeriod, [this] { Tick(); });
}

}  // namespace zr
