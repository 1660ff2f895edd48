#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "zinniarillctl/transport.h"

namespace zr {

/** The document in place, with who wrote it. */
struct CurrentConfig {
  int64_t version = 0;
  std::string digest;
  std::string author;
  std::string time;
  std::string document;
};

/** What became of a write. */
struct WriteOutcome {
  enum class Kind {
    kWritten,   // `version` and `digest` are set
    kConflict,  // another change came first; `version`, `author` and `time`
                // name it
    kInvalid,   // the daemon refused the document
    kFailed,    // not written, or not known; `message` says which
  };
  Kind kind = Kind::kFailed;
  int64_t version = 0;
  std::string digest;
  std::string author;
  std::string time;
  std::string message;  // kFailed and kInvalid: why; kWritten: empty, or that
                        // nothing changed
};

/** The operator API of a daemon. */
class OperatorClient {
 public:
  /** @param author  recorded with each change */
  OperatorClient(Transport& transport, std::string author);
  OperatorClient(const OperatorClient&) = delete;
  OperatorClient& operator=(const OperatorClient&) = delete;

  /** Reads a resource; an answer other than 200 or without a JSON object is an
   * error. */
  Result<nlohmann::json> Get(const std::string& path);
  Result<CurrentConfig> Config();
  /** Asks what a document would change. kInvalidArgument if the daemon refuses
   * it. */
  Result<nlohmann::json> Trial(const std::string& document);

  /** Writes a document if the version in place is `base`. */
  WriteOutcome PutConfig(int64_t base, const std::string& document);
  /**
   * Adds or removes a drain. A drain does not depend on other changes, so a
   * conflict is tried again unless `base` fixes the version.
   */
  WriteOutcome PutDrain(std::optional<int64_t> base, const std::string& kind,
                        const std::string& name, bool drained);

 private:
  using TookEffect = std::function<bool(const CurrentConfig&)>;

  WriteOutcome Write(HttpCall call, int64_t base,
                     const TookEffect& took_effect);
  /** Reads the configuration after a lost answer, because the write may have
   * taken effect. */
  WriteOutcome ResolveLostAnswer(const Error& error, int64_t base,
                                 const TookEffect& took_effect);

  Transport& transport_;
  std::string author_;
};

/** Percent-encodes all bytes but letters, digits and "-._~". */
std::string PercentEncode(const std::string& text);

}  // namespace zr
