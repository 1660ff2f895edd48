#pragma once

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/strand.hpp>
#include <chrono>
#include <memory>

#include "zr_config/zr_config.h"
#include "zr_http/zr_http.h"
#include "zr_platform/zr_platform.h"
#include "zr_telemetry/zr_telemetry.h"

namespace zr {

class ClusterState;
class EndpointTable;
class GatherTable;
class HeldGrantRegistry;
class MessageBus;
class OperationTable;
class RequestTable;
class RouteSelector;
class StreamLocator;
class SuspectRegistry;
class TeamGate;

using Strand = asio::strand<asio::io_context::executor_type>;

/** Monotonic time of the process. */
inline TimePoint SteadyNow() {
  return TimePoint::FromMicroseconds(
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count());
}

/** Wall-clock time in milliseconds since 1970. */
inline int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/** Objects shared by the components of a daemon. Owned by Node, which outlives
 * all components. */
struct NodeContext {
  asio::io_context& io;
  const Settings& settings;
  Incarnation incarnation;
  Metrics& metrics;
  std::shared_ptr<HttpClient> http;
  std::shared_ptr<ObjectStore> store;
  ClusterState* cluster = nullptr;
  MessageBus* bus = nullptr;
  EndpointTable* endpoints = nullptr;
  RequestTable* requests = nullptr;
  OperationTable* operations = nullptr;
  RouteSelector* selector = nullptr;
  HeldGrantRegistry* held_grants = nullptr;
  StreamLocator* locator = nullptr;
  SuspectRegistry* suspects = nullptr;
  GatherTable* gathers = nullptr;
  TeamGate* teams = nullptr;
};

}  // namespace zr
