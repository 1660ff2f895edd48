#include "zr_gateway_host/tunnel_server.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <chrono>
#include <utility>

#include "zr_http/zr_http.h"

namespace zr {
namespace {

using asio::ip::tcp;

constexpr size_t kBufferBytes = size_t{8} << 10;
// A request has 8 bytes and a user name.
constexpr size_t kHeadBytes = 8;
constexpr size_t kMaxRequestBytes = 512;
constexpr std::chrono::milliseconds kRequestTimeout(1000);
// Shorter than the time that the other VM has for the whole connection.
constexpr std::chrono::milliseconds kConnectTimeout(200);
// Codes of SOCKS 4.
constexpr uint8_t kSocksVersion = 4;
constexpr uint8_t kConnectCommand = 1;
constexpr uint8_t kGranted = 0x5A;
constexpr uint8_t kFailed = 0x5B;
// A peer that has vanished is noticed after two unanswered probes.
constexpr int kKeepAliveSeconds = 1;
constexpr int kKeepAliveProbes = 2;

void SetKeepAlive(tcp::socket& socket) {
  asio::error_code ignored;  // the options are best effort
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  const int fd = socket.native_handle();
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveSeconds, sizeof(int));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveSeconds, sizeof(int));
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes, sizeof(int));
}

/** Makes closing the socket, also by the process's end, reset its connection.
 */
void SetResetOnClose(tcp::socket& socket, bool reset) {
  asio::error_code ignored;  // best effort, as the socket may be closed
  socket.set_option(asio::socket_base::linger(reset, 0), ignored);
}

/** The peer has ended its side of the connection in order. After a reset, of
 * which a write took the error, a read sees the end of the bytes as well. */
bool EndedInOrder(tcp::socket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  return getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info,
                    &size) == 0 &&
         info.tcpi_state != TCP_CLOSE;
}

}  // namespace

class TunnelServer::Tunnel : public TunnelServer::BegunTunnel,
                             public std::enable_shared_from_this<Tunnel> {
 public:
  Tunnel(TunnelServer& server, tcp::socket caller)
      : server_(&server),
        caller_{std::move(caller), {}},
        endpoint_{tcp::socket(server.io_), {}},
        timer_(server.io_) {}

  void Start() {
    SetKeepAlive(caller_.socket);
    SetTimeout(kRequestTimeout);
    ReadRequest();
  }

  /** Ends both connections; the other sides see a reset. */
  void Reset() override {
    SetResetOnClose(caller_.socket, true);
    SetResetOnClose(endpoint_.socket, true);
    Close();
  }

 private:
  struct End {
    tcp::socket socket;
    std::array<char, kBufferBytes> buffer;
  };

  void SetTimeout(std::chrono::milliseconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this()](const asio::error_code& error) {
      if (error) return;
      auto self = weak.lock();
      // On a busy VM the time-out may already be due when the connection is
      // established.
      if (self && !self->established_) self->Refuse();
    });
  }

  void ReadRequest() {
    caller_.socket.async_read_some(
        asio::buffer(caller_.buffer),
        [self = shared_from_this()](const asio::error_code& error, size_t n) {
          if (self->closed_) return;
          if (error) return self->Reset();
          self->request_.append(self->caller_.buffer.data(), n);
          self->HandleRequest();
        });
  }

  void HandleRequest() {
    const size_t end = request_.size() > kHeadBytes
                           ? request_.find('\0', kHeadBytes)
                           : std::string::npos;
    if (end == std::string::npos) {
      return request_.size() > kMaxRequestBytes ? Reset() : ReadRequest();
    }
    // The caller sends nothing more before the reply.
    const bool valid = static_cast<uint8_t>(request_[0]) == kSocksVersion &&
                       static_cast<uint8_t>(request_[1]) == kConnectCommand &&
                       end + 1 == request_.size();
    if (!valid) return Reset();
    user_ = request_.substr(kHeadBytes, end - kHeadBytes);
    const auto address = server_->listener_.OnTunnelRequest(user_);
    const auto parsed =
        address ? ParseAddress(*address)
                : Fail(ErrorCode::kUnavailable, "tunnel", "", "refused");
    if (!parsed) return Refuse();
    if (!server_->HasRoom()) {
      server_->listener_.OnTooManyTunnels(user_);
      return Refuse();
    }
    unlink();  // from those that have begun
    Connect(parsed->first, parsed->second);
  }

  void Connect(const std::string& ip, uint16_t port) {
    asio::error_code error;
    const auto address = asio::ip::make_address(ip, error);
    if (error) return Refuse();
    SetTimeout(kConnectTimeout);
    connecting_ = true;
    endpoint_.socket.async_connect(
        {address, port},
        [self = shared_from_this()](const asio::error_code& connect_error) {
          if (self->closed_ || !self->connecting_) return;
          if (connect_error) return self->Refuse();
          self->connecting_ = false;
          self->established_ = true;
          self->timer_.cancel();
          self->server_->listener_.OnTunnelConnected(self->user_, true);
          SetKeepAlive(self->endpoint_.socket);
          SetResetOnClose(self->caller_.socket, true);
          self->Reply(kGranted, [self] {
            self->Forward(self->caller_, self->endpoint_);
            self->Forward(self->endpoint_, self->caller_);
          });
        });
  }

  void Refuse() {
    if (closed_) return;
    timer_.cancel();
    if (std::exchange(connecting_, false)) {
      server_->listener_.OnTunnelConnected(user_, false);
    }
    Reply(kFailed, [self = shared_from_this()] { self->Close(); });
  }

  template <typename Done>
  void Reply(uint8_t code, Done done) {
    reply_ = {0, code, 0, 0, 0, 0, 0, 0};
    asio::async_write(caller_.socket, asio::buffer(reply_),
                      [self = shared_from_this(), done = std::move(done)](
                          const asio::error_code& error, size_t) {
                        if (self->closed_) return;
                        if (error) return self->Reset();
                        done();
                      });
  }

  void Forward(End& from, End& to) {
    from.socket.async_read_some(
        asio::buffer(from.buffer),
        [self = shared_from_this(), &from, &to](const asio::error_code& error,
                                                size_t n) {
          if (self->closed_) return;
          if (error == asio::error::eof) return self->OnEnd(from);
          if (error) return self->Reset();
          asio::async_write(
              to.socket, asio::buffer(from.buffer, n),
              [self, &from, &to](const asio::error_code& write_error, size_t) {
                if (self->closed_) return;
                if (write_error) return self->Reset();
                self->Forward(from, to);
              });
        });
  }

  void OnEnd(const End& from) {
    // A caller that closes wants nothing more.
    if (&from == &caller_) return Close();
    if (!EndedInOrder(endpoint_.socket)) return Reset();
    asio::error_code error;
    SetResetOnClose(caller_.socket, false);
    caller_.socket.shutdown(tcp::socket::shutdown_send, error);
    if (error) Reset();
  }

  void Close() {
    if (std::exchange(closed_, true)) return;
    if (is_linked()) unlink();
    timer_.cancel();
    asio::error_code ignored;  // the sockets may be closed
    caller_.socket.close(ignored);
    endpoint_.socket.close(ignored);
    server_->tunnels_.erase(shared_from_this());
  }

  TunnelServer* server_;
  End caller_;
  End endpoint_;
  asio::steady_timer timer_;
  std::string request_;
  std::string user_;
  std::array<uint8_t, kHeadBytes> reply_{};
  bool connecting_ = false;
  bool established_ = false;
  bool closed_ = false;
};

TunnelServer::TunnelServer(asio::io_context& io, const Limits& limits,
                           Listener& listener)
    : io_(io), limits_(limits), listener_(listener), acceptor_(io) {}

TunnelServer::~TunnelServer() { Stop(); }

Result<std::unique_ptr<TunnelServer>> TunnelServer::Start(
    asio::io_context& io, const std::string& address, const Limits& limits,
    Listener& listener) {
  const auto parsed = ParseAddress(address);
  if (!parsed) return tl::unexpected(parsed.error());
  std::unique_ptr<TunnelServer> server(new TunnelServer(io, limits, listener));
  asio::error_code error;
  const auto ip = asio::ip::make_address(parsed->first, error);
  const tcp::endpoint at(ip, parsed->second);
  tcp::acceptor& acceptor = server->acceptor_;
  if (!error) acceptor.open(at.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(at, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    return Fail(ErrorCode::kUnavailable, "tunnels", address, error.message());
  }
  server->Accept();
  return server;
}

void TunnelServer::Accept() {
  acceptor_.async_accept(
      [this](const asio::error_code& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || stopped_) return;
        if (!error) Add(std::move(socket));
        Accept();
      });
}

void TunnelServer::Add(tcp::socket socket) {
  // A VM asks at once, so that the oldest connection is the least likely to be
  // a VM's.
  while (begun_.size() >= limits_.max_begun) {
    begun_.front().Reset();
    listener_.OnTunnelDisplaced();
  }
  auto tunnel = std::make_shared<Tunnel>(*this, std::move(socket));
  tunnels_.insert(tunnel);
  begun_.push_back(*tunnel);
  tunnel->Start();
}

bool TunnelServer::HasRoom() const {
  return tunnels_.size() - begun_.size() < limits_.max_tunnels;
}

void TunnelServer::Stop() {
  if (std::exchange(stopped_, true)) return;
  asio::error_code ignored;  // nothing to do if it is closed
  acceptor_.close(ignored);
  const auto tunnels = tunnels_;
  for (const auto& tunnel : tunnels) tunnel->Reset();
}

}  // namespace zr
