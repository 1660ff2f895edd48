#pragma once

#include <string>
#include <vector>

namespace zr {

/** Words and flags of a command line. */
struct ParsedFlags {
  std::vector<std::string> words;  // what is not a flag
  bool help = false;               // --help or -h was given
  std::string fault;               // the first bad flag; empty if there is none
};

/**
 * Sets gflags' flags from a command line, with dashes and underscores alike.
 * gflags' own parser ends the program with exit code 1 on a bad flag, which
 * would look like a failed command.
 */
ParsedFlags ParseFlags(int argc, const char* const* argv);

/** One line for each flag that the program defines. */
std::string FlagHelp();

}  // namespace zr
