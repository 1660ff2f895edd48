#include "zinniarillctl/commands.h"

#include <algorithm>
#include <utility>

#include "zr_config/key_spec.h"

namespace zr {
namespace {

using nlohmann::json;

bool IsDrainKind(const std::string& kind) {
  return kind == "domain" || kind == "vm" || kind == "endpoint";
}

json ToJson(const std::vector<Change>& changes) {
  json list = json::array();
  for (const Change& change : changes) {
    list.push_back({{"kind", ToString(change.kind)},
                    {"section", change.section},
                    {"key", change.key},
                    {"before", change.before},
                    {"after", change.after}});
  }
  return list;
}

/** The text of the changes that a trial answers with. */
std::string ChangesText(const json& changes) {
  std::string text;
  for (const json& item : changes) {
    const std::string kind = item.at("kind");
    Change change{ChangeKind::kChanged, item.at("section"),
                  item.value("key", ""), item.value("before", ""),
                  item.value("after", "")};
    if (kind == "added") change.kind = ChangeKind::kAdded;
    if (kind == "removed") change.kind = ChangeKind::kRemoved;
    text += change.ToString() + "\n";
  }
  return text.empty() ? "no changes\n" : text;
}

}  // namespace

Commands::Commands(CommandEnvironment environment, CommandOptions options)
    : environment_(std::move(environment)),
      options_(std::move(options)),
      client_(environment_.transport, options_.author) {}

bool Commands::NeedsServer(const std::vector<std::string>& words) {
  static constexpr std::string_view kServerCommands[] = {
      "diff",  "trial",   "promote", "apply",     "get",
      "drain", "undrain", "status",  "endpoints", "operations"};
  if (words.size() == 1 && words[0] == "explain") return true;
  return !words.empty() &&
         std::find(std::begin(kServerCommands), std::end(kServerCommands),
                   words[0]) != std::end(kServerCommands);
}

std::string Commands::Usage() {
  return "check FILE                           validate an environment "
         "document\n"
         "diff FILE                            compare a document with the one "
         "in place\n"
         "trial FILE                           have the daemon say what a "
         "document would change\n"
         "promote FILE --digest D              write the document whose trial "
         "printed digest D\n"
         "apply FILE [--wait]                  write a document\n"
         "get                                  print the document in place\n"
         "drain domain|vm|endpoint NAME        take out of service [--wait]\n"
         "undrain domain|vm|endpoint NAME      return to service [--wait]\n"
         "status                               VMs, configuration and "
         "invariants\n"
         "endpoints                            endpoints with owner and load\n"
         "operations show TEAM/SERVICE/KEY     record of a non-repeatable "
         "operation\n"
         "explain --route R --team T --kind K --tokens N [--answer_tokens M]\n"
         "                                     where a request would go now, "
         "and why\n"
         "explain ID LOG...                    what log files say of a "
         "request\n"
         "settings-reference                   the daemon's settings in "
         "Markdown\n"
         "document-reference                   the environment document's keys "
         "in Markdown\n";
}

ExitCode Commands::Run(const std::vector<std::string>& words) {
  try {
    return Dispatch(words);
  } catch (const json::exception& error) {
    environment_.err << "zinniarillctl: the daemon's answer is not understood: "
                     << error.what() << "\n";
    return ExitCode::kFailed;
  }
}

ExitCode Commands::Dispatch(const std::vector<std::string>& words) {
  if (words.empty()) return UsageError("a command is missing");
  const std::string& command = words[0];
  if (command == "explain") return Explain(words);
  if (words.size() == 1) {
    if (command == "get") return Get();
    if (command == "status") return Status();
    if (command == "endpoints") return Endpoints();
    if (command == "help") return PrintText(Usage());
    if (command == "settings-reference") {
      return PrintText(Settings::Reference());
    }
    if (command == "document-reference") {
      return PrintText(Environment::Reference());
    }
  }
  if (words.size() == 2) return RunOnFile(command, words[1]);
  if (words.size() == 3 && command == "operations" && words[1] == "show") {
    return ShowOperation(words[2]);
  }
  if (words.size() == 3 && IsDrainKind(words[1]) &&
      (command == "drain" || command == "undrain")) {
    return Drain(words[1], words[2], command == "drain");
  }
  return UsageError("unknown command or wrong arguments");
}

ExitCode Commands::RunOnFile(const std::string& command,
                             const std::string& path) {
  if (command == "check") return Check(path);
  if (command == "diff") return Diff(path);
  if (command == "trial") return Trial(path);
  if (command == "promote") return Promote(path);
  if (command == "apply") return Apply(path);
  return UsageError("unknown command or wrong arguments");
}

//==============================================================================
std::optional<std::string> Commands::ReadDocument(const std::string& path,
                                                  ExitCode& code) {
  auto text = environment_.read_file(path);
  if (!text) {
    code = Fail(text.error());
    return {};
  }
  const std::vector<SettingsProblem> problems = Environment::Check(*text, path);
  if (problems.empty()) return *text;
  json list = json::array();
  for (const SettingsProblem& problem : problems) {
    list.push_back({{"file", problem.file},
                    {"line", problem.line},
                    {"section", problem.section},
                    {"key", problem.key},
                    {"message", problem.message}});
  }
  if (options_.json) {
    environment_.out << json{{"problems", list}}.dump() << "\n";
  }
  environment_.err << JoinProblems(problems) << "\n";
  code = ExitCode::kInvalid;
  return {};
}

ExitCode Commands::Check(const std::string& path) {
  ExitCode code = ExitCode::kDone;
  const auto text = ReadDocument(path, code);
  if (!text) return code;
  const std::string digest = DocumentDigest(*text);
  Print({{"digest", digest}, {"problems", json::array()}},
        "valid, digest " + digest + "\n");
  return ExitCode::kDone;
}

ExitCode Commands::Diff(const std::string& path) {
  ExitCode code = ExitCode::kDone;
  const auto text = ReadDocument(path, code);
  if (!text) return code;
  auto config = client_.Config();
  if (!config) return Fail(config.error());
  auto from = Environment::Parse(config->document);
  if (!from) return Fail(from.error());
  const json changes = ToJson(zr::Diff(*from, *Environment::Parse(*text)));
  Print({{"version", config->version}, {"changes", changes}},
        ChangesText(changes));
  return ExitCode::kDone;
}

ExitCode Commands::Trial(const std::string& path) {
  ExitCode code = ExitCode::kDone;
  const auto text = ReadDocument(path, code);
  if (!text) return code;
  auto result = client_.Trial(*text);
  if (!result) return Fail(result.error());
  const std::string digest = DocumentDigest(*text);
  if (result->at("digest") != digest) {
    return Fail(Error{ErrorCode::kInternal, "trial", "",
                      "the daemon saw other bytes: digest " +
                          result->at("digest").dump() + " instead of " +
                          digest});
  }
  Print(*result,
        ChangesText(result->at("changes")) + "digest " + digest + "\n");
  return ExitCode::kDone;
}

ExitCode Commands::Promote(const std::string& path) {
  if (options_.digest.empty()) {
    return UsageError("promote needs --digest, as printed by trial");
  }
  ExitCode code = ExitCode::kDone;
  const auto text = ReadDocument(path, code);
  if (!text) return code;
  const std::string digest = DocumentDigest(*text);
  if (digest != options_.digest) {
    environment_.err << "zinniarillctl: " << path << " has digest " << digest
                     << ", not the one of the trial; nothing was sent\n";
    return ExitCode::kInvalid;
  }
  return Write(*text);
}

ExitCode Commands::Apply(const std::string& path) {
  ExitCode code = ExitCode::kDone;
  const auto text = ReadDocument(path, code);
  return text ? Write(*text) : code;
}

ExitCode Commands::Write(const std::string& document) {
  auto config = client_.Config();
  if (!config) return Fail(config.error());
  if (config->digest == DocumentDigest(document)) {
    WriteOutcome in_place;
    in_place.kind = WriteOutcome::Kind::kWritten;
    in_place.version = config->version;
    in_place.digest = config->digest;
    in_place.message =
        "already in place as version " + std::to_string(config->version);
    return Finish(in_place);
  }
  return Finish(client_.PutConfig(
      options_.base_version.value_or(config->version), document));
}

ExitCode Commands::Drain(const std::string& kind, const std::string& name,
                         bool drained) {
  if (!IsName(name)) return UsageError("'" + name + "' is not a name");
  return Finish(client_.PutDrain(options_.base_version, kind, name, drained));
}

//==============================================================================
ExitCode Commands::Finish(const WriteOutcome& outcome) {
  json result = {{"version", outcome.version}, {"digest", outcome.digest}};
  switch (outcome.kind) {
    case WriteOutcome::Kind::kWritten:
      if (options_.wait) {
        return WaitUntilInForce(outcome.version, std::move(result));
      }
      Print(result,
            (outcome.message.empty()
                 ? "written as version " + std::to_string(outcome.version)
                 : outcome.message) +
                "; use --wait to learn when it is in force\n");
      return ExitCode::kDone;
    case WriteOutcome::Kind::kConflict:
      if (options_.json) {
        result = {{"conflict",
                   {{"version", outcome.version},
                    {"author", outcome.author},
                    {"time", outcome.time}}}};
        environment_.out << result.dump() << "\n";
      }
      environment_.err << "zinniarillctl: conflict: version " << outcome.version
                       << " by " << outcome.author << " at " << outcome.time
                       << " came first; nothing was written\n";
      return ExitCode::kConflict;
    case WriteOutcome::Kind::kInvalid:
      environment_.err << outcome.message << "\n";
      return ExitCode::kInvalid;
    case WriteOutcome::Kind::kFailed:
      environment_.err << "zinniarillctl: " << outcome.message << "\n";
      return ExitCode::kFailed;
  }
  return ExitCode::kFailed;
}

ExitCode Commands::WaitUntilInForce(int64_t version, json result) {
  constexpr Duration kPollInterval = Duration::Milliseconds(200);
  const TimePoint end = environment_.now() + options_.timeout;
  json last = json::object();
  while (true) {
    auto status = client_.Get("/v1/status");
    if (status) {
      last = *status;
      const json& config = last.at("config");
      const auto reached = config.at("version").get<int64_t>();
      if (config.at("in_force").get<bool>() && reached >= version) {
        result["in_force"] = true;
        std::string text =
            "version " + std::to_string(version) + " is in force\n";
        if (reached > version) {
          text = "version " + std::to_string(version) +
                 " was replaced by version " + std::to_string(reached) +
                 ", which is in force\n";
          result["in_force_version"] = reached;
        }
        Print(result, text);
        return ExitCode::kDone;
      }
    }
    if (environment_.now() >= end) {
      return ReportLagging(version, std::move(result), last);
    }
    environment_.sleep(kPollInterval);
  }
}

ExitCode Commands::ReportLagging(int64_t version, json result,
                                 const json& status) {
  const json config = status.value("config", json::object());
  result["in_force"] = false;
  std::string text =
      "version " + std::to_string(version) + " is written, not yet in force";
  for (const char* group : {"lagging", "silent"}) {
    result[group] = config.value(group, json::array());
    if (result[group].empty()) continue;
    text += std::string("; ") + group + ":";
    for (const json& vm : result[group]) text += " " + vm.get<std::string>();
  }
  if (status.empty()) text += "; the daemon's status could not be read";
  Print(result, text + "\n");
  return ExitCode::kNotInForce;
}

ExitCode Commands::Fail(const Error& error) {
  environment_.err << "zinniarillctl: " << error.message << "\n";
  return error.code == ErrorCode::kInvalidArgument ? ExitCode::kInvalid
                                                   : ExitCode::kFailed;
}

ExitCode Commands::UsageError(const std::string& message) {
  environment_.err << "zinniarillctl: " << message << "; commands:\n"
                   << Usage();
  return ExitCode::kInvalid;
}

ExitCode Commands::PrintText(const std::string& text) {
  environment_.out << text;
  return ExitCode::kDone;
}

void Commands::Print(const json& json, const std::string& text) {
  if (options_.json) {
    environment_.out << json.dump() << "\n";
  } else {
    environment_.out << text;
  }
}

}  // namespace zr
