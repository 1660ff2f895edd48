#include "standins/common/host.h"

#include <asio/signal_set.hpp>
#include <charconv>
#include <chrono>
#include <csignal>

#include "zr_telemetry/zr_telemetry.h"

namespace zr {
namespace {

constexpr Duration kRegistrationRetryDelay = Duration::Milliseconds(300);

/** Retries a conditional write until it succeeds. */
class Registration : public std::enable_shared_from_this<Registration> {
 public:
  Registration(asio::io_context& context, std::shared_ptr<HttpClient> client,
               std::string url, std::string value)
      : context_(context),
        client_(std::move(client)),
        url_(std::move(url)),
        value_(std::move(value)) {}

  void Read() {
    ClientRequest request;
    request.url = url_;
    request.total_timeout = Duration::Seconds(5);
    client_->Fetch(
        std::move(request), 1 << 22, [self = shared_from_this()](auto result) {
          if (result && result->status == 404) {
            self->Write("if-none-match", "*");
            return;
          }
          auto body = result && result->status == 200 ? ParseJson(result->body)
                                                      : nlohmann::json();
          if (!body.is_object() || !body.contains("version")) {
            self->Retry();
          } else if (body["value"] != self->value_) {
            self->Write(
                "if-match",
                std::to_string(body["version"].template get<int64_t>()));
          }
        });
  }

 private:
  void Write(const std::string& condition, const std::string& version) {
    ClientRequest request;
    request.method = "PUT";
    request.url = url_;
    request.headers[condition] = version;
    request.body = value_;
    request.total_timeout = Duration::Seconds(5);
    client_->Fetch(std::move(request), 1 << 20,
                   [self = shared_from_this()](auto result) {
                     if (!result || result->status != 200) self->Retry();
                   });
  }

  void Retry() {
    RunAfter(context_, kRegistrationRetryDelay,
             [self = shared_from_this()] { self->Read(); });
  }

  asio::io_context& context_;
  std::shared_ptr<HttpClient> client_;
  std::string url_;
  std::string value_;
};

}  // namespace

void SendJson(const HttpResponsePtr& response, int status,
              const nlohmann::json& body) {
  response->Send(status, {{"content-type", "application/json"}}, body.dump());
}

void SendError(const HttpResponsePtr& response, int status,
               const std::string& code, const std::string& message,
               const std::string& run) {
  SendJson(response, status,
           {{"error", {{"code", code}, {"message", message}, {"run", run}}}});
}

nlohmann::json ParseJson(std::string_view text) {
  auto parsed = nlohmann::json::parse(text, nullptr, false);
  return parsed.is_discarded() ? nlohmann::json() : parsed;
}

int64_t QueryInteger(const HttpRequest& request, std::string_view name,
                     int64_t fallback) {
  const auto text = request.QueryParameter(name);
  if (!text) return fallback;
  int64_t value = fallback;
  std::from_chars(text->data(), text->data() + text->size(), value);
  return value;
}

double QueryReal(const HttpRequest& request, std::string_view name,
                 double fallback) {
  const auto text = request.QueryParameter(name);
  if (!text) return fallback;
  double value = fallback;
  std::from_chars(text->data(), text->data() + text->size(), value);
  return value;
}

std::vector<std::string> SplitList(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const size_t end = text.find(separator);
    const std::string_view part = text.substr(0, end);
    if (!part.empty()) parts.emplace_back(part);
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
  }
  return parts;
}

std::string AddressAt(const std::string& address, int offset) {
  const auto parsed = ParseAddress(address);
  if (!parsed) return address;
  return parsed->first + ":" + std::to_string(parsed->second + offset);
}

int64_t MonotonicMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

int64_t WallClockMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void RunAfter(asio::io_context& context, Duration delay,
              std::function<void()> action) {
  auto timer = std::make_shared<asio::steady_timer>(context);
  timer->expires_after(std::chrono::microseconds(delay.microseconds()));
  timer->async_wait(
      [timer, action = std::move(action)](const asio::error_code& error) {
        if (!error) action();
      });
}

void RegisterObject(asio::io_context& context,
                    std::shared_ptr<HttpClient> client, std::string platform,
                    std::string kind, std::string name, std::string value) {
  std::string url = "http://" + platform + "/v1/objects/" + kind + "/" + name;
  std::make_shared<Registration>(context, std::move(client), std::move(url),
                                 std::move(value))
      ->Read();
}

void RunUntilSignal(asio::io_context& context) {
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](const asio::error_code& error, int) {
    if (!error) context.stop();
  });
  context.run();
}

}  // namespace zr
