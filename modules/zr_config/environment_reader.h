#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "zr_config/drain_edit.h"
#include "zr_config/environment.h"
#include "zr_config/key_spec.h"

namespace zr {

/** Parses one document into an Environment and validates it as a whole. An
 * instance reads a single document. */
class EnvironmentReader {
 public:
  /** @param file_name  named in problems */
  EnvironmentReader(Environment& environment, std::string file_name);
  EnvironmentReader(const EnvironmentReader&) = delete;
  EnvironmentReader& operator=(const EnvironmentReader&) = delete;

  /** Reads a document; the environment is complete if there are no problems. */
  std::vector<SettingsProblem> Read(std::string_view text);

 private:
  void ParseSection(const IniSection& section);
  void ReadDrain(const IniSection& section,
                 const std::vector<std::string>& words);
  template <typename T>
  void ReadKeys(const IniSection& section, const std::vector<Field<T>>& fields,
                T& target);

  void CheckPools();
  void CheckPoolKeys(const PoolPolicy& pool, const std::string& section);
  void CheckClasses();
  void CheckTeams();
  void CheckTeamClasses(const TeamPolicy& team, const std::string& section);

  /** Reports a problem at the line of a key, or of its section if the key is
   * not set. */
  void Report(const std::string& section, const std::string& key,
              std::string message);

  Environment& environment_;
  std::string file_;
  std::vector<SettingsProblem> problems_;
  std::map<std::string, std::map<std::string, int>>
      lines_;  // by section and key; key "" is the section itself
};

/** The section of a drain, for example "drain domain sala". */
std::string DrainSection(const Drain& drain);
/** The words of a section name. */
std::vector<std::string> SectionWords(std::string_view name);

}  // namespace zr
