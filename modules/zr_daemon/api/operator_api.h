#pragma once

#include <functional>
#include <memory>
#include <string>

#include "zr_daemon/control/cluster_state.h"
#include "zr_daemon/node_context.h"

namespace zr {

/** The HTTP interface for operators. Any thread may call Handle(). */
class OperatorApi {
 public:
  /** @param written  told of documents that this VM wrote */
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
  void ChangeDrain(const HttpRequest& request, HttpResponsePtr response,
                   const std::vector<std::string>& path);
  void ShowOperation(HttpResponsePtr response,
                     const std::vector<std::string>& path);

  /** Writes a document over the given version; the answer follows the store's.
   */
  void Write(std::string document, ObjectVersion expected, std::string author,
             HttpResponsePtr response);
  void OnWriteUnknown(std::string document, ObjectVersion expected,
                      HttpResponsePtr response);
  void SendConflict(HttpResponsePtr response);

  NodeContext& context_;
  std::function<void(ConfigOffer)> on_written_;
};

}  // namespace zr
