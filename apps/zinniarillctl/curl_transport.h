#pragma once

#include <string>

#include "zinniarillctl/transport.h"

namespace zr {

/** Calls one daemon with libcurl; every call opens its own connection. */
class CurlTransport : public Transport {
 public:
  /**
   * @param server   "ip:port" of the operator port
   * @param token    bearer token
   * @param timeout  longest time of one call
   */
  CurlTransport(std::string server, std::string token, Duration timeout);
  ~CurlTransport() override;

  Result<HttpReply> Send(const HttpCall& call) override;

 private:
  std::string server_;
  std::string token_;
  Duration timeout_;
};

}  // namespace zr
