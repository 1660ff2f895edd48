#include "zinniarill_load/load_scenario.h"

#include <algorithm>
#include <cstdlib>

#include "standins/common/host.h"
#include "zr_config/ini_text.h"

namespace zr {
namespace {

std::string Trim(const std::string& text) {
  const size_t first = text.find_first_not_of(' ');
  if (first == std::string::npos) return "";
  return text.substr(first, text.find_last_not_of(' ') - first + 1);
}

/** Reads the sections of one file. */
class ScenarioReader {
 public:
  ScenarioReader(std::string file, LoadScenario& out)
      : file_(std::move(file)), out_(out) {}

  Result<void> Read(const IniSection& section) {
    const size_t space = section.name.find(' ');
    const std::string kind = section.name.substr(0, space);
    const std::string name =
        space == std::string::npos ? "" : Trim(section.name.substr(space));
    if (kind == "team") out_.teams.push_back({name, "", 1});
    if (kind == "class") {
      out_.classes.emplace_back();
      out_.classes.back().name = name;
      out_.classes.back().request_class = name;
    }
    for (const IniEntry& entry : section.entries) {
      bool known = false;
      if (kind == "load") known = ReadLoad(entry);
      if (kind == "team") known = ReadTeam(entry, out_.teams.back());
      if (kind == "class") known = ReadClass(entry, out_.classes.back());
      if (!known || !valid_) {
        return Fail(
            ErrorCode::kInvalidArgument, "scenario",
            file_ + ":" + std::to_string(entry.line),
            (valid_ ? "unknown key " : "malformed value of ") + entry.key);
      }
    }
    return {};
  }

 private:
  bool ReadLoad(const IniEntry& entry) {
    if (entry.key == "seconds") {
      out_.length =
          Duration::Milliseconds(static_cast<int64_t>(Real(entry.value) * 1e3));
    } else if (entry.key == "model") {
      out_.model = entry.value;
    } else if (entry.key == "score") {
      valid_ = entry.value == "in_time" || entry.value == "weighted";
      out_.score =
          entry.value == "weighted" ? LoadScore::kWeighted : LoadScore::kInTime;
    } else if (entry.key == "rates") {
      for (const auto& part : SplitList(entry.value)) {
        const auto pair = SplitList(Trim(part), ':');
        if (pair.size() != 2) return !(valid_ = false);
        out_.rates.push_back(
            {Duration::Milliseconds(static_cast<int64_t>(Real(pair[0]) * 1e3)),
             Real(pair[1])});
      }
    } else {
      return false;
    }
    return true;
  }

  bool ReadTeam(const IniEntry& entry, LoadTeam& team) {
    if (entry.key == "key") {
      team.key = entry.value;
    } else if (entry.key == "share") {
      team.share = Real(entry.value);
    } else {
      return false;
    }
    return true;
  }

  bool ReadClass(const IniEntry& entry, LoadClass& c) {
    if (entry.key == "kind") {
      valid_ = entry.value == "model" || entry.value == "service";
      c.is_service = entry.value == "service";
    } else if (entry.key == "share") {
      c.share = Real(entry.value);
    } else if (entry.key == "weight") {
      c.weight = Real(entry.value);
    } else if (entry.key == "team") {
      c.team = entry.value;
    } else if (entry.key == "request_class") {
      c.request_class = entry.value;
    } else if (entry.key == "deadline_ms") {
      c.deadline =
          Duration::Milliseconds(static_cast<int64_t>(Real(entry.value)));
    } else if (entry.key == "prompt_tokens") {
      c.prompt_tokens = Ranges(entry.value);
    } else if (entry.key == "answer_tokens") {
      c.answer_tokens = Ranges(entry.value);
    } else if (entry.key == "path") {
      c.path = entry.value;
    } else if (entry.key == "once") {
      valid_ = entry.value == "true" || entry.value == "false";
      c.once = entry.value == "true";
    } else if (entry.key == "shared_prefixes") {
      c.shared_prefixes = static_cast<int64_t>(Real(entry.value));
    } else if (entry.key == "prefix_tokens") {
      c.prefix_tokens = static_cast<int64_t>(Real(entry.value));
    } else {
      return false;
    }
    return true;
  }

  double Real(const std::string& text) {
    char* end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || !(value >= 0)) valid_ = false;
    return value;
  }

  std::vector<LengthRange> Ranges(const std::string& text) {
    std::vector<LengthRange> ranges;
    for (const auto& part : SplitList(text)) {
      LengthRange range;
      auto pair = SplitList(Trim(part), ':');
      if (pair.size() == 2) range.share = Real(pair[0]);
      const auto bounds = SplitList(pair.empty() ? "" : pair.back(), '-');
      if (bounds.empty() || bounds.size() > 2) {
        valid_ = false;
        continue;
      }
      range.low = static_cast<int64_t>(Real(bounds.front()));
      range.high = static_cast<int64_t>(Real(bounds.back()));
      if (range.low < 1 || range.high < range.low) valid_ = false;
      ranges.push_back(range);
    }
    return ranges;
  }

  std::string file_;
  LoadScenario& out_;
  bool valid_ = true;
};

}  // namespace

Result<LoadScenario> LoadScenario::Parse(std::string_view text,
                                         const std::string& file) {
  LoadScenario scenario;
  const IniText ini = IniText::Parse(text, file);
  if (!ini.problems.empty()) {
    return Fail(ErrorCode::kInvalidArgument, "scenario",
                file + ":" + std::to_string(ini.problems.front().line),
                ini.problems.front().message);
  }
  ScenarioReader reader(file, scenario);
  for (const IniSection& section : ini.sections) {
    if (auto read = reader.Read(section); !read) {
      return tl::unexpected(read.error());
    }
  }
  if (scenario.classes.empty() || scenario.rates.empty()) {
    return Fail(ErrorCode::kInvalidArgument, "scenario", file,
                "a scenario needs a class and a rate");
  }
  for (LoadClass& c : scenario.classes) {
    if (c.prompt_tokens.empty()) c.prompt_tokens.push_back({1, 100, 1'000});
    if (c.answer_tokens.empty()) c.answer_tokens.push_back({1, 20, 50});
    if (!c.team.empty() &&
        std::none_of(scenario.teams.begin(), scenario.teams.end(),
                     [&](const LoadTeam& t) { return t.name == c.team; })) {
      return Fail(ErrorCode::kInvalidArgument, "scenario", file,
                  "unknown team " + c.team);
    }
  }
  if (scenario.teams.empty()) scenario.teams.push_back({"default", "", 1});
  return scenario;
}

double LoadScenario::RateAt(Duration time) const {
  double rate = 0;
  for (const LoadRate& step : rates) {
    if (step.from <= time) rate = step.per_second;
  }
  return rate;
}

}  // namespace zr
