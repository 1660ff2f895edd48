#include "zr_http/server/http_server.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <restinio/all.hpp>
#include <unordered_map>
#include <utility>

#include "zr_http/server/connection_registry.h"
#include "zr_http/server/metered_socket.h"

namespace zr {
namespace {

// Requests may run for hours; their own deadlines end them.
constexpr std::chrono::hours kHandlerTimeout{24};
// The connection is closed if the client reads no data for this long.
constexpr std::chrono::seconds kWriteTimeout{60};
// With a second pipelined request RESTinio keeps reading while a response is in
// progress, so that it notices a closed connection immediately.
constexpr size_t kPipelinedRequests = 2;
// Bytes that the kernel receives for a connection before they are read; they
// count as memory of the process. Enough for 200 Mbit/s at a delay of 1 ms.
constexpr int kReceiveBuffer = 64 << 10;

struct Traits : public restinio::default_traits_t {
  using logger_t = restinio::null_logger_t;
  using connection_state_listener_t = ConnectionRegistry;
  using stream_socket_t = MeteredSocket;
};

restinio::http_status_line_t StatusLine(int status) {
  static const std::unordered_map<int, const char*> kReasons = {
      {200, "OK"},
      {201, "Created"},
      {202, "Accepted"},
      {204, "No Content"},
      {400, "Bad Request"},
      {401, "Unauthorized"},
      {403, "Forbidden"},
      {404, "Not Found"},
      {405, "Method Not Allowed"},
      {408, "Request Timeout"},
      {409, "Conflict"},
      {410, "Gone"},
      {412, "Precondition Failed"},
      {413, "Content Too Large"},
      {421, "Misdirected Request"},
      {422, "Unprocessable Content"},
      {429, "Too Many Requests"},
      {431, "Request Header Fields Too Large"},
      {500, "Internal Server Error"},
      {502, "Bad Gateway"},
      {503, "Service Unavailable"},
      {504, "Gateway Timeout"}};
  auto it = kReasons.find(status);
  return restinio::http_status_line_t{
      restinio::http_status_code_t(static_cast<uint16_t>(status)),
      it == kReasons.end() ? "Status" : it->second};
}

/** Counts a response from its request until its last byte was passed to the
 * kernel or its connection has failed. */
class UnsentResponse {
 public:
  UnsentResponse(std::shared_ptr<std::atomic<size_t>> count,
                 std::shared_ptr<ClientGuard> guard,
                 ClientGuard::ConnectionPtr connection)
      : count_(std::move(count)),
        guard_(std::move(guard)),
        connection_(std::move(connection)) {
    ++*count_;
  }
  ~UnsentResponse() {
    --*count_;
    if (connection_) guard_->OnAnswered(connection_);
  }
  UnsentResponse(const UnsentResponse&) = delete;
  UnsentResponse& operator=(const UnsentResponse&) = delete;

 private:
  std::shared_ptr<std::atomic<size_t>> count_;
  std::shared_ptr<ClientGuard> guard_;
  ClientGuard::ConnectionPtr connection_;
};

/** A request of the server with the memory that is reserved for it. */
struct HeldRequest {
  restinio::request_handle_t request;
  std::shared_ptr<ClientGuard::Charge> charge;
};

template <typename Response>
void AppendHeaders(Response& response, const HttpHeaders& headers) {
  for (const auto& [name, value] : headers) {
    if (name == "connection") {
      if (value == "close") response.connection_close();
    } else {
      response.append_header(name, value);
    }
  }
}

class RestinioResponse final : public HttpResponse {
 public:
  RestinioResponse(std::shared_ptr<HeldRequest> held,
                   std::shared_ptr<ConnectionRegistry> registry,
                   std::shared_ptr<UnsentResponse> unsent)
      : unsent_(std::move(unsent)),
        held_(std::move(held)),
        request_(held_->request),
        connection_(restinio::impl::access_req_connection(*request_)),
        request_id_(request_->request_id()),
        connection_id_(request_->connection_id()),
        registry_(std::move(registry)) {}

  ~RestinioResponse() override {
    if (on_closed_) registry_->Unregister(connection_id_, on_closed_);
    if (!ended_) CloseConnection();
  }

  void Send(int status, HttpHeaders headers, std::string body) override {
    ZR_ASSERT(!ended_ && !chunked_, "Send() on a started or ended response");
    if (ended_ || chunked_) return;
    ended_ = true;
    auto response = request_->create_response(StatusLine(status));
    AppendHeaders(response, headers);
    response.set_body(std::move(body));
    response.done(ReleaseWhenWritten());
  }

  void Begin(int status, HttpHeaders headers) override {
    ZR_ASSERT(!ended_ && !chunked_, "Begin() on a started or ended response");
    if (ended_ || chunked_) return;
    chunked_.emplace(request_->create_response<restinio::chunked_output_t>(
        StatusLine(status)));
    AppendHeaders(*chunked_, headers);
    chunked_->flush();
  }

  void Write(std::string chunk, std::function<void(bool)> on_sent) override {
    ZR_ASSERT(chunked_.has_value(), "Write() before Begin()");
    if (ended_ || !chunked_ || chunk.empty()) {
      if (on_sent) on_sent(!ended_);
      return;
    }
    chunked_->append_chunk(std::move(chunk));
    if (on_sent) {
      chunked_->flush([on_sent = std::move(on_sent)](const auto& error) {
        on_sent(!error);
      });
    } else {
      chunked_->flush();
    }
  }

  void End() override {
    if (ended_ || !chunked_) return;
    ended_ = true;
    chunked_->done(ReleaseWhenWritten());
  }

  void Abort() override {
    if (ended_) return;
    ended_ = true;
    CloseConnection();
  }

  void OnClosed(std::function<void()> on_closed) override {
    on_closed_ = std::make_shared<std::function<void()>>(std::move(on_closed));
    registry_->Register(connection_id_, on_closed_);
  }

 private:
  // Ends the response without its last chunk and closes the connection, so that
  // the client sees a truncated response.
  void CloseConnection() {
    connection_->write_response_parts(
        request_id_,
        restinio::response_output_flags_t{
            restinio::response_parts_attr_t::final_parts,
            restinio::response_connection_attr_t::connection_close},
        restinio::write_group_t{restinio::writable_items_container_t{}});
  }

  // RESTinio destroys the callback after the last write or when the connection
  // has failed.
  restinio::write_status_cb_t ReleaseWhenWritten() {
    return [unsent = std::exchange(unsent_, nullptr)](const auto&) {};
  }

  std::shared_ptr<UnsentResponse> unsent_;
  std::shared_ptr<HeldRequest> held_;
  restinio::request_handle_t request_;
  restinio::impl::connection_handle_t connection_;
  restinio::request_id_t request_id_;
  uint64_t connection_id_;
  std::shared_ptr<ConnectionRegistry> registry_;
  std::shared_ptr<std::function<void()>> on_closed_;
  std::optional<restinio::response_builder_t<restinio::chunked_output_t>>
      chunked_;
  bool ended_ = false;
};

HttpRequest ConvertRequest(const std::shared_ptr<HeldRequest>& held) {
  const restinio::request_t& request = *held->request;
  HttpRequest out;
  out.method = request.header().method().c_str();
  out.path = std::string(request.header().path());
  out.query = std::string(request.header().query());
  request.header().for_each_field([&](const auto& field) {
    std::string name(field.name());
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    out.headers[std::move(name)] = std::string(field.value());
  });
  out.remote = request.remote_endpoint().address().to_string() + ":" +
               std::to_string(request.remote_endpoint().port());
  out.body =
      SharedBody(std::shared_ptr<const std::string>(held, &request.body()));
  return out;
}

class RestinioServer final : public HttpServer {
 public:
  using Server = restinio::http_server_t<Traits>;

  RestinioServer(asio::io_context& context, const HttpServerOptions& options,
                 std::string ip, uint16_t port, HttpHandler handler)
      : registry_(std::make_shared<ConnectionRegistry>()),
        unsent_(std::make_shared<std::atomic<size_t>>(0)),
        metering_(std::make_shared<ServerMetering>(
            options.guard ? options.guard
                          : std::make_shared<ClientGuard>(
                                context, ClientGuardOptions{}))) {
    metering_->body_copies = options.body_copies;
    SetLimits(options.max_header_bytes, options.max_body_bytes);
    // MeteredStream enforces the limits on heads and bodies.
    restinio::incoming_http_msg_limits_t limits;
    limits.max_field_count(RequestReader::kMaxFields + 1);
    server_ = std::make_unique<Server>(
        restinio::external_io_context(context), [&](auto& settings) {
          settings.address(ip)
              .port(port)
              .incoming_http_msg_limits(limits)
              .metering(metering_)
              .max_pipelined_requests(kPipelinedRequests)
              .handle_request_timeout(kHandlerTimeout)
              .write_http_response_timelimit(kWriteTimeout)
              .read_next_http_message_timelimit(std::chrono::microseconds(
                  options.idle_timeout.microseconds()))
              .connection_state_listener(registry_)
              .acceptor_options_setter([](auto& o) {
                o.set_option(
                    restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
                // Connections inherit it.
                o.set_option(
                    restinio::asio_ns::socket_base::receive_buffer_size(
                        kReceiveBuffer));
              })
              .socket_options_setter([](auto& o) {
                o.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
              })
              .cleanup_func([] {})
              .request_handler(
                  [registry = registry_, unsent = unsent_, metering = metering_,
                   handler =
                       std::move(handler)](restinio::request_handle_t request) {
                    return Dispatch(std::move(request), registry, unsent,
                                    metering, handler);
                  });
        });
  }

  Result<void> Open(asio::io_context& context, const std::string& address) {
    bool done = false;
    std::string failure;
    server_->open_async([&done] { done = true; },
                        [&](std::exception_ptr error) {
                          done = true;
                          try {
                            std::rethrow_exception(error);
                          } catch (const std::exception& e) {
                            failure = e.what();
                          }
                        });
    while (!done && context.run_one() > 0) {
    }
    if (!failure.empty()) {
      return Fail(ErrorCode::kUnavailable, "listen", address,
                  "cannot listen: " + failure);
    }
    return {};
  }

  void StopAccepting() override {
    if (stopped_.exchange(true)) return;
    server_->close_async([] {}, [](std::exception_ptr) {});
  }

  void Close() override { StopAccepting(); }

  size_t unsent_responses() const override { return *unsent_; }

  void SetLimits(size_t max_header_bytes, size_t max_body_bytes) override {
    metering_->max_header_bytes = max_header_bytes;
    metering_->max_body_bytes = max_body_bytes;
  }

 private:
  static restinio::request_handling_status_t Dispatch(
      restinio::request_handle_t request,
      const std::shared_ptr<ConnectionRegistry>& registry,
      const std::shared_ptr<std::atomic<size_t>>& unsent,
      const std::shared_ptr<ServerMetering>& metering,
      const HttpHandler& handler) {
    const auto connection = metering->Find(request->connection_id());
    auto held = std::make_shared<HeldRequest>();
    held->request = std::move(request);
    if (connection) held->charge = metering->guard->TakeCharge(connection);
    HttpRequest converted = ConvertRequest(held);
    auto response = std::make_shared<RestinioResponse>(
        std::move(held), registry,
        std::make_shared<UnsentResponse>(unsent, metering->guard, connection));
    handler(std::move(converted), std::move(response));
    return restinio::request_accepted();
  }

  std::shared_ptr<ConnectionRegistry> registry_;
  std::shared_ptr<std::atomic<size_t>> unsent_;  // responses
  std::shared_ptr<ServerMetering> metering_;
  std::unique_ptr<Server> server_;
  std::atomic<bool> stopped_{false};
};

}  // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Start(asio::io_context& context,
                                                      HttpServerOptions options,
                                                      HttpHandler handler) {
  auto address = ParseAddress(options.address);
  if (!address) return tl::unexpected(address.error());
  auto server = std::make_unique<RestinioServer>(
      context, options, address->first, address->second, std::move(handler));
  if (auto opened = server->Open(context, options.address); !opened) {
    return tl::unexpected(opened.error());
  }
  return std::unique_ptr<HttpServer>(std::move(server));
}

}  // namespace zr
