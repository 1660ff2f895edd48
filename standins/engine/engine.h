#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "standins/common/host.h"
#include "standins/engine/batch_model.h"
#include "standins/engine/engine_options.h"
#include "zr_base/zr_base.h"

namespace zr {

/** The model engine stand-in: serves the batch model over the engine protocol.
 * Not thread-safe; runs on one io_context thread. */
class Engine {
 public:
  /** @param client  used to load from the platform's weight store; may be null
   */
  static Result<std::unique_ptr<Engine>> Start(
      asio::io_context& context, EngineOptions options,
      std::shared_ptr<HttpClient> client);

  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  //============================================================================
  // Fault port

  /**
   * Applies a fault: crash (query restart_ms), kill, start, freeze, unfreeze,
   * cold (query boot=0|1), warm, slow (query factor), leave, unleave, refuse,
   * accept, break_streams.
   * @returns false for an unknown fault
   */
  bool ApplyFault(const std::string& fault, const HttpRequest& request);
  /** State and counters for GET /fault/state. */
  nlohmann::json State() const;
  const std::string& name() const { return options_.name; }

 private:
  /** A connection that receives a stream. */
  struct Reader {
    HttpResponsePtr response;
    bool streaming = true;
    int64_t next_offset = 0;  // of the token to send next
    uint64_t reader_id = 0;
  };
  /** State that a load report shows. */
  struct LoadSnapshot {
    int64_t at_ms = 0;
    int64_t wall_ms = 0;
    uint64_t boot = 0;
    int64_t sequence = 0;
    int64_t kv_used = 0;
    size_t running = 0;
    size_t waiting = 0;
    int64_t tokens = 0;
    bool leaving = false;
  };
  struct CacheEvent {
    int64_t at_ms = 0;
    int64_t sequence = 0;
    bool inserted = false;
    uint64_t hash = 0;
  };

  Engine(asio::io_context& context, EngineOptions options,
         std::shared_ptr<HttpClient> client);

  Result<void> Listen();
  void Handle(const HttpRequest& request, const HttpResponsePtr& response);
  void HandleEnginePath(const HttpRequest& request,
                        const HttpResponsePtr& response,
                        const std::vector<std::string>& path);
  void HandleCompletion(const HttpRequest& request,
                        const HttpResponsePtr& response);
  void HandleHold(const HttpRequest& request, const HttpResponsePtr& response,
                  const std::vector<std::string>& path);
  void HandleOrder(const HttpRequest& request, const HttpResponsePtr& response);
  void ApplyOrder(const std::string& kind, const std::string& name);
  void Attach(const std::string& id, const HttpResponsePtr& response,
              bool streaming, int64_t offset);
  void Detach(const std::string& id, uint64_t reader);
  void SendTokens(const std::string& id);
  void SendCompletion(const BatchStream& stream, const Reader& reader);
  void Cancel(const std::string& id);
  void RecordStart(const std::string& id);

  void ScheduleStep();
  void FinishStep();
  void Tick();
  void Crash(int64_t restart_ms);
  void Restart();
  void Unfreeze();

  LoadSnapshot TakeSnapshot();
  nlohmann::json LoadReport();
  nlohmann::json StreamList() const;
  nlohmann::json CacheEvents(int64_t after) const;

  asio::io_context& context_;
  EngineOptions options_;
  std::shared_ptr<HttpClient> client_;
  Random random_;
  BatchModel model_;
  std::unique_ptr<HttpServer> server_;

  std::map<std::string, Reader> readers_;
  uint64_t last_reader_id_ = 0;
  asio::steady_timer step_timer_;
  bool step_pending_ = false;
  bool idle_ = true;
  std::chrono::steady_clock::time_point next_step_;
  uint64_t generation_ =
      0;  // incremented by every crash, which makes older timers no-ops

  std::deque<LoadSnapshot> snapshots_;
  int64_t snapshot_sequence_ = 0;
  std::deque<CacheEvent> cache_events_;
  int64_t cache_sequence_ = 0;

  bool down_ = false;
  bool frozen_ = false;
  bool refusing_ = false;
  bool leaving_ = false;
  int64_t leaving_since_ms_ = 0;
  std::vector<std::pair<HttpRequest, HttpResponsePtr>> frozen_requests_;

  std::string served_version_ = "v1";
  std::string role_ = "generate";
  std::vector<std::string> adapters_;
  std::string loading_model_;
  int64_t fencing_token_ = 0;

  std::map<std::string, int64_t> runs_;  // by request id
  std::map<std::string, int64_t> counters_;
  int64_t last_new_work_ms_ = 0;
};

}  // namespace zr
