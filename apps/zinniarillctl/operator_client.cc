#include "zinniarillctl/operator_client.h"

#include <utility>

#include "zr_config/zr_config.h"

namespace zr {
namespace {

using nlohmann::json;

constexpr int kDrainAttempts = 5;

json ParseObject(const std::string& body) {
  json parsed = json::parse(body, nullptr, false);
  return parsed.is_object() ? parsed : json::object();
}

/** The message of an error body, or the status if there is none. */
std::string ErrorMessage(const HttpReply& reply) {
  const json body = ParseObject(reply.body);
  if (body.contains("error") && body["error"].is_object()) {
    const json& message = body["error"].value("message", json());
    if (message.is_string()) return message.get<std::string>();
  }
  return "the daemon answered with status " + std::to_string(reply.status);
}

ErrorCode CodeOf(int status) {
  if (status == 401) return ErrorCode::kUnauthenticated;
  if (status == 403) return ErrorCode::kForbidden;
  if (status == 404) return ErrorCode::kNotFound;
  if (status == 422 || status == 400) return ErrorCode::kInvalidArgument;
  return ErrorCode::kUnavailable;
}

Result<json> ToJson(const Result<HttpReply>& reply) {
  if (!reply) return tl::unexpected(reply.error());
  if (reply->status != 200) {
    return Fail(CodeOf(reply->status), "call", "", ErrorMessage(*reply));
  }
  json body = json::parse(reply->body, nullptr, false);
  if (!body.is_object()) {
    return Fail(ErrorCode::kInternal, "call", "",
                "the daemon's answer is not a JSON object");
  }
  return body;
}

}  // namespace

OperatorClient::OperatorClient(Transport& transport, std::string author)
    : transport_(transport), author_(std::move(author)) {}

Result<json> OperatorClient::Get(const std::string& path) {
  return ToJson(transport_.Send(HttpCall{"GET", path, {}, ""}));
}

Result<CurrentConfig> OperatorClient::Config() {
  auto body = Get("/v1/config");
  if (!body) return tl::unexpected(body.error());
  CurrentConfig config;
  config.version = body->at("version").get<int64_t>();
  config.digest = body->at("digest").get<std::string>();
  config.author = body->value("author", "");
  config.time = body->value("time", "");
  config.document = body->at("document").get<std::string>();
  return config;
}

Result<json> OperatorClient::Trial(const std::string& document) {
  return ToJson(
      transport_.Send(HttpCall{"POST", "/v1/config/trial", {}, document}));
}

WriteOutcome OperatorClient::PutConfig(int64_t base,
                                       const std::string& document) {
  const std::string digest = DocumentDigest(document);
  WriteOutcome outcome = Write(
      HttpCall{"PUT", "/v1/config", {}, document}, base,
      [&](const CurrentConfig& config) { return config.digest == digest; });
  if (outcome.kind == WriteOutcome::Kind::kWritten &&
      outcome.digest != digest) {
    outcome.kind = WriteOutcome::Kind::kFailed;
    outcome.message = "version " + std::to_string(outcome.version) +
                      " has digest " + outcome.digest + ", but the file has " +
                      digest;
  }
  return outcome;
}

WriteOutcome OperatorClient::PutDrain(std::optional<int64_t> base,
                                      const std::string& kind,
                                      const std::string& name, bool drained) {
  const std::string path = "/v1/drains/" + kind + "/" + PercentEncode(name);
  const Drain drain{kind == "domain" ? DrainKind::kDomain
                    : kind == "vm"   ? DrainKind::kVm
                                     : DrainKind::kEndpoint,
                    name};
  auto took_effect = [&](const CurrentConfig& config) {
    auto environment = Environment::Parse(config.document);
    return environment && environment->drains().contains(drain) == drained;
  };
  WriteOutcome outcome;
  for (int attempt = 0; attempt < kDrainAttempts; ++attempt) {
    int64_t version = base.value_or(0);
    if (!base) {
      auto config = Config();
      if (!config) {
        outcome.message = config.error().message;
        return outcome;
      }
      version = config->version;
    }
    outcome = Write(HttpCall{drained ? "PUT" : "DELETE", path, {}, ""}, version,
                    took_effect);
    if (base || outcome.kind != WriteOutcome::Kind::kConflict) break;
  }
  return outcome;
}

WriteOutcome OperatorClient::Write(HttpCall call, int64_t base,
                                   const TookEffect& took_effect) {
  call.headers.emplace_back("If-Match", std::to_string(base));
  call.headers.emplace_back("X-Zr-Author", author_);
  auto reply = transport_.Send(call);
  if (!reply && reply.error().code == ErrorCode::kUnknownOutcome) {
    return ResolveLostAnswer(reply.error(), base, took_effect);
  }
  WriteOutcome outcome;
  if (!reply) {
    outcome.message = "not written: " + reply.error().message;
    return outcome;
  }
  const json body = ParseObject(reply->body);
  if (reply->status == 200) {
    outcome.kind = WriteOutcome::Kind::kWritten;
    outcome.version = body.at("version").get<int64_t>();
    outcome.digest = body.value("digest", "");
  } else if (reply->status == 412) {
    const json conflict = body.value("conflict", json::object());
    outcome.kind = WriteOutcome::Kind::kConflict;
    outcome.version = conflict.value("version", int64_t{0});
    outcome.author = conflict.value("author", "");
    outcome.time = conflict.value("time", "");
  } else {
    outcome.kind = reply->status == 422 ? WriteOutcome::Kind::kInvalid
                                        : WriteOutcome::Kind::kFailed;
    outcome.message = ErrorMessage(*reply);
  }
  return outcome;
}

WriteOutcome OperatorClient::ResolveLostAnswer(const Error& error, int64_t base,
                                               const TookEffect& took_effect) {
  WriteOutcome outcome;
  auto config = Config();
  if (!config) {
    outcome.message =
        "the outcome is unknown: " + error.message +
        "; the configuration could not be read: " + config.error().message;
  } else if (took_effect(*config)) {
    outcome.kind = WriteOutcome::Kind::kWritten;
    outcome.version = config->version;
    outcome.digest = config->digest;
  } else {
    // At the base version the write may still be under way; at a higher one
    // another change may have replaced it.
    outcome.message =
        "the outcome is unknown: " + error.message + "; in place is version " +
        std::to_string(config->version) + " by " + config->author +
        (config->version == base ? ", which is unchanged so far" : "");
  }
  return outcome;
}

std::string PercentEncode(const std::string& text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       (c >= '0' && c <= '9') || c == '-' || c == '.' ||
                       c == '_' || c == '~';
    if (plain) {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kHex[byte >> 4];
      encoded += kHex[byte & 0xf];
    }
  }
  return encoded;
}

}  // namespace zr
