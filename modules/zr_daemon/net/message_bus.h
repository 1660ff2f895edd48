#pragma once

#include <functional>
#include <memory>

#include "zr_daemon/node_context.h"
#include "zr_peer/zr_peer.h"
#include "zr_wire/zr_wire.h"

namespace zr {

/** Sends messages to VMs, including this one, and decodes received messages. */
class MessageBus : public PeerLinks::Listener {
 public:
  using Receiver = std::function<void(const VmId& from, Message message)>;

  explicit MessageBus(NodeContext& context) : context_(context) {}
  MessageBus(const MessageBus&) = delete;
  MessageBus& operator=(const MessageBus&) = delete;

  /** Sets the links and the receiver of messages; call before traffic starts.
   */
  void Connect(std::shared_ptr<PeerLinks> links, Receiver receiver);

  /** @returns false if there is no link to the VM */
  bool Send(const VmId& to, const Message& message);
  /** Called with the VM if Send() fails because there is no link; set before
   * traffic starts. */
  std::function<void(const VmId&)> on_send_failed;
  /** Sends a message to every connected VM and to this one. */
  void Broadcast(const Message& message);

 private:
  void OnPeerUp(const VmId& vm, Incarnation incarnation) override;
  void OnPeerDown(const VmId& vm) override;
  void OnPeerMessage(const VmId& vm, std::string_view payload) override;
  void OnLinksRefused(const char* reason, uint64_t count) override;

  NodeContext& context_;
  std::shared_ptr<PeerLinks> links_;
  Receiver receiver_;
};

}  // namespace zr
