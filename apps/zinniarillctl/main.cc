#include <gflags/gflags.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "zinniarillctl/commands.h"
#include "zinniarillctl/curl_transport.h"
#include "zinniarillctl/flag_parser.h"

DEFINE_string(server, "127.0.0.1:8081", "ip:port of a daemon's operator port");
DEFINE_string(token, "",
              "operator token; the environment variable ZR_TOKEN if empty");
DEFINE_string(output, "table", "table or json");
DEFINE_string(digest, "", "promote: the digest that trial printed");
DEFINE_string(author, "",
              "recorded with a change; the environment variable USER if empty");
DEFINE_bool(wait, false, "wait until the change is in force on every VM");
DEFINE_int64(timeout_ms, 30'000,
             "longest wait for a change to be in force, in ms");
DEFINE_int64(call_timeout_ms, 10'000,
             "longest time of one call to the daemon, in ms");
DEFINE_int64(base_version, -1,
             "the version that a change replaces; the current one if negative");

DEFINE_string(route, "", "explain: name of the route, or of the service");
DEFINE_string(team, "", "explain: name of the team");
DEFINE_string(kind, "",
              "explain: kind of the request; at an entry process stream, "
              "repeatable or once, at the daemon a class");
DEFINE_string(tokens, "", "explain: size of the prompt in tokens");
DEFINE_string(answer_tokens, "", "explain: longest answer in tokens");

namespace zr {
namespace {

std::string FlagOrVariable(const std::string& flag, const char* variable) {
  if (!flag.empty()) return flag;
  const char* value = std::getenv(variable);
  return value == nullptr ? "" : value;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  const bool opened = file.good();
  // A directory can be opened; reading the first byte then sets the bad bit. An
  // empty file only reaches its end.
  if (opened && file.peek() != std::ifstream::traits_type::eof()) {
    content << file.rdbuf();
  }
  if (!opened || file.bad()) {
    return Fail(ErrorCode::kInvalidArgument, "read", path,
                path + " cannot be read");
  }
  return content.str();
}

TimePoint SteadyNow() {
  const auto now = std::chrono::steady_clock::now().time_since_epoch();
  return TimePoint::FromMicroseconds(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

/** Whether a flag's value can be sent in a header. */
bool IsHeaderValue(const std::string& text) {
  for (const char c : text) {
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) return false;
  }
  return true;
}

/** The first fault of the flags; empty if there is none. */
std::string FlagFault(const std::string& token, const std::string& author,
                      bool needs_server) {
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    return "--output is table or json";
  }
  if (FLAGS_timeout_ms < 0 || FLAGS_timeout_ms > 3'600'000) {
    return "--timeout_ms is 0 to 3600000";
  }
  if (FLAGS_call_timeout_ms < 1 || FLAGS_call_timeout_ms > 600'000) {
    return "--call_timeout_ms is 1 to 600000";
  }
  if (!IsHeaderValue(token) || !IsHeaderValue(author)) {
    return "the token and the author contain no control characters";
  }
  if (!needs_server) return "";
  if (token.empty()) {
    return "the command needs --token or the environment variable ZR_TOKEN";
  }
  const auto server = Address::Parse(FLAGS_server);
  if (!server || server->port == 0) {
    return "--server is an IPv4 address and a port";
  }
  return "";
}

int Main(const std::vector<std::string>& words) {
  const std::string token = FlagOrVariable(FLAGS_token, "ZR_TOKEN");
  std::string author = FlagOrVariable(FLAGS_author, "USER");
  if (author.empty()) author = "unknown";
  const std::string fault =
      FlagFault(token, author, Commands::NeedsServer(words));
  if (!fault.empty()) {
    std::cerr << "zinniarillctl: " << fault << "\n";
    return static_cast<int>(ExitCode::kInvalid);
  }
  CurlTransport transport(FLAGS_server, token,
                          Duration::Milliseconds(FLAGS_call_timeout_ms));
  CommandOptions options;
  options.json = FLAGS_output == "json";
  options.wait = FLAGS_wait;
  options.timeout = Duration::Milliseconds(FLAGS_timeout_ms);
  options.digest = FLAGS_digest;
  options.author = author;
  for (const auto& [name, value] :
       {std::pair("route", FLAGS_route), std::pair("team", FLAGS_team),
        std::pair("kind", FLAGS_kind), std::pair("tokens", FLAGS_tokens),
        std::pair("answer_tokens", FLAGS_answer_tokens)}) {
    if (!value.empty()) options.description[name] = value;
  }
  if (FLAGS_base_version >= 0) options.base_version = FLAGS_base_version;
  auto sleep = [](Duration duration) {
    std::this_thread::sleep_for(
        std::chrono::microseconds(duration.microseconds()));
  };
  Commands commands(CommandEnvironment{transport, &ReadFile, &SteadyNow, sleep,
                                       std::cout, std::cerr},
                    options);
  return static_cast<int>(commands.Run(words));
}

}  // namespace
}  // namespace zr

int main(int argc, char** argv) {
  const zr::ParsedFlags parsed = zr::ParseFlags(argc, argv);
  if (parsed.help) {
    std::cout << "zinniarillctl COMMAND [FLAGS]\n\n"
              << zr::Commands::Usage() << "\nflags:\n"
              << zr::FlagHelp();
    return 0;
  }
  if (!parsed.fault.empty()) {
    std::cerr << "zinniarillctl: " << parsed.fault << "\n";
    return static_cast<int>(zr::ExitCode::kInvalid);
  }
  return zr::Main(parsed.words);
}
