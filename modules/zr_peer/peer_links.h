#pragma once

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "zr_base/zr_base.h"
#include "zr_peer/frame_authenticator.h"
#include "zr_peer/websocket/websocket_transport.h"

namespace zr {

struct PeerOptions {
  VmId self;
  Incarnation incarnation;
  std::string listen_address;  // "ip:port"
  std::string key;             // shared by all VMs of an environment
  size_t max_message_bytes = (1 << 20) + 1024;
  size_t max_buffered_bytes =
      4 << 20;  // a link whose peer reads too slowly is closed
  Duration redial_period = Duration::Milliseconds(250);
  /** Of incoming links until the peer has proved that it knows the key. */
  size_t max_unproved_links = 64;
  Duration proof_timeout = Duration::Seconds(5);
};

/**
 * Maintains authenticated links to a set of addresses and to VMs that connect
 * to this one. Of two links between the same VMs, the one dialled by the VM
 * with the lower name is kept. Must outlive the threads of the io_context,
 * because pending websocketpp handlers refer to it.
 */
class PeerLinks : public WebsocketTransport::Listener,
                  public std::enable_shared_from_this<PeerLinks> {
 public:
  /** Receives events and messages of authenticated peers. */
  class Listener {
   public:
    virtual ~Listener() = default;
    virtual void OnPeerUp(const VmId& vm, Incarnation incarnation) = 0;
    virtual void OnPeerDown(const VmId& vm) = 0;
    virtual void OnPeerMessage(const VmId& vm, std::string_view payload) = 0;
    /** Incoming links ended without a proof; called now and then.
     * @param reason  displaced, overdue or failed */
    virtual void OnLinksRefused(const char* reason, uint64_t count) = 0;
  };

  //============================================================================
  // Creation

  static Result<std::shared_ptr<PeerLinks>> Start(
      asio::io_context& context, PeerOptions options,
      std::weak_ptr<Listener> listener);
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;
  void Stop();

  //============================================================================
  // Use

  /**
   * Sets the addresses ("ip:port") to keep links to; the address of this VM is
   * skipped.
   */
  void SetTargets(std::set<std::string> addresses);
  /** Sets the key of links that are opened from now on. */
  void SetKey(const std::string& key);
  /** @returns false if there is no authenticated link to the VM */
  bool Send(const VmId& vm, std::string_view payload);
  /**
   * Closes the link to a VM that no longer responds; it is dialled again if it
   * is a target.
   */
  void Disconnect(const VmId& vm);

  //============================================================================
  // Queries

  std::vector<VmId> Connected() const;
  /** Number of incoming links without a proof. */
  size_t unproved() const;
  /** Number of handshakes and frames that failed authentication. */
  uint64_t rejected() const;
  /** Bytes of data frames sent and received on authenticated links. */
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

 private:
  struct Link {
    explicit Link(FrameAuthenticator authenticator)
        : auth(std::move(authenticator)) {}
    FrameAuthenticator auth;
    bool outgoing = false;
    std::string address;  // dialled address, empty for incoming links
  };
  using LinkId = WebsocketTransport::LinkId;

  PeerLinks(asio::io_context& context, PeerOptions options,
            std::weak_ptr<Listener> listener);

  void OnOpen(LinkId link, bool outgoing) override;
  void OnMessage(LinkId link, const std::string& payload) override;
  void OnClosed(LinkId link, const std::string& reason) override;

  bool OnHandshake(LinkId link, const std::string& payload);
  void ScheduleDial();
  void DialMissing();
  void ReportRefusals();
  bool AddressLinked(const std::string& address) const;
  /**
   * Decides between two links to the same VM; returns the one to close, or 0.
   */
  LinkId ChooseLinkToClose(const VmId& vm, LinkId added) const;

  PeerOptions options_;
  std::weak_ptr<Listener> listener_;
  std::shared_ptr<WebsocketTransport> transport_;
  asio::steady_timer timer_;

  mutable std::mutex mutex_;
  std::map<LinkId, Link> links_;
  std::map<VmId, LinkId> by_vm_;
  std::map<VmId, std::string> address_of_;
  std::set<std::string> targets_;
  uint64_t rejected_ = 0;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
  bool stopped_ = false;
  TimePoint refusals_reported_;
};

}  // namespace zr
