#pragma once

#include <asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>

#include "standins/common/host.h"
#include "zr_base/zr_base.h"

namespace zr {

struct EngineOptions {
  std::string name;
  std::string listen;  // "ip:port"
  std::string model;
  int64_t kv_capacity = 200'000;  // tokens
  double prefill_tps = 20'000;    // prompt tokens a second
  double decode_tps = 50;         // answer tokens a second of one stream
  double time_scale = 1;          // speeds everything up
  int max_requests = 64;
  uint64_t boot = 1;
};

/** A model engine stand-in with one stream list. One io_context thread. */
class Engine {
 public:
  static Result<std::unique_ptr<Engine>> Start(asio::io_context& context, EngineOptions options);

  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  bool ApplyFault(const std::string& fault, const HttpRequest& request);
  nlohmann::json State() const;
  const std::string& name() const { return options_.name; }

 private:
  struct Stream {
    std::string id;
    std::string prompt;
    int64_t max_tokens = 0;
    int64_t kv_tokens = 0;
    int64_t offset = 0;
    HttpResponsePtr response;
    bool closed = false;
  };

  Engine(asio::io_context& context, EngineOptions options);
  void Handle(const HttpRequest& request, const HttpResponsePtr& response);
  void Complete(const HttpRequest& request, const HttpResponsePtr& response);
  void Step(const std::shared_ptr<Stream>& stream);
  void Finish(const std::shared_ptr<Stream>& stream);
  nlohmann::json Load();
  nlohmann::json Streams() const;

  asio::io_context& context_;
  EngineOptions options_;
  std::map<std::string, std::shared_ptr<Stream>> streams_;
  std::map<std::string, int64_t> runs_;
  int64_t kv_used_ = 0;
  int64_t sequence_ = 0;
  bool leaving_ = false;
  std::unique_ptr<HttpServer> server_;
};

}  // namespace zr
