#include "zr_peer/websocket/websocket_transport.h"

#include <asio/post.hpp>
#include <chrono>
#include <list>
#include <map>
#include <mutex>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "zr_peer/websocket/limited_socket.h"

namespace zr {
namespace {

/** A configuration of websocketpp, with limited sockets. */
template <typename Base>
struct LimitedConfig : Base {
  using type = LimitedConfig<Base>;
  // NOLINTNEXTLINE(readability-identifier-naming): websocketpp's name
  struct transport_config : Base::transport_config {
    using socket_type = LimitedSocketEndpoint;
  };
  using transport_type =
      websocketpp::transport::asio::endpoint<transport_config>;
};

using Server = websocketpp::server<LimitedConfig<websocketpp::config::asio>>;
using Client =
    websocketpp::client<LimitedConfig<websocketpp::config::asio_client>>;
using ConnectionHandle = websocketpp::connection_hdl;
using Clock = std::chrono::steady_clock;

// NOLINTBEGIN(google-runtime-int): websocketpp's type
constexpr long kOpenTimeoutMs = 2000;
constexpr long kCloseTimeoutMs = 500;
// NOLINTEND(google-runtime-int)

class Transport final : public WebsocketTransport,
                        public std::enable_shared_from_this<Transport> {
 public:
  Transport(size_t max_message_bytes, UnprovedLinkLimits limits,
            std::weak_ptr<Listener> listener)
      : max_message_bytes_(max_message_bytes),
        limits_(limits),
        listener_(std::move(listener)) {}

  bool Open(asio::io_context& context, const std::string& ip, uint16_t port,
            std::string* error) {
    websocketpp::lib::error_code code;
    SetUp(server_, context, code);
    if (!code) SetUp(client_, context, code);
    if (!code) {
      server_.set_reuse_addr(true);
      server_.set_max_http_body_size(0);
      server_.listen(ip, std::to_string(port), code);
    }
    if (!code) server_.start_accept(code);
    if (code) *error = code.message();
    return !code;
  }

  LinkId Connect(const std::string& ip, uint16_t port) override {
    const LinkId link = NextId();
    websocketpp::lib::error_code code;
    auto connection = client_.get_connection(
        "ws://" + ip + ":" + std::to_string(port) + "/peer", code);
    if (code) {
      NotifyClosed(link, code.message());
      return link;
    }
    {
      std::lock_guard<std::mutex> lock(mutex_);
      links_[link] = Link{connection->get_handle(), true};
      ids_[connection->get_handle()] = link;
    }
    client_.connect(connection);
    return link;
  }

  void Send(LinkId link, const std::string& payload,
            size_t max_buffered) override {
    Link found;
    if (!Find(link, &found)) return;
    if (found.outgoing) {
      SendOn(client_, link, found.handle, payload, max_buffered);
    } else {
      SendOn(server_, link, found.handle, payload, max_buffered);
    }
  }

  void Close(LinkId link, const std::string& reason) override {
    Link found;
    if (!Find(link, &found)) return;
    websocketpp::lib::error_code code;
    const auto status = websocketpp::close::status::normal;
    if (found.outgoing) {
      client_.close(found.handle, status, reason, code);
    } else {
      server_.close(found.handle, status, reason, code);
    }
  }

  void Admit(LinkId link) override {
    Link found;
    if (!Find(link, &found)) return;
    if (found.outgoing) {
      LiftLimits(client_, found.handle);
    } else {
      LiftLimits(server_, found.handle);
      std::lock_guard<std::mutex> lock(mutex_);
      EraseUnproved(found.handle);
    }
  }

  void CloseOverdue() override {
    const auto limit =
        Clock::now() - std::chrono::milliseconds(limits_.timeout_ms);
    std::vector<ConnectionHandle> overdue;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      while (!unproved_.empty() && unproved_.front().since < limit) {
        overdue.push_back(EraseOldestUnproved());
        ++refusals_.overdue;
      }
    }
    for (const auto& handle : overdue) Terminate(handle);
  }

  size_t unproved() const override {
    std::lock_guard<std::mutex> lock(mutex_);
    return unproved_.size();
  }

  LinkRefusals TakeRefusals() override {
    std::lock_guard<std::mutex> lock(mutex_);
    return std::exchange(refusals_, LinkRefusals{});
  }

  void Stop() override {
    websocketpp::lib::error_code code;
    if (server_.is_listening()) server_.stop_listening(code);
    std::map<LinkId, Link> links;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      links = links_;
    }
    for (const auto& entry : links) Close(entry.first, "stopping");
  }

 private:
  struct Link {
    ConnectionHandle handle;
    bool outgoing = false;
  };
  struct UnprovedLink {
    ConnectionHandle handle;
    Clock::time_point since;
  };
  using UnprovedLinks = std::list<UnprovedLink>;

  template <typename E>
  void SetUp(E& endpoint, asio::io_context& context,
             websocketpp::lib::error_code& code) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context, code);
    if (code) return;
    endpoint.set_max_message_size(limits_.max_bytes);
    endpoint.set_open_handshake_timeout(kOpenTimeoutMs);
    endpoint.set_close_handshake_timeout(kCloseTimeoutMs);
    std::weak_ptr<Transport> weak = shared_from_this();
    const bool outgoing = std::is_same<E, Client>::value;
    endpoint.set_tcp_pre_init_handler(
        [weak, outgoing, &endpoint](ConnectionHandle handle) {
          auto self = weak.lock();
          if (!self) return;
          endpoint.get_con_from_hdl(handle)->get_socket().SetAllowance(
              self->limits_.max_bytes);
          if (!outgoing) self->HandleAccepted(handle);
        });
    endpoint.set_open_handler(
        [weak, outgoing, &endpoint](ConnectionHandle handle) {
          asio::error_code ignored;
          endpoint.get_con_from_hdl(handle)->get_raw_socket().set_option(
              asio::ip::tcp::no_delay(true), ignored);
          if (auto self = weak.lock()) self->HandleOpen(handle, outgoing);
        });
    endpoint.set_message_handler(
        [weak](ConnectionHandle handle, const auto& message) {
          auto self = weak.lock();
          if (!self) return;
          const LinkId link = self->IdOf(handle);
          auto listener = self->listener_.lock();
          if (link != 0 && listener) {
            listener->OnMessage(link, message->get_payload());
          }
        });
    endpoint.set_close_handler([weak, &endpoint](ConnectionHandle handle) {
      HandleClosed(weak, endpoint, std::move(handle));
    });
    endpoint.set_fail_handler([weak, &endpoint](ConnectionHandle handle) {
      HandleClosed(weak, endpoint, std::move(handle));
    });
  }

  template <typename E>
  static void HandleClosed(const std::weak_ptr<Transport>& weak, E& endpoint,
                           ConnectionHandle handle) {
    auto self = weak.lock();
    if (!self) return;
    auto connection = endpoint.get_con_from_hdl(handle);
    {
      std::lock_guard<std::mutex> lock(self->mutex_);
      if (self->EraseUnproved(handle)) ++self->refusals_.failed;
    }
    const LinkId link = self->RemoveLink(handle);
    if (link != 0) self->NotifyClosed(link, connection->get_ec().message());
  }

  template <typename E>
  void SendOn(E& endpoint, LinkId link, const ConnectionHandle& handle,
              const std::string& payload, size_t max_buffered) {
    websocketpp::lib::error_code code;
    auto connection = endpoint.get_con_from_hdl(handle, code);
    if (code) return;
    if (connection->get_buffered_amount() > max_buffered) {
      Close(link, "send buffer is full");
      return;
    }
    endpoint.send(handle, payload, websocketpp::frame::opcode::binary, code);
  }

  void HandleOpen(const ConnectionHandle& handle, bool outgoing) {
    LinkId link = IdOf(handle);
    if (link == 0) {
      link = NextId();
      std::lock_guard<std::mutex> lock(mutex_);
      links_[link] = Link{handle, outgoing};
      ids_[handle] = link;
    }
    if (auto listener = listener_.lock()) listener->OnOpen(link, outgoing);
  }

  //============================================================================
  // Links without a proof

  void HandleAccepted(const ConnectionHandle& handle) {
    std::vector<ConnectionHandle> displaced;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      // The handshake of a VM takes few round trips, so that the oldest link is
      // the least likely to be a VM's.
      while (!unproved_.empty() && unproved_.size() >= limits_.max_links) {
        displaced.push_back(EraseOldestUnproved());
        ++refusals_.displaced;
      }
      unproved_by_handle_[handle] =
          unproved_.insert(unproved_.end(), {handle, Clock::now()});
    }
    for (const auto& oldest : displaced) Terminate(oldest);
  }

  // The mutex must be held for the following two.

  bool EraseUnproved(const ConnectionHandle& handle) {
    auto it = unproved_by_handle_.find(handle);
    if (it == unproved_by_handle_.end()) return false;
    unproved_.erase(it->second);
    unproved_by_handle_.erase(it);
    return true;
  }

  ConnectionHandle EraseOldestUnproved() {
    ConnectionHandle oldest = unproved_.front().handle;
    EraseUnproved(oldest);
    return oldest;
  }

  /** Ends an incoming connection in any state, without a closing handshake. */
  void Terminate(const ConnectionHandle& handle) {
    websocketpp::lib::error_code code;
    auto connection = server_.get_con_from_hdl(handle, code);
    if (code) return;
    asio::post(*connection->get_strand(), [connection] {
      connection->terminate(websocketpp::error::make_error_code(
          websocketpp::error::open_handshake_timeout));
    });
  }

  template <typename E>
  void LiftLimits(E& endpoint, const ConnectionHandle& handle) {
    websocketpp::lib::error_code code;
    auto connection = endpoint.get_con_from_hdl(handle, code);
    if (code) return;
    connection->get_socket().SetAllowance(LimitedStream::kUnlimited);
    connection->set_max_message_size(max_message_bytes_);
  }

  //============================================================================
  // Ids of links

  LinkId IdOf(const ConnectionHandle& handle) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto it = ids_.find(handle);
    return it == ids_.end() ? 0 : it->second;
  }

  LinkId RemoveLink(const ConnectionHandle& handle) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto it = ids_.find(handle);
    if (it == ids_.end()) return 0;
    const LinkId link = it->second;
    ids_.erase(it);
    links_.erase(link);
    return link;
  }

  bool Find(LinkId link, Link* found) {
    std::lock_guard<std::mutex> lock(mutex_);
    auto it = links_.find(link);
    if (it == links_.end()) return false;
    *found = it->second;
    return true;
  }

  LinkId NextId() {
    std::lock_guard<std::mutex> lock(mutex_);
    return ++last_id_;
  }

  void NotifyClosed(LinkId link, const std::string& reason) {
    if (auto listener = listener_.lock()) listener->OnClosed(link, reason);
  }

  const size_t max_message_bytes_;
  const UnprovedLinkLimits limits_;
  std::weak_ptr<Listener> listener_;
  Server server_;
  Client client_;
  mutable std::mutex mutex_;
  LinkId last_id_ = 0;
  std::map<LinkId, Link> links_;
  std::map<ConnectionHandle, LinkId, std::owner_less<ConnectionHandle>> ids_;
  UnprovedLinks unproved_;  // incoming, in the order of their connections
  std::map<ConnectionHandle, UnprovedLinks::iterator,
           std::owner_less<ConnectionHandle>>
      unproved_by_handle_;
  LinkRefusals refusals_;
};

}  // namespace

std::shared_ptr<WebsocketTransport> WebsocketTransport::Create(
    asio::io_context& context, const std::string& listen_ip, uint16_t port,
    size_t max_message_bytes, UnprovedLinkLimits limits,
    std::weak_ptr<Listener> listener, std::string* error) {
  auto transport = std::make_shared<Transport>(max_message_bytes, limits,
                                               std::move(listener));
  if (!transport->Open(context, listen_ip, port, error)) return nullptr;
  return transport;
}

}  // namespace zr
