#pragma once

#include <string>
#include <utility>
#include <vector>

#include "zr_base/zr_base.h"

namespace zr {

/** A call to the operator port. */
struct HttpCall {
  std::string method;
  std::string path;  // percent-encoded
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

struct HttpReply {
  int status = 0;
  std::string body;
};

/** Carries calls to a daemon's operator port. */
class Transport {
 public:
  Transport() = default;
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;
  virtual ~Transport() = default;

  /**
   * Sends a call and waits for the answer.
   *
   * @return kUnavailable if no connection was made; kUnknownOutcome if the
   *   call may have reached the daemon and no complete answer came back
   */
  virtual Result<HttpReply> Send(const HttpCall& call) = 0;
};

}  // namespace zr
