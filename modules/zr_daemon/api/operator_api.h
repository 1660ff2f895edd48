#pragma once

#include <functional>
#include <memory>
#include <string>

#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/node_context.h"

namespace zr {

/** HTTP API for operators. Handle() is thread-safe. */
class OperatorApi {
 public:
  /** @param on_written  called with each document that this VM has written */
  OperatorApi(NodeContext& context, std::function<void(ConfigOffer)> on_written)
      : context_(context), on_written_(std::move(on_written)) {}
  OperatorApi(const OperatorApi&) = delete;
  OperatorApi& operator=(const OperatorApi&) = delete;

  void Handle(HttpRequest request, HttpResponsePtr response);

 private:
  void GetConfig(HttpResponse& response) const;
  void PutConfig(const HttpRequest& request, HttpResponsePtr response);
  void Trial(const HttpRequest& request, HttpResponse& response) const;
  void Status(HttpResponse& response) const;
  void Endpoints(HttpResponse& response) const;
  /** Where a request that the query describes would go now. */
  void Explain(const HttpRequest& request, HttpResponse& response) const;
  void ChangeDrain(const HttpRequest& request, HttpResponsePtr response,
                   const std::vector<std::string>& path);
  void ShowOperation(HttpResponsePtr response,
                     const std::vector<std::string>& path);

  /** Replaces the given version by a document and answers with the result of
   * the store. */
  void Write(std::string document, ObjectVersion expected, std::string author,
             HttpResponsePtr response);
  void OnWriteUnknown(std::string document, ObjectVersion expected,
                      HttpResponsePtr response);
  void SendConflict(HttpResponsePtr response);

  NodeContext& context_;
  std::function<void(ConfigOffer)> on_written_;
};

}  // namespace zr
