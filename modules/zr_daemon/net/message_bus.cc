#include "zr_daemon/net/message_bus.h"

#include <span>
#include <utility>

namespace zr {

void MessageBus::Connect(std::shared_ptr<PeerLinks> links, Receiver receiver) {
  links_ = std::move(links);
  receiver_ = std::move(receiver);
}

bool MessageBus::Send(const VmId& to, const Message& message) {
  if (to == context_.settings.vm) {
    asio::post(context_.io, [this, to, message] { receiver_(to, message); });
    return true;
  }
  const std::vector<uint8_t> frame = EncodeMessage(message);
  if (links_->Send(to,
                   std::string_view(reinterpret_cast<const char*>(frame.data()),
                                    frame.size()))) {
    return true;
  }
  if (on_send_failed) on_send_failed(to);
  return false;
}

void MessageBus::Broadcast(const Message& message) {
  for (const VmId& vm : links_->Connected()) Send(vm, message);
  Send(context_.settings.vm, message);
}

void MessageBus::OnPeerUp(const VmId& vm, Incarnation /*incarnation*/) {
  Log(LogLevel::kDebug, "peer", "Link to " + vm.value() + " is up.");
}

void MessageBus::OnPeerDown(const VmId& vm) {
  Log(LogLevel::kDebug, "peer", "Link to " + vm.value() + " is down.");
}

void MessageBus::OnLinksRefused(const char* reason, uint64_t count) {
  context_.metrics.Count("zr_link_refusals_total", {{"reason", reason}},
                         static_cast<double>(count));
  Log(LogLevel::kWarning, "links_refused",
      std::to_string(count) + " links ended without a proof of the key (" +
          reason + ").");
}

void MessageBus::OnPeerMessage(const VmId& vm, std::string_view payload) {
  auto message = DecodeMessage(std::span(
      reinterpret_cast<const uint8_t*>(payload.data()), payload.size()));
  if (!message) {
    context_.metrics.Count("zr_peer_bad_frames_total", {{"vm", vm.value()}});
    Log(LogLevel::kWarning, "peer", message.error());
    return;
  }
  receiver_(vm, std::move(*message));
}

}  // namespace zr
