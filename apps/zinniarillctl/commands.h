#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "zinniarillctl/operator_client.h"
#include "zinniarillctl/transport.h"
#include "zr_config/zr_config.h"

namespace zr {

/** Exit codes of the program. */
enum class ExitCode : int {
  kDone = 0,
  kFailed = 1,
  kInvalid = 2,     // bad usage or an invalid document
  kConflict = 3,    // another operator's change came first
  kNotInForce = 4,  // written, but not yet in force on every VM
};

struct CommandOptions {
  bool json = false;   // machine-readable output
  bool wait = false;   // wait until a change is in force
  Duration timeout;    // longest wait
  std::string digest;  // promote: the digest that trial printed
  std::optional<int64_t> base_version;  // the version that a change replaces
  std::string author;
  /** explain: fields of the request by name, as the operator port reads them;
   * those that were not given are absent. */
  std::map<std::string, std::string> description;
};

/** What commands need from the outside. */
struct CommandEnvironment {
  Transport& transport;
  std::function<Result<std::string>(const std::string& path)> read_file;
  std::function<TimePoint()> now;
  std::function<void(Duration)> sleep;
  std::ostream& out;
  std::ostream& err;
};

/** The commands of zinniarillctl. */
class Commands {
 public:
  Commands(CommandEnvironment environment, CommandOptions options);
  Commands(const Commands&) = delete;
  Commands& operator=(const Commands&) = delete;

  /** Whether a command calls a daemon. */
  static bool NeedsServer(const std::vector<std::string>& words);
  /** One line per command. */
  static std::string Usage();

  /** Runs a command given by its words, for example {"drain", "vm", "sala-1"}.
   */
  ExitCode Run(const std::vector<std::string>& words);

 private:
  ExitCode Dispatch(const std::vector<std::string>& words);
  ExitCode RunOnFile(const std::string& command, const std::string& path);
  ExitCode Check(const std::string& path);
  ExitCode Diff(const std::string& path);
  ExitCode Trial(const std::string& path);
  ExitCode Promote(const std::string& path);
  ExitCode Apply(const std::string& path);
  ExitCode Get();
  ExitCode Drain(const std::string& kind, const std::string& name,
                 bool drained);
  ExitCode Status();
  ExitCode Endpoints();
  ExitCode ShowOperation(const std::string& name);
  ExitCode Explain(const std::vector<std::string>& words);
  /** Asks where the request of the options would go. */
  ExitCode ExplainNow();
  /** Prints what log files say of a request; `words` are explain, its id and
   * the files. */
  ExitCode ExplainPast(const std::vector<std::string>& words);

  /** Reads and validates a document; reports problems and sets `code` on
   * failure. */
  std::optional<std::string> ReadDocument(const std::string& path,
                                          ExitCode& code);
  ExitCode Write(const std::string& document);
  ExitCode Finish(const WriteOutcome& outcome);
  ExitCode WaitUntilInForce(int64_t version, nlohmann::json result);
  ExitCode ReportLagging(int64_t version, nlohmann::json result,
                         const nlohmann::json& status);
  ExitCode Fail(const Error& error);
  ExitCode PrintText(const std::string& text);
  ExitCode UsageError(const std::string& message);
  /** Prints JSON or text, depending on the options. */
  void Print(const nlohmann::json& json, const std::string& text);

  CommandEnvironment environment_;
  CommandOptions options_;
  OperatorClient client_;
};

}  // namespace zr
