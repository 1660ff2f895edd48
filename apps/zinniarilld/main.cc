#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "zr_daemon/zr_daemon.h"

DEFINE_string(settings, "", "settings file (INI)");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

constexpr int kExitUsage = 2;  // bad command line or settings

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return std::nullopt;
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetVersionString("0.1.0");
  gflags::SetUsageMessage(
      "entry daemon of zinniarill\n"
      "  zinniarilld --settings=FILE          serve\n"
      "  zinniarilld --settings=FILE --check  check the settings and exit\n"
      "Exit codes: 0 stopped as planned, 1 cannot start, 2 bad command line or "
      "settings.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty() || argc > 1) {
    std::cerr << "usage: zinniarilld --settings=FILE [--check]; see --help\n";
    return kExitUsage;
  }
  const auto text = ReadFile(FLAGS_settings);
  if (!text) {
    std::cerr << "cannot read settings file " << FLAGS_settings << "\n";
    return kExitUsage;
  }
  auto settings = zr::Settings::Parse(*text, FLAGS_settings);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return kExitUsage;
  }
  if (FLAGS_check) {
    std::cout << FLAGS_settings << ": ok\n";
    return 0;
  }
  zr::InitLog(settings->log_level, settings->log_format, settings->vm.value());
  auto node = zr::Node::Create(std::move(*settings));
  if (!node) {
    zr::Log(zr::LogLevel::kError, "node", node.error());
    return 1;
  }
  return (*node)->Run();
}
