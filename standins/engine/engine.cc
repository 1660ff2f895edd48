#include "standins/engine/engine.h"

#include "standins/common/token_text.h"

namespace zr {

Engine::Engine(asio::io_context& context, EngineOptions options)
    : context_(context), options_(std::move(options)) {}

Result<std::unique_ptr<Engine>> Engine::Start(asio::io_context& context, EngineOptions options) {
  std::unique_ptr<Engine> self(new Engine(context, std::move(options)));
  HttpServerOptions server_options;
  server_options.address = self->options_.listen;
  auto server = HttpServer::Start(
      context, server_options,
      [raw = self.get()](const HttpRequest& request, const HttpResponsePtr& response) {
        raw->Handle(request, response);
      });
  if (!server) return tl::unexpected(server.error());
  self->server_ = std::move(*server);
  return self;
}

void Engine::Handle(const HttpRequest& request, const HttpResponsePtr& response) {
  const auto path = PathSegments(request.path);
  if (request.path == "/v1/completions") {
    Complete(request, response);
  } else if (request.path == "/engine/load") {
    SendJson(response, 200, Load());
  } else if (request.path == "/engine/streams") {
    SendJson(response, 200, Streams());
  } else if (request.path == "/engine/cache_events") {
    SendJson(response, 200, {{"boot", options_.boot}, {"events", nlohmann::json::array()}});
  } else if (path.size() == 3 && path[1] == "streams" && request.method == "DELETE") {
    if (auto it = streams_.find(path[2]); it != streams_.end()) Finish(it->second);
    SendJson(response, 200, nlohmann::json::object());
  } else {
    SendError(response, 404, "not_found", "unknown path " + request.path);
  }
}

void Engine::Complete(const HttpRequest& request, const HttpResponsePtr& response) {
  const auto body = ParseJson(request.body);
  if (!body.is_object()) {
    SendError(response, 400, "invalid_argument", "the body is no JSON object");
    return;
  }
  auto stream = std::make_shared<Stream>();
  stream->prompt = body.value("prompt", "");
  stream->max_tokens = body.value("max_tokens", int64_t{16});
  stream->id = body.value("stream_id", "anonymous-" + std::to_string(++sequence_));
  const int64_t prompt_tokens = body.value("prompt_tokens", PromptTokensOf(stream->prompt));
  stream->kv_tokens = prompt_tokens + stream->max_tokens;
  stream->response = response;
  if (static_cast<int>(streams_.size()) >= options_.max_requests ||
      kv_used_ + stream->kv_tokens > options_.kv_capacity) {
    SendError(response, 503, "overloaded", "no capacity");
    return;
  }
  kv_used_ += stream->kv_tokens;
  ++runs_[stream->id.substr(0, stream->id.find('#'))];
  streams_[stream->id] = stream;
  response->Begin(200, {{"content-type", "text/event-stream"}});
  response->OnClosed([weak = std::weak_ptr(stream)] {
    if (auto closed = weak.lock()) closed->closed = true;
  });
  const double seconds =
      static_cast<double>(prompt_tokens) / options_.prefill_tps / options_.time_scale;
  RunAfter(context_, Duration::Microseconds(static_cast<int64_t>(seconds * 1e6)),
           [this, stream] { Step(stream); });
}

void Engine::Step(const std::shared_ptr<Stream>& stream) {
  if (!streams_.contains(stream->id)) return;
  if (stream->closed) return Finish(stream);
  if (stream->offset == stream->max_tokens) {
    stream->response->Write("data: [DONE]\n\n", nullptr);
    stream->response->End();
    return Finish(stream);
  }
  const nlohmann::json event = {
      {"id", stream->id},
      {"offset", stream->offset},
      {"choices", {{{"index", 0}, {"text", TokenText(stream->prompt, stream->offset)}}}}};
  stream->response->Write("data: " + event.dump() + "\n\n", nullptr);
  ++stream->offset;
  const double seconds = 1.0 / options_.decode_tps / options_.time_scale;
  RunAfter(context_, Duration::Microseconds(static_cast<int64_t>(seconds * 1e6)),
           [this, stream] { Step(stream); });
}

void Engine::Finish(const std::shared_ptr<Stream>& stream) {
  if (streams_.erase(stream->id) == 0) return;
  kv_used_ -= stream->kv_tokens;
  stream->response.reset();
}

nlohmann::json Engine::Load() {
  return {{"boot", options_.boot},
          {"seq", ++sequence_},
          {"time_ms", WallClockMs()},
          {"kv_capacity", options_.kv_capacity},
          {"kv_used", kv_used_},
          {"running", streams_.size()},
          {"waiting", 0},
          {"model", options_.model},
          {"version", "v1"},
          {"adapters", nlohmann::json::array()},
          {"role", "generate"},
          {"leaving", leaving_},
          {"tokens_per_s", options_.decode_tps * static_cast<double>(streams_.size())}};
}

nlohmann::json Engine::Streams() const {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [id, stream] : streams_) {
    list.push_back({{"id", id},
                    {"kind", "stream"},
                    {"kv_tokens", stream->kv_tokens},
                    {"offset", stream->offset},
                    {"done", false}});
  }
  return {{"boot", options_.boot}, {"streams", std::move(list)}};
}

bool Engine::ApplyFault(const std::string& fault, const HttpRequest&) {
  if (fault != "leave" && fault != "unleave") return false;
  leaving_ = fault == "leave";
  return true;
}

nlohmann::json Engine::State() const {
  return {{"name", options_.name},
          {"boot", options_.boot},
          {"kv_used", kv_used_},
          {"running", streams_.size()},
          {"runs", runs_}};
}

}  // namespace zr
