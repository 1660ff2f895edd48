#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "zr_base/zr_base.h"

namespace zr {

/**
 * Connects other VMs to endpoints that they can't reach themselves. Speaks
 * SOCKS 4, of which libcurl is the client; the user name says who asks and for
 * which endpoint, the address in the request is ignored. A tunnel only passes
 * bytes on and ends at an endpoint, so it can't lead through a further VM.
 *
 * The loss of either end resets the other, so that an answer which ends with
 * its connection is not taken for whole.
 */
class TunnelServer {
 public:
  /** Decides on tunnels and learns what became of them. */
  class Listener {
   public:
    virtual ~Listener() = default;
    /** @returns the endpoint's address, "ip:port"; std::nullopt to refuse */
    virtual std::optional<std::string> OnTunnelRequest(
        const std::string& user) = 0;
    /** The endpoint was reached, or not. */
    virtual void OnTunnelConnected(const std::string& user, bool connected) = 0;
  };

  /** @param listener  outlives the server
   *  @returns an error if the address can't be bound */
  static Result<std::unique_ptr<TunnelServer>> Start(asio::io_context& io,
                                                     const std::string& address,
                                                     Listener& listener);
  ~TunnelServer();
  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;

  /** Number of tunnels. */
  size_t active() const { return tunnels_.size(); }
  /** Resets all tunnels and takes no more. */
  void Stop();

 private:
  class Tunnel;

  TunnelServer(asio::io_context& io, Listener& listener);
  void Accept();

  asio::io_context& io_;
  Listener& listener_;
  asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Tunnel>> tunnels_;
  bool stopped_ = false;
};

}  // namespace zr
